//! Members and quorums of an epoch record.
//!
//! During a membership change a quorum is a majority of the new members and a majority of the former members (joint
//! consensus, section 6 of the Raft paper).

use super::interface::{EpochRecord, Member, MemberId, Millis};

impl EpochRecord {
    /// The founding record, of epoch 0: all founders are replicas of the empty state, and there is no primary.
    pub(super) fn founding(mut witnesses: Vec<Member>) -> Self {
        witnesses.sort();
        witnesses.dedup_by_key(|member| member.id);
        let replicas = witnesses.iter().map(|member| member.id).collect();
        EpochRecord {
            replicas,
            witnesses,
            ..EpochRecord::default()
        }
    }

    /// Whether the member is a replica in this epoch.
    pub fn is_replica(&self, id: MemberId) -> bool {
        self.replicas.contains(&id)
    }

    /// Whether it is a member; during a membership change: one of the new members.
    pub fn is_witness(&self, id: MemberId) -> bool {
        self.witnesses.iter().any(|member| member.id == id)
    }

    /// The member with this identity, including members that a membership change removes.
    pub fn member(&self, id: MemberId) -> Option<&Member> {
        self.voters().find(|member| member.id == id)
    }

    /// All members that have a vote, including those that a membership change removes; each once.
    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        let leaving = self
            .former_witnesses
            .iter()
            .filter(|member| !self.is_witness(member.id));
        self.witnesses.iter().chain(leaving)
    }

    /// Whether a majority of the witnesses fulfils a condition, and during a membership change a majority of the former
    /// witnesses too.
    pub(super) fn has_quorum(&self, fulfils: impl Fn(MemberId) -> bool) -> bool {
        let majority = |members: &[Member]| {
            let count = members.iter().filter(|member| fulfils(member.id)).count();
            count >= majority_of(members.len())
        };
        majority(&self.witnesses)
            && (self.former_witnesses.is_empty() || majority(&self.former_witnesses))
    }

    /// The latest time `t` such that `time_of(member) >= t` for a quorum; `None` if too few members have a time.
    pub(super) fn quorum_time(
        &self,
        time_of: impl Fn(MemberId) -> Option<Millis>,
    ) -> Option<Millis> {
        let reached = |members: &[Member]| {
            let mut times: Vec<Millis> = members
                .iter()
                .filter_map(|member| time_of(member.id))
                .collect();
            times.sort_unstable_by(|one, other| other.cmp(one));
            times.get(majority_of(members.len()) - 1).copied()
        };
        let now = reached(&self.witnesses)?;
        if self.former_witnesses.is_empty() {
            return Some(now);
        }
        reached(&self.former_witnesses).map(|before| now.min(before))
    }
}

fn majority_of(members: usize) -> usize {
    members / 2 + 1
}
