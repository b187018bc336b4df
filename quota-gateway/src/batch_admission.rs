//! Probabilistic admission of batch jobs: a job is either forwarded to the queue's exact count, which decides, or
//! refused (429) at once.
//!
//! It follows the random refusal of "Stochastic breakdown model for an unreliable web server system", as the design
//! of the serving tier requires ("The design in the system"):
//!
//! * **Probability.** Each tenant has a probability that its next batch job is admitted, initially 1.
//! * **Period.** Each new meter period, identified by its number, is used once and sets the probability to
//!   min(1, p' / u). Here u is the reading divided by the quota, and p' the time average of the probability during that
//!   period. If λ tokens are offered and the quota allows λ*, then u = p' λ / λ* and the new probability is λ* / λ, as in
//!   the paper.
//! * **Reading.** The queued tokens plus those admitted in the period that did not fit. Tokens refused here are not
//!   included: dividing by u would count them twice.
//! * **Minimum.** The probability never falls below a minimum. At zero nothing would be forwarded, and no reading
//!   would show that the load has fallen.
//! * **Expiry.** Entries without jobs and readings are dropped after an idle timeout.
//!
//! The paper's quota bounds a rate; this one bounds queued tokens and is binding at each 202. Random refusal cannot
//! enforce that: the exact count does, in one place, and this module only spares it jobs that it would refuse. On the
//! ordinary path **each job that fits gets a 202**, so a job is refused here only if a fresh reading shows that it does
//! not fit (the queued tokens plus its own exceed the quota). Without a fresh reading all jobs are forwarded.
//!
//! The host must not ask about a job that may have been handed over before (a retry after an unclear answer): it may
//! have been accepted, and a 429 promises that it never runs. The check therefore belongs where it is known whether the
//! job was seen before, or where the attempt is certainly its first.

use crate::interface::Millis;
use crate::quota::MIN_ADMISSION_PROBABILITY;
use std::collections::{BTreeMap, VecDeque};

/// Sweeps for idle entries per idle timeout.
const SWEEPS_PER_IDLE_TIMEOUT: f64 = 4.0;
/// Earlier probabilities that are kept, because a reading covers a period that ended shortly before.
const PROBABILITIES_KEPT: usize = 8;

/// Options of batch admission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BatchAdmissionOptions {
    /// Minimum admission probability.
    pub min_probability: f64,
    /// Age up to which a reading counts as fresh, in milliseconds.
    pub max_reading_age: Millis,
    /// Time after which an entry without jobs and readings is dropped, in milliseconds.
    pub idle_timeout: Millis,
}

impl Default for BatchAdmissionOptions {
    fn default() -> BatchAdmissionOptions {
        BatchAdmissionOptions {
            min_probability: MIN_ADMISSION_PROBABILITY,
            max_reading_age: 300.0,
            idle_timeout: 60_000.0,
        }
    }
}

/// Meter reading of one tenant for one period.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MeterReading {
    /// Number of the period, the same for all readers.
    pub period: u64,
    /// Start of the period by the host's clock.
    pub began: Millis,
    /// End of the period by the host's clock; the count of queued tokens is as of this time.
    pub ended: Millis,
    /// Queued tokens.
    pub waiting: u64,
    /// Tokens admitted by the gateways in the period that did not fit.
    pub beyond: u64,
    /// Maximum number of queued tokens; 0: no limit.
    pub quota: u64,
}

/// Decision on a batch job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchDecision {
    /// Forward it; the exact count decides.
    Forward,
    /// Refuse it; no part of it has been handed over.
    Refuse,
}

/// Admission state of one tenant.
#[derive(Debug)]
struct Tenant {
    probability: f64,
    probability_since: Millis,
    /// Earlier probabilities, oldest first, each with the time at which it was replaced.
    earlier: VecDeque<(Millis, f64)>,
    reading: Option<MeterReading>,
    last_used: Millis,
}

impl Tenant {
    fn new(now: Millis) -> Tenant {
        Tenant {
            probability: 1.0,
            probability_since: now,
            earlier: VecDeque::new(),
            reading: None,
            last_used: now,
        }
    }

    /// Time average of the probability over an interval. Before the first entry it is 1.
    fn average_probability(&self, from: Millis, to: Millis) -> f64 {
        if to <= from {
            return self.probability_at(to);
        }
        let mut sum = 0.0;
        let mut since = from;
        for (until, probability) in self
            .earlier
            .iter()
            .copied()
            .chain([(f64::INFINITY, self.probability)])
        {
            let until = until.min(to);
            sum += (until - since).max(0.0) * probability;
            since = since.max(until);
        }
        sum / (to - from)
    }

    fn probability_at(&self, time: Millis) -> f64 {
        let replaced_later = self.earlier.iter().find(|(until, _)| *until > time);
        replaced_later.map_or(self.probability, |(_, probability)| *probability)
    }

    fn set_probability(&mut self, now: Millis, probability: f64) {
        self.earlier
            .push_back((now.max(self.probability_since), self.probability));
        if self.earlier.len() > PROBABILITIES_KEPT {
            self.earlier.pop_front();
        }
        self.probability = probability;
        self.probability_since = now;
    }

    /// Whether a fresh reading shows that `tokens` more do not fit.
    fn shows_no_room(&self, now: Millis, tokens: u64, quota: u64, fresh: Millis) -> bool {
        let Some(reading) = &self.reading else {
            return false;
        };
        let is_fresh = now - reading.ended <= fresh;
        is_fresh && reading.waiting.saturating_add(tokens) > quota
    }
}

/// Batch admission of one process, for all tenants.
#[derive(Debug, Default)]
pub struct BatchAdmission {
    options: BatchAdmissionOptions,
    tenants: BTreeMap<String, Tenant>,
    last_sweep: Millis,
}

impl BatchAdmission {
    /// Creates an instance without tenants.
    pub fn new(options: BatchAdmissionOptions) -> BatchAdmission {
        BatchAdmission {
            options,
            ..BatchAdmission::default()
        }
    }

    /// Applies a reading. Readings of a period that was already used, or of an older one, are ignored.
    pub fn read(&mut self, now: Millis, tenant: &str, reading: MeterReading) {
        self.sweep(now);
        let minimum = self.options.min_probability.clamp(0.0, 1.0);
        let entry = self.entry(now, tenant);
        if entry
            .reading
            .is_some_and(|used| used.period >= reading.period)
        {
            return;
        }
        entry.reading = Some(reading);
        let probability = next_probability(
            entry.average_probability(reading.began, reading.ended),
            &reading,
        );
        entry.set_probability(now, probability.max(minimum));
    }

    /// Decides on a batch job of `tokens` under a quota; `draw` is a random number from 0 to 1.
    pub fn decide(
        &mut self,
        now: Millis,
        tenant: &str,
        tokens: u64,
        quota: u64,
        draw: f64,
    ) -> BatchDecision {
        self.sweep(now);
        let fresh = self.options.max_reading_age;
        let entry = self.entry(now, tenant);
        let may_refuse = quota > 0 && entry.shows_no_room(now, tokens, quota, fresh);
        if may_refuse && draw >= entry.probability {
            BatchDecision::Refuse
        } else {
            BatchDecision::Forward
        }
    }

    /// Probability that the next batch job of a tenant is admitted.
    pub fn admission_probability(&self, tenant: &str) -> f64 {
        self.tenants
            .get(tenant)
            .map_or(1.0, |entry| entry.probability)
    }

    /// Number of tenants with an entry.
    pub fn tenant_count(&self) -> usize {
        self.tenants.len()
    }

    fn entry(&mut self, now: Millis, tenant: &str) -> &mut Tenant {
        let entry = self
            .tenants
            .entry(tenant.to_string())
            .or_insert_with(|| Tenant::new(now));
        entry.last_used = now;
        entry
    }

    fn sweep(&mut self, now: Millis) {
        let idle = self.options.idle_timeout;
        if now - self.last_sweep < idle / SWEEPS_PER_IDLE_TIMEOUT {
            return;
        }
        self.last_sweep = now;
        self.tenants.retain(|_, entry| now - entry.last_used < idle);
    }
}

/// Returns min(1, p' / u).
fn next_probability(average: f64, reading: &MeterReading) -> f64 {
    if reading.quota == 0 {
        return 1.0;
    }
    let used = reading.waiting.saturating_add(reading.beyond) as f64 / reading.quota as f64;
    if used <= average {
        1.0
    } else {
        average / used
    }
}
