//! The next map, with least movement.
//!
//! * [`without`]: the keys of owners that are gone move, each once, and no others. That is the least, as all
//!   of them have to.
//! * [`joined`]: newcomers get no more than they lack to their even part, and each key that moves goes to one
//!   of them, once. No map gives them the even part with fewer keys.
//! * [`rebalance`]: a range moves only where that is worth it, by the rule that is stated there.
//!
//! Ranges stay cut as they are, since loads are told by range; they are cut further only where whole ones
//! come out too uneven ([`SLACK_PARTS`]), and as far as [`Limits::ranges`] has room, for which neighbours
//! with one owner are joined.
//!
//! Each plan is put before [`validate`](super::validate()) before it is given out. All take the map in force,
//! and give the one that follows it with the highest epoch known ([`ClusterState::epoch`]), which is the
//! leader's own as it plans.

use super::cover::{self, Span};
use super::finding::Finding;
use super::map::{Key, ShardMap, ShardRange};
use super::{validate, ClusterState, Limits};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use thiserror::Error;

/// Whole ranges are given out, and cuts spared, as long as that leaves owners off by no more than the even
/// part by this.
pub const SLACK_PARTS: u64 = 8;

/// Load is evened where an owner has more than this, in thousandths of the mean, and until none has more than
/// [`STOP`].
pub const START: u64 = 1250;
/// Load is even enough. Loads that change by less than 6% after that do not reach [`START`], so nothing goes
/// back and forth.
pub const STOP: u64 = 1100;
/// A move takes at least this much off the heavier of two owners, in thousandths of the mean load.
pub const GAIN: u64 = 50;
/// And at least this much for each even part of keys that it moves: a range with a tenth of the even part has
/// to gain 25 thousandths of the mean, one with half of it 125.
pub const PRICE: u64 = 250;

/// Why there is no plan.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlanError {
    /// There is nobody to plan for.
    #[error("no door lives that could keep keys: start one that the roster names")]
    NobodyLives,
    /// The map in force is not one to go on from.
    #[error(
        "the map in force does not cover each key once: propose a whole map, or restart all doors for a \
         first one"
    )]
    NotWhole,
    /// Versions are used up.
    #[error(
        "no version comes after the one in force: restart all doors, so that a history starts anew"
    )]
    LastVersion,
    /// There is not one load for each range.
    #[error("{loads} loads were told for {ranges} ranges: ask the doors again for the map that is in force")]
    Loads {
        /// Loads told.
        loads: usize,
        /// Ranges of the map.
        ranges: usize,
    },
    /// What would come out may not come into force.
    #[error("the next map would be refused, first because {}: mend that, or propose a map by hand",
            .0.first().map_or_else(String::new, Finding::to_string))]
    Refused(Vec<Finding>),
}

/// Gives the keys of all owners that are gone (dead, leaving, not in the peer set) to the gateways that live, and
/// moves nothing else. None if nobody is gone.
///
/// The lightest get them: none is lifted above the level to which these keys would fill up the lightest, like
/// water, by more than an even part by [`SLACK_PARTS`]; in a space without room for that, it is exactly that
/// level. Weight is in keys, so that the limit of a share holds; load is evened later, by [`rebalance`].
///
/// While a move of such keys is not over, it is refused ([`Rule::Moving`](super::Rule::Moving)): ask again
/// after that.
///
/// # Errors
/// Where nobody lives, the map in force is not whole or the last one, or the plan would be refused.
pub fn without(
    in_force: &ShardMap,
    cluster: &ClusterState,
    limits: &Limits,
) -> Result<Option<ShardMap>, PlanError> {
    let mut draft = Draft::new(in_force, cluster, limits)?;
    draft.make_room();
    let (gone, stays) = draft
        .ranges
        .drain(..)
        .partition(|range| !cluster.is_alive(&range.owner));
    draft.ranges = stays;
    if gone.is_empty() {
        return Ok(None);
    }
    let keys = gone.iter().map(ShardRange::keys).sum();
    let most = level(draft.kept.values().copied(), keys).saturating_add(draft.slack());
    draft.hand_out(gone, most);
    draft.finish().map(Some)
}

/// Moves keys to newcomers until each has its even part, which is that of all keys by the gateways that live. At
/// most [`Limits::max_moved`] at once: asked again with what came into force, it goes on, and gives none
/// when it has come to its end. Names that do not live are no newcomers.
///
/// In the end each has the even part, rounded down, or lacks at most an even part by [`SLACK_PARTS`], and
/// whoever gave keeps as much. Where there is no room for cuts, whole ranges go as far as that
/// holds. What is moving stays until it has.
///
/// # Errors
/// Where nobody lives, the map in force is not whole or the last one, or the plan would be refused: so if a
/// owner is gone ([`without`] comes first).
pub fn joined<'a>(
    in_force: &'a ShardMap,
    newcomers: impl IntoIterator<Item = &'a str>,
    cluster: &'a ClusterState,
    limits: &'a Limits,
) -> Result<Option<ShardMap>, PlanError> {
    let mut draft = Draft::new(in_force, cluster, limits)?;
    let newcomers: BTreeSet<&str> = newcomers
        .into_iter()
        .filter(|name| cluster.is_alive(name))
        .collect();
    draft.make_room();
    let mut left = limits.max_moved();
    let mut moved = false;
    // The lightest newcomer takes from the heaviest of the others, whole ranges first.
    while let Some((number, keys, to)) = draft
        .whole_for(&newcomers, left)
        .or_else(|| draft.part_for(&newcomers, left))
    {
        draft.split_off(number, keys);
        draft.change_owner(number, to);
        left = left.saturating_sub(keys);
        moved = true;
    }
    if !moved {
        return Ok(None);
    }
    draft.finish().map(Some)
}

/// Evens load, which is told for each range of the map in force, in any unit. None if nothing is worth a move.
///
/// It begins only where the heaviest owner has more than [`START`] of the mean, and goes on until it has no
/// more than [`STOP`]. A move takes a whole range from the heaviest to the lightest that may have it, the one
/// that leaves the heavier of the two lightest, then the one with fewest keys. It has to gain [`GAIN`] and
/// its [`PRICE`], both measured by what the heavier of the two loses. What is moving stays, nothing moves
/// twice in one plan, and no more than [`Limits::max_moved`] in all.
///
/// The sum of the squares of loads falls with each move, so with loads that stay nothing comes back. A single
/// range with too much load stays where it is: cut it by a map of operators.
///
/// # Errors
/// Where nobody lives, the map in force is not whole or the last one, loads are not one for each range, or
/// the plan would be refused: so if an owner is gone ([`without`] comes first).
pub fn rebalance(
    in_force: &ShardMap,
    loads: &[u64],
    cluster: &ClusterState,
    limits: &Limits,
) -> Result<Option<ShardMap>, PlanError> {
    let mut draft = Draft::new(in_force, cluster, limits)?;
    if loads.len() != in_force.ranges.len() {
        return Err(PlanError::Loads {
            loads: loads.len(),
            ranges: in_force.ranges.len(),
        });
    }
    let mut carried: BTreeMap<&str, u128> = cluster.living().map(|name| (name, 0)).collect();
    for (range, load) in in_force.ranges.iter().zip(loads) {
        // Whoever is gone has to go first, and `finish` says so.
        *carried.entry(&range.owner).or_default() += u128::from(*load);
    }
    let gateways = carried.len() as u128;
    let all: u128 = carried.values().sum();
    // Loads come from other gateways and may be any number: beyond all measure they are as good as equal.
    let parts = |load: u128, parts: u64| {
        load.saturating_mul(gateways * 1000) >= all.saturating_mul(u128::from(parts))
    };
    let even = u128::from(draft.even());
    let pays = |gain: u128, keys: u64| {
        let price = all
            .saturating_mul(u128::from(PRICE))
            .saturating_mul(u128::from(keys));
        gain.saturating_mul(gateways * 1000).saturating_mul(even) >= price
    };
    if !carried.values().any(|load| parts(*load, START + 1)) {
        return Ok(None);
    }
    let mut left = limits.max_moved();
    let max_owned = limits.max_owned(cluster.living().count());
    let mut stays: Vec<bool> = in_force
        .ranges
        .iter()
        .map(|range| draft.is_moving(range))
        .collect();
    let mut moved = false;
    loop {
        let heaviest = carried
            .iter()
            .max_by_key(|(name, load)| (**load, Reverse(**name)));
        let Some((from, heavy)) = heaviest.map(|(name, load)| (*name, *load)) else {
            break;
        };
        if !parts(heavy, STOP + 1) {
            break;
        }
        let mut by_load: Vec<(u128, &str)> =
            carried.iter().map(|(name, load)| (*load, *name)).collect();
        by_load.sort_unstable();
        let mut best: Option<(u128, u64, usize, &str, u128)> = None;
        for (number, ((range, load), stay)) in
            draft.ranges.iter().zip(loads).zip(&stays).enumerate()
        {
            let (load, keys) = (u128::from(*load), range.keys());
            if *stay || range.owner != from || keys > left {
                continue;
            }
            let has_room = |name: &str| {
                name != from
                    && draft
                        .kept
                        .get(name)
                        .is_some_and(|kept| keys <= max_owned.saturating_sub(*kept))
            };
            let Some((light, to)) = by_load.iter().find(|(_, name)| has_room(name)) else {
                continue;
            };
            let heavier = (heavy - load).max(light + load);
            let gain = heavy.saturating_sub(heavier);
            if gain > 0 && parts(gain, GAIN) && pays(gain, keys) {
                let candidate = (heavier, keys, number, *to, load);
                best = Some(best.map_or(candidate, |best| best.min(candidate)));
            }
        }
        let Some((_, keys, number, to, load)) = best else {
            break;
        };
        draft.change_owner(number, to);
        if let Some(stay) = stays.get_mut(number) {
            *stay = true;
        }
        *carried.entry(from).or_default() -= load;
        *carried.entry(to).or_default() += load;
        left = left.saturating_sub(keys);
        moved = true;
    }
    if !moved {
        return Ok(None);
    }
    draft.finish().map(Some)
}

/// The height, rounded up, to which so many keys fill up the lowest of these.
fn level(kept: impl Iterator<Item = u64>, keys: u64) -> u64 {
    let mut kept: Vec<u64> = kept.collect();
    kept.sort_unstable();
    let mut below = u128::from(keys);
    let mut level = u128::from(keys);
    for (number, height) in kept.iter().enumerate() {
        if number > 0 && u128::from(*height) >= level {
            break;
        }
        below += u128::from(*height);
        level = below.div_ceil(number as u128 + 1);
    }
    u64::try_from(level).unwrap_or(u64::MAX)
}

/// A map in the making.
struct Draft<'a> {
    in_force: &'a ShardMap,
    cluster: &'a ClusterState,
    limits: &'a Limits,
    moving: Vec<Span>,
    /// Not in order.
    ranges: Vec<ShardRange>,
    /// Keys of each gateway that lives.
    kept: BTreeMap<&'a str, u64>,
}

impl<'a> Draft<'a> {
    fn new(
        in_force: &'a ShardMap,
        cluster: &'a ClusterState,
        limits: &'a Limits,
    ) -> Result<Draft<'a>, PlanError> {
        let mut kept: BTreeMap<&str, u64> = cluster.living().map(|name| (name, 0)).collect();
        if kept.is_empty() {
            return Err(PlanError::NobodyLives);
        }
        let mut end = 0;
        for range in &in_force.ranges {
            if range.from != end || range.keys() == 0 {
                return Err(PlanError::NotWhole);
            }
            end = range.to;
            if let Some(kept) = kept.get_mut(range.owner.as_str()) {
                *kept += range.keys();
            }
        }
        if end != limits.keys {
            return Err(PlanError::NotWhole);
        }
        let moving = cover::joined(&cluster.moving);
        Ok(Draft {
            in_force,
            cluster,
            limits,
            moving,
            ranges: in_force.ranges.clone(),
            kept,
        })
    }

    /// The even part, rounded down.
    fn even(&self) -> u64 {
        self.limits.keys / (self.kept.len() as u64).max(1)
    }

    fn slack(&self) -> u64 {
        self.even() / SLACK_PARTS
    }

    fn is_moving(&self, range: &ShardRange) -> bool {
        let first = self.moving.partition_point(|span| span.1 <= range.from);
        self.moving.get(first).is_some_and(|span| span.0 < range.to)
    }

    /// Joins neighbours that have one owner, if ranges are so many that each gateway could not be cut one.
    /// Ranges have to be in order.
    fn make_room(&mut self) {
        if self.ranges.len().saturating_add(self.kept.len()) > self.limits.ranges {
            self.join();
        }
    }

    fn join(&mut self) {
        let mut joined: Vec<ShardRange> = Vec::with_capacity(self.ranges.len());
        for range in std::mem::take(&mut self.ranges) {
            // What is moving stays as it is, so that the rest may go.
            let moving = self.is_moving(&range);
            match joined.last_mut() {
                Some(last) if last.owner == range.owner && !moving && !self.is_moving(last) => {
                    last.to = range.to
                }
                _ => joined.push(range),
            }
        }
        self.ranges = joined;
    }

    /// Gives ranges to the lightest, none of which gets more than this, unless there is no room for another
    /// cut.
    fn hand_out(&mut self, ranges: Vec<ShardRange>, most: u64) {
        let mut left: BinaryHeap<(u64, Reverse<Key>)> = ranges
            .iter()
            .map(|range| (range.keys(), Reverse(range.from)))
            .collect();
        while let Some((keys, Reverse(from))) = left.pop() {
            let lightest = self
                .kept
                .iter_mut()
                .min_by_key(|(name, kept)| (**kept, **name));
            let Some((name, kept)) = lightest else { return };
            let room = most.saturating_sub(*kept);
            let cuts = self
                .ranges
                .len()
                .saturating_add(left.len())
                .saturating_add(1)
                < self.limits.ranges;
            let given = if cuts && room > 0 {
                keys.min(room)
            } else {
                keys
            };
            *kept += given;
            self.ranges.push(ShardRange::new(from, from + given, *name));
            if given < keys {
                left.push((keys - given, Reverse(from + given)));
            }
        }
    }

    /// The newcomer that lacks most, and how much, if it lacks more than is let be.
    fn neediest(&self, newcomers: &BTreeSet<&'a str>) -> Option<(&'a str, u64)> {
        let kept = newcomers
            .iter()
            .filter_map(|name| self.kept.get(name).map(|kept| (*kept, *name)));
        let (kept, name) = kept.min()?;
        let lacks = self.even().saturating_sub(kept);
        (lacks > self.slack()).then_some((name, lacks))
    }

    /// Ranges that others may give, by place, with what their owners have.
    fn offered<'b>(
        &'b self,
        newcomers: &'b BTreeSet<&str>,
    ) -> impl Iterator<Item = (usize, &'b ShardRange, u64)> {
        self.ranges
            .iter()
            .enumerate()
            .filter_map(|(number, range)| {
                let kept = self.kept.get(range.owner.as_str())?;
                let stays = newcomers.contains(range.owner.as_str()) || self.is_moving(range);
                (!stays).then_some((number, range, *kept))
            })
    }

    /// A whole range for a newcomer, of at most so many keys: its place, its keys, and whose it shall be.
    fn whole_for(&self, newcomers: &BTreeSet<&'a str>, most: u64) -> Option<(usize, u64, &'a str)> {
        let (to, lacks) = self.neediest(newcomers)?;
        let least = self.even() - self.slack();
        let fits = |keys: u64, kept: u64| keys <= lacks.min(most) && kept - keys >= least;
        let ranges = self
            .offered(newcomers)
            .filter(|(_, range, kept)| fits(range.keys(), *kept));
        let (number, range, _) =
            ranges.max_by_key(|(_, range, kept)| (*kept, range.keys(), Reverse(range.from)))?;
        Some((number, range.keys(), to))
    }

    /// A part of a range, cut off at its end, as [`Draft::whole_for`].
    fn part_for(&self, newcomers: &BTreeSet<&'a str>, most: u64) -> Option<(usize, u64, &'a str)> {
        let (to, lacks) = self.neediest(newcomers)?;
        if self.ranges.len() >= self.limits.ranges {
            return None;
        }
        let ranges = self.offered(newcomers);
        let (number, range, kept) =
            ranges.max_by_key(|(_, range, kept)| (*kept, range.keys(), Reverse(range.from)))?;
        // The even part may be a fraction: who has more than that rounded up gives before who has just that.
        let more = self.limits.keys.div_ceil((self.kept.len() as u64).max(1)) - self.slack();
        let spare = kept.saturating_sub(if kept > more {
            more
        } else {
            self.even() - self.slack()
        });
        let keys = spare.min(lacks).min(most).min(range.keys());
        (keys > 0).then_some((number, keys, to))
    }

    /// Leaves a range so many keys, at its end, and makes another one of the rest.
    fn split_off(&mut self, number: usize, keys: u64) {
        let Some(range) = self.ranges.get_mut(number) else {
            return;
        };
        if keys < range.keys() {
            let cut = range.to - keys;
            let rest = ShardRange::new(range.from, cut, range.owner.clone());
            range.from = cut;
            self.ranges.push(rest);
        }
    }

    fn change_owner(&mut self, number: usize, to: &'a str) {
        let Some(range) = self.ranges.get_mut(number) else {
            return;
        };
        if let Some(kept) = self.kept.get_mut(range.owner.as_str()) {
            *kept = kept.saturating_sub(range.keys());
        }
        *self.kept.entry(to).or_default() += range.keys();
        range.owner = to.to_string();
    }

    fn finish(mut self) -> Result<ShardMap, PlanError> {
        self.ranges.sort_by_key(|range| range.from);
        if self.ranges.len() > self.limits.ranges {
            self.join();
        }
        let Draft {
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
