//! The writes of a store in order, and their ends. After a write that failed, nothing counts as written until the whole
//! state is on disk as a new snapshot.

use crate::metrics;
use alderhollow_batch::api::WriteTicket;
use alderhollow_model::snapshot::GroupId;
use alderhollow_storage::{StorageError, Write, Writer};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// A log that has grown to this size is replaced by a snapshot, unless the disk is small or the snapshot large.
const MAX_LOG_BYTES: u64 = 24 * 1024 * 1024;
/// The log may take this part of the disk: two snapshots and two logs must fit.
const LOG_DISK_DIVISOR: u64 = 10;
/// A log is kept until it is so many times as large as the last snapshot.
const LOG_SNAPSHOT_RATIO: u64 = 2;
/// Pause before another snapshot is tried after a failure.
const REPAIR_RETRY_DELAY: Duration = Duration::from_millis(300);
/// A disk with a write that is older than this is stalled.
const STALL_THRESHOLD_MS: u64 = 600;
/// With a write that is older than this, another store should serve instead. A snapshot that takes its time on a sound disk
/// must not come to it.
const FAILING_THRESHOLD_MS: u64 = 1_200;

/// Names a write over all groups. Tickets rise within a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupTicket {
    /// The group that wrote.
    pub group: GroupId,
    /// Its write.
    pub ticket: WriteTicket,
}

/// What a store's node does for its journal.
pub trait JournalOwner {
    /// The whole state of all groups, with every write so far.
    fn snapshot(&self) -> Vec<u8>;
    /// All writes of the group up to this one are on disk.
    fn written(&self, written: GroupTicket);
}

type End = oneshot::Receiver<Result<(), StorageError>>;

/// A submission that has not ended.
struct Pending {
    /// `None` for a snapshot.
    ticket: Option<GroupTicket>,
    submitted_at: Instant,
    end: End,
}

/// The writes under way. One task runs [`JournalQueue::process_completions`].
pub struct JournalQueue {
    writer: Writer,
    submissions: mpsc::UnboundedSender<Pending>,
    submitted_at: RefCell<VecDeque<u64>>,
    /// The newest write of each group.
    newest: RefCell<BTreeMap<GroupId, WriteTicket>>,
    log_bytes: Cell<u64>,
    log_limit: Cell<u64>,
    min_log_limit: u64,
    failing: Cell<bool>,
    longest_sync: Cell<Duration>,
}

/// The ends of submissions, for [`JournalQueue::process_completions`].
pub struct WriteCompletions(mpsc::UnboundedReceiver<Pending>);

impl JournalQueue {
    /// A queue on a disk of this size.
    pub fn new(writer: Writer, disk_mb: Option<u64>) -> (JournalQueue, WriteCompletions) {
        let (submissions, ends) = mpsc::unbounded_channel();
        let disk_limit = disk_mb.map_or(MAX_LOG_BYTES, |mb| mb * 1024 * 1024 / LOG_DISK_DIVISOR);
        let limit = MAX_LOG_BYTES.min(disk_limit);
        let queue = JournalQueue {
            writer,
            submissions,
            submitted_at: RefCell::default(),
            newest: RefCell::default(),
            log_bytes: Cell::new(0),
            log_limit: Cell::new(limit),
            min_log_limit: limit,
            failing: Cell::new(false),
            longest_sync: Cell::default(),
        };
        (queue, WriteCompletions(ends))
    }

    /// Queues records.
    pub fn append(&self, now_ms: u64, ticket: GroupTicket, records: Vec<Vec<u8>>) {
        let bytes: usize = records.iter().map(Vec::len).sum();
        self.log_bytes.set(self.log_bytes.get() + bytes as u64);
        self.newest.borrow_mut().insert(ticket.group, ticket.ticket);
        metrics::get().store.journal_write(bytes);
        self.submit(
            now_ms,
            Some(ticket),
            records.into_iter().map(Write::Append).collect(),
        );
    }

    /// Queues a snapshot if the log has grown so far that it is time.
    pub fn compact_if_due(&self, now_ms: u64, snapshot: impl FnOnce() -> Vec<u8>) {
        if self.log_bytes.get() >= self.log_limit.get() {
            self.compact(now_ms, snapshot);
        }
    }

    /// Queues a snapshot, unless one is written anyway because the disk fails.
    pub fn compact(&self, now_ms: u64, snapshot: impl FnOnce() -> Vec<u8>) {
        if self.failing.get() {
            return;
        }
        let snapshot = snapshot();
        log::info!("compacting the journal to {} bytes", snapshot.len());
        self.record_snapshot(snapshot.len());
        self.submit(now_ms, None, vec![Write::Compact(snapshot)]);
    }

    /// A group's tickets begin anew. To be called when all its writes have ended.
    pub fn forget(&self, group: GroupId) {
        self.newest.borrow_mut().remove(&group);
    }

    /// Whether the disk takes writes without failure or long delay.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        !self.failing.get() && self.oldest_ms(now_ms) < STALL_THRESHOLD_MS
    }

    /// Whether the disk fails so that another store should serve instead.
    pub fn is_failing(&self, now_ms: u64) -> bool {
        self.failing.get() || self.oldest_ms(now_ms) >= FAILING_THRESHOLD_MS
    }

    /// The longest time from a submission to its end since the last call.
    pub fn take_longest_sync(&self) -> Duration {
        self.longest_sync.take()
    }

    /// Age of the oldest write that has not ended.
    fn oldest_ms(&self, now_ms: u64) -> u64 {
        self.submitted_at
            .borrow()
            .front()
            .map_or(0, |at| now_ms.saturating_sub(*at))
    }

    /// Tells the owner of the ends of its writes, in order, until the queue is gone.
    pub async fn process_completions(&self, mut ends: WriteCompletions, owner: &dyn JournalOwner) {
        while let Some(pending) = ends.0.recv().await {
            let end = pending.end.await;
            self.submitted_at.borrow_mut().pop_front();
            match end {
                Ok(Ok(())) => {
                    self.record_sync(pending.submitted_at.elapsed());
                    if let Some(ticket) = pending.ticket {
                        owner.written(ticket);
                    }
                }
                Ok(Err(error)) => self.repair(&mut ends, owner, error).await,
                Err(_) => {
                    self.repair(&mut ends, owner, StorageError::WriterEnded)
                        .await;
                }
            }
        }
    }

    /// Puts the whole state on disk, again and again until that succeeds.
    async fn repair(
        &self,
        ends: &mut WriteCompletions,
        owner: &dyn JournalOwner,
        mut error: StorageError,
    ) {
        self.failing.set(true);
        loop {
            log::error!(
                "the disk fails: {error}; no batch job is taken until the whole state is written anew"
            );
            tokio::time::sleep(REPAIR_RETRY_DELAY).await;
            while let Ok(pending) = ends.0.try_recv() {
                // What was queued behind the failure is in the snapshot as well.
                let _ = pending.end.await;
                self.submitted_at.borrow_mut().pop_front();
            }
            let newest = self.newest.borrow().clone();
            let snapshot = owner.snapshot();
            self.record_snapshot(snapshot.len());
            match self.writer.submit(vec![Write::Compact(snapshot)]).await {
                Ok(Ok(())) => {
                    self.failing.set(false);
                    log::warn!("the disk takes writes again");
                    for (group, ticket) in newest {
                        owner.written(GroupTicket { group, ticket });
                    }
                    return;
                }
                Ok(Err(next)) => error = next,
                Err(_) => error = StorageError::WriterEnded,
            }
        }
    }

    fn submit(&self, now_ms: u64, ticket: Option<GroupTicket>, writes: Vec<Write>) {
        self.submitted_at.borrow_mut().push_back(now_ms);
        let pending = Pending {
            ticket,
            submitted_at: Instant::now(),
            end: self.writer.submit(writes),
        };
        // The receiver lives as long as the store's node.
        let _ = self.submissions.send(pending);
    }

    fn record_sync(&self, after: Duration) {
        metrics::get().store.synced(after);
        self.longest_sync.set(self.longest_sync.get().max(after));
    }

    fn record_snapshot(&self, bytes: usize) {
        metrics::get().store.compaction(bytes);
        self.log_bytes.set(0);
        self.log_limit
            .set(self.min_log_limit.max(bytes as u64 * LOG_SNAPSHOT_RATIO));
    }
}

#[cfg(test)]
mod tests;
