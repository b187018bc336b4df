//! The group policy: each kind of change in isolation, then seeded simulations with an oracle.

mod control;
mod group_simulation;

use alderhollow::control_state::group_policy::{
    gone_stores, next_request, GroupView, StoreView, DEAD_AFTER_MS, FOUNDING_TIMEOUT_MS,
    FOUNDING_WAIT_MS, GONE_AFTER_MS,
};
use alderhollow::control_state::groups::GroupState;
use alderhollow::control_state::request::{Order, Request};
use alderhollow::control_state::store_report::{GroupReport, StoreReport};
use alderhollow::control_state::ControlState;
use alderhollow_model::identity::{DiskId, NodeInfo};
use alderhollow_model::snapshot::{BatchGroup, GroupId};
use control::{command_of, context, store, submit, Outcome};

/// A store that has just polled and belongs to no group.
fn new_store(node: NodeInfo) -> StoreView {
    StoreView {
        node,
        since_last_poll_ms: 0,
        report: StoreReport::default(),
    }
}

/// Stores with the given disks and zones, all of which have just polled.
fn view(stores: &[(u64, &str)]) -> GroupView {
    let view_of = |(disk, zone): &(u64, &str)| new_store(store(&format!("s{disk}"), zone, *disk));
    GroupView {
        primary_for_ms: 10_000,
        tolerate_machines: 1,
        stable_for_ms: 0,
        stores: stores.iter().map(view_of).collect(),
    }
}

/// Commits the policy's requests until there are none; panics after 50.
fn apply_due_changes(state: &mut ControlState, view: &GroupView) {
    for _ in 0..50 {
        let Some(request) = next_request(state, view) else {
            return;
        };
        let command = command_of(state, &request).expect("the policy's request is accepted");
        assert!(state.apply_command(command));
    }
    panic!("the policy does not terminate: {:?}", state.groups());
}

fn stop_polling(view: &mut GroupView, disk: u64) {
    for store in &mut view.stores {
        if store.node.disk == Some(DiskId(disk)) {
            store.since_last_poll_ms = DEAD_AFTER_MS;
        }
    }
}

/// Sets every store's report to that of a healthy store in the current epochs.
fn report_healthy(state: &ControlState, view: &mut GroupView) {
    for (index, state) in state.groups().iter().enumerate() {
        for store in &mut view.stores {
            let disk = store.node.disk.expect("a store has a disk");
            let group_report = store.report.groups.entry(GroupId::at(index)).or_default();
            group_report.epoch = state.group.epoch;
            group_report.active = state.group.primary == disk;
            group_report.synced = state
                .group
                .learners
                .iter()
                .any(|learner| learner.disk == disk);
        }
    }
}

/// Reports and commits for ten rounds.
fn run_until_stable(state: &mut ControlState, view: &mut GroupView) {
    for _ in 0..10 {
        report_healthy(state, view);
        apply_due_changes(state, view);
    }
}

fn founded(view: &mut GroupView) -> ControlState {
    let mut state = ControlState::default();
    run_until_stable(&mut state, view);
    state
}

fn first_group(state: &ControlState) -> &GroupState {
    state.group(GroupId(0)).expect("a group")
}

fn group(state: &ControlState) -> &BatchGroup {
    &first_group(state).group
}

/// A store's report for the first group.
fn report_of_first_group(store: &mut StoreView) -> &mut GroupReport {
    store.report.groups.entry(GroupId(0)).or_default()
}

fn members(state: &ControlState) -> Vec<u64> {
    let mut disks: Vec<u64> = group(state)
        .members
        .iter()
        .map(|member| member.disk.0)
        .collect();
    disks.sort_unstable();
    disks
}

fn learners(state: &ControlState) -> Vec<u64> {
    group(state)
        .learners
        .iter()
        .map(|learner| learner.disk.0)
        .collect()
}

#[test]
fn founding_waits_for_stores_and_spreads_members_over_zones() {
    let mut view = view(&[(1, "a"), (2, "a"), (3, "b"), (4, "c")]);
    let mut state = ControlState::default();
    view.primary_for_ms = FOUNDING_WAIT_MS - 1;
    apply_due_changes(&mut state, &view);
    assert!(state.groups().is_empty());
    view.primary_for_ms = FOUNDING_WAIT_MS;
    apply_due_changes(&mut state, &view);
    assert_eq!(members(&state), [1, 3, 4]);
    assert_eq!(group(&state).epoch, 1);
}

#[test]
fn too_few_stores_found_a_group_only_after_the_timeout() {
    let mut view = view(&[(1, "a")]);
    let mut state = ControlState::default();
    view.primary_for_ms = FOUNDING_WAIT_MS + FOUNDING_TIMEOUT_MS - 1;
    apply_due_changes(&mut state, &view);
    assert!(state.groups().is_empty());
    view.primary_for_ms += 1;
    apply_due_changes(&mut state, &view);
    assert_eq!(members(&state), [1]);
}

#[test]
fn a_dead_primary_is_replaced_by_a_member() {
    let mut view = view(&[(1, "a"), (2, "b"), (3, "c")]);
    let mut state = founded(&mut view);
    let primary = group(&state).primary.0;
    stop_polling(&mut view, primary);
    apply_due_changes(&mut state, &view);
    assert_ne!(group(&state).primary.0, primary);
    assert!(!members(&state).contains(&primary));
    assert_eq!(group(&state).epoch, 2, "in a single change");
}

#[test]
fn a_store_that_shuts_down_is_replaced_at_once() {
    let mut view = view(&[(1, "a"), (2, "b"), (3, "c")]);
    let mut state = founded(&mut view);
    let primary = group(&state).primary;
    for store in &mut view.stores {
        store.report.leaving = store.node.disk == Some(primary);
    }
    apply_due_changes(&mut state, &view);
    assert_ne!(group(&state).primary, primary);
}

#[test]
fn a_new_core_primary_considers_no_store_dead_before_the_timeout() {
    let mut all = view(&[(1, "a"), (2, "b"), (3, "c")]);
    let mut state = founded(&mut all);
    let before = state.clone();
    let mut fresh = view(&[]);
    fresh.primary_for_ms = DEAD_AFTER_MS - 1;
    apply_due_changes(&mut state, &fresh);
    assert_eq!(state, before);
    fresh.primary_for_ms = DEAD_AFTER_MS;
    apply_due_changes(&mut state, &fresh);
    assert_eq!(state, before, "no store is available to take over");
}

#[test]
fn a_dead_member_stays_while_too_few_others_are_alive() {
    let mut view = view(&[(1, "a"), (2, "b")]);
    let mut state = founded(&mut view);
    stop_polling(&mut view, 2);
    run_until_stable(&mut state, &mut view);
    assert_eq!(members(&state), [1, 2]);
}

#[test]
fn a_spare_store_joins_before_the_dead_member_is_removed() {
    let mut view = view(&[(1, "a"), (2, "b")]);
    let mut state = founded(&mut view);
    stop_polling(&mut view, 2);
    view.stores.push(new_store(store("s3", "c", 3)));
    apply_due_changes(&mut state, &view);
    assert_eq!((members(&state), learners(&state)), (vec![1, 2], vec![3]));
    run_until_stable(&mut state, &mut view);
    assert_eq!(members(&state), [1, 3]);
}

/// Sets the primary's report of unresponsive members.
fn report_silent(state: &ControlState, view: &mut GroupView, silent: &[u64]) {
    report_healthy(state, view);
    for store in &mut view.stores {
        if store.node.disk == Some(group(state).primary) {
            report_of_first_group(store).silent = silent.iter().copied().map(DiskId).collect();
        }
    }
}

#[test]
fn an_unresponsive_complete_member_stays_until_enough_others_are_complete() {
    let mut view = view(&[(1, "a"), (2, "b")]);
    let mut state = founded(&mut view);
    view.stores.push(StoreView {
        node: store("s3", "c", 3),
        since_last_poll_ms: 0,
        report: StoreReport::default(),
    });
    apply_due_changes(&mut state, &view);
    report_healthy(&state, &mut view);
    view.stores
        .iter_mut()
        .for_each(|store| report_of_first_group(store).active = false);
    stop_polling(&mut view, 2);
    apply_due_changes(&mut state, &view);
    assert_eq!(
        members(&state),
        [1, 2, 3],
        "disk 3 is promoted but not complete yet"
    );
    for store in &mut view.stores {
        report_of_first_group(store).epoch = group(&state).epoch;
        report_of_first_group(store).synced = store.node.disk == Some(DiskId(3));
    }
    apply_due_changes(&mut state, &view);
    assert_eq!(members(&state), [1, 3]);
}

#[test]
fn a_member_unresponsive_to_its_primary_is_removed_though_it_polls_the_core() {
    let mut view = view(&[(1, "a"), (2, "b"), (3, "c")]);
    let mut state = founded(&mut view);
    let silent = members(&state)
        .into_iter()
        .find(|disk| *disk != group(&state).primary.0)
        .expect("a member");
    report_silent(&state, &mut view, &[silent]);
    apply_due_changes(&mut state, &view);
    assert!(!members(&state).contains(&silent));
    assert_eq!(learners(&state), [silent]);
}

#[test]
fn an_isolated_primary_is_replaced_by_a_member_it_cannot_reach() {
    let mut view = view(&[(1, "a"), (2, "b"), (3, "c")]);
    let mut state = founded(&mut view);
    let primary = group(&state).primary;
    let others: Vec<u64> = members(&state)
        .into_iter()
        .filter(|disk| *disk != primary.0)
        .collect();
    report_silent(&state, &mut view, &others);
    apply_due_changes(&mut state, &view);
    assert_ne!(group(&state).primary, primary);
    assert_eq!(
        members(&state).len(),
        3,
        "members are removed only after the successor's report"
    );
}

#[test]
fn a_group_of_two_retains_its_unresponsive_member() {
    let mut view = view(&[(1, "a"), (2, "b")]);
    let mut state = founded(&mut view);
    let before = state.clone();
    let other = members(&state)
        .into_iter()
        .find(|disk| *disk != group(&state).primary.0)
        .expect("a member");
    report_silent(&state, &mut view, &[other]);
    apply_due_changes(&mut state, &view);
    assert_eq!(state, before);
}

#[test]
fn a_store_with_a_failing_disk_is_neither_primary_nor_waited_for() {
    let mut view = view(&[(1, "a"), (2, "b"), (3, "c")]);
    let mut state = founded(&mut view);
    let primary = group(&state).primary;
    for store in &mut view.stores {
        store.report.disk_failing = store.node.disk == Some(primary);
    }
    apply_due_changes(&mut state, &view);
    assert_ne!(group(&state).primary, primary);
    assert_eq!((members(&state).len(), learners(&state)), (2, Vec::new()));
    view.stores
        .iter_mut()
        .for_each(|store| store.report.disk_failing = false);
    run_until_stable(&mut state, &mut view);
    assert_eq!(
        members(&state),
        [1, 2, 3],
        "it is added again once the disk has recovered"
    );
}

#[test]
fn a_primary_behind_a_member_is_replaced_by_that_member() {
    let mut view = view(&[(1, "a"), (2, "b"), (3, "c")]);
    let mut state = founded(&mut view);
    let primary = group(&state).primary;
    let ahead = members(&state)
        .into_iter()
        .rfind(|disk| *disk != primary.0)
        .expect("a member");
    for store in &mut view.stores {
        if store.node.disk == Some(primary) {
            report_of_first_group(store).behind = Some(DiskId(ahead));
        }
    }
    apply_due_changes(&mut state, &view);
    assert_eq!(group(&state).primary.0, ahead);
}

#[test]
fn a_retirement_completes_though_the_machine_loses_its_disk() {
    let mut view = view(&[(1, "a"), (2, "b"), (3, "c")]);
    let mut state = founded(&mut view);
    assert_eq!(
        submit(
            &mut state,
            &Order::Retire {
                node: "s1".to_string()
            },
            &context()
        ),
        Outcome::Committed
    );
    for seen in &mut view.stores {
        if seen.node.disk == Some(DiskId(1)) {
            seen.node = store("s1", "a", 11);
            seen.report = StoreReport::default();
        }
    }
    run_until_stable(&mut state, &mut view);
    assert_eq!(members(&state), [2, 3]);
    assert_eq!(
        state.retirement("s1").map(|state| state.name()),
        Some("completed")
    );
}

#[test]
fn a_promoted_learner_does_not_become_primary_before_it_is_complete() {
    let mut view = view(&[(1, "a"), (2, "b")]);
    let mut state = founded(&mut view);
    view.stores.push(new_store(store("s0", "c", 0)));
    apply_due_changes(&mut state, &view);
    report_healthy(&state, &mut view);
    for store in &mut view.stores {
        report_of_first_group(store).active = false;
    }
    apply_due_changes(&mut state, &view);
    assert_eq!(
        members(&state),
        [0, 1, 2],
        "promoted, but its epoch is not active yet"
    );
    stop_polling(&mut view, group(&state).primary.0);
    apply_due_changes(&mut state, &view);
    assert_eq!(group(&state).primary.0, 2);
}

#[test]
fn a_member_in_sync_may_become_primary_in_an_epoch_that_is_not_active() {
    let mut view = view(&[(1, "a"), (2, "b")]);
    let mut state = founded(&mut view);
    view.stores.push(new_store(store("s3", "c", 3)));
    apply_due_changes(&mut state, &view);
    let primary = group(&state).primary.0;
    report_healthy(&state, &mut view);
    view.stores
        .iter_mut()
        .for_each(|store| report_of_first_group(store).active = false);
    apply_due_changes(&mut state, &view);
    assert_eq!(members(&state), [1, 2, 3]);
    assert!(!first_group(&state).complete.contains(&DiskId(3)));
    for store in &mut view.stores {
        report_of_first_group(store).epoch = group(&state).epoch;
        report_of_first_group(store).synced = store.node.disk == Some(DiskId(3));
    }
    apply_due_changes(&mut state, &view);
    assert!(!first_group(&state).is_active() && first_group(&state).complete.contains(&DiskId(3)));
    stop_polling(&mut view, 1);
    stop_polling(&mut view, 2);
    apply_due_changes(&mut state, &view);
    assert_ne!(group(&state).primary.0, primary);
    assert_eq!(group(&state).primary.0, 3);
}

#[test]
fn a_new_disk_of_a_machine_replaces_the_old_one() {
    let mut view = view(&[(1, "a"), (2, "b"), (3, "c")]);
    let mut state = founded(&mut view);
    for seen in &mut view.stores {
        if seen.node.disk == Some(DiskId(1)) {
            seen.node = store("s1", "a", 11);
            seen.report = StoreReport::default();
        }
    }
    apply_due_changes(&mut state, &view);
    assert_eq!(
        (members(&state), learners(&state)),
        (vec![2, 3], vec![11]),
        "the old disk is removed"
    );
    run_until_stable(&mut state, &mut view);
    assert_eq!(members(&state), [2, 3, 11]);
}

#[test]
fn a_retiring_store_is_removed_once_its_replacement_is_a_member() {
    let mut view = view(&[(1, "a"), (2, "b"), (3, "c"), (4, "a")]);
    let mut state = founded(&mut view);
    let primary = group(&state).primary.0;
    let order = Order::Retire {
        node: format!("s{primary}"),
    };
    assert_eq!(submit(&mut state, &order, &context()), Outcome::Committed);
    apply_due_changes(&mut state, &view);
    assert_ne!(
        group(&state).primary.0,
        primary,
        "it hands over its role as primary first"
    );
    assert!(members(&state).contains(&primary) && !learners(&state).is_empty());
    run_until_stable(&mut state, &mut view);
    assert!(!members(&state).contains(&primary));
    assert_eq!(members(&state).len(), 3);
    assert_eq!(
        state
            .retirement(&format!("s{primary}"))
            .map(|state| state.name()),
        Some("completed")
    );
}

#[test]
fn a_retiring_store_without_a_replacement_is_removed_if_enough_remain() {
    let mut view = view(&[(1, "a"), (2, "b"), (3, "c")]);
    let mut state = founded(&mut view);
    assert_eq!(
        submit(
            &mut state,
            &Order::Retire {
                node: "s1".to_string()
            },
            &context()
        ),
        Outcome::Committed
    );
    run_until_stable(&mut state, &mut view);
    assert_eq!(members(&state), [2, 3]);
    assert_eq!(
        state.retirement("s1").map(|state| state.name()),
        Some("completed")
    );
}

#[test]
fn a_dead_primary_is_replaced_by_a_retiring_member_if_there_is_no_other() {
    let mut view = view(&[(1, "a"), (2, "b"), (3, "c"), (4, "a")]);
    let mut state = founded(&mut view);
    let primary = group(&state).primary.0;
    for disk in members(&state).into_iter().filter(|disk| *disk != primary) {
        let mut context = context();
        context.tolerate_machines = 0;
        let order = Order::Retire {
            node: format!("s{disk}"),
        };
        assert_eq!(submit(&mut state, &order, &context), Outcome::Committed);
    }
    stop_polling(&mut view, primary);
    apply_due_changes(&mut state, &view);
    assert_ne!(group(&state).primary.0, primary);
    run_until_stable(&mut state, &mut view);
    assert_eq!(
        group(&state).primary.0,
        4,
        "then by the store that is not retiring"
    );
}

#[test]
fn a_store_that_has_not_polled_for_long_is_gone() {
    let mut view = view(&[(1, "a"), (2, "b"), (3, "c")]);
    let state = founded(&mut view);
    view.stores[0].since_last_poll_ms = GONE_AFTER_MS;
    assert!(
        gone_stores(&state, &view).is_empty(),
        "a new core primary has not waited long enough"
    );
    view.primary_for_ms = GONE_AFTER_MS;
    assert_eq!(gone_stores(&state, &view), ["s1".to_string()].into());
}

#[test]
fn a_stable_group_is_not_changed() {
    let mut view = view(&[(1, "a"), (2, "b"), (3, "c"), (4, "a"), (5, "b")]);
    let mut state = founded(&mut view);
    run_until_stable(&mut state, &mut view);
    assert_eq!(next_request(&state, &view), None::<Request>);
    assert_eq!(group(&state).epoch, 1);
    assert!(first_group(&state).is_active());
}

/// Runs the simulation for a range of seeds; a failure names its seed.
fn simulate(seeds: std::ops::Range<u64>, stores: usize, tolerate: usize) {
    for seed in seeds {
        if let Err(fault) = group_simulation::run(seed, stores, tolerate) {
            panic!("seed {seed}, {stores} stores, {tolerate} may be lost: {fault}");
        }
    }
}

#[test]
fn nothing_acknowledged_is_lost_with_three_stores() {
    simulate(0..160, 3, 1);
}

#[test]
fn nothing_acknowledged_is_lost_with_four_and_five_stores() {
    simulate(0..80, 4, 1);
    simulate(0..80, 5, 1);
}

#[test]
fn nothing_acknowledged_is_lost_with_tolerance_for_two() {
    simulate(0..80, 5, 2);
    simulate(0..80, 8, 2);
}

#[test]
fn nothing_acknowledged_is_lost_with_many_stores() {
    simulate(0..80, 9, 1);
    simulate(0..80, 14, 1);
}

#[test]
fn nothing_acknowledged_is_lost_with_many_stores_and_tolerance_for_two() {
    simulate(0..80, 14, 2);
}

/// Seeds for simulations with network partitions.
const SEEDS_WITH_PARTITIONS: std::ops::Range<u64> = 0..40;

#[test]
fn nothing_acknowledged_is_lost_while_the_network_is_partitioned() {
    for (stores, tolerate) in [(3, 1), (4, 1), (5, 2), (8, 2)] {
        for seed in SEEDS_WITH_PARTITIONS {
            if let Err(fault) = group_simulation::run_with_partitions(seed, stores, tolerate) {
                panic!("seed {seed}, {stores} stores, {tolerate} may be lost: {fault}");
            }
        }
    }
}
