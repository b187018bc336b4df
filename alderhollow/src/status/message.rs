//! Messages of [`ServiceId::Status`](crate::internal::ServiceId).

use crate::balance::Explanation;
use crate::distribution::message::{CoreView, Stamp};
use crate::placement::message::Demand;
use alderhollow_model::identity::{DiskId, NodeInfo};
use alderhollow_model::snapshot::{GroupId, Placer};
use minicbor::{Decode, Encode};

/// A question to a process.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Request {
    /// All that it tells of itself. Answered by a [`StatusReport`].
    #[n(0)]
    Status,
    /// Which backend a request would go to now, and why. Answered by a [`ChoiceReport`].
    #[n(1)]
    Choice(#[n(0)] Demand),
}

/// Which backends a process would choose for one request, and why. Nothing is booked for it.
#[derive(Debug, Clone, Default, PartialEq, Encode, Decode)]
pub struct ChoiceReport {
    /// As the placer of its zone, from what all senders told it; `None` where the zone has no backend of the service.
    #[n(0)]
    pub as_placer: Option<Explanation>,
    /// As a sender, from what it knows by itself; `None` where it sends nothing, or the service has no backend.
    #[n(1)]
    pub as_sender: Option<Explanation>,
}

/// What a process tells of itself.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct StatusReport {
    /// Who it is.
    #[n(0)]
    pub node: NodeInfo,
    /// Milliseconds since its start.
    #[n(1)]
    pub uptime_ms: u64,
    /// Where it takes the core to be.
    #[n(2)]
    pub core_view: CoreView,
    /// Its tables.
    #[n(3)]
    pub tables: TablesStatus,
    /// Its part in the core; `None` without a disk of the core.
    #[n(4)]
    pub core: Option<CoreStatus>,
    /// Its part in the batch groups; `None` at gateways.
    #[n(5)]
    pub store: Option<StoreStatus>,
}

/// The tables that a process acts on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct TablesStatus {
    /// How long ago the newest poll was sent that a primary with a lease answered; `None` if there is none in this incarnation.
    #[n(0)]
    pub validated_ms_ago: Option<u64>,
    /// Version of the control state; 0: none.
    #[n(1)]
    pub control: u64,
    /// Number of the configuration in force.
    #[n(2)]
    pub config: Option<u64>,
    /// Evacuated zones.
    #[n(3)]
    pub evacuated: Vec<String>,
    /// Position of the list of backends.
    #[n(4)]
    pub backends_stamp: Stamp,
    /// How many backends it names.
    #[n(5)]
    pub backends: u64,
    /// How many processes send to backends.
    #[n(6)]
    pub senders: u64,
    /// The batch groups, by their numbers.
    #[n(7)]
    pub groups: Vec<TablesGroup>,
    /// Who places requests at the backends of each zone.
    #[cbor(n(8), default)]
    pub placers: Vec<Placer>,
}

/// A batch group as the tables have it.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct TablesGroup {
    /// Its number.
    #[n(0)]
    pub group: GroupId,
    /// Its epoch.
    #[n(1)]
    pub epoch: u64,
    /// The disk of its primary.
    #[n(2)]
    pub primary: DiskId,
}

/// A process's part in the core.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct CoreStatus {
    /// Its role.
    #[n(0)]
    pub role: CoreRole,
    /// The newest epoch that it knows.
    #[n(1)]
    pub epoch: u64,
    /// Version of the state that it knows as committed.
    #[n(2)]
    pub version: u64,
    /// How much longer its lease runs; `None` without one.
    #[n(3)]
    pub lease_ms: Option<u64>,
}

/// A member's role, as it goes over the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum CoreRole {
    /// Not a member.
    #[n(0)]
    Outside,
    /// A member that follows, or has no primary.
    #[n(1)]
    Follower,
    /// Tries to become the primary.
    #[n(2)]
    Candidate,
    /// The primary, with or without a lease.
    #[n(3)]
    Primary,
}

/// A store's part in the batch groups.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct StoreStatus {
    /// Its part in each group of which it holds something, by their numbers.
    #[n(0)]
    pub groups: Vec<StoreGroupStatus>,
    /// Waiting tokens by batch route, over the groups that it leads.
    #[n(1)]
    pub waiting_tokens: Vec<RouteTokens>,
}

impl StoreStatus {
    /// How many groups it leads.
    pub fn led(&self) -> usize {
        self.groups.iter().filter(|group| group.is_primary).count()
    }

    /// How many of these are active.
    pub fn active(&self) -> usize {
        self.groups
            .iter()
            .filter(|group| group.is_primary && group.is_active)
            .count()
    }

    /// Batch jobs that it keeps in all groups.
    pub fn jobs(&self) -> u64 {
        self.groups.iter().map(|group| group.jobs).sum()
    }

    /// Items that wait for a run here.
    pub fn waiting_items(&self) -> u64 {
        self.groups.iter().map(|group| group.waiting_items).sum()
    }

    /// Items that run here.
    pub fn running_items(&self) -> u64 {
        self.groups.iter().map(|group| group.running_items).sum()
    }
}

/// A store's part in one batch group.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct StoreGroupStatus {
    /// The group.
    #[n(0)]
    pub group: GroupId,
    /// The newest epoch that it knows.
    #[n(1)]
    pub epoch: u64,
    /// Whether it is that epoch's primary.
    #[n(2)]
    pub is_primary: bool,
    /// Whether all members equal it; only the primary knows.
    #[n(3)]
    pub is_active: bool,
    /// Not the primary: whether it equalled the primary in this epoch.
    #[n(4)]
    pub is_synced: bool,
    /// Whether it may start items and refuse batch jobs at this moment.
    #[n(5)]
    pub is_sure: bool,
    /// Batch jobs that it keeps.
    #[n(6)]
    pub jobs: u64,
    /// Items that wait for a run here.
    #[n(7)]
    pub waiting_items: u64,
    /// Items that run here.
    #[n(8)]
    pub running_items: u64,
    /// Members that have not acknowledged for some time, although something waits for them.
    #[n(9)]
    pub silent_members: Vec<DiskId>,
}

/// Tokens that wait on one route.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct RouteTokens {
    /// Name of the route.
    #[n(0)]
    pub route: String,
    /// Accepted tokens that no backend has finished.
    #[n(1)]
    pub waiting: u64,
    /// Its `max-queued-tokens`; 0: no limit.
    #[n(2)]
    pub limit: u64,
}
