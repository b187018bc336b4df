//! What two views differ in, and telling it.

use super::member::Member;
use super::sending::{Class, CLAIMS_ALONE};
use super::View;
use crate::engine::{Micros, Place, Send, State};
use crate::hash::mix;
use crate::wire::{Kind, Mark, Marks};
use rand::Rng;

/// Probe periods between two exchanges of what differs: where digests differ, and where rosters do; and by how much
/// they grow while exchanges change nothing.
pub(super) const COMPARE_PERIODS: f64 = 0.6;
pub(super) const COMPARE_ROSTERS: f64 = 8.0;
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
    pub(super) tells: Vec<Place>,
    /// The other can tell this one something.
    pub(super) lacks: bool,
}

impl View {
    /// Of what others are told: who is gone, in which incarnation.
    pub(super) fn inner_digest(&self) -> u32 {
        // Those who live are told by nobody, and by themselves with all that they send.
        let held = self.roster.ids().iter().zip(&self.members);
        let dead = held.filter(|(_, member)| member.dead);
        dead.fold(0, |sum, (id, member)| {
            sum ^ mix(u64::from(*id), member.incarnation)
        }) as u32
    }

    pub(super) fn marks(&self, now: Micros) -> Marks {
        let mut marks = Marks::none(self.members.len());
        marks.vouches = self.vouches(now);
        for (place, member) in self.members.iter().enumerate() {
            marks.set(place, self.mark(now, member));
        }
        marks
    }

    fn mark(&self, now: Micros, member: &Member) -> Mark {
        match member.told() {
            State::Dead => Mark::Dead,
            State::Suspect => Mark::Doubted,
            State::Alive if member.raised.is_some_and(|at| self.is_recent(now, at)) => Mark::Raised,
            State::Alive => Mark::Alive,
        }
    }

    pub(super) fn compare(&mut self, now: Micros, with: Place, sends: &mut Vec<Send>) {
        if self.send(now, with, Kind::Compare, 0, Class::News, sends) {
            self.compared = now;
            // Where exchanges change nothing the next one waits longer.
            self.compare_gap = (COMPARE_MORE * self.compare_gap).min(COMPARE_ROSTERS);
        }
    }

    /// What another view lacks of this one, from a place drawn at random on, and whether this one lacks something.
    pub(super) fn what_differs(&mut self, now: Micros, from: Place, theirs: &Marks) -> Differs {
        self.believe(now, from, theirs);
        let names = self.members.len();
        let first = self.rng.random_range(0..names);
        let mut differs = Differs::default();
        for place in (0..names).map(|n| (first + n) % names) {
            let held = match self.mark(now, &self.members[place]) {
                Mark::Alive if place == self.me => Mark::Raised,
                held => held,
            };
            let theirs = theirs.get(place);
            let gone = matches!(theirs, Mark::Doubted | Mark::Dead);
            if let Some(doubt) = self.members[place].doubt.as_mut().filter(|_| gone) {
                // Another that doubts it has no refutation either.
                doubt.confirmed |= doubt.is_strong();
            }
            match (held, theirs) {
                _ if place == from || held == theirs => {}
                (Mark::Alive, Mark::Raised) | (Mark::Raised, Mark::Alive) => {}
                (Mark::Alive, _) | (Mark::Doubted | Mark::Dead, Mark::Raised) => {
                    differs.lacks = true
                }
                (Mark::Doubted, Mark::Dead) => differs.lacks = true,
                // What lives goes before what is gone: a refutation has to outrun the doubt.
                (Mark::Raised, _) => differs.tells.insert(0, place),
                _ => differs.tells.push(place),
            }
        }
        differs
    }

    /// All that are gone, from one drawn at random on: for a view with another roster, or one that agrees on who is
    /// gone and not on the incarnation.
    pub(super) fn all_gone(&mut self) -> Differs {
        let mut tells: Vec<Place> = (0..self.members.len())
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
        to: Place,
        kind: Kind,
        differs: &Differs,
        may_ask: bool,
        sends: &mut Vec<Send>,
    ) {
        let mut tells: Vec<Place> = Vec::new();
        if self.members[to].told() != State::Alive || self.members[to].behind {
            // What is held of itself comes first: it can refute that.
            tells.push(to);
        }
        tells.extend(differs.tells.iter().filter(|place| **place != to));
        let owed = matches!(kind, Kind::Ack(_));
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

    /// Tells a door what it is behind in, with an answer that is owed.
    pub(super) fn tell_newer(
        &mut self,
        now: Micros,
        to: Place,
        behind: Vec<Place>,
        kind: Kind,
        sends: &mut Vec<Send>,
    ) {
        let newer: Vec<Place> = behind.into_iter().take(CLAIMS_ALONE).collect();
        let owed = matches!(kind, Kind::Confirmed(_));
        if owed || !newer.is_empty() {
            let class = if owed { Class::Answer } else { Class::Question };
            self.put(now, to, kind, newer, class, sends);
        }
    }
}
