//! Plans for the next map that move as few keys as possible. Pure functions.
//!
//! * [`replace_lost_owners`]: the keys of owners that are gone move, each once, and no others. That is the minimum, as
//!   all of them have to move.
//! * [`add_owners`]: new owners get at most what they lack to the even share, and each key that moves goes to one of
//!   them, once. No map gives them the even share with fewer moved keys.
//! * [`rebalance`]: a range moves only where the gain in load is worth it, by the rule stated there.
//!
//! Existing bounds are kept, since loads are reported by range. Ranges are split only where whole ranges would be too
//! uneven ([`SLACK_DIVISOR`]), and as far as [`Limits::ranges`] allows; to stay within it, neighbours with one owner
//! are merged.
//!
//! Each plan passes [`validate`](super::validate()) before it is returned. Each takes the map in force and returns the
//! one that follows it, with the highest epoch known ([`ClusterState::epoch`]), which is the leader's own when it
//! plans.

use super::cover::{self, Span};
use super::finding::Finding;
use super::map::{Key, ShardMap, ShardRange};
use super::{validate, ClusterState, Limits};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use thiserror::Error;

mod rebalance;

pub use rebalance::{rebalance, MIN_GAIN, MIN_GAIN_PER_SHARE, REBALANCE_START, REBALANCE_STOP};

/// Whole ranges are moved, and splits avoided, as long as no owner is off by more than the even share divided by this.
pub const SLACK_DIVISOR: u64 = 8;

/// Why there is no plan.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlanError {
    /// No gateway is alive.
    #[error("no gateway is alive that could own keys: start one of the peer set")]
    NoLiveGateway,
    /// The map in force does not cover each key exactly once.
    #[error(
        "the map in force does not cover each key once: propose a complete map, or restart all gateways for \
         a first one"
    )]
    IncompleteMap,
    /// The version number of the map in force is the last one.
    #[error(
        "no version comes after the one in force: restart all gateways, so that a new history starts"
    )]
    LastVersion,
    /// The number of loads differs from the number of ranges.
    #[error(
        "{loads} loads were reported for {ranges} ranges: request them again for the map in force"
    )]
    Loads {
        /// Number of loads.
        loads: usize,
        /// Number of ranges of the map.
        ranges: usize,
    },
    /// The planned map is not valid.
    #[error("the next map would be rejected, first finding: {}; correct it, or propose a map",
            .0.first().map_or_else(String::new, Finding::to_string))]
    Refused(Vec<Finding>),
}

/// Assigns the keys of all owners that are gone (dead, leaving, not in the peer set) to gateways that are alive, and
/// moves nothing else. `None` if no owner is gone.
///
/// The owners with fewest keys get them: none is raised above the level to which these keys fill up the lowest owners
/// by more than the even share divided by [`SLACK_DIVISOR`]; if no range can be split, exactly to that level. Weight is
/// in keys, so that the limit of a share holds; load is balanced later by [`rebalance`].
///
/// While a move of these keys is not complete the plan is refused ([`Rule::Moving`](super::Rule::Moving)): plan again
/// after that.
///
/// # Errors
/// If no gateway is alive, if the map in force is incomplete or has the last version, or if the planned map is not
/// valid.
pub fn replace_lost_owners(
    in_force: &ShardMap,
    cluster: &ClusterState,
    limits: &Limits,
) -> Result<Option<ShardMap>, PlanError> {
    let mut draft = MapDraft::new(in_force, cluster, limits)?;
    draft.merge_if_crowded();
    let (gone, unmovable) = draft
        .ranges
        .drain(..)
        .partition(|range| !cluster.is_alive(&range.owner));
    draft.ranges = unmovable;
    if gone.is_empty() {
        return Ok(None);
    }
    let keys = gone.iter().map(ShardRange::keys).sum();
    let max = fill_level(draft.owned.values().copied(), keys).saturating_add(draft.slack());
    draft.assign_to_lightest(&gone, max);
    draft.finish().map(Some)
}

/// Moves keys to new owners until each has its even share, which is all keys divided by the number of gateways alive.
/// At most [`Limits::max_moved`] keys in one map: planned again from the resulting map, it continues, and returns
/// `None` at its end. Names of gateways that are not alive are ignored.
///
/// At the end each new owner has the even share, rounded down, or lacks at most the even share divided by
/// [`SLACK_DIVISOR`], and so does every owner that gave keys. If no range can be split, whole ranges move as far as
/// that holds. Keys whose last move is not complete do not move.
///
/// # Errors
/// If no gateway is alive, if the map in force is incomplete or has the last version, or if the planned map is not
/// valid, for example because an owner is gone ([`replace_lost_owners`] comes first).
pub fn add_owners<'a>(
    in_force: &'a ShardMap,
    newcomers: impl IntoIterator<Item = &'a str>,
    cluster: &'a ClusterState,
    limits: &'a Limits,
) -> Result<Option<ShardMap>, PlanError> {
    let mut draft = MapDraft::new(in_force, cluster, limits)?;
    let newcomers: BTreeSet<&str> = newcomers
        .into_iter()
        .filter(|name| cluster.is_alive(name))
        .collect();
    draft.merge_if_crowded();
    let mut left = limits.max_moved();
    let mut moved = false;
    // The new owner with fewest keys takes from the owner with most keys, whole ranges first.
    while let Some((index, keys, to)) = draft
        .range_for(&newcomers, left)
        .or_else(|| draft.partial_range_for(&newcomers, left))
    {
        draft.split_off(index, keys);
        draft.change_owner(index, to);
        left = left.saturating_sub(keys);
        moved = true;
    }
    if !moved {
        return Ok(None);
    }
    draft.finish().map(Some)
}

/// The level, rounded up, to which so many keys fill up the lowest of these.
fn fill_level(owned: impl Iterator<Item = u64>, keys: u64) -> u64 {
    let mut owned: Vec<u64> = owned.collect();
    owned.sort_unstable();
    let mut below = u128::from(keys);
    let mut level = u128::from(keys);
    for (index, height) in owned.iter().enumerate() {
        if index > 0 && u128::from(*height) >= level {
            break;
        }
        below += u128::from(*height);
        level = below.div_ceil(index as u128 + 1);
    }
    u64::try_from(level).unwrap_or(u64::MAX)
}

/// A map under construction.
struct MapDraft<'a> {
    in_force: &'a ShardMap,
    cluster: &'a ClusterState,
    limits: &'a Limits,
    moving: Vec<Span>,
    /// In any order.
    ranges: Vec<ShardRange>,
    /// Number of keys of each gateway that is alive.
    owned: BTreeMap<&'a str, u64>,
}

impl<'a> MapDraft<'a> {
    fn new(
        in_force: &'a ShardMap,
        cluster: &'a ClusterState,
        limits: &'a Limits,
    ) -> Result<MapDraft<'a>, PlanError> {
        let mut owned: BTreeMap<&str, u64> = cluster.living().map(|name| (name, 0)).collect();
        if owned.is_empty() {
            return Err(PlanError::NoLiveGateway);
        }
        let mut end = 0;
        for range in &in_force.ranges {
            if range.from != end || range.keys() == 0 {
                return Err(PlanError::IncompleteMap);
            }
            end = range.to;
            if let Some(owned) = owned.get_mut(range.owner.as_str()) {
                *owned += range.keys();
            }
        }
        if end != limits.keys {
            return Err(PlanError::IncompleteMap);
        }
        let moving = cover::merged(&cluster.moving);
        Ok(MapDraft {
            in_force,
            cluster,
            limits,
            moving,
            ranges: in_force.ranges.clone(),
            owned,
        })
    }

    /// The even share, rounded down.
    fn even(&self) -> u64 {
        self.limits.keys / (self.owned.len() as u64).max(1)
    }

    /// Number of keys by which an owner may be off the even share.
    fn slack(&self) -> u64 {
        self.even() / SLACK_DIVISOR
    }

    /// Whether the last move of some keys of a range is not complete.
    fn is_moving(&self, range: &ShardRange) -> bool {
        let first = self.moving.partition_point(|span| span.1 <= range.from);
        self.moving.get(first).is_some_and(|span| span.0 < range.to)
    }

    /// Merges neighbours with one owner if there are too many ranges to split one for each gateway. Ranges have to be
    /// sorted.
    fn merge_if_crowded(&mut self) {
        if self.ranges.len().saturating_add(self.owned.len()) > self.limits.ranges {
            self.merge_neighbours();
        }
    }

    /// Merges neighbours with one owner.
    fn merge_neighbours(&mut self) {
        let mut merged: Vec<ShardRange> = Vec::with_capacity(self.ranges.len());
        for range in std::mem::take(&mut self.ranges) {
            // Keys whose last move is not complete keep their bounds, so that the keys beside them may move.
            let moving = self.is_moving(&range);
            match merged.last_mut() {
                Some(last) if last.owner == range.owner && !moving && !self.is_moving(last) => {
                    last.to = range.to;
                }
                _ => merged.push(range),
            }
        }
        self.ranges = merged;
    }

    /// Assigns ranges to the owners with fewest keys, none of which gets more than `max`, unless no further split is
    /// possible.
    fn assign_to_lightest(&mut self, ranges: &[ShardRange], max: u64) {
        let mut left: BinaryHeap<(u64, Reverse<Key>)> = ranges
            .iter()
            .map(|range| (range.keys(), Reverse(range.from)))
            .collect();
        while let Some((keys, Reverse(from))) = left.pop() {
            let lightest = self
                .owned
                .iter_mut()
                .min_by_key(|(name, owned)| (**owned, **name));
            let Some((name, owned)) = lightest else {
                return;
            };
            let capacity = max.saturating_sub(*owned);
            let cuts = self
                .ranges
                .len()
                .saturating_add(left.len())
                .saturating_add(1)
                < self.limits.ranges;
            let assigned = if cuts && capacity > 0 {
                keys.min(capacity)
            } else {
                keys
            };
            *owned += assigned;
            self.ranges
                .push(ShardRange::new(from, from + assigned, *name));
            if assigned < keys {
                left.push((keys - assigned, Reverse(from + assigned)));
            }
        }
    }

    /// The new owner that lacks most keys, and how many, if it lacks more than the slack.
    fn neediest(&self, newcomers: &BTreeSet<&'a str>) -> Option<(&'a str, u64)> {
        let owned = newcomers
            .iter()
            .filter_map(|name| self.owned.get(name).map(|owned| (*owned, *name)));
        let (owned, name) = owned.min()?;
        let missing = self.even().saturating_sub(owned);
        (missing > self.slack()).then_some((name, missing))
    }

    /// Ranges that other owners may give, by index, with the number of keys of their owners.
    fn donors<'b>(
        &'b self,
        newcomers: &'b BTreeSet<&str>,
    ) -> impl Iterator<Item = (usize, &'b ShardRange, u64)> {
        self.ranges.iter().enumerate().filter_map(|(index, range)| {
            let owned = self.owned.get(range.owner.as_str())?;
            let unmovable = newcomers.contains(range.owner.as_str()) || self.is_moving(range);
            (!unmovable).then_some((index, range, *owned))
        })
    }

    /// A whole range for a new owner, of at most `max` keys: its index, its keys, and the new owner.
    fn range_for(&self, newcomers: &BTreeSet<&'a str>, max: u64) -> Option<(usize, u64, &'a str)> {
        let (to, missing) = self.neediest(newcomers)?;
        let min_kept = self.even() - self.slack();
        let fits = |keys: u64, owned: u64| keys <= missing.min(max) && owned - keys >= min_kept;
        let ranges = self
            .donors(newcomers)
            .filter(|(_, range, owned)| fits(range.keys(), *owned));
        let (index, range, _) =
            ranges.max_by_key(|(_, range, owned)| (*owned, range.keys(), Reverse(range.from)))?;
        Some((index, range.keys(), to))
    }

    /// The end of a range, split off for a new owner, see [`MapDraft::range_for`].
    fn partial_range_for(
        &self,
        newcomers: &BTreeSet<&'a str>,
        max: u64,
    ) -> Option<(usize, u64, &'a str)> {
        let (to, missing) = self.neediest(newcomers)?;
        if self.ranges.len() >= self.limits.ranges {
            return None;
        }
        let ranges = self.donors(newcomers);
        let (index, range, owned) =
            ranges.max_by_key(|(_, range, owned)| (*owned, range.keys(), Reverse(range.from)))?;
        // The even share may be a fraction: owners with more than the share rounded up give before owners with exactly
        // that.
        let more = self.limits.keys.div_ceil((self.owned.len() as u64).max(1)) - self.slack();
        let spare = owned.saturating_sub(if owned > more {
            more
        } else {
            self.even() - self.slack()
        });
        let keys = spare.min(missing).min(max).min(range.keys());
        (keys > 0).then_some((index, keys, to))
    }

    /// Leaves a range so many keys at its end, and makes another range of the rest.
    fn split_off(&mut self, index: usize, keys: u64) {
        let Some(range) = self.ranges.get_mut(index) else {
            return;
        };
        if keys < range.keys() {
            let cut = range.to - keys;
            let rest = ShardRange::new(range.from, cut, range.owner.clone());
            range.from = cut;
            self.ranges.push(rest);
        }
    }

    /// Assigns a range to another owner.
    fn change_owner(&mut self, index: usize, to: &'a str) {
        let Some(range) = self.ranges.get_mut(index) else {
            return;
        };
        if let Some(owned) = self.owned.get_mut(range.owner.as_str()) {
            *owned = owned.saturating_sub(range.keys());
        }
        *self.owned.entry(to).or_default() += range.keys();
        range.owner = to.to_string();
    }

    /// Sorts the ranges, and returns the map if it is valid.
    fn finish(mut self) -> Result<ShardMap, PlanError> {
        self.ranges.sort_by_key(|range| range.from);
        if self.ranges.len() > self.limits.ranges {
            self.merge_neighbours();
        }
        let MapDraft {
            in_force,
            cluster,
            limits,
            ranges,
            ..
        } = self;
        let map = ShardMap {
            version: in_force
                .version
                .checked_add(1)
                .ok_or(PlanError::LastVersion)?,
            parent: in_force.hash(),
            epoch: in_force.epoch.max(cluster.epoch),
            ranges,
        };
        let findings = validate(Some(in_force), &map, cluster, limits);
        match findings.is_empty() {
            true => Ok(map),
            false => Err(PlanError::Refused(findings)),
        }
    }
}
