//! JSON documents of batch calls: submitted batch jobs and their results.

use base64::prelude::{Engine as _, BASE64_STANDARD};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of items of one batch job.
pub const MAX_ITEMS: usize = 200;

/// One item as it was submitted, its body decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubmittedItem {
    /// Identity of the item, sent to backends as `Request-Id`.
    pub id: String,
    /// Path of the request to a backend.
    pub path: String,
    /// Headers of the request to a backend.
    pub headers: Vec<(String, String)>,
    /// Body of the request to a backend.
    pub body: Vec<u8>,
    /// Tokens of the prompt plus the maximum number of output tokens.
    pub tokens: u64,
}

/// Why a batch job is rejected. A retry would fail in the same way, so the client gets 400.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentError {
    /// Not JSON, or not the expected document.
    #[error("not a batch job: {0}")]
    Json(String),
    /// The job has no items.
    #[error("`requests` is empty")]
    Empty,
    /// More than [`MAX_ITEMS`].
    #[error("{0} items exceed the maximum of {MAX_ITEMS}")]
    TooManyItems(usize),
    /// The id of an item is empty, malformed or used twice.
    #[error("the id of item {0} is empty, malformed or a duplicate")]
    Id(usize),
    /// The path is not valid in a request.
    #[error("item {0} has an invalid path")]
    Path(usize),
    /// A header is not valid in a request.
    #[error("item {0} has an invalid header `{1}`")]
    Header(usize, String),
    /// The body is not base64.
    #[error("the body of item {0} is not base64")]
    Body(usize),
}

#[derive(Deserialize)]
struct Document {
    requests: Vec<Item>,
}

#[derive(Deserialize)]
struct Item {
    id: String,
    path: String,
    #[serde(default)]
    headers: BTreeMap<String, String>,
    #[serde(default)]
    body: String,
    #[serde(default)]
    tokens: u64,
}

/// Parses and validates a batch job.
///
/// # Errors
/// The body is not a JSON document of a batch job, has no items, or an item is invalid.
pub fn read(body: &[u8]) -> Result<Vec<SubmittedItem>, DocumentError> {
    let document: Document =
        serde_json::from_slice(body).map_err(|error| DocumentError::Json(error.to_string()))?;
    let count = document.requests.len();
    if count == 0 {
        return Err(DocumentError::Empty);
    }
    if count > MAX_ITEMS {
        return Err(DocumentError::TooManyItems(count));
    }
    let mut ids = BTreeSet::new();
    let mut items = Vec::with_capacity(count);
    for (index, item) in document.requests.into_iter().enumerate() {
        if !is_id(&item.id) || !ids.insert(item.id.clone()) {
            return Err(DocumentError::Id(index));
        }
        items.push(check_item(index, item)?);
    }
    Ok(items)
}

/// Whether an id is valid: visible ASCII, so that it can be sent as a header value.
pub fn is_id(id: &str) -> bool {
    !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_graphic())
}

fn check_item(index: usize, item: Item) -> Result<SubmittedItem, DocumentError> {
    let parsed = item.path.parse::<http::uri::PathAndQuery>();
    if !item.path.starts_with('/') || parsed.is_err() {
        return Err(DocumentError::Path(index));
    }
    let headers: Vec<_> = item.headers.into_iter().collect();
    if let Some((name, _)) = headers.iter().find(|(name, value)| !is_header(name, value)) {
        return Err(DocumentError::Header(index, name.clone()));
    }
    let body = BASE64_STANDARD
        .decode(&item.body)
        .map_err(|_| DocumentError::Body(index))?;
    Ok(SubmittedItem {
        id: item.id,
        path: item.path,
        headers,
        body,
        tokens: item.tokens,
    })
}

fn is_header(name: &str, value: &str) -> bool {
    http::HeaderName::from_bytes(name.as_bytes()).is_ok()
        && http::HeaderValue::from_str(value).is_ok()
}

/// Final state of an item in a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ResultState {
    /// The response to the item is complete.
    Completed,
    /// The item is not run again.
    DeadLetter,
}

/// The result of one item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ReadResult<'a> {
    /// Id of the item.
    pub id: &'a str,
    /// Final state.
    pub state: ResultState,
    /// The data of all events in order, separated by line feeds.
    pub text: &'a str,
}

/// Response to a read of results.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ReadResponse<'a> {
    /// Number of items of the batch job.
    pub total: u64,
    /// Position of the next read.
    pub next_token: u64,
    /// The results.
    pub results: Vec<ReadResult<'a>>,
}

impl ReadResponse<'_> {
    /// Serializes the response body.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
