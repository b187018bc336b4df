//! Several gateway processes without a cluster (no key `fleet`), with process and link faults. The tests check
//! the record; time limits have wide margins.

mod stage;

use fault_lab::check::Summary;
use fault_lab::record::{Ending, Entry, Event, Life};
use stage::{assert_checks_pass, run_scenario, SMALL};

/// Runs the small scenario with these faults for `seconds`, and returns the summary of the checks and the record.
fn run_gateways(name: &str, seconds: u32, faults: &str) -> (Summary, Vec<Entry>) {
    let small = SMALL.replace("seconds = 5", &format!("seconds = {seconds}"));
    run_scenario(name, &(small + faults))
}

/// How many times a process entered this state.
fn process_event_count(entries: &[Entry], state: Life) -> usize {
    entries
        .iter()
        .filter(|entry| matches!(entry.event, Event::Door { life, .. } if life == state))
        .count()
}

/// Start and end time of the first fault.
fn fault_times(entries: &[Entry]) -> (u64, u64) {
    let mut times = entries
        .iter()
        .filter(|entry| matches!(entry.event, Event::Fault { .. }))
        .map(|entry| entry.us);
    (
        times.next().expect("the start of a fault"),
        times.next().expect("the end of a fault"),
    )
}

/// How many requests reached backends through this gateway between these times.
fn forwarded_request_count(entries: &[Entry], gateway: usize, (from, to): (u64, u64)) -> usize {
    let forwarded =
        |entry: &&Entry| matches!(entry.event, Event::Arrived { door, .. } if door == gateway);
    entries
        .iter()
        .filter(|entry| (from..to).contains(&entry.us))
        .filter(forwarded)
        .count()
}

#[test]
fn when_most_gateways_are_killed_the_others_lose_no_request_and_all_restart() {
    let (summary, entries) = run_gateways(
        "kill",
        8,
        "[[kill]]\nat_ms = 1500\ndoors = \"d0, d1, d2\"\nback_ms = 1000\n",
    );
    assert_checks_pass(&summary, "lost");
    assert_eq!(
        (
            process_event_count(&entries, Life::Killed),
            process_event_count(&entries, Life::Crashed)
        ),
        (3, 0)
    );
    assert_eq!(
        (
            process_event_count(&entries, Life::Started),
            process_event_count(&entries, Life::Ready)
        ),
        (7, 7)
    );
    let (_, restarted) = fault_times(&entries);
    for gateway in 0..3 {
        assert!(
            forwarded_request_count(&entries, gateway, (restarted, u64::MAX)) > 0,
            "d{gateway} serves again"
        );
    }
}

#[test]
fn a_gateway_stopped_for_longer_than_a_deadline_affects_no_other() {
    let (summary, entries) = run_gateways(
        "stall",
        9,
        "[[stop]]\nat_ms = 1500\ndoors = \"d1\"\nfor_ms = 5000\n",
    );
    let answers = assert_checks_pass(&summary, "answers");
    assert!(
        answers.excused > 0,
        "some of its requests timed out: {answers:?}"
    );
    let (begin, end) = fault_times(&entries);
    assert_eq!(
        forwarded_request_count(&entries, 1, (begin + 200_000, end)),
        0,
        "a stopped gateway forwards nothing"
    );
    assert!(
        forwarded_request_count(&entries, 1, (end, u64::MAX)) > 0,
        "the gateway serves again"
    );
}

#[test]
fn a_gateway_without_a_reachable_backend_answers_in_time_and_serves_after_the_links_heal() {
    let faults =
        "[[link]]\nat_ms = 1500\nfor_ms = 2500\nfrom = \"d2\"\nto = \"backends\"\ncut = true\n";
    let (summary, entries) = run_gateways("cut", 9, faults);
    assert_checks_pass(&summary, "answers");
    let (begin, end) = fault_times(&entries);
    assert_eq!(
        forwarded_request_count(&entries, 2, (begin + 100_000, end)),
        0,
        "nothing is forwarded over cut links"
    );
    assert!(
        forwarded_request_count(&entries, 2, (end, u64::MAX)) > 0,
        "the gateway serves again"
    );
    let ended = |gateway: usize, wanted: Ending| {
        let within = |entry: &&Entry| (begin..end).contains(&entry.us);
        let matching = |entry: &&Entry| matches!(entry.event, Event::Ended { door, ending, .. } if door == gateway && ending == wanted);
        entries.iter().filter(within).filter(matching).count()
    };
    assert!(
        ended(2, Ending::Refused) > 0,
        "a request that cannot be forwarded is rejected at once"
    );
    assert!(ended(1, Ending::Served) > 0, "other gateways serve");
}

#[test]
fn one_way_cuts_and_connection_resets_lose_and_duplicate_no_request() {
    let faults =
        "[[link]]\nat_ms = 1000\nfor_ms = 1500\nfrom = \"b0\"\nto = \"doors\"\nboth = false\ncut = true\n\
                  [[link]]\nat_ms = 3500\nfor_ms = 100\nfrom = \"doors\"\nto = \"backends\"\nreset = true\n";
    let (summary, _) = run_gateways("one-way", 6, faults);
    let duplicates = assert_checks_pass(&summary, "duplicates");
    assert!(duplicates.cases > 100, "{duplicates:?}");
}

#[test]
fn a_rolling_restart_during_late_endpoint_list_changes_loses_no_request() {
    let faults = "[[restart]]\nat_ms = 1000\ndoors = \"doors\"\nat_once = 1\nevery_ms = 1200\n\
                  [[backend]]\nat_ms = 1500\nfor_ms = 3000\nbackends = \"b1\"\nstate = \"draining\"\n\
                  [[call]]\nat_ms = 2000\ndoors = \"doors\"\nline = \"maint-on b2\"\n";
    let faults =
        faults.to_string() + "[[call]]\nat_ms = 4000\ndoors = \"d3\"\nline = \"maint-off b2\"\n";
    let (summary, entries) = run_gateways("rolling", 9, &faults);
    assert_checks_pass(&summary, "drains");
    assert_eq!(
        (
            process_event_count(&entries, Life::Terminated),
            process_event_count(&entries, Life::Ended)
        ),
        (4, 4)
    );
    assert_eq!(
        (
            process_event_count(&entries, Life::Started),
            process_event_count(&entries, Life::Crashed)
        ),
        (8, 0)
    );
    assert!(entries.iter().any(
        |entry| matches!(&entry.event, Event::Call { answer, .. } if answer.starts_with("done"))
    ));
}

#[test]
fn concurrent_runs_are_isolated() {
    let second = std::thread::spawn(|| run_gateways("beside-a", 4, ""));
    let (first, _) = run_gateways("beside-b", 4, "");
    let (second, _) = second.join().expect("the run does not panic");
    for summary in [first, second] {
        assert_checks_pass(&summary, "crashes");
        // Each backend received only what the clients of its own run sent.
        assert_checks_pass(&summary, "duplicates");
        assert!(summary.figures.served > 100, "{:?}", summary.figures);
    }
}
