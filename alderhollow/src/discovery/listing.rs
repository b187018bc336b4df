//! JSON format of the platform's list. Unknown fields are ignored.

use alderhollow_model::backend::{Backend, BackendState};
use alderhollow_model::identity::Address;
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

/// A page of the list.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// The valid entries.
    pub backends: Vec<Backend>,
    /// For each invalid entry, why it was skipped; for the log.
    pub skipped: Vec<String>,
    /// Token of the next page; `None` on the last one.
    pub next_token: Option<String>,
}

/// The body is not a page of the list.
#[derive(Debug, Error)]
#[error("the platform's list can't be parsed: {0}")]
pub struct ListingError(#[from] serde_json::Error);

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawPage {
    instances: Vec<Value>,
    #[serde(default)]
    next_token: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawEntry {
    id: String,
    service: String,
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    slots: f64,
    state: RawState,
    #[serde(default)]
    cold_remaining_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawState {
    Ready,
    Draining,
}

impl Page {
    /// Parses a page. Invalid entries are skipped.
    ///
    /// # Errors
    /// The body is not JSON, or not an object with the list of instances.
    pub fn parse(body: &[u8]) -> Result<Page, ListingError> {
        let raw: RawPage = serde_json::from_slice(body)?;
        let mut backends = Vec::with_capacity(raw.instances.len());
        let mut skipped = Vec::new();
        for entry in raw.instances {
            match read_entry(&entry) {
                Ok(backend) => backends.push(backend),
                Err(error) => skipped.push(error),
            }
        }
        let next_token = raw.next_token.filter(|token| !token.is_empty());
        Ok(Page {
            backends,
            skipped,
            next_token,
        })
    }
}

fn read_entry(entry: &Value) -> Result<Backend, String> {
    let raw = RawEntry::deserialize(entry).map_err(|error| format!("{error} in {entry}"))?;
    let address = raw
        .address
        .parse()
        .map_err(|_| format!("{:?} is no address, in {entry}", raw.address))?;
    let backend = Backend {
        id: raw.id,
        service: raw.service,
        address: Address(address),
        zone: raw.zone,
        slots: round_up(raw.slots).try_into().unwrap_or(u32::MAX),
        state: match raw.state {
            RawState::Ready => BackendState::Ready,
            RawState::Draining => BackendState::Draining,
        },
        cold_remaining_ms: round_up(raw.cold_remaining_ms),
    };
    if backend.can_be_named() {
        Ok(backend)
    } else {
        Err(format!(
            "the id {:?} cannot be sent in a header (printable ASCII characters only), in {entry}",
            backend.id
        ))
    }
}

/// Rounds up to an integer; negative numbers and NaN become 0.
fn round_up(number: f64) -> u64 {
    number.ceil() as u64
}
