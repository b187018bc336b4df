//! Who owns, as far as this gateway has heard, and how it asks for that; and how leadership is given back.

use super::peer_table::Peer;
use super::timing::order;
use super::{ElectionEvent, LeaderElection, LeaseProof, Stage};
use crate::leadership::wire::Kind;
use crate::leadership::LeaseHolder;
use crate::peers::PeerId;
use crate::protocol::{Micros, Transmit};
use rand::seq::IndexedRandom;
use rand::Rng;

/// How long a gateway that has just begun waits for those that use another peer set, in leases.
pub(super) const ELSEWHERE: u64 = 3;
/// How long the one that a leader names waits, so that all have heard that leadership is free.
const HEARD: Micros = 5_000;
/// A gateway that does not know the leader asks another so often in the time of a lease, and once more shortly before what
/// it knows is over.
pub(super) const WHO: u64 = 3;
pub(super) const WHO_AHEAD: Micros = 200_000;
pub(super) const WHO_GAP: Micros = 350_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct KnownLeader {
    pub(super) leader: PeerId,
    pub(super) epoch: u64,
    pub(super) until: Micros,
}

impl LeaderElection {
    /// Who owns, as far as this gateway knows at this moment.
    pub(super) fn known(&self, now: Micros) -> Option<KnownLeader> {
        if let Some(epoch) = self.epoch(now) {
            return Some(KnownLeader {
                leader: self.me.name,
                epoch,
                until: self.until,
            });
        }
        // Of a epoch that another followed nothing is left, however long it was to last.
        let stands = |claim: &KnownLeader| now < claim.until && claim.epoch >= self.fence.0;
        self.claim
            .filter(|claim| stands(claim) && claim.leader != self.me.name)
    }

    /// Another gateway says that it owns.
    pub(super) fn hear_claim(
        &mut self,
        now: Micros,
        from: PeerId,
        stamp: LeaseProof,
        sends: &mut Vec<Transmit>,
    ) {
        if stamp.to_incarnation != self.me.incarnation {
            // It does not know yet that this is another process: the answer tells it.
            return;
        }
        if self.admit(now, from, stamp).is_ok() {
            self.peer_sets.season();
            self.follow(
                now,
                KnownLeader {
                    leader: from,
                    epoch: stamp.epoch,
                    until: stamp.until,
                },
                sends,
            );
        }
    }

    pub(super) fn follow(&mut self, now: Micros, claim: KnownLeader, sends: &mut Vec<Transmit>) {
        if self
            .freed
            .is_some_and(|(freed, epoch, _)| freed.name == claim.leader && epoch == claim.epoch)
        {
            // Whoever tells this has not heard that it gave leadership back.
            return;
        }
        let same = self
            .claim
            .filter(|held| held.leader == claim.leader && held.epoch == claim.epoch);
        if same.is_none() {
            self.note(ElectionEvent::Leader(claim.leader, claim.epoch));
        }
        let until = same.map_or(claim.until, |held| held.until.max(claim.until));
        self.claim = Some(KnownLeader { until, ..claim });
        if matches!(self.stage, Stage::Preparing { .. } | Stage::Asking { .. }) {
            self.give_up(now, sends);
        }
        self.plan(now);
    }

    /// A holder has given leadership back.
    pub(super) fn released(&mut self, now: Micros, holder: LeaseHolder, epoch: u64, next: PeerId) {
        self.granter.release(holder, epoch);
        self.freed = Some((holder, epoch, now + self.lease));
        let was_leader = self
            .claim
            .is_some_and(|claim| claim.leader == holder.name && claim.epoch == epoch);
        if !was_leader {
            return;
        }
        self.claim = self.claim.map(|claim| KnownLeader {
            until: now.min(claim.until),
            ..claim
        });
        self.plan(now);
        if next == self.me.name {
            self.at = now + HEARD;
        } else {
            self.at = self.at.max(now + self.turn());
        }
    }

    /// Asks another gateway who owns.
    pub(super) fn ask_who(&mut self, now: Micros, sends: &mut Vec<Transmit>) {
        let able = |name: &&PeerId| self.peers.contains_key(*name);
        let living: Vec<PeerId> = self.living.iter().filter(able).copied().collect();
        // Where few can be reached, who knew it last is the best to ask; now and then another.
        let known = self
            .teller
            .filter(|teller| self.rng.random_bool(0.75) && self.peers.contains_key(teller));
        let to = known.or_else(|| living.choose(&mut self.rng).copied());
        self.number = self.number.wrapping_add(1);
        if let Some(to) = to {
            self.who = (self.number, now);
            self.put(now, to, Kind::Who(self.number), sends);
        }
        self.who_at = now + WHO_GAP.max(self.lease / WHO);
    }

    /// Gives leadership back, if this gateway has it, so that this one may have it at once.
    pub(super) fn give_back(&mut self, now: Micros, next: PeerId, sends: &mut Vec<Transmit>) {
        let Some(epoch) = self.epoch(now) else { return };
        self.note(ElectionEvent::Released(epoch));
        self.granter.release(self.me, epoch);
        self.step_down(now);
        // Nobody says it again where it is lost: it is said twice. It is owed, so it costs no budget.
        for to in self.others().into_iter().chain(self.others()) {
            self.put_owed(now, to, Kind::Release { epoch, next }, sends);
        }
    }

    /// One of two or more that were told of another peer set, which this gateway's file does not name yet: they are to own, as
    /// only they can finish the change. One alone may have a file with a mistake.
    pub(super) fn told_before(&self, now: Micros) -> Option<PeerId> {
        let recent = |peer: &Peer| now < peer.heard + ELSEWHERE * self.lease;
        let told = self
            .peers
            .iter()
            .filter(|(_, peer)| recent(peer))
            .filter_map(|(name, peer)| {
                let of = |(other, held): &(&PeerId, &Peer)| {
                    *other != name && held.changing == peer.changing && recent(held)
                };
                (peer.changing.is_some() && self.peers.iter().any(|other| of(&other)))
                    .then_some(*name)
            });
        told.min_by_key(|name| order(self.fence.0, *name))
    }
}
