//! Versions of the model weights at one backend, as its responses and reports showed them.
//!
//! A request may expect a version of a model's weights, and a backend with another one declines it. That says something
//! about one model at one moment. Invariants: a record affects only requests that expect a version of the same model;
//! and no record excludes a backend for longer than [`MAX_HOLD_MS`] unless it is confirmed.

use super::hash::hash_name;
use super::health::backoff;
use super::Millis;

/// Initial and maximum time for which a record of another version excludes a backend; each refusal doubles it.
const INITIAL_HOLD_MS: Millis = 250.0;
const MAX_HOLD_MS: Millis = 5000.0;
/// Records per backend: clients name the models.
const MAX_RECORDS: usize = 8;
/// Initial and maximum interval between two requests for a backend's report; each failure doubles it.
const REPORT_INTERVAL_MS: Millis = 400.0;
const MAX_REPORT_INTERVAL_MS: Millis = 10_000.0;

/// A version of model weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WeightsVersion {
    /// A number, as specified.
    Number(u64),
    /// The hash of a text that is not a number. It equals only the same text.
    Opaque(u64),
}

impl WeightsVersion {
    /// Reads the value of a header.
    pub fn read(value: &[u8]) -> WeightsVersion {
        let text = String::from_utf8_lossy(value);
        let text = text.trim();
        text.parse()
            .map_or_else(|_| WeightsVersion::Opaque(hash_name(text)), Self::Number)
    }
}

/// The version of a model's weights that a request expects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExpectedWeights {
    /// Hash of the model's name.
    pub model: u64,
    /// The version.
    pub version: WeightsVersion,
}

/// Where a version was seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WeightsSource {
    /// In a response to a request.
    Response,
    /// In a report, which is requested again while requests wait for a version.
    Report,
}

/// Whether a backend can run a request that expects a version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum WeightsMatch {
    /// It has shown that version.
    Matching,
    /// Not known.
    Unknown,
    /// It had another version some time ago; one request may try.
    HalfOpen,
    /// It has another version. Not to be tried before this time.
    Other(Millis),
}

/// What a backend showed last about one model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shown {
    Version(WeightsVersion),
    /// Only that it was not this version.
    NotVersion(WeightsVersion),
}

#[derive(Debug)]
struct Record {
    model: u64,
    shown: Shown,
    refusals: u32,
    held_until: Millis,
}

/// What is known of the weights at one backend.
#[derive(Debug, Default)]
pub(super) struct BackendWeights {
    /// In order of their last change.
    records: Vec<Record>,
    report_asked_at: Option<Millis>,
    report_failures: u32,
}

impl BackendWeights {
    /// Whether the backend can run a request that expects this version.
    pub(super) fn match_of(&self, now: Millis, expected: ExpectedWeights) -> WeightsMatch {
        let record = self
            .records
            .iter()
            .find(|record| record.model == expected.model);
        let Some(record) = record else {
            return WeightsMatch::Unknown;
        };
        match record.shown {
            Shown::Version(version) if version == expected.version => WeightsMatch::Matching,
            Shown::NotVersion(version) if version != expected.version => WeightsMatch::Unknown,
            _ if now < record.held_until => WeightsMatch::Other(record.held_until),
            _ => WeightsMatch::HalfOpen,
        }
    }

    /// Records a version that the backend showed.
    pub(super) fn show(
        &mut self,
        now: Millis,
        model: u64,
        version: WeightsVersion,
        source: WeightsSource,
    ) {
        let hold = match source {
            WeightsSource::Response => INITIAL_HOLD_MS,
            WeightsSource::Report => MAX_HOLD_MS,
        };
        let previous = self.take(model);
        let shown = Shown::Version(version);
        let unchanged = previous.filter(|record| record.shown == shown);
        let (refusals, held_until) = unchanged.map_or((0, f64::NEG_INFINITY), |record| {
            (record.refusals, record.held_until)
        });
        self.put(Record {
            model,
            shown,
            refusals,
            held_until: held_until.max(now + hold),
        });
    }

    /// Records that the backend declined a request because of its weights. `random` is from 0 to 1.
    pub(super) fn refuse(
        &mut self,
        now: Millis,
        expected: ExpectedWeights,
        shown: Option<WeightsVersion>,
        random: f64,
    ) {
        let shown = match shown {
            Some(version) if version != expected.version => Shown::Version(version),
            _ => Shown::NotVersion(expected.version),
        };
        let previous = self.take(expected.model);
        let refusals = previous
            .filter(|record| record.shown == shown)
            .map_or(0, |record| record.refusals);
        let hold = backoff(INITIAL_HOLD_MS, MAX_HOLD_MS, refusals, random);
        self.put(Record {
            model: expected.model,
            shown,
            refusals: refusals.saturating_add(1),
            held_until: now + hold,
        });
    }

    /// Records that a request which expects a version was sent. While its response is due, no other one tries.
    pub(super) fn start_trial(&mut self, now: Millis, expected: ExpectedWeights) {
        if self.match_of(now, expected) != WeightsMatch::HalfOpen {
            return;
        }
        let mut records = self.records.iter_mut();
        if let Some(record) = records.find(|record| record.model == expected.model) {
            record.held_until = now + INITIAL_HOLD_MS;
        }
    }

    /// When the backend's report may be requested again.
    pub(super) fn report_due_at(&self) -> Millis {
        self.report_asked_at.map_or(f64::NEG_INFINITY, |asked_at| {
            asked_at
                + backoff(
                    REPORT_INTERVAL_MS,
                    MAX_REPORT_INTERVAL_MS,
                    self.report_failures,
                    0.5,
                )
        })
    }

    /// Records that the backend's report is being requested. It counts as missing until it is read.
    pub(super) fn report_requested(&mut self, now: Millis) {
        self.report_asked_at = Some(now);
        self.report_failures = self.report_failures.saturating_add(1);
    }

    /// Records that the backend's report was read.
    pub(super) fn report_read(&mut self) {
        self.report_failures = 0;
    }

    fn take(&mut self, model: u64) -> Option<Record> {
        let index = self
            .records
            .iter()
            .position(|record| record.model == model)?;
        Some(self.records.remove(index))
    }

    fn put(&mut self, record: Record) {
        if self.records.len() >= MAX_RECORDS {
            self.records.remove(0);
        }
        self.records.push(record);
    }
}
