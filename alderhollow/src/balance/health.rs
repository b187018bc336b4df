//! What the ends of attempts tell of one backend: whether it is up, how slow it is, how often it fails. There are no
//! probes; after a pause one request is the trial.

use super::{Millis, Outcome};
use std::collections::BTreeMap;

/// First pause after a failed connection or a broken answer, and the longest; each further failure doubles it.
const INITIAL_BACKOFF_MS: Millis = 300.0;
const MAX_BACKOFF_MS: Millis = 5000.0;
/// First pause after silence: a trial of a silent backend costs a client its time.
const INITIAL_TIMEOUT_BACKOFF_MS: Millis = 1500.0;
/// A pause varies by this part of it, so that senders do not try a backend in step.
const BACKOFF_JITTER: f64 = 0.3;
/// First pause after a backend declined for want of room, and the longest.
const INITIAL_FULL_BACKOFF_MS: Millis = 25.0;
const MAX_FULL_BACKOFF_MS: Millis = 400.0;
/// An attempt without any sign for so many times what it was expected to take, and so much more, is silent.
const UNRESPONSIVE_FACTOR: f64 = 4.0;
const UNRESPONSIVE_MARGIN_MS: Millis = 200.0;
/// With so many attempts waiting and no sign since, half of that will do.
const UNRESPONSIVE_ATTEMPTS: usize = 3;
/// Weight of a new sample in the averages of slowness and of failures, and the time in which they fade to a third.
const SLOWNESS_WEIGHT: f64 = 0.1;
const FAILURE_WEIGHT: f64 = 0.1;
const AVERAGE_DECAY_MS: Millis = 8000.0;
/// Most that one answer counts as slow, in expected times.
const MAX_SLOWNESS: f64 = 5.0;

/// Whether a backend may get a request, as far as its health goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum HealthState {
    /// It may.
    Healthy,
    /// Its pause is over: one request may try it.
    HalfOpen,
    /// Not before this moment, unless all are out.
    Ejected(Millis),
}

/// What is known of one attempt when it ends.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptRecord {
    pub(super) attempt: u64,
    pub(super) started: Millis,
    /// Expected time to the first sign.
    pub(super) expected: Millis,
    pub(super) response_started: bool,
}

/// The health of one backend.
#[derive(Debug)]
pub(super) struct Health {
    failures: u32,
    failed_at: Millis,
    ejected_until: Millis,
    probe: Option<u64>,
    declines: u32,
    full_until: Millis,
    full_backoff: Millis,
    last_response_at: Millis,
    /// Attempts without a sign, in the order of their start.
    waiting: BTreeMap<u64, (Millis, Millis)>,
    slowness: f64,
    failure_share: f64,
    averages_updated_at: Millis,
}

impl Health {
    /// A backend of which nothing is known.
    pub(super) fn new() -> Health {
        Health {
            failures: 0,
            failed_at: f64::NEG_INFINITY,
            ejected_until: f64::NEG_INFINITY,
            probe: None,
            declines: 0,
            full_until: f64::NEG_INFINITY,
            full_backoff: 0.0,
            last_response_at: f64::NEG_INFINITY,
            waiting: BTreeMap::new(),
            slowness: 1.0,
            failure_share: 0.0,
            averages_updated_at: 0.0,
        }
    }

    /// Whether it may get a request.
    pub(super) fn state(&self, now: Millis) -> HealthState {
        if let Some(since) = self.unresponsive_since(now) {
            return HealthState::Ejected(since + MAX_BACKOFF_MS);
        }
        if self.failures == 0 {
            HealthState::Healthy
        } else if now < self.ejected_until {
            HealthState::Ejected(self.ejected_until)
        } else if self.probe.is_some() {
            HealthState::Ejected(now + INITIAL_BACKOFF_MS)
        } else {
            HealthState::HalfOpen
        }
    }

    /// Since when it has answered nothing, if it is silent. An attempt counts if nothing at all came after its start.
    fn unresponsive_since(&self, now: Millis) -> Option<Millis> {
        let (started, expected) = *self
            .waiting
            .values()
            .find(|(started, _)| *started >= self.last_response_at)?;
        let timeout = UNRESPONSIVE_FACTOR * expected + UNRESPONSIVE_MARGIN_MS;
        let factor = if self.waiting.len() >= UNRESPONSIVE_ATTEMPTS {
            0.5
        } else {
            1.0
        };
        (now - started > timeout * factor).then_some(started)
    }

    /// Until when it is full, for requests of a rank. Low ranks wait longer.
    pub(super) fn full_until(&self, low_priority: bool) -> Millis {
        self.full_until + if low_priority { self.full_backoff } else { 0.0 }
    }

    /// Notes a start.
    pub(super) fn started(&mut self, now: Millis, attempt: u64, expected: Millis) {
        if self.failures > 0 {
            self.probe = Some(attempt);
        }
        self.waiting.insert(attempt, (now, expected));
    }

    /// Notes the first sign of an answer, and the time that it took where that is known.
    pub(super) fn response_started(
        &mut self,
        now: Millis,
        record: AttemptRecord,
        elapsed: Option<Millis>,
    ) {
        self.waiting.remove(&record.attempt);
        self.last_response_at = now;
        self.decay_averages(now);
        if let Some(elapsed) = elapsed {
            let slowness = (elapsed / record.expected.max(1.0)).min(MAX_SLOWNESS);
            self.slowness += SLOWNESS_WEIGHT * (slowness - self.slowness);
        }
        self.recover(record);
    }

    /// An attempt is known no more, without an end.
    pub(super) fn forget_attempt(&mut self, attempt: u64) {
        self.waiting.remove(&attempt);
        if self.probe == Some(attempt) {
            self.probe = None;
        }
    }

    /// Notes an end. `draw` is from 0 to 1.
    pub(super) fn ended(
        &mut self,
        now: Millis,
        record: AttemptRecord,
        outcome: Outcome,
        random: f64,
    ) {
        let was_unresponsive = self
            .unresponsive_since(now)
            .is_some_and(|since| record.started <= since);
        self.waiting.remove(&record.attempt);
        if self.probe == Some(record.attempt) {
            self.probe = None;
        }
        match outcome {
            Outcome::Served => {
                self.last_response_at = now;
                self.record_failure_sample(now, 0.0);
                self.recover(record);
                self.declines = 0;
            }
            Outcome::Failed => {
                self.last_response_at = now;
                self.record_failure_sample(now, 1.0);
                self.recover(record);
            }
            Outcome::Declined => self.declined(now, record, random),
            Outcome::NoConnection => self.failed(now, record, INITIAL_BACKOFF_MS, random),
            Outcome::Broken => {
                if !self.is_same_failure(record) {
                    self.record_failure_sample(now, 1.0);
                }
                self.failed(now, record, INITIAL_BACKOFF_MS, random);
            }
            Outcome::TimedOut if record.response_started => self.record_failure_sample(now, 1.0),
            Outcome::TimedOut => self.failed(now, record, INITIAL_TIMEOUT_BACKOFF_MS, random),
            Outcome::Cancelled if was_unresponsive && !record.response_started => {
                self.failed(now, record, INITIAL_TIMEOUT_BACKOFF_MS, random);
            }
            Outcome::Cancelled | Outcome::OtherInstance => {}
        }
    }

    /// What it is slower than expected, 1 if it is not, in the average of late.
    pub(super) fn slowness(&self, now: Millis) -> f64 {
        1.0 + (self.slowness - 1.0) * self.decay(now)
    }

    /// Share of its answers of late that are failures.
    pub(super) fn failure_share(&self, now: Millis) -> f64 {
        self.failure_share * self.decay(now)
    }

    fn declined(&mut self, now: Millis, record: AttemptRecord, random: f64) {
        self.last_response_at = now;
        self.recover(record);
        if record.started < self.full_until - self.full_backoff {
            return;
        }
        self.full_backoff = backoff(
            INITIAL_FULL_BACKOFF_MS,
            MAX_FULL_BACKOFF_MS,
            self.declines,
            random,
        );
        self.declines = self.declines.saturating_add(1);
        self.full_until = now + self.full_backoff;
    }

    fn failed(&mut self, now: Millis, record: AttemptRecord, initial_backoff: Millis, random: f64) {
        if self.is_same_failure(record) {
            return;
        }
        self.ejected_until = now + backoff(initial_backoff, MAX_BACKOFF_MS, self.failures, random);
        self.failures = self.failures.saturating_add(1);
        self.failed_at = now;
    }

    /// Attempts that were under way together when it went down are one failure.
    fn is_same_failure(&self, record: AttemptRecord) -> bool {
        self.failures > 0 && record.started <= self.failed_at
    }

    /// A sign of an attempt that started after the last failure ends the outage.
    fn recover(&mut self, record: AttemptRecord) {
        if record.started > self.failed_at {
            self.failures = 0;
            self.probe = None;
        }
    }

    fn record_failure_sample(&mut self, now: Millis, sample: f64) {
        self.decay_averages(now);
        self.failure_share += FAILURE_WEIGHT * (sample - self.failure_share);
    }

    fn decay_averages(&mut self, now: Millis) {
        let decay = self.decay(now);
        self.slowness = 1.0 + (self.slowness - 1.0) * decay;
        self.failure_share *= decay;
        self.averages_updated_at = now;
    }

    fn decay(&self, now: Millis) -> f64 {
        (-(now - self.averages_updated_at).max(0.0) / AVERAGE_DECAY_MS).exp()
    }
}

/// A pause that doubles with each time before, with jitter.
fn backoff(first: Millis, longest: Millis, previous_failures: u32, random: f64) -> Millis {
    let doubled = first * f64::from(1u32 << previous_failures.min(10));
    doubled.min(longest) * (1.0 + BACKOFF_JITTER * (random - 0.5))
}
