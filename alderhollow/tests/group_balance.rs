//! Distribution of groups over stores: when groups are founded, after the loss of a store, and after stores were added.

mod control;

use alderhollow::control_state::group_policy::founding::MAX_GROUPS;
use alderhollow::control_state::group_policy::rebalancing::{StabilityTimer, REBALANCE_AFTER_MS};
use alderhollow::control_state::group_policy::{next_request, GroupView, StoreView, DEAD_AFTER_MS};
use alderhollow::control_state::groups::{GroupChange, GroupStep};
use alderhollow::control_state::request::Request;
use alderhollow::control_state::store_report::StoreReport;
use alderhollow::control_state::view::encode_view;
use alderhollow::control_state::ControlState;
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::{BatchGroup, ControlView, GroupId, GroupMember};
use control::{command_of, store};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Limit of the policy's requests before a test fails.
const MAX_REQUESTS: usize = 2_000;

fn new_store(disk: u64, zone: &str) -> StoreView {
    StoreView {
        node: store(&format!("s{disk}"), zone, disk),
        since_last_poll_ms: 0,
        report: StoreReport::default(),
    }
}

/// Stores in zones of the given sizes, all of which have just polled, with nothing else going on.
fn view(zones: &[usize], tolerate_machines: usize) -> GroupView {
    let mut stores = Vec::new();
    for (zone, count) in zones.iter().enumerate() {
        for _ in 0..*count {
            // Not in ascending order, so that nothing can depend on it.
            let disk = (stores.len() as u64 + 1) * 7919 % 10_007;
            stores.push(new_store(disk, &format!("z{zone}")));
        }
    }
    GroupView {
        primary_for_ms: 60_000,
        tolerate_machines,
        stable_for_ms: REBALANCE_AFTER_MS,
        stores,
    }
}

/// Sets every store's report to that of a healthy store in the current epochs.
fn report_healthy(state: &ControlState, view: &mut GroupView) {
    for seen in &mut view.stores {
        let disk = seen.node.disk.expect("a store has a disk");
        for (index, group) in state.groups().iter().enumerate() {
            let group_report = seen.report.groups.entry(GroupId::at(index)).or_default();
            group_report.epoch = group.group.epoch;
            group_report.active = group.group.primary == disk;
            group_report.synced = group
                .group
                .learners
                .iter()
                .any(|learner| learner.disk == disk);
        }
    }
}

fn apply(state: &mut ControlState, request: &Request) {
    let command = command_of(state, request).expect("the policy's request is accepted");
    assert!(state.apply_command(command));
}

/// Reports and commits until the policy makes no more requests; returns its requests.
fn run_until_stable(state: &mut ControlState, view: &mut GroupView) -> Vec<Request> {
    let mut requests = Vec::new();
    while requests.len() < MAX_REQUESTS {
        report_healthy(state, view);
        let Some(request) = next_request(state, view) else {
            return requests;
        };
        apply(state, &request);
        requests.push(request);
    }
    panic!("the policy does not terminate: {:?}", state.groups());
}

/// Commits the policy's requests until the groups are founded.
fn found_groups(view: &GroupView) -> ControlState {
    let mut state = ControlState::default();
    while state.groups().is_empty() {
        let request =
            next_request(&state, view).expect("stores are registered, then groups are founded");
        apply(&mut state, &request);
    }
    state
}

fn groups(state: &ControlState) -> impl Iterator<Item = &BatchGroup> {
    state.groups().iter().map(|state| state.group.as_ref())
}

fn disk_of(seen: &StoreView) -> DiskId {
    seen.node.disk.expect("a store has a disk")
}

fn leads(state: &ControlState, disk: DiskId) -> usize {
    groups(state).filter(|group| group.primary == disk).count()
}

fn is_member(group: &BatchGroup, disk: DiskId) -> bool {
    group.members.iter().any(|member| member.disk == disk)
}

fn memberships(state: &ControlState, disk: DiskId) -> usize {
    groups(state).filter(|group| is_member(group, disk)).count()
}

fn spread(counts: impl Iterator<Item = usize> + Clone) -> usize {
    counts.clone().max().unwrap_or(0) - counts.min().unwrap_or(0)
}

fn zone_counts(group: &BatchGroup) -> Vec<usize> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for member in &group.members {
        *counts.entry(&member.node.zone).or_default() += 1;
    }
    counts.into_values().collect()
}

/// Checks that each group has all its members, spread over as many zones as possible, and that the memberships of the stores
/// in one zone differ by at most one.
fn assert_balanced(state: &ControlState, view: &GroupView) {
    let stores = &view.stores;
    let zones: BTreeSet<&str> = stores.iter().map(|seen| seen.node.zone.as_str()).collect();
    for group in groups(state) {
        assert_eq!(
            group.members.len(),
            stores.len().min(view.tolerate_machines + 2)
        );
        let counts = zone_counts(group);
        assert_eq!(
            counts.len(),
            zones.len().min(group.members.len()),
            "zones: {group:?}"
        );
    }
    for zone in zones {
        let of_zone = stores.iter().filter(|seen| seen.node.zone == zone);
        let counts = of_zone.map(|seen| memberships(state, disk_of(seen)));
        assert!(
            spread(counts.clone()) <= 1,
            "memberships in {zone}: {:?}",
            counts.collect::<Vec<_>>()
        );
    }
}

#[test]
fn as_many_groups_are_founded_as_there_are_stores_with_different_primaries() {
    for zones in [
        &[1][..],
        &[1, 1],
        &[2],
        &[1, 1, 1],
        &[3],
        &[5, 5, 4],
        &[14],
        &[1, 12],
        &[40, 30, 30],
    ] {
        for tolerate in [1, 2] {
            let view = view(zones, tolerate);
            let state = found_groups(&view);
            assert_eq!(state.groups().len(), view.stores.len().min(MAX_GROUPS));
            assert!(
                view.stores
                    .iter()
                    .all(|seen| leads(&state, disk_of(seen)) <= 1),
                "{zones:?}"
            );
            assert_balanced(&state, &view);
        }
    }
}

#[test]
fn with_equal_zones_memberships_differ_by_at_most_one() {
    for zones in [&[14][..], &[4, 4, 4], &[5, 5, 5], &[7, 7]] {
        let view = view(zones, 1);
        let state = found_groups(&view);
        let counts = view
            .stores
            .iter()
            .map(|seen| memberships(&state, disk_of(seen)));
        assert!(
            spread(counts.clone()) <= 1,
            "{zones:?}: {:?}",
            counts.collect::<Vec<_>>()
        );
    }
}

#[test]
fn each_group_loses_at_most_one_member_with_a_zone() {
    let view = view(&[5, 5, 4], 1);
    let state = found_groups(&view);
    for group in groups(&state) {
        assert_eq!(zone_counts(group), [1, 1, 1]);
    }
}

#[test]
fn the_groups_do_not_depend_on_the_order_of_the_stores() {
    let mut view = view(&[5, 5, 4], 2);
    let expected = found_groups(&view);
    view.stores.reverse();
    assert_eq!(
        groups(&expected).collect::<Vec<_>>(),
        groups(&found_groups(&view)).collect::<Vec<_>>()
    );
}

#[test]
fn all_groups_of_a_lost_store_change_in_one_request_and_are_spread_over_others() {
    let mut view = view(&[14], 2);
    let mut state = found_groups(&view);
    run_until_stable(&mut state, &mut view);
    // One store leads four groups.
    let heavy = groups(&state).next().expect("a group").primary;
    make_primary(&mut state, heavy, 4);
    view.stable_for_ms = 0;
    run_until_stable(&mut state, &mut view);
    let affected: BTreeSet<usize> = indices(&state, |group| is_member(group, heavy));
    let led = indices(&state, |group| group.primary == heavy);
    assert!(led.len() == 4, "{led:?}");
    let lost = view
        .stores
        .iter_mut()
        .find(|seen| disk_of(seen) == heavy)
        .expect("the store");
    lost.since_last_poll_ms = DEAD_AFTER_MS;
    let request = next_request(&state, &view).expect("changes are due");
    let Request::ChangeGroups(changes) = &request else {
        panic!("{request:?}")
    };
    let changed: BTreeSet<usize> = changes.iter().map(|change| change.id.index()).collect();
    assert_eq!(changed, affected);
    apply(&mut state, &request);
    assert_eq!(leads(&state, heavy), 0);
    let most = view
        .stores
        .iter()
        .map(|seen| leads(&state, disk_of(seen)))
        .max();
    assert!(
        most <= Some(2),
        "the four groups are taken over by the stores that lead the fewest: {most:?}"
    );
    let learners: Vec<DiskId> = groups(&state)
        .flat_map(|group| group.learners.iter().map(|learner| learner.disk))
        .collect();
    let different: BTreeSet<&DiskId> = learners.iter().collect();
    assert_eq!(learners.len(), affected.len());
    assert_eq!(
        different.len(),
        learners.len(),
        "each group gets a different store as a learner"
    );
}

fn indices(state: &ControlState, which: impl Fn(&BatchGroup) -> bool) -> BTreeSet<usize> {
    groups(state)
        .enumerate()
        .filter(|(_, group)| which(group))
        .map(|(index, _)| index)
        .collect()
}

/// Makes a store the primary of up to `count` groups of which it is a member.
fn make_primary(state: &mut ControlState, disk: DiskId, count: usize) {
    let memberships = indices(state, |group| is_member(group, disk));
    let changes = memberships.into_iter().take(count).map(|index| {
        let mut group = state.groups()[index].group.as_ref().clone();
        let previous_epoch = group.epoch;
        group.epoch += 1;
        group.primary = disk;
        GroupChange {
            id: GroupId::at(index),
            step: GroupStep::Replace {
                previous_epoch,
                group,
            },
        }
    });
    let request = Request::ChangeGroups(changes.collect());
    apply(state, &request);
}

#[test]
fn groups_move_to_an_added_store_one_at_a_time() {
    let mut view = view(&[4, 4, 3], 1);
    let mut state = found_groups(&view);
    run_until_stable(&mut state, &mut view);
    view.stores.push(new_store(3, "z2"));
    let mut max_changes = 0;
    for request in run_until_stable(&mut state, &mut view) {
        if let Request::ChangeGroups(changes) = request {
            max_changes = max_changes.max(changes.len());
        }
    }
    assert_eq!(max_changes, 1, "one group at a time");
    assert_balanced(&state, &view);
    assert!(memberships(&state, DiskId(3)) >= 2);
}

#[test]
fn nothing_is_rebalanced_before_the_stability_period_has_passed() {
    let mut view = view(&[4, 4, 3], 1);
    let mut state = found_groups(&view);
    run_until_stable(&mut state, &mut view);
    view.stores.push(new_store(3, "z2"));
    view.stable_for_ms = REBALANCE_AFTER_MS - 1;
    let requests = run_until_stable(&mut state, &mut view);
    assert!(
        matches!(requests[..], [Request::RegisterStore(_)]),
        "{requests:?}"
    );
    view.stable_for_ms += 1;
    assert!(matches!(
        next_request(&state, &view),
        Some(Request::ChangeGroups(_))
    ));
    view.stores[0].since_last_poll_ms = DEAD_AFTER_MS - 1;
    assert!(matches!(
        next_request(&state, &view),
        Some(Request::ChangeGroups(_))
    ));
    view.stores.last_mut().expect("a store").report.leaving = true;
    assert_eq!(next_request(&state, &view), None);
}

#[test]
fn stability_is_measured_from_its_latest_start() {
    let mut timer = StabilityTimer::default();
    assert_eq!(timer.record(true, 1_000), 0);
    assert_eq!(timer.record(true, 3_500), 2_500);
    assert_eq!(timer.record(false, 4_000), 0);
    assert_eq!(timer.record(true, 5_000), 0);
    assert_eq!(timer.record(true, 5_100), 100);
}

/// Generates stores in zones and active groups with random members: for each group the indices of its members, the primary
/// first.
fn any_placement() -> impl Strategy<Value = (GroupView, Vec<Vec<usize>>)> {
    let zones = prop::collection::vec(1_usize..6, 1..4);
    (zones, 1_usize..3).prop_flat_map(|(zones, tolerate)| {
        let view = view(&zones, tolerate);
        let stores: Vec<usize> = (0..view.stores.len()).collect();
        let members = stores.len().min(tolerate + 2);
        let group_members = prop::sample::subsequence(stores, members).prop_shuffle();
        (Just(view), prop::collection::vec(group_members, 1..20))
    })
}

fn state_with_groups(view: &GroupView, members_by_group: &[Vec<usize>]) -> ControlState {
    let mut state = ControlState::default();
    for seen in &view.stores {
        apply(&mut state, &Request::RegisterStore(seen.node.clone()));
    }
    let member = |at: &usize| GroupMember {
        disk: disk_of(&view.stores[*at]),
        node: view.stores[*at].node.clone(),
    };
    let groups = members_by_group.iter().map(|places| {
        let members: Vec<GroupMember> = places.iter().map(member).collect();
        BatchGroup {
            epoch: 1,
            primary: members[0].disk,
            members,
            learners: Vec::new(),
        }
    });
    apply(&mut state, &Request::FoundGroups(groups.collect()));
    state
}

/// Imbalance between zones and between stores, compared in this order. No completed move may increase it.
fn imbalance(state: &ControlState, view: &GroupView) -> (usize, usize) {
    let square = |count: usize| count * count;
    let zones = groups(state).flat_map(zone_counts).map(square).sum();
    let memberships = view
        .stores
        .iter()
        .map(|seen| square(memberships(state, disk_of(seen))))
        .sum();
    (zones, memberships)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn any_placement_becomes_balanced((mut view, members_by_group) in any_placement()) {
        let mut state = state_with_groups(&view, &members_by_group);
        let before = imbalance(&state, &view);
        run_until_stable(&mut state, &mut view);
        prop_assert!(imbalance(&state, &view) <= before);
        assert_balanced(&state, &view);
        for seen in &view.stores {
            let own = leads(&state, disk_of(seen));
            for group in groups(&state).filter(|group| group.primary == disk_of(seen)) {
                let least = group.members.iter().map(|member| leads(&state, member.disk)).min();
                prop_assert!(own <= least.unwrap_or(0) + 1);
            }
        }
    }
}

/// Guards against memberships that stay uneven because the store with the most leads each group that another one could join.
#[test]
fn a_store_gives_up_groups_that_it_leads_to_one_with_fewer_memberships() {
    let mut view = view(&[1, 4], 1);
    let members_by_group = [
        [1, 0, 2],
        [1, 0, 3],
        [0, 1, 4],
        [4, 0, 1],
        [4, 0, 1],
        [0, 2, 3],
        [2, 0, 3],
        [3, 0, 2],
    ]
    .map(Vec::from);
    let mut state = state_with_groups(&view, &members_by_group);
    let before = [1, 2, 3, 4].map(|store| memberships(&state, disk_of(&view.stores[store])));
    assert_eq!(before, [5, 4, 4, 3]);

    run_until_stable(&mut state, &mut view);
    assert_balanced(&state, &view);
}

/// A view with groups of four members over this many stores, with realistic disk ids and incarnations.
fn control_view(group_count: u64, store_count: u64) -> ControlView {
    let member = |at: u64| {
        let disk = DiskId((at % store_count + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut node = store(&format!("storage-{:02}", at % store_count), "north", disk.0);
        node.incarnation.0 = disk.0.rotate_left(17);
        GroupMember { disk, node }
    };
    let group = |at: u64| {
        let members: Vec<GroupMember> = (at..at + 4).map(member).collect();
        Arc::new(BatchGroup {
            epoch: 300,
            primary: members[0].disk,
            members,
            learners: Vec::new(),
        })
    };
    ControlView {
        version: 1_000,
        groups: (0..group_count).map(group).collect(),
        ..Default::default()
    }
}

/// Returns the encoded length of the groups if each group contained its stores in full.
fn encoded_len_without_sharing(view: &ControlView) -> usize {
    let groups: Vec<BatchGroup> = view
        .groups
        .iter()
        .map(|group| group.as_ref().clone())
        .collect();
    minicbor::to_vec(groups).expect("bytes").len()
}

#[test]
fn each_store_is_encoded_once() {
    for (groups, stores, bound) in [(14, 18, 1_700), (64, 18, 2_700), (64, 64, 6_500)] {
        let view = control_view(groups, stores);
        let bytes = encode_view(&view).len();
        println!(
            "{groups} groups, {stores} stores: {bytes} bytes, without sharing {}",
            encoded_len_without_sharing(&view)
        );
        assert!(
            bytes < bound,
            "{groups} groups, {stores} stores: {bytes} bytes"
        );
        let read =
            alderhollow::control_state::view::decode_view(&encode_view(&view)).expect("readable");
        assert_eq!(read, view);
    }
}
