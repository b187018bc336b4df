//! Messages between members. Each may be lost, doubled, reordered or late.

use super::vocabulary::{Epoch, EpochRecord, Member, MemberId, Millis, Version};
use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};

/// A message with its ends, as a host sends it.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Envelope {
    /// Who sent it.
    #[n(0)]
    pub from: Member,
    /// Whom it is for: another disk at the same address puts it aside.
    #[n(1)]
    pub to: MemberId,
    /// The message.
    #[n(2)]
    pub message: Message,
}

/// A message.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Message {
    /// Candidate to witnesses: would you promise? Changes nothing.
    #[n(0)]
    PreVote(#[n(0)] PreVote),
    /// Answer to [`Message::PreVote`].
    #[n(1)]
    PreVoteAnswer(#[n(0)] PreVoteAnswer),
    /// Candidate to witnesses: promise to take part in no lower epoch.
    #[n(2)]
    Prepare(#[n(0)] Prepare),
    /// Answer to [`Message::Prepare`]; the promise is on disk.
    #[n(3)]
    Promise(#[n(0)] Box<Promise>),
    /// Answer to any request that came too late or too early: what stands in its way.
    #[n(4)]
    Rejection(#[n(0)] Rejection),
    /// The primary of a new epoch to its replicas and witnesses.
    #[n(5)]
    Install(#[n(0)] Box<Install>),
    /// Answer to [`Message::Install`]; record and state are on disk.
    #[n(6)]
    Installed(#[n(0)] Installed),
    /// Primary to replicas: a command.
    #[n(7)]
    Write(#[n(0)] Write),
    /// Answer to [`Message::Write`]; the command is on disk.
    #[n(8)]
    Written(#[n(0)] Written),
    /// Primary to witnesses.
    #[n(9)]
    Heartbeat(#[n(0)] Heartbeat),
    /// Answer to [`Message::Heartbeat`].
    #[n(10)]
    HeartbeatAnswer(#[n(0)] HeartbeatAnswer),
    /// Primary to a replica: take over now.
    #[n(11)]
    HandOver(#[n(0)] HandOver),
    /// Member to primary: my process is about to end.
    #[n(12)]
    Leaving,
}

/// A state on its way from one member to another.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct StateCopy {
    /// So far the sender knows it as committed.
    #[n(0)]
    pub version: Version,
    /// The state at that version.
    #[n(1)]
    pub snapshot: ByteVec,
    /// The command after it, written but not known as committed.
    #[n(2)]
    pub pending: Option<ByteVec>,
}

impl Promise {
    /// Number of the record to which its state belongs.
    pub fn state_epoch(&self) -> Option<Epoch> {
        self.state_record.as_ref().map(|record| record.number)
    }
}

impl StateCopy {
    /// Version with the pending command.
    pub fn accepted_version(&self) -> Version {
        self.version
            .saturating_add(Version::from(self.pending.is_some()))
    }
}

/// Would you promise?
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct PreVote {
    /// Names the attempt.
    #[n(0)]
    pub attempt: u64,
}

/// What a witness holds, and whether it would promise.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct PreVoteAnswer {
    /// The attempt that was asked about.
    #[n(0)]
    pub attempt: u64,
    /// It would.
    #[n(1)]
    pub would_promise: bool,
    /// It would not, for so long.
    #[n(2)]
    pub wait_ms: Millis,
    /// Its promise.
    #[n(3)]
    pub promised: Epoch,
    /// Its newest record.
    #[n(4)]
    pub record: Option<EpochRecord>,
}

/// Promise to take part in no lower epoch.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Prepare {
    /// The number.
    #[n(0)]
    pub number: Epoch,
    /// The primary of this epoch handed over to the candidate.
    #[n(1)]
    pub released_epoch: Option<Epoch>,
    /// Number of the record whose state the candidate holds, if any.
    #[n(2)]
    pub state_epoch: Option<Epoch>,
    /// Version of that state.
    #[n(3)]
    pub version: Version,
}

/// A promise, on disk.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Promise {
    /// The number.
    #[n(0)]
    pub number: Epoch,
    /// The witness's newest record; none if it was named by one but has not got it.
    #[n(1)]
    pub record: Option<EpochRecord>,
    /// The newest record in which it is or was a replica: where its state belongs.
    #[n(2)]
    pub state_record: Option<EpochRecord>,
    /// Version of its state, a command that it wrote but does not know as committed included.
    #[n(3)]
    pub version: Version,
    /// That state, where it is newer than the candidate's.
    #[n(4)]
    pub state: Option<StateCopy>,
}

/// What stands in a request's way.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Rejection {
    /// Number in the request.
    #[n(0)]
    pub number: Epoch,
    /// The promise of the member that refuses.
    #[n(1)]
    pub promised: Epoch,
    /// Its newest record.
    #[n(2)]
    pub record: Option<EpochRecord>,
}

/// Begin an epoch.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Install {
    /// What it is.
    #[n(0)]
    pub record: EpochRecord,
    /// Number of the record to which the state belongs with which it begins.
    #[n(1)]
    pub state_epoch: Epoch,
    /// Version of that state.
    #[n(2)]
    pub version: Version,
    /// That state; none for those who hold it already or are no replica.
    #[n(3)]
    pub state: Option<StateCopy>,
}

/// An epoch's record (and state) is on disk.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Installed {
    /// Number of the epoch.
    #[n(0)]
    pub number: Epoch,
}

/// Write a command.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Write {
    /// The epoch.
    #[n(0)]
    pub epoch: Epoch,
    /// Version of the state once it is applied; all before it are committed.
    #[n(1)]
    pub version: Version,
    /// For the state machine.
    #[cbor(n(2), with = "minicbor::bytes")]
    pub command: Vec<u8>,
}

/// A command is on disk.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Written {
    /// The epoch.
    #[n(0)]
    pub epoch: Epoch,
    /// Its version.
    #[n(1)]
    pub version: Version,
}

/// The primary is there.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Heartbeat {
    /// The epoch.
    #[n(0)]
    pub epoch: Epoch,
    /// Moment of its sending on the primary's clock; comes back in the answer.
    #[n(1)]
    pub sent_at: Millis,
    /// So far is committed.
    #[n(2)]
    pub committed: Version,
}

/// A witness's answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct HeartbeatAnswer {
    /// The epoch of the heartbeat.
    #[n(0)]
    pub epoch: Epoch,
    /// From the heartbeat.
    #[n(1)]
    pub sent_at: Millis,
    /// It promises nothing to others for the time of a grant from now on.
    #[n(2)]
    pub granted: bool,
    /// Its promise.
    #[n(3)]
    pub promised: Epoch,
    /// To whom. Two candidates may have tried the same number.
    #[n(4)]
    pub promised_to: MemberId,
    /// Number of the newest record that it has on disk.
    #[n(5)]
    pub record_number: Option<Epoch>,
    /// Its process is about to end.
    #[n(6)]
    pub leaving: bool,
}

/// Take over now.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct HandOver {
    /// The epoch that ends; its primary has stopped.
    #[n(0)]
    pub epoch: Epoch,
}
