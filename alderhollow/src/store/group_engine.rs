//! One batch group at this store: its engine, the calls that wait at it, the meter, and what the process's main loop
//! and journal remember of it.

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
use std::collections::BTreeMap;
use std::sync::Arc;

/// Longest pause between looks at a group that this store leads: time alone changes what it reports.
pub(super) const MAX_TICK_MS: u64 = 200;
/// A group is dropped so long after the tables stopped to name this store; see `GroupEngine::may_be_dropped`.
pub const LEFT_GROUP_RETENTION_MS: u64 = 30_000;

/// One group.
pub struct GroupEngine {
    /// Its number.
    pub id: GroupId,
    /// Calls that wait.
    pub waiting: Waiting,
    /// Readings of waiting tokens, where this group shares the routes' limits with no other.
    pub meter: RefCell<Meter>,
    /// Its part in the limits that it shares with other groups.
    pub quota: GroupQuota,
    engine: RefCell<Engine>,
    tables_epoch: Cell<u64>,
    is_processing_outputs: Cell<bool>,
    /// Whether something may have changed since the last look.
    is_dirty: Cell<bool>,
    next_tick_ms: Cell<u64>,
    has_work: Cell<bool>,
    report: RefCell<GroupReport>,
    /// What the engine had counted at the last look.
    counted: Cell<EngineCounts>,
    /// Items that waited and ran at the last look.
    load: Cell<(usize, usize)>,
    is_led: Cell<bool>,
    /// Since when the newest tables name this disk neither as a member nor as a learner.
    excluded_since_ms: Cell<Option<u64>>,
    appended: Cell<WriteTicket>,
    written: Cell<WriteTicket>,
}

impl GroupEngine {
    /// A group with its engine, as restored.
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
            counted: Cell::default(),
            load: Cell::default(),
            is_led: Cell::new(false),
            excluded_since_ms: Cell::new(None),
            appended: Cell::new(WriteTicket(0)),
            written: Cell::new(WriteTicket(0)),
        }
    }

    /// Calls the engine. The main loop looks at the group after that.
    pub(super) fn call<T>(&self, now_ms: u64, call: impl FnOnce(&mut Engine, u64) -> T) -> T {
        self.mark_dirty();
        call(&mut self.engine.borrow_mut(), now_ms)
    }

    /// Looks at the engine only.
    pub(super) fn read<T>(&self, now_ms: u64, read: impl FnOnce(&Engine, u64) -> T) -> T {
        read(&self.engine.borrow(), now_ms)
    }

    /// The core validates this store's tables until this moment.
    pub(super) fn set_validated_until(&self, until_ms: u64) {
        self.engine.borrow_mut().set_validated_until(until_ms);
    }

    /// The batch routes of the newest configuration.
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

    /// The group as the newest tables have it; tells whether the epoch is another one.
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

    /// Carries out what the engine asks for, until there is nothing more.
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

    /// Has the main loop look at the group.
    pub fn mark_dirty(&self) {
        self.is_dirty.set(true);
    }

    /// Whether the main loop should look at the group.
    pub(super) fn is_due(&self, now_ms: u64) -> bool {
        self.is_dirty.get() || self.next_tick_ms.get() <= now_ms
    }

    /// Whether a report of the shared limits became due sooner than the main loop would look at the group.
    pub(super) fn is_quota_due_before_next_tick(&self) -> bool {
        let due_ms = self.quota.next_due_ms(&self.engine.borrow());
        due_ms.is_some_and(|due_ms| due_ms < self.next_tick_ms.get())
    }

    /// When the main loop should look at the group, if nothing touches it before.
    pub(super) fn next_tick_ms(&self) -> u64 {
        self.next_tick_ms.get()
    }

    /// The main loop has looked at the group: what it reports, and when the next look is due. Gives what the engine counted
    /// since the look before.
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
        counts - self.counted.replace(counts)
    }

    /// Adds this group to a store's part in all groups.
    pub(super) fn add_to(&self, part: &mut StoreSummary) {
        let report = self.report.borrow();
        let (waiting, running) = self.load.get();
        part.groups += 1;
        part.led += usize::from(self.is_led.get());
        part.active += usize::from(report.active);
        part.newest_epoch = part.newest_epoch.max(report.epoch);
        part.waiting += waiting;
        part.running += running;
    }

    /// What the core's primary is told of the group.
    pub(super) fn report(&self) -> GroupReport {
        self.report.borrow().clone()
    }

    /// Whether items waited for a start at the last look.
    pub(super) fn has_work(&self) -> bool {
        self.has_work.get()
    }

    /// Whether all that this store holds of the group may be dropped.
    ///
    /// The tables are validated: a majority of the core has committed an epoch E that names this disk neither as a
    /// member nor as a learner. The control state admits as the primary of E, and of each later epoch, only a disk that
    /// is known to hold everything that was acknowledged (`GroupState::complete`), and that set keeps members of the
    /// newest epoch only. This disk comes into the set again only after it was a learner of a later epoch and was made
    /// equal to its primary, as an empty disk would be. A member is left out only if enough others hold everything. So
    /// nothing that was acknowledged rests on what this disk holds, also while E is not active; the former members that
    /// a retirement waits for are a margin beyond that. The time is a margin too, for a primary of an earlier epoch
    /// that still sends: while the tables are in memory the group's epoch is E here, and such a primary is refused.
    ///
    /// Tables are validated for a while, though: a newer epoch may name this disk again, and its primary may have brought it
    /// up to date, while the poll that brings the tables is on its way. So a group that follows a newer epoch is kept.
    ///
    /// Writes under way have ended: their tickets must not be taken for those of the group's next incarnation at this store.
    pub(super) fn may_be_dropped(&self, now_ms: u64) -> bool {
        let is_over = |left_at: u64| now_ms.saturating_sub(left_at) >= LEFT_GROUP_RETENTION_MS;
        let has_left = self.excluded_since_ms.get().is_some_and(is_over);
        let report = self.report.borrow();
        let follows_newer = report.epoch > self.tables_epoch.get();
        has_left && !follows_newer && self.appended.get() == self.written.get() && !report.active
    }

    /// A write was queued.
    pub(super) fn record_appended(&self, ticket: WriteTicket) {
        self.appended.set(ticket);
    }

    /// All writes up to this one are on disk.
    pub(super) fn record_written(&self, ticket: WriteTicket) {
        self.written.set(self.written.get().max(ticket));
    }
}

/// Whether a group names a disk as a member or a learner.
pub(super) fn includes_disk(group: &BatchGroup, disk: DiskId) -> bool {
    group
        .members
        .iter()
        .chain(&group.learners)
        .any(|member| member.disk == disk)
}

/// What the core's primary is told of a group.
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
