//! Rebalancing: moves groups, one at a time, towards stores with less load, such as stores that came back or were added.
//!
//! It terminates. A change of a member lowers the zone imbalance, or keeps it and lowers the sum of the squares of the
//! stores' membership counts. It may move the group's primary. A transfer of primaries lowers the sum of the squares of the
//! stores' primary counts and changes no membership. These sums are integers ordered by rank, and none rises unless one of
//! higher rank falls.
//!
//! It ends balanced. Of two stores in one zone that differ by two or more memberships, the one with fewer can join a group
//! of the other, and then a member with at least as many memberships as the other leaves, the group's primary included.

use super::placement::{disks_of, surplus_member, zone_imbalance, StoreLoads};
use super::store_health::{cannot_serve, StoreHealth};
use super::{StoreView, DEAD_AFTER_MS, GONE_AFTER_MS};
use crate::control_state::groups::{GroupChange, GroupState, GroupStep};
use crate::control_state::request::Request;
use crate::control_state::stores::RetirementState;
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::{BatchGroup, GroupId, GroupMember};
use std::cmp::Reverse;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, VecDeque};

/// How long the groups must have been stable before anything is moved, in ms.
pub const REBALANCE_AFTER_MS: u64 = 3_000;
/// Minimum difference in load between two stores for a move; with a smaller one, the move would only swap them.
const MIN_LOAD_GAP: usize = 2;

/// Measures how long the groups have been stable, on the clock of the core's primary. It is not replicated: a new primary
/// starts at zero, which only delays rebalancing.
#[derive(Debug, Clone, Default)]
pub struct StabilityTimer {
    since_ms: Option<u64>,
}

impl StabilityTimer {
    /// Records whether the groups are stable now and returns for how long they have been, in ms. Call it periodically.
    pub fn record(&mut self, is_stable: bool, now_ms: u64) -> u64 {
        if !is_stable {
            self.since_ms = None;
            return 0;
        }
        let since_ms = *self.since_ms.get_or_insert(now_ms);
        now_ms.saturating_sub(since_ms)
    }
}

/// Whether all groups are active and have all their members and no learners, and no store is dead, shutting down or being
/// decommissioned. A store that has not polled for [`GONE_AFTER_MS`] is ignored.
pub fn is_stable(health: &StoreHealth) -> bool {
    let groups = health.state.groups();
    let members = health.target_members().min(health.usable().len());
    let is_stable_group = |group: &GroupState| is_stable_group(health, group, members);
    !groups.is_empty() && groups.iter().all(is_stable_group) && stores_are_stable(health)
}

fn is_stable_group(health: &StoreHealth, state: &GroupState, members: usize) -> bool {
    let group = &state.group;
    let stays = |member: &GroupMember| health.is_alive(member.disk) && !health.is_retiring(member);
    state.is_active()
        && group.learners.is_empty()
        && group.members.len() == members
        && group.members.iter().all(stays)
}

fn stores_are_stable(health: &StoreHealth) -> bool {
    let is_stable = |store: &&StoreView| {
        let is_gone = store.since_last_poll_ms >= GONE_AFTER_MS;
        let is_usable = store.since_last_poll_ms < DEAD_AFTER_MS && !cannot_serve(&store.report);
        is_gone || (is_usable && !is_being_drained(health, &store.node.node))
    };
    health.by_disk.values().all(is_stable)
}

fn is_being_drained(health: &StoreHealth, node: &str) -> bool {
    health.state.retirement(node) == Some(RetirementState::InProgress)
}

/// The next move, if one improves the balance and the groups have been stable for [`REBALANCE_AFTER_MS`].
pub fn next_move(health: &StoreHealth) -> Option<Request> {
    if health.view.stable_for_ms < REBALANCE_AFTER_MS || !is_stable(health) {
        return None;
    }
    let groups: Vec<BatchGroup> = health
        .state
        .groups()
        .iter()
        .map(|state| state.group.as_ref().clone())
        .collect();
    let primary_transfers = primary_transfers(&groups);
    if !primary_transfers.is_empty() {
        return Some(Request::ChangeGroups(primary_transfers));
    }
    let stores = health.usable();
    let change =
        member_change(&groups, &stores).or_else(|| primary_replacement(&groups, &stores))?;
    Some(Request::ChangeGroups(vec![change.begin(&groups)?]))
}

/// Replacement of a group's member by another store.
struct MemberChange {
    group_index: usize,
    /// Primary of the group from the change on.
    primary: DiskId,
    joins: GroupMember,
    leaves: DiskId,
    /// Improvement of the balance.
    gain: Gain,
}

impl MemberChange {
    /// Adds the store as a learner. Once it is a member, the group has one too many and the other member is removed.
    fn begin(self, groups: &[BatchGroup]) -> Option<GroupChange> {
        let mut next = groups.get(self.group_index)?.clone();
        next.primary = self.primary;
        next.learners.push(self.joins);
        Some(replace(self.group_index, next))
    }

    /// Replaces the member directly, for groups without data.
    fn complete(self, groups: &mut [BatchGroup]) {
        if let Some(group) = groups.get_mut(self.group_index) {
            group.primary = self.primary;
            group.members.retain(|member| member.disk != self.leaves);
            group.members.push(self.joins);
        }
    }
}

/// Improvement of the balance; fields are compared in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Gain {
    /// Reduction of the group's zone imbalance.
    zones: usize,
    /// Membership count of the leaving store minus that of the joining one.
    memberships: usize,
}

/// Replaces members until no replacement improves the balance. No primary moves.
pub fn balance_memberships(groups: &mut [BatchGroup], stores: &[GroupMember]) {
    while let Some(change) = member_change(groups, stores) {
        change.complete(groups);
    }
}

/// The best replacement of a member that is not the primary, if one is an improvement; the first of equal ones.
fn member_change(groups: &[BatchGroup], stores: &[GroupMember]) -> Option<MemberChange> {
    let loads = StoreLoads::of(groups);
    best_change(groups, stores, &loads, |group| Some(group.primary))
}

/// The best replacement of a primary, which another member succeeds, if one is an improvement; the first of equal ones.
fn primary_replacement(groups: &[BatchGroup], stores: &[GroupMember]) -> Option<MemberChange> {
    let loads = StoreLoads::of(groups);
    best_change(groups, stores, &loads, |group| successor(group, &loads))
}

/// The member that succeeds a group's primary: the one with the fewest primaries.
fn successor(group: &BatchGroup, loads: &StoreLoads) -> Option<DiskId> {
    let others = group.members.iter().map(|member| member.disk);
    others
        .filter(|disk| *disk != group.primary)
        .min_by_key(|disk| (loads.leads(*disk), *disk))
}

fn best_change(
    groups: &[BatchGroup],
    stores: &[GroupMember],
    loads: &StoreLoads,
    next_primary: impl Fn(&BatchGroup) -> Option<DiskId>,
) -> Option<MemberChange> {
    let mut best: Option<MemberChange> = None;
    for (group_index, group) in groups.iter().enumerate() {
        let Some(primary) = next_primary(group) else {
            continue;
        };
        let taken = disks_of(group);
        for store in stores.iter().filter(|store| !taken.contains(&store.disk)) {
            let change = change_in_group(group_index, group, primary, store, loads);
            let Some(change) = change else { continue };
            if best.as_ref().is_none_or(|best| change.gain > best.gain) {
                best = Some(change);
            }
        }
    }
    best
}

/// The replacement that results from a store joining a group, if it is an improvement. The leaving member is chosen by the
/// same rule that applies once the store has joined, so the outcome is as planned. With another primary than the present
/// one it is an improvement only if the present one leaves.
fn change_in_group(
    group_index: usize,
    group: &BatchGroup,
    primary: DiskId,
    joins: &GroupMember,
    loads: &StoreLoads,
) -> Option<MemberChange> {
    let mut members = group.members.clone();
    members.push(joins.clone());
    let memberships = |disk: DiskId| loads.memberships(disk) + usize::from(disk == joins.disk);
    let leaves = surplus_member(&members, primary, memberships)?;
    let replaces_primary = primary != group.primary;
    if leaves == joins.disk || (replaces_primary && leaves != group.primary) {
        return None;
    }
    members.retain(|member| member.disk != leaves);
    let zones = zone_imbalance(&group.members).checked_sub(zone_imbalance(&members))?;
    let memberships = loads
        .memberships(leaves)
        .saturating_sub(loads.memberships(joins.disk));
    let is_improvement = zones > 0 || memberships >= MIN_LOAD_GAP;
    let gain = Gain { zones, memberships };
    is_improvement.then(|| MemberChange {
        group_index,
        primary,
        joins: joins.clone(),
        leaves,
        gain,
    })
}

/// The transfers after which a store with the most primaries has one fewer, and a store with at least [`MIN_LOAD_GAP`] fewer
/// has one more. Usually this is one transfer. If the second store is a member of none of the first one's groups, the
/// primaries of intermediate groups move in the same request.
fn primary_transfers(groups: &[BatchGroup]) -> Vec<GroupChange> {
    let loads = StoreLoads::of(groups);
    let mut leaders: Vec<DiskId> = groups.iter().map(|group| group.primary).collect();
    leaders.sort_by_key(|disk| (Reverse(loads.leads(*disk)), *disk));
    leaders.dedup();
    let paths = leaders
        .into_iter()
        .map(|leader| path_to_less_loaded(groups, leader, &loads));
    let path = paths
        .into_iter()
        .find(|path| !path.is_empty())
        .unwrap_or_default();
    path.into_iter()
        .filter_map(|transfer| transfer.change(groups))
        .collect()
}

/// Transfer of a group's primary role to another member.
#[derive(Debug, Clone, Copy)]
struct PrimaryTransfer {
    group_index: usize,
    successor: DiskId,
}

impl PrimaryTransfer {
    fn change(self, groups: &[BatchGroup]) -> Option<GroupChange> {
        let mut next = groups.get(self.group_index)?.clone();
        next.primary = self.successor;
        Some(replace(self.group_index, next))
    }
}

/// A shortest chain of transfers from a store to one with at least [`MIN_LOAD_GAP`] fewer primaries; empty if there is none.
/// Breadth-first search; the neighbours of a store are the members of the groups of which it is primary.
fn path_to_less_loaded(
    groups: &[BatchGroup],
    leader: DiskId,
    loads: &StoreLoads,
) -> Vec<PrimaryTransfer> {
    let mut reached_by: BTreeMap<DiskId, Option<(DiskId, PrimaryTransfer)>> =
        [(leader, None)].into();
    let mut open = VecDeque::from([leader]);
    while let Some(store) = open.pop_front() {
        if loads.leads(store) + MIN_LOAD_GAP <= loads.leads(leader) {
            return path_to(&reached_by, store);
        }
        for (group_index, group) in groups
            .iter()
            .enumerate()
            .filter(|(_, group)| group.primary == store)
        {
            for successor in group.members.iter().map(|member| member.disk) {
                if let Entry::Vacant(entry) = reached_by.entry(successor) {
                    entry.insert(Some((
                        store,
                        PrimaryTransfer {
                            group_index,
                            successor,
                        },
                    )));
                    open.push_back(successor);
                }
            }
        }
    }
    Vec::new()
}

fn path_to(
    reached_by: &BTreeMap<DiskId, Option<(DiskId, PrimaryTransfer)>>,
    end: DiskId,
) -> Vec<PrimaryTransfer> {
    let mut path = Vec::new();
    let mut at = end;
    while let Some(Some((from, transfer))) = reached_by.get(&at) {
        path.push(*transfer);
        at = *from;
    }
    path
}

fn replace(group_index: usize, mut next: BatchGroup) -> GroupChange {
    let previous_epoch = next.epoch;
    next.epoch += 1;
    GroupChange {
        id: GroupId::at(group_index),
        step: GroupStep::Replace {
            previous_epoch,
            group: next,
        },
    }
}
