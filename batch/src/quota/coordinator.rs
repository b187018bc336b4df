//! Quota coordinator of the routes with the same home group: it has a count for each group and route, and grants the
//! remaining tokens of a route's limit.
//!
//! Invariant: the sum of the groups' counts for a route never exceeds the route's limit through a grant.

use super::message::{CoordinatorId, Decision, QuotaGrant, QuotaReading, QuotaReport, ReportId};
use super::meter::Meter;
use std::collections::BTreeMap;

/// Time after a report that was not fully granted during which no headroom is granted.
pub const CONTENTION_MS: u64 = 1_000;
/// The headroom of a grant is the remaining tokens divided by the number of groups and by this.
const HEADROOM_DIVISOR: u128 = 4;

/// Event counts of a coordinator, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CoordinatorCounters {
    /// Received reports.
    pub reports: u64,
    /// Ignored reports: for another coordinator, outdated, or of an unknown group.
    pub ignored: u64,
    /// Reports received before all groups were counted.
    pub unsure: u64,
    /// Reports that were not fully granted.
    pub short: u64,
    /// Answers that would allow the sum of the groups' counts to exceed the limit. Any is a bug.
    pub violations: u64,
}

/// Count of one group, from its newest report.
#[derive(Debug)]
struct GroupCount {
    report: ReportId,
    used: u64,
    /// Upper bound of the tokens that the group counts: `used` plus the grant.
    counted: u64,
    rejected_total: u64,
    /// Decision on the report, returned again for a duplicate.
    decision: Decision,
}

/// Counts of one route.
#[derive(Debug, Default)]
struct RouteCounts {
    groups: BTreeMap<u32, GroupCount>,
    contended_until_ms: u64,
}

/// Quota coordinator of the routes of one home group, for one incarnation of its primary.
///
/// It must be used only while that primary is active and validated.
#[derive(Debug)]
pub struct Coordinator {
    id: CoordinatorId,
    /// Epochs of the groups when this coordinator started; reports of lower epochs are ignored.
    group_epochs: Vec<u64>,
    routes: BTreeMap<String, RouteCounts>,
    meter: Meter,
    counters: CoordinatorCounters,
}

impl Coordinator {
    /// Creates a coordinator without counts. `group_epochs` has one epoch per group, from a state of the core that was
    /// read after the start of this process and includes the coordinator's own epoch.
    pub fn new(id: CoordinatorId, group_epochs: Vec<u64>) -> Coordinator {
        Coordinator {
            id,
            group_epochs,
            routes: BTreeMap::new(),
            meter: Meter::default(),
            counters: CoordinatorCounters::default(),
        }
    }

    /// Incarnation of this coordinator.
    pub fn id(&self) -> CoordinatorId {
        self.id
    }

    /// Event counts so far.
    pub fn counters(&self) -> CoordinatorCounters {
        self.counters
    }

    /// Removes routes that are no longer configured. If a route is added again, all groups must report again before
    /// anything is granted.
    pub fn retain_routes(&mut self, keep: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| keep(route));
    }

    /// Handles a report and returns the answer. `max` is the route's current limit; 0 means unlimited.
    pub fn report(&mut self, now_ms: u64, max: u64, report: &QuotaReport) -> QuotaGrant {
        self.counters.reports += 1;
        if !self.is_acceptable(report) {
            self.counters.ignored += 1;
            return self.answer(report, Decision::Unsure, None);
        }
        let known = self
            .routes
            .get(&report.route)
            .and_then(|counts| counts.groups.get(&report.group));
        let rejected_before = known.map(|known| (known.report, known.rejected_total));
        if let Some(known) = known.filter(|known| known.report >= report.id) {
            self.counters.ignored += 1;
            let is_copy = known.report == report.id;
            let decision = if is_copy {
                known.decision
            } else {
                Decision::Unsure
            };
            return self.answer(report, decision, None);
        }
        let decision = self.decide(now_ms, max, report);
        let reading = self.read_meter(now_ms, report, rejected_before);
        if max == 0 {
            // Without a limit, a group may count more tokens without a report, so that its count must not be used
            // under a later limit.
            self.routes.remove(&report.route);
        }
        self.answer(report, decision, reading)
    }

    /// Whether a report is addressed to this coordinator and comes from a primary that was not replaced before the
    /// coordinator started.
    fn is_acceptable(&self, report: &QuotaReport) -> bool {
        let lowest_epoch = self.group_epochs.get(report.group as usize);
        let is_current = lowest_epoch.is_some_and(|lowest| report.id.group_epoch >= *lowest);
        report.coordinator == self.id && is_current
    }

    /// Records a new report and grants tokens to its group.
    fn decide(&mut self, now_ms: u64, max: u64, report: &QuotaReport) -> Decision {
        let group_count = self.group_epochs.len();
        let counts = self.routes.entry(report.route.clone()).or_default();
        counts.replace(report);
        if counts.groups.len() < group_count {
            self.counters.unsure += 1;
            return Decision::Unsure;
        }
        let limits = Limits::of(max);
        let granted = counts.grant(now_ms, limits, group_count, &report.wanted);
        self.counters.short += u64::from(granted.is_short);
        let decision = counts.record_grant(now_ms, report, to_tokens(granted.tokens), limits);
        self.counters.violations += u64::from(counts.is_exceeded_by(report, decision, limits));
        decision
    }

    /// Records a report in the route's meter and returns the newest reading, once all groups are counted.
    fn read_meter(
        &mut self,
        now_ms: u64,
        report: &QuotaReport,
        before: Option<(ReportId, u64)>,
    ) -> Option<QuotaReading> {
        let counts = self.routes.get(&report.route)?;
        if counts.groups.len() < self.group_epochs.len() {
            return None;
        }
        let is_same_session = |known: &ReportId| {
            known.group_epoch == report.id.group_epoch && known.session == report.id.session
        };
        // At the first report of a session it is unknown which part of the total was already metered.
        let beyond = match before {
            Some((known, total)) if is_same_session(&known) => {
                report.rejected_total.saturating_sub(total)
            }
            _ => 0,
        };
        let waiting = u64::try_from(counts.used_sum()).unwrap_or(u64::MAX);
        self.meter
            .record(now_ms, self.id.epoch, &report.route, waiting, beyond)
    }

    fn answer(
        &self,
        report: &QuotaReport,
        decision: Decision,
        reading: Option<QuotaReading>,
    ) -> QuotaGrant {
        QuotaGrant {
            coordinator: self.id,
            report: report.id,
            decision,
            reading,
        }
    }
}

/// Tokens granted to a report.
#[derive(Debug, Clone, Copy)]
struct Granted {
    tokens: u128,
    /// Whether some requested tokens were not granted.
    is_short: bool,
}

/// Sum of the requests that are within `left`, taken in order and skipping those that exceed the rest.
fn sum_that_fits(left: u128, wanted: &[u64]) -> Granted {
    let mut granted = Granted {
        tokens: 0,
        is_short: false,
    };
    for tokens in wanted.iter().map(|tokens| u128::from(*tokens)) {
        if granted.tokens + tokens <= left {
            granted.tokens += tokens;
        } else {
            granted.is_short = true;
        }
    }
    granted
}

/// A route's limit, with an unlimited route as the maximum value.
#[derive(Debug, Clone, Copy)]
struct Limits {
    max: u128,
    is_limited: bool,
}

impl Limits {
    fn of(max: u64) -> Limits {
        let is_limited = max != 0;
        let max = if is_limited {
            u128::from(max)
        } else {
            u128::MAX
        };
        Limits { max, is_limited }
    }
}

impl RouteCounts {
    /// Replaces a group's count by its new report, without a grant.
    fn replace(&mut self, report: &QuotaReport) {
        let count = GroupCount {
            report: report.id,
            used: report.used,
            counted: report.used,
            rejected_total: report.rejected_total,
            decision: Decision::Unsure,
        };
        self.groups.insert(report.group, count);
    }

    /// Tokens to grant to a group whose report was just recorded.
    fn grant(
        &mut self,
        now_ms: u64,
        limits: Limits,
        group_count: usize,
        wanted: &[u64],
    ) -> Granted {
        let left = limits.max.saturating_sub(self.counted_sum());
        let granted = sum_that_fits(left, wanted);
        if granted.is_short {
            self.contended_until_ms = now_ms.saturating_add(CONTENTION_MS);
        }
        if self.is_contended(now_ms) || !limits.is_limited {
            return granted;
        }
        let headroom = (left - granted.tokens) / (HEADROOM_DIVISOR * group_count.max(1) as u128);
        Granted {
            tokens: granted.tokens + headroom,
            ..granted
        }
    }

    /// Records a grant and returns the decision. If the groups together use more than the route's limit, the group's
    /// limit is below its use, so that completed work is not replaced.
    fn record_grant(
        &mut self,
        now_ms: u64,
        report: &QuotaReport,
        granted: u64,
        limits: Limits,
    ) -> Decision {
        let counted = report.used.saturating_add(granted);
        let limit = counted.min(to_tokens(
            limits
                .max
                .saturating_sub(self.count_of_others(report.group)),
        ));
        let available = to_tokens(limits.max.saturating_sub(self.used_sum()));
        let is_contended = self.is_contended(now_ms);
        let decision = Decision::Counted {
            limit,
            available,
            is_contended,
        };
        if let Some(count) = self.groups.get_mut(&report.group) {
            count.counted = counted;
            count.decision = decision;
        }
        decision
    }

    /// Whether this decision would allow the group to raise the sum above the route's limit.
    fn is_exceeded_by(&self, report: &QuotaReport, decision: Decision, limits: Limits) -> bool {
        let Decision::Counted { limit, .. } = decision else {
            return false;
        };
        limit > 0 && self.count_of_others(report.group) + u128::from(limit) > limits.max
    }

    fn count_of_others(&self, group: u32) -> u128 {
        let others = self.groups.iter().filter(|(other, _)| **other != group);
        others.map(|(_, count)| u128::from(count.counted)).sum()
    }

    fn is_contended(&self, now_ms: u64) -> bool {
        now_ms < self.contended_until_ms
    }

    fn used_sum(&self) -> u128 {
        self.groups
            .values()
            .map(|count| u128::from(count.used))
            .sum()
    }

    fn counted_sum(&self) -> u128 {
        self.groups
            .values()
            .map(|count| u128::from(count.counted))
            .sum()
    }
}

fn to_tokens(sum: u128) -> u64 {
    u64::try_from(sum).unwrap_or(u64::MAX)
}
