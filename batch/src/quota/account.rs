//! Quota account of one group for one route: the limit under which the group's primary counts queued tokens, and the
//! submissions that wait for capacity.
//!
//! Invariant: the limit rises only by the answer to the newest report, and falls to the tokens in use when a report is
//! sent.

use super::message::{CoordinatorId, Decision, QuotaGrant, QuotaReport, ReportId};
use std::collections::VecDeque;

/// Report interval while granted tokens are unused, the use has changed, or no coordinator has counted all groups.
pub const ACTIVE_PERIOD_MS: u64 = 250;
/// Report interval in these cases under contention, when other groups wait for unused tokens.
pub const CONTENDED_PERIOD_MS: u64 = 30;
/// Report interval while nothing changes.
pub const IDLE_PERIOD_MS: u64 = 1_000;
/// Time-out for the answer to a report.
pub const ANSWER_TIMEOUT_MS: u64 = 300;
/// Maximum time that a submission waits for capacity. The time-out of the gateway is longer.
pub const SUBMISSION_TIMEOUT_MS: u64 = 600;
/// Minimum time before a submission that is within the route's limit is rejected: by then the other groups have
/// reported the tokens that became free before.
pub const MIN_REJECTION_DELAY_MS: u64 = 300;
/// Maximum number of submissions in one report.
const MAX_REPORTED_SUBMISSIONS: usize = 256;
/// Minimum backoff before the next request for capacity.
const MIN_BACKOFF_MS: u64 = 30;
/// Upper bound of the jitter added to the minimum backoff.
const BACKOFF_JITTER_MS: u64 = 30;
/// Distributes the jitter evenly: the golden ratio as a fraction of 2^64.
const JITTER_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Identifies a submission that waits for capacity; chosen by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubmissionId(pub u64);

/// Outcome of a submission's wait for capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaOutcome {
    /// The submission is within the limit. The caller must pass it to the engine at once, in the order of the
    /// outcomes.
    Fits,
    /// The submission exceeds the route's limit, given the use of all groups: 429.
    OverQuota,
    /// No decision in time: 503.
    Unsure,
}

/// A submission whose wait has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResolvedSubmission {
    /// The submission.
    pub submission: SubmissionId,
    /// The outcome.
    pub outcome: QuotaOutcome,
}

/// Event counts of an account, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AccountCounters {
    /// Reports that were sent.
    pub reports: u64,
    /// Reports whose answer was lost or timed out.
    pub lost: u64,
    /// Ignored answers: to another report, or of another coordinator.
    pub ignored: u64,
    /// Submissions that were admitted.
    pub fits: u64,
    /// Submissions that were rejected as over quota.
    pub over_quota: u64,
    /// Submissions that timed out without a decision.
    pub unsure: u64,
    /// Acceptances after which the use exceeded the limit. Any is a bug.
    pub violations: u64,
}

/// A report whose answer is pending.
#[derive(Debug, Clone, Copy)]
struct PendingReport {
    id: ReportId,
    coordinator: CoordinatorId,
}

/// A submission that waits for capacity.
#[derive(Debug)]
struct WaitingSubmission {
    submission: SubmissionId,
    tokens: u64,
    since_ms: u64,
    until_ms: u64,
    /// Whether a report has included it.
    is_reported: bool,
}

/// Quota account of one group and route, for one incarnation of the group's primary.
#[derive(Debug)]
pub struct Account {
    group: u32,
    route: String,
    newest: ReportId,
    coordinator: CoordinatorId,
    max: u64,
    limit: u64,
    pending_report: Option<PendingReport>,
    sent_ms: u64,
    reported_used: u64,
    /// Whether the newest report was answered with [`Decision::Counted`].
    is_counted: bool,
    /// Whether the newest such answer reported contention.
    is_contended: bool,
    /// Time of an early report, for waiting submissions or a new coordinator.
    report_at_ms: Option<u64>,
    waiting: VecDeque<WaitingSubmission>,
    rejected_total: u64,
    counters: AccountCounters,
}

impl Account {
    /// Creates an account with a limit of 0. `coordinator_epoch` is the epoch of the route's home group, in a state of
    /// the core that includes `group_epoch` and was read after the start of this process. `session` is the number of
    /// the primary's start within its epoch.
    pub fn new(
        group: u32,
        group_epoch: u64,
        session: u64,
        route: String,
        coordinator_epoch: u64,
    ) -> Account {
        Account {
            group,
            route,
            newest: ReportId {
                group_epoch,
                session,
                sequence: 0,
            },
            coordinator: CoordinatorId {
                epoch: coordinator_epoch,
                session: 0,
            },
            max: 0,
            limit: 0,
            pending_report: None,
            sent_ms: 0,
            reported_used: 0,
            is_counted: false,
            is_contended: false,
            report_at_ms: Some(0),
            waiting: VecDeque::new(),
            rejected_total: 0,
            counters: AccountCounters::default(),
        }
    }

    /// Creates an account that replaces an earlier one of the same session, after the route's limit was removed from
    /// the configuration and added again. It continues the numbering of reports, because a coordinator that knows a
    /// report of the earlier account ignores all lower ones as late.
    pub fn following(earlier: &Account, coordinator_epoch: u64) -> Account {
        let ReportId {
            group_epoch,
            session,
            ..
        } = earlier.newest;
        let route = earlier.route.clone();
        let account = Account::new(
            earlier.group,
            group_epoch,
            session,
            route,
            coordinator_epoch,
        );
        Account {
            newest: earlier.newest,
            ..account
        }
    }

    /// Sets the route's configured limit; 0 means unlimited. After a change the account's limit is 0 until the
    /// coordinator has answered.
    pub fn set_max(&mut self, now_ms: u64, max: u64) {
        if self.max == max {
            return;
        }
        self.max = max;
        self.limit = 0;
        // The pending answer may be based on the earlier limit.
        self.pending_report = None;
        self.schedule_report(now_ms);
    }

    /// Sets the epoch of the route's home group from the core's state. An epoch below the known one is ignored.
    pub fn set_coordinator_epoch(&mut self, now_ms: u64, epoch: u64) {
        self.adopt(now_ms, CoordinatorId { epoch, session: 0 });
    }

    /// Tokens that the group may count; `None` means unlimited.
    pub fn limit(&self) -> Option<u64> {
        (self.max != 0).then_some(self.limit)
    }

    /// Whether a submission is within the limit while `used` tokens are in use.
    pub fn fits(&self, used: u64, tokens: u64) -> bool {
        self.limit()
            .is_none_or(|limit| used.saturating_add(tokens) <= limit)
    }

    /// Records that the engine accepted a submission; `used` is the use after it.
    pub fn record_accepted(&mut self, used: u64) {
        let is_exceeded = self.limit().is_some_and(|limit| used > limit);
        self.counters.violations += u64::from(is_exceeded);
    }

    /// Event counts so far.
    pub fn counters(&self) -> AccountCounters {
        self.counters
    }

    /// Adds a submission that waits for capacity.
    pub fn request(&mut self, now_ms: u64, submission: SubmissionId, tokens: u64) {
        let until_ms = now_ms.saturating_add(SUBMISSION_TIMEOUT_MS);
        self.waiting.push_back(WaitingSubmission {
            submission,
            tokens,
            since_ms: now_ms,
            until_ms,
            is_reported: false,
        });
        self.schedule_report(now_ms);
    }

    /// Removes a submission whose client has disconnected.
    pub fn withdraw(&mut self, submission: SubmissionId) {
        self.waiting
            .retain(|waiting| waiting.submission != submission);
    }

    /// Returns the next report if it is due, given the tokens in use. The limit falls to at most `used`.
    pub fn next_report(&mut self, now_ms: u64, used: u64) -> Option<QuotaReport> {
        if self.max == 0 {
            return None;
        }
        self.abandon_late_answer(now_ms);
        if self.pending_report.is_some() || now_ms < self.next_report_ms(used) {
            return None;
        }
        self.newest.sequence += 1;
        self.counters.reports += 1;
        // The limit is never raised here: a new primary may find more tokens than its coordinator has reserved for the
        // group.
        self.limit = self.limit.min(used);
        self.reported_used = used;
        self.sent_ms = now_ms;
        self.is_counted = false;
        self.report_at_ms = None;
        self.pending_report = Some(PendingReport {
            id: self.newest,
            coordinator: self.coordinator,
        });
        self.waiting
            .iter_mut()
            .take(MAX_REPORTED_SUBMISSIONS)
            .for_each(|waiting| waiting.is_reported = true);
        Some(self.report(used))
    }

    /// Handles the coordinator's answer, and returns the submissions that it resolves.
    pub fn on_grant(
        &mut self,
        now_ms: u64,
        used: u64,
        grant: &QuotaGrant,
    ) -> Vec<ResolvedSubmission> {
        let Some(pending_report) = self
            .pending_report
            .filter(|pending_report| pending_report.id == grant.report)
        else {
            self.counters.ignored += 1;
            return Vec::new();
        };
        self.pending_report = None;
        if grant.coordinator != pending_report.coordinator {
            self.counters.ignored += 1;
            self.schedule_retry(now_ms);
            self.adopt(now_ms, grant.coordinator);
            return Vec::new();
        }
        let Decision::Counted {
            limit,
            available,
            is_contended,
        } = grant.decision
        else {
            self.schedule_retry(now_ms);
            return Vec::new();
        };
        self.limit = limit;
        self.is_counted = true;
        self.is_contended = is_contended;
        let mut resolved = self.resolve_fitting(used);
        let taken = self.tokens_left_to(&resolved, available);
        resolved.extend(self.reject_exceeding(now_ms, taken));
        self.schedule_retry(now_ms);
        resolved.into_iter().map(|(resolved, _)| resolved).collect()
    }

    /// Handles the loss of the answer to a report.
    pub fn on_answer_lost(&mut self, now_ms: u64, report: ReportId) {
        if self
            .pending_report
            .is_some_and(|pending_report| pending_report.id == report)
        {
            self.pending_report = None;
            self.counters.lost += 1;
            self.schedule_retry(now_ms);
        }
    }

    /// Resolves the submissions that are now within the limit, and those that timed out.
    pub fn resolve_waiting(&mut self, now_ms: u64, used: u64) -> Vec<ResolvedSubmission> {
        let fitting = self
            .resolve_fitting(used)
            .into_iter()
            .map(|(resolved, _)| resolved);
        let mut resolved: Vec<ResolvedSubmission> = fitting.collect();
        let is_late = |waiting: &WaitingSubmission| now_ms >= waiting.until_ms;
        let late: Vec<SubmissionId> = self
            .waiting
            .iter()
            .filter(|waiting| is_late(waiting))
            .map(|waiting| waiting.submission)
            .collect();
        self.waiting.retain(|waiting| !is_late(waiting));
        self.counters.unsure += late.len() as u64;
        let unsure = |submission| ResolvedSubmission {
            submission,
            outcome: QuotaOutcome::Unsure,
        };
        resolved.extend(late.into_iter().map(unsure));
        resolved
    }

    /// Time at which [`Account::next_report`] or [`Account::resolve_waiting`] is next needed if no other input arrives
    /// before.
    pub fn next_due_ms(&self, used: u64) -> Option<u64> {
        let late_ms = self.waiting.iter().map(|waiting| waiting.until_ms).min();
        let report_ms = match self.pending_report {
            _ if self.max == 0 => None,
            Some(_) => Some(self.sent_ms.saturating_add(ANSWER_TIMEOUT_MS)),
            None => Some(self.next_report_ms(used)),
        };
        [late_ms, report_ms].into_iter().flatten().min()
    }

    /// Time of the next report, unless one is pending.
    fn next_report_ms(&self, used: u64) -> u64 {
        let is_active = !self.is_counted || self.limit > used || self.reported_used != used;
        let period_ms = match is_active {
            true if self.is_contended => CONTENDED_PERIOD_MS,
            true => ACTIVE_PERIOD_MS,
            false => IDLE_PERIOD_MS,
        };
        let periodic_ms = self.sent_ms.saturating_add(period_ms);
        self.report_at_ms
            .map_or(periodic_ms, |report_at_ms| report_at_ms.min(periodic_ms))
    }

    /// The newest report.
    fn report(&self, used: u64) -> QuotaReport {
        QuotaReport {
            coordinator: self.coordinator,
            route: self.route.clone(),
            group: self.group,
            id: self.newest,
            used,
            wanted: self
                .waiting
                .iter()
                .take(MAX_REPORTED_SUBMISSIONS)
                .map(|waiting| waiting.tokens)
                .collect(),
            rejected_total: self.rejected_total,
        }
    }

    fn abandon_late_answer(&mut self, now_ms: u64) {
        let is_late = now_ms >= self.sent_ms.saturating_add(ANSWER_TIMEOUT_MS);
        if let Some(pending_report) = self.pending_report.filter(|_| is_late) {
            self.on_answer_lost(now_ms, pending_report.id);
            // The time-out has served as the backoff.
            self.schedule_report(now_ms);
        }
    }

    /// Adopts a newer coordinator and stops waiting for an answer of the earlier one. A coordinator that is not newer
    /// is ignored.
    fn adopt(&mut self, now_ms: u64, coordinator: CoordinatorId) {
        if coordinator > self.coordinator {
            self.coordinator = coordinator;
            self.pending_report = None;
            self.schedule_report(now_ms);
        }
    }

    fn schedule_report(&mut self, now_ms: u64) {
        self.report_at_ms = Some(now_ms);
    }

    /// Schedules the next report after an answer or its loss: at once if a waiting submission was not included,
    /// otherwise after a backoff.
    fn schedule_retry(&mut self, now_ms: u64) {
        let is_reported = self.waiting.iter().all(|waiting| waiting.is_reported);
        let backoff_ms = if is_reported { self.backoff_ms() } else { 0 };
        let asks = !self.waiting.is_empty() || self.report_at_ms.is_some();
        self.report_at_ms = asks.then_some(now_ms.saturating_add(backoff_ms));
    }

    /// Backoff with a jitter that differs between groups and reports.
    fn backoff_ms(&self) -> u64 {
        let mixed =
            (self.newest.sequence + u64::from(self.group)).wrapping_mul(JITTER_MULTIPLIER) >> 32;
        MIN_BACKOFF_MS + mixed % BACKOFF_JITTER_MS
    }

    /// Removes the submissions that are within the limit, oldest first, and returns them with their tokens.
    fn resolve_fitting(&mut self, used: u64) -> Vec<(ResolvedSubmission, u64)> {
        let mut used = used;
        let mut resolved = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            if !self.fits(used, waiting.tokens) {
                self.waiting.push_back(waiting);
                continue;
            }
            used = used.saturating_add(waiting.tokens);
            self.counters.fits += 1;
            let fits = ResolvedSubmission {
                submission: waiting.submission,
                outcome: QuotaOutcome::Fits,
            };
            resolved.push((fits, waiting.tokens));
        }
        resolved
    }

    /// Available tokens that remain after the submissions that were just admitted.
    fn tokens_left_to(&self, resolved: &[(ResolvedSubmission, u64)], available: u64) -> u64 {
        resolved
            .iter()
            .fold(available, |left, (_, tokens)| left.saturating_sub(*tokens))
    }

    /// Removes the submissions that were reported to the coordinator and exceed the available tokens, and returns them
    /// with their tokens.
    fn reject_exceeding(&mut self, now_ms: u64, available: u64) -> Vec<(ResolvedSubmission, u64)> {
        let mut resolved = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let is_young = now_ms < waiting.since_ms.saturating_add(MIN_REJECTION_DELAY_MS);
            let may_yet_fit = is_young && waiting.tokens <= self.max;
            if !waiting.is_reported || may_yet_fit || waiting.tokens <= available {
                self.waiting.push_back(waiting);
                continue;
            }
            self.rejected_total = self.rejected_total.saturating_add(waiting.tokens);
            self.counters.over_quota += 1;
            let refused = ResolvedSubmission {
                submission: waiting.submission,
                outcome: QuotaOutcome::OverQuota,
            };
            resolved.push((refused, waiting.tokens));
        }
        resolved
    }
}
