//! A store's disk.

use alderhollow_model::identity::DiskId;
use oorandom::Rand64;

/// A journal with a snapshot; records beyond `synced` may be lost.
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

    /// Appends records; returns the length that a sync must cover to make them durable.
    pub(crate) fn append(&mut self, records: Vec<Vec<u8>>) -> usize {
        self.records.extend(records);
        self.compacted + self.records.len()
    }

    pub(crate) fn sync(&mut self, length: usize) {
        self.synced = self.synced.max(length.saturating_sub(self.compacted));
    }

    /// Whether all records are synced.
    pub(crate) fn is_synced(&self) -> bool {
        self.synced == self.records.len()
    }

    pub(crate) fn compact(&mut self, snapshot: Vec<u8>) {
        self.snapshot = Some(snapshot);
        self.compacted += self.records.len();
        self.records.clear();
        self.synced = 0;
    }

    /// Loses a random suffix of the records that were not synced.
    pub(crate) fn lose_unsynced(&mut self, random: &mut Rand64) {
        let kept = random.rand_range(self.synced as u64..self.records.len() as u64 + 1) as usize;
        let kept = if random.rand_float() < 0.5 {
            self.synced
        } else {
            kept
        };
        self.records.truncate(kept);
    }

    /// After a power loss, the records that can be read are on disk.
    pub(crate) fn lose_power(&mut self, random: &mut Rand64) {
        self.lose_unsynced(random);
        self.synced = self.records.len();
    }
}
