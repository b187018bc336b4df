//! What clients ask for.

use super::commits::{Change, JobView};
use super::Engine;
use crate::api::{
    BodyAnswer, EndAnswer, JobOffer, ListedResult, Offered, Output, ReadAnswer, Submitted, TryId,
};
use crate::job::{Job, JobId, NewJob};
use crate::records::Entry;
use std::collections::HashSet;

/// Most items of a job.
pub(super) const MOST_ITEMS: usize = 200;
/// Longest id of a job or an item.
pub(super) const LONGEST_ID: usize = 256;
/// How long a refused try is remembered: longer than any copy of it can be late.
const REFUSED_MEMORY_MS: u64 = 60_000;
/// Most refused tries that are remembered.
const REFUSED_TRIES: usize = 20_000;
/// Bytes of a result in JSON beside its id and text.
const RESULT_JSON_BYTES: usize = 48;

impl Engine {
    /// A client hands in a job, at a try that the gateway has named.
    ///
    /// The same job is told by its id alone. Under a limit of [`Engine::set_quota_limit`], a job that does not fit is
    /// answered [`Submitted::NotSure`]: only the route's coordinator can tell whether it is over quota.
    pub fn submit(&mut self, now_ms: u64, try_id: TryId, mut job: NewJob) -> Submitted {
        self.now_ms = now_ms;
        if let Some(answer) = self.answer_before_quota(now_ms, &job) {
            return answer;
        }
        if self.refused.contains_key(&try_id) {
            return self.remember_refusal(try_id);
        }
        if self.would_fit(&job.route, job.tokens()) {
            job.config_version = self.config_version;
            return self.accept(job);
        }
        if self.quota_limits.contains_key(&job.route) {
            return Submitted::NotSure;
        }
        self.remember_refusal(try_id)
    }

    /// The route's coordinator refused a job that a client handed in: it is answered as over quota and the try is
    /// remembered, unless the job has become known in the meantime or this store is not sure any more.
    pub fn refuse(&mut self, now_ms: u64, try_id: TryId, job: &NewJob) -> Submitted {
        self.now_ms = now_ms;
        match self.answer_before_quota(now_ms, job) {
            Some(answer) => answer,
            None => self.remember_refusal(try_id),
        }
    }

    /// The answer to a job that does not depend on the tokens that wait, if there is one.
    fn answer_before_quota(&self, now_ms: u64, job: &NewJob) -> Option<Submitted> {
        if !self.node.is_leader() {
            return Some(Submitted::NotPrimary);
        }
        if let Some(view) = self.views.get(&job.id) {
            return Some(
                view.accept_token
                    .map_or(Submitted::AlreadyAccepted, Submitted::Pending),
            );
        }
        if !is_valid(job) {
            return Some(Submitted::Invalid);
        }
        (!self.may_decide(now_ms, &job.route)).then_some(Submitted::NotSure)
    }

    /// Whether a job of a route can be taken or refused now.
    fn may_decide(&self, now_ms: u64, route: &str) -> bool {
        let may_accept =
            self.disk_ready && !self.is_overloaded(now_ms) && self.refused.len() < REFUSED_TRIES;
        self.is_sure(now_ms) && may_accept && self.routes.contains_key(route)
    }

    /// A gateway asks whether a job would be taken, before it sends the job itself, which is large. An offer without tokens
    /// asks only whether the job is known: it is never refused for want of room, so that nothing is remembered of it.
    pub fn offer(&mut self, now_ms: u64, try_id: TryId, offer: &JobOffer) -> Offered {
        self.now_ms = now_ms;
        if let Some(answer) = self.answer_offer_before_quota(offer) {
            return answer;
        }
        if self.refused.contains_key(&try_id) {
            self.remember_refusal(try_id);
            return Offered::OverQuota;
        }
        if offer.tokens == 0 || self.would_fit(offer.route, offer.tokens) {
            return Offered::Welcome;
        }
        if self.quota_limits.contains_key(offer.route) {
            return Offered::BeyondLimit;
        }
        self.remember_refusal(try_id);
        Offered::OverQuota
    }

    /// The route's coordinator refused a job that was offered; as [`Engine::refuse`].
    pub fn refuse_offer(&mut self, now_ms: u64, try_id: TryId, offer: &JobOffer) -> Offered {
        self.now_ms = now_ms;
        if let Some(answer) = self.answer_offer_before_quota(offer) {
            return answer;
        }
        self.remember_refusal(try_id);
        Offered::OverQuota
    }

    /// The answer to an offer that does not depend on the tokens that wait, if there is one.
    fn answer_offer_before_quota(&self, offer: &JobOffer) -> Option<Offered> {
        if !self.node.is_leader() {
            return Some(Offered::NotPrimary);
        }
        if let Some(view) = self.views.get(offer.id) {
            let is_accepted = view.accept_token.is_none();
            return Some(if is_accepted {
                Offered::AlreadyAccepted
            } else {
                Offered::NotSure
            });
        }
        (!self.may_decide(self.now_ms, offer.route)).then_some(Offered::NotSure)
    }

    /// A try was refused: no late copy of it is accepted.
    fn remember_refusal(&mut self, try_id: TryId) -> Submitted {
        self.refused.insert(try_id, self.now_ms + REFUSED_MEMORY_MS);
        Submitted::OverQuota
    }

    /// Takes a job that fits.
    fn accept(&mut self, job: NewJob) -> Submitted {
        let id = job.id.clone();
        let entry = Entry::JobAccepted(job);
        let bytes = entry.approximate_bytes();
        let Some(index) = self.node.append(self.now_ms, entry) else {
            return Submitted::NotSure;
        };
        if let Some(job) = self.node.state().jobs.get(&id) {
            self.ledger.add(job);
        }
        let token = self.new_token();
        self.views.insert(
            id.clone(),
            JobView {
                accept_token: Some(token),
                ..JobView::default()
            },
        );
        self.note_job_taken(bytes);
        self.await_commit(index, id, Change::Accepted { bytes });
        Submitted::Pending(token)
    }

    /// A client reads results from a position on; at most `max_bytes` of JSON, or one result.
    pub fn read(&self, now_ms: u64, job: &JobId, after: u32, max_bytes: usize) -> ReadAnswer<'_> {
        if !self.node.is_leader() {
            return ReadAnswer::NotPrimary;
        }
        let Some((view, job)) = self.accepted(job) else {
            let unknown = self.is_sure(now_ms) && !self.views.contains_key(job);
            return if unknown {
                ReadAnswer::NotFound
            } else {
                ReadAnswer::NotSure
            };
        };
        if after >= view.visible && !self.is_sure(now_ms) {
            return ReadAnswer::NotSure;
        }
        let results = listed(view, job, after, max_bytes);
        let total = job.accepted.items.len() as u32;
        let next = after.saturating_add(results.len() as u32);
        ReadAnswer::Results {
            total,
            next,
            results,
            closed: view.ended || view.visible == total,
        }
    }

    /// A client asks for the body of an item.
    pub fn body(&self, now_ms: u64, job: &JobId, item_id: &str) -> BodyAnswer<'_> {
        if !self.node.is_leader() {
            return BodyAnswer::NotPrimary;
        }
        let Some((_, job)) = self.accepted(job) else {
            let unknown = self.is_sure(now_ms) && !self.views.contains_key(job);
            return if unknown {
                BodyAnswer::NotFound
            } else {
                BodyAnswer::NotSure
            };
        };
        let item = job.accepted.items.iter().find(|item| item.id == item_id);
        match item.and_then(|item| item.request.as_ref()) {
            Some(request) => BodyAnswer::Body(&request.body),
            None => BodyAnswer::NotFound,
        }
    }

    /// A client ends a job. Nothing more of it is started from now on.
    pub fn end(&mut self, now_ms: u64, job: &JobId) -> EndAnswer {
        self.now_ms = now_ms;
        if !self.node.is_leader() {
            return EndAnswer::NotPrimary;
        }
        let Some(view) = self.views.get(job) else {
            return if self.is_sure(now_ms) {
                EndAnswer::NotFound
            } else {
                EndAnswer::NotSure
            };
        };
        if view.ended {
            return EndAnswer::AlreadyEnded;
        }
        if let Some(token) = view.end_token {
            return EndAnswer::Pending(token);
        }
        let entry = Entry::JobEnded(job.clone());
        let Some(index) = self.node.append(now_ms, entry) else {
            return EndAnswer::NotSure;
        };
        self.ledger.remove(job);
        let runs = self.work.close(job);
        self.outputs.extend(runs.into_iter().map(Output::CancelRun));
        let token = self.new_token();
        if let Some(view) = self.views.get_mut(job) {
            view.end_token = Some(token);
        }
        self.await_commit(index, job.clone(), Change::Ended);
        EndAnswer::Pending(token)
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
    let is_id = |id: &str| !id.is_empty() && id.len() <= LONGEST_ID;
    let items_valid = job
        .items
        .iter()
        .all(|item| is_id(&item.id) && item.request.is_some());
    is_id(&job.id.0) && (1..=MOST_ITEMS).contains(&count) && ids.len() == count && items_valid
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
