//! The gateway's own answers. None of them has a backend's stamp.

use super::body::ResponseBody;
use hyper::body::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// When a client may come again where nothing better is known.
pub(super) const COME_AGAIN: Duration = Duration::from_millis(200);
/// The longest and the shortest pause that a client is told.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);
const SHORTEST_PAUSE: Duration = Duration::from_millis(20);

/// An answer without a body.
pub(super) fn plain(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// 503: the request has not run and never will; it may come again.
pub(super) fn come_again(after: Duration) -> Response<ResponseBody> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = after.clamp(SHORTEST_PAUSE, LONGEST_PAUSE).as_secs_f64();
    if let Ok(seconds) = HeaderValue::from_str(&format!("{seconds:.3}")) {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}
