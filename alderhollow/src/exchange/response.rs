//! An answer that has begun.

use super::attempt::Attempt;
use super::outbound::RESPONSE_SEAL;
use super::pool::Pooled;
use crate::balance::Outcome;
use alderhollow_dataplane::headers::pass_on;
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{self, HeaderMap};
use hyper::{Response, StatusCode};
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use thiserror::Error;

const EVENT_STREAM: &str = "text/event-stream";

/// The answer ended before it was whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the backend's answer is not whole")]
pub struct IncompleteResponse;

/// A backend's answer, whose body is still to be read. Dropped, it ends the backend's work and the connection.
pub struct BackendResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without those of its connection.
    pub headers: HeaderMap,
    body: Incoming,
    /// Whether its end can be told from a connection that was cut.
    delimited: bool,
    pooled: Pooled,
    attempt: Attempt,
}

impl BackendResponse {
    pub(super) fn new(
        response: Response<Incoming>,
        pooled: Pooled,
        attempt: Attempt,
    ) -> BackendResponse {
        let (head, body) = response.into_parts();
        let delimited = body.is_end_stream()
            || body.size_hint().exact().is_some()
            || head.headers.contains_key(header::TRANSFER_ENCODING);
        let headers = pass_on(head.headers, &[]);
        BackendResponse {
            status: head.status,
            headers,
            body,
            delimited,
            pooled,
            attempt,
        }
    }

    /// Whether it may be passed on: a success needs the backend's stamp, and a body as the backend made it.
    pub fn is_valid(&self) -> bool {
        let stamped = self.headers.contains_key(RESPONSE_SEAL);
        let encoded = self.headers.contains_key(header::CONTENT_ENCODING);
        !self.status.is_success() || (stamped && !encoded)
    }

    /// Whether it is a success that comes as a series of events.
    pub fn is_event_stream(&self) -> bool {
        let kind = self
            .headers
            .get(header::CONTENT_TYPE)
            .and_then(|kind| kind.to_str().ok());
        let is_stream = kind.is_some_and(|kind| kind.trim_start().starts_with(EVENT_STREAM));
        self.status == StatusCode::OK && is_stream
    }

    /// Length of the rest of the body, where it is known.
    pub fn length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Notes that the first event, or the head of an answer that is no stream, came.
    pub fn began(&self) {
        self.attempt.began();
    }

    /// The next piece of the body; `None` at its proper end.
    pub async fn next_chunk(&mut self) -> Option<Result<Bytes, IncompleteResponse>> {
        match self.pooled.link.piece(&mut self.body).await {
            Some(piece) => Some(piece.map_err(|_| IncompleteResponse)),
            None if self.delimited => None,
            None => Some(Err(IncompleteResponse)),
        }
    }

    /// As [`BackendResponse::piece`], if there is something to tell by now. The task is not woken when more comes.
    pub fn try_next_chunk(&mut self) -> Option<Option<Result<Bytes, IncompleteResponse>>> {
        let mut context = Context::from_waker(Waker::noop());
        match pin!(self.next_chunk()).poll(&mut context) {
            Poll::Ready(piece) => Some(piece),
            Poll::Pending => None,
        }
    }

    /// The body was read to its end: the connection goes back to the pool.
    pub async fn finish(self, outcome: Outcome) {
        let BackendResponse {
            pooled, attempt, ..
        } = self;
        let exchange = attempt.exchange();
        attempt.end(outcome);
        exchange.park(pooled).await;
    }

    /// The rest is not wanted: the connection closes, and with it the backend's work ends.
    pub fn abandon(self, outcome: Outcome) {
        self.attempt.end(outcome);
    }
}
