//! Health of the stores at one moment: alive, dead, being decommissioned, and eligible to join a group.

use super::{GroupView, StoreView, DEAD_AFTER_MS};
use crate::control_state::store_report::StoreReport;
use crate::control_state::ControlState;
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::GroupMember;
use std::collections::{BTreeMap, BTreeSet};

/// Health of the stores, from the committed state and their polls.
pub struct StoreHealth<'a> {
    /// The committed state.
    pub state: &'a ControlState,
    /// What the core's primary knows of the stores.
    pub view: &'a GroupView,
    /// The stores that have polled, by their disks.
    pub by_disk: BTreeMap<DiskId, &'a StoreView>,
}

impl<'a> StoreHealth<'a> {
    /// Indexes the stores by their disks.
    pub fn new(state: &'a ControlState, view: &'a GroupView) -> StoreHealth<'a> {
        let by_disk = view
            .stores
            .iter()
            .filter_map(|store| Some((store.node.disk?, store)))
            .collect();
        StoreHealth {
            state,
            view,
            by_disk,
        }
    }

    /// Minimum number of replicas that acknowledged data must have.
    pub fn min_replicas(&self) -> usize {
        self.view.tolerate_machines.saturating_add(1)
    }

    /// Number of members that a group should have.
    pub fn target_members(&self) -> usize {
        self.view.tolerate_machines.saturating_add(2)
    }

    /// Whether the store polled within [`DEAD_AFTER_MS`], has the machine's current disk, and can serve.
    pub fn is_alive(&self, disk: DiskId) -> bool {
        let can_serve = |store: &&StoreView| {
            store.since_last_poll_ms < DEAD_AFTER_MS && !cannot_serve(&store.report)
        };
        self.by_disk.get(&disk).is_some_and(can_serve) && self.state.stores().has_disk(disk)
    }

    /// Whether the store is certainly not serving: its disk was replaced or fails, it is shutting down, or it has not polled
    /// for [`DEAD_AFTER_MS`] of this primary's own time.
    pub fn is_dead(&self, disk: DiskId) -> bool {
        if !self.state.stores().has_disk(disk) {
            return true;
        }
        match self.by_disk.get(&disk) {
            Some(store) => cannot_serve(&store.report) || store.since_last_poll_ms >= DEAD_AFTER_MS,
            None => self.view.primary_for_ms >= DEAD_AFTER_MS,
        }
    }

    /// Whether the decommissioning of a member's machine is in progress or completed.
    pub fn is_retiring(&self, member: &GroupMember) -> bool {
        self.state.stores().is_retiring(&member.node.node)
    }

    /// Stores that are eligible to join a group, sorted by disk. `existing` are the disks that already belong to it.
    pub fn candidates(&self, existing: &BTreeSet<DiskId>) -> Vec<GroupMember> {
        let usable = self.by_disk.iter().filter(|(disk, store)| {
            self.is_alive(**disk)
                && !existing.contains(disk)
                && !self.state.stores().is_retiring(&store.node.node)
        });
        usable
            .map(|(disk, store)| GroupMember {
                disk: *disk,
                node: store.node.clone(),
            })
            .collect()
    }

    /// Stores that are eligible as members of any group, sorted by disk.
    pub fn usable(&self) -> Vec<GroupMember> {
        self.candidates(&BTreeSet::new())
    }
}

/// Whether a store that polls can't serve as a member: it is shutting down or its disk fails.
pub(super) fn cannot_serve(report: &StoreReport) -> bool {
    report.leaving || report.disk_failing
}
