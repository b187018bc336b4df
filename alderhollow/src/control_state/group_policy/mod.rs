//! The group policy: which change of the batch groups is due, given the committed state and the stores' polls.
//!
//! Pure functions without I/O or clock. The core's primary evaluates them periodically ([`next_request`]) and proposes the
//! result. Each change starts a new epoch. Invariants:
//!
//! - Only a complete member ([`GroupState::complete`](crate::control_state::groups::GroupState::complete)) becomes primary.
//! - A member that is dead, does not respond to the group's primary, or is being decommissioned is removed only if
//!   `tolerate + 1` other members respond *and* are complete. If incomplete members counted, the loss of one more disk could
//!   lose data. Until then the member stays, and learners are added.
//! - A store becomes a member only after it was a learner and reported that it is in sync.
//!
//! [`founding`] creates the groups. Changes in one request take each other's load on stores into account (`placement`), so
//! that the groups of a lost store spread over many others. While the groups are stable, [`rebalancing`] moves them slowly
//! towards an even load.

pub mod founding;
mod placement;
pub mod rebalancing;
mod steps;
mod store_health;

use super::groups::{GroupChange, GroupStep};
use super::request::Request;
use super::store_report::StoreReport;
use super::ControlState;
use alderhollow_model::identity::NodeInfo;
use alderhollow_model::snapshot::GroupId;
use placement::StoreLoads;
use std::collections::BTreeSet;
use steps::Planner;
use store_health::StoreHealth;

pub use founding::{FOUNDING_TIMEOUT_MS, FOUNDING_WAIT_MS};

/// A store that has not polled for this long, in ms, is considered dead. It is longer than the time for which a poll entitles
/// a store to act as primary (`VALIDATION_TTL_MS` in the store's node), so a primary has stopped before it is replaced.
pub const DEAD_AFTER_MS: u64 = 1_200;
/// A store that has not polled for this long, in ms, does not count as remaining when another one is decommissioned.
pub const GONE_AFTER_MS: u64 = 30_000;

/// What the core's primary knows of one store from its polls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreView {
    /// The store's identity in its newest poll.
    pub node: NodeInfo,
    /// Time since that poll, in ms.
    pub since_last_poll_ms: u64,
    /// The report in that poll.
    pub report: StoreReport,
}

/// What the core's primary knows of all stores: the policy's input besides the committed state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GroupView {
    /// How long this process has been primary, in ms. A store that has not polled within a shorter time is not considered
    /// dead.
    pub primary_for_ms: u64,
    /// `tolerate.machines` of the settings.
    pub tolerate_machines: usize,
    /// How long the groups have been stable, in ms ([`rebalancing::StabilityTimer`]).
    pub stable_for_ms: u64,
    /// The stores that have polled since this process became primary.
    pub stores: Vec<StoreView>,
}

/// The request to propose next, if any. At most one is in flight: call again once it is committed.
pub fn next_request(state: &ControlState, view: &GroupView) -> Option<Request> {
    if let Some(store) = view
        .stores
        .iter()
        .find(|store| state.stores().would_change(&store.node))
    {
        return Some(Request::RegisterStore(store.node.clone()));
    }
    let health = StoreHealth::new(state, view);
    if state.groups().is_empty() {
        return founding::initial_groups(&health);
    }
    let changes = due_changes(&health);
    if !changes.is_empty() {
        return Some(Request::ChangeGroups(changes));
    }
    rebalancing::next_move(&health)
}

/// Whether no change of a group is in progress or due; input of [`rebalancing::StabilityTimer`].
pub fn is_stable(state: &ControlState, view: &GroupView) -> bool {
    rebalancing::is_stable(&StoreHealth::new(state, view))
}

/// The due changes of all groups. Each is planned with the loads that result from the ones before it.
fn due_changes(health: &StoreHealth) -> Vec<GroupChange> {
    let groups = health.state.groups();
    let mut loads = StoreLoads::of(groups.iter().map(|state| state.group.as_ref()));
    let mut changes = Vec::new();
    for (index, group) in groups.iter().enumerate() {
        let id = GroupId::at(index);
        let Some(step) = (Planner {
            health,
            loads: &loads,
            id,
            group,
        })
        .next_step() else {
            continue;
        };
        if let GroupStep::Replace { group: next, .. } = &step {
            loads.replace(&group.group, next);
        }
        changes.push(GroupChange { id, step });
    }
    changes
}

/// Machines whose stores have not polled for [`GONE_AFTER_MS`], for [`super::request::OrderContext`].
pub fn gone_stores(state: &ControlState, view: &GroupView) -> BTreeSet<String> {
    if view.primary_for_ms < GONE_AFTER_MS {
        return BTreeSet::new();
    }
    let is_present = |node: &str| {
        view.stores
            .iter()
            .any(|store| store.node.node == node && store.since_last_poll_ms < GONE_AFTER_MS)
    };
    state
        .stores()
        .iter()
        .map(|store| store.node.clone())
        .filter(|node| !is_present(node))
        .collect()
}
