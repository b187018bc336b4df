//! Tests of listener hand-over between two processes of one gateway, of signals and admin commands received during it,
//! and of the admin endpoint. Each runs the built program and times signals and bytes to a given step.

use fault_lab::process::{send_signal, wait_for};
use fault_lab::scripted::{
    closed_port, config, hold, list, post, target, unused_port, Client, Exchange, Peer, Program,
    PATIENCE,
};
use rustix::process::{Resource, Rlimit, Signal};
use serde_json::{json, Value};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};

const GATEWAY: Program = Program {
    path: env!("CARGO_BIN_EXE_quota-gateway"),
    folder: env!("CARGO_TARGET_TMPDIR"),
};

/// A gateway process that logs to a file. Tests may change its configuration file and shared directory.
struct Process {
    child: Child,
    address: SocketAddr,
    admin: SocketAddr,
    file: PathBuf,
    log: PathBuf,
}

impl Process {
    fn start(config: &Value) -> Process {
        Process::start_with_file(&GATEWAY.write(config), config)
    }
    /// Starts a process with an existing configuration file and its shared directory, on an admin address of its own.
    fn start_with_file(file: &Path, config: &Value) -> Process {
        let address: SocketAddr = config["listen"]
            .as_str()
            .expect("a socket address")
            .parse()
            .expect("a socket address");
        let admin = SocketAddr::from((address.ip(), unused_port()));
        let log = file.with_extension(format!("{}.log", admin.port()));
        let shared_dir = file.with_extension("shared");
        std::fs::create_dir_all(&shared_dir).expect("the directory can be created");
        let mut command = Command::new(GATEWAY.path);
        command
            .env("BALANCER_CONFIG", file)
            .env("TMPDIR", shared_dir);
        command.env("BALANCER_ADMIN_ADDR", admin.to_string());
        let child = command
            .stderr(File::create(&log).expect("the log file can be created"))
            .spawn()
            .expect("the process starts");
        let process = Process {
            child,
            address,
            admin,
            file: file.to_path_buf(),
            log,
        };
        wait_for(PATIENCE, || TcpStream::connect(admin).ok())
            .expect("the admin endpoint accepts connections");
        process
    }
    fn signal(&self, signal: Signal) {
        send_signal(self.child.id(), signal).expect("the process is running");
    }
    fn admin_command(&self, command: &str) -> String {
        let mut connection = TcpStream::connect(self.admin).expect("the admin endpoint accepts");
        connection
            .set_read_timeout(Some(PATIENCE))
            .expect("the timeout can be set");
        connection
            .write_all(format!("{command}\n").as_bytes())
            .expect("the command is sent");
        let mut reply = String::new();
        connection
            .read_to_string(&mut reply)
            .expect("a reply arrives");
        reply
    }
    fn admin_json(&self, command: &str) -> Value {
        let reply = self.admin_command(command);
        let (json, end) = reply.trim_end().rsplit_once('\n').expect("two lines");
        assert_eq!(end, "end");
        serde_json::from_str(json).expect("JSON")
    }
    /// Waits until the reply to an admin command starts with `expected`.
    fn wait_for_reply(&self, command: &str, expected: &str) {
        let matches = || {
            self.admin_command(command)
                .starts_with(expected)
                .then_some(())
        };
        wait_for(PATIENCE, matches)
            .unwrap_or_else(|| panic!("{command}: {}", self.admin_command(command)));
    }
    /// Connects to the Unix socket on which a successor joins.
    fn connect_handover_socket(&self) -> UnixStream {
        let name = format!("brassport-{}", self.address).replace(':', "-");
        let directory = self.file.with_extension("shared").join(name);
        // The full path may exceed the length limit of a Unix socket address.
        let directory = File::open(directory).expect("the directory can be opened");
        let path = format!("/proc/self/fd/{}/handover.sock", directory.as_raw_fd());
        let stream = wait_for(PATIENCE, || UnixStream::connect(&path).ok())
            .expect("the hand-over socket accepts");
        stream
            .set_read_timeout(Some(PATIENCE))
            .expect("the timeout can be set");
        stream
    }
    fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("the connection is at least queued");
        stream
            .set_read_timeout(Some(PATIENCE))
            .expect("the timeout can be set");
        Client { stream }
    }
    fn log(&self) -> String {
        std::fs::read_to_string(&self.log).expect("the log can be read")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The configuration of a gateway that knows this backend and cannot reach discovery.
fn config_for(backend: &Peer) -> Value {
    config(
        closed_port(),
        list(&[target("s-00000001", backend.address, "ready")]),
    )
}

/// Limits a process to `additional` descriptors beyond those it has open.
fn limit_descriptors(pid: u32, additional: usize) {
    let open = std::fs::read_dir(format!("/proc/{pid}/fd"))
        .expect("the descriptors can be listed")
        .count();
    let limit = Some((open + additional) as u64);
    let pid = rustix::process::Pid::from_raw(pid as i32);
    rustix::process::prlimit(
        pid,
        Resource::Nofile,
        Rlimit {
            current: limit,
            maximum: limit,
        },
    )
    .expect("the limit can be set");
}

#[test]
fn simultaneous_admin_connections_stay_within_the_reserved_descriptors() {
    let backend = Peer::start();
    let gateway = Process::start(&config_for(&backend));
    gateway.wait_for_reply("status", "done");
    hold(gateway.child.id());
    // 16 admin connections, one that replaces the oldest of them, and a few descriptors for the system.
    limit_descriptors(gateway.child.id(), 20);
    let mut connections: Vec<TcpStream> = (0..64)
        .map(|n| {
            let mut connection =
                TcpStream::connect(gateway.admin).expect("the connection is queued");
            connection
                .set_read_timeout(Some(PATIENCE))
                .expect("the timeout can be set");
            connection
                .write_all(if n < 40 { b"stat" } else { b"status\n" })
                .expect("the bytes are sent");
            connection
        })
        .collect();
    gateway.signal(Signal::CONT);
    for connection in &mut connections[40..] {
        let mut reply = String::new();
        connection
            .read_to_string(&mut reply)
            .expect("a reply arrives");
        assert!(reply.starts_with("done"), "{reply:?}");
    }
    assert!(
        !gateway.log().contains("operators' door"),
        "{}",
        gateway.log()
    );
}

#[test]
fn an_admin_connection_with_an_endless_line_is_closed() {
    let backend = Peer::start();
    let gateway = GATEWAY.before(&[backend.address]);
    let mut connection = TcpStream::connect(gateway.admin).expect("the admin endpoint accepts");
    let (piece, mut written) = (vec![b'x'; 1 << 16], 0);
    // The socket buffers hold some megabytes.
    while connection.write_all(&piece).is_ok() {
        written += piece.len();
        assert!(written < 64 << 20, "the gateway keeps reading");
    }
    assert!(gateway.call("status").starts_with("done"));
}

#[test]
fn sighup_with_a_configuration_path_that_is_no_regular_file_does_not_block() {
    let backend = Peer::start();
    // The path contains the process ID so that leftovers do not collide with another test's file.
    let path = Path::new(GATEWAY.folder).join(format!("replaced-{}.json", std::process::id()));
    let _ = std::fs::remove_file(&path).or_else(|_| std::fs::remove_dir(&path));
    let config = config_for(&backend);
    std::fs::write(&path, config.to_string()).expect("the configuration is written");
    let gateway = Process::start_with_file(&path, &config);
    gateway.wait_for_reply("status", "done");
    let pipe = || {
        assert!(Command::new("mkfifo")
            .arg(&path)
            .status()
            .expect("mkfifo runs")
            .success());
    };
    let device =
        || std::os::unix::fs::symlink("/dev/zero", &path).expect("the symlink can be created");
    let large_file = || {
        File::create(&path)
            .and_then(|file| file.set_len(300 << 20))
            .expect("the large file can be created");
    };
    let directory = || std::fs::create_dir(&path).expect("the directory can be created");
    let cases: [(&str, &dyn Fn()); 4] = [
        ("a pipe", &pipe),
        ("a device", &device),
        ("a large file", &large_file),
        ("a directory", &directory),
    ];
    for (n, (kind, create)) in cases.into_iter().enumerate() {
        std::fs::remove_file(&path).expect("the path exists");
        create();
        gateway.signal(Signal::HUP);
        let failed = || (gateway.admin_json("stats")["reloads_failed"] == n + 1).then_some(());
        wait_for(PATIENCE, failed).unwrap_or_else(|| panic!("{kind}: {}", gateway.log()));
    }
    std::fs::remove_dir(&path).expect("the path exists");
    let peak = gateway.admin_json("cost")["memory_kib"]["peak"]
        .as_u64()
        .expect("a number");
    assert!(peak < 100 << 10, "{peak} KiB");
    assert!(
        gateway.admin_command("status").starts_with("done serving"),
        "the previous configuration stays in force"
    );
    assert!(
        gateway
            .log()
            .contains("it is no plain file; check the path"),
        "{}",
        gateway.log()
    );
}

#[test]
fn a_successor_terminated_before_it_takes_over_leaves_clients_with_its_predecessor() {
    // Without a usable backend the second process waits before it takes over.
    let config = config(closed_port(), list(&[]));
    let first = Process::start(&config);
    first.wait_for_reply("status", "error no backend");
    let mut second = Process::start_with_file(&first.file, &config);
    second.wait_for_reply("status", "error this process has not taken over yet");
    second.signal(Signal::TERM);
    assert!(second.child.wait().expect("the process exits").success());
    assert!(
        first.admin_command("standby").starts_with("done"),
        "the first process still has clients: {}",
        first.log()
    );
    assert!(!first.log().contains("takes over"), "{}", first.log());
}

/// Length of a response body that exceeds what the gateway buffers.
const LONG_BODY_BYTES: usize = 70 << 10;
/// The part of the body that the backend sends at once.
const FIRST_PART_BYTES: usize = 2 << 10;

/// Starts a long response to a client; the gateway process does not exit before it is complete. The class is not safe
/// to repeat, so a response that is late on a busy machine causes no second attempt.
fn start_long_response(gateway: &Process, backend: &Peer) -> (Client, Exchange) {
    let mut client = gateway.client();
    client.send(&post("a long job"));
    let mut exchange = backend.next();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n");
    exchange
        .stream
        .write_all(head.as_bytes())
        .expect("the response starts");
    exchange
        .stream
        .write_all(&[b'x'; FIRST_PART_BYTES])
        .expect("the response starts");
    client
        .stream
        .read_exact(&mut [0; 1000])
        .expect("the response has started");
    (client, exchange)
}

#[test]
fn attempts_of_a_terminating_successor_count_against_the_predecessors_concurrency_limit() {
    let backend = Peer::start();
    let mut config = config_for(&backend);
    let plan = &mut config["settings"]["plans"][0];
    // The first process keeps few units from the store; an overrun cost of 0 keeps that from mattering here.
    (plan["concurrency"], plan["overrunCost"]) = (json!(1), json!(0.0));
    let first = Process::start(&config);
    first.wait_for_reply("status", "done serving");
    let mut client = first.client();
    client.send(&post("a job"));
    backend.next().ok("");
    assert_eq!(
        client.read().status(),
        200,
        "the first process knows this customer"
    );
    let mut second = Process::start_with_file(&first.file, &config);
    second.wait_for_reply("status", "done serving");
    first.wait_for_reply("status", "done handed over");
    let (_long_client, mut exchange) = start_long_response(&second, &backend);
    second.signal(Signal::TERM);
    first.wait_for_reply("status", "done serving");
    assert_eq!(first.client().send(&post("a job")).read().status(), 429);
    assert!(
        backend.exchanges.try_recv().is_err(),
        "the customer's only permitted attempt is in flight in the other process"
    );
    exchange
        .stream
        .write_all(&[b'x'; LONG_BODY_BYTES - FIRST_PART_BYTES])
        .expect("the rest of the response is sent");
    assert!(second.child.wait().expect("the process exits").success());
    let mut client = first.client();
    client.send(&post("a job"));
    backend.next().ok("");
    assert_eq!(client.read().status(), 200);
}

#[test]
fn a_terminating_successor_returns_clients_while_a_response_continues() {
    let backend = Peer::start();
    let config = config_for(&backend);
    let first = Process::start(&config);
    first.wait_for_reply("status", "done serving");
    let mut second = Process::start_with_file(&first.file, &config);
    second.wait_for_reply("status", "done serving");
    first.wait_for_reply("status", "done handed over");
    let (mut long_client, mut exchange) = start_long_response(&second, &backend);
    second.signal(Signal::TERM);
    first.wait_for_reply("status", "done serving");
    let mut client = first.client();
    client.send(&post("a job"));
    backend.next().ok("");
    assert_eq!(client.read().status(), 200);
    assert!(
        second
            .child
            .try_wait()
            .expect("the exit status can be queried")
            .is_none(),
        "the process still runs"
    );
    exchange
        .stream
        .write_all(&[b'x'; LONG_BODY_BYTES - FIRST_PART_BYTES])
        .expect("the rest of the response is sent");
    let mut rest = Vec::new();
    long_client
        .stream
        .read_to_end(&mut rest)
        .expect("the rest of the body arrives");
    assert!(rest.len() > LONG_BODY_BYTES - 1000, "{}", rest.len());
    assert!(second.child.wait().expect("the process exits").success());
    // The first process can be succeeded again.
    let third = Process::start_with_file(&first.file, &config);
    third.wait_for_reply("status", "done serving");
    first.wait_for_reply("status", "done handed over");
}

#[test]
fn quota_state_is_not_taken_over_when_plan_or_class_indices_differ() {
    let backend = Peer::start();
    let base = config_for(&backend);
    let plan = |name: &str| {
        let mut plan = base["settings"]["plans"][0].clone();
        plan["name"] = json!(name);
        plan
    };
    let mut original = base.clone();
    original["settings"]["plans"] = json!([plan("starter"), plan("team")]);
    let (mut plans_swapped, mut plan_added, mut classes_reversed) =
        (original.clone(), original.clone(), original.clone());
    plans_swapped["settings"]["plans"] = json!([plan("team"), plan("starter")]);
    plan_added["settings"]["plans"] = json!([plan("starter"), plan("team"), plan("new")]);
    classes_reversed["settings"]["classes"]
        .as_array_mut()
        .expect("a list")
        .reverse();
    // `same_indices`: whether plans and classes keep the indices that they have in the predecessor's configuration.
    let mut first = Process::start(&original);
    first.wait_for_reply("status", "done serving");
    for (config, same_indices) in [
        (&original, true),
        (&plans_swapped, false),
        (&original, false),
        (&classes_reversed, false),
        (&original, false),
        (&plan_added, true),
    ] {
        std::fs::write(&first.file, config.to_string()).expect("the configuration is written");
        let second = Process::start_with_file(&first.file, config);
        second.wait_for_reply("status", "done serving");
        first.wait_for_reply("status", "done handed over");
        let log = second.log();
        assert_eq!(
            !log.contains("quotas start anew"),
            same_indices,
            "{log} {config}"
        );
        let mut client = second.client();
        client.send(&post("a job"));
        backend.next().ok("");
        assert_eq!(client.read().status(), 200);
        first = second;
    }
}

#[test]
fn a_silent_handover_connection_does_not_delay_a_successor() {
    let backend = Peer::start();
    let config = config_for(&backend);
    let first = Process::start(&config);
    first.wait_for_reply("status", "done serving");
    let mut silent = first.connect_handover_socket();
    silent
        .read_exact(&mut [0; 2])
        .expect("the greeting arrives");
    let second = Process::start_with_file(&first.file, &config);
    second.wait_for_reply("status", "done serving");
    assert!(
        !second.log().contains("cannot be joined"),
        "{}",
        second.log()
    );
    first.wait_for_reply("status", "done handed over");
}

#[test]
fn a_handover_connection_that_sends_endless_data_is_closed() {
    let backend = Peer::start();
    let first = Process::start(&config_for(&backend));
    first.wait_for_reply("status", "done serving");
    let mut endless = first.connect_handover_socket();
    let (piece, mut written) = (vec![b'x'; 1 << 16], 0);
    while endless.write_all(&piece).is_ok() {
        written += piece.len();
        assert!(written < 64 << 20, "the gateway keeps reading");
    }
    assert!(first.admin_command("status").starts_with("done serving"));
}
