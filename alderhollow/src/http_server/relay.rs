//! Serves one request: tries backends until one response can go to the client.

use super::attempts::{Attempts, PendingRequest, Wait};
use super::body::ResponseBody;
use super::replies;
use super::stream;
use crate::balance::Outcome;
use crate::exchange::response::BackendResponse;
use crate::exchange::Exchange;
use hyper::body::Bytes;
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;

/// Bytes of a response that are buffered before any are sent to the client: until then another backend may respond
/// instead.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// How long after the request's deadline a client may still read the response.
const CLIENT_READ_SLACK: Duration = Duration::from_millis(250);

/// A fully buffered response.
struct BufferedResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// The result of buffering the beginning of a response.
enum Received {
    Complete(BufferedResponse),
    /// A response that exceeds the buffer, with the chunks received so far.
    Partial(Box<BackendResponse>, Vec<Bytes>),
    /// The response is incomplete, or must not be forwarded.
    Unusable,
}

/// Serves a request. Dropping the future or the response body cancels the request and the backend's work on it.
pub(super) async fn serve(
    exchange: Rc<Exchange>,
    request: Rc<PendingRequest>,
) -> Response<ResponseBody> {
    let mut attempts = Attempts::new(exchange, request);
    // The latest error response of a backend, returned if no backend does better.
    let mut failure: Option<BufferedResponse> = None;
    loop {
        let backend_response = match attempts.next_response(None).await {
            Ok(backend_response) => backend_response,
            Err(request_failure) => {
                return failure.map_or_else(|| request_failure.reply(), full_response)
            }
        };
        match receive(&attempts, backend_response).await {
            Received::Partial(backend_response, chunks) => {
                return streaming_response(attempts, *backend_response, chunks)
            }
            Received::Complete(received)
                if received.status.is_server_error() && attempts.may_run_again() =>
            {
                failure = Some(received);
            }
            Received::Complete(received) => return full_response(received),
            Received::Unusable if attempts.may_run_again() => {}
            Received::Unusable => {
                return failure.map_or_else(|| attempts.failure().reply(), full_response)
            }
        }
    }
}

/// Reads a response until it ends or exceeds the buffer. Its head alone decides whether it may be forwarded.
async fn receive(attempts: &Attempts, mut backend_response: BackendResponse) -> Received {
    if !backend_response.is_valid() {
        backend_response.abandon(Outcome::Broken);
        return Received::Unusable;
    }
    let may_forward = may_forward(attempts, backend_response.status);
    let is_stream = backend_response.is_event_stream();
    if !is_stream {
        backend_response.began();
    }
    let max_size = if is_stream { 0 } else { MAX_BUFFERED_BYTES };
    let mut chunks = Vec::new();
    let mut size = 0;
    loop {
        match attempts
            .next_chunk(&mut backend_response, Wait::FirstByte)
            .await
        {
            Ok(Some(chunk)) => {
                size += chunk.len();
                chunks.push(chunk);
                if size > max_size && !may_forward {
                    let outcome = outcome_of(backend_response.status);
                    backend_response.abandon(outcome);
                    return Received::Unusable;
                }
                if size > max_size {
                    backend_response.began();
                    return Received::Partial(Box::new(backend_response), chunks);
                }
            }
            Ok(None) if may_forward => return complete(backend_response, chunks).await,
            Ok(None) => {
                let outcome = outcome_of(backend_response.status);
                backend_response.finish(outcome).await;
                return Received::Unusable;
            }
            Err(outcome) => {
                backend_response.abandon(outcome);
                return Received::Unusable;
            }
        }
    }
}

/// Completes a response that has ended properly.
async fn complete(mut backend_response: BackendResponse, chunks: Vec<Bytes>) -> Received {
    let status = backend_response.status;
    let headers = std::mem::take(&mut backend_response.headers);
    backend_response.finish(outcome_of(status)).await;
    Received::Complete(BufferedResponse {
        status,
        headers,
        body: join(chunks),
    })
}

/// What a complete response with this status says of its backend.
fn outcome_of(status: StatusCode) -> Outcome {
    if status.is_server_error() {
        Outcome::Failed
    } else {
        Outcome::Served
    }
}

/// Whether the status may reach the client. One that promises that the request has not run may not, unless the request
/// may be repeated anyway: the backend did not say so.
fn may_forward(attempts: &Attempts, status: StatusCode) -> bool {
    !promises_not_run(status) || attempts.request().route.may_repeat()
}

/// Whether the status promises the client that its request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
    )
}

fn full_response(received: BufferedResponse) -> Response<ResponseBody> {
    response(
        received.status,
        received.headers,
        ResponseBody::full(received.body),
    )
}

/// Starts to forward a response whose beginning is buffered.
fn streaming_response(
    attempts: Attempts,
    mut backend_response: BackendResponse,
    chunks: Vec<Bytes>,
) -> Response<ResponseBody> {
    let status = backend_response.status;
    let is_resumable = backend_response.is_event_stream() && attempts.request().route.resumable;
    let headers = std::mem::take(&mut backend_response.headers);
    let first = join(chunks);
    let write_by = attempts.request().deadline + CLIENT_READ_SLACK;
    let body = match is_resumable {
        true => ResponseBody::streaming(write_by, |slot| {
            stream::forward_events(attempts, backend_response, first, slot)
        }),
        false => ResponseBody::streaming(write_by, |slot| {
            stream::forward_chunks(attempts, backend_response, first, slot)
        }),
    };
    response(status, headers, body)
}

fn response(status: StatusCode, headers: HeaderMap, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn join(mut chunks: Vec<Bytes>) -> Bytes {
    match chunks.len() {
        1 => chunks.swap_remove(0),
        _ => chunks.concat().into(),
    }
}

/// The gateway's response if no service is available and no backend was asked.
pub(super) fn no_service_available() -> Response<ResponseBody> {
    replies::service_unavailable(replies::DEFAULT_RETRY_AFTER)
}
