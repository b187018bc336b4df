//! Findings: what is wrong with a map, with a text for operators.

use super::map::{Key, MapHash};
use serde::{Deserialize, Serialize};
use std::fmt;
use thiserror::Error;

/// Maximum number of findings reported for one rule; one more gives the number of those left out ([`Finding::More`]).
/// With thirteen rules there are at most 429 findings, for any map.
pub const MAX_FINDINGS_PER_RULE: usize = 32;

/// Maximum number of characters of a name from a map in a text.
const MAX_NAME_CHARS: usize = 64;

/// Rules of a valid map. Serialized in lower case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Rule {
    /// Each key has an owner.
    Gap,
    /// No key has two owners.
    Overlap,
    /// A range has keys, and its lower bound comes first.
    Empty,
    /// Ranges are listed in the order of keys.
    Order,
    /// Ranges end within the key space.
    Beyond,
    /// Owners are in the peer set, alive, and not leaving.
    #[serde(rename = "keeper")]
    Owner,
    /// The parent is the map in force.
    Parent,
    /// The version follows that of the map in force.
    Version,
    /// The epoch is the newest one known.
    Epoch,
    /// The number of keys that move is limited.
    Moved,
    /// The number of keys of an owner is limited.
    Share,
    /// Keys move again only after their last move is complete.
    Moving,
    /// The number of ranges is limited.
    Size,
}

impl Rule {
    /// All rules, in the order in which findings are reported.
    pub const ALL: [Rule; 13] = [
        Rule::Gap,
        Rule::Overlap,
        Rule::Empty,
        Rule::Order,
        Rule::Beyond,
        Rule::Owner,
        Rule::Parent,
        Rule::Version,
        Rule::Epoch,
        Rule::Moved,
        Rule::Share,
        Rule::Moving,
        Rule::Size,
    ];

    /// Name of the rule in replies to operators.
    pub fn name(self) -> &'static str {
        match self {
            Rule::Gap => "gap",
            Rule::Overlap => "overlap",
            Rule::Empty => "empty",
            Rule::Order => "order",
            Rule::Beyond => "beyond",
            Rule::Owner => "keeper",
            Rule::Parent => "parent",
            Rule::Version => "version",
            Rule::Epoch => "epoch",
            Rule::Moved => "moved",
            Rule::Share => "share",
            Rule::Moving => "moving",
            Rule::Size => "size",
        }
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(self.name())
    }
}

/// One fault of a map. Upper bounds are exclusive; the text says what to do.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[allow(missing_docs)]
pub enum Finding {
    #[error(
        "no range covers the keys {from} up to {to}: assign them to an owner, or move a neighbour's bound"
    )]
    Gap { from: Key, to: Key },
    #[error(
        "more than one range covers the keys {from} up to {to}: keep them in one of these ranges"
    )]
    Overlap { from: Key, to: Key },
    #[error(
        "the range from {from} to {to} has no keys: remove it, or set `to`, which is the first key \
         after it"
    )]
    Empty { from: Key, to: Key },
    #[error("the range from {from} to {to} ends before it begins: swap its bounds")]
    Reversed { from: Key, to: Key },
    #[error(
        "the range {from} up to {to} is listed after one from {after}: list ranges in the order of keys"
    )]
    Order { from: Key, to: Key, after: Key },
    #[error("there are no keys {from} up to {to}, the last one is {}: end the range at {end}, or remove it",
            end.saturating_sub(1))]
    Beyond { from: Key, to: Key, end: Key },
    #[error(
        "the keys {from} up to {to} go to {owner:?}, which is not in the peer set: correct the name, or \
         add the gateway to `peers` everywhere first"
    )]
    OwnerUnknown { from: Key, to: Key, owner: String },
    #[error(
        "the keys {from} up to {to} go to {owner:?}, which is dead: start it, or assign them to a \
         gateway that is alive"
    )]
    OwnerDead { from: Key, to: Key, owner: String },
    #[error("the keys {from} up to {to} go to {owner:?}, which is leaving: assign them to another gateway")]
    OwnerLeaving { from: Key, to: Key, owner: String },
    #[error(
        "its parent is {parent}, but the map in force is {needed}: it was made from another map; look at \
         `shards` and make it from the one in force"
    )]
    Parent { parent: MapHash, needed: MapHash },
    #[error("it is the first of a history and has the parent {parent}: a first one has {none}; propose it \
             again without a parent", none = MapHash::NONE)]
    ParentOfFirst { parent: MapHash },
    #[error(
        "it has the version {version} and no parent: only version 1 has none; fetch the map from a \
         gateway that has one in force"
    )]
    ParentMissing { version: u64 },
    #[error(
        "it has the version {version} where {needed} comes next: look at `shards` and propose it again \
         for the version in force"
    )]
    Version { version: u64, needed: u64 },
    #[error(
        "no version comes after {version}: restart all gateways, so that a new history starts"
    )]
    VersionLast { version: u64 },
    #[error(
        "it was decided in the epoch {epoch}, and {needed} has started: its leader has been replaced; \
         propose it to the leader that the call `owner` names"
    )]
    Epoch { epoch: u64, needed: u64 },
    #[error(
        "{keys} keys change their owner at once, the limit is {max}: use several maps, each after the \
         one before it is in force"
    )]
    Moved { keys: u64, max: u64 },
    #[error("{owner:?} would own {keys} keys, the limit is {max}: assign some of them to others")]
    Share { owner: String, keys: u64, max: u64 },
    #[error(
        "the keys {from} up to {to} go from {old:?} to {new:?} while their last move is not complete: wait \
         until `shards` shows no `next`, then propose it again"
    )]
    Moving {
        from: Key,
        to: Key,
        old: String,
        new: String,
    },
    #[error("it has {ranges} ranges, the limit is {max}: merge neighbours that have one owner")]
    Size { ranges: usize, max: usize },
    #[error(
        "{more} more findings of `{rule}` are not shown: correct those shown, and check again"
    )]
    More { rule: Rule, more: usize },
}

impl Finding {
    /// The violated rule.
    pub fn rule(&self) -> Rule {
        match self {
            Finding::Gap { .. } => Rule::Gap,
            Finding::Overlap { .. } => Rule::Overlap,
            Finding::Empty { .. } | Finding::Reversed { .. } => Rule::Empty,
            Finding::Order { .. } => Rule::Order,
            Finding::Beyond { .. } => Rule::Beyond,
            Finding::OwnerUnknown { .. }
            | Finding::OwnerDead { .. }
            | Finding::OwnerLeaving { .. } => Rule::Owner,
            Finding::Parent { .. }
            | Finding::ParentOfFirst { .. }
            | Finding::ParentMissing { .. } => Rule::Parent,
            Finding::Version { .. } | Finding::VersionLast { .. } => Rule::Version,
            Finding::Epoch { .. } => Rule::Epoch,
            Finding::Moved { .. } => Rule::Moved,
            Finding::Share { .. } => Rule::Share,
            Finding::Moving { .. } => Rule::Moving,
            Finding::Size { .. } => Rule::Size,
            Finding::More { rule, .. } => *rule,
        }
    }

    /// The keys `[from, to)` concerned, if the finding concerns keys.
    pub fn keys(&self) -> Option<(Key, Key)> {
        match self {
            Finding::Gap { from, to }
            | Finding::Overlap { from, to }
            | Finding::Empty { from, to }
            | Finding::Reversed { from, to }
            | Finding::Order { from, to, .. }
            | Finding::Beyond { from, to, .. }
            | Finding::OwnerUnknown { from, to, .. }
            | Finding::OwnerDead { from, to, .. }
            | Finding::OwnerLeaving { from, to, .. }
            | Finding::Moving { from, to, .. } => Some((*from, *to)),
            _ => None,
        }
    }
}

/// A name from a map, which may be any text, shortened for a message.
pub(super) fn shown(name: &str) -> String {
    match name.char_indices().nth(MAX_NAME_CHARS) {
        Some((end, _)) => name.get(..end).unwrap_or_default().to_string() + "...",
        None => name.to_string(),
    }
}
