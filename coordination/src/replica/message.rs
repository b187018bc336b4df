//! Messages between members. Any message may be lost, duplicated, reordered or delayed.
//!
//! | step | request | answer |
//! | --- | --- | --- |
//! | pre-vote (no state changes) | [`PreVote`] | [`PreVoteAnswer`] |
//! | prepare (phase 1 of Paxos) | [`Prepare`] | [`Promise`] |
//! | install an epoch record (phase 2) | [`Install`] | [`Installed`] |
//! | replicate a command | [`Write`] | [`Written`] |
//! | renew the lease | [`Heartbeat`] | [`HeartbeatAnswer`] |
//! | planned change of the primary | [`HandOver`] | the successor's [`Prepare`] |
//!
//! A member answers with [`Rejection`] to a request of an epoch below its promise. The indexes in `#[n(..)]` are the wire
//! format and never change.

use super::vocabulary::{Epoch, EpochRecord, Member, MemberId, Millis, Version};
use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};

/// A message with its sender and recipient, as hosts exchange it.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Envelope {
    /// The sender.
    #[n(0)]
    pub from: Member,
    /// The recipient. A member with another identity at the same address discards the message.
    #[n(1)]
    pub to: MemberId,
    /// The message.
    #[n(2)]
    pub message: Message,
}

/// A message between two members.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Message {
    /// Candidate to witnesses: asks whether they would promise. It changes no state.
    #[n(0)]
    PreVote(#[n(0)] PreVote),
    /// Answer to [`Message::PreVote`].
    #[n(1)]
    PreVoteAnswer(#[n(0)] PreVoteAnswer),
    /// Candidate to witnesses: asks for the promise to take part in no lower epoch.
    #[n(2)]
    Prepare(#[n(0)] Prepare),
    /// Answer to [`Message::Prepare`], sent once the promise is on disk.
    #[n(3)]
    Promise(#[n(0)] Box<Promise>),
    /// Answer to a request that conflicts with a promise or an unexpired lease of the recipient.
    #[n(4)]
    Rejection(#[n(0)] Rejection),
    /// Primary of a new epoch to its replicas and witnesses: the epoch record.
    #[n(5)]
    Install(#[n(0)] Box<Install>),
    /// Answer to [`Message::Install`], sent once the record and the state are on disk.
    #[n(6)]
    Installed(#[n(0)] Installed),
    /// Primary to replicas: a command to append.
    #[n(7)]
    Write(#[n(0)] Write),
    /// Answer to [`Message::Write`], sent once the command is on disk.
    #[n(8)]
    Written(#[n(0)] Written),
    /// Primary to witnesses and joining members: renews the lease and announces the commit version.
    #[n(9)]
    Heartbeat(#[n(0)] Heartbeat),
    /// Answer to [`Message::Heartbeat`].
    #[n(10)]
    HeartbeatAnswer(#[n(0)] HeartbeatAnswer),
    /// Primary to a replica: start an election at once (Raft's `TimeoutNow`).
    #[n(11)]
    HandOver(#[n(0)] HandOver),
    /// Member to primary: the sender's process is shutting down.
    #[n(12)]
    Leaving,
}

/// A copy of the replicated state, sent from one member to another.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct StateCopy {
    /// The version that the sender knows to be committed.
    #[n(0)]
    pub version: Version,
    /// Encoded state at that version.
    #[n(1)]
    pub snapshot: ByteVec,
    /// The next command, which is on the sender's disk but not known to be committed.
    #[n(2)]
    pub pending: Option<ByteVec>,
}

impl Promise {
    /// Number of the epoch record to which the sender's state belongs.
    pub fn state_epoch(&self) -> Option<Epoch> {
        self.state_record.as_ref().map(|record| record.number)
    }
}

impl StateCopy {
    /// Version of the state after the pending command, if there is one.
    pub fn accepted_version(&self) -> Version {
        self.version
            .saturating_add(Version::from(self.pending.is_some()))
    }
}

/// Asks a witness whether it would promise.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct PreVote {
    /// Random number that identifies the election attempt.
    #[n(0)]
    pub attempt: u64,
}

/// Answer of a witness to a pre-vote.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct PreVoteAnswer {
    /// The attempt of the [`PreVote`].
    #[n(0)]
    pub attempt: u64,
    /// Whether it would promise now.
    #[n(1)]
    pub would_promise: bool,
    /// If it would not: time until it might, in milliseconds. Otherwise 0.
    #[n(2)]
    pub wait_ms: Millis,
    /// The epoch that it has promised.
    #[n(3)]
    pub promised: Epoch,
    /// The newest epoch record that it has accepted.
    #[n(4)]
    pub record: Option<EpochRecord>,
}

/// Asks a witness for the promise to take part in no epoch below `number`.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Prepare {
    /// The epoch that the candidate wants to start.
    #[n(0)]
    pub number: Epoch,
    /// Set if the primary of this epoch handed over to the candidate: leases granted in it or before need not expire first.
    #[n(1)]
    pub released_epoch: Option<Epoch>,
    /// Number of the epoch record to which the candidate's state belongs, if it has a state.
    #[n(2)]
    pub state_epoch: Option<Epoch>,
    /// Version of the candidate's state.
    #[n(3)]
    pub version: Version,
}

/// The promise of a witness, with the state that it has. It is on disk.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Promise {
    /// The promised epoch.
    #[n(0)]
    pub number: Epoch,
    /// The newest epoch record that the witness has accepted; `None` if it is a new member that has not received one.
    #[n(1)]
    pub record: Option<EpochRecord>,
    /// The newest accepted record that names it as a replica: its state belongs to this record.
    #[n(2)]
    pub state_record: Option<EpochRecord>,
    /// Version of its state, including a command that is on its disk but not known to be committed.
    #[n(3)]
    pub version: Version,
    /// The state itself, if it is newer than the candidate's.
    #[n(4)]
    pub state: Option<StateCopy>,
}

/// Rejects a request, with what the sender of the request needs to know to retry.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Rejection {
    /// Epoch of the rejected request.
    #[n(0)]
    pub number: Epoch,
    /// The epoch that the rejecting member has promised.
    #[n(1)]
    pub promised: Epoch,
    /// The newest epoch record that it has accepted.
    #[n(2)]
    pub record: Option<EpochRecord>,
}

/// Asks a member to accept the record of a new epoch.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Install {
    /// The epoch record.
    #[n(0)]
    pub record: EpochRecord,
    /// Number of the base record, to which the initial state of the epoch belongs.
    #[n(1)]
    pub state_epoch: Epoch,
    /// Version of the initial state.
    #[n(2)]
    pub version: Version,
    /// The initial state; `None` for a replica that has it already and for a member that is no replica.
    #[n(3)]
    pub state: Option<StateCopy>,
}

/// Confirms that an epoch record, and the state where it was sent, is on disk.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Installed {
    /// The epoch.
    #[n(0)]
    pub number: Epoch,
}

/// Asks a replica to append a command.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Write {
    /// The primary's epoch.
    #[n(0)]
    pub epoch: Epoch,
    /// Version of the state after the command. All earlier versions are committed.
    #[n(1)]
    pub version: Version,
    /// The command, for [`StateMachine::apply`](super::interface::StateMachine::apply).
    #[cbor(n(2), with = "minicbor::bytes")]
    pub command: Vec<u8>,
}

/// Confirms that a command is on disk.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Written {
    /// The epoch of the write.
    #[n(0)]
    pub epoch: Epoch,
    /// Version of the command.
    #[n(1)]
    pub version: Version,
}

/// Renews the primary's lease.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Heartbeat {
    /// The epoch.
    #[n(0)]
    pub epoch: Epoch,
    /// Time of sending on the primary's clock. The answer repeats it; the lease is counted from it.
    #[n(1)]
    pub sent_at: Millis,
    /// The newest committed version.
    #[n(2)]
    pub committed: Version,
}

/// A witness's answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct HeartbeatAnswer {
    /// The epoch of the heartbeat.
    #[n(0)]
    pub epoch: Epoch,
    /// `sent_at` of the heartbeat.
    #[n(1)]
    pub sent_at: Millis,
    /// Whether the witness grants the lease: it promises nothing to other candidates for `grant_ms` from now on.
    #[n(2)]
    pub granted: bool,
    /// The epoch that it has promised.
    #[n(3)]
    pub promised: Epoch,
    /// The candidate to which it promised: two candidates may have used the same number.
    #[n(4)]
    pub promised_to: MemberId,
    /// Number of the newest epoch record that it has on disk.
    #[n(5)]
    pub record_number: Option<Epoch>,
    /// Whether its process is shutting down.
    #[n(6)]
    pub leaving: bool,
}

/// Asks a replica to take over at once.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct HandOver {
    /// The epoch that ends. Its primary no longer uses its lease.
    #[n(0)]
    pub epoch: Epoch,
}
