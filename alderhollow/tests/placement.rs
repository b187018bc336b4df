//! Placement: how a placer handles the senders' reports, and how a sender works without a placer. Runs without real
//! time.

mod balance_support;

use alderhollow::balance::{Outcome, Prompt, Verdict};
use alderhollow::exchange::Exchange;
use alderhollow::internal::Network;
use alderhollow::placement::client::PlacementClient;
use alderhollow::placement::ledger::{Ledger, SENDER_TIMEOUT_MS};
use alderhollow::placement::message::{
    AttemptId, AttemptInfo, Demand, End, Event, PlaceRequest, Placement, Report,
};
use alderhollow::placement::reports::Reports;
use alderhollow_model::identity::{Address, Incarnation};
use alderhollow_model::snapshot::Placer;
use balance_support::{node_name, selection_request, Tables, ENGINES, ZONES};
use proptest::prelude::*;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::Instant;

const FIRST: Incarnation = Incarnation(1);
const SECOND: Incarnation = Incarnation(2);
const THIRD: Incarnation = Incarnation(3);
/// Slots per backend in the tests' tables.
const SLOTS: u64 = 64;

/// Creates a placer of the first zone with `backends` backends.
fn ledger(backends: usize) -> Ledger {
    let mut ledger = Ledger::new("placer", ZONES[0], 7);
    ledger.update(
        0.0,
        &Tables::new(ENGINES, backends * ZONES.len(), 4).snapshot(0.0),
    );
    ledger
}

fn demand(tokens_in: u32) -> Demand {
    let prompt = Prompt {
        parts: Vec::new(),
        tokens_in,
        tokens_out: 300,
    };
    Demand::of(&selection_request(ENGINES, Some(&prompt)), Vec::new()).expect("it has a prompt")
}

fn batch_item(tokens_in: u32) -> Demand {
    Demand {
        priority: 2,
        ..demand(tokens_in)
    }
}

fn place(
    ledger: &mut Ledger,
    now: f64,
    sender: Incarnation,
    number: u64,
    demand: &Demand,
) -> Placement {
    let attempt = AttemptId { sender, number };
    ledger.place(
        now,
        &PlaceRequest {
            attempt,
            demand: demand.clone(),
        },
    )
}

fn backend_of(placement: Placement) -> String {
    match placement {
        Placement::At { backend, .. } => backend,
        other => panic!("no backend: {other:?}"),
    }
}

fn events(sender: Incarnation, events: Vec<Event>) -> Report {
    Report::Events { sender, events }
}

#[test]
fn requests_avoid_a_long_prompt_of_another_sender() {
    let mut ledger = ledger(2);
    let busy = backend_of(place(&mut ledger, 0.0, FIRST, 1, &demand(50_000)));
    for number in 1..=3 {
        let chosen = backend_of(place(&mut ledger, 1.0, SECOND, number, &demand(500)));
        assert_ne!(chosen, busy);
    }
    ledger.apply_report(
        400.0,
        &events(
            FIRST,
            vec![Event::ResponseStarted(1), Event::Ended(1, End::Served)],
        ),
    );
    assert_eq!(
        backend_of(place(&mut ledger, 401.0, SECOND, 9, &demand(500))),
        busy
    );
}

#[test]
fn long_prompts_avoid_backends_with_running_streams() {
    let mut ledger = ledger(3);
    let streams: BTreeSet<String> = (1..=2)
        .map(|number| backend_of(place(&mut ledger, 0.0, FIRST, number, &demand(500))))
        .collect();
    assert_eq!(streams.len(), 2);
    ledger.apply_report(
        50.0,
        &events(
            FIRST,
            vec![Event::ResponseStarted(1), Event::ResponseStarted(2)],
        ),
    );
    // No client waits for batch items: the third backend stays the cheapest although it runs more requests.
    for number in 1..=6 {
        let free = backend_of(place(
            &mut ledger,
            60.0,
            SECOND,
            100 + number,
            &batch_item(500),
        ));
        if streams.contains(&free) {
            ledger.apply_report(
                60.0,
                &events(SECOND, vec![Event::Ended(100 + number, End::Cancelled)]),
            );
        }
    }
    let chosen = backend_of(place(&mut ledger, 100.0, SECOND, 1, &demand(50_000)));
    assert!(!streams.contains(&chosen), "{chosen} has a running stream");
}

/// Runs one request alone at one of the first `backends` backends; its first event arrives after `first_event_ms`.
fn prefill_alone(
    ledger: &mut Ledger,
    now: f64,
    number: u64,
    demand: &Demand,
    first_event_ms: f64,
) -> String {
    let backend = backend_of(place(ledger, now, FIRST, number, demand));
    ledger.apply_report(
        now + first_event_ms,
        &events(FIRST, vec![Event::ResponseStarted(number)]),
    );
    ledger.apply_report(
        now + first_event_ms,
        &events(FIRST, vec![Event::Ended(number, End::Served)]),
    );
    backend
}

/// The estimated wait of a short request at the only backend, which is prefilling a prompt of 20,000 tokens, after the
/// placer has observed such prompts with `first_event_ms` to the first event.
fn wait_behind_prompt(first_event_ms: f64) -> f64 {
    let mut ledger = ledger(1);
    for number in 1..=60 {
        prefill_alone(
            &mut ledger,
            number as f64 * 5_000.0,
            number,
            &demand(20_000),
            first_event_ms,
        );
    }
    let now = 400_000.0;
    backend_of(place(&mut ledger, now, FIRST, 100, &demand(20_000)));
    match place(&mut ledger, now, SECOND, 1, &demand(100)) {
        Placement::At { wait_ms, .. } => wait_ms,
        other => panic!("no backend: {other:?}"),
    }
}

#[test]
fn wait_estimates_are_learned_from_times_to_first_event() {
    let (slow, fast) = (wait_behind_prompt(500.0), wait_behind_prompt(60.0));
    assert!((400.0..=1_000.0).contains(&slow), "{slow}");
    assert!((30.0..=75.0).contains(&fast), "{fast}");
}

/// The estimated wait of a short request at the only backend, which is prefilling a batch item of 20,000 tokens.
fn wait_behind_batch_item(ledger: &mut Ledger, now: f64) -> f64 {
    backend_of(place(ledger, now, FIRST, 1_000, &batch_item(20_000)));
    match place(ledger, now, SECOND, 1_000, &demand(100)) {
        Placement::At { wait_ms, .. } => wait_ms,
        other => panic!("no backend: {other:?}"),
    }
}

/// A snapshot with one attempt, a prompt of 20,000 tokens at the only backend.
fn snapshot_report(sequence: u64, response_started: bool) -> Report {
    let backend = "i-engines-0".to_string();
    let info = AttemptInfo {
        number: 1,
        backend,
        demand: demand(20_000),
        response_started,
    };
    Report::Snapshot {
        sender: FIRST,
        sequence,
        last_number: 1,
        in_flight: vec![info],
    }
}

#[test]
fn a_new_placer_learns_no_times_from_earlier_attempts() {
    let without_samples = wait_behind_batch_item(&mut ledger(1), 100.0);
    // The snapshot contains an attempt with a response, ...
    let mut new_placer = ledger(1);
    new_placer.apply_report(0.0, &snapshot_report(1, true));
    new_placer.apply_report(50.0, &events(FIRST, vec![Event::Ended(1, End::Served)]));
    assert_eq!(
        wait_behind_batch_item(&mut new_placer, 100.0),
        without_samples
    );
    // ... or one whose first event arrives right after it.
    for report in [
        snapshot_report(2, true),
        events(FIRST, vec![Event::ResponseStarted(1)]),
    ] {
        let mut new_placer = ledger(1);
        new_placer.apply_report(0.0, &snapshot_report(1, false));
        new_placer.apply_report(1.0, &report);
        new_placer.apply_report(50.0, &events(FIRST, vec![Event::Ended(1, End::Served)]));
        assert_eq!(
            wait_behind_batch_item(&mut new_placer, 100.0),
            without_samples
        );
    }
}

/// Number of long prompts after which a new placer knows the engines' prefill times to within a fifth.
const PROMPTS_TO_LEARN: u64 = 12;

#[test]
fn a_new_placer_learns_prefill_times_from_a_few_long_prompts() {
    for first_event_ms in [60.0, 133.0, 500.0] {
        let mut new_placer = ledger(1);
        for number in 1..=PROMPTS_TO_LEARN {
            // Every fourth request is delayed by something else.
            let delay_factor = if number % 4 == 2 { 3.0 } else { 1.0 };
            prefill_alone(
                &mut new_placer,
                number as f64 * 5_000.0,
                number,
                &demand(20_000),
                first_event_ms * delay_factor,
            );
        }
        let wait_ms = wait_behind_batch_item(&mut new_placer, 400_000.0);
        let prefill_ms = first_event_ms - 10.0;
        let is_close = (prefill_ms / 1.2..=prefill_ms * 1.2).contains(&wait_ms);
        assert!(is_close, "{wait_ms} for {prefill_ms}");
    }
}

#[test]
fn long_prompts_go_to_the_faster_engine() {
    let mut ledger = ledger(2);
    let is_slow = |backend: &str| backend.ends_with('0');
    let mut now = 0.0;
    for number in 1..=40 {
        now += 5_000.0;
        let other = if number % 2 == 0 {
            "i-engines-0"
        } else {
            "i-engines-3"
        };
        let demand = Demand {
            excluded_backends: vec![other.to_string()],
            ..demand(20_000)
        };
        let first_event_ms = if is_slow(other) { 160.0 } else { 208.0 };
        prefill_alone(&mut ledger, now, number, &demand, first_event_ms);
    }
    for number in 100..110 {
        now += 5_000.0;
        let backend = prefill_alone(&mut ledger, now, number, &demand(40_000), 400.0);
        assert!(!is_slow(&backend), "{backend}");
    }
}

#[test]
fn prefills_shorter_than_the_pause_limit_cause_no_interference() {
    // Without samples, 20,000 tokens take 133 ms to prefill.
    let wait_ms_with_gap_aim = |gap_aim_ms| {
        let mut tables = Tables::new(ENGINES, ZONES.len(), 4);
        tables.gap_aim_ms = Some(gap_aim_ms);
        let mut ledger = Ledger::new("placer", ZONES[0], 7);
        ledger.update(0.0, &tables.snapshot(0.0));
        place(&mut ledger, 0.0, FIRST, 1, &demand(10));
        ledger.apply_report(20.0, &events(FIRST, vec![Event::ResponseStarted(1)]));
        match place(&mut ledger, 30.0, SECOND, 1, &demand(20_000)) {
            Placement::At { wait_ms, .. } => wait_ms,
            other => panic!("no backend: {other:?}"),
        }
    };
    assert_eq!(wait_ms_with_gap_aim(300.0), 0.0);
    assert!(
        wait_ms_with_gap_aim(100.0) > 100.0,
        "{}",
        wait_ms_with_gap_aim(100.0)
    );
}

/// A request with a shared prefix of 5,000 tokens.
fn with_prefix(shared: u64) -> Demand {
    let prompt = balance_support::prompt(shared, 1);
    Demand::of(&selection_request(ENGINES, Some(&prompt)), Vec::new()).expect("it has a prompt")
}

#[test]
fn a_prefix_goes_to_its_holder_regardless_of_the_sender() {
    let mut ledger = ledger(4);
    for shared in 0..40 {
        let now = shared as f64 * 200.0;
        let excluded = backend_of(place(&mut ledger, now, FIRST, 1, &with_prefix(shared)));
        ledger.apply_report(now, &events(FIRST, vec![Event::Ended(1, End::Cancelled)]));
        // The second choice prefills it, and is the holder of the prefix from then on.
        let demand = Demand {
            excluded_backends: vec![excluded.clone()],
            ..with_prefix(shared)
        };
        let holder = prefill_alone(&mut ledger, now, 2, &demand, 40.0);
        assert_ne!(holder, excluded);
        let next = backend_of(place(
            &mut ledger,
            now + 100.0,
            SECOND,
            100 + shared,
            &with_prefix(shared),
        ));
        assert_eq!(next, holder);
        ledger.apply_report(
            now + 150.0,
            &events(SECOND, vec![Event::Ended(100 + shared, End::Served)]),
        );
    }
}

#[test]
fn unused_offers_record_no_prefix_location() {
    let mut ledger = ledger(2);
    let offered = backend_of(place(&mut ledger, 0.0, FIRST, 1, &with_prefix(7)));
    ledger.apply_report(5.0, &events(FIRST, vec![Event::Ended(1, End::Cancelled)]));
    // A little load there moves the request elsewhere, because no backend has the prefix cached.
    let other = if offered.ends_with('0') {
        "i-engines-3"
    } else {
        "i-engines-0"
    };
    let elsewhere = Demand {
        excluded_backends: vec![other.to_string()],
        ..demand(6_000)
    };
    assert_eq!(
        backend_of(place(&mut ledger, 10.0, SECOND, 1, &elsewhere)),
        offered
    );
    assert_eq!(
        backend_of(place(&mut ledger, 11.0, FIRST, 2, &with_prefix(7))),
        other
    );
}

#[test]
fn placement_works_with_more_prefixes_than_the_limit() {
    let mut ledger = ledger(2);
    for shared in 0..6_000 {
        prefill_alone(
            &mut ledger,
            shared as f64,
            shared + 1,
            &with_prefix(shared),
            0.5,
        );
    }
    let known = prefill_alone(&mut ledger, 6_001.0, 7_001, &with_prefix(17), 0.5);
    let again = prefill_alone(&mut ledger, 6_002.0, 7_002, &with_prefix(17), 0.5);
    assert_eq!(known, again);
}

#[test]
fn requests_are_placed_while_all_backends_prefill_long_prompts() {
    let mut ledger = ledger(2);
    for number in 1..=4 {
        backend_of(place(&mut ledger, 0.0, FIRST, number, &demand(54_000)));
    }
    let Placement::At { wait_ms, .. } = place(&mut ledger, 1.0, SECOND, 1, &demand(500)) else {
        panic!("no backend");
    };
    assert!(wait_ms > 300.0, "the estimated wait is reported: {wait_ms}");
}

#[test]
fn a_prompt_larger_than_memory_is_placed_only_at_an_idle_backend() {
    let mut ledger = ledger(1);
    backend_of(place(&mut ledger, 0.0, FIRST, 1, &demand(900_000)));
    let second = place(&mut ledger, 1.0, FIRST, 2, &demand(900_000));
    assert!(matches!(second, Placement::Full { .. }), "{second:?}");
}

#[test]
fn batch_items_leave_capacity_for_streams() {
    let mut ledger = ledger(1);
    let mut running = 0;
    for number in 1..=SLOTS {
        let sender = Incarnation(1 + number % 5);
        running += u64::from(matches!(
            place(&mut ledger, 0.0, sender, number, &batch_item(10)),
            Placement::At { .. }
        ));
    }
    assert!(running < SLOTS, "{running} items fill the backend");
    let Placement::At { wait_ms, .. } = place(&mut ledger, 1.0, SECOND, 999, &demand(10)) else {
        panic!("no capacity for a stream");
    };
    assert!(wait_ms < 50.0, "{wait_ms}");
}

/// Reports an attempt that a sender has made at a backend by itself, and its end.
fn report_attempt(
    ledger: &mut Ledger,
    now: f64,
    sender: Incarnation,
    number: u64,
    backend: &str,
    end: End,
) {
    let started = Event::Started(attempt_at(number, backend));
    ledger.apply_report(
        now,
        &events(sender, vec![started, Event::Ended(number, end)]),
    );
}

fn attempt_at(number: u64, backend: &str) -> AttemptInfo {
    AttemptInfo {
        number,
        backend: backend.to_string(),
        demand: demand(100),
        response_started: false,
    }
}

/// The backends that a placer considers unhealthy.
fn unhealthy(ledger: &mut Ledger, now: f64) -> Vec<String> {
    let explanation = ledger
        .explain(now, &demand(100))
        .expect("the zone has backends");
    let candidates = explanation.candidates.into_iter();
    candidates
        .filter(|candidate| matches!(candidate.verdict, Verdict::Unhealthy { .. }))
        .map(|candidate| candidate.backend)
        .collect()
}

/// No backend.
const NONE: [&str; 0] = [];
const FAILURES: [End; 3] = [End::NoConnection, End::Broken, End::TimedOut];

#[test]
fn a_backend_that_two_senders_cannot_reach_is_avoided_for_all_senders() {
    for failure in FAILURES {
        let mut ledger = ledger(2);
        let dark = backend_of(place(&mut ledger, 0.0, FIRST, 1, &demand(100)));
        ledger.apply_report(5.0, &events(FIRST, vec![Event::Ended(1, failure)]));
        report_attempt(&mut ledger, 5.5, SECOND, 1, &dark, failure);
        for number in 1..=8 {
            assert_ne!(
                backend_of(place(&mut ledger, 6.0, THIRD, number, &demand(100))),
                dark
            );
        }
    }
}

/// Guards against one sender's failures excluding backends for all senders: that sender may be cut off, or out of
/// connections, and it excludes the backends in its own demands.
#[test]
fn failures_that_one_sender_reports_exclude_no_backend() {
    for failure in FAILURES {
        let mut ledger = ledger(3);
        for number in 0..60u32 {
            let now = f64::from(number) * 50.0;
            let number = u64::from(number);
            let chosen = backend_of(place(&mut ledger, now, FIRST, number, &demand(100)));
            ledger.apply_report(now, &events(FIRST, vec![Event::Ended(number, failure)]));
            let ejected = unhealthy(&mut ledger, now);
            assert!(
                ejected.is_empty(),
                "{ejected:?} after {failure:?} at {chosen}"
            );
        }
    }
}

/// Guards against an ejection by two failures of different senders between which the backend has responded.
#[test]
fn a_response_ends_the_suspicion_of_one_sender() {
    let mut ledger = ledger(2);
    let backend = backend_of(place(&mut ledger, 0.0, FIRST, 1, &demand(100)));
    ledger.apply_report(
        5.0,
        &events(FIRST, vec![Event::Ended(1, End::NoConnection)]),
    );
    report_attempt(&mut ledger, 100.0, SECOND, 1, &backend, End::Served);
    report_attempt(&mut ledger, 200.0, SECOND, 2, &backend, End::NoConnection);
    assert_eq!(unhealthy(&mut ledger, 201.0), NONE);
    report_attempt(&mut ledger, 300.0, FIRST, 2, &backend, End::NoConnection);
    assert_eq!(unhealthy(&mut ledger, 301.0), [backend]);
}

/// Guards against one sender that gets no responses excluding backends for all senders.
#[test]
fn silence_makes_a_backend_unhealthy_only_if_two_senders_wait() {
    let backend = "i-engines-0";
    let wait_from = |ledger: &mut Ledger, sender: Incarnation| {
        let started = (1..=4).map(|number| Event::Started(attempt_at(number, backend)));
        ledger.apply_report(0.0, &events(sender, started.collect()));
    };
    let mut placer = ledger(3);
    wait_from(&mut placer, FIRST);
    assert_eq!(unhealthy(&mut placer, 2_000.0), NONE);
    let mut placer = ledger(3);
    wait_from(&mut placer, FIRST);
    wait_from(&mut placer, SECOND);
    assert_eq!(unhealthy(&mut placer, 2_000.0), [backend]);
}

/// Guards against a silent backend that counts as healthy again once the client of one of its requests gives up.
#[test]
fn a_backend_silent_to_two_senders_stays_ejected_when_one_of_them_gives_up() {
    let backend = "i-engines-0";
    let mut placer = ledger(3);
    for sender in [FIRST, SECOND] {
        let started = Event::Started(attempt_at(1, backend));
        placer.apply_report(0.0, &events(sender, vec![started]));
    }
    assert_eq!(unhealthy(&mut placer, 2_000.0), [backend]);
    let given_up = Event::Ended(1, End::Cancelled);
    placer.apply_report(2_000.0, &events(FIRST, vec![given_up]));
    assert_eq!(unhealthy(&mut placer, 2_001.0), [backend]);
}

/// Guards against one sender's own limit of connections keeping a backend from all senders of its zone.
#[test]
fn a_connection_limit_that_one_sender_reached_keeps_no_backend_from_others() {
    let mut ledger = ledger(1);
    for number in 1..=20 {
        let now = number as f64;
        place(&mut ledger, now, FIRST, number, &demand(100));
        let ended = Event::Ended(number, End::from(Outcome::ConnectionLimit));
        ledger.apply_report(now, &events(FIRST, vec![ended]));
        backend_of(place(&mut ledger, now, SECOND, number, &demand(100)));
        ledger.apply_report(
            now,
            &events(SECOND, vec![Event::Ended(number, End::Served)]),
        );
    }
}

/// Guards against a backend that counts as responsive because a sender has no connection left for it, which senders of
/// earlier versions report like a backend that declines.
#[test]
fn a_reported_decline_is_no_sign_that_a_backend_responds() {
    let backend = "i-engines-0";
    let mut placer = ledger(3);
    for sender in [FIRST, SECOND] {
        let started = (1..=4).map(|number| Event::Started(attempt_at(number, backend)));
        placer.apply_report(0.0, &events(sender, started.collect()));
    }
    report_attempt(&mut placer, 1_000.0, THIRD, 1, backend, End::Declined);
    assert_eq!(unhealthy(&mut placer, 2_000.0), [backend]);
    report_attempt(
        &mut placer,
        1_001.0,
        THIRD,
        2,
        backend,
        End::from(Outcome::ConnectionLimit),
    );
    assert_eq!(unhealthy(&mut placer, 2_000.0), [backend]);
}

/// Guards against a single cut-off sender taking backends from a fleet: twenty senders, of which one fails everywhere.
#[test]
fn a_cut_off_sender_takes_no_backend_from_the_others() {
    let mut ledger = ledger(5);
    let senders = 20;
    for step in 0..2_000u64 {
        let now = step as f64 * 10.0;
        let sender = step % senders;
        let end = if sender == 0 {
            End::TimedOut
        } else {
            End::Served
        };
        place(&mut ledger, now, Incarnation(sender), step, &demand(100));
        assert_eq!(unhealthy(&mut ledger, now), NONE, "at {now} ms");
        let ended = events(Incarnation(sender), vec![Event::Ended(step, end)]);
        ledger.apply_report(now + 5.0, &ended);
    }
}

#[test]
fn excluded_backends_are_not_offered() {
    let mut ledger = ledger(2);
    let first = backend_of(place(&mut ledger, 0.0, FIRST, 1, &demand(100)));
    let without = Demand {
        excluded_backends: vec![first.clone()],
        ..demand(100)
    };
    assert_ne!(
        backend_of(place(&mut ledger, 1.0, FIRST, 2, &without)),
        first
    );
}

/// Guards against one sender's 421 excluding a backend for all senders: what senders of earlier versions report as another
/// instance may be other weights.
#[test]
fn a_421_that_a_sender_reports_excludes_no_backend() {
    let mut placer = ledger(3);
    let demand = demand(500);
    for number in 0..30 {
        place(&mut placer, 0.0, FIRST, number, &demand);
        let events = vec![Event::Ended(number, End::OtherInstance)];
        placer.apply_report(
            1.0,
            &Report::Events {
                sender: FIRST,
                events,
            },
        );
    }
    assert_eq!(placer.attempts(), 0);
    let used: BTreeSet<String> = (0..30)
        .map(|number| backend_of(place(&mut placer, 2.0, SECOND, number, &demand)))
        .collect();
    assert_eq!(used.len(), 3);
}

#[test]
fn a_421_is_not_reported_as_a_verdict() {
    for outcome in [Outcome::OtherInstance, Outcome::OtherWeights] {
        assert_eq!(End::from(outcome), End::Cancelled);
    }
}

#[test]
fn a_snapshot_corrects_lost_events() {
    let mut ledger = ledger(2);
    for number in 1..=3 {
        place(&mut ledger, 0.0, FIRST, number, &demand(100));
    }
    assert_eq!(ledger.attempts(), 3);
    // The ends of attempts 1 and 2 were lost, and so was the start of attempt 4, which the sender placed by itself.
    let info = |number, backend: &str| AttemptInfo {
        number,
        backend: backend.to_string(),
        demand: demand(100),
        response_started: true,
    };
    let in_flight = vec![info(3, "i-engines-0"), info(4, "i-engines-3")];
    let snapshot = Report::Snapshot {
        sender: FIRST,
        sequence: 1,
        last_number: 4,
        in_flight,
    };
    ledger.apply_report(10.0, &snapshot);
    assert_eq!(ledger.attempts(), 2);
    ledger.apply_report(11.0, &snapshot);
    assert_eq!(ledger.attempts(), 2, "a duplicate changes nothing");
}

#[test]
fn a_delayed_report_does_not_undo_newer_state() {
    let mut ledger = ledger(2);
    let empty = |sequence, last_number| Report::Snapshot {
        sender: FIRST,
        sequence,
        last_number,
        in_flight: Vec::new(),
    };
    place(&mut ledger, 0.0, FIRST, 1, &demand(100));
    ledger.apply_report(1.0, &empty(2, 1));
    place(&mut ledger, 2.0, FIRST, 2, &demand(100));
    ledger.apply_report(3.0, &empty(1, 2));
    assert_eq!(ledger.attempts(), 1, "an older report");
    ledger.apply_report(4.0, &empty(3, 1));
    assert_eq!(ledger.attempts(), 1, "a snapshot from before the attempt");
    ledger.apply_report(
        5.0,
        &events(
            FIRST,
            vec![Event::Ended(1, End::Served), Event::ResponseStarted(1)],
        ),
    );
    assert_eq!(ledger.attempts(), 1, "events of a removed attempt");
}

#[test]
fn a_sender_without_reports_expires() {
    let mut ledger = ledger(1);
    place(&mut ledger, 0.0, FIRST, 1, &demand(50_000));
    place(&mut ledger, 10.0, SECOND, 1, &demand(100));
    ledger.apply_report(SENDER_TIMEOUT_MS + 5.0, &events(SECOND, Vec::new()));
    assert_eq!((ledger.senders(), ledger.attempts()), (1, 1));
    // The restarted sender is a new incarnation, whose numbers start again.
    place(
        &mut ledger,
        SENDER_TIMEOUT_MS + 6.0,
        Incarnation(3),
        1,
        &demand(100),
    );
    assert_eq!(ledger.attempts(), 2);
}

#[test]
fn an_expired_sender_does_not_affect_backend_health() {
    let mut ledger = ledger(2);
    let waited_at: BTreeSet<String> = (1..=2)
        .map(|number| backend_of(place(&mut ledger, 0.0, FIRST, number, &demand(5_000))))
        .collect();
    assert_eq!(waited_at.len(), 2);
    let later = SENDER_TIMEOUT_MS + 300.0;
    ledger.apply_report(later, &events(SECOND, Vec::new()));
    assert_eq!(ledger.attempts(), 0);
    let used: BTreeSet<String> = (1..=4)
        .map(|number| {
            backend_of(place(
                &mut ledger,
                later + 1.0,
                SECOND,
                number,
                &demand(5_000),
            ))
        })
        .collect();
    assert_eq!(used, waited_at, "no backend is considered unresponsive");
}

#[test]
fn a_restarted_placer_learns_attempts_from_snapshots() {
    let mut reports = Reports::new(FIRST);
    let number = reports.next_attempt_number();
    reports.started(number, ZONES[0], "i-engines-0", demand(50_000), true);
    let snapshot = reports.snapshot(ZONES[0]).expect("an attempt is in flight");
    let mut new_placer = ledger(2);
    new_placer.apply_report(0.0, &snapshot);
    assert_eq!(
        backend_of(place(&mut new_placer, 1.0, SECOND, 1, &demand(100))),
        "i-engines-3"
    );
}

#[test]
fn an_empty_snapshot_is_sent_once_and_again_after_any_event() {
    let mut reports = Reports::new(FIRST);
    assert!(reports.snapshot(ZONES[0]).is_some());
    assert!(reports.snapshot(ZONES[0]).is_none());
    reports.release_unused(7, ZONES[0]);
    assert!(
        reports.snapshot(ZONES[0]).is_some(),
        "the placer may have missed that event"
    );
}

/// Creates a sender with these tables, and its placement client.
async fn exchange(tables: &Tables) -> (Rc<Exchange>, Rc<PlacementClient>) {
    let (_, receiver) = watch::channel(Arc::new(tables.snapshot(0.0)));
    let client = PlacementClient::start(Network::new(7), receiver.clone(), FIRST);
    let balancer = Rc::new(RefCell::new(tables.balancer(&node_name(0), ZONES[0], 0.0)));
    let exchange = Exchange::with_placement(
        Instant::now(),
        7,
        receiver,
        balancer,
        client.clone(),
        ZONES[0],
    );
    (exchange, client)
}

fn block_on<T>(future: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, future)
}

#[test]
fn a_sender_without_a_placer_selects_by_itself() {
    block_on(async {
        let (exchange, _) = exchange(&Tables::new(ENGINES, 3, 4)).await;
        let prompt = balance_support::prompt(1, 2);
        assert!(exchange
            .place(&selection_request(ENGINES, Some(&prompt)))
            .await
            .is_ok());
    });
}

#[test]
fn a_sender_with_an_unreachable_placer_selects_by_itself() {
    block_on(async {
        let mut tables = Tables::new(ENGINES, 3, 4);
        let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
        tables.placers.push(Placer {
            zone: ZONES[0].to_string(),
            node: "gone".to_string(),
            internal: Address(nobody),
        });
        let (exchange, client) = exchange(&tables).await;
        let prompt = balance_support::prompt(1, 2);
        for _ in 0..3 {
            assert!(exchange
                .place(&selection_request(ENGINES, Some(&prompt)))
                .await
                .is_ok());
        }
        assert_eq!(client.zones(), [ZONES[0]]);
    });
}

fn any_event() -> impl Strategy<Value = Event> {
    let in_flight = (0_u64..6, 0_usize..8, 0_u32..100_000, any::<bool>()).prop_map(
        |(number, backend, tokens, response_started)| AttemptInfo {
            number,
            backend: format!("i-engines-{backend}"),
            demand: demand(tokens),
            response_started,
        },
    );
    prop_oneof![
        in_flight.prop_map(Event::Started),
        (0_u64..6).prop_map(Event::ResponseStarted),
        (0_u64..6).prop_map(|number| Event::Ended(number, End::Served)),
        (0_u64..6).prop_map(|number| Event::Ended(number, End::TimedOut)),
    ]
}

fn any_report() -> impl Strategy<Value = Report> {
    let incarnation = (1_u64..4).prop_map(Incarnation);
    let some = (
        incarnation.clone(),
        prop::collection::vec(any_event(), 0..5),
    )
        .prop_map(|(sender, events)| Report::Events { sender, events });
    let snapshot = (
        incarnation,
        0_u64..5,
        0_u64..6,
        prop::collection::vec(any_event(), 0..4),
    )
        .prop_map(|(sender, sequence, last_number, events)| {
            let in_flight = events.into_iter().filter_map(|event| match event {
                Event::Started(in_flight) => Some(in_flight),
                Event::ResponseStarted(_) | Event::Ended(..) => None,
            });
            Report::Snapshot {
                sender,
                sequence,
                last_number,
                in_flight: in_flight.collect(),
            }
        });
    prop_oneof![some, snapshot]
}

proptest! {
    /// For any reports in any order, no load remains once all senders have expired.
    #[test]
    fn all_load_is_released_after_senders_expire(
        steps in prop::collection::vec((any_report(), prop::option::of(0_u32..60_000), 0.0..500.0_f64), 1..40),
    ) {
        let mut ledger = ledger(2);
        let mut now = 0.0;
        for (index, (report, placed, wait)) in steps.into_iter().enumerate() {
            now += wait;
            ledger.apply_report(now, &report);
            if let Some(tokens) = placed {
                place(&mut ledger, now, Incarnation(1 + index as u64 % 3), 10 + index as u64, &demand(tokens));
            }
        }
        now += SENDER_TIMEOUT_MS + 1_000.0;
        ledger.apply_report(now, &events(Incarnation(9), Vec::new()));
        prop_assert_eq!(ledger.attempts(), 0);
        // No load is known any more, so a request has an estimated wait of zero. A backend that timed out may still be
        // avoided.
        let placement = place(&mut ledger, now + 10_000.0, Incarnation(9), 1, &demand(100));
        let is_free = matches!(placement, Placement::At { wait_ms, .. } if wait_ms == 0.0);
        prop_assert!(is_free, "{:?}", placement);
    }

    #[test]
    fn arbitrary_bytes_do_not_panic_the_decoder(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = minicbor::decode::<Report>(&bytes);
        let _ = minicbor::decode::<PlaceRequest>(&bytes);
        let _ = minicbor::decode::<Placement>(&bytes);
    }

    #[test]
    fn reports_round_trip(report in any_report()) {
        let bytes = minicbor::to_vec(&report).expect("encoding succeeds");
        prop_assert_eq!(minicbor::decode::<Report>(&bytes).expect("decoding succeeds"), report);
    }
}

/// Message sizes for one request; `docs/CAPACITY.md` is based on them.
#[test]
fn messages_of_one_request_are_small() {
    let prompt = Prompt {
        parts: vec![(u64::MAX, 512), (u64::MAX, 4_870), (u64::MAX, 6_610)],
        tokens_in: 11_992,
        tokens_out: 391,
    };
    let demand = Demand::of(&selection_request("dahu75a", Some(&prompt)), Vec::new())
        .expect("it has a prompt");
    let attempt = AttemptId {
        sender: Incarnation(u64::MAX),
        number: 100_000,
    };
    let question = minicbor::to_vec(PlaceRequest { attempt, demand })
        .expect("bytes")
        .len();
    let answer = Placement::At {
        backend: "i-7f3a91c2".to_string(),
        wait_ms: 12.5,
    };
    let answer = minicbor::to_vec(answer).expect("bytes").len();
    let ends = vec![
        Event::ResponseStarted(100_000),
        Event::Ended(100_000, End::Served),
    ];
    let report = minicbor::to_vec(events(Incarnation(u64::MAX), ends))
        .expect("bytes")
        .len();
    assert!(
        question <= 90 && answer <= 25 && report <= 35,
        "{question} {answer} {report}"
    );
}
