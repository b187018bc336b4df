//! The coordinator of the routes whose home is one group: it keeps a count for each group and route, and gives out what
//! is left of a route's limit.

use super::message::{CoordinatorId, Decision, QuotaGrant, QuotaReading, QuotaReport, ReportId};
use super::meter::Meter;
use std::collections::BTreeMap;

/// So long after a report that did not get all it wanted, nothing is given beyond what is wanted.
pub const CONTENTION_MS: u64 = 1_000;
/// A grant's headroom is what is left, divided by the number of groups and this.
const HEADROOM_PARTS: u128 = 4;

/// What a coordinator has done, for publication.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CoordinatorCounters {
    /// Reports that came.
    pub reports: u64,
    /// Reports that were put aside: of another address, replaced, or of an unknown group.
    pub ignored: u64,
    /// Reports that came before all groups were counted.
    pub unsure: u64,
    /// Reports that did not get all they wanted.
    pub short: u64,
    /// Answers under which the groups' counts could exceed the limit by an accept. Any is a fault of the program.
    pub violations: u64,
}

/// What is kept of one group's newest report.
#[derive(Debug)]
struct GroupCount {
    report: ReportId,
    used: u64,
    /// The group counts no more than this: `used` and what was granted.
    counted: u64,
    refused_total: u64,
    /// The answer, for a copy of the report.
    decision: Decision,
}

/// One route.
#[derive(Debug, Default)]
struct RouteCounts {
    groups: BTreeMap<u32, GroupCount>,
    contended_until_ms: u64,
}

/// Coordinates the routes of one home group, for one incarnation of its primary.
///
/// The caller asks it only while that primary is active and validated.
#[derive(Debug)]
pub struct Coordinator {
    id: CoordinatorId,
    /// Epochs of the groups when this coordinator began; reports of lower ones don't count.
    group_epochs: Vec<u64>,
    routes: BTreeMap<String, RouteCounts>,
    meter: Meter,
    counters: CoordinatorCounters,
}

impl Coordinator {
    /// A coordinator that knows nothing. The groups' epochs (one per group) are those of a state of the core that was read
    /// after the start of this process and that contains the coordinator's own epoch.
    pub fn new(id: CoordinatorId, group_epochs: Vec<u64>) -> Coordinator {
        Coordinator {
            id,
            group_epochs,
            routes: BTreeMap::new(),
            meter: Meter::default(),
            counters: CoordinatorCounters::default(),
        }
    }

    /// Its incarnation.
    pub fn id(&self) -> CoordinatorId {
        self.id
    }

    /// What it has done so far.
    pub fn counters(&self) -> CoordinatorCounters {
        self.counters
    }

    /// Forgets routes that are no longer configured. Should one come back, all groups are heard anew.
    pub fn retain_routes(&mut self, keep: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| keep(route));
    }

    /// Answers a report. `max` is the route's limit at this moment; 0 is no limit.
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
        let refused_before = known.map(|known| (known.report, known.refused_total));
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
        let reading = self.read_meter(now_ms, report, refused_before);
        if max == 0 {
            // A group that knows of no limit counts more without a report: what it said must not stand under a later limit.
            self.routes.remove(&report.route);
        }
        self.answer(report, decision, reading)
    }

    /// Whether a report is addressed to this coordinator, by a primary that may still be its group's.
    fn is_acceptable(&self, report: &QuotaReport) -> bool {
        let lowest_epoch = self.group_epochs.get(report.group as usize);
        let is_current = lowest_epoch.is_some_and(|lowest| report.id.group_epoch >= *lowest);
        report.coordinator == self.id && is_current
    }

    /// Takes a new report in, and grants what it may get.
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

    /// Notes a report in the route's meter, once all groups are counted.
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
        // What was refused before this coordinator heard of the session can't be told from what it has read already.
        let beyond = match before {
            Some((known, total)) if is_same_session(&known) => {
                report.refused_total.saturating_sub(total)
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

/// What a report gets.
#[derive(Debug, Clone, Copy)]
struct Granted {
    tokens: u128,
    /// Whether that is less than it wanted.
    is_short: bool,
}

/// The sum of those numbers that fit, each that still does in turn.
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

/// A route's limit as it is counted with.
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
    /// A group counts what its new report says, and nothing is granted to it.
    fn replace(&mut self, report: &QuotaReport) {
        let count = GroupCount {
            report: report.id,
            used: report.used,
            counted: report.used,
            refused_total: report.refused_total,
            decision: Decision::Unsure,
        };
        self.groups.insert(report.group, count);
    }

    /// Tokens to grant to a group whose report was just taken in.
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
        let headroom = (left - granted.tokens) / (HEADROOM_PARTS * group_count.max(1) as u128);
        Granted {
            tokens: granted.tokens + headroom,
            ..granted
        }
    }

    /// Notes what a group was granted, and answers it. If the groups use more than the limit, it may count less than it
    /// does, so that nothing takes the place of what ends.
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

    /// Whether a group that was answered so may bring the sum above the limit by accepting.
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
