//! Several processes of the program with faults between them. Verdicts come from the records; times are generous.

mod stage;

use fault_lab::check::Summary;
use fault_lab::record::{Ending, Entry, Event, Life};
use stage::{carry, kept, SMALL};

/// Runs the small fleet with these faults for so many seconds: what the checks find, and the record.
fn play(name: &str, seconds: u32, faults: &str) -> (Summary, Vec<Entry>) {
    let small = SMALL.replace("seconds = 5", &format!("seconds = {seconds}"));
    carry(name, &(small + faults))
}

fn lives(entries: &[Entry], wanted: Life) -> usize {
    entries
        .iter()
        .filter(|entry| matches!(entry.event, Event::Door { life, .. } if life == wanted))
        .count()
}

/// When a fault began and when it ended.
fn fault(entries: &[Entry]) -> (u64, u64) {
    let mut times = entries
        .iter()
        .filter(|entry| matches!(entry.event, Event::Fault { .. }))
        .map(|entry| entry.us);
    (
        times.next().expect("it began"),
        times.next().expect("it ended"),
    )
}

/// How many requests reached backends through this front door between these times.
fn sends(entries: &[Entry], of: usize, (from, to): (u64, u64)) -> usize {
    let sent = |entry: &&Entry| matches!(entry.event, Event::Arrived { door, .. } if door == of);
    entries
        .iter()
        .filter(|entry| (from..to).contains(&entry.us))
        .filter(sent)
        .count()
}

#[test]
fn when_most_doors_are_killed_the_others_lose_nothing_and_all_come_back() {
    let (summary, entries) = play(
        "kill",
        8,
        "[[kill]]\nat_ms = 1500\ndoors = \"d0, d1, d2\"\nback_ms = 1000\n",
    );
    kept(&summary, "lost");
    assert_eq!(
        (
            lives(&entries, Life::Killed),
            lives(&entries, Life::Crashed)
        ),
        (3, 0)
    );
    assert_eq!(
        (lives(&entries, Life::Started), lives(&entries, Life::Ready)),
        (7, 7)
    );
    let (_, back) = fault(&entries);
    for door in 0..3 {
        assert!(
            sends(&entries, door, (back, u64::MAX)) > 0,
            "d{door} serves again"
        );
    }
}

#[test]
fn a_door_that_stands_still_over_a_deadline_disturbs_no_other() {
    let (summary, entries) = play(
        "stall",
        9,
        "[[stop]]\nat_ms = 1500\ndoors = \"d1\"\nfor_ms = 5000\n",
    );
    let answers = kept(&summary, "answers");
    assert!(
        answers.excused > 0,
        "some of its requests ran out: {answers:?}"
    );
    let (begin, end) = fault(&entries);
    assert_eq!(
        sends(&entries, 1, (begin + 200_000, end)),
        0,
        "it stood still"
    );
    assert!(sends(&entries, 1, (end, u64::MAX)) > 0, "it goes on");
}

#[test]
fn a_door_without_any_backend_answers_in_time_and_serves_once_the_links_are_whole() {
    let faults =
        "[[link]]\nat_ms = 1500\nfor_ms = 2500\nfrom = \"d2\"\nto = \"backends\"\ncut = true\n";
    let (summary, entries) = play("cut", 9, faults);
    kept(&summary, "answers");
    let (begin, end) = fault(&entries);
    assert_eq!(
        sends(&entries, 2, (begin + 100_000, end)),
        0,
        "nothing passes"
    );
    assert!(sends(&entries, 2, (end, u64::MAX)) > 0, "it serves again");
    let ended = |of: usize, wanted: Ending| {
        let within = |entry: &&Entry| (begin..end).contains(&entry.us);
        let one = |entry: &&Entry| matches!(entry.event, Event::Ended { door, ending, .. } if door == of && ending == wanted);
        entries.iter().filter(within).filter(one).count()
    };
    assert!(
        ended(2, Ending::Refused) > 0,
        "what cannot be sent on is refused at once"
    );
    assert!(ended(1, Ending::Served) > 0, "others serve");
}

#[test]
fn a_link_cut_one_way_and_connections_that_are_reset_lose_and_double_nothing() {
    let faults =
        "[[link]]\nat_ms = 1000\nfor_ms = 1500\nfrom = \"b0\"\nto = \"doors\"\nboth = false\ncut = true\n\
                  [[link]]\nat_ms = 3500\nfor_ms = 100\nfrom = \"doors\"\nto = \"backends\"\nreset = true\n";
    let (summary, _) = play("one-way", 6, faults);
    let doubles = kept(&summary, "duplicates");
    assert!(doubles.cases > 100, "{doubles:?}");
}

#[test]
fn a_rolling_restart_and_changes_of_the_list_that_come_late_break_nothing() {
    let faults = "[[restart]]\nat_ms = 1000\ndoors = \"doors\"\nat_once = 1\nevery_ms = 1200\n\
                  [[backend]]\nat_ms = 1500\nfor_ms = 3000\nbackends = \"b1\"\nstate = \"draining\"\n\
                  [[call]]\nat_ms = 2000\ndoors = \"doors\"\nline = \"maint-on b2\"\n";
    let faults =
        faults.to_string() + "[[call]]\nat_ms = 4000\ndoors = \"d3\"\nline = \"maint-off b2\"\n";
    let (summary, entries) = play("rolling", 9, &faults);
    kept(&summary, "drains");
    assert_eq!(
        (
            lives(&entries, Life::Terminated),
            lives(&entries, Life::Ended)
        ),
        (4, 4)
    );
    assert_eq!(
        (
            lives(&entries, Life::Started),
            lives(&entries, Life::Crashed)
        ),
        (8, 0)
    );
    assert!(entries.iter().any(
        |entry| matches!(&entry.event, Event::Call { answer, .. } if answer.starts_with("done"))
    ));
}

#[test]
fn two_runs_at_once_do_not_meet() {
    let other = std::thread::spawn(|| play("beside-a", 4, ""));
    let (one, _) = play("beside-b", 4, "");
    let (other, _) = other.join().expect("it runs");
    for summary in [one, other] {
        kept(&summary, "crashes");
        // Each backend saw what its own run's clients sent and nothing else.
        kept(&summary, "duplicates");
        assert!(summary.figures.served > 100, "{:?}", summary.figures);
    }
}
