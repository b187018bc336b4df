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

/// What a backend showed about one model. It shows one version; if it shows none, it may show of several that it has not
/// got them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shown {
    Version(WeightsVersion),
    /// Only that it was not this version.
    NotVersion(WeightsVersion),
}

impl Shown {
    /// Whether it says that the backend has not got this version.
    fn excludes(self, version: WeightsVersion) -> bool {
        match self {
            Shown::Version(shown) => shown != version,
            Shown::NotVersion(missing) => missing == version,
        }
    }
}

#[derive(Debug)]
struct Record {
    model: u64,
    shown: Shown,
    hold: Hold,
}

/// For how long a record excludes the backend.
#[derive(Debug, Clone, Copy)]
struct Hold {
    refusals: u32,
    until: Millis,
}

impl Hold {
    const NONE: Hold = Hold {
        refusals: 0,
        until: f64::NEG_INFINITY,
    };

    fn longer(self, other: Hold) -> Hold {
        Hold {
            refusals: self.refusals.max(other.refusals),
            until: self.until.max(other.until),
        }
    }
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
        let mut records = self
            .records
            .iter()
            .filter(|record| record.model == expected.model);
        let is_shown = Shown::Version(expected.version);
        if records.clone().any(|record| record.shown == is_shown) {
            return WeightsMatch::Matching;
        }
        match records.find(|record| record.shown.excludes(expected.version)) {
            None => WeightsMatch::Unknown,
            Some(record) if now < record.hold.until => WeightsMatch::Other(record.hold.until),
            Some(_) => WeightsMatch::HalfOpen,
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
        let shown = Shown::Version(version);
        let previous = self.replace(model, shown);
        let until = previous.until.max(now + hold);
        self.put(model, shown, Hold { until, ..previous });
    }

    /// Records that the backend declined a request because of its weights. `random` is from 0 to 1.
    pub(super) fn refuse(
        &mut self,
        now: Millis,
        expected: ExpectedWeights,
        shown: Option<WeightsVersion>,
        random: f64,
    ) {
        let known = shown.or_else(|| self.version(expected.model));
        let shown = match known {
            Some(version) if version != expected.version => Shown::Version(version),
            _ => Shown::NotVersion(expected.version),
        };
        let previous = self.replace(expected.model, shown);
        let hold = backoff(INITIAL_HOLD_MS, MAX_HOLD_MS, previous.refusals, random);
        self.put(
            expected.model,
            shown,
            Hold {
                refusals: previous.refusals.saturating_add(1),
                until: now + hold,
            },
        );
    }

    /// Records that a request which expects a version was sent. While its response is due, no other one tries.
    pub(super) fn start_trial(&mut self, now: Millis, expected: ExpectedWeights) {
        if self.match_of(now, expected) != WeightsMatch::HalfOpen {
            return;
        }
        let record = self.records.iter_mut().find(|record| {
            record.model == expected.model && record.shown.excludes(expected.version)
        });
        if let Some(record) = record {
            record.hold.until = now + INITIAL_HOLD_MS;
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

    /// The version that the backend showed last.
    fn version(&self, model: u64) -> Option<WeightsVersion> {
        self.records.iter().find_map(|record| match record.shown {
            Shown::Version(version) if record.model == model => Some(version),
            _ => None,
        })
    }

    /// Removes what a newer response of the backend replaces. Returns how long it has excluded the backend from requests
    /// that the new record excludes, too.
    fn replace(&mut self, model: u64, newer: Shown) -> Hold {
        let mut hold = Hold::NONE;
        self.records.retain(|record| {
            let is_replaced = match (record.shown, newer) {
                _ if record.model != model => false,
                (Shown::NotVersion(one), Shown::NotVersion(other)) => one == other,
                _ => true,
            };
            let goes_on = match (record.shown, newer) {
                (Shown::NotVersion(missing), Shown::Version(version)) => missing != version,
                (former, newer) => former == newer,
            };
            if is_replaced && goes_on {
                hold = hold.longer(record.hold);
            }
            !is_replaced
        });
        hold
    }

    fn put(&mut self, model: u64, shown: Shown, hold: Hold) {
        if self.records.len() >= MAX_RECORDS {
            self.records.remove(0);
        }
        self.records.push(Record { model, shown, hold });
    }
}
