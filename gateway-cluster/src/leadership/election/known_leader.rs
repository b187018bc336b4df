//! Who owns, as far as this gateway has heard, and how it asks for that; and how leadership is given back.

use super::peer_table::Peer;
use super::timing::succession_order;
use super::{ElectionEvent, LeaderElection, LeaseProof, Stage};
use crate::leadership::wire::Kind;
use crate::leadership::LeaseHolder;
use crate::peers::PeerId;
use crate::protocol::{Micros, Transmit};
use rand::seq::IndexedRandom;
use rand::Rng;

/// How long a gateway that has just begun waits for those that use another peer set, in leases.
pub(super) const PEER_SET_WAIT_LEASES: u64 = 3;
/// How long the one that a leader names waits, so that all have heard that leadership is free.
const RELEASE_SPREAD_TIME: Micros = 5_000;
/// A gateway that does not know the leader asks another so often in the time of a lease, and once more shortly before what
/// it knows is over.
pub(super) const LEADER_QUERIES_PER_LEASE: u64 = 3;
pub(super) const LEADER_QUERY_LEAD: Micros = 200_000;
pub(super) const MIN_LEADER_QUERY_INTERVAL: Micros = 350_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct KnownLeader {
    pub(super) leader: PeerId,
    pub(super) epoch: u64,
    pub(super) until: Micros,
}

impl LeaderElection {
    /// Who owns, as far as this gateway knows at this moment.
    pub(super) fn known_leader(&self, now: Micros) -> Option<KnownLeader> {
        if let Some(epoch) = self.epoch(now) {
            return Some(KnownLeader {
                leader: self.own.name,
                epoch,
                until: self.lease_until,
            });
        }
        // Of a epoch that another followed nothing is left, however long it was to last.
        let stands =
            |leader: &KnownLeader| now < leader.until && leader.epoch >= self.latest_epoch.0;
        self.announced_leader
            .filter(|leader| stands(leader) && leader.leader != self.own.name)
    }

    /// Another gateway says that it owns.
    pub(super) fn on_leader_announcement(
        &mut self,
        now: Micros,
        from: PeerId,
        stamp: LeaseProof,
        sends: &mut Vec<Transmit>,
    ) {
        if stamp.to_incarnation != self.own.incarnation {
            // It does not know yet that this is another process: the answer tells it.
            return;
        }
        if self.admit(now, from, stamp).is_ok() {
            self.peer_sets.mark_in_use();
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

    pub(super) fn follow(&mut self, now: Micros, leader: KnownLeader, sends: &mut Vec<Transmit>) {
        if self.released_lease.is_some_and(|(released, epoch, _)| {
            released.name == leader.leader && epoch == leader.epoch
        }) {
            // Whoever tells this has not heard that it gave leadership back.
            return;
        }
        let same = self
            .announced_leader
            .filter(|held| held.leader == leader.leader && held.epoch == leader.epoch);
        if same.is_none() {
            self.record_event(ElectionEvent::Leader(leader.leader, leader.epoch));
        }
        let until = same.map_or(leader.until, |held| held.until.max(leader.until));
        self.announced_leader = Some(KnownLeader { until, ..leader });
        if matches!(
            self.stage,
            Stage::Preparing { .. } | Stage::CollectingVotes { .. }
        ) {
            self.abandon_campaign(now, sends);
        }
        self.schedule_campaign(now);
    }

    /// A holder has given leadership back.
    pub(super) fn on_release(
        &mut self,
        now: Micros,
        holder: LeaseHolder,
        epoch: u64,
        next: PeerId,
    ) {
        self.voter.release(holder, epoch);
        self.released_lease = Some((holder, epoch, now + self.lease));
        let was_leader = self
            .announced_leader
            .is_some_and(|leader| leader.leader == holder.name && leader.epoch == epoch);
        if !was_leader {
            return;
        }
        self.announced_leader = self.announced_leader.map(|leader| KnownLeader {
            until: now.min(leader.until),
            ..leader
        });
        self.schedule_campaign(now);
        if next == self.own.name {
            self.campaign_at = now + RELEASE_SPREAD_TIME;
        } else {
            self.campaign_at = self.campaign_at.max(now + self.campaign_stagger());
        }
    }

    /// Asks another gateway who owns.
    pub(super) fn query_leader(&mut self, now: Micros, sends: &mut Vec<Transmit>) {
        let able = |name: &&PeerId| self.peers.contains_key(*name);
        let living: Vec<PeerId> = self.alive_peers.iter().filter(able).copied().collect();
        // Where few can be reached, who knew it last is the best to ask; now and then another.
        let known = self
            .last_leader_reporter
            .filter(|reporter| self.rng.random_bool(0.75) && self.peers.contains_key(reporter));
        let to = known.or_else(|| living.choose(&mut self.rng).copied());
        self.last_request_number = self.last_request_number.wrapping_add(1);
        if let Some(to) = to {
            self.leader_query = (self.last_request_number, now);
            self.send(now, to, Kind::QueryLeader(self.last_request_number), sends);
        }
        self.next_leader_query_at =
            now + MIN_LEADER_QUERY_INTERVAL.max(self.lease / LEADER_QUERIES_PER_LEASE);
    }

    /// Gives leadership back, if this gateway has it, so that this one may have it at once.
    pub(super) fn release_leadership(
        &mut self,
        now: Micros,
        next: PeerId,
        sends: &mut Vec<Transmit>,
    ) {
        let Some(epoch) = self.epoch(now) else { return };
        self.record_event(ElectionEvent::Released(epoch));
        self.voter.release(self.own, epoch);
        self.step_down(now);
        // Nobody says it again where it is lost: it is said twice. It is owed, so it costs no budget.
        for to in self.others().into_iter().chain(self.others()) {
            self.send_unbudgeted(now, to, Kind::Release { epoch, next }, sends);
        }
    }

    /// One of two or more that were told of another peer set, which this gateway's file does not name yet: they are to own, as
    /// only they can finish the change. One alone may have a file with a mistake.
    pub(super) fn peer_with_next_peer_set(&self, now: Micros) -> Option<PeerId> {
        let recent = |peer: &Peer| now < peer.last_heard_at + PEER_SET_WAIT_LEASES * self.lease;
        let told = self
            .peers
            .iter()
            .filter(|(_, peer)| recent(peer))
            .filter_map(|(name, peer)| {
                let of = |(other, held): &(&PeerId, &Peer)| {
                    *other != name && held.next_peer_set == peer.next_peer_set && recent(held)
                };
                (peer.next_peer_set.is_some() && self.peers.iter().any(|other| of(&other)))
                    .then_some(*name)
            });
        told.min_by_key(|name| succession_order(self.latest_epoch.0, *name))
    }
}
