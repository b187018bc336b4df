//! Session classification in several gateway processes under faults. Customers have no session state, state for one run
//! of requests, or state for a whole session; a shard owner is killed and one gateway cannot reach a backend. The tests
//! check the verdicts and failures in the record.

// `stage::assert_checks_pass` requires all checks to pass; this file examines checks one by one.
#[allow(dead_code)]
mod stage;

use fault_lab::check::Summary;
use fault_lab::kinds::Kind;
use fault_lab::record::{Entry, Event};
use stage::{run_scenario, SMALL};
use std::thread;

const RUN_SECONDS: u64 = 36;

/// Customers and faults. Few customers send many requests, so that verdicts exist within the first half of the run, and
/// their quotas reject nothing.
const PLANS_AND_FAULTS: &str = r#"
[[plan]]
name = "stateless"
customers = 10
units_per_s = 100
burst_units = 1000
offered = 0.12
spread = 3
run_length = 8
run_gap_ms = 200

[[plan]]
name = "transaction"
kind = "transaction"
customers = 8
units_per_s = 100
burst_units = 1000
offered = 0.12
spread = 3
run_length = 8
run_gap_ms = 200

[[plan]]
name = "session"
kind = "session"
per_door = true
customers = 6
units_per_s = 100
burst_units = 1000
offered = 0.12
spread = 2
run_length = 8
run_gap_ms = 200

# Each gateway owns some keys, the leader too. After the kill there is a new epoch, its keys go to the others, and some
# come back after the restart.
[[kill]]
at_ms = 12000
doors = "owner"
back_ms = 5000

[[link]]
at_ms = 18000
for_ms = 4000
from = "d3"
to = "b1"
cut = true
"#;

/// The number of cases of one check, none of which may be broken. Other tests check for answers that are late, as on a
/// busy machine.
fn passed_cases(summary: &Summary, check: &str) -> usize {
    let finding = summary
        .findings
        .iter()
        .find(|finding| finding.check == check)
        .expect("a finding of this check");
    assert_eq!(finding.broken, 0, "{finding:?}");
    finding.cases
}

/// Runs five gateways with these session settings.
fn run_gateways(name: &str, sessions: &str) -> (Summary, Vec<Entry>) {
    let gateways = format!("doors = 5\nlease_ms = 1000\nshards = {{ count = 20 }}\n{sessions}");
    let text = SMALL
        .replace("seconds = 5", &format!("seconds = {RUN_SECONDS}"))
        .replace("doors = 4", &gateways);
    let text = text
        .replace("cores = 4", "cores = 8")
        .replace("service_ms = 10", "service_ms = 4");
    let (summary, entries) = run_scenario(name, &(text + PLANS_AND_FAULTS));
    for check in ["one_owner", "one_keeper", "fenced"] {
        assert!(
            passed_cases(&summary, check) > 500,
            "too few cases of {check}"
        );
    }
    (summary, entries)
}

/// The fraction of requests that failed because of lost session state, among those that needed it, in each third of the
/// run.
fn lost_state_fractions(entries: &[Entry]) -> [f64; 3] {
    let first_sent = entries
        .iter()
        .find(|entry| matches!(entry.event, Event::Sent { .. }));
    let start_us = first_sent.map_or(0, |entry| entry.us);
    let (mut needed, mut lost) = ([0.0; 3], [0.0; 3]);
    for entry in entries {
        let Event::State { state, .. } = &entry.event else {
            continue;
        };
        let third =
            (entry.us.saturating_sub(start_us) * 3 / (RUN_SECONDS * 1_000_000)).min(2) as usize;
        needed[third] += f64::from(u8::from(*state != fault_lab::kinds::State::First));
        lost[third] += f64::from(u8::from(state.is_lost()));
    }
    assert!(
        needed.iter().all(|needed| *needed > 500.0),
        "too few requests that need session state: {needed:?}"
    );
    [0, 1, 2].map(|third| lost[third] / needed[third])
}

#[test]
fn customers_with_state_keep_their_connections_while_a_shard_owner_is_killed_and_a_backend_is_unreachable(
) {
    let (summary, entries) = run_gateways("sessions-holding", "sessions = { pool = true }");
    assert!(passed_cases(&summary, "verdicts") > 300, "too few verdicts");
    let fractions = lost_state_fractions(&entries);
    assert!(
        fractions[2] < fractions[0] / 2.0,
        "failures of customers with state, by thirds: {fractions:?}"
    );
    // The verdict `statement` takes longer and may still be missing.
    for kind_figures in summary
        .figures
        .told
        .iter()
        .filter(|kind_figures| kind_figures.kind != Kind::Statement)
    {
        assert!(
            kind_figures.with_verdict > 0,
            "no verdict for any customer of one kind: {kind_figures:?}"
        );
        assert!(
            kind_figures.right > kind_figures.less + kind_figures.more,
            "most verdicts are not correct: {kind_figures:?}"
        );
    }
    assert_eq!(summary.figures.told.len(), 3, "{:?}", summary.figures.told);
}

#[test]
fn with_pool_false_verdicts_are_reported_and_no_connection_is_reserved() {
    let (observing, baseline_run) = thread::scope(|scope| {
        let observing =
            scope.spawn(|| run_gateways("sessions-observing", "sessions = { pool = false }"));
        let baseline_run = scope.spawn(|| run_gateways("sessions-without", ""));
        (
            observing.join().expect("the run does not panic"),
            baseline_run.join().expect("the run does not panic"),
        )
    });
    assert!(
        passed_cases(&observing.0, "verdicts") > 300,
        "too few verdicts"
    );
    let (fractions, baseline) = (
        lost_state_fractions(&observing.1),
        lost_state_fractions(&baseline_run.1),
    );
    assert!(
        fractions[2] > fractions[0] * 0.7,
        "failures decrease although no connection is reserved: {fractions:?}"
    );
    assert!(
        fractions[2] > baseline[2] * 0.7,
        "fewer failures than without the key `sessions`: {fractions:?}, {baseline:?}"
    );
    let open_connections = |summary: &Summary| {
        summary
            .figures
            .bound
            .as_ref()
            .expect("figures of customers with state")
            .connections_mean
    };
    let (open_connections, baseline) = (
        open_connections(&observing.0),
        open_connections(&baseline_run.0),
    );
    assert!(
        open_connections < baseline * 1.5,
        "open connections: {open_connections}, without the key `sessions`: {baseline}"
    );
    let kinds_with_state = observing
        .0
        .figures
        .told
        .iter()
        .filter(|kind_figures| kind_figures.kind != Kind::Statement);
    assert!(
        kinds_with_state.clone().count() == 2
            && kinds_with_state
                .clone()
                .all(|kind_figures| kind_figures.with_verdict > 0),
        "both kinds of customers with state have verdicts"
    );
}
