//! The congestion window in isolation.

use alderhollow_batch::congestion::{CommitPace, CongestionWindow};

const FIRST: usize = 800;
const SMALLEST: usize = 10;

/// A full window.
fn full() -> CongestionWindow {
    let mut window = CongestionWindow::new(FIRST, SMALLEST);
    window.record_started(FIRST);
    window.record_limited();
    window
}

#[test]
fn available_is_the_size_minus_the_amount_in_flight() {
    let window = CongestionWindow::new(FIRST, SMALLEST);
    assert_eq!(
        (
            window.available(0),
            window.available(FIRST - 1),
            window.available(FIRST + 1)
        ),
        (FIRST, 1, 0)
    );
}

#[test]
fn a_window_that_does_not_limit_keeps_its_size() {
    let mut window = CongestionWindow::new(FIRST, SMALLEST);
    window.record_started(5);
    window.adapt(CommitPace::Prompt, 5);
    assert_eq!(window.size(), FIRST);
    assert!(!window.has_shrunk());
}

#[test]
fn a_limiting_window_grows_once_per_round_of_prompt_commits() {
    let mut window = full();
    window.adapt(CommitPace::Prompt, FIRST);
    assert_eq!(window.size(), 900);
    window.record_limited();
    window.adapt(CommitPace::Prompt, 0);
    assert_eq!(
        window.size(),
        900,
        "nothing that began after the round has left"
    );
    window.record_started(1);
    window.adapt(CommitPace::Prompt, 0);
    assert_eq!(window.size(), 1_012);
}

#[test]
fn late_commits_shrink_the_window_once_per_round() {
    let mut window = full();
    window.adapt(CommitPace::Late, 400);
    assert_eq!(window.size(), 300);
    assert!(window.has_shrunk());
    window.adapt(CommitPace::Late, 400);
    assert_eq!(window.size(), 300, "the same round");
    window.record_started(100);
    window.adapt(CommitPace::Late, 99);
    assert_eq!(window.size(), 75);
}

#[test]
fn late_commits_never_shrink_below_the_minimum() {
    let mut window = full();
    window.adapt(CommitPace::Late, 0);
    assert_eq!(window.size(), SMALLEST);
}
