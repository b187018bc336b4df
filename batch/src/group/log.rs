//! In-memory log of the records of an epoch that some store of the group may still need. Owned by the leader.

use crate::records::Entry;
use std::collections::VecDeque;

/// A primary's records by index. Indexes start at 1 and increase until the process ends.
#[derive(Debug)]
pub struct RecordLog {
    /// Index of the newest record that was dropped.
    base: u64,
    records: VecDeque<Entry>,
    bytes: usize,
}

impl RecordLog {
    /// An empty log whose next record has index `base + 1`.
    pub fn new(base: u64) -> RecordLog {
        RecordLog {
            base,
            records: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Index of the newest record.
    pub fn last(&self) -> u64 {
        self.base + self.records.len() as u64
    }

    /// Appends a record and returns its index.
    pub fn push(&mut self, entry: Entry) -> u64 {
        self.bytes += entry.approximate_bytes();
        self.records.push_back(entry);
        self.last()
    }

    /// The record with this index, unless it was dropped or does not exist yet.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base + 1)?;
        self.records.get(usize::try_from(offset).ok()?)
    }

    /// Drops all records up to this index.
    pub fn trim(&mut self, index: u64) {
        while self.base < index {
            let Some(entry) = self.records.pop_front() else {
                return;
            };
            self.bytes -= entry.approximate_bytes();
            self.base += 1;
        }
    }

    /// Approximate size of the retained records in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
