//! Tests of the start scheduler, with simulated time.

use super::*;
use alderhollow_model::backend::{Backend, BackendList, BackendState};
use alderhollow_model::identity::Address;
use alderhollow_model::snapshot::ControlView;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Route of a service with backends. Its name comes after the others.
const BUSY: &str = "r-busy";
/// Route of a service without backends.
const STRANDED: &str = "a-stranded";
/// Route that is split evenly over the two services.
const SPLIT: &str = "a-split";
const TICK_MS: Millis = 15.0;

/// Services of which some have backends. Picks take the route's services in turn.
#[derive(Default)]
struct FakeServices {
    with_backend: BTreeSet<&'static str>,
    picks: Cell<usize>,
}

impl FakeServices {
    fn with(names: &[&'static str]) -> FakeServices {
        FakeServices {
            with_backend: names.iter().copied().collect(),
            picks: Cell::new(0),
        }
    }
}

impl Services for FakeServices {
    fn has_backend(&self, service: &str) -> bool {
        self.with_backend.contains(service)
    }

    fn pick(&self, route: &Route, is_available: &dyn Fn(&str) -> bool) -> Option<String> {
        let mut services: Vec<String> = weighted_services(route).collect();
        services.retain(|service| is_available(service));
        self.picks.set(self.picks.get() + 1);
        let index = self.picks.get().checked_rem(services.len())?;
        Some(services.swap_remove(index))
    }
}

fn snapshot() -> Snapshot {
    let config: Config = serde_json::from_value(serde_json::json!({
        "config-version": 1,
        "routes": [
            {"name": BUSY, "hostname": "h", "path-prefix": "/b/", "route-type": "batch", "service": "one"},
            {"name": STRANDED, "hostname": "h", "path-prefix": "/s/", "route-type": "batch", "service": "two"},
            {"name": SPLIT, "hostname": "h", "path-prefix": "/p/", "route-type": "batch", "traffic-split": [
                {"service": "one", "weight": 1.0}, {"service": "two", "weight": 1.0}
            ]}
        ],
        "services": []
    }))
    .expect("a configuration");
    let backend = |service: &str| Backend {
        id: format!("i-{service}"),
        service: service.to_string(),
        address: Address("10.0.0.1:80".parse().expect("an address")),
        zone: "a".to_string(),
        slots: 64,
        state: BackendState::Ready,
        cold_remaining_ms: 0,
    };
    let list = BackendList {
        epoch: 1,
        sequence: 1,
        backends: vec![backend("one"), backend("two")],
    };
    let control = ControlView {
        config: Some(Arc::new(config)),
        ..ControlView::default()
    };
    Snapshot {
        control: Arc::new(control),
        backends: Arc::new(list),
        ..Snapshot::default()
    }
}

fn scheduler() -> StartScheduler {
    let snapshot = snapshot();
    let mut scheduler = StartScheduler::default();
    scheduler.update(&snapshot, snapshot.control.config.as_deref());
    scheduler
}

fn waiting(routes: &[(&str, usize)]) -> BTreeMap<String, usize> {
    routes
        .iter()
        .map(|(route, items)| (route.to_string(), *items))
        .collect()
}

/// Starts all that may start in one round, the routes in the order of their names.
fn run_round(
    scheduler: &mut StartScheduler,
    now: Millis,
    waiting: &BTreeMap<String, usize>,
    services: &FakeServices,
) -> Vec<RunPermit> {
    scheduler.begin_round(now, LedShare::WHOLE, waiting, services);
    let mut permits = Vec::new();
    for route in waiting.keys() {
        while let Some(admission) = scheduler.admit(route, services) {
            permits.push(scheduler.start(admission));
        }
    }
    permits
}

/// Starts for ten seconds; runs take no time. Returns the number of starts by service.
fn starts_by_service(
    waiting: &BTreeMap<String, usize>,
    services: &FakeServices,
) -> BTreeMap<String, usize> {
    let mut scheduler = scheduler();
    let mut starts = BTreeMap::new();
    for round in 0..666 {
        for permit in run_round(
            &mut scheduler,
            f64::from(round) * TICK_MS,
            waiting,
            services,
        ) {
            *starts.entry(permit.service().to_string()).or_default() += 1;
        }
    }
    starts
}

#[test]
fn items_without_a_backend_take_no_starts_from_other_services() {
    let services = FakeServices::with(&["one"]);
    let alone = starts_by_service(&waiting(&[(BUSY, 90)]), &services);
    let beside = starts_by_service(&waiting(&[(BUSY, 90), (STRANDED, 100_000)]), &services);
    assert!(alone["one"] > 400, "{alone:?}");
    assert_eq!(beside, alone);
}

#[test]
fn items_that_never_end_at_one_service_take_no_running_items_from_another() {
    let services = FakeServices::with(&["one", "two"]);
    let mut scheduler = scheduler();
    let mut held = Vec::new();
    for round in 0..1_000 {
        let now = f64::from(round) * TICK_MS;
        held.extend(run_round(
            &mut scheduler,
            now,
            &waiting(&[(STRANDED, 1_000)]),
            &services,
        ));
    }
    assert_eq!(held.len(), 51, "0.8 of 64 slots");
    let both = waiting(&[(BUSY, 90), (STRANDED, 1_000)]);
    let permits: Vec<RunPermit> = (1_000..1_010)
        .flat_map(|round| run_round(&mut scheduler, f64::from(round) * TICK_MS, &both, &services))
        .collect();
    assert!(permits.len() >= 4, "{} starts in 150 ms", permits.len());
    assert!(permits.iter().all(|permit| permit.service() == "one"));
}

#[test]
fn a_split_route_starts_items_at_the_service_that_has_backends() {
    let services = FakeServices::with(&["one"]);
    let alone = starts_by_service(&waiting(&[(BUSY, 90)]), &services);
    let split = starts_by_service(&waiting(&[(SPLIT, 90)]), &services);
    assert_eq!(split, alone);
}

#[test]
fn a_split_route_keeps_to_its_weights_while_starts_are_limited() {
    let services = FakeServices::with(&["one", "two"]);
    // Items of another route use part of one service's starts.
    let starts = starts_by_service(&waiting(&[(SPLIT, 1_000), (BUSY, 5)]), &services);
    let (one, two) = (starts["one"], starts["two"]);
    assert!(two > 100, "{starts:?}");
    assert!(one.abs_diff(two) <= one / 2, "{starts:?}");
}

#[test]
fn a_service_whose_backends_return_starts_items_again() {
    let mut scheduler = scheduler();
    let items = waiting(&[(STRANDED, 10)]);
    let none = FakeServices::default();
    assert_eq!(
        scheduler.begin_round(0.0, LedShare::WHOLE, &items, &none),
        10
    );
    assert!(!scheduler.has_backend(STRANDED));
    assert_eq!(scheduler.admit(STRANDED, &none), None);
    let back = FakeServices::with(&["two"]);
    assert!(run_round(&mut scheduler, 1_000.0, &items, &back).is_empty());
    let permits = run_round(&mut scheduler, 2_000.0, &items, &back);
    assert_eq!(permits.len(), 2);
    assert!(scheduler.has_backend(STRANDED));
}

#[test]
fn an_unknown_route_starts_nothing() {
    let mut scheduler = scheduler();
    let services = FakeServices::with(&["one", "two"]);
    let items = waiting(&[("gone", 5)]);
    assert_eq!(
        scheduler.begin_round(0.0, LedShare::WHOLE, &items, &services),
        5
    );
    assert_eq!(scheduler.admit("gone", &services), None);
}

/// Guards against a route staying at a service that cannot run its items while another of its services can.
#[test]
fn an_admission_that_is_given_up_goes_to_another_service_in_time() {
    let services = FakeServices::with(&["one", "two"]);
    let mut scheduler = scheduler();
    let items = waiting(&[(SPLIT, 10)]);
    for tick in 0..100 {
        scheduler.begin_round(
            f64::from(tick) * TICK_MS,
            LedShare::WHOLE,
            &items,
            &services,
        );
        let Some(admission) = scheduler.admit(SPLIT, &services) else {
            continue;
        };
        if admission.service == "two" {
            return;
        }
        scheduler.forgo(&admission);
    }
    panic!("all admissions went to one service");
}
