//! Balancing of load: ranges move from the heaviest owner to lighter ones, where the gain is worth the move.

use super::{MapDraft, PlanError};
use crate::shards::map::ShardMap;
use crate::shards::{ClusterState, Limits};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Load is balanced if an owner has more than this, in thousandths of the mean, until none has more than
/// [`REBALANCE_STOP`].
pub const REBALANCE_START: u64 = 1250;
/// Load is balanced enough, in thousandths of the mean. Later changes below 6% do not reach [`REBALANCE_START`], so
/// that ranges do not move back and forth.
pub const REBALANCE_STOP: u64 = 1100;
/// Minimum reduction of the heavier of the two owners by one move, in thousandths of the mean load.
pub const MIN_GAIN: u64 = 50;
/// Minimum reduction for each even share of keys that a move takes, in thousandths of the mean load: a range with a
/// tenth of the even share has to gain 25, one with half of it 125.
pub const MIN_GAIN_PER_SHARE: u64 = 250;

/// Balances load, given for each range of the map in force, in any unit. `None` if no move is worth it.
///
/// It starts if the heaviest owner has more than [`REBALANCE_START`] of the mean, and goes on until none has more than
/// [`REBALANCE_STOP`]. A move takes a whole range from the heaviest owner to the lightest that may have it: the range
/// that leaves the heavier of the two lightest, then the one with fewest keys. It has to gain [`MIN_GAIN`] and
/// [`MIN_GAIN_PER_SHARE`], both measured by the reduction of the heavier owner. Keys whose last move is not complete do
/// not move, nothing moves twice in one plan, and at most [`Limits::max_moved`] keys move in all.
///
/// The sum of the squares of the loads decreases with each move, so with constant loads nothing moves back. A single
/// range with too much load stays where it is: operators may split it by a map of theirs.
///
/// # Errors
/// If no gateway is alive, if the map in force is incomplete or has the last version, if there is not one load for each
/// range, or if the planned map is not valid, for example because an owner is gone ([`replace_lost_owners`](super::replace_lost_owners) comes
/// first).
pub fn rebalance(
    in_force: &ShardMap,
    loads: &[u64],
    cluster: &ClusterState,
    limits: &Limits,
) -> Result<Option<ShardMap>, PlanError> {
    let draft = MapDraft::new(in_force, cluster, limits)?;
    if loads.len() != in_force.ranges.len() {
        return Err(PlanError::Loads {
            loads: loads.len(),
            ranges: in_force.ranges.len(),
        });
    }
    let mut balancer = LoadBalancer::new(draft, loads);
    if !balancer.needs_balancing() {
        return Ok(None);
    }
    let mut moved = false;
    while let Some(best) = balancer.best_move() {
        balancer.apply(&best);
        moved = true;
    }
    if !moved {
        return Ok(None);
    }
    balancer.draft.finish().map(Some)
}

/// A move of one range. Candidates are ordered by these fields: the best one is the lowest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RangeMove<'a> {
    /// Load of the heavier of the two owners after the move.
    heavier_after: u128,
    /// Number of keys of the range.
    keys: u64,
    /// Index of the range in the map in force.
    index: usize,
    /// The new owner.
    to: &'a str,
    /// Load of the range.
    load: u128,
    /// The owner in force.
    from: &'a str,
}

struct LoadBalancer<'a> {
    draft: MapDraft<'a>,
    /// Load of each range of the map in force.
    loads: &'a [u64],
    /// Load of each owner.
    load_of: BTreeMap<&'a str, u128>,
    total_load: u128,
    /// Ranges that may not move any more, by index.
    unmovable: Vec<bool>,
    /// Number of keys that may still move in this plan.
    movable_keys: u64,
    max_owned: u64,
}

impl<'a> LoadBalancer<'a> {
    fn new(draft: MapDraft<'a>, loads: &'a [u64]) -> LoadBalancer<'a> {
        let (in_force, cluster, limits) = (draft.in_force, draft.cluster, draft.limits);
        let mut load_of: BTreeMap<&str, u128> = cluster.living().map(|name| (name, 0)).collect();
        for (range, load) in in_force.ranges.iter().zip(loads) {
            // Owners that are gone have to be replaced first; `finish` reports it.
            *load_of.entry(&range.owner).or_default() += u128::from(*load);
        }
        LoadBalancer {
            loads,
            total_load: load_of.values().sum(),
            load_of,
            unmovable: in_force
                .ranges
                .iter()
                .map(|range| draft.is_moving(range))
                .collect(),
            movable_keys: limits.max_moved(),
            max_owned: limits.max_owned(cluster.living().count()),
            draft,
        }
    }

    fn owner_count(&self) -> u128 {
        self.load_of.len() as u128
    }

    /// Whether a load is at least so many thousandths of the mean. Loads come from other gateways and may be any
    /// number; the arithmetic saturates.
    fn is_at_least(&self, load: u128, permille: u64) -> bool {
        load.saturating_mul(self.owner_count() * 1000)
            >= self.total_load.saturating_mul(u128::from(permille))
    }

    /// Whether a gain pays for the move of so many keys, see [`MIN_GAIN_PER_SHARE`].
    fn pays(&self, gain: u128, keys: u64) -> bool {
        let price = self
            .total_load
            .saturating_mul(u128::from(MIN_GAIN_PER_SHARE))
            .saturating_mul(u128::from(keys));
        gain.saturating_mul(self.owner_count() * 1000)
            .saturating_mul(u128::from(self.draft.even()))
            >= price
    }

    fn needs_balancing(&self) -> bool {
        self.load_of
            .values()
            .any(|load| self.is_at_least(*load, REBALANCE_START + 1))
    }

    /// The best move from the heaviest owner; `None` if the load is balanced or no move is worth it.
    fn best_move(&self) -> Option<RangeMove<'a>> {
        let (from, heavy) = self
            .load_of
            .iter()
            .max_by_key(|(name, load)| (**load, Reverse(**name)))
            .map(|(name, load)| (*name, *load))?;
        if !self.is_at_least(heavy, REBALANCE_STOP + 1) {
            return None;
        }
        let mut by_load: Vec<(u128, &str)> = self
            .load_of
            .iter()
            .map(|(name, load)| (*load, *name))
            .collect();
        by_load.sort_unstable();
        let mut best: Option<RangeMove> = None;
        for (index, (range, load)) in self.draft.ranges.iter().zip(self.loads).enumerate() {
            let (load, keys) = (u128::from(*load), range.keys());
            let is_unmovable = self.unmovable.get(index).copied().unwrap_or(true);
            if is_unmovable || range.owner != from || keys > self.movable_keys {
                continue;
            }
            let lightest = by_load
                .iter()
                .find(|(_, name)| *name != from && self.can_take(name, keys));
            let Some((light, to)) = lightest else {
                continue;
            };
            let heavier_after = (heavy - load).max(light + load);
            let gain = heavy.saturating_sub(heavier_after);
            if gain > 0 && self.is_at_least(gain, MIN_GAIN) && self.pays(gain, keys) {
                let candidate = RangeMove {
                    heavier_after,
                    keys,
                    index,
                    to,
                    load,
                    from,
                };
                best = Some(best.map_or(candidate, |best| best.min(candidate)));
            }
        }
        best
    }

    /// Whether an owner that is alive may get so many more keys.
    fn can_take(&self, name: &str, keys: u64) -> bool {
        self.draft
            .owned
            .get(name)
            .is_some_and(|owned| keys <= self.max_owned.saturating_sub(*owned))
    }

    fn apply(&mut self, best: &RangeMove<'a>) {
        self.draft.change_owner(best.index, best.to);
        if let Some(is_unmovable) = self.unmovable.get_mut(best.index) {
            *is_unmovable = true;
        }
        *self.load_of.entry(best.from).or_default() -= best.load;
        *self.load_of.entry(best.to).or_default() += best.load;
        self.movable_keys = self.movable_keys.saturating_sub(best.keys);
    }
}
