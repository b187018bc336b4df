//! Serves one request: its attempts at backends, and the one answer that its client gets.

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

/// Bytes of an answer that are gathered before its client gets any: until then another backend may answer instead.
const GATHERED_BYTES: usize = 64 * 1024;

/// How much later than its deadline a client may read the end of its answer.
const READING_SLACK: Duration = Duration::from_millis(250);

/// An answer that is here whole.
struct Whole {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// What is here of an answer.
enum Received {
    Whole(Whole),
    /// A success of which the beginning is here.
    Begun(BackendResponse, Vec<Bytes>),
    /// It ended before it was whole, or is none that may be passed on.
    Lost,
}

/// Serves a request. Dropping the future, or the answer's body, gives it up and ends the backend's work.
pub(super) async fn serve(exchange: Rc<Exchange>, job: Rc<Job>) -> Response<ResponseBody> {
    let mut tries = Tries::new(exchange, job);
    // The newest failure of a backend, for want of anything better.
    let mut failure: Option<Whole> = None;
    loop {
        let answer = match tries.next_answer(None).await {
            Ok(answer) => answer,
            Err(given_up) => return failure.map_or_else(|| given_up.reply(), whole),
        };
        match receive(&tries, answer).await {
            Received::Begun(answer, pieces) => return begun(tries, answer, pieces),
            Received::Whole(received)
                if received.status.is_server_error() && tries.may_run_again() =>
            {
                failure = Some(received);
            }
            Received::Whole(received) => return whole(received),
            Received::Lost if tries.may_run_again() => {}
            Received::Lost => return failure.map_or_else(|| tries.give_up().reply(), whole),
        }
    }
}

/// Reads an answer as far as it is gathered.
async fn receive(tries: &Tries, mut answer: BackendResponse) -> Received {
    if !answer.is_valid() {
        answer.abandon(Outcome::Broken);
        return Received::Lost;
    }
    let is_stream = answer.is_event_stream();
    if !is_stream {
        answer.began();
    }
    let most = if is_stream { 0 } else { GATHERED_BYTES };
    let mut pieces = Vec::new();
    let mut size = 0;
    loop {
        match tries.next_chunk(&mut answer, Wait::Beginning).await {
            Ok(Some(piece)) => {
                size += piece.len();
                pieces.push(piece);
                if size > most {
                    answer.began();
                    return Received::Begun(answer, pieces);
                }
            }
            Ok(None) => return gathered(tries, answer, pieces).await,
            Err(outcome) => {
                answer.abandon(outcome);
                return Received::Lost;
            }
        }
    }
}

/// An answer that has ended in order.
async fn gathered(tries: &Tries, mut answer: BackendResponse, pieces: Vec<Bytes>) -> Received {
    let status = answer.status;
    let headers = std::mem::take(&mut answer.headers);
    answer
        .finish(if status.is_server_error() {
            Outcome::Failed
        } else {
            Outcome::Served
        })
        .await;
    // Passed on, it would promise that the request has not run: the backend did not say so.
    if is_promise(status) && !tries.job().route.may_repeat() {
        return Received::Lost;
    }
    Received::Whole(Whole {
        status,
        headers,
        body: join(pieces),
    })
}

/// Statuses that promise a client that its request has not run.
fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
    )
}

fn whole(received: Whole) -> Response<ResponseBody> {
    response(
        received.status,
        received.headers,
        ResponseBody::full(received.body),
    )
}

/// Passes on what has begun.
fn begun(tries: Tries, mut answer: BackendResponse, pieces: Vec<Bytes>) -> Response<ResponseBody> {
    let status = answer.status;
    let resumes = answer.is_event_stream() && tries.job().route.resumable;
    let headers = std::mem::take(&mut answer.headers);
    let first = join(pieces);
    let due = tries.job().deadline + READING_SLACK;
    let body = match resumes {
        true => ResponseBody::streaming(due, |slot| {
            stream::forward_events(tries, answer, first, slot)
        }),
        false => ResponseBody::streaming(due, |slot| {
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

fn join(mut pieces: Vec<Bytes>) -> Bytes {
    match pieces.len() {
        1 => pieces.swap_remove(0),
        _ => pieces.concat().into(),
    }
}

/// The gateway's answer where no backend was asked.
pub(super) fn no_service_available() -> Response<ResponseBody> {
    replies::service_unavailable(replies::DEFAULT_RETRY_AFTER)
}
