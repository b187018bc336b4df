//! Tests of the attempts to connect.

use super::{Failure, Reconnect};
use std::time::Duration;

fn after(failures: &[Failure]) -> Reconnect {
    let mut reconnect = Reconnect::default();
    for failure in failures {
        reconnect.on_failure(*failure, 1.0);
    }
    reconnect
}

#[test]
fn attempts_that_time_out_get_longer_up_to_a_bound() {
    let timeouts = (0..5).map(|count| after(&vec![Failure::TimedOut; count]).timeout());
    let expected = [400, 800, 1_600, 1_600, 1_600].map(Duration::from_millis);
    assert!(timeouts.eq(expected));
}

#[test]
fn an_answer_of_the_peers_machine_shortens_the_next_attempt() {
    let usual = Reconnect::default().timeout();
    let rejected = after(&[Failure::TimedOut, Failure::Rejected]);
    assert_eq!(rejected.timeout(), usual);
    let mut connected = after(&[Failure::TimedOut]);
    connected.on_connected();
    assert_eq!(connected.timeout(), usual);
}

/// A pause in whole milliseconds, as drawing it rounds.
fn rounded_ms(pause: Duration) -> u32 {
    (pause.as_secs_f64() * 1_000.0).round() as u32
}

#[test]
fn pauses_double_up_to_a_bound_and_half_of_each_is_drawn() {
    let mut reconnect = Reconnect::default();
    let pauses = [(); 5].map(|()| rounded_ms(reconnect.on_failure(Failure::Rejected, 1.0)));
    assert_eq!(pauses, [100, 200, 400, 800, 800]);
    let shortest = Reconnect::default().on_failure(Failure::Rejected, 0.0);
    assert_eq!(rounded_ms(shortest), 50);
}
