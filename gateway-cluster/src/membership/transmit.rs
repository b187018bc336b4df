//! The one place that sends, and its budget.

use super::member::Member;
use super::updates::{FEW, TIMES_FEW, TIMES_MANY};
use super::Membership;
use crate::protocol::{IndexedTransmit, Micros, PeerIndex, PeerState};
use crate::wire::{Datagram, MessageKind, Update, ViewSummary, HEADER_BYTES};

/// What is sent in any ten seconds: the bucket's size and ten times its rate. Gossip and healing leave a part of it to
/// probes and answers.
pub(super) const MESSAGES: f64 = 14.0;
pub(super) const MESSAGES_PER_S: f64 = 8.6;
pub(super) const BYTES: f64 = 4500.0;
pub(super) const BYTES_PER_S: f64 = 1030.0;
/// Parts of both that questions leave to answers, news to questions, and calls at rest to news.
const KEPT_FOR_ANSWERS: f64 = 0.05;
const KEPT_FOR_QUESTIONS: f64 = 0.2;
const KEPT_FOR_NEWS: f64 = 0.5;
/// Most claims of a datagram that is for something else, and of one that is for them.
pub(super) const CLAIMS_BESIDE: usize = 10;
pub(super) const CLAIMS_ALONE: usize = 160;

/// What a datagram is sent for, dearest first: what is cheaper leaves a part of the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Class {
    Answer,
    Question,
    News,
    Call,
}

impl Membership {
    /// Sends with up to so many claims: what is held of the receiver, if that is not alive, then those sent least.
    pub(super) fn send(
        &mut self,
        now: Micros,
        to: PeerIndex,
        kind: MessageKind,
        most: usize,
        class: Class,
        sends: &mut Vec<IndexedTransmit>,
    ) -> bool {
        let mut claims = Vec::new();
        if self.members[to].told() != PeerState::Alive || self.members[to].behind {
            claims.push(to);
        }
        let mut fresh: Vec<(u8, PeerIndex)> = Vec::new();
        for (place, member) in self.members.iter().enumerate() {
            if let Some(sent) = member.sent.filter(|_| place != to) {
                // This gateway's own claim goes first.
                fresh.push((if place == self.me { 0 } else { sent }, place));
            }
        }
        let apart = self.much || now < self.apart_until;
        let marked = apart && most > 0 || self.was_apart(now, to);
        let asks = kind == MessageKind::SyncRequest
            || marked && matches!(kind, MessageKind::Ping(_) | MessageKind::Ack(_));
        let marks = asks.then(|| self.marks(now));
        if self.much && asks {
            // The answer tells what differs; many claims of which most are known would only take its room.
            fresh.clear();
        }
        if class < Class::News && !self.bytes.has(0.0, KEPT_FOR_QUESTIONS) {
            // Claims wait before answers do.
            fresh.clear();
        }
        let times = if fresh.len() <= FEW {
            TIMES_FEW
        } else {
            TIMES_MANY
        };
        fresh.sort_unstable();
        fresh.truncate(most);
        claims.extend(fresh.iter().map(|(_, place)| *place));
        let went = self.put_marked(now, to, kind, marks, claims, class, sends);
        if went {
            for (_, place) in fresh {
                let member = &mut self.members[place];
                member.sent = member
                    .sent
                    .map(|sent| sent + 1)
                    .filter(|sent| *sent < times);
            }
        }
        went
    }

    pub(super) fn put(
        &mut self,
        now: Micros,
        to: PeerIndex,
        kind: MessageKind,
        claims: Vec<PeerIndex>,
        class: Class,
        sends: &mut Vec<IndexedTransmit>,
    ) -> bool {
        self.put_marked(now, to, kind, None, claims, class, sends)
    }

    /// Sends if the budget allows it. What is not owed leaves some of it.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn put_marked(
        &mut self,
        now: Micros,
        to: PeerIndex,
        kind: MessageKind,
        marks: Option<ViewSummary>,
        claims: Vec<PeerIndex>,
        class: Class,
        sends: &mut Vec<IndexedTransmit>,
    ) -> bool {
        self.fill(now);
        let kept = match class {
            Class::Answer => 0.0,
            Class::Question => KEPT_FOR_ANSWERS,
            Class::News => KEPT_FOR_QUESTIONS,
            Class::Call => KEPT_FOR_NEWS,
        };
        if self.superseded || self.left || !self.messages.has(1.0, kept) {
            return false;
        }
        let by_index = self.members[to]
            .peers
            .is_none_or(|peers| peers == self.peers.digest());
        let updates = claims.iter().map(|place| {
            let Member { incarnation, .. } = self.members[*place];
            let peer = if by_index {
                *place as u32
            } else {
                self.peers.ids()[*place]
            };
            Update {
                peer,
                incarnation,
                status: self.members[*place].claim(now, self.probe),
            }
        });
        let (bytes, _) = Datagram {
            peer_set_digest: self.peers.digest(),
            from: self.peers.ids()[self.me],
            incarnation: self.incarnation(),
            view_digest: self.inner_digest(),
            kind,
            summary: marks,
            by_index,
            updates: updates.collect(),
        }
        .encode();
        let size = (bytes.len() + HEADER_BYTES) as f64;
        if !self.bytes.has(size, kept) {
            return false;
        }
        self.messages.take(1.0);
        self.bytes.take(size);
        self.sent.0 += 1;
        self.sent.1 += size as u64;
        sends.push(IndexedTransmit { to, bytes });
        true
    }

    /// The number of the next question.
    pub(super) fn next_number(&mut self) -> u32 {
        self.number = self.number.wrapping_add(1);
        self.number
    }

    pub(super) fn fill(&mut self, now: Micros) {
        self.messages.fill(now);
        self.bytes.fill(now);
    }
}
