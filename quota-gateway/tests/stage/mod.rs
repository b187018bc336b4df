//! Runs scenarios of the lab with this package's program, for the tests of several processes.

use fault_lab::check::Summary;
use fault_lab::check::{Finding, NAMES};
use fault_lab::process::{raise_descriptor_limit, Launcher};
use fault_lab::record::{self, Entry};
use fault_lab::run::{carry_out, RECORD};
use fault_lab::scenario::Scenario;
use std::path::{Path, PathBuf};
use std::sync::{Condvar, Mutex};

/// A fleet with little to do, so that a busy machine is not mistaken for a fault of the program.
pub(crate) const SMALL: &str = r#"
name = "small"
about = "for tests"
seconds = 5
lateness_ms = 2000

[fleet]
doors = 4

[backends]
count = 3
cores = 4

[[class]]
name = "read"
service_ms = 10
deadline_ms = 4000

[[class]]
name = "write"
semantics = "single_shot"
share = 0.3
service_ms = 10
deadline_ms = 4000

[[plan]]
name = "p"
customers = 12
units_per_s = 10
burst_units = 20
offered = 0.5
spread = 3
"#;

/// Where a run's files are.
pub(crate) fn folder_of(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

fn folder(name: &str) -> PathBuf {
    let folder = folder_of(name);
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

/// Runs at a time: more would keep each other waiting, and that is no fault of the program.
const RUNS: usize = 3;
static RUNNING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

struct Room;

impl Room {
    fn take() -> Room {
        let running = RUNNING.0.lock().expect("nobody panics with the lock");
        *RUNNING
            .1
            .wait_while(running, |running| *running >= RUNS)
            .expect("as above") += 1;
        Room
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        *RUNNING.0.lock().expect("nobody panics with the lock") -= 1;
        RUNNING.1.notify_one();
    }
}

/// Runs a scenario.
pub(crate) fn carry(name: &str, text: &str) -> (Summary, Vec<Entry>) {
    let _room = Room::take();
    let scenario = Scenario::parse(name, text).expect("it makes sense");
    let launcher = Launcher::new(env!("CARGO_BIN_EXE_quota-gateway"));
    let folder = folder(name);
    raise_descriptor_limit();
    // Processes end with the thread that starts them: this one lives until the run is over.
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let summary = runtime.block_on(carry_out(&scenario, 7, &folder, &launcher, |_, _| {}));
    let summary = summary.expect("it runs");
    assert_eq!(summary.findings.len(), NAMES.len());
    (
        summary,
        record::read(&folder.join(RECORD)).expect("a record"),
    )
}

/// All checks are kept; returns the named one.
pub(crate) fn kept(summary: &Summary, check: &str) -> Finding {
    for finding in &summary.findings {
        assert_eq!(finding.broken, 0, "{finding:?}");
    }
    summary
        .findings
        .iter()
        .find(|finding| finding.check == check)
        .expect("it was checked")
        .clone()
}
