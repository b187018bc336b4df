//! What is made of the claims of others, of other gateways and of this one.

use super::anti_entropy::COMPARE_PERIODS;
use super::healing::HEALING;
use super::member::{Cause, Member, STRONG};
use super::{ChangeReason, Membership, MembershipChange};
use crate::precedence::{self, KnownUpdate, Precedence, SelfUpdateAction};
use crate::protocol::{IndexedTransmit, Micros, PeerIndex, PeerState};
use crate::wire::{Incarnation, UpdateStatus};

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
const MAX_CHANGES: usize = 4096;

impl Membership {
    /// Takes a claim in; false if it is behind what is held.
    pub(super) fn hear(
        &mut self,
        now: Micros,
        from: PeerIndex,
        place: PeerIndex,
        incarnation: Incarnation,
        claim: UpdateStatus,
        sends: &mut Vec<IndexedTransmit>,
    ) -> bool {
        if place == self.me {
            self.hear_of_self(now, incarnation, claim);
            return true;
        }
        let before = self.members[place].state();
        let member = &mut self.members[place];
        let held = KnownUpdate {
            incarnation: member.incarnation,
            dead: member.dead,
        };
        let weight = precedence::precedence_of(held, incarnation);
        if weight == Precedence::Older {
            return false;
        }
        let cause = if from == place {
            Cause::Returned
        } else {
            Cause::ToldBy(from)
        };
        if let Precedence::Newer { same_process } = weight {
            let returned = member.dead;
            // Only what refutes something is worth telling: that it lives is held of each from the beginning.
            let sent = match before {
                PeerState::Alive if self.much || incarnation as u16 == 0 => member.sent,
                // Who has not heard of the doubt yet is not to take it for news.
                PeerState::Alive => Some(
                    member
                        .sent
                        .unwrap_or(TIMES_FEW)
                        .min(TIMES_FEW - TIMES_KNOWN),
                ),
                _ => Some(0),
            };
            let pressing = returned || member.is_strongly_doubted();
            let dead = precedence::apply_update(held, incarnation, claim).dead;
            *member = Member {
                incarnation,
                dead,
                left: dead && claim == UpdateStatus::Left,
                doubt: None,
                raised: Some(now),
                returned: if returned && !dead {
                    Some(now)
                } else {
                    member.returned
                },
                rejoined: if returned && !dead && same_process {
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
            UpdateStatus::Alive => !member.dead,
            UpdateStatus::Suspect(_) if member.dead => false,
            UpdateStatus::Suspect(tenths) => {
                let age = self.part(f64::from(tenths) / 10.0);
                if age <= self.part(DOUBT_OVER) {
                    self.weigh(now, place, now.saturating_sub(age), STRONG, cause);
                }
                true
            }
            UpdateStatus::Dead | UpdateStatus::Left if member.dead => true,
            UpdateStatus::Left => {
                // Its own word: nobody else makes this claim of an incarnation.
                member.bury(0);
                member.left = true;
                self.note(now, place, before, Cause::Left);
                true
            }
            UpdateStatus::Dead if member.is_strongly_doubted() && awake => {
                member.bury(0);
                self.note(now, place, before, cause);
                true
            }
            UpdateStatus::Dead if self.was_apart(now, from) => {
                // This may be the verdict of another part of the cluster: it is asked.
                if self.probes.values().filter(|probe| probe.claimed).count() < CLAIMED {
                    self.ask_whether_dead(now, place, incarnation, sends);
                }
                true
            }
            UpdateStatus::Dead => {
                // The doubt has passed this gateway by; a refutation may yet come.
                let since = now.saturating_sub(self.part(DOUBT_LATE));
                self.weigh(now, place, since, STRONG, cause);
                if !self.much {
                    self.inform.push(place);
                }
                true
            }
        }
    }

    pub(super) fn hear_of_self(
        &mut self,
        now: Micros,
        incarnation: Incarnation,
        claim: UpdateStatus,
    ) {
        let young = self.is_recent(now, self.born);
        let own = &mut self.members[self.me];
        match precedence::action_on_self_update(
            own.incarnation,
            young,
            self.superseded,
            incarnation,
            claim,
        ) {
            SelfUpdateAction::Ignore => {}
            SelfUpdateAction::Resume => (self.superseded, self.superseded_told) = (false, false),
            SelfUpdateAction::Adopt(incarnation) => own.incarnation = incarnation,
            SelfUpdateAction::Superseded => self.superseded = true,
            SelfUpdateAction::Refute(incarnation) => {
                own.incarnation = incarnation;
                (own.sent, own.pressing) = (Some(0), true);
                (self.superseded, self.superseded_told) = (false, false);
            }
        }
    }

    pub(super) fn note(&mut self, now: Micros, place: PeerIndex, before: PeerState, cause: Cause) {
        let after = self.members[place].state();
        if before == after {
            return;
        }
        self.changed = now;
        self.compare_gap = COMPARE_PERIODS;
        if self.changes.len() < MAX_CHANGES {
            let name = self.names()[place].clone();
            let why = match cause {
                Cause::NoAnswer => ChangeReason::NoAnswer,
                Cause::ToldBy(place) => ChangeReason::ToldBy(self.names()[place].clone()),
                Cause::NotRefuted => ChangeReason::NotRefuted,
                Cause::Returned => ChangeReason::Returned,
                Cause::Left => ChangeReason::Left,
            };
            self.changes.push_back(MembershipChange {
                name,
                from: before,
                to: after,
                why,
            });
        }
    }
}
