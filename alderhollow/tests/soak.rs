//! A tier of real processes under random troubles, some at a time: SIGKILL, pauses, broken links, lost answers, backends
//! that cut, refuse and fail, changes of the configuration. Clients and an operator act all the while; at the end, in calm,
//! what they were told is held against what reached the backends. All is drawn from a seed, though the processes' own timing
//! differs from run to run.
//!
//! The short form always runs. The long one:
//!
//!     ALDERHOLLOW_SOAK_SEEDS=1-20 ALDERHOLLOW_SOAK_SECONDS=40 cargo test -p alderhollow --test soak -- --nocapture
//!
//! Settings give each process one address, which it listens at and announces, so links between two processes can't be
//! cut on loopback; the links to backends and from clients to gateways can.

#[path = "soak/clients.rs"]
mod clients;
#[path = "soak/configurations.rs"]
mod configurations;
#[path = "soak/metrics.rs"]
mod metrics;
#[path = "soak/plan.rs"]
mod plan;
#[path = "soak/record.rs"]
mod record;
#[path = "soak/relay.rs"]
mod relay;
mod tier_support;
#[path = "soak/timeline.rs"]
mod timeline;
#[path = "soak/troubles.rs"]
mod troubles;
#[path = "soak/violation.rs"]
mod violation;
#[path = "soak/world.rs"]
mod world;

use plan::Plan;
use record::Readable;
use std::rc::Rc;
use std::time::Duration;
use tier_support::Place;
use tokio::task::LocalSet;
use tokio::time::Instant;
use world::World;

/// The first tier's number; each seed has the next one.
const FIRST_TIER: u8 = 33;
/// How long all results may take once it is calm.
const CALM_LIMIT: Duration = Duration::from_secs(30);
/// Longest time for start and end of one seed, beside its troubles.
const REST_LIMIT: Duration = Duration::from_secs(150);
/// Pause between two reads of a job in calm.
const READ_PAUSE: Duration = Duration::from_millis(200);
/// Items of an ended job may run so long; nothing is checked before.
const CANCEL: Duration = Duration::from_millis(3_000);

#[test]
fn a_tier_keeps_its_rules_through_troubles_drawn_from_a_seed() {
    let plan = Plan::from_environment();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let mut failed = Vec::new();
    for (seed, tier) in plan.seeds.clone().zip((FIRST_TIER..=u8::MAX).cycle()) {
        let bounded = async {
            let limit = plan.trouble + REST_LIMIT;
            tokio::time::timeout(limit, soak(seed, tier, plan.trouble))
                .await
                .expect("a soak ends in time")
        };
        let is_good = LocalSet::new().block_on(&runtime, bounded);
        if !is_good {
            failed.push(seed);
        }
    }
    assert!(
        failed.is_empty(),
        "rules were broken under the seeds {failed:?}; see above"
    );
}

/// Plays one seed; tells whether all rules were kept.
async fn soak(seed: u64, tier: u8, trouble: Duration) -> bool {
    let world = Rc::new(World::start(tier).await);
    let end = Instant::now() + trouble;
    let troubles = tokio::task::spawn_local(troubles::strike(world.clone(), seed, end));
    let operator = tokio::task::spawn_local(configurations::change(world.clone(), seed, end));
    clients::act(&world, seed, end).await;
    troubles.await.expect("troubles end");
    operator.await.expect("the operator ends");
    let calm_since = Instant::now();
    read_all_in_calm(&world).await;
    println!(
        "seed {seed}: all was read, or given up, after {:.1} s of calm",
        calm_since.elapsed().as_secs_f64()
    );
    tokio::time::sleep_until(calm_since + CANCEL).await;
    let world = Rc::into_inner(world).expect("nobody acts any more");
    judge(seed, world).await
}

/// Reads every accepted job from its first result to its end, at the gateways in turn.
async fn read_all_in_calm(world: &Rc<World>) {
    let jobs = world
        .record
        .borrow()
        .readable()
        .into_iter()
        .filter(|readable| !readable.is_end_asked);
    let readers: Vec<_> = jobs
        .enumerate()
        .map(|(index, readable)| {
            tokio::task::spawn_local(read_to_end(world.clone(), readable, index))
        })
        .collect();
    for reader in readers {
        reader.await.expect("a reader ends");
    }
}

async fn read_to_end(world: Rc<World>, mut readable: Readable, first_gateway: usize) {
    let end = Instant::now() + CALM_LIMIT;
    let total = readable.job.items.len();
    let mut after = 0;
    for gateway in world
        .gateway_relays
        .iter()
        .cycle()
        .skip(first_gateway % world.gateway_relays.len())
    {
        clients::read_page(&world, gateway.address(), &readable, after).await;
        let Some(newest) = world.record.borrow().readable_job(&readable.job.id) else {
            return;
        };
        readable = newest;
        if readable.known == total || Instant::now() >= end {
            return;
        }
        after = readable.known;
        tokio::time::sleep(READ_PAUSE).await;
    }
}

/// Checks what is left to check, ends the tier and reports.
async fn judge(seed: u64, world: World) -> bool {
    if world.tier.borrow().options.is_empty() {
        println!(
            "seed {seed}: the program has no metrics; what it counts by itself is not checked"
        );
    }
    for place in &world.places {
        world.note_counted(*place).await;
    }
    let mut tier = world.tier.into_inner();
    let mut record = world.record.into_inner();
    record.check_end(&tier.backends);
    let configurations = world.configurations.into_inner();
    let read = configurations::read_version(&tier.operator()).await;
    record.violations.extend(configurations.check(read));
    let (counts, changes) = (record.counts, configurations.changes());
    let troubles = world.timeline.troubles();
    println!(
        "seed {seed}: {counts:?}, {changes} changes of the configuration, {troubles} troubles"
    );
    if record.violations.is_empty() {
        return true;
    }
    tier.keeps_folder = true;
    println!(
        "seed {seed}: after {:.1} s, rules were broken:",
        world.timeline.elapsed().as_secs_f64()
    );
    record
        .violations
        .iter()
        .for_each(|violation| println!("  {violation}"));
    println!("seed {seed}: troubles:\n{}", world.timeline);
    println!(
        "seed {seed}: settings, data and logs: {}",
        tier.folder().display()
    );
    false
}
