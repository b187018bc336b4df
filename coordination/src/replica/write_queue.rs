//! Writes under way, and the messages that wait for them.

use super::interface::{Epoch, Member, Millis, Output, Token};
use super::message::Message;
use std::collections::VecDeque;

/// The log is replaced by a snapshot once it is this long (and longer than the last snapshot).
const COMPACTION_BYTES: usize = 256 * 1024;
/// A write that failed is tried again (as a snapshot of everything) after so long.
const RETRY_MS: Millis = 300;

/// A message with its recipient.
pub(super) type Addressed = (Member, Message);

/// Writes that were asked for, in order, with what waits for them.
#[derive(Debug, Default)]
pub(super) struct WriteQueue {
    last_token: Token,
    unflushed_records: Vec<Vec<u8>>,
    unflushed_messages: Vec<Addressed>,
    in_flight: VecDeque<Write>,
    log_bytes: usize,
    snapshot_bytes: usize,
    retry_at: Option<Millis>,
    /// The last write that ended failed.
    last_write_failed: bool,
}

#[derive(Debug)]
struct Write {
    token: Token,
    since: Millis,
    sends: Vec<Addressed>,
    record_number: Option<Epoch>,
}

/// A write that ended well.
#[derive(Debug, Default)]
pub(super) struct FinishedWrite {
    /// What waited for it.
    pub sends: Vec<Addressed>,
    /// Number of the record that is now on disk.
    pub record_number: Option<Epoch>,
}

impl WriteQueue {
    /// A queue over a disk that holds so much.
    pub fn new(snapshot_bytes: usize, log_bytes: usize) -> Self {
        WriteQueue {
            snapshot_bytes,
            log_bytes,
            ..WriteQueue::default()
        }
    }

    /// To be written with the next flush.
    pub fn append(&mut self, write: Vec<u8>) {
        self.unflushed_records.push(write);
    }

    /// To be sent once all that was appended so far is on disk.
    pub fn send_after_writes(&mut self, to: Member, message: Message) {
        self.unflushed_messages.push((to, message));
    }

    /// Asks for the writes that were appended; gives the messages that wait for none.
    pub fn flush(
        &mut self,
        now: Millis,
        record_number: Option<Epoch>,
        image: impl FnOnce() -> Vec<u8>,
        outputs: &mut Vec<Output>,
    ) -> Vec<Addressed> {
        if self.retry_at.is_some_and(|at| now < at) {
            // The disk doesn't take anything: what was appended is part of the snapshot that is tried later, and what waits
            // for it is lost, as messages may be.
            self.unflushed_records.clear();
            self.unflushed_messages.clear();
            return Vec::new();
        }
        if self.retry_at.take().is_some() {
            let image = image();
            self.persist_snapshot(now, record_number, image, outputs);
        } else if !self.unflushed_records.is_empty() {
            self.persist_records(now, record_number, image, outputs);
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

    /// A write ended well. None if it is not under way (any more).
    pub fn on_write_finished(&mut self, token: Token) -> Option<FinishedWrite> {
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

    /// A write failed.
    pub fn on_write_failed(&mut self, now: Millis, token: Token) {
        if self.in_flight.iter().any(|write| write.token == token) {
            self.in_flight.clear();
            self.last_write_failed = true;
            self.retry_at = Some(now.saturating_add(RETRY_MS));
        }
    }

    /// The disk has failed, or has taken longer than this over a write.
    pub fn is_stalled(&self, now: Millis, limit: Millis) -> bool {
        self.last_write_failed
            || self
                .in_flight
                .front()
                .is_some_and(|write| now >= write.since + limit)
    }

    /// When it has something to do.
    pub fn next_wakeup(&self) -> Option<Millis> {
        self.retry_at
    }

    /// When the disk counts as stalled, if its write does not end before.
    pub fn stall_deadline(&self, limit: Millis) -> Option<Millis> {
        self.in_flight.front().map(|write| write.since + limit)
    }

    fn persist_records(
        &mut self,
        now: Millis,
        record_number: Option<Epoch>,
        image: impl FnOnce() -> Vec<u8>,
        outputs: &mut Vec<Output>,
    ) {
        let bytes: usize = self.unflushed_records.iter().map(Vec::len).sum();
        if self.log_bytes + bytes > COMPACTION_BYTES.max(self.snapshot_bytes) {
            let image = image();
            return self.persist_snapshot(now, record_number, image, outputs);
        }
        self.log_bytes += bytes;
        let writes = std::mem::take(&mut self.unflushed_records);
        self.push_persist(now, record_number, writes, None, outputs);
    }

    fn persist_snapshot(
        &mut self,
        now: Millis,
        record_number: Option<Epoch>,
        image: Vec<u8>,
        outputs: &mut Vec<Output>,
    ) {
        self.unflushed_records.clear();
        self.log_bytes = 0;
        self.snapshot_bytes = image.len();
        self.push_persist(now, record_number, Vec::new(), Some(image), outputs);
    }

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
