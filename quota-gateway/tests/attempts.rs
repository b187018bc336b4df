//! Attempts that start too late or whose client has disconnected, tested on the library and on the built program.
//! The program is stopped with a signal where a test needs events to arrive in a certain order.

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

const GATEWAY_PROGRAM: Program = Program {
    path: env!("CARGO_BIN_EXE_quota-gateway"),
    folder: env!("CARGO_TARGET_TMPDIR"),
};

fn config_with_class_fields(
    discovery: SocketAddr,
    known: Value,
    class_fields: &[(&str, Value)],
) -> Value {
    let mut config = config(discovery, known);
    config["settings"]["bounds"]["connectTimeout"] = json!(30_000.0);
    for class in config["settings"]["classes"]
        .as_array_mut()
        .expect("classes")
    {
        class_fields
            .iter()
            .for_each(|(name, value)| class[*name] = value.clone());
    }
    config
}

/// Waits until the gateway has no request in flight and returns its statistics.
fn wait_until_idle(gateway: &Front) -> Value {
    let until = Instant::now() + PATIENCE;
    loop {
        let stats = gateway.stats();
        if stats["in_flight"] == 0 {
            return stats;
        }
        assert!(Instant::now() < until, "{stats}");
    }
}

#[test]
fn a_timer_processed_before_the_clients_close_starts_no_further_attempt() {
    let backends = [Peer::start(), Peer::start()];
    let known = backends.iter().enumerate();
    let known: Vec<_> = known
        .map(|(n, peer)| target(&format!("s-0000000{n}"), peer.address, "ready"))
        .collect();
    let gateway = GATEWAY_PROGRAM.start(&config_with_class_fields(
        closed_port(),
        list(&known),
        &[("slo", json!(3000.0))],
    ));
    // Two concurrent requests, one per backend, leave each with an idle connection: a further attempt would be sent
    // at once.
    let mut clients = [gateway.client(), gateway.client()];
    for client in &mut clients {
        client.send(&get("/warm"));
    }
    let both: Vec<_> = backends.iter().map(Peer::next).collect();
    both.into_iter().for_each(|exchange| exchange.ok("warm"));
    clients
        .iter_mut()
        .for_each(|client| assert_eq!(client.read().status(), 200));

    let mut leaving_client = gateway.client();
    leaving_client.send(&get("/gone"));
    let until = Instant::now() + PATIENCE;
    let mut first = loop {
        let next = backends
            .iter()
            .find_map(|peer| peer.exchanges.recv_timeout(Duration::from_millis(2)).ok());
        if let Some(exchange) = next {
            break exchange;
        }
        assert!(Instant::now() < until, "no request arrived");
    };
    // After SIGSTOP and SIGCONT the process runs its due timers before it polls its sockets.
    hold(gateway.child.id());
    drop(leaving_client);
    thread::sleep(Duration::from_millis(2200));
    gateway.signal(Signal::CONT);
    first.wait_for_close();
    assert_eq!(
        wait_until_idle(&gateway)["attempts"],
        3,
        "no attempt after the client disconnected"
    );
}

#[test]
fn a_request_of_a_client_that_left_while_the_process_was_stopped_is_not_sent() {
    let backend = Peer::start();
    let gateway = GATEWAY_PROGRAM.before(&[backend.address]);
    for (request, close) in [
        (get("/gone"), "close"),
        (get("/gone"), "reset"),
        (post("gone"), "close"),
    ] {
        let mut leaving_client = gateway.client();
        // Leaves idle connections to the client and to the backend, so that the next request waits for neither.
        leaving_client.send(&get("/warm"));
        backend.next().ok("warm");
        assert_eq!(leaving_client.read().status(), 200);
        let before = wait_until_idle(&gateway)["attempts"].clone();
        hold(gateway.child.id());
        leaving_client.send(&request);
        if close == "reset" {
            socket2::SockRef::from(&leaving_client.stream)
                .set_linger(Some(Duration::ZERO))
                .expect("an option");
        }
        drop(leaving_client);
        gateway.signal(Signal::CONT);
        // A later client is served after it.
        let mut client = gateway.client();
        client.send(&get("/marker"));
        let exchange = backend.next();
        assert_eq!(
            exchange.request.line, "GET /preview-fetch/marker HTTP/1.1",
            "{request} {close}"
        );
        exchange.ok("marker");
        assert_eq!(client.read().status(), 200);
        let after = wait_until_idle(&gateway)["attempts"].clone();
        assert_eq!(
            after.as_u64(),
            before.as_u64().map(|n| n + 1),
            "{request} {close}"
        );
    }
}

#[test]
fn a_connection_established_right_before_the_clients_close_carries_no_request() {
    let stuck = Stuck::start();
    let known = list(&[target("s-00000001", stuck.address, "ready")]);
    let gateway = GATEWAY_PROGRAM.start(&config_with_class_fields(closed_port(), known, &[]));
    let mut client = gateway.client();
    client.send(&post("a job"));
    stuck.wait_for_connect();
    // Both events are ready at the next poll: first the backend connection, then the client's close.
    hold(gateway.child.id());
    let (mut stream, mut bytes) = (stuck.accept(), Vec::new());
    drop(client);
    gateway.signal(Signal::CONT);
    stream
        .read_to_end(&mut bytes)
        .expect("the gateway closes the connection");
    assert_eq!(String::from_utf8_lossy(&bytes), "");
}

#[test]
fn a_connection_established_after_the_deduplication_window_carries_no_request() {
    let (backend, stuck) = (Peer::start(), Stuck::start());
    let known = list(&[target("s-00000001", backend.address, "ready")]);
    let discovery = Discovery::start(known.clone());
    // Long enough for the decision to fall within the window on a busy machine.
    let window = Duration::from_secs(6);
    let guarded = [
        ("semantics", json!("guarded")),
        ("dedupWindow", json!(window.as_millis() as f64)),
        ("slo", json!(20_000.0)),
        ("deadline", json!(20_000.0)),
    ];
    let gateway = GATEWAY_PROGRAM.start(&config_with_class_fields(
        discovery.address,
        known,
        &guarded,
    ));
    let mut client = gateway.client();
    let submitted_at = Instant::now();
    client.send(&post("a job").replace("X-Deadline: 4000m", "X-Deadline: 18000m"));
    let exchange = backend.next();
    discovery.tell(json!([
        target("s-00000001", backend.address, "draining"),
        target("s-00000002", stuck.address, "ready")
    ]));
    // The first attempt may have run; the next one is decided on within the window.
    exchange.break_off("");
    stuck.wait_for_connect();
    let decided_after = submitted_at.elapsed();
    thread::sleep(window.saturating_sub(decided_after));
    assert_eq!(
        String::from_utf8_lossy(&stuck.open()),
        "",
        "decided on after {decided_after:?}"
    );
    assert_eq!(client.read().status(), 504);
}

/// The time by which each sent attempt has to start.
fn start_deadlines(actions: &[Action]) -> Vec<Option<Millis>> {
    let start = |action: &Action| match action {
        Action::Send { start_by, .. } => Some(*start_by),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

#[test]
fn an_attempt_that_may_be_a_repeat_must_start_before_its_window_ends() {
    let [free, once, keyed] = [0, 1, 2];
    // Two ticks of the host before the end of the 1500 ms window, which starts with the first attempt that may have
    // run.
    let window_end = Some(1500.0 - 8.0);
    for (class, first, after_the_first, after_the_next) in [
        (free, Outcome::Reset, vec![None], vec![None]),
        (once, Outcome::NoConnection, vec![None], vec![None]),
        (once, Outcome::Reset, vec![], vec![]),
        (keyed, Outcome::NoConnection, vec![None], vec![None]),
        (keyed, Outcome::Reset, vec![window_end], vec![window_end]),
    ] {
        let mut host = Host::new(settings(), &[server(1), server(2), server(3)]);
        let (id, sent) = host.submit(1, 3, class);
        assert_eq!(start_deadlines(&sent), [None], "class {class}");
        host.now = 50.0;
        let next = host.end_attempt(id, 0, first, None);
        assert_eq!(
            start_deadlines(&next),
            after_the_first,
            "class {class} after {first:?}"
        );
        host.now = 300.0;
        let next = host.end_attempt(id, 1, Outcome::NoConnection, None);
        assert_eq!(
            start_deadlines(&next),
            after_the_next,
            "class {class} after {first:?} and no connection"
        );
    }
}
