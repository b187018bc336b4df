//! The tier as processes: signals, kills, lost disks and orders of start. Conditions are waited for, each with a generous
//! end; the tests run one after the other, so that six processes run at a time.

mod tier_support;

use alderhollow::placement::message::Demand;
use alderhollow_standins::batch_client::{self, BatchJob, Item, ItemResult, ResultState};
use alderhollow_standins::client;
use alderhollow_standins::events::whole_text;
use alderhollow_standins::operator::Order;
use std::collections::BTreeSet;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tier_support::{
    configuration, stream_request, until, Place, Tier, GRACE, HOST, LIMIT, SEEDS, SERVICE, STORES,
};

/// Held by the test that runs.
static TURN: Mutex<()> = Mutex::new(());

const SHORT_PAUSE: Duration = Duration::from_millis(20);
const TOKENS_PER_EVENT: u64 = 20;
const BATCH_ITEMS: usize = 6;
const ITEM_EVENTS: u64 = 20;

/// Runs a test when it is its turn.
fn in_turn(test: impl Future<Output = ()>) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

fn batch_job(id: &str) -> BatchJob {
    let items = (0..BATCH_ITEMS).map(|number| {
        let usage = (540, ITEM_EVENTS * TOKENS_PER_EVENT);
        Item::new(
            &format!("{id}{number}"),
            &format!("/lots/item/{number}"),
            usage,
            b"lot",
        )
    });
    BatchJob {
        id: id.into(),
        host: HOST.into(),
        path: format!("/lots/{id}"),
        items: items.collect(),
    }
}

/// What `inspect` prints of the data folder of a process that was killed.
fn inspect(folder: &Path) -> String {
    let program = Command::new(env!("CARGO_BIN_EXE_alderhollow"))
        .arg("inspect")
        .arg(folder)
        .output()
        .unwrap();
    assert!(program.status.success(), "{program:?}");
    String::from_utf8_lossy(&program.stdout).into_owned()
}

async fn submit(gateways: &[SocketAddr], job: &BatchJob) {
    let (status, tries) = batch_client::submit_until_answered(gateways, job, LIMIT).await;
    assert!(matches!(status, Ok(202)), "after {tries} tries: {status:?}");
}

async fn read_to_end(gateways: &[SocketAddr], job: &BatchJob) -> Vec<ItemResult> {
    let mut failures = Vec::new();
    let read = batch_client::read_to_end(gateways, job, &mut failures);
    let results = tokio::time::timeout(LIMIT, read).await;
    assert!(
        !failures.iter().any(|failure| failure.ends_with("404")),
        "never 404: {failures:?}"
    );
    results.unwrap_or_else(|_| panic!("the results took too long: {failures:?}"))
}

fn assert_complete(job: &BatchJob, results: &[ItemResult]) {
    let ids: BTreeSet<&str> = results.iter().map(|result| result.id.as_str()).collect();
    assert_eq!(
        (ids.len(), results.len()),
        (job.items.len(), job.items.len()),
        "{results:?}"
    );
    for result in results {
        assert_eq!(result.state, ResultState::Completed, "{result:?}");
        assert_eq!(result.text, whole_text(&result.id, ITEM_EVENTS));
    }
}

#[test]
fn a_gateway_that_is_told_to_end_finishes_its_stream() {
    in_turn(async {
        let mut tier = Tier::start(1, Duration::from_millis(150)).await;
        let gateway = SEEDS[0];
        let request = stream_request("a1", "chat", 20 * TOKENS_PER_EVENT);
        let front = tier.front(gateway);
        let stream = tokio::task::spawn_local(async move { client::stream(front, &request).await });
        until("the stream runs", || {
            let runs = tier
                .backends
                .iter()
                .any(|backend| !backend.runs().is_empty());
            std::future::ready(runs)
        })
        .await;
        let asked = Demand {
            service: SERVICE.to_string(),
            priority: 0,
            tokens_in: 100,
            tokens_out: 100,
            parts: Vec::new(),
            excluded_backends: Vec::new(),
        };
        let choice = tier.choice(gateway, asked).await.expect("the door answers");
        let as_sender = choice
            .as_sender
            .expect("the door sends to the service's backends");
        assert_eq!(
            as_sender.candidates.len(),
            tier.backends.len(),
            "{as_sender:?}"
        );
        assert!(as_sender.chosen().is_some(), "{as_sender:?}");
        tier.process(gateway).terminate().unwrap();
        until("the door is not ready", || async {
            !tier.is_ready(gateway).await
        })
        .await;
        let answer = stream.await.unwrap().unwrap();
        assert_eq!(answer.status, 200);
        assert!(
            answer.is_whole_from(1),
            "{:?} {:?}",
            answer.end,
            answer.events
        );
        assert_eq!(answer.text(), whole_text("a1", 20));
        let status = tier.process(gateway).wait(GRACE).await.unwrap();
        assert!(status.is_some_and(|status| status.success()), "{status:?}");
    });
}

#[test]
fn a_configuration_outlives_the_primary_that_acknowledged_it() {
    in_turn(async {
        let mut tier = Tier::start(2, SHORT_PAUSE).await;
        let answer = tier
            .order(&Order::put_config(3, configuration(5, &["later"])))
            .await;
        assert_eq!(answer.status, 200);
        let (primary, _) = tier
            .core_primary()
            .await
            .expect("an order was acknowledged");
        tier.process(primary).kill().unwrap();
        let found = inspect(&tier.data_dir(primary));
        assert!(
            found.contains("contents: a member of the core\n"),
            "{found}"
        );
        assert!(
            found.contains("configuration: version 5\n") || found.contains("one command not known"),
            "{found}"
        );
        assert_eq!(tier.config_version().await, Some(5));
        let answer = tier
            .order(&Order::put_config(
                5,
                configuration(9, &["later", "latest"]),
            ))
            .await;
        assert_eq!(answer.status, 200);
        assert_eq!(tier.config_version().await, Some(9));
        for gateway in SEEDS.into_iter().filter(|gateway| *gateway != primary) {
            let front = tier.front(gateway);
            until("the new route is served", || async {
                let request = stream_request("b1", "latest", TOKENS_PER_EVENT);
                client::stream(front, &request)
                    .await
                    .is_ok_and(|answer| answer.status == 200)
            })
            .await;
        }
    });
}

#[test]
fn a_batch_job_outlives_the_store_that_accepted_it() {
    in_turn(async {
        let mut tier = Tier::start(3, Duration::from_millis(60)).await;
        let gateways = SEEDS.map(|gateway| tier.front(gateway));
        let job = batch_job("c");
        submit(&gateways, &job).await;
        let primary = tier
            .primary_store()
            .await
            .expect("a batch job was accepted");
        tier.process(primary).kill().unwrap();
        let found = inspect(&tier.data_dir(primary));
        assert!(
            found.contains("batch jobs: 1 open, 0 complete, 0 ended by their clients\n"),
            "{found}"
        );
        let results = read_to_end(&gateways, &job).await;
        assert_complete(&job, &results);
        let again = read_to_end(&gateways, &job).await;
        assert_eq!(again, results, "results keep their positions");
        let second = batch_job("d");
        submit(&gateways, &second).await;
        assert_complete(&second, &read_to_end(&gateways, &second).await);
    });
}

#[test]
fn a_batch_job_and_a_configuration_outlive_a_kill_of_all_processes_and_the_loss_of_a_stores_disk() {
    in_turn(async {
        let mut tier = Tier::start(7, Duration::from_millis(60)).await;
        let gateways = SEEDS.map(|gateway| tier.front(gateway));
        let job = batch_job("g");
        submit(&gateways, &job).await;
        let lost = tier
            .primary_store()
            .await
            .expect("a batch job was accepted");
        for place in SEEDS.into_iter().chain(STORES) {
            tier.process(place).kill().unwrap();
        }
        tier.wipe(lost);
        for place in SEEDS.into_iter().chain(STORES) {
            tier.start_process(place, false);
        }
        assert_eq!(tier.config_version().await, Some(3));
        let front = gateways[0];
        until("the batch job can be read", || async {
            let read = batch_client::read(front, &job, 0).await;
            assert!(!matches!(read, Ok(Err(404))), "never 404");
            matches!(read, Ok(Ok(_)))
        })
        .await;
        assert_complete(&job, &read_to_end(&gateways, &job).await);
    });
}

#[test]
fn processes_go_on_after_sighup() {
    in_turn(async {
        let mut tier = Tier::start(4, SHORT_PAUSE).await;
        let before = [tier.status(SEEDS[1]).await, tier.status(STORES[1]).await];
        for place in SEEDS.into_iter().chain(STORES) {
            tier.process(place).hang_up().unwrap();
        }
        let gateways = SEEDS.map(|gateway| tier.front(gateway));
        let job = batch_job("e");
        submit(&gateways, &job).await;
        assert_complete(&job, &read_to_end(&gateways, &job).await);
        for place in SEEDS.into_iter().chain(STORES) {
            assert!(
                matches!(tier.process(place).ended(), Ok(None)),
                "{place:?} goes on"
            );
        }
        let after = [tier.status(SEEDS[1]).await, tier.status(STORES[1]).await];
        let lives = |reports: &[Option<_>; 2]| {
            let incarnation =
                |report: &alderhollow::status::message::StatusReport| report.node.incarnation;
            reports
                .each_ref()
                .map(|report| report.as_ref().map(incarnation).expect("it answers"))
        };
        assert_eq!(lives(&before), lives(&after));
    });
}

#[test]
fn machines_start_in_any_order_the_seeds_last() {
    in_turn(async {
        let mut tier = Tier::prepare(5, SHORT_PAUSE).await;
        let late_gateway = Place::Gateway(3);
        for place in STORES.into_iter().chain([late_gateway]) {
            tier.start_process(place, true);
        }
        until("all that started answer", || async {
            tier.status(STORES[0]).await.is_some() && tier.status(late_gateway).await.is_some()
        })
        .await;
        assert!(
            !tier.is_ready(late_gateway).await,
            "nobody has validated its tables"
        );
        for place in SEEDS {
            tier.start_process(place, true);
        }
        tier.settle(&[SEEDS[0], SEEDS[1], SEEDS[2], late_gateway])
            .await;
        let gateways = [tier.front(late_gateway), tier.front(SEEDS[0])];
        let job = batch_job("f");
        submit(&gateways, &job).await;
        assert_complete(&job, &read_to_end(&gateways, &job).await);
    });
}

#[test]
fn a_gateway_with_an_empty_disk_at_its_old_address_is_a_new_member() {
    in_turn(async {
        let mut tier = Tier::start(6, SHORT_PAUSE).await;
        let gateway = SEEDS[1];
        let old_disk = tier
            .status(gateway)
            .await
            .and_then(|report| report.node.disk)
            .expect("it has a disk");
        tier.process(gateway).kill().unwrap();
        tier.wipe(gateway);
        tier.start_process(gateway, false);
        until(
            "the new disk is a member in place of the old one",
            || async {
                let Some(new_disk) = tier
                    .status(gateway)
                    .await
                    .and_then(|report| report.node.disk)
                else {
                    return false;
                };
                let Some((_, report)) = tier.core_primary().await else {
                    return false;
                };
                let members = &report.core_view.members;
                new_disk != old_disk
                    && members.iter().any(|member| member.disk == new_disk)
                    && members.iter().all(|member| member.disk != old_disk)
            },
        )
        .await;
        assert_eq!(tier.config_version().await, Some(3));
        until("the door is ready", || tier.is_ready(gateway)).await;
        let answer = tier
            .order(&Order::put_config(3, configuration(5, &[])))
            .await;
        assert_eq!(answer.status, 200);
    });
}
