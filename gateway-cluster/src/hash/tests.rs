use super::*;

#[test]
fn hashes_match_the_test_vectors_of_the_xxhash_specification() {
    let of = ["", "a", "abc", "Nobody inspects the spammish repetition"].map(hash_text);
    assert_eq!(of, [0x02cc_5d05, 0x550d_7456, 0x32d1_53ff, 0xe229_3b2f]);
    // Computed from the specification for eight bytes in little-endian order.
    assert_eq!(
        [mix(1, 2), mix(u64::MAX, 0)],
        [0x2efa_9e5d_4e7f_c483, 0x60b8_9902_9d74_7159]
    );
}
