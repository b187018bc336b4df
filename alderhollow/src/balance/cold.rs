//! Rate limits for cold backends.
//!
//! The limit applies to the sum of all senders' requests within any one second, without a central counter. Each
//! process uses rendezvous hashing over the list of senders to select the few that may send to a backend. Each
//! selected sender limits its own starts within a sliding window that is slightly longer than a second. The limits
//! leave headroom for senders that hold different lists.

use super::hash::{hash_name, mix};
use super::Millis;
use std::collections::VecDeque;

/// The configured limits for cold backends: within one second, all senders together start at most `cold-per-s` x
/// `over` + `slack` requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Multiplier of the service's `cold-per-s`.
    pub over: f64,
    /// Number of additional requests.
    pub slack: f64,
}

impl Default for ColdBounds {
    /// The strictest limit: exactly `cold-per-s`.
    fn default() -> ColdBounds {
        ColdBounds {
            over: 1.0,
            slack: 0.0,
        }
    }
}

impl ColdBounds {
    /// Maximum number of requests per second to one cold backend.
    pub fn per_second(&self, cold_per_s: f64) -> f64 {
        cold_per_s * self.over + self.slack
    }
}

/// Window in which a sender counts its own starts: one second plus the maximum delay of a request on its way.
pub(super) const START_WINDOW_MS: Millis = 1150.0;
/// Fraction of the limit that is allocated to senders.
const ALLOCATED_FRACTION: f64 = 0.9;
/// Minimum number of senders that share a backend's limit, if there are that many.
const MIN_SENDERS_PER_BACKEND: usize = 6;
/// Mean number of cold backends that each sender may use if all backends of a service are cold.
const BACKENDS_PER_SENDER: usize = 4;
/// Minimum number of senders to leave headroom for, beyond the selected ones, because lists may differ.
const MIN_EXTRA_SENDERS: usize = 2;
/// An increased allowance takes effect only after this time, because other senders may still use the previous list.
const PREVIOUS_LIST_TTL_MS: Millis = 1500.0;

/// The number of senders that share one backend's limit, and the starts of each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Shares {
    senders: usize,
    starts: usize,
}

impl Shares {
    /// Divides `bound` among the senders, for `senders` processes and `backends` backends.
    fn of(bound: f64, senders: usize, backends: usize) -> Shares {
        let request = (BACKENDS_PER_SENDER * senders)
            .div_ceil(backends.max(1))
            .max(MIN_SENDERS_PER_BACKEND);
        let allocated = (bound * ALLOCATED_FRACTION).max(0.0) as usize;
        let mut selected = request.min(senders).min(allocated);
        while selected > 0 && Shares::with_extra_senders(selected) > allocated {
            selected -= 1;
        }
        let starts = if selected == 0 {
            0
        } else {
            allocated / Shares::with_extra_senders(selected)
        };
        Shares {
            senders: selected,
            starts,
        }
    }

    /// The number of senders to leave headroom for if `selected` are selected from each list.
    fn with_extra_senders(selected: usize) -> usize {
        selected + MIN_EXTRA_SENDERS.max(selected.div_ceil(2))
    }
}

/// A list of senders, as hashes of their names.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SenderHashes(Vec<u64>);

impl SenderHashes {
    /// Number of starts that `own` may make at a backend within the window.
    fn allowance(&self, own: u64, backend: u64, bound: f64, backends: usize) -> usize {
        if !self.0.contains(&own) {
            return 0;
        }
        let shares = Shares::of(bound, self.0.len(), backends);
        let score = mix(own, backend);
        let ahead = self
            .0
            .iter()
            .filter(|sender| mix(**sender, backend) > score)
            .count();
        if ahead < shares.senders {
            shares.starts
        } else {
            0
        }
    }
}

/// The sender lists that are still in use, and the position of this process in them.
#[derive(Debug)]
pub(super) struct SenderLists {
    own: u64,
    current: SenderHashes,
    /// Previous lists, each with the time until which another sender may use it.
    previous: VecDeque<(Millis, SenderHashes)>,
    generation: u64,
}

impl SenderLists {
    /// Creates an empty list, which allows no requests to cold backends.
    pub(super) fn new(node: &str) -> SenderLists {
        let empty = SenderHashes(Vec::new());
        SenderLists {
            own: hash_name(node),
            current: empty,
            previous: VecDeque::new(),
            generation: 0,
        }
    }

    /// Applies a new list.
    pub(super) fn update(&mut self, now: Millis, nodes: &[String]) {
        self.expire(now);
        let mut hashes: Vec<u64> = nodes.iter().map(|node| hash_name(node)).collect();
        hashes.sort_unstable();
        hashes.dedup();
        let newest = SenderHashes(hashes);
        if newest == self.current {
            return;
        }
        let replaced = std::mem::replace(&mut self.current, newest);
        self.previous
            .push_back((now + PREVIOUS_LIST_TTL_MS, replaced));
        self.generation += 1;
    }

    /// The index of this process in a list.
    pub(super) fn rank_in(&self, nodes: &[String]) -> Option<usize> {
        nodes.iter().position(|node| hash_name(node) == self.own)
    }

    /// Removes previous lists that no sender uses any more.
    pub(super) fn expire(&mut self, now: Millis) {
        while self
            .previous
            .front()
            .is_some_and(|(until, _)| *until <= now)
        {
            self.previous.pop_front();
            self.generation += 1;
        }
    }

    /// A counter that increases whenever allowances may change.
    pub(super) fn generation(&self) -> u64 {
        self.generation
    }

    /// Number of senders, including this process.
    pub(super) fn count(&self) -> usize {
        self.current.0.len().max(1)
    }

    /// The place of a backend in this process's own order of backends.
    pub(super) fn rank_of_backend(&self, backend: u64) -> u64 {
        mix(self.own, backend)
    }

    /// Number of starts that this process may make at a cold backend within the window: the minimum over all lists in
    /// use.
    pub(super) fn allowance(&self, backend: u64, bound: f64, backends: usize) -> usize {
        let older = self.previous.iter().map(|(_, list)| list);
        older
            .chain([&self.current])
            .map(|list| list.allowance(self.own, backend, bound, backends))
            .min()
            .unwrap_or(0)
    }
}

/// Recent starts of this process at one backend.
#[derive(Debug, Default)]
pub(super) struct StartLog {
    starts: VecDeque<Millis>,
}

impl StartLog {
    /// Records a start.
    pub(super) fn record(&mut self, now: Millis) {
        self.starts.push_back(now);
    }

    /// Removes the record of a start at this time.
    pub(super) fn withdraw(&mut self, started: Millis) {
        let recorded = self.starts.iter().rposition(|start| *start == started);
        recorded.and_then(|index| self.starts.remove(index));
    }

    /// Number of starts within the window that ends at `now`.
    pub(super) fn count(&mut self, now: Millis) -> usize {
        while self
            .starts
            .front()
            .is_some_and(|start| *start <= now - START_WINDOW_MS)
        {
            self.starts.pop_front();
        }
        self.starts.len()
    }

    /// When the oldest start leaves the window.
    pub(super) fn next_expiry(&self) -> Option<Millis> {
        self.starts.front().map(|start| start + START_WINDOW_MS)
    }
}
