//! Times of campaigns, renewals and leader queries. Gateways campaign one after the other, in an order that is derived from
//! the epoch, with a random delay.

use super::LeaderElection;
use crate::hash::mix;
use crate::peers::PeerId;
use crate::protocol::Micros;
use rand::Rng;

/// Capacity of the token bucket for datagrams, and its rate. Their sum bounds the datagrams of any second.
pub(super) const DATAGRAM_BURST: f64 = 20.0;
pub(super) const DATAGRAMS_PER_S: f64 = 130.0;
/// Renewals of a vote in the time of a lease, if the budget allows as many.
const RENEWALS_PER_LEASE: u64 = 4;
/// Time allowed for the answers of a round of requests, beside the time to send them, in microseconds.
const ANSWER_TIME: Micros = 200_000;
/// Time after which an unanswered request is repeated, in microseconds.
pub(super) const RETRY_INTERVAL: Micros = 60_000;

/// Leader queries per lease of a gateway that does not know the leader.
pub(super) const LEADER_QUERIES_PER_LEASE: u64 = 3;
/// Time before the known lease expires at which a gateway queries the leader again.
const LEADER_QUERY_LEAD: Micros = 200_000;
/// Minimum time between two leader queries.
pub(super) const MIN_LEADER_QUERY_INTERVAL: Micros = 350_000;

impl LeaderElection {
    /// Timeout of a round of requests; lost ones have been repeated by then.
    pub(super) fn round_timeout(&self) -> Micros {
        2 * self.round_duration() - ANSWER_TIME
    }

    /// Time between the campaigns of two successive candidates: enough for the two rounds of the first, each of which needs
    /// the answers of a majority only.
    pub(super) fn campaign_stagger(&self) -> Micros {
        self.round_duration() * 3 / 2
    }

    /// Time of a round of requests to all peers.
    pub(super) fn round_duration(&self) -> Micros {
        let names = self.peers.len() as u64;
        ANSWER_TIME + names * 1_000_000 / DATAGRAMS_PER_S as u64
    }

    /// The possible next leaders, best first. Gateways with the same membership have the same order. The last leader is last.
    pub(super) fn ranked_successors(&self, epoch: u64) -> Vec<PeerId> {
        let last_leader = self.announced_leader.map(|leader| leader.leader);
        let is_candidate =
            |name: &&PeerId| self.peer_sets.has_current(**name) && **name != self.own.name;
        let mut ranked: Vec<PeerId> = self
            .alive_peers
            .iter()
            .filter(is_candidate)
            .copied()
            .collect();
        ranked.sort_by_key(|name| (Some(*name) == last_leader, succession_order(epoch, *name)));
        ranked
    }

    /// Number of peers that campaign before this gateway.
    fn campaign_rank(&self) -> u64 {
        let (epoch, own) = (
            self.latest_epoch.epoch,
            succession_order(self.latest_epoch.epoch, self.own.name),
        );
        let last_leader = self.announced_leader.map(|leader| leader.leader);
        let ranked = self.ranked_successors(epoch);
        ranked
            .iter()
            .filter(|name| Some(**name) != last_leader && succession_order(epoch, **name) < own)
            .count() as u64
    }

    /// Schedules the next campaign and the next leader query.
    pub(super) fn schedule_campaign(&mut self, now: Micros) {
        let lease_end = self
            .announced_leader
            .map_or(now, |leader| leader.until.max(now));
        let earliest = lease_end.max(now + self.voter.quiet_time_left(now));
        // A random delay, as gateways with different memberships may compute the same rank.
        self.campaign_at = earliest
            + self.campaign_rank() * self.campaign_stagger()
            + self.random_up_to(RETRY_INTERVAL);
        let lead = LEADER_QUERY_LEAD.min(self.lease / 8);
        let before_expiry = self
            .announced_leader
            .map_or(now, |leader| leader.until.saturating_sub(lead));
        self.next_leader_query_at = before_expiry
            .max(
                self.leader_query.sent_at
                    + MIN_LEADER_QUERY_INTERVAL.min(self.lease / LEADER_QUERIES_PER_LEASE),
            )
            .max(now);
        self.update_next_wakeup(now);
    }

    /// A random time up to `max`.
    pub(super) fn random_up_to(&mut self, max: Micros) -> Micros {
        self.rng.random_range(0..=max)
    }

    /// Time between two renewals of a leader at one peer.
    pub(super) fn renewal(&self) -> Micros {
        renewal(self.lease, self.peers.len())
    }
}

/// Time between two renewals of a leader at one peer: a quarter of the lease, or what the budget allows for this number of
/// other gateways.
pub fn renewal(lease: Micros, others: usize) -> Micros {
    (lease / RENEWALS_PER_LEASE).max(others as Micros * 1_000_000 / DATAGRAMS_PER_S as Micros)
}

/// The shortest lease that a leader can renew at this number of other gateways within the budget. The votes of the median
/// peer are half a renewal interval old, and they have to last until the next renewal.
pub fn min_lease(others: usize) -> Micros {
    renewal(0, others) * 13 / 10
}

/// The pseudo-random position of a peer in the order of candidates, the same at all gateways.
pub(super) fn succession_order(epoch: u64, name: PeerId) -> u64 {
    mix(epoch, u64::from(name))
}
