//! Behaviour needed of each gateway in a large fleet, tested on the built program with scripted peers: discovery polls,
//! late answers, shutdown.

use fault_lab::scripted::{closed_port, config, get, list, read_message, target, Peer, Program};
use serde_json::{json, Value};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const GATEWAY_PROGRAM: Program = Program {
    path: env!("CARGO_BIN_EXE_quota-gateway"),
    folder: env!("CARGO_TARGET_TMPDIR"),
};

/// The configuration of one of 300 gateways that fetch their server lists from discovery on request.
fn config_in_large_fleet(discovery: &Peer) -> Value {
    let mut config = config(
        discovery.address,
        list(&[target("s-00000001", closed_port(), "ready")]),
    );
    config["settings"]["registryMode"] = json!("on_request");
    config["settings"]["balancers"] = json!(300);
    // With this seed, the first call is made late.
    config["seed"] = json!("8c1f30d27a5be96a");
    config
}

#[test]
fn a_gateway_of_a_large_fleet_repeats_an_unanswered_poll_in_time() {
    let discovery = Peer::start();
    let _gateway = GATEWAY_PROGRAM.start(&config_in_large_fleet(&discovery));
    discovery
        .next()
        .ok("{\"rev\":2,\"all\":false,\"targets\":[]}");
    let unanswered_poll = discovery.next();
    let started_at = Instant::now();
    assert_eq!(
        unanswered_poll.request.line,
        "GET /v1/servers?after=2&wait_ms=4000 HTTP/1.1"
    );
    discovery.next();
    // Takes at most 5.7 s; with the back-off that follows a refusal it would take at least 7 s.
    assert!(
        started_at.elapsed() < Duration::from_millis(6500),
        "polled again after {:?}",
        started_at.elapsed()
    );
}

#[test]
fn a_local_discovery_agent_is_polled_until_it_answers() {
    let agent = Peer::start();
    let nothing_new = "{\"rev\":1,\"all\":false,\"targets\":[]}";
    let backend = target("s-00000001", closed_port(), "ready");
    let gateway = GATEWAY_PROGRAM.start(&config(agent.address, list(&[backend])));
    let (short_poll, long_poll) = ["200", "4000"]
        .map(|ms| format!("GET /v1/servers?after=1&wait_ms={ms} HTTP/1.1"))
        .into();
    // The list may have changed before this process started, so the first poll is short.
    let call = agent.next();
    assert_eq!(call.request.line, short_poll);
    call.ok(nothing_new);
    let call = agent.next();
    assert_eq!(call.request.line, long_poll);
    call.break_off("");
    // The agent accepts connections again but never answers these calls.
    let _unanswered: Vec<_> = (0..8)
        .map(|_| {
            let call = agent.next();
            assert_eq!(call.request.line, short_poll);
            call
        })
        .collect();
    agent.next().ok(&list(&[]).to_string());
    assert_eq!(agent.next().request.line, long_poll);
    assert!(
        gateway.call("status").starts_with("error"),
        "the empty list has been applied"
    );
}

#[test]
fn sighup_ends_the_wait_before_the_next_discovery_call() {
    let (old, new, newest) = (Peer::start(), Peer::start(), Peer::start());
    let mut config = config_in_large_fleet(&old);
    let gateway = GATEWAY_PROGRAM.start(&config);
    // Without SIGHUP, each call would be made some 2 s later: the first wait is the start delay, the next the back-off.
    for next in [&new, &newest] {
        assert!(old.exchanges.try_recv().is_err(), "the gateway still waits");
        config["discovery"] = json!(next.address.to_string());
        gateway.replace_config(&config.to_string());
        let replaced_at = Instant::now();
        let call = next.next();
        assert!(
            replaced_at.elapsed() < Duration::from_millis(1500),
            "called after {:?}",
            replaced_at.elapsed()
        );
        let mut connection = call.stream.try_clone().expect("a second handle");
        call.answer("503 Service Unavailable", "", "");
        // Once its connection is closed, the gateway has read the refusal.
        let _ = connection.read(&mut [0]);
    }
}

/// A backend that writes each 200 answer twice, the second one 5 ms after the first.
#[derive(Default)]
struct DuplicateAnswerBackend {
    /// The longest time between the first answer and the end of writing the second, in microseconds.
    longest_delay_us: AtomicU64,
}

impl DuplicateAnswerBackend {
    fn start() -> (Arc<DuplicateAnswerBackend>, SocketAddr) {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let duplicating = Arc::new(DuplicateAnswerBackend::default());
        let backend = duplicating.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let backend = backend.clone();
                thread::spawn(move || backend.serve(stream));
            }
        });
        (duplicating, address)
    }
    fn serve(&self, mut stream: TcpStream) {
        while let Ok(Some(request)) = read_message(&stream) {
            let path = request.line.split(' ').nth(1).unwrap_or_default();
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{path}",
                path.len()
            );
            let started_at = Instant::now();
            let _ = stream.write_all(answer.as_bytes());
            thread::sleep(Duration::from_millis(5));
            let _ = stream.write_all(answer.as_bytes());
            self.longest_delay_us
                .fetch_max(started_at.elapsed().as_micros() as u64, Ordering::SeqCst);
        }
    }
}

/// Sends requests of two customers in turn and describes the first answer that belongs to another request, if any.
fn first_mismatched_answer(backend: SocketAddr) -> Option<String> {
    let gateway = GATEWAY_PROGRAM.before(&[backend]);
    let mut clients = [gateway.client(), gateway.client()];
    (0..20).find_map(|round| {
        let (client, customer) = (
            &mut clients[round % 2],
            format!("client=00000000b4d6552{}", round % 2),
        );
        let request = get(&format!("/{round}")).replace("client=00000000b4d65521", &customer);
        let answer = client.send(&request).read();
        let got = format!(
            "{} {}",
            answer.status(),
            String::from_utf8_lossy(&answer.body)
        );
        (got != format!("200 /preview-fetch/{round}")).then(|| format!("round {round} got {got}"))
    })
}

#[test]
fn a_late_duplicate_answer_is_never_used_for_the_next_request() {
    for _ in 0..10 {
        let (duplicating, backend) = DuplicateAnswerBackend::start();
        let Some(wrong) = first_mismatched_answer(backend) else {
            return;
        };
        // A busy system may delay the second answer for longer than the gateway can wait for it; the test then retries.
        thread::sleep(Duration::from_secs(1));
        let longest_delay_us = duplicating.longest_delay_us.load(Ordering::SeqCst);
        assert!(
            longest_delay_us > 15_000,
            "{wrong}, though each second answer was written within {longest_delay_us} us"
        );
    }
    panic!("the machine is too slow for this test: second answers were delayed in every round");
}

#[test]
fn a_request_received_late_in_shutdown_is_refused_at_once() {
    let backend = Peer::start();
    let known = list(&[target("s-00000001", backend.address, "ready")]);
    let mut config = config(closed_port(), known);
    for class in config["settings"]["classes"]
        .as_array_mut()
        .expect("classes")
    {
        class["deadline"] = json!(1000.0);
    }
    let gateway = GATEWAY_PROGRAM.start(&config);
    gateway.terminate();
    let mut client = gateway.client();
    // New requests are accepted for 0.6 s, those in flight fail 0.9 s later, and idle connections stay open for 2.6 s.
    thread::sleep(Duration::from_millis(2000));
    client.send(&get(""));
    let answer = client.read();
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (429, "close")
    );
    assert!(
        backend.exchanges.try_recv().is_err(),
        "the request was sent to no backend"
    );
}

#[test]
fn sigterm_while_the_configuration_is_read_ends_the_process_cleanly() {
    let config = config(closed_port(), list(&[]));
    let path = GATEWAY_PROGRAM.write(&config);
    std::fs::remove_file(&path).expect("it was written");
    assert!(Command::new("mkfifo")
        .arg(&path)
        .status()
        .expect("mkfifo runs")
        .success());
    let mut process = GATEWAY_PROGRAM.spawn(&path, Stdio::inherit());
    // Opening the pipe returns once the process has it open for reading.
    let mut pipe = File::options().write(true).open(&path).expect("a pipe");
    assert!(Command::new("kill")
        .arg(process.id().to_string())
        .status()
        .expect("kill runs")
        .success());
    let written = pipe.write_all(config.to_string().as_bytes());
    drop(pipe);
    let status = process.wait().expect("the process exits");
    assert!(written.is_ok() && status.success(), "{status}");
}
