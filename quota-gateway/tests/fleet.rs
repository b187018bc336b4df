//! Several gateway processes without a cluster (no key `fleet`), with faults of processes and links. The tests judge the
//! record; time limits have wide margins.

mod stage;

use fault_lab::check::Summary;
use fault_lab::record::{Ending, Entry, Event, Life};
use stage::{assert_checks_pass, run_scenario, SMALL};

/// Runs the small scenario with these faults for so many seconds, and returns the findings of the checks and the record.
fn run(name: &str, seconds: u32, faults: &str) -> (Summary, Vec<Entry>) {
    let small = SMALL.replace("seconds = 5", &format!("seconds = {seconds}"));
    run_scenario(name, &(small + faults))
}

/// How many times a process entered this state.
fn process_events(entries: &[Entry], wanted: Life) -> usize {
    entries
        .iter()
        .filter(|entry| matches!(entry.event, Event::Door { life, .. } if life == wanted))
        .count()
}

/// Start and end time of the first fault.
fn fault_times(entries: &[Entry]) -> (u64, u64) {
    let mut times = entries
        .iter()
        .filter(|entry| matches!(entry.event, Event::Fault { .. }))
        .map(|entry| entry.us);
    (
        times.next().expect("it began"),
        times.next().expect("it ended"),
    )
}

/// How many requests reached backends through this gateway between these times.
fn requests_sent(entries: &[Entry], of: usize, (from, to): (u64, u64)) -> usize {
    let sent = |entry: &&Entry| matches!(entry.event, Event::Arrived { door, .. } if door == of);
    entries
        .iter()
        .filter(|entry| (from..to).contains(&entry.us))
        .filter(sent)
        .count()
}

#[test]
fn when_most_gateways_are_killed_the_others_lose_no_request_and_all_restart() {
    let (summary, entries) = run(
        "kill",
        8,
        "[[kill]]\nat_ms = 1500\ndoors = \"d0, d1, d2\"\nback_ms = 1000\n",
    );
    assert_checks_pass(&summary, "lost");
    assert_eq!(
        (
            process_events(&entries, Life::Killed),
            process_events(&entries, Life::Crashed)
        ),
        (3, 0)
    );
    assert_eq!(
        (
            process_events(&entries, Life::Started),
            process_events(&entries, Life::Ready)
        ),
        (7, 7)
    );
    let (_, back) = fault_times(&entries);
    for gateway in 0..3 {
        assert!(
            requests_sent(&entries, gateway, (back, u64::MAX)) > 0,
            "d{gateway} serves again"
        );
    }
}

#[test]
fn a_gateway_stopped_for_longer_than_a_deadline_affects_no_other() {
    let (summary, entries) = run(
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
        requests_sent(&entries, 1, (begin + 200_000, end)),
        0,
        "it was stopped"
    );
    assert!(
        requests_sent(&entries, 1, (end, u64::MAX)) > 0,
        "it serves again"
    );
}

#[test]
fn a_gateway_without_a_reachable_backend_answers_in_time_and_serves_after_the_links_heal() {
    let faults =
        "[[link]]\nat_ms = 1500\nfor_ms = 2500\nfrom = \"d2\"\nto = \"backends\"\ncut = true\n";
    let (summary, entries) = run("cut", 9, faults);
    assert_checks_pass(&summary, "answers");
    let (begin, end) = fault_times(&entries);
    assert_eq!(
        requests_sent(&entries, 2, (begin + 100_000, end)),
        0,
        "nothing passes"
    );
    assert!(
        requests_sent(&entries, 2, (end, u64::MAX)) > 0,
        "it serves again"
    );
    let ended = |of: usize, wanted: Ending| {
        let within = |entry: &&Entry| (begin..end).contains(&entry.us);
        let one = |entry: &&Entry| matches!(entry.event, Event::Ended { door, ending, .. } if door == of && ending == wanted);
        entries.iter().filter(within).filter(one).count()
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
    let (summary, _) = run("one-way", 6, faults);
    let doubles = assert_checks_pass(&summary, "duplicates");
    assert!(doubles.cases > 100, "{doubles:?}");
}

#[test]
fn a_rolling_restart_during_late_endpoint_list_changes_loses_no_request() {
    let faults = "[[restart]]\nat_ms = 1000\ndoors = \"doors\"\nat_once = 1\nevery_ms = 1200\n\
                  [[backend]]\nat_ms = 1500\nfor_ms = 3000\nbackends = \"b1\"\nstate = \"draining\"\n\
                  [[call]]\nat_ms = 2000\ndoors = \"doors\"\nline = \"maint-on b2\"\n";
    let faults =
        faults.to_string() + "[[call]]\nat_ms = 4000\ndoors = \"d3\"\nline = \"maint-off b2\"\n";
    let (summary, entries) = run("rolling", 9, &faults);
    assert_checks_pass(&summary, "drains");
    assert_eq!(
        (
            process_events(&entries, Life::Terminated),
            process_events(&entries, Life::Ended)
        ),
        (4, 4)
    );
    assert_eq!(
        (
            process_events(&entries, Life::Started),
            process_events(&entries, Life::Crashed)
        ),
        (8, 0)
    );
    assert!(entries.iter().any(
        |entry| matches!(&entry.event, Event::Call { answer, .. } if answer.starts_with("done"))
    ));
}

#[test]
fn two_runs_at_once_do_not_meet() {
    let other = std::thread::spawn(|| run("beside-a", 4, ""));
    let (one, _) = run("beside-b", 4, "");
    let (other, _) = other.join().expect("it runs");
    for summary in [one, other] {
        assert_checks_pass(&summary, "crashes");
        // Each backend received only what the clients of its own run sent.
        assert_checks_pass(&summary, "duplicates");
        assert!(summary.figures.served > 100, "{:?}", summary.figures);
    }
}
