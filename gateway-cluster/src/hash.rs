//! Hash functions whose results are the same at every gateway, on every machine and in every version, because gateways
//! exchange and compare values that are derived from them.
//!
//! The algorithm is xxHash: its results are fixed by a specification with test vectors. The standard library's hasher may
//! change with any release. A checksum such as CRC32 is linear: inputs that differ in the same bits have checksums that
//! differ in the same bits, so it does not spread similar names.

use twox_hash::{XxHash32, XxHash64};

/// The 32-bit xxHash of a text, with seed 0.
pub fn hash_text(text: &str) -> u32 {
    XxHash32::oneshot(0, text.as_bytes())
}

/// The 64-bit xxHash of `value` in little-endian order, with `seed` as the hash's seed.
pub fn mix(seed: u64, value: u64) -> u64 {
    XxHash64::oneshot(seed, &value.to_le_bytes())
}

#[cfg(test)]
mod tests;
