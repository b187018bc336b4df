//! The safety rules of epoch changes: which record may follow another, which members receive it first, and when it is
//! active.
//!
//! Pure functions. `campaign` applies them, and the model check in `epoch_rules/model.rs` explores them under all orders of
//! messages and all tolerated losses of disks.

use super::interface::{Ancestor, Epoch, EpochRecord, Member, MemberId};

/// Maximum number of ancestors in a record: the number of consecutive records whose installation may be abandoned.
const MAX_LINEAGE: usize = 32;

#[cfg(test)]
mod model;

/// Whether the record is active: all its replicas have it with the initial state, and so has a quorum of its witnesses
/// (and former witnesses).
///
/// A quorum of the base record's members is not required separately. A takeover has the same members as its base, and a
/// joint record has them as former witnesses. The record that completes a membership change follows the joint record only
/// once that one is active; then a majority of the former witnesses has the joint record on disk, so that no majority of
/// them can miss it.
pub(super) fn is_active(record: &EpochRecord, installed: impl Fn(MemberId) -> bool) -> bool {
    record.replicas.iter().all(|id| installed(*id)) && record.has_quorum(&installed)
}

/// The members to which a record is sent now. New members receive it before all others: otherwise a new member that loses
/// its disk before it has the record could be needed for a quorum of a record that other members already accepted.
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
        .voters()
        .filter(|member| record.member(member.id).is_none());
    record
        .voters()
        .chain(dropped)
        .filter(lacks_it)
        .cloned()
        .collect()
}

/// The witnesses and former witnesses of the record that a primary installs after `base`. `active` is the number of its
/// active record, `wanted` computes the members that it should have.
///
/// Membership changes only if `base` is the active record and no other change is in progress: the successor of a record
/// that is not active has the same members and former members.
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

/// The record of a candidate that takes over, without its number and primary. The membership is that of the base. The
/// replicas are the members that promised; a predecessor that handed over is one only if `min_replicas` requires it.
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

/// The lineage of a record that follows `base`. It ends at a record known to have been active, because all replicas of that
/// record have its state.
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
