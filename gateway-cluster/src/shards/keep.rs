//! Exactly once in time: what a door keeps now, and what the owner knows of who may still keep what. Safety is by leases
//! alone: an owner that begins counts each door for a keeper of all that it may have been given before, until it says
//! that it has let go, or until any lease that an earlier owner gave is over.

use super::map::{Hash, Key, Map};
use crate::engine::Micros;
use crate::names::Id;
use crate::ownership::{longer, Fence};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How long a keeper keeps after it was last heard, in leases of the office: it outlasts the change of an owner.
pub const KEEP_LEASES: u64 = 2;

/// Ranges of a map by number, as a set.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Marks(Vec<u8>);

impl Marks {
    /// Those of these ranges for which this holds.
    pub fn of(ranges: usize, holds: impl Fn(usize) -> bool) -> Marks {
        let mut marks = Vec::new();
        for number in (0..ranges).filter(|number| holds(*number)) {
            marks.resize(number / 8 + 1, 0);
            if let Some(byte) = marks.last_mut() {
                *byte |= 1 << (number % 8);
            }
        }
        Marks(marks)
    }

    /// Whether a range is one of them.
    pub fn has(&self, number: usize) -> bool {
        self.0
            .get(number / 8)
            .is_some_and(|byte| byte >> (number % 8) & 1 == 1)
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|byte| *byte == 0)
    }

    /// How many bytes it takes at most.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    fn both(&self, other: &Marks) -> Marks {
        Marks(
            self.0
                .iter()
                .zip(&other.0)
                .map(|(one, other)| one & other)
                .collect(),
        )
    }
}

/// A keep lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Hold {
    /// Of which map.
    pub hash: Hash,
    /// Ranges that others may still keep.
    pub waits: Marks,
    /// On this door's clock.
    pub until: Micros,
}

/// What one door keeps.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Hand {
    seen: Fence,
    hold: Option<Hold>,
    held: bool,
}

impl Hand {
    /// Whether a lease of this term and version is not older than one that was seen.
    pub fn allows(&self, fence: Fence) -> bool {
        fence >= self.seen
    }

    /// Takes a keep lease in place of the one before. What this map gives to others is let go by that, at once.
    pub fn keep(
        &mut self,
        now: Micros,
        fence: Fence,
        hash: Hash,
        waits: Marks,
        until: Micros,
    ) -> bool {
        if !self.allows(fence) {
            return false;
        }
        self.seen = fence;
        self.held |= now < until;
        let same = self
            .hold
            .take()
            .filter(|hold| hold.hash == hash && now < hold.until);
        self.hold = Some(match same {
            // Where others were out of the way already they stay so while this lease has no end.
            Some(hold) => Hold {
                waits: hold.waits.both(&waits),
                until: hold.until.max(until),
                hash,
            },
            None => Hold { hash, waits, until },
        });
        true
    }

    /// The lease that this door has at this moment.
    pub fn hold(&self, now: Micros) -> Option<&Hold> {
        self.hold.as_ref().filter(|hold| now < hold.until)
    }

    /// Whether it has had one in this life.
    pub fn has_held(&self) -> bool {
        self.held
    }

    /// It keeps nothing from now on.
    pub fn drop_all(&mut self) {
        (self.hold, self.held) = (None, false);
    }

    /// The keys that this door keeps at this moment, from and up to. `previous` is the map before this one: a range that
    /// waits is kept as far as it was this door's there.
    pub fn mine(
        &self,
        now: Micros,
        me: &str,
        map: &Map,
        previous: Option<&Map>,
    ) -> Vec<(Key, Key)> {
        let Some(hold) = self.hold(now) else {
            return Vec::new();
        };
        let mut mine: Vec<(Key, Key)> = Vec::new();
        let mut add = |from: Key, to: Key| match mine.last_mut() {
            Some(last) if last.1 == from => last.1 = to,
            _ => mine.push((from, to)),
        };
        for (number, range) in map
            .ranges
            .iter()
            .enumerate()
            .filter(|(_, range)| range.keeper == me)
        {
            if !hold.waits.has(number) {
                add(range.from, range.to);
                continue;
            }
            let had = previous.into_iter().flat_map(|previous| &previous.ranges);
            for had in had.filter(|had| had.keeper == me) {
                let (from, to) = (had.from.max(range.from), had.to.min(range.to));
                if from < to {
                    add(from, to);
                }
            }
        }
        mine
    }
}

/// What an owner knows of one name.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Given {
    life: u64,
    /// On the owner's clock.
    until: Micros,
    /// The version that it has taken over in this term.
    has: u64,
    /// It has said that it keeps nothing any more.
    left: bool,
}

/// What an owner knows of who may keep what.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ledger {
    /// Leases of earlier owners are over then.
    unknown_until: Micros,
    given: BTreeMap<Id, Given>,
}

impl Ledger {
    /// Of a term that begins. `keep` is the length of keep leases.
    pub fn new(now: Micros, keep: Micros) -> Ledger {
        Ledger {
            unknown_until: now + longer(keep),
            given: BTreeMap::new(),
        }
    }

    /// When all leases of earlier owners are over.
    pub fn unknown_until(&self) -> Micros {
        self.unknown_until
    }

    /// Everybody has said that nobody keeps anything.
    pub fn nobody_keeps(&mut self, now: Micros) {
        self.unknown_until = self.unknown_until.min(now);
    }

    /// This life says that it has kept: an earlier one of its name is over.
    pub fn has_held(&mut self, name: Id, life: u64) {
        let until = self.unknown_until;
        self.given.entry(name).or_insert(Given {
            life,
            until,
            has: 0,
            left: false,
        });
    }

    /// Whether a lease may be given to this life: no other of its name has one.
    pub fn may_give(&self, now: Micros, name: Id, life: u64) -> bool {
        match self.given.get(&name) {
            Some(given) if given.life == life => !given.left,
            Some(given) => now >= given.until,
            None => now >= self.unknown_until,
        }
    }

    /// A lease is given, which is over then on the owner's clock.
    pub fn give(&mut self, name: Id, life: u64, until: Micros) {
        let given = self.given.entry(name).or_insert(Given {
            life,
            until,
            has: 0,
            left: false,
        });
        if given.life != life {
            *given = Given {
                life,
                until,
                has: 0,
                left: false,
            };
        }
        given.until = given.until.max(until);
    }

    /// This life has taken this version over: it keeps by no lower one.
    pub fn took(&mut self, name: Id, life: u64, version: u64) {
        if let Some(given) = self.given.get_mut(&name).filter(|given| given.life == life) {
            given.has = given.has.max(version);
        }
    }

    /// This life, which has kept, keeps nothing any more, and never will.
    pub fn left(&mut self, now: Micros, name: Id, life: u64) {
        self.has_held(name, life);
        if let Some(given) = self.given.get_mut(&name).filter(|given| given.life == life) {
            (given.until, given.left) = (given.until.min(now), true);
        }
    }

    /// Whether a name keeps by no version lower than this one.
    pub fn is_free(&self, now: Micros, name: Id, version: u64) -> bool {
        match self.given.get(&name) {
            Some(given) => given.has >= version || now >= given.until,
            None => now >= self.unknown_until,
        }
    }

    /// Whether a name has taken this version over.
    pub fn has(&self, name: Id, version: u64) -> bool {
        self.given
            .get(&name)
            .is_some_and(|given| given.has >= version)
    }

    /// For how long a name may yet keep by a lower version.
    pub fn left_of(&self, now: Micros, name: Id) -> Micros {
        self.given
            .get(&name)
            .map_or(self.unknown_until, |given| given.until)
            .saturating_sub(now)
    }
}

/// The names that keep others from what a map gives them, with the ranges that wait for each: who had keys of a range
/// before, and may still keep them. Without the map before it, anybody may.
pub fn waiting<'a>(
    map: &Map,
    previous: Option<&'a Map>,
    is_free: impl Fn(&str) -> bool,
) -> (Marks, Vec<&'a str>) {
    let Some(previous) = previous else {
        return (Marks::default(), Vec::new());
    };
    let mut free: BTreeMap<&str, bool> = BTreeMap::new();
    let mut marked = vec![false; map.ranges.len()];
    let mut first = 0;
    for (range, marked) in map.ranges.iter().zip(&mut marked) {
        while previous
            .ranges
            .get(first)
            .is_some_and(|had| had.to <= range.from)
        {
            first += 1;
        }
        let rest = previous.ranges.get(first..).unwrap_or_default();
        for had in rest.iter().take_while(|had| had.from < range.to) {
            if had.keeper != range.keeper {
                let free = free
                    .entry(&had.keeper)
                    .or_insert_with(|| is_free(&had.keeper));
                *marked |= !*free;
            }
        }
    }
    let names = free
        .into_iter()
        .filter(|(_, free)| !free)
        .map(|(name, _)| name)
        .collect();
    (
        Marks::of(map.ranges.len(), |number| {
            marked.get(number).copied().unwrap_or(false)
        }),
        names,
    )
}

#[cfg(test)]
mod tests;
