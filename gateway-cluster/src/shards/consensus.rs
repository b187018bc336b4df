//! Single-decree Paxos, one instance for each map version. The leader's epoch is the ballot (L. Lamport, "Paxos Made
//! Simple", 2001, section 2.2).
//!
//! Invariant: at most one map is decided for a version. Gateways have no disks, so a restarted acceptor has lost its
//! promises. It does not count towards a majority before a leader has informed it of a decided map while no other
//! decision was pending: then there is nothing that it could have forgotten. If too few acceptors count, the leader
//! rebuilds the history from any majority (`recovery`), once all leases of earlier leaders have expired.
//!
//! No I/O. Used by [`super::node`] and by the model checks.

use super::map::MapHash;
use crate::peers::PeerId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Paxos ballot: the leader's epoch, then the attempt within the epoch.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Epoch of the proposing leader.
    pub epoch: u64,
    /// Attempt within the epoch; it grows by one after a rejected or timed out proposal.
    pub attempt: u32,
}

/// Identity of a map: epoch, version and hash. Ordered by epoch first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MapId {
    /// Epoch of the leader that made the map.
    pub epoch: u64,
    /// Version of the map.
    pub version: u64,
    /// Hash of the map.
    pub hash: MapHash,
}

/// A map that an acceptor has accepted. Ordered by ballot first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AcceptedMap {
    /// Ballot under which it was accepted.
    pub ballot: Ballot,
    /// The map.
    pub map: MapId,
}

/// State of an acceptor, sent with its promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptorReport {
    /// The highest decided map that the acceptor knows.
    pub in_force: Option<MapId>,
    /// The map that the acceptor has accepted for the next version, with the ballot.
    pub accepted: Option<AcceptedMap>,
    /// Whether the state is complete since the last restart; an incomplete state does not count towards a majority.
    pub recovered: bool,
}

/// Acceptor of one gateway.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Acceptor {
    promised: Ballot,
    accepted: Option<AcceptedMap>,
    in_force: Option<MapId>,
    recovered: bool,
}

impl Acceptor {
    /// Promises to accept no lower ballot, and reports the state. `None` if a higher ballot has been promised.
    pub fn promise(&mut self, ballot: Ballot) -> Option<AcceptorReport> {
        if ballot < self.promised {
            return None;
        }
        self.promised = ballot;
        Some(AcceptorReport {
            in_force: self.in_force,
            accepted: self.accepted,
            recovered: self.recovered,
        })
    }

    /// Accepts a map, unless a higher ballot has been promised, the map does not follow the decided one, or the
    /// acceptor has lost its state. `recovery` is set by a leader that rebuilds the history; then an acceptor that lost
    /// its state counts as well.
    pub fn accept(&mut self, ballot: Ballot, map: MapId, recovery: bool) -> bool {
        let later =
            |known: MapId| map.version > known.version || recovery && map.epoch > known.epoch;
        let follows = self.in_force.is_none_or(later);
        if ballot < self.promised || !(self.recovered || recovery) || !follows {
            return false;
        }
        self.recovered = true;
        self.promised = ballot;
        self.accepted = Some(AcceptedMap { ballot, map });
        true
    }

    /// A leader has announced the decided map. `idle` means that no other decision is pending, so that an acceptor that
    /// lost its state is complete again.
    pub fn on_decided(&mut self, epoch: u64, map: MapId, idle: bool) {
        self.promised = self.promised.max(Ballot { epoch, attempt: 0 });
        self.in_force = Some(map);
        self.recovered |= idle;
        // An accepted map of this version or a lower one, or of an older epoch, is obsolete.
        self.accepted = self.accepted.filter(|AcceptedMap { ballot, map: next }| {
            Some(next.version) == map.version.checked_add(1) && ballot.epoch >= epoch
        });
    }

    /// The highest decided map that this acceptor knows.
    pub fn in_force(&self) -> Option<MapId> {
        self.in_force
    }

    /// The map accepted for the next version, with its ballot.
    pub fn accepted(&self) -> Option<AcceptedMap> {
        self.accepted
    }

    /// Whether this acceptor counts towards a majority.
    pub fn is_recovered(&self) -> bool {
        self.recovered
    }
}

/// Result of phase one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LearnedMap {
    /// The map in force.
    pub in_force: Option<MapId>,
    /// A map of the next version that a majority may have accepted: it has to be decided before any other.
    pub unfinished: Option<MapId>,
}

/// Evaluates the promises of phase one. `None` if they are not from a majority of acceptors with complete state, or,
/// with `recovery`, not from any majority.
pub fn learn(
    reports: &BTreeMap<PeerId, AcceptorReport>,
    recovery: bool,
    is_majority: impl Fn(&dyn Fn(PeerId) -> bool) -> bool,
) -> Option<LearnedMap> {
    let counted_report = |name: PeerId| {
        reports
            .get(&name)
            .filter(|report| recovery || report.recovered)
    };
    if !is_majority(&|name| counted_report(name).is_some()) {
        return None;
    }
    let counted_reports = || reports.keys().filter_map(|name| counted_report(*name));
    let in_force = counted_reports().filter_map(|report| report.in_force).max();
    let next = in_force.map_or(1, |map| map.version.saturating_add(1));
    // The first map of a history has version 1 and a later epoch than the map in force, whatever its version.
    let starts_history =
        |map: &MapId| map.version == 1 && in_force.is_none_or(|known| map.epoch > known.epoch);
    let accepted = counted_reports().filter_map(|report| report.accepted);
    let candidates =
        accepted.filter(|accepted| accepted.map.version == next || starts_history(&accepted.map));
    let highest = candidates.max().map(|accepted| accepted.map);
    // If a map was decided for this version, every later proposal was the same map, so only the one with the highest
    // ballot can be decided. It cannot be if too many acceptors report that they have not accepted it: they have now
    // promised not to.
    let may_have = |map: MapId| {
        is_majority(&|name| {
            counted_report(name)
                .is_none_or(|report| report.accepted.is_some_and(|accepted| accepted.map == map))
        })
    };
    Some(LearnedMap {
        in_force,
        unfinished: highest.filter(|map| may_have(*map)),
    })
}

#[cfg(test)]
mod tests;
