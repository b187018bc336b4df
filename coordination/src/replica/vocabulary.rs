//! The basic types of the replication protocol: members, epochs and epoch records.
//!
//! An *epoch* is what Raft calls a term: a numbered period with at most one primary. An *epoch record* is the
//! configuration of one epoch. It names the primary, the *replicas* (members that store the replicated state) and the
//! *witnesses* (all members; each of them votes). A record is *active* once all its replicas and a quorum of its witnesses
//! have it on disk; only then does its primary serve.
//!
//! These types go over the wire and to disk: the indexes in `#[n(..)]` never change.

use minicbor::{Decode, Encode};

/// A point in time of the host's monotonic clock, or a duration, in milliseconds.
pub type Millis = u64;
/// Number of an epoch. Epoch 0 is the founding epoch, which has no primary.
pub type Epoch = u64;
/// Version of the replicated state: the number of commands that led to it. It increases by one with each command, across
/// epochs.
pub type Version = u64;
/// Identity of a member, drawn at random and stored on its disk. A member whose disk is lost returns with a new identity.
pub type MemberId = u64;
/// Identifies a disk write or a proposal; the completion carries the same token as the request.
pub type Token = u64;

/// A member and what its peers need to reach it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Member {
    /// Identity of the member's disk.
    #[n(0)]
    pub id: MemberId,
    /// Name of its machine. A new member with the name of an existing one replaces it.
    #[n(1)]
    pub node: String,
    /// Name of its availability zone.
    #[n(2)]
    pub zone: String,
    /// Encoded addresses. The protocol passes them to the host without reading them.
    #[cbor(n(3), with = "minicbor::bytes")]
    pub contact: Vec<u8>,
}

/// The configuration of one epoch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct EpochRecord {
    /// Number of the epoch.
    #[n(0)]
    pub number: Epoch,
    /// The primary; 0 in the founding record.
    #[n(1)]
    pub primary: MemberId,
    /// The members that store the replicated state, the primary among them. A command is committed once all of them have
    /// it on disk.
    #[n(2)]
    pub replicas: Vec<MemberId>,
    /// All members. A majority of them grants the primary its lease and elects the next primary.
    #[n(3)]
    pub witnesses: Vec<Member>,
    /// During a membership change: the members before the change, of which a majority is needed too (joint consensus).
    /// Otherwise empty.
    #[n(4)]
    pub former_witnesses: Vec<Member>,
    /// Number of the *base* record: the one whose state is the initial state of this epoch.
    #[n(5)]
    pub follows: Epoch,
    /// The base record and its ancestors, the newest first, back to one that is known to have been active. It shows
    /// whether an ancestor can ever have been active when no remaining disk has that ancestor's record.
    #[cbor(n(6), default)]
    pub lineage: Vec<Ancestor>,
}

/// Summary of a record from which an epoch record descends.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Ancestor {
    /// Number of the epoch.
    #[n(0)]
    pub number: Epoch,
    /// The replicas of the record: all of them had to have it on disk before it was active.
    #[n(1)]
    pub replicas: Vec<MemberId>,
    /// Number of its base record.
    #[n(2)]
    pub follows: Epoch,
}
