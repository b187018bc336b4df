//! Three stores, a door's batch calls and a backend in one process, over loopback: jobs are kept by all members, run by the
//! primary, and stand at its successor. The disks are in memory.

#[path = "support/batch_backend.rs"]
mod batch_backend;
#[path = "support/batch_tables.rs"]
mod batch_tables;

use alderhollow::balance::Balancer;
use alderhollow::batch_api::endpoints::StoreEndpoints;
use alderhollow::batch_api::{BatchCall, BatchEndpoints};
use alderhollow::clock::SteadyClock;
use alderhollow::distribution::client::PollState;
use alderhollow::exchange::Exchange;
use alderhollow::executor::Executor;
use alderhollow::internal::{server, Network, ServiceId, Services};
use alderhollow::store::calls::CallHandler;
use alderhollow::store::journal_queue::JournalQueue;
use alderhollow::store::node::{NodeJournal, NodeParts, ReplicationHandler, StoreNode};
use alderhollow::store::runs::Runs;
use alderhollow_batch::engine::Engine;
use alderhollow_model::identity::{Address, DiskId, LifeId, NodeInfo, Role};
use alderhollow_model::snapshot::{BatchGroup, GroupMember, Snapshot};
use alderhollow_storage::{FaultDisk, Journal, Writer};
use base64::prelude::{Engine as _, BASE64_STANDARD};
use batch_backend::{whole_text, BatchBackend, Reply};
use batch_tables::{backend, config, snapshot};
use hyper::body::Bytes;
use hyper::{Request, Response};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::Instant;

const DISK_BYTES: u64 = 64 * 1024 * 1024;
/// The core validates this process from here on.
const FOR_EVER: u64 = u64::MAX / 2;

struct Store {
    member: GroupMember,
    node: Rc<StoreNode>,
    poll: PollState,
    disk: FaultDisk,
    tasks: Vec<AbortHandle>,
}

impl Store {
    async fn start(number: u64, disk: FaultDisk, snapshots: watch::Receiver<Arc<Snapshot>>) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let clock = SteadyClock::start();
        let (journal, recovered) = Journal::open(&mut disk.clone(), number).expect("a journal");
        let id = DiskId(recovered.identity);
        let engine = Engine::restore(id, clock.now_ms(), recovered.snapshot.as_deref(), &recovered.records)
            .expect("jobs");
        let (queue, ends) = JournalQueue::new(Writer::start(journal).expect("a writer"), Some(64));
        let balancer = Rc::new(RefCell::new(Balancer::new("store", "a", number)));
        let exchange = Exchange::new(clock.instant(0), number, snapshots.clone(), balancer);
        let poll = PollState::default();
        let node = Rc::new(StoreNode::new(NodeParts {
            disk: id,
            clock,
            engine,
            journal: queue,
            runs: Runs::new(Executor::new(clock, exchange)),
            network: Network::new(number),
            poll: poll.clone(),
            snapshots,
        }));
        let mut services = Services::default();
        services.register(ServiceId::Batch, Rc::new(CallHandler(node.clone())));
        services.register(ServiceId::Replication, Rc::new(ReplicationHandler(node.clone())));
        let tasks = [
            tokio::task::spawn_local(server::serve(listener, services)),
            tokio::task::spawn_local(node.clone().run()),
            tokio::task::spawn_local(NodeJournal(node.clone()).follow(ends)),
        ];
        let info = NodeInfo {
            node: format!("store-{number}"),
            role: Role::Store,
            zone: "a".to_string(),
            life: LifeId(number),
            disk: Some(id),
            internal: Address(address),
            control: None,
        };
        let tasks = tasks.iter().map(|task| task.abort_handle()).collect();
        Store { member: GroupMember { disk: id, node: info }, node, poll, disk, tasks }
    }

    /// The process ends.
    fn stop(&self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

struct Tier {
    stores: Vec<Store>,
    backend: BatchBackend,
    endpoints: StoreEndpoints,
    tables: watch::Sender<Arc<Snapshot>>,
    quota: u64,
}

impl Tier {
    async fn start(script: Vec<Reply>, quota: u64) -> Tier {
        Tier::start_validated(script, quota, Some(FOR_EVER)).await
    }

    async fn start_validated(script: Vec<Reply>, quota: u64, validated_at: Option<u64>) -> Tier {
        let backend = BatchBackend::start(script).await;
        let (tables, snapshots) = watch::channel(Arc::<Snapshot>::default());
        let mut stores = Vec::new();
        for number in 1..=3 {
            let store = Store::start(number, FaultDisk::new(DISK_BYTES, number), snapshots.clone()).await;
            validated_at.into_iter().for_each(|at| store.poll.note_validated(at));
            stores.push(store);
        }
        let endpoints = StoreEndpoints::new(Rc::new(Network::new(9)), snapshots, SteadyClock::start(), 9);
        let tier = Tier { stores, backend, endpoints, tables, quota };
        tier.set_group(1, 0, &[0, 1, 2]);
        tier
    }

    /// The core decides on a group.
    fn set_group(&self, epoch: u64, primary: usize, members: &[usize]) {
        let members = members.iter().map(|index| self.stores[*index].member.clone()).collect();
        let group =
            BatchGroup { epoch, primary: self.stores[primary].member.disk, members, learners: vec![] };
        let backends = vec![backend("i-1", self.backend.address)];
        self.tables.send_replace(snapshot(config(1, self.quota), backends, epoch, Some(group)));
    }

    async fn call(&self, method: &str, path: &str, wait_ms: u64) -> Response<Bytes> {
        let request = Request::builder().method(method).uri(path).header("Wait-Ms", wait_ms);
        let request = request.body(Bytes::new()).expect("a request");
        self.endpoints.serve(BatchCall { request, route: None, received_at: Instant::now() }).await
    }

    /// Hands a job in for a client that waits so long.
    async fn hand_in(&self, id: &str, items: usize, deadline_ms: u64) -> Response<Bytes> {
        let item = |index: usize| {
            json!({"id": format!("i{index}"), "path": "/b/1", "headers": {"Model": "m"},
                "body": BASE64_STANDARD.encode(format!("body {index}")), "tokens": 100})
        };
        let items: Vec<Value> = (0..items).map(item).collect();
        let request = Request::post("/b/1").header("Request-Id", id).header("Deadline-Ms", deadline_ms);
        let request = request.body(Bytes::from(json!({ "requests": items }).to_string())).expect("a request");
        let route = Some(Arc::new(config(1, self.quota).routes.remove(0)));
        self.endpoints.serve(BatchCall { request, route, received_at: Instant::now() }).await
    }

    async fn submit(&self, items: usize) -> u16 {
        self.hand_in("j1", items, 4_000).await.status().as_u16()
    }

    /// All results, once there are as many as items.
    async fn results(&self) -> Vec<Value> {
        let mut all = Vec::new();
        loop {
            let path = format!("/alderhollow/lots/j1?after={}", all.len());
            let response = self.call("GET", &path, 1000).await;
            if response.status() != 200 {
                continue;
            }
            let answer: Value = serde_json::from_slice(response.body()).expect("JSON");
            all.extend(answer["results"].as_array().expect("results").iter().cloned());
            assert_eq!(answer["next-token"], all.len());
            if answer["total"] == all.len() {
                return all;
            }
        }
    }

    async fn status(&self, method: &str, path: &str) -> u16 {
        self.call(method, path, 0).await.status().as_u16()
    }
}

fn in_local_set(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

fn ids(results: &[Value]) -> Vec<String> {
    let mut ids: Vec<_> =
        results.iter().filter_map(|result| result["id"].as_str().map(str::to_string)).collect();
    ids.sort();
    ids
}

#[test]
fn a_job_is_taken_run_read_and_stands_at_the_successor() {
    in_local_set(async {
        let script = vec![Reply::CutAfter(20), Reply::NotExecuted, Reply::Status(500)];
        let tier = Tier::start(script, 0).await;
        assert_eq!(tier.submit(5).await, 202);
        assert_eq!(tier.submit(5).await, 202);
        let results = tier.results().await;
        assert_eq!(ids(&results), ["i0", "i1", "i2", "i3", "i4"]);
        for result in &results {
            assert_eq!((&result["state"], &result["text"]), (&json!("completed"), &json!(whole_text())));
        }
        assert_eq!(tier.status("GET", "/alderhollow/items/j1?id=i0").await, 404);
        assert_eq!(tier.status("GET", "/alderhollow/lots/other").await, 404);

        tier.stores[0].stop();
        tier.set_group(2, 1, &[1, 2]);
        assert_eq!(tier.results().await, results);
        assert_eq!(tier.submit(5).await, 202);
        assert_eq!(tier.status("DELETE", "/alderhollow/lots/j1").await, 200);
        assert_eq!(tier.status("DELETE", "/alderhollow/lots/j1").await, 200);
        assert_eq!(tier.results().await, results);
    });
}

#[test]
fn an_item_that_fails_at_every_attempt_or_can_never_be_done_is_a_dead_letter() {
    in_local_set(async {
        let tier = Tier::start(vec![Reply::Status(500); 3], 0).await;
        assert_eq!(tier.submit(1).await, 202);
        assert_eq!(tier.results().await, [json!({"id": "i0", "state": "dead_letter", "text": ""})]);
        assert_eq!(tier.backend.requests().len(), 3);

        let tier = Tier::start(vec![Reply::Status(422)], 0).await;
        assert_eq!(tier.submit(1).await, 202);
        assert_eq!(tier.results().await, [json!({"id": "i0", "state": "dead_letter", "text": ""})]);
        assert_eq!(tier.backend.requests().len(), 1);
    });
}

#[test]
fn the_end_of_a_job_cancels_its_runs_at_once() {
    in_local_set(async {
        let tier = Tier::start(vec![Reply::Silence, Reply::Silence], 0).await;
        assert_eq!(tier.submit(2).await, 202);
        tier.backend.until_requests(2).await;
        let body = tier.call("GET", "/alderhollow/items/j1?id=i1", 0).await;
        assert_eq!((body.status().as_u16(), &body.body()[..]), (200, &b"body 1"[..]));
        assert_eq!(tier.status("DELETE", "/alderhollow/lots/j1").await, 200);
        tier.backend.until_closed(2).await;
        assert_eq!(tier.backend.requests().len(), 2);
    });
}

#[test]
fn what_does_not_fit_gets_429() {
    in_local_set(async {
        let tier = Tier::start(vec![], 250).await;
        assert_eq!(tier.submit(3).await, 429);
        assert_eq!(tier.backend.requests(), []);
        assert_eq!(tier.submit(2).await, 202);
    });
}

#[test]
fn an_end_that_a_silent_member_leaves_unknown_is_settled_by_the_next_epoch() {
    in_local_set(async {
        let tier = Tier::start(vec![], 0).await;
        assert_eq!(tier.submit(1).await, 202);
        tier.results().await;
        tier.stores[2].stop();
        let response = tier.hand_in("j2", 1, 300).await;
        assert_eq!(response.status(), 504);
        assert!(!response.headers().contains_key("retry-after"));
        tier.set_group(2, 0, &[0, 1]);
        assert_eq!(tier.hand_in("j2", 1, 4_000).await.status(), 202);
    });
}

#[test]
fn jobs_are_there_after_a_loss_of_power_of_all_stores() {
    in_local_set(async {
        let tier = Tier::start(vec![], 0).await;
        assert_eq!(tier.submit(4).await, 202);
        let results = tier.results().await;
        let mut disks = Vec::new();
        for store in &tier.stores {
            store.stop();
            store.disk.fail_power_after(0);
            disks.push(store.disk.clone());
        }
        let (tables, snapshots) = watch::channel(Arc::<Snapshot>::default());
        let mut stores = Vec::new();
        for (number, disk) in disks.into_iter().enumerate() {
            disk.restore_power();
            let store = Store::start(number as u64 + 11, disk, snapshots.clone()).await;
            store.poll.note_validated(FOR_EVER);
            stores.push(store);
        }
        let endpoints = StoreEndpoints::new(Rc::new(Network::new(9)), snapshots, SteadyClock::start(), 9);
        let tier = Tier { stores, backend: tier.backend, endpoints, tables, quota: 0 };
        tier.set_group(2, 2, &[0, 1, 2]);
        assert_eq!(tier.results().await, results);
    });
}

#[test]
fn a_store_that_nobody_validates_takes_nothing_and_never_says_404() {
    in_local_set(async {
        let tier = Tier::start_validated(vec![], 0, None).await;
        let response = tier.hand_in("j1", 1, 4_000).await;
        assert_eq!(response.status(), 503);
        assert!(response.headers().contains_key("retry-after"));
        for path in ["/alderhollow/lots/j1", "/alderhollow/items/j1?id=i0"] {
            assert_eq!(tier.status("GET", path).await, 503, "{path}");
        }
        assert_eq!(tier.status("DELETE", "/alderhollow/lots/j1").await, 503);
        assert!(!tier.stores[0].node.may_start());
        assert_eq!(tier.backend.requests(), []);

        tier.stores.iter().for_each(|store| store.poll.note_validated(FOR_EVER));
        assert_eq!(tier.submit(1).await, 202);
        assert_eq!(tier.status("GET", "/alderhollow/lots/other").await, 404);
    });
}

/// The metrics of all tests of this process are the same: others may add to them meanwhile.
#[test]
fn the_metrics_tell_of_a_job_s_way() {
    in_local_set(async {
        let before = told();
        let tier = Tier::start(vec![Reply::CutAfter(20)], 0).await;
        assert_eq!(tier.submit(2).await, 202);
        tier.results().await;
        let after = told();
        for (metric, least) in [
            ("alderhollow_batch_jobs_offered_total", 1.0),
            ("alderhollow_batch_job_answers_total{status=\"202\"}", 1.0),
            ("alderhollow_batch_hand_overs_total", 1.0),
            ("alderhollow_batch_hand_over_bytes_total", 100.0),
            ("alderhollow_internal_sent_bytes_total{kind=\"request\",service=\"batch\"}", 100.0),
            ("alderhollow_internal_received_bytes_total{kind=\"notice\",service=\"replication\"}", 200.0),
            ("alderhollow_internal_connections_begun_total", 3.0),
            ("alderhollow_store_jobs_total{result=\"accepted\"}", 1.0),
            ("alderhollow_store_commit_seconds_count", 1.0),
            ("alderhollow_store_items_listed_total", 2.0),
            ("alderhollow_store_runs_started_total", 3.0),
            ("alderhollow_store_run_ends_total{end=\"completed\"}", 2.0),
            ("alderhollow_store_run_ends_total{end=\"cut\"}", 1.0),
            ("alderhollow_run_sent_bytes_total", 18.0),
            ("alderhollow_run_received_bytes_total", 20.0),
            ("alderhollow_store_reads_total", 1.0),
            ("alderhollow_store_journal_writes_total", 6.0),
            ("alderhollow_store_journal_sync_seconds_count", 6.0),
            ("alderhollow_store_group_epochs_changed_total", 3.0),
            ("alderhollow_replication_messages_total{kind=\"entries\"}", 4.0),
            ("alderhollow_replication_comparisons_total", 2.0),
            ("alderhollow_replication_entry_bytes_total{content=\"jobs\"}", 200.0),
            ("alderhollow_replication_entry_bytes_total{content=\"results\"}", 100.0),
        ] {
            let added = after[metric] - before[metric];
            assert!(added >= least, "{metric} rose by {added}, not by {least}");
        }
        let violations = after.iter().filter(|(name, _)| name.starts_with("alderhollow_invariant"));
        assert!(violations.map(|(_, count)| *count).sum::<f64>() == 0.0);
    });
}

/// What the metrics tell now, by name with labels.
fn told() -> BTreeMap<String, f64> {
    let text = alderhollow::metrics::get().text();
    let samples = text.lines().filter(|line| !line.starts_with('#')).filter_map(|line| line.rsplit_once(' '));
    samples.map(|(name, value)| (name.to_owned(), value.parse().expect("a number"))).collect()
}
