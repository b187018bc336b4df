//! Exactly once in time: what a gateway keeps now, and what the leader knows of who may still keep what. Safety is by leases
//! alone: a leader that begins counts each gateway for an owner of all that it may have been given before, until it says
//! that it has let go, or until any lease that an earlier leader gave is over.

use super::map::{Key, MapHash, ShardMap};
use crate::leadership::{longer, FencingToken};
use crate::peers::PeerId;
use crate::protocol::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How long an owner keeps after it was last heard, in leases of leadership: it outlasts the change of a leader.
pub const SHARD_LEASE_FACTOR: u64 = 2;

/// Ranges of a map by number, as a set.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RangeSet(Vec<u8>);

impl RangeSet {
    /// Those of these ranges for which this holds.
    pub fn of(ranges: usize, holds: impl Fn(usize) -> bool) -> RangeSet {
        let mut marks = Vec::new();
        for number in (0..ranges).filter(|number| holds(*number)) {
            marks.resize(number / 8 + 1, 0);
            if let Some(byte) = marks.last_mut() {
                *byte |= 1 << (number % 8);
            }
        }
        RangeSet(marks)
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

    fn both(&self, other: &RangeSet) -> RangeSet {
        RangeSet(
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
pub struct ShardLease {
    /// Of which map.
    pub hash: MapHash,
    /// Ranges that others may still keep.
    pub waits: RangeSet,
    /// On this gateway's clock.
    pub until: Micros,
}

/// What one gateway keeps.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct LocalShards {
    seen: FencingToken,
    hold: Option<ShardLease>,
    held: bool,
}

impl LocalShards {
    /// Whether a lease of this epoch and version is not older than one that was seen.
    pub fn allows(&self, fence: FencingToken) -> bool {
        fence >= self.seen
    }

    /// Takes a keep lease in place of the one before. What this map gives to others is let go by that, at once.
    pub fn keep(
        &mut self,
        now: Micros,
        fence: FencingToken,
        hash: MapHash,
        waits: RangeSet,
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
            Some(hold) => ShardLease {
                waits: hold.waits.both(&waits),
                until: hold.until.max(until),
                hash,
            },
            None => ShardLease { hash, waits, until },
        });
        true
    }

    /// The lease that this gateway has at this moment.
    pub fn hold(&self, now: Micros) -> Option<&ShardLease> {
        self.hold.as_ref().filter(|hold| now < hold.until)
    }

    /// Whether it has had one in this incarnation.
    pub fn has_held(&self) -> bool {
        self.held
    }

    /// It keeps nothing from now on.
    pub fn drop_all(&mut self) {
        (self.hold, self.held) = (None, false);
    }

    /// The keys that this gateway keeps at this moment, from and up to. `previous` is the map before this one: a range that
    /// waits is kept as far as it was this gateway's there.
    pub fn mine(
        &self,
        now: Micros,
        me: &str,
        map: &ShardMap,
        previous: Option<&ShardMap>,
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
            .filter(|(_, range)| range.owner == me)
        {
            if !hold.waits.has(number) {
                add(range.from, range.to);
                continue;
            }
            let had = previous.into_iter().flat_map(|previous| &previous.ranges);
            for had in had.filter(|had| had.owner == me) {
                let (from, to) = (had.from.max(range.from), had.to.min(range.to));
                if from < to {
                    add(from, to);
                }
            }
        }
        mine
    }
}

/// What a leader knows of one name.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct GrantedLease {
    incarnation: u64,
    /// On the leader's clock.
    until: Micros,
    /// The version that it has taken over in this epoch.
    has: u64,
    /// It has said that it keeps nothing any more.
    left: bool,
}

/// What a leader knows of who may keep what.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GrantedLeases {
    /// Leases of earlier leaders are over then.
    unknown_until: Micros,
    given: BTreeMap<PeerId, GrantedLease>,
}

impl GrantedLeases {
    /// Of a epoch that begins. `keep` is the length of keep leases.
    pub fn new(now: Micros, keep: Micros) -> GrantedLeases {
        GrantedLeases {
            unknown_until: now + longer(keep),
            given: BTreeMap::new(),
        }
    }

    /// When all leases of earlier leaders are over.
    pub fn unknown_until(&self) -> Micros {
        self.unknown_until
    }

    /// Everybody has said that nobody keeps anything.
    pub fn nobody_keeps(&mut self, now: Micros) {
        self.unknown_until = self.unknown_until.min(now);
    }

    /// This incarnation says that it has kept: an earlier one of its name is over.
    pub fn has_held(&mut self, name: PeerId, incarnation: u64) {
        let until = self.unknown_until;
        self.given.entry(name).or_insert(GrantedLease {
            incarnation,
            until,
            has: 0,
            left: false,
        });
    }

    /// Whether a lease may be given to this incarnation: no other of its name has one.
    pub fn may_give(&self, now: Micros, name: PeerId, incarnation: u64) -> bool {
        match self.given.get(&name) {
            Some(given) if given.incarnation == incarnation => !given.left,
            Some(given) => now >= given.until,
            None => now >= self.unknown_until,
        }
    }

    /// A lease is given, which is over then on the leader's clock.
    pub fn give(&mut self, name: PeerId, incarnation: u64, until: Micros) {
        let given = self.given.entry(name).or_insert(GrantedLease {
            incarnation,
            until,
            has: 0,
            left: false,
        });
        if given.incarnation != incarnation {
            *given = GrantedLease {
                incarnation,
                until,
                has: 0,
                left: false,
            };
        }
        given.until = given.until.max(until);
    }

    /// This incarnation has taken this version over: it keeps by no lower one.
    pub fn took(&mut self, name: PeerId, incarnation: u64, version: u64) {
        if let Some(given) = self
            .given
            .get_mut(&name)
            .filter(|given| given.incarnation == incarnation)
        {
            given.has = given.has.max(version);
        }
    }

    /// This incarnation, which has kept, keeps nothing any more, and never will.
    pub fn left(&mut self, now: Micros, name: PeerId, incarnation: u64) {
        self.has_held(name, incarnation);
        if let Some(given) = self
            .given
            .get_mut(&name)
            .filter(|given| given.incarnation == incarnation)
        {
            (given.until, given.left) = (given.until.min(now), true);
        }
    }

    /// Whether a name keeps by no version lower than this one.
    pub fn is_free(&self, now: Micros, name: PeerId, version: u64) -> bool {
        match self.given.get(&name) {
            Some(given) => given.has >= version || now >= given.until,
            None => now >= self.unknown_until,
        }
    }

    /// Whether a name has taken this version over.
    pub fn has(&self, name: PeerId, version: u64) -> bool {
        self.given
            .get(&name)
            .is_some_and(|given| given.has >= version)
    }

    /// For how long a name may yet keep by a lower version.
    pub fn left_of(&self, now: Micros, name: PeerId) -> Micros {
        self.given
            .get(&name)
            .map_or(self.unknown_until, |given| given.until)
            .saturating_sub(now)
    }
}

/// The names that keep others from what a map gives them, with the ranges that wait for each: who had keys of a range
/// before, and may still keep them. Without the map before it, anybody may.
pub fn waiting<'a>(
    map: &ShardMap,
    previous: Option<&'a ShardMap>,
    is_free: impl Fn(&str) -> bool,
) -> (RangeSet, Vec<&'a str>) {
    let Some(previous) = previous else {
        return (RangeSet::default(), Vec::new());
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
            if had.owner != range.owner {
                let free = free
                    .entry(&had.owner)
                    .or_insert_with(|| is_free(&had.owner));
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
        RangeSet::of(map.ranges.len(), |number| {
            marked.get(number).copied().unwrap_or(false)
        }),
        names,
    )
}

#[cfg(test)]
mod tests;
