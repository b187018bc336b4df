//! When a gateway asks, and who is to ask before it.

use super::known_leader::{LEADER_QUERIES_PER_LEASE, LEADER_QUERY_LEAD, MIN_LEADER_QUERY_INTERVAL};
use super::LeaderElection;
use crate::hash::mix;
use crate::peers::PeerId;
use crate::protocol::Micros;
use rand::Rng;

/// What is sent in any second: the bucket's size and its rate. Together they are the most of one second.
pub(super) const DATAGRAM_BURST: f64 = 20.0;
pub(super) const DATAGRAMS_PER_S: f64 = 130.0;
/// Renewals of one gateway in the time of a lease, where that many can be sent.
const RENEWALS_PER_LEASE: u64 = 4;
/// How long a round of questions takes beside the time that it takes to send them, and after how long one that was not
/// answered is asked once more.
const ANSWER_TIME: Micros = 200_000;
pub(super) const RETRY_INTERVAL: Micros = 60_000;

impl LeaderElection {
    /// After how long a round of questions has failed: what was lost has been asked once more by then.
    pub(super) fn round_timeout(&self) -> Micros {
        2 * self.round_duration() - ANSWER_TIME
    }

    /// The time from one that tries to the next one in turn: that of both rounds of the first, as a majority of the questions
    /// is enough for each.
    pub(super) fn campaign_stagger(&self) -> Micros {
        self.round_duration() * 3 / 2
    }

    /// The time that a round of questions to all takes.
    pub(super) fn round_duration(&self) -> Micros {
        let names = self.peers.len() as u64;
        ANSWER_TIME + names * 1_000_000 / DATAGRAMS_PER_S as u64
    }

    /// Those who may own next, in an order that is the same at all gateways which hold the same for living.
    pub(super) fn ranked_successors(&self, epoch: u64) -> Vec<PeerId> {
        let last = self.announced_leader.map(|leader| leader.leader);
        let able = |name: &&PeerId| self.peer_sets.has_current(**name) && **name != self.own.name;
        let mut ranked: Vec<PeerId> = self.alive_peers.iter().filter(able).copied().collect();
        ranked.sort_by_key(|name| (Some(*name) == last, succession_order(epoch, *name)));
        ranked
    }

    /// How many others are to try before this gateway.
    fn campaign_rank(&self) -> u64 {
        let (epoch, own) = (
            self.latest_epoch.0,
            succession_order(self.latest_epoch.0, self.own.name),
        );
        let last = self.announced_leader.map(|leader| leader.leader);
        let ranked = self.ranked_successors(epoch);
        ranked
            .iter()
            .filter(|name| Some(**name) != last && succession_order(epoch, **name) < own)
            .count() as u64
    }

    /// When this gateway asks for leadership, if nobody else has it by then.
    pub(super) fn schedule_campaign(&mut self, now: Micros) {
        let deadline = self
            .announced_leader
            .map_or(now, |leader| leader.until.max(now));
        let rejected_until = deadline.max(now + self.voter.quiet_time_left(now));
        // One after the other, and not two that hold different names for living at the same moment.
        self.campaign_at = rejected_until
            + self.campaign_rank() * self.campaign_stagger()
            + self.random_up_to(RETRY_INTERVAL);
        let ahead = LEADER_QUERY_LEAD.min(self.lease / 8);
        let soon = self
            .announced_leader
            .map_or(now, |leader| leader.until.saturating_sub(ahead));
        self.next_leader_query_at = soon
            .max(
                self.leader_query.1
                    + MIN_LEADER_QUERY_INTERVAL.min(self.lease / LEADER_QUERIES_PER_LEASE),
            )
            .max(now);
        self.update_next_wakeup(now);
    }

    pub(super) fn random_up_to(&mut self, most: Micros) -> Micros {
        self.rng.random_range(0..=most)
    }

    /// The time from one question to a gateway to the next, as a holder.
    pub(super) fn renewal(&self) -> Micros {
        renewal(self.lease, self.peers.len())
    }
}

/// The time from one question of a holder to a gateway to the next: four in a lease, or as the budget allows for so many
/// others.
pub fn renewal(lease: Micros, others: usize) -> Micros {
    (lease / RENEWALS_PER_LEASE).max(others as Micros * 1_000_000 / DATAGRAMS_PER_S as Micros)
}

/// The shortest lease with which a leader can renew so many others: a lease that is renewed in turn is half a turn old in
/// the median, and has to last until the next turn.
pub fn min_lease(others: usize) -> Micros {
    renewal(0, others) * 13 / 10
}

/// Looks like chance, and is the same at all gateways.
pub(super) fn succession_order(epoch: u64, name: PeerId) -> u64 {
    mix(epoch, u64::from(name))
}
