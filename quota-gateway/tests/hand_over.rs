//! Hand-overs between two processes of one front door, what is told to either meanwhile, and the operators' side: the
//! built program, with each signal and each byte at the step where it matters.

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

const DOOR: Program = Program {
    path: env!("CARGO_BIN_EXE_quota-gateway"),
    folder: env!("CARGO_TARGET_TMPDIR"),
};

/// A process of the program with its log in a file. Its configuration's file and folder are the test's to change.
struct Process {
    child: Child,
    address: SocketAddr,
    admin: SocketAddr,
    file: PathBuf,
    log: PathBuf,
}

impl Process {
    fn start(config: &Value) -> Process {
        Process::beside(&DOOR.write(config), config)
    }
    /// A further one with this file and its folder, at an operators' door of its own.
    fn beside(file: &Path, config: &Value) -> Process {
        let address: SocketAddr = config["listen"]
            .as_str()
            .expect("an address")
            .parse()
            .expect("an address");
        let admin = SocketAddr::from((address.ip(), unused_port()));
        let log = file.with_extension(format!("{}.log", admin.port()));
        let shared = file.with_extension("shared");
        std::fs::create_dir_all(&shared).expect("a folder");
        let mut command = Command::new(DOOR.path);
        command.env("BALANCER_CONFIG", file).env("TMPDIR", shared);
        command.env("BALANCER_ADMIN_ADDR", admin.to_string());
        let child = command
            .stderr(File::create(&log).expect("a file"))
            .spawn()
            .expect("it starts");
        let process = Process {
            child,
            address,
            admin,
            file: file.to_path_buf(),
            log,
        };
        wait_for(PATIENCE, || TcpStream::connect(admin).ok()).expect("the operators' door opens");
        process
    }
    fn signal(&self, signal: Signal) {
        send_signal(self.child.id(), signal).expect("the process is there");
    }
    fn call(&self, line: &str) -> String {
        let mut caller = TcpStream::connect(self.admin).expect("the operators' door accepts");
        caller.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        caller
            .write_all(format!("{line}\n").as_bytes())
            .expect("the call goes out");
        let mut answer = String::new();
        caller.read_to_string(&mut answer).expect("an answer comes");
        answer
    }
    fn figures(&self, call: &str) -> Value {
        let answer = self.call(call);
        let (figures, end) = answer.trim_end().rsplit_once('\n').expect("two lines");
        assert_eq!(end, "end");
        serde_json::from_str(figures).expect("JSON")
    }
    /// Waits until a call is answered so.
    fn wait_to_say(&self, call: &str, wanted: &str) {
        let says = || self.call(call).starts_with(wanted).then_some(());
        wait_for(PATIENCE, says).unwrap_or_else(|| panic!("{call}: {}", self.call(call)));
    }
    /// A connection to where successors come.
    fn successors_way(&self) -> UnixStream {
        let name = format!("brassport-{}", self.address).replace(':', "-");
        let folder = self.file.with_extension("shared").join(name);
        // Its whole path may be longer than a socket's name can be.
        let folder = File::open(folder).expect("a folder");
        let path = format!("/proc/self/fd/{}/handover.sock", folder.as_raw_fd());
        let stream = wait_for(PATIENCE, || UnixStream::connect(&path).ok()).expect("it is there");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        stream
    }
    fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("it waits in the queue at least");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        Client { stream }
    }
    fn log(&self) -> String {
        std::fs::read_to_string(&self.log).expect("a log")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The configuration of a front door that knows this backend, with discovery dead.
fn before(backend: &Peer) -> Value {
    config(
        closed_port(),
        list(&[target("s-00000001", backend.address, "ready")]),
    )
}

/// Keeps a process to so many more descriptors than it has.
fn allow_descriptors(id: u32, more: usize) {
    let open = std::fs::read_dir(format!("/proc/{id}/fd"))
        .expect("its descriptors")
        .count();
    let most = Some((open + more) as u64);
    let id = rustix::process::Pid::from_raw(id as i32);
    rustix::process::prlimit(
        id,
        Resource::Nofile,
        Rlimit {
            current: most,
            maximum: most,
        },
    )
    .expect("it may");
}

#[test]
fn callers_who_come_all_at_once_take_no_more_descriptors_than_are_set_aside() {
    let backend = Peer::start();
    let front = Process::start(&before(&backend));
    front.wait_to_say("status", "done");
    hold(front.child.id());
    // 16 callers, one who is to take the place of the first of them, and a few that the system may want meanwhile.
    allow_descriptors(front.child.id(), 20);
    let mut callers: Vec<TcpStream> = (0..64)
        .map(|n| {
            let mut caller = TcpStream::connect(front.admin).expect("it waits in the queue");
            caller.set_read_timeout(Some(PATIENCE)).expect("a time-out");
            caller
                .write_all(if n < 40 { b"stat" } else { b"status\n" })
                .expect("it goes out");
            caller
        })
        .collect();
    front.signal(Signal::CONT);
    for caller in &mut callers[40..] {
        let mut answer = String::new();
        caller.read_to_string(&mut answer).expect("an answer comes");
        assert!(answer.starts_with("done"), "{answer:?}");
    }
    assert!(!front.log().contains("operators' door"), "{}", front.log());
}

#[test]
fn a_caller_whose_line_never_ends_is_let_go() {
    let backend = Peer::start();
    let front = DOOR.before(&[backend.address]);
    let mut caller = TcpStream::connect(front.admin).expect("the operators' door accepts");
    let (piece, mut written) = (vec![b'x'; 1 << 16], 0);
    // The system's own queues take some megabytes.
    while caller.write_all(&piece).is_ok() {
        written += piece.len();
        assert!(written < 64 << 20, "it goes on reading");
    }
    assert!(front.call("status").starts_with("done"));
}

#[test]
fn sighup_over_what_is_no_plain_file_holds_up_nothing() {
    let backend = Peer::start();
    // What is left there is no other test's to find under its own file's name.
    let path = Path::new(DOOR.folder).join(format!("replaced-{}.json", std::process::id()));
    let _ = std::fs::remove_file(&path).or_else(|_| std::fs::remove_dir(&path));
    let config = before(&backend);
    std::fs::write(&path, config.to_string()).expect("it is written");
    let front = Process::beside(&path, &config);
    front.wait_to_say("status", "done");
    let pipe = || {
        assert!(Command::new("mkfifo")
            .arg(&path)
            .status()
            .expect("mkfifo runs")
            .success());
    };
    let endless = || std::os::unix::fs::symlink("/dev/zero", &path).expect("a link");
    let long = || {
        File::create(&path)
            .and_then(|file| file.set_len(300 << 20))
            .expect("a long file");
    };
    let folder = || std::fs::create_dir(&path).expect("a folder");
    let cases: [(&str, &dyn Fn()); 4] = [
        ("a pipe", &pipe),
        ("a device", &endless),
        ("a long file", &long),
        ("a folder", &folder),
    ];
    for (n, (what, make)) in cases.into_iter().enumerate() {
        std::fs::remove_file(&path).expect("it was there");
        make();
        front.signal(Signal::HUP);
        let failed = || (front.figures("stats")["reloads_failed"] == n + 1).then_some(());
        wait_for(PATIENCE, failed).unwrap_or_else(|| panic!("{what}: {}", front.log()));
    }
    std::fs::remove_dir(&path).expect("it was there");
    let peak = front.figures("cost")["memory_kib"]["peak"]
        .as_u64()
        .expect("a figure");
    assert!(peak < 100 << 10, "{peak} KiB");
    assert!(
        front.call("status").starts_with("done serving"),
        "what was known stays in force"
    );
    assert!(
        front.log().contains("it is no plain file; check the path"),
        "{}",
        front.log()
    );
}

#[test]
fn a_successor_that_is_told_to_end_before_it_takes_over_leaves_clients_where_they_are() {
    // Without a backend to send to, the second one waits.
    let config = config(closed_port(), list(&[]));
    let first = Process::start(&config);
    first.wait_to_say("status", "error no backend");
    let mut second = Process::beside(&first.file, &config);
    second.wait_to_say("status", "error this process has not taken over yet");
    second.signal(Signal::TERM);
    assert!(second.child.wait().expect("it ends").success());
    assert!(
        first.call("standby").starts_with("done"),
        "it has clients: {}",
        first.log()
    );
    assert!(!first.log().contains("takes over"), "{}", first.log());
}

/// Bytes of an answer that is longer than what is gathered, and those that come at once.
const LONG: usize = 70 << 10;
const BEGINS: usize = 2 << 10;

/// A client to whom such an answer has begun: the process does not end before it is whole. What a busy machine answers
/// late is sent to nobody else, as the class is not safe to repeat.
fn long_answer(front: &Process, backend: &Peer) -> (Client, Exchange) {
    let mut reading = front.client();
    reading.send(&post("a long job"));
    let mut long = backend.next();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n");
    long.stream.write_all(head.as_bytes()).expect("it begins");
    long.stream.write_all(&[b'x'; BEGINS]).expect("it begins");
    reading
        .stream
        .read_exact(&mut [0; 1000])
        .expect("it has begun");
    (reading, long)
}

#[test]
fn what_a_successor_that_ends_has_out_counts_under_the_caps_of_the_first() {
    let backend = Peer::start();
    let mut config = before(&backend);
    let plan = &mut config["settings"]["plans"][0];
    // What the first one keeps of the store is little, and no matter here.
    (plan["concurrency"], plan["overrunCost"]) = (json!(1), json!(0.0));
    let first = Process::start(&config);
    first.wait_to_say("status", "done serving");
    let mut client = first.client();
    client.send(&post("a job"));
    backend.next().ok("");
    assert_eq!(
        client.read().status(),
        200,
        "the first one knows this customer"
    );
    let mut second = Process::beside(&first.file, &config);
    second.wait_to_say("status", "done serving");
    first.wait_to_say("status", "done handed over");
    let (_reading, mut long) = long_answer(&second, &backend);
    second.signal(Signal::TERM);
    first.wait_to_say("status", "done serving");
    assert_eq!(first.client().send(&post("a job")).read().status(), 429);
    assert!(
        backend.exchanges.try_recv().is_err(),
        "its one attempt is out at the other process"
    );
    long.stream
        .write_all(&[b'x'; LONG - BEGINS])
        .expect("it goes on");
    assert!(second.child.wait().expect("it ends").success());
    let mut client = first.client();
    client.send(&post("a job"));
    backend.next().ok("");
    assert_eq!(client.read().status(), 200);
}

#[test]
fn a_successor_that_ends_gives_clients_back_while_an_answer_goes_on() {
    let backend = Peer::start();
    let config = before(&backend);
    let first = Process::start(&config);
    first.wait_to_say("status", "done serving");
    let mut second = Process::beside(&first.file, &config);
    second.wait_to_say("status", "done serving");
    first.wait_to_say("status", "done handed over");
    let (mut reading, mut long) = long_answer(&second, &backend);
    second.signal(Signal::TERM);
    first.wait_to_say("status", "done serving");
    let mut client = first.client();
    client.send(&post("a job"));
    backend.next().ok("");
    assert_eq!(client.read().status(), 200);
    assert!(
        second.child.try_wait().expect("it can be asked").is_none(),
        "it goes on"
    );
    long.stream
        .write_all(&[b'x'; LONG - BEGINS])
        .expect("it goes on");
    let mut rest = Vec::new();
    reading.stream.read_to_end(&mut rest).expect("all of it");
    assert!(rest.len() > LONG - 1000, "{}", rest.len());
    assert!(second.child.wait().expect("it ends").success());
    // It has a successor again.
    let third = Process::beside(&first.file, &config);
    third.wait_to_say("status", "done serving");
    first.wait_to_say("status", "done handed over");
}

#[test]
fn what_a_customer_has_is_not_taken_over_under_another_plans_or_classs_number() {
    let backend = Peer::start();
    let plain = before(&backend);
    let plan = |name: &str| {
        let mut plan = plain["settings"]["plans"][0].clone();
        plan["name"] = json!(name);
        plan
    };
    let mut told = plain.clone();
    told["settings"]["plans"] = json!([plan("starter"), plan("team")]);
    let (mut turned, mut more, mut classes) = (told.clone(), told.clone(), told.clone());
    turned["settings"]["plans"] = json!([plan("team"), plan("starter")]);
    more["settings"]["plans"] = json!([plan("starter"), plan("team"), plan("new")]);
    classes["settings"]["classes"]
        .as_array_mut()
        .expect("a list")
        .reverse();
    // What each leaves the next stands under the same numbers, or not.
    let mut first = Process::start(&told);
    first.wait_to_say("status", "done serving");
    for (config, same) in [
        (&told, true),
        (&turned, false),
        (&told, false),
        (&classes, false),
        (&told, false),
        (&more, true),
    ] {
        std::fs::write(&first.file, config.to_string()).expect("it is written");
        let second = Process::beside(&first.file, config);
        second.wait_to_say("status", "done serving");
        first.wait_to_say("status", "done handed over");
        let log = second.log();
        assert_eq!(!log.contains("quotas start anew"), same, "{log} {config}");
        let mut client = second.client();
        client.send(&post("a job"));
        backend.next().ok("");
        assert_eq!(client.read().status(), 200);
        first = second;
    }
}

#[test]
fn who_opens_the_successors_way_and_keeps_silent_holds_up_no_successor() {
    let backend = Peer::start();
    let config = before(&backend);
    let first = Process::start(&config);
    first.wait_to_say("status", "done serving");
    let mut silent = first.successors_way();
    silent.read_exact(&mut [0; 2]).expect("it is introduced");
    let second = Process::beside(&first.file, &config);
    second.wait_to_say("status", "done serving");
    assert!(
        !second.log().contains("cannot be joined"),
        "{}",
        second.log()
    );
    first.wait_to_say("status", "done handed over");
}

#[test]
fn who_writes_on_and_on_to_the_successors_way_is_let_go() {
    let backend = Peer::start();
    let first = Process::start(&before(&backend));
    first.wait_to_say("status", "done serving");
    let mut endless = first.successors_way();
    let (piece, mut written) = (vec![b'x'; 1 << 16], 0);
    while endless.write_all(&piece).is_ok() {
        written += piece.len();
        assert!(written < 64 << 20, "it goes on reading");
    }
    assert!(first.call("status").starts_with("done serving"));
}
