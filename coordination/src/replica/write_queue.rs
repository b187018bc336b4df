//! Disk writes in flight, and the messages that wait for them.
//!
//! Invariant: a message is sent only after all records appended before it are synced. The log is replaced by a snapshot
//! when it has grown long, and after a failed write.

use super::interface::{Epoch, Member, Millis, Output, Token};
use super::message::Message;
use std::collections::VecDeque;

/// The log is replaced by a snapshot once it exceeds this many bytes and the size of the last snapshot.
const COMPACTION_BYTES: usize = 256 * 1024;
/// Delay after a failed write before a snapshot of the complete state is written, in milliseconds.
const RETRY_MS: Millis = 300;

/// A message with its recipient.
#[derive(Debug)]
pub(super) struct AddressedMessage {
    pub(super) to: Member,
    pub(super) message: Message,
}

/// The queue of writes, in order, with the messages that wait for each.
#[derive(Debug, Default)]
pub(super) struct WriteQueue {
    last_token: Token,
    unflushed_records: Vec<Vec<u8>>,
    unflushed_messages: Vec<AddressedMessage>,
    in_flight: VecDeque<Write>,
    log_bytes: usize,
    snapshot_bytes: usize,
    retry_at: Option<Millis>,
    /// Whether the last completed write failed.
    last_write_failed: bool,
}

#[derive(Debug)]
struct Write {
    token: Token,
    since: Millis,
    sends: Vec<AddressedMessage>,
    record_number: Option<Epoch>,
}

/// The result of a successful write.
#[derive(Debug, Default)]
pub(super) struct FinishedWrite {
    /// The messages that waited for it.
    pub sends: Vec<AddressedMessage>,
    /// Number of the newest epoch record on disk after it.
    pub record_number: Option<Epoch>,
}

impl WriteQueue {
    /// A queue for a disk with a snapshot and a log of these sizes.
    pub(super) fn new(snapshot_bytes: usize, log_bytes: usize) -> Self {
        WriteQueue {
            snapshot_bytes,
            log_bytes,
            ..WriteQueue::default()
        }
    }

    /// Adds a record to the next flush.
    pub(super) fn append(&mut self, write: Vec<u8>) {
        self.unflushed_records.push(write);
    }

    /// Adds a message that is sent once all records appended so far are synced.
    pub(super) fn send_after_writes(&mut self, to: Member, message: Message) {
        self.unflushed_messages
            .push(AddressedMessage { to, message });
    }

    /// Requests the write of all appended records. Returns the messages that need not wait for a write.
    pub(super) fn flush(
        &mut self,
        now: Millis,
        record_number: Option<Epoch>,
        take_snapshot: impl FnOnce() -> Vec<u8>,
        outputs: &mut Vec<Output>,
    ) -> Vec<AddressedMessage> {
        if self.retry_at.is_some_and(|at| now < at) {
            // The disk does not accept writes. The appended records are part of the snapshot that is written later; the
            // messages that wait for them are dropped, as messages may be lost.
            self.unflushed_records.clear();
            self.unflushed_messages.clear();
            return Vec::new();
        }
        if self.retry_at.take().is_some() {
            let snapshot = take_snapshot();
            self.persist_snapshot(now, record_number, snapshot, outputs);
        } else if !self.unflushed_records.is_empty() {
            self.persist_records(now, record_number, take_snapshot, outputs);
        }
        let sends = std::mem::take(&mut self.unflushed_messages);
        match self.in_flight.back_mut() {
            Some(last) => {
                last.sends.extend(sends);
                Vec::new()
            }
            None => sends,
        }
    }

    /// Handles a successful write. Returns `None` if the write is not in flight or no longer.
    pub(super) fn on_write_finished(&mut self, token: Token) -> Option<FinishedWrite> {
        if !self.in_flight.iter().any(|write| write.token == token) {
            return None;
        }
        self.last_write_failed = false;
        let mut finished = FinishedWrite::default();
        while let Some(write) = self.in_flight.pop_front() {
            finished.sends.extend(write.sends);
            finished.record_number = write.record_number;
            if write.token == token {
                break;
            }
        }
        Some(finished)
    }

    /// Handles a failed write: drops all writes in flight and schedules a snapshot.
    pub(super) fn on_write_failed(&mut self, now: Millis, token: Token) {
        if self.in_flight.iter().any(|write| write.token == token) {
            self.in_flight.clear();
            self.last_write_failed = true;
            self.retry_at = Some(now.saturating_add(RETRY_MS));
        }
    }

    /// Whether the last write failed, or the oldest one in flight has taken `limit` milliseconds.
    pub(super) fn is_stalled(&self, now: Millis, limit: Millis) -> bool {
        self.last_write_failed
            || self
                .in_flight
                .front()
                .is_some_and(|write| now >= write.since + limit)
    }

    /// When [`WriteQueue::flush`] is due to retry after a failure.
    pub(super) fn next_wakeup(&self) -> Option<Millis> {
        self.retry_at
    }

    /// When the disk counts as stalled unless the oldest write in flight completes before.
    pub(super) fn stall_deadline(&self, limit: Millis) -> Option<Millis> {
        self.in_flight.front().map(|write| write.since + limit)
    }

    /// Requests the write of the appended records, or of a snapshot if the log has grown too long.
    fn persist_records(
        &mut self,
        now: Millis,
        record_number: Option<Epoch>,
        take_snapshot: impl FnOnce() -> Vec<u8>,
        outputs: &mut Vec<Output>,
    ) {
        let bytes: usize = self.unflushed_records.iter().map(Vec::len).sum();
        if self.log_bytes + bytes > COMPACTION_BYTES.max(self.snapshot_bytes) {
            let snapshot = take_snapshot();
            return self.persist_snapshot(now, record_number, snapshot, outputs);
        }
        self.log_bytes += bytes;
        let writes = std::mem::take(&mut self.unflushed_records);
        self.push_persist(now, record_number, writes, None, outputs);
    }

    /// Requests a snapshot that replaces the log.
    fn persist_snapshot(
        &mut self,
        now: Millis,
        record_number: Option<Epoch>,
        snapshot: Vec<u8>,
        outputs: &mut Vec<Output>,
    ) {
        self.unflushed_records.clear();
        self.log_bytes = 0;
        self.snapshot_bytes = snapshot.len();
        self.push_persist(now, record_number, Vec::new(), Some(snapshot), outputs);
    }

    /// Emits the write and adds it to those in flight.
    fn push_persist(
        &mut self,
        now: Millis,
        record_number: Option<Epoch>,
        writes: Vec<Vec<u8>>,
        replace_all: Option<Vec<u8>>,
        outputs: &mut Vec<Output>,
    ) {
        self.last_token += 1;
        let token = self.last_token;
        self.in_flight.push_back(Write {
            token,
            since: now,
            sends: Vec::new(),
            record_number,
        });
        outputs.push(Output::Persist {
            token,
            writes,
            replace_all,
        });
    }
}
