//! Searches of the model: breadth first over few steps, and random walks over many. With each single rule switched off,
//! a random walk finds a counter-example.

use super::{Action, DisabledRules, Epochs, COMMITTED_STATE_SURVIVES, EPOCH_CAN_BEGIN};
use oorandom::Rand64;
use stateright::{Checker, Model};
use std::ops::Range;

/// The breadth-first search stops after this many states.
const MAX_STATES: usize = 1_000_000;
const THREADS: u64 = 8;
/// Maximum length of a random walk, in actions.
const MAX_STEPS: usize = 80;
/// Maximum number of random walks in the search for a counter-example.
const COUNTER_EXAMPLE_SEEDS: u64 = 400_000;

/// Three founders, some of which are replaced. One disk at a time is lost, at any moment.
fn three_members(disabled_rules: DisabledRules, max_commands: usize) -> Epochs {
    let max_records = if max_commands == 0 { 6 } else { 7 };
    Epochs {
        disabled_rules,
        founders: 3,
        max_records,
        max_commands,
        max_losses: 2,
        tolerated: 1,
        max_joins: 2,
    }
}

/// Five founders. Two disks at a time are lost.
fn five_members(disabled_rules: DisabledRules) -> Epochs {
    Epochs {
        disabled_rules,
        founders: 5,
        max_records: 7,
        max_commands: 1,
        max_losses: 3,
        tolerated: 2,
        max_joins: 3,
    }
}

fn weight(action: &Action) -> u64 {
    match action {
        Action::StartElection(_) | Action::Reconfigure(_) | Action::LoseDisk(_) => 1,
        Action::Promise { .. } | Action::Install { .. } => 6,
        Action::Accept { .. } => 4,
        Action::Choose { .. }
        | Action::Activate { .. }
        | Action::Write { .. }
        | Action::Commit { .. } => 3,
    }
}

/// The violated property and the actions that lead to the violation.
type CounterExample = (&'static str, Vec<Action>);

/// Random walks, one for each seed, until one violates a property.
fn walk(model: &Epochs, seeds: Range<u64>, length: usize) -> Option<CounterExample> {
    seeds
        .into_iter()
        .find_map(|seed| walk_once(model, seed, length))
}

fn walk_once(model: &Epochs, seed: u64, length: usize) -> Option<CounterExample> {
    let properties = model.properties();
    let mut rng = Rand64::new(seed.into());
    let mut state = model.init_states().remove(0);
    let mut path = Vec::new();
    for _ in 0..length {
        let mut actions = Vec::new();
        model.actions(&state, &mut actions);
        let action = draw(&mut rng, actions)?;
        let Some(next) = model.next_state(&state, action.clone()) else {
            continue;
        };
        state = next;
        path.push(action);
        if let Some(broken) = properties
            .iter()
            .find(|property| !(property.condition)(model, &state))
        {
            return Some((broken.name, path));
        }
    }
    None
}

/// A random action; actions that advance an epoch have a higher weight.
fn draw(rng: &mut Rand64, actions: Vec<Action>) -> Option<Action> {
    let total: u64 = actions.iter().map(weight).sum();
    let mut drawn = if total == 0 {
        return None;
    } else {
        rng.rand_range(0..total)
    };
    actions.into_iter().find(|action| {
        let weight = weight(action);
        let is_drawn = drawn < weight;
        drawn = drawn.saturating_sub(weight);
        is_drawn
    })
}

/// Distributes random walks over threads; returns the shortest counter-example found.
fn walk_in_parallel(model: &Epochs, seeds: u64, length: usize) -> Option<CounterExample> {
    let seeds_per_thread = seeds.div_ceil(THREADS);
    std::thread::scope(|scope| {
        let begin = |number| {
            scope.spawn(move || {
                walk(
                    model,
                    number * seeds_per_thread..(number + 1) * seeds_per_thread,
                    length,
                )
            })
        };
        let threads: Vec<_> = (0..THREADS).map(begin).collect();
        threads
            .into_iter()
            .filter_map(|thread| thread.join().expect("no panic in a random walk"))
            .min_by_key(|found| found.1.len())
    })
}

fn check(model: Epochs) -> impl Checker<Epochs> {
    let threads = usize::try_from(THREADS).expect("few threads");
    model
        .checker()
        .threads(threads)
        .target_state_count(MAX_STATES)
        .spawn_bfs()
        .join()
}

#[test]
fn exhaustive_search_finds_no_lost_commit_and_no_state_without_a_next_epoch() {
    let checker = check(three_members(DisabledRules::default(), 1));
    println!(
        "{} states, {} steps deep",
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
}

#[test]
fn random_walks_find_no_lost_commit_and_no_state_without_a_next_epoch() {
    let all = DisabledRules::default();
    for model in [
        three_members(all, 0),
        three_members(all, 1),
        five_members(all),
    ] {
        assert_eq!(walk_in_parallel(&model, 60_000, MAX_STEPS), None);
    }
}

/// The counter-example that the model has with these rules switched off.
fn counter_example_without(disabled_rules: DisabledRules) -> CounterExample {
    let found = [0, 1].into_iter().find_map(|commands| {
        walk_in_parallel(
            &three_members(disabled_rules, commands),
            COUNTER_EXAMPLE_SEEDS,
            MAX_STEPS,
        )
    });
    let found = found.expect("a counter-example: the rule is necessary");
    println!(
        "{disabled_rules:?}: {} after {} steps: {:?}",
        found.0,
        found.1.len(),
        found.1
    );
    found
}

#[test]
fn a_membership_change_on_an_inactive_record_loses_commits() {
    let found = counter_example_without(DisabledRules {
        active_record: true,
        ..DisabledRules::default()
    });
    assert_eq!(found.0, COMMITTED_STATE_SURVIVES);
}

#[test]
fn a_membership_change_without_a_joint_record_loses_commits() {
    let found = counter_example_without(DisabledRules {
        joint_record: true,
        ..DisabledRules::default()
    });
    assert_eq!(found.0, COMMITTED_STATE_SURVIVES);
}

#[test]
fn without_sending_records_to_new_members_first_no_epoch_can_start() {
    let found = counter_example_without(DisabledRules {
        new_members_first: true,
        ..DisabledRules::default()
    });
    assert_eq!(found.0, EPOCH_CAN_BEGIN);
}

#[test]
fn without_lineage_in_records_no_epoch_can_start() {
    let found = counter_example_without(DisabledRules {
        lineage: true,
        ..DisabledRules::default()
    });
    assert_eq!(found.0, EPOCH_CAN_BEGIN);
}
