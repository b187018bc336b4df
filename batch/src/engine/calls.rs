//! Operations of clients: submit or offer a job, read results, fetch an item's body, end a job.
//!
//! Invariant: a submission attempt that was rejected as over quota is never accepted later, also if a delayed copy of
//! it arrives after capacity became free.

use super::commits::{Change, JobView};
use super::Engine;
use crate::api::{
    BodyOutcome, EndOutcome, JobOffer, ListedResult, OfferOutcome, Output, ReadOutcome,
    SubmissionAttemptId, SubmitOutcome,
};
use crate::job::{Job, JobId, NewJob};
use crate::records::Entry;
use std::collections::HashSet;

/// Maximum number of items in a job.
pub(super) const MAX_ITEMS: usize = 200;
/// Maximum length of the id of a job or an item, in bytes.
pub(super) const MAX_ID_BYTES: usize = 256;
/// How long a rejected submission attempt is remembered. It exceeds the maximum delay of a copy of the attempt.
const REJECTION_RETENTION_MS: u64 = 60_000;
/// Maximum number of remembered rejected attempts. No new job is decided on beyond it.
const MAX_REJECTED_ATTEMPTS: usize = 20_000;
/// Bytes of a result in JSON apart from its id and text.
const RESULT_JSON_BYTES: usize = 48;

impl Engine {
    /// Submits a job under an attempt id chosen by the gateway.
    ///
    /// Jobs are identified by their id alone. If a limit of [`Engine::set_quota_limit`] applies, a job that exceeds it
    /// is answered with [`SubmitOutcome::NotSure`]: only the route's coordinator can decide that it is over quota.
    pub fn submit(
        &mut self,
        now_ms: u64,
        attempt_id: SubmissionAttemptId,
        mut job: NewJob,
    ) -> SubmitOutcome {
        self.now_ms = now_ms;
        if let Some(answer) = self.answer_before_quota(now_ms, &job) {
            return answer;
        }
        if self.rejected_attempts.contains_key(&attempt_id) {
            return self.remember_rejection(attempt_id);
        }
        if self.would_fit(&job.route, job.tokens()) {
            job.config_version = self.config_version;
            return self.accept(job);
        }
        if self.quota_limits.contains_key(&job.route) {
            return SubmitOutcome::NotSure;
        }
        self.remember_rejection(attempt_id)
    }

    /// Rejects a submitted job as decided by the route's coordinator and remembers the attempt, unless the job was
    /// accepted in the meantime or this store is no longer the validated primary.
    pub fn reject(
        &mut self,
        now_ms: u64,
        attempt_id: SubmissionAttemptId,
        job: &NewJob,
    ) -> SubmitOutcome {
        self.now_ms = now_ms;
        match self.answer_before_quota(now_ms, job) {
            Some(answer) => answer,
            None => self.remember_rejection(attempt_id),
        }
    }

    /// Outcome of a submission that does not depend on the queued tokens, if there is one.
    fn answer_before_quota(&self, now_ms: u64, job: &NewJob) -> Option<SubmitOutcome> {
        if !self.node.is_leader() {
            return Some(SubmitOutcome::NotPrimary);
        }
        if let Some(view) = self.views.get(&job.id) {
            return Some(
                view.accept_token
                    .map_or(SubmitOutcome::AlreadyAccepted, SubmitOutcome::Pending),
            );
        }
        if !is_valid(job) {
            return Some(SubmitOutcome::Invalid);
        }
        (!self.may_decide(now_ms, &job.route)).then_some(SubmitOutcome::NotSure)
    }

    /// Whether a job of this route can be accepted or rejected now.
    fn may_decide(&self, now_ms: u64, route: &str) -> bool {
        let may_accept = self.disk_ready
            && !self.is_overloaded(now_ms)
            && self.rejected_attempts.len() < MAX_REJECTED_ATTEMPTS;
        self.is_validated_primary(now_ms) && may_accept && self.routes.contains_key(route)
    }

    /// Answers a gateway's question whether a job would be accepted, before the gateway sends the job with its large
    /// bodies. An offer of 0 tokens asks only whether the job is known: it is never rejected as over quota, and its
    /// attempt is not remembered.
    pub fn offer(
        &mut self,
        now_ms: u64,
        attempt_id: SubmissionAttemptId,
        offer: &JobOffer,
    ) -> OfferOutcome {
        self.now_ms = now_ms;
        if let Some(answer) = self.answer_offer_before_quota(offer) {
            return answer;
        }
        if self.rejected_attempts.contains_key(&attempt_id) {
            self.remember_rejection(attempt_id);
            return OfferOutcome::OverQuota;
        }
        if offer.tokens == 0 || self.would_fit(offer.route, offer.tokens) {
            return OfferOutcome::Welcome;
        }
        if self.quota_limits.contains_key(offer.route) {
            return OfferOutcome::BeyondLimit;
        }
        self.remember_rejection(attempt_id);
        OfferOutcome::OverQuota
    }

    /// Rejects an offered job as decided by the route's coordinator; see [`Engine::reject`].
    pub fn reject_offer(
        &mut self,
        now_ms: u64,
        attempt_id: SubmissionAttemptId,
        offer: &JobOffer,
    ) -> OfferOutcome {
        self.now_ms = now_ms;
        if let Some(answer) = self.answer_offer_before_quota(offer) {
            return answer;
        }
        self.remember_rejection(attempt_id);
        OfferOutcome::OverQuota
    }

    /// Outcome of an offer that does not depend on the queued tokens, if there is one.
    fn answer_offer_before_quota(&self, offer: &JobOffer) -> Option<OfferOutcome> {
        if !self.node.is_leader() {
            return Some(OfferOutcome::NotPrimary);
        }
        if let Some(view) = self.views.get(offer.id) {
            let is_accepted = view.accept_token.is_none();
            return Some(if is_accepted {
                OfferOutcome::AlreadyAccepted
            } else {
                OfferOutcome::NotSure
            });
        }
        (!self.may_decide(self.now_ms, offer.route)).then_some(OfferOutcome::NotSure)
    }

    /// Remembers a rejected attempt, so that no delayed copy of it is accepted.
    fn remember_rejection(&mut self, attempt_id: SubmissionAttemptId) -> SubmitOutcome {
        self.rejected_attempts
            .insert(attempt_id, self.now_ms + REJECTION_RETENTION_MS);
        SubmitOutcome::OverQuota
    }

    /// Appends a job that is within the limit. The outcome is pending until the record is committed.
    fn accept(&mut self, job: NewJob) -> SubmitOutcome {
        let id = job.id.clone();
        let entry = Entry::JobAccepted(job);
        let bytes = entry.approximate_bytes();
        let Some(index) = self.node.append(self.now_ms, entry) else {
            return SubmitOutcome::NotSure;
        };
        if let Some(job) = self.node.state().jobs.get(&id) {
            self.token_counts.add(job);
        }
        let token = self.new_token();
        self.views.insert(
            id.clone(),
            JobView {
                accept_token: Some(token),
                ..JobView::default()
            },
        );
        self.record_job_accepted(bytes);
        self.await_commit(index, id, Change::Accepted { bytes });
        SubmitOutcome::Pending(token)
    }

    /// Reads committed results from position `after` on: at most `max_bytes` of JSON, but at least one result if there
    /// is one.
    pub fn read(&self, now_ms: u64, job: &JobId, after: u32, max_bytes: usize) -> ReadOutcome<'_> {
        if !self.node.is_leader() {
            return ReadOutcome::NotPrimary;
        }
        let Some((view, job)) = self.accepted(job) else {
            let unknown = self.is_validated_primary(now_ms) && !self.views.contains_key(job);
            return if unknown {
                ReadOutcome::NotFound
            } else {
                ReadOutcome::NotSure
            };
        };
        if after >= view.visible && !self.is_validated_primary(now_ms) {
            return ReadOutcome::NotSure;
        }
        let results = listed(view, job, after, max_bytes);
        let total = job.accepted.items.len() as u32;
        let next = after.saturating_add(results.len() as u32);
        ReadOutcome::Results {
            total,
            next,
            results,
            closed: view.ended || view.visible == total,
        }
    }

    /// Reads the request body of an item that has no result yet.
    pub fn body(&self, now_ms: u64, job: &JobId, item_id: &str) -> BodyOutcome<'_> {
        if !self.node.is_leader() {
            return BodyOutcome::NotPrimary;
        }
        let Some((_, job)) = self.accepted(job) else {
            let unknown = self.is_validated_primary(now_ms) && !self.views.contains_key(job);
            return if unknown {
                BodyOutcome::NotFound
            } else {
                BodyOutcome::NotSure
            };
        };
        let item = job.accepted.items.iter().find(|item| item.id == item_id);
        match item.and_then(|item| item.request.as_ref()) {
            Some(request) => BodyOutcome::Body(&request.body),
            None => BodyOutcome::NotFound,
        }
    }

    /// Ends a job: cancels its runs and starts no more. The outcome is pending until the record is committed.
    pub fn end(&mut self, now_ms: u64, job: &JobId) -> EndOutcome {
        self.now_ms = now_ms;
        if !self.node.is_leader() {
            return EndOutcome::NotPrimary;
        }
        let Some(view) = self.views.get(job) else {
            return if self.is_validated_primary(now_ms) {
                EndOutcome::NotFound
            } else {
                EndOutcome::NotSure
            };
        };
        if view.ended {
            return EndOutcome::AlreadyEnded;
        }
        if let Some(token) = view.end_token {
            return EndOutcome::Pending(token);
        }
        let entry = Entry::JobEnded(job.clone());
        let Some(index) = self.node.append(now_ms, entry) else {
            return EndOutcome::NotSure;
        };
        self.token_counts.remove(job);
        let runs = self.work.close(job);
        self.outputs.extend(runs.into_iter().map(Output::CancelRun));
        let token = self.new_token();
        if let Some(view) = self.views.get_mut(job) {
            view.end_token = Some(token);
        }
        self.await_commit(index, job.clone(), Change::Ended);
        EndOutcome::Pending(token)
    }

    /// Looks up a job whose acceptance is committed.
    fn accepted(&self, id: &JobId) -> Option<(&JobView, &Job)> {
        let view = self.views.get(id).filter(|view| view.accepted)?;
        Some((view, self.node.state().jobs.get(id)?))
    }
}

/// Whether a job has between 1 and [`MAX_ITEMS`] items with valid, distinct ids and requests.
fn is_valid(job: &NewJob) -> bool {
    let count = job.items.len();
    let ids: HashSet<&str> = job.items.iter().map(|item| item.id.as_str()).collect();
    let is_id = |id: &str| !id.is_empty() && id.len() <= MAX_ID_BYTES;
    let items_valid = job
        .items
        .iter()
        .all(|item| is_id(&item.id) && item.request.is_some());
    is_id(&job.id.0) && (1..=MAX_ITEMS).contains(&count) && ids.len() == count && items_valid
}

/// Committed results of a job from position `after` on, up to `max_bytes` of JSON but at least one.
fn listed<'a>(view: &JobView, job: &'a Job, after: u32, max_bytes: usize) -> Vec<ListedResult<'a>> {
    let mut listed = Vec::new();
    let mut bytes = 0;
    for result in job
        .results
        .iter()
        .take(view.visible as usize)
        .skip(after as usize)
    {
        let Some(item) = job.accepted.items.get(result.item as usize) else {
            break;
        };
        bytes += RESULT_JSON_BYTES + json_bytes(&item.id) + json_bytes(&result.text);
        if bytes > max_bytes && !listed.is_empty() {
            break;
        }
        listed.push(ListedResult {
            id: &item.id,
            state: result.state,
            text: &result.text,
        });
    }
    listed
}

/// Upper bound of the size of a text as a JSON string, in bytes.
fn json_bytes(text: &str) -> usize {
    let escaped = |byte: u8| match byte {
        b'\n' | b'\r' | b'\t' | b'"' | b'\\' => 2,
        0..=0x1f | 0x7f => 6,
        _ => 1,
    };
    text.bytes().map(escaped).sum()
}
