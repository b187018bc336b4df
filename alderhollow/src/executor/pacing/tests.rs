//! Tests of the limits on starting items.

use super::*;
use alderhollow_model::backend::{Backend, BackendList};
use alderhollow_model::config::Config;
use alderhollow_model::identity::Address;
use alderhollow_model::snapshot::ControlView;
use std::sync::Arc;

fn tables(backends: usize, evacuated: &str) -> Snapshot {
    let config: Config = serde_json::from_value(serde_json::json!({
        "config-version": 1,
        "routes": [
            {"name": "b", "hostname": "h", "path-prefix": "/b/", "route-type": "batch", "service": "s"},
            {"name": "o", "hostname": "h", "path-prefix": "/o/", "route-type": "streaming", "service": "other"}
        ],
        "services": []
    }))
    .expect("a configuration");
    let backend = |index: usize| Backend {
        id: format!("i-{index}"),
        service: if index % 4 == 3 {
            "other".to_string()
        } else {
            "s".to_string()
        },
        address: Address("10.0.0.1:80".parse().expect("an address")),
        zone: if index.is_multiple_of(2) {
            "even".to_string()
        } else {
            "odd".to_string()
        },
        slots: 64,
        state: BackendState::Ready,
        cold_remaining_ms: 0,
    };
    let list = BackendList {
        epoch: 1,
        sequence: 1,
        backends: (0..backends).map(backend).collect(),
    };
    let control = ControlView {
        config: Some(Arc::new(config)),
        evacuated: [evacuated.to_string()].into(),
        ..ControlView::default()
    };
    Snapshot {
        control: Arc::new(control),
        backends: Arc::new(list),
        ..Snapshot::default()
    }
}

#[test]
fn only_slots_of_available_backends_count() {
    let slots = |snapshot| Vec::from_iter(slots_of_batch_services(&snapshot));
    let of_s = |slots: u64| vec![("s".to_string(), slots)];
    assert_eq!(slots(tables(4, "")), of_s(3 * 64));
    assert_eq!(slots(tables(4, "even")), of_s(64));
    assert_eq!(slots(tables(0, "")), of_s(0));
    assert_eq!(slots(Snapshot::default()), []);
}

/// The pacer of the batch route's service with these tables.
fn pacer_of(snapshot: &Snapshot) -> Pacer {
    Pacer::new(slots_of_batch_services(snapshot).values().sum())
}

#[test]
fn starts_are_gradual_and_limited() {
    let mut pacer = pacer_of(&tables(4, ""));
    let mut running = 0;
    let mut max_at_once = 0;
    for tick in 0..2_000 {
        let room = pacer.startable_items(f64::from(tick) * 10.0, 1_000, running);
        pacer.record_starts(room);
        running += room;
        max_at_once = max_at_once.max(room);
        assert!(running <= 153, "more than 0.8 of 192 slots");
    }
    assert_eq!(running, 153);
    assert!(max_at_once <= 7, "{max_at_once} at once");
}

#[test]
fn without_tables_the_minimum_may_run() {
    let mut pacer = pacer_of(&Snapshot::default());
    let mut running = 0;
    for tick in 0..10_000 {
        let room = pacer.startable_items(f64::from(tick) * 10.0, 1_000, running);
        pacer.record_starts(room);
        running += room;
    }
    assert_eq!(running, MIN_RUNNING);
}

#[test]
fn starts_are_spread_over_the_start_period() {
    let mut pacer = pacer_of(&tables(4, ""));
    let (mut waiting, mut max_at_once, mut ticks) = (60, 0, 0);
    while waiting > 0 {
        ticks += 1;
        let room = pacer
            .startable_items(f64::from(ticks) * 10.0, waiting, 0)
            .min(waiting);
        pacer.record_starts(room);
        waiting -= room;
        max_at_once = max_at_once.max(room);
    }
    assert!((300..400).contains(&ticks), "{ticks} ticks of 10 ms");
    assert!(max_at_once <= 3, "{max_at_once} at once");
}

/// Number of running items and largest burst of starts of a process with this share of the groups.
fn run_all(share: LedShare) -> (usize, usize) {
    let mut pacer = pacer_of(&tables(4, ""));
    pacer.set_share(share);
    let (mut running, mut max_at_once) = (0, 0);
    for tick in 0..4_000 {
        let room = pacer.startable_items(f64::from(tick) * 10.0, 1_000, running);
        pacer.record_starts(room);
        running += room;
        max_at_once = max_at_once.max(room);
    }
    (running, max_at_once)
}

#[test]
fn a_process_runs_its_share_of_the_items() {
    assert_eq!(run_all(LedShare::WHOLE).0, 153);
    assert_eq!(run_all(LedShare { led: 3, all: 3 }).0, 153);
    let (running, max_at_once) = run_all(LedShare { led: 1, all: 3 });
    assert_eq!(running, 51);
    assert!(max_at_once <= 2, "{max_at_once} at once");
    assert_eq!(run_all(LedShare { led: 2, all: 3 }).0, 102);
    assert_eq!(run_all(LedShare { led: 1, all: 1_000 }).0, MIN_RUNNING);
    assert_eq!(run_all(LedShare { led: 0, all: 3 }).0, MIN_RUNNING);
}

#[test]
fn the_shares_of_all_processes_do_not_exceed_the_total() {
    for all in 1..=30 {
        let total: usize = (0..all).map(|_| run_all(LedShare { led: 1, all }).0).sum();
        assert!(total <= 153, "{all} groups run {total}");
    }
}

#[test]
fn starts_per_second_are_proportional_to_the_share() {
    let starts_in_4_s = |share: LedShare| {
        let mut pacer = pacer_of(&tables(4, ""));
        pacer.set_share(share);
        let mut starts = 0;
        for tick in 0..=400 {
            let room = pacer.startable_items(f64::from(tick) * 10.0, 1_000, 0);
            pacer.record_starts(room);
            starts += room;
        }
        starts
    };
    assert!((600..=612).contains(&starts_in_4_s(LedShare::WHOLE)));
    assert!((200..=204).contains(&starts_in_4_s(LedShare { led: 1, all: 3 })));
}

#[test]
fn a_changed_share_applies_immediately() {
    let mut pacer = pacer_of(&tables(4, ""));
    pacer.set_share(LedShare { led: 1, all: 3 });
    pacer.startable_items(0.0, 1_000, 0);
    assert_eq!(pacer.startable_items(1_000.0, 1_000, 51), 0);
    pacer.set_share(LedShare { led: 2, all: 3 });
    assert!(pacer.startable_items(2_000.0, 1_000, 51) > 0);
    pacer.set_slots(slots_of_batch_services(&tables(4, "even"))["s"]);
    assert_eq!(
        pacer.startable_items(3_000.0, 1_000, 34),
        0,
        "two thirds of 0.8 of 64 slots"
    );
}
