//! Sessions in several processes with faults: customers without state, bound for a run and bound for good, while a keeper is
//! killed and one front door cannot reach a backend. Verdicts and failures come from the record.

// All checks at once are not for this file.
#[allow(dead_code)]
mod stage;

use fault_lab::check::Summary;
use fault_lab::kinds::Kind;
use fault_lab::record::{Entry, Event};
use stage::{carry, SMALL};
use std::thread;

const SECONDS: u64 = 36;

/// Many requests from few customers, so that verdicts come within the first half, with quotas that refuse nothing.
const KINDS: &str = r#"
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

# Each front door keeps some keys, the owner too: there is a new epoch, its keys go to the others, and some come back.
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

/// So many cases of one check, which is kept. What a busy machine answers late is for other tests to judge.
fn kept(summary: &Summary, check: &str) -> usize {
    let finding = summary
        .findings
        .iter()
        .find(|finding| finding.check == check)
        .expect("it was checked");
    assert_eq!(finding.broken, 0, "{finding:?}");
    finding.cases
}

fn run(name: &str, sessions: &str) -> (Summary, Vec<Entry>) {
    let doors = format!("doors = 5\nlease_ms = 1000\nshards = {{ count = 20 }}\n{sessions}");
    let text = SMALL
        .replace("seconds = 5", &format!("seconds = {SECONDS}"))
        .replace("doors = 4", &doors);
    let text = text
        .replace("cores = 4", "cores = 8")
        .replace("service_ms = 10", "service_ms = 4");
    let (summary, entries) = carry(name, &(text + KINDS));
    for check in ["one_owner", "one_keeper", "fenced"] {
        assert!(kept(&summary, check) > 500, "{check} looked at too little");
    }
    (summary, entries)
}

/// The part of the requests that needed state and failed for want of it, in each third of the run.
fn breaks(entries: &[Entry]) -> [f64; 3] {
    let sent = entries
        .iter()
        .find(|entry| matches!(entry.event, Event::Sent { .. }));
    let start = sent.map_or(0, |entry| entry.us);
    let (mut needed, mut lost) = ([0.0; 3], [0.0; 3]);
    for entry in entries {
        let Event::State { state, .. } = &entry.event else {
            continue;
        };
        let third = (entry.us.saturating_sub(start) * 3 / (SECONDS * 1_000_000)).min(2) as usize;
        needed[third] += f64::from(u8::from(*state != fault_lab::kinds::State::First));
        lost[third] += f64::from(u8::from(state.is_lost()));
    }
    assert!(
        needed.iter().all(|needed| *needed > 500.0),
        "too little to tell: {needed:?}"
    );
    [0, 1, 2].map(|third| lost[third] / needed[third])
}

#[test]
fn bound_customers_are_found_and_held_while_a_keeper_is_killed_and_a_backend_cannot_be_reached() {
    let (summary, entries) = run("sessions-holding", "sessions = { pool = true }");
    assert!(
        kept(&summary, "verdicts") > 300,
        "verdicts looked at too little"
    );
    let breaks = breaks(&entries);
    assert!(
        breaks[2] < breaks[0] / 2.0,
        "bound customers' failures by thirds: {breaks:?}"
    );
    // It takes longer to find that one is free: of that there may be no verdict yet.
    for told in summary
        .figures
        .told
        .iter()
        .filter(|told| told.kind != Kind::Statement)
    {
        assert!(
            told.with_verdict > 0,
            "no verdict for any customer of one kind: {told:?}"
        );
        assert!(
            told.right > told.less + told.more,
            "most verdicts are right: {told:?}"
        );
    }
    assert_eq!(summary.figures.told.len(), 3, "{:?}", summary.figures.told);
}

#[test]
fn with_observing_alone_verdicts_are_told_and_no_connection_is_held() {
    let (observing, without) = thread::scope(|scope| {
        let observing = scope.spawn(|| run("sessions-observing", "sessions = { pool = false }"));
        let without = scope.spawn(|| run("sessions-without", ""));
        (
            observing.join().expect("it runs"),
            without.join().expect("it runs"),
        )
    });
    assert!(
        kept(&observing.0, "verdicts") > 300,
        "verdicts looked at too little"
    );
    let (breaks, plain) = (breaks(&observing.1), breaks(&without.1));
    assert!(
        breaks[2] > breaks[0] * 0.7,
        "nothing is held, and failures stay: {breaks:?}"
    );
    assert!(
        breaks[2] > plain[2] * 0.7,
        "as without the key: {breaks:?}, {plain:?}"
    );
    let open = |summary: &Summary| {
        summary
            .figures
            .bound
            .as_ref()
            .expect("some are bound")
            .connections_mean
    };
    let (open, plain) = (open(&observing.0), open(&without.0));
    assert!(
        open < plain * 1.5,
        "connections open: {open}, without the key {plain}"
    );
    let bound = observing
        .0
        .figures
        .told
        .iter()
        .filter(|told| told.kind != Kind::Statement);
    assert!(
        bound.clone().count() == 2 && bound.clone().all(|told| told.with_verdict > 0),
        "classified"
    );
}
