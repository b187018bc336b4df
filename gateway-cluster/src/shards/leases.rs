//! Shard leases: the rules by which a key has at most one owner at any instant.
//!
//! [`LocalShards`] is the lease holder's side: which keys this gateway owns now. [`GrantedLeases`] is the leader's
//! side: who may still own what. Safety rests on leases alone. A new leader assumes that every gateway has a lease for
//! all keys of earlier maps, until the gateway acknowledges the new map, releases its leases, or every lease of an
//! earlier leader has expired.
//!
//! No I/O. Used by [`super::node`] and by the model checks. Times are in microseconds.

use super::map::{Key, MapHash, ShardMap};
use crate::leadership::{longer, FencingToken};
use crate::peers::PeerId;
use crate::protocol::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Duration of a shard lease, in durations of the leadership lease: it outlasts a change of the leader.
pub const SHARD_LEASE_FACTOR: u64 = 2;

/// A set of ranges of a map, as a bitmap over their indexes. Trailing zero bytes are left out.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RangeSet(Vec<u8>);

impl RangeSet {
    /// The ranges, by index, for which the predicate is true.
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

    /// Whether the range with this index is in the set.
    pub fn contains(&self, index: usize) -> bool {
        self.0
            .get(index / 8)
            .is_some_and(|byte| byte >> (index % 8) & 1 == 1)
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|byte| *byte == 0)
    }

    /// Size of the bitmap in bytes.
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

/// A shard lease of this gateway.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ShardLease {
    /// Hash of the map that the lease is for.
    pub hash: MapHash,
    /// Ranges that previous owners may still own.
    pub blocked: RangeSet,
    /// End of the lease on this gateway's clock.
    pub expires_at: Micros,
}

/// Shard leases of this gateway, as their holder.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct LocalShards {
    highest_token: FencingToken,
    lease: Option<ShardLease>,
    had_lease: bool,
}

impl LocalShards {
    /// Whether a lease of this epoch and version is not older than the newest one received.
    pub fn is_current(&self, fence: FencingToken) -> bool {
        fence >= self.highest_token
    }

    /// Replaces the lease by a newer one. Keys that the new map assigns to others are released at once. Returns false
    /// if the lease is outdated.
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
            // Ranges that were free stay free as long as the lease does not expire: a new leader may not know it.
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

    /// The lease, if it has not expired.
    pub fn lease(&self, now: Micros) -> Option<&ShardLease> {
        self.lease.as_ref().filter(|lease| now < lease.expires_at)
    }

    /// Whether this incarnation has had a lease.
    pub fn had_lease(&self) -> bool {
        self.had_lease
    }

    /// Releases all leases.
    pub fn release_all(&mut self) {
        (self.lease, self.had_lease) = (None, false);
    }

    /// The key ranges `[from, to)` that this gateway owns now. In a blocked range it owns the keys that it already
    /// owned in `previous`, the map before this one.
    pub fn owned_ranges(
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

/// The leader's record of one peer's lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct GrantedLease {
    incarnation: u64,
    /// End of the lease on the leader's clock.
    expires_at: Micros,
    /// The highest map version that the peer has acknowledged in this epoch.
    acknowledged_version: u64,
    /// The peer has released its leases and gets no more in this incarnation.
    released: bool,
}

/// The leader's record of all leases that may be valid.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GrantedLeases {
    /// Until then leases of earlier leaders may be valid.
    unknown_until: Micros,
    granted: BTreeMap<PeerId, GrantedLease>,
}

impl GrantedLeases {
    /// Record of a leader that was just elected: any gateway may have a lease of an earlier leader.
    pub fn new(now: Micros, lease_duration: Micros) -> GrantedLeases {
        GrantedLeases {
            unknown_until: now + longer(lease_duration),
            granted: BTreeMap::new(),
        }
    }

    /// When all leases of earlier leaders have expired, on the leader's clock.
    pub fn unknown_until(&self) -> Micros {
        self.unknown_until
    }

    /// Every peer has reported that it has no lease.
    pub fn expire_unknown(&mut self, now: Micros) {
        self.unknown_until = self.unknown_until.min(now);
    }

    /// The peer reports that this incarnation has had a lease, so no earlier incarnation has one.
    pub fn record_prior_lease(&mut self, peer: PeerId, incarnation: u64) {
        let until = self.unknown_until;
        self.granted.entry(peer).or_insert(GrantedLease {
            incarnation,
            expires_at: until,
            acknowledged_version: 0,
            released: false,
        });
    }

    /// Whether a lease may be granted to this incarnation: no other incarnation of the peer can have one.
    pub fn may_grant(&self, now: Micros, peer: PeerId, incarnation: u64) -> bool {
        match self.granted.get(&peer) {
            Some(granted) if granted.incarnation == incarnation => !granted.released,
            Some(granted) => now >= granted.expires_at,
            None => now >= self.unknown_until,
        }
    }

    /// Records a lease before it is sent. `until` is its end on the leader's clock.
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

    /// The incarnation has taken over a map version: it owns nothing by a lower one.
    pub fn acknowledge(&mut self, peer: PeerId, incarnation: u64, version: u64) {
        if let Some(granted) = self
            .granted
            .get_mut(&peer)
            .filter(|granted| granted.incarnation == incarnation)
        {
            granted.acknowledged_version = granted.acknowledged_version.max(version);
        }
    }

    /// The incarnation has released its leases and will not own anything again.
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

    /// Whether the peer owns nothing by a version lower than this one.
    pub fn is_free(&self, now: Micros, peer: PeerId, version: u64) -> bool {
        match self.granted.get(&peer) {
            Some(granted) => granted.acknowledged_version >= version || now >= granted.expires_at,
            None => now >= self.unknown_until,
        }
    }

    /// Whether the peer has acknowledged this version.
    pub fn has_acknowledged(&self, peer: PeerId, version: u64) -> bool {
        self.granted
            .get(&peer)
            .is_some_and(|granted| granted.acknowledged_version >= version)
    }

    /// Time until all leases of the peer for lower versions have expired.
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
