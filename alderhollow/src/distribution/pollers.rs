//! The processes that polled this one, by internal address, with the time of the last poll. No I/O and no clock.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A process that has not polled for this long, in ms, may not know the primary.
pub const POLLER_TIMEOUT_MS: u64 = 1_000;
/// Maximum number of addresses accepted from the primary.
const MAX_POLLERS: usize = 4_096;
/// A process that has not polled for this long, in ms, is removed.
pub const POLLER_RETENTION_MS: u64 = 60_000;

/// Maximum time between two calls of [`PollerTracker::overdue`] while this process is primary, in ms. After a longer gap, it
/// has just become primary.
const MAX_CHECK_GAP_MS: u64 = 2_000;

/// The processes that polled this one while it was primary, or the primary before it.
#[derive(Debug, Default)]
pub struct PollerTracker {
    polled_at_ms: BTreeMap<SocketAddr, u64>,
    checked_at_ms: u64,
}

impl PollerTracker {
    /// Handles a poll.
    pub fn on_poll(&mut self, from: SocketAddr, now_ms: u64) {
        self.polled_at_ms.insert(from, now_ms);
    }

    /// Addresses of all processes that polled within [`POLLER_RETENTION_MS`].
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.polled_at_ms.keys().copied().collect()
    }

    /// Replaces the addresses by those received from the primary, in case this process becomes its successor.
    pub fn replace_all(&mut self, addresses: impl IntoIterator<Item = SocketAddr>, now_ms: u64) {
        self.polled_at_ms = addresses
            .into_iter()
            .take(MAX_POLLERS)
            .map(|address| (address, now_ms))
            .collect();
    }

    /// The known processes and those of `others` that have not polled for [`POLLER_TIMEOUT_MS`].
    pub fn overdue(
        &mut self,
        others: impl IntoIterator<Item = SocketAddr>,
        now_ms: u64,
    ) -> BTreeSet<SocketAddr> {
        if now_ms.saturating_sub(self.checked_at_ms) > MAX_CHECK_GAP_MS {
            // This process has just become primary: until now, the others polled its predecessor.
            self.polled_at_ms.values_mut().for_each(|at| *at = now_ms);
        }
        self.checked_at_ms = now_ms;
        self.polled_at_ms
            .retain(|_, at| now_ms.saturating_sub(*at) < POLLER_RETENTION_MS);
        let is_overdue = |at: u64| now_ms.saturating_sub(at) >= POLLER_TIMEOUT_MS;
        let others = others.into_iter().filter(|other| {
            self.polled_at_ms
                .get(other)
                .is_none_or(|at| is_overdue(*at))
        });
        let former = self
            .polled_at_ms
            .iter()
            .filter(|(_, at)| is_overdue(**at))
            .map(|(address, _)| *address);
        others.chain(former).collect()
    }
}
