//! The interface between a [`Replica`](super::Replica) and its host process.
//!
//! A replica does no I/O. The host passes it an [`Input`] (a message, a finished disk write, a proposal, the passage of
//! time) and carries out the resulting [`Output`]s in order. The host also supplies the replicated state, a
//! [`StateMachine`].

use super::message::Message;
pub use super::vocabulary::{
    Ancestor, Epoch, EpochRecord, Member, MemberId, Millis, Token, Version,
};
use thiserror::Error;

/// The decision of a state machine on a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Replicate this command, which changes the state.
    Replicate(Vec<u8>),
    /// Change nothing and return this answer to the proposer. It is based on the committed state.
    Answer(Vec<u8>),
}

/// The replicated state. It must be deterministic: the result of a command depends on the state and the command only.
pub trait StateMachine {
    /// Decides a request against the newest committed state. Called on the primary only; no other command is applied
    /// between the decision and the command that results from it.
    fn decide(&self, request: &[u8]) -> Decision {
        Decision::Replicate(request.to_vec())
    }
    /// Applies a committed command.
    fn apply(&mut self, command: &[u8]);
    /// Encodes the complete state.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the complete state with one that [`StateMachine::snapshot`] encoded.
    fn restore(&mut self, snapshot: &[u8]);
}

/// The contents of a member's disk at the start of its process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The snapshot of the newest complete [`Output::Persist`] with `replace_all`, if any.
    pub snapshot: Option<Vec<u8>>,
    /// The records written since that snapshot, in order.
    pub records: Vec<Vec<u8>>,
}

/// An event that the host reports to a replica by [`super::Replica::handle`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Time has passed. Due at [`super::Replica::next_wakeup`]; it is safe earlier or later.
    Tick,
    /// A message arrived. Messages may be delayed, duplicated or reordered.
    Message {
        /// The sender.
        from: Member,
        /// The message.
        message: Message,
    },
    /// The write with this token is synced to disk. Writes complete in the order of their [`Output::Persist`].
    Persisted(Token),
    /// The write with this token failed. Its records and those of all later unfinished writes may or may not be on disk.
    PersistFailed(Token),
    /// A request for the state machine. Its result is reported by [`Output::Proposed`].
    Propose {
        /// Identifies the proposal.
        token: Token,
        /// Passed to [`StateMachine::decide`].
        request: Vec<u8>,
    },
    /// Found the core: create the founding record with these witnesses.
    ///
    /// Sent only to a member for which [`super::Replica::may_found`] holds, after all seeds have reported whether they have
    /// a disk, and only if a majority of the seeds' disks were initialised at the first start of the system. A seed that
    /// lost its disk before the founding joins later.
    Found {
        /// The seeds whose disk was initialised at the first start; this member may be missing.
        witnesses: Vec<Member>,
    },
    /// This member requests to join. Its host repeats the request to the primary while
    /// [`super::Replica::wants_to_join`] holds there.
    Join(Member),
    /// The process is shutting down: a primary transfers its role to another replica. Completes with
    /// [`Output::HandedOver`].
    Leave,
}

/// An action that a replica requests of its host. The host carries actions out in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Write to disk and sync, then report [`Input::Persisted`] or [`Input::PersistFailed`].
    Persist {
        /// Identifies the write.
        token: Token,
        /// Records to append to the log.
        writes: Vec<Vec<u8>>,
        /// A snapshot that replaces everything written before; `writes` is empty then.
        replace_all: Option<Vec<u8>>,
    },
    /// Send a message now. It may be lost.
    Send {
        /// The recipient.
        to: Member,
        /// The message.
        message: Message,
    },
    /// The committed state has changed.
    Committed {
        /// Version of the committed state.
        version: Version,
    },
    /// A proposal is complete.
    Proposed {
        /// Identifies the proposal.
        token: Token,
        /// Its result.
        result: Result<Outcome, ProposeError>,
    },
    /// The role of this member has changed.
    RoleChanged(Role),
    /// Answer to [`Input::Leave`]: another member has taken over, or none can; the process may exit.
    HandedOver,
}

/// The result of a successful proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Its command is committed.
    Committed(Version),
    /// The state machine answered without a change ([`Decision::Answer`]).
    Answered(Vec<u8>),
}

/// Reason why a proposal failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// The request was not executed and never will be: this member is not the primary, or lost its lease before it began
    /// to replicate the command.
    #[error("this core member does not decide now; nothing was changed: ask the primary")]
    NotPrimary,
    /// The request was not executed and never will be: the queue of proposals is full.
    #[error("the queue of proposals is full; nothing was changed: retry later")]
    Overloaded,
    /// The request may or may not have been executed: the member lost the primary role while the command was in flight.
    #[error(
        "the outcome of the change is unknown: read the state, or submit the same change again"
    )]
    Unknown,
}

/// Role of a member, for logs and the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Not a member, or no longer: see [`super::Replica::wants_to_join`].
    Outside,
    /// A member that follows a primary or waits for one.
    Follower,
    /// A member that tries to become the primary.
    Candidate,
    /// The primary of an active epoch, with or without a lease.
    Primary,
}

/// Reason why a member can't start from the contents of its disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RecoveryError {
    /// The snapshot can't be decoded.
    #[error(
        "the core's snapshot in the data folder can't be decoded; empty the folder to start as a new member"
    )]
    Snapshot,
    /// The record at this position of the log, counted from 0, can't be decoded.
    #[error(
        "record {0} (from 0) of the core's log in the data folder can't be decoded; \
         empty the folder to start as a new member"
    )]
    Record(usize),
}
