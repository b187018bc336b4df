//! When a gateway asks, and who is to ask before it.

use super::known_leader::{WHO, WHO_AHEAD, WHO_GAP};
use super::LeaderElection;
use crate::hash::mix;
use crate::peers::PeerId;
use crate::protocol::Micros;
use rand::Rng;

/// What is sent in any second: the bucket's size and its rate. Together they are the most of one second.
pub(super) const BURST: f64 = 20.0;
pub(super) const PER_SECOND: f64 = 130.0;
/// Renewals of one gateway in the time of a lease, where that many can be sent.
const RENEWALS: u64 = 4;
/// How long a round of questions takes beside the time that it takes to send them, and after how long one that was not
/// answered is asked once more.
const ANSWERS: Micros = 200_000;
pub(super) const AGAIN: Micros = 60_000;

impl LeaderElection {
    /// After how long a round of questions has failed: what was lost has been asked once more by then.
    pub(super) fn patience(&self) -> Micros {
        2 * self.round() - ANSWERS
    }

    /// The time from one that tries to the next one in turn: that of both rounds of the first, as a majority of the questions
    /// is enough for each.
    pub(super) fn turn(&self) -> Micros {
        self.round() * 3 / 2
    }

    /// The time that a round of questions to all takes.
    pub(super) fn round(&self) -> Micros {
        let names = self.peers.len() as u64;
        ANSWERS + names * 1_000_000 / PER_SECOND as u64
    }

    /// Those who may own next, in an order that is the same at all gateways which hold the same for living.
    pub(super) fn ranked(&self, epoch: u64) -> Vec<PeerId> {
        let last = self.claim.map(|claim| claim.leader);
        let able = |name: &&PeerId| self.peer_sets.has_now(**name) && **name != self.me.name;
        let mut ranked: Vec<PeerId> = self.living.iter().filter(able).copied().collect();
        ranked.sort_by_key(|name| (Some(*name) == last, order(epoch, *name)));
        ranked
    }

    /// How many others are to try before this gateway.
    fn rank(&self) -> u64 {
        let (epoch, own) = (self.fence.0, order(self.fence.0, self.me.name));
        let last = self.claim.map(|claim| claim.leader);
        let ranked = self.ranked(epoch);
        ranked
            .iter()
            .filter(|name| Some(**name) != last && order(epoch, **name) < own)
            .count() as u64
    }

    /// When this gateway asks for leadership, if nobody else has it by then.
    pub(super) fn plan(&mut self, now: Micros) {
        let over = self.claim.map_or(now, |claim| claim.until.max(now));
        let free = over.max(now + self.granter.quiet(now));
        // One after the other, and not two that hold different names for living at the same moment.
        self.at = free + self.rank() * self.turn() + self.some(AGAIN);
        let ahead = WHO_AHEAD.min(self.lease / 8);
        let soon = self
            .claim
            .map_or(now, |claim| claim.until.saturating_sub(ahead));
        self.who_at = soon
            .max(self.who.1 + WHO_GAP.min(self.lease / WHO))
            .max(now);
        self.set_next(now);
    }

    pub(super) fn some(&mut self, most: Micros) -> Micros {
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
    (lease / RENEWALS).max(others as Micros * 1_000_000 / PER_SECOND as Micros)
}

/// The shortest lease with which a leader can renew so many others: a lease that is renewed in turn is half a turn old in
/// the median, and has to last until the next turn.
pub fn min_lease(others: usize) -> Micros {
    renewal(0, others) * 13 / 10
}

/// Looks like chance, and is the same at all gateways.
pub(super) fn order(epoch: u64, name: PeerId) -> u64 {
    mix(epoch, u64::from(name))
}
