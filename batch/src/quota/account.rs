//! A group's account of one route: the limit under which its primary counts tokens, and the submissions that wait for
//! room.

use super::message::{CoordinatorId, Decision, QuotaGrant, QuotaReport, ReportId};
use std::collections::VecDeque;

/// Between reports while something is granted and unused or has changed, or no coordinator is sure.
pub const ACTIVE_PERIOD_MS: u64 = 250;
/// The same, while there is contention: others wait for what is unused.
pub const CONTENDED_PERIOD_MS: u64 = 30;
/// Between reports while nothing changes.
pub const IDLE_PERIOD_MS: u64 = 1_000;
/// A report that has no answer for so long is given up.
pub const ANSWER_TIMEOUT_MS: u64 = 300;
/// A submission waits for room so long at most. A gateway waits longer for its answer.
pub const SUBMISSION_TIMEOUT_MS: u64 = 600;
/// A submission that may ever fit is refused after so long at least: by then the other groups have reported what ended there before.
pub const REFUSAL_PAUSE_MS: u64 = 300;
/// Most submissions that one report names.
const MAX_REPORTED_SUBMISSIONS: usize = 256;
/// Shortest pause before room is asked for again.
const MIN_BACKOFF_MS: u64 = 30;
/// Pauses are longer than the shortest by less than this.
const BACKOFF_JITTER_MS: u64 = 30;
/// Spreads pauses over the whole range: the golden ratio as a fraction of 2^64.
const JITTER_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Names a submission that waits for room. The caller draws it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubmissionId(pub u64);

/// What a submission's wait for room came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaOutcome {
    /// It fits the limit: the caller hands it to the engine at once, in the order of the outcomes.
    Fits,
    /// It does not fit what all groups use together: 429.
    OverQuota,
    /// It can't be told in time: 503.
    Unsure,
}

/// The end of a submission's wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResolvedSubmission {
    /// The submission.
    pub submission: SubmissionId,
    /// What it came to.
    pub outcome: QuotaOutcome,
}

/// What an account has done, for publication.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AccountCounters {
    /// Reports that were sent.
    pub reports: u64,
    /// Reports that were given up without an answer.
    pub lost: u64,
    /// Answers that were put aside: to another report, or of another coordinator.
    pub ignored: u64,
    /// Submissions that were resolved as fitting.
    pub fits: u64,
    /// Submissions that were refused.
    pub over_quota: u64,
    /// Submissions that could not be told in time.
    pub unsure: u64,
    /// Accepts after which more was used than the limit. Any is a fault of the program.
    pub violations: u64,
}

/// A report whose answer is awaited.
#[derive(Debug, Clone, Copy)]
struct UnderWay {
    id: ReportId,
    coordinator: CoordinatorId,
}

/// A submission that waits for room.
#[derive(Debug)]
struct Waiting {
    submission: SubmissionId,
    tokens: u64,
    since_ms: u64,
    until_ms: u64,
    /// Whether a report has named it.
    is_reported: bool,
}

/// The account of one group and route, for one incarnation of the group's primary.
#[derive(Debug)]
pub struct Account {
    group: u32,
    route: String,
    newest: ReportId,
    coordinator: CoordinatorId,
    max: u64,
    limit: u64,
    under_way: Option<UnderWay>,
    sent_ms: u64,
    reported_used: u64,
    /// Whether the newest report was answered by a coordinator that has counted all groups.
    is_counted: bool,
    /// Whether the newest of those answers told of contention.
    is_contended: bool,
    /// When to report for the sake of submissions, or of a new coordinator.
    report_at_ms: Option<u64>,
    waiting: VecDeque<Waiting>,
    refused_total: u64,
    counters: AccountCounters,
}

impl Account {
    /// An account with a limit of 0. `coordinator_epoch` is the epoch of the route's home group, in a state of the core
    /// that contains `group_epoch` and was read after the start of this process. `session` counts the primary's starts
    /// within its epoch.
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
            under_way: None,
            sent_ms: 0,
            reported_used: 0,
            is_counted: false,
            is_contended: false,
            report_at_ms: Some(0),
            waiting: VecDeque::new(),
            refused_total: 0,
            counters: AccountCounters::default(),
        }
    }

    /// An account in the place of one that ended within the same session, as its route's limit was taken out of the
    /// configuration and came back. It goes on counting reports: a coordinator that still knows a report of the earlier
    /// account would put all lower ones aside as late.
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

    /// The route's limit in the configuration; 0 is no limit. After a change, nothing fits until the coordinator has
    /// answered.
    pub fn set_max(&mut self, now_ms: u64, max: u64) {
        if self.max == max {
            return;
        }
        self.max = max;
        self.limit = 0;
        // Its answer may be by the earlier limit.
        self.under_way = None;
        self.schedule_report(now_ms);
    }

    /// The epoch of the route's home group, as the core's state says. Lower ones than known are ignored.
    pub fn set_coordinator_epoch(&mut self, now_ms: u64, epoch: u64) {
        self.adopt(now_ms, CoordinatorId { epoch, session: 0 });
    }

    /// Tokens that the group may count; `None`: no limit.
    pub fn limit(&self) -> Option<u64> {
        (self.max != 0).then_some(self.limit)
    }

    /// Whether a submission fits at once, where so many tokens are used.
    pub fn fits(&self, used: u64, tokens: u64) -> bool {
        self.limit()
            .is_none_or(|limit| used.saturating_add(tokens) <= limit)
    }

    /// The engine has accepted a submission; so much is used now.
    pub fn record_accepted(&mut self, used: u64) {
        let is_exceeded = self.limit().is_some_and(|limit| used > limit);
        self.counters.violations += u64::from(is_exceeded);
    }

    /// What it has done so far.
    pub fn counters(&self) -> AccountCounters {
        self.counters
    }

    /// A submission waits for room.
    pub fn request(&mut self, now_ms: u64, submission: SubmissionId, tokens: u64) {
        let until_ms = now_ms.saturating_add(SUBMISSION_TIMEOUT_MS);
        self.waiting.push_back(Waiting {
            submission,
            tokens,
            since_ms: now_ms,
            until_ms,
            is_reported: false,
        });
        self.schedule_report(now_ms);
    }

    /// The client of a submission has gone.
    pub fn withdraw(&mut self, submission: SubmissionId) {
        self.waiting
            .retain(|waiting| waiting.submission != submission);
    }

    /// The report that is due, where so many tokens are used. From its sending on the limit is
    /// at most what is used.
    pub fn next_report(&mut self, now_ms: u64, used: u64) -> Option<QuotaReport> {
        if self.max == 0 {
            return None;
        }
        self.abandon_late_answer(now_ms);
        if self.under_way.is_some() || now_ms < self.next_report_ms(used) {
            return None;
        }
        self.newest.sequence += 1;
        self.counters.reports += 1;
        // Never raised here: what a successor finds may be more than its coordinator keeps for the group.
        self.limit = self.limit.min(used);
        self.reported_used = used;
        self.sent_ms = now_ms;
        self.is_counted = false;
        self.report_at_ms = None;
        self.under_way = Some(UnderWay {
            id: self.newest,
            coordinator: self.coordinator,
        });
        self.waiting
            .iter_mut()
            .take(MAX_REPORTED_SUBMISSIONS)
            .for_each(|waiting| waiting.is_reported = true);
        Some(self.report(used))
    }

    /// Takes the coordinator's answer, and settles the submissions that it decides.
    pub fn on_grant(
        &mut self,
        now_ms: u64,
        used: u64,
        grant: &QuotaGrant,
    ) -> Vec<ResolvedSubmission> {
        let Some(under_way) = self
            .under_way
            .filter(|under_way| under_way.id == grant.report)
        else {
            self.counters.ignored += 1;
            return Vec::new();
        };
        self.under_way = None;
        if grant.coordinator != under_way.coordinator {
            self.counters.ignored += 1;
            self.pause(now_ms);
            self.adopt(now_ms, grant.coordinator);
            return Vec::new();
        }
        let Decision::Counted {
            limit,
            available,
            is_contended,
        } = grant.decision
        else {
            self.pause(now_ms);
            return Vec::new();
        };
        self.limit = limit;
        self.is_counted = true;
        self.is_contended = is_contended;
        let mut resolved = self.resolve_fitting(used);
        let taken = self.tokens_left_to(&resolved, available);
        resolved.extend(self.reject_exceeding(now_ms, taken));
        self.pause(now_ms);
        resolved.into_iter().map(|(resolved, _)| resolved).collect()
    }

    /// The answer to a report won't come.
    pub fn on_answer_lost(&mut self, now_ms: u64, report: ReportId) {
        if self
            .under_way
            .is_some_and(|under_way| under_way.id == report)
        {
            self.under_way = None;
            self.counters.lost += 1;
            self.pause(now_ms);
        }
    }

    /// Settles the submissions that fit as tokens have become free, and those that have waited too long.
    pub fn resolve_waiting(&mut self, now_ms: u64, used: u64) -> Vec<ResolvedSubmission> {
        let fitting = self
            .resolve_fitting(used)
            .into_iter()
            .map(|(resolved, _)| resolved);
        let mut resolved: Vec<ResolvedSubmission> = fitting.collect();
        let is_late = |waiting: &Waiting| now_ms >= waiting.until_ms;
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

    /// When [`Account::next_report`] or [`Account::resolve_waiting`] has something to do, if nothing else happens before.
    pub fn next_due_ms(&self, used: u64) -> Option<u64> {
        let late_ms = self.waiting.iter().map(|waiting| waiting.until_ms).min();
        let report_ms = match self.under_way {
            _ if self.max == 0 => None,
            Some(_) => Some(self.sent_ms.saturating_add(ANSWER_TIMEOUT_MS)),
            None => Some(self.next_report_ms(used)),
        };
        [late_ms, report_ms].into_iter().flatten().min()
    }

    /// When the next report is due, unless one is under way.
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
            refused_total: self.refused_total,
        }
    }

    fn abandon_late_answer(&mut self, now_ms: u64) {
        let is_late = now_ms >= self.sent_ms.saturating_add(ANSWER_TIMEOUT_MS);
        if let Some(under_way) = self.under_way.filter(|_| is_late) {
            self.on_answer_lost(now_ms, under_way.id);
            // The wait was a pause already.
            self.schedule_report(now_ms);
        }
    }

    /// Learns of a coordinator; one that is not newer than the known one changes nothing. An answer of the earlier one is
    /// not waited for.
    fn adopt(&mut self, now_ms: u64, coordinator: CoordinatorId) {
        if coordinator > self.coordinator {
            self.coordinator = coordinator;
            self.under_way = None;
            self.schedule_report(now_ms);
        }
    }

    fn schedule_report(&mut self, now_ms: u64) {
        self.report_at_ms = Some(now_ms);
    }

    /// After the end of a report: submissions that it did not name are asked for at once, the others after a pause.
    fn pause(&mut self, now_ms: u64) {
        let is_reported = self.waiting.iter().all(|waiting| waiting.is_reported);
        let pause_ms = if is_reported { self.pause_ms() } else { 0 };
        let asks = !self.waiting.is_empty() || self.report_at_ms.is_some();
        self.report_at_ms = asks.then_some(now_ms.saturating_add(pause_ms));
    }

    /// A pause that differs between groups and reports.
    fn pause_ms(&self) -> u64 {
        let mixed =
            (self.newest.sequence + u64::from(self.group)).wrapping_mul(JITTER_MULTIPLIER) >> 32;
        MIN_BACKOFF_MS + mixed % BACKOFF_JITTER_MS
    }

    /// Takes the submissions out that fit the limit, oldest first, with their tokens.
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

    /// What is left of the room after the submissions that were just found to fit.
    fn tokens_left_to(&self, resolved: &[(ResolvedSubmission, u64)], available: u64) -> u64 {
        resolved
            .iter()
            .fold(available, |left, (_, tokens)| left.saturating_sub(*tokens))
    }

    /// Takes the submissions out that the coordinator was asked about and that exceed the room.
    fn reject_exceeding(&mut self, now_ms: u64, available: u64) -> Vec<(ResolvedSubmission, u64)> {
        let mut resolved = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let is_young = now_ms < waiting.since_ms.saturating_add(REFUSAL_PAUSE_MS);
            let may_yet_fit = is_young && waiting.tokens <= self.max;
            if !waiting.is_reported || may_yet_fit || waiting.tokens <= available {
                self.waiting.push_back(waiting);
                continue;
            }
            self.refused_total = self.refused_total.saturating_add(waiting.tokens);
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
