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
    pub holders: Vec<MemberId>,
}

/// The base that is safe given these promises, if there is one yet.
///
/// The newest record counts whose replica answered and holds its state. A newer one is passed over only if one of its
/// replicas answered without having it: that replica refuses it from now on, so the record never was and never will be
/// active. The record that a passed-over one follows may have been active: nothing older than it is taken, unless it is
/// known and passed over itself. Of the base, a quorum must have promised, so that no active record that follows it
/// goes unseen.
pub(super) fn choose_base(promises: &BTreeMap<MemberId, Promise>) -> Option<Base> {
    let mut followed_by_passed_over: Vec<Epoch> = Vec::new();
    for record in known_records(promises) {
        if followed_by_passed_over.iter().any(|number| *number > record.number) {
            return None;
        }
        if let Some(version) = newest_version(promises, record) {
            let holders = holders(promises, record.number, version);
            let has_quorum = record.has_quorum(|id| promises.contains_key(&id));
            return has_quorum.then(|| Base { record: record.clone(), version, holders });
        }
        if !was_never_active(promises, record) {
            return None;
        }
        followed_by_passed_over.retain(|number| *number < record.number);
        followed_by_passed_over.push(record.follows);
    }
    None
}

/// All records that somebody holds, the newest first.
fn known_records(promises: &BTreeMap<MemberId, Promise>) -> Vec<&EpochRecord> {
    let newest = promises.values().filter_map(|promise| promise.record.as_ref());
    let of_states = promises.values().filter_map(|promise| promise.state_record.as_ref());
    let mut records: Vec<&EpochRecord> = newest.chain(of_states).collect();
    records.sort_by_key(|record| std::cmp::Reverse(record.number));
    records.dedup_by_key(|record| record.number);
    records
}

fn newest_version(promises: &BTreeMap<MemberId, Promise>, record: &EpochRecord) -> Option<Version> {
    let holds = |promise: &&Promise| promise.state_epoch() == Some(record.number);
    promises.values().filter(holds).map(|promise| promise.version).max()
}

fn holders(promises: &BTreeMap<MemberId, Promise>, state_epoch: Epoch, version: Version) -> Vec<MemberId> {
    let holds = |promise: &Promise| promise.state_epoch() == Some(state_epoch) && promise.version == version;
    promises.iter().filter(|(_, promise)| holds(promise)).map(|(id, _)| *id).collect()
}

fn was_never_active(promises: &BTreeMap<MemberId, Promise>, record: &EpochRecord) -> bool {
    let lacks_it = |promise: &Promise| promise.record.as_ref().map(|held| held.number) < Some(record.number);
    record.replicas.iter().any(|id| promises.get(id).is_some_and(lacks_it))
}
