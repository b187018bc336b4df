//! Queue of entries to be written to the store's own journal.

use crate::api::WriteTicket;
use crate::records::Entry;

/// Batches the entries of one call of the driver into one write.
#[derive(Debug, Default)]
pub struct WriteQueue {
    written: u64,
    records: Vec<Vec<u8>>,
}

impl WriteQueue {
    /// Adds an entry and returns the ticket of the write that will contain it.
    pub fn push(&mut self, entry: &Entry) -> WriteTicket {
        self.push_record(entry.to_bytes())
    }

    /// Adds an encoded entry and returns the ticket of the write that will contain it.
    pub fn push_record(&mut self, record: Vec<u8>) -> WriteTicket {
        self.records.push(record);
        WriteTicket(self.written + 1)
    }

    /// Ticket of the write after which all entries so far are on disk.
    pub fn newest_ticket(&self) -> WriteTicket {
        WriteTicket(self.written + u64::from(!self.records.is_empty()))
    }

    /// Takes the pending write, if there is one.
    pub fn take(&mut self) -> Option<(WriteTicket, Vec<Vec<u8>>)> {
        if self.records.is_empty() {
            return None;
        }
        self.written += 1;
        Some((WriteTicket(self.written), std::mem::take(&mut self.records)))
    }
}
