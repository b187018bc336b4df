//! Assignment of one placer to each zone, by the core's primary. No I/O and no clock.
//!
//! A placer is retained as long as it polls. Its successor is the zone's process with the best rank; processes that serve no
//! clients rank first, as they have the most spare capacity.

use crate::balance::hash::{hash_name, mix};
use alderhollow_model::identity::{NodeInfo, Role};
use alderhollow_model::snapshot::Placer;
use std::collections::BTreeMap;

/// A process that has not polled for this long, in ms, is replaced as placer. Processes poll at least every 400 ms.
pub const PLACER_TIMEOUT_MS: u64 = 1_100;

/// Interval between checks for processes that stopped polling, in ms.
const CHECK_INTERVAL_MS: u64 = 100;

/// A process that is eligible as placer of its zone.
#[derive(Debug)]
struct Candidate {
    node: NodeInfo,
    polled_at_ms: u64,
}

/// The placers of all zones.
#[derive(Debug, Default)]
pub struct PlacerAssignment {
    candidates: BTreeMap<String, Candidate>,
    placers: Vec<Placer>,
    started_at_ms: u64,
    checked_at_ms: u64,
    /// Whether a candidate was added, changed or removed since the last check.
    is_changed: bool,
}

impl PlacerAssignment {
    /// The assignment of a new primary. It starts with the known placers, which are retained for [`PLACER_TIMEOUT_MS`] so
    /// that they have time to poll this primary.
    pub fn resume(known: &[Placer], now_ms: u64) -> PlacerAssignment {
        PlacerAssignment {
            placers: known.to_vec(),
            started_at_ms: now_ms,
            ..PlacerAssignment::default()
        }
    }

    /// Handles a poll.
    pub fn on_poll(&mut self, node: &NodeInfo, is_leaving: bool, now_ms: u64) {
        if is_leaving {
            self.is_changed |= self.candidates.remove(&node.node).is_some();
            return;
        }
        match self.candidates.get_mut(&node.node) {
            Some(candidate) if candidate.node == *node => candidate.polled_at_ms = now_ms,
            _ => {
                let candidate = Candidate {
                    node: node.clone(),
                    polled_at_ms: now_ms,
                };
                self.candidates.insert(node.node.clone(), candidate);
                self.is_changed = true;
            }
        }
    }

    /// The placers, sorted by zone.
    pub fn placers(&self) -> &[Placer] {
        &self.placers
    }

    /// Replaces placers that stopped polling and assigns missing ones, at most every `CHECK_INTERVAL_MS` unless a candidate
    /// changed. `primary` is the name of the primary's machine, which ranks lower. Returns whether the assignment changed.
    pub fn check_placers(&mut self, primary: &str, now_ms: u64) -> bool {
        let is_due = now_ms.saturating_sub(self.checked_at_ms) >= CHECK_INTERVAL_MS;
        if !is_due && !std::mem::take(&mut self.is_changed) {
            return false;
        }
        self.checked_at_ms = now_ms;
        self.is_changed = false;
        self.candidates.retain(|_, candidate| {
            now_ms.saturating_sub(candidate.polled_at_ms) <= PLACER_TIMEOUT_MS
        });
        let mut best: BTreeMap<&str, &Candidate> = BTreeMap::new();
        for candidate in self.candidates.values() {
            let zone = candidate.node.zone.as_str();
            let rank = |candidate: &Candidate| self.rank(candidate, primary);
            match best.get(zone) {
                Some(known) if rank(known) <= rank(candidate) => {}
                _ => {
                    best.insert(zone, candidate);
                }
            }
        }
        let mut placers: Vec<Placer> = best
            .values()
            .map(|candidate| placer_of(&candidate.node))
            .collect();
        if now_ms.saturating_sub(self.started_at_ms) <= PLACER_TIMEOUT_MS {
            let has_not_polled_yet = |placer: &&Placer| !self.candidates.contains_key(&placer.node);
            for placer_to_retain in self.placers.iter().filter(has_not_polled_yet) {
                placers.retain(|placer| placer.zone != placer_to_retain.zone);
                placers.push(placer_to_retain.clone());
            }
            placers.sort_by(|one, other| one.zone.cmp(&other.zone));
        }
        let changed = placers != self.placers;
        self.placers = placers;
        changed
    }

    /// Rank of a candidate; the lowest wins. Compared by: not the current placer, load by role, rendezvous hash.
    fn rank(&self, candidate: &Candidate, primary: &str) -> (bool, u8, u64) {
        let node = &candidate.node;
        let is_placer = self.placers.iter().any(|placer| *placer == placer_of(node));
        let load_rank = match node.role {
            Role::Core if node.node != primary => 0,
            Role::Core => 1,
            Role::Gateway if node.disk.is_none() => 2,
            Role::Gateway => 3,
            Role::Store => 4,
        };
        (
            !is_placer,
            load_rank,
            mix(hash_name(&node.zone), hash_name(&node.node)),
        )
    }
}

fn placer_of(node: &NodeInfo) -> Placer {
    Placer {
        zone: node.zone.clone(),
        node: node.node.clone(),
        internal: node.internal,
    }
}
