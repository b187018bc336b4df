//! A gateway between clients and backends that fail in all ways that leave it open whether a request has run: connections
//! that end before, within and after a body of up to 4 MB, responses that come early, late, truncated, malformed, in pieces,
//! several times or not at all.
//! What clients were answered is compared with what the backends ran. All is drawn from a seed, though the timing differs
//! from run to run.
//!
//! The short form always runs. The long one:
//!
//!     ALDERHOLLOW_SOAK_SEEDS=1-50 cargo test -p alderhollow --test request_soak -- --nocapture

#[path = "soak/plan.rs"]
#[allow(dead_code, reason = "a seed takes as long as its requests")]
mod plan;
#[path = "request_soak/record.rs"]
mod record;
mod support;

use alderhollow_standins::failing_backend::{FailingBackend, Workload};
use oorandom::Rand64;
use plan::Plan;
use record::{Answer, Record, RouteKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use support::client::Client;
use support::gateway::{request, Gateway};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

const BACKENDS: u64 = 4;
const CLIENTS: u64 = 6;
const REQUESTS_PER_CLIENT: u64 = 40;
const MAX_BODY_BYTES: u64 = 4 << 20;
/// How long clients wait, as they say and in fact.
const DEADLINE_MS: u64 = 700;
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest pause between two crashes of a backend.
const MAX_CRASH_PAUSE_MS: u64 = 400;
/// Within this time a request that is still on its way has run or never will.
const SETTLE: Duration = Duration::from_millis(500);
const SEED_LIMIT: Duration = Duration::from_secs(120);

#[test]
fn no_request_runs_twice_or_after_a_promise_that_it_has_not_run() {
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
        "rules were broken under the seeds {failed:?}; see above"
    );
}

/// Plays one seed; returns what broke a rule.
async fn soak(seed: u64) -> Vec<String> {
    let record = Rc::new(Record::default());
    let mut backends = Vec::new();
    let mut addresses = Vec::new();
    for number in 0..BACKENDS {
        let random = Rand64::new(u128::from(seed) << 8 | u128::from(number));
        let backend = FailingBackend::new(random, Workload::Requests, record.clone());
        addresses.push(backend.start().await.expect("a free port"));
        backends.push(backend);
    }
    let gateway = Gateway::start_over(addresses, MAX_BODY_BYTES).await;
    let crashes = spawn_local(crash(backends, Rand64::new(u128::from(seed) << 8 | 0xff)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let random = Rand64::new(u128::from(seed) << 16 | u128::from(number));
            let client = SoakClient {
                name: format!("s{seed}-c{number}"),
                gateway: gateway.address,
                random,
                record: record.clone(),
            };
            spawn_local(client.run())
        })
        .collect();
    for client in clients {
        client.await.expect("a client ends");
    }
    crashes.abort();
    sleep(SETTLE).await;
    println!("seed {seed}: {}", record.summary());
    record.violations()
}

/// Resets all connections of one backend now and then.
async fn crash(backends: Vec<FailingBackend>, mut random: Rand64) {
    loop {
        sleep(Duration::from_millis(
            random.rand_range(0..MAX_CRASH_PAUSE_MS),
        ))
        .await;
        let index = random.rand_range(0..BACKENDS) as usize;
        backends[index].reset_connections();
    }
}

struct SoakClient {
    name: String,
    gateway: SocketAddr,
    random: Rand64,
    record: Rc<Record>,
}

impl SoakClient {
    async fn run(mut self) {
        for number in 0..REQUESTS_PER_CLIENT {
            let id = format!("{}-{number}", self.name);
            let kind = match self.random.rand_range(0..3) {
                0 => RouteKind::Idempotent,
                _ => RouteKind::NonIdempotent,
            };
            let body = self.draw_body(&id);
            self.record.sent(&id, kind, body.len());
            let text = request(kind.path(), "", &body)
                .replace("Request-Id: r1", &format!("Request-Id: {id}"))
                .replace("Deadline-Ms: 2500", &format!("Deadline-Ms: {DEADLINE_MS}"));
            let answer = timeout(CLIENT_TIMEOUT, ask(self.gateway, &text)).await;
            self.record.answered(&id, answer.ok().flatten());
        }
    }

    /// A body of the request's own bytes: half of them fit into one packet, the others take up to 4 MB.
    fn draw_body(&mut self, id: &str) -> String {
        let max_bytes = match self.random.rand_range(0..4) {
            0..=1 => 1_000,
            2 => 200_000,
            _ => MAX_BODY_BYTES,
        };
        let length = self.random.rand_range(0..max_bytes) as usize;
        record::body_of(id, length)
    }
}

/// Sends one request on a connection of its own; `None` if the connection ends without an answer.
async fn ask(gateway: SocketAddr, text: &str) -> Option<Answer> {
    let mut client = Client::connect(gateway).await;
    client.offer(text).await;
    let reply = client.reply().await?;
    Some(Answer {
        status: reply.status,
        body: reply.body,
        is_whole: reply.whole,
    })
}
