//! A request as it goes to a backend.

use alderhollow_dataplane::flow::Upload;
use alderhollow_dataplane::headers::pass_on;
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Uri};
use thiserror::Error;
use tokio::time::Instant;

/// Names a request; its answer repeats it.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// Milliseconds that the sender waits.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
/// The only backend that may run the request.
pub const TARGET_INSTANCE: HeaderName = HeaderName::from_static("target-instance");
/// The last event that the sender has.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// States that the backend did not run the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// A backend's stamp on its answer.
pub const RESPONSE_SEAL: HeaderName = HeaderName::from_static("response-seal");

/// What makes a request impossible to send on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum OutboundError {
    /// A backend would refuse it with 400.
    #[error("`Request-Id` is missing")]
    NoRequestId,
    /// Its target is no path.
    #[error("the request has no path")]
    NoPath,
}

/// A request that may go to one backend after the other. Method, path, query, body and `Request-Id` stay as they came.
#[derive(Debug, Clone)]
pub struct Outbound {
    method: Method,
    target: Uri,
    headers: HeaderMap,
    body: Bytes,
    request_id: HeaderValue,
}

impl Outbound {
    /// Takes over a request whose body is here whole, without the headers of its connection.
    ///
    /// # Errors
    /// It names no id or no path.
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
        Ok(Outbound {
            method,
            target: target.into(),
            headers,
            body,
            request_id,
        })
    }

    /// The id that the answer has to repeat.
    pub fn request_id(&self) -> &HeaderValue {
        &self.request_id
    }

    /// The headers that go along.
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// The event that the client has already.
    pub fn last_event_id(&self) -> Option<u64> {
        self.headers
            .get(LAST_EVENT_ID)?
            .to_str()
            .ok()?
            .trim()
            .parse()
            .ok()
    }

    /// The request for one backend, to be written now.
    pub(super) fn request(
        &self,
        instance: &str,
        resume_after: Option<u64>,
        deadline: Instant,
    ) -> Request<Upload> {
        let mut request = Request::new(Upload::new(self.body.clone(), None));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        let mut headers = self.headers.clone();
        let left = deadline
            .saturating_duration_since(Instant::now())
            .as_millis();
        headers.insert(
            DEADLINE_MS,
            HeaderValue::from(u64::try_from(left).unwrap_or(u64::MAX).max(1)),
        );
        // An id that is no header value is no backend's: it stays out, and the backend at the address decides.
        if let Ok(instance) = HeaderValue::from_str(instance) {
            headers.insert(TARGET_INSTANCE, instance);
        }
        if let Some(id) = resume_after {
            headers.insert(LAST_EVENT_ID, HeaderValue::from(id));
        }
        *request.headers_mut() = headers;
        request
    }
}
