//! The shard map: ranges of customer numbers with their owners, its version and its hash.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use twox_hash::XxHash3_64;

/// Customer number, as in the customer cookie (see PROTOCOL).
pub type Key = u64;

/// End of the key space: keys are `0..KEYS`.
pub const KEYS: Key = 1 << 33;

/// Prefix of the hashed bytes. A change of the encoding needs another prefix.
const ENCODING: &[u8] = b"shard map 1";

/// Identity of a map by its content. In JSON and for operators 16 lower-case hexadecimal digits, on the wire a number.
///
/// XXH3 with 64 bits (`twox-hash`): its values are fixed by a published specification since release 0.8, so gateways of
/// different builds compute the same. It detects diverging histories; it does not resist a peer that constructs two
/// maps of one hash on purpose, but a peer that may decide maps needs no such attack.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct MapHash(pub u64);

impl MapHash {
    /// Parent of the first map of a history.
    pub const NONE: MapHash = MapHash(0);
}

impl fmt::Display for MapHash {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "{:016x}", self.0)
    }
}

/// The text is not the hash of a map.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a hash of a map has 16 lower-case hexadecimal digits: copy it from what `shards` answers")]
pub struct InvalidMapHash;

impl FromStr for MapHash {
    type Err = InvalidMapHash;

    fn from_str(text: &str) -> Result<MapHash, InvalidMapHash> {
        // One hash has one text: the parser of numbers would also accept signs, capitals and fewer digits.
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

/// Keys `[from, to)` and the gateway that owns them.
///
/// In JSON and TOML `{"from":0,"to":4294967296,"keeper":"n0"}`, as in the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardRange {
    /// First key.
    pub from: Key,
    /// End of the keys (exclusive).
    pub to: Key,
    /// Name of the owner in the peer set.
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

    /// Number of keys; 0 for an empty or a reversed range.
    pub fn keys(&self) -> u64 {
        self.to.saturating_sub(self.from)
    }
}

/// Assignment of all keys to owners. Anybody may construct one; [`validate`](super::validate()) says whether it may
/// come into force.
///
/// With `postcard` a range takes at most 75 bytes with an owner's name of 64 bytes, as a key takes at most 5: a map of
/// 1,024 ranges 76,832 bytes. On the wire each name is sent once (see [`super::wire::encode_map`]). The hash covers the
/// content and not the encoding, so a receiver verifies with it that it joined the chunks correctly.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardMap {
    /// Version: one more than that of the previous map, 1 for the first.
    pub version: u64,
    /// Hash of the previous map; [`MapHash::NONE`] for the first.
    pub parent: MapHash,
    /// Epoch of the leader that made the map.
    pub epoch: u64,
    /// Ranges in the order of keys; each key is in exactly one.
    pub ranges: Vec<ShardRange>,
}

impl ShardMap {
    /// The first map of a history: `count` ranges whose sizes differ by one key at most, the larger ones first,
    /// assigned to the sorted names in blocks. It is determined by the arguments, so that each gateway computes the
    /// same. `None` without a name or without a key.
    ///
    /// There are at least as many ranges as names, so that each gateway gets a share, and never more than keys or than
    /// the limit of ranges. Blocks are how operators write maps, so that a map of theirs moves few keys.
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
            // With more names than keys, the first names get one key each.
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

    /// Hash of the content: numbers as 8 bytes, little-endian, names preceded by their lengths.
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

    /// The range of a key, by binary search, for a map that [`validate`](super::validate()) accepts. `None` for a key
    /// outside the key space.
    pub fn range_of(&self, key: Key) -> Option<&ShardRange> {
        let after = self.ranges.partition_point(|range| range.from <= key);
        let range = self.ranges.get(after.checked_sub(1)?)?;
        (key < range.to).then_some(range)
    }

    /// Name of the owner of a key, see [`ShardMap::range_of`].
    pub fn owner_of(&self, key: Key) -> Option<&str> {
        self.range_of(key).map(|range| range.owner.as_str())
    }
}
