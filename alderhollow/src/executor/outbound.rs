//! Builds the request that runs an item.

use crate::exchange::outbound::{
    Outbound, OutboundError, DEADLINE_MS, LAST_EVENT_ID, REQUEST_ID, TARGET_INSTANCE,
};
use crate::exchange::prompt::{PROMPT_PREFIX, TOKEN_USAGE};
use crate::exchange::weights::{EXPECT_VERSION, MODEL};
use alderhollow_batch::api::ItemStart;
use http::uri::PathAndQuery;
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, HOST};
use hyper::{Method, Uri};

/// Headers that the executor sets; an item's own values are ignored.
const RESERVED: [HeaderName; 6] = [
    HOST,
    CONTENT_LENGTH,
    REQUEST_ID,
    DEADLINE_MS,
    TARGET_INSTANCE,
    LAST_EVENT_ID,
];

/// Headers that determine which backends can run an item.
const SELECTION_HEADERS: [HeaderName; 4] = [PROMPT_PREFIX, TOKEN_USAGE, MODEL, EXPECT_VERSION];

/// Why no request can be built for an item. Jobs are already validated on submission.
#[derive(Debug, thiserror::Error)]
pub enum ItemError {
    /// A header or the path is invalid.
    #[error("the item has an invalid header or path: {0}")]
    Http(#[from] http::Error),
    /// The request cannot be forwarded.
    #[error(transparent)]
    Outbound(#[from] OutboundError),
}

/// Builds the request of an item.
///
/// # Errors
/// The item's path or one of its headers is invalid.
pub fn of_item(item: &ItemStart) -> Result<Outbound, ItemError> {
    let path: PathAndQuery = item.request.path.parse().map_err(http::Error::from)?;
    let mut headers = HeaderMap::new();
    for header in &item.request.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(http::Error::from)?;
        if !RESERVED.contains(&name) {
            headers.append(name, header_value(&header.value)?);
        }
    }
    headers.insert(HOST, header_value(&item.host)?);
    headers.insert(REQUEST_ID, header_value(&item.item_id)?);
    let body = Bytes::copy_from_slice(&item.request.body);
    let outbound = Outbound::new(Method::POST, &Uri::from(path), headers, body)?;
    Ok(outbound.recurring())
}

/// The headers of an item that determine which backends can run it.
pub fn selection_headers(item: &ItemStart) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for header in &item.request.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let Some(name) = name.ok().filter(|name| SELECTION_HEADERS.contains(name)) else {
            continue;
        };
        if let Ok(value) = header_value(&header.value) {
            headers.append(name, value);
        }
    }
    headers
}

fn header_value(text: &str) -> Result<HeaderValue, http::Error> {
    Ok(HeaderValue::from_str(text)?)
}
