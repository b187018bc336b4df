//! Deciding a map once per version: single-decree Paxos by version, where the office's term is the ballot. Doors have no
//! disks: one that starts from nothing counts for nothing until an owner has told it all that it may have forgotten.

use super::map::Hash;
use crate::names::Id;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What an acceptor orders proposers by: the owner's term, and within it how often the owner has asked anew.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// The owner's term.
    pub epoch: u64,
    /// Within it, after a proposal that was refused.
    pub attempt: u32,
}

/// A map by name: the term that made it, its version, and its hash. Later ones are higher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Named {
    /// The term that made it.
    pub epoch: u64,
    /// Its version.
    pub version: u64,
    /// Its hash.
    pub hash: Hash,
}

/// What an acceptor answers to the question of an owner that begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// The highest decided map that it knows.
    pub in_force: Option<Named>,
    /// What it has accepted for the version after that, and of which ballot.
    pub accepted: Option<(Ballot, Named)>,
    /// It knows all that it ever promised and accepted, or that is settled.
    pub memory: bool,
}

/// One door's part in deciding.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Acceptor {
    promised: Ballot,
    accepted: Option<(Ballot, Named)>,
    in_force: Option<Named>,
    memory: bool,
}

impl Acceptor {
    /// Promises to accept nothing of a lower ballot, and tells what it has. `None` if it has promised a higher one.
    pub fn promise(&mut self, ballot: Ballot) -> Option<Answer> {
        if ballot < self.promised {
            return None;
        }
        self.promised = ballot;
        Some(Answer {
            in_force: self.in_force,
            accepted: self.accepted,
            memory: self.memory,
        })
    }

    /// Accepts a map, unless it has promised not to, or cannot vouch for what it did before it started. With `anew`
    /// the owner says that too few remember, and that all count from now on.
    pub fn accept(&mut self, ballot: Ballot, map: Named, anew: bool) -> bool {
        let later = |known: Named| map.version > known.version || anew && map.epoch > known.epoch;
        let follows = self.in_force.is_none_or(later);
        if ballot < self.promised || !(self.memory || anew) || !follows {
            return false;
        }
        self.memory = true;
        self.promised = ballot;
        self.accepted = Some((ballot, map));
        true
    }

    /// An owner has told that this map is in force. `settled` if nothing else is being decided: then there is nothing
    /// that this door may have forgotten.
    pub fn decided(&mut self, epoch: u64, map: Named, settled: bool) {
        self.promised = self.promised.max(Ballot { epoch, attempt: 0 });
        self.in_force = Some(map);
        self.memory |= settled;
        // What was accepted for this version or a lower one is over, and so is that of an older history.
        self.accepted = self.accepted.filter(|(ballot, next)| {
            Some(next.version) == map.version.checked_add(1) && ballot.epoch >= epoch
        });
    }

    /// What is in force, as far as this door knows.
    pub fn in_force(&self) -> Option<Named> {
        self.in_force
    }

    /// What is accepted.
    pub fn accepted(&self) -> Option<(Ballot, Named)> {
        self.accepted
    }

    /// Whether it counts.
    pub fn has_memory(&self) -> bool {
        self.memory
    }
}

/// What an owner that begins makes of the answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Learned {
    /// What is in force.
    pub in_force: Option<Named>,
    /// A map of the next version that a majority may have accepted: it has to be decided before anything else.
    pub finish: Option<Named>,
}

/// What the answers say, if they are enough: those of a majority that remembers, or with `anew` of any majority.
pub fn learn(
    answers: &BTreeMap<Id, Answer>,
    anew: bool,
    is_majority: impl Fn(&dyn Fn(Id) -> bool) -> bool,
) -> Option<Learned> {
    let counted = |name: Id| answers.get(&name).filter(|answer| anew || answer.memory);
    if !is_majority(&|name| counted(name).is_some()) {
        return None;
    }
    let answers_that_count = || answers.keys().filter_map(|name| counted(*name));
    let in_force = answers_that_count()
        .filter_map(|answer| answer.in_force)
        .max();
    let next = in_force.map_or(1, |map| map.version.saturating_add(1));
    // A history that begins is the first of its term, whatever others had before.
    let begins =
        |map: &Named| map.version == 1 && in_force.is_none_or(|known| map.epoch > known.epoch);
    let accepted = answers_that_count().filter_map(|answer| answer.accepted);
    let open = accepted.filter(|(_, map)| map.version == next || begins(map));
    let highest = open.max().map(|(_, map)| map);
    // If any map was decided for that version, each proposal after it was the same one: the highest is the only one
    // that may have been. It was not, if too many have not accepted it, who now never will.
    let may_have = |map: Named| {
        is_majority(&|name| {
            counted(name)
                .is_none_or(|answer| answer.accepted.is_some_and(|(_, accepted)| accepted == map))
        })
    };
    Some(Learned {
        in_force,
        finish: highest.filter(|map| may_have(*map)),
    })
}

#[cfg(test)]
mod tests;
