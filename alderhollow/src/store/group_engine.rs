//! One batch group at this store: its engine, waiting calls and meter, and the bookkeeping of the main loop and the
//! journal for it.

use super::activity::StoreSummary;
use super::group_quota::GroupQuota;
use super::waiting::Waiting;
use crate::control_state::store_report::GroupReport;
use crate::invariant::{self, Invariant};
use crate::metrics;
use alderhollow_batch::api::{GroupStatus, Output, RouteTerms, WriteTicket};
use alderhollow_batch::counts::EngineCounts;
use alderhollow_batch::engine::Engine;
use alderhollow_batch::quota::Meter;
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::{BatchGroup, GroupId};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum interval between ticks of a group that this store leads: its report changes with time alone.
pub(super) const MAX_TICK_MS: u64 = 200;
/// Time for which a group is kept after the tables stopped naming this store; see `GroupEngine::may_be_dropped`.
pub const LEFT_GROUP_RETENTION_MS: u64 = 30_000;

/// One batch group.
pub struct GroupEngine {
    /// The group's id.
    pub id: GroupId,
    /// Calls that wait for outcomes or results.
    pub waiting: Waiting,
    /// Readings of waiting tokens, used while this is the only group.
    pub meter: RefCell<Meter>,
    /// Quota accounts for the limits shared with other groups.
    pub quota: GroupQuota,
    engine: RefCell<Engine>,
    tables_epoch: Cell<u64>,
    is_processing_outputs: Cell<bool>,
    /// Whether the group may have changed since the last tick.
    is_dirty: Cell<bool>,
    next_tick_ms: Cell<u64>,
    has_work: Cell<bool>,
    report: RefCell<GroupReport>,
    /// The engine's counts at the last tick.
    last_counts: Cell<EngineCounts>,
    /// Waiting and running items at the last tick.
    load: Cell<(usize, usize)>,
    is_led: Cell<bool>,
    /// Since when the newest tables have named this disk neither as a member nor as a learner.
    excluded_since_ms: Cell<Option<u64>>,
    appended: Cell<WriteTicket>,
    written: Cell<WriteTicket>,
}

impl GroupEngine {
    /// Creates a group with a restored engine.
    pub fn new(id: GroupId, engine: Engine) -> GroupEngine {
        GroupEngine {
            id,
            waiting: Waiting::default(),
            meter: RefCell::default(),
            quota: GroupQuota::default(),
            engine: RefCell::new(engine),
            tables_epoch: Cell::new(0),
            is_processing_outputs: Cell::new(false),
            is_dirty: Cell::new(true),
            next_tick_ms: Cell::new(0),
            has_work: Cell::new(false),
            report: RefCell::default(),
            last_counts: Cell::default(),
            load: Cell::default(),
            is_led: Cell::new(false),
            excluded_since_ms: Cell::new(None),
            appended: Cell::new(WriteTicket(0)),
            written: Cell::new(WriteTicket(0)),
        }
    }

    /// Calls the engine and marks the group for the next tick of the main loop.
    pub(super) fn call<T>(&self, now_ms: u64, call: impl FnOnce(&mut Engine, u64) -> T) -> T {
        self.mark_dirty();
        call(&mut self.engine.borrow_mut(), now_ms)
    }

    /// Reads from the engine without marking the group as changed.
    pub(super) fn read<T>(&self, now_ms: u64, read: impl FnOnce(&Engine, u64) -> T) -> T {
        read(&self.engine.borrow(), now_ms)
    }

    /// Sets the time until which the core has validated this store's tables.
    pub(super) fn set_validated_until(&self, until_ms: u64) {
        self.engine.borrow_mut().set_validated_until(until_ms);
    }

    /// Sets the routes whose items cannot start now, because their services have no backend.
    pub(super) fn set_stranded_routes(&self, routes: &BTreeSet<String>) {
        self.engine.borrow_mut().set_stranded_routes(routes);
    }

    /// Sets the batch routes of the newest configuration.
    pub(super) fn set_routes(
        &self,
        now_ms: u64,
        version: u64,
        routes: &BTreeMap<String, RouteTerms>,
    ) {
        self.call(now_ms, |engine, now_ms| {
            engine.set_routes(now_ms, version, routes.clone());
        });
    }

    /// Sets the group's state in the newest tables. Returns whether the epoch changed.
    pub(super) fn set_group(&self, now_ms: u64, disk: DiskId, group: &Arc<BatchGroup>) -> bool {
        self.excluded_since_ms
            .set(match includes_disk(group, disk) {
                true => None,
                false => Some(self.excluded_since_ms.get().unwrap_or(now_ms)),
            });
        self.call(now_ms, |engine, now_ms| {
            engine.set_group(now_ms, group.clone());
        });
        let epoch_changed = self.tables_epoch.replace(group.epoch) != group.epoch;
        if epoch_changed {
            metrics::get().store.epoch_changed();
            self.waiting.wake_readers();
        }
        epoch_changed
    }

    /// Processes the engine's outputs until none are left. Nested calls return at once.
    pub(super) fn process_outputs(&self, mut process_output: impl FnMut(Output)) {
        if self.is_processing_outputs.replace(true) {
            return;
        }
        loop {
            let outputs = self.engine.borrow_mut().take_outputs();
            if outputs.is_empty() {
                break;
            }
            outputs.into_iter().for_each(&mut process_output);
        }
        self.is_processing_outputs.set(false);
    }

    /// Marks the group for the next tick of the main loop.
    pub fn mark_dirty(&self) {
        self.is_dirty.set(true);
    }

    /// Whether the group is due for a tick.
    pub(super) fn is_due(&self, now_ms: u64) -> bool {
        self.is_dirty.get() || self.next_tick_ms.get() <= now_ms
    }

    /// Whether a quota report became due before the group's next tick.
    pub(super) fn is_quota_due_before_next_tick(&self) -> bool {
        let due_ms = self.quota.next_due_ms(&self.engine.borrow());
        due_ms.is_some_and(|due_ms| due_ms < self.next_tick_ms.get())
    }

    /// Time of the next tick, unless the group is marked as changed before.
    pub(super) fn next_tick_ms(&self) -> u64 {
        self.next_tick_ms.get()
    }

    /// Ends a tick: updates the group's report and the time of the next tick. Returns the engine's counts since the previous
    /// tick.
    pub(super) fn finish_tick(&self, now_ms: u64) -> EngineCounts {
        let mut engine = self.engine.borrow_mut();
        let status = engine.status(now_ms);
        let next_timer_ms = engine.next_timer_ms().unwrap_or(u64::MAX);
        let report_tick_ms = if status.primary {
            now_ms + MAX_TICK_MS
        } else {
            u64::MAX
        };
        let quota_ms = self.quota.next_due_ms(&engine).unwrap_or(u64::MAX);
        self.next_tick_ms
            .set(next_timer_ms.min(report_tick_ms).min(quota_ms));
        self.has_work
            .set(!engine.routes_with_work(now_ms).is_empty());
        self.is_led.set(status.primary);
        self.load.set(engine.load());
        let earlier = self.report.replace(report(status));
        let epoch = self.report.borrow().epoch;
        invariant::check(Invariant::GroupEpochRises, epoch >= earlier.epoch, || {
            format!(
                "epoch {epoch} of group {} follows epoch {}",
                self.id, earlier.epoch
            )
        });
        self.is_dirty.set(false);
        let counts = engine.counts();
        counts - self.last_counts.replace(counts)
    }

    /// Adds this group to the store's totals.
    pub(super) fn add_to(&self, summary: &mut StoreSummary) {
        let report = self.report.borrow();
        let (waiting, running) = self.load.get();
        summary.groups += 1;
        summary.led += usize::from(self.is_led.get());
        summary.active += usize::from(report.active);
        summary.newest_epoch = summary.newest_epoch.max(report.epoch);
        summary.waiting += waiting;
        summary.running += running;
    }

    /// Returns the report on this group for the core's primary.
    pub(super) fn report(&self) -> GroupReport {
        self.report.borrow().clone()
    }

    /// Whether items waited to be run at the last tick.
    pub(super) fn has_work(&self) -> bool {
        self.has_work.get()
    }

    /// Whether this store may delete its copy of the group.
    ///
    /// This is safe because the tables are validated: a majority of the core has committed an epoch E that names this disk
    /// neither as a member nor as a learner. The control state admits as the primary of E, and of each later epoch, only a
    /// disk that is known to hold all acknowledged data (`GroupState::complete`), and that set contains only members of the
    /// newest epoch. This disk joins the set again only after it was a learner of a later epoch and was synchronized with
    /// its primary, as an empty disk would be. A member is removed only if enough others hold all data. So no acknowledged
    /// data depends on this disk, even while E is not active. The former members that a retirement waits for are an
    /// additional margin. The retention time is a further margin, for a primary of an earlier epoch that still sends: while
    /// the tables are in memory the group's epoch here is E, and such a primary is rejected.
    ///
    /// A validation holds for a limited time, however: a newer epoch may name this disk again, and its primary may have
    /// synchronized it, before the poll that delivers the tables arrives. So a group that follows a newer epoch is kept.
    ///
    /// No write may be pending: its ticket could be confused with one of the group's next incarnation at this store.
    pub(super) fn may_be_dropped(&self, now_ms: u64) -> bool {
        let is_expired = |since_ms: u64| now_ms.saturating_sub(since_ms) >= LEFT_GROUP_RETENTION_MS;
        let has_left = self.excluded_since_ms.get().is_some_and(is_expired);
        let report = self.report.borrow();
        let follows_newer = report.epoch > self.tables_epoch.get();
        has_left && !follows_newer && self.appended.get() == self.written.get() && !report.active
    }

    /// Records the ticket of a queued write.
    pub(super) fn record_appended(&self, ticket: WriteTicket) {
        self.appended.set(ticket);
    }

    /// Records that all writes up to this ticket are on disk.
    pub(super) fn record_written(&self, ticket: WriteTicket) {
        self.written.set(self.written.get().max(ticket));
    }
}

/// Whether a group has a disk as a member or a learner.
pub(super) fn includes_disk(group: &BatchGroup, disk: DiskId) -> bool {
    group
        .members
        .iter()
        .chain(&group.learners)
        .any(|member| member.disk == disk)
}

/// Converts an engine's status to the report for the core's primary.
fn report(status: GroupStatus) -> GroupReport {
    GroupReport {
        epoch: status.epoch,
        active: status.primary && status.active,
        synced: status.synced,
        silent: status.silent.into_iter().collect(),
        behind: status.behind,
    }
}

#[cfg(test)]
mod tests;
