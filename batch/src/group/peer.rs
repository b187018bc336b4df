//! The primary's stream to one other store: comparison of digests, then entries within a send window, with
//! retransmission.
//!
//! Entries of a stream are numbered from 1: first the jobs that differ, then [`Entry::Synced`], then the records after
//! the start of the attempt.

use crate::counts::ReplicationCounts;
use crate::group::log::RecordLog;
use crate::job::JobId;
use crate::message::{JobDigest, Message, MESSAGE_BYTES};
use crate::records::{Entry, StreamId};
use crate::state::{full_job_entry, State};
use std::collections::VecDeque;
use std::ops::Bound;

/// Maximum bytes of records in one message, unless a single record is larger.
const RECORDS_BYTES: usize = 64 << 10;
/// Send window: bytes that may be unacknowledged per store. The windows of all members together pass a link of 60
/// Mbit/s well within [`INITIAL_RETRY_MS`], so that a saturated link alone neither causes retransmissions nor delays
/// the polls of the core.
const WINDOW_BYTES: usize = 4 * RECORDS_BYTES;
/// Initial retransmission time-out. It doubles with each retransmission up to [`MAX_RETRY_MS`].
const INITIAL_RETRY_MS: u64 = 500;
/// Maximum retransmission time-out.
const MAX_RETRY_MS: u64 = 2_000;
/// Time without progress on pending data after which a store is reported as silent, so that the core may remove it. It
/// exceeds the first retransmission, which covers a message lost with its connection.
const SILENT_MS: u64 = INITIAL_RETRY_MS + 400;
/// Approximate size of a digest apart from the id, in bytes.
const DIGEST_BYTES: usize = 32;

/// A step that synchronizes the other store: send a job, or delete one there.
#[derive(Debug, Clone)]
enum SyncStep {
    Send(JobId),
    Drop(JobId),
}

/// Phase of a stream.
#[derive(Debug)]
enum Phase {
    /// The digests of this range of ids were sent.
    Comparing {
        after: Option<JobId>,
        until: Option<JobId>,
    },
    /// The stream was abandoned: a new attempt starts when the retry is due.
    Postponed,
    /// The store receives entries: the steps, [`Entry::Synced`], then the records after `start`.
    Streaming,
}

/// A message of entries that is not acknowledged.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    next: u64,
    bytes: usize,
}

/// Answer of a store to [`Message::Compare`].
#[derive(Debug)]
pub struct Difference {
    /// Inclusive end of the compared range; `None` if it is unbounded.
    pub until: Option<JobId>,
    /// Jobs to send.
    pub wanted: Vec<JobId>,
    /// Jobs to delete there.
    pub surplus: Vec<JobId>,
}

/// State of one other store at the primary.
#[derive(Debug)]
pub struct Peer {
    /// Whether the store is a member, so that commits wait for it.
    pub is_member: bool,
    stream: StreamId,
    phase: Phase,
    steps: Vec<SyncStep>,
    /// Index of the newest record that is included in the first digests of this attempt.
    start: u64,
    /// Number of the next entry to send.
    next: u64,
    /// Number of the first entry that is not acknowledged.
    acknowledged: u64,
    in_flight: VecDeque<InFlight>,
    in_flight_bytes: usize,
    waiting_since_ms: Option<u64>,
    retry_at_ms: Option<u64>,
    retry_ms: u64,
    counts: ReplicationCounts,
}

impl Peer {
    /// Creates a peer to which nothing was sent in this session.
    pub fn new(is_member: bool, epoch: u64, session: u64) -> Peer {
        Peer {
            is_member,
            stream: StreamId {
                epoch,
                session,
                attempt: 0,
            },
            phase: Phase::Comparing {
                after: None,
                until: None,
            },
            steps: Vec::new(),
            start: 0,
            next: 1,
            acknowledged: 1,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
            waiting_since_ms: None,
            retry_at_ms: None,
            retry_ms: INITIAL_RETRY_MS,
            counts: ReplicationCounts::default(),
        }
    }

    /// The current stream.
    pub fn stream(&self) -> StreamId {
        self.stream
    }

    /// Event counts for this store in this session.
    pub fn counts(&self) -> ReplicationCounts {
        self.counts
    }

    /// Starts a new attempt to synchronize the store, and returns its first message.
    pub fn begin(&mut self, now_ms: u64, state: &State, log: &RecordLog) -> Message {
        self.counts.comparisons += 1;
        self.stream.attempt += 1;
        self.steps.clear();
        self.start = log.last();
        self.next = 1;
        self.acknowledged = 1;
        self.clear_in_flight();
        self.waiting_since_ms.get_or_insert(now_ms);
        self.compare(now_ms, state, None)
    }

    /// Creates the message with the digests of the next range of ids.
    fn compare(&mut self, now_ms: u64, state: &State, after: Option<JobId>) -> Message {
        let from = after.clone().map_or(Bound::Unbounded, Bound::Excluded);
        let mut digests = Vec::new();
        let mut bytes = 0;
        let mut until = None;
        for (id, job) in state.jobs.range((from, Bound::Unbounded)) {
            if bytes >= MESSAGE_BYTES {
                until = digests.last().map(|digest: &JobDigest| digest.job.clone());
                break;
            }
            bytes += id.0.len() + DIGEST_BYTES;
            digests.push(JobDigest {
                job: id.clone(),
                digest: job.digest(),
                age_ms: job.age_ms(now_ms),
            });
        }
        self.phase = Phase::Comparing {
            after: after.clone(),
            until: until.clone(),
        };
        self.retry_at_ms = Some(now_ms + self.retry_ms);
        Message::Compare {
            stream: self.stream,
            after,
            until,
            digests,
        }
    }

    /// Handles the differences in a range. Returns the comparison of the next range, if there is one.
    pub fn differs(
        &mut self,
        now_ms: u64,
        difference: Difference,
        state: &State,
    ) -> Option<Message> {
        match &self.phase {
            Phase::Comparing { until, .. } if *until == difference.until => {}
            _ => return None,
        }
        self.steps
            .extend(difference.wanted.into_iter().map(SyncStep::Send));
        self.steps
            .extend(difference.surplus.into_iter().map(SyncStep::Drop));
        self.progressed(now_ms);
        if difference.until.is_some() {
            return Some(self.compare(now_ms, state, difference.until));
        }
        self.phase = Phase::Streaming;
        self.retry_at_ms = None;
        None
    }

    /// Handles an acknowledgement: the store has all entries below `next` on disk.
    pub fn acknowledge(&mut self, now_ms: u64, next: u64) {
        if next <= self.acknowledged || !matches!(self.phase, Phase::Streaming) {
            return;
        }
        self.acknowledged = next;
        // After a retransmission the store may acknowledge entries of the first transmission.
        self.next = self.next.max(next);
        while let Some(message) = self
            .in_flight
            .front()
            .filter(|message| message.next <= next)
        {
            self.in_flight_bytes -= message.bytes;
            self.in_flight.pop_front();
        }
        self.progressed(now_ms);
        self.retry_at_ms = (self.acknowledged < self.next).then_some(now_ms + self.retry_ms);
        if self.acknowledged == self.next {
            self.waiting_since_ms = None;
        }
    }

    /// Creates the messages of entries that fit in the send window.
    pub fn fill(&mut self, now_ms: u64, state: &State, log: &RecordLog) -> Vec<Message> {
        let mut messages = Vec::new();
        while matches!(self.phase, Phase::Streaming) && self.in_flight_bytes < WINDOW_BYTES {
            let (entries, bytes) = self.next_entries(now_ms, state, log);
            if entries.is_empty() {
                break;
            }
            let first = self.next;
            self.next += entries.len() as u64;
            self.in_flight.push_back(InFlight {
                next: self.next,
                bytes,
            });
            self.in_flight_bytes += bytes;
            self.waiting_since_ms.get_or_insert(now_ms);
            self.retry_at_ms.get_or_insert(now_ms + self.retry_ms);
            messages.push(Message::Entries {
                stream: self.stream,
                first,
                entries,
            });
        }
        messages
    }

    /// Entries for the next message, and their approximate size in bytes.
    fn next_entries(&self, now_ms: u64, state: &State, log: &RecordLog) -> (Vec<Entry>, usize) {
        let mut entries = Vec::new();
        let mut bytes = 0;
        for number in self.next.. {
            let Some(entry) = self.entry(number, now_ms, state, log) else {
                break;
            };
            let size = entry.approximate_bytes();
            if !entries.is_empty() && bytes + size > RECORDS_BYTES {
                break;
            }
            bytes += size;
            entries.push(entry);
        }
        (entries, bytes)
    }

    /// The entry with this number. A full copy of a job is made of its current state, which may be newer than at the
    /// comparison: records that it already includes have no effect when applied.
    fn entry(&self, number: u64, now_ms: u64, state: &State, log: &RecordLog) -> Option<Entry> {
        let steps = self.steps.len() as u64;
        if number <= steps {
            return match self.steps.get(usize::try_from(number - 1).ok()?)? {
                SyncStep::Send(id) => Some(match state.jobs.get(id) {
                    Some(job) => full_job_entry(job, now_ms),
                    None => Entry::JobForgotten(id.clone()),
                }),
                SyncStep::Drop(id) => Some(Entry::JobForgotten(id.clone())),
            };
        }
        if number == steps + 1 {
            return Some(Entry::Synced(self.stream.epoch));
        }
        log.get(self.start + (number - steps - 1)).cloned()
    }

    /// Index of the newest record that the store has on disk; `None` until it is in sync with the primary.
    pub fn acknowledged_index(&self) -> Option<u64> {
        if !matches!(self.phase, Phase::Streaming) {
            return None;
        }
        let beyond_sync = self.acknowledged.checked_sub(self.steps.len() as u64 + 2)?;
        Some(self.start + beyond_sync)
    }

    /// Index of the newest record that this stream will not need again.
    pub fn released_index(&self) -> u64 {
        self.acknowledged_index().unwrap_or(self.start)
    }

    /// Time of the next retransmission, if one is scheduled.
    pub fn retry_at_ms(&self) -> Option<u64> {
        self.retry_at_ms
    }

    /// Retransmits after a time-out. A comparison is repeated for the current range within the same attempt, so that
    /// the answer to the first transmission still counts when a saturated link delays all answers beyond the time-out.
    /// The digests are recomputed, which is safe because all records since the start of the attempt follow.
    pub fn retry(&mut self, now_ms: u64, state: &State, log: &RecordLog) -> Option<Message> {
        if self.retry_at_ms.is_none_or(|at_ms| now_ms < at_ms) {
            return None;
        }
        self.counts.retries += 1;
        self.retry_ms = (self.retry_ms * 2).min(MAX_RETRY_MS);
        self.retry_at_ms = None;
        match &self.phase {
            Phase::Comparing { after, .. } => Some(self.compare(now_ms, state, after.clone())),
            Phase::Postponed => Some(self.begin(now_ms, state, log)),
            Phase::Streaming => {
                self.next = self.acknowledged;
                self.clear_in_flight();
                None
            }
        }
    }

    /// Abandons the stream: a new attempt starts when the retry is due, and until then no record is retained for the
    /// store.
    pub fn restart_later(&mut self, now_ms: u64) {
        self.counts.streams_abandoned += 1;
        self.phase = Phase::Postponed;
        self.start = u64::MAX;
        self.clear_in_flight();
        // An answer to the abandoned attempt must not be accepted as an answer to the next one.
        self.stream.attempt += 1;
        self.retry_at_ms = Some(now_ms + self.retry_ms);
    }

    /// Whether the store has not acknowledged pending data for `SILENT_MS`.
    pub fn is_silent(&self, now_ms: u64) -> bool {
        self.waiting_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + SILENT_MS)
    }

    /// Records progress: resets the time-out and the start of the wait.
    fn progressed(&mut self, now_ms: u64) {
        self.retry_ms = INITIAL_RETRY_MS;
        self.waiting_since_ms = Some(now_ms);
    }

    /// Discards the unacknowledged messages.
    fn clear_in_flight(&mut self) {
        self.in_flight.clear();
        self.in_flight_bytes = 0;
    }
}
