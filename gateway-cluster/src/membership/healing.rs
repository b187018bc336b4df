//! Healing: dead gateways are called for ever, and who comes back is believed for those that live on its side.

use super::member::Cause;
use super::transmit::Class;
use super::Membership;
use crate::precedence;
use crate::protocol::{IndexedTransmit, Micros, PeerIndex, PeerState};
use crate::wire::{MessageKind, PeerSummary, ViewSummary};
use rand::seq::SliceRandom;
use rand::Rng;

/// Steps from one call to a dead gateway to the next, at rest and for so many steps after one has returned.
pub(super) const HEAL_STEPS: u64 = 10;
pub(super) const HEALING: u64 = 60;
/// Calls that a dead gateway gets, in the mean, in the time from one call of a gateway to its next.
const CALLS: f64 = 2.0;

impl Membership {
    /// Dead gateways are called as often however many call them: each about twice in the time of one call at the most.
    pub(super) fn is_its_turn(&mut self) -> bool {
        let living = self.living();
        let chance = CALLS * (self.members.len() - living) as f64 / living as f64;
        self.rng.random_bool(chance.min(1.0))
    }

    pub(super) fn call_a_dead_one(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>) {
        if self.calls.is_empty() {
            self.calls = (0..self.members.len())
                .filter(|place| self.members[*place].dead)
                .collect();
            self.calls.shuffle(&mut self.rng);
        }
        while let Some(place) = self.calls.pop() {
            if self.members[place].dead {
                return self.call(now, place, sends);
            }
        }
    }

    /// Tells a dead gateway what is held of it. Where it lives, it refutes that.
    fn call(&mut self, now: Micros, place: PeerIndex, sends: &mut Vec<IndexedTransmit>) {
        let class = if self.step < self.healing_until {
            Class::News
        } else {
            Class::Call
        };
        let number = self.next_number();
        self.send(now, place, MessageKind::Ping(number), 0, class, sends);
    }

    /// Whether a gateway was out of reach until not long ago, or is.
    pub(super) fn was_apart(&self, now: Micros, place: PeerIndex) -> bool {
        let member = &self.members[place];
        member.dead || member.returned.is_some_and(|at| self.is_recent(now, at))
    }

    /// Whether this life has seen the cluster for long enough to speak of who lives.
    pub(super) fn is_authoritative(&self, now: Micros) -> bool {
        !self.is_recent(now, self.watching)
    }

    /// Takes the word of a gateway that was out of reach for those that live on its side. Had each of them to refute its
    /// death by itself, healing would take as long as telling all of that to all. The incarnation is raised in their
    /// stead, so that the verdicts from before are over everywhere; they take it over once they hear of it. Only one
    /// that has watched its side for long, in the life that it had before, speaks for others.
    pub(super) fn believe(&mut self, now: Micros, from: PeerIndex, theirs: &ViewSummary) {
        let member = &self.members[from];
        let rejoined = member.rejoined.is_some_and(|at| self.is_recent(now, at));
        if !theirs.is_authoritative || !(member.dead || rejoined) {
            return;
        }
        for place in 0..self.members.len() {
            let member = &mut self.members[place];
            let lives = matches!(
                theirs.get(place),
                PeerSummary::Alive | PeerSummary::IncarnationRaised
            );
            let before = member.state();
            if member.told() != PeerState::Alive && !member.left && lives {
                member.incarnation = precedence::with_next_refutation(member.incarnation);
                (member.dead, member.doubt, member.sent, member.pressing) =
                    (false, None, None, false);
                (member.raised, member.returned, member.rejoined) =
                    (Some(now), Some(now), Some(now));
                self.note(now, place, before, Cause::ToldBy(from));
            }
        }
    }
}
