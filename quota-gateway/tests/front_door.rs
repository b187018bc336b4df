//! The front door over loopback sockets: the built program against small scripted peers.

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

const FRONT: Program = Program {
    path: env!("CARGO_BIN_EXE_quota-gateway"),
    folder: env!("CARGO_TARGET_TMPDIR"),
};

#[test]
fn serves_the_backends_answer_unchanged() {
    let backend = Peer::start();
    let front = FRONT.before(&[backend.address]);
    let mut client = front.client();
    let job = post("a job").replace("/job-submit", "/job-submit/7?a=b%20c");
    client.send(&job.replace("Plan:", "Connection: X-Hop\r\nX-Hop: 1\r\nPlan:"));
    let exchange = backend.next();
    assert_eq!(exchange.request.line, "POST /job-submit/7?a=b%20c HTTP/1.1");
    assert_eq!(exchange.request.header("x-request-id"), "9b1f03aa5c7e2d41");
    assert_eq!(
        exchange.request.header("x-hop"),
        "",
        "it speaks of the client's connection alone"
    );
    assert_eq!(exchange.request.body, b"a job");
    let wait = exchange
        .request
        .header("x-deadline")
        .strip_suffix('u')
        .expect("microseconds");
    assert!(
        (1..4_000_000).contains(&wait.parse().expect("a number")),
        "waits {wait} us"
    );
    let port = exchange.stream.peer_addr().expect("a peer").port();
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
        "the meter's figure is for the front door alone"
    );

    client.send(&get("/x"));
    let exchange = backend.next();
    assert_eq!(
        exchange.stream.peer_addr().expect("a peer").port(),
        port,
        "the connection is used again"
    );
    exchange.ok("again");
    assert_eq!(client.read().body, b"again");
}

#[test]
fn healthz_tells_whether_it_can_serve() {
    let discovery = Discovery::start(list(&[]));
    let backend = Peer::start();
    let front = FRONT.start(&config(discovery.address, list(&[])));
    let ask = "GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n";
    assert_eq!(front.client().send(ask).read().status(), 503);
    discovery.tell(json!([target("s-00000001", backend.address, "ready")]));
    assert_eq!(front.client().send(ask).read().status(), 200);
}

#[test]
fn refuses_at_once_and_says_when_to_come_back() {
    let backend = Peer::start();
    let known = list(&[target("s-00000001", backend.address, "draining")]);
    let front = FRONT.start(&config(closed_port(), known));
    let asked = Instant::now();
    let answer = front.client().send(&get("")).read();
    assert_eq!(answer.status(), 429);
    assert_eq!(answer.header("retry-after"), "0.500");
    assert!(
        asked.elapsed() < Duration::from_millis(1000),
        "not held back"
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
        let front = FRONT.before(&[backends[0].address, backends[1].address]);
        let mut client = front.client();
        client.send(&post("once"));
        let first = next_of(&backends).0;
        first.break_off(bytes);
        assert_eq!(client.read().status(), 504, "after {bytes:?}");
        // The marker is the next that any backend sees.
        client.send(&post("marker"));
        let (exchange, _) = next_of(&backends);
        assert_eq!(exchange.request.body, b"marker");
        exchange.ok("");
        assert_eq!(client.read().status(), 200);
    }
}

/// The next request that reaches one of the two, and which of them.
fn next_of(peers: &[Peer; 2]) -> (Exchange, usize) {
    let until = Instant::now() + PATIENCE;
    loop {
        for (n, peer) in peers.iter().enumerate() {
            if let Ok(exchange) = peer.exchanges.recv_timeout(Duration::from_millis(2)) {
                return (exchange, n);
            }
        }
        assert!(Instant::now() < until, "no request comes");
    }
}

#[test]
fn what_was_turned_away_goes_elsewhere() {
    let backends = [Peer::start(), Peer::start()];
    let front = FRONT.before(&[backends[0].address, backends[1].address]);
    let mut client = front.client();
    client.send(&post("a job"));
    let (exchange, first) = next_of(&backends);
    exchange.answer("503 Full", "X-Not-Run: 1\r\n", "");
    let (exchange, second) = next_of(&backends);
    assert_ne!(first, second);
    assert_eq!(exchange.request.body, b"a job");
    exchange.ok("done");
    assert_eq!(client.read().status(), 200);
}

#[test]
fn what_could_not_connect_was_never_sent() {
    let front = FRONT.before(&[closed_port()]);
    // Only a refusal, and no failure, says that nothing ran.
    assert_eq!(front.client().send(&post("a job")).read().status(), 429);
}

#[test]
fn an_idle_connection_that_the_backend_closed_costs_no_request() {
    let backend = Peer::start();
    let front = FRONT.before(&[backend.address]);
    let mut client = front.client();
    for _ in 0..3 {
        client.send(&post("a job"));
        backend
            .next()
            .break_off("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        assert_eq!(client.read().status(), 200);
    }
}

#[test]
fn a_draining_backend_gets_nothing_new() {
    let backends = [Peer::start(), Peer::start()];
    let both = list(&[
        target("s-00000001", backends[0].address, "ready"),
        target("s-00000002", backends[1].address, "ready"),
    ]);
    let discovery = Discovery::start(both.clone());
    let front = FRONT.start(&config(discovery.address, both));
    discovery.tell(json!([target(
        "s-00000001",
        backends[0].address,
        "draining"
    )]));
    let mut client = front.client();
    for _ in 0..6 {
        client.send(&get(""));
        let (exchange, n) = next_of(&backends);
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
    let front = FRONT.start(&config);
    let mut client = front.client();
    client.send(&post("a job"));
    stuck.wait_for_connect();
    discovery.tell(json!([target("s-00000001", stuck.address, "draining")]));
    let reader = thread::spawn(move || client.read().status());
    assert_eq!(String::from_utf8_lossy(&stuck.open()), "");
    assert_eq!(reader.join().expect("an answer"), 429);
}

#[test]
fn nothing_is_sent_for_a_client_that_has_gone() {
    let stuck = Stuck::start();
    let mut config = config(
        closed_port(),
        list(&[target("s-00000001", stuck.address, "ready")]),
    );
    config["settings"]["bounds"]["connectTimeout"] = json!(30_000.0);
    let front = FRONT.start(&config);
    let mut client = front.client();
    client.send(&post("a job"));
    stuck.wait_for_connect();
    drop(client);
    assert_eq!(String::from_utf8_lossy(&stuck.open()), "");
}

#[test]
fn a_client_that_goes_while_its_request_runs_disturbs_no_other() {
    let backend = Peer::start();
    let front = FRONT.before(&[backend.address]);
    let mut gone = front.client();
    gone.send(&post("gone"));
    let exchange = backend.next();
    drop(gone);
    let mut client = front.client();
    client.send(&post("here"));
    let here = backend.next();
    exchange.ok("for nobody");
    here.ok("for the one who stayed");
    assert_eq!(client.read().body, b"for the one who stayed");
}

#[test]
fn at_the_deadline_the_client_is_told_and_the_attempts_socket_closed() {
    let backend = Peer::start();
    let front = FRONT.before(&[backend.address]);
    let mut client = front.client();
    let asked = Instant::now();
    client.send(&post("a job").replace("4000m", "300000u"));
    let mut exchange = backend.next();
    assert_eq!(client.read().status(), 504);
    assert!(
        asked.elapsed() >= Duration::from_millis(250),
        "given up early, after {:?}",
        asked.elapsed()
    );
    exchange.wait_for_close();
}

#[test]
fn an_attempts_socket_is_closed_before_the_next_attempt_goes_out() {
    let backends = [Peer::start(), Peer::start()];
    let front = FRONT.before(&[backends[0].address, backends[1].address]);
    let mut client = front.client();
    client.send(&get(""));
    let (mut silent, first) = next_of(&backends);
    // The module gives up on the silent backend long before the deadline.
    let (exchange, second) = next_of(&backends);
    assert_ne!(first, second);
    silent
        .stream
        .set_nonblocking(true)
        .expect("the mode is set");
    silent.wait_for_close();
    exchange.ok("from the other");
    assert_eq!(client.read().body, b"from the other");
}

#[test]
fn malformed_input_gets_400_and_reaches_no_backend() {
    let backend = Peer::start();
    let front = FRONT.before(&[backend.address]);
    let good = get("");
    let spoilt = [
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
    for (right, wrong) in spoilt {
        assert!(good.contains(right));
        assert_eq!(
            front
                .client()
                .send(&good.replace(right, wrong))
                .read()
                .status(),
            400,
            "{wrong:?}"
        );
    }
    let long = "x".repeat(64 * 1024);
    let mut client = front.client();
    client.send(&post(&long));
    let exchange = backend.next();
    assert_eq!(
        exchange.request.body.len(),
        long.len(),
        "the first that the backend sees is well formed"
    );
    exchange.ok(&long);
    assert_eq!(client.read().body.len(), long.len());
}

/// Each of these peers waits for an end of its own accord far longer than it takes here.
#[test]
fn peers_that_do_not_finish_a_request_are_let_go() {
    let backend = Peer::start();
    let front = FRONT.before(&[backend.address]);
    let healthz = "GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n";
    let short = post("a job").replace("a job", "a");
    let unfinished = ["", "GET /preview-fetch HT", healthz, &short];
    let asked = Instant::now();
    let mut peers: Vec<Client> = unfinished.iter().map(|_| front.client()).collect();
    for (peer, sent) in peers.iter_mut().zip(unfinished) {
        peer.send(sent);
    }
    let ends: Vec<String> = peers
        .iter_mut()
        .map(|peer| {
            let mut answer = String::new();
            peer.stream
                .read_to_string(&mut answer)
                .expect("an orderly end");
            answer.lines().next().unwrap_or_default().to_string()
        })
        .collect();
    assert_eq!(
        ends,
        ["", "", "HTTP/1.1 200 OK", "HTTP/1.1 408 Request Timeout"]
    );
    // The end is owed within 3 s; the rest is for a slow machine.
    assert!(
        asked.elapsed() < Duration::from_millis(8000),
        "it took {:?}",
        asked.elapsed()
    );
    assert!(
        backend.exchanges.try_recv().is_err(),
        "none of that reaches a backend"
    );
}

#[test]
fn a_silent_discovery_disturbs_nothing_and_is_asked_anew() {
    let backend = Peer::start();
    let silent = Peer::start();
    let front = FRONT.start(&config(
        silent.address,
        list(&[target("s-00000001", backend.address, "ready")]),
    ));
    let mut call = silent.next();
    let (glance, watch) = ["200", "4000"]
        .map(|ms| format!("GET /v1/servers?after=1&wait_ms={ms} HTTP/1.1"))
        .into();
    assert_eq!(
        call.request.line, glance,
        "what is newer than the list that the configuration holds"
    );
    // Each asks on a connection of its own: one that stands idle is closed.
    let serve = || {
        let mut client = front.client();
        client.send(&get(""));
        backend.next().ok("served");
        assert_eq!(client.read().status(), 200);
    };
    serve();
    call.wait_for_close();
    // Turned away: the list held is as good as before, and the whole one would be the dearest of calls.
    let call = silent.next();
    assert_eq!(call.request.line, glance);
    call.answer("503 Service Unavailable", "Connection: close\r\n", "");
    // What makes no sense is no list, and the list held stays in force.
    let call = silent.next();
    assert_eq!(call.request.line, glance);
    call.ok("{\"rev\":");
    let call = silent.next();
    assert_eq!(call.request.line, "GET /v1/servers HTTP/1.1");
    serve();
    call.ok(&list(&[]).to_string());
    assert_eq!(silent.next().request.line, watch);
    assert_eq!(
        front.client().send(&get("")).read().status(),
        429,
        "no backend is left"
    );
}

#[test]
fn sighup_moves_the_watch_to_the_address_in_the_replaced_configuration() {
    let backends = [Peer::start(), Peer::start()];
    let (old, new) = (Peer::start(), Peer::start());
    let known = list(&[target("s-00000001", backends[0].address, "ready")]);
    let mut config = config(old.address, known);
    let front = FRONT.start(&config);
    let mut watch = old.next();
    let mut client = front.client();
    client.send(&get(""));
    let in_hand = backends[0].next();

    config["discovery"] = json!(new.address.to_string());
    front.replace_config(&config.to_string());
    let call = new.next();
    assert_eq!(
        call.request.line, "GET /v1/servers HTTP/1.1",
        "the whole list is asked for"
    );
    watch.wait_for_close();
    call.ok(&list(&[target("s-00000002", backends[1].address, "ready")]).to_string());
    assert_eq!(
        new.next().request.line,
        "GET /v1/servers?after=1&wait_ms=4000 HTTP/1.1"
    );
    in_hand.ok("begun before");
    assert_eq!(
        client.read().body,
        b"begun before",
        "what was in hand is not disturbed"
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
    let front = FRONT.start(&config);
    agent.next().ok(&known.to_string());
    let mut client = front.client();
    config["discovery"] = json!("nowhere");
    for text in ["", "{\"discovery\":", "{}", &config.to_string()] {
        let watch = agent.next();
        front.replace_config(text);
        client.send(&get(""));
        backend.next().ok("");
        assert_eq!(client.read().status(), 200, "after {text:?}");
        watch.ok(&json!({"rev": 1, "all": false, "targets": []}).to_string());
    }
    assert!(
        agent.next().request.line.contains("after=1"),
        "the watch goes on"
    );
}

#[test]
fn sigterm_ends_it_in_order() {
    let backend = Peer::start();
    let mut front = FRONT.before(&[backend.address]);
    let mut idle = front.client();
    idle.send(&get(""));
    backend.next().ok("");
    assert_eq!(idle.read().status(), 200);
    let mut busy = front.client();
    busy.send(&post("in hand"));
    let in_hand = backend.next();
    front.terminate();
    // Until the signal has come, answers keep their connections.
    let until = Instant::now() + PATIENCE;
    loop {
        let mut late = front.client();
        late.send(&get(""));
        backend.next().ok("late");
        let answer = late.read();
        assert_eq!(answer.status(), 200);
        if answer.header("connection") == "close" {
            break;
        }
        assert!(Instant::now() < until, "the signal does nothing");
    }
    let mut byte = [0];
    assert_eq!(
        idle.stream.read(&mut byte).expect("an orderly end"),
        0,
        "idle connections are closed"
    );
    in_hand.ok("finished");
    let answer = busy.read();
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, "close")
    );
    assert!(front.child.wait().expect("it ends").success());
}

#[test]
fn sigterm_ends_it_though_a_backend_is_silent() {
    let backend = Peer::start();
    let mut config = config(
        closed_port(),
        list(&[target("s-00000001", backend.address, "ready")]),
    );
    config["settings"]["classes"][1]["deadline"] = json!(12_000.0);
    let mut front = FRONT.start(&config);
    let mut client = front.client();
    client.send(&post("a job").replace("4000m", "12000m"));
    let _silent = backend.next();
    let asked = Instant::now();
    front.terminate();
    assert_eq!(client.read().status(), 504);
    assert!(front.child.wait().expect("it ends").success());
    // SIGKILL may come after 3.7 s, however long the client would wait; the rest is for a slow machine.
    assert!(
        asked.elapsed() < Duration::from_millis(8000),
        "it took {:?}",
        asked.elapsed()
    );
}

#[test]
fn idle_connections_give_way_when_descriptors_run_out() {
    let backend = Peer::start();
    let mut config = config(
        closed_port(),
        list(&[target("s-00000001", backend.address, "ready")]),
    );
    config["limits"]["sockets"] = json!(48);
    let front = FRONT.start(&config);
    let _idle: Vec<Client> = (0..60).map(|_| front.client()).collect();
    let served = thread::spawn(move || backend.next().ok("served"));
    let until = Instant::now() + PATIENCE;
    loop {
        let status = front.client().send(&get("")).read().status();
        if status == 200 {
            break;
        }
        assert_eq!(status, 429);
        assert!(
            Instant::now() < until,
            "the idle connections keep all others out"
        );
    }
    served.join().expect("the backend serves one");
}

#[test]
fn a_log_that_nobody_takes_ends_nothing() {
    let known = list(&[target("s-00000001", closed_port(), "draining")]);
    let config = config(closed_port(), known);
    let mut front = FRONT.start_with(&config, Stdio::piped());
    drop(front.child.stderr.take());
    let mut client = front.client();
    // The module reports once a second that it has no server.
    let until = Instant::now() + Duration::from_millis(2500);
    while Instant::now() < until {
        assert_eq!(client.send(&get("")).read().status(), 429);
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn a_log_that_is_full_blocks_nothing_and_tells_what_was_lost() {
    let known = list(&[target("s-00000001", closed_port(), "draining")]);
    let config = config(closed_port(), known);
    let (errors, mut reader) = UnixStream::pair().expect("a pair of sockets");
    errors.set_nonblocking(true).expect("it does not wait");
    while (&errors).write(&[b'x'; 1000]).is_ok() {}
    errors.set_nonblocking(false).expect("it waits");
    let front = FRONT.start_with(&config, OwnedFd::from(errors).into());
    // Each of these is a line of the log.
    for _ in 0..20 {
        assert!(front.call("maint-on s-00000001").starts_with("done"));
        assert!(front.call("maint-off s-00000001").starts_with("done"));
    }
    let (taken, lines) = channel();
    thread::spawn(move || {
        let mut text = Vec::new();
        let mut piece = [0; 4096];
        while let Ok(length @ 1..) = reader.read(&mut piece) {
            text.extend_from_slice(&piece[..length]);
            if text.ends_with(b"\n")
                && taken
                    .send(String::from_utf8_lossy(&text).into_owned())
                    .is_err()
            {
                break;
            }
        }
    });
    let until = Instant::now() + PATIENCE;
    loop {
        assert!(Instant::now() < until, "no line tells what was lost");
        assert!(front.call("maint-on s-00000001").starts_with("done"));
        assert!(front.call("maint-off s-00000001").starts_with("done"));
        if lines
            .try_iter()
            .any(|text| text.contains(" lines of the log were lost"))
        {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn lines_of_json_have_the_events_name_and_fields() {
    let known = list(&[target("s-00000001", closed_port(), "ready")]);
    let mut config = config(closed_port(), known);
    config["log"] = json!("json");
    let mut front = FRONT.start_with(&config, Stdio::piped());
    let errors = BufReader::new(front.child.stderr.take().expect("it is piped"));
    assert!(front.call("maint-on s-00000001").starts_with("done"));
    let line = errors
        .lines()
        .map_while(Result::ok)
        .find(|line| line.contains("taken out"));
    let told: Value = serde_json::from_str(&line.expect("a line")).expect("JSON");
    assert_eq!(
        (&told["event"], &told["backend"]),
        (&json!("backend_out"), &json!("s-00000001"))
    );
    assert_eq!(told["message"], "backend s-00000001 is taken out");
}

#[test]
fn sighup_names_each_key_that_differs_and_is_not_taken_over() {
    let mut config = config(closed_port(), list(&[]));
    let mut front = FRONT.start_with(&config, Stdio::piped());
    let mut errors = BufReader::new(front.child.stderr.take().expect("it is piped"));
    config["settings"]["plans"][0]["unitsPerS"] = json!(7.0);
    config["limits"]["sockets"] = json!(2048);
    config["discovery"] = json!(closed_port().to_string());
    front.replace_config(&config.to_string());
    let mut said = String::new();
    while !said.contains("taken over") {
        said.clear();
        assert!(
            errors.read_line(&mut said).expect("the log goes on") > 0,
            "the log ended"
        );
    }
    assert!(
        said.ends_with("it is not in: limits.sockets, settings.plans[starter].unitsPerS\n"),
        "{said}"
    );
}

#[test]
fn check_says_what_a_start_would_find() {
    let mut config = config(closed_port(), list(&[]));
    let check = |config: &Value| {
        let path = FRONT.write(config);
        let mut command = Command::new(FRONT.path);
        let output = command
            .arg("--check")
            .arg("--config")
            .arg(path)
            .env_remove("BALANCER_CONFIG")
            .output();
        let output = output.expect("it ends");
        let text = |bytes| String::from_utf8(bytes).expect("text");
        (
            output.status.code(),
            text(output.stdout),
            text(output.stderr),
        )
    };
    let (code, said, _) = check(&config);
    assert_eq!(code, Some(0));
    assert!(
        said.starts_with("the configuration is good: ") && said.contains(" 2 classes, 1 plans,"),
        "{said}"
    );
    config["limits"]["sockets"] = json!(5);
    let (code, _, said) = check(&config);
    assert_eq!(code, Some(1));
    assert!(
        said.starts_with("quota-gateway: limits.sockets: 5 are too few; set at least 41,"),
        "{said}"
    );
    config["settings"]["plans"][0]["unitsPerS"] = json!(-1.0);
    let (code, said, problem) = check(&config);
    assert_eq!((code, said.as_str()), (Some(1), ""));
    assert!(problem.contains("plans[0].rate"), "{problem}");
}

#[test]
fn bad_configuration_ends_with_one_plain_line() {
    let mut bad = config(closed_port(), list(&[]));
    bad["settings"]["plans"][0]["unitsPerS"] = json!(-1.0);
    let output = FRONT
        .spawn(&FRONT.write(&bad), Stdio::piped())
        .wait_with_output()
        .expect("it ends");
    assert!(!output.status.success());
    let said = String::from_utf8(output.stderr).expect("text");
    let problem = "quota-gateway: setting plans[0].rate: must be a finite number, not below 0; ";
    assert!(
        said.starts_with(problem) && said.lines().count() == 1,
        "{said}"
    );
}

#[test]
fn the_operators_door_answers_whole_calls_and_no_others() {
    let backend = Peer::start();
    let front = FRONT.before(&[backend.address]);
    // Callers who say nothing, or half a call, hold up no one.
    let mut holding: Vec<TcpStream> = Vec::new();
    for _ in 0..40 {
        let mut caller = TcpStream::connect(front.admin).expect("the operators' door accepts");
        caller.write_all(b"stat").expect("half a call goes out");
        holding.push(caller);
    }
    assert!(front.call("status").starts_with("done"));
    let long = "x".repeat(100_000);
    for wrong in [
        "",
        "hello",
        "status please",
        "maint-on",
        "maint-on nobody",
        "maint-off nobody",
        &long,
    ] {
        assert!(front.call(wrong).starts_with("error"), "{wrong:.20}");
    }
    assert!(
        front.call("status").starts_with("done"),
        "it goes on after that"
    );
}

#[test]
fn status_says_no_while_there_is_no_backend_to_send_to() {
    let front = FRONT.start(&config(closed_port(), list(&[])));
    assert!(front.call("status").starts_with("error"));
}

#[test]
fn the_numbers_count_each_request_where_it_ends() {
    let backend = Peer::start();
    let front = FRONT.before(&[backend.address]);
    let mut client = front.client();
    client.send(&get("/a"));
    let exchange = backend.next();
    let class = "preview-fetch";
    let during = front.stats();
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
    // A client that goes while its request runs.
    let mut gone = front.client();
    gone.send(&get("/b"));
    let running = backend.next();
    drop(gone);
    let until = Instant::now() + PATIENCE;
    while front.stats()["in_flight"] != 0 {
        assert!(
            Instant::now() < until,
            "a request whose client has gone is over"
        );
    }
    running.ok("b");
    let after = front.stats();
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
    assert!(front.call("maint-on s-00000000").starts_with("done"));
    assert_eq!(front.stats()["backends_excluded"], 1);
    assert_eq!(client.send(&get("/c")).read().status(), 429);
    assert_eq!(front.stats()["refused"][class], 1);
}

/// What `cost` tells.
fn cost(front: &Front) -> Value {
    let answer = front.call("cost");
    let (figures, end) = answer.trim_end().rsplit_once('\n').expect("two lines");
    assert_eq!(end, "end");
    serde_json::from_str(figures).expect("JSON")
}

/// Waits until `cost` says so many descriptors of clients, of idle and of busy connections to backends.
fn wait_for_descriptors(front: &Front, clients: usize, idle: usize, busy: usize) -> Value {
    let until = Instant::now() + PATIENCE;
    loop {
        let cost = cost(front);
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
            Instant::now() < until,
            "not {clients} clients, {idle} idle and {busy} busy: {cost}"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn descriptors_come_back_after_each_odd_ending() {
    let (backend, stuck) = (Peer::start(), Stuck::start());
    let known = list(&[target("s-00000001", backend.address, "ready")]);
    let front = FRONT.start(&config(closed_port(), known));
    let before = wait_for_descriptors(&front, 0, 0, 0);
    // A client that goes while its request runs.
    let mut gone = front.client();
    gone.send(&get("/gone"));
    let mut running = backend.next();
    wait_for_descriptors(&front, 1, 0, 1);
    drop(gone);
    // A client that never sends, one that sends half a head, and one that resets.
    let silent = front.client();
    let mut half = front.client();
    half.send("GET /preview-fetch HTTP/1.1\r\nHost:");
    drop((silent, half));
    running.wait_for_close();
    wait_for_descriptors(&front, 0, 0, 0);
    // An attempt that runs out of time, and one whose backend breaks off.
    let mut client = front.client();
    client.send(&get("/late").replace("X-Deadline: 4000m", "X-Deadline: 60m"));
    let late = backend.next();
    assert_eq!(client.read().status(), 504);
    client.send(&post("broken"));
    backend.next().break_off("HTTP/1.1 200 OK\r\n");
    assert_eq!(client.read().status(), 504);
    wait_for_descriptors(&front, 1, 0, 0);
    drop(late);
    // One that ends well leaves its connection, and one that is on its way leaves none once it is given up.
    client.send(&get("/well"));
    backend.next().ok("");
    client.read();
    wait_for_descriptors(&front, 1, 1, 0);
    drop(client);
    let mut config = config(
        closed_port(),
        list(&[target("s-00000001", stuck.address, "ready")]),
    );
    config["settings"]["bounds"]["connectTimeout"] = json!(20_000.0);
    let other = FRONT.start(&config);
    let mut client = other.client();
    client.send(&get("/on-its-way").replace("X-Deadline: 4000m", "X-Deadline: 300m"));
    wait_for_descriptors(&other, 1, 0, 1);
    assert_eq!(client.read().status(), 504);
    drop(client);
    wait_for_descriptors(&other, 0, 0, 0);
    // Nothing of the program's own has come to stay.
    let after = wait_for_descriptors(&front, 0, 1, 0);
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
    assert!(front.call("cost of it").starts_with("error"));
}

#[test]
fn a_backend_that_is_taken_out_gets_nothing_whatever_the_list_says() {
    let peers = [Peer::start(), Peer::start()];
    let targets = [
        target("s-00000001", peers[0].address, "ready"),
        target("s-00000002", peers[1].address, "ready"),
    ];
    let discovery = Discovery::start(list(&targets));
    let front = FRONT.start(&config(discovery.address, list(&targets)));
    let mut client = front.client();
    // Both get an idle connection that a request could take.
    for path in ["/0", "/1", "/2", "/3"] {
        client.send(&get(path));
        next_of(&peers).0.ok("");
        client.read();
    }
    assert!(front.call("maint-on s-00000001").starts_with("done"));
    assert!(
        front.call("maint-on s-00000001").starts_with("done"),
        "twice is once"
    );
    let none_to_the_first = |client: &mut Client| {
        for _ in 0..6 {
            client.send(&get("/x"));
            peers[1].next().ok("");
            assert_eq!(client.read().status(), 200);
        }
    };
    none_to_the_first(&mut client);
    discovery.tell(json!([target("s-00000001", peers[0].address, "gone")]));
    discovery.tell(json!([target("s-00000001", peers[0].address, "ready")]));
    none_to_the_first(&mut client);
    assert!(front.call("maint-off s-00000001").starts_with("done"));
    let until = Instant::now() + PATIENCE;
    loop {
        client.send(&get("/y"));
        let (exchange, which) = next_of(&peers);
        exchange.ok("");
        client.read();
        if which == 0 {
            break;
        }
        assert!(Instant::now() < until, "it is used again");
    }
}

#[test]
fn standby_sends_clients_away_and_active_takes_them_again() {
    let backend = Peer::start();
    let front = FRONT.before(&[backend.address]);
    let ask = "GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n";
    let serve = |client: &mut Client| {
        client.send(&get(""));
        backend.next().ok("served");
        client.read()
    };
    let (mut busy, mut idle) = (front.client(), front.client());
    assert_eq!(serve(&mut busy).header("connection"), "");
    assert_eq!(serve(&mut idle).header("connection"), "");
    assert!(front.call("standby").starts_with("done"));
    assert_eq!(front.client().send(ask).read().status(), 503);
    let mut late = front.client();
    assert_eq!(
        serve(&mut late).header("connection"),
        "close",
        "who still comes is served"
    );
    assert_eq!(serve(&mut busy).header("connection"), "close");
    assert!(front.call("standby").starts_with("done"));
    assert!(
        read_message(&idle.stream).expect("a close").is_none(),
        "what is idle is closed in time"
    );
    assert_eq!(front.client().send(ask).read().status(), 503);
    assert_eq!(
        serve(&mut front.client()).body,
        b"served",
        "none is turned away even then"
    );
    assert!(front.call("active").starts_with("done"));
    assert_eq!(front.client().send(ask).read().status(), 200);
    assert_eq!(serve(&mut front.client()).header("connection"), "");
    // An end in the middle of it is an end like any other.
    let mut front = front;
    front.call("standby");
    front.terminate();
    assert!(front.child.wait().expect("it ends").success());
}

/// Serves a request of this client at whichever backend gets it, and returns which that is.
fn served(client: &mut Client, peers: &[Peer; 2]) -> usize {
    client.send(&get("/served"));
    let (exchange, which) = next_of(peers);
    exchange.ok("served");
    assert_eq!(client.read().body, b"served");
    which
}

/// Asks until this backend, the only one to send to, is no longer too cold for the request.
fn served_cold(client: &mut Client, peers: &[Peer; 2], wanted: usize) {
    let until = Instant::now() + PATIENCE;
    client.send(&get("/cold"));
    loop {
        assert!(Instant::now() < until, "it is used again");
        for (which, peer) in peers.iter().enumerate() {
            if let Ok(exchange) = peer.exchanges.recv_timeout(Duration::from_millis(2)) {
                exchange.ok("");
                assert_eq!((which, client.read().status()), (wanted, 200));
                return;
            }
        }
        client
            .stream
            .set_read_timeout(Some(Duration::from_millis(2)))
            .expect("a time-out");
        let refused = client.stream.peek(&mut [0]).is_ok();
        client
            .stream
            .set_read_timeout(Some(PATIENCE))
            .expect("a time-out");
        if refused {
            assert_eq!(client.read().status(), 429);
            client.send(&get("/cold"));
        }
    }
}

#[test]
fn a_second_process_takes_over_and_no_client_is_turned_away() {
    let peers = [Peer::start(), Peer::start()];
    let mut first = FRONT.before(&[peers[0].address, peers[1].address]);
    let (mut busy, mut idle) = (first.client(), first.client());
    let mut fresh = first.client();
    served(&mut idle, &peers);
    busy.send(&get("/busy"));
    let (running, _) = next_of(&peers);
    assert!(first.call("maint-on s-00000000").starts_with("done"));

    // Clients come one after the other all the time, each on a connection of its own.
    let (address, stop) = (
        first.address,
        std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false)),
    );
    let coming = {
        let stop = stop.clone();
        thread::spawn(move || {
            let mut count = 0;
            while !stop.load(Ordering::Relaxed) {
                let mut stream = TcpStream::connect(address).expect("it is let in");
                stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
                let ask = b"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
                stream.write_all(ask).expect("it is read");
                let answer = read_message(&stream).expect("no reset").expect("an answer");
                assert_eq!(answer.status(), 200, "the door is open all the time");
                count += 1;
            }
            count
        })
    };
    let mut second = first.successor();
    assert!(
        read_message(&idle.stream).expect("a close").is_none(),
        "what is idle goes to the second one"
    );
    assert_eq!(
        served(&mut fresh, &peers),
        1,
        "one that had not asked yet is served"
    );
    let mut client = second.client();
    assert_eq!(
        served(&mut client, &peers),
        1,
        "the ban holds in the second one"
    );
    assert!(second.call("maint-off s-00000000").starts_with("done"));
    assert!(first.call("maint-on s-00000001").starts_with("done"));
    let until = Instant::now() + PATIENCE;
    while second.stats()["backends_excluded"] != 1 {
        assert!(Instant::now() < until, "the second one learns of it");
    }
    // It comes back cold; the other is out at the word of the first process.
    served_cold(&mut client, &peers, 0);
    running.ok("busy");
    assert_eq!(busy.read().body, b"busy");
    first.terminate();
    assert!(first.child.wait().expect("it ends").success());
    served_cold(&mut client, &peers, 0);
    stop.store(true, Ordering::Relaxed);
    assert!(coming.join().expect("none was turned away") > 0);

    // The second one is replaced like the first, in an end without a word.
    second.child.kill().expect("it is killed");
    second.child.wait().expect("it ends");
    let third = second.successor();
    assert_eq!(third.stats()["backends_excluded"], 1, "the ban outlives it");
    served_cold(&mut third.client(), &peers, 0);
}

#[test]
fn a_successor_that_dies_leaves_the_door_open() {
    let peers = [Peer::start(), Peer::start()];
    let first = FRONT.before(&[peers[0].address, peers[1].address]);
    let mut second = first.successor();
    second.child.kill().expect("it is killed");
    second.child.wait().expect("it ends");
    served(&mut first.client(), &peers);
    let third = first.successor();
    served(&mut third.client(), &peers);
}

/// A body whose bytes tell where they stand.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|at| (at / 7 + at / 65_521) as u8).collect()
}

#[test]
fn a_long_answer_reaches_its_client_while_the_backend_still_writes_it() {
    let backend = Peer::start();
    let front = FRONT.before(&[backend.address]);
    let body = pattern(3 << 20);
    for chunked in [false, true] {
        let mut client = front.client();
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
            .expect("the head goes out");
        let write = move |stream: &mut TcpStream, piece: &[u8]| {
            if chunked {
                stream
                    .write_all(format!("{:x};a=b\r\n", piece.len()).as_bytes())
                    .expect("a chunk's size");
            }
            stream.write_all(piece).expect("a piece goes out");
            if chunked {
                stream.write_all(b"\r\n").expect("a chunk's end");
            }
        };
        // The first half is with the client before the backend has written the second.
        let (first, second) = body.split_at(body.len() / 2);
        let mut reader = BufReader::new(client.stream.try_clone().expect("a second handle"));
        let mut line = String::new();
        let (go, gone) = channel();
        let writing = {
            let (first, second) = (first.to_vec(), second.to_vec());
            thread::spawn(move || {
                for piece in first.chunks(100_000) {
                    write(&mut exchange.stream, piece);
                }
                gone.recv().expect("the client has it");
                for piece in second.chunks(10_007) {
                    write(&mut exchange.stream, piece);
                }
                if chunked {
                    exchange
                        .stream
                        .write_all(b"0\r\nX-Trailer: 1\r\n\r\n")
                        .expect("the end");
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
                reader.read_line(&mut line).expect("a chunk's size");
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
                let _ = go.send(());
            }
        }
        writing.join().expect("all was written");
        assert!(got == body, "unchanged");
        if chunked {
            line.clear();
            reader.read_line(&mut line).expect("the last chunk");
            assert_eq!(line, "0\r\n");
        }
    }
    let until = Instant::now() + PATIENCE;
    while front.stats()["served"]["preview-fetch"] != 2 {
        assert!(Instant::now() < until, "both count as served");
    }
    assert_eq!(front.stats()["in_flight"], 0);
}

#[test]
fn a_long_answer_that_breaks_off_is_seen_to_be_cut() {
    let backend = Peer::start();
    let front = FRONT.before(&[backend.address]);
    let mut client = front.client();
    client.send(&get("/long"));
    let long = "x".repeat(100_000);
    backend.next().break_off(&format!(
        "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n{long}"
    ));
    let mut got = Vec::new();
    // A reset tells it as well as an end before the length that was promised.
    let _ = client.stream.read_to_end(&mut got);
    assert!(got.len() < 200_000);
    let until = Instant::now() + PATIENCE;
    while front.stats()["failed"]["preview-fetch"] != 1 {
        assert!(Instant::now() < until, "it counts as failed");
    }
}

#[test]
fn a_long_body_goes_on_as_it_comes() {
    let backend = Peer::start();
    let front = FRONT.before(&[backend.address]);
    let mut client = front.client();
    let body = pattern(2 << 20);
    let head = post("").replace(
        "Content-Length: 0",
        &format!("Content-Length: {}", body.len()),
    );
    client.send(&head.replace("Host:", "Expect: 100-continue\r\nHost:"));
    let mut go_on = [0; 25];
    client
        .stream
        .read_exact(&mut go_on)
        .expect("an answer to the expectation");
    assert_eq!(&go_on, b"HTTP/1.1 100 Continue\r\n\r\n");
    let mut stream = client.stream.try_clone().expect("a second handle");
    let sent = body.clone();
    let sending = thread::spawn(move || {
        for piece in sent.chunks(33_333) {
            stream.write_all(piece).expect("a piece goes out");
        }
    });
    let exchange = backend.next();
    assert!(exchange.request.body == body, "unchanged");
    exchange.ok("took it");
    sending.join().expect("all was sent");
    assert_eq!(client.read().body, b"took it");
    assert_eq!(front.stats()["attempts"], 1);
}
