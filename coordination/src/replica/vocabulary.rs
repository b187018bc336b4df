//! What members, epochs and their records are called, in messages, on disk and at the interface.

use minicbor::{Decode, Encode};

/// A moment of the host's steady clock, or a span of it, in milliseconds.
pub type Millis = u64;
/// Number of an epoch; 0: the founding, before which there is none.
pub type Epoch = u64;
/// Number of a committed or proposed state; grows over all epochs.
pub type Version = u64;
/// Names a member by its disk; a lost disk never comes back.
pub type MemberId = u64;
/// Comes back with the end of what it was given to.
pub type Token = u64;

/// A member with what its peers need to reach it. `contact` is opaque here.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Member {
    /// Its disk.
    #[n(0)]
    pub id: MemberId,
    /// Name of its machine: a new disk under the same name replaces the old one.
    #[n(1)]
    pub node: String,
    /// Name of its zone.
    #[n(2)]
    pub zone: String,
    /// Encoded addresses, for the host.
    #[cbor(n(3), with = "minicbor::bytes")]
    pub contact: Vec<u8>,
}

/// What an epoch is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct EpochRecord {
    /// Its number.
    #[n(0)]
    pub number: Epoch,
    /// The member that decides; 0 in the founding record.
    #[n(1)]
    pub primary: MemberId,
    /// The members that hold the state, the primary among them.
    #[n(2)]
    pub replicas: Vec<MemberId>,
    /// All members; a majority of them decides on the next epoch.
    #[n(3)]
    pub witnesses: Vec<Member>,
    /// While the members change: those before the change, a majority of whom is needed as well. Else empty.
    #[n(4)]
    pub former_witnesses: Vec<Member>,
    /// Number of the record from whose state it began.
    #[n(5)]
    pub follows: Epoch,
    /// That record and those before it, the newest first, back to one that is known to have been active. Should no disk be
    /// left that holds one of them, this tells whether it can ever have been active.
    #[cbor(n(6), default)]
    pub lineage: Vec<Ancestor>,
}

/// What a record tells of one from which it descends.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Ancestor {
    /// Its number.
    #[n(0)]
    pub number: Epoch,
    /// The members that had to hold its state before it was active.
    #[n(1)]
    pub replicas: Vec<MemberId>,
    /// Number of the record that it followed.
    #[n(2)]
    pub follows: Epoch,
}
