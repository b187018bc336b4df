//! Requests to backends.

use super::weights;
use crate::balance::ExpectedWeights;
use alderhollow_dataplane::flow::Upload;
use alderhollow_dataplane::headers::pass_on;
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Uri};
use thiserror::Error;
use tokio::time::Instant;

/// Identifies a request; its response repeats the value.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// How long the sender waits, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
/// Id of the only backend instance that may run the request.
pub const TARGET_INSTANCE: HeaderName = HeaderName::from_static("target-instance");
/// Id of the last event that the sender has received.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Marks a response of a backend that did not run the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// Marks a response that the backend itself has made.
pub const RESPONSE_SEAL: HeaderName = HeaderName::from_static("response-seal");

/// Why a request cannot be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum OutboundError {
    /// A backend would reject the request with status 400.
    #[error("`Request-Id` is missing")]
    NoRequestId,
    /// The request target is not a path.
    #[error("the request has no path")]
    NoPath,
    /// Without the instance's name, whoever has its address would run the request.
    #[error("the backend's id cannot be sent in a header")]
    UnnamedInstance,
}

/// A request that can be sent to several backends in turn. Method, path, query, body and `Request-Id` are forwarded
/// unchanged.
#[derive(Debug, Clone)]
pub struct Outbound {
    method: Method,
    target: Uri,
    headers: HeaderMap,
    body: Bytes,
    request_id: HeaderValue,
    expected_weights: Option<ExpectedWeights>,
    may_recur: bool,
}

impl Outbound {
    /// Makes an outbound request from one whose body is complete, without its hop-by-hop headers.
    ///
    /// # Errors
    /// The request has no id or no path.
    pub fn new(
        method: Method,
        uri: &Uri,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Outbound, OutboundError> {
        let request_id = headers
            .get(REQUEST_ID)
            .cloned()
            .ok_or(OutboundError::NoRequestId)?;
        let target = uri.path_and_query().cloned().ok_or(OutboundError::NoPath)?;
        let headers = pass_on(headers, &[]);
        let expected_weights = weights::expected(&headers);
        Ok(Outbound {
            method,
            target: target.into(),
            headers,
            body,
            request_id,
            expected_weights,
            may_recur: false,
        })
    }

    /// The same for a request that may be sent again after it was served, like an item whose result was not recorded.
    pub fn recurring(self) -> Outbound {
        Outbound {
            may_recur: true,
            ..self
        }
    }

    /// Whether it may be sent again after it was served.
    pub(super) fn may_recur(&self) -> bool {
        self.may_recur
    }

    /// The id that the response has to repeat.
    pub fn request_id(&self) -> &HeaderValue {
        &self.request_id
    }

    /// The forwarded headers.
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// The version of the weights that the request expects.
    pub fn expected_weights(&self) -> Option<ExpectedWeights> {
        self.expected_weights
    }

    /// Id of the last event that the client has received.
    pub fn last_event_id(&self) -> Option<u64> {
        self.headers
            .get(LAST_EVENT_ID)?
            .to_str()
            .ok()?
            .trim()
            .parse()
            .ok()
    }

    /// Builds the request for one backend, to be written immediately.
    ///
    /// # Errors
    /// The instance cannot be named.
    pub(super) fn request(
        &self,
        instance: &str,
        resume_after: Option<u64>,
        deadline: Instant,
    ) -> Result<Request<Upload>, OutboundError> {
        let instance =
            HeaderValue::from_str(instance).map_err(|_| OutboundError::UnnamedInstance)?;
        let mut request = Request::new(Upload::new(self.body.clone(), None));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        let mut headers = self.headers.clone();
        let remaining_ms = deadline
            .saturating_duration_since(Instant::now())
            .as_millis();
        headers.insert(
            DEADLINE_MS,
            HeaderValue::from(u64::try_from(remaining_ms).unwrap_or(u64::MAX).max(1)),
        );
        headers.insert(TARGET_INSTANCE, instance);
        if let Some(id) = resume_after {
            headers.insert(LAST_EVENT_ID, HeaderValue::from(id));
        }
        *request.headers_mut() = headers;
        Ok(request)
    }
}
