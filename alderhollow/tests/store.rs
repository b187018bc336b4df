//! Three stores with one batch group or several, a door's batch calls and a backend in one process, over loopback: jobs
//! are kept by all members, run by the primary, and stand at its successor. The disks are in memory.

#[path = "support/batch_backend.rs"]
mod batch_backend;
#[path = "support/batch_tables.rs"]
mod batch_tables;

use alderhollow::balance::Balancer;
use alderhollow::batch_api::endpoints::StoreEndpoints;
use alderhollow::batch_api::store_calls::{StoreAnswerFuture, StoreLink};
use alderhollow::batch_api::{BatchCall, BatchEndpoints};
use alderhollow::batch_protocol::{ReplicationNotice, StoreCall, StoreReply};
use alderhollow::clock::SteadyClock;
use alderhollow::distribution::client::PollState;
use alderhollow::exchange::Exchange;
use alderhollow::executor::Executor;
use alderhollow::internal::{server, Network, ServiceId, Services};
use alderhollow::store::calls::CallHandler;
use alderhollow::store::group_engine::KEEP_LEFT_MS;
use alderhollow::store::journal_queue::JournalQueue;
use alderhollow::store::journal_records::restore_engines;
use alderhollow::store::node::{NodeJournal, NodeParts, StoreNode};
use alderhollow::store::replication::ReplicationHandler;
use alderhollow::store::runs::Runs;
use alderhollow_batch::job::{Item, ItemRequest, ItemResult, JobId, NewJob, ResultState};
use alderhollow_batch::message::{Message, StreamId};
use alderhollow_batch::records::Entry;
use alderhollow_batch::state::State;
use alderhollow_model::identity::{Address, DiskId, LifeId, NodeInfo, Role};
use alderhollow_model::snapshot::{BatchGroup, GroupId, GroupMember, Snapshot};
use alderhollow_storage::{FaultDisk, Journal, Writer};
use base64::prelude::{Engine as _, BASE64_STANDARD};
use batch_backend::{whole_text, BatchBackend, Reply};
use batch_tables::{backend, config, snapshot_of_groups, HOST, ROUTE};
use hyper::body::Bytes;
use hyper::{Request, Response};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::Instant;

const DISK_BYTES: u64 = 64 * 1024 * 1024;
/// Batch jobs are kept so long.
const STATUS: Duration = Duration::from_secs(120);
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
        let engines = restore_engines(id, clock.now_ms(), recovered.snapshot.as_deref(), &recovered.records)
            .expect("jobs");
        let (queue, ends) = JournalQueue::new(Writer::start(journal).expect("a writer"), Some(64));
        let balancer = Rc::new(RefCell::new(Balancer::new("store", "a", number)));
        let exchange = Exchange::new(clock.instant(0), number, snapshots.clone(), balancer);
        let poll = PollState::default();
        let node = Rc::new(StoreNode::new(NodeParts {
            disk: id,
            clock,
            engines,
            status: STATUS,
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

/// A group as the core decides on it; stores by their places.
#[derive(Clone, Copy)]
struct Plan<'a> {
    epoch: u64,
    primary: usize,
    members: &'a [usize],
    learners: &'a [usize],
}

impl<'a> Plan<'a> {
    /// Without learners.
    fn new(epoch: u64, primary: usize, members: &'a [usize]) -> Plan<'a> {
        Plan { epoch, primary, members, learners: &[] }
    }
}

/// Three groups, each led by another store and with two members.
const THREE_GROUPS: [Plan; 3] = [
    Plan { epoch: 1, primary: 0, members: &[0, 1], learners: &[] },
    Plan { epoch: 1, primary: 1, members: &[1, 2], learners: &[] },
    Plan { epoch: 1, primary: 2, members: &[2, 0], learners: &[] },
];

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
        Tier::start_all(script, quota, validated_at, &[Plan::new(1, 0, &[0, 1, 2])]).await
    }

    async fn start_with(script: Vec<Reply>, quota: u64, plans: &[Plan<'_>]) -> Tier {
        Tier::start_all(script, quota, Some(FOR_EVER), plans).await
    }

    async fn start_all(
        script: Vec<Reply>,
        quota: u64,
        validated_at: Option<u64>,
        plans: &[Plan<'_>],
    ) -> Tier {
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
        tier.set_groups(1, plans);
        tier
    }

    /// The core decides on a group.
    fn set_group(&self, epoch: u64, primary: usize, members: &[usize]) {
        self.set_groups(epoch, &[Plan { epoch, primary, members, learners: &[] }]);
    }

    /// The core decides on all groups.
    fn set_groups(&self, version: u64, plans: &[Plan]) {
        let member = |index: &usize| self.stores[*index].member.clone();
        let group = |plan: &Plan| BatchGroup {
            epoch: plan.epoch,
            primary: self.stores[plan.primary].member.disk,
            members: plan.members.iter().map(member).collect(),
            learners: plan.learners.iter().map(member).collect(),
        };
        let backends = vec![backend("i-1", self.backend.address)];
        let groups = plans.iter().map(group).collect();
        self.tables.send_replace(snapshot_of_groups(config(1, self.quota), backends, version, groups));
    }

    /// Three stores on these disks in place of the present ones, which have ended.
    async fn restart_on(self, disks: Vec<FaultDisk>) -> Tier {
        let (tables, snapshots) = watch::channel(Arc::<Snapshot>::default());
        let mut stores = Vec::new();
        for (number, disk) in disks.into_iter().enumerate() {
            disk.restore_power();
            let store = Store::start(number as u64 + 11, disk, snapshots.clone()).await;
            store.poll.note_validated(FOR_EVER);
            stores.push(store);
        }
        let endpoints = StoreEndpoints::new(Rc::new(Network::new(9)), snapshots, SteadyClock::start(), 9);
        Tier { stores, backend: self.backend, endpoints, tables, quota: self.quota }
    }

    /// All stores lose their power.
    fn lose_power(&self) -> Vec<FaultDisk> {
        let lose = |store: &Store| {
            store.stop();
            store.disk.fail_power_after(0);
            store.disk.clone()
        };
        self.stores.iter().map(lose).collect()
    }

    async fn call(&self, method: &str, path: &str, wait_ms: u64) -> Response<Bytes> {
        let request = Request::builder().method(method).uri(path).header("Wait-Ms", wait_ms);
        let request = request.body(Bytes::new()).expect("a request");
        self.endpoints.serve(BatchCall { request, route: None, received_at: Instant::now() }).await
    }

    /// Hands a job in for a client that waits so long.
    async fn hand_in(&self, id: &str, items: usize, deadline_ms: u64) -> Response<Bytes> {
        self.hand_in_items(id, "i", items, deadline_ms).await
    }

    /// Hands a job in whose items' ids begin with a text.
    async fn hand_in_items(&self, id: &str, prefix: &str, items: usize, deadline_ms: u64) -> Response<Bytes> {
        let item = |index: usize| job_item(&format!("{prefix}{index}"), format!("body {index}").as_bytes());
        let items: Vec<Value> = (0..items).map(item).collect();
        self.hand_in_through(&self.endpoints, id, &items, deadline_ms).await
    }

    /// Hands a job in at a door.
    async fn hand_in_through(
        &self,
        door: &StoreEndpoints,
        id: &str,
        items: &[Value],
        deadline_ms: u64,
    ) -> Response<Bytes> {
        let request = Request::post("/b/1").header("Request-Id", id).header("Deadline-Ms", deadline_ms);
        let request = request.body(Bytes::from(json!({ "requests": items }).to_string())).expect("a request");
        let route = Some(Arc::new(config(1, self.quota).routes.remove(0)));
        door.serve(BatchCall { request, route, received_at: Instant::now() }).await
    }

    async fn submit(&self, items: usize) -> u16 {
        self.hand_in("j1", items, 4_000).await.status().as_u16()
    }

    /// All results, once there are as many as items.
    async fn results(&self) -> Vec<Value> {
        self.results_of("j1").await
    }

    /// All results of a job, once there are as many as items.
    async fn results_of(&self, id: &str) -> Vec<Value> {
        let mut all = Vec::new();
        loop {
            let path = format!("/alderhollow/lots/{id}?after={}", all.len());
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

/// An item as a client hands it in.
fn job_item(id: &str, body: &[u8]) -> Value {
    let body = BASE64_STANDARD.encode(body);
    json!({"id": id, "path": "/b/1", "headers": {"Model": "m"}, "body": body, "tokens": ITEM_TOKENS})
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
        let disks = tier.lose_power();
        let tier = tier.restart_on(disks).await;
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
        assert!(!may_start(&tier.stores[0]));
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

/// Whether a store may start items of any group.
fn may_start(store: &Store) -> bool {
    store.node.groups().iter().any(|group| store.node.may_start(group))
}

/// Ids of jobs that a group keeps, of so many groups.
fn jobs_of_group(group: usize, of: usize, count: usize) -> Vec<String> {
    let ids = (0..).map(|number| format!("job-{number}"));
    ids.filter(|id| GroupId::of_key(id, of) == GroupId::at(group)).take(count).collect()
}

/// How many jobs a store keeps of each group of which it has anything.
fn jobs_by_group(store: &Store) -> Vec<(u32, usize)> {
    let jobs = |group: &Rc<alderhollow::store::group_engine::GroupEngine>| {
        store.node.look(group, |engine, _| engine.jobs())
    };
    store.node.groups().iter().map(|group| (group.id.0, jobs(group))).collect()
}

/// Takes, runs, reads and ends two jobs of each group.
async fn use_all_groups(tier: &Tier, count: usize) {
    for group in 0..count {
        for id in jobs_of_group(group, count, 2) {
            assert_eq!(tier.hand_in(&id, 2, 4_000).await.status(), 202, "{id} of group {group}");
            assert_eq!(ids(&tier.results_of(&id).await), ["i0", "i1"]);
        }
    }
}

#[test]
fn two_groups_over_three_stores_each_take_run_read_and_end_their_jobs() {
    in_local_set(async {
        let tier = Tier::start(vec![], 0).await;
        tier.set_groups(2, &[Plan::new(2, 0, &[0, 1, 2]), Plan::new(1, 1, &[0, 1, 2])]);
        use_all_groups(&tier, 2).await;
        for store in &tier.stores {
            assert_eq!(jobs_by_group(store), [(0, 2), (1, 2)]);
        }
        for id in jobs_of_group(0, 2, 2).iter().chain(&jobs_of_group(1, 2, 2)) {
            assert_eq!(tier.status("GET", &format!("/alderhollow/items/{id}?id=i0")).await, 404);
            assert_eq!(tier.status("DELETE", &format!("/alderhollow/lots/{id}")).await, 200);
        }
        assert_eq!(tier.backend.requests().len(), 8);
    });
}

#[test]
fn three_groups_are_each_led_by_another_store_and_kept_by_their_members_alone() {
    in_local_set(async {
        let tier = Tier::start_with(vec![], 0, &THREE_GROUPS).await;
        use_all_groups(&tier, 3).await;
        assert_eq!(jobs_by_group(&tier.stores[0]), [(0, 2), (2, 2)]);
        assert_eq!(jobs_by_group(&tier.stores[1]), [(0, 2), (1, 2)]);
        assert_eq!(jobs_by_group(&tier.stores[2]), [(1, 2), (2, 2)]);
        for store in &tier.stores {
            let share = store.node.led_share();
            assert_eq!((share.led, share.all), (1, 3));
            assert!(store.node.is_primary());
        }
        for group in 0..3 {
            let id = &jobs_of_group(group, 3, 1)[0];
            assert_eq!(tier.status("DELETE", &format!("/alderhollow/lots/{id}")).await, 200);
            assert_eq!(tier.status("GET", &format!("/alderhollow/items/{id}?id=i0")).await, 404);
        }
    });
}

#[test]
fn the_loss_of_a_store_moves_only_its_groups() {
    in_local_set(async {
        let tier = Tier::start_with(vec![], 0, &THREE_GROUPS).await;
        use_all_groups(&tier, 3).await;
        tier.stores[1].stop();
        let untouched = jobs_of_group(2, 3, 3);
        assert_eq!(ids(&tier.results_of(&untouched[0]).await), ["i0", "i1"]);
        assert_eq!(tier.hand_in(&untouched[2], 1, 4_000).await.status(), 202);
        tier.set_groups(2, &[Plan::new(2, 0, &[0]), Plan::new(2, 2, &[2]), THREE_GROUPS[2]]);
        for group in 0..3 {
            for id in jobs_of_group(group, 3, 2) {
                assert_eq!(ids(&tier.results_of(&id).await), ["i0", "i1"], "{id} of group {group}");
            }
            let next = &jobs_of_group(group, 3, 4)[3];
            assert_eq!(tier.hand_in(next, 1, 4_000).await.status(), 202);
            assert_eq!(ids(&tier.results_of(next).await), ["i0"]);
        }
        assert_eq!(tier.stores[2].node.led_share().led, 2);
        assert!(!tier.stores[1].node.is_primary());
        assert_eq!(tier.backend.requests().len(), 16, "nothing ran again");
    });
}

#[test]
fn all_groups_are_there_after_a_loss_of_power_of_all_stores() {
    in_local_set(async {
        let tier = Tier::start_with(vec![], 0, &THREE_GROUPS).await;
        use_all_groups(&tier, 3).await;
        let disks = tier.lose_power();
        let tier = tier.restart_on(disks).await;
        assert_eq!(jobs_by_group(&tier.stores[0]), [(0, 2), (2, 2)]);
        tier.set_groups(2, &[Plan::new(2, 1, &[0, 1]), Plan::new(2, 2, &[1, 2]), Plan::new(2, 0, &[2, 0])]);
        for group in 0..3 {
            for id in jobs_of_group(group, 3, 2) {
                assert_eq!(ids(&tier.results_of(&id).await), ["i0", "i1"], "{id} of group {group}");
            }
        }
        assert_eq!(tier.backend.requests().len(), 12, "nothing ran again");
    });
}

/// A job of one item as an earlier version wrote it.
fn old_job(id: &str) -> NewJob {
    let request = ItemRequest { path: "/b/1".to_string(), headers: Vec::new(), body: b"body".to_vec() };
    NewJob {
        id: JobId::from(id),
        route: ROUTE.to_string(),
        host: HOST.to_string(),
        age_ms: 0,
        items: vec![Item { id: "i0".to_string(), request: Some(request), tokens: 1 }],
        config_version: 1,
    }
}

#[test]
fn the_disk_of_a_version_with_one_group_is_read() {
    in_local_set(async {
        let disk = FaultDisk::new(DISK_BYTES, 5);
        let (mut journal, _) = Journal::open(&mut disk.clone(), 5).expect("a journal");
        let mut state = State::default();
        state.apply(0, Entry::JobAccepted(old_job("j1"))).expect("a job");
        journal.compact(&state.snapshot(0)).expect("a snapshot");
        journal.append(&Entry::JobAccepted(old_job("j2")).to_bytes()).expect("a record");
        let result = ItemResult { item: 0, state: ResultState::Completed, text: "old text".to_string() };
        let listed = Entry::ItemResults { job: JobId::from("j2"), position: 0, results: vec![result] };
        journal.append(&listed.to_bytes()).expect("a record");
        journal.sync().expect("on disk");
        drop(journal);

        let tier = Tier::start(vec![], 0).await;
        let mut disks = tier.lose_power();
        disks[0] = disk;
        let tier = tier.restart_on(disks).await;
        assert_eq!(jobs_by_group(&tier.stores[0]), [(0, 2)]);
        tier.set_group(2, 0, &[0, 1]);
        let old = json!({"id": "i0", "state": "completed", "text": "old text"});
        assert_eq!(tier.results_of("j2").await, [old]);
        assert_eq!(ids(&tier.results_of("j1").await), ["i0"]);

        let disks = tier.lose_power();
        let tier = tier.restart_on(disks).await;
        assert_eq!(jobs_by_group(&tier.stores[0]), [(0, 2)], "old and new records together");
        tier.set_group(3, 1, &[0, 1]);
        assert_eq!(ids(&tier.results_of("j1").await), ["i0"]);
    });
}

#[test]
fn a_group_that_was_left_is_dropped_from_memory_and_disk_and_can_be_joined_again() {
    in_local_set(async {
        let tier = Tier::start_with(vec![], 0, &THREE_GROUPS).await;
        use_all_groups(&tier, 3).await;
        tier.set_groups(2, &[Plan::new(2, 1, &[1]), THREE_GROUPS[1], THREE_GROUPS[2]]);
        let kept = &jobs_of_group(0, 3, 1)[0];
        assert_eq!(ids(&tier.results_of(kept).await), ["i0", "i1"]);
        let left = &tier.stores[0].node;
        left.drop_left_groups(left.clock.now_ms());
        assert_eq!(jobs_by_group(&tier.stores[0]), [(0, 2), (2, 2)], "not yet");
        left.drop_left_groups(left.clock.now_ms() + KEEP_LEFT_MS);
        assert_eq!(jobs_by_group(&tier.stores[0]), [(2, 2)]);
        assert_eq!(jobs_by_group(&tier.stores[1]), [(0, 2), (1, 2)]);

        // A job that comes after the snapshot stands behind it in the journal.
        let last = &jobs_of_group(2, 3, 3)[2];
        assert_eq!(tier.hand_in(last, 1, 4_000).await.status(), 202);
        let disks = tier.lose_power();
        let tier = tier.restart_on(disks).await;
        assert_eq!(jobs_by_group(&tier.stores[0]), [(2, 3)]);

        let joining = Plan { epoch: 3, primary: 1, members: &[1, 0], learners: &[] };
        tier.set_groups(3, &[joining, Plan::new(2, 1, &[1, 2]), Plan::new(2, 2, &[2, 0])]);
        let next = &jobs_of_group(0, 3, 3)[2];
        assert_eq!(tier.hand_in(next, 1, 4_000).await.status(), 202);
        assert_eq!(jobs_by_group(&tier.stores[0]), [(0, 3), (2, 3)]);
        tier.stores[1].stop();
        tier.set_groups(4, &[Plan::new(4, 0, &[0]), Plan::new(3, 2, &[2]), Plan::new(2, 2, &[2, 0])]);
        assert_eq!(ids(&tier.results_of(kept).await), ["i0", "i1"]);
    });
}

#[test]
fn a_primarys_message_makes_a_group_before_the_tables_do() {
    in_local_set(async {
        let (_tables, snapshots) = watch::channel(Arc::<Snapshot>::default());
        let store = Store::start(1, FaultDisk::new(DISK_BYTES, 1), snapshots).await;
        let stream = StreamId { epoch: 4, session: 1, ..StreamId::default() };
        let compare = Message::Compare { stream, after: None, until: None, digests: vec![] };
        let notice = |group: u32, message: &Message| ReplicationNotice {
            from: DiskId(77),
            to: store.member.disk,
            message: message.clone(),
            group: GroupId(group),
        };
        store.node.receive(notice(3, &Message::Acknowledge { stream, next: 1 }));
        store.node.receive(notice(u32::MAX, &compare));
        assert_eq!(jobs_by_group(&store), []);
        store.node.receive(notice(3, &compare));
        assert_eq!(jobs_by_group(&store), [(3, 0)]);
        let entries = vec![Entry::JobAccepted(old_job("a"))];
        store.node.receive(notice(3, &Message::Entries { stream, first: 1, entries }));
        assert_eq!(jobs_by_group(&store), [(3, 1)]);
    });
}

#[test]
fn a_message_of_a_group_that_the_tables_do_not_know_makes_none() {
    in_local_set(async {
        let tier = Tier::start_with(vec![], 0, &THREE_GROUPS).await;
        use_all_groups(&tier, 3).await;
        let stream = StreamId { epoch: 9, session: 1, ..StreamId::default() };
        let message = Message::Compare { stream, after: None, until: None, digests: vec![] };
        let store = &tier.stores[0];
        let to = store.member.disk;
        store.node.receive(ReplicationNotice {
            from: DiskId(7),
            to,
            message: message.clone(),
            group: GroupId(3),
        });
        assert_eq!(jobs_by_group(store), [(0, 2), (2, 2)]);
        store.node.receive(ReplicationNotice { from: DiskId(7), to, message, group: GroupId(1) });
        assert_eq!(jobs_by_group(store), [(0, 2), (1, 0), (2, 2)]);
    });
}

#[test]
fn a_job_is_refused_at_a_store_that_does_not_lead_its_group() {
    in_local_set(async {
        let tier = Tier::start_with(vec![], 0, &THREE_GROUPS).await;
        use_all_groups(&tier, 3).await;
        for group in 0..3 {
            let job = JobId::from(jobs_of_group(group, 3, 1)[0].as_str());
            for (index, store) in tier.stores.iter().enumerate() {
                let call = StoreCall::Read { job: job.clone(), after: 0, wait_ms: 0 };
                let reply = alderhollow::store::calls::serve(&store.node, call).await.reply;
                let is_led = matches!(reply, StoreReply::Results(_));
                assert_eq!(is_led, index == group, "{reply:?}");
                assert!(is_led || reply == StoreReply::NotPrimary, "{reply:?}");
            }
        }
    });
}

#[test]
fn what_is_due_first_runs_first_over_all_led_groups() {
    in_local_set(async {
        for first in [0, 1] {
            let tier = Tier::start(vec![], 0).await;
            tier.set_groups(2, &[Plan::new(2, 0, &[0, 1, 2]), Plan::new(1, 0, &[0, 1, 2])]);
            let early = &jobs_of_group(first, 2, 1)[0];
            let late = &jobs_of_group(1 - first, 2, 1)[0];
            assert_eq!(tier.hand_in_items(early, "early-", 16, 4_000).await.status(), 202);
            assert_eq!(tier.hand_in_items(late, "late-", 4, 4_000).await.status(), 202);
            tier.backend.until_requests(20).await;
            let heads: Vec<String> =
                tier.backend.requests().into_iter().map(|request| request.head).collect();
            let last_early = heads.iter().rposition(|head| head.contains("early-")).expect("early items");
            // Two items may start at once, and their requests come in any order.
            assert!(last_early <= 16, "{heads:#?}");
        }
    });
}

/// Tokens of an item that [`Tier::hand_in`] makes.
const ITEM_TOKENS: u64 = 100;

/// A backend that never answers, so that all accepted tokens go on waiting.
fn silent() -> Vec<Reply> {
    std::iter::repeat_with(|| Reply::Silence).take(400).collect()
}

/// Hands one job in until it is answered 202 or 429.
async fn hand_in_until_decided(tier: &Tier, id: &str, items: usize) -> u16 {
    loop {
        let status = tier.hand_in(id, items, 4_000).await.status().as_u16();
        if status == 202 || status == 429 {
            return status;
        }
        assert_eq!(status, 503);
    }
}

#[test]
fn groups_share_a_routes_limit() {
    in_local_set(async {
        let tier = Tier::start_with(silent(), 3 * ITEM_TOKENS, &THREE_GROUPS).await;
        let [a, b, c] = [0, 1, 2].map(|group| jobs_of_group(group, 3, 2));
        assert_eq!(hand_in_until_decided(&tier, &a[0], 2).await, 202);
        assert_eq!(hand_in_until_decided(&tier, &b[0], 2).await, 429);
        assert_eq!(hand_in_until_decided(&tier, &b[1], 1).await, 202);
        assert_eq!(hand_in_until_decided(&tier, &c[0], 1).await, 429);
        assert_eq!(
            hand_in_until_decided(&tier, &a[0], 2).await,
            202,
            "a known job is answered without its tokens"
        );
        assert_eq!(tier.status("DELETE", &format!("/alderhollow/lots/{}", a[0])).await, 200);
        assert_eq!(hand_in_until_decided(&tier, &c[1], 2).await, 202);
        assert_eq!(hand_in_until_decided(&tier, &a[1], 1).await, 429);
    });
}

#[test]
fn all_that_fits_and_no_more_is_taken_over_all_groups() {
    in_local_set(async {
        let tier = Tier::start_with(silent(), 10 * ITEM_TOKENS, &THREE_GROUPS).await;
        let jobs = (0..3).flat_map(|group| jobs_of_group(group, 3, 8));
        let ids: Vec<String> = jobs.collect();
        let all = ids.iter().map(|id| hand_in_until_decided(&tier, id, 1));
        let statuses = futures_of(all.collect()).await;
        let taken = statuses.iter().filter(|status| **status == 202).count();
        assert_eq!(taken, 10, "{statuses:?}");
    });
}

/// Ends of futures that run at once.
async fn futures_of<F: Future<Output = u16>>(futures: Vec<F>) -> Vec<u16> {
    let mut futures: Vec<_> = futures.into_iter().map(Box::pin).collect();
    let mut ends: Vec<Option<u16>> = futures.iter().map(|_| None).collect();
    std::future::poll_fn(|context| {
        for (future, end) in futures.iter_mut().zip(&mut ends) {
            if end.is_none() {
                if let std::task::Poll::Ready(status) = future.as_mut().poll(context) {
                    *end = Some(status);
                }
            }
        }
        if ends.iter().any(Option::is_none) {
            return std::task::Poll::Pending;
        }
        std::task::Poll::Ready(())
    })
    .await;
    ends.into_iter().flatten().collect()
}

#[test]
fn a_successor_counts_what_it_finds() {
    in_local_set(async {
        let tier = Tier::start_with(silent(), 3 * ITEM_TOKENS, &THREE_GROUPS).await;
        let [a, b, c] = [0, 1, 2].map(|group| jobs_of_group(group, 3, 2));
        assert_eq!(hand_in_until_decided(&tier, &b[0], 2).await, 202);
        tier.stores[1].stop();
        // The home group of the route may be any of them: all are led by others than before.
        tier.set_groups(2, &[Plan::new(2, 0, &[0]), Plan::new(2, 2, &[2]), Plan::new(2, 0, &[2, 0])]);
        assert_eq!(hand_in_until_decided(&tier, &a[0], 2).await, 429);
        assert_eq!(hand_in_until_decided(&tier, &c[0], 1).await, 202);
        assert_eq!(hand_in_until_decided(&tier, &b[1], 1).await, 429);
    });
}

#[test]
fn without_a_coordinator_nothing_is_refused_as_over_quota() {
    in_local_set(async {
        let tier = Tier::start_with(silent(), 3 * ITEM_TOKENS, &THREE_GROUPS).await;
        let home = alderhollow_batch::quota::home_group(ROUTE, 3) as usize;
        let other = (home + 1) % 3;
        tier.stores[home].stop();
        let id = &jobs_of_group(other, 3, 1)[0];
        let status = tier.hand_in(id, 1, 1_500).await.status().as_u16();
        assert!(status == 503 || status == 504, "{status}");
    });
}

/// A network that counts what goes over it.
struct CountedNetwork {
    network: Network,
    offers: Cell<usize>,
    hand_overs: Cell<usize>,
}

impl StoreLink for CountedNetwork {
    fn call(&self, to: SocketAddr, call: &StoreCall, timeout: Duration) -> StoreAnswerFuture {
        match call {
            StoreCall::Offer { .. } => self.offers.set(self.offers.get() + 1),
            StoreCall::Submit { .. } => self.hand_overs.set(self.hand_overs.get() + 1),
            _ => {}
        }
        StoreLink::call(&self.network, to, call, timeout)
    }
}

/// Doors of one seed would name their tries alike, so that one's refused try would be another's.
static NEXT_DOOR_SEED: AtomicU64 = AtomicU64::new(100);

/// Bytes of a body that is offered before it is sent.
const LARGE_BODY: usize = 64 * 1024;

/// Hands a large job of one item in at a new door, until it is decided; the answer, and how often the body was sent.
async fn hand_in_large(tier: &Tier, id: &str) -> (u16, usize) {
    loop {
        let seed = NEXT_DOOR_SEED.fetch_add(1, Ordering::Relaxed);
        let network = Network::new(10);
        let link = Rc::new(CountedNetwork { network, offers: Cell::new(0), hand_overs: Cell::new(0) });
        let door = StoreEndpoints::new(link.clone(), tier.tables.subscribe(), SteadyClock::start(), seed);
        let items = [job_item("i0", &vec![7; LARGE_BODY])];
        let status = tier.hand_in_through(&door, id, &items, 4_000).await.status().as_u16();
        if status == 202 || status == 429 {
            assert!(link.offers.get() >= 1, "a large job is offered first");
            return (status, link.hand_overs.get());
        }
        assert_eq!(status, 503);
        assert_eq!(link.hand_overs.get(), 0, "an offer that can't be told keeps the body at the door");
    }
}

#[test]
fn an_offer_waits_for_the_routes_account_and_a_body_travels_only_where_it_fits() {
    in_local_set(async {
        let tier = Tier::start_with(silent(), 2 * ITEM_TOKENS, &THREE_GROUPS).await;
        let [a, b, c] = [0, 1, 2].map(|group| jobs_of_group(group, 3, 2));
        assert_eq!(hand_in_large(&tier, &a[0]).await, (202, 1));
        assert_eq!(hand_in_large(&tier, &b[0]).await, (202, 1));
        for id in [&c[0], &a[1], &b[1]] {
            assert_eq!(hand_in_large(&tier, id).await, (429, 0), "{id}");
        }
        assert_eq!(hand_in_large(&tier, &a[0]).await, (202, 0), "a known job is told by its offer");
        assert_eq!(tier.status("DELETE", &format!("/alderhollow/lots/{}", a[0])).await, 200);
        assert_eq!(hand_in_large(&tier, &c[1]).await, (202, 1));
        assert_eq!(hand_in_large(&tier, &a[1]).await, (429, 0));
    });
}

#[test]
fn a_question_for_a_known_job_is_answered_at_once_at_a_full_quota() {
    in_local_set(async {
        let tier = Tier::start_with(silent(), ITEM_TOKENS, &THREE_GROUPS).await;
        let jobs = jobs_of_group(0, 3, 2);
        assert_eq!(hand_in_until_decided(&tier, &jobs[0], 1).await, 202);
        for (id, reply) in jobs.iter().zip([StoreReply::Committed, StoreReply::Welcome]) {
            let job = JobId::from(id.as_str());
            let call = StoreCall::Offer { try_id: 1, job, route: ROUTE.to_owned(), tokens: 0 };
            let answer = alderhollow::store::calls::serve(&tier.stores[0].node, call);
            let answer = tokio::time::timeout(Duration::from_millis(100), answer).await.expect("no wait");
            assert_eq!(answer.reply, reply);
        }
    });
}
