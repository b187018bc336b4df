//! Connections that close while something is on its way: the built program against small scripted peers, with the bad
//! order made to happen.

use fault_lab::process::wait_for;
use fault_lab::scripted::{
    closed_port, config, get, hold, list, post, read_message, target, Front, Peer, Program, Stuck,
    PATIENCE,
};
use rustix::process::Signal;
use serde_json::json;
use std::net::SocketAddr;

const FRONT: Program = Program {
    path: env!("CARGO_BIN_EXE_quota-gateway"),
    folder: env!("CARGO_TARGET_TMPDIR"),
};
const HEALTHZ: &str = "GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n";

/// A front door whose requests wait for so long that no time of theirs ends what a test looks at.
fn patient(backend: SocketAddr) -> Front {
    let mut config = config(
        closed_port(),
        list(&[target("s-00000001", backend, "ready")]),
    );
    for class in config["settings"]["classes"]
        .as_array_mut()
        .expect("classes")
    {
        class["deadline"] = json!(600_000.0);
    }
    config["settings"]["bounds"]["connectTimeout"] = json!(600_000.0);
    FRONT.start(&config)
}

/// A request that waits for long.
fn long(request: &str) -> String {
    request.replace("X-Deadline: 4000m", "X-Deadline: 600000m")
}

fn wait_until_nothing_is_in_hand(front: &Front) {
    let over = || (front.stats()["in_flight"] == 0).then_some(());
    wait_for(PATIENCE, over).expect("a request whose client has gone is over");
}

/// Waits until the front door has a request in hand.
fn wait_until_in_hand(front: &Front) {
    wait_for(PATIENCE, || (front.stats()["in_flight"] == 1).then_some(()))
        .expect("a request is in hand");
}

#[test]
fn a_client_that_goes_behind_bytes_that_nobody_reads_has_gone() {
    let upload = "x".repeat(20_000);
    let head = post("").replace("Content-Length: 0", "Content-Length: 4000000");
    for (behind, request) in [("half a request", get("")), ("an upload", head + &upload)] {
        let stuck = Stuck::start();
        let front = patient(stuck.address);
        let mut client = front.client();
        client.send(&long(&request));
        if behind == "half a request" {
            client.send("GET /preview-fetch HT");
        }
        wait_until_in_hand(&front);
        stuck.wait_for_connect();
        drop(client);
        wait_until_nothing_is_in_hand(&front);
        assert_eq!(
            stuck.open().len(),
            0,
            "nothing is sent for it, behind {behind}"
        );
    }
}

#[test]
fn a_client_is_seen_to_go_behind_a_pipelined_request_while_its_attempt_runs() {
    let backend = Peer::start();
    let front = patient(backend.address);
    let mut client = front.client();
    client.send(&long(&get("/gone"))).send(&get("/next"));
    let _running = backend.next();
    drop(client);
    wait_until_nothing_is_in_hand(&front);
    assert_eq!(
        front.stats()["attempts"],
        1,
        "nothing is sent for the next one"
    );
}

#[test]
fn nothing_is_sent_for_a_client_that_came_and_went_while_the_process_stood_still() {
    for behind in ["", "GET /preview-fetch HT"] {
        let backend = Peer::start();
        let front = patient(backend.address);
        let mut marker = front.client();
        marker.send(HEALTHZ);
        assert_eq!(marker.read().status(), 200);
        hold(front.child.id());
        let mut client = front.client();
        client.send(&long(&get("/gone"))).send(behind);
        drop(client);
        front.signal(Signal::CONT);
        wait_until_nothing_is_in_hand(&front);
        marker.send(&get("/marker"));
        let exchange = backend.next();
        assert!(
            exchange.request.line.contains("/marker"),
            "{} behind {behind:?}",
            exchange.request.line
        );
        exchange.ok("");
        assert_eq!(marker.read().status(), 200);
        assert_eq!(front.stats()["attempts"], 1);
    }
}

#[test]
fn a_head_that_is_half_there_when_a_process_closes_its_connections_is_waited_for() {
    let backend = Peer::start();
    let mut front = FRONT.before(&[backend.address]);
    let (mut idle, mut halfway) = (front.client(), front.client());
    for client in [&mut idle, &mut halfway] {
        client.send(HEALTHZ);
        assert_eq!(client.read().status(), 200);
    }
    let request = get("/halfway");
    let (half, rest) = request.split_at(30);
    front.terminate();
    halfway.send(half);
    assert!(read_message(&idle.stream)
        .expect("a close in order")
        .is_none());
    halfway.send(rest);
    let exchange = backend.next();
    assert!(exchange.request.line.contains("/halfway"));
    exchange.ok("served");
    let answer = halfway.read();
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, "close")
    );
    assert!(front.child.wait().expect("it ends").success());
}
