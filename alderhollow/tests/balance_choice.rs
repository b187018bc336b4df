//! Backend selection: constraints are always respected, requests prefer backends with a cached prefix, and load is
//! bounded.

mod balance_support;

use alderhollow::balance::{
    Balancer, InstanceChange, NoBackend, Outcome, Prompt, SelectionRequest,
};
use alderhollow_model::backend::BackendState;
use balance_support::{
    backend, node_name, prompt, selection_request, Tables, ENGINES, PLAIN, ZONES,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// Shortest backoff of a backend at whose address another instance answered.
const MIN_EXCLUSION_MS: f64 = 255.0;

/// An operation of the property test.
#[derive(Debug, Clone)]
enum Step {
    List(Vec<(usize, bool)>),
    Evacuate(BTreeSet<usize>),
    Request(u64),
    End(usize, Outcome),
    Wait(u64),
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        Just(Outcome::Served),
        Just(Outcome::Failed),
        Just(Outcome::Declined),
        Just(Outcome::OtherInstance),
        Just(Outcome::OtherWeights),
        Just(Outcome::NoConnection),
        Just(Outcome::Broken),
        Just(Outcome::TimedOut),
        Just(Outcome::DeadlineExceeded),
        Just(Outcome::Cancelled),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => prop::collection::vec((0usize..12, any::<bool>()), 0..12).prop_map(Step::List),
        1 => prop::collection::btree_set(0usize..3, 0..3).prop_map(Step::Evacuate),
        8 => (0u64..6).prop_map(Step::Request),
        6 => (0usize..50, outcome()).prop_map(|(index, outcome)| Step::End(index, outcome)),
        3 => (0u64..2000).prop_map(Step::Wait),
    ]
}

proptest! {
    #[test]
    fn requests_never_go_to_excluded_backends(steps in prop::collection::vec(step(), 1..120)) {
        let mut tables = Tables::new(ENGINES, 6, 4);
        let mut balancer = tables.balancer(&node_name(0), ZONES[0], 0.0);
        let mut now = 0.0;
        let mut attempts = Vec::new();
        let mut excluded_until: BTreeMap<String, f64> = BTreeMap::new();
        for step in steps {
            match step {
                Step::List(listed) => {
                    let states: BTreeMap<usize, bool> = listed.into_iter().collect();
                    tables.backends = states.into_iter().map(|(index, draining)| {
                        let mut listed = backend(ENGINES, index);
                        listed.state = if draining { BackendState::Draining } else { BackendState::Ready };
                        listed
                    }).collect();
                    balancer.update(now, &tables.snapshot(now));
                    excluded_until.retain(|id, _| tables.backends.iter().any(|listed| listed.id == *id));
                }
                Step::Evacuate(zones) => {
                    tables.evacuated = zones.into_iter().map(|zone| ZONES[zone].to_string()).collect();
                    balancer.update(now, &tables.snapshot(now));
                }
                Step::Request(shared) => {
                    let prompt = prompt(shared, 1);
                    let allowed: BTreeSet<&str> = tables.backends.iter()
                        .filter(|listed| listed.state == BackendState::Ready)
                        .filter(|listed| !tables.evacuated.contains(&listed.zone))
                        .map(|listed| listed.id.as_str())
                        .collect();
                    match balancer.choose(now, &selection_request(ENGINES, Some(&prompt))) {
                        Ok(choice) => {
                            prop_assert!(allowed.contains(choice.backend.id.as_str()));
                            prop_assert!(balancer.may_send(&choice.backend.id));
                            let until = excluded_until.get(&choice.backend.id);
                            prop_assert!(until.is_none_or(|until| *until <= now), "another instance was asked again");
                            attempts.push(choice);
                        }
                        Err(NoBackend::NoneReady) => prop_assert!(allowed.is_empty()),
                        Err(NoBackend::AllFull { retry_after_ms }) => {
                            prop_assert!(!allowed.is_empty());
                            prop_assert!(retry_after_ms > 0.0 && retry_after_ms <= 1000.0);
                        }
                        Err(NoBackend::OtherWeights { .. }) => prop_assert!(false, "no version was expected"),
                    }
                }
                Step::End(index, outcome) if !attempts.is_empty() => {
                    let choice = attempts.remove(index % attempts.len());
                    balancer.ended(now, choice.attempt, outcome);
                    for change in balancer.take_instance_changes() {
                        match change {
                            InstanceChange::Excluded(backend) => excluded_until.insert(backend.id.clone(), now + MIN_EXCLUSION_MS),
                            InstanceChange::Returned(backend) => excluded_until.remove(&backend.id),
                        };
                    }
                }
                Step::End(..) => {}
                Step::Wait(pause) => now += pause as f64,
            }
        }
    }
}

/// The backend that an idle balancer selects for a prompt.
fn chosen(balancer: &mut Balancer, now: f64, shared: u64) -> String {
    let prompt = prompt(shared, 1);
    let choice = balancer
        .choose(now, &selection_request(ENGINES, Some(&prompt)))
        .expect("there is a backend");
    balancer.response_started(now + 40.0, choice.attempt);
    balancer.ended(now + 50.0, choice.attempt, Outcome::Served);
    choice.backend.id.clone()
}

#[test]
fn gateways_in_a_zone_select_the_same_local_backend_for_a_prefix() {
    let tables = Tables::new(ENGINES, 9, 4);
    let mut first = tables.balancer(&node_name(0), ZONES[1], 0.0);
    let mut second = tables.balancer(&node_name(1), ZONES[1], 0.0);
    let mut used = BTreeSet::new();
    for shared in 0..100 {
        let now = shared as f64 * 100.0;
        let (by_first, by_second) = (
            chosen(&mut first, now, shared),
            chosen(&mut second, now, shared),
        );
        assert_eq!(by_first, by_second);
        used.insert(by_first);
    }
    let own_zone = |id: &String| {
        tables
            .backends
            .iter()
            .any(|b| b.id == *id && b.zone == ZONES[1])
    };
    assert!(used.iter().all(own_zone));
    assert_eq!(used.len(), 3);
}

#[test]
fn removing_a_backend_moves_only_its_prefixes() {
    let mut tables = Tables::new(ENGINES, 9, 4);
    let mut balancer = tables.balancer(&node_name(0), ZONES[1], 0.0);
    let before: Vec<String> = (0..100)
        .map(|shared| chosen(&mut balancer, shared as f64 * 100.0, shared))
        .collect();
    let gone = tables.backends.remove(4).id;
    balancer.update(20_000.0, &tables.snapshot(20_000.0));
    for (shared, old) in before.iter().enumerate() {
        let new = chosen(
            &mut balancer,
            20_000.0 + shared as f64 * 100.0,
            shared as u64,
        );
        assert!(
            new != gone && (old == &gone || &new == old),
            "{old} became {new}"
        );
    }
}

#[test]
fn requests_go_to_other_zones_without_a_local_backend() {
    let mut tables = Tables::new(ENGINES, 9, 4);
    tables.evacuated.insert(ZONES[0].to_string());
    let mut first = tables.balancer(&node_name(0), ZONES[0], 0.0);
    let mut second = tables.balancer(&node_name(1), ZONES[0], 0.0);
    for shared in 0..20 {
        let now = shared as f64 * 100.0;
        assert_eq!(
            chosen(&mut first, now, shared),
            chosen(&mut second, now, shared)
        );
    }
}

/// Number of attempts at each backend after `requests` requests, none of which ends.
fn attempts_by_backend(
    balancer: &mut Balancer,
    requests: u64,
    prefixes: u64,
) -> BTreeMap<String, usize> {
    let mut attempts = BTreeMap::new();
    for request in 0..requests {
        let prompt = prompt(request % prefixes, request);
        let choice = balancer
            .choose(0.0, &selection_request(ENGINES, Some(&prompt)))
            .expect("a backend has capacity");
        *attempts.entry(choice.backend.id.clone()).or_insert(0) += 1;
    }
    attempts
}

#[test]
fn many_prefixes_spread_over_the_own_zone_with_bounded_load() {
    let tables = Tables::new(ENGINES, 9, 4);
    let mut balancer = tables.balancer(&node_name(0), ZONES[0], 0.0);
    let mut attempts: BTreeMap<String, usize> = BTreeMap::new();
    let mut ends: Vec<(f64, u64)> = Vec::new();
    for request in 0..1000u64 {
        let now = request as f64 * 20.0;
        ends.retain(|(at, attempt)| {
            if *at <= now {
                balancer.ended(*at, *attempt, Outcome::Served);
            }
            *at > now
        });
        let prompt = prompt(request * 7 % 60, request);
        let choice = balancer
            .choose(now, &selection_request(ENGINES, Some(&prompt)))
            .expect("a backend has capacity");
        balancer.response_started(now, choice.attempt);
        ends.push((now + 500.0, choice.attempt));
        *attempts.entry(choice.backend.id.clone()).or_insert(0) += 1;
    }
    let is_own = |id: &str| {
        tables
            .backends
            .iter()
            .any(|listed| listed.id == id && listed.zone == ZONES[0])
    };
    assert!(attempts.keys().all(|id| is_own(id)), "{attempts:?}");
    let most = attempts.values().max().copied().unwrap_or(0);
    assert!(most as f64 <= 1.5 * 1000.0 / 3.0, "{attempts:?}");
}

#[test]
fn a_burst_of_many_prefixes_spills_over_to_other_zones() {
    let tables = Tables::new(ENGINES, 9, 4);
    let mut balancer = tables.balancer(&node_name(0), ZONES[0], 0.0);
    let attempts = attempts_by_backend(&mut balancer, 180, 60);
    assert_eq!(attempts.len(), 9, "{attempts:?}");
    assert!(attempts.values().all(|count| *count <= 64), "{attempts:?}");
}

#[test]
fn a_single_prefix_spills_over_when_its_backend_is_overloaded() {
    let tables = Tables::new(ENGINES, 9, 4);
    let mut balancer = tables.balancer(&node_name(0), ZONES[0], 0.0);
    assert_eq!(
        attempts_by_backend(&mut balancer, 3, 1).len(),
        1,
        "a few requests stay together"
    );
    let attempts = attempts_by_backend(&mut balancer, 180, 1);
    let most = attempts.values().max().copied().unwrap_or(0);
    assert!(attempts.len() == 9 && most <= 60, "{attempts:?}");
}

#[test]
fn engines_are_not_loaded_beyond_slots_and_memory() {
    let tables = Tables::new(ENGINES, 1, 1);
    let mut balancer = tables.balancer(&node_name(0), ZONES[0], 0.0);
    let large = alderhollow::balance::Prompt {
        parts: vec![(1, 100_000)],
        tokens_in: 100_000,
        tokens_out: 10_000,
    };
    let taken = (0..20)
        .filter(|_| {
            balancer
                .choose(0.0, &selection_request(ENGINES, Some(&large)))
                .is_ok()
        })
        .count();
    assert_eq!(taken, 5, "of 110,000 tokens each in 600,000");
}

#[test]
fn plain_requests_spill_over_as_the_own_zone_fills() {
    let tables = Tables::new(PLAIN, 3, 1);
    let mut balancer = tables.balancer(&node_name(0), ZONES[2], 0.0);
    let mut zones = Vec::new();
    while let Ok(choice) = balancer.choose(0.0, &selection_request(PLAIN, None)) {
        zones.push(choice.backend.zone.clone());
    }
    assert_eq!(zones[0], ZONES[2]);
    assert_eq!(zones.len(), 18, "each backend has six slots");
    assert!(zones[..9].iter().any(|zone| zone != ZONES[2]), "{zones:?}");
}

#[test]
fn a_retry_hint_is_returned_after_all_backends_rejected_requests() {
    let tables = Tables::new(PLAIN, 3, 4);
    let mut balancer = tables.balancer(&node_name(0), ZONES[0], 0.0);
    for _ in 0..3 {
        let choice = balancer
            .choose(10.0, &selection_request(PLAIN, None))
            .expect("some backend has not rejected a request");
        balancer.ended(10.0, choice.attempt, Outcome::Declined);
    }
    let answer = balancer.choose(11.0, &selection_request(PLAIN, None)).err();
    let Some(NoBackend::AllFull { retry_after_ms }) = answer else {
        panic!("{answer:?}")
    };
    assert!(balancer
        .choose(11.0 + retry_after_ms, &selection_request(PLAIN, None))
        .is_ok());
}

#[test]
fn low_priority_requests_are_rejected_first() {
    let tables = Tables::new(ENGINES, 1, 1);
    let mut balancer = tables.balancer(&node_name(0), ZONES[0], 0.0);
    let low = SelectionRequest {
        priority: 2,
        ..selection_request(ENGINES, None)
    };
    let low_taken = (0..100)
        .filter(|_| balancer.choose(0.0, &low).is_ok())
        .count();
    let high_taken = (0..100)
        .filter(|_| {
            balancer
                .choose(0.0, &selection_request(ENGINES, None))
                .is_ok()
        })
        .count();
    assert_eq!((low_taken, low_taken + high_taken), (54, 64));
}

#[test]
fn tried_backends_are_excluded() {
    let tables = Tables::new(PLAIN, 3, 1);
    let mut balancer = tables.balancer(&node_name(0), ZONES[0], 0.0);
    let mut tried = Vec::new();
    for _ in 0..3 {
        let selection_request = SelectionRequest {
            tried: &tried,
            ..selection_request(PLAIN, None)
        };
        let choice = balancer
            .choose(0.0, &selection_request)
            .expect("an untried backend remains");
        assert!(!tried.contains(&choice.backend.id));
        tried.push(choice.backend.id.clone());
    }
    let none = SelectionRequest {
        tried: &tried,
        ..selection_request(PLAIN, None)
    };
    assert_eq!(
        balancer.choose(0.0, &none).err(),
        Some(NoBackend::NoneReady)
    );
}

/// Guards against a request that no backend can hold making idle backends count as full for all others.
#[test]
fn a_decline_of_a_request_larger_than_memory_leaves_the_backend_open_for_others() {
    let tables = Tables::new(ENGINES, 1, 1);
    let mut balancer = tables.balancer(&node_name(0), ZONES[0], 0.0);
    let too_large = Prompt {
        tokens_in: 600_001,
        ..Prompt::default()
    };
    let small = Prompt {
        tokens_in: 1_000,
        ..Prompt::default()
    };
    let choice = balancer
        .choose(0.0, &selection_request(ENGINES, Some(&too_large)))
        .expect("an idle backend is tried");
    balancer.ended(1.0, choice.attempt, Outcome::Declined);
    let choice = balancer
        .choose(2.0, &selection_request(ENGINES, Some(&small)))
        .expect("the backend is not full");
    balancer.ended(3.0, choice.attempt, Outcome::Declined);
    let answer = balancer.choose(4.0, &selection_request(ENGINES, Some(&small)));
    assert!(matches!(answer, Err(NoBackend::AllFull { .. })));
}
