//! Versions of model weights that requests expect.

use super::hash::hash_name;

/// A version of model weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WeightsVersion {
    /// A number, as specified.
    Number(u64),
    /// The hash of a text that is not a number. It equals only the same text.
    Opaque(u64),
}

impl WeightsVersion {
    /// Reads the value of a header.
    pub fn read(value: &[u8]) -> WeightsVersion {
        let text = String::from_utf8_lossy(value);
        let text = text.trim();
        text.parse()
            .map_or_else(|_| WeightsVersion::Opaque(hash_name(text)), Self::Number)
    }
}

/// The version of a model's weights that a request expects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExpectedWeights {
    /// Hash of the model's name.
    pub model: u64,
    /// The version.
    pub version: WeightsVersion,
}
