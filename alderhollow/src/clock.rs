//! The steady clock that all parts of one process share.

use std::time::Duration;
use tokio::time::Instant;

/// Counts milliseconds from the process's start. Copies count from the same moment.
#[derive(Debug, Clone, Copy)]
pub struct SteadyClock {
    start: Instant,
}

impl SteadyClock {
    /// A clock that begins now.
    pub fn start() -> SteadyClock {
        SteadyClock {
            start: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// The moment that a number of milliseconds stands for.
    pub fn instant(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }
}
