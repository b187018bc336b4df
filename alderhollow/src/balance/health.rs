//! What the ends of attempts tell of one backend: whether it is up, how slow it is, how often it fails. There are no
//! probes; after a pause one request is the trial.

use super::{Millis, Outcome};
use std::collections::BTreeMap;

/// First pause after a failed connection or a broken answer, and the longest; each further failure doubles it.
const FIRST_PAUSE_MS: Millis = 300.0;
const LONGEST_PAUSE_MS: Millis = 5000.0;
/// First pause after silence: a trial of a silent backend costs a client its time.
const FIRST_PAUSE_AFTER_SILENCE_MS: Millis = 1500.0;
/// A pause varies by this part of it, so that senders do not try a backend in step.
const JITTER: f64 = 0.3;
/// First pause after a backend declined for want of room, and the longest.
const FIRST_FULL_PAUSE_MS: Millis = 25.0;
const LONGEST_FULL_PAUSE_MS: Millis = 400.0;
/// An attempt without any sign for so many times what it was expected to take, and so much more, is silent.
const SILENT_FACTOR: f64 = 4.0;
const SILENT_FLOOR_MS: Millis = 200.0;
/// With so many attempts waiting and no sign since, half of that will do.
const SILENT_TOGETHER: usize = 3;
/// Weight of a new sample in the averages of slowness and of failures, and the time in which they fade to a third.
const SLOWNESS_SAMPLE: f64 = 0.1;
const FAILURE_SAMPLE: f64 = 0.1;
const FADE_MS: Millis = 8000.0;
/// Most that one answer counts as slow, in expected times.
const MOST_SLOWNESS: f64 = 5.0;

/// Whether a backend may get a request, as far as its health goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Standing {
    /// It may.
    Up,
    /// Its pause is over: one request may try it.
    Trial,
    /// Not before this moment, unless all are out.
    Out(Millis),
}

/// What is known of one attempt when it ends.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptRecord {
    pub(super) attempt: u64,
    pub(super) started: Millis,
    /// Expected time to the first sign.
    pub(super) expected: Millis,
    pub(super) began: bool,
}

/// The health of one backend.
#[derive(Debug)]
pub(super) struct Health {
    failures: u32,
    failed_at: Millis,
    out_until: Millis,
    trial: Option<u64>,
    declines: u32,
    full_until: Millis,
    full_pause: Millis,
    sign_at: Millis,
    /// Attempts without a sign, in the order of their start.
    waiting: BTreeMap<u64, (Millis, Millis)>,
    slowness: f64,
    failure_share: f64,
    averaged_at: Millis,
}

impl Health {
    /// A backend of which nothing is known.
    pub(super) fn new() -> Health {
        Health {
            failures: 0,
            failed_at: f64::NEG_INFINITY,
            out_until: f64::NEG_INFINITY,
            trial: None,
            declines: 0,
            full_until: f64::NEG_INFINITY,
            full_pause: 0.0,
            sign_at: f64::NEG_INFINITY,
            waiting: BTreeMap::new(),
            slowness: 1.0,
            failure_share: 0.0,
            averaged_at: 0.0,
        }
    }

    /// Whether it may get a request.
    pub(super) fn standing(&self, now: Millis) -> Standing {
        if let Some(since) = self.silent_since(now) {
            return Standing::Out(since + LONGEST_PAUSE_MS);
        }
        if self.failures == 0 {
            Standing::Up
        } else if now < self.out_until {
            Standing::Out(self.out_until)
        } else if self.trial.is_some() {
            Standing::Out(now + FIRST_PAUSE_MS)
        } else {
            Standing::Trial
        }
    }

    /// Since when it has answered nothing, if it is silent. An attempt counts if nothing at all came after its start.
    fn silent_since(&self, now: Millis) -> Option<Millis> {
        let (started, expected) = *self
            .waiting
            .values()
            .find(|(started, _)| *started >= self.sign_at)?;
        let patience = SILENT_FACTOR * expected + SILENT_FLOOR_MS;
        let together = if self.waiting.len() >= SILENT_TOGETHER {
            0.5
        } else {
            1.0
        };
        (now - started > patience * together).then_some(started)
    }

    /// Until when it is full, for requests of a rank. Low ranks wait longer.
    pub(super) fn full_until(&self, low_rank: bool) -> Millis {
        self.full_until + if low_rank { self.full_pause } else { 0.0 }
    }

    /// Notes a start.
    pub(super) fn started(&mut self, now: Millis, attempt: u64, expected: Millis) {
        if self.failures > 0 {
            self.trial = Some(attempt);
        }
        self.waiting.insert(attempt, (now, expected));
    }

    /// Notes the first sign of an answer, and the time that it took where that is known.
    pub(super) fn began(&mut self, now: Millis, record: AttemptRecord, took: Option<Millis>) {
        self.waiting.remove(&record.attempt);
        self.sign_at = now;
        self.fade(now);
        if let Some(took) = took {
            let slowness = (took / record.expected.max(1.0)).min(MOST_SLOWNESS);
            self.slowness += SLOWNESS_SAMPLE * (slowness - self.slowness);
        }
        self.recover(record);
    }

    /// An attempt is known no more, without an end.
    pub(super) fn withdrawn(&mut self, attempt: u64) {
        self.waiting.remove(&attempt);
        if self.trial == Some(attempt) {
            self.trial = None;
        }
    }

    /// Notes an end. `draw` is from 0 to 1.
    pub(super) fn ended(
        &mut self,
        now: Millis,
        record: AttemptRecord,
        outcome: Outcome,
        draw: f64,
    ) {
        let was_silent = self
            .silent_since(now)
            .is_some_and(|since| record.started <= since);
        self.waiting.remove(&record.attempt);
        if self.trial == Some(record.attempt) {
            self.trial = None;
        }
        match outcome {
            Outcome::Served => {
                self.sign_at = now;
                self.average_failure(now, 0.0);
                self.recover(record);
                self.declines = 0;
            }
            Outcome::Failed => {
                self.sign_at = now;
                self.average_failure(now, 1.0);
                self.recover(record);
            }
            Outcome::Declined => self.declined(now, record, draw),
            Outcome::NoConnection => self.failed(now, record, FIRST_PAUSE_MS, draw),
            Outcome::Broken => {
                if !self.is_same_failure(record) {
                    self.average_failure(now, 1.0);
                }
                self.failed(now, record, FIRST_PAUSE_MS, draw);
            }
            Outcome::TimedOut if record.began => self.average_failure(now, 1.0),
            Outcome::TimedOut => self.failed(now, record, FIRST_PAUSE_AFTER_SILENCE_MS, draw),
            Outcome::Cancelled if was_silent && !record.began => {
                self.failed(now, record, FIRST_PAUSE_AFTER_SILENCE_MS, draw);
            }
            Outcome::Cancelled | Outcome::OtherInstance => {}
        }
    }

    /// What it is slower than expected, 1 if it is not, in the average of late.
    pub(super) fn slowness(&self, now: Millis) -> f64 {
        1.0 + (self.slowness - 1.0) * self.kept(now)
    }

    /// Share of its answers of late that are failures.
    pub(super) fn failure_share(&self, now: Millis) -> f64 {
        self.failure_share * self.kept(now)
    }

    fn declined(&mut self, now: Millis, record: AttemptRecord, draw: f64) {
        self.sign_at = now;
        self.recover(record);
        if record.started < self.full_until - self.full_pause {
            return;
        }
        self.full_pause = pause(
            FIRST_FULL_PAUSE_MS,
            LONGEST_FULL_PAUSE_MS,
            self.declines,
            draw,
        );
        self.declines = self.declines.saturating_add(1);
        self.full_until = now + self.full_pause;
    }

    fn failed(&mut self, now: Millis, record: AttemptRecord, first_pause: Millis, draw: f64) {
        if self.is_same_failure(record) {
            return;
        }
        self.out_until = now + pause(first_pause, LONGEST_PAUSE_MS, self.failures, draw);
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
            self.trial = None;
        }
    }

    fn average_failure(&mut self, now: Millis, sample: f64) {
        self.fade(now);
        self.failure_share += FAILURE_SAMPLE * (sample - self.failure_share);
    }

    fn fade(&mut self, now: Millis) {
        let kept = self.kept(now);
        self.slowness = 1.0 + (self.slowness - 1.0) * kept;
        self.failure_share *= kept;
        self.averaged_at = now;
    }

    fn kept(&self, now: Millis) -> f64 {
        (-(now - self.averaged_at).max(0.0) / FADE_MS).exp()
    }
}

/// A pause that doubles with each time before, with jitter.
fn pause(first: Millis, longest: Millis, times_before: u32, draw: f64) -> Millis {
    let doubled = first * f64::from(1u32 << times_before.min(10));
    doubled.min(longest) * (1.0 + JITTER * (draw - 0.5))
}
