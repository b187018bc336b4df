//! The view of the fleet in several processes, over relays on every directed link, with clients' traffic on. What is
//! judged is what each process told in its life; times are generous, as a busy machine is no fault of the program.

mod stage;

use fault_lab::record::{Entry, Event, View};
use fault_lab::scripted::{closed_port, config, list, target, unused_port, Front, Peer, Program};
use serde_json::json;
use stage::{carry, kept, SMALL};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

const PROGRAM: Program = Program {
    path: env!("CARGO_BIN_EXE_quota-gateway"),
    folder: env!("CARGO_TARGET_TMPDIR"),
};
const SECOND: u64 = 1_000_000;

/// Runs so many front doors that keep a view.
fn run(
    name: &str,
    doors: usize,
    seconds: u32,
    faults: &str,
) -> (fault_lab::check::Summary, Vec<Entry>) {
    let text = SMALL.replace("seconds = 5", &format!("seconds = {seconds}"));
    let text = text.replace("doors = 4", &format!("doors = {doors}\nview = true"));
    carry(name, &(text + faults))
}

/// The views that front doors told between these times.
fn views(entries: &[Entry], from: u64, to: u64) -> Vec<(usize, &View)> {
    let within = entries
        .iter()
        .filter(|entry| (from..to).contains(&entry.us));
    within
        .filter_map(|entry| match &entry.event {
            Event::View { door, view } => Some((*door, view)),
            _ => None,
        })
        .collect()
}

/// When the faults began and ended, in order.
fn moments(entries: &[Entry]) -> Vec<u64> {
    entries
        .iter()
        .filter(|entry| matches!(entry.event, Event::Fault { .. }))
        .map(|entry| entry.us)
        .collect()
}

fn names(numbers: &[usize]) -> Vec<String> {
    let mut names: Vec<String> = numbers.iter().map(|number| format!("n{number}")).collect();
    names.sort();
    names
}

/// Each of these front doors told a view between these times, and its last one holds exactly those for gone.
fn settled(entries: &[Entry], (from, to): (u64, u64), doors: &[usize], gone: &[usize]) {
    let told = views(entries, from, to);
    let mut digests = Vec::new();
    for door in doors {
        let last = told.iter().rev().find(|(of, _)| of == door);
        let (_, view) = last.unwrap_or_else(|| panic!("d{door} told no view"));
        assert_eq!(
            (&view.dead, &view.suspect),
            (&names(gone), &vec![]),
            "d{door}: {view:?}"
        );
        digests.push(&view.digest);
    }
    assert!(
        digests.iter().all(|digest| *digest == digests[0]),
        "{digests:?}"
    );
}

/// No view told between these times holds any but those for gone.
fn never_gone(entries: &[Entry], (from, to): (u64, u64), but: &[usize]) {
    for (door, view) in views(entries, from, to) {
        let wrong: Vec<&String> = view
            .dead
            .iter()
            .filter(|name| !names(but).contains(name))
            .collect();
        assert!(wrong.is_empty(), "d{door}: {view:?}");
    }
}

#[test]
fn doors_that_are_killed_are_gone_in_every_view_and_come_back_in_a_new_life() {
    let (summary, entries) = run(
        "view-kill",
        7,
        18,
        "[[kill]]\nat_ms = 2000\ndoors = \"d1, d2\"\nback_ms = 8000\n",
    );
    kept(&summary, "lost");
    let [killed, back] = moments(&entries)[..] else {
        panic!("one fault")
    };
    never_gone(&entries, (0, u64::MAX), &[1, 2]);
    settled(&entries, (back - SECOND, back), &[0, 3, 4, 5, 6], &[1, 2]);
    settled(
        &entries,
        (back + 6 * SECOND, u64::MAX),
        &[0, 1, 2, 3, 4, 5, 6],
        &[],
    );
    let side = |from, to| {
        views(&entries, from, to)
            .last()
            .map(|(_, view)| view.side.clone())
    };
    assert_eq!(side(0, killed).as_deref(), Some("whole"));
    assert_eq!(side(killed, back).as_deref(), Some("majority"));
    // What a process says to the others is bounded, whatever happens: 100 messages and 15,000 bytes in ten seconds.
    for (door, view) in views(&entries, 0, u64::MAX) {
        assert!(
            view.sent.messages <= 300 && view.sent.bytes <= 45_000,
            "d{door}: {:?}",
            view.sent
        );
    }
}

#[test]
fn a_door_that_stood_still_holds_nobody_for_gone_when_it_wakes() {
    // It is stopped while it doubts one that was killed, and wakes when that is back: the verdict is long overdue.
    let faults = "[[kill]]\nat_ms = 2000\ndoors = \"d1\"\nback_ms = 5000\n\
                  [[stop]]\nat_ms = 4200\ndoors = \"d3\"\nfor_ms = 8000\n";
    let (_, entries) = run("view-stall", 7, 20, faults);
    let [_, stopped, back, woke] = moments(&entries)[..] else {
        panic!("two faults")
    };
    assert!(stopped < back && back + 4 * SECOND < woke);
    settled(&entries, (woke - SECOND, woke), &[0, 1, 2, 4, 5, 6], &[3]);
    never_gone(&entries, (0, u64::MAX), &[1, 3]);
    // Its log has each change, also those between two answers.
    let log = stage::folder_of("view-stall").join("d3").join("log.txt");
    let log = std::fs::read_to_string(log).expect("it has a log");
    assert!(!log.contains(" to dead: "), "{log}");
    let own = views(&entries, woke, u64::MAX)
        .iter()
        .filter(|(door, _)| *door == 3)
        .count();
    assert!(own > 0, "it told its view");
    settled(
        &entries,
        (woke + 6 * SECOND, u64::MAX),
        &[0, 1, 2, 3, 4, 5, 6],
        &[],
    );
}

#[test]
fn both_parts_of_a_partition_know_their_side_and_settle_when_it_heals() {
    let faults =
        "[[link]]\nat_ms = 2000\nfor_ms = 18000\nfrom = \"d0, d1, d2\"\nto = \"d3, d4, d5, d6\"\ncut = true\n";
    let (_, entries) = run("view-split", 7, 28, faults);
    let [_, healed] = moments(&entries)[..] else {
        panic!("one fault")
    };
    settled(
        &entries,
        (healed - SECOND, healed),
        &[0, 1, 2],
        &[3, 4, 5, 6],
    );
    settled(
        &entries,
        (healed - SECOND, healed),
        &[3, 4, 5, 6],
        &[0, 1, 2],
    );
    for (door, view) in views(&entries, healed - SECOND, healed) {
        assert_eq!(
            view.side,
            if door < 3 { "minority" } else { "majority" },
            "d{door}"
        );
    }
    settled(
        &entries,
        (healed + 6 * SECOND, u64::MAX),
        &[0, 1, 2, 3, 4, 5, 6],
        &[],
    );
}

#[test]
fn one_door_that_is_cut_off_knows_that_it_is_alone() {
    let faults =
        "[[link]]\nat_ms = 2000\nfor_ms = 9000\nfrom = \"d0\"\nto = \"d1, d2, d3, d4, d5, d6\"\ncut = true\n";
    let (_, entries) = run("view-alone", 7, 19, faults);
    let [_, healed] = moments(&entries)[..] else {
        panic!("one fault")
    };
    settled(
        &entries,
        (healed - SECOND, healed),
        &[0],
        &[1, 2, 3, 4, 5, 6],
    );
    for (door, view) in views(&entries, healed - SECOND, healed) {
        assert_eq!(
            view.side,
            if door == 0 { "alone" } else { "majority" },
            "d{door}"
        );
    }
    settled(
        &entries,
        (healed + 6 * SECOND, u64::MAX),
        &[0, 1, 2, 3, 4, 5, 6],
        &[],
    );
}

#[test]
fn one_way_links_and_a_fifth_of_loss_hold_nobody_for_gone() {
    let faults = "[[link]]\nat_ms = 2000\nfor_ms = 10000\nfrom = \"d0\"\nto = \"d1\"\nboth = false\ncut = true\n\
                  [[link]]\nat_ms = 2000\nfor_ms = 10000\nfrom = \"d2\"\nto = \"d3\"\nboth = false\ncut = true\n\
                  [[link]]\nat_ms = 2000\nfor_ms = 10000\nfrom = \"d4, d5, d6\"\nto = \"d4, d5, d6, d7\"\n\
                  loss = 0.2\njitter_ms = 20\ndouble = 0.1\nreorder = 0.1\n";
    let (_, entries) = run("view-one-way", 8, 17, faults);
    never_gone(&entries, (0, u64::MAX), &[]);
    // Who does not hear an answer has others ask: there is no doubt, and nobody is told of one.
    for (door, view) in views(&entries, 0, u64::MAX) {
        assert!(
            !view.suspect.contains(&"n0".to_string()),
            "d{door}: {view:?}"
        );
        assert!(
            !view.suspect.contains(&"n2".to_string()),
            "d{door}: {view:?}"
        );
    }
    let end = moments(&entries).into_iter().max().expect("faults");
    settled(
        &entries,
        (end + SECOND, u64::MAX),
        &[0, 1, 2, 3, 4, 5, 6, 7],
        &[],
    );
}

#[test]
fn two_halves_of_twenty_four_that_one_door_joins_settle_when_the_links_are_whole() {
    let group = |from: usize, to: usize| {
        (from..to)
            .map(|door| format!("d{door}"))
            .collect::<Vec<String>>()
            .join(", ")
    };
    let (one, other) = (group(0, 11), group(12, 24));
    let faults = format!(
        "[[link]]\nat_ms = 3000\nfor_ms = 9000\nfrom = \"{one}\"\nto = \"{other}\"\ncut = true\n"
    );
    let (_, entries) = run("view-bridge", 24, 24, &faults);
    let [_, healed] = moments(&entries)[..] else {
        panic!("one fault")
    };
    // The one in the middle hears all.
    let middle = views(&entries, 0, u64::MAX)
        .into_iter()
        .filter(|(door, _)| *door == 11)
        .count();
    assert!(middle > 0);
    let all: Vec<usize> = (0..24).collect();
    settled(&entries, (healed + 9 * SECOND, u64::MAX), &all, &[]);
}

#[test]
fn doors_that_are_told_to_end_say_so_and_are_never_doubted() {
    let faults =
        "[[restart]]\nat_ms = 2000\ndoors = \"d0, d1, d2\"\nat_once = 1\nevery_ms = 3500\n";
    let (summary, entries) = run("view-leaving", 5, 17, faults);
    kept(&summary, "lost");
    let mut seen = Vec::new();
    for (door, view) in views(&entries, 0, u64::MAX) {
        assert_eq!(view.suspect, Vec::<String>::new(), "d{door}: {view:?}");
        seen.extend(view.dead.clone());
    }
    seen.sort();
    seen.dedup();
    assert_eq!(
        seen,
        names(&[0, 1, 2]),
        "each was gone for a while, and no other"
    );
    let last = entries.last().map_or(0, |entry| entry.us);
    settled(
        &entries,
        (last - 2 * SECOND, u64::MAX),
        &[0, 1, 2, 3, 4],
        &[],
    );
}

#[test]
fn a_roster_that_shrinks_and_grows_while_all_run_is_agreed_on() {
    let faults =
        "[[roster]]\nat_ms = 2000\ndoors = \"d0, d1, d2, d3\"\nmembers = \"d0, d1, d2, d3\"\n\
                  [[roster]]\nat_ms = 8000\ndoors = \"d0, d1, d2, d3\"\nmembers = \"doors\"\n";
    let (_, entries) = run("view-roster", 5, 15, faults);
    let [told, again] = moments(&entries)[..] else {
        panic!("two changes")
    };
    // The one that went is not told, and talks on: nobody counts it.
    for (door, view) in views(&entries, told + 3 * SECOND, again) {
        let all = [view.alive.clone(), view.suspect.clone(), view.dead.clone()].concat();
        assert!(
            door == 4 || view.roster == 4 && !all.contains(&"n4".to_string()),
            "d{door}: {view:?}"
        );
    }
    settled(&entries, (told + 3 * SECOND, again), &[0, 1, 2, 3], &[]);
    settled(
        &entries,
        (again + 5 * SECOND, u64::MAX),
        &[0, 1, 2, 3, 4],
        &[],
    );
    assert!(views(&entries, again + 5 * SECOND, u64::MAX)
        .iter()
        .all(|(_, view)| view.roster == 5));
}

/// Two front doors that know each other, as configurations.
fn two() -> [serde_json::Value; 2] {
    let port = |config: &serde_json::Value| {
        let at: SocketAddr = config["listen"]
            .as_str()
            .expect("text")
            .parse()
            .expect("an address");
        SocketAddr::from((at.ip(), unused_port())).to_string()
    };
    // A backend that takes connections, as a process takes over once it has one.
    let backend = target("s-00000000", Peer::start().address, "ready");
    let mut both = [0, 1].map(|_| config(closed_port(), list(std::slice::from_ref(&backend))));
    let ports = [port(&both[0]), port(&both[1])];
    for (n, config) in both.iter_mut().enumerate() {
        config["name"] = json!(format!("n{n}"));
        let peer = json!({"name": format!("n{}", 1 - n), "address": ports[1 - n]});
        config["fleet"] = json!({"listen": ports[n], "peers": [peer], "probe_ms": 200});
    }
    both
}

/// The answer to the call `fleet`, if it is one.
fn told(front: &Front) -> Option<serde_json::Value> {
    serde_json::from_str(front.call("fleet").lines().next()?).ok()
}

fn view(front: &Front) -> Option<View> {
    serde_json::from_value(told(front)?).ok()
}

/// Waits until a front door's view is like this.
fn until(front: &Front, what: &str, like: impl Fn(&View) -> bool) {
    let begin = Instant::now();
    while !view(front).is_some_and(|view| like(&view)) {
        assert!(
            begin.elapsed() < Duration::from_secs(20),
            "{what}: {}",
            front.call("fleet")
        );
        sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_name_never_looks_gone_while_a_second_process_takes_over() {
    let [one, other] = two();
    let (one, other) = (PROGRAM.start(&one), PROGRAM.start(&other));
    until(&other, "both live", |view| view.side == "whole");
    let first = view(&one).expect("a view").digest;
    let incarnation = |front: &Front| told(front)?["incarnation"].as_u64();
    let before = incarnation(&one).expect("one");
    let never_gone = || {
        let view = view(&other).expect("a view");
        assert_eq!((view.dead.len(), view.suspect.len()), (0, 0), "{view:?}");
        sleep(Duration::from_millis(10));
    };
    // Processes end with the thread that starts them: another one looks on meanwhile.
    let taken_over = AtomicBool::new(false);
    let second = std::thread::scope(|scope| {
        scope.spawn(|| {
            while !taken_over.load(Ordering::Relaxed) {
                never_gone();
            }
        });
        let second = one.successor();
        taken_over.store(true, Ordering::Relaxed);
        second
    });
    let begin = Instant::now();
    while incarnation(&second).is_none_or(|now| now <= before) {
        never_gone();
        assert!(
            begin.elapsed() < Duration::from_secs(10),
            "{}",
            second.call("fleet")
        );
    }
    // Long enough for a doubt, had the name been silent meanwhile.
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(2) {
        never_gone();
    }
    until(&second, "the new life sees both", |view| {
        view.side == "whole" && view.digest == first
    });
    one.terminate();
    sleep(Duration::from_secs(2));
    until(&other, "still both", |view| {
        view.side == "whole" && view.suspect.is_empty()
    });
}

#[test]
fn a_port_that_is_taken_keeps_nobody_from_serving_and_is_tried_again() {
    let [one, other] = two();
    let at = one["fleet"]["listen"].as_str().expect("text").to_string();
    let taken = UdpSocket::bind(&at).expect("it is free");
    let one = PROGRAM.start(&one);
    let answer = one.call("fleet");
    assert!(
        answer.starts_with(&format!("error the cluster node is not running yet: {at} cannot be opened; ")),
        "{answer}"
    );
    assert!(one.call("stats").ends_with("end\n"), "it serves");
    drop(taken);
    until(&one, "the port is free", |view| view.roster == 2);
    // What is no datagram of the fleet, or of no name in it, is counted and changes nothing.
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a port");
    for bytes in [&b""[..], b"\x01", b"hello", &[1; 1400], &[0; 1500]] {
        stranger.send_to(bytes, &at).expect("it goes out");
    }
    let begin = Instant::now();
    let malformed = || {
        told(&one).expect("a view")["dropped"]["malformed"]
            .as_u64()
            .expect("a count")
    };
    while malformed() < 5 {
        assert!(
            begin.elapsed() < Duration::from_secs(10),
            "{} were counted",
            malformed()
        );
        sleep(Duration::from_millis(20));
    }
    let other = PROGRAM.start(&other);
    until(&other, "they find each other", |view| {
        view.side == "whole" && view.suspect.is_empty()
    });
    until(&one, "they find each other", |view| {
        view.side == "whole" && view.suspect.is_empty()
    });
}

#[test]
fn a_roster_that_makes_no_sense_ends_a_start_and_leaves_a_running_one_as_it_was() {
    let [mut one, _] = two();
    let good = one.clone();
    let front = PROGRAM.start(&good);
    until(&front, "its view", |view| view.roster == 2);
    one["fleet"]["peers"][0]["name"] = json!("n0");
    let file = PROGRAM.write(&one);
    let output = PROGRAM
        .spawn(&file, std::process::Stdio::piped())
        .wait_with_output()
        .expect("it ends");
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    assert!(
        said.starts_with("quota-gateway: fleet.peers[n0]: this is the gateway's own name; "),
        "{said}"
    );
    assert_eq!(said.lines().count(), 1, "{said}");
    let reloads = front.stats()["reloads_failed"].as_u64();
    front.replace_config(&one.to_string());
    let begin = Instant::now();
    while front.stats()["reloads_failed"].as_u64() == reloads {
        assert!(
            begin.elapsed() < Duration::from_secs(10),
            "{}",
            front.stats()
        );
        sleep(Duration::from_millis(20));
    }
    assert!(view(&front).is_some_and(|view| view.roster == 2));
    let plain = PROGRAM.start(&config(closed_port(), list(&[])));
    for (call, problem) in [
        ("fleet", "the configuration has no key 'fleet'"),
        (
            "owner",
            "no owner here: the configuration has no fleet.lease_ms",
        ),
        (
            "shards",
            "no shards here: the configuration has no fleet.shards",
        ),
        (
            "session 00000000b4d65521",
            "no sessions here: the configuration has no fleet.sessions",
        ),
    ] {
        let answer = plain.call(call);
        assert!(
            answer.starts_with(&format!("error {problem}; ")),
            "{answer}"
        );
        assert_eq!(answer.lines().count(), 1, "{answer}");
    }
}

#[test]
fn a_flood_of_datagrams_is_read_no_faster_than_stated() {
    let [one, _] = two();
    let at = one["fleet"]["listen"].as_str().expect("text").to_string();
    let front = PROGRAM.start(&one);
    until(&front, "its view", |view| view.roster == 2);
    let begin = Instant::now();
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a port");
    for _ in 0..50_000 {
        // What the system has no room for is lost, as anywhere on the way.
        let _ = stranger.send_to(&[1; 100], &at);
    }
    assert!(
        front.call("stats").ends_with("end\n"),
        "it answers meanwhile"
    );
    let read = told(&front).expect("a view")["received"]["messages"]
        .as_u64()
        .expect("a count");
    // 400 at once, 1,000 a second, and what was read before.
    let most = 500 + (begin.elapsed().as_secs_f64() * 1000.0) as u64;
    assert!(
        read > 100 && read <= most,
        "{read} were read, {most} at most"
    );
}
