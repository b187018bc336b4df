//! What a 421 says about a backend: requests that expect a version of the weights, and other instances at an address.

mod balance_support;

use alderhollow::balance::{
    Balancer, Choice, ExpectedWeights, InstanceChange, Millis, NoBackend, Outcome, ReportRequest,
    SelectionRequest, WeightsAvailability, WeightsSource, WeightsVersion,
};
use balance_support::{node_name, selection_request, Tables, ENGINES, ZONES};
use std::collections::{BTreeMap, BTreeSet};

const MODEL: u64 = 7;
const BACKENDS: usize = 9;

fn expected(version: u64) -> ExpectedWeights {
    ExpectedWeights {
        model: MODEL,
        version: WeightsVersion::Number(version),
    }
}

/// A request that expects a version.
fn for_version(version: u64) -> SelectionRequest<'static> {
    SelectionRequest {
        expected_weights: Some(expected(version)),
        sender: None,
        ..selection_request(ENGINES, None)
    }
}

/// A balancer over backends of one service, and the versions of their weights.
struct Fleet {
    tables: Tables,
    balancer: Balancer,
    weights: BTreeMap<String, u64>,
    now: Millis,
}

impl Fleet {
    fn new(version: u64) -> Fleet {
        let tables = Tables::new(ENGINES, BACKENDS, 4);
        let balancer = tables.balancer(&node_name(0), ZONES[0], 0.0);
        let ids = tables.backends.iter().map(|backend| backend.id.clone());
        let weights = ids.map(|id| (id, version)).collect();
        Fleet {
            tables,
            balancer,
            weights,
            now: 0.0,
        }
    }

    fn set_weights(&mut self, version: u64, count: usize) {
        for weights in self.weights.values_mut().take(count) {
            *weights = version;
        }
    }

    /// Sends a request. Returns the backend that was asked, and whether it ran the request.
    fn send(&mut self, request: &SelectionRequest) -> Result<(String, bool), NoBackend> {
        let choice = self.balancer.choose(self.now, request)?;
        let id = choice.backend.id.clone();
        let version = WeightsVersion::Number(self.weights[&id]);
        let ran = request
            .expected_weights
            .is_none_or(|expected| expected.version == version);
        if ran {
            let (now, source) = (self.now, WeightsSource::Response);
            self.balancer.show_weights(now, &id, MODEL, version, source);
            self.end(&choice, Outcome::Served);
        } else {
            let expected = request.expected_weights.expect("a version is expected");
            self.balancer
                .refuse_weights(self.now, &id, expected, Some(version));
            self.end(&choice, Outcome::OtherWeights);
        }
        Ok((id, ran))
    }

    fn end(&mut self, choice: &Choice, outcome: Outcome) {
        self.balancer.ended(self.now, choice.attempt, outcome);
    }

    /// Lets another instance answer at each address. Returns how many requests were sent.
    fn exclude_all_instances(&mut self) -> usize {
        let request = selection_request(ENGINES, None);
        let mut asked = 0;
        while let Ok(choice) = self.balancer.choose(self.now, &request) {
            self.end(&choice, Outcome::OtherInstance);
            asked += 1;
        }
        asked
    }

    /// Requests until no backend may be tried. Returns how many were declined.
    fn declined(&mut self, request: &SelectionRequest) -> usize {
        (0..)
            .take_while(|_| self.send(request).is_ok_and(|(_, ran)| !ran))
            .count()
    }
}

/// Guards against one request that expects a version taking all backends from those that expect none.
#[test]
fn other_weights_exclude_a_backend_from_requests_for_that_version_only() {
    let mut fleet = Fleet::new(1);
    assert_eq!(fleet.declined(&for_version(2)), BACKENDS);
    assert!(matches!(
        fleet.send(&for_version(2)),
        Err(NoBackend::OtherWeights { retry_after_ms }) if retry_after_ms > 0.0 && retry_after_ms <= 1000.0
    ));
    assert_eq!(fleet.balancer.take_instance_changes(), []);
    assert!(fleet.balancer.unhealthy(fleet.now, ENGINES).is_empty());
    for request in [selection_request(ENGINES, None), for_version(1)] {
        let mut used = BTreeSet::new();
        for _ in 0..200 {
            let (id, ran) = fleet.send(&request).expect("a backend");
            assert!(ran);
            used.insert(id);
        }
        assert!(used.len() > 1, "{used:?}");
    }
}

#[test]
fn requests_go_to_the_half_of_the_backends_that_has_the_version_and_follow_a_rollback() {
    let mut fleet = Fleet::new(1);
    fleet.set_weights(2, BACKENDS / 2);
    let declined = (0..200)
        .filter(|_| !fleet.send(&for_version(2)).expect("a backend").1)
        .count();
    assert!(declined <= BACKENDS, "{declined} declined");
    fleet.set_weights(1, BACKENDS);
    fleet.declined(&for_version(2));
    for _ in 0..200 {
        fleet.now += 10.0;
        assert!(fleet.send(&for_version(1)).expect("a backend").1);
    }
}

/// Guards against weights that never come being asked for again and again, at backends without reports.
#[test]
fn a_version_that_never_comes_is_tried_with_backoff() {
    let mut fleet = Fleet::new(1);
    let mut declined = 0;
    while fleet.now < 60_000.0 {
        declined += fleet.declined(&for_version(2));
        fleet.now += 10.0;
    }
    // Five doublings to 5 s, then one every 4.25 s or more.
    assert!(declined <= BACKENDS * 20, "{declined} in a minute");
}

#[test]
fn one_request_at_a_time_tries_a_backend_that_had_another_version() {
    let mut fleet = Fleet::new(1);
    fleet.declined(&for_version(2));
    fleet.now += 400.0;
    let trials = (0..100)
        .take_while(|_| fleet.balancer.choose(fleet.now, &for_version(2)).is_ok())
        .count();
    assert_eq!(trials, BACKENDS);
}

/// Guards against a version being found late: a report shows it without an attempt of a request.
#[test]
fn reports_are_requested_in_turn_while_a_version_is_awaited() {
    let mut fleet = Fleet::new(1);
    assert_eq!(fleet.balancer.next_report(0.0), ReportRequest::None);
    fleet.declined(&for_version(2));
    let mut asked = Vec::new();
    for _ in 0..BACKENDS {
        match fleet.balancer.next_report(fleet.now) {
            ReportRequest::Now(backend) => asked.push(backend.id.clone()),
            other => panic!("{other:?}"),
        }
        fleet.now += 25.0;
    }
    assert_eq!(asked.iter().collect::<BTreeSet<_>>().len(), BACKENDS);
    let is_missing = |availability| matches!(availability, WeightsAvailability::Missing { .. });
    for id in &asked {
        let (now, source) = (fleet.now, WeightsSource::Report);
        let version = WeightsVersion::Number(1);
        fleet.balancer.report_read(id);
        fleet.balancer.show_weights(now, id, MODEL, version, source);
    }
    fleet.now += 4_000.0;
    let found = fleet
        .balancer
        .weights_availability(fleet.now, ENGINES, expected(2));
    assert!(is_missing(found), "{found:?}");
    let (now, source) = (fleet.now, WeightsSource::Report);
    let version = WeightsVersion::Number(2);
    fleet
        .balancer
        .show_weights(now, &asked[3], MODEL, version, source);
    fleet.set_weights(2, BACKENDS);
    assert_eq!(
        fleet.send(&for_version(2)).expect("a backend"),
        (asked[3].clone(), true)
    );
    fleet.now += 6_000.0;
    assert_eq!(fleet.balancer.next_report(fleet.now), ReportRequest::None);
}

/// Guards against requests for two versions that start each other's backoff again at backends which answer 421 without a
/// version.
#[test]
fn two_versions_that_never_come_are_tried_with_backoff_where_no_version_is_shown() {
    let mut fleet = Fleet::new(1);
    let mut declined = 0;
    while fleet.now < 60_000.0 {
        for version in [2, 99] {
            while let Ok(choice) = fleet.balancer.choose(fleet.now, &for_version(version)) {
                let (now, id) = (fleet.now, &choice.backend.id);
                let balancer = &mut fleet.balancer;
                balancer.refuse_weights(now, id, expected(version), None);
                balancer.ended(now, choice.attempt, Outcome::OtherWeights);
                declined += 1;
            }
        }
        // A request for no version shows nothing of the weights either.
        let request = selection_request(ENGINES, None);
        let choice = fleet
            .balancer
            .choose(fleet.now, &request)
            .expect("a backend");
        fleet.end(&choice, Outcome::Served);
        fleet.now += 50.0;
    }
    // Five doublings to 5 s, then one each 4.25 s or more, of either version at each backend.
    assert!(declined <= 2 * BACKENDS * 20, "{declined} in a minute");
}

/// Guards against a version that a backend shows being forgotten because it answers 421 without one.
#[test]
fn a_421_without_a_version_does_not_take_back_the_version_that_a_backend_has_shown() {
    let mut fleet = Fleet::new(1);
    assert!(fleet.send(&for_version(1)).expect("a backend").1);
    fleet.now += 400.0;
    for _ in 0..BACKENDS {
        let request = for_version(2);
        let Ok(choice) = fleet.balancer.choose(fleet.now, &request) else {
            break;
        };
        fleet
            .balancer
            .refuse_weights(fleet.now, &choice.backend.id, expected(2), None);
        fleet.end(&choice, Outcome::OtherWeights);
    }
    let excluded = fleet
        .balancer
        .excluded_by_weights(fleet.now, &for_version(1));
    assert_eq!(excluded.len(), BACKENDS - 1);
    assert!(fleet.send(&for_version(1)).expect("a backend").1);
}

/// Guards against the other backends being passed over for a version while the only one that has shown it is ejected.
#[test]
fn a_version_that_only_an_ejected_backend_has_shown_is_looked_for_at_the_others() {
    let mut fleet = Fleet::new(1);
    let request = for_version(2);
    fleet.declined(&request);
    let id = fleet.tables.backends[0].id.clone();
    let (version, source) = (WeightsVersion::Number(2), WeightsSource::Report);
    fleet
        .balancer
        .show_weights(fleet.now, &id, MODEL, version, source);
    let excluded = fleet.balancer.excluded_by_weights(fleet.now, &request);
    assert_eq!(excluded.len(), BACKENDS - 1);
    fleet.now += 6_000.0;
    assert_eq!(fleet.balancer.next_report(fleet.now), ReportRequest::None);

    let choice = fleet
        .balancer
        .choose(fleet.now, &request)
        .expect("it has the version");
    assert_eq!(choice.backend.id, id);
    fleet.end(&choice, Outcome::NoConnection);
    let excluded = fleet.balancer.excluded_by_weights(fleet.now, &request);
    assert_eq!(excluded, Vec::<String>::new());
    let availability = fleet
        .balancer
        .weights_availability(fleet.now, ENGINES, expected(2));
    assert_eq!(availability, WeightsAvailability::OnTrial);
    assert!(matches!(
        fleet.balancer.next_report(fleet.now),
        ReportRequest::Now(_)
    ));
}

/// Guards against hundreds of senders that await one version asking each backend for hundreds of reports a second, and
/// all of them the same backend at a time.
#[test]
fn senders_of_a_large_fleet_share_the_reports_of_the_backends() {
    const SENDERS: usize = 300;
    const SECONDS: usize = 4;
    const MAX_REPORTS_PER_S: usize = 500;
    let tables = Tables::new(ENGINES, BACKENDS, SENDERS);
    let mut asked: BTreeMap<String, usize> = BTreeMap::new();
    for index in 0..SENDERS {
        let mut balancer = tables.balancer(&node_name(index), ZONES[0], 0.0);
        balancer.weights_availability(0.0, ENGINES, expected(2));
        let mut now = 0.0;
        while now < SECONDS as f64 * 1_000.0 {
            match balancer.next_report(now) {
                ReportRequest::Now(backend) => *asked.entry(backend.id.clone()).or_default() += 1,
                ReportRequest::In(ms) => now += ms,
                ReportRequest::None => panic!("a version is awaited"),
            }
        }
    }
    let total: usize = asked.values().sum();
    assert!(total >= SECONDS * SENDERS, "{total}");
    assert!(total <= SECONDS * MAX_REPORTS_PER_S, "{total}");
    assert_eq!(asked.len(), BACKENDS);
    let most = asked.values().max().copied().unwrap_or(0);
    assert!(most <= 2 * total / BACKENDS, "{asked:?}");
}

/// Guards against a backend being given up for the life of the process after one 421.
#[test]
fn every_backend_after_another_instance_is_asked_again_one_request_at_a_time_and_returns() {
    let mut fleet = Fleet::new(1);
    let request = selection_request(ENGINES, None);
    assert_eq!(fleet.exclude_all_instances(), BACKENDS);
    let excluded = fleet.balancer.take_instance_changes();
    assert_eq!(excluded.len(), BACKENDS);
    assert!(excluded
        .iter()
        .all(|change| matches!(change, InstanceChange::Excluded(_))));
    // A newer list that still has the backends changes nothing.
    let snapshot = fleet.tables.snapshot(fleet.now);
    fleet.balancer.update(fleet.now, &snapshot);
    assert!(matches!(
        fleet.balancer.choose(fleet.now, &request),
        Err(NoBackend::AllFull { .. })
    ));

    fleet.now += 400.0;
    let trials: Vec<Choice> =
        std::iter::from_fn(|| fleet.balancer.choose(fleet.now, &request).ok()).collect();
    assert_eq!(trials.len(), BACKENDS);
    for choice in &trials {
        fleet.end(choice, Outcome::Served);
    }
    assert_eq!(fleet.balancer.take_instance_changes().len(), BACKENDS);
    assert!((0..BACKENDS).all(|_| fleet.balancer.choose(fleet.now, &request).is_ok()));
}

/// Guards against repeated requests to an address that another backend has for good.
#[test]
fn an_address_of_another_instance_gets_requests_with_backoff_and_never_as_a_last_resort() {
    let mut fleet = Fleet::new(1);
    let mut asked = 0;
    while fleet.now < 60_000.0 {
        let choices: Vec<Choice> = std::iter::from_fn(|| {
            let request = selection_request(ENGINES, None);
            fleet.balancer.choose(fleet.now, &request).ok()
        })
        .collect();
        asked += choices.len();
        fleet.now += 10.0;
        for choice in &choices {
            fleet.end(choice, Outcome::OtherInstance);
        }
    }
    // The first requests go out together; then five doublings to 5 s, and one every 4.25 s or more.
    let first = BACKENDS * 64;
    assert!(asked <= first + BACKENDS * 20, "{asked} in a minute");
}

#[test]
fn a_full_backend_does_not_show_its_instance() {
    let mut fleet = Fleet::new(1);
    let request = selection_request(ENGINES, None);
    fleet.exclude_all_instances();
    fleet.balancer.take_instance_changes();
    fleet.now += 400.0;
    let choice = fleet.balancer.choose(fleet.now, &request).expect("a trial");
    fleet.end(&choice, Outcome::Declined);
    assert_eq!(fleet.balancer.take_instance_changes(), []);
}

/// Guards against one reason hiding the other where both overlap on one backend.
#[test]
fn a_request_for_a_version_does_not_end_the_exclusion_of_an_instance() {
    let mut fleet = Fleet::new(1);
    let request = selection_request(ENGINES, None);
    fleet.exclude_all_instances();
    fleet.balancer.take_instance_changes();
    fleet.now += 400.0;
    assert_eq!(fleet.declined(&for_version(2)), BACKENDS);
    assert_eq!(fleet.balancer.take_instance_changes(), []);
    assert!(fleet.send(&request).expect("a trial").1);
    assert_eq!(fleet.balancer.take_instance_changes().len(), 1);
}
