//! Connects the batch engines to the clock, the network, the disk and the tables. Every call to an engine goes through
//! [`StoreNode::with_group`], which first applies newer tables and afterwards processes the engine's outputs.

use super::activity::{Activity, StoreSummary};
use super::group_engine::{includes_disk, GroupEngine, MAX_TICK_MS};
use super::journal_queue::{GroupTicket, JournalOwner, JournalQueue, WriteCompletions};
use super::journal_records::{join_snapshots, tag_record};
use super::replication::{is_from_primary, jobs_in};
use super::routes::batch_routes;
use super::runs::{EndedRun, RunKey, Runs};
use crate::batch_protocol::ReplicationNotice;
use crate::clock::SteadyClock;
use crate::control_state::store_report::StoreReport;
use crate::distribution::client::PollState;
use crate::executor::pacing::LedShare;
use crate::internal::{Network, ServiceId};
use crate::invariant::{self, Invariant};
use crate::metrics;
use crate::SnapshotReceiver;
use alderhollow_batch::api::{Output, RouteTerms, WriteTicket};
use alderhollow_batch::engine::Engine;
use alderhollow_batch::job::JobId;
use alderhollow_batch::message::Message;
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::{BatchGroup, ControlView, GroupId, Snapshot};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// Time for which a poll validates the tables, from when it was sent, if the core's primary answered it.
pub const VALIDATION_TTL_MS: u64 = 1_000;
/// Maximum interval between ticks of the main loop.
const MAX_TICK: Duration = Duration::from_millis(MAX_TICK_MS);
/// Tick interval while items wait to be started.
const START_RETRY_INTERVAL: Duration = Duration::from_millis(15);
/// Delay after a wake-up, so that runs that end shortly after one another are processed together.
const RUN_END_BATCH_DELAY: Duration = Duration::from_millis(10);
/// Until the tables define the number of groups, messages create engines only for group ids below this limit.
const MAX_GROUPS_BEFORE_TABLES: usize = 1_024;

/// A store.
pub struct StoreNode {
    /// The id of its disk.
    pub disk: DiskId,
    /// The process's clock.
    pub clock: SteadyClock,
    /// Item runs.
    pub runs: Runs,
    /// Recent activity, for metrics and the log.
    pub activity: Activity,
    status_retention: Duration,
    groups: RefCell<BTreeMap<GroupId, Rc<GroupEngine>>>,
    /// The newest validated control state.
    pub(super) control: RefCell<Arc<ControlView>>,
    /// The batch routes of that control state.
    pub(super) routes: RefCell<Rc<BTreeMap<String, RouteTerms>>>,
    journal: JournalQueue,
    pub(super) network: Network,
    poll: PollState,
    snapshots: RefCell<SnapshotReceiver>,
    addresses: RefCell<BTreeMap<DiskId, SocketAddr>>,
    /// Whether the last report to the core declared the disk failing.
    reported_failing: Cell<Option<bool>>,
    wake_signal: Notify,
}

/// The parts of a [`StoreNode`].
pub struct NodeParts {
    /// The id of the store's disk.
    pub disk: DiskId,
    /// The process's clock.
    pub clock: SteadyClock,
    /// The engines restored from the disk, by group.
    pub engines: BTreeMap<GroupId, Engine>,
    /// Time for which batch jobs are kept after they were sent.
    pub status_retention: Duration,
    /// The queue of journal writes.
    pub journal: JournalQueue,
    /// Item runs.
    pub runs: Runs,
    /// Connections to the other stores.
    pub network: Network,
    /// State of the process's polls of the core.
    pub poll: PollState,
    /// The process's tables.
    pub snapshots: SnapshotReceiver,
}

impl StoreNode {
    /// Creates a node. It applies the current tables at its first use.
    pub fn new(parts: NodeParts) -> StoreNode {
        let mut snapshots = parts.snapshots;
        snapshots.mark_changed();
        let node = StoreNode {
            disk: parts.disk,
            clock: parts.clock,
            runs: parts.runs,
            activity: Activity::default(),
            status_retention: parts.status_retention,
            groups: RefCell::default(),
            control: RefCell::default(),
            routes: RefCell::default(),
            journal: parts.journal,
            network: parts.network,
            poll: parts.poll,
            snapshots: RefCell::new(snapshots),
            addresses: RefCell::default(),
            reported_failing: Cell::new(None),
            wake_signal: Notify::new(),
        };
        parts
            .engines
            .into_iter()
            .for_each(|(id, engine)| drop(node.add_group(id, engine)));
        node
    }

    /// Calls a group's engine with the newest tables, then processes its outputs.
    pub fn with_group<T>(
        &self,
        group: &GroupEngine,
        call: impl FnOnce(&mut Engine, u64) -> T,
    ) -> T {
        self.validate(group);
        let result = group.call(self.clock.now_ms(), call);
        self.process_outputs(group);
        if group.quota.has_waiting() || group.is_quota_due_before_next_tick() {
            // Tokens may have become available: for submissions that wait here, or for other groups, which need a prompt
            // report.
            self.wake_signal.notify_one();
        }
        result
    }

    /// Reads from a group's engine with the newest tables.
    pub fn read_group<T>(&self, group: &GroupEngine, read: impl FnOnce(&Engine, u64) -> T) -> T {
        self.validate(group);
        group.read(self.clock.now_ms(), read)
    }

    /// Returns all groups that have an engine at this store.
    pub fn groups(&self) -> Vec<Rc<GroupEngine>> {
        self.groups.borrow().values().cloned().collect()
    }

    /// Returns the group that stores a job according to the newest tables. `None` if the tables define no groups, or if this
    /// store has no engine of that group.
    pub fn group_of_job(&self, job: &JobId) -> Option<Rc<GroupEngine>> {
        self.refresh_tables();
        let id = self.control.borrow().group_of_job(&job.0)?.0;
        self.group(id)
    }

    /// Whether this store may start a run of one of the group's items now.
    pub fn may_start(&self, group: &GroupEngine) -> bool {
        self.read_group(group, |engine, now_ms| engine.is_validated_primary(now_ms))
    }

    /// Whether this store is the primary of any group in the newest tables.
    pub fn is_primary(&self) -> bool {
        let snapshots = self.snapshots.borrow();
        let snapshot = snapshots.borrow();
        snapshot
            .control
            .groups
            .iter()
            .any(|group| group.primary == self.disk)
    }

    /// Returns the share of all groups that this store leads according to the newest tables.
    pub fn led_share(&self) -> LedShare {
        let control = self.control.borrow();
        let led = control
            .groups
            .iter()
            .filter(|group| group.primary == self.disk)
            .count();
        LedShare {
            led,
            all: control.groups.len(),
        }
    }

    /// Runs the main loop until the future is dropped.
    pub async fn run(self: Rc<Self>) {
        let mut snapshots = self.snapshots.borrow().clone();
        loop {
            let pause = self.tick();
            tokio::select! {
                () = tokio::time::sleep(pause) => (),
                () = self.wake_signal.notified() => tokio::time::sleep(RUN_END_BATCH_DELAY).await,
                changed = snapshots.changed() => if changed.is_err() { return },
            }
        }
    }

    /// Ticks the groups that are due and starts items. Returns the pause until the next tick.
    fn tick(self: &Rc<Self>) -> Duration {
        self.refresh_tables();
        self.apply_run_ends();
        self.tick_due_groups();
        self.remove_left_groups(self.clock.now_ms());
        let items_waiting = self.start_items();
        let longest = if items_waiting {
            START_RETRY_INTERVAL
        } else {
            MAX_TICK
        };
        self.time_to_next_tick().min(longest)
    }

    /// Passes the runs that have ended to the engines.
    fn apply_run_ends(&self) {
        for (id, ended) in self.runs.take_ended() {
            let Some(group) = self.group(id) else {
                continue;
            };
            self.with_group(&group, |engine, now_ms| {
                for EndedRun { run, end } in ended {
                    engine.run_ended(now_ms, run, end);
                }
            });
        }
    }

    /// Runs the timers of the groups that are due, and updates the report to the core.
    fn tick_due_groups(self: &Rc<Self>) {
        let now_ms = self.clock.now_ms();
        let disk_ready = self.journal.is_ready(now_ms);
        let due: Vec<Rc<GroupEngine>> = self
            .groups()
            .into_iter()
            .filter(|group| group.is_due(now_ms))
            .collect();
        for group in &due {
            self.with_group(group, |engine, now_ms| {
                engine.set_disk_ready(disk_ready);
                engine.on_timer(now_ms);
            });
            self.advance_quota(group);
            group.waiting.remove_unused();
            self.activity
                .add_engine_counts(group.finish_tick(self.clock.now_ms()));
        }
        if !due.is_empty() {
            self.activity.set_summary(self.summary());
            self.activity
                .log_if_due(|| self.journal.take_longest_sync());
        }
        let disk_failing = self.journal.is_failing(now_ms);
        if !due.is_empty()
            || self.reported_failing.replace(Some(disk_failing)) != Some(disk_failing)
        {
            self.poll.report(self.report(disk_failing).to_bytes());
        }
    }

    /// Returns the totals over all groups, as of their last ticks.
    fn summary(&self) -> StoreSummary {
        let mut summary = StoreSummary::default();
        for group in self.groups.borrow().values() {
            group.add_to(&mut summary);
        }
        summary
    }

    /// Returns the report for the core's primary. The poll itself tells it whether the process is shutting down, so
    /// `leaving` is not set here.
    fn report(&self, disk_failing: bool) -> StoreReport {
        let groups = self
            .groups
            .borrow()
            .values()
            .map(|group| (group.id, group.report()))
            .collect();
        StoreReport {
            groups,
            leaving: false,
            disk_failing,
        }
    }

    /// Returns the time until the next group is due for a tick.
    fn time_to_next_tick(&self) -> Duration {
        let next_ms = self
            .groups
            .borrow()
            .values()
            .map(|group| group.next_tick_ms())
            .min();
        let pause_ms = next_ms.map_or(u64::MAX, |at| at.saturating_sub(self.clock.now_ms()).max(1));
        Duration::from_millis(pause_ms)
    }

    /// Removes the groups that this store has left (`GroupEngine::may_be_dropped`) from memory, and from disk by a new
    /// snapshot: their old records must not precede those of a later incarnation of the group in the journal.
    pub fn remove_left_groups(&self, now_ms: u64) {
        let groups = self.groups();
        if !groups.iter().any(|group| group.may_be_dropped(now_ms))
            || !self.can_remove_groups(now_ms)
        {
            return;
        }
        for group in groups.iter().filter(|group| group.may_be_dropped(now_ms)) {
            log::info!(
                "batch group {}: removing this store's copy; the store is no longer a member",
                group.id
            );
            self.groups.borrow_mut().remove(&group.id);
            self.journal.forget(group.id);
        }
        self.journal
            .compact(self.clock.now_ms(), || self.snapshot());
    }

    /// Whether the tables are validated as the newest, and the disk is ready for a snapshot.
    fn can_remove_groups(&self, now_ms: u64) -> bool {
        let is_validated = self
            .validated_until_ms()
            .is_some_and(|until_ms| now_ms < until_ms);
        is_validated && self.journal.is_ready(self.clock.now_ms())
    }

    /// Returns a group by its id.
    pub(super) fn group(&self, id: GroupId) -> Option<Rc<GroupEngine>> {
        self.groups.borrow().get(&id).cloned()
    }

    /// Adds a group with its engine.
    fn add_group(&self, id: GroupId, mut engine: Engine) -> Rc<GroupEngine> {
        engine.set_status_ms(u64::try_from(self.status_retention.as_millis()).unwrap_or(u64::MAX));
        let group = Rc::new(GroupEngine::new(id, engine));
        self.groups.borrow_mut().insert(id, group.clone());
        group
    }

    /// Creates an empty group and applies the newest tables to it.
    fn create_group(&self, id: GroupId) -> Option<Rc<GroupEngine>> {
        // This does not fail without data to restore.
        let engine = Engine::restore(self.disk, self.clock.now_ms(), None, &[]).ok()?;
        let group = self.add_group(id, engine);
        let control = self.control.borrow().clone();
        let routes = self.routes.borrow().clone();
        self.apply_tables_to(&group, &control, &routes);
        Some(group)
    }

    /// Handles a replication message from another store.
    pub fn handle_notice(&self, notice: ReplicationNotice) {
        self.refresh_tables();
        let existing = self.group(notice.group);
        let Some(group) = existing.or_else(|| self.create_group_for(&notice)) else {
            return;
        };
        self.check_groups_of_jobs(&notice);
        self.with_group(&group, |engine, now_ms| {
            engine.on_message(now_ms, notice.from, notice.message);
        });
    }

    /// Checks the invariant that a batch job is stored only in the group that its id determines.
    fn check_groups_of_jobs(&self, notice: &ReplicationNotice) {
        let count = self.control.borrow().groups.len();
        if count == 0 {
            return;
        }
        for job in jobs_in(&notice.message) {
            let expected = GroupId::of_key(&job.0, count);
            invariant::check(Invariant::JobInItsGroup, expected == notice.group, || {
                format!(
                    "job {job} of group {expected} was received in group {}",
                    notice.group
                )
            });
        }
    }

    /// Creates the group of a primary's message, which may arrive before the tables that name this store.
    fn create_group_for(&self, notice: &ReplicationNotice) -> Option<Rc<GroupEngine>> {
        let count = self.control.borrow().groups.len();
        let bound = if count > 0 {
            count
        } else {
            MAX_GROUPS_BEFORE_TABLES
        };
        let may_create = is_from_primary(&notice.message) && notice.group.index() < bound;
        if may_create {
            self.create_group(notice.group)
        } else {
            None
        }
    }

    /// Applies the newest tables and then the core's newest validation, in this order: the validation refers to the newest
    /// tables.
    pub(super) fn validate(&self, group: &GroupEngine) {
        self.refresh_tables();
        if let Some(until_ms) = self.validated_until_ms() {
            group.set_validated_until(until_ms);
        }
    }

    /// Returns the time until which the tables are validated.
    fn validated_until_ms(&self) -> Option<u64> {
        Some(
            self.poll
                .validated_since_ms()?
                .saturating_add(VALIDATION_TTL_MS),
        )
    }

    /// Applies newer tables, if there are any.
    pub(super) fn refresh_tables(&self) {
        let changed = self.snapshots.borrow().has_changed().unwrap_or(false);
        if changed {
            let snapshot = self.snapshots.borrow_mut().borrow_and_update().clone();
            self.apply_tables(&snapshot);
        }
    }

    fn apply_tables(&self, snapshot: &Snapshot) {
        if !snapshot.validated || Arc::ptr_eq(&self.control.borrow(), &snapshot.control) {
            return;
        }
        let control = snapshot.control.clone();
        self.control.replace(control.clone());
        let routes = Rc::new(routes_of(&control));
        self.routes.replace(routes.clone());
        for (id, group) in control.numbered_groups() {
            self.update_addresses(group);
            if includes_disk(group, self.disk) && self.group(id).is_none() {
                self.create_group(id);
            }
        }
        for group in self.groups() {
            self.apply_tables_to(&group, &control, &routes);
            self.process_outputs(&group);
        }
    }

    /// Applies the newest tables to one group.
    fn apply_tables_to(
        &self,
        group: &GroupEngine,
        control: &ControlView,
        routes: &BTreeMap<String, RouteTerms>,
    ) {
        let now_ms = self.clock.now_ms();
        if let Some(config) = &control.config {
            group.set_routes(now_ms, config.config_version, routes);
        }
        let Some(tables) = control.group(group.id) else {
            return;
        };
        if group.set_group(now_ms, self.disk, tables) {
            self.wake_signal.notify_one();
        }
        group.call(now_ms, |engine, now_ms| {
            group
                .quota
                .apply_tables(now_ms, engine, group.id, control, routes);
        });
    }

    fn update_addresses(&self, group: &BatchGroup) {
        let mut addresses = self.addresses.borrow_mut();
        for member in group.members.iter().chain(&group.learners) {
            addresses.insert(member.disk, member.node.internal.0);
        }
    }

    /// Processes the outputs of a group's engine.
    pub(super) fn process_outputs(&self, group: &GroupEngine) {
        group.process_outputs(|output| self.process_output(group, output));
    }

    fn process_output(&self, group: &GroupEngine, output: Output) {
        match output {
            Output::Send { to, message } => self.send(group.id, to, message),
            Output::Write { ticket, records } => self.write(group, ticket, &records),
            Output::Resolved { token, outcome } => {
                self.activity.record_resolved(group.id, token, outcome);
                group.waiting.resolve(token, outcome);
            }
            Output::Readable(job) => group.waiting.notify_readable(&job),
            Output::CancelRun(run) => self.runs.cancel(RunKey {
                group: group.id,
                run,
            }),
        }
    }

    fn write(&self, group: &GroupEngine, ticket: WriteTicket, records: &[Vec<u8>]) {
        let now_ms = self.clock.now_ms();
        let records = records
            .iter()
            .map(|record| tag_record(group.id, record))
            .collect();
        group.record_appended(ticket);
        self.journal.append(
            now_ms,
            GroupTicket {
                group: group.id,
                ticket,
            },
            records,
        );
        self.journal.compact_if_due(now_ms, || self.snapshot());
    }

    fn send(&self, group: GroupId, to: DiskId, message: Message) {
        let Some(address) = self.addresses.borrow().get(&to).copied() else {
            return;
        };
        let notice = ReplicationNotice {
            from: self.disk,
            to,
            message,
            group,
        };
        if let Ok(payload) = minicbor::to_vec(&notice) {
            metrics::get().store.message(&notice.message, payload.len());
            self.network
                .notify(address, ServiceId::Replication, payload);
        }
    }

    /// Returns a snapshot of all groups' state.
    fn snapshot(&self) -> Vec<u8> {
        let now_ms = self.clock.now_ms();
        let groups = self.groups();
        let snapshots = groups.iter().map(|group| {
            let snapshot = group.read(now_ms, |engine, now_ms| engine.snapshot(now_ms));
            (group.id, snapshot)
        });
        join_snapshots(snapshots)
    }

    /// Wakes the main loop for a tick.
    pub fn wake(&self) {
        self.wake_signal.notify_one();
    }
}

/// Returns the batch routes of a control state.
fn routes_of(control: &ControlView) -> BTreeMap<String, RouteTerms> {
    control
        .config
        .as_ref()
        .map(|config| batch_routes(config))
        .unwrap_or_default()
}

/// Implements [`JournalOwner`] for a store's node. The journal's task must not keep the node alive.
pub struct NodeJournal(pub Rc<StoreNode>);

impl JournalOwner for NodeJournal {
    fn snapshot(&self) -> Vec<u8> {
        self.0.snapshot()
    }

    fn written(&self, written: GroupTicket) {
        let Some(group) = self.0.group(written.group) else {
            return;
        };
        group.record_written(written.ticket);
        self.0.with_group(&group, |engine, now_ms| {
            engine.on_written(now_ms, written.ticket);
        });
    }
}

impl NodeJournal {
    /// Notifies the engines of completed writes until the future is dropped.
    pub async fn process_completions(self, completions: WriteCompletions) {
        self.0.journal.process_completions(completions, &self).await;
    }
}
