//! Batch jobs are spread over the stores: no store runs most of the items, and none is idle.

mod tier_support;

use alderhollow_standins::batch_client::{self, BatchJob, Item};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tier_support::{until, Place, Tier, HOST, LIMIT, SEEDS};
use tokio::task::{JoinHandle, LocalSet};

/// Number of this test's range of loopback addresses.
const TIER_NUMBER: u8 = 9;
const STORES: u8 = 6;
const JOBS: usize = 60;
const ITEMS_PER_JOB: usize = 8;
/// Prompt tokens and maximum output tokens of an item. The output takes two events.
const ITEM_TOKENS: (u64, u64) = (10, 40);
/// Pause between events. An item's run of two events spans several samples.
const EVENT_PAUSE: Duration = Duration::from_millis(200);
/// Interval between two samples of the stores.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum share of the running time of all items at one store.
const MAX_SHARE: f64 = 0.45;

/// Sampled running time of the items at each store, as reported by the stores: a backend can't distinguish the stores, as
/// all of them connect from the same loopback address.
#[derive(Debug, Default)]
struct RunningTime {
    sampled_items: BTreeMap<Place, u64>,
}

impl RunningTime {
    /// Adds the items that are running now.
    async fn sample(&mut self, tier: &Tier, stores: &[Place]) {
        for store in stores {
            let report = tier.status(*store).await.and_then(|report| report.store);
            let running = report.map_or(0, |report| report.running_items());
            *self.sampled_items.entry(*store).or_default() += running;
        }
    }

    /// Returns a store's share of the total.
    fn share(&self, store: Place) -> f64 {
        let total: u64 = self.sampled_items.values().sum();
        self.sampled_items.get(&store).copied().unwrap_or(0) as f64 / total.max(1) as f64
    }
}

fn run_in_local_set(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

fn batch_job(number: usize) -> BatchJob {
    let id = format!("scale-{number}");
    let item = |index: usize| {
        Item::new(
            &format!("{id}-{index}"),
            &format!("/lots/item/{index}"),
            ITEM_TOKENS,
            b"lot",
        )
    };
    let items = (0..ITEMS_PER_JOB).map(item).collect();
    BatchJob {
        path: format!("/lots/{id}"),
        id,
        host: HOST.into(),
        items,
    }
}

/// Starts a tier of three gateways and the given stores, and waits until it is ready for batch jobs.
async fn start_tier(stores: &[Place]) -> Tier {
    let mut tier = Tier::prepare(TIER_NUMBER, EVENT_PAUSE).await;
    for place in SEEDS.iter().chain(stores) {
        tier.start_process(*place, true);
    }
    tier.settle(&SEEDS).await;
    until("all stores are known", || async {
        for store in stores {
            if tier.status(*store).await.is_none() {
                return false;
            }
        }
        true
    })
    .await;
    tier
}

/// Submits all jobs, repeating each at the gateways until it is answered.
fn submit_all(gateways: [SocketAddr; 3]) -> Vec<JoinHandle<()>> {
    let submit = |number: usize| async move {
        let job = batch_job(number);
        let (status, tries) = batch_client::submit_until_answered(&gateways, &job, LIMIT).await;
        assert!(
            matches!(status, Ok(202)),
            "job {number} after {tries} tries: {status:?}"
        );
    };
    (0..JOBS)
        .map(|number| tokio::task::spawn_local(submit(number)))
        .collect()
}

/// Returns the number of items that the backends ran to completion.
fn finished_items(tier: &Tier) -> usize {
    let whole = |backend: &alderhollow_standins::backend::Backend| {
        backend.runs().iter().filter(|run| run.is_whole).count()
    };
    tier.backends.iter().map(whole).sum()
}

#[test]
fn no_store_runs_most_items_and_every_store_runs_some() {
    run_in_local_set(async {
        let stores: Vec<Place> = (0..STORES).map(Place::Store).collect();
        let tier = start_tier(&stores).await;
        let submissions = submit_all(SEEDS.map(|gateway| tier.front(gateway)));
        let mut running_time = RunningTime::default();
        let deadline = tokio::time::Instant::now() + LIMIT;
        while finished_items(&tier) < JOBS * ITEMS_PER_JOB {
            assert!(
                tokio::time::Instant::now() < deadline,
                "only {} items finished in time",
                finished_items(&tier)
            );
            running_time.sample(&tier, &stores).await;
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
        for submission in submissions {
            submission.await.expect("the job is accepted");
        }
        let shares = stores
            .iter()
            .map(|store| (*store, running_time.share(*store)));
        let shares: BTreeMap<Place, f64> = shares.collect();
        println!("share of the items' running time at each store: {shares:?}");
        assert!(
            shares.values().all(|share| *share <= MAX_SHARE),
            "one store runs most items: {shares:?}"
        );
        assert!(
            shares.values().all(|share| *share > 0.0),
            "a store runs no items: {shares:?}"
        );
    });
}
