//! Hand-overs between two processes of one front door, what is told to either meanwhile, and the operators' side: the
//! built program, with each signal and each byte at the step where it matters.

use rustix::process::{Resource, Rlimit, Signal};
use serde_json::Value;
use springusher_lab::process::{send_signal, wait_for};
use springusher_lab::scripted::{closed_port, config, list, target, Front, Peer, Program, PATIENCE};
use std::fs::File;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};

const DOOR: Program = Program { path: env!("CARGO_BIN_EXE_brassport"), folder: env!("CARGO_TARGET_TMPDIR") };

/// Starts the program with its log going to a file.
fn logged(config: &Value) -> (PathBuf, Front) {
    let name = config["listen"].as_str().expect("an address").replace(':', "-");
    let path = Path::new(DOOR.folder).join(format!("hand-over-{name}.log"));
    let log = File::create(&path).expect("a file");
    (path, DOOR.start_with(config, log.into()))
}

/// Stops a process, and waits until it stands still.
fn stop(id: u32) {
    send_signal(id, Signal::STOP).expect("the process is there");
    let state = || std::fs::read_to_string(format!("/proc/{id}/stat")).expect("the process is there");
    let stopped = || state().rsplit_once(") ").is_some_and(|(_, rest)| rest.starts_with('T'));
    wait_for(PATIENCE, || stopped().then_some(())).expect("it stands still");
}

/// Keeps a process to so many more descriptors than it has.
fn allow_descriptors(id: u32, more: usize) {
    let open = std::fs::read_dir(format!("/proc/{id}/fd")).expect("its descriptors").count();
    let most = Some((open + more) as u64);
    let id = rustix::process::Pid::from_raw(id as i32);
    rustix::process::prlimit(id, Resource::Nofile, Rlimit { current: most, maximum: most }).expect("it may");
}

#[test]
fn callers_who_come_all_at_once_take_no_more_descriptors_than_are_set_aside() {
    let backend = Peer::start();
    let (log, front) =
        logged(&config(closed_port(), list(&[target("s-00000001", backend.address, "ready")])));
    assert!(front.call("status").starts_with("done"));
    stop(front.child.id());
    // 16 callers, one who is to take the place of the first of them, and a few that the system may want meanwhile.
    allow_descriptors(front.child.id(), 20);
    let mut callers: Vec<TcpStream> = (0..64)
        .map(|n| {
            let mut caller = TcpStream::connect(front.admin).expect("it waits in the queue");
            caller.set_read_timeout(Some(PATIENCE)).expect("a time-out");
            caller.write_all(if n < 40 { b"stat" } else { b"status\n" }).expect("it goes out");
            caller
        })
        .collect();
    front.signal(Signal::CONT);
    for caller in &mut callers[40..] {
        let mut answer = String::new();
        caller.read_to_string(&mut answer).expect("an answer comes");
        assert!(answer.starts_with("done"), "{answer:?}");
    }
    let log = std::fs::read_to_string(log).expect("a log");
    assert!(!log.contains("operators' door"), "{log}");
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
