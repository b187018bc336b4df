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
        let mut bits = Vec::new();
        for index in (0..ranges).filter(|index| holds(*index)) {
            bits.resize(index / 8 + 1, 0);
            if let Some(byte) = bits.last_mut() {
                *byte |= 1 << (index % 8);
            }
        }
        RangeSet(bits)
    }

    /// Whether a range is one of them.
    pub fn contains(&self, index: usize) -> bool {
        self.0
            .get(index / 8)
            .is_some_and(|byte| byte >> (index % 8) & 1 == 1)
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|byte| *byte == 0)
    }

    /// How many bytes it takes at most.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    fn intersection(&self, other: &RangeSet) -> RangeSet {
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
    pub blocked: RangeSet,
    /// On this gateway's clock.
    pub expires_at: Micros,
}

/// What one gateway keeps.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct LocalShards {
    highest_token: FencingToken,
    lease: Option<ShardLease>,
    had_lease: bool,
}

impl LocalShards {
    /// Whether a lease of this epoch and version is not older than one that was seen.
    pub fn is_current(&self, fence: FencingToken) -> bool {
        fence >= self.highest_token
    }

    /// Takes a keep lease in place of the one before. What this map gives to others is let go by that, at once.
    pub fn accept_lease(
        &mut self,
        now: Micros,
        fence: FencingToken,
        hash: MapHash,
        blocked: RangeSet,
        expires_at: Micros,
    ) -> bool {
        if !self.is_current(fence) {
            return false;
        }
        self.highest_token = fence;
        self.had_lease |= now < expires_at;
        let same = self
            .lease
            .take()
            .filter(|lease| lease.hash == hash && now < lease.expires_at);
        self.lease = Some(match same {
            // Where others were out of the way already they stay so while this lease has no end.
            Some(lease) => ShardLease {
                blocked: lease.blocked.intersection(&blocked),
                expires_at: lease.expires_at.max(expires_at),
                hash,
            },
            None => ShardLease {
                hash,
                blocked,
                expires_at,
            },
        });
        true
    }

    /// The lease that this gateway has at this moment.
    pub fn lease(&self, now: Micros) -> Option<&ShardLease> {
        self.lease.as_ref().filter(|lease| now < lease.expires_at)
    }

    /// Whether it has had one in this incarnation.
    pub fn had_lease(&self) -> bool {
        self.had_lease
    }

    /// It keeps nothing from now on.
    pub fn release_all(&mut self) {
        (self.lease, self.had_lease) = (None, false);
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
        let Some(lease) = self.lease(now) else {
            return Vec::new();
        };
        let mut mine: Vec<(Key, Key)> = Vec::new();
        let mut add = |from: Key, to: Key| match mine.last_mut() {
            Some(last) if last.1 == from => last.1 = to,
            _ => mine.push((from, to)),
        };
        for (index, range) in map
            .ranges
            .iter()
            .enumerate()
            .filter(|(_, range)| range.owner == me)
        {
            if !lease.blocked.contains(index) {
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
    expires_at: Micros,
    /// The version that it has taken over in this epoch.
    acknowledged_version: u64,
    /// It has said that it keeps nothing any more.
    released: bool,
}

/// What a leader knows of who may keep what.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GrantedLeases {
    /// Leases of earlier leaders are over then.
    unknown_until: Micros,
    granted: BTreeMap<PeerId, GrantedLease>,
}

impl GrantedLeases {
    /// Of a epoch that begins. `keep` is the length of keep leases.
    pub fn new(now: Micros, lease_duration: Micros) -> GrantedLeases {
        GrantedLeases {
            unknown_until: now + longer(lease_duration),
            granted: BTreeMap::new(),
        }
    }

    /// When all leases of earlier leaders are over.
    pub fn unknown_until(&self) -> Micros {
        self.unknown_until
    }

    /// Everybody has said that nobody keeps anything.
    pub fn expire_unknown(&mut self, now: Micros) {
        self.unknown_until = self.unknown_until.min(now);
    }

    /// This incarnation says that it has kept: an earlier one of its name is over.
    pub fn record_prior_lease(&mut self, peer: PeerId, incarnation: u64) {
        let until = self.unknown_until;
        self.granted.entry(peer).or_insert(GrantedLease {
            incarnation,
            expires_at: until,
            acknowledged_version: 0,
            released: false,
        });
    }

    /// Whether a lease may be given to this incarnation: no other of its name has one.
    pub fn may_grant(&self, now: Micros, peer: PeerId, incarnation: u64) -> bool {
        match self.granted.get(&peer) {
            Some(granted) if granted.incarnation == incarnation => !granted.released,
            Some(granted) => now >= granted.expires_at,
            None => now >= self.unknown_until,
        }
    }

    /// A lease is given, which is over then on the leader's clock.
    pub fn grant(&mut self, peer: PeerId, incarnation: u64, until: Micros) {
        let granted = self.granted.entry(peer).or_insert(GrantedLease {
            incarnation,
            expires_at: until,
            acknowledged_version: 0,
            released: false,
        });
        if granted.incarnation != incarnation {
            *granted = GrantedLease {
                incarnation,
                expires_at: until,
                acknowledged_version: 0,
                released: false,
            };
        }
        granted.expires_at = granted.expires_at.max(until);
    }

    /// This incarnation has taken this version over: it keeps by no lower one.
    pub fn acknowledge(&mut self, peer: PeerId, incarnation: u64, version: u64) {
        if let Some(granted) = self
            .granted
            .get_mut(&peer)
            .filter(|granted| granted.incarnation == incarnation)
        {
            granted.acknowledged_version = granted.acknowledged_version.max(version);
        }
    }

    /// This incarnation, which has kept, keeps nothing any more, and never will.
    pub fn release(&mut self, now: Micros, peer: PeerId, incarnation: u64) {
        self.record_prior_lease(peer, incarnation);
        if let Some(granted) = self
            .granted
            .get_mut(&peer)
            .filter(|granted| granted.incarnation == incarnation)
        {
            (granted.expires_at, granted.released) = (granted.expires_at.min(now), true);
        }
    }

    /// Whether a name keeps by no version lower than this one.
    pub fn is_free(&self, now: Micros, peer: PeerId, version: u64) -> bool {
        match self.granted.get(&peer) {
            Some(granted) => granted.acknowledged_version >= version || now >= granted.expires_at,
            None => now >= self.unknown_until,
        }
    }

    /// Whether a name has taken this version over.
    pub fn has_acknowledged(&self, peer: PeerId, version: u64) -> bool {
        self.granted
            .get(&peer)
            .is_some_and(|granted| granted.acknowledged_version >= version)
    }

    /// For how long a name may yet keep by a lower version.
    pub fn remaining(&self, now: Micros, peer: PeerId) -> Micros {
        self.granted
            .get(&peer)
            .map_or(self.unknown_until, |granted| granted.expires_at)
            .saturating_sub(now)
    }
}

/// Ranges of a map whose new owners have to wait, because a previous owner of some of the keys may still have a lease.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BlockedRanges {
    /// The blocked ranges, by index in the map.
    pub ranges: RangeSet,
    /// Names of the previous owners that block them, sorted.
    pub owners: Vec<String>,
}

/// Computes the blocked ranges of a map: `is_free` says whether a previous owner has no lease for an earlier version.
/// Without a previous map nothing is blocked.
pub fn blocked_ranges(
    map: &ShardMap,
    previous: Option<&ShardMap>,
    is_free: impl Fn(&str) -> bool,
) -> BlockedRanges {
    let Some(previous) = previous else {
        return BlockedRanges::default();
    };
    let mut free: BTreeMap<&str, bool> = BTreeMap::new();
    let mut blocked = vec![false; map.ranges.len()];
    let mut first = 0;
    for (range, blocked) in map.ranges.iter().zip(&mut blocked) {
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
                *blocked |= !*free;
            }
        }
    }
    BlockedRanges {
        ranges: RangeSet::of(map.ranges.len(), |index| {
            blocked.get(index).copied().unwrap_or(false)
        }),
        owners: free
            .into_iter()
            .filter(|(_, free)| !free)
            .map(|(name, _)| name.to_string())
            .collect(),
    }
}

#[cfg(test)]
mod tests;
