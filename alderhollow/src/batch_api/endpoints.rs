//! Serves clients' calls about batch jobs by calling the primary of the job's batch group.

use super::admission::Admission;
use super::document::{self, SubmittedItem};
use super::path::{self, Target};
use super::store_calls::{
    ask_primary, is_accepted, CallEnd, KnownJobQuestion, Patience, StoreLink,
};
use super::{over_quota, plain, unavailable, BatchCall, BatchEndpoints, BatchResponseFuture};
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
const SUBMIT_UNSERVED: Duration = Duration::from_millis(250);
/// How long an unknown outcome of a submission is resolved, unless the client's deadline is shorter.
const SUBMIT_UNKNOWN: Duration = Duration::from_millis(3_000);
/// Timeout of the query whether a job that the admission check refuses has already been accepted.
const KNOWN_JOB_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that a client of a read waits beyond `Wait-Ms`, which includes network latency.
const READ_MARGIN: Duration = Duration::from_millis(1_000);
/// Maximum hold of a read that a client can request.
const LONGEST_HOLD: Duration = Duration::from_millis(5_000);
/// Timeout of reading item bodies and of ending jobs.
const OTHER_PATIENCE: Duration = Duration::from_millis(1_200);
/// Part of the client's deadline that is reserved for returning the response.
const WAY_BACK: Duration = Duration::from_millis(50);

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
        Box::pin(async move { endpoints.answer(call).await })
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

    async fn answer(&self, call: BatchCall) -> Response<Bytes> {
        let uri = call.request.uri();
        if !path::is_batch_path(uri.path()) {
            return match &call.route {
                Some(route) if call.request.method() == Method::POST => {
                    self.offered(&call, route).await
                }
                _ => plain(StatusCode::METHOD_NOT_ALLOWED),
            };
        }
        let Ok(target) = path::read(uri.path(), uri.query()) else {
            return plain(StatusCode::BAD_REQUEST);
        };
        match (call.request.method().clone(), target) {
            (Method::GET, Target::Lot { job, after }) => self.read(&call, job, after).await,
            (Method::DELETE, Target::Lot { job, .. }) => self.end(&call, job).await,
            (Method::GET, Target::Item { job, item }) => self.body(&call, job, item).await,
            _ => plain(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    /// Submits a batch job and records metrics.
    async fn offered(&self, call: &BatchCall, route: &Arc<Route>) -> Response<Bytes> {
        let metrics = &metrics::get().batch_api;
        metrics.offered(call.request.body().len());
        let response = self.submit(call, route).await;
        metrics.answered(response.status(), call.received_at.elapsed());
        response
    }

    async fn submit(&self, call: &BatchCall, route: &Arc<Route>) -> Response<Bytes> {
        let headers = call.request.headers();
        let Some(id) = text(headers, "request-id").filter(|id| document::is_id(id)) else {
            return plain(StatusCode::BAD_REQUEST);
        };
        let items = match document::read(call.request.body()) {
            Ok(items) => items,
            Err(error) => {
                log::debug!("batch job {id}: {error}");
                return plain(StatusCode::BAD_REQUEST);
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
        let patience = Patience {
            unserved_until: call.received_at + SUBMIT_UNSERVED.min(time_of(headers)),
            unknown_until: call.received_at + SUBMIT_UNKNOWN.min(time_of(headers)),
            held: Duration::ZERO,
        };
        if !self.admission.passes(route, job.tokens()) {
            let timeout = patience
                .unknown_until
                .saturating_duration_since(Instant::now());
            return self.refuse_unless_accepted(route, &job.id, timeout).await;
        }
        let try_id = self.random.borrow_mut().rand_u64();
        let call = StoreCall::Submit { try_id, job };
        let (end, reading) =
            ask_primary(&*self.link, self.snapshots.clone(), &call, patience).await;
        if let Some(reading) = reading {
            self.admission.read(route, reading);
        }
        submit_answer(end)
    }

    /// Responds to a batch job that the admission check refuses. A retried job that has already been accepted is not
    /// refused. If the primary does not confirm that in time, the refusal stands, as nothing was submitted.
    async fn refuse_unless_accepted(
        &self,
        route: &Arc<Route>,
        job: &JobId,
        client_time: Duration,
    ) -> Response<Bytes> {
        let try_id = self.random.borrow_mut().rand_u64();
        let question = KnownJobQuestion {
            try_id,
            job,
            route: &route.name,
        };
        let timeout = KNOWN_JOB_TIMEOUT.min(client_time);
        let (accepted, reading) =
            is_accepted(&*self.link, &self.snapshots, &question, timeout).await;
        if let Some(reading) = reading {
            self.admission.read(route, reading);
        }
        if accepted {
            return plain(StatusCode::ACCEPTED);
        }
        metrics::get().batch_api.refused_by_coin();
        over_quota()
    }

    async fn read(&self, call: &BatchCall, job: String, after: u64) -> Response<Bytes> {
        let Ok(after) = u32::try_from(after) else {
            return plain(StatusCode::BAD_REQUEST);
        };
        let held = milliseconds(call.request.headers(), "wait-ms")
            .unwrap_or_default()
            .min(LONGEST_HOLD);
        let until = call.received_at + held + READ_MARGIN;
        let patience = Patience {
            unserved_until: until,
            unknown_until: until,
            held,
        };
        let wait_ms = u32::try_from(held.as_millis()).unwrap_or(0);
        match self
            .ask(
                StoreCall::Read {
                    job: JobId(job),
                    after,
                    wait_ms,
                },
                patience,
            )
            .await
        {
            CallEnd::Answered(reply) | CallEnd::AnsweredAfterUnknown(reply) => match reply {
                StoreReply::Results(json) => with_body(json, "application/json"),
                other => read_failure(&other),
            },
            CallEnd::NotServed | CallEnd::Unknown => unavailable(),
        }
    }

    async fn body(&self, call: &BatchCall, job: String, item: String) -> Response<Bytes> {
        match self
            .ask(
                StoreCall::Body {
                    job: JobId(job),
                    item,
                },
                other_patience(call),
            )
            .await
        {
            CallEnd::Answered(reply) | CallEnd::AnsweredAfterUnknown(reply) => match reply {
                StoreReply::Body(bytes) => with_body(bytes, "application/octet-stream"),
                other => read_failure(&other),
            },
            CallEnd::NotServed | CallEnd::Unknown => unavailable(),
        }
    }

    async fn end(&self, call: &BatchCall, job: String) -> Response<Bytes> {
        match self
            .ask(StoreCall::End(JobId(job)), other_patience(call))
            .await
        {
            CallEnd::Answered(reply) | CallEnd::AnsweredAfterUnknown(reply) => match reply {
                StoreReply::Committed => plain(StatusCode::OK),
                other => read_failure(&other),
            },
            CallEnd::NotServed => unavailable(),
            CallEnd::Unknown => plain(StatusCode::GATEWAY_TIMEOUT),
        }
    }

    async fn ask(&self, call: StoreCall, patience: Patience) -> CallEnd {
        ask_primary(&*self.link, self.snapshots.clone(), &call, patience)
            .await
            .0
    }
}

/// Response to a submission. Status 429 and 503 guarantee that none of the job's items run. After an attempt with
/// unknown outcome neither is returned, as that attempt may still be accepted.
fn submit_answer(end: CallEnd) -> Response<Bytes> {
    match end {
        CallEnd::Answered(StoreReply::Committed)
        | CallEnd::AnsweredAfterUnknown(StoreReply::Committed) => plain(StatusCode::ACCEPTED),
        CallEnd::Answered(StoreReply::OverQuota) => over_quota(),
        CallEnd::Answered(StoreReply::Invalid) => plain(StatusCode::BAD_REQUEST),
        CallEnd::NotServed => unavailable(),
        CallEnd::Answered(_) | CallEnd::AnsweredAfterUnknown(_) | CallEnd::Unknown => {
            plain(StatusCode::GATEWAY_TIMEOUT)
        }
    }
}

fn read_failure(reply: &StoreReply) -> Response<Bytes> {
    match reply {
        StoreReply::NotFound => plain(StatusCode::NOT_FOUND),
        _ => unavailable(),
    }
}

fn other_patience(call: &BatchCall) -> Patience {
    let until = call.received_at + OTHER_PATIENCE;
    Patience {
        unserved_until: until,
        unknown_until: until,
        held: Duration::ZERO,
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

fn with_body(bytes: Vec<u8>, content_type: &'static str) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(bytes));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn milliseconds(headers: &HeaderMap, name: &str) -> Option<Duration> {
    text(headers, name)
        .and_then(|value| value.trim().parse().ok())
        .map(Duration::from_millis)
}

/// The client's deadline less [`RESPONSE_MARGIN`].
fn time_of(headers: &HeaderMap) -> Duration {
    milliseconds(headers, "deadline-ms")
        .map_or(SUBMIT_UNKNOWN, |time| time.saturating_sub(WAY_BACK))
}

#[cfg(test)]
mod tests;
