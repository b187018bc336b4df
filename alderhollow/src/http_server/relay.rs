//! Serves one request: tries backends until one response can go to the client.

use super::body::ResponseBody;
use super::replies;
use super::stream;
use super::tries::{Job, Tries, Wait};
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
    Partial(BackendResponse, Vec<Bytes>),
    /// The response is incomplete, or must not be forwarded.
    Unusable,
}

/// Serves a request. Dropping the future or the response body cancels the request and the backend's work on it.
pub(super) async fn serve(exchange: Rc<Exchange>, job: Rc<Job>) -> Response<ResponseBody> {
    let mut tries = Tries::new(exchange, job);
    // The latest error response of a backend, returned if no backend does better.
    let mut failure: Option<BufferedResponse> = None;
    loop {
        let answer = match tries.next_answer(None).await {
            Ok(answer) => answer,
            Err(given_up) => return failure.map_or_else(|| given_up.reply(), full_response),
        };
        match receive(&tries, answer).await {
            Received::Partial(answer, chunks) => return streaming_response(tries, answer, chunks),
            Received::Complete(received)
                if received.status.is_server_error() && tries.may_run_again() =>
            {
                failure = Some(received);
            }
            Received::Complete(received) => return full_response(received),
            Received::Unusable if tries.may_run_again() => {}
            Received::Unusable => {
                return failure.map_or_else(|| tries.give_up().reply(), full_response)
            }
        }
    }
}

/// Reads a response until it ends or exceeds the buffer.
async fn receive(tries: &Tries, mut answer: BackendResponse) -> Received {
    if !answer.is_valid() {
        answer.abandon(Outcome::Broken);
        return Received::Unusable;
    }
    let is_stream = answer.is_event_stream();
    if !is_stream {
        answer.began();
    }
    let max_size = if is_stream { 0 } else { MAX_BUFFERED_BYTES };
    let mut chunks = Vec::new();
    let mut size = 0;
    loop {
        match tries.next_chunk(&mut answer, Wait::Beginning).await {
            Ok(Some(chunk)) => {
                size += chunk.len();
                chunks.push(chunk);
                if size > max_size {
                    answer.began();
                    return Received::Partial(answer, chunks);
                }
            }
            Ok(None) => return complete(tries, answer, chunks).await,
            Err(outcome) => {
                answer.abandon(outcome);
                return Received::Unusable;
            }
        }
    }
}

/// Completes a response that has ended properly.
async fn complete(tries: &Tries, mut answer: BackendResponse, chunks: Vec<Bytes>) -> Received {
    let status = answer.status;
    let headers = std::mem::take(&mut answer.headers);
    answer
        .finish(if status.is_server_error() {
            Outcome::Failed
        } else {
            Outcome::Served
        })
        .await;
    // Forwarding this status would promise that the request has not run, which the backend did not say.
    if promises_not_run(status) && !tries.job().route.may_repeat() {
        return Received::Unusable;
    }
    Received::Complete(BufferedResponse {
        status,
        headers,
        body: join(chunks),
    })
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
    tries: Tries,
    mut answer: BackendResponse,
    chunks: Vec<Bytes>,
) -> Response<ResponseBody> {
    let status = answer.status;
    let is_resumable = answer.is_event_stream() && tries.job().route.resumable;
    let headers = std::mem::take(&mut answer.headers);
    let first = join(chunks);
    let write_by = tries.job().deadline + CLIENT_READ_SLACK;
    let body = match is_resumable {
        true => ResponseBody::streaming(write_by, |slot| {
            stream::forward_events(tries, answer, first, slot)
        }),
        false => ResponseBody::streaming(write_by, |slot| {
            stream::forward_chunks(tries, answer, first, slot)
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
