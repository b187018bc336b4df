//! A group's quota for the limits of waiting tokens that all groups share (`alderhollow_batch::quota`): an account for each
//! limited route while this store leads the group, the submissions that wait for quota, and the coordinator of the routes
//! whose home group this is.
//!
//! With a single group there are no accounts: its engine enforces the routes' limits. With several groups, an engine has a
//! limit of 0 for each limited route until the account of its session has received a grant.

use super::waiting::Waiting;
use crate::invariant::{self, Invariant};
use alderhollow_batch::api::{
    JobOffer, OfferOutcome, Outcome, ReadOutcome, RouteTerms, SubmissionAttemptId, SubmitOutcome,
};
use alderhollow_batch::engine::Engine;
use alderhollow_batch::job::{JobId, NewJob};
use alderhollow_batch::quota::{
    home_group, Account, Coordinator, CoordinatorId, QuotaGrant, QuotaOutcome, QuotaReading,
    QuotaReport, ReportId, ResolvedSubmission, SubmissionId,
};
use alderhollow_batch::records::SessionId;
use alderhollow_model::snapshot::{ControlView, GroupId};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// Limit of the bytes of submissions that wait for quota at one group; further ones are not queued. Each waits for a
/// fraction of a second.
const MAX_WAITING_BYTES: usize = 8 << 20;
/// Bytes that a waiting offer counts towards [`MAX_WAITING_BYTES`]: it has no body, but takes a queue entry.
const OFFER_COST_BYTES: usize = 1 << 10;

/// Receives the outcome of a pending operation.
pub type End = Option<oneshot::Receiver<Outcome>>;

/// The engine's response to a submission.
#[derive(Debug)]
pub struct SubmitResponse {
    /// The immediate result.
    pub submitted: SubmitOutcome,
    /// Receives the final outcome if the acceptance is pending.
    pub end: End,
}

impl SubmitResponse {
    fn without_outcome(submitted: SubmitOutcome) -> SubmitResponse {
        SubmitResponse {
            submitted,
            end: None,
        }
    }
}

/// Submits a batch job to an engine.
pub fn submit_now(
    engine: &mut Engine,
    now_ms: u64,
    waiting: &Waiting,
    attempt_id: SubmissionAttemptId,
    job: NewJob,
) -> SubmitResponse {
    let submitted = engine.submit(now_ms, attempt_id, job);
    let end = match submitted {
        SubmitOutcome::Pending(token) => Some(waiting.wait_for_outcome(token)),
        _ => None,
    };
    SubmitResponse { submitted, end }
}

/// A submission that waits for quota.
#[derive(Debug)]
enum WaitingSubmission {
    /// A batch job whose body was received.
    Job(WaitingJob),
    /// A batch job that the gateway offers without its body.
    Offer(WaitingOffer),
}

/// A batch job that waits for quota.
#[derive(Debug)]
struct WaitingJob {
    attempt_id: SubmissionAttemptId,
    job: NewJob,
    /// Approximate size of the job.
    bytes: usize,
    answer: oneshot::Sender<SubmitResponse>,
}

/// An offer that waits for quota.
#[derive(Debug)]
struct WaitingOffer {
    attempt_id: SubmissionAttemptId,
    job: JobId,
    route: String,
    tokens: u64,
    answer: oneshot::Sender<OfferOutcome>,
}

/// The account of one route, with its waiting submissions.
#[derive(Debug)]
struct RouteAccount {
    account: Account,
    submissions: BTreeMap<SubmissionId, WaitingSubmission>,
    reading: Option<ReceivedReading>,
}

/// A reading from a coordinator, with the time at which it arrived.
#[derive(Debug, Clone, Copy)]
struct ReceivedReading {
    reading: QuotaReading,
    received_ms: u64,
}

/// A queued submission.
#[derive(Debug)]
pub struct QueuedSubmission<T> {
    /// Identifies the submission within its group.
    pub id: SubmissionId,
    /// Receives the engine's response.
    pub answer: oneshot::Receiver<T>,
}

/// The accounts and the coordinator of one group.
#[derive(Debug, Default)]
pub struct GroupQuota {
    session: Cell<Option<SessionId>>,
    accounts: RefCell<BTreeMap<String, RouteAccount>>,
    /// Accounts of this session whose routes no longer have a limit; see [`Account::following`].
    closed: RefCell<BTreeMap<String, Account>>,
    coordinator: RefCell<Option<Coordinator>>,
    last_submission_id: Cell<u64>,
}

impl RouteAccount {
    /// Approximate size of the waiting submissions.
    fn waiting_bytes(&self) -> usize {
        self.submissions
            .values()
            .map(WaitingSubmission::bytes)
            .sum()
    }
}

impl GroupQuota {
    /// Applies newer tables, after the engine has. Ends the accounts of an earlier session of the engine.
    pub(super) fn apply_tables(
        &self,
        now_ms: u64,
        engine: &mut Engine,
        group: GroupId,
        control: &ControlView,
        routes: &BTreeMap<String, RouteTerms>,
    ) {
        if !shares_limits(control) {
            return;
        }
        let session = engine.session();
        if self.session.replace(session) != session {
            self.end_session();
        }
        self.close_unlimited_routes(routes);
        self.update_accounts(now_ms, control, routes);
        for (route, terms) in routes {
            self.update_engine_limit(engine, route, terms);
        }
        self.open_accounts(now_ms, engine, group, control, routes);
    }

    /// Opens missing accounts once the group is active: its usage is known from then on.
    pub(super) fn open_accounts(
        &self,
        now_ms: u64,
        engine: &mut Engine,
        group: GroupId,
        control: &ControlView,
        routes: &BTreeMap<String, RouteTerms>,
    ) {
        let Some(session) = engine
            .session()
            .filter(|session| Some(*session) == self.session.get())
        else {
            return;
        };
        let is_in_tables = control
            .group(group)
            .is_some_and(|group| group.epoch == session.epoch);
        if !is_in_tables || !engine.status(now_ms).active {
            return;
        }
        let mut accounts = self.accounts.borrow_mut();
        for (route, terms) in routes
            .iter()
            .filter(|(_, terms)| terms.max_queued_tokens != 0)
        {
            if accounts.contains_key(route) {
                continue;
            }
            let Some(home_epoch) = home_epoch(control, route) else {
                continue;
            };
            let mut account = match self.closed.borrow_mut().remove(route) {
                Some(earlier) => Account::following(&earlier, home_epoch),
                None => Account::new(
                    group.0,
                    session.epoch,
                    session.session,
                    route.clone(),
                    home_epoch,
                ),
            };
            account.set_max(now_ms, terms.max_queued_tokens);
            engine.set_quota_limit(route, account.limit());
            let account = RouteAccount {
                account,
                submissions: BTreeMap::new(),
                reading: None,
            };
            accounts.insert(route.clone(), account);
        }
    }

    /// Whether the accounts belong to the engine's current session as the primary.
    pub(super) fn matches_session(&self, engine: &Engine) -> bool {
        engine
            .session()
            .is_some_and(|session| Some(session) == self.session.get())
    }

    /// Whether no account is open.
    pub(super) fn is_idle(&self) -> bool {
        self.accounts.borrow().is_empty()
    }

    /// Whether any submission waits for quota.
    pub(super) fn has_waiting(&self) -> bool {
        self.accounts
            .borrow()
            .values()
            .any(|account| !account.submissions.is_empty())
    }

    /// Whether a batch job must wait until its route's account has enough quota.
    pub(super) fn must_wait(&self, engine: &Engine, now_ms: u64, job: &NewJob) -> bool {
        let is_new = matches!(
            engine.read(now_ms, &job.id, u32::MAX, 0),
            ReadOutcome::NotFound
        );
        let has_account = self.accounts.borrow().contains_key(&job.route);
        has_account && is_new && !engine.would_fit(&job.route, job.tokens())
    }

    /// Queues a batch job for quota. Returns `None` if its route no longer has an account or the queue is full.
    pub(super) fn queue_job(
        &self,
        now_ms: u64,
        attempt_id: SubmissionAttemptId,
        job: NewJob,
    ) -> Option<QueuedSubmission<SubmitResponse>> {
        let (sender, answer) = oneshot::channel();
        let (route, tokens, bytes) = (job.route.clone(), job.tokens(), job.approximate_bytes());
        let waiting = WaitingSubmission::Job(WaitingJob {
            attempt_id,
            job,
            bytes,
            answer: sender,
        });
        let id = self.enqueue(now_ms, &route, tokens, waiting)?;
        Some(QueuedSubmission { id, answer })
    }

    /// Queues an offer for quota, like [`GroupQuota::queue_job`]. No quota is reserved for an offer that fits: the job that
    /// follows it either fits or waits again.
    pub(super) fn queue_offer(
        &self,
        now_ms: u64,
        attempt_id: SubmissionAttemptId,
        offer: &JobOffer,
    ) -> Option<QueuedSubmission<OfferOutcome>> {
        let (sender, answer) = oneshot::channel();
        let waiting = WaitingSubmission::Offer(WaitingOffer {
            attempt_id,
            job: offer.id.clone(),
            route: offer.route.to_owned(),
            tokens: offer.tokens,
            answer: sender,
        });
        let id = self.enqueue(now_ms, offer.route, offer.tokens, waiting)?;
        Some(QueuedSubmission { id, answer })
    }

    /// Queues a submission. Returns `None` if its route has no account or the queue is full.
    fn enqueue(
        &self,
        now_ms: u64,
        route: &str,
        tokens: u64,
        waiting: WaitingSubmission,
    ) -> Option<SubmissionId> {
        let mut accounts = self.accounts.borrow_mut();
        let waiting_bytes: usize = accounts.values().map(RouteAccount::waiting_bytes).sum();
        if waiting_bytes >= MAX_WAITING_BYTES {
            return None;
        }
        let account = accounts.get_mut(route)?;
        let id = SubmissionId(self.last_submission_id.get() + 1);
        self.last_submission_id.set(id.0);
        account.account.request(now_ms, id, tokens);
        account.submissions.insert(id, waiting);
        Some(id)
    }

    /// Records that the engine accepted a batch job without a wait.
    pub(super) fn record_accepted_job(&self, engine: &Engine, route: &str) {
        if let Some(account) = self.accounts.borrow_mut().get_mut(route) {
            account.record_accepted_job(engine, route);
        }
    }

    /// Removes a submission that was answered or whose client has disconnected.
    pub(super) fn withdraw(&self, route: &str, id: SubmissionId) {
        if let Some(account) = self.accounts.borrow_mut().get_mut(route) {
            account.account.withdraw(id);
            account.submissions.remove(&id);
        }
    }

    /// Resolves waiting submissions where possible and returns the reports that are due.
    pub(super) fn advance(
        &self,
        now_ms: u64,
        engine: &mut Engine,
        waiting: &Waiting,
    ) -> Vec<QuotaReport> {
        let mut reports = Vec::new();
        for (route, account) in self.accounts.borrow_mut().iter_mut() {
            let resolved = account
                .account
                .resolve_waiting(now_ms, engine.waiting_tokens(route));
            account.apply_resolved(now_ms, engine, waiting, route, resolved);
            reports.extend(
                account
                    .account
                    .next_report(now_ms, engine.waiting_tokens(route)),
            );
            engine.set_quota_limit(route, account.account.limit());
        }
        reports
    }

    /// Handles a coordinator's grant.
    pub(super) fn on_grant_received(
        &self,
        now_ms: u64,
        engine: &mut Engine,
        waiting: &Waiting,
        route: &str,
        grant: &QuotaGrant,
    ) {
        let mut accounts = self.accounts.borrow_mut();
        let Some(account) = accounts.get_mut(route) else {
            return;
        };
        let resolved = account
            .account
            .on_grant(now_ms, engine.waiting_tokens(route), grant);
        account.apply_resolved(now_ms, engine, waiting, route, resolved);
        let received = grant.reading.map(|reading| ReceivedReading {
            reading,
            received_ms: now_ms,
        });
        account.reading = received.or(account.reading);
    }

    /// Handles the loss of a report or of its answer.
    pub(super) fn on_answer_lost(&self, now_ms: u64, route: &str, report: ReportId) {
        if let Some(account) = self.accounts.borrow_mut().get_mut(route) {
            account.account.on_answer_lost(now_ms, report);
        }
    }

    /// Time at which [`GroupQuota::advance`] is due next.
    pub(super) fn next_due_ms(&self, engine: &Engine) -> Option<u64> {
        let accounts = self.accounts.borrow();
        let due = accounts.iter().filter_map(|(route, account)| {
            account.account.next_due_ms(engine.waiting_tokens(route))
        });
        due.min()
    }

    /// Returns the newest reading of a route's waiting tokens.
    pub(super) fn reading(&self, now_ms: u64, route: &str) -> Option<QuotaReading> {
        let ReceivedReading {
            reading,
            received_ms,
        } = self.accounts.borrow().get(route)?.reading?;
        Some(QuotaReading {
            age_ms: reading.age_ms + now_ms.saturating_sub(received_ms),
            ..reading
        })
    }

    /// Answers a report as the coordinator of a route whose home group this is. Must be called only while the engine is a
    /// validated primary.
    pub(super) fn handle_report(
        &self,
        now_ms: u64,
        session: SessionId,
        control: &ControlView,
        max: u64,
        report: &QuotaReport,
    ) -> QuotaGrant {
        let id = CoordinatorId {
            epoch: session.epoch,
            session: session.session,
        };
        let mut coordinator = self.coordinator.borrow_mut();
        let existing = coordinator.take().filter(|existing| existing.id() == id);
        let epochs = || control.groups.iter().map(|group| group.epoch).collect();
        let current =
            coordinator.insert(existing.unwrap_or_else(|| Coordinator::new(id, epochs())));
        let before = current.counters().violations;
        let grant = current.report(now_ms, max, report);
        let holds = current.counters().violations == before;
        invariant::check(Invariant::QuotaGrantsWithinLimit, holds, || {
            format!(
                "grants on route {} exceed its limit of {max}, after the report of group {}",
                report.route, report.group
            )
        });
        grant
    }

    /// Ends the current session: its waiting submissions are answered as not sure.
    pub(super) fn end_session(&self) {
        self.coordinator.replace(None);
        self.closed.take();
        for account in self.accounts.take().into_values() {
            account
                .submissions
                .into_values()
                .for_each(WaitingSubmission::resolve_not_sure);
        }
    }

    fn close_unlimited_routes(&self, routes: &BTreeMap<String, RouteTerms>) {
        let is_limited = |route: &str| {
            routes
                .get(route)
                .is_some_and(|terms| terms.max_queued_tokens != 0)
        };
        if let Some(coordinator) = self.coordinator.borrow_mut().as_mut() {
            coordinator.retain_routes(is_limited);
        }
        let mut accounts = self.accounts.borrow_mut();
        let unlimited: Vec<String> = accounts
            .keys()
            .filter(|route| !is_limited(route))
            .cloned()
            .collect();
        for route in unlimited {
            let Some(RouteAccount {
                account,
                submissions,
                ..
            }) = accounts.remove(&route)
            else {
                continue;
            };
            submissions
                .into_values()
                .for_each(WaitingSubmission::resolve_not_sure);
            self.closed.borrow_mut().insert(route, account);
        }
    }

    /// Updates the accounts with the routes' limits and the coordinators' epochs.
    fn update_accounts(
        &self,
        now_ms: u64,
        control: &ControlView,
        routes: &BTreeMap<String, RouteTerms>,
    ) {
        for (route, account) in self.accounts.borrow_mut().iter_mut() {
            if let Some(terms) = routes.get(route) {
                account.account.set_max(now_ms, terms.max_queued_tokens);
            }
            if let Some(epoch) = home_epoch(control, route) {
                account.account.set_coordinator_epoch(now_ms, epoch);
            }
        }
    }

    /// Sets the engine's limit for a route: 0 for a limited route without an account.
    fn update_engine_limit(&self, engine: &mut Engine, route: &str, terms: &RouteTerms) {
        let accounts = self.accounts.borrow();
        let is_limited = terms.max_queued_tokens != 0;
        let limit = accounts
            .get(route)
            .map_or(is_limited.then_some(0), |account| account.account.limit());
        engine.set_quota_limit(route, limit);
    }
}

impl RouteAccount {
    /// Records that the engine accepted a batch job.
    fn record_accepted_job(&mut self, engine: &Engine, route: &str) {
        let used = engine.waiting_tokens(route);
        let before = self.account.counters().violations;
        self.account.record_accepted(used);
        let holds = self.account.counters().violations == before;
        invariant::check(Invariant::QuotaUseWithinGrant, holds, || {
            format!(
                "{used} tokens wait on route {route}, over this group's limit of {:?}",
                self.account.limit()
            )
        });
    }

    /// Applies the outcomes of resolved submissions, in order.
    fn apply_resolved(
        &mut self,
        now_ms: u64,
        engine: &mut Engine,
        waiting: &Waiting,
        route: &str,
        resolved: Vec<ResolvedSubmission>,
    ) {
        engine.set_quota_limit(route, self.account.limit());
        for ResolvedSubmission {
            submission,
            outcome,
        } in resolved
        {
            let Some(submission) = self.submissions.remove(&submission) else {
                continue;
            };
            let used_before = engine.waiting_tokens(route);
            match submission {
                WaitingSubmission::Job(job) => job.resolve(now_ms, engine, waiting, outcome),
                WaitingSubmission::Offer(offer) => offer.resolve(now_ms, engine, outcome),
            }
            if engine.waiting_tokens(route) > used_before {
                self.record_accepted_job(engine, route);
            }
        }
    }
}

// Send errors are ignored below: the receiver is gone when the client has disconnected.
impl WaitingSubmission {
    /// Bytes that count towards [`MAX_WAITING_BYTES`].
    fn bytes(&self) -> usize {
        match self {
            WaitingSubmission::Job(job) => job.bytes,
            WaitingSubmission::Offer(_) => OFFER_COST_BYTES,
        }
    }

    /// Answers that the outcome is not sure.
    fn resolve_not_sure(self) {
        match self {
            WaitingSubmission::Job(job) => {
                let _ = job
                    .answer
                    .send(SubmitResponse::without_outcome(SubmitOutcome::NotSure));
            }
            WaitingSubmission::Offer(offer) => {
                let _ = offer.answer.send(OfferOutcome::NotSure);
            }
        }
    }
}

impl WaitingJob {
    fn resolve(self, now_ms: u64, engine: &mut Engine, waiting: &Waiting, outcome: QuotaOutcome) {
        let WaitingJob {
            attempt_id,
            job,
            answer,
            ..
        } = self;
        let response = match outcome {
            QuotaOutcome::Fits => submit_now(engine, now_ms, waiting, attempt_id, job),
            QuotaOutcome::OverQuota => {
                SubmitResponse::without_outcome(engine.reject(now_ms, attempt_id, &job))
            }
            QuotaOutcome::Unsure => SubmitResponse::without_outcome(SubmitOutcome::NotSure),
        };
        let _ = answer.send(response);
    }
}

impl WaitingOffer {
    fn resolve(self, now_ms: u64, engine: &mut Engine, outcome: QuotaOutcome) {
        let offer = JobOffer {
            id: &self.job,
            route: &self.route,
            tokens: self.tokens,
        };
        let response = match outcome {
            QuotaOutcome::Fits => engine.offer(now_ms, self.attempt_id, &offer),
            QuotaOutcome::OverQuota => engine.reject_offer(now_ms, self.attempt_id, &offer),
            QuotaOutcome::Unsure => OfferOutcome::NotSure,
        };
        let _ = self.answer.send(response);
    }
}

/// Whether the routes' limits are shared between several groups.
pub(super) fn shares_limits(control: &ControlView) -> bool {
    control.groups.len() > 1
}

/// Returns a route's home group, whose primary coordinates the route's limit.
pub(super) fn home_group_of(control: &ControlView, route: &str) -> GroupId {
    let count = u32::try_from(control.groups.len()).unwrap_or(u32::MAX);
    GroupId(home_group(route, count))
}

/// Returns the epoch of a route's home group.
fn home_epoch(control: &ControlView, route: &str) -> Option<u64> {
    Some(control.group(home_group_of(control, route))?.epoch)
}

#[cfg(test)]
mod tests;
