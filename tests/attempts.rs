//! Attempts whose moment has passed, or whose client has: the built program, held still where the bad order needs it.

use rustix::process::Signal;
use serde_json::{json, Value};
use springusher_lab::process::wait_for;
use springusher_lab::scripted::{
    closed_port, config, get, list, post, target, Front, Peer, Program, Stuck, PATIENCE,
};
use std::io::Read;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const DOOR: Program = Program { path: env!("CARGO_BIN_EXE_brassport"), folder: env!("CARGO_TARGET_TMPDIR") };

fn with_classes(discovery: SocketAddr, known: Value, set: &[(&str, Value)]) -> Value {
    let mut config = config(discovery, known);
    config["settings"]["bounds"]["connectTimeout"] = json!(30_000.0);
    for class in config["settings"]["classes"].as_array_mut().expect("classes") {
        set.iter().for_each(|(name, value)| class[*name] = value.clone());
    }
    config
}

/// Holds the process still. What its sockets get from here on it has not seen when it goes on.
fn hold(front: &Front) {
    front.signal(Signal::STOP);
    let status = format!("/proc/{}/status", front.child.id());
    let stopped = || std::fs::read_to_string(&status).expect("the process is there").contains("State:\tT");
    wait_for(PATIENCE, || stopped().then_some(())).expect("the process stops");
}

/// Waits until no request is in the front door's hands.
fn wait_until_idle(front: &Front) -> Value {
    let until = Instant::now() + PATIENCE;
    loop {
        let stats = front.stats();
        if stats["in_flight"] == 0 {
            return stats;
        }
        assert!(Instant::now() < until, "{stats}");
    }
}

#[test]
fn a_timer_that_is_served_before_the_clients_close_brings_no_further_attempt() {
    let backends = [Peer::start(), Peer::start()];
    let known = backends.iter().enumerate();
    let known: Vec<_> =
        known.map(|(n, peer)| target(&format!("s-0000000{n}"), peer.address, "ready")).collect();
    let front = DOOR.start(&with_classes(closed_port(), list(&known), &[("slo", json!(3000.0))]));
    // Both have an idle connection, so that a further attempt waits for nothing: two at once, one each.
    let mut clients = [front.client(), front.client()];
    for client in &mut clients {
        client.send(&get("/warm"));
    }
    let both: Vec<_> = backends.iter().map(Peer::next).collect();
    both.into_iter().for_each(|exchange| exchange.ok("warm"));
    clients.iter_mut().for_each(|client| assert_eq!(client.read().status(), 200));

    let mut gone = front.client();
    gone.send(&get("/gone"));
    let until = Instant::now() + PATIENCE;
    let mut first = loop {
        let next =
            backends.iter().find_map(|peer| peer.exchanges.recv_timeout(Duration::from_millis(2)).ok());
        if let Some(exchange) = next {
            break exchange;
        }
        assert!(Instant::now() < until, "no request comes");
    };
    // What stands still, goes on and is told of a signal serves its timers before it looks at its sockets.
    hold(&front);
    drop(gone);
    thread::sleep(Duration::from_millis(2200));
    front.signal(Signal::CONT);
    first.wait_for_close();
    assert_eq!(wait_until_idle(&front)["attempts"], 3, "none after the client had gone");
}

#[test]
fn a_connection_that_comes_up_right_before_the_clients_close_carries_nothing() {
    let stuck = Stuck::start();
    let known = list(&[target("s-00000001", stuck.address, "ready")]);
    let front = DOOR.start(&with_classes(closed_port(), known, &[]));
    let mut client = front.client();
    client.send(&post("a job"));
    stuck.wait_for_connect();
    // Both are there when the process next looks, the connection first.
    hold(&front);
    let (mut stream, mut bytes) = (stuck.accept(), Vec::new());
    drop(client);
    front.signal(Signal::CONT);
    stream.read_to_end(&mut bytes).expect("the front door closes the connection");
    assert_eq!(String::from_utf8_lossy(&bytes), "");
}
