//! Exchanges quota reports and grants for the shared limits of waiting tokens between stores, over the internal network.

use super::group_engine::GroupEngine;
use super::group_quota::{home_group_of, shares_limits, SubmitResponse};
use super::node::StoreNode;
use crate::batch_protocol::{StoreAnswer, StoreCall, StoreReply};
use crate::internal::ServiceId;
use alderhollow_batch::api::{JobOffer, OfferOutcome, SubmissionAttemptId, SubmitOutcome};
use alderhollow_batch::job::NewJob;
use alderhollow_batch::quota::account::ANSWER_TIMEOUT_MS;
use alderhollow_batch::quota::{QuotaGrant, QuotaReport, SubmissionId};
use alderhollow_model::snapshot::GroupMember;
use std::rc::Rc;
use std::time::Duration;

/// Time after which a report without an answer counts as lost.
const GRANT_TIMEOUT: Duration = Duration::from_millis(ANSWER_TIMEOUT_MS);

/// Removes a queued submission when it was answered or its client has disconnected.
struct QueueGuard<'a> {
    group: &'a GroupEngine,
    route: String,
    id: SubmissionId,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.group.quota.withdraw(&self.route, self.id);
    }
}

impl StoreNode {
    /// Whether the routes' limits are shared between several groups.
    pub(super) fn shares_quota(&self) -> bool {
        shares_limits(&self.control.borrow())
    }

    /// Whether a batch job must wait for quota in its route's account.
    pub(super) fn must_wait_for_quota(
        self: &Rc<Self>,
        group: &Rc<GroupEngine>,
        job: &NewJob,
    ) -> bool {
        if !self.shares_quota() {
            return false;
        }
        self.advance_quota(group);
        self.read_group(group, |engine, now_ms| {
            group.quota.must_wait(engine, now_ms, job)
        })
    }

    /// Submits a batch job once there is quota for it, or rejects it when there certainly is none.
    pub(super) async fn submit_with_quota(
        self: &Rc<Self>,
        group: &Rc<GroupEngine>,
        attempt_id: SubmissionAttemptId,
        job: NewJob,
    ) -> SubmitResponse {
        let unsure = SubmitResponse {
            submitted: SubmitOutcome::NotSure,
            end: None,
        };
        let route = job.route.clone();
        let Some(queued) = group.quota.queue_job(self.clock.now_ms(), attempt_id, job) else {
            return unsure;
        };
        let _guard = QueueGuard {
            group,
            route,
            id: queued.id,
        };
        self.advance_quota(group);
        queued.answer.await.unwrap_or(unsure)
    }

    /// Answers whether a batch job would be accepted. An offer over the group's limit waits for quota from its route's
    /// account, without the job's body.
    pub(super) async fn offer_with_quota(
        self: &Rc<Self>,
        group: &Rc<GroupEngine>,
        attempt_id: SubmissionAttemptId,
        offer: &JobOffer<'_>,
    ) -> OfferOutcome {
        if self.shares_quota() {
            self.advance_quota(group);
        }
        let outcome = self.with_group(group, |engine, now_ms| {
            engine.offer(now_ms, attempt_id, offer)
        });
        match outcome {
            OfferOutcome::BeyondLimit => self.await_quota_for_offer(group, attempt_id, offer).await,
            _ => outcome,
        }
    }

    /// Queues an offer for quota and returns its outcome.
    async fn await_quota_for_offer(
        self: &Rc<Self>,
        group: &Rc<GroupEngine>,
        attempt_id: SubmissionAttemptId,
        offer: &JobOffer<'_>,
    ) -> OfferOutcome {
        let Some(queued) = group
            .quota
            .queue_offer(self.clock.now_ms(), attempt_id, offer)
        else {
            return OfferOutcome::NotSure;
        };
        let _guard = QueueGuard {
            group,
            route: offer.route.to_owned(),
            id: queued.id,
        };
        self.advance_quota(group);
        queued.answer.await.unwrap_or(OfferOutcome::NotSure)
    }

    /// Opens a group's accounts, resolves their waiting submissions and sends the reports that are due.
    pub(super) fn advance_quota(self: &Rc<Self>, group: &Rc<GroupEngine>) {
        self.validate(group);
        let control = self.control.borrow().clone();
        if !shares_limits(&control) {
            return;
        }
        let now_ms = self.clock.now_ms();
        if !group.read(now_ms, |engine, _| group.quota.matches_session(engine)) {
            group.quota.end_session();
            return;
        }
        if group.quota.is_idle() {
            let routes = self.routes.borrow().clone();
            group.call(now_ms, |engine, now_ms| {
                group
                    .quota
                    .open_accounts(now_ms, engine, group.id, &control, &routes);
            });
        }
        let reports = group.call(now_ms, |engine, now_ms| {
            group.quota.advance(now_ms, engine, &group.waiting)
        });
        self.process_outputs(group);
        if group.quota.has_waiting() {
            self.wake();
        }
        for report in reports {
            tokio::task::spawn_local(exchange_report(self.clone(), group.clone(), report));
        }
    }

    /// Answers a report as the coordinator of its route. Returns `None` unless this store is the validated primary of the
    /// route's home group.
    pub fn serve_quota(&self, report: &QuotaReport) -> Option<QuotaGrant> {
        self.refresh_tables();
        let control = self.control.borrow().clone();
        let group = self.group(home_group_of(&control, &report.route))?;
        let session = self.read_group(&group, |engine, now_ms| {
            engine
                .session()
                .filter(|_| engine.is_validated_primary(now_ms))
        })?;
        let is_in_tables = control
            .group(group.id)
            .is_some_and(|tables| tables.epoch == session.epoch);
        let max = self
            .routes
            .borrow()
            .get(&report.route)
            .map(|terms| terms.max_queued_tokens)?;
        let now_ms = self.clock.now_ms();
        is_in_tables.then(|| {
            group
                .quota
                .handle_report(now_ms, session, &control, max, report)
        })
    }

    /// Sends a report to the route's coordinator. Returns `None` if there is no answer.
    async fn ask_coordinator(&self, report: &QuotaReport) -> Option<QuotaGrant> {
        let coordinator = self.coordinator_of(&report.route)?;
        if coordinator.disk == self.disk {
            return self.serve_quota(report);
        }
        let payload = minicbor::to_vec(StoreCall::Quota(report.clone())).ok()?;
        let to = coordinator.node.internal.0;
        let answer = self
            .network
            .call(to, ServiceId::Batch, payload, GRANT_TIMEOUT)
            .await
            .ok()?;
        match minicbor::decode::<StoreAnswer>(&answer).ok()?.reply {
            StoreReply::Quota(grant) => Some(grant),
            _ => None,
        }
    }

    /// Returns the primary of a route's home group.
    fn coordinator_of(&self, route: &str) -> Option<GroupMember> {
        let control = self.control.borrow();
        control
            .group(home_group_of(&control, route))?
            .primary_member()
            .cloned()
    }
}

/// Sends a report and applies the answer.
async fn exchange_report(node: Rc<StoreNode>, group: Rc<GroupEngine>, report: QuotaReport) {
    let grant = node.ask_coordinator(&report).await;
    node.validate(&group);
    let now_ms = node.clock.now_ms();
    match grant {
        Some(grant) => group.call(now_ms, |engine, now_ms| {
            group
                .quota
                .on_grant_received(now_ms, engine, &group.waiting, &report.route, &grant);
        }),
        None => group.quota.on_answer_lost(now_ms, &report.route, report.id),
    }
    node.process_outputs(&group);
    node.advance_quota(&group);
}
