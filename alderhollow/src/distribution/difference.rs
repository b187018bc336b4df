//! Differences between two versions of a table, sent in place of a complete table to a process that holds the older one.
//! No I/O and no clock.
//!
//! Complete tables to hundreds of processes occupy the primary's link for seconds, and its heartbeats and its readings of the
//! platform's list wait behind them (`docs/incidents/tier-drain.md`).

use super::message::{EncodedControl, Stamp, StampedSenders};
use alderhollow_model::backend::{Backend, BackendList};
use alderhollow_model::snapshot::{Placer, Senders};
use lz4_flex::block::{compress_with_dict, decompress_with_dict};
use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;
use twox_hash::XxHash3_64;

/// Largest control state that is decompressed.
const MAX_CONTROL_BYTES: usize = 16 * 1024 * 1024;

/// Why a difference can't be applied.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum DifferenceError {
    /// It refers to another table than the one that this process holds.
    #[error("a difference refers to another version than the one that is held")]
    OtherBase,
    /// The compressed bytes are damaged.
    #[error("a difference can't be decompressed")]
    Damaged,
}

/// Identifies the bytes of an encoded control state: builds may encode the same version differently.
pub fn control_digest(bytes: &[u8]) -> u64 {
    XxHash3_64::oneshot(bytes)
}

/// A version of the control state, compressed with an earlier version as dictionary.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ControlDifference {
    /// Version of the dictionary; 0 for none.
    #[n(0)]
    pub base: u64,
    /// The version that results.
    #[n(1)]
    pub version: u64,
    /// Length of the encoded view, in bytes.
    #[n(2)]
    pub length: u32,
    /// The encoded view as an LZ4 block.
    #[n(3)]
    pub block: ByteVec,
}

impl ControlDifference {
    /// The difference from `base`, or the compressed whole without one.
    pub fn between(base: Option<&EncodedControl>, next: &EncodedControl) -> ControlDifference {
        let dictionary = base.map_or(&[][..], |base| &base.bytes);
        ControlDifference {
            base: base.map_or(0, |base| base.version),
            version: next.version,
            length: next.bytes.len().try_into().unwrap_or(u32::MAX),
            block: compress_with_dict(&next.bytes, dictionary).into(),
        }
    }

    /// The control state that results, for a process that holds `held`.
    ///
    /// # Errors
    /// `held` is not the base, or the bytes are damaged.
    pub fn apply(&self, held: &EncodedControl) -> Result<EncodedControl, DifferenceError> {
        let dictionary = match self.base {
            0 => &[][..],
            base if base == held.version => &held.bytes,
            _ => return Err(DifferenceError::OtherBase),
        };
        let length = self.length as usize;
        if length > MAX_CONTROL_BYTES {
            return Err(DifferenceError::Damaged);
        }
        let bytes = decompress_with_dict(&self.block, length, dictionary)
            .map_err(|_| DifferenceError::Damaged)?;
        if bytes.len() != length {
            return Err(DifferenceError::Damaged);
        }
        Ok(EncodedControl {
            version: self.version,
            bytes: bytes.into(),
        })
    }
}

/// The backends that differ between two lists.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct BackendsDifference {
    /// The list that it refers to.
    #[n(0)]
    pub base: Stamp,
    /// The list that results.
    #[n(1)]
    pub stamp: Stamp,
    /// New entries, and entries that replace the one with the same id.
    #[n(2)]
    pub changed: Vec<Backend>,
    /// Ids of entries that are gone.
    #[n(3)]
    pub removed: Vec<String>,
}

impl BackendsDifference {
    /// The difference between two lists, both sorted by id. Entries that warm up are always part of it: the process that
    /// gets it counts their remaining time anew.
    pub fn between(base: &BackendList, next: &BackendList) -> BackendsDifference {
        let mut difference = BackendsDifference {
            base: Stamp::of(base),
            stamp: Stamp::of(next),
            changed: Vec::new(),
            removed: Vec::new(),
        };
        let (mut old, mut new) = (base.backends.iter().peekable(), next.backends.iter());
        let mut entry = new.next();
        loop {
            let order = match (old.peek(), entry) {
                (None, None) => return difference,
                (Some(_), None) => Ordering::Less,
                (None, Some(_)) => Ordering::Greater,
                (Some(old), Some(new)) => old.id.cmp(&new.id),
            };
            let former = if order.is_le() { old.next() } else { None };
            let current = if order.is_ge() { entry } else { None };
            match (former, current) {
                (Some(former), None) => difference.removed.push(former.id.clone()),
                (former, Some(current)) => {
                    if former.is_none_or(|former| differs(former, current)) {
                        difference.changed.push(current.clone());
                    }
                    entry = new.next();
                }
                (None, None) => return difference,
            }
        }
    }

    /// The list that results, for a process that holds `held`.
    ///
    /// # Errors
    /// `held` is not the base.
    pub fn apply(self, held: &BackendList) -> Result<BackendList, DifferenceError> {
        if self.base != Stamp::of(held) {
            return Err(DifferenceError::OtherBase);
        }
        let mut backends: BTreeMap<&str, &Backend> = held
            .backends
            .iter()
            .map(|backend| (backend.id.as_str(), backend))
            .collect();
        for id in &self.removed {
            backends.remove(id.as_str());
        }
        for backend in &self.changed {
            backends.insert(&backend.id, backend);
        }
        Ok(BackendList {
            epoch: self.stamp.epoch,
            sequence: self.stamp.sequence,
            backends: backends.into_values().cloned().collect(),
        })
    }
}

fn differs(former: &Backend, current: &Backend) -> bool {
    former.cold_remaining_ms > 0 || former != current
}

/// The senders that differ between two versions. The placers are few and sent whole.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct SendersDifference {
    /// The version that it refers to.
    #[n(0)]
    pub base: Stamp,
    /// The version that results.
    #[n(1)]
    pub stamp: Stamp,
    /// Names of new senders.
    #[n(2)]
    pub added: Vec<String>,
    /// Names of senders that are gone.
    #[n(3)]
    pub removed: Vec<String>,
    /// All placers.
    #[n(4)]
    pub placers: Vec<Placer>,
}

impl SendersDifference {
    /// The difference between two versions.
    pub fn between(base: &StampedSenders, next: &StampedSenders) -> SendersDifference {
        let old: BTreeSet<&String> = base.senders.nodes.iter().collect();
        let new: BTreeSet<&String> = next.senders.nodes.iter().collect();
        SendersDifference {
            base: base.stamp,
            stamp: next.stamp,
            added: new.difference(&old).map(|node| (*node).clone()).collect(),
            removed: old.difference(&new).map(|node| (*node).clone()).collect(),
            placers: next.senders.placers.clone(),
        }
    }

    /// The senders that result, for a process that holds `held`, of version `stamp`.
    ///
    /// # Errors
    /// `stamp` is not the base.
    pub fn apply(self, stamp: Stamp, held: &Senders) -> Result<StampedSenders, DifferenceError> {
        if self.base != stamp {
            return Err(DifferenceError::OtherBase);
        }
        let mut nodes: BTreeSet<String> = held.nodes.iter().cloned().collect();
        for node in &self.removed {
            nodes.remove(node);
        }
        nodes.extend(self.added);
        Ok(StampedSenders {
            stamp: self.stamp,
            senders: Senders {
                nodes: nodes.into_iter().collect(),
                placers: self.placers,
            },
        })
    }
}
