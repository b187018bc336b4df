//! Messages of [`ServiceId::Distribution`](crate::internal::ServiceId), encoded as CBOR (`minicbor`). Indexes never change;
//! new fields are optional.

use super::difference::{BackendsDifference, ControlDifference, SendersDifference};
use alderhollow_model::backend::BackendList;
use alderhollow_model::identity::{Address, DiskId, NodeInfo};
use alderhollow_model::snapshot::Senders;
use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};

/// A request of a process to another one.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum Request {
    /// Requests the process's identity and its view of the core.
    #[n(0)]
    Identify,
    /// Requests the tables that are newer than the sender's.
    #[n(1)]
    Poll(#[n(0)] Box<Poll>),
}

/// A long-poll.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Poll {
    /// Identity of the sender.
    #[n(0)]
    pub node: NodeInfo,
    /// Versions of the sender's tables.
    #[n(1)]
    pub versions: TableVersions,
    /// Time for which the answer may be delayed until there is something newer, in ms.
    #[n(2)]
    pub wait_ms: u32,
    /// Whether the sender is shutting down.
    #[n(3)]
    pub leaving: bool,
    /// A store's encoded report on its batch groups; empty from other roles.
    #[n(4)]
    pub batch_status: ByteVec,
    /// What answers with differences may build on; absent from a process that takes complete tables only.
    #[n(5)]
    pub held: Option<HeldTables>,
}

/// What a process holds besides what its versions say.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub struct HeldTables {
    /// Digest of the encoded control state.
    #[n(0)]
    pub control_digest: u64,
}

/// The versions of a process's tables.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub struct TableVersions {
    /// Version of the control state's view; 0 for none.
    #[n(0)]
    pub control: u64,
    /// Version of the backend list.
    #[n(1)]
    pub backends: Stamp,
    /// Version of the senders.
    #[n(2)]
    pub senders: Stamp,
}

/// Version of a table: the order of all tables of one kind over all primaries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Stamp {
    /// Epoch of the primary that created the table.
    #[n(0)]
    pub epoch: u64,
    /// Sequence number within the epoch.
    #[n(1)]
    pub sequence: u64,
}

impl Stamp {
    /// Version of a backend list.
    pub fn of(list: &BackendList) -> Stamp {
        let (epoch, sequence) = list.version();
        Stamp { epoch, sequence }
    }
}

/// The answer to a request.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum Answer {
    /// Answer to [`Request::Identify`]: the process's identity and its view of the core.
    #[n(0)]
    Identity(#[n(0)] NodeInfo, #[n(1)] CoreView),
    /// Answer to [`Request::Poll`] by the primary while it has the lease.
    #[n(1)]
    Update(#[n(0)] Update),
    /// Answer to [`Request::Poll`] by every other process: a redirect with its view of the core.
    #[n(2)]
    NotPrimary(#[n(0)] CoreView),
}

/// The tables that are newer than the poll's versions. An absent table is up to date.
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
    /// The core's members and primary, in every answer that is not empty.
    #[n(4)]
    pub core: Option<CoreView>,
    /// For processes that may join the core, together with the senders: the addresses of all pollers, so that a new primary
    /// can announce itself to them.
    #[n(5)]
    pub pollers: Option<Vec<Address>>,
    /// Differences in place of complete tables.
    #[n(6)]
    pub differences: Option<Box<Differences>>,
}

/// Differences to the tables that the poll names, each in place of the complete table in [`Update`].
#[derive(Debug, Clone, Default, PartialEq, Encode, Decode)]
pub struct Differences {
    /// The control state.
    #[n(0)]
    pub control: Option<ControlDifference>,
    /// The backends.
    #[n(1)]
    pub backends: Option<BackendsDifference>,
    /// The senders.
    #[n(2)]
    pub senders: Option<SendersDifference>,
}

impl Update {
    /// Whether there is no newer table.
    pub fn is_empty(&self) -> bool {
        let is_without_tables =
            self.control.is_none() && self.backends.is_none() && self.senders.is_none();
        is_without_tables && self.differences.is_none()
    }

    /// Whether it brings newer senders.
    pub fn has_senders(&self) -> bool {
        let differences = self.differences.as_ref();
        self.senders.is_some() || differences.is_some_and(|given| given.senders.is_some())
    }
}

/// An encoded view of the control state; see `control_state::view`.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct EncodedControl {
    /// The view's version.
    #[n(0)]
    pub version: u64,
    /// The encoded view.
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

/// A one-way message.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Notice {
    /// Sent by the primary while it has the lease, to processes that may not know the core.
    #[n(0)]
    PrimaryAnnouncement(#[n(0)] CoreView),
}

/// The core's members and primary, as known to the sender.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct CoreView {
    /// The primary, if known.
    #[n(0)]
    pub primary: Option<CoreMember>,
    /// The members.
    #[n(1)]
    pub members: Vec<CoreMember>,
    /// Epoch of the record that names the members; 0 if none is known.
    #[cbor(n(2), default)]
    pub epoch: u64,
}

/// A member of the core, with its addresses.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct CoreMember {
    /// Identity of its disk.
    #[n(0)]
    pub disk: DiskId,
    /// Address for messages between processes.
    #[n(1)]
    pub internal: Address,
    /// Address for operators' calls, if it serves them.
    #[n(2)]
    pub control: Option<Address>,
    /// Whether it runs on a dedicated machine and serves no clients.
    #[cbor(n(3), default)]
    pub is_dedicated: bool,
}
