//! The leader that this gateway knows: from its announcements, from answers of other gateways, and until its release.

use super::peer_table::Peer;
use super::timing::{succession_order, LEADER_QUERIES_PER_LEASE, MIN_LEADER_QUERY_INTERVAL};
use super::{ElectionEvent, LeaderElection, LeaderQuery, LeaseProof, ReleasedLease, Stage};
use crate::leadership::wire::Kind;
use crate::leadership::LeaseHolder;
use crate::peers::PeerId;
use crate::protocol::{Micros, Transmit};
use rand::seq::IndexedRandom;
use rand::Rng;

/// Time, in leases, for which a report of another gateway's peer sets is considered recent.
pub(super) const PEER_SET_WAIT_LEASES: u64 = 3;
/// Delay before the named successor campaigns after a release, so that the release has reached all peers.
const RELEASE_SPREAD_TIME: Micros = 5_000;

/// A leader, its epoch and the end of its lease on this gateway's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct KnownLeader {
    pub(super) leader: PeerId,
    pub(super) epoch: u64,
    pub(super) until: Micros,
}

impl LeaderElection {
    /// The leader that this gateway knows now; itself while it is the leader.
    pub(super) fn known_leader(&self, now: Micros) -> Option<KnownLeader> {
        if let Some(epoch) = self.epoch(now) {
            return Some(KnownLeader {
                leader: self.own.name,
                epoch,
                until: self.lease_until,
            });
        }
        // A later epoch ends the lease of an earlier one, whatever its remaining time.
        let is_valid =
            |leader: &KnownLeader| now < leader.until && leader.epoch >= self.latest_epoch.epoch;
        self.announced_leader
            .filter(|leader| is_valid(leader) && leader.leader != self.own.name)
    }

    /// Handles the announcement of a leader, which is part of its renewals.
    pub(super) fn on_leader_announcement(
        &mut self,
        now: Micros,
        from: PeerId,
        stamp: LeaseProof,
        sends: &mut Vec<Transmit>,
    ) {
        if stamp.to_incarnation != self.own.incarnation {
            // The leader knows an earlier process of this name; the answer carries the new incarnation.
            return;
        }
        if self.admit(now, from, stamp).is_ok() {
            self.peer_sets.set_in_use();
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

    /// Accepts another gateway as leader, unless its release is known.
    pub(super) fn follow(&mut self, now: Micros, leader: KnownLeader, sends: &mut Vec<Transmit>) {
        if self.released_lease.is_some_and(|released| {
            released.holder.name == leader.leader && released.epoch == leader.epoch
        }) {
            // The report is older than the release of this lease.
            return;
        }
        let current = self
            .announced_leader
            .filter(|current| current.leader == leader.leader && current.epoch == leader.epoch);
        if current.is_none() {
            self.record_event(ElectionEvent::Leader(leader.leader, leader.epoch));
        }
        let until = current.map_or(leader.until, |current| current.until.max(leader.until));
        self.announced_leader = Some(KnownLeader { until, ..leader });
        if matches!(
            self.stage,
            Stage::Preparing { .. } | Stage::CollectingVotes { .. }
        ) {
            self.abandon_campaign(now, sends);
        }
        self.schedule_campaign(now);
    }

    /// Handles the release of a lease by its holder.
    pub(super) fn on_release(
        &mut self,
        now: Micros,
        holder: LeaseHolder,
        epoch: u64,
        next: PeerId,
    ) {
        self.voter.release(holder, epoch);
        self.released_lease = Some(ReleasedLease {
            holder,
            epoch,
            reported_until: now + self.lease,
        });
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

    /// Queries a peer for the leader.
    pub(super) fn query_leader(&mut self, now: Micros, sends: &mut Vec<Transmit>) {
        let is_peer = |name: &&PeerId| self.peers.contains_key(*name);
        let alive: Vec<PeerId> = self.alive_peers.iter().filter(is_peer).copied().collect();
        // The peer that last knew the leader is queried again with a probability of 3/4: it is reachable.
        let reporter = self
            .last_leader_reporter
            .filter(|reporter| self.rng.random_bool(0.75) && self.peers.contains_key(reporter));
        let to = reporter.or_else(|| alive.choose(&mut self.rng).copied());
        self.last_request_number = self.last_request_number.wrapping_add(1);
        if let Some(to) = to {
            self.leader_query = LeaderQuery {
                number: self.last_request_number,
                sent_at: now,
            };
            self.send(now, to, Kind::QueryLeader(self.last_request_number), sends);
        }
        self.next_leader_query_at =
            now + MIN_LEADER_QUERY_INTERVAL.max(self.lease / LEADER_QUERIES_PER_LEASE);
    }

    /// Releases the lease, if this gateway is the leader, so that `next` can be elected at once.
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
        // A lost release is not repeated later, so it is sent twice, outside the budget.
        for to in self.others().into_iter().chain(self.others()) {
            self.send_unbudgeted(now, to, Kind::Release { epoch, next }, sends);
        }
    }

    /// A peer that is configured with a later peer set than this gateway, if at least two peers are: only these can complete
    /// the change, so one of them should lead. A single peer may be misconfigured.
    pub(super) fn peer_with_next_peer_set(&self, now: Micros) -> Option<PeerId> {
        let is_recent =
            |peer: &Peer| now < peer.last_received_at + PEER_SET_WAIT_LEASES * self.lease;
        let candidates = self
            .peers
            .iter()
            .filter(|(_, peer)| is_recent(peer))
            .filter_map(|(name, peer)| {
                let agrees = |(other, other_peer): &(&PeerId, &Peer)| {
                    *other != name
                        && other_peer.next_peer_set == peer.next_peer_set
                        && is_recent(other_peer)
                };
                (peer.next_peer_set.is_some() && self.peers.iter().any(|other| agrees(&other)))
                    .then_some(*name)
            });
        candidates.min_by_key(|name| succession_order(self.latest_epoch.epoch, *name))
    }
}
