//! What is doubted, for how long, and when a doubt is a verdict. And when this gateway doubts itself: after a stall, and
//! where it hears nobody.

use super::member::{Cause, Doubt, STRONG};
use super::transmit::Class;
use super::updates::FEW;
use super::Membership;
use crate::protocol::{IndexedTransmit, Micros, PeerIndex, PeerState};
use crate::wire::MessageKind;
use rand::Rng;

/// Probe periods from a doubt to the verdict, by its weight.
const DOUBT: [f64; 3] = [10.0, 6.0, 4.2];
/// Before a verdict another gateway is asked whether it knows better: so long before, so long again where it does not
/// answer, so often at the most, so many doubts at a time.
const CONFIRM: f64 = 1.2;
const CONFIRM_AGAIN: f64 = 0.4;
const CONFIRMS: u8 = 5;
const CONFIRM_EVERY: f64 = 0.8;
const CONFIRM_MOST: usize = 40;
const CONFIRM_TIME: f64 = 0.8;
/// Gateways, in the mean, that tell one that it is doubted, beside those that found so.
const INFORM: f64 = 4.0;
/// Probe periods without a word from anybody after which a gateway holds itself for cut off.
const SILENCE: f64 = 6.0;
/// Late by more than this many probe periods, a gateway has been stopped: what was due meanwhile is no verdict.
const STALL: f64 = 0.6;
/// Local health: how bad it can be said to be. Doubts wait so many times longer.
const WORST_HEALTH: u32 = 2;

impl Membership {
    /// A probe had no answer. What it weighs is how many helpers missed the gateway too, if any was heard.
    pub(super) fn doubt(&mut self, now: Micros, target: PeerIndex, found: u8) {
        let member = &self.members[target];
        if member.dead {
            return;
        }
        let alone = self.living() <= 2;
        if found == 0 && !alone && member.doubt.is_none() {
            // Not even the helpers were heard: the fault may be here.
            self.health = (self.health + 1).min(WORST_HEALTH);
        }
        let held = member.doubt.as_ref().map_or(0, |doubt| doubt.weight);
        self.weigh(
            now,
            target,
            now,
            found.max(held + 1).min(STRONG),
            Cause::NoAnswer,
        );
    }

    /// A doubt of this weight is held of a gateway since then, or has grown.
    pub(super) fn weigh(
        &mut self,
        now: Micros,
        place: PeerIndex,
        since: Micros,
        weight: u8,
        cause: Cause,
    ) {
        let wait =
            |weight: u8| DOUBT[usize::from(weight.clamp(1, 3)) - 1] * f64::from(1 + self.health);
        let (wait, least) = (self.part(wait(weight)), self.part(CONFIRM_TIME));
        let before = self.members[place].state();
        let member = &mut self.members[place];
        match &mut member.doubt {
            Some(doubt) if doubt.weight >= weight => return,
            Some(doubt) => {
                (doubt.weight, doubt.until) =
                    (weight, doubt.until.min(doubt.since + wait).max(now));
            }
            none => {
                // Who hears of it late still has the time to ask another whether it was refuted.
                let until = (since + wait).max(now + least);
                *none = Some(Doubt {
                    since,
                    until,
                    ..Doubt::new(now, wait, weight)
                });
            }
        }
        if weight >= STRONG {
            // A weak doubt is this gateway's own until it is a strong one, or refuted.
            (member.sent, member.pressing) = (Some(0), true);
            if matches!(cause, Cause::ToldBy(_)) {
                self.tell_some(place);
            }
        }
        self.note(now, place, before, cause);
    }

    /// A doubt that was told to nobody ends with anything that comes from the gateway itself.
    pub(super) fn clear_own_doubt(&mut self, now: Micros, place: PeerIndex) {
        let member = &mut self.members[place];
        if member.is_weakly_doubted() {
            member.doubt = None;
            self.note(now, place, PeerState::Suspect, Cause::Returned);
        }
    }

    /// A gateway that was stopped has missed what others answered: it takes no verdict from that time, and asks anew.
    pub(super) fn look_at_clock(&mut self, now: Micros) {
        if now <= self.next + self.part(STALL) {
            return;
        }
        self.probes.clear();
        self.relays.clear();
        self.confirming.clear();
        (self.watching, self.woke) = (now, now);
        self.end_silence(now);
        self.health = (self.health + 1).min(WORST_HEALTH);
        let wait = self.part(DOUBT[0]);
        for member in &mut self.members {
            if member.doubt.is_some() {
                member.doubt = Some(Doubt::new(now, wait, 1));
            }
        }
        self.next = now;
    }

    /// Where nobody is heard at all this gateway is cut off, and does not ask for each in turn: it doubts all at once. These
    /// doubts are its own, and end with the first thing that it hears.
    pub(super) fn look_for_silence(&mut self, now: Micros) {
        if self.silent || now < self.heard + self.part(SILENCE) {
            return;
        }
        self.silent = true;
        let wait = self.part(DOUBT[2]);
        for place in (0..self.members.len())
            .filter(|place| *place != self.me)
            .collect::<Vec<_>>()
        {
            let member = &mut self.members[place];
            let before = member.state();
            if member.dead {
                continue;
            }
            let doubt = member.doubt.get_or_insert(Doubt::new(now, wait, 1));
            (doubt.until, doubt.confirmed) = (doubt.until.min(now + wait), true);
            self.note(now, place, before, Cause::NoAnswer);
        }
    }

    pub(super) fn end_silence(&mut self, now: Micros) {
        self.heard = now;
        if std::mem::take(&mut self.silent) {
            (0..self.members.len()).for_each(|place| self.clear_own_doubt(now, place));
        }
    }

    /// Asks others about the doubts that are to end soon: a refutation may have passed this gateway by.
    pub(super) fn confirm_doubts(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>) {
        if self
            .members
            .iter()
            .filter(|member| member.told() == PeerState::Suspect)
            .count()
            > FEW
        {
            // ViewSummary that are exchanged anyway confirm so many.
            return;
        }
        let (ahead, again) = (self.part(CONFIRM), self.part(CONFIRM_AGAIN));
        if now < self.confirmed + self.part(CONFIRM_EVERY) {
            return;
        }
        let soon = |doubt: &Doubt| {
            !doubt.confirmed
                && doubt.asked < CONFIRMS
                && doubt.until <= now + ahead
                && doubt.ask_at <= now
        };
        let of = |place: &PeerIndex| self.members[*place].doubt.as_ref().is_some_and(soon);
        let places: Vec<PeerIndex> = (0..self.members.len())
            .filter(of)
            .take(CONFIRM_MOST)
            .collect();
        if places.is_empty() {
            return;
        }
        let Some(to) = self.helpers(self.me).first().copied() else {
            // There is nobody to know better.
            for place in places {
                if let Some(doubt) = &mut self.members[place].doubt {
                    doubt.confirmed = true;
                }
            }
            return;
        };
        self.confirmed = now;
        let number = self.next_number();
        let went = self.put(
            now,
            to,
            MessageKind::ConfirmRequest(number),
            places.clone(),
            Class::News,
            sends,
        );
        for place in &places {
            if let Some(doubt) = &mut self.members[*place].doubt {
                (doubt.asked, doubt.ask_at) = (doubt.asked + 1, now + again);
            }
        }
        if went {
            self.confirming.insert(number, places);
            while self.confirming.len() > usize::from(CONFIRMS) {
                self.confirming.pop_first();
            }
        }
    }

    /// Some of those that are told of a doubt tell the doubted one, which cannot refute what it never hears.
    fn tell_some(&mut self, place: PeerIndex) {
        let chance = (INFORM / self.living().max(1) as f64).min(1.0);
        if self.rng.random_bool(chance) {
            self.inform.push(place);
        }
    }

    pub(super) fn end_doubts(&mut self, now: Micros) {
        let patience = self.part(CONFIRM_AGAIN * f64::from(CONFIRMS));
        for place in 0..self.members.len() {
            let member = &mut self.members[place];
            let over = |doubt: &Doubt| {
                doubt.until <= now && (doubt.confirmed || doubt.until + patience <= now)
            };
            if member.doubt.as_ref().is_some_and(over) {
                let before = member.state();
                member.bury(1);
                // Who holds the doubt comes to the verdict by itself.
                member.pressing = false;
                self.note(now, place, before, Cause::NotRefuted);
            }
        }
    }
}
