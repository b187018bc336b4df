use super::*;

#[test]
fn a_name_takes_the_memory_that_the_page_states() {
    // With its place among the ids, on the ring and in the round, and its own text.
    assert!(
        std::mem::size_of::<Member>() <= 128,
        "{} bytes",
        std::mem::size_of::<Member>()
    );
}
