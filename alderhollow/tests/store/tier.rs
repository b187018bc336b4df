//! Stores, a gateway's batch calls and a backend in one process.

use crate::batch_backend::{BatchBackend, Reply};
use crate::batch_tables::{backend, config, snapshot_of_groups};
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
use alderhollow::store::journal_records::restore_engines;
use alderhollow::store::node::{NodeJournal, NodeParts, StoreNode};
use alderhollow::store::replication::ReplicationHandler;
use alderhollow::store::runs::Runs;
use alderhollow_model::config::{Config, Route};
use alderhollow_model::identity::{Address, DiskId, Incarnation, NodeInfo, Role};
use alderhollow_model::snapshot::{BatchGroup, GroupId, GroupMember, Snapshot};
use alderhollow_storage::{FaultDisk, Journal, Writer};
use base64::prelude::{Engine as _, BASE64_STANDARD};
use hyper::body::Bytes;
use hyper::{Request, Response};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::Instant;

pub(crate) const DISK_BYTES: u64 = 64 * 1024 * 1024;
/// Tokens of each item created by [`job_item`].
pub(crate) const ITEM_TOKENS: u64 = 100;
/// Time for which batch jobs are kept.
pub(crate) const STATUS_RETENTION: Duration = Duration::from_secs(120);
/// Time of validation by the core that never expires during a test.
pub(crate) const FOREVER_MS: u64 = u64::MAX / 2;

pub(crate) struct Store {
    pub member: GroupMember,
    pub node: Rc<StoreNode>,
    pub poll: PollState,
    pub disk: FaultDisk,
    pub tasks: Vec<AbortHandle>,
}

impl Store {
    pub(crate) async fn start(
        number: u64,
        disk: FaultDisk,
        snapshots: watch::Receiver<Arc<Snapshot>>,
    ) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let clock = SteadyClock::start();
        let (journal, recovered) = Journal::open(&mut disk.clone(), number).expect("a journal");
        let id = DiskId(recovered.identity);
        let engines = restore_engines(
            id,
            clock.now_ms(),
            recovered.snapshot.as_deref(),
            &recovered.records,
        )
        .expect("jobs");
        let (queue, completions) =
            JournalQueue::new(Writer::start(journal).expect("a writer"), Some(64));
        let balancer = Rc::new(RefCell::new(Balancer::new("store", "a", number)));
        let exchange = Exchange::new(clock.instant(0), number, snapshots.clone(), balancer);
        let poll = PollState::default();
        let node = Rc::new(StoreNode::new(NodeParts {
            disk: id,
            clock,
            engines,
            status_retention: STATUS_RETENTION,
            journal: queue,
            runs: Runs::new(Executor::new(clock, exchange.clone())),
            network: Network::new(number),
            poll: poll.clone(),
            snapshots,
        }));
        let mut services = Services::default();
        services.register(ServiceId::Batch, Rc::new(CallHandler(node.clone())));
        services.register(
            ServiceId::Replication,
            Rc::new(ReplicationHandler(node.clone())),
        );
        let tasks = [
            tokio::task::spawn_local(server::serve(listener, services)),
            tokio::task::spawn_local(node.clone().run()),
            tokio::task::spawn_local(NodeJournal(node.clone()).process_completions(completions)),
            tokio::task::spawn_local(async move { exchange.run_maintenance().await }),
        ];
        let info = NodeInfo {
            node: format!("store-{number}"),
            role: Role::Store,
            zone: "a".to_string(),
            incarnation: Incarnation(number),
            disk: Some(id),
            internal: Address(address),
            control: None,
        };
        let tasks = tasks
            .iter()
            .map(tokio::task::JoinHandle::abort_handle)
            .collect();
        Store {
            member: GroupMember {
                disk: id,
                node: info,
            },
            node,
            poll,
            disk,
            tasks,
        }
    }

    /// Stops the store's tasks, like the end of its process.
    pub(crate) fn stop(&self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// A group as decided by the core. Stores are given by index.
#[derive(Clone, Copy)]
pub(crate) struct GroupPlan<'a> {
    pub epoch: u64,
    pub primary: usize,
    pub members: &'a [usize],
    pub learners: &'a [usize],
}

impl<'a> GroupPlan<'a> {
    /// Plans a group without learners.
    pub(crate) fn new(epoch: u64, primary: usize, members: &'a [usize]) -> GroupPlan<'a> {
        GroupPlan {
            epoch,
            primary,
            members,
            learners: &[],
        }
    }
}

/// Three groups of two members, each led by a different store.
pub(crate) const THREE_GROUPS: [GroupPlan; 3] = [
    GroupPlan {
        epoch: 1,
        primary: 0,
        members: &[0, 1],
        learners: &[],
    },
    GroupPlan {
        epoch: 1,
        primary: 1,
        members: &[1, 2],
        learners: &[],
    },
    GroupPlan {
        epoch: 1,
        primary: 2,
        members: &[2, 0],
        learners: &[],
    },
];

pub(crate) struct Tier {
    pub stores: Vec<Store>,
    pub backend: BatchBackend,
    pub endpoints: StoreEndpoints,
    pub tables: watch::Sender<Arc<Snapshot>>,
    pub quota: u64,
}

impl Tier {
    pub(crate) async fn start(script: Vec<Reply>, quota: u64) -> Tier {
        Tier::start_validated(script, quota, Some(FOREVER_MS)).await
    }

    pub(crate) async fn start_validated(
        script: Vec<Reply>,
        quota: u64,
        validated_at: Option<u64>,
    ) -> Tier {
        Tier::start_all(
            script,
            quota,
            validated_at,
            &[GroupPlan::new(1, 0, &[0, 1, 2])],
        )
        .await
    }

    pub(crate) async fn start_with(
        script: Vec<Reply>,
        quota: u64,
        plans: &[GroupPlan<'_>],
    ) -> Tier {
        Tier::start_all(script, quota, Some(FOREVER_MS), plans).await
    }

    pub(crate) async fn start_all(
        script: Vec<Reply>,
        quota: u64,
        validated_at: Option<u64>,
        plans: &[GroupPlan<'_>],
    ) -> Tier {
        let backend = BatchBackend::start(script).await;
        let (tables, snapshots) = watch::channel(Arc::<Snapshot>::default());
        let mut stores = Vec::new();
        for number in 1..=3 {
            let store = Store::start(
                number,
                FaultDisk::new(DISK_BYTES, number),
                snapshots.clone(),
            )
            .await;
            validated_at
                .into_iter()
                .for_each(|at| store.poll.record_validation(at));
            stores.push(store);
        }
        let endpoints =
            StoreEndpoints::new(Rc::new(Network::new(9)), snapshots, SteadyClock::start(), 9);
        let tier = Tier {
            stores,
            backend,
            endpoints,
            tables,
            quota,
        };
        tier.set_groups(1, plans);
        tier
    }

    /// Publishes tables with a single group.
    pub(crate) fn set_group(&self, epoch: u64, primary: usize, members: &[usize]) {
        self.set_groups(
            epoch,
            &[GroupPlan {
                epoch,
                primary,
                members,
                learners: &[],
            }],
        );
    }

    /// Publishes tables with these groups.
    pub(crate) fn set_groups(&self, version: u64, plans: &[GroupPlan]) {
        self.publish(config(1, self.quota), version, plans);
    }

    /// Publishes tables with a configuration and these groups.
    pub(crate) fn publish(&self, config: Config, version: u64, plans: &[GroupPlan]) {
        let member = |index: &usize| self.stores[*index].member.clone();
        let group = |plan: &GroupPlan| BatchGroup {
            epoch: plan.epoch,
            primary: self.stores[plan.primary].member.disk,
            members: plan.members.iter().map(member).collect(),
            learners: plan.learners.iter().map(member).collect(),
        };
        let backends = vec![backend("i-1", self.backend.address)];
        let groups = plans.iter().map(group).collect();
        self.tables
            .send_replace(snapshot_of_groups(config, backends, version, groups));
    }

    /// Starts new stores on these disks, in place of the current ones, which have been stopped.
    pub(crate) async fn restart_on(self, disks: Vec<FaultDisk>) -> Tier {
        let (tables, snapshots) = watch::channel(Arc::<Snapshot>::default());
        let mut stores = Vec::new();
        for (number, disk) in disks.into_iter().enumerate() {
            disk.restore_power();
            let store = Store::start(number as u64 + 11, disk, snapshots.clone()).await;
            store.poll.record_validation(FOREVER_MS);
            stores.push(store);
        }
        let endpoints =
            StoreEndpoints::new(Rc::new(Network::new(9)), snapshots, SteadyClock::start(), 9);
        Tier {
            stores,
            backend: self.backend,
            endpoints,
            tables,
            quota: self.quota,
        }
    }

    /// Cuts the power of all stores and returns their disks.
    pub(crate) fn lose_power(&self) -> Vec<FaultDisk> {
        let cut_power = |store: &Store| {
            store.stop();
            store.disk.fail_power_after(0);
            store.disk.clone()
        };
        self.stores.iter().map(cut_power).collect()
    }

    pub(crate) async fn call(&self, method: &str, path: &str, wait_ms: u64) -> Response<Bytes> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("Wait-Ms", wait_ms);
        let request = request.body(Bytes::new()).expect("a request");
        self.endpoints
            .serve(BatchCall {
                request,
                route: None,
                received_at: Instant::now(),
            })
            .await
    }

    /// Submits a job for a client with this deadline.
    pub(crate) async fn submit_job(
        &self,
        id: &str,
        items: usize,
        deadline_ms: u64,
    ) -> Response<Bytes> {
        self.submit_items(id, "i", items, deadline_ms).await
    }

    /// Submits a job whose items' ids start with a prefix.
    pub(crate) async fn submit_items(
        &self,
        id: &str,
        prefix: &str,
        items: usize,
        deadline_ms: u64,
    ) -> Response<Bytes> {
        let item = |index: usize| {
            job_item(
                &format!("{prefix}{index}"),
                format!("body {index}").as_bytes(),
            )
        };
        let items: Vec<Value> = (0..items).map(item).collect();
        self.submit_through(&self.endpoints, id, &items, deadline_ms)
            .await
    }

    /// Submits a job at a gateway.
    pub(crate) async fn submit_through(
        &self,
        gateway: &StoreEndpoints,
        id: &str,
        items: &[Value],
        deadline_ms: u64,
    ) -> Response<Bytes> {
        let route = config(1, self.quota).routes.remove(0);
        submit_to_route(gateway, route, id, items, deadline_ms).await
    }

    pub(crate) async fn submit(&self, items: usize) -> u16 {
        self.submit_job("j1", items, 4_000).await.status().as_u16()
    }

    /// Returns all results of job `j1`, once all items have one.
    pub(crate) async fn results(&self) -> Vec<Value> {
        self.results_of("j1").await
    }

    /// Returns all results of a job, once all items have one.
    pub(crate) async fn results_of(&self, id: &str) -> Vec<Value> {
        let mut all = Vec::new();
        loop {
            let path = format!("/alderhollow/lots/{id}?after={}", all.len());
            let response = self.call("GET", &path, 1000).await;
            if response.status() != 200 {
                continue;
            }
            let answer: Value = serde_json::from_slice(response.body()).expect("JSON");
            all.extend(
                answer["results"]
                    .as_array()
                    .expect("results")
                    .iter()
                    .cloned(),
            );
            assert_eq!(answer["next-token"], all.len());
            if answer["total"] == all.len() {
                return all;
            }
        }
    }

    pub(crate) async fn status(&self, method: &str, path: &str) -> u16 {
        self.call(method, path, 0).await.status().as_u16()
    }
}

/// Submits a job of a route at a gateway.
pub(crate) async fn submit_to_route(
    gateway: &StoreEndpoints,
    route: Route,
    id: &str,
    items: &[Value],
    deadline_ms: u64,
) -> Response<Bytes> {
    let request = Request::post("/b/1")
        .header("Request-Id", id)
        .header("Deadline-Ms", deadline_ms);
    let request = request
        .body(Bytes::from(json!({ "requests": items }).to_string()))
        .expect("a request");
    gateway
        .serve(BatchCall {
            request,
            route: Some(Arc::new(route)),
            received_at: Instant::now(),
        })
        .await
}

/// Creates an item as a client submits it.
pub(crate) fn job_item(id: &str, body: &[u8]) -> Value {
    let body = BASE64_STANDARD.encode(body);
    json!({"id": id, "path": "/b/1", "headers": {"Model": "m"}, "body": body, "tokens": ITEM_TOKENS})
}

pub(crate) fn run_in_local_set(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

pub(crate) fn ids(results: &[Value]) -> Vec<String> {
    let mut ids: Vec<_> = results
        .iter()
        .filter_map(|result| result["id"].as_str().map(str::to_string))
        .collect();
    ids.sort();
    ids
}

/// Whether a store may start items of any group.
pub(crate) fn may_start(store: &Store) -> bool {
    store
        .node
        .groups()
        .iter()
        .any(|group| store.node.may_start(group))
}

/// Returns the first `count` job ids that belong to a group, out of this many groups.
pub(crate) fn jobs_of_group(group: usize, groups: usize, count: usize) -> Vec<String> {
    let ids = (0..).map(|number| format!("job-{number}"));
    ids.filter(|id| GroupId::of_key(id, groups) == GroupId::at(group))
        .take(count)
        .collect()
}

/// Returns the number of jobs at a store, for each of its groups.
pub(crate) fn jobs_by_group(store: &Store) -> Vec<(u32, usize)> {
    let jobs = |group: &Rc<alderhollow::store::group_engine::GroupEngine>| {
        store.node.read_group(group, |engine, _| engine.jobs())
    };
    store
        .node
        .groups()
        .iter()
        .map(|group| (group.id.0, jobs(group)))
        .collect()
}
