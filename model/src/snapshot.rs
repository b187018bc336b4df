//! What one process acts on: immutable tables that are swapped whole. Each table has its own version and never goes back
//! within one life of a process.

use crate::backend::BackendList;
use crate::config::Config;
use crate::identity::{DiskId, NodeInfo};
use minicbor::{Decode, Encode};
use std::collections::BTreeSet;
use std::sync::Arc;

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

/// The stores that keep the batch jobs, decided by the control plane. A greater epoch replaces all lower ones.
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
        self.members.iter().find(|member| member.disk == self.primary)
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
    /// Where batch jobs lie.
    pub group: Option<Arc<BatchGroup>>,
}

/// The processes that may send requests to backends, as the primary counts them, itself included. What all of them
/// together may send to a cold backend is shared out by this.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct Senders {
    /// Names of the machines, sorted.
    #[n(0)]
    pub nodes: Vec<String>,
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
    /// Whether a primary with a valid lease has validated these tables in this life.
    pub validated: bool,
}
