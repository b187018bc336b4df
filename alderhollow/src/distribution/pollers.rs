//! Which processes polled this one, by their internal addresses. No I/O and no clock.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A process that has not polled for so long may not know where the core is.
pub const POLLER_SILENCE_MS: u64 = 1_000;
/// A process that has not polled for so long is forgotten.
pub const POLLER_MEMORY_MS: u64 = 60_000;

/// The processes that polled this one while it was the primary.
#[derive(Debug, Default)]
pub struct PollerWatch {
    heard_at: BTreeMap<SocketAddr, u64>,
}

impl PollerWatch {
    /// Notes a poll.
    pub fn heard(&mut self, from: SocketAddr, now_ms: u64) {
        self.heard_at.insert(from, now_ms);
    }

    /// Those that polled once and have fallen silent, and those of `others` that have not polled lately.
    pub fn silent(
        &mut self,
        others: impl IntoIterator<Item = SocketAddr>,
        now_ms: u64,
    ) -> BTreeSet<SocketAddr> {
        self.heard_at.retain(|_, at| now_ms.saturating_sub(*at) < POLLER_MEMORY_MS);
        let is_silent = |at: u64| now_ms.saturating_sub(at) >= POLLER_SILENCE_MS;
        let others =
            others.into_iter().filter(|other| self.heard_at.get(other).is_none_or(|at| is_silent(*at)));
        let former = self.heard_at.iter().filter(|(_, at)| is_silent(**at)).map(|(address, _)| *address);
        others.chain(former).collect()
    }
}
