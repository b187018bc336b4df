//! Puts the batch engine on the clock, the network, the disk and the tables: every call to the engine goes through
//! [`StoreNode::with_engine`], which first takes in newer tables and then does what the engine asks for.

use super::activity::Activity;
use super::journal_queue::{JournalOwner, JournalQueue};
use super::runs::Runs;
use super::waiting::Waiting;
use crate::batch_protocol::ReplicationNotice;
use crate::clock::SteadyClock;
use crate::control_state::store_report::{GroupReport, StoreReport};
use crate::distribution::client::PollState;
use crate::internal::server::HandlerFuture;
use crate::internal::{Handler, Network, Refusal, ServiceId};
use crate::metrics;
use crate::SnapshotReceiver;
use alderhollow_batch::api::{GroupStatus, Output, RouteTerms, WriteTicket};
use alderhollow_batch::engine::Engine;
use alderhollow_batch::message::Message;
use alderhollow_batch::quota::Meter;
use alderhollow_model::config::{Config, Route, RouteType};
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::{BatchGroup, GroupId, Snapshot};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// A poll that the core's primary answered validates the tables so long after it was sent.
pub const VALIDATED_MS: u64 = 1_000;
/// Longest pause between looks at the engine.
const LONGEST_TICK: Duration = Duration::from_millis(200);
/// Pause between looks while items wait for their turn to start.
const START_TICK: Duration = Duration::from_millis(15);

/// Ends of runs are taken in together so long after the first one.
const GATHER: Duration = Duration::from_millis(10);

/// Where the batch routes leave these to the system.
const DEFAULT_RUN_TARGET_MS: u64 = 10_000;
const DEFAULT_RETENTION_MS: u64 = 60_000;

/// One store.
pub struct StoreNode {
    /// Its disk.
    pub disk: DiskId,
    /// The process's clock.
    pub clock: SteadyClock,
    /// Calls that wait.
    pub waiting: Waiting,
    /// Runs of items.
    pub runs: Runs,
    /// Readings of waiting tokens.
    pub meter: RefCell<Meter>,
    /// What the store did lately.
    pub activity: Activity,
    engine: RefCell<Engine>,
    journal: JournalQueue,
    network: Network,
    poll: PollState,
    snapshots: RefCell<SnapshotReceiver>,
    addresses: RefCell<BTreeMap<DiskId, SocketAddr>>,
    group_epoch: Cell<u64>,
    is_working: Cell<bool>,
    woken: Notify,
}

/// What a node is made of.
pub struct NodeParts {
    /// The store's disk.
    pub disk: DiskId,
    /// The process's clock.
    pub clock: SteadyClock,
    /// The engine, as restored.
    pub engine: Engine,
    /// The writes.
    pub journal: JournalQueue,
    /// Runs of items.
    pub runs: Runs,
    /// Connections to the other stores.
    pub network: Network,
    /// The process's polls.
    pub poll: PollState,
    /// The process's tables.
    pub snapshots: SnapshotReceiver,
}

impl StoreNode {
    /// A node that acts on the tables from now on.
    pub fn new(parts: NodeParts) -> StoreNode {
        let mut snapshots = parts.snapshots;
        snapshots.mark_changed();
        StoreNode {
            disk: parts.disk,
            clock: parts.clock,
            waiting: Waiting::default(),
            runs: parts.runs,
            meter: RefCell::default(),
            activity: Activity::default(),
            engine: RefCell::new(parts.engine),
            journal: parts.journal,
            network: parts.network,
            poll: parts.poll,
            snapshots: RefCell::new(snapshots),
            addresses: RefCell::default(),
            group_epoch: Cell::new(0),
            is_working: Cell::new(false),
            woken: Notify::new(),
        }
    }

    /// Calls the engine at the newest tables, then does what it asks for.
    pub fn with_engine<T>(self: &Rc<Self>, call: impl FnOnce(&mut Engine, u64) -> T) -> T {
        self.follow_tables();
        let result = call(&mut self.engine.borrow_mut(), self.clock.now_ms());
        self.carry_out();
        result
    }

    /// Looks at the engine only.
    pub fn look<T>(&self, look: impl FnOnce(&Engine, u64) -> T) -> T {
        self.follow_tables();
        look(&self.engine.borrow(), self.clock.now_ms())
    }

    /// Whether this store may start a run at this moment.
    pub fn may_start(&self) -> bool {
        self.look(|engine, now_ms| engine.is_sure(now_ms))
    }

    /// Whether the newest tables name this store the primary of its group.
    pub fn is_primary(&self) -> bool {
        let snapshots = self.snapshots.borrow();
        let snapshot = snapshots.borrow();
        snapshot.control.groups.first().is_some_and(|group| group.primary == self.disk)
    }

    /// Drives the engine's time until the future is dropped.
    pub async fn run(self: Rc<Self>) {
        let mut snapshots = self.snapshots.borrow().clone();
        loop {
            let pause = self.tick();
            tokio::select! {
                () = tokio::time::sleep(pause) => (),
                () = self.woken.notified() => tokio::time::sleep(GATHER).await,
                changed = snapshots.changed() => if changed.is_err() { return },
            }
        }
    }

    /// One look; returns the pause until the next.
    fn tick(self: &Rc<Self>) -> Duration {
        let ready = self.journal.is_ready(self.clock.now_ms());
        let ended = self.runs.take_ended();
        self.with_engine(|engine, now_ms| {
            for (run, end) in ended {
                engine.run_ended(now_ms, run, end);
            }
            engine.set_disk_ready(ready);
            engine.tick(now_ms);
        });
        self.waiting.sweep();
        let status = self.look(|engine, now_ms| engine.status(now_ms));
        let disk_failing = self.journal.is_failing(self.clock.now_ms());
        self.publish(&status);
        self.poll.report(report(status, disk_failing).to_bytes());
        let more_waits = self.start_items();
        let now_ms = self.clock.now_ms();
        let next = self.look(|engine, _| engine.next_tick_ms());
        let pause = next.map_or(LONGEST_TICK, |at| Duration::from_millis(at.saturating_sub(now_ms).max(1)));
        pause.min(if more_waits { START_TICK } else { LONGEST_TICK })
    }

    /// Brings the metrics up to date.
    fn publish(&self, status: &GroupStatus) {
        let (counts, load) = self.look(|engine, _| (engine.counts(), engine.load()));
        self.activity.publish(status, counts, load);
        self.activity.log_if_due(|| self.journal.take_longest_sync());
    }

    /// Starts items while there is room. Tells whether some still wait for their turn.
    fn start_items(self: &Rc<Self>) -> bool {
        let routes = self.with_engine(|engine, now_ms| engine.routes_with_work(now_ms));
        for route in &routes {
            let (waiting, _) = self.look(|engine, _| engine.load());
            let room = self.runs.room(waiting);
            if room == 0 {
                break;
            }
            let starts = self.with_engine(|engine, now_ms| engine.take_work(now_ms, route, room));
            self.runs.start(self, starts);
        }
        !routes.is_empty()
    }

    /// Takes newer tables and the core's newest word in, in this order: the word validates the newest tables.
    fn follow_tables(&self) {
        let now_ms = self.clock.now_ms();
        let changed = self.snapshots.borrow().has_changed().unwrap_or(false);
        if changed {
            let snapshot = self.snapshots.borrow_mut().borrow_and_update().clone();
            self.take_tables(now_ms, &snapshot);
        }
        if let Some(since_ms) = self.poll.validated_since_ms() {
            self.engine.borrow_mut().set_validated_until(since_ms.saturating_add(VALIDATED_MS));
        }
    }

    fn take_tables(&self, now_ms: u64, snapshot: &Snapshot) {
        if !snapshot.validated {
            return;
        }
        let mut engine = self.engine.borrow_mut();
        if let Some(config) = &snapshot.control.config {
            engine.set_routes(now_ms, config.config_version, batch_routes(config));
        }
        if let Some(group) = snapshot.control.groups.first() {
            self.note_addresses(group);
            engine.set_group(now_ms, group.clone());
            if self.group_epoch.replace(group.epoch) != group.epoch {
                metrics::get().store.epoch_changed();
                self.waiting.wake_readers();
                self.woken.notify_one();
            }
        }
    }

    fn note_addresses(&self, group: &Arc<BatchGroup>) {
        let mut addresses = self.addresses.borrow_mut();
        for member in group.members.iter().chain(&group.learners) {
            addresses.insert(member.disk, member.node.internal.0);
        }
    }

    /// Does what the engine asks for.
    fn carry_out(self: &Rc<Self>) {
        if self.is_working.replace(true) {
            return;
        }
        loop {
            let outputs = self.engine.borrow_mut().take_outputs();
            if outputs.is_empty() {
                break;
            }
            for output in outputs {
                self.do_one(output);
            }
        }
        self.is_working.set(false);
    }

    fn do_one(&self, output: Output) {
        let now_ms = self.clock.now_ms();
        match output {
            Output::Send { to, message } => self.send(to, message),
            Output::Write { ticket, records } => {
                self.journal.append(now_ms, ticket, records);
                let snapshot = || self.engine.borrow().snapshot(now_ms);
                self.journal.compact_if_due(now_ms, snapshot);
            }
            Output::Resolved { token, outcome } => {
                self.activity.resolved(token, outcome);
                self.waiting.ended(token, outcome);
            }
            Output::Readable(job) => self.waiting.readable(&job),
            Output::CancelRun(run) => self.runs.cancel(run),
        }
    }

    fn send(&self, to: DiskId, message: Message) {
        let Some(address) = self.addresses.borrow().get(&to).copied() else { return };
        let notice = ReplicationNotice { from: self.disk, to, message };
        if let Ok(payload) = minicbor::to_vec(&notice) {
            metrics::get().store.message(&notice.message, payload.len());
            self.network.notify(address, ServiceId::Replication, payload);
        }
    }

    /// Has the main loop look at the engine soon.
    pub fn wake(&self) {
        self.woken.notify_one();
    }
}

/// A store's node as the owner of its journal. The journal's task must not keep the node alive.
pub struct NodeJournal(pub Rc<StoreNode>);

impl JournalOwner for NodeJournal {
    fn snapshot(&self) -> Vec<u8> {
        self.0.engine.borrow().snapshot(self.0.clock.now_ms())
    }

    fn written(&self, ticket: WriteTicket) {
        self.0.with_engine(|engine, now_ms| engine.written(now_ms, ticket));
    }
}

impl NodeJournal {
    /// Tells the engine of the ends of its writes until the future is dropped.
    pub async fn follow(self, ends: super::journal_queue::WriteEnds) {
        self.0.journal.follow(ends, &self).await;
    }
}

/// Takes the other stores' messages.
pub struct ReplicationHandler(pub Rc<StoreNode>);

impl Handler for ReplicationHandler {
    fn request(&self, _: Vec<u8>) -> HandlerFuture {
        Box::pin(async { Err(Refusal::Malformed) })
    }

    fn notice(&self, payload: Vec<u8>) {
        match minicbor::decode::<ReplicationNotice>(&payload) {
            Ok(notice) if notice.to == self.0.disk => {
                self.0.with_engine(|engine, now_ms| engine.receive(now_ms, notice.from, notice.message));
            }
            Ok(_) => {}
            Err(error) => log::warn!("a store's message can't be read: {error}"),
        }
    }
}

/// What the core's primary is told. It learns from the poll itself whether the process is about to end.
fn report(status: GroupStatus, disk_failing: bool) -> StoreReport {
    let group = GroupReport {
        epoch: status.epoch,
        active: status.primary && status.active,
        synced: status.synced,
        silent: status.silent.into_iter().collect(),
        behind: status.behind,
    };
    StoreReport { groups: [(GroupId::default(), group)].into(), leaving: false, disk_failing }
}

/// The batch routes of a configuration, as the engine takes them.
fn batch_routes(config: &Config) -> BTreeMap<String, RouteTerms> {
    let is_batch = |route: &&Route| route.route_type == RouteType::Batch;
    config.routes.iter().filter(is_batch).map(|route| (route.name.clone(), terms(route))).collect()
}

fn terms(route: &Route) -> RouteTerms {
    let retention_ms = route.retention_s.map(|seconds| (seconds.max(0.0) * 1000.0) as u64);
    RouteTerms {
        run_target_ms: route.run_target_ms.unwrap_or(DEFAULT_RUN_TARGET_MS),
        retention_ms: retention_ms.unwrap_or(DEFAULT_RETENTION_MS),
        max_attempts: route.max_attempts.unwrap_or(1),
        max_queued_tokens: route.max_queued_tokens,
    }
}
