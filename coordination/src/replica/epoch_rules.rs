//! Which record an epoch may have, who gets it first, and when it is in force. Pure functions, which a model check runs
//! over all orders of messages and losses of disks.

use super::interface::{Ancestor, Epoch, EpochRecord, Member, MemberId};

/// Most ancestors that a record names: so many attempts in a row that no primary completed.
const MAX_LINEAGE: usize = 32;

#[cfg(test)]
mod model;

/// The record is in force: all its replicas have it with the state, and a majority of its witnesses and of its former ones.
///
/// The base's members need not be asked as well. A takeover has the members of its base, and a joint record has them as
/// former ones; what settles a joint record follows it only once it is active, and then a majority of those that leave have
/// the joint record on disk, so that none of their majorities can pass it over.
pub(super) fn is_active(record: &EpochRecord, installed: impl Fn(MemberId) -> bool) -> bool {
    record.replicas.iter().all(|id| installed(*id)) && record.has_quorum(&installed)
}

/// Who is to be sent a record now: new members before all others. Else a new one whose disk is lost at once could be
/// needed for the majorities of a record that others hold already.
pub(super) fn recipients(
    record: &EpochRecord,
    base: &EpochRecord,
    installed: impl Fn(MemberId) -> bool,
) -> Vec<Member> {
    let lacks_it = |member: &&Member| !installed(member.id);
    let is_new = |member: &&Member| base.member(member.id).is_none();
    let new_ones: Vec<Member> = record
        .witnesses
        .iter()
        .filter(is_new)
        .filter(lacks_it)
        .cloned()
        .collect();
    if !new_ones.is_empty() {
        return new_ones;
    }
    let dropped = base
        .everyone()
        .filter(|member| record.member(member.id).is_none());
    record
        .everyone()
        .chain(dropped)
        .filter(lacks_it)
        .cloned()
        .collect()
}

/// The members of the record that a primary has follow `base`; `active` is the number of its active record.
///
/// Members change only on top of the active record, and only if no other change is under way: a record that was installed
/// in part keeps its members and former members until one with them is active.
pub(super) fn with_members(
    base: &EpochRecord,
    active: Epoch,
    wanted: impl FnOnce() -> Vec<Member>,
) -> EpochRecord {
    let mut next = base.clone();
    if base.number != active {
        return next;
    }
    if !base.former_witnesses.is_empty() {
        next.former_witnesses.clear();
        return next;
    }
    next.witnesses = wanted();
    if next.witnesses != base.witnesses {
        next.former_witnesses = base.witnesses.clone();
    }
    next
}

/// The record of a candidate that takes over, but for its number and primary. It changes no members: those who promised
/// are the replicas, a predecessor that leaves only if need be.
pub(super) fn takeover_record(
    base: &EpochRecord,
    promised: impl Fn(MemberId) -> bool,
    predecessor: Option<MemberId>,
    min_replicas: usize,
) -> EpochRecord {
    let members = base.witnesses.iter().map(|member| member.id);
    let mut replicas: Vec<MemberId> = members.filter(|id| promised(*id)).collect();
    if replicas.len() > min_replicas {
        replicas.retain(|id| Some(*id) != predecessor);
    }
    EpochRecord {
        replicas,
        ..base.clone()
    }
}

/// What a record that follows `base` tells of its ancestors. Nobody has to know more than an active one: all its replicas
/// hold its state.
pub(super) fn lineage(base: &EpochRecord, base_is_active: bool) -> Vec<Ancestor> {
    let parent = Ancestor {
        number: base.number,
        replicas: base.replicas.clone(),
        follows: base.follows,
    };
    let older = base.lineage.iter().filter(|_| !base_is_active).cloned();
    std::iter::once(parent)
        .chain(older)
        .take(MAX_LINEAGE)
        .collect()
}
