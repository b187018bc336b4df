//! What one gateway knows of one customer: its part of the quota's store, of the ceiling's and of the offered
//! rate, and the chance that follows from them and the meter.

use crate::control::blend;
use crate::interface::{Millis, Plan, Request, RequestId};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Lowest chance of admission: at nought no answer would bring a reading, and the chance would stay there.
pub(crate) const CHANCE_FLOOR: f64 = 0.05;
/// Time from the end of a period to when the meter tells of it, in periods.
pub(crate) const METER_LAG: f64 = 0.4;
/// Periods for which own sends are kept: until the meter has told of them, or will no more.
const KEPT: f64 = 4.0;
/// Own offered rate is averaged over so many units of an even share of the quota, or a period if longer.
const OWN_UNITS: f64 = 4.0;
/// Weight of a reading in this gateway's part, and periods at the quota, evenly split, that stand beside it.
const LEARN: f64 = 0.5;
const EVEN: f64 = 0.5;
/// Part of what the meter shows unused that a gateway takes which ran short of its own meanwhile.
const LEND: f64 = 0.5;
/// Weight of what the meter shows of the offered rate beside own requests, and of an even part beside what
/// own sends show, in units of the largest request; and periods after which a reading has faded to a third.
const WORD: f64 = 1.0 / 6.0;
const LEAST_EVEN: f64 = 0.5;
const FRESH: f64 = 5.0;

/// A moment before all others.
pub(crate) const NEVER: Millis = -1e15;
/// Part of the stores that a gateway keeps for what is on its way to it when another takes over.
const REST: f64 = 0.05;

/// A token bucket.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub(crate) struct Bucket {
    pub(crate) units: f64,
    pub(crate) at: Millis,
}

impl Bucket {
    pub(crate) fn fill(&mut self, rate: f64, most: f64, now: Millis) {
        self.units = (self.units + (now - self.at).max(0.0) / 1000.0 * rate).min(most);
        self.at = now;
    }
}

/// Units lately, fading, and the seconds that they came in.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub(crate) struct Pace {
    pub(crate) units: f64,
    pub(crate) seconds: f64,
    pub(crate) at: Millis,
}

impl Pace {
    /// Fades what is longer ago than `memory`.
    pub(crate) fn fade(&mut self, memory: Millis, now: Millis) {
        let fade = (-(now - self.at) / memory.max(1.0)).exp();
        self.units *= fade;
        self.seconds = self.seconds * fade + memory / 1000.0 * (1.0 - fade);
        self.at = now;
    }
}

#[derive(Debug, Default, Clone, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Customer {
    pub(crate) plan: usize,
    pub(crate) spread: f64,
    pub(crate) seen: Millis,
    /// This gateway's part of what all send on for the customer, and whether that ran short since it was set.
    pub(crate) part: f64,
    pub(crate) short: bool,
    pub(crate) store: f64,
    /// Its part of the quota's store, and an even one of the ceiling's.
    pub(crate) share: Bucket,
    pub(crate) ceiling: Bucket,
    pub(crate) chance: f64,
    pub(crate) chance_set: Millis,
    /// The chance before that one, and what the meter shows that all were asked for, units a second.
    pub(crate) chance_before: f64,
    pub(crate) asked: f64,
    /// Own sends that the meter may not have told of yet.
    pub(crate) sends: VecDeque<(Millis, f64)>,
    /// Own requests.
    pub(crate) own: Pace,
    pub(crate) reading: f64,
    pub(crate) read_at: Millis,
    pub(crate) told_to: Millis,
    /// Own attempts out, and those of the gateway that this one takes over from.
    pub(crate) open: u32,
    pub(crate) elsewhere: u32,
    #[serde(skip)]
    pub(crate) held: VecDeque<RequestId>,
}

impl Customer {
    /// One that has sent nothing yet, at a gateway born at `born`.
    pub(crate) fn new(
        plan: &Plan,
        request: &Request,
        born: Millis,
        now: Millis,
        period: Millis,
    ) -> Customer {
        Customer {
            plan: request.plan,
            part: 1.0 / f64::from(request.spread.max(1)),
            share: Bucket {
                units: plan.burst,
                at: now,
            },
            store: plan.burst,
            ceiling: Bucket {
                units: 0.0,
                at: born,
            },
            chance: 1.0,
            chance_before: 1.0,
            chance_set: NEVER,
            asked: plan.rate,
            own: Pace {
                at: now - period,
                ..Pace::default()
            },
            read_at: NEVER,
            told_to: NEVER,
            ..Customer::default()
        }
    }

    /// Brings the averages over own requests up to now, and forgets what the meter tells of no more.
    pub(crate) fn fade(&mut self, plan: &Plan, now: Millis, period: Millis) {
        self.own.fade(
            (1000.0 * OWN_UNITS * self.spread / plan.rate).max(period),
            now,
        );
        while self
            .sends
            .front()
            .is_some_and(|(at, _)| *at < now - KEPT * period)
        {
            self.sends.pop_front();
        }
    }

    /// Takes in the use in the period that ended at `end`.
    pub(crate) fn read(
        &mut self,
        plan: &Plan,
        used: f64,
        end: Millis,
        period: Millis,
        largest: f64,
    ) {
        let (from, quota) = (end - period, plan.rate * period / 1000.0);
        // Periods that no answer told of are taken to be like this one.
        let missed = ((end - self.told_to) / period - 1.0).clamp(0.0, KEPT);
        let unused = (missed + 1.0) * (1.0 - used);
        self.store = (self.store + quota * unused).clamp(0.0, plan.burst);
        self.reading = used;
        self.told_to = end;
        let held = ((end - self.chance_set) / period).clamp(0.0, 1.0);
        let chance = held * self.chance + (1.0 - held) * self.chance_before;
        self.asked = used * plan.rate / chance.max(CHANCE_FLOOR);
        let told = self.sends.iter().filter(|(at, _)| *at > from && *at <= end);
        let own: f64 = told.map(|(_, units)| units).sum();
        let even = (EVEN * quota / self.spread).max(LEAST_EVEN * largest);
        let part = (own + even) / ((used * quota).max(own) + even * self.spread);
        let lent = if self.short {
            LEND * (1.0 - used).max(0.0)
        } else {
            0.0
        };
        blend(&mut self.part, (part + lent).min(1.0), LEARN);
        self.short = false;
    }

    /// Takes units from an even part of the ceiling's store, if it holds them.
    pub(crate) fn take_from_ceiling(&mut self, plan: &Plan, units: f64, now: Millis) -> bool {
        let most = (plan.ceiling_burst + plan.ceiling_slack) / self.spread;
        self.ceiling
            .fill(plan.ceiling_rate / self.spread, most, now);
        let held = self.ceiling.units >= units;
        self.ceiling.units -= if held { units } else { 0.0 };
        held
    }

    /// Notes what another gateway has out, and returns the requests that this leaves room for.
    pub(crate) fn free(&mut self, elsewhere: u32) -> Vec<RequestId> {
        let freed = self.elsewhere.saturating_sub(elsewhere) as usize;
        self.elsewhere = elsewhere;
        self.held.drain(..freed.min(self.held.len())).collect()
    }

    /// Time after which one that sends nothing has full stores.
    pub(crate) fn filled_within(plan: &Plan) -> Millis {
        let fill = |burst: f64, rate: f64| {
            if rate > 0.0 {
                burst / rate * 1000.0
            } else {
                0.0
            }
        };
        fill(plan.burst, plan.rate)
            .max(fill(
                plan.ceiling_burst + plan.ceiling_slack,
                plan.ceiling_rate,
            ))
            .max(1000.0)
    }

    /// Leaves another what this gateway has of the customer's stores, but for a rest.
    pub(crate) fn hand_over(&mut self) -> Customer {
        let mut left = self.clone();
        (left.elsewhere, left.open) = (self.open, 0);
        left.held.clear();
        for (own, left) in [
            (&mut self.share, &mut left.share),
            (&mut self.ceiling, &mut left.ceiling),
        ] {
            own.units = REST * own.units.max(0.0);
            left.units -= own.units;
        }
        left
    }

    /// Brings this gateway's part of the store up to now, and returns what it can hold: a request of the
    /// largest kind at the least, which would be refused for ever else.
    pub(crate) fn refill(&mut self, plan: &Plan, largest: f64, now: Millis) -> f64 {
        let most = (plan.burst * self.part).max(largest);
        self.share.fill(plan.rate * self.part, most, now);
        most
    }

    /// The quota, with what the store can spare, over the offered rate, both in this gateway's part.
    pub(crate) fn set_chance(&mut self, plan: &Plan, largest: f64, now: Millis, period: Millis) {
        let allowed = self.part * (plan.rate + self.store / (period.max(1.0) / 1000.0));
        // Few own requests tell little: the meter's word stands beside them, until it is old.
        let fresh = (-(now - self.told_to) / (FRESH * period.max(1.0))).exp();
        let asked = (plan.rate + (self.asked - plan.rate) * fresh).max(CHANCE_FLOOR * plan.rate)
            * self.part;
        let weight = WORD * largest;
        let offered = (weight + self.own.units) / (weight / asked + self.own.seconds);
        self.chance_before = self.chance;
        self.chance = if offered > allowed {
            (allowed / offered).max(CHANCE_FLOOR)
        } else {
            1.0
        };
        self.chance_set = now;
    }
}
