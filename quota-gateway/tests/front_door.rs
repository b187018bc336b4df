//! Tests of the built gateway program over loopback sockets, with scripted clients, backends and discovery servers.

use fault_lab::scripted::{
    closed_port, config, get, list, post, read_message, target, Client, Discovery, Exchange, Front,
    Peer, Program, Stuck, PATIENCE,
};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::process::{Command, Stdio};
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

const GATEWAY: Program = Program {
    path: env!("CARGO_BIN_EXE_quota-gateway"),
    folder: env!("CARGO_TARGET_TMPDIR"),
};

#[test]
fn forwards_request_and_response_unchanged_except_for_hop_headers() {
    let backend = Peer::start();
    let gateway = GATEWAY.before(&[backend.address]);
    let mut client = gateway.client();
    let job = post("a job").replace("/job-submit", "/job-submit/7?a=b%20c");
    client.send(&job.replace("Plan:", "Connection: X-Hop\r\nX-Hop: 1\r\nPlan:"));
    let exchange = backend.next();
    assert_eq!(exchange.request.line, "POST /job-submit/7?a=b%20c HTTP/1.1");
    assert_eq!(exchange.request.header("x-request-id"), "9b1f03aa5c7e2d41");
    assert_eq!(
        exchange.request.header("x-hop"),
        "",
        "a header named by Connection is hop-by-hop and not forwarded"
    );
    assert_eq!(exchange.request.body, b"a job");
    let deadline_us = exchange
        .request
        .header("x-deadline")
        .strip_suffix('u')
        .expect("microseconds");
    assert!(
        (1..4_000_000).contains(&deadline_us.parse().expect("a number")),
        "deadline {deadline_us} us"
    );
    let port = exchange
        .stream
        .peer_addr()
        .expect("the peer address is known")
        .port();
    exchange.answer(
        "200 OK",
        "Usage-Percent: 40\r\nContent-Type: image/png\r\n",
        "frame",
    );
    let answer = client.read();
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, b"frame".as_slice())
    );
    assert_eq!(answer.header("content-type"), "image/png");
    assert_eq!(
        answer.header("usage-percent"),
        "",
        "the usage report is for the gateway only"
    );

    client.send(&get("/x"));
    let exchange = backend.next();
    assert_eq!(
        exchange
            .stream
            .peer_addr()
            .expect("the peer address is known")
            .port(),
        port,
        "the backend connection is reused"
    );
    exchange.ok("again");
    assert_eq!(client.read().body, b"again");
}

#[test]
fn healthz_reports_whether_requests_can_be_served() {
    let discovery = Discovery::start(list(&[]));
    let backend = Peer::start();
    let gateway = GATEWAY.start(&config(discovery.address, list(&[])));
    let health_request = "GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n";
    assert_eq!(gateway.client().send(health_request).read().status(), 503);
    discovery.tell(json!([target("s-00000001", backend.address, "ready")]));
    assert_eq!(gateway.client().send(health_request).read().status(), 200);
}

#[test]
fn refuses_immediately_with_retry_after() {
    let backend = Peer::start();
    let known = list(&[target("s-00000001", backend.address, "draining")]);
    let gateway = GATEWAY.start(&config(closed_port(), known));
    let started = Instant::now();
    let answer = gateway.client().send(&get("")).read();
    assert_eq!(answer.status(), 429);
    assert_eq!(answer.header("retry-after"), "0.500");
    assert!(
        started.elapsed() < Duration::from_millis(1000),
        "the refusal is not delayed"
    );
}

#[test]
fn an_unsafe_request_that_may_have_run_is_never_sent_again() {
    for bytes in [
        "",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
    ] {
        let backends = [Peer::start(), Peer::start()];
        let gateway = GATEWAY.before(&[backends[0].address, backends[1].address]);
        let mut client = gateway.client();
        client.send(&post("once"));
        let first = next_request(&backends).0;
        first.break_off(bytes);
        assert_eq!(client.read().status(), 504, "after {bytes:?}");
        // The marker is the next request that reaches any backend.
        client.send(&post("marker"));
        let (exchange, _) = next_request(&backends);
        assert_eq!(exchange.request.body, b"marker");
        exchange.ok("");
        assert_eq!(client.read().status(), 200);
    }
}

/// Waits for the next request to either backend; returns it with the index of the backend.
fn next_request(peers: &[Peer; 2]) -> (Exchange, usize) {
    let deadline = Instant::now() + PATIENCE;
    loop {
        for (n, peer) in peers.iter().enumerate() {
            if let Ok(exchange) = peer.exchanges.recv_timeout(Duration::from_millis(2)) {
                return (exchange, n);
            }
        }
        assert!(Instant::now() < deadline, "no request arrived");
    }
}

#[test]
fn a_request_rejected_before_it_ran_goes_to_another_backend() {
    let backends = [Peer::start(), Peer::start()];
    let gateway = GATEWAY.before(&[backends[0].address, backends[1].address]);
    let mut client = gateway.client();
    client.send(&post("a job"));
    let (exchange, first) = next_request(&backends);
    exchange.answer("503 Full", "X-Not-Run: 1\r\n", "");
    let (exchange, second) = next_request(&backends);
    assert_ne!(first, second);
    assert_eq!(exchange.request.body, b"a job");
    exchange.ok("done");
    assert_eq!(client.read().status(), 200);
}

#[test]
fn a_failed_connect_counts_as_never_sent() {
    let gateway = GATEWAY.before(&[closed_port()]);
    // 429 (refused) instead of 504 (failed) tells the client that nothing ran.
    assert_eq!(gateway.client().send(&post("a job")).read().status(), 429);
}

#[test]
fn an_idle_connection_closed_by_the_backend_fails_no_request() {
    let backend = Peer::start();
    let gateway = GATEWAY.before(&[backend.address]);
    let mut client = gateway.client();
    for _ in 0..3 {
        client.send(&post("a job"));
        backend
            .next()
            .break_off("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        assert_eq!(client.read().status(), 200);
    }
}

#[test]
fn a_draining_backend_gets_no_new_requests() {
    let backends = [Peer::start(), Peer::start()];
    let both = list(&[
        target("s-00000001", backends[0].address, "ready"),
        target("s-00000002", backends[1].address, "ready"),
    ]);
    let discovery = Discovery::start(both.clone());
    let gateway = GATEWAY.start(&config(discovery.address, both));
    discovery.tell(json!([target(
        "s-00000001",
        backends[0].address,
        "draining"
    )]));
    let mut client = gateway.client();
    for _ in 0..6 {
        client.send(&get(""));
        let (exchange, n) = next_request(&backends);
        assert_eq!(n, 1, "the draining backend got a request");
        exchange.ok("");
        assert_eq!(client.read().status(), 200);
    }
}

#[test]
fn an_attempt_still_connecting_when_its_backend_drains_is_not_sent() {
    let stuck = Stuck::start();
    let known = list(&[target("s-00000001", stuck.address, "ready")]);
    let discovery = Discovery::start(known.clone());
    let mut config = config(discovery.address, known);
    config["settings"]["bounds"]["connectTimeout"] = json!(30_000.0);
    let gateway = GATEWAY.start(&config);
    let mut client = gateway.client();
    client.send(&post("a job"));
    stuck.wait_for_connect();
    discovery.tell(json!([target("s-00000001", stuck.address, "draining")]));
    let reader = thread::spawn(move || client.read().status());
    assert_eq!(String::from_utf8_lossy(&stuck.open()), "");
    assert_eq!(reader.join().expect("the reader ends"), 429);
}

#[test]
fn nothing_is_sent_for_a_disconnected_client() {
    let stuck = Stuck::start();
    let mut config = config(
        closed_port(),
        list(&[target("s-00000001", stuck.address, "ready")]),
    );
    config["settings"]["bounds"]["connectTimeout"] = json!(30_000.0);
    let gateway = GATEWAY.start(&config);
    let mut client = gateway.client();
    client.send(&post("a job"));
    stuck.wait_for_connect();
    drop(client);
    assert_eq!(String::from_utf8_lossy(&stuck.open()), "");
}

#[test]
fn a_client_that_disconnects_during_its_request_does_not_affect_others() {
    let backend = Peer::start();
    let gateway = GATEWAY.before(&[backend.address]);
    let mut leaving_client = gateway.client();
    leaving_client.send(&post("gone"));
    let exchange = backend.next();
    drop(leaving_client);
    let mut client = gateway.client();
    client.send(&post("here"));
    let second = backend.next();
    exchange.ok("for the disconnected client");
    second.ok("for the connected client");
    assert_eq!(client.read().body, b"for the connected client");
}

#[test]
fn at_the_deadline_the_client_gets_504_and_the_attempts_socket_is_closed() {
    let backend = Peer::start();
    let gateway = GATEWAY.before(&[backend.address]);
    let mut client = gateway.client();
    let started = Instant::now();
    client.send(&post("a job").replace("4000m", "300000u"));
    let mut exchange = backend.next();
    assert_eq!(client.read().status(), 504);
    assert!(
        started.elapsed() >= Duration::from_millis(250),
        "timed out early, after {:?}",
        started.elapsed()
    );
    exchange.wait_for_close();
}

#[test]
fn an_attempts_socket_is_closed_before_the_next_attempt_goes_out() {
    let backends = [Peer::start(), Peer::start()];
    let gateway = GATEWAY.before(&[backends[0].address, backends[1].address]);
    let mut client = gateway.client();
    client.send(&get(""));
    let (mut silent, first) = next_request(&backends);
    // The gateway abandons the silent backend long before the deadline.
    let (exchange, second) = next_request(&backends);
    assert_ne!(first, second);
    silent
        .stream
        .set_nonblocking(true)
        .expect("the socket becomes non-blocking");
    silent.wait_for_close();
    exchange.ok("from the other");
    assert_eq!(client.read().body, b"from the other");
}

#[test]
fn malformed_input_gets_400_and_reaches_no_backend() {
    let backend = Peer::start();
    let gateway = GATEWAY.before(&[backend.address]);
    let valid_request = get("");
    let replacements = [
        ("X-Class: preview-fetch", "X-Class: nothing"),
        ("X-Class: preview-fetch", "X-Class: job-submit"),
        ("X-Class: preview-fetch\r\n", ""),
        ("GET ", "POST "),
        ("Plan: starter", "Plan: emperor"),
        ("client=00000000b4d65521", "client=b4d65521"),
        ("client=00000000b4d65521", "client=+0000000b4d65521"),
        ("client=00000000b4d65521", "client=0000000200000000"),
        ("units=1", "units=NaN"),
        ("units=1", "units=-1"),
        ("units=1", "units=1000000"),
        ("spread=1", "spread=0"),
        ("first=0", "first=9"),
        ("X-Deadline: 4000m", "X-Deadline: 4000"),
        ("X-Deadline: 4000m", "X-Deadline: -1m"),
        ("X-Deadline: 4000m", "X-Deadline: infm"),
        ("X-Request-Id: 9b1f03aa5c7e2d41\r\n", ""),
    ];
    for (valid, invalid) in replacements {
        assert!(valid_request.contains(valid));
        assert_eq!(
            gateway
                .client()
                .send(&valid_request.replace(valid, invalid))
                .read()
                .status(),
            400,
            "{invalid:?}"
        );
    }
    let long = "x".repeat(64 * 1024);
    let mut client = gateway.client();
    client.send(&post(&long));
    let exchange = backend.next();
    assert_eq!(
        exchange.request.body.len(),
        long.len(),
        "the first request that the backend receives is well formed"
    );
    exchange.ok(&long);
    assert_eq!(client.read().body.len(), long.len());
}

/// None of these peers closes its connection by itself within the time that the test allows.
#[test]
fn connections_with_an_unfinished_request_are_closed() {
    let backend = Peer::start();
    let gateway = GATEWAY.before(&[backend.address]);
    let healthz = "GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n";
    let short = post("a job").replace("a job", "a");
    let unfinished = ["", "GET /preview-fetch HT", healthz, &short];
    let started = Instant::now();
    let mut peers: Vec<Client> = unfinished.iter().map(|_| gateway.client()).collect();
    for (peer, sent) in peers.iter_mut().zip(unfinished) {
        peer.send(sent);
    }
    let ends: Vec<String> = peers
        .iter_mut()
        .map(|peer| {
            let mut answer = String::new();
            peer.stream
                .read_to_string(&mut answer)
                .expect("the connection closes without a reset");
            answer.lines().next().unwrap_or_default().to_string()
        })
        .collect();
    assert_eq!(
        ends,
        ["", "", "HTTP/1.1 200 OK", "HTTP/1.1 408 Request Timeout"]
    );
    // The gateway must close within 3 s; the rest is slack for a slow machine.
    assert!(
        started.elapsed() < Duration::from_millis(8000),
        "it took {:?}",
        started.elapsed()
    );
    assert!(
        backend.exchanges.try_recv().is_err(),
        "no unfinished request reaches a backend"
    );
}

#[test]
fn a_silent_discovery_server_is_queried_again_while_requests_are_served() {
    let backend = Peer::start();
    let silent = Peer::start();
    let gateway = GATEWAY.start(&config(
        silent.address,
        list(&[target("s-00000001", backend.address, "ready")]),
    ));
    let mut call = silent.next();
    let (short_poll, long_poll) = ["200", "4000"]
        .map(|ms| format!("GET /v1/servers?after=1&wait_ms={ms} HTTP/1.1"))
        .into();
    assert_eq!(
        call.request.line, short_poll,
        "asks for changes since the list in the configuration"
    );
    // Each request uses a new connection, because idle ones are closed.
    let serve = || {
        let mut client = gateway.client();
        client.send(&get(""));
        backend.next().ok("served");
        assert_eq!(client.read().status(), 200);
    };
    serve();
    call.wait_for_close();
    // A 503 does not invalidate the current list, and fetching the whole list is the most expensive call.
    let call = silent.next();
    assert_eq!(call.request.line, short_poll);
    call.answer("503 Service Unavailable", "Connection: close\r\n", "");
    // A malformed response is not taken as a list; the current list stays in force.
    let call = silent.next();
    assert_eq!(call.request.line, short_poll);
    call.ok("{\"rev\":");
    let call = silent.next();
    assert_eq!(call.request.line, "GET /v1/servers HTTP/1.1");
    serve();
    call.ok(&list(&[]).to_string());
    assert_eq!(silent.next().request.line, long_poll);
    assert_eq!(
        gateway.client().send(&get("")).read().status(),
        429,
        "no backend is left"
    );
}

#[test]
fn sighup_moves_the_discovery_watch_to_the_newly_configured_address() {
    let backends = [Peer::start(), Peer::start()];
    let (old, new) = (Peer::start(), Peer::start());
    let known = list(&[target("s-00000001", backends[0].address, "ready")]);
    let mut config = config(old.address, known);
    let gateway = GATEWAY.start(&config);
    let mut watch = old.next();
    let mut client = gateway.client();
    client.send(&get(""));
    let in_flight = backends[0].next();

    config["discovery"] = json!(new.address.to_string());
    gateway.replace_config(&config.to_string());
    let call = new.next();
    assert_eq!(
        call.request.line, "GET /v1/servers HTTP/1.1",
        "the whole list is requested"
    );
    watch.wait_for_close();
    call.ok(&list(&[target("s-00000002", backends[1].address, "ready")]).to_string());
    assert_eq!(
        new.next().request.line,
        "GET /v1/servers?after=1&wait_ms=4000 HTTP/1.1"
    );
    in_flight.ok("started before the reload");
    assert_eq!(
        client.read().body,
        b"started before the reload",
        "requests in flight are not affected"
    );
    client.send(&get(""));
    backends[1].next().ok("from the new list");
    assert_eq!(client.read().body, b"from the new list");
}

#[test]
fn sighup_with_an_unreadable_configuration_changes_nothing() {
    let backend = Peer::start();
    let agent = Peer::start();
    let known = list(&[target("s-00000001", backend.address, "ready")]);
    let mut config = config(agent.address, known.clone());
    let gateway = GATEWAY.start(&config);
    agent.next().ok(&known.to_string());
    let mut client = gateway.client();
    config["discovery"] = json!("nowhere");
    for text in ["", "{\"discovery\":", "{}", &config.to_string()] {
        let watch = agent.next();
        gateway.replace_config(text);
        client.send(&get(""));
        backend.next().ok("");
        assert_eq!(client.read().status(), 200, "after {text:?}");
        watch.ok(&json!({"rev": 1, "all": false, "targets": []}).to_string());
    }
    assert!(
        agent.next().request.line.contains("after=1"),
        "the watch continues"
    );
}

#[test]
fn sigterm_shuts_down_gracefully() {
    let backend = Peer::start();
    let mut gateway = GATEWAY.before(&[backend.address]);
    let mut idle = gateway.client();
    idle.send(&get(""));
    backend.next().ok("");
    assert_eq!(idle.read().status(), 200);
    let mut busy = gateway.client();
    busy.send(&post("in hand"));
    let in_flight = backend.next();
    gateway.terminate();
    // Until the signal is handled, responses keep connections open.
    let deadline = Instant::now() + PATIENCE;
    loop {
        let mut late = gateway.client();
        late.send(&get(""));
        backend.next().ok("late");
        let answer = late.read();
        assert_eq!(answer.status(), 200);
        if answer.header("connection") == "close" {
            break;
        }
        assert!(Instant::now() < deadline, "the signal has no effect");
    }
    let mut byte = [0];
    assert_eq!(
        idle.stream
            .read(&mut byte)
            .expect("the connection closes without a reset"),
        0,
        "idle connections are closed"
    );
    in_flight.ok("finished");
    let answer = busy.read();
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, "close")
    );
    assert!(gateway.child.wait().expect("the process exits").success());
}

#[test]
fn sigterm_ends_the_process_although_a_backend_is_silent() {
    let backend = Peer::start();
    let mut config = config(
        closed_port(),
        list(&[target("s-00000001", backend.address, "ready")]),
    );
    config["settings"]["classes"][1]["deadline"] = json!(12_000.0);
    let mut gateway = GATEWAY.start(&config);
    let mut client = gateway.client();
    client.send(&post("a job").replace("4000m", "12000m"));
    let _silent = backend.next();
    let started = Instant::now();
    gateway.terminate();
    assert_eq!(client.read().status(), 504);
    assert!(gateway.child.wait().expect("the process exits").success());
    // SIGKILL may follow after 3.7 s, whatever the client deadline; the rest is slack for a slow machine.
    assert!(
        started.elapsed() < Duration::from_millis(8000),
        "it took {:?}",
        started.elapsed()
    );
}

#[test]
fn idle_connections_are_closed_when_descriptors_run_out() {
    let backend = Peer::start();
    let mut config = config(
        closed_port(),
        list(&[target("s-00000001", backend.address, "ready")]),
    );
    config["limits"]["sockets"] = json!(48);
    let gateway = GATEWAY.start(&config);
    let _idle: Vec<Client> = (0..60).map(|_| gateway.client()).collect();
    let served = thread::spawn(move || backend.next().ok("served"));
    let deadline = Instant::now() + PATIENCE;
    loop {
        let status = gateway.client().send(&get("")).read().status();
        if status == 200 {
            break;
        }
        assert_eq!(status, 429);
        assert!(
            Instant::now() < deadline,
            "idle connections keep new ones from being served"
        );
    }
    served.join().expect("the backend serves one request");
}

#[test]
fn a_closed_log_pipe_does_not_end_the_process() {
    let known = list(&[target("s-00000001", closed_port(), "draining")]);
    let config = config(closed_port(), known);
    let mut gateway = GATEWAY.start_with(&config, Stdio::piped());
    drop(gateway.child.stderr.take());
    let mut client = gateway.client();
    // The gateway logs once a second that no server is available.
    let deadline = Instant::now() + Duration::from_millis(2500);
    while Instant::now() < deadline {
        assert_eq!(client.send(&get("")).read().status(), 429);
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn a_full_log_pipe_blocks_nothing_and_lost_lines_are_reported() {
    let known = list(&[target("s-00000001", closed_port(), "draining")]);
    let config = config(closed_port(), known);
    let (errors, mut reader) = UnixStream::pair().expect("a socket pair");
    errors
        .set_nonblocking(true)
        .expect("the socket becomes non-blocking");
    while (&errors).write(&[b'x'; 1000]).is_ok() {}
    errors
        .set_nonblocking(false)
        .expect("the socket becomes blocking");
    let gateway = GATEWAY.start_with(&config, OwnedFd::from(errors).into());
    // Each command logs one line.
    for _ in 0..20 {
        assert!(gateway.call("maint-on s-00000001").starts_with("done"));
        assert!(gateway.call("maint-off s-00000001").starts_with("done"));
    }
    let (text_sender, texts) = channel();
    thread::spawn(move || {
        let mut text = Vec::new();
        let mut piece = [0; 4096];
        while let Ok(length @ 1..) = reader.read(&mut piece) {
            text.extend_from_slice(&piece[..length]);
            if text.ends_with(b"\n")
                && text_sender
                    .send(String::from_utf8_lossy(&text).into_owned())
                    .is_err()
            {
                break;
            }
        }
    });
    let deadline = Instant::now() + PATIENCE;
    loop {
        assert!(Instant::now() < deadline, "no log line reports lost lines");
        assert!(gateway.call("maint-on s-00000001").starts_with("done"));
        assert!(gateway.call("maint-off s-00000001").starts_with("done"));
        if texts
            .try_iter()
            .any(|text| text.contains(" lines of the log were lost"))
        {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn json_log_lines_have_the_event_name_and_fields() {
    let known = list(&[target("s-00000001", closed_port(), "ready")]);
    let mut config = config(closed_port(), known);
    config["log"] = json!("json");
    let mut gateway = GATEWAY.start_with(&config, Stdio::piped());
    let errors = BufReader::new(gateway.child.stderr.take().expect("stderr is piped"));
    assert!(gateway.call("maint-on s-00000001").starts_with("done"));
    let line = errors
        .lines()
        .map_while(Result::ok)
        .find(|line| line.contains("taken out"));
    let entry: Value = serde_json::from_str(&line.expect("the command is logged")).expect("JSON");
    assert_eq!(
        (&entry["event"], &entry["backend"]),
        (&json!("backend_out"), &json!("s-00000001"))
    );
    assert_eq!(entry["message"], "backend s-00000001 is taken out");
}

#[test]
fn sighup_logs_each_changed_key_that_needs_a_restart() {
    let mut config = config(closed_port(), list(&[]));
    let mut gateway = GATEWAY.start_with(&config, Stdio::piped());
    let mut errors = BufReader::new(gateway.child.stderr.take().expect("stderr is piped"));
    config["settings"]["plans"][0]["unitsPerS"] = json!(7.0);
    config["limits"]["sockets"] = json!(2048);
    config["discovery"] = json!(closed_port().to_string());
    gateway.replace_config(&config.to_string());
    let mut line = String::new();
    while !line.contains("taken over") {
        line.clear();
        assert!(
            errors.read_line(&mut line).expect("the log can be read") > 0,
            "the log ended"
        );
    }
    assert!(
        line.ends_with("it is not in: limits.sockets, settings.plans[starter].unitsPerS\n"),
        "{line}"
    );
}

#[test]
fn check_reports_what_startup_would_report() {
    let mut config = config(closed_port(), list(&[]));
    let check = |config: &Value| {
        let path = GATEWAY.write(config);
        let mut command = Command::new(GATEWAY.path);
        let output = command
            .arg("--check")
            .arg("--config")
            .arg(path)
            .env_remove("BALANCER_CONFIG")
            .output();
        let output = output.expect("the process exits");
        let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
        (
            output.status.code(),
            text(output.stdout),
            text(output.stderr),
        )
    };
    let (code, stdout, _) = check(&config);
    assert_eq!(code, Some(0));
    assert!(
        stdout.starts_with("the configuration is good: ")
            && stdout.contains(" 2 classes, 1 plans,"),
        "{stdout}"
    );
    config["limits"]["sockets"] = json!(5);
    let (code, _, stderr) = check(&config);
    assert_eq!(code, Some(1));
    assert!(
        stderr.starts_with("quota-gateway: limits.sockets: 5 are too few; set at least 41,"),
        "{stderr}"
    );
    config["settings"]["plans"][0]["unitsPerS"] = json!(-1.0);
    let (code, stdout, stderr) = check(&config);
    assert_eq!((code, stdout.as_str()), (Some(1), ""));
    assert!(stderr.contains("plans[0].rate"), "{stderr}");
}

#[test]
fn an_invalid_configuration_ends_the_process_with_a_one_line_error() {
    let mut invalid = config(closed_port(), list(&[]));
    invalid["settings"]["plans"][0]["unitsPerS"] = json!(-1.0);
    let output = GATEWAY
        .spawn(&GATEWAY.write(&invalid), Stdio::piped())
        .wait_with_output()
        .expect("the process exits");
    assert!(!output.status.success());
    let stderr = String::from_utf8(output.stderr).expect("UTF-8");
    let expected = "quota-gateway: setting plans[0].rate: must be a finite number, not below 0; ";
    assert!(
        stderr.starts_with(expected) && stderr.lines().count() == 1,
        "{stderr}"
    );
}

#[test]
fn the_admin_endpoint_answers_only_complete_and_known_commands() {
    let backend = Peer::start();
    let gateway = GATEWAY.before(&[backend.address]);
    // Connections that have sent only half a command do not block others.
    let mut stalled: Vec<TcpStream> = Vec::new();
    for _ in 0..40 {
        let mut connection = TcpStream::connect(gateway.admin).expect("the admin endpoint accepts");
        connection
            .write_all(b"stat")
            .expect("half a command is sent");
        stalled.push(connection);
    }
    assert!(gateway.call("status").starts_with("done"));
    let long = "x".repeat(100_000);
    for invalid in [
        "",
        "hello",
        "status please",
        "maint-on",
        "maint-on nobody",
        "maint-off nobody",
        &long,
    ] {
        assert!(gateway.call(invalid).starts_with("error"), "{invalid:.20}");
    }
    assert!(
        gateway.call("status").starts_with("done"),
        "the endpoint still answers"
    );
}

#[test]
fn status_is_an_error_while_no_backend_is_usable() {
    let gateway = GATEWAY.start(&config(closed_port(), list(&[])));
    assert!(gateway.call("status").starts_with("error"));
}

#[test]
fn stats_count_each_request_by_its_outcome() {
    let backend = Peer::start();
    let gateway = GATEWAY.before(&[backend.address]);
    let mut client = gateway.client();
    client.send(&get("/a"));
    let exchange = backend.next();
    let class = "preview-fetch";
    let during = gateway.stats();
    assert_eq!(
        (&during["in_flight"], &during["attempts"]),
        (&json!(1), &json!(1)),
        "{during}"
    );
    exchange.ok("a");
    client.read();
    client.send(&post("once"));
    backend.next().break_off("");
    assert_eq!(client.read().status(), 504);
    client.send("GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(client.read().status(), 400);
    // A client that disconnects while its request runs.
    let mut leaving_client = gateway.client();
    leaving_client.send(&get("/b"));
    let running = backend.next();
    drop(leaving_client);
    let deadline = Instant::now() + PATIENCE;
    while gateway.stats()["in_flight"] != 0 {
        assert!(
            Instant::now() < deadline,
            "a request whose client disconnected was not ended"
        );
    }
    running.ok("b");
    let after = gateway.stats();
    assert_eq!(after["served"][class], 1, "{after}");
    assert_eq!(after["failed"]["job-submit"], 1, "{after}");
    assert_eq!(
        after["refused"],
        json!({class: 0, "job-submit": 0}),
        "{after}"
    );
    assert_eq!(
        (&after["in_flight"], &after["attempts"]),
        (&json!(0), &json!(3)),
        "{after}"
    );
    assert_eq!(
        (&after["backends_known"], &after["backends_excluded"]),
        (&json!(1), &json!(0))
    );
    assert!(gateway.call("maint-on s-00000000").starts_with("done"));
    assert_eq!(gateway.stats()["backends_excluded"], 1);
    assert_eq!(client.send(&get("/c")).read().status(), 429);
    assert_eq!(gateway.stats()["refused"][class], 1);
}

/// The reply to the admin command `cost`.
fn cost(gateway: &Front) -> Value {
    let answer = gateway.call("cost");
    let (json, end) = answer.trim_end().rsplit_once('\n').expect("two lines");
    assert_eq!(end, "end");
    serde_json::from_str(json).expect("JSON")
}

/// Waits until `cost` reports these numbers of client connections and of idle and busy backend connections.
fn wait_for_descriptors(gateway: &Front, clients: usize, idle: usize, busy: usize) -> Value {
    let deadline = Instant::now() + PATIENCE;
    loop {
        let cost = cost(gateway);
        let open = &cost["descriptors"];
        if (
            &open["clients"],
            &open["backends_idle"],
            &open["backends_busy"],
        ) == (&json!(clients), &json!(idle), &json!(busy))
        {
            return cost;
        }
        assert!(
            Instant::now() < deadline,
            "not {clients} clients, {idle} idle and {busy} busy: {cost}"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn descriptors_are_released_after_each_abnormal_end() {
    let (backend, stuck) = (Peer::start(), Stuck::start());
    let known = list(&[target("s-00000001", backend.address, "ready")]);
    let gateway = GATEWAY.start(&config(closed_port(), known));
    let before = wait_for_descriptors(&gateway, 0, 0, 0);
    // A client that disconnects while its request runs.
    let mut leaving_client = gateway.client();
    leaving_client.send(&get("/gone"));
    let mut running = backend.next();
    wait_for_descriptors(&gateway, 1, 0, 1);
    drop(leaving_client);
    // A client that sends nothing, and one that sends half a request head.
    let silent = gateway.client();
    let mut half = gateway.client();
    half.send("GET /preview-fetch HTTP/1.1\r\nHost:");
    drop((silent, half));
    running.wait_for_close();
    wait_for_descriptors(&gateway, 0, 0, 0);
    // An attempt that times out, and one whose backend closes the connection mid-response.
    let mut client = gateway.client();
    client.send(&get("/late").replace("X-Deadline: 4000m", "X-Deadline: 60m"));
    let late = backend.next();
    assert_eq!(client.read().status(), 504);
    client.send(&post("broken"));
    backend.next().break_off("HTTP/1.1 200 OK\r\n");
    assert_eq!(client.read().status(), 504);
    wait_for_descriptors(&gateway, 1, 0, 0);
    drop(late);
    // A completed attempt leaves an idle connection; one abandoned while connecting leaves none.
    client.send(&get("/well"));
    backend.next().ok("");
    client.read();
    wait_for_descriptors(&gateway, 1, 1, 0);
    drop(client);
    let mut config = config(
        closed_port(),
        list(&[target("s-00000001", stuck.address, "ready")]),
    );
    config["settings"]["bounds"]["connectTimeout"] = json!(20_000.0);
    let other = GATEWAY.start(&config);
    let mut client = other.client();
    client.send(&get("/on-its-way").replace("X-Deadline: 4000m", "X-Deadline: 300m"));
    wait_for_descriptors(&other, 1, 0, 1);
    assert_eq!(client.read().status(), 504);
    drop(client);
    wait_for_descriptors(&other, 0, 0, 0);
    // The process has no more descriptors of its own than before.
    let after = wait_for_descriptors(&gateway, 0, 1, 0);
    assert_eq!(
        after["descriptors"]["own"], before["descriptors"]["own"],
        "{before} {after}"
    );
    assert_eq!(
        (&after["requests"], &after["attempts"]),
        (&json!(4), &json!(4)),
        "{after}"
    );
    let counts = [
        &after["wake_ups"],
        &after["memory_kib"]["resident"],
        &after["memory_kib"]["peak"],
    ];
    assert!(
        counts
            .iter()
            .all(|count| count.as_u64().is_some_and(|count| count > 0)),
        "{after}"
    );
    assert!(
        after["processor_ms"]["user"].is_u64() && after["processor_ms"]["system"].is_u64(),
        "{after}"
    );
    assert!(gateway.call("cost of it").starts_with("error"));
}

#[test]
fn a_backend_in_maintenance_gets_no_requests_whatever_discovery_reports() {
    let peers = [Peer::start(), Peer::start()];
    let targets = [
        target("s-00000001", peers[0].address, "ready"),
        target("s-00000002", peers[1].address, "ready"),
    ];
    let discovery = Discovery::start(list(&targets));
    let gateway = GATEWAY.start(&config(discovery.address, list(&targets)));
    let mut client = gateway.client();
    // Leave an idle connection to each backend that a request could reuse.
    for path in ["/0", "/1", "/2", "/3"] {
        client.send(&get(path));
        next_request(&peers).0.ok("");
        client.read();
    }
    assert!(gateway.call("maint-on s-00000001").starts_with("done"));
    assert!(
        gateway.call("maint-on s-00000001").starts_with("done"),
        "maint-on is idempotent"
    );
    let assert_only_second_serves = |client: &mut Client| {
        for _ in 0..6 {
            client.send(&get("/x"));
            peers[1].next().ok("");
            assert_eq!(client.read().status(), 200);
        }
    };
    assert_only_second_serves(&mut client);
    discovery.tell(json!([target("s-00000001", peers[0].address, "gone")]));
    discovery.tell(json!([target("s-00000001", peers[0].address, "ready")]));
    assert_only_second_serves(&mut client);
    assert!(gateway.call("maint-off s-00000001").starts_with("done"));
    let deadline = Instant::now() + PATIENCE;
    loop {
        client.send(&get("/y"));
        let (exchange, which) = next_request(&peers);
        exchange.ok("");
        client.read();
        if which == 0 {
            break;
        }
        assert!(Instant::now() < deadline, "the backend is not used again");
    }
}

#[test]
fn standby_closes_client_connections_and_active_reverses_it() {
    let backend = Peer::start();
    let gateway = GATEWAY.before(&[backend.address]);
    let health_request = "GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n";
    let serve = |client: &mut Client| {
        client.send(&get(""));
        backend.next().ok("served");
        client.read()
    };
    let (mut busy, mut idle) = (gateway.client(), gateway.client());
    assert_eq!(serve(&mut busy).header("connection"), "");
    assert_eq!(serve(&mut idle).header("connection"), "");
    assert!(gateway.call("standby").starts_with("done"));
    assert_eq!(gateway.client().send(health_request).read().status(), 503);
    let mut late = gateway.client();
    assert_eq!(
        serve(&mut late).header("connection"),
        "close",
        "new connections are still served"
    );
    assert_eq!(serve(&mut busy).header("connection"), "close");
    assert!(gateway.call("standby").starts_with("done"));
    assert!(
        read_message(&idle.stream)
            .expect("the connection closes without a reset")
            .is_none(),
        "idle connections are closed"
    );
    assert_eq!(gateway.client().send(health_request).read().status(), 503);
    assert_eq!(
        serve(&mut gateway.client()).body,
        b"served",
        "new connections are served after the idle ones were closed"
    );
    assert!(gateway.call("active").starts_with("done"));
    assert_eq!(gateway.client().send(health_request).read().status(), 200);
    assert_eq!(serve(&mut gateway.client()).header("connection"), "");
    // SIGTERM during standby ends the process as usual.
    let mut gateway = gateway;
    gateway.call("standby");
    gateway.terminate();
    assert!(gateway.child.wait().expect("the process exits").success());
}

/// Sends a request, answers it at whichever backend receives it, and returns the index of that backend.
fn serve_request(client: &mut Client, peers: &[Peer; 2]) -> usize {
    client.send(&get("/served"));
    let (exchange, which) = next_request(peers);
    exchange.ok("served");
    assert_eq!(client.read().body, b"served");
    which
}

/// Retries a request until the only usable backend, which is in slow start, accepts it.
fn serve_during_slow_start(client: &mut Client, peers: &[Peer; 2], expected: usize) {
    let deadline = Instant::now() + PATIENCE;
    client.send(&get("/cold"));
    loop {
        assert!(Instant::now() < deadline, "the backend is not used again");
        for (which, peer) in peers.iter().enumerate() {
            if let Ok(exchange) = peer.exchanges.recv_timeout(Duration::from_millis(2)) {
                exchange.ok("");
                assert_eq!((which, client.read().status()), (expected, 200));
                return;
            }
        }
        client
            .stream
            .set_read_timeout(Some(Duration::from_millis(2)))
            .expect("the timeout can be set");
        let refused = client.stream.peek(&mut [0]).is_ok();
        client
            .stream
            .set_read_timeout(Some(PATIENCE))
            .expect("the timeout can be set");
        if refused {
            assert_eq!(client.read().status(), 429);
            client.send(&get("/cold"));
        }
    }
}

#[test]
fn a_second_process_takes_over_without_refusing_a_client() {
    let peers = [Peer::start(), Peer::start()];
    let mut first = GATEWAY.before(&[peers[0].address, peers[1].address]);
    let (mut busy, mut idle) = (first.client(), first.client());
    let mut fresh = first.client();
    serve_request(&mut idle, &peers);
    busy.send(&get("/busy"));
    let (running, _) = next_request(&peers);
    assert!(first.call("maint-on s-00000000").starts_with("done"));

    // Meanwhile clients connect one after the other, each on a new connection.
    let (address, stop) = (
        first.address,
        std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false)),
    );
    let connecting_clients = {
        let stop = stop.clone();
        thread::spawn(move || {
            let mut count = 0;
            while !stop.load(Ordering::Relaxed) {
                let mut stream = TcpStream::connect(address).expect("the gateway accepts");
                stream
                    .set_read_timeout(Some(PATIENCE))
                    .expect("the timeout can be set");
                let health_request =
                    b"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
                stream
                    .write_all(health_request)
                    .expect("the request is sent");
                let answer = read_message(&stream)
                    .expect("the connection is not reset")
                    .expect("a response arrives");
                assert_eq!(
                    answer.status(),
                    200,
                    "the gateway serves throughout the hand-over"
                );
                count += 1;
            }
            count
        })
    };
    let mut second = first.successor();
    assert!(
        read_message(&idle.stream)
            .expect("the connection closes without a reset")
            .is_none(),
        "the first process closes idle connections"
    );
    assert_eq!(
        serve_request(&mut fresh, &peers),
        1,
        "a connection without an earlier request is served"
    );
    let mut client = second.client();
    assert_eq!(
        serve_request(&mut client, &peers),
        1,
        "the exclusion holds in the second process"
    );
    assert!(second.call("maint-off s-00000000").starts_with("done"));
    assert!(first.call("maint-on s-00000001").starts_with("done"));
    let deadline = Instant::now() + PATIENCE;
    while second.stats()["backends_excluded"] != 1 {
        assert!(
            Instant::now() < deadline,
            "the second process did not learn of the exclusion"
        );
    }
    // Backend 0 returns in slow start; the first process has excluded the other.
    serve_during_slow_start(&mut client, &peers, 0);
    running.ok("busy");
    assert_eq!(busy.read().body, b"busy");
    first.terminate();
    assert!(first.child.wait().expect("the process exits").success());
    serve_during_slow_start(&mut client, &peers, 0);
    stop.store(true, Ordering::Relaxed);
    assert!(connecting_clients.join().expect("every client was served") > 0);

    // The second process is replaced too, after it was killed without a hand-over.
    second.child.kill().expect("the process is killed");
    second.child.wait().expect("the process exits");
    let third = second.successor();
    assert_eq!(
        third.stats()["backends_excluded"],
        1,
        "the exclusion outlives the killed process"
    );
    serve_during_slow_start(&mut third.client(), &peers, 0);
}

#[test]
fn the_first_process_keeps_serving_after_its_successor_is_killed() {
    let peers = [Peer::start(), Peer::start()];
    let first = GATEWAY.before(&[peers[0].address, peers[1].address]);
    let mut second = first.successor();
    second.child.kill().expect("the process is killed");
    second.child.wait().expect("the process exits");
    serve_request(&mut first.client(), &peers);
    let third = first.successor();
    serve_request(&mut third.client(), &peers);
}

/// A body whose bytes depend on their position.
fn positional_body(length: usize) -> Vec<u8> {
    (0..length).map(|at| (at / 7 + at / 65_521) as u8).collect()
}

#[test]
fn a_long_response_is_streamed_while_the_backend_still_writes_it() {
    let backend = Peer::start();
    let gateway = GATEWAY.before(&[backend.address]);
    let body = positional_body(3 << 20);
    for chunked in [false, true] {
        let mut client = gateway.client();
        client.send(&get("/long"));
        let mut exchange = backend.next();
        let framing = if chunked {
            "Transfer-Encoding: chunked".to_string()
        } else {
            format!("Content-Length: {}", body.len())
        };
        let head = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n");
        exchange
            .stream
            .write_all(head.as_bytes())
            .expect("the response head is sent");
        let write = move |stream: &mut TcpStream, piece: &[u8]| {
            if chunked {
                stream
                    .write_all(format!("{:x};a=b\r\n", piece.len()).as_bytes())
                    .expect("a chunk size");
            }
            stream.write_all(piece).expect("the data is sent");
            if chunked {
                stream.write_all(b"\r\n").expect("the end of a chunk");
            }
        };
        // The client receives the first half before the backend writes the second.
        let (first, second) = body.split_at(body.len() / 2);
        let mut reader = BufReader::new(
            client
                .stream
                .try_clone()
                .expect("the socket can be duplicated"),
        );
        let mut line = String::new();
        let (half_received, wait_for_half) = channel();
        let writing = {
            let (first, second) = (first.to_vec(), second.to_vec());
            thread::spawn(move || {
                for piece in first.chunks(100_000) {
                    write(&mut exchange.stream, piece);
                }
                wait_for_half.recv().expect("the client has the first half");
                for piece in second.chunks(10_007) {
                    write(&mut exchange.stream, piece);
                }
                if chunked {
                    exchange
                        .stream
                        .write_all(b"0\r\nX-Trailer: 1\r\n\r\n")
                        .expect("the last chunk is sent");
                }
            })
        };
        reader.read_line(&mut line).expect("a status");
        assert!(line.starts_with("HTTP/1.1 200"), "{line}");
        while line != "\r\n" {
            line.clear();
            reader.read_line(&mut line).expect("a header");
        }
        let mut got = Vec::new();
        while got.len() < body.len() {
            let wanted = if got.len() < first.len() {
                first.len()
            } else {
                body.len()
            } - got.len();
            if chunked {
                line.clear();
                reader.read_line(&mut line).expect("a chunk size");
                let size = usize::from_str_radix(line.trim(), 16).expect("a size");
                let mut chunk = vec![0; size + 2];
                reader.read_exact(&mut chunk).expect("a chunk");
                got.extend_from_slice(&chunk[..size]);
            } else {
                let mut piece = vec![0; wanted.min(50_000)];
                reader.read_exact(&mut piece).expect("a piece");
                got.extend_from_slice(&piece);
            }
            if got.len() >= first.len() {
                let _ = half_received.send(());
            }
        }
        writing.join().expect("the backend has written everything");
        assert!(got == body, "unchanged");
        if chunked {
            line.clear();
            reader.read_line(&mut line).expect("the last chunk");
            assert_eq!(line, "0\r\n");
        }
    }
    let deadline = Instant::now() + PATIENCE;
    while gateway.stats()["served"]["preview-fetch"] != 2 {
        assert!(
            Instant::now() < deadline,
            "the requests were not both counted as served"
        );
    }
    assert_eq!(gateway.stats()["in_flight"], 0);
}

#[test]
fn a_truncated_long_response_is_detectable_by_the_client() {
    let backend = Peer::start();
    let gateway = GATEWAY.before(&[backend.address]);
    let mut client = gateway.client();
    client.send(&get("/long"));
    let long = "x".repeat(100_000);
    backend.next().break_off(&format!(
        "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n{long}"
    ));
    let mut got = Vec::new();
    // A reset and a close before the announced length both show the truncation.
    let _ = client.stream.read_to_end(&mut got);
    assert!(got.len() < 200_000);
    let deadline = Instant::now() + PATIENCE;
    while gateway.stats()["failed"]["preview-fetch"] != 1 {
        assert!(
            Instant::now() < deadline,
            "the request was not counted as failed"
        );
    }
}

#[test]
fn a_long_request_body_is_streamed() {
    let backend = Peer::start();
    let gateway = GATEWAY.before(&[backend.address]);
    let mut client = gateway.client();
    let body = positional_body(2 << 20);
    let head = post("").replace(
        "Content-Length: 0",
        &format!("Content-Length: {}", body.len()),
    );
    client.send(&head.replace("Host:", "Expect: 100-continue\r\nHost:"));
    let mut interim = [0; 25];
    client
        .stream
        .read_exact(&mut interim)
        .expect("an interim response");
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    let mut stream = client
        .stream
        .try_clone()
        .expect("the socket can be duplicated");
    let sent = body.clone();
    let sending = thread::spawn(move || {
        for piece in sent.chunks(33_333) {
            stream.write_all(piece).expect("the data is sent");
        }
    });
    let exchange = backend.next();
    assert!(exchange.request.body == body, "unchanged");
    exchange.ok("received");
    sending.join().expect("the client has sent everything");
    assert_eq!(client.read().body, b"received");
    assert_eq!(gateway.stats()["attempts"], 1);
}
