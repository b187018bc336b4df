//! When and for how long a connection to one peer is tried. No I/O and no clock.
//!
//! Behind a full link a connection takes as long to come up as the link's queue is long. An attempt that is given up after a
//! fixed time then fails as often as it is made: processes found no way to the core's primary for six seconds after a cut had
//! ended, and acted on an old configuration meanwhile (`docs/incidents/tier-drain.md`). So attempts that time out get longer.

use std::time::Duration;

/// Time for which the first attempt may take. It doubles with each attempt that timed out, up to the maximum.
const FIRST_TIMEOUT: Duration = Duration::from_millis(400);
const MAX_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Pause after the first failed attempt. It doubles up to the maximum; the actual pause is drawn between half of it and all
/// of it.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// Doublings after which both are at their maximum.
const MAX_DOUBLINGS: u32 = 8;

/// Why an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Failure {
    /// The peer's machine rejected it, or can't be reached.
    Rejected,
    /// Nothing came back in time.
    TimedOut,
}

/// The attempts since the last connection.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Reconnect {
    failures: u32,
    timeouts: u32,
}

impl Reconnect {
    /// Time for which the next attempt may take.
    pub(super) fn timeout(&self) -> Duration {
        doubled(FIRST_TIMEOUT, self.timeouts).min(MAX_TIMEOUT)
    }

    /// Handles a failed attempt. Returns the pause before the next one; `drawn` is random between 0 and 1.
    pub(super) fn on_failure(&mut self, failure: Failure, drawn: f32) -> Duration {
        let pause = doubled(FIRST_PAUSE, self.failures).min(MAX_PAUSE);
        self.failures = self.failures.saturating_add(1);
        self.timeouts = match failure {
            Failure::TimedOut => self.timeouts.saturating_add(1),
            Failure::Rejected => 0,
        };
        draw_pause(pause, drawn)
    }

    /// Handles a connection.
    pub(super) fn on_connected(&mut self) {
        *self = Reconnect::default();
    }

    /// The pause after a connection that was in use has ended.
    pub(super) fn pause_after_use(drawn: f32) -> Duration {
        draw_pause(FIRST_PAUSE, drawn)
    }
}

fn doubled(first: Duration, times: u32) -> Duration {
    first.saturating_mul(1 << times.min(MAX_DOUBLINGS))
}

fn draw_pause(pause: Duration, drawn: f32) -> Duration {
    pause.mul_f32(0.5 + 0.5 * drawn)
}

#[cfg(test)]
mod tests;
