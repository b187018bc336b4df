//! Choice of the base of a new epoch: the record and state from which it starts, given the promises for it.
//!
//! Invariant: the chosen state contains every command that was committed in an earlier epoch.

use super::interface::{Epoch, EpochRecord, MemberId, Version};
use super::message::Promise;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// The record and state from which a new epoch starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Base {
    /// The record that the new epoch follows, and to which the state belongs.
    pub record: EpochRecord,
    /// Version of the state.
    pub version: Version,
    /// The members that have exactly this state.
    pub state_holders: Vec<MemberId>,
}

/// The base that is safe given these promises; `None` if the promises do not determine one yet.
///
/// The base is the newest record of which a replica has promised and has the state.
///
/// * A newer record is skipped only if one of its replicas has promised without having accepted it. That replica rejects
///   it from now on, so the record never was and never will be active.
/// * The record that a skipped one follows may have been active. No older record is chosen unless that one is known, at
///   least from the lineage of its descendants, and skipped too.
/// * A quorum of the base must have promised, so that no active record that follows it is missed.
pub(super) fn choose_base(promises: &BTreeMap<MemberId, Promise>) -> Option<Base> {
    let mut bases_of_skipped: Vec<Epoch> = Vec::new();
    for (number, known) in known_records(promises).into_iter().rev() {
        if bases_of_skipped.iter().any(|base| *base > number) {
            return None;
        }
        if let (Some(version), Some(record)) = (newest_version(promises, number), known.record) {
            let state_holders = state_holders(promises, number, version);
            let has_quorum = record.has_quorum(|id| promises.contains_key(&id));
            return has_quorum.then(|| Base {
                record: record.clone(),
                version,
                state_holders,
            });
        }
        if !was_never_active(promises, number, known.replicas) {
            return None;
        }
        bases_of_skipped.retain(|base| *base < number);
        bases_of_skipped.push(known.follows);
    }
    None
}

/// A record that a promise contains or that the lineage of a record in a promise names.
#[derive(Clone, Copy)]
struct KnownRecord<'a> {
    /// The complete record, if a promise contains it.
    record: Option<&'a EpochRecord>,
    replicas: &'a [MemberId],
    follows: Epoch,
}

/// All records that the promises contain or name, by number.
fn known_records(promises: &BTreeMap<MemberId, Promise>) -> BTreeMap<Epoch, KnownRecord<'_>> {
    let newest = promises
        .values()
        .filter_map(|promise| promise.record.as_ref());
    let of_states = promises
        .values()
        .filter_map(|promise| promise.state_record.as_ref());
    let mut known: BTreeMap<Epoch, KnownRecord<'_>> = BTreeMap::new();
    for record in newest.chain(of_states) {
        for ancestor in &record.lineage {
            let from_lineage = KnownRecord {
                record: None,
                replicas: &ancestor.replicas,
                follows: ancestor.follows,
            };
            known.entry(ancestor.number).or_insert(from_lineage);
        }
        let complete = KnownRecord {
            record: Some(record),
            replicas: &record.replicas,
            follows: record.follows,
        };
        known.insert(record.number, complete);
    }
    known
}

/// The newest version of the state of a record among the promises.
fn newest_version(promises: &BTreeMap<MemberId, Promise>, number: Epoch) -> Option<Version> {
    let is_of_record = |promise: &&Promise| promise.state_epoch() == Some(number);
    promises
        .values()
        .filter(is_of_record)
        .map(|promise| promise.version)
        .max()
}

/// The members whose state belongs to this epoch and has this version.
fn state_holders(
    promises: &BTreeMap<MemberId, Promise>,
    state_epoch: Epoch,
    version: Version,
) -> Vec<MemberId> {
    let is_of_record = |promise: &Promise| {
        promise.state_epoch() == Some(state_epoch) && promise.version == version
    };
    promises
        .iter()
        .filter(|(_, promise)| is_of_record(promise))
        .map(|(id, _)| *id)
        .collect()
}

/// Whether one of the record's replicas has promised a higher epoch without having accepted the record. A member keeps the
/// newest record that names it as a replica, so an older one there proves that it never accepted this record.
fn was_never_active(
    promises: &BTreeMap<MemberId, Promise>,
    number: Epoch,
    replicas: &[MemberId],
) -> bool {
    let lacks_it = |promise: &Promise| promise.state_epoch() < Some(number);
    replicas
        .iter()
        .any(|id| promises.get(id).is_some_and(lacks_it))
}
