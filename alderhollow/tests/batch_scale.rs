//! Batch jobs are spread over the stores: no store runs most of the items, and none that is there stands idle.

mod tier_support;

use alderhollow_standins::batch_client::{self, BatchJob, Item};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tier_support::{until, Place, Tier, HOST, LIMIT, SEEDS};
use tokio::task::{JoinHandle, LocalSet};

/// Number of this test's part of loopback.
const TIER_NUMBER: u8 = 9;
const STORES: u8 = 6;
const JOBS: usize = 60;
const ITEMS_PER_JOB: usize = 8;
/// Tokens of an item's prompt, and most out: two events.
const ITEM_TOKENS: (u64, u64) = (10, 40);
/// Two of them are an item's run, which several looks see.
const EVENT_PAUSE: Duration = Duration::from_millis(200);
/// Time between two looks at the stores.
const LOOK: Duration = Duration::from_millis(50);
/// Largest part of all items that one store may run.
const LARGEST_SHARE: f64 = 0.45;

/// How much of the items' running time was seen at each store. Connections of all stores come from the same address of
/// loopback, so a backend can't tell them apart; the stores themselves tell what runs at them.
#[derive(Debug, Default)]
struct RunningTime {
    seen_items: BTreeMap<Place, u64>,
}

impl RunningTime {
    /// Adds the items that run at this moment.
    async fn look(&mut self, tier: &Tier, stores: &[Place]) {
        for store in stores {
            let report = tier.status(*store).await.and_then(|report| report.store);
            let running = report.map_or(0, |report| report.running_items());
            *self.seen_items.entry(*store).or_default() += running;
        }
    }

    /// The part of the whole that ran at a store.
    fn share(&self, store: Place) -> f64 {
        let whole: u64 = self.seen_items.values().sum();
        self.seen_items.get(&store).copied().unwrap_or(0) as f64 / whole.max(1) as f64
    }
}

fn in_runtime(test: impl Future<Output = ()>) {
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

/// A tier of three gateways and six stores whose batch jobs can be handed in.
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

/// Hands all jobs in, at the gateways in turn.
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

/// Items that the backends ran to the end.
fn finished_items(tier: &Tier) -> usize {
    let whole = |backend: &alderhollow_standins::backend::Backend| {
        backend.runs().iter().filter(|run| run.is_whole).count()
    };
    tier.backends.iter().map(whole).sum()
}

#[test]
fn no_store_runs_most_items_and_every_store_runs_some() {
    in_runtime(async {
        let stores: Vec<Place> = (0..STORES).map(Place::Store).collect();
        let tier = start_tier(&stores).await;
        let submissions = submit_all(SEEDS.map(|gateway| tier.front(gateway)));
        let mut running_time = RunningTime::default();
        let end = tokio::time::Instant::now() + LIMIT;
        while finished_items(&tier) < JOBS * ITEMS_PER_JOB {
            assert!(
                tokio::time::Instant::now() < end,
                "{} items ended",
                finished_items(&tier)
            );
            running_time.look(&tier, &stores).await;
            tokio::time::sleep(LOOK).await;
        }
        for submission in submissions {
            submission.await.expect("the job is accepted");
        }
        let shares = stores
            .iter()
            .map(|store| (*store, running_time.share(*store)));
        let shares: BTreeMap<Place, f64> = shares.collect();
        println!("part of the items' running time at each store: {shares:?}");
        assert!(
            shares.values().all(|share| *share <= LARGEST_SHARE),
            "one store runs most items: {shares:?}"
        );
        assert!(
            shares.values().all(|share| *share > 0.0),
            "a store that is there runs nothing: {shares:?}"
        );
    });
}
