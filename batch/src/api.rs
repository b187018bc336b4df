//! What the driver asks of the [`Engine`](crate::engine::Engine), and what it is answered.

use crate::job::{ItemRequest, JobId, ResultState};
use crate::message::Message;
use alderhollow_model::identity::DiskId;

/// Names the end of an operation that must first be on every member's disk. See [`Output::Resolved`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// Names one try of a client as a gateway took it, drawn at random by the gateway. When the gateway asks again after an unknown
/// end it gives the same one: once a try was refused as over quota, no late copy of it is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubmissionAttemptId(pub u64);

/// Names one run of an item at a backend, within one life of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// Counts writes to the disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteTicket(pub u64);

/// What a batch route's configuration says. Routes of other types are not passed to the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTerms {
    /// All results are due so long after the job was first sent.
    pub run_target_ms: u64,
    /// An item may be given up so long after its job was first sent.
    pub retention_ms: u64,
    /// Answers of 500 after which an item is given up; at least 1.
    pub max_attempts: u32,
    /// Tokens that may wait; 0: no limit.
    pub max_queued_tokens: u64,
}

/// Something the driver must do.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a message to a store. It may get lost, doubled or late.
    Send {
        /// The receiver's disk.
        to: DiskId,
        /// The message.
        message: Message,
    },
    /// Append these records to the journal, in order, and sync them; then call `written`. Writes end in order.
    Write {
        /// What `written` is to be called with.
        ticket: WriteTicket,
        /// The records.
        records: Vec<Vec<u8>>,
    },
    /// An operation has ended.
    Resolved {
        /// The one.
        token: Token,
        /// How.
        outcome: Outcome,
    },
    /// Results of the job became readable, or it ended: held reads may be answered.
    Readable(JobId),
    /// Close the run's connection; nothing of it is wanted any more. `run_ended` is not to be called for it.
    CancelRun(RunId),
}

/// End of an operation that was pending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It is on every member's disk: 202 or 200.
    Committed,
    /// It can't be known here: the caller must hand it in again at the primary in place. Only [`Outcome::Committed`],
    /// [`SubmitOutcome::AlreadyAccepted`] or [`SubmitOutcome::OverQuota`] settles it then; no other answer allows 429 or 503.
    Unknown,
}

/// Answer to a job handed in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// Under way; [`Output::Resolved`] tells its end. The same job handed in again gets the same token.
    Pending(Token),
    /// It was accepted before: 202.
    AlreadyAccepted,
    /// It doesn't fit: 429. Nothing of this call is kept.
    OverQuota,
    /// This store is not the primary of the newest epoch it knows of: ask the one in place. Nothing of this call is
    /// kept.
    NotPrimary,
    /// This store is the primary but can't accept now (not validated, its epoch not active, its disk or a member too
    /// far behind, the route not known yet): 503. Nothing of this call is kept.
    NotSure,
    /// The job breaks a bound (no items, too many, repeated item ids): 400. Nothing of this call is kept.
    Invalid,
}

/// What a gateway offers of a job before it hands it in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobOffer<'a> {
    /// The job.
    pub id: &'a JobId,
    /// Name of its route.
    pub route: &'a str,
    /// Tokens of all its items; 0 asks only whether the job is known, and needs no room.
    pub tokens: u64,
}

/// Answer to a job that is offered before it is handed in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It would be taken now.
    Welcome,
    /// It doesn't fit this group's limit; the route's coordinator has to be asked.
    BeyondLimit,
    /// It doesn't fit: 429. The try is refused from now on.
    OverQuota,
    /// It was accepted before: 202.
    AlreadyAccepted,
    /// It is under way, or this store can't tell or take it now. Nothing of this call is kept.
    NotSure,
    /// This store is not the primary of the newest epoch it knows of.
    NotPrimary,
}

/// Answer to a read.
#[derive(Debug, Clone, PartialEq)]
pub enum ReadOutcome<'a> {
    /// The results from the position asked for.
    Results {
        /// Items in the job.
        total: u32,
        /// Position after the last one given.
        next: u32,
        /// The results; empty if there is none yet.
        results: Vec<ListedResult<'a>>,
        /// Whether no result will come any more.
        closed: bool,
    },
    /// There is no such job: 404. Given only by a primary that is sure.
    NotFound,
    /// This store is not the primary.
    NotPrimary,
    /// Can't be told here and now: 503.
    NotSure,
}

/// One result, as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedResult<'a> {
    /// The item's id.
    pub id: &'a str,
    /// How it ended.
    pub state: ResultState,
    /// Its text.
    pub text: &'a str,
}

/// Answer to a question for an item's body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyOutcome<'a> {
    /// The decoded body.
    Body(&'a [u8]),
    /// No such job or item, or the item is listed, or the job has ended: 404.
    NotFound,
    /// This store is not the primary.
    NotPrimary,
    /// Can't be told here and now: 503.
    NotSure,
}

/// Answer to the end of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndOutcome {
    /// Under way; [`Output::Resolved`] tells its end.
    Pending(Token),
    /// It has ended before: 200.
    AlreadyEnded,
    /// There is no such job. Given only by a primary that is sure.
    NotFound,
    /// This store is not the primary.
    NotPrimary,
    /// Can't be told here and now: 503.
    NotSure,
}

/// An item to run.
#[derive(Debug, Clone, PartialEq)]
pub struct ItemStart {
    /// Names the run.
    pub run: RunId,
    /// The job.
    pub job: JobId,
    /// Name of its route.
    pub route: String,
    /// The route's `Host`.
    pub host: String,
    /// The item's id, for `Request-Id`.
    pub item_id: String,
    /// Its tokens.
    pub tokens: u64,
    /// Answers of 500 so far.
    pub failures: u32,
    /// The request.
    pub request: ItemRequest,
    /// When its results are due, on the steady clock; it may be past.
    pub due_ms: i64,
    /// When it is given up, on the steady clock.
    pub abandon_at_ms: i64,
    /// Where an earlier run was cut; `None` to start from the first event.
    pub resume: Option<Resume>,
}

/// How far the runs of an item got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resume {
    /// Id of the last whole event, for `Last-Event-Id`.
    pub last_event_id: u64,
    /// Data of all events up to it, parted by line feeds.
    pub text: String,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// The backend finished. The text is the item's whole text, with what `resume` held in front.
    Completed {
        /// Data of all events in order, parted by line feeds.
        text: String,
    },
    /// 422: it can never be done.
    Rejected,
    /// 500: a failed attempt.
    Failed,
    /// The backend did not run it (421, `Not-Executed`, no connection).
    NotRun {
        /// How long to wait before the next try.
        retry_after_ms: u64,
    },
    /// The stream broke off, or it can't be told whether the backend ran it.
    Interrupted {
        /// How far it got; `None` if there was no whole event.
        resume: Option<Resume>,
        /// How long to wait before the next try.
        retry_after_ms: u64,
    },
}

/// What the store reports to the core of its part in the group.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GroupStatus {
    /// The newest epoch that this store knows of.
    pub epoch: u64,
    /// Whether this store is its primary.
    pub primary: bool,
    /// Whether it is active here: all members equal the primary. Only the primary knows.
    pub active: bool,
    /// Not the primary: whether this store equalled the primary at some time in this epoch, and has that on disk. A
    /// member of the epoch then holds all that was acknowledged; a learner does so up to that time.
    pub synced: bool,
    /// Learners that have caught up; they may be made members.
    pub in_sync: Vec<DiskId>,
    /// Members that have not acknowledged for some time, although something waits for them.
    pub silent: Vec<DiskId>,
    /// A member that may hold acknowledged jobs which this primary doesn't have: it must be the primary instead.
    pub behind: Option<DiskId>,
}
