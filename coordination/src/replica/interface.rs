//! The interface of a core member: what it is told, what it asks for, and the messages between members.

use minicbor::{Decode, Encode};

/// A moment of the host's steady clock, or a span of it, in milliseconds.
pub type Millis = u64;
/// Number of an epoch; 0: none yet.
pub type Epoch = u64;
/// Number of a committed or proposed state; grows over all epochs.
pub type Version = u64;
/// Names a member by its disk; a lost disk never comes back.
pub type MemberId = u64;
/// Comes back with the end of what it was given to.
pub type Token = u64;

/// A member with what its peers need to reach it. `address` is opaque here.
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
    #[n(3)]
    pub contact: Vec<u8>,
}

/// What an epoch is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct EpochRecord {
    /// Its number.
    #[n(0)]
    pub number: Epoch,
    /// The member that decides.
    #[n(1)]
    pub primary: MemberId,
    /// The members that hold the state, the primary among them.
    #[n(2)]
    pub replicas: Vec<MemberId>,
    /// All members; a majority of them decides on the next epoch.
    #[n(3)]
    pub witnesses: Vec<Member>,
}

/// The replicated state. Applying a command must depend on the state and the command alone.
pub trait StateMachine {
    /// Applies a committed command.
    fn apply(&mut self, command: &[u8]);
    /// The whole state.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the whole state by one from [`StateMachine::snapshot`].
    fn restore(&mut self, snapshot: &[u8]);
}
