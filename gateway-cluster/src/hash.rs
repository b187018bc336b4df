//! Numbers that look like chance and are the same at every gateway, on every machine and in every version: gateways compare
//! what follows from them.
//!
//! They are xxHash's, whose results are laid down in a specification with test vectors: the hash of the standard library
//! may change with any release, and a checksum such as CRC32 is made to find errors: names that differ in the same bits
//! have sums that do too, whatever else they are. The crate `twox-hash` has both widths, needs nothing else, and is kept
//! up.

use twox_hash::{XxHash32, XxHash64};

/// Of a text, in 32 bits.
pub fn hash_text(text: &str) -> u32 {
    XxHash32::oneshot(0, text.as_bytes())
}

/// Mixes two numbers into one: the hash of the second, with the first for a seed.
pub fn mix(seed: u64, value: u64) -> u64 {
    XxHash64::oneshot(seed, &value.to_le_bytes())
}

#[cfg(test)]
mod tests;
