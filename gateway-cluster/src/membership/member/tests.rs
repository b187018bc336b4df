use super::*;

/// The bound that `docs/fleet-view.md` states, apart from the peer's id, its indexes and its name.
const MAX_MEMBER_BYTES: usize = 128;

#[test]
fn a_member_takes_no_more_memory_than_documented() {
    assert!(
        std::mem::size_of::<Member>() <= MAX_MEMBER_BYTES,
        "{} bytes",
        std::mem::size_of::<Member>()
    );
}
