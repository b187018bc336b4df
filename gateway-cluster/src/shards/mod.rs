//! Which door keeps which customers: the map, the check that every door makes of a new one for itself, and
//! the owner's plans for the next, which are pure functions; how a map is decided ([`decide`]) and who keeps what at an
//! instant ([`keep`]), which are rules without datagrams; and one door's part in all of it ([`keeping`]).
//!
//! Keys are customers' numbers, `0..KEYS`. Sizes and limits are in keys, parts in thousandths.

mod cover;
pub mod decide;
mod finding;
pub mod keep;
pub mod keeping;
mod map;
pub mod plan;
mod validate;
pub mod wire;

pub use finding::{Finding, Rule, MOST_OF_A_RULE};
pub use map::{Hash, Key, Map, NoHash, Range, KEYS};
pub use validate::validate;

use std::collections::BTreeMap;

/// What a map may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The end of the key space: [`KEYS`], but for tests.
    pub keys: Key,
    /// Most ranges: what memory and datagrams are sized for.
    pub ranges: usize,
    /// Most keys that change their keeper at once, in thousandths of all. Keys whose keeper is gone do not
    /// count.
    pub moved_permille: u32,
    /// Most keys of one keeper, in thousandths of the even part, which is that of all keys by the doors that
    /// live.
    pub share_permille: u32,
}

impl Default for Limits {
    /// The whole space in at most 1,024 ranges, half of it moved at once, twice the even part for one
    /// keeper.
    fn default() -> Limits {
        Limits {
            keys: KEYS,
            ranges: 1024,
            moved_permille: 500,
            share_permille: 2000,
        }
    }
}

impl Limits {
    /// How many keys may change their keeper at once.
    pub fn most_moved(&self) -> u64 {
        permille(self.keys, self.moved_permille)
    }

    /// How many keys one keeper may have while so many doors live.
    pub fn most_kept(&self, living: usize) -> u64 {
        permille(
            self.keys.div_ceil((living as u64).max(1)),
            self.share_permille,
        )
    }
}

/// So many thousandths of a number, as far as numbers go.
fn permille(of: u64, parts: u32) -> u64 {
    u64::try_from(u128::from(of) * u128::from(parts) / 1000).unwrap_or(u64::MAX)
}

/// What a door knows of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Door {
    /// It may keep keys.
    Alive,
    /// It does not answer.
    Dead,
    /// It has said that it goes.
    Leaving,
}

/// What a door knows of the fleet as it looks at a map.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FleetState {
    /// All names of the roster.
    pub doors: BTreeMap<String, Door>,
    /// The highest epoch that was heard of.
    pub epoch: u64,
    /// Keys, from and up to, whose last move is not over: who had them may still act for them.
    pub moving: Vec<(Key, Key)>,
}

impl FleetState {
    /// Whether a door may keep keys.
    pub fn is_alive(&self, name: &str) -> bool {
        self.doors.get(name) == Some(&Door::Alive)
    }

    /// The doors that may keep keys, by name.
    pub fn living(&self) -> impl Iterator<Item = &str> {
        self.doors
            .iter()
            .filter(|(_, door)| **door == Door::Alive)
            .map(|(name, _)| name.as_str())
    }
}
