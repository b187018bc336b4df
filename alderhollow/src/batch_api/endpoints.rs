//! Serves clients' calls about batch jobs by calling the primary of the job's batch group.

use super::admission::Admission;
use super::document::{self, SubmittedItem};
use super::path::{self, Target};
use super::store_calls::{
    call_primary, is_accepted, CallLimits, CallOutcome, KnownJobQuery, StoreLink,
};
use super::{
    empty_response, over_quota, unavailable, BatchCall, BatchEndpoints, BatchResponseFuture,
};
use crate::batch_protocol::{StoreCall, StoreReply};
use crate::clock::SteadyClock;
use crate::metrics;
use crate::SnapshotReceiver;
use alderhollow_batch::job::{Header, Item, ItemRequest, JobId, NewJob};
use alderhollow_model::config::Route;
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_TYPE};
use hyper::{Method, Response, StatusCode};
use oorandom::Rand64;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a submission is retried while no store may have served it; afterwards the client can retry at another
/// gateway.
const SUBMIT_RETRY_TIMEOUT: Duration = Duration::from_millis(250);
/// How long an unknown outcome of a submission is resolved, unless the client's deadline is shorter.
const SUBMIT_RESOLVE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Timeout of the query whether a job that the admission check refuses has already been accepted.
const KNOWN_JOB_QUERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that a client of a read waits beyond `Wait-Ms`, which includes network latency.
const READ_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_000);
/// Maximum hold of a read that a client can request.
const MAX_HOLD: Duration = Duration::from_millis(5_000);
/// Timeout of reading item bodies and of ending jobs.
const DEFAULT_CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Part of the client's deadline that is reserved for returning the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(50);

/// Serves the batch calls of a gateway. Clones share one state.
#[derive(Clone)]
pub struct StoreEndpoints {
    link: Rc<dyn StoreLink>,
    snapshots: SnapshotReceiver,
    /// Generates ids of clients' attempts.
    random: Rc<RefCell<Rand64>>,
    admission: Rc<Admission>,
}

impl BatchEndpoints for StoreEndpoints {
    fn serve(&self, call: BatchCall) -> BatchResponseFuture {
        let endpoints = self.clone();
        Box::pin(async move { endpoints.respond(call).await })
    }
}

impl StoreEndpoints {
    /// Creates endpoints that find the primaries in the current tables. `seed` must be unique to this incarnation.
    pub fn new(
        link: Rc<dyn StoreLink>,
        snapshots: SnapshotReceiver,
        clock: SteadyClock,
        seed: u64,
    ) -> StoreEndpoints {
        let mut random = Rand64::new(u128::from(seed));
        let admission = Rc::new(Admission::new(clock, random.rand_u64()));
        StoreEndpoints {
            link,
            snapshots,
            random: Rc::new(RefCell::new(random)),
            admission,
        }
    }

    async fn respond(&self, call: BatchCall) -> Response<Bytes> {
        let uri = call.request.uri();
        if !path::is_batch_path(uri.path()) {
            return match &call.route {
                Some(route) if call.request.method() == Method::POST => {
                    self.submit_with_metrics(&call, route).await
                }
                _ => empty_response(StatusCode::METHOD_NOT_ALLOWED),
            };
        }
        let Ok(target) = path::read(uri.path(), uri.query()) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        match (call.request.method().clone(), target) {
            (Method::GET, Target::Job { job, after }) => self.read(&call, job, after).await,
            (Method::DELETE, Target::Job { job, .. }) => self.end(&call, job).await,
            (Method::GET, Target::Item { job, item }) => self.body(&call, job, item).await,
            _ => empty_response(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    /// Submits a batch job and records metrics.
    async fn submit_with_metrics(&self, call: &BatchCall, route: &Arc<Route>) -> Response<Bytes> {
        let metrics = &metrics::get().batch_api;
        metrics.offered(call.request.body().len());
        let response = self.submit(call, route).await;
        metrics.answered(response.status(), call.received_at.elapsed());
        response
    }

    async fn submit(&self, call: &BatchCall, route: &Arc<Route>) -> Response<Bytes> {
        let headers = call.request.headers();
        let Some(id) = header_text(headers, "request-id").filter(|id| document::is_id(id)) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let items = match document::read(call.request.body()) {
            Ok(items) => items,
            Err(error) => {
                log::debug!("batch job {id}: {error}");
                return empty_response(StatusCode::BAD_REQUEST);
            }
        };
        let job = NewJob {
            id: JobId::from(id),
            route: route.name.clone(),
            host: route.hostname.clone(),
            config_version: 0,
            age_ms: 0,
            items: items.into_iter().map(to_item).collect(),
        };
        let limits = CallLimits {
            retry_until: call.received_at + SUBMIT_RETRY_TIMEOUT.min(client_timeout(headers)),
            resolve_until: call.received_at + SUBMIT_RESOLVE_TIMEOUT.min(client_timeout(headers)),
            hold: Duration::ZERO,
        };
        if !self.admission.admits(route, job.tokens()) {
            let timeout = limits
                .resolve_until
                .saturating_duration_since(Instant::now());
            return self.refuse_unless_accepted(route, &job.id, timeout).await;
        }
        let try_id = self.random.borrow_mut().rand_u64();
        let call = StoreCall::Submit { try_id, job };
        let (outcome, reading) =
            call_primary(&*self.link, self.snapshots.clone(), &call, limits).await;
        if let Some(reading) = reading {
            self.admission.record_reading(route, reading);
        }
        submit_response(outcome)
    }

    /// Responds to a batch job that the admission check refuses. A retried job that has already been accepted is not
    /// refused. If the primary does not confirm that in time, the refusal stands, as nothing was submitted.
    async fn refuse_unless_accepted(
        &self,
        route: &Arc<Route>,
        job: &JobId,
        client_timeout: Duration,
    ) -> Response<Bytes> {
        let try_id = self.random.borrow_mut().rand_u64();
        let query = KnownJobQuery {
            try_id,
            job,
            route: &route.name,
        };
        let timeout = KNOWN_JOB_QUERY_TIMEOUT.min(client_timeout);
        let (accepted, reading) = is_accepted(&*self.link, &self.snapshots, &query, timeout).await;
        if let Some(reading) = reading {
            self.admission.record_reading(route, reading);
        }
        if accepted {
            return empty_response(StatusCode::ACCEPTED);
        }
        metrics::get().batch_api.refused_by_coin();
        over_quota()
    }

    async fn read(&self, call: &BatchCall, job: String, after: u64) -> Response<Bytes> {
        let Ok(after) = u32::try_from(after) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let hold = header_milliseconds(call.request.headers(), "wait-ms")
            .unwrap_or_default()
            .min(MAX_HOLD);
        let until = call.received_at + hold + READ_TIMEOUT_MARGIN;
        let limits = CallLimits {
            retry_until: until,
            resolve_until: until,
            hold,
        };
        let wait_ms = u32::try_from(hold.as_millis()).unwrap_or(0);
        match self
            .call_store(
                StoreCall::Read {
                    job: JobId(job),
                    after,
                    wait_ms,
                },
                limits,
            )
            .await
        {
            CallOutcome::Answered(reply) | CallOutcome::AnsweredAfterUnknown(reply) => {
                match reply {
                    StoreReply::Results(json) => response_with_body(json, "application/json"),
                    other => error_response(&other),
                }
            }
            CallOutcome::NotServed | CallOutcome::Unknown => unavailable(),
        }
    }

    async fn body(&self, call: &BatchCall, job: String, item: String) -> Response<Bytes> {
        match self
            .call_store(
                StoreCall::Body {
                    job: JobId(job),
                    item,
                },
                default_limits(call),
            )
            .await
        {
            CallOutcome::Answered(reply) | CallOutcome::AnsweredAfterUnknown(reply) => {
                match reply {
                    StoreReply::Body(bytes) => {
                        response_with_body(bytes, "application/octet-stream")
                    }
                    other => error_response(&other),
                }
            }
            CallOutcome::NotServed | CallOutcome::Unknown => unavailable(),
        }
    }

    async fn end(&self, call: &BatchCall, job: String) -> Response<Bytes> {
        match self
            .call_store(StoreCall::End(JobId(job)), default_limits(call))
            .await
        {
            CallOutcome::Answered(reply) | CallOutcome::AnsweredAfterUnknown(reply) => {
                match reply {
                    StoreReply::Committed => empty_response(StatusCode::OK),
                    other => error_response(&other),
                }
            }
            CallOutcome::NotServed => unavailable(),
            CallOutcome::Unknown => empty_response(StatusCode::GATEWAY_TIMEOUT),
        }
    }

    async fn call_store(&self, call: StoreCall, limits: CallLimits) -> CallOutcome {
        call_primary(&*self.link, self.snapshots.clone(), &call, limits)
            .await
            .0
    }
}

/// Response to a submission. Status 429 and 503 guarantee that none of the job's items run. After an attempt with
/// unknown outcome neither is returned, as that attempt may still be accepted.
fn submit_response(outcome: CallOutcome) -> Response<Bytes> {
    match outcome {
        CallOutcome::Answered(StoreReply::Committed)
        | CallOutcome::AnsweredAfterUnknown(StoreReply::Committed) => {
            empty_response(StatusCode::ACCEPTED)
        }
        CallOutcome::Answered(StoreReply::OverQuota) => over_quota(),
        CallOutcome::Answered(StoreReply::Invalid) => empty_response(StatusCode::BAD_REQUEST),
        CallOutcome::NotServed => unavailable(),
        CallOutcome::Answered(_) | CallOutcome::AnsweredAfterUnknown(_) | CallOutcome::Unknown => {
            empty_response(StatusCode::GATEWAY_TIMEOUT)
        }
    }
}

fn error_response(reply: &StoreReply) -> Response<Bytes> {
    match reply {
        StoreReply::NotFound => empty_response(StatusCode::NOT_FOUND),
        _ => unavailable(),
    }
}

fn default_limits(call: &BatchCall) -> CallLimits {
    let until = call.received_at + DEFAULT_CALL_TIMEOUT;
    CallLimits {
        retry_until: until,
        resolve_until: until,
        hold: Duration::ZERO,
    }
}

fn to_item(item: SubmittedItem) -> Item {
    let headers = item
        .headers
        .into_iter()
        .map(|(name, value)| Header { name, value })
        .collect();
    let request = ItemRequest {
        path: item.path,
        headers,
        body: item.body,
    };
    Item {
        id: item.id,
        tokens: item.tokens,
        request: Some(request),
    }
}

fn response_with_body(bytes: Vec<u8>, content_type: &'static str) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(bytes));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn header_milliseconds(headers: &HeaderMap, name: &str) -> Option<Duration> {
    header_text(headers, name)
        .and_then(|value| value.trim().parse().ok())
        .map(Duration::from_millis)
}

/// The client's deadline less [`RESPONSE_MARGIN`].
fn client_timeout(headers: &HeaderMap) -> Duration {
    header_milliseconds(headers, "deadline-ms").map_or(SUBMIT_RESOLVE_TIMEOUT, |time| {
        time.saturating_sub(RESPONSE_MARGIN)
    })
}

#[cfg(test)]
mod tests;
