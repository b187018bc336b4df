//! Passive health checks of one backend: availability, slowness and failure rate, derived from the outcomes of
//! attempts. There are no active probes; when a backoff expires, one request serves as the probe. That holds for a
//! backend with requests that wait without a response, too, however long they wait.
//!
//! A failed connection or a missing response has two readings: the backend is at fault, or its sender is cut off. A
//! process knows only its own view of the backends that it sends to. What it learns of other senders' attempts counts
//! as the backend's fault once a second sender reports it.
//!
//! A request that ends without a response says little by itself: its client may have left it less time than the backend
//! needs, or it takes long at any backend. Only the time that such requests have waited together since the last response
//! counts.
//!
//! A backend at whose address another instance answered (421) is ejected too, and gets no requests as a last resort
//! either. It returns when it runs a request that names it.

use super::quality::ResponseQuality;
use super::{Millis, Outcome};
use alderhollow_model::identity::Incarnation;
use std::collections::BTreeMap;

/// Initial and maximum backoff after a failed connection or a broken response; each further failure doubles it.
const INITIAL_BACKOFF_MS: Millis = 300.0;
const MAX_BACKOFF_MS: Millis = 5000.0;
/// Initial backoff after a timeout. It is longer because a probe of an unresponsive backend delays a client.
const INITIAL_TIMEOUT_BACKOFF_MS: Millis = 1500.0;
/// Relative jitter of a backoff, so that senders do not probe a backend in lockstep.
const BACKOFF_JITTER: f64 = 0.3;
/// Initial and maximum backoff after a backend rejected a request at capacity.
const INITIAL_FULL_BACKOFF_MS: Millis = 25.0;
const MAX_FULL_BACKOFF_MS: Millis = 400.0;
/// A backend is unresponsive if an attempt gets no response within this multiple of its expected time, plus the
/// margin.
const UNRESPONSIVE_FACTOR: f64 = 4.0;
const UNRESPONSIVE_MARGIN_MS: Millis = 200.0;
/// With this many attempts waiting and no response since, half of that timeout applies.
const UNRESPONSIVE_ATTEMPTS: usize = 3;

/// Whether a backend may get a request, according to its health.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum HealthState {
    /// It accepts requests.
    Healthy,
    /// The backoff has expired: one request may probe it.
    HalfOpen,
    /// No requests until this time, unless all backends are ejected.
    Ejected(Millis),
    /// No requests until this time: another instance answered at the address.
    OtherInstance(Millis),
}

/// The request that probes an ejected backend.
#[derive(Debug, Clone, Copy)]
struct Probe {
    attempt: u64,
    started: Millis,
}

/// An attempt without a response.
#[derive(Debug, Clone, Copy)]
struct WaitingAttempt {
    started: Millis,
    expected: Millis,
    sender: Option<Incarnation>,
}

/// A failure that only one other sender has reported.
#[derive(Debug, Clone, Copy)]
struct Suspicion {
    sender: Incarnation,
    at: Millis,
}

/// Data of an attempt that the health checks use.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptRecord {
    pub(super) attempt: u64,
    /// The process that sent it; `None`: this one.
    pub(super) sender: Option<Incarnation>,
    pub(super) started: Millis,
    /// Expected time to the first event.
    pub(super) expected: Millis,
    pub(super) response_started: bool,
}

#[derive(Debug)]
pub(super) struct Health {
    failures: u32,
    suspicion: Option<Suspicion>,
    failed_at: Millis,
    ejected_until: Millis,
    probe: Option<Probe>,
    /// Whether the last attempt that showed an instance was answered by another one.
    is_other_instance: bool,
    declines: u32,
    full_until: Millis,
    full_backoff: Millis,
    /// Until when this process opens no connection to it, because it reached its own limit.
    connection_limited_until: Millis,
    last_response_at: Millis,
    /// For how long requests whose own time was over have waited since the last response, and until when that counts.
    unanswered_ms: Millis,
    unanswered_until: Millis,
    /// The attempts without a response, in order of their start.
    waiting: BTreeMap<u64, WaitingAttempt>,
    quality: ResponseQuality,
}

impl Health {
    /// The initial state: healthy.
    pub(super) fn new() -> Health {
        Health {
            failures: 0,
            suspicion: None,
            failed_at: f64::NEG_INFINITY,
            ejected_until: f64::NEG_INFINITY,
            probe: None,
            is_other_instance: false,
            declines: 0,
            full_until: f64::NEG_INFINITY,
            full_backoff: 0.0,
            connection_limited_until: f64::NEG_INFINITY,
            last_response_at: f64::NEG_INFINITY,
            unanswered_ms: 0.0,
            unanswered_until: f64::NEG_INFINITY,
            waiting: BTreeMap::new(),
            quality: ResponseQuality::new(),
        }
    }

    /// The current health state.
    pub(super) fn state(&self, now: Millis) -> HealthState {
        let unresponsive_since = self.unresponsive_since(now);
        if self.failures == 0 && unresponsive_since.is_none() {
            return HealthState::Healthy;
        }
        let unresponsive_until =
            unresponsive_since.map_or(f64::NEG_INFINITY, |since| since + MAX_BACKOFF_MS);
        let ejected_until = self.ejected_until.max(unresponsive_until);
        let until = if now < ejected_until {
            ejected_until
        } else if self.is_probing(now) {
            now + INITIAL_BACKOFF_MS
        } else {
            return HealthState::HalfOpen;
        };
        if self.is_other_instance {
            HealthState::OtherInstance(until)
        } else {
            HealthState::Ejected(until)
        }
    }

    /// Whether another instance answered at the address, and the backend has not shown itself since.
    pub(super) fn is_other_instance(&self) -> bool {
        self.is_other_instance
    }

    /// Since when the backend is unresponsive, if it is. Only attempts that started after the last response count, and
    /// those of other processes only if two of them wait.
    fn unresponsive_since(&self, now: Millis) -> Option<Millis> {
        let mut unanswered = self
            .waiting
            .values()
            .filter(|waiting| waiting.started >= self.last_response_at);
        let first = unanswered.next()?;
        let decisive = match first.sender {
            None => first,
            Some(_) => unanswered.find(|waiting| waiting.sender != first.sender)?,
        };
        let WaitingAttempt {
            started, expected, ..
        } = *decisive;
        let timeout = unresponsive_timeout(expected);
        let factor = if self.waiting.len() >= UNRESPONSIVE_ATTEMPTS {
            0.5
        } else {
            1.0
        };
        (now - started > timeout * factor).then_some(started)
    }

    /// Whether a probe is in flight whose response is still awaited. One that waits for longer is not waited for.
    fn is_probing(&self, now: Millis) -> bool {
        let in_flight = |probe: Probe| now - probe.started < MAX_BACKOFF_MS;
        self.probe.is_some_and(in_flight)
    }

    /// Whether this attempt probes the backend and has waited too long for a response.
    fn is_overdue_probe(&self, now: Millis, record: AttemptRecord) -> bool {
        let waited = now - record.started;
        let is_probe = self
            .probe
            .is_some_and(|probe| probe.attempt == record.attempt);
        is_probe && waited > unresponsive_timeout(record.expected)
    }

    fn end_probe(&mut self, attempt: u64) {
        self.probe = self.probe.filter(|probe| probe.attempt != attempt);
    }

    /// Until when the backend is at capacity. Low-priority requests wait one backoff longer.
    pub(super) fn full_until(&self, low_priority: bool) -> Millis {
        self.full_until + if low_priority { self.full_backoff } else { 0.0 }
    }

    /// Whether this process recently reached its own limit of connections to the backend.
    pub(super) fn is_connection_limited(&self, now: Millis) -> bool {
        now < self.connection_limited_until
    }

    /// Records the start of an attempt.
    pub(super) fn started(&mut self, record: AttemptRecord) {
        let AttemptRecord {
            attempt,
            sender,
            started,
            expected,
            ..
        } = record;
        if self.failures > 0 || self.unresponsive_since(started).is_some() {
            self.probe = Some(Probe { attempt, started });
        }
        let waiting = WaitingAttempt {
            started,
            expected,
            sender,
        };
        self.waiting.insert(attempt, waiting);
    }

    /// Records the first response event, and the time to it if known.
    pub(super) fn response_started(
        &mut self,
        now: Millis,
        record: AttemptRecord,
        elapsed: Option<Millis>,
    ) {
        self.waiting.remove(&record.attempt);
        self.note_response(now);
        self.quality
            .add_response_time(now, elapsed, record.expected);
        self.recover(record);
    }

    /// Removes an attempt whose outcome is unknown.
    pub(super) fn forget_attempt(&mut self, attempt: u64) {
        self.waiting.remove(&attempt);
        self.end_probe(attempt);
    }

    fn note_response(&mut self, now: Millis) {
        self.last_response_at = now;
        self.unanswered_ms = 0.0;
    }

    /// Whether a backend that did not complete a response within the request's time has had enough of it: its response
    /// had begun, or such requests have waited long enough together since its last response.
    fn had_enough_time(&mut self, now: Millis, record: AttemptRecord) -> bool {
        if record.response_started {
            return true;
        }
        let waited_from = record
            .started
            .max(self.last_response_at)
            .max(self.unanswered_until);
        self.unanswered_ms += (now - waited_from).max(0.0);
        self.unanswered_until = now;
        self.unanswered_ms > unresponsive_timeout(record.expected)
    }

    /// Records the outcome of an attempt and returns what it says about the backend. `random` is from 0 to 1.
    pub(super) fn ended(
        &mut self,
        now: Millis,
        record: AttemptRecord,
        outcome: Outcome,
        random: f64,
    ) -> Outcome {
        let was_silent = self
            .unresponsive_since(now)
            .is_some_and(|since| record.started <= since || self.is_overdue_probe(now, record));
        let had_enough_time = match outcome {
            Outcome::TimedOut | Outcome::DeadlineExceeded => {
                self.had_enough_time(now, record) || was_silent
            }
            _ => true,
        };
        let outcome = match outcome {
            Outcome::DeadlineExceeded if had_enough_time => Outcome::TimedOut,
            outcome => outcome,
        };
        self.waiting.remove(&record.attempt);
        self.end_probe(record.attempt);
        match outcome {
            Outcome::Served => {
                self.note_response(now);
                self.quality.add_failure_sample(now, 0.0);
                self.recover(record);
                self.declines = 0;
            }
            Outcome::Failed => {
                self.note_response(now);
                self.quality.add_failure_sample(now, 1.0);
                self.recover(record);
            }
            Outcome::Declined => self.declined(now, record, random),
            Outcome::ConnectionLimit => {
                self.back_off_full(now, record, random);
                self.connection_limited_until = self.full_until;
            }
            Outcome::NoConnection => {
                self.failed(now, record, INITIAL_BACKOFF_MS, random);
            }
            Outcome::Broken => {
                if self.failed(now, record, INITIAL_BACKOFF_MS, random) {
                    self.quality.add_failure_sample(now, 1.0);
                }
            }
            // The request may take long at any backend, while this one responds to others.
            Outcome::TimedOut if record.response_started || !had_enough_time => {
                self.quality.add_failure_sample(now, 1.0);
            }
            Outcome::TimedOut | Outcome::Cancelled if was_silent && !record.response_started => {
                self.eject(now, record, INITIAL_TIMEOUT_BACKOFF_MS, random);
            }
            Outcome::TimedOut => {
                self.failed(now, record, INITIAL_TIMEOUT_BACKOFF_MS, random);
            }
            Outcome::OtherInstance => {
                self.is_other_instance |= !self.is_same_failure(record);
                self.failed(now, record, INITIAL_BACKOFF_MS, random);
            }
            Outcome::Cancelled | Outcome::DeadlineExceeded | Outcome::OtherWeights => {}
        }
        outcome
    }

    /// Moving average of the response times relative to the expected times; 1 means as expected.
    pub(super) fn slowness(&self, now: Millis) -> f64 {
        self.quality.slowness(now)
    }

    /// Moving average of the share of failed responses.
    pub(super) fn failure_share(&self, now: Millis) -> f64 {
        self.quality.failure_share(now)
    }

    fn declined(&mut self, now: Millis, record: AttemptRecord, random: f64) {
        // Another sender reports a reached connection limit in the same way, and then the backend has said nothing.
        if record.sender.is_none() {
            self.note_response(now);
            // An instance at capacity may decline before it compares the instance that is named.
            if !self.is_other_instance {
                self.recover(record);
            }
        }
        self.back_off_full(now, record, random);
    }

    /// Counts the backend as at capacity for a backoff.
    fn back_off_full(&mut self, now: Millis, record: AttemptRecord, random: f64) {
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

    /// Records a failure. Returns whether it counts: it is neither part of the last one nor a mere suspicion.
    fn failed(
        &mut self,
        now: Millis,
        record: AttemptRecord,
        initial_backoff: Millis,
        random: f64,
    ) -> bool {
        if self.is_same_failure(record) || !self.is_confirmed(now, record) {
            return false;
        }
        self.eject(now, record, initial_backoff, random);
        true
    }

    /// Ejects the backend for a backoff, unless the failure is part of the last one.
    fn eject(&mut self, now: Millis, record: AttemptRecord, initial_backoff: Millis, random: f64) {
        if self.is_same_failure(record) {
            return;
        }
        self.ejected_until = now + backoff(initial_backoff, MAX_BACKOFF_MS, self.failures, random);
        self.failures = self.failures.saturating_add(1);
        self.failed_at = now;
        self.suspicion = None;
    }

    /// Whether a failure is more than one other sender's word. A failure of an ejected backend confirms the ejection.
    /// The first failure that one sender reports is kept, so that a second sender confirms it.
    fn is_confirmed(&mut self, now: Millis, record: AttemptRecord) -> bool {
        let Some(sender) = record.sender else {
            return true;
        };
        let by_another = |suspicion: Suspicion| {
            suspicion.sender != sender && now - suspicion.at <= MAX_BACKOFF_MS
        };
        if self.failures > 0 || self.suspicion.is_some_and(by_another) {
            return true;
        }
        self.suspicion = Some(Suspicion { sender, at: now });
        false
    }

    /// Attempts that were in flight together when the backend failed count as one failure.
    fn is_same_failure(&self, record: AttemptRecord) -> bool {
        self.failures > 0 && record.started <= self.failed_at
    }

    /// A response to an attempt that started after the last failure ends the outage, and one that started after a
    /// suspicion ends that.
    fn recover(&mut self, record: AttemptRecord) {
        self.suspicion = self
            .suspicion
            .filter(|suspicion| record.started <= suspicion.at);
        if record.started > self.failed_at {
            self.failures = 0;
            self.probe = None;
            self.is_other_instance = false;
        }
    }
}

/// How long an attempt may wait for a response before its backend counts as unresponsive.
fn unresponsive_timeout(expected: Millis) -> Millis {
    UNRESPONSIVE_FACTOR * expected + UNRESPONSIVE_MARGIN_MS
}

/// Exponential backoff with jitter.
pub(super) fn backoff(
    first: Millis,
    longest: Millis,
    previous_failures: u32,
    random: f64,
) -> Millis {
    let doubled = first * f64::from(1u32 << previous_failures.min(10));
    doubled.min(longest) * (1.0 + BACKOFF_JITTER * (random - 0.5))
}
