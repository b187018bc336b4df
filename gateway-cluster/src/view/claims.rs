//! What is made of the claims of others, of other doors and of this one.

use super::exchange::COMPARE_PERIODS;
use super::healing::HEALING;
use super::member::{Cause, Member, STRONG};
use super::{Change, View, Why};
use crate::engine::{Micros, Place, Send, State};
use crate::rules::{self, Held, Own, Weight};
use crate::wire::{Claim, Incarnation};

/// How often a claim is sent on while there are few, and while there are many.
pub(super) const FEW: usize = 16;
pub(super) const TIMES_FEW: u8 = 12;
pub(super) const TIMES_MANY: u8 = 4;
const TIMES_KNOWN: u8 = 3;
/// Claims of a death that are being looked into at a time.
const CLAIMED: usize = 2;
/// Probe periods after which a doubt is no news to anybody: by then it is a verdict, or was refuted. And the age of one
/// that comes from another's verdict.
const DOUBT_OVER: f64 = 6.0;
const DOUBT_LATE: f64 = 1.0;
/// Probe periods after a stop in which others' verdicts may have waited in the socket, and be over long since.
const WOKE: f64 = 1.0;
/// Changes that may wait to be taken.
const MOST_CHANGES: usize = 4096;

impl View {
    /// Takes a claim in; false if it is behind what is held.
    pub(super) fn hear(
        &mut self,
        now: Micros,
        from: Place,
        place: Place,
        incarnation: Incarnation,
        claim: Claim,
        sends: &mut Vec<Send>,
    ) -> bool {
        if place == self.me {
            self.hear_of_self(now, incarnation, claim);
            return true;
        }
        let before = self.members[place].state();
        let member = &mut self.members[place];
        let held = Held {
            incarnation: member.incarnation,
            dead: member.dead,
        };
        let weight = rules::weigh(held, incarnation);
        if weight == Weight::Behind {
            return false;
        }
        let cause = if from == place {
            Cause::Returned
        } else {
            Cause::ToldBy(from)
        };
        if let Weight::Later { same_life } = weight {
            let returned = member.dead;
            // Only what refutes something is worth telling: that it lives is held of each from the beginning.
            let sent = match before {
                State::Alive if self.much || incarnation as u16 == 0 => member.sent,
                // Who has not heard of the doubt yet is not to take it for news.
                State::Alive => Some(
                    member
                        .sent
                        .unwrap_or(TIMES_FEW)
                        .min(TIMES_FEW - TIMES_KNOWN),
                ),
                _ => Some(0),
            };
            let pressing = returned || member.is_strongly_doubted();
            let dead = rules::take(held, incarnation, claim).dead;
            *member = Member {
                incarnation,
                dead,
                left: dead && claim == Claim::Left,
                doubt: None,
                raised: Some(now),
                returned: if returned && !dead {
                    Some(now)
                } else {
                    member.returned
                },
                rejoined: if returned && !dead && same_life {
                    Some(now)
                } else {
                    member.rejoined
                },
                sent,
                pressing,
                ..*member
            };
            self.note(now, place, before, cause);
            if returned && !dead {
                self.healing_until = self.step + HEALING;
            }
        }
        let awake = now >= self.woke + self.part(WOKE);
        let member = &mut self.members[place];
        match claim {
            Claim::Alive => !member.dead,
            Claim::Suspect(_) if member.dead => false,
            Claim::Suspect(tenths) => {
                let age = self.part(f64::from(tenths) / 10.0);
                if age <= self.part(DOUBT_OVER) {
                    self.weigh(now, place, now.saturating_sub(age), STRONG, cause);
                }
                true
            }
            Claim::Dead | Claim::Left if member.dead => true,
            Claim::Left => {
                // Its own word: nobody else makes this claim of an incarnation.
                member.bury(0);
                member.left = true;
                self.note(now, place, before, Cause::Left);
                true
            }
            Claim::Dead if member.is_strongly_doubted() && awake => {
                member.bury(0);
                self.note(now, place, before, cause);
                true
            }
            Claim::Dead if self.was_apart(now, from) => {
                // This may be the verdict of another part of the fleet: it is asked.
                if self.probes.values().filter(|probe| probe.claimed).count() < CLAIMED {
                    self.ask_whether_dead(now, place, incarnation, sends);
                }
                true
            }
            Claim::Dead => {
                // The doubt has passed this door by; a refutation may yet come.
                let since = now.saturating_sub(self.part(DOUBT_LATE));
                self.weigh(now, place, since, STRONG, cause);
                if !self.much {
                    self.inform.push(place);
                }
                true
            }
        }
    }

    pub(super) fn hear_of_self(&mut self, now: Micros, incarnation: Incarnation, claim: Claim) {
        let young = self.is_recent(now, self.born);
        let own = &mut self.members[self.me];
        match rules::of_self(own.incarnation, young, self.superseded, incarnation, claim) {
            Own::Keep => {}
            Own::Resume => (self.superseded, self.superseded_told) = (false, false),
            Own::Adopt(incarnation) => own.incarnation = incarnation,
            Own::Superseded => self.superseded = true,
            Own::Outbid(incarnation) => {
                own.incarnation = incarnation;
                (own.sent, own.pressing) = (Some(0), true);
                (self.superseded, self.superseded_told) = (false, false);
            }
        }
    }

    pub(super) fn note(&mut self, now: Micros, place: Place, before: State, cause: Cause) {
        let after = self.members[place].state();
        if before == after {
            return;
        }
        self.changed = now;
        self.compare_gap = COMPARE_PERIODS;
        if self.changes.len() < MOST_CHANGES {
            let name = self.names()[place].clone();
            let why = match cause {
                Cause::NoAnswer => Why::NoAnswer,
                Cause::ToldBy(place) => Why::ToldBy(self.names()[place].clone()),
                Cause::NotRefuted => Why::NotRefuted,
                Cause::Returned => Why::Returned,
                Cause::Left => Why::Left,
            };
            self.changes.push_back(Change {
                name,
                from: before,
                to: after,
                why,
            });
        }
    }
}
