//! Responses that the gateway generates itself. None of them carries a backend's stamp.

use super::body::ResponseBody;
use hyper::body::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// The `Retry-After` delay when no better estimate exists.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Bounds of the `Retry-After` delay.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// A response without a body.
pub(super) fn empty(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// 503 with `Retry-After`: no backend has run the request or will run it, so the client may retry.
pub(super) fn service_unavailable(delay: Duration) -> Response<ResponseBody> {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = delay.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER).as_secs_f64();
    if let Ok(seconds) = HeaderValue::from_str(&format!("{seconds:.3}")) {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}
