//! Responses of backends whose head has arrived.

use super::attempt::Attempt;
use super::outbound::{Outbound, RESPONSE_SEAL};
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

/// The response ended prematurely, or is malformed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the backend's response is incomplete")]
pub struct IncompleteResponse;

/// A backend's response whose body is still to be read. Dropping it closes the connection, which cancels the
/// backend's work.
pub struct BackendResponse {
    /// The status code.
    pub status: StatusCode,
    /// The headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    body: Incoming,
    /// Whether the framing distinguishes the end of the body from a lost connection.
    delimited: bool,
    /// Whether its request may be sent again after it was served.
    may_recur: bool,
    pooled: Pooled,
    attempt: Attempt,
}

impl BackendResponse {
    pub(super) fn new(
        response: Response<Incoming>,
        outbound: &Outbound,
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
            may_recur: outbound.may_recur(),
            pooled,
            attempt,
        }
    }

    /// Whether it may be forwarded: a success needs the `Response-Seal` header and a body without content encoding.
    pub fn is_valid(&self) -> bool {
        let stamped = self.headers.contains_key(RESPONSE_SEAL);
        let encoded = self.headers.contains_key(header::CONTENT_ENCODING);
        !self.status.is_success() || (stamped && !encoded)
    }

    /// Whether it is a success with a stream of events.
    pub fn is_event_stream(&self) -> bool {
        let content_type = self
            .headers
            .get(header::CONTENT_TYPE)
            .and_then(|content_type| content_type.to_str().ok());
        let is_stream = content_type
            .is_some_and(|content_type| content_type.trim_start().starts_with(EVENT_STREAM));
        self.status == StatusCode::OK && is_stream
    }

    /// Length of the remaining body, if known.
    pub fn length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Records that the first event, or the head of a response that is not a stream, has arrived.
    pub fn began(&self) {
        self.attempt.began();
    }

    /// Reads the next chunk of the body; `None` at its regular end. The end of a body without a length cannot be told from
    /// a truncation, and is an error.
    pub async fn next_chunk(&mut self) -> Option<Result<Bytes, IncompleteResponse>> {
        match self.next_chunk_until_close().await {
            None if !self.delimited => Some(Err(IncompleteResponse)),
            chunk => chunk,
        }
    }

    /// Reads the next chunk of the body; `None` at its regular end. A body without a length ends with its connection,
    /// unless that is reset.
    pub async fn next_chunk_until_close(&mut self) -> Option<Result<Bytes, IncompleteResponse>> {
        let chunk = self.pooled.next_chunk(&mut self.body).await?;
        Some(chunk.map_err(|_| IncompleteResponse))
    }

    /// Polls [`BackendResponse::next_chunk`] once; `None` if it is pending. The task is not woken when data arrives.
    pub fn try_next_chunk(&mut self) -> Option<Option<Result<Bytes, IncompleteResponse>>> {
        let mut context = Context::from_waker(Waker::noop());
        match pin!(self.next_chunk()).poll(&mut context) {
            Poll::Ready(chunk) => Some(chunk),
            Poll::Pending => None,
        }
    }

    /// Ends the attempt and returns the connection to the pool. The body must have been read to the end.
    pub async fn finish(self, outcome: Outcome) {
        let BackendResponse {
            may_recur,
            mut pooled,
            attempt,
            ..
        } = self;
        if outcome == Outcome::Served && !may_recur {
            pooled.forget_last_request();
        }
        let exchange = attempt.exchange();
        attempt.end(outcome);
        exchange.release(pooled).await;
    }

    /// Ends the attempt and closes the connection, which cancels the backend's work.
    pub fn abandon(self, outcome: Outcome) {
        self.attempt.end(outcome);
    }
}
