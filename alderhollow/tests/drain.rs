//! Regression tests of the incident *requests to a leaving backend* (`docs/incidents/tier-drain.md`).
//!
//! What users saw: a gateway sent a request to a backend 4,004 ms after the platform had listed it as draining, 4 ms beyond
//! the bound (`drain-ms`). Nothing was broken at that moment; the configuration had changed twice in the seconds before.
//!
//! Order of events, from the logs of the same day played again:
//! 1. A change of the configuration goes to 300 processes at once, in full. The primary's link is busy for more than a second.
//! 2. Heartbeats wait behind it. Replicas miss their time, the primary begins one epoch after the other without them, and
//!    takes them back.
//! 3. Its reading of the platform's list, 70 ms long in calm, takes 0.9 to 2.1 s. When it ends, the epoch is another one, and
//!    the primary drops what it has read: `dropped a list that was read in epoch 10, now Some(12)`.
//! 4. It waits for the pause between two readings and begins again. No list is published for 2.5 to 4.6 s; then all
//!    gateways hold it within 0.4 s.
//!
//! Cause: the time from the platform's list to the gateways was a sum of steps without a bound. A reading was thrown away for
//! each change of the epoch, even if the primary stayed the same; a reading was told only once it was whole; the next one
//! began a pause after the end of the last; and complete tables to all processes held up readings and heartbeats.

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

/// Held by the test that runs.
static TURN: Mutex<()> = Mutex::new(());

/// `drain-ms` of the settings.
const DRAIN_BOUND: Duration = Duration::from_millis(3_000);
/// Clients send beyond the bound for so long.
const AFTER_BOUND: Duration = Duration::from_millis(3_000);
const REQUEST_PAUSE: Duration = Duration::from_millis(20);
const TOKENS_OUT: u64 = 20;
const PLATFORM_LAG: Duration = Duration::from_millis(PLATFORM_LAG_MS);
const METRICS_PORT: u16 = 18_152;
const METRICS_PATIENCE: Duration = Duration::from_secs(3);

/// Runs a test when it is its turn.
fn in_turn(test: impl Future<Output = ()>) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Sends requests to a gateway until it is dropped.
struct Clients(JoinHandle<()>);

impl Clients {
    fn start(gateway: SocketAddr) -> Clients {
        let sending = async move {
            for number in 0_u64.. {
                let request = stream_request(&format!("d{number}"), "chat", TOKENS_OUT);
                tokio::task::spawn_local(async move { client::send(gateway, &request).await });
                sleep(REQUEST_PAUSE).await;
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

/// Entries of backends that no route leads to; they only make the list long.
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

/// The list as the backends tell it, with `unused` behind them.
fn listed(backends: &[Backend], unused: &[Instance]) -> Vec<Instance> {
    let own = backends.iter().map(Backend::listed);
    own.chain(unused.iter().cloned()).collect()
}

/// Place in the list of the backend that a gateway prefers: that of its zone.
fn preferred_backend(gateway: Place) -> usize {
    match gateway {
        Place::Gateway(number) => usize::from(number),
        other => unreachable!("{other:?} is no seed"),
    }
}

/// Fails if a request reached the backend later than the bound allows. Others must have got requests beyond the bound.
fn check_drained(tier: &Tier, drained: usize, shown_at: Instant) {
    let newest = |backend: &Backend| backend.runs().iter().map(|run| run.started).max();
    let last = newest(&tier.backends[drained]).expect("it got requests before");
    let after = last.saturating_duration_since(shown_at);
    assert!(
        after <= DRAIN_BOUND,
        "a request reached the backend {} ms after the list had shown that it leaves",
        after.as_millis()
    );
    let others = (0..tier.backends.len()).filter(|index| *index != drained);
    let others = others
        .filter_map(|index| newest(&tier.backends[index]))
        .max();
    let others = others.expect("the others got requests");
    assert!(others > shown_at + DRAIN_BOUND, "clients went on");
}

/// How long the member that falls behind stands still, and then goes on: it is left out of the epoch, and taken back.
const MEMBER_PAUSED: Duration = Duration::from_millis(650);
const MEMBER_RUNNING: Duration = Duration::from_millis(550);
/// One answer of the platform, of which a reading here takes three.
const SLOW_ANSWER: Duration = Duration::from_millis(300);
/// Epochs that the core must have begun for the test to mean something.
const LEAST_EPOCHS: u64 = 6;

#[test]
fn a_drain_reaches_gateways_while_the_core_begins_epochs_during_each_reading() {
    in_turn(async {
        let mut tier = Tier::start(71, Duration::from_millis(5)).await;
        tier.platform.set(ListSettings {
            lag: PLATFORM_LAG,
            rate_per_s: PLATFORM_RATE_PER_S,
            page_size: 1,
        });
        tier.platform.delay_answers(SLOW_ANSWER);
        let (primary, before) = tier.core_primary().await.expect("a primary");
        let slow_member = *SEEDS.iter().find(|seed| **seed != primary).expect("one");
        let clients = Clients::start(tier.front(primary));
        fall_behind(&mut tier, slow_member, Duration::from_secs(3)).await;
        let drained = preferred_backend(primary);
        tier.backends[drained].drain();
        tier.platform.change(listed(&tier.backends, &[]));
        let shown_at = Instant::now() + PLATFORM_LAG;
        fall_behind(
            &mut tier,
            slow_member,
            PLATFORM_LAG + DRAIN_BOUND + AFTER_BOUND,
        )
        .await;
        drop(clients);
        check_drained(&tier, drained, shown_at);
        let (still_primary, after) = tier.core_primary().await.expect("a primary");
        assert_eq!(primary, still_primary);
        let epochs = |report: &alderhollow::status::message::StatusReport| {
            report.core.as_ref().map_or(0, |core| core.epoch)
        };
        assert!(epochs(&after) >= epochs(&before) + LEAST_EPOCHS);
    });
}

/// Has a member of the core fall behind and catch up again and again.
async fn fall_behind(tier: &mut Tier, member: Place, span: Duration) {
    let end = Instant::now() + span;
    while Instant::now() < end {
        tier.process(member).pause().unwrap();
        sleep(MEMBER_PAUSED).await;
        tier.process(member).resume().unwrap();
        sleep(MEMBER_RUNNING).await;
    }
}

/// Entries that make a reading of the list take nearly two seconds at the platform's rate.
const ENTRIES_OF_A_LONG_LIST: usize = 36;

#[test]
fn a_drain_that_shows_right_after_its_page_was_read_reaches_gateways_in_time() {
    in_turn(async {
        let tier = Tier::start(72, Duration::from_millis(5)).await;
        let unused = unused_instances(ENTRIES_OF_A_LONG_LIST, tier.standin_address(90));
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
        // The page of the backend that the gateway prefers is the first one, and has just been given.
        let drained = preferred_backend(gateway);
        tier.backends[drained].drain();
        tier.platform.change(listed(&tier.backends, &unused));
        let shown_at = Instant::now();
        sleep_until(shown_at + DRAIN_BOUND + AFTER_BOUND).await;
        drop(clients);
        check_drained(&tier, drained, shown_at);
    });
}

/// Entries of a list that takes some 20 KB.
const ENTRIES_OF_A_LARGE_LIST: usize = 200;
/// What one backend's change may cost for each process that gets it.
const MOST_BYTES_OF_A_CHANGE: u64 = 1_000;

#[test]
fn a_change_of_one_backend_among_many_costs_few_bytes() {
    in_turn(async {
        let mut tier = Tier::prepare(73, Duration::from_millis(5)).await;
        tier.options = vec!["--metrics".into(), format!("{METRICS_PORT}/metrics")];
        for place in SEEDS.into_iter().chain(tier_support::STORES) {
            tier.start_process(place, true);
        }
        tier.settle(&SEEDS).await;
        let unused = unused_instances(ENTRIES_OF_A_LARGE_LIST, tier.standin_address(90));
        tier.platform.change(listed(&tier.backends, &unused));
        sleep(Duration::from_secs(6)).await;
        let before = update_bytes(&tier).await;
        assert!(before > 6 * 10_000, "all hold the long list");
        tier.backends[0].drain();
        tier.platform.change(listed(&tier.backends, &unused));
        until("the change has reached the others", || async {
            update_bytes(&tier).await > before
        })
        .await;
        sleep(Duration::from_secs(3)).await;
        let processes = (SEEDS.len() + tier_support::STORES.len()) as u64;
        let each = (update_bytes(&tier).await - before) / processes;
        assert!(
            each <= MOST_BYTES_OF_A_CHANGE,
            "{each} bytes for each process"
        );
    });
}

/// Bytes of all updates that the gateways have answered polls with.
async fn update_bytes(tier: &Tier) -> u64 {
    let mut sum = 0;
    for gateway in SEEDS {
        let address = tier.at_port(gateway, METRICS_PORT);
        let request = Request::get("/metrics").header("host", address.to_string());
        let request = request.body(Full::<Bytes>::default()).unwrap();
        let answer = call(address, request, METRICS_PATIENCE).await.unwrap();
        let text = read_whole(answer.into_body(), METRICS_PATIENCE)
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
