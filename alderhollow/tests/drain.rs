//! Regression tests of the incident *requests to a leaving backend* (`docs/incidents/tier-drain.md`).
//!
//! Failure: a gateway sent a request to a backend 4,004 ms after the platform had listed it as draining, 4 ms beyond the
//! bound (`drain-ms`). The configuration had changed twice in the seconds before.
//!
//! How it came about:
//! 1. A configuration change was sent in full to 300 processes and kept the primary's link busy for more than a second.
//! 2. Heartbeats were delayed, so the primary repeatedly began epochs without some replicas and readmitted them.
//! 3. A reading of the platform's list took 0.9 to 2.1 s instead of 70 ms, and was discarded because the epoch had changed:
//!    `dropped a list that was read in epoch 10, now Some(12)`.
//! 4. The next reading began only after the pause between readings. No list was published for 2.5 to 4.6 s; then all
//!    gateways had it within 0.4 s.
//!
//! Cause: the delay from the platform's list to the gateways was unbounded. Readings were discarded at every change of the
//! epoch even under the same primary, published only when complete, and started a pause after the end of the previous
//! one; and complete tables for all processes delayed readings and heartbeats.

mod tier_support;

use alderhollow_standins::backend::Backend;
use alderhollow_standins::client;
use alderhollow_standins::http::{call, read_whole};
use alderhollow_standins::platform::{Instance, ListSettings, ListedState};
use alderhollow_standins::settings::{PLATFORM_LAG_MS, PLATFORM_RATE_PER_S};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::Request;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tier_support::{stream_request, until, Place, Tier, SEEDS};
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, Instant};

/// Serializes the tests.
static TEST_LOCK: Mutex<()> = Mutex::new(());

/// `drain-ms` of the settings.
const DRAIN_BOUND: Duration = Duration::from_millis(3_000);
/// How long clients send beyond the bound.
const SEND_AFTER_BOUND: Duration = Duration::from_millis(3_000);
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
const TOKENS_OUT: u64 = 20;
const PLATFORM_LAG: Duration = Duration::from_millis(PLATFORM_LAG_MS);
const METRICS_PORT: u16 = 18_152;
const METRICS_TIMEOUT: Duration = Duration::from_secs(3);

/// Runs a test while no other test of this file runs.
fn run_exclusively(test: impl Future<Output = ()>) {
    let _guard = TEST_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Sends requests to a gateway until dropped.
struct Clients(JoinHandle<()>);

impl Clients {
    fn start(gateway: SocketAddr) -> Clients {
        let sending = async move {
            for number in 0_u64.. {
                let request = stream_request(&format!("d{number}"), "chat", TOKENS_OUT);
                tokio::task::spawn_local(async move { client::send(gateway, &request).await });
                sleep(REQUEST_INTERVAL).await;
            }
        };
        Clients(tokio::task::spawn_local(sending))
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Instances of a service that no route uses; they only lengthen the list.
fn unused_instances(count: usize, address: SocketAddr) -> Vec<Instance> {
    (0..count)
        .map(|number| Instance {
            service: "unused".into(),
            address,
            zone: "east".into(),
            config_version: "v1".into(),
            slots: 4,
            state: ListedState::Ready,
            cold_remaining_ms: 0,
            id: format!("i-unused-{number}"),
        })
        .collect()
}

/// The platform's list of the backends, followed by `unused`.
fn listed(backends: &[Backend], unused: &[Instance]) -> Vec<Instance> {
    let own = backends.iter().map(Backend::listed);
    own.chain(unused.iter().cloned()).collect()
}

/// Index of the backend that a gateway prefers: the one in its zone.
fn preferred_backend(gateway: Place) -> usize {
    match gateway {
        Place::Gateway(number) => usize::from(number),
        other => unreachable!("{other:?} is not a gateway"),
    }
}

/// Fails if a request reached the drained backend after the bound, or no request reached the others after it.
fn check_drained(tier: &Tier, drained: usize, listed_at: Instant) {
    let newest = |backend: &Backend| backend.runs().iter().map(|run| run.started).max();
    let last = newest(&tier.backends[drained]).expect("it received requests before the drain");
    let after = last.saturating_duration_since(listed_at);
    assert!(
        after <= DRAIN_BOUND,
        "a request reached the backend {} ms after the platform had listed it as draining",
        after.as_millis()
    );
    let others = (0..tier.backends.len()).filter(|index| *index != drained);
    let others = others
        .filter_map(|index| newest(&tier.backends[index]))
        .max();
    let others = others.expect("the others received requests");
    assert!(
        others > listed_at + DRAIN_BOUND,
        "no requests after the drain bound"
    );
}

/// How long the lagging member is paused and then runs, so that it is removed from the epoch and readmitted.
const MEMBER_PAUSED: Duration = Duration::from_millis(650);
const MEMBER_RUNNING: Duration = Duration::from_millis(550);
/// Delay of one response of the platform; a reading takes three responses here.
const SLOW_RESPONSE: Duration = Duration::from_millis(300);
/// Minimum number of epochs that must begin during the test for it to be meaningful.
const MIN_EPOCHS: u64 = 6;

#[test]
fn a_drain_reaches_gateways_while_the_core_begins_epochs_during_each_reading() {
    run_exclusively(async {
        let mut tier = Tier::start(71, Duration::from_millis(5)).await;
        tier.platform.set(ListSettings {
            lag: PLATFORM_LAG,
            rate_per_s: PLATFORM_RATE_PER_S,
            page_size: 1,
        });
        tier.platform.delay_answers(SLOW_RESPONSE);
        let (primary, before) = tier.core_primary().await.expect("a primary");
        let slow_member = *SEEDS.iter().find(|seed| **seed != primary).expect("one");
        let clients = Clients::start(tier.front(primary));
        make_lag(&mut tier, slow_member, Duration::from_secs(3)).await;
        let drained = preferred_backend(primary);
        tier.backends[drained].drain();
        tier.platform.change(listed(&tier.backends, &[]));
        let listed_at = Instant::now() + PLATFORM_LAG;
        make_lag(
            &mut tier,
            slow_member,
            PLATFORM_LAG + DRAIN_BOUND + SEND_AFTER_BOUND,
        )
        .await;
        drop(clients);
        check_drained(&tier, drained, listed_at);
        let (still_primary, after) = tier.core_primary().await.expect("a primary");
        assert_eq!(primary, still_primary);
        let epochs = |report: &alderhollow::status::message::StatusReport| {
            report.core.as_ref().map_or(0, |core| core.epoch)
        };
        assert!(epochs(&after) >= epochs(&before) + MIN_EPOCHS);
    });
}

/// Makes a member of the core repeatedly fall behind and catch up.
async fn make_lag(tier: &mut Tier, member: Place, span: Duration) {
    let end = Instant::now() + span;
    while Instant::now() < end {
        tier.process(member).pause().unwrap();
        sleep(MEMBER_PAUSED).await;
        tier.process(member).resume().unwrap();
        sleep(MEMBER_RUNNING).await;
    }
}

/// Number of entries for which a reading takes nearly two seconds at the platform's rate.
const LONG_LIST_ENTRIES: usize = 36;

#[test]
fn a_drain_listed_right_after_its_page_was_read_reaches_gateways_in_time() {
    run_exclusively(async {
        let tier = Tier::start(72, Duration::from_millis(5)).await;
        let unused = unused_instances(LONG_LIST_ENTRIES, tier.standin_address(90));
        tier.platform.set(ListSettings {
            lag: Duration::ZERO,
            rate_per_s: PLATFORM_RATE_PER_S,
            page_size: 1,
        });
        tier.platform.change(listed(&tier.backends, &unused));
        let gateway = Place::Gateway(0);
        let clients = Clients::start(tier.front(gateway));
        sleep(Duration::from_secs(5)).await;
        let readings = tier.platform.readings();
        while tier.platform.readings() == readings {
            sleep(Duration::from_millis(1)).await;
        }
        sleep(Duration::from_millis(10)).await;
        // The first page, which lists the gateway's preferred backend, has just been served.
        let drained = preferred_backend(gateway);
        tier.backends[drained].drain();
        tier.platform.change(listed(&tier.backends, &unused));
        let listed_at = Instant::now();
        sleep_until(listed_at + DRAIN_BOUND + SEND_AFTER_BOUND).await;
        drop(clients);
        check_drained(&tier, drained, listed_at);
    });
}

/// Number of entries of a list of about 20 KB.
const LARGE_LIST_ENTRIES: usize = 200;
/// Maximum bytes sent to each process for a change of one backend.
const MAX_BYTES_PER_CHANGE: u64 = 1_000;

#[test]
fn a_change_of_one_backend_among_many_costs_few_bytes() {
    run_exclusively(async {
        let mut tier = Tier::prepare(73, Duration::from_millis(5)).await;
        tier.options = vec!["--metrics".into(), format!("{METRICS_PORT}/metrics")];
        for place in SEEDS.into_iter().chain(tier_support::STORES) {
            tier.start_process(place, true);
        }
        tier.settle(&SEEDS).await;
        let unused = unused_instances(LARGE_LIST_ENTRIES, tier.standin_address(90));
        tier.platform.change(listed(&tier.backends, &unused));
        sleep(Duration::from_secs(6)).await;
        let before = update_bytes(&tier).await;
        // All but the core's primary poll for it.
        let pollers = (SEEDS.len() + tier_support::STORES.len() - 1) as u64;
        assert!(
            before > pollers * 10_000,
            "not all processes have the long list: {before} bytes"
        );
        tier.backends[0].drain();
        tier.platform.change(listed(&tier.backends, &unused));
        until("the change has reached the others", || async {
            update_bytes(&tier).await > before
        })
        .await;
        sleep(Duration::from_secs(3)).await;
        let processes = (SEEDS.len() + tier_support::STORES.len()) as u64;
        let bytes_per_process = (update_bytes(&tier).await - before) / processes;
        assert!(
            bytes_per_process <= MAX_BYTES_PER_CHANGE,
            "{bytes_per_process} bytes per process"
        );
    });
}

/// Total bytes of the updates that the gateways have sent in response to polls.
async fn update_bytes(tier: &Tier) -> u64 {
    let mut sum = 0;
    for gateway in SEEDS {
        let address = tier.at_port(gateway, METRICS_PORT);
        let request = Request::get("/metrics").header("host", address.to_string());
        let request = request.body(Full::<Bytes>::default()).unwrap();
        let answer = call(address, request, METRICS_TIMEOUT).await.unwrap();
        let text = read_whole(answer.into_body(), METRICS_TIMEOUT)
            .await
            .unwrap();
        let text = String::from_utf8(text).unwrap();
        let samples = text
            .lines()
            .filter(|line| line.starts_with("alderhollow_core_update_bytes_total"));
        let values = samples.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
        sum += values.sum::<u64>();
    }
    sum
}
