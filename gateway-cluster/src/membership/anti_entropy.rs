//! What two views differ in, and telling it.

use super::member::Member;
use super::transmit::{Class, CLAIMS_ALONE};
use super::Membership;
use crate::hash::mix;
use crate::protocol::{IndexedTransmit, Micros, PeerIndex, PeerState};
use crate::wire::{MessageKind, PeerSummary, ViewSummary};
use rand::Rng;

/// Probe periods between two exchanges of what differs: where digests differ, and where peer sets do; and by how much
/// they grow while exchanges change nothing.
pub(super) const COMPARE_PERIODS: f64 = 0.6;
pub(super) const COMPARE_PEER_SETS: f64 = 8.0;
const COMPARE_MORE: f64 = 1.5;
/// Most claims of an answer that tells what differs; bytes of a claim, about, and of what is beside them.
const CLAIMS_ANSWERED: usize = 60;
const CLAIM_BYTES: f64 = 9.0;
const TELL_BESIDE: f64 = 60.0;
/// Most claims that are told where only incarnations differ.
const GONE_MOST: usize = 40;

/// What two views differ in.
#[derive(Debug, Default)]
pub(super) struct Differs {
    /// What one can tell the other.
    pub(super) tells: Vec<PeerIndex>,
    /// The other can tell this one something.
    pub(super) lacks: bool,
}

impl Membership {
    /// Of what others are told: who is gone, in which incarnation.
    pub(super) fn inner_digest(&self) -> u32 {
        // Those who live are told by nobody, and by themselves with all that they send.
        let held = self.peers.ids().iter().zip(&self.members);
        let dead = held.filter(|(_, member)| member.dead);
        dead.fold(0, |sum, (id, member)| {
            sum ^ mix(u64::from(*id), member.incarnation)
        }) as u32
    }

    pub(super) fn marks(&self, now: Micros) -> ViewSummary {
        let mut marks = ViewSummary::all_alive(self.members.len());
        marks.is_authoritative = self.is_authoritative(now);
        for (place, member) in self.members.iter().enumerate() {
            marks.set(place, self.mark(now, member));
        }
        marks
    }

    fn mark(&self, now: Micros, member: &Member) -> PeerSummary {
        match member.told() {
            PeerState::Dead => PeerSummary::Dead,
            PeerState::Suspect => PeerSummary::Suspect,
            PeerState::Alive if member.raised.is_some_and(|at| self.is_recent(now, at)) => {
                PeerSummary::IncarnationRaised
            }
            PeerState::Alive => PeerSummary::Alive,
        }
    }

    pub(super) fn compare(
        &mut self,
        now: Micros,
        with: PeerIndex,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        if self.send(now, with, MessageKind::SyncRequest, 0, Class::News, sends) {
            self.compared = now;
            // Where exchanges change nothing the next one waits longer.
            self.compare_gap = (COMPARE_MORE * self.compare_gap).min(COMPARE_PEER_SETS);
        }
    }

    /// What another view lacks of this one, from a place drawn at random on, and whether this one lacks something.
    pub(super) fn what_differs(
        &mut self,
        now: Micros,
        from: PeerIndex,
        theirs: &ViewSummary,
    ) -> Differs {
        self.believe(now, from, theirs);
        let names = self.members.len();
        let first = self.rng.random_range(0..names);
        let mut differs = Differs::default();
        for place in (0..names).map(|n| (first + n) % names) {
            let held = match self.mark(now, &self.members[place]) {
                PeerSummary::Alive if place == self.me => PeerSummary::IncarnationRaised,
                held => held,
            };
            let theirs = theirs.get(place);
            let gone = matches!(theirs, PeerSummary::Suspect | PeerSummary::Dead);
            if let Some(doubt) = self.members[place].doubt.as_mut().filter(|_| gone) {
                // Another that doubts it has no refutation either.
                doubt.confirmed |= doubt.is_strong();
            }
            match (held, theirs) {
                _ if place == from || held == theirs => {}
                (PeerSummary::Alive, PeerSummary::IncarnationRaised)
                | (PeerSummary::IncarnationRaised, PeerSummary::Alive) => {}
                (PeerSummary::Alive, _)
                | (PeerSummary::Suspect | PeerSummary::Dead, PeerSummary::IncarnationRaised) => {
                    differs.lacks = true
                }
                (PeerSummary::Suspect, PeerSummary::Dead) => differs.lacks = true,
                // What lives goes before what is gone: a refutation has to outrun the doubt.
                (PeerSummary::IncarnationRaised, _) => differs.tells.insert(0, place),
                _ => differs.tells.push(place),
            }
        }
        differs
    }

    /// All that are gone, from one drawn at random on: for a view with another peer set, or one that agrees on who is
    /// gone and not on the incarnation.
    pub(super) fn all_gone(&mut self) -> Differs {
        let mut tells: Vec<PeerIndex> = (0..self.members.len())
            .filter(|place| self.members[*place].dead)
            .collect();
        if !tells.is_empty() {
            let first = self.rng.random_range(0..tells.len());
            tells.rotate_left(first);
            tells.truncate(GONE_MOST);
        }
        Differs {
            tells,
            lacks: false,
        }
    }

    /// Tells what differs, as much as an answer holds, with marks where the other can tell something in turn. An
    /// answer to a ping goes in any case.
    pub(super) fn tell(
        &mut self,
        now: Micros,
        to: PeerIndex,
        kind: MessageKind,
        differs: &Differs,
        may_ask: bool,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        let mut tells: Vec<PeerIndex> = Vec::new();
        if self.members[to].told() != PeerState::Alive || self.members[to].behind {
            // What is held of itself comes first: it can refute that.
            tells.push(to);
        }
        tells.extend(differs.tells.iter().filter(|place| **place != to));
        let owed = matches!(kind, MessageKind::Ack(_));
        let most = if owed { CLAIMS_ANSWERED } else { CLAIMS_ALONE };
        let asks = may_ask && differs.lacks || owed && self.was_apart(now, to);
        // A part of it is better than nothing where the budget is nearly spent.
        self.fill(now);
        let room = (self.bytes.level() - TELL_BESIDE) / CLAIM_BYTES;
        tells.truncate(most.min(room.max(0.0) as usize));
        if tells.is_empty() && !asks && !owed {
            return;
        }
        let marks = asks.then(|| self.marks(now));
        let went = self.put_marked(
            now,
            to,
            kind.clone(),
            marks,
            tells.clone(),
            Class::Answer,
            sends,
        );
        if went {
            for place in tells {
                let member = &mut self.members[place];
                member.sent = member.sent.map(|sent| sent.saturating_add(1));
            }
        } else if owed {
            self.put(now, to, kind, Vec::new(), Class::Answer, sends);
        }
    }

    /// Tells a gateway what it is behind in, with an answer that is owed.
    pub(super) fn tell_newer(
        &mut self,
        now: Micros,
        to: PeerIndex,
        behind: Vec<PeerIndex>,
        kind: MessageKind,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        let newer: Vec<PeerIndex> = behind.into_iter().take(CLAIMS_ALONE).collect();
        let owed = matches!(kind, MessageKind::ConfirmResponse(_));
        if owed || !newer.is_empty() {
            let class = if owed { Class::Answer } else { Class::Question };
            self.put(now, to, kind, newer, class, sends);
        }
    }
}
