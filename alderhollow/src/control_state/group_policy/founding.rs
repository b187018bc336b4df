//! Creation of the batch groups: all are created by one request, once enough stores are known.

use super::placement::{spread_over_zones, StoreLoads};
use super::rebalancing;
use super::store_health::StoreHealth;
use crate::control_state::request::Request;
use alderhollow_model::snapshot::{BatchGroup, GroupMember};

/// Time that the primary waits for stores to register before it creates the groups, in ms since it became primary.
pub const FOUNDING_WAIT_MS: u64 = 1_500;
/// Additional time, in ms, that it waits while fewer than `tolerate + 1` stores are usable.
pub const FOUNDING_TIMEOUT_MS: u64 = 5_000;
/// Maximum number of groups.
pub const MAX_GROUPS: usize = 64;
/// Epoch of a newly created group.
const FIRST_EPOCH: u64 = 1;

/// The request that creates the groups, if it is due.
pub fn initial_groups(health: &StoreHealth) -> Option<Request> {
    let waited_ms = health.view.primary_for_ms;
    if waited_ms < FOUNDING_WAIT_MS {
        return None;
    }
    let stores = health.usable();
    let timed_out = waited_ms >= FOUNDING_WAIT_MS + FOUNDING_TIMEOUT_MS;
    let are_enough = stores.len() >= health.min_replicas() || timed_out;
    (are_enough && !stores.is_empty())
        .then(|| Request::FoundGroups(place_groups(&stores, health.target_members())))
}

/// Places groups of up to `target` members on stores: one group for each store, up to [`MAX_GROUPS`]. Each store is primary
/// of at most one. Members are spread over zones first, then evenly over stores.
fn place_groups(stores: &[GroupMember], target: usize) -> Vec<BatchGroup> {
    let count = stores.len().min(MAX_GROUPS);
    let primaries = spread_over_zones(&[], stores.to_vec(), count, &StoreLoads::default());
    let mut groups: Vec<BatchGroup> = primaries.into_iter().map(single_member_group).collect();
    let mut loads = StoreLoads::of(&groups);
    for group in &mut groups {
        let former = group.clone();
        fill(group, stores, target, &loads);
        loads.replace(&former, group);
    }
    rebalancing::balance_memberships(&mut groups, stores);
    groups
}

fn single_member_group(primary: GroupMember) -> BatchGroup {
    BatchGroup {
        epoch: FIRST_EPOCH,
        primary: primary.disk,
        members: vec![primary],
        learners: Vec::new(),
    }
}

fn fill(group: &mut BatchGroup, stores: &[GroupMember], target: usize, loads: &StoreLoads) {
    let others = stores
        .iter()
        .filter(|store| store.disk != group.primary)
        .cloned()
        .collect();
    let missing = target.saturating_sub(group.members.len());
    let picked = spread_over_zones(&group.members, others, missing, loads);
    group.members.extend(picked);
}
