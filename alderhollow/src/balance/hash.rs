//! Hash functions for rendezvous hashing. All processes of a deployment must use the same functions.

use twox_hash::XxHash3_64;

/// Hash of a name.
pub(crate) fn hash_name(name: &str) -> u64 {
    XxHash3_64::oneshot(name.as_bytes())
}

/// Rendezvous score of a pair of hashes (the finalizer of splitmix64).
pub(crate) fn mix(first: u64, second: u64) -> u64 {
    let mut mixed = first ^ second.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
