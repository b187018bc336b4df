//! The request that runs an item.

use crate::exchange::outbound::{
    Outbound, OutboundError, DEADLINE_MS, LAST_EVENT_ID, REQUEST_ID, TARGET_INSTANCE,
};
use alderhollow_batch::api::ItemStart;
use http::uri::PathAndQuery;
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, HOST};
use hyper::{Method, Uri};

/// Headers that the system sets itself: an item's own are passed over.
const RESERVED: [HeaderName; 6] = [
    HOST,
    CONTENT_LENGTH,
    REQUEST_ID,
    DEADLINE_MS,
    TARGET_INSTANCE,
    LAST_EVENT_ID,
];

/// Why no request can be made of an item. Jobs are checked when they are handed in.
#[derive(Debug, thiserror::Error)]
pub enum ItemError {
    /// A header or the path can't stand in a request.
    #[error("a part of the item can't stand in a request: {0}")]
    Http(#[from] http::Error),
    /// As for any request.
    #[error(transparent)]
    Outbound(#[from] OutboundError),
}

/// Makes the request of an item.
///
/// # Errors
/// The item's path or one of its headers is invalid.
pub fn of_item(item: &ItemStart) -> Result<Outbound, ItemError> {
    let path: PathAndQuery = item.request.path.parse().map_err(http::Error::from)?;
    let mut headers = HeaderMap::new();
    for header in &item.request.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(http::Error::from)?;
        if !RESERVED.contains(&name) {
            headers.append(name, value(&header.value)?);
        }
    }
    headers.insert(HOST, value(&item.host)?);
    headers.insert(REQUEST_ID, value(&item.item_id)?);
    let body = Bytes::copy_from_slice(&item.request.body);
    Ok(Outbound::new(
        Method::POST,
        &Uri::from(path),
        headers,
        body,
    )?)
}

fn value(text: &str) -> Result<HeaderValue, http::Error> {
    Ok(HeaderValue::from_str(text)?)
}
