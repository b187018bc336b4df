//! Healing: dead doors are called for ever, and who comes back is believed for those that live on its side.

use super::member::Cause;
use super::sending::Class;
use super::View;
use crate::engine::{Micros, Place, Send, State};
use crate::rules;
use crate::wire::{Kind, Mark, Marks};
use rand::seq::SliceRandom;
use rand::Rng;

/// Steps from one call to a dead door to the next, at rest and for so many steps after one has returned.
pub(super) const HEAL_STEPS: u64 = 10;
pub(super) const HEALING: u64 = 60;
/// Calls that a dead door gets, in the mean, in the time from one call of a door to its next.
const CALLS: f64 = 2.0;

impl View {
    /// Dead doors are called as often however many call them: each about twice in the time of one call at the most.
    pub(super) fn is_its_turn(&mut self) -> bool {
        let living = self.living();
        let chance = CALLS * (self.members.len() - living) as f64 / living as f64;
        self.rng.random_bool(chance.min(1.0))
    }

    pub(super) fn call_a_dead_one(&mut self, now: Micros, sends: &mut Vec<Send>) {
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

    /// Tells a dead door what is held of it. Where it lives, it refutes that.
    fn call(&mut self, now: Micros, place: Place, sends: &mut Vec<Send>) {
        let class = if self.step < self.healing_until {
            Class::News
        } else {
            Class::Call
        };
        let number = self.next_number();
        self.send(now, place, Kind::Ping(number), 0, class, sends);
    }

    /// Whether a door was out of reach until not long ago, or is.
    pub(super) fn was_apart(&self, now: Micros, place: Place) -> bool {
        let member = &self.members[place];
        member.dead || member.returned.is_some_and(|at| self.is_recent(now, at))
    }

    /// Whether this life has seen the fleet for long enough to speak of who lives.
    pub(super) fn vouches(&self, now: Micros) -> bool {
        !self.is_recent(now, self.watching)
    }

    /// Takes the word of a door that was out of reach for those that live on its side. Had each of them to refute its
    /// death by itself, healing would take as long as telling all of that to all. The incarnation is raised in their
    /// stead, so that the verdicts from before are over everywhere; they take it over once they hear of it. Only one
    /// that has watched its side for long, in the life that it had before, speaks for others.
    pub(super) fn believe(&mut self, now: Micros, from: Place, theirs: &Marks) {
        let member = &self.members[from];
        let rejoined = member.rejoined.is_some_and(|at| self.is_recent(now, at));
        if !theirs.vouches || !(member.dead || rejoined) {
            return;
        }
        for place in 0..self.members.len() {
            let member = &mut self.members[place];
            let lives = matches!(theirs.get(place), Mark::Alive | Mark::Raised);
            let before = member.state();
            if member.told() != State::Alive && !member.left && lives {
                member.incarnation = rules::raised(member.incarnation);
                (member.dead, member.doubt, member.sent, member.pressing) =
                    (false, None, None, false);
                (member.raised, member.returned, member.rejoined) =
                    (Some(now), Some(now), Some(now));
                self.note(now, place, before, Cause::ToldBy(from));
            }
        }
    }
}
