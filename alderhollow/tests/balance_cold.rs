//! The total rate of all senders to cold backends, measured over every sliding second.

mod balance_support;

use alderhollow::balance::{Balancer, Choice, Millis, NoBackend, Outcome};
use balance_support::{
    backend, node_name, selection_request, Tables, COLD_BOUNDS, ENGINES, PLAIN, ZONES,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// Start times by backend id.
type Starts = BTreeMap<String, Vec<Millis>>;

const COLD_FOR_MS: u64 = 60_000;
const ROUND_MS: Millis = 50.0;
const SECOND_MS: Millis = 1000.0;
/// Maximum number of senders partitioned from the primary: half of the largest core.
const MAX_PARTITIONED: usize = 4;

/// Maximum number of starts at one backend within one second.
fn max_starts_per_second(starts: &Starts) -> usize {
    let max_of = |times: &Vec<Millis>| {
        let mut sorted = times.clone();
        sorted.sort_by(f64::total_cmp);
        let within = |(first, from): (usize, &Millis)| {
            sorted[first..]
                .iter()
                .take_while(|time| **time <= from + SECOND_MS)
                .count()
        };
        sorted.iter().enumerate().map(within).max().unwrap_or(0)
    };
    starts.values().map(max_of).max().unwrap_or(0)
}

/// Starts as many requests of one sender as it may at one moment.
fn start_all(balancer: &mut Balancer, now: Millis, most: usize, starts: &mut Starts) {
    for _ in 0..most {
        let Ok(choice) = balancer.choose(now, &selection_request(ENGINES, None)) else {
            return;
        };
        starts
            .entry(choice.backend.id.clone())
            .or_default()
            .push(now);
        balancer.response_started(now, choice.attempt);
        balancer.ended(now, choice.attempt, Outcome::Served);
    }
}

fn cold_tables(backends: usize, senders: usize, cold_per_s: f64) -> Tables {
    let mut tables = Tables::new(ENGINES, backends, senders);
    tables.cold_per_s = cold_per_s;
    for backend in &mut tables.backends {
        backend.cold_remaining_ms = COLD_FOR_MS;
    }
    tables
}

/// Runs senders at their maximum rate from `from` to `to`.
fn run(senders: &mut [Balancer], from: Millis, to: Millis, starts: &mut Starts) {
    let mut now = from;
    while now < to {
        for sender in senders.iter_mut() {
            start_all(sender, now, 40, starts);
        }
        now += ROUND_MS;
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    #[test]
    fn senders_with_lists_that_differ_by_one_stay_within_the_limit(
        senders in 1usize..=100,
        backends in 1usize..20,
        cold_per_s in 1.0f64..60.0,
        left_out in prop::collection::vec(any::<prop::sample::Index>(), 100),
    ) {
        let tables = cold_tables(backends, senders, cold_per_s);
        let mut balancers: Vec<Balancer> = (0..senders)
            .map(|index| {
                let mut own_view = tables.clone();
                let missing = left_out[index].index(senders + 1);
                if missing != index && missing < senders {
                    own_view.senders.remove(missing);
                }
                own_view.balancer(&node_name(index), ZONES[index % 3], 0.0)
            })
            .collect();
        let mut starts = Starts::new();
        run(&mut balancers, 0.0, 4000.0, &mut starts);
        prop_assert!(max_starts_per_second(&starts) as f64 <= COLD_BOUNDS.per_second(cold_per_s));
    }

    #[test]
    fn delayed_sender_list_updates_stay_within_the_limit(
        before in 1usize..40,
        after in 1usize..40,
        delays in prop::collection::vec(0u64..1000, 40),
    ) {
        let tables = cold_tables(3, before, 30.0);
        let mut changed = tables.clone();
        changed.senders = (0..after).map(node_name).collect();
        let most = before.max(after);
        let mut balancers: Vec<Balancer> = (0..most)
            .map(|index| tables.balancer(&node_name(index), ZONES[index % 3], 0.0))
            .collect();
        let mut starts = Starts::new();
        let mut now = 0.0;
        while now < 6000.0 {
            for (index, sender) in balancers.iter_mut().enumerate() {
                let told_at = 2500.0 + delays[index] as f64;
                if now >= told_at && now < told_at + ROUND_MS {
                    sender.update(now, &changed.snapshot(now));
                }
                start_all(sender, now, 40, &mut starts);
            }
            now += ROUND_MS;
        }
        prop_assert!(max_starts_per_second(&starts) as f64 <= COLD_BOUNDS.per_second(30.0));
    }

    /// During a partition the primary removes the senders that it cannot reach, which continue to use their current
    /// list.
    #[test]
    fn partitioned_senders_stay_within_the_limit_together_with_the_others(
        senders in 2usize..40,
        backends in 1usize..20,
        cold_per_s in 5.0f64..60.0,
        chosen in prop::collection::vec(any::<prop::sample::Index>(), MAX_PARTITIONED),
    ) {
        let tables = cold_tables(backends, senders, cold_per_s);
        let most = MAX_PARTITIONED.min(senders / 2);
        let cut: BTreeSet<usize> = chosen[..most].iter().map(|index| index.index(senders)).collect();
        let mut without = tables.clone();
        without.senders = (0..senders).filter(|index| !cut.contains(index)).map(node_name).collect();
        let mut balancers: Vec<Balancer> = (0..senders)
            .map(|index| tables.balancer(&node_name(index), ZONES[index % 3], 0.0))
            .collect();
        let mut starts = Starts::new();
        run(&mut balancers, 0.0, 2500.0, &mut starts);
        for (index, sender) in balancers.iter_mut().enumerate() {
            if !cut.contains(&index) {
                sender.update(2500.0, &without.snapshot(2500.0));
            }
        }
        run(&mut balancers, 2500.0, 7000.0, &mut starts);
        prop_assert!(max_starts_per_second(&starts) as f64 <= COLD_BOUNDS.per_second(cold_per_s));
    }
}

#[test]
fn cold_backends_receive_most_of_their_limit() {
    let tables = cold_tables(3, 13, 31.0);
    let mut balancers: Vec<Balancer> = (0..13)
        .map(|index| tables.balancer(&node_name(index), ZONES[index % 3], 0.0))
        .collect();
    let mut starts = Starts::new();
    run(&mut balancers, 2000.0, 12_000.0, &mut starts);
    let total: usize = starts.values().map(Vec::len).sum();
    let per_second = total as f64 / 3.0 / 10.0;
    assert!(per_second >= 0.5 * 31.0, "{per_second} a second at each");
}

#[test]
fn unlisted_senders_send_nothing_to_cold_backends() {
    let tables = cold_tables(1, 5, 31.0);
    let mut unlisted = tables.balancer("stranger", ZONES[0], 0.0);
    let answer = unlisted.choose(5000.0, &selection_request(ENGINES, None));
    assert!(
        matches!(answer, Err(NoBackend::AllFull { .. })),
        "{answer:?}"
    );
}

#[test]
fn a_new_sender_initially_sends_nothing_to_cold_backends() {
    let tables = cold_tables(1, 1, 31.0);
    let mut newcomer = tables.balancer(&node_name(0), ZONES[0], 0.0);
    assert!(newcomer
        .choose(100.0, &selection_request(ENGINES, None))
        .is_err());
    assert!(newcomer
        .choose(3000.0, &selection_request(ENGINES, None))
        .is_ok());
}

#[test]
fn a_newly_listed_backend_counts_as_cold() {
    let mut tables = Tables::new(ENGINES, 1, 10);
    tables.cold_per_s = 10.0;
    let mut balancers: Vec<Balancer> = (0..10)
        .map(|index| tables.balancer(&node_name(index), ZONES[0], 0.0))
        .collect();
    tables.backends = vec![backend(ENGINES, 1)];
    for sender in &mut balancers {
        sender.update(5000.0, &tables.snapshot(5000.0));
    }
    let mut starts = Starts::new();
    run(&mut balancers, 5000.0, 7900.0, &mut starts);
    assert!(max_starts_per_second(&starts) as f64 <= COLD_BOUNDS.per_second(10.0));
    let mut later = Starts::new();
    run(&mut balancers, 8100.0, 8200.0, &mut later);
    assert!(
        max_starts_per_second(&later) as f64 > COLD_BOUNDS.per_second(10.0),
        "the backend is no longer cold"
    );
}

#[test]
fn backends_count_as_cold_after_an_evacuation_ends() {
    let mut tables = Tables::new(ENGINES, 1, 10);
    tables.cold_per_s = 10.0;
    tables.evacuated.insert(ZONES[0].to_string());
    let mut balancers: Vec<Balancer> = (0..10)
        .map(|index| tables.balancer(&node_name(index), ZONES[0], 0.0))
        .collect();
    assert_eq!(
        balancers[0]
            .choose(4000.0, &selection_request(ENGINES, None))
            .err(),
        Some(NoBackend::NoneReady)
    );
    tables.evacuated.clear();
    for sender in &mut balancers {
        sender.update(5000.0, &tables.snapshot(5000.0));
    }
    let mut starts = Starts::new();
    run(&mut balancers, 5000.0, 8000.0, &mut starts);
    assert!(max_starts_per_second(&starts) as f64 <= COLD_BOUNDS.per_second(10.0));
}

#[test]
fn starts_before_a_backend_turned_cold_count_towards_the_limit() {
    let mut tables = Tables::new(ENGINES, 1, 1);
    tables.cold_per_s = 10.0;
    let mut sender = tables.balancer(&node_name(0), ZONES[0], 0.0);
    let mut starts = Starts::new();
    start_all(&mut sender, 3000.0, 20, &mut starts);
    tables.backends[0].cold_remaining_ms = 2000;
    sender.update(3100.0, &tables.snapshot(3100.0));
    assert!(sender
        .choose(3200.0, &selection_request(ENGINES, None))
        .is_err());
    assert!(sender
        .choose(4300.0, &selection_request(ENGINES, None))
        .is_ok());
}

/// Guards against requests for weights that a cold backend does not have taking the starts of others there.
#[test]
fn requests_answered_with_421_take_no_starts_from_others() {
    let tables = cold_tables(1, 1, 10.0);
    let served_at = |sender: &mut Balancer, now: Millis| {
        let mut starts = Starts::new();
        start_all(sender, now, 1_000, &mut starts);
        max_starts_per_second(&starts)
    };
    let mut unused = tables.balancer(&node_name(0), ZONES[0], 0.0);
    let allowed = served_at(&mut unused, 3400.0);
    assert!(allowed > 1);
    for outcome in [Outcome::OtherWeights, Outcome::OtherInstance] {
        let mut sender = tables.balancer(&node_name(0), ZONES[0], 0.0);
        let choose = |_| {
            sender
                .choose(3000.0, &selection_request(ENGINES, None))
                .ok()
        };
        let misdirected: Vec<Choice> = (0..1_000).map_while(choose).collect();
        assert_eq!(misdirected.len(), allowed, "they count until their answers");
        for choice in misdirected {
            sender.ended(3001.0, choice.attempt, outcome);
        }
        assert_eq!(served_at(&mut sender, 3400.0), allowed, "{outcome:?}");
    }
}

#[test]
fn a_choice_of_a_cold_backend_expires() {
    let mut tables = Tables::new(ENGINES, 1, 1);
    tables.cold_per_s = 10.0;
    tables.backends[0].cold_remaining_ms = COLD_FOR_MS;
    let mut sender = tables.balancer(&node_name(0), ZONES[0], 0.0);
    let choice = sender
        .choose(3000.0, &selection_request(ENGINES, None))
        .expect("the limit is not used up");
    assert!(sender.may_begin(3050.0, choice.attempt));
    assert!(!sender.may_begin(3500.0, choice.attempt));
    assert!(sender.may_send(&choice.backend.id));
}

#[test]
fn bursts_spread_across_warm_backends() {
    let mut tables = Tables::new(ENGINES, 9, 3);
    tables.cold_per_s = 31.0;
    let mut sender = tables.balancer(&node_name(0), ZONES[0], 0.0);
    let shared = balance_support::prompt(5, 1);
    let mut starts = Starts::new();
    for _ in 0..90 {
        let choice = sender
            .choose(5000.0, &selection_request(ENGINES, Some(&shared)))
            .expect("a backend has capacity");
        starts
            .entry(choice.backend.id.clone())
            .or_default()
            .push(5000.0);
    }
    assert!(max_starts_per_second(&starts) as f64 <= COLD_BOUNDS.per_second(31.0) / 3.0 + 1.0);
}

#[test]
fn cold_backends_without_a_limit_are_not_limited() {
    let mut tables = Tables::new(PLAIN, 1, 10);
    tables.backends[0].cold_remaining_ms = COLD_FOR_MS;
    let mut unlisted = tables.balancer("stranger", ZONES[0], 0.0);
    assert!(unlisted
        .choose(10.0, &selection_request(PLAIN, None))
        .is_ok());
}
