//! Which stores keep batch jobs: the next step from the present group, if one is due.
//!
//! The primary of the core asks for it every now and then, with what it sees of the stores, and proposes what comes out.
//! Each step is a new epoch. What holds over all steps:
//!
//! - Only a member that holds everything that was acknowledged ([`ControlState::complete_members`]) becomes the primary.
//! - A member that is dead, silent to the primary or to be emptied leaves only if `tolerate + 1` others remain that respond
//!   *and* hold everything: were one that does not hold everything yet to count, the loss of one more disk could be the loss
//!   of all. Until then the member stays, and others are added to come to hold everything.
//! - A store becomes a member only from a learner that says it is in sync.

use super::groups::{GroupChange, GroupState, GroupStep};
use super::request::Request;
use super::store_report::{GroupReport, StoreReport};
use super::ControlState;
use alderhollow_model::identity::{DiskId, NodeInfo};
use alderhollow_model::snapshot::{BatchGroup, GroupId, GroupMember};
use std::collections::{BTreeMap, BTreeSet};

/// A store that was not heard of for so long is dead. It is longer than a poll validates (`VALIDATED_MS` in the store's
/// node), so that a primary has stopped by itself when its place is given away for its silence.
pub const DEAD_AFTER_MS: u64 = 1_200;
/// A store that was not heard of for so long does not count as there when one is to be retired.
pub const GONE_AFTER_MS: u64 = 30_000;
/// How long the first stores may take to come before the first group is made of those that are there.
pub const FOUNDING_WAIT_MS: u64 = 1_500;
/// How much longer that takes where fewer than `tolerate + 1` stores are there.
pub const FOUNDING_PATIENCE_MS: u64 = 5_000;

/// What the core's primary sees of one store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreView {
    /// The store as it said in its newest poll.
    pub node: NodeInfo,
    /// Time since that poll.
    pub silent_for_ms: u64,
    /// What it reported then.
    pub report: StoreReport,
}

/// What the core's primary sees.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GroupView {
    /// How long it has been the primary. What it has not heard in a shorter time says nothing.
    pub primary_for_ms: u64,
    /// `tolerate.machines` of the settings.
    pub tolerate_machines: usize,
    /// The stores that it has heard of since it became the primary.
    pub stores: Vec<StoreView>,
}

/// What is to be proposed next, if anything. One thing at a time: ask again when it is committed.
pub fn next_request(state: &ControlState, view: &GroupView) -> Option<Request> {
    if let Some(store) = view.stores.iter().find(|store| state.stores().is_news(&store.node)) {
        return Some(Request::RegisterStore(store.node.clone()));
    }
    let seen = SeenStores::new(state, view);
    if state.groups().is_empty() {
        return seen.found();
    }
    let changes: Vec<GroupChange> = state
        .groups()
        .iter()
        .enumerate()
        .filter_map(|(index, group)| {
            let id = GroupId::at(index);
            let step = Planner { seen: &seen, id, group }.next_step()?;
            Some(GroupChange { id, step })
        })
        .collect();
    (!changes.is_empty()).then_some(Request::ChangeGroups(changes))
}

/// Machines of stores that don't count as there any more, for [`super::request::OrderContext`].
pub fn gone_stores(state: &ControlState, view: &GroupView) -> BTreeSet<String> {
    if view.primary_for_ms < GONE_AFTER_MS {
        return BTreeSet::new();
    }
    let here = |node: &str| {
        view.stores.iter().any(|store| store.node.node == node && store.silent_for_ms < GONE_AFTER_MS)
    };
    state.stores().iter().map(|store| store.node.clone()).filter(|node| !here(node)).collect()
}

/// What is known of the stores, by their disks.
struct SeenStores<'a> {
    state: &'a ControlState,
    view: &'a GroupView,
    by_disk: BTreeMap<DiskId, &'a StoreView>,
}

impl<'a> SeenStores<'a> {
    fn new(state: &'a ControlState, view: &'a GroupView) -> SeenStores<'a> {
        let by_disk = view.stores.iter().filter_map(|store| Some((store.node.disk?, store))).collect();
        SeenStores { state, view, by_disk }
    }

    /// Copies that each acknowledgement needs.
    fn copies(&self) -> usize {
        self.view.tolerate_machines.saturating_add(1)
    }

    /// Members that a group should have.
    fn target(&self) -> usize {
        self.view.tolerate_machines.saturating_add(2)
    }

    /// Heard of lately, with the machine's present disk, which takes writes.
    fn is_alive(&self, disk: DiskId) -> bool {
        let can_serve =
            |store: &&StoreView| store.silent_for_ms < DEAD_AFTER_MS && !cannot_serve(&store.report);
        self.by_disk.get(&disk).is_some_and(can_serve) && self.state.stores().has_disk(disk)
    }

    /// Surely not serving: replaced, about to end, without a disk that takes writes, or silent for long enough of this
    /// primary's own time.
    fn is_dead(&self, disk: DiskId) -> bool {
        if !self.state.stores().has_disk(disk) {
            return true;
        }
        match self.by_disk.get(&disk) {
            Some(store) => cannot_serve(&store.report) || store.silent_for_ms >= DEAD_AFTER_MS,
            None => self.view.primary_for_ms >= DEAD_AFTER_MS,
        }
    }

    fn is_retiring(&self, member: &GroupMember) -> bool {
        self.state.stores().is_retiring(&member.node.node)
    }

    /// Stores that could join a group, sorted by their disks.
    fn candidates(&self, taken: &BTreeSet<DiskId>) -> Vec<GroupMember> {
        let usable = self.by_disk.iter().filter(|(disk, store)| {
            self.is_alive(**disk)
                && !taken.contains(disk)
                && !self.state.stores().is_retiring(&store.node.node)
        });
        usable.map(|(disk, store)| GroupMember { disk: *disk, node: store.node.clone() }).collect()
    }

    /// The first groups.
    fn found(&self) -> Option<Request> {
        if self.view.primary_for_ms < FOUNDING_WAIT_MS {
            return None;
        }
        let members = spread_over_zones(&[], self.candidates(&BTreeSet::new()), self.target());
        let patience_is_over = self.view.primary_for_ms >= FOUNDING_WAIT_MS + FOUNDING_PATIENCE_MS;
        if members.len() < self.copies() && !patience_is_over {
            return None;
        }
        let primary = members.first()?.disk;
        let group = BatchGroup { epoch: 1, primary, members, learners: Vec::new() };
        Some(Request::FoundGroups(vec![group]))
    }
}

/// What is to become of one group.
struct Planner<'a> {
    seen: &'a SeenStores<'a>,
    id: GroupId,
    group: &'a GroupState,
}

impl Planner<'_> {
    /// The next step, if one is due.
    fn next_step(&self) -> Option<GroupStep> {
        let group = &self.group.group;
        if self.reports_active(group) && !self.group.is_active() {
            return Some(GroupStep::BecameActive { epoch: group.epoch });
        }
        self.members_in_sync(group).or_else(|| self.next_group(group))
    }

    /// What a store reports of its part in this group.
    fn report_of(&self, disk: DiskId) -> Option<&GroupReport> {
        self.seen.by_disk.get(&disk)?.report.groups.get(&self.id)
    }

    /// What the group's primary reports, if it acts under the group's epoch.
    fn primary_report(&self, group: &BatchGroup) -> Option<&GroupReport> {
        self.report_of(group.primary).filter(|report| report.epoch == group.epoch)
    }

    /// The members that the primary, while it is alive, waits for in vain.
    fn silent_members(&self, group: &BatchGroup) -> BTreeSet<DiskId> {
        if !self.seen.is_alive(group.primary) {
            return BTreeSet::new();
        }
        self.primary_report(group).map(|report| report.silent.clone()).unwrap_or_default()
    }

    /// How many of these are alive and hold everything.
    fn count_holding<'m>(&self, members: impl Iterator<Item = &'m GroupMember>) -> usize {
        members.filter(|member| self.seen.is_alive(member.disk) && self.is_complete(member.disk)).count()
    }

    fn is_complete(&self, disk: DiskId) -> bool {
        self.group.complete.contains(&disk)
    }

    fn reports_active(&self, group: &BatchGroup) -> bool {
        self.primary_report(group).is_some_and(|report| report.active)
    }

    fn reports_synced(&self, group: &BatchGroup, disk: DiskId) -> bool {
        self.report_of(disk).is_some_and(|report| report.synced && report.epoch == group.epoch)
    }

    /// Members that came to hold everything while the epoch is not active yet: it may wait for a dead one.
    fn members_in_sync(&self, group: &BatchGroup) -> Option<GroupStep> {
        let members = group.members.iter().map(|member| member.disk);
        let news = members.filter(|disk| !self.is_complete(*disk) && self.reports_synced(group, *disk));
        let disks: BTreeSet<DiskId> = news.collect();
        (!disks.is_empty()).then_some(GroupStep::MembersInSync { epoch: group.epoch, disks })
    }

    /// The group that is to follow, if it differs from the present one.
    fn next_group(&self, group: &BatchGroup) -> Option<GroupStep> {
        let mut next = group.clone();
        self.refresh_addresses(&mut next);
        self.promote_learners(group, &mut next);
        self.drop_learners(&mut next);
        self.replace_primary(group, &mut next);
        // What a primary that gives its place away says of the others does not hold for its successor.
        let stays_primary = next.primary == group.primary;
        let silent = if stays_primary { self.silent_members(group) } else { BTreeSet::new() };
        self.drop_unresponsive(&silent, &mut next);
        self.drop_retiring(&silent, &mut next);
        self.add_learners(&mut next);
        if next == *group {
            return None;
        }
        next.epoch = group.epoch + 1;
        Some(GroupStep::Replace { previous_epoch: group.epoch, group: next })
    }

    /// A store that came back at another address is to be found there.
    fn refresh_addresses(&self, next: &mut BatchGroup) {
        for member in next.members.iter_mut().chain(&mut next.learners) {
            let known = self.seen.state.stores().get(&member.node.node);
            if let Some(known) = known.filter(|known| known.disk == Some(member.disk)) {
                if known.internal != member.node.internal {
                    member.node = known.clone();
                }
            }
        }
    }

    /// A learner in sync becomes a member. It is complete only once the epoch that follows is active.
    fn promote_learners(&self, group: &BatchGroup, next: &mut BatchGroup) {
        let (in_sync, others): (Vec<_>, Vec<_>) = next.learners.drain(..).partition(|learner| {
            self.seen.is_alive(learner.disk)
                && !self.seen.is_retiring(learner)
                && self.reports_synced(group, learner.disk)
        });
        next.learners = others;
        next.members.extend(in_sync);
    }

    fn drop_learners(&self, next: &mut BatchGroup) {
        next.learners.retain(|learner| !self.seen.is_dead(learner.disk) && !self.seen.is_retiring(learner));
    }

    /// A primary that is dead, cut off from the others or retiring gives its place to a member that is alive and holds
    /// everything: one that stays, if there is one. Only a dead primary's place goes to a member that is itself to be
    /// emptied.
    fn replace_primary(&self, group: &BatchGroup, next: &mut BatchGroup) {
        let Some(primary) = next.primary_member() else {
            return;
        };
        let is_lost = self.seen.is_dead(primary.disk) || self.is_isolated(group);
        let behind = self.primary_report(group).and_then(|report| report.behind);
        if !is_lost && behind.is_none() && !self.seen.is_retiring(primary) {
            return;
        }
        let able = |member: &&GroupMember| {
            member.disk != primary.disk && self.seen.is_alive(member.disk) && self.is_complete(member.disk)
        };
        let (retiring, staying): (Vec<_>, Vec<_>) =
            next.members.iter().filter(able).partition(|member| self.seen.is_retiring(member));
        let ahead = staying.iter().find(|member| Some(member.disk) == behind);
        let of_last_resort = retiring.first().filter(|_| is_lost);
        if let Some(successor) = ahead.or(staying.first()).or(of_last_resort) {
            next.primary = successor.disk;
        }
    }

    /// The primary is heard of but reaches so few members that it can't go on, while those that it does not reach could.
    fn is_isolated(&self, group: &BatchGroup) -> bool {
        let silent = self.silent_members(group);
        let is_silent = |member: &&GroupMember| silent.contains(&member.disk);
        let unreached = self.count_holding(group.members.iter().filter(is_silent));
        let reached = self.count_holding(group.members.iter().filter(|member| !is_silent(member)));
        reached < self.seen.copies() && unreached >= self.seen.copies()
    }

    /// Dead and silent members leave if enough others respond and hold everything.
    fn drop_unresponsive(&self, silent: &BTreeSet<DiskId>, next: &mut BatchGroup) {
        let responds = |disk: DiskId| !self.seen.is_dead(disk) && !silent.contains(&disk);
        let stays = |member: &GroupMember| member.disk == next.primary || responds(member.disk);
        let remaining: Vec<_> = next.members.iter().filter(|member| stays(member)).cloned().collect();
        if self.count_holding(remaining.iter()) >= self.seen.copies() {
            next.members = remaining;
        }
    }

    /// Retiring members leave when their successors are in, or where there are none, if enough others respond and hold
    /// everything.
    fn drop_retiring(&self, silent: &BTreeSet<DiskId>, next: &mut BatchGroup) {
        let stays = |member: &GroupMember| member.disk == next.primary || !self.seen.is_retiring(member);
        let remaining: Vec<_> = next.members.iter().filter(|member| stays(member)).cloned().collect();
        let holding = self.count_holding(remaining.iter().filter(|member| !silent.contains(&member.disk)));
        let successors_may_come = remaining.len() < self.seen.target()
            && (!next.learners.is_empty() || !self.seen.candidates(&disks_of(next)).is_empty());
        let successors_are_in = holding >= self.seen.target() || !successors_may_come;
        if holding >= self.seen.copies() && successors_are_in {
            next.members = remaining;
        }
    }

    /// Missing members are brought up as learners.
    fn add_learners(&self, next: &mut BatchGroup) {
        let lasting = next
            .members
            .iter()
            .filter(|member| !self.seen.is_retiring(member) && !self.seen.is_dead(member.disk));
        let lasting: Vec<GroupMember> = lasting.chain(&next.learners).cloned().collect();
        let missing = self.seen.target().saturating_sub(lasting.len());
        let candidates = self.seen.candidates(&disks_of(next));
        next.learners.extend(spread_over_zones(&lasting, candidates, missing));
    }
}

/// Whether a store that polls is of no use as a member all the same.
fn cannot_serve(report: &StoreReport) -> bool {
    report.leaving || report.disk_failing
}

/// The disks of a group's members and learners.
fn disks_of(group: &BatchGroup) -> BTreeSet<DiskId> {
    group.members.iter().chain(&group.learners).map(|member| member.disk).collect()
}

/// Picks up to `count` candidates, those first whose zones have the fewest members.
fn spread_over_zones(
    present: &[GroupMember],
    mut candidates: Vec<GroupMember>,
    count: usize,
) -> Vec<GroupMember> {
    let mut by_zone: BTreeMap<String, usize> = BTreeMap::new();
    for member in present {
        *by_zone.entry(member.node.zone.clone()).or_default() += 1;
    }
    let mut picked = Vec::new();
    while picked.len() < count {
        let members_in_zone = |member: &GroupMember| by_zone.get(&member.node.zone).copied().unwrap_or(0);
        let best = candidates.iter().enumerate().min_by_key(|(_, member)| members_in_zone(member));
        let Some(at) = best.map(|(at, _)| at) else {
            break;
        };
        let member = candidates.swap_remove(at);
        *by_zone.entry(member.node.zone.clone()).or_default() += 1;
        picked.push(member);
    }
    picked
}
