//! Choice of the members and replicas of the primary's next epoch, from their observed state.
//!
//! The rules of `epoch_rules` decide whether a membership change is allowed at this point.

use super::epoch_rules;
use super::interface::{EpochRecord, Member, MemberId, Millis, StateMachine};
use super::primary::{Peer, Primary};
use super::settings::Timings;
use super::Replica;

impl<S: StateMachine> Replica<S> {
    /// Minimum number of replicas of a core with this many members: each commit must survive the loss of
    /// `tolerate_machines`.
    pub(super) fn min_replicas(&self, members: usize) -> usize {
        members.min(self.settings.tolerate_machines + 1)
    }

    /// Whether the primary should replace its epoch with another one of its own.
    pub(super) fn wants_reconfiguration(&self) -> bool {
        let Some(primary) = &self.primary else {
            return false;
        };
        let number_is_superseded =
            self.durable.promised != primary.record.number || self.has_competing_promise(primary);
        if number_is_superseded {
            return true;
        }
        let nothing_to_do = self.planner(primary).is_unchanged(&primary.record);
        !nothing_to_do
            && self
                .reconfigured_record(&primary.record)
                .is_some_and(|next| next != primary.record)
    }

    /// The selection rules on the current observations.
    fn planner<'a>(&self, primary: &'a Primary) -> MembershipPlanner<'a> {
        MembershipPlanner {
            me: self.me.id,
            now: self.now,
            timings: self.settings.timings,
            primary,
        }
    }

    /// The record that should follow `base`, without its number. `None` if `base` belongs to another primary.
    pub(super) fn reconfigured_record(&self, base: &EpochRecord) -> Option<EpochRecord> {
        let primary = self
            .primary
            .as_ref()
            .filter(|_| base.primary == self.me.id)?;
        let planner = self.planner(primary);
        let min_members = 2 * self.settings.tolerate_machines + 1;
        let wanted = || planner.next_witnesses(&base.witnesses, min_members);
        let mut next = epoch_rules::with_members(base, primary.record.number, wanted);
        let min_replicas = self.min_replicas(next.witnesses.len());
        next.replicas = planner.next_replicas(&next, min_replicas);
        if next.replicas.len() < min_replicas {
            return Some(base.clone());
        }
        Some(next)
    }

    /// Whether a responsive member has promised this number or a higher one to a candidate that did not succeed.
    fn has_competing_promise(&self, primary: &Primary) -> bool {
        let number = primary.record.number;
        let refuses = |peer: &Peer| {
            peer.promised > number || peer.promised == number && peer.promised_to != self.me.id
        };
        primary
            .peers
            .values()
            .any(|peer| refuses(peer) && peer.record_number <= Some(number))
    }
}

/// The observed state of the members, and the selection rules on it.
struct MembershipPlanner<'a> {
    me: MemberId,
    now: Millis,
    timings: Timings,
    primary: &'a Primary,
}

impl MembershipPlanner<'_> {
    /// Whether the current record needs no change: all replicas keep up, no other member can become one, and nobody
    /// joins or leaves. Called for each event, so it allocates nothing.
    fn is_unchanged(&self, record: &EpochRecord) -> bool {
        let is_in_place = |id: MemberId| match record.is_replica(id) {
            true => self.keeps_up(id),
            false => !self.is_readmittable(id) && !self.is_unresponsive(id),
        };
        record.former_witnesses.is_empty()
            && !self
                .primary
                .joiners
                .values()
                .any(|joiner| joiner.has_answered)
            && record.witnesses.iter().all(|member| is_in_place(member.id))
    }

    /// The members that the next record should have. A joiner replaces the member with the same machine name.
    /// Unresponsive members are removed if at least `min_members` others respond.
    fn next_witnesses(&self, members: &[Member], min_members: usize) -> Vec<Member> {
        let mut next = members.to_vec();
        for joiner in self
            .primary
            .joiners
            .values()
            .filter(|joiner| joiner.has_answered)
        {
            next.retain(|member| member.node != joiner.member.node || member.id == self.me);
            next.push(joiner.member.clone());
        }
        let answering = next
            .iter()
            .filter(|member| self.is_responsive(member.id) || self.is_joiner(member.id))
            .count();
        if answering >= min_members {
            next.retain(|member| !self.is_unresponsive(member.id));
        }
        next.sort();
        next
    }

    /// The replicas that the next record should have: those that keep up, and members that can be readmitted. If these
    /// are fewer than `min_replicas`, also other responsive members that do not delay the command in flight.
    fn next_replicas(&self, record: &EpochRecord, min_replicas: usize) -> Vec<MemberId> {
        let members = || record.witnesses.iter().map(|member| member.id);
        let is_fit = |id: &MemberId| match self.primary.record.is_replica(*id) {
            true => self.keeps_up(*id),
            false => self.is_joiner(*id) || self.is_readmittable(*id),
        };
        let replicas: Vec<MemberId> = members().filter(is_fit).collect();
        if replicas.len() >= min_replicas {
            return replicas;
        }
        let is_acceptable =
            |id: &MemberId| is_fit(id) || self.is_responsive(*id) && !self.delays_write(*id);
        members().filter(is_acceptable).collect()
    }

    fn peer(&self, id: MemberId) -> Option<&Peer> {
        self.primary.peers.get(&id)
    }

    /// Time since the member last responded, or since the record became active, in milliseconds.
    fn time_since_response(&self, id: MemberId) -> Millis {
        match self.peer(id) {
            _ if id == self.me => 0,
            Some(peer) => self.now.saturating_sub(peer.last_response_at),
            None => self.now.saturating_sub(self.primary.activated_at),
        }
    }

    /// Whether the member has responded within `replica_timeout_ms` and is not excluded.
    fn is_responsive(&self, id: MemberId) -> bool {
        let is_blocked = self
            .peer(id)
            .is_some_and(|peer| self.now < peer.excluded_until);
        self.time_since_response(id) < self.timings.replica_timeout_ms && !is_blocked
    }

    /// Whether a replica may remain one.
    fn keeps_up(&self, id: MemberId) -> bool {
        let is_leaving = self.peer(id).is_some_and(Peer::is_leaving);
        self.is_responsive(id) && !is_leaving && !self.delays_write(id)
    }

    /// Whether a member that is no replica may become one.
    fn is_readmittable(&self, id: MemberId) -> bool {
        let is_steady = |peer: &Peer| {
            let on_disk = peer.record_number == Some(self.primary.record.number);
            on_disk && peer.responsive_since + self.timings.readmission_ms <= self.now
        };
        id == self.me || self.keeps_up(id) && self.peer(id).is_some_and(is_steady)
    }

    /// Whether a replica has not written the command in flight in time. Other members were not sent it.
    fn delays_write(&self, id: MemberId) -> bool {
        id != self.me
            && self.primary.record.is_replica(id)
            && self.primary.write.as_ref().is_some_and(|write| {
                !write.written.contains(&id)
                    && self.now >= write.since + self.timings.replica_timeout_ms
            })
    }

    /// Whether the member has requested to join and answers heartbeats.
    fn is_joiner(&self, id: MemberId) -> bool {
        self.primary
            .joiners
            .get(&id)
            .is_some_and(|joiner| joiner.has_answered)
    }

    /// Whether the member may be removed from the membership.
    fn is_unresponsive(&self, id: MemberId) -> bool {
        !self.is_joiner(id) && self.time_since_response(id) >= self.timings.member_timeout_ms
    }
}
