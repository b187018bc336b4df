//! Deciding a map once per version: single-decree Paxos by version, where the leadership's epoch is the ballot. Gateways have no
//! disks: one that starts from nothing counts for nothing until a leader has told it all that it may have forgotten.

use super::map::MapHash;
use crate::peers::PeerId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What an acceptor orders proposers by: the leader's epoch, and within it how often the leader has asked anew.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// The leader's epoch.
    pub epoch: u64,
    /// Within it, after a proposal that was refused.
    pub attempt: u32,
}

/// A map by name: the epoch that made it, its version, and its hash. Later ones are higher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MapId {
    /// The epoch that made it.
    pub epoch: u64,
    /// Its version.
    pub version: u64,
    /// Its hash.
    pub hash: MapHash,
}

/// What an acceptor answers to the question of a leader that begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptorReport {
    /// The highest decided map that it knows.
    pub in_force: Option<MapId>,
    /// What it has accepted for the version after that, and of which ballot.
    pub accepted: Option<(Ballot, MapId)>,
    /// It knows all that it ever promised and accepted, or that is settled.
    pub recovered: bool,
}

/// One gateway's part in deciding.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Acceptor {
    promised: Ballot,
    accepted: Option<(Ballot, MapId)>,
    in_force: Option<MapId>,
    recovered: bool,
}

impl Acceptor {
    /// Promises to accept nothing of a lower ballot, and tells what it has. `None` if it has promised a higher one.
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

    /// Accepts a map, unless it has promised not to, or cannot vouch for what it did before it started. With `recovery`
    /// the leader says that too few remember, and that all count from now on.
    pub fn accept(&mut self, ballot: Ballot, map: MapId, recovery: bool) -> bool {
        let later =
            |known: MapId| map.version > known.version || recovery && map.epoch > known.epoch;
        let follows = self.in_force.is_none_or(later);
        if ballot < self.promised || !(self.recovered || recovery) || !follows {
            return false;
        }
        self.recovered = true;
        self.promised = ballot;
        self.accepted = Some((ballot, map));
        true
    }

    /// A leader has told that this map is in force. `idle` if nothing else is being decided: then there is nothing
    /// that this gateway may have forgotten.
    pub fn on_decided(&mut self, epoch: u64, map: MapId, idle: bool) {
        self.promised = self.promised.max(Ballot { epoch, attempt: 0 });
        self.in_force = Some(map);
        self.recovered |= idle;
        // What was accepted for this version or a lower one is over, and so is that of an older history.
        self.accepted = self.accepted.filter(|(ballot, next)| {
            Some(next.version) == map.version.checked_add(1) && ballot.epoch >= epoch
        });
    }

    /// What is in force, as far as this gateway knows.
    pub fn in_force(&self) -> Option<MapId> {
        self.in_force
    }

    /// What is accepted.
    pub fn accepted(&self) -> Option<(Ballot, MapId)> {
        self.accepted
    }

    /// Whether it counts.
    pub fn is_recovered(&self) -> bool {
        self.recovered
    }
}

/// What a leader that begins makes of the answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LearnedMap {
    /// What is in force.
    pub in_force: Option<MapId>,
    /// A map of the next version that a majority may have accepted: it has to be decided before anything else.
    pub unfinished: Option<MapId>,
}

/// What the answers say, if they are enough: those of a majority that remembers, or with `recovery` of any majority.
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
    // A history that begins is the first of its epoch, whatever others had before.
    let starts_history =
        |map: &MapId| map.version == 1 && in_force.is_none_or(|known| map.epoch > known.epoch);
    let accepted = counted_reports().filter_map(|report| report.accepted);
    let candidates = accepted.filter(|(_, map)| map.version == next || starts_history(map));
    let highest = candidates.max().map(|(_, map)| map);
    // If any map was decided for that version, each proposal after it was the same one: the highest is the only one
    // that may have been. It was not, if too many have not accepted it, who now never will.
    let may_have = |map: MapId| {
        is_majority(&|name| {
            counted_report(name)
                .is_none_or(|report| report.accepted.is_some_and(|(_, accepted)| accepted == map))
        })
    };
    Some(LearnedMap {
        in_force,
        unfinished: highest.filter(|map| may_have(*map)),
    })
}

#[cfg(test)]
mod tests;
