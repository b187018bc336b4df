//! Membership in several gateway processes, with a relay on every directed link and with client traffic.
//!
//! The tests judge the recorded answers of each process to the call `fleet`. Time limits have wide margins, because a
//! busy machine must not fail them.

mod stage;

use fault_lab::record::{Entry, Event, View};
use fault_lab::scripted::{closed_port, config, list, target, unused_port, Front, Peer, Program};
use serde_json::json;
use stage::{assert_checks_pass, run_scenario, SMALL};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

const PROGRAM: Program = Program {
    path: env!("CARGO_BIN_EXE_quota-gateway"),
    folder: env!("CARGO_TARGET_TMPDIR"),
};
const SECOND: u64 = 1_000_000;

/// Runs this number of gateways with membership and without a leader.
fn run(
    name: &str,
    gateways: usize,
    seconds: u32,
    faults: &str,
) -> (fault_lab::check::Summary, Vec<Entry>) {
    let text = SMALL.replace("seconds = 5", &format!("seconds = {seconds}"));
    let text = text.replace("doors = 4", &format!("doors = {gateways}\nview = true"));
    run_scenario(name, &(text + faults))
}

/// The recorded answers to the call `fleet` between these times, with the number of the gateway.
fn views(entries: &[Entry], from: u64, to: u64) -> Vec<(usize, &View)> {
    let within = entries
        .iter()
        .filter(|entry| (from..to).contains(&entry.us));
    within
        .filter_map(|entry| match &entry.event {
            Event::View {
                door: gateway,
                view,
            } => Some((*gateway, view)),
            _ => None,
        })
        .collect()
}

/// Start and end times of the faults, in order.
fn fault_times(entries: &[Entry]) -> Vec<u64> {
    entries
        .iter()
        .filter(|entry| matches!(entry.event, Event::Fault { .. }))
        .map(|entry| entry.us)
        .collect()
}

/// The names of gateways, in order.
fn names(numbers: &[usize]) -> Vec<String> {
    let mut names: Vec<String> = numbers.iter().map(|number| format!("n{number}")).collect();
    names.sort();
    names
}

/// Checks the last answer of each of these gateways between these times: exactly `dead` are dead, none is suspect, and
/// all digests are equal.
fn assert_agreed(entries: &[Entry], (from, to): (u64, u64), gateways: &[usize], dead: &[usize]) {
    let answers = views(entries, from, to);
    let mut digests = Vec::new();
    for gateway in gateways {
        let last = answers.iter().rev().find(|(of, _)| of == gateway);
        let (_, view) = last.unwrap_or_else(|| panic!("d{gateway} gave no answer"));
        assert_eq!(
            (&view.dead, &view.suspect),
            (&names(dead), &vec![]),
            "d{gateway}: {view:?}"
        );
        digests.push(&view.digest);
    }
    assert!(
        digests.iter().all(|digest| *digest == digests[0]),
        "{digests:?}"
    );
}

/// Checks that no answer between these times has another gateway than `except` as dead.
fn assert_never_dead(entries: &[Entry], (from, to): (u64, u64), except: &[usize]) {
    for (gateway, view) in views(entries, from, to) {
        let wrong: Vec<&String> = view
            .dead
            .iter()
            .filter(|name| !names(except).contains(name))
            .collect();
        assert!(wrong.is_empty(), "d{gateway}: {view:?}");
    }
}

#[test]
fn killed_gateways_are_dead_in_every_view_and_return_with_a_new_incarnation() {
    let (summary, entries) = run(
        "view-kill",
        7,
        18,
        "[[kill]]\nat_ms = 2000\ndoors = \"d1, d2\"\nback_ms = 8000\n",
    );
    assert_checks_pass(&summary, "lost");
    let [killed, back] = fault_times(&entries)[..] else {
        panic!("one fault")
    };
    assert_never_dead(&entries, (0, u64::MAX), &[1, 2]);
    assert_agreed(&entries, (back - SECOND, back), &[0, 3, 4, 5, 6], &[1, 2]);
    assert_agreed(
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
    // What a process sends is bounded at all times: 100 datagrams and 15,000 bytes in ten seconds.
    for (gateway, view) in views(&entries, 0, u64::MAX) {
        assert!(
            view.sent.messages <= 300 && view.sent.bytes <= 45_000,
            "d{gateway}: {:?}",
            view.sent
        );
    }
}

#[test]
fn a_gateway_that_was_stopped_declares_no_peer_dead_when_it_resumes() {
    // d3 is stopped while it suspects the killed d1, and resumes after d1 is back, when the suspicion is overdue.
    let faults = "[[kill]]\nat_ms = 2000\ndoors = \"d1\"\nback_ms = 5000\n\
                  [[stop]]\nat_ms = 4200\ndoors = \"d3\"\nfor_ms = 8000\n";
    let (_, entries) = run("view-stall", 7, 20, faults);
    let [_, stopped, back, resumed] = fault_times(&entries)[..] else {
        panic!("two faults")
    };
    assert!(stopped < back && back + 4 * SECOND < resumed);
    assert_agreed(
        &entries,
        (resumed - SECOND, resumed),
        &[0, 1, 2, 4, 5, 6],
        &[3],
    );
    assert_never_dead(&entries, (0, u64::MAX), &[1, 3]);
    // The log has each state change, also those between two answers.
    let log = stage::run_directory("view-stall")
        .join("d3")
        .join("log.txt");
    let log = std::fs::read_to_string(log).expect("a log");
    assert!(!log.contains(" to dead: "), "{log}");
    let own = views(&entries, resumed, u64::MAX)
        .iter()
        .filter(|(gateway, _)| *gateway == 3)
        .count();
    assert!(own > 0, "it answered after it resumed");
    assert_agreed(
        &entries,
        (resumed + 6 * SECOND, u64::MAX),
        &[0, 1, 2, 3, 4, 5, 6],
        &[],
    );
}

#[test]
fn both_sides_of_a_partition_know_their_side_and_agree_after_it_heals() {
    let faults =
        "[[link]]\nat_ms = 2000\nfor_ms = 18000\nfrom = \"d0, d1, d2\"\nto = \"d3, d4, d5, d6\"\ncut = true\n";
    let (_, entries) = run("view-split", 7, 28, faults);
    let [_, healed] = fault_times(&entries)[..] else {
        panic!("one fault")
    };
    assert_agreed(
        &entries,
        (healed - SECOND, healed),
        &[0, 1, 2],
        &[3, 4, 5, 6],
    );
    assert_agreed(
        &entries,
        (healed - SECOND, healed),
        &[3, 4, 5, 6],
        &[0, 1, 2],
    );
    for (gateway, view) in views(&entries, healed - SECOND, healed) {
        assert_eq!(
            view.side,
            if gateway < 3 { "minority" } else { "majority" },
            "d{gateway}"
        );
    }
    assert_agreed(
        &entries,
        (healed + 6 * SECOND, u64::MAX),
        &[0, 1, 2, 3, 4, 5, 6],
        &[],
    );
}

#[test]
fn an_isolated_gateway_knows_that_it_is_alone() {
    let faults =
        "[[link]]\nat_ms = 2000\nfor_ms = 9000\nfrom = \"d0\"\nto = \"d1, d2, d3, d4, d5, d6\"\ncut = true\n";
    let (_, entries) = run("view-alone", 7, 19, faults);
    let [_, healed] = fault_times(&entries)[..] else {
        panic!("one fault")
    };
    assert_agreed(
        &entries,
        (healed - SECOND, healed),
        &[0],
        &[1, 2, 3, 4, 5, 6],
    );
    for (gateway, view) in views(&entries, healed - SECOND, healed) {
        assert_eq!(
            view.side,
            if gateway == 0 { "alone" } else { "majority" },
            "d{gateway}"
        );
    }
    assert_agreed(
        &entries,
        (healed + 6 * SECOND, u64::MAX),
        &[0, 1, 2, 3, 4, 5, 6],
        &[],
    );
}

#[test]
fn one_way_links_and_twenty_percent_loss_make_no_gateway_dead() {
    let faults = "[[link]]\nat_ms = 2000\nfor_ms = 10000\nfrom = \"d0\"\nto = \"d1\"\nboth = false\ncut = true\n\
                  [[link]]\nat_ms = 2000\nfor_ms = 10000\nfrom = \"d2\"\nto = \"d3\"\nboth = false\ncut = true\n\
                  [[link]]\nat_ms = 2000\nfor_ms = 10000\nfrom = \"d4, d5, d6\"\nto = \"d4, d5, d6, d7\"\n\
                  loss = 0.2\njitter_ms = 20\ndouble = 0.1\nreorder = 0.1\n";
    let (_, entries) = run("view-one-way", 8, 17, faults);
    assert_never_dead(&entries, (0, u64::MAX), &[]);
    // Where an answer is lost, indirect health checks succeed: no gateway becomes suspect.
    for (gateway, view) in views(&entries, 0, u64::MAX) {
        assert!(
            !view.suspect.contains(&"n0".to_string()),
            "d{gateway}: {view:?}"
        );
        assert!(
            !view.suspect.contains(&"n2".to_string()),
            "d{gateway}: {view:?}"
        );
    }
    let end = fault_times(&entries).into_iter().max().expect("faults");
    assert_agreed(
        &entries,
        (end + SECOND, u64::MAX),
        &[0, 1, 2, 3, 4, 5, 6, 7],
        &[],
    );
}

#[test]
fn two_halves_of_twenty_four_connected_by_one_gateway_agree_after_the_links_heal() {
    let group = |from: usize, to: usize| {
        (from..to)
            .map(|gateway| format!("d{gateway}"))
            .collect::<Vec<String>>()
            .join(", ")
    };
    let (one, other) = (group(0, 11), group(12, 24));
    let faults = format!(
        "[[link]]\nat_ms = 3000\nfor_ms = 9000\nfrom = \"{one}\"\nto = \"{other}\"\ncut = true\n"
    );
    let (_, entries) = run("view-bridge", 24, 24, &faults);
    let [_, healed] = fault_times(&entries)[..] else {
        panic!("one fault")
    };
    // d11 reaches both halves.
    let middle = views(&entries, 0, u64::MAX)
        .into_iter()
        .filter(|(gateway, _)| *gateway == 11)
        .count();
    assert!(middle > 0);
    let all: Vec<usize> = (0..24).collect();
    assert_agreed(&entries, (healed + 9 * SECOND, u64::MAX), &all, &[]);
}

#[test]
fn gateways_that_shut_down_announce_it_and_are_never_suspected() {
    let faults =
        "[[restart]]\nat_ms = 2000\ndoors = \"d0, d1, d2\"\nat_once = 1\nevery_ms = 3500\n";
    let (summary, entries) = run("view-leaving", 5, 17, faults);
    assert_checks_pass(&summary, "lost");
    let mut seen = Vec::new();
    for (gateway, view) in views(&entries, 0, u64::MAX) {
        assert_eq!(view.suspect, Vec::<String>::new(), "d{gateway}: {view:?}");
        seen.extend(view.dead.clone());
    }
    seen.sort();
    seen.dedup();
    assert_eq!(
        seen,
        names(&[0, 1, 2]),
        "each restarted gateway was dead for a while, and no other"
    );
    let last = entries.last().map_or(0, |entry| entry.us);
    assert_agreed(
        &entries,
        (last - 2 * SECOND, u64::MAX),
        &[0, 1, 2, 3, 4],
        &[],
    );
}

#[test]
fn a_peer_set_that_shrinks_and_grows_at_run_time_is_agreed_on() {
    let faults =
        "[[roster]]\nat_ms = 2000\ndoors = \"d0, d1, d2, d3\"\nmembers = \"d0, d1, d2, d3\"\n\
                  [[roster]]\nat_ms = 8000\ndoors = \"d0, d1, d2, d3\"\nmembers = \"doors\"\n";
    let (_, entries) = run("view-roster", 5, 15, faults);
    let [shrunk, grown] = fault_times(&entries)[..] else {
        panic!("two changes")
    };
    // The removed d4 keeps its old peer set and goes on sending: no other gateway counts it.
    for (gateway, view) in views(&entries, shrunk + 3 * SECOND, grown) {
        let all = [view.alive.clone(), view.suspect.clone(), view.dead.clone()].concat();
        assert!(
            gateway == 4 || view.roster == 4 && !all.contains(&"n4".to_string()),
            "d{gateway}: {view:?}"
        );
    }
    assert_agreed(&entries, (shrunk + 3 * SECOND, grown), &[0, 1, 2, 3], &[]);
    assert_agreed(
        &entries,
        (grown + 5 * SECOND, u64::MAX),
        &[0, 1, 2, 3, 4],
        &[],
    );
    assert!(views(&entries, grown + 5 * SECOND, u64::MAX)
        .iter()
        .all(|(_, view)| view.roster == 5));
}

/// Configurations of two gateways in one peer set.
fn two_configurations() -> [serde_json::Value; 2] {
    let port = |config: &serde_json::Value| {
        let at: SocketAddr = config["listen"]
            .as_str()
            .expect("text")
            .parse()
            .expect("an address");
        SocketAddr::from((at.ip(), unused_port())).to_string()
    };
    // A backend that accepts connections: without one a process takes over from no predecessor.
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

/// The answer to the call `fleet`; `None` for an error.
fn membership_answer(gateway: &Front) -> Option<serde_json::Value> {
    serde_json::from_str(gateway.call("fleet").lines().next()?).ok()
}

/// The answer to the call `fleet`, parsed.
fn view(gateway: &Front) -> Option<View> {
    serde_json::from_value(membership_answer(gateway)?).ok()
}

/// Waits until the answer to the call `fleet` meets the condition.
fn until(gateway: &Front, what: &str, condition: impl Fn(&View) -> bool) {
    let begin = Instant::now();
    while !view(gateway).is_some_and(|view| condition(&view)) {
        assert!(
            begin.elapsed() < Duration::from_secs(20),
            "{what}: {}",
            gateway.call("fleet")
        );
        sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_gateway_is_never_suspected_while_a_second_process_takes_over() {
    let [one, other] = two_configurations();
    let (one, other) = (PROGRAM.start(&one), PROGRAM.start(&other));
    until(&other, "both alive", |view| view.side == "whole");
    let first = view(&one).expect("a view").digest;
    let incarnation = |gateway: &Front| membership_answer(gateway)?["incarnation"].as_u64();
    let before = incarnation(&one).expect("one");
    let check_not_suspected = || {
        let view = view(&other).expect("a view");
        assert_eq!((view.dead.len(), view.suspect.len()), (0, 0), "{view:?}");
        sleep(Duration::from_millis(10));
    };
    // A process ends with the thread that started it, so another thread checks meanwhile.
    let taken_over = AtomicBool::new(false);
    let second = std::thread::scope(|scope| {
        scope.spawn(|| {
            while !taken_over.load(Ordering::Relaxed) {
                check_not_suspected();
            }
        });
        let second = one.successor();
        taken_over.store(true, Ordering::Relaxed);
        second
    });
    let begin = Instant::now();
    while incarnation(&second).is_none_or(|now| now <= before) {
        check_not_suspected();
        assert!(
            begin.elapsed() < Duration::from_secs(10),
            "{}",
            second.call("fleet")
        );
    }
    // Long enough for a suspicion, had the name not answered meanwhile.
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(2) {
        check_not_suspected();
    }
    until(&second, "the new incarnation sees both", |view| {
        view.side == "whole" && view.digest == first
    });
    one.terminate();
    sleep(Duration::from_secs(2));
    until(&other, "still both", |view| {
        view.side == "whole" && view.suspect.is_empty()
    });
}

#[test]
fn an_occupied_port_does_not_stop_serving_and_opening_is_retried() {
    let [one, other] = two_configurations();
    let at = one["fleet"]["listen"].as_str().expect("text").to_string();
    let taken = UdpSocket::bind(&at).expect("a free port");
    let one = PROGRAM.start(&one);
    let answer = one.call("fleet");
    assert!(
        answer.starts_with(&format!(
            "error the cluster node is not running yet: {at} cannot be opened; "
        )),
        "{answer}"
    );
    assert!(one.call("stats").ends_with("end\n"), "it serves");
    drop(taken);
    until(&one, "the port is free", |view| view.roster == 2);
    // Malformed datagrams are counted and change nothing.
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").expect("a port");
    for bytes in [&b""[..], b"\x01", b"hello", &[1; 1400], &[0; 1500]] {
        unknown_sender.send_to(bytes, &at).expect("sent");
    }
    let begin = Instant::now();
    let malformed = || {
        membership_answer(&one).expect("a view")["dropped"]["malformed"]
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
    until(&other, "both are alive", |view| {
        view.side == "whole" && view.suspect.is_empty()
    });
    until(&one, "both are alive", |view| {
        view.side == "whole" && view.suspect.is_empty()
    });
}

#[test]
fn an_invalid_peer_set_ends_a_start_and_is_rejected_by_a_running_process() {
    let [mut one, _] = two_configurations();
    let valid = one.clone();
    let gateway = PROGRAM.start(&valid);
    until(&gateway, "its view", |view| view.roster == 2);
    one["fleet"]["peers"][0]["name"] = json!("n0");
    let file = PROGRAM.write(&one);
    let output = PROGRAM
        .spawn(&file, std::process::Stdio::piped())
        .wait_with_output()
        .expect("it ends");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    assert!(
        stderr.starts_with("quota-gateway: fleet.peers[n0]: this is the gateway's own name; "),
        "{stderr}"
    );
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
    let reloads = gateway.stats()["reloads_failed"].as_u64();
    gateway.replace_config(&one.to_string());
    let begin = Instant::now();
    while gateway.stats()["reloads_failed"].as_u64() == reloads {
        assert!(
            begin.elapsed() < Duration::from_secs(10),
            "{}",
            gateway.stats()
        );
        sleep(Duration::from_millis(20));
    }
    assert!(view(&gateway).is_some_and(|view| view.roster == 2));
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
fn a_flood_of_datagrams_is_received_no_faster_than_the_limit() {
    let [one, _] = two_configurations();
    let at = one["fleet"]["listen"].as_str().expect("text").to_string();
    let gateway = PROGRAM.start(&one);
    until(&gateway, "its view", |view| view.roster == 2);
    let begin = Instant::now();
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").expect("a port");
    for _ in 0..50_000 {
        // A datagram that does not fit in the socket's buffer is lost, as it may be on the network.
        let _ = unknown_sender.send_to(&[1; 100], &at);
    }
    assert!(
        gateway.call("stats").ends_with("end\n"),
        "it answers during the flood"
    );
    let read = membership_answer(&gateway).expect("a view")["received"]["messages"]
        .as_u64()
        .expect("a count");
    // 400 at once, 1,000 a second, and what was received before.
    let max = 500 + (begin.elapsed().as_secs_f64() * 1000.0) as u64;
    assert!(
        read > 100 && read <= max,
        "{read} datagrams were received, {max} are allowed"
    );
}
