//! A store's disk.

use alderhollow_model::identity::DiskId;
use oorandom::Rand64;

/// A journal with a snapshot; records beyond `synced` may get lost.
pub(crate) struct SimDisk {
    pub id: DiskId,
    pub snapshot: Option<Vec<u8>>,
    pub records: Vec<Vec<u8>>,
    /// Records before the snapshot.
    compacted: usize,
    /// Records that are on the disk.
    synced: usize,
}

impl SimDisk {
    pub(crate) fn new(id: DiskId) -> SimDisk {
        SimDisk {
            id,
            snapshot: None,
            records: Vec::new(),
            compacted: 0,
            synced: 0,
        }
    }

    /// Adds records; how many there have been is the length up to which a sync must reach to keep them.
    pub(crate) fn append(&mut self, records: Vec<Vec<u8>>) -> usize {
        self.records.extend(records);
        self.compacted + self.records.len()
    }

    pub(crate) fn sync(&mut self, length: usize) {
        self.synced = self.synced.max(length.saturating_sub(self.compacted));
    }

    /// Whether nothing is on its way.
    pub(crate) fn is_synced(&self) -> bool {
        self.synced == self.records.len()
    }

    pub(crate) fn compact(&mut self, snapshot: Vec<u8>) {
        self.snapshot = Some(snapshot);
        self.compacted += self.records.len();
        self.records.clear();
        self.synced = 0;
    }

    /// What was not synced is lost from some record on; the rest has reached the disk by luck.
    pub(crate) fn lose_unsynced(&mut self, random: &mut Rand64) {
        let kept = random.rand_range(self.synced as u64..self.records.len() as u64 + 1) as usize;
        let kept = if random.rand_float() < 0.5 {
            self.synced
        } else {
            kept
        };
        self.records.truncate(kept);
    }

    /// After a loss of power, what is read is on the disk.
    pub(crate) fn lose_power(&mut self, random: &mut Rand64) {
        self.lose_unsynced(random);
        self.synced = self.records.len();
    }
}
