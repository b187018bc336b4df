//! Cluster membership across several gateway processes, with a relay on each directed link and with client traffic.
//!
//! The tests check each process's recorded answers to the call `fleet`. Time limits have wide margins, so that
//! the tests also pass on a busy machine.

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
const SECOND_US: u64 = 1_000_000;

/// Runs `gateways` gateways with membership but without leader election, under these faults.
fn run_gateways(
    name: &str,
    gateways: usize,
    seconds: u32,
    faults: &str,
) -> (fault_lab::check::Summary, Vec<Entry>) {
    let text = SMALL.replace("seconds = 5", &format!("seconds = {seconds}"));
    let text = text.replace("doors = 4", &format!("doors = {gateways}\nview = true"));
    run_scenario(name, &(text + faults))
}

/// The answers to the call `fleet` recorded in `from..to` (microseconds), each with the number of its gateway.
fn recorded_views(entries: &[Entry], from: u64, to: u64) -> Vec<(usize, &View)> {
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

/// The start and end times of the faults in microseconds, in order.
fn fault_times(entries: &[Entry]) -> Vec<u64> {
    entries
        .iter()
        .filter(|entry| matches!(entry.event, Event::Fault { .. }))
        .map(|entry| entry.us)
        .collect()
}

/// The sorted names of the gateways with these numbers.
fn gateway_names(numbers: &[usize]) -> Vec<String> {
    let mut names: Vec<String> = numbers.iter().map(|number| format!("n{number}")).collect();
    names.sort();
    names
}

/// Checks the last answer of each of these gateways in the interval: exactly `dead` are dead, none is suspect, and all
/// digests are equal.
fn assert_converged(entries: &[Entry], (from, to): (u64, u64), gateways: &[usize], dead: &[usize]) {
    let answers = recorded_views(entries, from, to);
    let mut digests = Vec::new();
    for gateway in gateways {
        let last = answers
            .iter()
            .rev()
            .find(|(answering, _)| answering == gateway);
        let (_, view) = last.unwrap_or_else(|| panic!("d{gateway} gave no answer to `fleet`"));
        assert_eq!(
            (&view.dead, &view.suspect),
            (&gateway_names(dead), &vec![]),
            "d{gateway}: {view:?}"
        );
        digests.push(&view.digest);
    }
    assert!(
        digests.iter().all(|digest| *digest == digests[0]),
        "{digests:?}"
    );
}

/// Checks that no answer in the interval lists a gateway outside `except` as dead.
fn assert_none_dead_except(entries: &[Entry], (from, to): (u64, u64), except: &[usize]) {
    for (gateway, view) in recorded_views(entries, from, to) {
        let unexpected: Vec<&String> = view
            .dead
            .iter()
            .filter(|name| !gateway_names(except).contains(name))
            .collect();
        assert!(unexpected.is_empty(), "d{gateway}: {view:?}");
    }
}

#[test]
fn killed_gateways_are_dead_in_every_view_and_rejoin_after_restart() {
    let (summary, entries) = run_gateways(
        "view-kill",
        7,
        18,
        "[[kill]]\nat_ms = 2000\ndoors = \"d1, d2\"\nback_ms = 8000\n",
    );
    assert_checks_pass(&summary, "lost");
    let [killed, restarted] = fault_times(&entries)[..] else {
        panic!("expected the start and end of one fault")
    };
    assert_none_dead_except(&entries, (0, u64::MAX), &[1, 2]);
    assert_converged(
        &entries,
        (restarted - SECOND_US, restarted),
        &[0, 3, 4, 5, 6],
        &[1, 2],
    );
    assert_converged(
        &entries,
        (restarted + 6 * SECOND_US, u64::MAX),
        &[0, 1, 2, 3, 4, 5, 6],
        &[],
    );
    let last_side = |from, to| {
        recorded_views(&entries, from, to)
            .last()
            .map(|(_, view)| view.side.clone())
    };
    assert_eq!(last_side(0, killed).as_deref(), Some("whole"));
    assert_eq!(last_side(killed, restarted).as_deref(), Some("majority"));
    // The membership traffic of each process is bounded at all times: 100 datagrams and 15,000 bytes in ten seconds.
    for (gateway, view) in recorded_views(&entries, 0, u64::MAX) {
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
    let (_, entries) = run_gateways("view-stall", 7, 20, faults);
    let [_, stopped, restarted, resumed] = fault_times(&entries)[..] else {
        panic!("expected the start and end of two faults")
    };
    assert!(stopped < restarted && restarted + 4 * SECOND_US < resumed);
    assert_converged(
        &entries,
        (resumed - SECOND_US, resumed),
        &[0, 1, 2, 4, 5, 6],
        &[3],
    );
    assert_none_dead_except(&entries, (0, u64::MAX), &[1, 3]);
    // The log contains every state change, including those between two recorded answers.
    let log = stage::run_directory("view-stall")
        .join("d3")
        .join("log.txt");
    let log = std::fs::read_to_string(log).expect("the log of d3");
    assert!(!log.contains(" to dead: "), "{log}");
    let own_answers = recorded_views(&entries, resumed, u64::MAX)
        .iter()
        .filter(|(gateway, _)| *gateway == 3)
        .count();
    assert!(
        own_answers > 0,
        "d3 gave no answer to `fleet` after it resumed"
    );
    assert_converged(
        &entries,
        (resumed + 6 * SECOND_US, u64::MAX),
        &[0, 1, 2, 3, 4, 5, 6],
        &[],
    );
}

#[test]
fn both_sides_of_a_partition_report_their_side_and_converge_after_it_heals() {
    let faults =
        "[[link]]\nat_ms = 2000\nfor_ms = 18000\nfrom = \"d0, d1, d2\"\nto = \"d3, d4, d5, d6\"\ncut = true\n";
    let (_, entries) = run_gateways("view-split", 7, 28, faults);
    let [_, healed] = fault_times(&entries)[..] else {
        panic!("expected the start and end of one fault")
    };
    assert_converged(
        &entries,
        (healed - SECOND_US, healed),
        &[0, 1, 2],
        &[3, 4, 5, 6],
    );
    assert_converged(
        &entries,
        (healed - SECOND_US, healed),
        &[3, 4, 5, 6],
        &[0, 1, 2],
    );
    for (gateway, view) in recorded_views(&entries, healed - SECOND_US, healed) {
        assert_eq!(
            view.side,
            if gateway < 3 { "minority" } else { "majority" },
            "d{gateway}"
        );
    }
    assert_converged(
        &entries,
        (healed + 6 * SECOND_US, u64::MAX),
        &[0, 1, 2, 3, 4, 5, 6],
        &[],
    );
}

#[test]
fn an_isolated_gateway_reports_that_it_is_alone() {
    let faults =
        "[[link]]\nat_ms = 2000\nfor_ms = 9000\nfrom = \"d0\"\nto = \"d1, d2, d3, d4, d5, d6\"\ncut = true\n";
    let (_, entries) = run_gateways("view-alone", 7, 19, faults);
    let [_, healed] = fault_times(&entries)[..] else {
        panic!("expected the start and end of one fault")
    };
    assert_converged(
        &entries,
        (healed - SECOND_US, healed),
        &[0],
        &[1, 2, 3, 4, 5, 6],
    );
    for (gateway, view) in recorded_views(&entries, healed - SECOND_US, healed) {
        assert_eq!(
            view.side,
            if gateway == 0 { "alone" } else { "majority" },
            "d{gateway}"
        );
    }
    assert_converged(
        &entries,
        (healed + 6 * SECOND_US, u64::MAX),
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
    let (_, entries) = run_gateways("view-one-way", 8, 17, faults);
    assert_none_dead_except(&entries, (0, u64::MAX), &[]);
    // Where an answer is lost, indirect health checks succeed: no gateway becomes suspect.
    for (gateway, view) in recorded_views(&entries, 0, u64::MAX) {
        assert!(
            !view.suspect.contains(&"n0".to_string()),
            "d{gateway}: {view:?}"
        );
        assert!(
            !view.suspect.contains(&"n2".to_string()),
            "d{gateway}: {view:?}"
        );
    }
    let end = fault_times(&entries)
        .into_iter()
        .max()
        .expect("at least one fault");
    assert_converged(
        &entries,
        (end + SECOND_US, u64::MAX),
        &[0, 1, 2, 3, 4, 5, 6, 7],
        &[],
    );
}

#[test]
fn two_halves_of_twenty_four_gateways_bridged_by_one_converge_after_the_links_heal() {
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
    let (_, entries) = run_gateways("view-bridge", 24, 24, &faults);
    let [_, healed] = fault_times(&entries)[..] else {
        panic!("expected the start and end of one fault")
    };
    // The links of d11 to both halves stay up.
    let bridge_answers = recorded_views(&entries, 0, u64::MAX)
        .into_iter()
        .filter(|(gateway, _)| *gateway == 11)
        .count();
    assert!(bridge_answers > 0);
    let all: Vec<usize> = (0..24).collect();
    assert_converged(&entries, (healed + 9 * SECOND_US, u64::MAX), &all, &[]);
}

#[test]
fn gateways_that_shut_down_announce_it_and_are_never_suspected() {
    let faults =
        "[[restart]]\nat_ms = 2000\ndoors = \"d0, d1, d2\"\nat_once = 1\nevery_ms = 3500\n";
    let (summary, entries) = run_gateways("view-leaving", 5, 17, faults);
    assert_checks_pass(&summary, "lost");
    let mut dead_names = Vec::new();
    for (gateway, view) in recorded_views(&entries, 0, u64::MAX) {
        assert_eq!(view.suspect, Vec::<String>::new(), "d{gateway}: {view:?}");
        dead_names.extend(view.dead.clone());
    }
    dead_names.sort();
    dead_names.dedup();
    assert_eq!(
        dead_names,
        gateway_names(&[0, 1, 2]),
        "exactly the restarted gateways must have been reported dead at some time"
    );
    let last = entries.last().map_or(0, |entry| entry.us);
    assert_converged(
        &entries,
        (last - 2 * SECOND_US, u64::MAX),
        &[0, 1, 2, 3, 4],
        &[],
    );
}

#[test]
fn gateways_converge_when_the_peer_set_shrinks_and_grows_at_run_time() {
    let faults =
        "[[roster]]\nat_ms = 2000\ndoors = \"d0, d1, d2, d3\"\nmembers = \"d0, d1, d2, d3\"\n\
                  [[roster]]\nat_ms = 8000\ndoors = \"d0, d1, d2, d3\"\nmembers = \"doors\"\n";
    let (_, entries) = run_gateways("view-roster", 5, 15, faults);
    let [shrunk, grown] = fault_times(&entries)[..] else {
        panic!("expected two changes of the peer set")
    };
    // The removed d4 keeps its old peer set and keeps sending datagrams; the others must not list it as a member.
    for (gateway, view) in recorded_views(&entries, shrunk + 3 * SECOND_US, grown) {
        let all = [view.alive.clone(), view.suspect.clone(), view.dead.clone()].concat();
        assert!(
            gateway == 4 || view.roster == 4 && !all.contains(&"n4".to_string()),
            "d{gateway}: {view:?}"
        );
    }
    assert_converged(
        &entries,
        (shrunk + 3 * SECOND_US, grown),
        &[0, 1, 2, 3],
        &[],
    );
    assert_converged(
        &entries,
        (grown + 5 * SECOND_US, u64::MAX),
        &[0, 1, 2, 3, 4],
        &[],
    );
    assert!(recorded_views(&entries, grown + 5 * SECOND_US, u64::MAX)
        .iter()
        .all(|(_, view)| view.roster == 5));
}

/// The configurations of two gateways that are each other's only peer.
fn two_peer_configs() -> [serde_json::Value; 2] {
    let port = |config: &serde_json::Value| {
        let address: SocketAddr = config["listen"]
            .as_str()
            .expect("a string")
            .parse()
            .expect("an address");
        SocketAddr::from((address.ip(), unused_port())).to_string()
    };
    // A backend that accepts connections; without one, a new process does not take over from its predecessor.
    let backend = target("s-00000000", Peer::start().address, "ready");
    let mut configs = [0, 1].map(|_| config(closed_port(), list(std::slice::from_ref(&backend))));
    let ports = [port(&configs[0]), port(&configs[1])];
    for (n, config) in configs.iter_mut().enumerate() {
        config["name"] = json!(format!("n{n}"));
        let peer = json!({"name": format!("n{}", 1 - n), "address": ports[1 - n]});
        config["fleet"] = json!({"listen": ports[n], "peers": [peer], "probe_ms": 200});
    }
    configs
}

/// The answer to the call `fleet` as JSON; `None` for an error.
fn query_fleet(gateway: &Front) -> Option<serde_json::Value> {
    serde_json::from_str(gateway.call("fleet").lines().next()?).ok()
}

/// The answer to the call `fleet` as a `View`; `None` for an error.
fn query_view(gateway: &Front) -> Option<View> {
    serde_json::from_value(query_fleet(gateway)?).ok()
}

/// Waits until the answer to the call `fleet` meets the condition.
fn wait_until(gateway: &Front, what: &str, condition: impl Fn(&View) -> bool) {
    let begin = Instant::now();
    while !query_view(gateway).is_some_and(|view| condition(&view)) {
        assert!(
            begin.elapsed() < Duration::from_secs(20),
            "timed out: {what}: {}",
            gateway.call("fleet")
        );
        sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_gateway_is_never_suspected_while_a_second_process_takes_over() {
    let [one, other] = two_peer_configs();
    let (one, other) = (PROGRAM.start(&one), PROGRAM.start(&other));
    wait_until(&other, "both gateways are alive", |view| {
        view.side == "whole"
    });
    let initial_digest = query_view(&one).expect("an answer to `fleet`").digest;
    let incarnation = |gateway: &Front| query_fleet(gateway)?["incarnation"].as_u64();
    let incarnation_before = incarnation(&one).expect("an incarnation number");
    let check_not_suspected = || {
        let view = query_view(&other).expect("an answer to `fleet`");
        assert_eq!((view.dead.len(), view.suspect.len()), (0, 0), "{view:?}");
        sleep(Duration::from_millis(10));
    };
    // A child process ends with the thread that started it, so a second thread does the checks during the takeover.
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
    while incarnation(&second).is_none_or(|now| now <= incarnation_before) {
        check_not_suspected();
        assert!(
            begin.elapsed() < Duration::from_secs(10),
            "{}",
            second.call("fleet")
        );
    }
    // Long enough for a suspicion to arise if no process had answered health checks under this name.
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(2) {
        check_not_suspected();
    }
    wait_until(&second, "the new process has the same view", |view| {
        view.side == "whole" && view.digest == initial_digest
    });
    one.terminate();
    sleep(Duration::from_secs(2));
    wait_until(&other, "both gateways are still alive", |view| {
        view.side == "whole" && view.suspect.is_empty()
    });
}

#[test]
fn an_occupied_membership_port_does_not_stop_serving_and_is_retried() {
    let [one, other] = two_peer_configs();
    let address = one["fleet"]["listen"]
        .as_str()
        .expect("a string")
        .to_string();
    let occupying_socket = UdpSocket::bind(&address).expect("a free UDP port");
    let one = PROGRAM.start(&one);
    let answer = one.call("fleet");
    assert!(
        answer.starts_with(&format!(
            "error the cluster node is not running yet: {address} cannot be opened; "
        )),
        "{answer}"
    );
    assert!(
        one.call("stats").ends_with("end\n"),
        "the gateway does not answer `stats`"
    );
    drop(occupying_socket);
    wait_until(&one, "the node opens the freed port", |view| {
        view.roster == 2
    });
    // Malformed datagrams are counted and change nothing.
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").expect("a UDP socket");
    for bytes in [&b""[..], b"\x01", b"hello", &[1; 1400], &[0; 1500]] {
        unknown_sender
            .send_to(bytes, &address)
            .expect("the datagram is sent");
    }
    let begin = Instant::now();
    let malformed = || {
        query_fleet(&one).expect("an answer to `fleet`")["dropped"]["malformed"]
            .as_u64()
            .expect("a count")
    };
    while malformed() < 5 {
        assert!(
            begin.elapsed() < Duration::from_secs(10),
            "only {} malformed datagrams were counted",
            malformed()
        );
        sleep(Duration::from_millis(20));
    }
    let other = PROGRAM.start(&other);
    wait_until(&other, "both gateways are alive", |view| {
        view.side == "whole" && view.suspect.is_empty()
    });
    wait_until(&one, "both gateways are alive", |view| {
        view.side == "whole" && view.suspect.is_empty()
    });
}

#[test]
fn an_invalid_peer_set_fails_startup_and_is_rejected_on_reload() {
    let [mut one, _] = two_peer_configs();
    let valid = one.clone();
    let gateway = PROGRAM.start(&valid);
    wait_until(&gateway, "the peer set has two members", |view| {
        view.roster == 2
    });
    one["fleet"]["peers"][0]["name"] = json!("n0");
    let file = PROGRAM.write(&one);
    let output = PROGRAM
        .spawn(&file, std::process::Stdio::piped())
        .wait_with_output()
        .expect("the process exits");
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
    assert!(query_view(&gateway).is_some_and(|view| view.roster == 2));
    let without_fleet = PROGRAM.start(&config(closed_port(), list(&[])));
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
        let answer = without_fleet.call(call);
        assert!(
            answer.starts_with(&format!("error {problem}; ")),
            "{answer}"
        );
        assert_eq!(answer.lines().count(), 1, "{answer}");
    }
}

#[test]
fn a_flood_of_datagrams_is_received_no_faster_than_the_limit() {
    let [one, _] = two_peer_configs();
    let address = one["fleet"]["listen"]
        .as_str()
        .expect("a string")
        .to_string();
    let gateway = PROGRAM.start(&one);
    wait_until(&gateway, "the peer set has two members", |view| {
        view.roster == 2
    });
    let begin = Instant::now();
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").expect("a UDP socket");
    for _ in 0..50_000 {
        // A datagram that does not fit in the socket's buffer is lost, as it may be on the network.
        let _ = unknown_sender.send_to(&[1; 100], &address);
    }
    assert!(
        gateway.call("stats").ends_with("end\n"),
        "the gateway does not answer `stats` during the flood"
    );
    let received = query_fleet(&gateway).expect("an answer to `fleet`")["received"]["messages"]
        .as_u64()
        .expect("a count");
    // The limit is a burst of 400 and 1,000 per second; the rest allows for datagrams received before the flood.
    let max = 500 + (begin.elapsed().as_secs_f64() * 1000.0) as u64;
    assert!(
        received > 100 && received <= max,
        "received {received} datagrams, the limit allows {max}"
    );
}
