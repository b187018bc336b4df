//! Entries on their way to the store's own disk.

use crate::api::WriteTicket;
use crate::records::Entry;

/// Collects the entries of one turn of the driver into one write.
#[derive(Debug, Default)]
pub struct WriteQueue {
    written: u64,
    records: Vec<Vec<u8>>,
}

impl WriteQueue {
    /// Adds an entry; gives the ticket of the write that will hold it.
    pub fn push(&mut self, entry: &Entry) -> WriteTicket {
        self.push_record(entry.to_bytes())
    }

    /// Adds an entry that is encoded already.
    pub fn push_record(&mut self, record: Vec<u8>) -> WriteTicket {
        self.records.push(record);
        WriteTicket(self.written + 1)
    }

    /// The write that was collected, if there is one.
    pub fn take(&mut self) -> Option<(WriteTicket, Vec<Vec<u8>>)> {
        if self.records.is_empty() {
            return None;
        }
        self.written += 1;
        Some((WriteTicket(self.written), std::mem::take(&mut self.records)))
    }
}
