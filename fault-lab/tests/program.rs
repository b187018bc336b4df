//! The lab's program: what it says to bad input, and that no process outlives it.

use fault_lab::process::{send_signal, wait_for, Launcher};
use fault_lab::run::carry_out;
use fault_lab::scenario::Scenario;
use rustix::process::Signal;
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Duration;

const LAB: &str = env!("CARGO_BIN_EXE_fault-lab");
const PATIENCE: Duration = Duration::from_secs(20);

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// A program in place of the front door's.
fn script(folder: &Path, lines: &str) -> PathBuf {
    let path = folder.join("door");
    fs::write(&path, format!("#!/bin/sh\n{lines}\n")).expect("a file");
    fs::set_permissions(&path, fs::Permissions::from_mode(0o755)).expect("it may be run");
    path
}

/// The processes that a process has started and that run.
fn children(id: u32) -> Vec<u32> {
    let tasks = fs::read_dir(format!("/proc/{id}/task"))
        .into_iter()
        .flatten()
        .flatten();
    let lists = tasks.filter_map(|task| fs::read_to_string(task.path().join("children")).ok());
    lists
        .flat_map(|list| {
            list.split_whitespace()
                .filter_map(|id| id.parse().ok())
                .collect::<Vec<_>>()
        })
        .collect()
}

/// A process that has ended may still be there for its parent to ask: that is the system's matter.
fn runs(id: u32) -> bool {
    let state = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    state
        .rsplit_once(") ")
        .is_some_and(|(_, rest)| !rest.starts_with('Z'))
}

#[test]
fn front_doors_end_with_the_lab_however_it_ends() {
    for (name, signal, code) in [
        ("killed", Signal::KILL, None),
        ("interrupted", Signal::INT, Some(2)),
    ] {
        let folder = folder(name);
        let door = script(&folder, "exec sleep 600");
        let mut lab = Command::new(LAB);
        lab.args(["run", "kill", "--out"])
            .arg(&folder)
            .arg("--door")
            .arg(&door)
            .stderr(Stdio::null());
        let mut lab = lab.spawn().expect("it starts");
        // Twenty front doors that never say yes: the lab waits for them.
        let doors = wait_for(PATIENCE, || {
            Some(children(lab.id())).filter(|doors| doors.len() == 20)
        });
        let doors = doors.expect("it starts its front doors");
        // One that stands still ends too.
        send_signal(doors[0], Signal::STOP).expect("it runs");
        send_signal(lab.id(), signal).expect("it runs");
        assert_eq!(lab.wait().expect("it ends").code(), code);
        let gone = wait_for(PATIENCE, || {
            (!doors.iter().any(|door| runs(*door))).then_some(())
        });
        gone.unwrap_or_else(|| panic!("{name}: some front doors live on"));
    }
}

#[test]
fn a_front_door_that_ends_at_its_start_is_told_by_its_last_words() {
    let folder = folder("words");
    let door = script(&folder, "echo 'quota-gateway: no such thing' >&2; exit 1");
    let output = Command::new(LAB)
        .args(["run", "calm", "--out"])
        .arg(&folder)
        .arg("--door")
        .arg(&door)
        .output();
    let output = output.expect("it ends");
    let said = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        said.contains("fault-lab: d0 ended at its start: quota-gateway: no such thing"),
        "{said}"
    );
}

#[test]
fn a_run_whose_port_was_taken_meanwhile_begins_anew() {
    let folder = folder("ports");
    // The first process finds its port taken; those after it say yes to nobody, so that the run ends by its time.
    let taken = folder.join("taken");
    let lines = format!(
        "if mkdir {0} 2>/dev/null; then echo 'quota-gateway: cannot listen on it: taken' >&2; exit 1; fi\n\
         echo 'quota-gateway: ends later' >&2; touch {0}/again; sleep 1; exit 1",
        taken.display()
    );
    let door = script(&folder, &lines);
    let scenario = Scenario::shipped("calm")
        .expect("it ships")
        .expect("it makes sense");
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let launcher = Launcher::new(door).kept_by(LAB);
    let problem = runtime
        .block_on(carry_out(&scenario, 1, &folder, &launcher, |_, _| {}))
        .expect_err("it ends");
    assert!(taken.join("again").exists(), "it was begun anew");
    assert!(problem.to_string().contains("ends later"), "{problem}");
}

#[test]
fn what_cannot_be_run_is_told_in_one_line() {
    let folder = folder("bad");
    let file = folder.join("bad.toml");
    fs::write(&file, "name = \"bad\"\nabout = \"x\"\nseconds = \"many\"\n").expect("a file");
    let run = |what: &Path| {
        let output = Command::new(LAB)
            .arg("run")
            .arg(what)
            .arg("--out")
            .arg(&folder)
            .output()
            .expect("it ends");
        assert_eq!(output.status.code(), Some(2));
        String::from_utf8(output.stderr).expect("text")
    };
    let said = run(&file);
    assert!(
        said.starts_with(&format!("fault-lab: {}:3: ", file.display())),
        "{said}"
    );
    assert!(
        said.contains("seconds") && said.lines().count() == 1,
        "{said}"
    );
    let said = run(Path::new("no-such-scenario"));
    assert!(
        said.contains("cannot read no-such-scenario") && said.lines().count() == 1,
        "{said}"
    );
    let output = Command::new(LAB)
        .arg("check")
        .arg(&folder)
        .output()
        .expect("it ends");
    assert_eq!(output.status.code(), Some(2));
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(
        said.contains("facts.json") && said.lines().count() == 1,
        "{said}"
    );
}
