//! Inputs, outputs and outcomes of the [`Engine`](crate::engine::Engine), as its driver uses them. Status codes in the
//! docs are those that the gateway answers to the client.

use crate::job::{ItemRequest, JobId, ResultState};
use crate::message::Message;
use alderhollow_model::identity::DiskId;

/// Identifies a pending operation, which ends with [`Output::Resolved`] after its record is on every member's disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// Identifies one submission attempt of a client, drawn at random by the gateway. The gateway uses the same id when it
/// retries after an unknown outcome: once an attempt was rejected as over quota, no delayed copy of it is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubmissionAttemptId(pub u64);

/// Identifies one run of an item at a backend, unique within one incarnation of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// Sequence number of a write to the disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteTicket(pub u64);

/// Configuration of a batch route. Routes of other types are not passed to the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTerms {
    /// Time after the first send of a job at which all of its results are due, in milliseconds.
    pub run_target_ms: u64,
    /// Time after the first send of a job after which its items are abandoned, in milliseconds.
    pub retention_ms: u64,
    /// Number of failed attempts (answers of 500) after which an item is abandoned; at least 1.
    pub max_attempts: u32,
    /// Limit of queued tokens; 0 means unlimited.
    pub max_queued_tokens: u64,
}

/// An action that the driver must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a message to a store. Delivery may fail, be duplicated or be delayed.
    Send {
        /// Disk identity of the receiver.
        to: DiskId,
        /// The message.
        message: Message,
    },
    /// Append these records to the journal in order and sync them, then call `on_written`. Writes must complete in
    /// order.
    Write {
        /// Ticket to pass to `on_written`.
        ticket: WriteTicket,
        /// The records.
        records: Vec<Vec<u8>>,
    },
    /// A pending operation was resolved.
    Resolved {
        /// Token of the operation.
        token: Token,
        /// Its outcome.
        outcome: Outcome,
    },
    /// Results of the job became readable, or the job ended: pending reads can be answered.
    Readable(JobId),
    /// Cancel the run by closing its connection. `run_ended` must not be called for it.
    CancelRun(RunId),
}

/// Outcome of a pending operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The record is on every member's disk: 202 or 200.
    Committed,
    /// Unknown at this store: the caller must retry at the current primary. Then only [`Outcome::Committed`],
    /// [`SubmitOutcome::AlreadyAccepted`] or [`SubmitOutcome::OverQuota`] is final; no other outcome allows the client
    /// to be answered with 429 or 503.
    Unknown,
}

/// Outcome of a job submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The acceptance is pending until [`Output::Resolved`]. Submitting the same job again returns the same token.
    Pending(Token),
    /// The job was accepted before: 202.
    AlreadyAccepted,
    /// The job exceeds the limit of queued tokens: 429. The job is not stored.
    OverQuota,
    /// This store is not the primary of the newest epoch that it knows; the caller must ask the current primary. The
    /// job is not stored.
    NotPrimary,
    /// This store is the primary but cannot accept the job now: its epoch is not validated or not active, its disk or
    /// a member lags too far behind, or the route is not known yet. 503; the job is not stored.
    NotSure,
    /// The job is invalid (no items, too many items, duplicate item ids): 400. The job is not stored.
    Invalid,
}

/// Description of a job that a gateway sends before it submits the job itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobOffer<'a> {
    /// The job.
    pub id: &'a JobId,
    /// Name of the route.
    pub route: &'a str,
    /// Tokens of all items; 0 asks only whether the job is known, and needs no capacity.
    pub tokens: u64,
}

/// Outcome of an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The job would be accepted now.
    Welcome,
    /// The job exceeds this group's limit; the route's coordinator must decide.
    BeyondLimit,
    /// The job exceeds the limit: 429. The attempt is rejected from now on.
    OverQuota,
    /// The job was accepted before: 202.
    AlreadyAccepted,
    /// The acceptance is pending, or this store cannot decide now. Nothing is stored.
    NotSure,
    /// This store is not the primary of the newest epoch that it knows.
    NotPrimary,
}

/// Outcome of a read.
#[derive(Debug, Clone, PartialEq)]
pub enum ReadOutcome<'a> {
    /// The results from the requested position on.
    Results {
        /// Number of items in the job.
        total: u32,
        /// Position after the last returned result.
        next: u32,
        /// The results; empty if there are none yet.
        results: Vec<ListedResult<'a>>,
        /// Whether no further results will follow.
        closed: bool,
    },
    /// There is no such job: 404. Only a validated active primary answers this.
    NotFound,
    /// This store is not the primary.
    NotPrimary,
    /// This store cannot answer now: 503.
    NotSure,
}

/// A result as returned by a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedResult<'a> {
    /// The item's id.
    pub id: &'a str,
    /// Final state of the item.
    pub state: ResultState,
    /// Text of the result.
    pub text: &'a str,
}

/// Outcome of reading an item's request body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyOutcome<'a> {
    /// The decoded body.
    Body(&'a [u8]),
    /// There is no such job or item, the item has a result, or the job has ended: 404.
    NotFound,
    /// This store is not the primary.
    NotPrimary,
    /// This store cannot answer now: 503.
    NotSure,
}

/// Outcome of ending a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndOutcome {
    /// The end is pending until [`Output::Resolved`].
    Pending(Token),
    /// The job was ended before: 200.
    AlreadyEnded,
    /// There is no such job. Only a validated active primary answers this.
    NotFound,
    /// This store is not the primary.
    NotPrimary,
    /// This store cannot answer now: 503.
    NotSure,
}

/// An item that the driver must run at a backend.
#[derive(Debug, Clone, PartialEq)]
pub struct ItemStart {
    /// Id of the run.
    pub run: RunId,
    /// The job.
    pub job: JobId,
    /// Name of the route.
    pub route: String,
    /// The route's `Host`.
    pub host: String,
    /// The item's id, for `Request-Id`.
    pub item_id: String,
    /// Tokens of the item.
    pub tokens: u64,
    /// Number of failed attempts (answers of 500) so far.
    pub failures: u32,
    /// The request.
    pub request: ItemRequest,
    /// Time at which the results are due, in milliseconds on the monotonic clock of this process; may be in the past.
    pub due_ms: i64,
    /// Time at which the item is abandoned, in milliseconds on the monotonic clock of this process.
    pub abandon_at_ms: i64,
    /// Position at which an earlier run was interrupted; `None` to start from the first event.
    pub resume: Option<Resume>,
}

/// Resume position of an item: how far its interrupted runs got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resume {
    /// Id of the last complete event, for `Last-Event-Id`.
    pub last_event_id: u64,
    /// Data of all events up to that one, separated by line feeds.
    pub text: String,
}

/// Outcome of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// The backend completed the item. The text is complete, including the text of `resume`.
    Completed {
        /// Data of all events in order, separated by line feeds.
        text: String,
    },
    /// The backend answered 422: a retry cannot succeed.
    Rejected,
    /// The backend answered 500: a failed attempt.
    Failed,
    /// The backend did not execute the item (421, `Not-Executed`, no connection). This is not counted as an attempt.
    NotRun {
        /// Delay before the next attempt, in milliseconds.
        retry_after_ms: u64,
    },
    /// No backend can run the item now, and it was not sent to any. Until the delay has passed it counts neither as waiting
    /// for a run nor towards the windows.
    Postponed {
        /// Delay before the next check, in milliseconds.
        retry_after_ms: u64,
    },
    /// The stream was interrupted, or it is unknown whether the backend executed the item. This is not counted as a
    /// failed attempt.
    Interrupted {
        /// Resume position; `None` if no event was complete.
        resume: Option<Resume>,
        /// Delay before the next attempt, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Status of a store in its group, as reported to the core.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GroupStatus {
    /// Newest epoch that this store knows.
    pub epoch: u64,
    /// Whether this store is the primary of that epoch.
    pub primary: bool,
    /// Whether the epoch is active, that is, all members are in sync with the primary. Only the primary sets this.
    pub active: bool,
    /// For a store that is not the primary: whether it was in sync with the primary at some time in this epoch and has
    /// recorded that on disk. A member of the epoch then has everything that was acknowledged; a learner has
    /// everything acknowledged up to that time.
    pub synced: bool,
    /// Learners that are in sync and may become members.
    pub in_sync: Vec<DiskId>,
    /// Members that have not acknowledged for some time although records are pending for them.
    pub silent: Vec<DiskId>,
    /// A member that may have acknowledged jobs which this primary lacks; that member must become the primary instead.
    pub behind: Option<DiskId>,
}
