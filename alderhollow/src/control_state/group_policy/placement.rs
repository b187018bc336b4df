//! Placement of group members on stores: load counts, and the choice of members to add and remove.

use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::{BatchGroup, GroupMember};
use std::collections::{BTreeMap, BTreeSet};

/// For each store, the number of groups of which it is primary, and of which it is a member or learner.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct StoreLoads {
    leads: BTreeMap<DiskId, usize>,
    memberships: BTreeMap<DiskId, usize>,
}

impl StoreLoads {
    /// Counts over groups.
    pub(super) fn of<'a>(groups: impl IntoIterator<Item = &'a BatchGroup>) -> StoreLoads {
        let mut loads = StoreLoads::default();
        for group in groups {
            loads.add(group);
        }
        loads
    }

    /// Number of groups of which a store is primary.
    pub(super) fn leads(&self, disk: DiskId) -> usize {
        self.leads.get(&disk).copied().unwrap_or(0)
    }

    /// Number of groups of which a store is a member or learner.
    pub(super) fn memberships(&self, disk: DiskId) -> usize {
        self.memberships.get(&disk).copied().unwrap_or(0)
    }

    /// Adds a group.
    pub(super) fn add(&mut self, group: &BatchGroup) {
        *self.leads.entry(group.primary).or_default() += 1;
        for disk in disks_of(group) {
            *self.memberships.entry(disk).or_default() += 1;
        }
    }

    /// Replaces a group by its next epoch.
    pub(super) fn replace(&mut self, former: &BatchGroup, next: &BatchGroup) {
        subtract_one(&mut self.leads, former.primary);
        for disk in disks_of(former) {
            subtract_one(&mut self.memberships, disk);
        }
        self.add(next);
    }
}

fn subtract_one(counts: &mut BTreeMap<DiskId, usize>, disk: DiskId) {
    if let Some(count) = counts.get_mut(&disk) {
        *count = count.saturating_sub(1);
    }
}

/// The disks of a group's members and learners.
pub(super) fn disks_of(group: &BatchGroup) -> BTreeSet<DiskId> {
    group
        .members
        .iter()
        .chain(&group.learners)
        .map(|member| member.disk)
        .collect()
}

/// Picks up to `count` candidates. Candidates whose zones have the fewest members come first, then those that belong to the
/// fewest groups, then in the order given.
pub(super) fn spread_over_zones(
    present: &[GroupMember],
    mut candidates: Vec<GroupMember>,
    count: usize,
    loads: &StoreLoads,
) -> Vec<GroupMember> {
    let mut by_zone = count_by_zone(present);
    let mut picked = Vec::new();
    while picked.len() < count {
        let rank = |member: &GroupMember| {
            let members_in_zone = by_zone.get(&member.node.zone).copied().unwrap_or(0);
            (members_in_zone, loads.memberships(member.disk))
        };
        let best = candidates
            .iter()
            .enumerate()
            .min_by_key(|(_, member)| rank(member));
        let Some(at) = best.map(|(at, _)| at) else {
            break;
        };
        let member = candidates.remove(at);
        *by_zone.entry(member.node.zone.clone()).or_default() += 1;
        picked.push(member);
    }
    picked
}

/// Imbalance of members over zones: the sum of the squares of the member counts by zone. Lower is better.
pub(super) fn zone_imbalance(members: &[GroupMember]) -> usize {
    count_by_zone(members)
        .values()
        .map(|count| count * count)
        .sum()
}

/// The member to remove from a group that has one too many. Never the primary; a member of the zone with the most members;
/// of these, the one that belongs to the most groups; of these, the one with the highest disk id.
pub(super) fn surplus_member(
    members: &[GroupMember],
    primary: DiskId,
    memberships: impl Fn(DiskId) -> usize,
) -> Option<DiskId> {
    let by_zone = count_by_zone(members);
    let others = members.iter().filter(|member| member.disk != primary);
    let best = others.max_by_key(|member| {
        let members_in_zone = by_zone.get(&member.node.zone).copied().unwrap_or(0);
        (members_in_zone, memberships(member.disk), member.disk)
    });
    best.map(|member| member.disk)
}

fn count_by_zone(members: &[GroupMember]) -> BTreeMap<String, usize> {
    let mut by_zone = BTreeMap::new();
    for member in members {
        *by_zone.entry(member.node.zone.clone()).or_default() += 1;
    }
    by_zone
}
