//! Handles the gateways' calls at a store.

use super::group_engine::GroupEngine;
use super::group_quota::{submit_now, End, SubmitResponse};
use super::node::StoreNode;
use crate::batch_api::document;
use crate::batch_protocol::{StoreAnswer, StoreCall, StoreReply, TenantReading};
use crate::internal::server::HandlerFuture;
use crate::internal::{Handler, Refusal};
use crate::invariant::{self, Invariant};
use crate::metrics;
use crate::metrics::store::SubmitResult;
use alderhollow_batch::api::{
    BodyOutcome, EndOutcome, JobOffer, OfferOutcome, Outcome, ReadOutcome, SubmissionAttemptId,
    SubmitOutcome, Token,
};
use alderhollow_batch::engine::Engine;
use alderhollow_batch::job::{JobId, NewJob, ResultState};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Limit of the results in one answer: 1 MB minus room for the rest of the answer.
const MAX_RESULT_BYTES: usize = 1_000_000 - 256;
/// Limit of the time that a read waits for results (long polling).
const MAX_READ_WAIT_MS: u32 = 5_000;
/// Limit of the wait for an operation's outcome. The gateway repeats the call after a timeout.
const OUTCOME_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Request handler of [`ServiceId::Batch`](crate::internal::ServiceId::Batch).
pub struct CallHandler(pub Rc<StoreNode>);

impl Handler for CallHandler {
    fn request(&self, payload: Vec<u8>) -> HandlerFuture {
        let node = self.0.clone();
        Box::pin(async move {
            let call = minicbor::decode(&payload).map_err(|_| Refusal::Malformed)?;
            drop(payload);
            let answer = serve(&node, call).await;
            // Encoding an answer does not fail in practice; a gateway treats an empty answer as an unknown outcome.
            Ok(minicbor::to_vec(answer).unwrap_or_default())
        })
    }
}

/// Handles one call at the group that stores its job.
pub async fn serve(node: &Rc<StoreNode>, call: StoreCall) -> StoreAnswer {
    if let StoreCall::Quota(report) = &call {
        let reply = node
            .serve_quota(report)
            .map_or(StoreReply::NotSure, StoreReply::Quota);
        return StoreAnswer {
            reply,
            reading: None,
        };
    }
    let Some(group) = call.job().and_then(|job| node.group_of_job(job)) else {
        return StoreAnswer {
            reply: StoreReply::NotPrimary,
            reading: None,
        };
    };
    let reply = match call {
        StoreCall::Submit { try_id, job } => {
            return submit(node, &group, SubmissionAttemptId(try_id), job).await
        }
        StoreCall::Offer {
            try_id,
            job,
            route,
            tokens,
        } => {
            let offer = JobOffer {
                id: &job,
                route: &route,
                tokens,
            };
            return answer_offer(node, &group, SubmissionAttemptId(try_id), &offer).await;
        }
        StoreCall::Read {
            job,
            after,
            wait_ms,
        } => read(node, &group, &job, after, wait_ms).await,
        StoreCall::Body { job, item } => body(node, &group, &job, &item),
        StoreCall::End(job) => end(node, &group, &job).await,
        StoreCall::Quota(_) => StoreReply::NotSure,
    };
    StoreAnswer {
        reply,
        reading: None,
    }
}

async fn submit(
    node: &Rc<StoreNode>,
    group: &Rc<GroupEngine>,
    attempt_id: SubmissionAttemptId,
    job: NewJob,
) -> StoreAnswer {
    let (route, tokens) = (job.route.clone(), job.tokens());
    let SubmitResponse { submitted, end } = match node.must_wait_for_quota(group, &job) {
        true => node.submit_with_quota(group, attempt_id, job).await,
        false => submit_without_wait(node, group, attempt_id, job),
    };
    let is_new = match submitted {
        SubmitOutcome::Pending(token) => node.activity.record_accepted(group.id, token),
        _ => false,
    };
    metrics::get()
        .store
        .submitted(SubmitResult::of(submitted, is_new));
    let reading = match submitted {
        SubmitOutcome::NotPrimary | SubmitOutcome::NotSure | SubmitOutcome::Invalid => None,
        SubmitOutcome::OverQuota => quota_reading(node, group, &route, tokens),
        SubmitOutcome::Pending(_) | SubmitOutcome::AlreadyAccepted => {
            quota_reading(node, group, &route, 0)
        }
    };
    let reply = match submitted {
        SubmitOutcome::Pending(_) => await_outcome(end).await,
        SubmitOutcome::AlreadyAccepted => StoreReply::Committed,
        SubmitOutcome::OverQuota => StoreReply::OverQuota,
        SubmitOutcome::NotPrimary => StoreReply::NotPrimary,
        SubmitOutcome::NotSure => StoreReply::NotSure,
        SubmitOutcome::Invalid => StoreReply::Invalid,
    };
    StoreAnswer { reply, reading }
}

/// Answers whether a batch job would be accepted.
async fn answer_offer(
    node: &Rc<StoreNode>,
    group: &Rc<GroupEngine>,
    attempt_id: SubmissionAttemptId,
    offer: &JobOffer<'_>,
) -> StoreAnswer {
    let reply = match node.offer_with_quota(group, attempt_id, offer).await {
        OfferOutcome::Welcome => StoreReply::WouldAccept,
        OfferOutcome::NotSure | OfferOutcome::BeyondLimit => StoreReply::NotSure,
        OfferOutcome::AlreadyAccepted => StoreReply::Committed,
        OfferOutcome::NotPrimary => StoreReply::NotPrimary,
        OfferOutcome::OverQuota => {
            let reading = quota_reading(node, group, offer.route, offer.tokens);
            return StoreAnswer {
                reply: StoreReply::OverQuota,
                reading,
            };
        }
    };
    StoreAnswer {
        reply,
        reading: None,
    }
}

/// Submits a batch job that fits the current limit, or that will be rejected anyway.
fn submit_without_wait(
    node: &StoreNode,
    group: &GroupEngine,
    attempt_id: SubmissionAttemptId,
    job: NewJob,
) -> SubmitResponse {
    let route = job.route.clone();
    node.with_group(group, |engine, now_ms| {
        let waiting_before = engine.waiting_tokens(&route);
        let answered = submit_now(engine, now_ms, &group.waiting, attempt_id, job);
        if engine.waiting_tokens(&route) > waiting_before {
            group.quota.record_accepted_job(engine, &route);
        }
        check_quota(engine, &route, waiting_before);
        answered
    })
}

/// Checks the invariant that a submission that raised the count of waiting tokens is within the limit.
fn check_quota(engine: &Engine, route: &str, waiting_before: u64) {
    let waiting = engine.waiting_tokens(route);
    let limit = engine
        .token_limit(route)
        .filter(|limit| *limit > 0)
        .unwrap_or(u64::MAX);
    invariant::check(
        Invariant::QuotaAtAcceptance,
        waiting <= waiting_before || waiting <= limit,
        || format!("{waiting} tokens wait on route {route}, over its limit of {limit}"),
    );
}

/// Returns the newest reading of a route's waiting tokens. With a single group, the batch job is recorded in the group's
/// meter along with the tokens over the limit. With several groups, the reading comes from the route's coordinator.
fn quota_reading(
    node: &StoreNode,
    group: &GroupEngine,
    route: &str,
    excess_tokens: u64,
) -> Option<TenantReading> {
    let now_ms = node.clock.now_ms();
    if node.shares_quota() {
        return group.quota.reading(now_ms, route).map(TenantReading::from);
    }
    let (waiting, epoch) = node.read_group(group, |engine, now_ms| {
        (engine.waiting_tokens(route), engine.status(now_ms).epoch)
    });
    group
        .meter
        .borrow_mut()
        .record(now_ms, epoch, route, waiting, excess_tokens)
        .map(TenantReading::from)
}

async fn await_outcome(outcome: End) -> StoreReply {
    let Some(outcome) = outcome else {
        return StoreReply::Unknown;
    };
    match tokio::time::timeout(OUTCOME_TIMEOUT, outcome).await {
        Ok(Ok(Outcome::Committed)) => StoreReply::Committed,
        Ok(Ok(Outcome::Unknown) | Err(_)) | Err(_) => StoreReply::Unknown,
    }
}

async fn end(node: &StoreNode, group: &GroupEngine, job: &JobId) -> StoreReply {
    let mut outcome = None;
    let answer = node.with_group(group, |engine, now_ms| {
        let answer = engine.end(now_ms, job);
        if let EndOutcome::Pending(token) = answer {
            outcome = Some(group.waiting.wait_for_outcome(token));
        }
        answer
    });
    match answer {
        EndOutcome::Pending(Token(_)) => await_outcome(outcome).await,
        EndOutcome::AlreadyEnded => StoreReply::Committed,
        EndOutcome::NotFound => StoreReply::NotFound,
        EndOutcome::NotPrimary => StoreReply::NotPrimary,
        EndOutcome::NotSure => StoreReply::NotSure,
    }
}

fn body(node: &StoreNode, group: &GroupEngine, job: &JobId, item: &str) -> StoreReply {
    node.read_group(group, |engine, now_ms| {
        match engine.body(now_ms, job, item) {
            BodyOutcome::Body(bytes) => {
                metrics::get().store.body_read();
                StoreReply::Body(bytes.to_vec())
            }
            BodyOutcome::NotFound => StoreReply::NotFound,
            BodyOutcome::NotPrimary => StoreReply::NotPrimary,
            BodyOutcome::NotSure => StoreReply::NotSure,
        }
    })
}

/// Reads results. If there are none yet, waits for the first one up to the client's wait time.
async fn read(
    node: &StoreNode,
    group: &GroupEngine,
    job: &JobId,
    after: u32,
    wait_ms: u32,
) -> StoreReply {
    let deadline = Instant::now() + Duration::from_millis(u64::from(wait_ms.min(MAX_READ_WAIT_MS)));
    // The main loop removes the notifier that this read registers, once it is unused.
    group.mark_dirty();
    loop {
        let readable = group.waiting.results_notify(job);
        let notified = readable.notified();
        let (reply, may_wait) = read_now(node, group, job, after);
        if !may_wait || Instant::now() >= deadline {
            record_read(&reply);
            return reply;
        }
        let _ = tokio::time::timeout_at(deadline, notified).await;
    }
}

fn record_read(reply: &StoreReply) {
    if let StoreReply::Results(json) = reply {
        metrics::get().store.read(json.len());
    }
}

/// Returns the answer as of now, and whether waiting may yield a later result.
fn read_now(node: &StoreNode, group: &GroupEngine, job: &JobId, after: u32) -> (StoreReply, bool) {
    node.read_group(group, |engine, now_ms| {
        match engine.read(now_ms, job, after, MAX_RESULT_BYTES) {
            ReadOutcome::Results {
                total,
                next,
                results,
                closed,
            } => {
                let may_wait = results.is_empty() && !closed;
                let results = results.iter().map(read_result).collect();
                let answer = document::ReadResponse {
                    total: u64::from(total),
                    next_token: u64::from(next),
                    results,
                };
                (StoreReply::Results(answer.to_json()), may_wait)
            }
            ReadOutcome::NotFound => (StoreReply::NotFound, false),
            ReadOutcome::NotPrimary => (StoreReply::NotPrimary, false),
            ReadOutcome::NotSure => (StoreReply::NotSure, false),
        }
    })
}

fn read_result<'a>(
    result: &'a alderhollow_batch::api::ListedResult<'a>,
) -> document::ReadResult<'a> {
    let state = match result.state {
        ResultState::Completed => document::ResultState::Completed,
        ResultState::DeadLetter => document::ResultState::DeadLetter,
    };
    document::ReadResult {
        id: result.id,
        state,
        text: result.text,
    }
}
