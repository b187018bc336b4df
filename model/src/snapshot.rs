//! The tables that a process acts on: control state, backends, senders.
//!
//! A table is immutable and replaced as a unit. Each has its own version, which never decreases within one incarnation of a
//! process.

use crate::backend::BackendList;
use crate::config::Config;
use crate::identity::{Address, DiskId, NodeInfo};
use minicbor::{Decode, Encode};
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;
use twox_hash::XxHash3_64;

/// A store in a batch group.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct GroupMember {
    /// Identity of its disk.
    #[n(0)]
    pub disk: DiskId,
    /// The process, as of its last registration.
    #[n(1)]
    pub node: NodeInfo,
}

/// Number of a batch group. Groups are numbered from 0 without gaps; their count never changes after their creation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct GroupId(#[n(0)] pub u32);

impl GroupId {
    /// The group, out of `group_count`, that stores a key; group 0 if there are no groups.
    pub fn of_key(key: &str, group_count: usize) -> GroupId {
        let hash = XxHash3_64::oneshot(key.as_bytes());
        GroupId(hash.checked_rem(group_count as u64).unwrap_or(0) as u32)
    }

    /// Index in the list of groups.
    pub fn index(self) -> usize {
        self.0 as usize
    }

    /// The group at an index in the list of groups.
    pub fn at(index: usize) -> GroupId {
        GroupId(index as u32)
    }
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A replication group: the stores of one shard of the batch jobs, as assigned by the control plane. An assignment with a
/// higher epoch replaces all lower ones.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct BatchGroup {
    /// Epoch of the assignment; a store rejects replication under a lower one.
    #[n(0)]
    pub epoch: u64,
    /// The primary, which accepts batch jobs and runs their items.
    #[n(1)]
    pub primary: DiskId,
    /// All members, the primary among them. A change is acknowledged once all of them have it on disk.
    #[n(2)]
    pub members: Vec<GroupMember>,
    /// Stores that are catching up in order to become members.
    #[n(3)]
    pub learners: Vec<GroupMember>,
}

impl BatchGroup {
    /// The primary's member entry.
    pub fn primary_member(&self) -> Option<&GroupMember> {
        self.members
            .iter()
            .find(|member| member.disk == self.primary)
    }
}

/// The committed control state, as distributed to all processes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ControlView {
    /// Increases with each change of the control state, across primaries.
    pub version: u64,
    /// The current configuration; `None` before the first one.
    pub config: Option<Arc<Config>>,
    /// Evacuated zones, whose backends receive no requests.
    pub evacuated: BTreeSet<String>,
    /// The batch groups; [`ControlView::group_of_job`] assigns each job to one. Empty until the groups are created.
    pub groups: Vec<Arc<BatchGroup>>,
}

impl ControlView {
    /// The group with this number.
    pub fn group(&self, id: GroupId) -> Option<&Arc<BatchGroup>> {
        self.groups.get(id.index())
    }

    /// The group that stores a job.
    pub fn group_of_job(&self, job_id: &str) -> Option<(GroupId, &Arc<BatchGroup>)> {
        let id = GroupId::of_key(job_id, self.groups.len());
        Some((id, self.group(id)?))
    }

    /// All groups with their numbers.
    pub fn numbered_groups(&self) -> impl Iterator<Item = (GroupId, &Arc<BatchGroup>)> {
        self.groups
            .iter()
            .enumerate()
            .map(|(index, group)| (GroupId::at(index), group))
    }
}

/// The processes that may send requests to backends, as the primary counts them, itself included. The rate limit of a
/// backend in slow start is divided among them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct Senders {
    /// Names of their machines, sorted.
    #[n(0)]
    pub nodes: Vec<String>,
    /// The placer of each zone, sorted by zone.
    #[cbor(n(1), default)]
    pub placers: Vec<Placer>,
}

/// The process that places requests at the backends of one zone. Correctness does not depend on it, only the quality of
/// load balancing.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Placer {
    /// Name of the zone.
    #[n(0)]
    pub zone: String,
    /// Name of its machine.
    #[n(1)]
    pub node: String,
    /// Address for the tier's internal messages.
    #[n(2)]
    pub internal: Address,
}

/// The tables of one process.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    /// The control state.
    pub control: Arc<ControlView>,
    /// The backends.
    pub backends: Arc<BackendList>,
    /// When this process received the list of backends, in milliseconds of its own monotonic clock.
    pub backends_at_ms: u64,
    /// The processes that send requests to backends.
    pub senders: Arc<Senders>,
    /// Whether a primary with a valid lease has validated these tables in this incarnation.
    pub validated: bool,
}
