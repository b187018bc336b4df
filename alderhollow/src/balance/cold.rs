//! How much this process may send to a cold backend.
//!
//! The rule bounds what all senders together send within any one second. Nobody counts centrally: each process
//! picks, by rendezvous hashing over the list of senders, the few that may send to a backend, and each of these
//! keeps to a fixed number of starts within a sliding window that is a little longer than a second. The numbers
//! leave room for senders that hold different lists.

use super::hash::{hash_name, mix};
use super::Millis;
use std::collections::VecDeque;

/// The operators' bounds on cold backends, from the settings file: within one second all senders together stay
/// within `cold-per-s` x `over` + `slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Factor on the service's `cold-per-s`.
    pub over: f64,
    /// Requests beyond.
    pub slack: f64,
}

impl Default for ColdBounds {
    /// The strictest: the bare rate.
    fn default() -> ColdBounds {
        ColdBounds {
            over: 1.0,
            slack: 0.0,
        }
    }
}

impl ColdBounds {
    /// Requests that one cold backend may get within one second.
    pub fn per_second(&self, cold_per_s: f64) -> f64 {
        cold_per_s * self.over + self.slack
    }
}

/// Window over which a sender counts its own starts: a second, and what a start may be late on its way.
pub(super) const START_WINDOW_MS: Millis = 1150.0;
/// Part of the bound that is given out at all.
const ALLOCATED_FRACTION: f64 = 0.9;
/// Fewest senders that share a backend's allowance, where there are so many.
const MIN_SENDERS_PER_BACKEND: usize = 6;
/// Cold backends that each sender may use on average if all of a service's are cold.
const BACKENDS_PER_SENDER: usize = 4;
/// Fewest senders, beyond those picked, for which room is left because their lists differ.
const MIN_EXTRA_SENDERS: usize = 2;
/// A larger part in the allowance counts only after this time: until then others may act on the older list.
const PREVIOUS_LIST_TTL_MS: Millis = 1500.0;

/// How many senders share one backend's allowance, and how much each gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Shares {
    senders: usize,
    starts: usize,
}

impl Shares {
    /// The shares for a bound on the sum, where `senders` processes serve `backends` backends.
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

    /// The senders for which there must be room if `picked` are picked from each list.
    fn with_extra_senders(selected: usize) -> usize {
        selected + MIN_EXTRA_SENDERS.max(selected.div_ceil(2))
    }
}

/// A list of senders, as hashes.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SenderHashes(Vec<u64>);

impl SenderHashes {
    /// Starts that `own` may make at a backend within the window.
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

/// The senders' lists that still count, and this process's place in them.
#[derive(Debug)]
pub(super) struct SenderLists {
    own: u64,
    current: SenderHashes,
    /// Older lists, each with the time until which another sender may act on it.
    previous: VecDeque<(Millis, SenderHashes)>,
    generation: u64,
}

impl SenderLists {
    /// Before the first list: nothing may be sent to a cold backend.
    pub(super) fn new(node: &str) -> SenderLists {
        let empty = SenderHashes(Vec::new());
        SenderLists {
            own: hash_name(node),
            current: empty,
            previous: VecDeque::new(),
            generation: 0,
        }
    }

    /// Takes in a list.
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

    /// The place of this process in a list.
    pub(super) fn rank_in(&self, nodes: &[String]) -> Option<usize> {
        nodes.iter().position(|node| hash_name(node) == self.own)
    }

    /// Forgets the lists on which nobody acts any more.
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

    /// Changes whenever allowances may.
    pub(super) fn generation(&self) -> u64 {
        self.generation
    }

    /// Processes that send, this one included.
    pub(super) fn count(&self) -> usize {
        self.current.0.len().max(1)
    }

    /// Starts that this process may make at a cold backend within the window: the least by any list that counts.
    pub(super) fn allowance(&self, backend: u64, bound: f64, backends: usize) -> usize {
        let older = self.previous.iter().map(|(_, list)| list);
        older
            .chain([&self.current])
            .map(|list| list.allowance(self.own, backend, bound, backends))
            .min()
            .unwrap_or(0)
    }
}

/// The recent starts of this process at one backend.
#[derive(Debug, Default)]
pub(super) struct StartLog {
    starts: VecDeque<Millis>,
}

impl StartLog {
    /// Notes a start.
    pub(super) fn record(&mut self, now: Millis) {
        self.starts.push_back(now);
    }

    /// Starts within the window that ends now.
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
