//! What staff are told of the map in force, a change that is under way and a proposal of theirs.

use super::proposals::Offer;
use super::term::Stage;
use super::Keeping;
use crate::engine::Micros;
use crate::names::{id_of, Id};
use crate::ownership::longer;
use crate::shards::map::{Hash, Key, Map};
use crate::shards::wire::{State, Told};
use std::collections::{BTreeMap, BTreeSet};

/// A change that is under way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Next {
    /// The version that it goes to.
    pub version: u64,
    /// Whose answer or release it waits for.
    pub waits_for: Vec<String>,
    /// For so long at most; none while a map is being decided, which takes a majority that can be reached.
    pub at_most: Option<Micros>,
}

/// A proposal of staff at this door.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// Its state.
    pub state: State,
    /// The version that it is to be.
    pub version: u64,
    /// Why it was refused.
    pub findings: Vec<Told>,
}

/// What staff are told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Standing {
    /// The version of the map in force; 0 without one.
    pub version: u64,
    /// The term that made it.
    pub epoch: u64,
    /// Its hash.
    pub hash: Hash,
    /// The hash of the map before it.
    pub parent: Hash,
    /// How many ranges it has.
    pub ranges: usize,
    /// How many of them each door has.
    pub kept: BTreeMap<String, usize>,
    /// The keys that this door keeps now, from and up to.
    pub mine: Vec<(Key, Key)>,
    /// A change that is under way.
    pub next: Option<Next>,
    /// What staff have proposed at this door.
    pub proposal: Proposal,
}

impl Keeping {
    /// What staff are told. True at this moment.
    pub fn standing(&self, now: Micros) -> Standing {
        let map = self.map.as_ref();
        let mut kept = BTreeMap::new();
        for range in map.into_iter().flat_map(|map| &map.ranges) {
            *kept.entry(range.keeper.clone()).or_default() += 1;
        }
        let proposal = match &self.offer {
            None => Proposal {
                state: State::None,
                version: 0,
                findings: Vec::new(),
            },
            Some(Offer {
                state,
                map,
                findings,
                ..
            }) => Proposal {
                state: *state,
                version: map.version,
                findings: findings.clone(),
            },
        };
        Standing {
            version: map.map_or(0, |map| map.version),
            epoch: map.map_or(0, |map| map.epoch),
            hash: map.map_or(Hash::NONE, Map::hash),
            parent: map.map_or(Hash::NONE, |map| map.parent),
            ranges: map.map_or(0, |map| map.ranges.len()),
            kept,
            mine: self.mine(now),
            next: self.staged(now),
            proposal,
        }
    }

    fn staged(&self, now: Micros) -> Option<Next> {
        if let Some(term) = &self.term {
            if let Stage::Deciding(deciding) = &term.stage {
                let answered =
                    |id: &Id| deciding.accepted.contains(id) || deciding.refused.contains_key(id);
                let waits = self
                    .fleet
                    .doors
                    .keys()
                    .filter(|name| !answered(&id_of(name)));
                let waits_for = waits.cloned().collect();
                return Some(Next {
                    version: deciding.named.version,
                    waits_for,
                    at_most: None,
                });
            }
            let (marks, names) = &term.waits;
            let left = names
                .iter()
                .map(|name| term.ledger.left_of(now, id_of(name)))
                .max();
            let left = left.unwrap_or(term.ledger.unknown_until().saturating_sub(now));
            let version = term.current.as_ref().map_or(0, |map| map.version);
            return (!marks.is_empty()).then(|| Next {
                version,
                waits_for: names.clone(),
                at_most: Some(left),
            });
        }
        // What another door knows is what it waits for itself.
        let hold = self.hand.hold(now).filter(|hold| !hold.waits.is_empty())?;
        let map = self.map.as_ref()?;
        let mut waits_for = BTreeSet::new();
        for (number, range) in map.ranges.iter().enumerate() {
            if range.keeper == self.name && hold.waits.has(number) {
                let had = self.previous.iter().flat_map(|previous| &previous.ranges);
                let had = had.filter(|had| had.from < range.to && range.from < had.to);
                waits_for.extend(
                    had.filter(|had| had.keeper != self.name)
                        .map(|had| had.keeper.clone()),
                );
            }
        }
        let waits_for: Vec<String> = waits_for.into_iter().collect();
        let at_most = Some(longer(self.keep));
        (!waits_for.is_empty()).then_some(Next {
            version: map.version,
            waits_for,
            at_most,
        })
    }
}
