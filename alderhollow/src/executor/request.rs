//! The request that runs an item at a backend.

use alderhollow_batch::api::ItemStart;
use dataplane::flow::Upload;
use hyper::body::Bytes;
use hyper::header::{HeaderName, HeaderValue, HOST};
use hyper::{Method, Request};
use springusher_dataplane as dataplane;
use std::time::Duration;

/// Headers that the system sets itself, or that concern one connection: an item's own are passed over.
const RESERVED: [&str; 13] = [
    "host",
    "request-id",
    "deadline-ms",
    "target-instance",
    "last-event-id",
    "content-length",
    "transfer-encoding",
    "connection",
    "keep-alive",
    "upgrade",
    "te",
    "trailer",
    "proxy-connection",
];

/// Why no request can be made of an item.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The body was dropped, as the item is listed or its batch job has ended.
    #[error("a part of the item can't stand in a request: {0}")]
    Http(#[from] http::Error),
}

/// Makes the request for a backend. `last_event_id` is where an earlier run was cut.
pub fn build(
    item: &ItemStart,
    backend_id: &str,
    deadline: Duration,
    last_event_id: Option<u64>,
) -> Result<Request<Upload>, RequestError> {
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(&item.request.path)
        .header(HOST, &item.host)
        .header("Request-Id", &item.item_id)
        .header("Target-Instance", backend_id)
        .header("Deadline-Ms", deadline.as_millis().to_string());
    if let Some(id) = last_event_id {
        builder = builder.header("Last-Event-Id", id.to_string());
    }
    for header in &item.request.headers {
        if RESERVED.iter().any(|name| header.name.eq_ignore_ascii_case(name)) {
            continue;
        }
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(http::Error::from)?;
        let value = HeaderValue::from_str(&header.value).map_err(http::Error::from)?;
        builder = builder.header(name, value);
    }
    let body = Upload::new(Bytes::copy_from_slice(&item.request.body), None);
    Ok(builder.body(body)?)
}
