//! The HTTP interface for batch jobs at a gateway (PROTOCOL.md, *Batch jobs*): validates clients' calls and forwards them
//! to the primary of the batch group.

pub mod admission;
pub mod document;
pub mod endpoints;
pub mod path;
pub mod store_calls;

use alderhollow_model::config::Route;
use hyper::body::Bytes;
use hyper::{Request, Response, StatusCode};
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use tokio::time::Instant;

/// `Retry-After` of refused calls, in seconds.
pub const RETRY_AFTER_S: &str = "0.3";

/// The pending response to a call.
pub type BatchResponseFuture = Pin<Box<dyn Future<Output = Response<Bytes>>>>;

/// A client's call about batch jobs, with its complete body.
#[derive(Debug)]
pub struct BatchCall {
    /// Method, path with query, headers and body.
    pub request: Request<Bytes>,
    /// The batch route that a `POST` matched; `None` for the calls under [`path::JOBS_PREFIX`] and [`path::ITEMS_PREFIX`].
    pub route: Option<Arc<Route>>,
    /// When the head of the request was read.
    pub received_at: Instant,
}

/// Serves calls about batch jobs. The HTTP server passes it each `POST` that matches a route of type `batch`, and every
/// call for which [`path::is_batch_path`] holds. Dropping the future cancels the call.
pub trait BatchEndpoints {
    /// Serves one call.
    fn serve(&self, call: BatchCall) -> BatchResponseFuture;
}

/// 503: nothing was accepted, and the client may retry.
pub fn unavailable() -> Response<Bytes> {
    retry_later(StatusCode::SERVICE_UNAVAILABLE)
}

/// 429: the batch job exceeds the quota, and none of its items will run.
pub fn over_quota() -> Response<Bytes> {
    retry_later(StatusCode::TOO_MANY_REQUESTS)
}

fn retry_later(status: StatusCode) -> Response<Bytes> {
    let mut response = empty_response(status);
    response.headers_mut().insert(
        hyper::header::RETRY_AFTER,
        hyper::header::HeaderValue::from_static(RETRY_AFTER_S),
    );
    response
}

/// A response without a body.
pub fn empty_response(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}
