//! From which record and state a new epoch begins, given the promises for it.

use super::interface::{Epoch, EpochRecord, MemberId, Version};
use super::message::Promise;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Where a new epoch begins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Base {
    /// The record that it follows, to which the state belongs.
    pub record: EpochRecord,
    /// Version of the state.
    pub version: Version,
    /// Those who hold exactly this state.
    pub state_holders: Vec<MemberId>,
}

/// The base that is safe given these promises, if there is one yet.
///
/// The newest record counts whose replica answered and holds its state. A newer one is passed over only if one of its
/// replicas answered without ever having had it: that replica refuses it from now on, so the record never was and never
/// will be active. The record that a passed-over one follows may have been active: nothing older than it is taken, unless
/// it is known (if only by its descendants) and passed over itself. Of the base, a quorum must have promised, so that no
/// active record that follows it goes unseen.
pub(super) fn choose_base(promises: &BTreeMap<MemberId, Promise>) -> Option<Base> {
    let mut followed_by_passed_over: Vec<Epoch> = Vec::new();
    for (number, known) in known_records(promises).into_iter().rev() {
        if followed_by_passed_over
            .iter()
            .any(|followed| *followed > number)
        {
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
        followed_by_passed_over.retain(|followed| *followed < number);
        followed_by_passed_over.push(known.follows);
    }
    None
}

/// A record that somebody holds, or that a descendant of it names.
#[derive(Clone, Copy)]
struct KnownRecord<'a> {
    /// All of it, where somebody holds it.
    record: Option<&'a EpochRecord>,
    replicas: &'a [MemberId],
    follows: Epoch,
}

/// All records of which the promises tell, by their numbers.
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

fn newest_version(promises: &BTreeMap<MemberId, Promise>, number: Epoch) -> Option<Version> {
    let is_of_record = |promise: &&Promise| promise.state_epoch() == Some(number);
    promises
        .values()
        .filter(is_of_record)
        .map(|promise| promise.version)
        .max()
}

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

/// One of the replicas has promised a higher number without having had the record: of those in which it is a replica, it
/// remembers the newest.
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
