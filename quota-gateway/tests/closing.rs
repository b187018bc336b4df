//! Tests of connections that close while a request is in progress. Each runs the built gateway program against scripted
//! peers and forces the problematic order of events.

use fault_lab::process::wait_for;
use fault_lab::scripted::{
    closed_port, config, get, hold, list, post, read_message, target, Front, Peer, Program, Stuck,
    PATIENCE,
};
use rustix::process::Signal;
use serde_json::json;
use std::net::SocketAddr;

const GATEWAY: Program = Program {
    path: env!("CARGO_BIN_EXE_quota-gateway"),
    folder: env!("CARGO_TARGET_TMPDIR"),
};
const HEALTH_REQUEST: &str = "GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n";

/// Starts a gateway with deadlines and a connect timeout of 10 minutes, so that no request ends by timeout in a test.
fn start_with_long_deadlines(backend: SocketAddr) -> Front {
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
    GATEWAY.start(&config)
}

/// Sets the deadline of a request to 10 minutes.
fn with_long_deadline(request: &str) -> String {
    request.replace("X-Deadline: 4000m", "X-Deadline: 600000m")
}

fn wait_until_idle(gateway: &Front) {
    let idle = || (gateway.stats()["in_flight"] == 0).then_some(());
    wait_for(PATIENCE, idle).expect("a request whose client disconnected ends");
}

/// Waits until the gateway has one request in flight.
fn wait_until_in_flight(gateway: &Front) {
    wait_for(PATIENCE, || {
        (gateway.stats()["in_flight"] == 1).then_some(())
    })
    .expect("a request is in flight");
}

#[test]
fn a_disconnect_behind_unread_client_bytes_is_detected() {
    let upload = "x".repeat(20_000);
    let head = post("").replace("Content-Length: 0", "Content-Length: 4000000");
    for (unread, request) in [("half a request", get("")), ("an upload", head + &upload)] {
        let stuck = Stuck::start();
        let gateway = start_with_long_deadlines(stuck.address);
        let mut client = gateway.client();
        client.send(&with_long_deadline(&request));
        if unread == "half a request" {
            client.send("GET /preview-fetch HT");
        }
        wait_until_in_flight(&gateway);
        stuck.wait_for_connect();
        drop(client);
        wait_until_idle(&gateway);
        assert_eq!(
            stuck.open().len(),
            0,
            "nothing is sent for the disconnected client; unread: {unread}"
        );
    }
}

#[test]
fn a_disconnect_behind_a_pipelined_request_is_detected_during_an_attempt() {
    let backend = Peer::start();
    let gateway = start_with_long_deadlines(backend.address);
    let mut client = gateway.client();
    client
        .send(&with_long_deadline(&get("/gone")))
        .send(&get("/next"));
    let _running = backend.next();
    drop(client);
    wait_until_idle(&gateway);
    assert_eq!(
        gateway.stats()["attempts"],
        1,
        "the pipelined request is not sent"
    );
}

#[test]
fn nothing_is_sent_for_a_client_that_connected_and_disconnected_while_the_process_was_stopped() {
    for unread in ["", "GET /preview-fetch HT"] {
        let backend = Peer::start();
        let gateway = start_with_long_deadlines(backend.address);
        let mut marker = gateway.client();
        marker.send(HEALTH_REQUEST);
        assert_eq!(marker.read().status(), 200);
        hold(gateway.child.id());
        let mut client = gateway.client();
        client.send(&with_long_deadline(&get("/gone"))).send(unread);
        drop(client);
        gateway.signal(Signal::CONT);
        wait_until_idle(&gateway);
        marker.send(&get("/marker"));
        let exchange = backend.next();
        assert!(
            exchange.request.line.contains("/marker"),
            "{} with unread {unread:?}",
            exchange.request.line
        );
        exchange.ok("");
        assert_eq!(marker.read().status(), 200);
        assert_eq!(gateway.stats()["attempts"], 1);
    }
}

#[test]
fn a_partly_received_request_head_is_completed_during_shutdown() {
    let backend = Peer::start();
    let mut gateway = GATEWAY.before(&[backend.address]);
    let (mut idle, mut halfway) = (gateway.client(), gateway.client());
    for client in [&mut idle, &mut halfway] {
        client.send(HEALTH_REQUEST);
        assert_eq!(client.read().status(), 200);
    }
    let request = get("/halfway");
    let (half, rest) = request.split_at(30);
    gateway.terminate();
    halfway.send(half);
    assert!(read_message(&idle.stream)
        .expect("the connection closes without a reset")
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
    assert!(gateway.child.wait().expect("the process exits").success());
}
