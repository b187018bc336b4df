//! Messages of [`ServiceId::Distribution`](crate::internal::ServiceId).

use alderhollow_model::backend::BackendList;
use alderhollow_model::identity::{Address, DiskId, NodeInfo};
use alderhollow_model::snapshot::Senders;
use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};

/// What a process asks another.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum Request {
    /// Requests the process's identity and its view of the core.
    #[n(0)]
    Identify,
    /// What is newer than what I hold?
    #[n(1)]
    Poll(#[n(0)] Box<Poll>),
}

/// A long-poll.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Poll {
    /// Who asks.
    #[n(0)]
    pub node: NodeInfo,
    /// What the asker holds.
    #[n(1)]
    pub held: HeldVersions,
    /// How long the answer may wait for something newer.
    #[n(2)]
    pub wait_ms: u32,
    /// Whether the asker is about to end.
    #[n(3)]
    pub leaving: bool,
    /// What a store reports of its batch group; empty from gateways.
    #[n(4)]
    pub batch_status: ByteVec,
}

/// The versions of a process's tables.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub struct HeldVersions {
    /// Of the control state; 0: none.
    #[n(0)]
    pub control: u64,
    /// Of the backends.
    #[n(1)]
    pub backends: Stamp,
    /// Of the senders.
    #[n(2)]
    pub senders: Stamp,
}

/// Position in the order of all tables of one kind, over all primaries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Stamp {
    /// Epoch of the primary that made the table.
    #[n(0)]
    pub epoch: u64,
    /// Counts that primary's tables.
    #[n(1)]
    pub sequence: u64,
}

/// What a process answers.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum Answer {
    /// To [`Request::Identify`].
    #[n(0)]
    Identity(#[n(0)] NodeInfo, #[n(1)] CoreView),
    /// To [`Request::Poll`], by the primary while it holds its lease.
    #[n(1)]
    Update(#[n(0)] Update),
    /// To [`Request::Poll`], by all others.
    #[n(2)]
    NotPrimary(#[n(0)] CoreView),
}

/// The tables that are newer than what the asker holds; all that is left out is up to date.
#[derive(Debug, Clone, Default, PartialEq, Encode, Decode)]
pub struct Update {
    /// The control state.
    #[n(0)]
    pub control: Option<EncodedControl>,
    /// The backends.
    #[n(1)]
    pub backends: Option<BackendList>,
    /// The senders.
    #[n(2)]
    pub senders: Option<StampedSenders>,
    /// Where the core is, with every answer that brings something else.
    #[n(4)]
    pub core: Option<CoreView>,
    /// To members of the core, with the senders: who polls, so that a successor can introduce itself to those that forget.
    #[n(5)]
    pub pollers: Option<Vec<Address>>,
}

impl Update {
    /// Whether it brings nothing.
    pub fn is_empty(&self) -> bool {
        self.control.is_none() && self.backends.is_none() && self.senders.is_none()
    }
}

/// A control state as the control state's own module encodes it.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct EncodedControl {
    /// Its version.
    #[n(0)]
    pub version: u64,
    /// Its encoding.
    #[n(1)]
    pub bytes: ByteVec,
}

/// The senders with their version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct StampedSenders {
    /// The version.
    #[n(0)]
    pub stamp: Stamp,
    /// The senders.
    #[n(1)]
    pub senders: Senders,
}

/// A notice that wants no answer.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Notice {
    /// By the primary while it holds its lease, to processes that may not know where the core is.
    #[n(0)]
    Introduction(#[n(0)] CoreView),
}

/// Where the core is, as far as the one who says so knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct CoreView {
    /// The primary.
    #[n(0)]
    pub primary: Option<CoreMember>,
    /// Members of the core.
    #[n(1)]
    pub members: Vec<CoreMember>,
    /// Number of the epoch record that names the members; 0: none is known.
    #[cbor(n(2), default)]
    pub epoch: u64,
}

/// A member of the core, with its addresses.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct CoreMember {
    /// Its disk.
    #[n(0)]
    pub disk: DiskId,
    /// Where it takes the tier's own messages.
    #[n(1)]
    pub internal: Address,
    /// Where operators call it.
    #[n(2)]
    pub control: Option<Address>,
    /// Whether its process serves no clients: it runs on a machine of the core's own.
    #[cbor(n(3), default)]
    pub is_dedicated: bool,
}
