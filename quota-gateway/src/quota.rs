//! Quota state of one customer at one gateway: its shares of the quota's bucket, of the ceiling's bucket and of
//! the offered rate, and the admission probability that follows from them and the meter.

use crate::control::blend;
use crate::interface::{Millis, Plan, Request, RequestId};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Lower bound of the admission probability. At zero no answer would bring a meter reading, so the probability
/// could never rise again.
pub(crate) const MIN_ADMISSION_PROBABILITY: f64 = 0.05;
/// Delay from the end of a meter period until the meter publishes it, in periods.
pub(crate) const METER_LAG_PERIODS: f64 = 0.4;
/// Periods for which this gateway's sends are kept. By then the meter has reported them or never will.
const SENDS_KEPT_PERIODS: f64 = 4.0;
/// Averaging window of this gateway's offered rate: the time in which its even share of the quota yields this
/// many units, or one period if that is longer.
const OWN_RATE_WINDOW_UNITS: f64 = 4.0;
/// Weight of a new reading in the estimate of this gateway's share.
const SHARE_WEIGHT: f64 = 0.5;
/// Prior for that estimate: an even split of the quota over this many periods.
const EVEN_SPLIT_PERIODS: f64 = 0.5;
/// Fraction of the quota left unused by all gateways that a gateway which ran short adds to its share.
const LENT_FRACTION: f64 = 0.5;
/// Weight of the metered offered rate beside this gateway's own requests, in units of the largest request.
const METERED_RATE_WEIGHT: f64 = 1.0 / 6.0;
/// Minimum weight of the even split beside this gateway's own sends, in units of the largest request.
const MIN_EVEN_SPLIT_WEIGHT: f64 = 0.5;
/// Periods after which the weight of a reading has decayed to a third.
const READING_DECAY_PERIODS: f64 = 5.0;

/// A time before all others.
pub(crate) const DISTANT_PAST: Millis = -1e15;
/// Fraction of its buckets that a gateway keeps at handover for requests already on their way to it.
const HANDOVER_RESERVE: f64 = 0.05;

/// A token bucket.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub(crate) struct Bucket {
    pub(crate) units: f64,
    pub(crate) at: Millis,
}

impl Bucket {
    pub(crate) fn fill(&mut self, rate: f64, capacity: f64, now: Millis) {
        self.units = (self.units + (now - self.at).max(0.0) / 1000.0 * rate).min(capacity);
        self.at = now;
    }
}

/// An exponentially decaying sum of units and of the seconds in which they arrived.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub(crate) struct DecayingRate {
    pub(crate) units: f64,
    pub(crate) seconds: f64,
    pub(crate) at: Millis,
}

impl DecayingRate {
    /// Applies the decay up to `now` with the time constant `memory`.
    pub(crate) fn decay(&mut self, memory: Millis, now: Millis) {
        let factor = (-(now - self.at) / memory.max(1.0)).exp();
        self.units *= factor;
        self.seconds = self.seconds * factor + memory / 1000.0 * (1.0 - factor);
        self.at = now;
    }
}

/// Quota state of one customer under one plan.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Customer {
    pub(crate) plan: usize,
    /// Number of gateways through which the customer's requests come.
    #[serde(rename = "spread")]
    pub(crate) gateways: f64,
    #[serde(rename = "seen")]
    pub(crate) last_request: Millis,
    /// This gateway's share of the customer's requests over all gateways.
    #[serde(rename = "part")]
    pub(crate) gateway_share: f64,
    /// Whether the share has run short since it was set.
    #[serde(rename = "short")]
    pub(crate) ran_short: bool,
    /// Estimated level of the quota's bucket over all gateways, in units.
    #[serde(rename = "store")]
    pub(crate) total_level: f64,
    /// This gateway's share of the quota's bucket.
    #[serde(rename = "share")]
    pub(crate) quota_bucket: Bucket,
    /// This gateway's even share of the ceiling's bucket.
    #[serde(rename = "ceiling")]
    pub(crate) ceiling_bucket: Bucket,
    /// Admission probability, and when it was set.
    #[serde(rename = "chance")]
    pub(crate) probability: f64,
    #[serde(rename = "chance_set")]
    pub(crate) probability_set: Millis,
    #[serde(rename = "chance_before")]
    pub(crate) previous_probability: f64,
    /// Offered rate over all gateways according to the meter, in units a second.
    #[serde(rename = "asked")]
    pub(crate) metered_offered_rate: f64,
    /// Sends of this gateway that the meter may not have reported yet.
    pub(crate) sends: VecDeque<(Millis, f64)>,
    /// Requests offered to this gateway.
    #[serde(rename = "own")]
    pub(crate) own_offered: DecayingRate,
    pub(crate) reading: f64,
    #[serde(rename = "read_at")]
    pub(crate) reading_time: Millis,
    /// End of the last period that the meter reported.
    #[serde(rename = "told_to")]
    pub(crate) metered_until: Millis,
    /// Attempts of this gateway in flight.
    #[serde(rename = "open")]
    pub(crate) in_flight: u32,
    /// Attempts of the predecessor still in flight.
    #[serde(rename = "elsewhere")]
    pub(crate) predecessor_in_flight: u32,
    /// Requests that wait because the customer is at its concurrency limit.
    #[serde(skip)]
    pub(crate) queued: VecDeque<RequestId>,
}

impl Customer {
    /// State of a customer without sends, at a gateway started at `started`.
    pub(crate) fn new(
        plan: &Plan,
        request: &Request,
        started: Millis,
        now: Millis,
        period: Millis,
    ) -> Customer {
        Customer {
            plan: request.plan,
            gateway_share: 1.0 / f64::from(request.spread.max(1)),
            quota_bucket: Bucket {
                units: plan.burst,
                at: now,
            },
            total_level: plan.burst,
            ceiling_bucket: Bucket {
                units: 0.0,
                at: started,
            },
            probability: 1.0,
            previous_probability: 1.0,
            probability_set: DISTANT_PAST,
            metered_offered_rate: plan.rate,
            own_offered: DecayingRate {
                at: now - period,
                ..DecayingRate::default()
            },
            reading_time: DISTANT_PAST,
            metered_until: DISTANT_PAST,
            ..Customer::default()
        }
    }

    /// Decays the offered rate up to now and drops sends that the meter will no longer report.
    pub(crate) fn decay(&mut self, plan: &Plan, now: Millis, period: Millis) {
        self.own_offered.decay(
            (1000.0 * OWN_RATE_WINDOW_UNITS * self.gateways / plan.rate).max(period),
            now,
        );
        while self
            .sends
            .front()
            .is_some_and(|(at, _)| *at < now - SENDS_KEPT_PERIODS * period)
        {
            self.sends.pop_front();
        }
    }

    /// Applies the metered use of the period that ended at `end`.
    pub(crate) fn apply_reading(
        &mut self,
        plan: &Plan,
        used: f64,
        end: Millis,
        period: Millis,
        largest: f64,
    ) {
        let (from, quota) = (end - period, plan.rate * period / 1000.0);
        // Periods without a reading are taken to equal this one.
        let missed = ((end - self.metered_until) / period - 1.0).clamp(0.0, SENDS_KEPT_PERIODS);
        let unused = (missed + 1.0) * (1.0 - used);
        self.total_level = (self.total_level + quota * unused).clamp(0.0, plan.burst);
        self.reading = used;
        self.metered_until = end;
        let current = ((end - self.probability_set) / period).clamp(0.0, 1.0);
        let probability = current * self.probability + (1.0 - current) * self.previous_probability;
        self.metered_offered_rate = used * plan.rate / probability.max(MIN_ADMISSION_PROBABILITY);
        let reported = self.sends.iter().filter(|(at, _)| *at > from && *at <= end);
        let own_units: f64 = reported.map(|(_, units)| units).sum();
        let even_split =
            (EVEN_SPLIT_PERIODS * quota / self.gateways).max(MIN_EVEN_SPLIT_WEIGHT * largest);
        let share =
            (own_units + even_split) / ((used * quota).max(own_units) + even_split * self.gateways);
        let lent = if self.ran_short {
            LENT_FRACTION * (1.0 - used).max(0.0)
        } else {
            0.0
        };
        blend(
            &mut self.gateway_share,
            (share + lent).min(1.0),
            SHARE_WEIGHT,
        );
        self.ran_short = false;
    }

    /// Takes units from the even share of the ceiling's bucket if it holds enough.
    pub(crate) fn take_from_ceiling(&mut self, plan: &Plan, units: f64, now: Millis) -> bool {
        let capacity = (plan.ceiling_burst + plan.ceiling_slack) / self.gateways;
        self.ceiling_bucket
            .fill(plan.ceiling_rate / self.gateways, capacity, now);
        let sufficient = self.ceiling_bucket.units >= units;
        self.ceiling_bucket.units -= if sufficient { units } else { 0.0 };
        sufficient
    }

    /// Updates the predecessor's attempts in flight and returns the queued requests that now fit.
    pub(crate) fn release_queued(&mut self, in_flight: u32) -> Vec<RequestId> {
        let freed = self.predecessor_in_flight.saturating_sub(in_flight) as usize;
        self.predecessor_in_flight = in_flight;
        self.queued.drain(..freed.min(self.queued.len())).collect()
    }

    /// Time after which the buckets of an idle customer are full.
    pub(crate) fn fill_time(plan: &Plan) -> Millis {
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

    /// Exports the state for a successor and keeps a small reserve of the buckets.
    pub(crate) fn hand_over(&mut self) -> Customer {
        let mut exported = self.clone();
        (exported.predecessor_in_flight, exported.in_flight) = (self.in_flight, 0);
        exported.queued.clear();
        for (kept, exported) in [
            (&mut self.quota_bucket, &mut exported.quota_bucket),
            (&mut self.ceiling_bucket, &mut exported.ceiling_bucket),
        ] {
            kept.units = HANDOVER_RESERVE * kept.units.max(0.0);
            exported.units -= kept.units;
        }
        exported
    }

    /// Refills this gateway's share of the quota's bucket and returns its capacity. The capacity is at least one
    /// request of the largest size, which could otherwise never be admitted.
    pub(crate) fn refill(&mut self, plan: &Plan, largest: f64, now: Millis) -> f64 {
        let capacity = (plan.burst * self.gateway_share).max(largest);
        self.quota_bucket
            .fill(plan.rate * self.gateway_share, capacity, now);
        capacity
    }

    /// Sets the admission probability: the quota plus the available bucket level, divided by the offered rate, both
    /// for this gateway's share.
    pub(crate) fn set_probability(
        &mut self,
        plan: &Plan,
        largest: f64,
        now: Millis,
        period: Millis,
    ) {
        let allowed =
            self.gateway_share * (plan.rate + self.total_level / (period.max(1.0) / 1000.0));
        // A few requests are a poor estimate, so the metered rate is blended in until it is old.
        let freshness =
            (-(now - self.metered_until) / (READING_DECAY_PERIODS * period.max(1.0))).exp();
        let metered = (plan.rate + (self.metered_offered_rate - plan.rate) * freshness)
            .max(MIN_ADMISSION_PROBABILITY * plan.rate)
            * self.gateway_share;
        let weight = METERED_RATE_WEIGHT * largest;
        let offered =
            (weight + self.own_offered.units) / (weight / metered + self.own_offered.seconds);
        self.previous_probability = self.probability;
        self.probability = if offered > allowed {
            (allowed / offered).max(MIN_ADMISSION_PROBABILITY)
        } else {
            1.0
        };
        self.probability_set = now;
    }
}
