use super::*;

fn prefix(hash: u64) -> SharedPrefix {
    SharedPrefix {
        hash,
        tokens: MIN_PREFIX_TOKENS,
    }
}

#[test]
fn tracked_prefixes_never_exceed_the_limit() {
    let mut prefix_locations = PrefixLocations::default();
    (0..3 * MAX_PREFIXES as u64).for_each(|hash| prefix_locations.record(1.0, prefix(hash), 7));
    assert_eq!(prefix_locations.backends_by_prefix.len(), MAX_PREFIXES);
    assert!(
        prefix_locations.contains(2.0, prefix(0), 7),
        "tracked prefixes are not evicted before they expire"
    );
    assert!(!prefix_locations.contains(2.0, prefix(2 * MAX_PREFIXES as u64), 7));
}

#[test]
fn expired_prefixes_are_evicted() {
    let mut prefix_locations = PrefixLocations::default();
    (0..MAX_PREFIXES as u64).for_each(|hash| prefix_locations.record(0.0, prefix(hash), 7));
    prefix_locations.record(PREFIX_TTL_MS + 1.0, prefix(u64::MAX), 7);
    assert!(prefix_locations.contains(PREFIX_TTL_MS + 2.0, prefix(u64::MAX), 7));
    assert_eq!(prefix_locations.backends_by_prefix.len(), 1);
}

#[test]
fn short_prefixes_are_not_tracked() {
    let mut prefix_locations = PrefixLocations::default();
    let short = SharedPrefix {
        hash: 1,
        tokens: MIN_PREFIX_TOKENS - 1,
    };
    prefix_locations.record(0.0, short, 7);
    assert!(!prefix_locations.contains(1.0, short, 7));
}
