//! Healing of partitions: dead peers are contacted for ever, and a peer that returns vouches for the alive peers on its
//! side of the partition.

use super::member::Cause;
use super::transmit::Priority;
use super::Membership;
use crate::precedence;
use crate::protocol::{IndexedTransmit, Micros, PeerIndex, PeerState};
use crate::wire::{MessageKind, PeerSummary, ViewSummary};
use rand::seq::SliceRandom;
use rand::Rng;

/// Steps between two contacts of dead peers.
pub(super) const DEAD_CONTACT_STEPS: u64 = 10;
/// Steps after the return of a peer during which each gateway contacts a dead peer every time.
pub(super) const HEALING_STEPS: u64 = 60;
/// Mean number of contacts that each dead peer receives from the whole cluster in [`DEAD_CONTACT_STEPS`] steps.
const DEAD_PEER_CONTACTS: f64 = 2.0;

impl Membership {
    /// Draws whether this gateway contacts a dead peer now, such that the rate at which a dead peer is contacted does not
    /// depend on the size of the cluster.
    pub(super) fn should_contact_dead_peer(&mut self) -> bool {
        let reachable = self.count_not_dead();
        let chance =
            DEAD_PEER_CONTACTS * (self.members.len() - reachable) as f64 / reachable as f64;
        self.rng.random_bool(chance.min(1.0))
    }

    /// Contacts the next dead peer of the round. Each round visits all dead peers in a new random order.
    pub(super) fn contact_next_dead_peer(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>) {
        if self.dead_contact_round.is_empty() {
            self.dead_contact_round = (0..self.members.len())
                .filter(|index| self.members[*index].dead)
                .collect();
            self.dead_contact_round.shuffle(&mut self.rng);
        }
        while let Some(index) = self.dead_contact_round.pop() {
            if self.members[index].dead {
                return self.contact_dead_peer(now, index, sends);
            }
        }
    }

    /// Pings a dead peer. The ping carries the verdict, which the peer refutes if it is running.
    fn contact_dead_peer(
        &mut self,
        now: Micros,
        index: PeerIndex,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        let priority = if self.step < self.healing_until_step {
            Priority::Gossip
        } else {
            Priority::DeadPeerContact
        };
        let number = self.next_number();
        self.send(now, index, MessageKind::Ping(number), 0, priority, sends);
    }

    /// Whether a peer is dead or came back from the dead state recently.
    pub(super) fn was_recently_unreachable(&self, now: Micros, index: PeerIndex) -> bool {
        let member = &self.members[index];
        member.dead || member.returned_at.is_some_and(|at| self.is_recent(now, at))
    }

    /// Whether this process has observed the cluster for long enough to vouch for alive peers.
    pub(super) fn is_authoritative(&self, now: Micros) -> bool {
        !self.is_recent(now, self.watching_since)
    }

    /// Adopts the alive peers of a gateway on the other side of a healing partition. If each of them had to refute its
    /// verdict itself, healing would take as long as gossiping a refutation of each to all gateways. The incarnation is
    /// raised on their behalf, which overrides the verdicts everywhere; they adopt it when they receive it. The other
    /// gateway has to be authoritative and the same process as before the partition.
    pub(super) fn adopt_alive_peers_of(
        &mut self,
        now: Micros,
        from: PeerIndex,
        summary: &ViewSummary,
    ) {
        let member = &self.members[from];
        let rejoined = member.rejoined_at.is_some_and(|at| self.is_recent(now, at));
        if !summary.is_authoritative || !(member.dead || rejoined) {
            return;
        }
        for index in 0..self.members.len() {
            let member = &mut self.members[index];
            let is_alive_there = matches!(
                summary.get(index),
                PeerSummary::Alive | PeerSummary::IncarnationRaised
            );
            let before = member.state();
            if member.gossiped_state() != PeerState::Alive && !member.left && is_alive_there {
                member.incarnation = precedence::with_next_refutation(member.incarnation);
                (
                    member.dead,
                    member.suspicion,
                    member.transmissions,
                    member.urgent,
                ) = (false, None, None, false);
                (member.raised_at, member.returned_at, member.rejoined_at) =
                    (Some(now), Some(now), Some(now));
                self.record_change(now, index, before, Cause::ReportedBy(from));
            }
        }
    }
}
