//! Plans the next change of one group.

use super::placement::{disks_of, spread_over_zones, surplus_member, StoreLoads};
use super::store_health::StoreHealth;
use crate::control_state::groups::{GroupState, GroupStep};
use crate::control_state::store_report::GroupReport;
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::{BatchGroup, GroupId, GroupMember};
use std::collections::BTreeSet;

/// Plans the next change of one group.
pub(super) struct Planner<'a> {
    /// Health of the stores.
    pub health: &'a StoreHealth<'a>,
    /// Load of the stores, including the changes of other groups in the same request.
    pub loads: &'a StoreLoads,
    /// The group's id.
    pub id: GroupId,
    /// The group's committed state.
    pub group: &'a GroupState,
}

impl Planner<'_> {
    /// The next change, if one is due.
    pub(super) fn next_step(&self) -> Option<GroupStep> {
        let group = &self.group.group;
        if self.reports_active(group) && !self.group.is_active() {
            return Some(GroupStep::BecameActive { epoch: group.epoch });
        }
        self.members_in_sync(group)
            .or_else(|| self.next_group(group))
    }

    /// A store's report for this group.
    fn report_of(&self, disk: DiskId) -> Option<&GroupReport> {
        self.health.by_disk.get(&disk)?.report.groups.get(&self.id)
    }

    /// The report of the group's primary, if it acts under the current epoch.
    fn primary_report(&self, group: &BatchGroup) -> Option<&GroupReport> {
        self.report_of(group.primary)
            .filter(|report| report.epoch == group.epoch)
    }

    /// Members that do not respond to the primary, as reported by the primary while it is alive.
    fn silent_members(&self, group: &BatchGroup) -> BTreeSet<DiskId> {
        if !self.health.is_alive(group.primary) {
            return BTreeSet::new();
        }
        self.primary_report(group)
            .map(|report| report.silent.clone())
            .unwrap_or_default()
    }

    /// Number of the given members that are alive and complete.
    fn count_complete<'m>(&self, members: impl Iterator<Item = &'m GroupMember>) -> usize {
        members
            .filter(|member| self.health.is_alive(member.disk) && self.is_complete(member.disk))
            .count()
    }

    fn is_complete(&self, disk: DiskId) -> bool {
        self.group.complete.contains(&disk)
    }

    fn reports_active(&self, group: &BatchGroup) -> bool {
        self.primary_report(group)
            .is_some_and(|report| report.active)
    }

    fn reports_synced(&self, group: &BatchGroup, disk: DiskId) -> bool {
        self.report_of(disk)
            .is_some_and(|report| report.synced && report.epoch == group.epoch)
    }

    /// Records members that became complete before the epoch is active, which a dead member may delay.
    fn members_in_sync(&self, group: &BatchGroup) -> Option<GroupStep> {
        let members = group.members.iter().map(|member| member.disk);
        let newly_complete =
            members.filter(|disk| !self.is_complete(*disk) && self.reports_synced(group, *disk));
        let disks: BTreeSet<DiskId> = newly_complete.collect();
        (!disks.is_empty()).then_some(GroupStep::MembersInSync {
            epoch: group.epoch,
            disks,
        })
    }

    /// The group's next epoch, if it differs from the current one.
    fn next_group(&self, group: &BatchGroup) -> Option<GroupStep> {
        let mut next = group.clone();
        self.refresh_addresses(&mut next);
        self.promote_learners(group, &mut next);
        self.drop_learners(&mut next);
        self.replace_primary(group, &mut next);
        // The unresponsive members reported by a primary that is replaced say nothing about its successor's links.
        let stays_primary = next.primary == group.primary;
        let silent = if stays_primary {
            self.silent_members(group)
        } else {
            BTreeSet::new()
        };
        self.drop_unresponsive(&silent, &mut next);
        self.drop_retiring(&silent, &mut next);
        self.add_learners(&mut next);
        self.drop_surplus(group, &silent, &mut next);
        if next == *group {
            return None;
        }
        next.epoch = group.epoch + 1;
        Some(GroupStep::Replace {
            previous_epoch: group.epoch,
            group: next,
        })
    }

    /// Updates the addresses of stores that restarted at another one.
    fn refresh_addresses(&self, next: &mut BatchGroup) {
        for member in next.members.iter_mut().chain(&mut next.learners) {
            let known = self.health.state.stores().get(&member.node.node);
            if let Some(known) = known.filter(|known| known.disk == Some(member.disk)) {
                if known.internal != member.node.internal {
                    member.node = known.clone();
                }
            }
        }
    }

    /// Promotes learners in sync to members. They are complete only once the next epoch is active.
    fn promote_learners(&self, group: &BatchGroup, next: &mut BatchGroup) {
        let (in_sync, others): (Vec<_>, Vec<_>) = next.learners.drain(..).partition(|learner| {
            self.health.is_alive(learner.disk)
                && !self.health.is_retiring(learner)
                && self.reports_synced(group, learner.disk)
        });
        next.learners = others;
        next.members.extend(in_sync);
    }

    /// Removes learners that are dead or being decommissioned.
    fn drop_learners(&self, next: &mut BatchGroup) {
        next.learners.retain(|learner| {
            !self.health.is_dead(learner.disk) && !self.health.is_retiring(learner)
        });
    }

    /// Replaces a primary that is dead, isolated, behind another member or being decommissioned. The successor is a member
    /// that is alive and complete: the one that the primary is behind, else the one with the fewest primaries. Members that
    /// are being decommissioned are used only to replace a dead or isolated primary.
    fn replace_primary(&self, group: &BatchGroup, next: &mut BatchGroup) {
        let Some(primary) = next.primary_member() else {
            return;
        };
        let is_lost = self.health.is_dead(primary.disk) || self.is_isolated(group);
        let behind = self.primary_report(group).and_then(|report| report.behind);
        if !is_lost && behind.is_none() && !self.health.is_retiring(primary) {
            return;
        }
        let able = |member: &&GroupMember| {
            member.disk != primary.disk
                && self.health.is_alive(member.disk)
                && self.is_complete(member.disk)
        };
        let (retiring, staying): (Vec<_>, Vec<_>) = next
            .members
            .iter()
            .filter(able)
            .partition(|member| self.health.is_retiring(member));
        let ahead = staying.iter().find(|member| Some(member.disk) == behind);
        let least_leading = staying
            .iter()
            .min_by_key(|member| self.loads.leads(member.disk));
        let of_last_resort = retiring.first().filter(|_| is_lost);
        if let Some(successor) = ahead.or(least_leading).or(of_last_resort) {
            next.primary = successor.disk;
        }
    }

    /// Whether the primary polls, but reaches too few members to acknowledge anything, while the unreachable ones could.
    fn is_isolated(&self, group: &BatchGroup) -> bool {
        let silent = self.silent_members(group);
        let is_silent = |member: &&GroupMember| silent.contains(&member.disk);
        let unreached = self.count_complete(group.members.iter().filter(is_silent));
        let reached = self.count_complete(group.members.iter().filter(|member| !is_silent(member)));
        reached < self.health.min_replicas() && unreached >= self.health.min_replicas()
    }

    /// Removes dead and unresponsive members if enough others respond and are complete.
    fn drop_unresponsive(&self, silent: &BTreeSet<DiskId>, next: &mut BatchGroup) {
        let responds = |disk: DiskId| !self.health.is_dead(disk) && !silent.contains(&disk);
        let stays = |member: &GroupMember| member.disk == next.primary || responds(member.disk);
        let remaining: Vec<_> = next
            .members
            .iter()
            .filter(|member| stays(member))
            .cloned()
            .collect();
        if self.count_complete(remaining.iter()) >= self.health.min_replicas() {
            next.members = remaining;
        }
    }

    /// Removes members that are being decommissioned once their replacements are members, or without replacements if none are
    /// available, provided that enough others respond and are complete.
    fn drop_retiring(&self, silent: &BTreeSet<DiskId>, next: &mut BatchGroup) {
        let stays =
            |member: &GroupMember| member.disk == next.primary || !self.health.is_retiring(member);
        let remaining: Vec<_> = next
            .members
            .iter()
            .filter(|member| stays(member))
            .cloned()
            .collect();
        let complete_members = self.count_complete(
            remaining
                .iter()
                .filter(|member| !silent.contains(&member.disk)),
        );
        let successors_may_come = remaining.len() < self.health.target_members()
            && (!next.learners.is_empty() || !self.health.candidates(&disks_of(next)).is_empty());
        let successors_are_in =
            complete_members >= self.health.target_members() || !successors_may_come;
        if complete_members >= self.health.min_replicas() && successors_are_in {
            next.members = remaining;
        }
    }

    /// Adds learners for missing members.
    fn add_learners(&self, next: &mut BatchGroup) {
        let lasting = next
            .members
            .iter()
            .filter(|member| !self.health.is_retiring(member) && !self.health.is_dead(member.disk));
        let lasting: Vec<GroupMember> = lasting.chain(&next.learners).cloned().collect();
        let missing = self.health.target_members().saturating_sub(lasting.len());
        let candidates = self.health.candidates(&disks_of(next));
        next.learners
            .extend(spread_over_zones(&lasting, candidates, missing, self.loads));
    }

    /// Removes one member of a stable group that has more than the target number: after a replacement joined, or after a
    /// replaced member came back.
    fn drop_surplus(&self, group: &BatchGroup, silent: &BTreeSet<DiskId>, next: &mut BatchGroup) {
        let is_well = |member: &GroupMember| {
            self.health.is_alive(member.disk)
                && self.is_complete(member.disk)
                && !self.health.is_retiring(member)
                && !silent.contains(&member.disk)
        };
        let lacks_nothing = *next == *group && next.learners.is_empty() && self.group.is_active();
        if !lacks_nothing
            || next.members.len() <= self.health.target_members()
            || !next.members.iter().all(is_well)
        {
            return;
        }
        let memberships = |disk: DiskId| self.loads.memberships(disk);
        if let Some(surplus) = surplus_member(&next.members, next.primary, memberships) {
            next.members.retain(|member| member.disk != surplus);
        }
    }
}
