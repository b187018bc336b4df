//! Runs fault-lab scenarios with this package's program, for tests of several processes.

use fault_lab::check::Summary;
use fault_lab::check::{Finding, NAMES};
use fault_lab::process::{raise_descriptor_limit, Launcher};
use fault_lab::record::{self, Entry};
use fault_lab::run::{carry_out, RECORD};
use fault_lab::scenario::Scenario;
use std::path::{Path, PathBuf};
use std::sync::{Condvar, Mutex};

/// A lightly loaded fleet, so that slowness of a busy machine does not show as a failure of the program.
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

/// The directory that holds a run's files.
pub(crate) fn run_directory(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

fn empty_run_directory(name: &str) -> PathBuf {
    let directory = run_directory(name);
    let _ = std::fs::remove_dir_all(&directory);
    directory
}

/// Limit on concurrent runs. More would delay each other, and the delays would show as failures of the program.
const MAX_CONCURRENT_RUNS: usize = 3;
static ACTIVE_RUNS: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

struct RunPermit;

impl RunPermit {
    fn acquire() -> RunPermit {
        let running = ACTIVE_RUNS.0.lock().expect("the lock is not poisoned");
        *ACTIVE_RUNS
            .1
            .wait_while(running, |running| *running >= MAX_CONCURRENT_RUNS)
            .expect("the lock is not poisoned") += 1;
        RunPermit
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        *ACTIVE_RUNS.0.lock().expect("the lock is not poisoned") -= 1;
        ACTIVE_RUNS.1.notify_one();
    }
}

/// Runs a scenario with seed 7 and returns its summary and record.
pub(crate) fn run_scenario(name: &str, text: &str) -> (Summary, Vec<Entry>) {
    let _permit = RunPermit::acquire();
    let scenario = Scenario::parse(name, text).expect("the scenario is valid");
    let launcher = Launcher::new(env!("CARGO_BIN_EXE_quota-gateway"));
    let directory = empty_run_directory(name);
    raise_descriptor_limit();
    // Child processes end with the thread that starts them; the threads of this runtime live until the run ends.
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let summary = runtime.block_on(carry_out(&scenario, 7, &directory, &launcher, |_, _| {}));
    let summary = summary.expect("the scenario runs");
    assert_eq!(summary.findings.len(), NAMES.len());
    (
        summary,
        record::read(&directory.join(RECORD)).expect("the record can be read"),
    )
}

/// Asserts that all checks pass and returns the finding of the named check.
pub(crate) fn assert_checks_pass(summary: &Summary, check: &str) -> Finding {
    for finding in &summary.findings {
        assert_eq!(finding.broken, 0, "{finding:?}");
    }
    summary
        .findings
        .iter()
        .find(|finding| finding.check == check)
        .expect("the check was evaluated")
        .clone()
}
