//! Who places requests in which zone, as the core's primary names them. No I/O and no clock.
//!
//! A placer stays one as long as it polls; its successor is the best of the zone's other processes. Processes that serve no
//! clients come first: they have the most room.

use crate::balance::hash::{hash_name, mix};
use alderhollow_model::identity::{NodeInfo, Role};
use alderhollow_model::snapshot::Placer;
use std::collections::BTreeMap;

/// A process that has not polled for so long is no placer any more. Polls come at least each 400 ms.
pub const PLACER_TIMEOUT_MS: u64 = 1_100;

/// Silences are looked for so often.
const RENEWAL_INTERVAL_MS: u64 = 100;

/// A process that may be placer of its zone.
#[derive(Debug)]
struct Candidate {
    node: NodeInfo,
    heard_at: u64,
}

/// Names the placers of all zones.
#[derive(Debug, Default)]
pub struct PlacerAssignment {
    candidates: BTreeMap<String, Candidate>,
    placers: Vec<Placer>,
    begun_at: u64,
    renewed_at: u64,
    /// Whether candidates came or went since the last renewal.
    is_changed: bool,
}

impl PlacerAssignment {
    /// The assignment of a new primary, which goes on from the one that it knows: those placers have time for their first
    /// polls.
    pub fn begin(known: &[Placer], now_ms: u64) -> PlacerAssignment {
        PlacerAssignment {
            placers: known.to_vec(),
            begun_at: now_ms,
            ..PlacerAssignment::default()
        }
    }

    /// Notes a poll.
    pub fn heard(&mut self, node: &NodeInfo, is_leaving: bool, now_ms: u64) {
        if is_leaving {
            self.is_changed |= self.candidates.remove(&node.node).is_some();
            return;
        }
        match self.candidates.get_mut(&node.node) {
            Some(candidate) if candidate.node == *node => candidate.heard_at = now_ms,
            _ => {
                let candidate = Candidate {
                    node: node.clone(),
                    heard_at: now_ms,
                };
                self.candidates.insert(node.node.clone(), candidate);
                self.is_changed = true;
            }
        }
    }

    /// The placers, by zones.
    pub fn placers(&self) -> &[Placer] {
        &self.placers
    }

    /// Names successors where placers are silent or missing. `primary` is the primary's own machine, which has other work.
    /// Tells whether the list changed.
    pub fn renew(&mut self, primary: &str, now_ms: u64) -> bool {
        let is_due = now_ms.saturating_sub(self.renewed_at) >= RENEWAL_INTERVAL_MS;
        if !is_due && !std::mem::take(&mut self.is_changed) {
            return false;
        }
        self.renewed_at = now_ms;
        self.is_changed = false;
        self.candidates
            .retain(|_, candidate| now_ms.saturating_sub(candidate.heard_at) <= PLACER_TIMEOUT_MS);
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
        if now_ms.saturating_sub(self.begun_at) <= PLACER_TIMEOUT_MS {
            let is_awaited = |placer: &&Placer| !self.candidates.contains_key(&placer.node);
            for awaited in self.placers.iter().filter(is_awaited) {
                placers.retain(|placer| placer.zone != awaited.zone);
                placers.push(awaited.clone());
            }
            placers.sort_by(|one, other| one.zone.cmp(&other.zone));
        }
        let changed = placers != self.placers;
        self.placers = placers;
        changed
    }

    /// The least comes first: who is placer already, then by the room that its role leaves, then by rendezvous.
    fn rank(&self, candidate: &Candidate, primary: &str) -> (bool, u8, u64) {
        let node = &candidate.node;
        let is_placer = self.placers.iter().any(|placer| *placer == placer_of(node));
        let room = match node.role {
            Role::Core if node.node != primary => 0,
            Role::Core => 1,
            Role::Gateway if node.disk.is_none() => 2,
            Role::Gateway => 3,
            Role::Store => 4,
        };
        (
            !is_placer,
            room,
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
