//! Reads and buffers a client's request within the configured limits.

use super::body::ResponseBody;
use super::body_budget::BodyReservation;
use super::replies;
use alderhollow_model::config::Limits;
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use std::time::Duration;
use thiserror::Error;
use tokio::time::timeout;

/// Bytes of a request head besides method, target and headers: the version, spaces and line ends.
const REQUEST_LINE_OVERHEAD_BYTES: usize = 14;
/// Bytes of a header line besides its name and value.
const HEADER_OVERHEAD_BYTES: usize = 4;

/// Why a request was rejected before it was sent to any backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum RequestReadError {
    /// The request head exceeds the configured limit.
    #[error("the request head is too large")]
    HeadTooLarge,
    /// The request body exceeds the configured limit.
    #[error("the request body is too large")]
    BodyTooLarge,
    /// The body is malformed, or the client disconnected.
    #[error("the request body is malformed or incomplete")]
    Broken,
    /// The client sent no further body data in time.
    #[error("timed out while reading the request body")]
    Stalled,
    /// Bodies of other requests use up the memory budget, or the part of it that is left to the route.
    #[error("no memory budget remaining for the request body")]
    BudgetExhausted,
}

impl RequestReadError {
    /// The response to the client.
    pub(super) fn reply(self) -> Response<ResponseBody> {
        match self {
            RequestReadError::HeadTooLarge => {
                replies::empty(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)
            }
            RequestReadError::BodyTooLarge => replies::empty(StatusCode::PAYLOAD_TOO_LARGE),
            RequestReadError::Broken => replies::empty(StatusCode::BAD_REQUEST),
            RequestReadError::Stalled => replies::empty(StatusCode::REQUEST_TIMEOUT),
            RequestReadError::BudgetExhausted => {
                replies::service_unavailable(replies::DEFAULT_RETRY_AFTER)
            }
        }
    }
}

/// A fully buffered request body.
pub(super) struct BufferedBody {
    /// The content of the body.
    pub bytes: Bytes,
    _reservation: BodyReservation,
}

/// Checks a request head, and the body length that it announces, against the limits.
///
/// # Errors
/// The head or the announced body is too large.
pub(super) fn check_head(
    head: &Parts,
    body: &Incoming,
    limits: &Limits,
) -> Result<(), RequestReadError> {
    if head_bytes(head) as u64 > limits.max_header_bytes {
        return Err(RequestReadError::HeadTooLarge);
    }
    // The lower bound is the announced length.
    if body.size_hint().lower() > limits.max_body_bytes {
        return Err(RequestReadError::BodyTooLarge);
    }
    Ok(())
}

fn head_bytes(head: &Parts) -> usize {
    let target = head
        .uri
        .path_and_query()
        .map_or(0, |target| target.as_str().len());
    let request_line = head.method.as_str().len() + target + REQUEST_LINE_OVERHEAD_BYTES;
    request_line + header_bytes(&head.headers)
}

fn header_bytes(headers: &HeaderMap<HeaderValue>) -> usize {
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD_BYTES)
        .sum()
}

/// Reads and buffers a whole body.
///
/// # Errors
/// The body is malformed, incomplete, stalled, too large or exceeds its route's part of the memory budget.
pub(super) async fn read_body(
    mut body: Incoming,
    limits: &Limits,
    mut reservation: BodyReservation,
) -> Result<BufferedBody, RequestReadError> {
    let read_timeout = Duration::from_millis(limits.header_timeout_ms);
    let mut chunks: Vec<Bytes> = Vec::new();
    while !body.is_end_stream() {
        let frame = match timeout(read_timeout, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => break,
            Ok(Some(Err(_))) => return Err(RequestReadError::Broken),
            Err(_) => return Err(RequestReadError::Stalled),
        };
        // Trailers apply to this connection only and are not forwarded.
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        if (reservation.bytes() + chunk.len()) as u64 > limits.max_body_bytes {
            return Err(RequestReadError::BodyTooLarge);
        }
        if !reservation.reserve(chunk.len()) {
            return Err(RequestReadError::BudgetExhausted);
        }
        chunks.push(chunk);
    }
    let bytes = if chunks.len() == 1 {
        chunks.swap_remove(0)
    } else {
        chunks.concat().into()
    };
    Ok(BufferedBody {
        bytes,
        _reservation: reservation,
    })
}
