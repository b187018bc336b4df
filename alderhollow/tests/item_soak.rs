//! Items of batch jobs that run at backends which fail at any point: responses come early, late, truncated, in pieces,
//! several times or not at all. What became of each item is compared with what the backends answered. All is drawn from
//! a seed, though the timing differs from run to run.
//!
//! The short form always runs. The long one:
//!
//!     ALDERHOLLOW_SOAK_SEEDS=1-50 cargo test -p alderhollow --test item_soak -- --nocapture

#[path = "support/batch_tables.rs"]
mod batch_tables;
#[path = "soak/plan.rs"]
#[allow(dead_code, reason = "a seed takes as long as its items")]
mod plan;

use alderhollow::balance::Balancer;
use alderhollow::clock::SteadyClock;
use alderhollow::exchange::Exchange;
use alderhollow::executor::Executor;
use alderhollow_batch::api::{ItemStart, Resume, RunEnd, RunId};
use alderhollow_batch::job::{ItemRequest, JobId};
use alderhollow_standins::events::whole_text;
use alderhollow_standins::failing_backend::{FailingBackend, RunObserver, Workload, EVENTS};
use batch_tables::{backend, config, snapshot, HOST, ROUTE};
use oorandom::Rand64;
use plan::Plan;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

const BACKENDS: u64 = 3;
const WORKERS: u64 = 6;
const ITEMS_PER_WORKER: u64 = 25;
/// `max-attempts` of the route.
const MAX_ATTEMPTS: u32 = 3;
const MAX_BODY_BYTES: u64 = 300_000;
/// Longest pause before an item runs again.
const MAX_RETRY_PAUSE_MS: u64 = 30;
const MAX_CRASH_PAUSE_MS: u64 = 400;
const SEED_LIMIT: Duration = Duration::from_secs(120);

#[test]
fn items_end_as_the_whole_responses_to_their_runs_say() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let mut failed = Vec::new();
    for seed in Plan::from_environment().seeds {
        let soak = async { timeout(SEED_LIMIT, soak(seed)).await.expect("it ends") };
        let violations = LocalSet::new().block_on(&runtime, soak);
        violations
            .iter()
            .for_each(|violation| println!("seed {seed}: {violation}"));
        if !violations.is_empty() {
            failed.push(seed);
        }
    }
    assert!(
        failed.is_empty(),
        "items ended wrongly under the seeds {failed:?}; see above"
    );
}

/// What the backends did with one item.
#[derive(Debug, Default, Clone, Copy)]
struct Answers {
    runs: u32,
    failures: u32,
    rejections: u32,
}

/// What the backends did with all items, by their ids.
#[derive(Default)]
struct Record(RefCell<BTreeMap<String, Answers>>);

impl Record {
    fn count(&self, item: &str, count: impl FnOnce(&mut Answers)) {
        count(self.0.borrow_mut().entry(item.to_string()).or_default());
    }

    fn of(&self, item: &str) -> Answers {
        self.0.borrow().get(item).copied().unwrap_or_default()
    }
}

impl RunObserver for Record {
    fn on_run(&self, request_id: &str) {
        self.count(request_id, |answers| answers.runs += 1);
    }
    fn on_body(&self, _: &str, _: &[u8]) {}
    fn on_failure(&self, request_id: &str) {
        self.count(request_id, |answers| answers.failures += 1);
    }
    fn on_rejection(&self, request_id: &str) {
        self.count(request_id, |answers| answers.rejections += 1);
    }
}

/// Plays one seed; returns what broke a rule.
async fn soak(seed: u64) -> Vec<String> {
    let record = Rc::new(Record::default());
    let mut backends = Vec::new();
    let mut listed = Vec::new();
    for number in 0..BACKENDS {
        let random = Rand64::new(u128::from(seed) << 8 | u128::from(number));
        let failing = FailingBackend::new(random, Workload::Items, record.clone());
        let address = failing.start().await.expect("a free port");
        listed.push(backend(&format!("i-{number}"), address));
        backends.push(failing);
    }
    let (_tables, snapshots) = watch::channel(snapshot(config(1, 0), listed, 1, None));
    let clock = SteadyClock::start();
    let balancer = Rc::new(RefCell::new(Balancer::new("store-1", "a", seed)));
    let exchange = Exchange::new(clock.instant(0), seed, snapshots, balancer);
    let executor = Executor::new(clock, exchange);
    let crashes = spawn_local(crash(backends, Rand64::new(u128::from(seed) << 8 | 0xff)));
    let workers: Vec<_> = (0..WORKERS)
        .map(|number| {
            let worker = Worker {
                name: format!("s{seed}-w{number}"),
                executor: executor.clone(),
                random: Rand64::new(u128::from(seed) << 16 | u128::from(number)),
                record: record.clone(),
            };
            spawn_local(worker.run())
        })
        .collect();
    let mut violations = Vec::new();
    for worker in workers {
        violations.extend(worker.await.expect("a worker ends"));
    }
    crashes.abort();
    let answers = record.0.borrow();
    let sum = |count: fn(&Answers) -> u32| answers.values().map(count).sum::<u32>();
    println!(
        "seed {seed}: {} items, {} runs, {} answers of 500, {} of 422",
        answers.len(),
        sum(|answers| answers.runs),
        sum(|answers| answers.failures),
        sum(|answers| answers.rejections),
    );
    violations
}

/// Resets all connections of one backend now and then.
async fn crash(backends: Vec<FailingBackend>, mut random: Rand64) {
    loop {
        let pause_ms = random.rand_range(0..MAX_CRASH_PAUSE_MS);
        sleep(Duration::from_millis(pause_ms)).await;
        let index = random.rand_range(0..BACKENDS) as usize;
        backends[index].reset_connections();
    }
}

/// Runs items one after the other, as the engine of a batch group does.
struct Worker {
    name: String,
    executor: Executor,
    random: Rand64,
    record: Rc<Record>,
}

impl Worker {
    /// Returns what broke a rule.
    async fn run(mut self) -> Vec<String> {
        let mut violations = Vec::new();
        for number in 0..ITEMS_PER_WORKER {
            let id = format!("{}-{number}", self.name);
            let max_bytes = match self.random.rand_range(0..4) {
                0 => MAX_BODY_BYTES,
                _ => 1_000,
            };
            let body = vec![b'x'; self.random.rand_range(0..max_bytes) as usize];
            violations.extend(self.run_to_result(item(&id, body)).await);
        }
        violations
    }

    /// Runs an item until it has a result; returns why the result is wrong.
    async fn run_to_result(&mut self, mut item: ItemStart) -> Option<String> {
        let id = item.item_id.clone();
        while item.failures < MAX_ATTEMPTS {
            let end = self.executor.run(&item).await;
            let answers = self.record.of(&id);
            let retry_after_ms = match end {
                RunEnd::Completed { text } => {
                    let is_whole = text == whole_text(&id, EVENTS);
                    return (!is_whole).then(|| format!("{id} is completed with {text:?}"));
                }
                RunEnd::Rejected => {
                    let is_rejected = answers.rejections > 0;
                    return (!is_rejected).then(|| format!("{id} is rejected without a 422"));
                }
                RunEnd::Failed => {
                    item.failures += 1;
                    if item.failures > answers.failures {
                        return Some(format!(
                            "{id} has failed {} times by {} answers of 500",
                            item.failures, answers.failures
                        ));
                    }
                    0
                }
                RunEnd::Interrupted {
                    resume,
                    retry_after_ms,
                } => {
                    item.resume = further(item.resume, resume);
                    retry_after_ms
                }
                RunEnd::NotRun { retry_after_ms } | RunEnd::Postponed { retry_after_ms } => {
                    retry_after_ms
                }
            };
            let pause_ms = retry_after_ms.min(self.random.rand_range(0..MAX_RETRY_PAUSE_MS));
            sleep(Duration::from_millis(pause_ms)).await;
        }
        None
    }
}

/// The one of two positions that is further on.
fn further(earlier: Option<Resume>, later: Option<Resume>) -> Option<Resume> {
    let event = |resume: &Option<Resume>| resume.as_ref().map(|resume| resume.last_event_id);
    match event(&earlier) < event(&later) {
        true => later,
        false => earlier,
    }
}

fn item(id: &str, body: Vec<u8>) -> ItemStart {
    ItemStart {
        run: RunId(1),
        job: JobId::from("j1"),
        route: ROUTE.to_string(),
        host: HOST.to_string(),
        item_id: id.to_string(),
        tokens: 940,
        failures: 0,
        request: ItemRequest {
            path: "/b/3".to_string(),
            headers: Vec::new(),
            body,
        },
        due_ms: 10_000,
        abandon_at_ms: 40_000,
        resume: None,
    }
}
