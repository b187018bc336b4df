//! The timers that the decision module has asked for.

use springusher::{Gateway, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use tokio::time::Instant;

/// So many are kept before those of requests that are over are looked for.
const FEW: usize = 64;

/// Timers in the order in which they are due. Nearly all are for requests that are over by then: those wake
/// nobody, and take no room for long.
pub struct Alarms {
    due: BinaryHeap<Reverse<(Instant, u64)>>,
    /// How many there may be before they are looked through.
    most: usize,
}

impl Alarms {
    pub fn new() -> Alarms {
        Alarms { due: BinaryHeap::new(), most: FEW }
    }

    /// Sets one, and tells whether it is due before all others.
    pub fn set(&mut self, at: Instant, token: u64, is_open: impl Fn(RequestId) -> bool) -> bool {
        if self.due.len() >= self.most {
            self.due.retain(|Reverse((_, token))| is_of_use(*token, &is_open));
            self.most = (2 * self.due.len()).max(FEW);
            self.due.shrink_to(self.most);
        }
        let is_first = self.due.peek().is_none_or(|Reverse((first, _))| at < *first);
        self.due.push(Reverse((at, token)));
        is_first
    }

    /// When the next one is due that is still of use. Those before it are forgotten.
    pub fn next(&mut self, is_open: impl Fn(RequestId) -> bool) -> Option<Instant> {
        loop {
            let Reverse((at, token)) = *self.due.peek()?;
            if is_of_use(token, &is_open) {
                return Some(at);
            }
            self.due.pop();
        }
    }

    /// Takes the one that is due next.
    pub fn take(&mut self) -> Option<u64> {
        self.due.pop().map(|Reverse((_, token))| token)
    }
}

fn is_of_use(token: u64, is_open: impl Fn(RequestId) -> bool) -> bool {
    Gateway::request_of(token).is_none_or(is_open)
}

#[cfg(test)]
mod tests {
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
            assert!(alarms.due.len() <= FEW + 20, "{} are kept", alarms.due.len());
        }
        assert!(alarms.set(now, OF_NONE, open), "it is due before all others");
        assert!(!alarms.set(now + second, OF_NONE, open));
        assert_eq!((alarms.next(open), alarms.take()), (Some(now), Some(OF_NONE)));
        assert_eq!((alarms.next(open), alarms.take()), (Some(now + second), Some(OF_NONE)));
        for request in (1000..=10_000).step_by(1000) {
            assert_eq!(alarms.next(open), Some(now + second * request as u32));
            assert_eq!(alarms.take(), Some(of(request)));
        }
        assert_eq!(alarms.next(open), None);
    }
}
