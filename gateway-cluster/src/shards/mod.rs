//! Which gateway keeps which customers: the map, the check that every gateway makes of a new one for itself, and
//! the leader's plans for the next, which are pure functions; how a map is decided ([`decide`]) and who keeps what at an
//! instant ([`keep`]), which are rules without datagrams; and one gateway's part in all of it ([`shard_map`]).
//!
//! Keys are customers' numbers, `0..KEYS`. Sizes and limits are in keys, parts in thousandths.

pub mod consensus;
mod cover;
mod finding;
pub mod leases;
mod map;
pub mod node;
pub mod plan;
mod validate;
pub mod wire;

pub use finding::{Finding, Rule, MAX_FINDINGS_PER_RULE};
pub use map::{InvalidMapHash, Key, MapHash, ShardMap, ShardRange, KEYS};
pub use validate::validate;

use std::collections::BTreeMap;

/// What a map may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The end of the key space: [`KEYS`], but for tests.
    pub keys: Key,
    /// Most ranges: what memory and datagrams are sized for.
    pub ranges: usize,
    /// Most keys that change their owner at once, in thousandths of all. Keys whose owner is gone do not
    /// count.
    pub moved_permille: u32,
    /// Most keys of one owner, in thousandths of the even part, which is that of all keys by the gateways that
    /// live.
    pub share_permille: u32,
}

impl Default for Limits {
    /// The whole space in at most 1,024 ranges, half of it moved at once, twice the even part for one
    /// owner.
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
    /// How many keys may change their owner at once.
    pub fn max_moved(&self) -> u64 {
        permille(self.keys, self.moved_permille)
    }

    /// How many keys one owner may have while so many gateways live.
    pub fn max_owned(&self, living: usize) -> u64 {
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

/// What a gateway knows of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerCondition {
    /// It may keep keys.
    Alive,
    /// It does not answer.
    Dead,
    /// It has said that it goes.
    Leaving,
}

/// What a gateway knows of the cluster as it looks at a map.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ClusterState {
    /// All names of the peer set.
    pub gateways: BTreeMap<String, PeerCondition>,
    /// The highest epoch that was heard of.
    pub epoch: u64,
    /// Keys, from and up to, whose last move is not over: who had them may still act for them.
    pub moving: Vec<(Key, Key)>,
}

impl ClusterState {
    /// Whether a gateway may keep keys.
    pub fn is_alive(&self, name: &str) -> bool {
        self.gateways.get(name) == Some(&PeerCondition::Alive)
    }

    /// The gateways that may keep keys, by name.
    pub fn living(&self) -> impl Iterator<Item = &str> {
        self.gateways
            .iter()
            .filter(|(_, gateway)| **gateway == PeerCondition::Alive)
            .map(|(name, _)| name.as_str())
    }
}
