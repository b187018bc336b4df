//! Times at which the messages of a campaign are sent again.

use super::MAX_BACKOFF_DOUBLINGS;
use crate::replica::interface::Millis;

/// Times at which the messages of an attempt are sent again. The interval doubles each time, so that resent messages do
/// not overload slow members.
#[derive(Debug, Clone, Copy)]
pub(super) struct ResendSchedule {
    pub(super) next: Millis,
    delay_ms: Millis,
    max_delay_ms: Millis,
}

impl ResendSchedule {
    /// First due now, then after `first_delay_ms` milliseconds.
    pub(super) fn new(now: Millis, first_delay_ms: Millis) -> ResendSchedule {
        ResendSchedule {
            next: now,
            delay_ms: first_delay_ms,
            max_delay_ms: first_delay_ms << MAX_BACKOFF_DOUBLINGS,
        }
    }

    /// Whether messages are due now. If so, schedules the next ones after a longer interval.
    pub(super) fn take_due(&mut self, now: Millis) -> bool {
        if now < self.next {
            return false;
        }
        self.next = now + self.delay_ms;
        self.delay_ms = (2 * self.delay_ms).min(self.max_delay_ms);
        true
    }
}
