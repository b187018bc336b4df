use super::*;
use std::time::Duration;

/// A token for this request, and one for none.
const fn of(request: RequestId) -> u64 {
    request << 2
}
const OF_NONE: u64 = 2;

#[test]
fn timers_of_requests_that_are_over_wake_nobody_and_take_no_room() {
    let (now, second) = (Instant::now(), Duration::from_secs(1));
    let mut alarms = Alarms::new();
    let open = |request| request % 1000 == 0;
    for request in 1..=10_000 {
        alarms.set(now + second * request as u32, of(request), open);
        assert!(
            alarms.due.len() <= FEW + 20,
            "{} are kept",
            alarms.due.len()
        );
    }
    assert!(
        alarms.set(now, OF_NONE, open),
        "it is due before all others"
    );
    assert!(!alarms.set(now + second, OF_NONE, open));
    assert_eq!(
        (alarms.next(open), alarms.take()),
        (Some(now), Some(OF_NONE))
    );
    assert_eq!(
        (alarms.next(open), alarms.take()),
        (Some(now + second), Some(OF_NONE))
    );
    for request in (1000..=10_000).step_by(1000) {
        assert_eq!(alarms.next(open), Some(now + second * request as u32));
        assert_eq!(alarms.take(), Some(of(request)));
    }
    assert_eq!(alarms.next(open), None);
}
