//! Shard map: which gateway owns which customers.
//!
//! * [`ShardMap`], [`validate()`] and [`plan`] are pure: the map, the check that every gateway makes of a new map, and
//!   the leader's plans for the next one.
//! * [`consensus`] decides one map per version, and [`leases`] holds the rules by which a gateway may act as an owner.
//!   Neither sends datagrams, so that models can check them.
//! * [`node`] is the state machine of one gateway that applies them, and [`wire`] its datagrams.
//!
//! Keys are customer numbers, `0..KEYS`. Sizes and limits are in keys, proportions in thousandths. Uses the leadership
//! of this crate; used by the cluster node, by the session classifier and by the settings of the gateway.

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

/// Limits that a valid map keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// End of the key space: [`KEYS`], except in tests.
    pub keys: Key,
    /// Maximum number of ranges; memory and datagrams are sized for it.
    pub ranges: usize,
    /// Maximum number of keys that change their owner in one map, in thousandths of all keys. Keys of an owner that is
    /// gone do not count.
    pub moved_permille: u32,
    /// Maximum number of keys of one owner, in thousandths of the even share, which is all keys divided by the number
    /// of gateways alive.
    pub share_permille: u32,
}

impl Default for Limits {
    /// The whole key space in at most 1,024 ranges, at most half of it moved at once, and at most twice the even share
    /// for one owner.
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
    /// Maximum number of keys that may change their owner in one map.
    pub fn max_moved(&self) -> u64 {
        permille(self.keys, self.moved_permille)
    }

    /// Maximum number of keys of one owner while so many gateways are alive.
    pub fn max_owned(&self, living: usize) -> u64 {
        permille(
            self.keys.div_ceil((living as u64).max(1)),
            self.share_permille,
        )
    }
}

/// A number of thousandths of a value, saturating.
fn permille(of: u64, parts: u32) -> u64 {
    u64::try_from(u128::from(of) * u128::from(parts) / 1000).unwrap_or(u64::MAX)
}

/// Condition of a peer, as the membership of this gateway sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerCondition {
    /// The peer may own keys.
    Alive,
    /// The peer failed its health checks.
    Dead,
    /// The peer has announced a graceful shutdown.
    Leaving,
}

/// What a gateway knows of the cluster when it checks or plans a map.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ClusterState {
    /// All peers of the peer set, by name.
    pub gateways: BTreeMap<String, PeerCondition>,
    /// The highest epoch that this gateway has seen.
    pub epoch: u64,
    /// Key ranges `[from, to)` whose last move is not complete: the previous owner may still have a lease for them.
    pub moving: Vec<(Key, Key)>,
}

impl ClusterState {
    /// Whether a gateway may own keys.
    pub fn is_alive(&self, name: &str) -> bool {
        self.gateways.get(name) == Some(&PeerCondition::Alive)
    }

    /// The gateways that may own keys, sorted by name.
    pub fn living(&self) -> impl Iterator<Item = &str> {
        self.gateways
            .iter()
            .filter(|(_, gateway)| **gateway == PeerCondition::Alive)
            .map(|(name, _)| name.as_str())
    }
}
