//! The clients' side of batch jobs at a gateway (PROTOCOL.md, *Batch jobs*): calls come in as HTTP, are checked here, and go on
//! to the primary of the group of stores.

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

/// What a refused client is told to wait where nothing better is known, in seconds.
pub const RETRY_AFTER_S: &str = "0.3";

/// An answer on its way.
pub type BatchAnswer = Pin<Box<dyn Future<Output = Response<Bytes>>>>;

/// One client's call about batch jobs, read whole.
#[derive(Debug)]
pub struct BatchCall {
    /// Method, path with query, headers and body.
    pub request: Request<Bytes>,
    /// The batch route that a `POST` matched; `None` for the calls under [`path::LOTS`] and [`path::ITEMS`].
    pub route: Option<Arc<Route>>,
    /// When the call's head was read.
    pub received_at: Instant,
}

/// Serves calls about batch jobs. The front gives it each `POST` that matches a route of type `batch`, and every call for
/// which [`path::is_batch_path`] holds. Dropping the answer's future gives the call up.
pub trait BatchEndpoints {
    /// Serves one call.
    fn serve(&self, call: BatchCall) -> BatchAnswer;
}

/// 503: nothing was handed over, the call may come again.
pub fn not_now() -> Response<Bytes> {
    retry_later(StatusCode::SERVICE_UNAVAILABLE)
}

/// 429: the batch job does not fit, and none of it runs.
pub fn over_quota() -> Response<Bytes> {
    retry_later(StatusCode::TOO_MANY_REQUESTS)
}

fn retry_later(status: StatusCode) -> Response<Bytes> {
    let mut response = plain(status);
    response.headers_mut().insert(
        hyper::header::RETRY_AFTER,
        hyper::header::HeaderValue::from_static(RETRY_AFTER_S),
    );
    response
}

/// An answer without a body.
pub fn plain(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}
