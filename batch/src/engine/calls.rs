//! What clients ask for.

use super::commits::{Change, JobView};
use super::Engine;
use crate::api::{
    BodyOutcome, EndOutcome, JobOffer, ListedResult, OfferOutcome, Output, ReadOutcome,
    SubmissionAttemptId, SubmitOutcome,
};
use crate::job::{Job, JobId, NewJob};
use crate::records::Entry;
use std::collections::HashSet;

/// Most items of a job.
pub(super) const MAX_ITEMS: usize = 200;
/// Longest id of a job or an item.
pub(super) const MAX_ID_BYTES: usize = 256;
/// How long a refused try is remembered: longer than any copy of it can be late.
const REJECTION_RETENTION_MS: u64 = 60_000;
/// Most refused tries that are remembered.
const MAX_REJECTED_ATTEMPTS: usize = 20_000;
/// Bytes of a result in JSON beside its id and text.
const RESULT_JSON_BYTES: usize = 48;

impl Engine {
    /// A client hands in a job, at a try that the gateway has named.
    ///
    /// The same job is told by its id alone. Under a limit of [`Engine::set_quota_limit`], a job that does not fit is
    /// answered [`SubmitOutcome::NotSure`]: only the route's coordinator can tell whether it is over quota.
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
        if self.refused.contains_key(&attempt_id) {
            return self.remember_refusal(attempt_id);
        }
        if self.would_fit(&job.route, job.tokens()) {
            job.config_version = self.config_version;
            return self.accept(job);
        }
        if self.quota_limits.contains_key(&job.route) {
            return SubmitOutcome::NotSure;
        }
        self.remember_refusal(attempt_id)
    }

    /// The route's coordinator refused a job that a client handed in: it is answered as over quota and the try is
    /// remembered, unless the job has become known in the meantime or this store is not sure any more.
    pub fn refuse(
        &mut self,
        now_ms: u64,
        attempt_id: SubmissionAttemptId,
        job: &NewJob,
    ) -> SubmitOutcome {
        self.now_ms = now_ms;
        match self.answer_before_quota(now_ms, job) {
            Some(answer) => answer,
            None => self.remember_refusal(attempt_id),
        }
    }

    /// The answer to a job that does not depend on the tokens that wait, if there is one.
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

    /// Whether a job of a route can be taken or refused now.
    fn may_decide(&self, now_ms: u64, route: &str) -> bool {
        let may_accept = self.disk_ready
            && !self.is_overloaded(now_ms)
            && self.refused.len() < MAX_REJECTED_ATTEMPTS;
        self.is_sure(now_ms) && may_accept && self.routes.contains_key(route)
    }

    /// A gateway asks whether a job would be taken, before it sends the job itself, which is large. An offer without tokens
    /// asks only whether the job is known: it is never refused for want of room, so that nothing is remembered of it.
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
        if self.refused.contains_key(&attempt_id) {
            self.remember_refusal(attempt_id);
            return OfferOutcome::OverQuota;
        }
        if offer.tokens == 0 || self.would_fit(offer.route, offer.tokens) {
            return OfferOutcome::Welcome;
        }
        if self.quota_limits.contains_key(offer.route) {
            return OfferOutcome::BeyondLimit;
        }
        self.remember_refusal(attempt_id);
        OfferOutcome::OverQuota
    }

    /// The route's coordinator refused a job that was offered; as [`Engine::refuse`].
    pub fn refuse_offer(
        &mut self,
        now_ms: u64,
        attempt_id: SubmissionAttemptId,
        offer: &JobOffer,
    ) -> OfferOutcome {
        self.now_ms = now_ms;
        if let Some(answer) = self.answer_offer_before_quota(offer) {
            return answer;
        }
        self.remember_refusal(attempt_id);
        OfferOutcome::OverQuota
    }

    /// The answer to an offer that does not depend on the tokens that wait, if there is one.
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

    /// A try was refused: no late copy of it is accepted.
    fn remember_refusal(&mut self, attempt_id: SubmissionAttemptId) -> SubmitOutcome {
        self.refused
            .insert(attempt_id, self.now_ms + REJECTION_RETENTION_MS);
        SubmitOutcome::OverQuota
    }

    /// Takes a job that fits.
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

    /// A client reads results from a position on; at most `max_bytes` of JSON, or one result.
    pub fn read(&self, now_ms: u64, job: &JobId, after: u32, max_bytes: usize) -> ReadOutcome<'_> {
        if !self.node.is_leader() {
            return ReadOutcome::NotPrimary;
        }
        let Some((view, job)) = self.accepted(job) else {
            let unknown = self.is_sure(now_ms) && !self.views.contains_key(job);
            return if unknown {
                ReadOutcome::NotFound
            } else {
                ReadOutcome::NotSure
            };
        };
        if after >= view.visible && !self.is_sure(now_ms) {
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

    /// A client asks for the body of an item.
    pub fn body(&self, now_ms: u64, job: &JobId, item_id: &str) -> BodyOutcome<'_> {
        if !self.node.is_leader() {
            return BodyOutcome::NotPrimary;
        }
        let Some((_, job)) = self.accepted(job) else {
            let unknown = self.is_sure(now_ms) && !self.views.contains_key(job);
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

    /// A client ends a job. Nothing more of it is started from now on.
    pub fn end(&mut self, now_ms: u64, job: &JobId) -> EndOutcome {
        self.now_ms = now_ms;
        if !self.node.is_leader() {
            return EndOutcome::NotPrimary;
        }
        let Some(view) = self.views.get(job) else {
            return if self.is_sure(now_ms) {
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

    /// A job whose acceptance is committed.
    fn accepted(&self, id: &JobId) -> Option<(&JobView, &Job)> {
        let view = self.views.get(id).filter(|view| view.accepted)?;
        Some((view, self.node.state().jobs.get(id)?))
    }
}

/// Whether a job keeps the bounds.
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

/// The readable results of a job from a position on, up to a size in JSON.
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

/// Bytes of a text as a JSON string, at most.
fn json_bytes(text: &str) -> usize {
    let escaped = |byte: u8| match byte {
        b'\n' | b'\r' | b'\t' | b'"' | b'\\' => 2,
        0..=0x1f | 0x7f => 6,
        _ => 1,
    };
    text.bytes().map(escaped).sum()
}
