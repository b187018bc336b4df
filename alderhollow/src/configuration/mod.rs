//! The operators' configuration: reading a document, checking it, and applying a change of named items to it.
//!
//! A document is kept as it was sent, with all fields; [`check`] gives the typed view that processes act on, or
//! everything that is wrong with it. Only what the protocol calls invalid is refused: unknown fields are fine, and
//! numbers may be written as whole ones or as fractions.

mod canonical;
mod check;
mod json;
mod patch;
mod schema;

pub use canonical::digest;
pub use check::check;
pub use json::{read_json, JsonError};
pub use patch::apply_patch;

use crate::finding::Finding;
use alderhollow_model::config::{Config, ConfigVersion};
use serde_json::Value;
use thiserror::Error;

/// Largest version that a document may name: numbers up to here are whole in every reader of JSON.
const LARGEST_VERSION: u64 = 1 << 53;

/// What is wrong with a configuration, all of it.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{}", .0.iter().map(Finding::to_string).collect::<Vec<_>>().join("\n"))]
pub struct InvalidConfig(pub Vec<Finding>);

impl From<Finding> for InvalidConfig {
    fn from(finding: Finding) -> InvalidConfig {
        InvalidConfig(vec![finding])
    }
}

/// Reads and checks the text of a whole configuration.
///
/// # Errors
/// All findings, or where the text is no JSON.
pub fn check_text(text: &[u8]) -> Result<Config, InvalidConfig> {
    let document = read_json(text).map_err(|error| InvalidConfig::from(error.finding()))?;
    check(&document)
}

/// The `config-version` of a document or of a change.
///
/// # Errors
/// The field is missing or no whole number.
pub fn version_of(document: &Value) -> Result<ConfigVersion, Finding> {
    let position = "config-version";
    let Some(value) = document.get(position) else {
        return Err(Finding::new(
            position,
            "is missing: set it to a whole number above the current version",
        ));
    };
    whole_number(value)
        .filter(|version| (1..=LARGEST_VERSION).contains(version))
        .ok_or_else(|| Finding::new(position, "must be a whole number of 1 or more"))
}

/// The value of a whole number, also where it is written as a fraction (`5.0`).
fn whole_number(value: &Value) -> Option<u64> {
    if let Some(number) = value.as_u64() {
        return Some(number);
    }
    let number = value.as_f64()?;
    let whole = number.fract() == 0.0 && (0.0..=LARGEST_VERSION as f64).contains(&number);
    whole.then_some(number as u64)
}
