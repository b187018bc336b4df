//! What one process acts on: immutable tables that are swapped whole. Each table has its own version and never goes back
//! within one incarnation of a process.

use crate::backend::BackendList;
use crate::config::Config;
use crate::identity::{Address, DiskId, NodeInfo};
use minicbor::{Decode, Encode};
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;
use twox_hash::XxHash3_64;

/// A store that belongs to the group.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct GroupMember {
    /// Its disk.
    #[n(0)]
    pub disk: DiskId,
    /// The process as it last joined.
    #[n(1)]
    pub node: NodeInfo,
}

/// Number of a batch group. Groups are numbered from 0 without gaps, and their count never changes once they are made.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct GroupId(#[n(0)] pub u32);

impl GroupId {
    /// The group that keeps what is stored under a key, of so many groups; the first one if there are none.
    pub fn of_key(key: &str, group_count: usize) -> GroupId {
        let hash = XxHash3_64::oneshot(key.as_bytes());
        GroupId(hash.checked_rem(group_count as u64).unwrap_or(0) as u32)
    }

    /// Its place in the list of groups.
    pub fn index(self) -> usize {
        self.0 as usize
    }

    /// The group at a place in the list of groups.
    pub fn at(index: usize) -> GroupId {
        GroupId(index as u32)
    }
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The stores that keep a part of the batch jobs, decided by the control plane. A greater epoch replaces all lower ones.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct BatchGroup {
    /// Its number; a store refuses replication under a lower one.
    #[n(0)]
    pub epoch: u64,
    /// The member that accepts batch jobs and runs items.
    #[n(1)]
    pub primary: DiskId,
    /// All members, the primary among them. A change is acknowledged when each of them has it on disk.
    #[n(2)]
    pub members: Vec<GroupMember>,
    /// Stores that are being brought up to date, to become members.
    #[n(3)]
    pub learners: Vec<GroupMember>,
}

impl BatchGroup {
    /// The primary's entry.
    pub fn primary_member(&self) -> Option<&GroupMember> {
        self.members
            .iter()
            .find(|member| member.disk == self.primary)
    }
}

/// The control state as processes see it: what operators ordered, acknowledged on enough disks.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ControlView {
    /// Grows with each change of the control state, over all primaries.
    pub version: u64,
    /// The configuration in force; `None` before the first.
    pub config: Option<Arc<Config>>,
    /// Zones whose backends get nothing.
    pub evacuated: BTreeSet<String>,
    /// Where batch jobs lie: each job in the group that [`ControlView::group_of_job`] names. Empty until the groups are made.
    pub groups: Vec<Arc<BatchGroup>>,
}

impl ControlView {
    /// A group by its number.
    pub fn group(&self, id: GroupId) -> Option<&Arc<BatchGroup>> {
        self.groups.get(id.index())
    }

    /// The group that keeps a job.
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

/// The processes that may send requests to backends, as the primary counts them, itself included. What all of them
/// together may send to a cold backend is shared out by this.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct Senders {
    /// Names of the machines, sorted.
    #[n(0)]
    pub nodes: Vec<String>,
    /// Who places requests at the backends of each zone, by zones.
    #[cbor(n(1), default)]
    pub placers: Vec<Placer>,
}

/// The process that places requests at the backends of one zone. Nothing but the quality of choices rests on it.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Placer {
    /// The zone.
    #[n(0)]
    pub zone: String,
    /// Name of its machine.
    #[n(1)]
    pub node: String,
    /// Where it takes the tier's own messages.
    #[n(2)]
    pub internal: Address,
}

/// All tables of one process.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    /// The control state.
    pub control: Arc<ControlView>,
    /// The backends, and when this process got them, in milliseconds of its own steady clock.
    pub backends: Arc<BackendList>,
    /// See [`Snapshot::backends`].
    pub backends_at_ms: u64,
    /// Who else sends.
    pub senders: Arc<Senders>,
    /// Whether a primary with a valid lease has validated these tables in this incarnation.
    pub validated: bool,
}
