//! Attempts whose moment has passed, or whose client has gone: the module's word on it, and the built program, held
//! still where the bad order needs that.

mod common;

use common::{server, settings, Host};
use fault_lab::scripted::{
    closed_port, config, get, hold, list, post, target, Discovery, Front, Peer, Program, Stuck,
    PATIENCE,
};
use quota_gateway::{Action, Millis, Outcome};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::io::Read;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const DOOR: Program = Program {
    path: env!("CARGO_BIN_EXE_quota-gateway"),
    folder: env!("CARGO_TARGET_TMPDIR"),
};

fn with_classes(discovery: SocketAddr, known: Value, set: &[(&str, Value)]) -> Value {
    let mut config = config(discovery, known);
    config["settings"]["bounds"]["connectTimeout"] = json!(30_000.0);
    for class in config["settings"]["classes"]
        .as_array_mut()
        .expect("classes")
    {
        set.iter()
            .for_each(|(name, value)| class[*name] = value.clone());
    }
    config
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
    let known: Vec<_> = known
        .map(|(n, peer)| target(&format!("s-0000000{n}"), peer.address, "ready"))
        .collect();
    let front = DOOR.start(&with_classes(
        closed_port(),
        list(&known),
        &[("slo", json!(3000.0))],
    ));
    // Both have an idle connection, so that a further attempt waits for nothing: two at once, one each.
    let mut clients = [front.client(), front.client()];
    for client in &mut clients {
        client.send(&get("/warm"));
    }
    let both: Vec<_> = backends.iter().map(Peer::next).collect();
    both.into_iter().for_each(|exchange| exchange.ok("warm"));
    clients
        .iter_mut()
        .for_each(|client| assert_eq!(client.read().status(), 200));

    let mut gone = front.client();
    gone.send(&get("/gone"));
    let until = Instant::now() + PATIENCE;
    let mut first = loop {
        let next = backends
            .iter()
            .find_map(|peer| peer.exchanges.recv_timeout(Duration::from_millis(2)).ok());
        if let Some(exchange) = next {
            break exchange;
        }
        assert!(Instant::now() < until, "no request comes");
    };
    // What stands still, goes on and is told of a signal serves its timers before it looks at its sockets.
    hold(front.child.id());
    drop(gone);
    thread::sleep(Duration::from_millis(2200));
    front.signal(Signal::CONT);
    first.wait_for_close();
    assert_eq!(
        wait_until_idle(&front)["attempts"],
        3,
        "none after the client had gone"
    );
}

#[test]
fn a_client_that_wrote_and_left_while_the_process_stood_still_is_sent_nothing_for() {
    let backend = Peer::start();
    let front = DOOR.before(&[backend.address]);
    for (request, close) in [
        (get("/gone"), "close"),
        (get("/gone"), "reset"),
        (post("gone"), "close"),
    ] {
        let mut gone = front.client();
        // An idle connection on either side: nothing has to be waited for.
        gone.send(&get("/warm"));
        backend.next().ok("warm");
        assert_eq!(gone.read().status(), 200);
        let before = wait_until_idle(&front)["attempts"].clone();
        hold(front.child.id());
        gone.send(&request);
        if close == "reset" {
            socket2::SockRef::from(&gone.stream)
                .set_linger(Some(Duration::ZERO))
                .expect("an option");
        }
        drop(gone);
        front.signal(Signal::CONT);
        // Who comes after it is served after it.
        let mut client = front.client();
        client.send(&get("/marker"));
        let exchange = backend.next();
        assert_eq!(
            exchange.request.line, "GET /preview-fetch/marker HTTP/1.1",
            "{request} {close}"
        );
        exchange.ok("marker");
        assert_eq!(client.read().status(), 200);
        let after = wait_until_idle(&front)["attempts"].clone();
        assert_eq!(
            after.as_u64(),
            before.as_u64().map(|n| n + 1),
            "{request} {close}"
        );
    }
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
    hold(front.child.id());
    let (mut stream, mut bytes) = (stuck.accept(), Vec::new());
    drop(client);
    front.signal(Signal::CONT);
    stream
        .read_to_end(&mut bytes)
        .expect("the front door closes the connection");
    assert_eq!(String::from_utf8_lossy(&bytes), "");
}

#[test]
fn a_connection_that_comes_up_after_the_window_for_repeats_carries_nothing() {
    let (backend, stuck) = (Peer::start(), Stuck::start());
    let known = list(&[target("s-00000001", backend.address, "ready")]);
    let discovery = Discovery::start(known.clone());
    // A busy machine has long enough to decide within it.
    let window = Duration::from_secs(6);
    let guarded = [
        ("semantics", json!("guarded")),
        ("dedupWindow", json!(window.as_millis() as f64)),
        ("slo", json!(20_000.0)),
        ("deadline", json!(20_000.0)),
    ];
    let front = DOOR.start(&with_classes(discovery.address, known, &guarded));
    let mut client = front.client();
    let began = Instant::now();
    client.send(&post("a job").replace("X-Deadline: 4000m", "X-Deadline: 18000m"));
    let exchange = backend.next();
    discovery.tell(json!([
        target("s-00000001", backend.address, "draining"),
        target("s-00000002", stuck.address, "ready")
    ]));
    // It may have run; the further attempt is decided on within the window.
    exchange.break_off("");
    stuck.wait_for_connect();
    let decided = began.elapsed();
    thread::sleep(window.saturating_sub(decided));
    assert_eq!(
        String::from_utf8_lossy(&stuck.open()),
        "",
        "decided on after {decided:?}"
    );
    assert_eq!(client.read().status(), 504);
}

/// By when each attempt sent has to begin.
fn starts(actions: &[Action]) -> Vec<Option<Millis>> {
    let start = |action: &Action| match action {
        Action::Send { start_by, .. } => Some(*start_by),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

#[test]
fn an_attempt_that_may_be_a_repeat_is_sent_with_the_end_of_its_window() {
    let [free, once, keyed] = [0, 1, 2];
    // Two calls of the host before the window of 1500 ms from the first attempt that may have run is over.
    let over = Some(1500.0 - 8.0);
    for (class, first, after_the_first, after_the_next) in [
        (free, Outcome::Reset, vec![None], vec![None]),
        (once, Outcome::NoConnection, vec![None], vec![None]),
        (once, Outcome::Reset, vec![], vec![]),
        (keyed, Outcome::NoConnection, vec![None], vec![None]),
        (keyed, Outcome::Reset, vec![over], vec![over]),
    ] {
        let mut host = Host::new(settings(), &[server(1), server(2), server(3)]);
        let (id, sent) = host.ask(1, 3, class);
        assert_eq!(starts(&sent), [None], "class {class}");
        host.now = 50.0;
        let next = host.end(id, 0, first, None);
        assert_eq!(
            starts(&next),
            after_the_first,
            "class {class} after {first:?}"
        );
        host.now = 300.0;
        let next = host.end(id, 1, Outcome::NoConnection, None);
        assert_eq!(
            starts(&next),
            after_the_next,
            "class {class} after {first:?} and no connection"
        );
    }
}
