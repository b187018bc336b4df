//! Anti-entropy between two views: each gateway compares a summary of the other's view with its own and sends the
//! updates that the other lacks.
//!
//! All datagrams carry a digest of the sender's dead peers. If digests differ, a gateway sends a sync request with its
//! summary; the answer has the differing updates.

use super::member::Member;
use super::transmit::{OutgoingMessage, Priority, MAX_GOSSIP_UPDATES};
use super::Membership;
use crate::hash::mix;
use crate::protocol::{IndexedTransmit, Micros, PeerIndex, PeerState};
use crate::wire::{MessageKind, PeerSummary, ViewSummary};
use rand::Rng;

/// Initial and maximum time between two sync requests, in probe periods, and the factor by which it grows with each
/// request. A change of state resets it. With another peer set the maximum applies.
pub(super) const SYNC_INTERVAL_PERIODS: f64 = 0.6;
pub(super) const SYNC_MAX_INTERVAL_PERIODS: f64 = 8.0;
const SYNC_INTERVAL_GROWTH: f64 = 1.5;
/// Maximum number of differing updates in an ack.
const MAX_UPDATES_IN_ACK: usize = 60;
/// Estimated size of an encoded update and of the rest of a datagram, in bytes.
const UPDATE_BYTES: f64 = 9.0;
const SYNC_OVERHEAD_BYTES: f64 = 60.0;
/// Maximum number of dead peers sent where only incarnations differ.
const MAX_DEAD_PEERS_SENT: usize = 40;

/// The differences between this view and another one.
#[derive(Debug, Default)]
pub(super) struct ViewDifferences {
    /// Peers about which this gateway has a newer update.
    pub(super) to_send: Vec<PeerIndex>,
    /// The other gateway has a newer update about some peer.
    pub(super) other_is_newer: bool,
}

impl ViewDifferences {
    /// Whether the two views agree.
    pub(super) fn is_empty(&self) -> bool {
        self.to_send.is_empty() && !self.other_is_newer
    }
}

impl Membership {
    /// Digest of the dead peers and their incarnations. It is independent of their order.
    pub(super) fn dead_peers_digest(&self) -> u32 {
        // Alive peers are left out: each announces its incarnation with all its datagrams.
        let states = self.peers.ids().iter().zip(&self.members);
        let dead = states.filter(|(_, member)| member.dead);
        dead.fold(0, |sum, (id, member)| {
            sum ^ mix(u64::from(*id), member.incarnation)
        }) as u32
    }

    /// The summary of this view.
    pub(super) fn view_summary(&self, now: Micros) -> ViewSummary {
        let mut summary = ViewSummary::all_alive(self.members.len());
        summary.is_authoritative = self.is_authoritative(now);
        for (index, member) in self.members.iter().enumerate() {
            summary.set(index, self.peer_summary(now, member));
        }
        summary
    }

    fn peer_summary(&self, now: Micros, member: &Member) -> PeerSummary {
        match member.gossiped_state() {
            PeerState::Dead => PeerSummary::Dead,
            PeerState::Suspect => PeerSummary::Suspect,
            PeerState::Alive if member.raised_at.is_some_and(|at| self.is_recent(now, at)) => {
                PeerSummary::IncarnationRaised
            }
            PeerState::Alive => PeerSummary::Alive,
        }
    }

    /// Requests the differences to another gateway's view.
    pub(super) fn send_sync_request(
        &mut self,
        now: Micros,
        to: PeerIndex,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        if self.send(
            now,
            to,
            MessageKind::SyncRequest,
            0,
            Priority::Gossip,
            sends,
        ) {
            self.last_sync_at = now;
            // Exponential backoff while exchanges change nothing.
            self.sync_interval_periods =
                (SYNC_INTERVAL_GROWTH * self.sync_interval_periods).min(SYNC_MAX_INTERVAL_PERIODS);
        }
    }

    /// Compares this view with another gateway's summary. The order of the result starts at a random index, as an answer may
    /// hold only a part of it.
    pub(super) fn differences_to(
        &mut self,
        now: Micros,
        from: PeerIndex,
        theirs: &ViewSummary,
    ) -> ViewDifferences {
        self.adopt_alive_peers_of(now, from, theirs);
        let names = self.members.len();
        let first = self.rng.random_range(0..names);
        let mut differences = ViewDifferences::default();
        for index in (0..names).map(|n| (first + n) % names) {
            let known = match self.peer_summary(now, &self.members[index]) {
                PeerSummary::Alive if index == self.own_index => PeerSummary::IncarnationRaised,
                known => known,
            };
            let theirs = theirs.get(index);
            let considers_dead = matches!(theirs, PeerSummary::Suspect | PeerSummary::Dead);
            if let Some(suspicion) = self.members[index]
                .suspicion
                .as_mut()
                .filter(|_| considers_dead)
            {
                // The other gateway suspects the peer too, so it knows no refutation.
                suspicion.confirmed |= suspicion.is_gossiped();
            }
            match (known, theirs) {
                _ if index == from || known == theirs => {}
                (PeerSummary::Alive, PeerSummary::IncarnationRaised)
                | (PeerSummary::IncarnationRaised, PeerSummary::Alive) => {}
                (PeerSummary::Alive, _)
                | (PeerSummary::Suspect | PeerSummary::Dead, PeerSummary::IncarnationRaised) => {
                    differences.other_is_newer = true;
                }
                (PeerSummary::Suspect, PeerSummary::Dead) => differences.other_is_newer = true,
                // Refutations go first: they have to overtake the suspicion.
                (PeerSummary::IncarnationRaised, _) => differences.to_send.insert(0, index),
                _ => differences.to_send.push(index),
            }
        }
        differences
    }

    /// Up to [`MAX_DEAD_PEERS_SENT`] dead peers from a random one on: for a gateway with another peer set, or one whose view
    /// differs only in the incarnations of dead peers.
    pub(super) fn dead_peers(&mut self) -> ViewDifferences {
        let mut to_send: Vec<PeerIndex> = (0..self.members.len())
            .filter(|index| self.members[*index].dead)
            .collect();
        if !to_send.is_empty() {
            let first = self.rng.random_range(0..to_send.len());
            to_send.rotate_left(first);
            to_send.truncate(MAX_DEAD_PEERS_SENT);
        }
        ViewDifferences {
            to_send,
            other_is_newer: false,
        }
    }

    /// Sends the differing updates, as many as fit into the datagram and the budget. A summary is added if the other gateway
    /// has newer updates. An ack is sent in any case.
    pub(super) fn send_differences(
        &mut self,
        now: Micros,
        to: PeerIndex,
        kind: MessageKind,
        differences: &ViewDifferences,
        may_request_answer: bool,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        let mut to_send: Vec<PeerIndex> = Vec::new();
        if self.members[to].gossiped_state() != PeerState::Alive
            || self.members[to].has_stale_incarnation
        {
            // The update about the receiver goes first: it can refute it.
            to_send.push(to);
        }
        to_send.extend(differences.to_send.iter().filter(|index| **index != to));
        let is_ack = matches!(kind, MessageKind::Ack(_));
        let max_updates = if is_ack {
            MAX_UPDATES_IN_ACK
        } else {
            MAX_GOSSIP_UPDATES
        };
        let requests_answer = may_request_answer && differences.other_is_newer
            || is_ack && self.was_recently_unreachable(now, to);
        // With little budget a part of the updates is sent.
        self.refill_budget(now);
        let affordable = (self.byte_budget.level() - SYNC_OVERHEAD_BYTES) / UPDATE_BYTES;
        to_send.truncate(max_updates.min(affordable.max(0.0) as usize));
        if to_send.is_empty() && !requests_answer && !is_ack {
            return;
        }
        let message = OutgoingMessage {
            to,
            kind: kind.clone(),
            summary: requests_answer.then(|| self.view_summary(now)),
            updates_about: to_send.clone(),
            priority: Priority::Answer,
        };
        let was_sent = self.send_message(now, message, sends);
        if was_sent {
            for index in to_send {
                let member = &mut self.members[index];
                member.transmissions = member.transmissions.map(|count| count.saturating_add(1));
            }
        } else if is_ack {
            self.send_updates(now, to, kind, Vec::new(), Priority::Answer, sends);
        }
    }

    /// Sends newer updates about the peers for which another gateway's updates were outdated. A confirm response is sent
    /// even without updates.
    pub(super) fn send_newer_updates(
        &mut self,
        now: Micros,
        to: PeerIndex,
        outdated: Vec<PeerIndex>,
        kind: MessageKind,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        let newer: Vec<PeerIndex> = outdated.into_iter().take(MAX_GOSSIP_UPDATES).collect();
        let is_response = matches!(kind, MessageKind::ConfirmResponse(_));
        if is_response || !newer.is_empty() {
            let priority = if is_response {
                Priority::Answer
            } else {
                Priority::Request
            };
            self.send_updates(now, to, kind, newer, priority, sends);
        }
    }
}
