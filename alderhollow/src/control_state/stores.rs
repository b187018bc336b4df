//! Registered stores and the state of their decommissioning.
//!
//! A machine has one disk at a time. Invariant: a disk that was replaced is never registered again.

use alderhollow_model::identity::{DiskId, NodeInfo};
use minicbor::{Decode, Encode};
use std::collections::{BTreeMap, BTreeSet};

/// State of a store's decommissioning (`retire` in the operators' calls).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum RetirementState {
    /// The store's data is being moved to other stores.
    #[n(0)]
    InProgress,
    /// No group needs the store's data any more.
    #[n(1)]
    Completed,
}

impl RetirementState {
    /// The state's name in operators' answers.
    pub fn name(self) -> &'static str {
        match self {
            RetirementState::InProgress => "in_progress",
            RetirementState::Completed => "completed",
        }
    }
}

/// The registered stores, by the names of their machines.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct StoreRegistry {
    #[n(0)]
    by_node: BTreeMap<String, NodeInfo>,
    /// Disks that were replaced by another disk of the same machine. They are never registered again.
    #[n(1)]
    replaced: BTreeSet<DiskId>,
    #[n(2)]
    retirements: BTreeMap<String, RetirementState>,
}

impl StoreRegistry {
    /// All registered stores.
    pub fn iter(&self) -> impl Iterator<Item = &NodeInfo> {
        self.by_node.values()
    }

    /// The store registered for a machine.
    pub fn get(&self, node: &str) -> Option<&NodeInfo> {
        self.by_node.get(node)
    }

    /// Whether a disk is the current disk of a machine.
    pub fn has_disk(&self, disk: DiskId) -> bool {
        self.by_node.values().any(|store| store.disk == Some(disk))
    }

    /// Whether registering this store would change its disk, zone or address. `false` for a replaced disk or a node without
    /// a disk.
    pub fn would_change(&self, store: &NodeInfo) -> bool {
        let Some(disk) = store.disk else {
            return false;
        };
        if self.replaced.contains(&disk) {
            return false;
        }
        match self.by_node.get(&store.node) {
            Some(known) => {
                known.disk != store.disk
                    || known.zone != store.zone
                    || known.internal != store.internal
            }
            None => true,
        }
    }

    /// Registers a store or updates its registration; returns whether it changed. A new disk replaces the machine's former
    /// one. A decommissioning in progress continues: the new disk is empty, so it completes with the next active group
    /// epoch.
    pub fn register(&mut self, store: &NodeInfo) -> bool {
        if !self.would_change(store) {
            return false;
        }
        let former = self.by_node.insert(store.node.clone(), store.clone());
        let former_disk = former.and_then(|former| former.disk);
        if let Some(disk) = former_disk.filter(|disk| Some(*disk) != store.disk) {
            self.replaced.insert(disk);
            self.retirements
                .retain(|node, state| *node != store.node || *state == RetirementState::InProgress);
        }
        true
    }

    /// State of a machine's decommissioning; `None` if none was requested.
    pub fn retirement(&self, node: &str) -> Option<RetirementState> {
        self.retirements.get(node).copied()
    }

    /// Whether a machine's decommissioning is in progress or completed.
    pub fn is_retiring(&self, node: &str) -> bool {
        self.retirements.contains_key(node)
    }

    /// Starts a decommissioning; returns whether it was started.
    pub fn retire(&mut self, node: &str) -> bool {
        if self.is_retiring(node) || !self.by_node.contains_key(node) {
            return false;
        }
        self.retirements
            .insert(node.to_string(), RetirementState::InProgress);
        true
    }

    /// Completes the decommissioning of all machines whose disks are not in use; returns whether any completed.
    pub fn complete_retirements(&mut self, in_use: impl Fn(DiskId) -> bool) -> bool {
        let mut changed = false;
        for (node, state) in &mut self.retirements {
            let disk = self.by_node.get(node).and_then(|store| store.disk);
            if *state == RetirementState::InProgress && !disk.is_some_and(&in_use) {
                *state = RetirementState::Completed;
                changed = true;
            }
        }
        changed
    }

    /// Number of stores without the given machine, not counting those that are being decommissioned or are gone.
    pub fn remaining_without(&self, node: &str, gone: &BTreeSet<String>) -> usize {
        let remains =
            |name: &&String| *name != node && !self.is_retiring(name) && !gone.contains(*name);
        self.by_node.keys().filter(remains).count()
    }
}
