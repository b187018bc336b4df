//! Queue of a store's journal writes and their completions, in order. After a failed write, no write counts as durable
//! until the whole state is on disk as a new snapshot.

use crate::metrics;
use alderhollow_batch::api::WriteTicket;
use alderhollow_model::snapshot::GroupId;
use alderhollow_storage::{StorageError, Write, Writer};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Log size at which the journal is compacted, unless the disk is small or the last snapshot large.
const MAX_LOG_BYTES: u64 = 24 * 1024 * 1024;
/// The log may take one part in this many of the disk: two snapshots and two logs must fit.
const LOG_DISK_DIVISOR: u64 = 10;
/// The log is compacted only once it is this many times as large as the last snapshot.
const LOG_SNAPSHOT_RATIO: u64 = 2;
/// Delay before each attempt to write a snapshot after a failure.
const REPAIR_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Age of a pending write at which the disk counts as stalled.
const STALL_THRESHOLD_MS: u64 = 600;
/// Age of a pending write at which another store should take over. A slow snapshot on a healthy disk must stay below
/// this.
const FAILING_THRESHOLD_MS: u64 = 1_200;

/// Identifies a write across all groups. Tickets increase within a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupTicket {
    /// The group that queued the write.
    pub group: GroupId,
    /// The write's ticket within the group.
    pub ticket: WriteTicket,
}

/// Owner of a journal: supplies snapshots and is notified of completed writes.
pub trait JournalOwner {
    /// Returns the whole state of all groups, including every write queued so far.
    fn snapshot(&self) -> Vec<u8>;
    /// Called when all writes of the group up to this one are on disk.
    fn written(&self, written: GroupTicket);
}

type Completion = oneshot::Receiver<Result<(), StorageError>>;

/// Writes submitted to the writer that have not completed.
struct PendingWrite {
    /// `None` for a snapshot.
    ticket: Option<GroupTicket>,
    submitted_at: Instant,
    completion: Completion,
}

/// The pending writes. One task runs [`JournalQueue::process_completions`].
pub struct JournalQueue {
    writer: Writer,
    submissions: mpsc::UnboundedSender<PendingWrite>,
    submitted_at: RefCell<VecDeque<u64>>,
    /// The newest ticket of each group.
    newest: RefCell<BTreeMap<GroupId, WriteTicket>>,
    log_bytes: Cell<u64>,
    log_limit: Cell<u64>,
    min_log_limit: u64,
    failing: Cell<bool>,
    longest_sync: Cell<Duration>,
}

/// The completions of submitted writes, for [`JournalQueue::process_completions`].
pub struct WriteCompletions(mpsc::UnboundedReceiver<PendingWrite>);

impl JournalQueue {
    /// Creates a queue on a disk of this size.
    pub fn new(writer: Writer, disk_mb: Option<u64>) -> (JournalQueue, WriteCompletions) {
        let (submissions, completions) = mpsc::unbounded_channel();
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
        (queue, WriteCompletions(completions))
    }

    /// Queues records to be appended.
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

    /// Queues a snapshot if the log has reached its limit.
    pub fn compact_if_due(&self, now_ms: u64, snapshot: impl FnOnce() -> Vec<u8>) {
        if self.log_bytes.get() >= self.log_limit.get() {
            self.compact(now_ms, snapshot);
        }
    }

    /// Queues a snapshot, unless the disk is failing: the repair writes one anyway.
    pub fn compact(&self, now_ms: u64, snapshot: impl FnOnce() -> Vec<u8>) {
        if self.failing.get() {
            return;
        }
        let snapshot = snapshot();
        log::info!("compacting the journal to {} bytes", snapshot.len());
        self.record_snapshot(snapshot.len());
        self.submit(now_ms, None, vec![Write::Compact(snapshot)]);
    }

    /// Removes a group, whose tickets may then start again. Must be called only when none of its writes is pending.
    pub fn forget(&self, group: GroupId) {
        self.newest.borrow_mut().remove(&group);
    }

    /// Whether the disk completes writes without failures or long delays.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        !self.failing.get() && self.oldest_ms(now_ms) < STALL_THRESHOLD_MS
    }

    /// Whether the disk fails or stalls for so long that another store should take over.
    pub fn is_failing(&self, now_ms: u64) -> bool {
        self.failing.get() || self.oldest_ms(now_ms) >= FAILING_THRESHOLD_MS
    }

    /// Returns the longest time from submission to completion since the last call.
    pub fn take_longest_sync(&self) -> Duration {
        self.longest_sync.take()
    }

    /// Age of the oldest pending write.
    fn oldest_ms(&self, now_ms: u64) -> u64 {
        self.submitted_at
            .borrow()
            .front()
            .map_or(0, |at| now_ms.saturating_sub(*at))
    }

    /// Notifies the owner of completed writes, in order, until the queue is dropped.
    pub async fn process_completions(
        &self,
        mut completions: WriteCompletions,
        owner: &dyn JournalOwner,
    ) {
        while let Some(pending) = completions.0.recv().await {
            let result = pending.completion.await;
            self.submitted_at.borrow_mut().pop_front();
            match result {
                Ok(Ok(())) => {
                    self.record_sync(pending.submitted_at.elapsed());
                    if let Some(ticket) = pending.ticket {
                        owner.written(ticket);
                    }
                }
                Ok(Err(error)) => self.repair(&mut completions, owner, error).await,
                Err(_) => {
                    self.repair(&mut completions, owner, StorageError::WriterEnded)
                        .await;
                }
            }
        }
    }

    /// Writes a snapshot of the whole state, with retries until it succeeds.
    async fn repair(
        &self,
        completions: &mut WriteCompletions,
        owner: &dyn JournalOwner,
        mut error: StorageError,
    ) {
        self.failing.set(true);
        loop {
            log::error!(
                "journal write failed: {error}; no batch jobs are accepted until a snapshot of the whole state is written"
            );
            tokio::time::sleep(REPAIR_RETRY_DELAY).await;
            while let Ok(pending) = completions.0.try_recv() {
                // The snapshot includes the writes that were queued after the failed one.
                let _ = pending.completion.await;
                self.submitted_at.borrow_mut().pop_front();
            }
            let newest = self.newest.borrow().clone();
            let snapshot = owner.snapshot();
            self.record_snapshot(snapshot.len());
            match self.writer.submit(vec![Write::Compact(snapshot)]).await {
                Ok(Ok(())) => {
                    self.failing.set(false);
                    log::warn!("journal recovered: the disk completes writes again");
                    for (group, ticket) in newest {
                        owner.written(GroupTicket { group, ticket });
                    }
                    return;
                }
                Ok(Err(next_error)) => error = next_error,
                Err(_) => error = StorageError::WriterEnded,
            }
        }
    }

    fn submit(&self, now_ms: u64, ticket: Option<GroupTicket>, writes: Vec<Write>) {
        self.submitted_at.borrow_mut().push_back(now_ms);
        let pending = PendingWrite {
            ticket,
            submitted_at: Instant::now(),
            completion: self.writer.submit(writes),
        };
        // Sending fails only at shutdown: the receiver lives as long as the store's node.
        let _ = self.submissions.send(pending);
    }

    fn record_sync(&self, latency: Duration) {
        metrics::get().store.synced(latency);
        self.longest_sync.set(self.longest_sync.get().max(latency));
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
