//! The map itself: who keeps which keys, by which decision.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use twox_hash::XxHash3_64;

/// A customer's number, as the cookie has it (PROTOCOL).
pub type Key = u64;

/// The end of the key space: keys are `0..KEYS`.
pub const KEYS: Key = 1 << 33;

/// Begins what is hashed, so that another encoding gets another number when this one changes.
const ENCODING: &[u8] = b"shard map 1";

/// Names a map by its content. Shown and told in JSON as 16 lower-case hexadecimal digits, sent as a number.
///
/// XXH3 with 64 bits (`twox-hash`): its values are fixed by a published specification since its release
/// 0.8, so gateways of different builds agree, and the crate is used for names as well. It finds out
/// histories that parted; it does not resist a peer that makes two maps of one hash on purpose, but a peer
/// that may decide maps needs no such trick.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct MapHash(pub u64);

impl MapHash {
    /// What the first map of a history has as its parent.
    pub const NONE: MapHash = MapHash(0);
}

impl fmt::Display for MapHash {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "{:016x}", self.0)
    }
}

/// What is no hash.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a hash of a map has 16 lower-case hexadecimal digits: copy it from what `shards` answers")]
pub struct InvalidMapHash;

impl FromStr for MapHash {
    type Err = InvalidMapHash;

    fn from_str(text: &str) -> Result<MapHash, InvalidMapHash> {
        // One map has one name: neither signs nor capitals nor fewer digits, all of which the parser would
        // take.
        let digits = text.len() == 16
            && text
                .bytes()
                .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        match u64::from_str_radix(text, 16) {
            Ok(number) if digits => Ok(MapHash(number)),
            _ => Err(InvalidMapHash),
        }
    }
}

impl Serialize for MapHash {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        match to.is_human_readable() {
            true => to.collect_str(self),
            false => to.serialize_u64(self.0),
        }
    }
}

impl<'de> Deserialize<'de> for MapHash {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<MapHash, D::Error> {
        if from.is_human_readable() {
            return String::deserialize(from)?
                .parse()
                .map_err(serde::de::Error::custom);
        }
        u64::deserialize(from).map(MapHash)
    }
}

/// Keys from one up to, and without, another, with the gateway that keeps them.
///
/// In JSON and TOML `{"from":0,"to":4294967296,"keeper":"n0"}`, as the configuration has it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardRange {
    /// The first key.
    pub from: Key,
    /// The first key after it.
    pub to: Key,
    /// The name of the gateway in the peer set.
    #[serde(rename = "keeper")]
    pub owner: String,
}

impl ShardRange {
    /// A range of these keys.
    pub fn new(from: Key, to: Key, owner: impl Into<String>) -> ShardRange {
        ShardRange {
            from,
            to,
            owner: owner.into(),
        }
    }

    /// How many keys it has; none where it is empty or reversed.
    pub fn keys(&self) -> u64 {
        self.to.saturating_sub(self.from)
    }
}

/// Who keeps which keys. Anybody may make one; [`validate`](super::validate()) says whether it may come into
/// force.
///
/// With `postcard` a range takes at most 75 bytes with an owner's name of 64 bytes, as a key takes at most 5:
/// a map of 1,024 ranges 76,832 bytes, or 55 datagrams of 1,400. On the wire it should rather go as the
/// widths of the ranges with the number of each owner in the peer set's sorted names: 5 + 2 bytes a range,
/// 7,200 bytes in all, or 6 datagrams. The hash is of the map and not of its form, so the receiver sees by it
/// that it put the parts together rightly.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardMap {
    /// One more than that of the map before it; 1 for the first.
    pub version: u64,
    /// The hash of the map before it; [`MapHash::NONE`] for the first.
    pub parent: MapHash,
    /// The leader's epoch that decided it.
    pub epoch: u64,
    /// By their keys, each key once.
    pub ranges: Vec<ShardRange>,
}

impl ShardMap {
    /// The map that a history starts with: `count` ranges whose sizes differ by one key at most, the bigger
    /// ones first, given to the sorted names in blocks. It follows from its arguments alone, so that it is the
    /// same at each gateway. None is without a name or a key.
    ///
    /// There are never fewer ranges than names, so that each name gets its share; never more than keys, or
    /// than the limit of ranges. In blocks, as operators write maps, so that a map of theirs moves little.
    pub fn first<'a>(
        names: impl IntoIterator<Item = &'a str>,
        count: usize,
        epoch: u64,
        limits: &super::Limits,
    ) -> Option<ShardMap> {
        let names: Vec<&str> = names
            .into_iter()
            .collect::<BTreeSet<_>>()
            .into_iter()
            .collect();
        let keys = limits.keys;
        let count = (count.max(names.len()).min(limits.ranges) as u64).min(keys);
        if names.is_empty() || count == 0 {
            return None;
        }
        let (width, bigger) = (keys / count, keys % count);
        let mut ranges = Vec::new();
        let mut from = 0;
        let gateways = names.len() as u64;
        for number in 0..count {
            let to = from + width + u64::from(number < bigger);
            // Where there are more names than keys the first of them get one each.
            let place = if count < gateways {
                number
            } else {
                number * gateways / count
            };
            let Some(name) = names.get(place as usize) else {
                continue;
            };
            ranges.push(ShardRange::new(from, to, *name));
            from = to;
        }
        Some(ShardMap {
            version: 1,
            parent: MapHash::NONE,
            epoch,
            ranges,
        })
    }

    /// The hash of all that it says, over numbers of 8 bytes, the lowest first, and names with their lengths
    /// before them.
    pub fn hash(&self) -> MapHash {
        let mut bytes = ENCODING.to_vec();
        let number = |bytes: &mut Vec<u8>, number: u64| bytes.extend(number.to_le_bytes());
        for field in [
            self.version,
            self.parent.0,
            self.epoch,
            self.ranges.len() as u64,
        ] {
            number(&mut bytes, field);
        }
        for range in &self.ranges {
            number(&mut bytes, range.from);
            number(&mut bytes, range.to);
            number(&mut bytes, range.owner.len() as u64);
            bytes.extend(range.owner.as_bytes());
        }
        MapHash(XxHash3_64::oneshot(&bytes))
    }

    /// The range that a key is in, by binary search: right for a map that [`validate`](super::validate())
    /// passes. None for a key beyond the space.
    pub fn range_of(&self, key: Key) -> Option<&ShardRange> {
        let after = self.ranges.partition_point(|range| range.from <= key);
        let range = self.ranges.get(after.checked_sub(1)?)?;
        (key < range.to).then_some(range)
    }

    /// The name of the gateway that keeps a key, as [`ShardMap::range_of`].
    pub fn owner_of(&self, key: Key) -> Option<&str> {
        self.range_of(key).map(|range| range.owner.as_str())
    }
}
