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
    pub memory: bool,
}

/// One gateway's part in deciding.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Acceptor {
    promised: Ballot,
    accepted: Option<(Ballot, MapId)>,
    in_force: Option<MapId>,
    memory: bool,
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
            memory: self.memory,
        })
    }

    /// Accepts a map, unless it has promised not to, or cannot vouch for what it did before it started. With `anew`
    /// the leader says that too few remember, and that all count from now on.
    pub fn accept(&mut self, ballot: Ballot, map: MapId, anew: bool) -> bool {
        let later = |known: MapId| map.version > known.version || anew && map.epoch > known.epoch;
        let follows = self.in_force.is_none_or(later);
        if ballot < self.promised || !(self.memory || anew) || !follows {
            return false;
        }
        self.memory = true;
        self.promised = ballot;
        self.accepted = Some((ballot, map));
        true
    }

    /// A leader has told that this map is in force. `settled` if nothing else is being decided: then there is nothing
    /// that this gateway may have forgotten.
    pub fn decided(&mut self, epoch: u64, map: MapId, settled: bool) {
        self.promised = self.promised.max(Ballot { epoch, attempt: 0 });
        self.in_force = Some(map);
        self.memory |= settled;
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
    pub fn has_memory(&self) -> bool {
        self.memory
    }
}

/// What a leader that begins makes of the answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LearnedMap {
    /// What is in force.
    pub in_force: Option<MapId>,
    /// A map of the next version that a majority may have accepted: it has to be decided before anything else.
    pub finish: Option<MapId>,
}

/// What the answers say, if they are enough: those of a majority that remembers, or with `anew` of any majority.
pub fn learn(
    answers: &BTreeMap<PeerId, AcceptorReport>,
    anew: bool,
    is_majority: impl Fn(&dyn Fn(PeerId) -> bool) -> bool,
) -> Option<LearnedMap> {
    let counted = |name: PeerId| answers.get(&name).filter(|answer| anew || answer.memory);
    if !is_majority(&|name| counted(name).is_some()) {
        return None;
    }
    let answers_that_count = || answers.keys().filter_map(|name| counted(*name));
    let in_force = answers_that_count()
        .filter_map(|answer| answer.in_force)
        .max();
    let next = in_force.map_or(1, |map| map.version.saturating_add(1));
    // A history that begins is the first of its epoch, whatever others had before.
    let begins =
        |map: &MapId| map.version == 1 && in_force.is_none_or(|known| map.epoch > known.epoch);
    let accepted = answers_that_count().filter_map(|answer| answer.accepted);
    let open = accepted.filter(|(_, map)| map.version == next || begins(map));
    let highest = open.max().map(|(_, map)| map);
    // If any map was decided for that version, each proposal after it was the same one: the highest is the only one
    // that may have been. It was not, if too many have not accepted it, who now never will.
    let may_have = |map: MapId| {
        is_majority(&|name| {
            counted(name)
                .is_none_or(|answer| answer.accepted.is_some_and(|(_, accepted)| accepted == map))
        })
    };
    Some(LearnedMap {
        in_force,
        finish: highest.filter(|map| may_have(*map)),
    })
}

#[cfg(test)]
mod tests;
