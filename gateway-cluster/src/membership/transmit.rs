//! Sends datagrams within the budget. All datagrams of the membership protocol go through this module.
//!
//! Two token buckets bound the number and the bytes of datagrams in any interval. Each priority leaves a part of the
//! buckets to the higher ones, so that answers are sent before requests, and requests before gossip.

use super::member::Member;
use super::Membership;
use crate::protocol::{IndexedTransmit, Micros, PeerIndex, PeerState};
use crate::wire::{Datagram, MessageKind, Update, ViewSummary, HEADER_BYTES};

/// Capacity and rate of the bucket for datagrams.
pub(super) const MESSAGE_BURST: f64 = 14.0;
pub(super) const MESSAGES_PER_S: f64 = 8.6;
/// Capacity and rate of the bucket for bytes, with the headers of IP and UDP.
pub(super) const BYTE_BURST: f64 = 4500.0;
pub(super) const BYTES_PER_S: f64 = 1030.0;
/// Fraction of both buckets that requests leave to answers.
const RESERVED_FOR_ANSWERS: f64 = 0.05;
/// Fraction that gossip leaves to requests and answers.
const RESERVED_FOR_REQUESTS: f64 = 0.2;
/// Fraction that contacts of dead peers leave to all others.
const RESERVED_FOR_GOSSIP: f64 = 0.5;
/// Maximum number of updates piggybacked on a datagram with another purpose.
pub(super) const MAX_PIGGYBACKED_UPDATES: usize = 10;
/// Maximum number of updates in a datagram that is sent for them.
pub(super) const MAX_GOSSIP_UPDATES: usize = 160;

/// Number of urgent updates up to which the backlog is small: updates are gossiped, and transmitted more often.
pub(super) const SMALL_BACKLOG: usize = 16;
/// Transmissions of an update by each gateway while the backlog is small, and while it is large.
pub(super) const MAX_TRANSMISSIONS: u8 = 12;
const MAX_TRANSMISSIONS_LARGE_BACKLOG: u8 = 4;

/// Priority of a datagram, highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Priority {
    Answer,
    Request,
    Gossip,
    DeadPeerContact,
}

/// A message that is sent if the budget allows it.
pub(super) struct OutgoingMessage {
    pub(super) to: PeerIndex,
    pub(super) kind: MessageKind,
    /// Summary of this view, which requests an answer with what differs.
    pub(super) summary: Option<ViewSummary>,
    /// Peers whose updates the message carries.
    pub(super) updates_about: Vec<PeerIndex>,
    pub(super) priority: Priority,
}

impl Membership {
    /// Sends a datagram with up to `max_updates` updates: first the one about the receiver, if it is not alive, then those
    /// with the fewest transmissions. Returns whether the budget allowed it.
    pub(super) fn send(
        &mut self,
        now: Micros,
        to: PeerIndex,
        kind: MessageKind,
        max_updates: usize,
        priority: Priority,
        sends: &mut Vec<IndexedTransmit>,
    ) -> bool {
        let mut updates_about = Vec::new();
        if self.members[to].gossiped_state() != PeerState::Alive
            || self.members[to].has_stale_incarnation
        {
            updates_about.push(to);
        }
        let mut pending: Vec<(u8, PeerIndex)> = Vec::new();
        for (index, member) in self.members.iter().enumerate() {
            if let Some(sent) = member.transmissions.filter(|_| index != to) {
                // The update about this gateway goes first.
                pending.push((if index == self.own_index { 0 } else { sent }, index));
            }
        }
        let views_differ = self.is_update_backlog_large || now < self.views_differ_until;
        let wants_summary =
            views_differ && max_updates > 0 || self.was_recently_unreachable(now, to);
        let has_summary = kind == MessageKind::SyncRequest
            || wants_summary && matches!(kind, MessageKind::Ping(_) | MessageKind::Ack(_));
        let summary = has_summary.then(|| self.view_summary(now));
        if self.is_update_backlog_large && has_summary {
            // The answer to the summary has what differs; other updates would mostly be known already.
            pending.clear();
        }
        if priority < Priority::Gossip && !self.byte_budget.has(0.0, RESERVED_FOR_REQUESTS) {
            // With little budget, updates are left out so that answers can be sent.
            pending.clear();
        }
        let max_transmissions = if pending.len() <= SMALL_BACKLOG {
            MAX_TRANSMISSIONS
        } else {
            MAX_TRANSMISSIONS_LARGE_BACKLOG
        };
        pending.sort_unstable();
        pending.truncate(max_updates);
        updates_about.extend(pending.iter().map(|(_, index)| *index));
        let message = OutgoingMessage {
            to,
            kind,
            summary,
            updates_about,
            priority,
        };
        let was_sent = self.send_message(now, message, sends);
        if was_sent {
            for (_, index) in pending {
                let member = &mut self.members[index];
                member.transmissions = member
                    .transmissions
                    .map(|count| count + 1)
                    .filter(|count| *count < max_transmissions);
            }
        }
        was_sent
    }

    /// Sends a datagram with updates about these peers. Returns whether the budget allowed it.
    pub(super) fn send_updates(
        &mut self,
        now: Micros,
        to: PeerIndex,
        kind: MessageKind,
        updates_about: Vec<PeerIndex>,
        priority: Priority,
        sends: &mut Vec<IndexedTransmit>,
    ) -> bool {
        let message = OutgoingMessage {
            to,
            kind,
            summary: None,
            updates_about,
            priority,
        };
        self.send_message(now, message, sends)
    }

    /// Encodes and sends a message. Returns whether the budget allowed it.
    pub(super) fn send_message(
        &mut self,
        now: Micros,
        message: OutgoingMessage,
        sends: &mut Vec<IndexedTransmit>,
    ) -> bool {
        let OutgoingMessage {
            to,
            kind,
            summary,
            updates_about,
            priority,
        } = message;
        self.refill_budget(now);
        let reserved_fraction = match priority {
            Priority::Answer => 0.0,
            Priority::Request => RESERVED_FOR_ANSWERS,
            Priority::Gossip => RESERVED_FOR_REQUESTS,
            Priority::DeadPeerContact => RESERVED_FOR_GOSSIP,
        };
        if self.superseded || self.left || !self.message_budget.has(1.0, reserved_fraction) {
            return false;
        }
        let by_index = self.members[to]
            .peer_set_digest
            .is_none_or(|peers| peers == self.peers.digest());
        let updates = updates_about.iter().map(|index| {
            let Member { incarnation, .. } = self.members[*index];
            let peer = if by_index {
                *index as u32
            } else {
                self.peers.ids()[*index]
            };
            Update {
                peer,
                incarnation,
                status: self.members[*index].update_status(now, self.probe_period),
            }
        });
        let (bytes, _) = Datagram {
            peer_set_digest: self.peers.digest(),
            from: self.peers.ids()[self.own_index],
            incarnation: self.incarnation(),
            view_digest: self.dead_peers_digest(),
            kind,
            summary,
            by_index,
            updates: updates.collect(),
        }
        .encode();
        let size = (bytes.len() + HEADER_BYTES) as f64;
        if !self.byte_budget.has(size, reserved_fraction) {
            return false;
        }
        self.message_budget.take(1.0);
        self.byte_budget.take(size);
        self.sent.0 += 1;
        self.sent.1 += size as u64;
        sends.push(IndexedTransmit { to, bytes });
        true
    }

    /// A new number for a request.
    pub(super) fn next_number(&mut self) -> u32 {
        self.last_request_number = self.last_request_number.wrapping_add(1);
        self.last_request_number
    }

    pub(super) fn refill_budget(&mut self, now: Micros) {
        self.message_budget.fill(now);
        self.byte_budget.fill(now);
    }
}
