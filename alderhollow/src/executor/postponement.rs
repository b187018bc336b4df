//! Paces the checks of items that wait for a version of model weights. No I/O and no clock.
//!
//! Invariant: however many items wait for a version, they are checked one after another, at most once per
//! `CHECK_SPACING_MS`; and items that try whether a backend has the version by now do so one at a time.

use crate::balance::{ExpectedWeights, Millis};
use std::collections::BTreeMap;

/// Minimum time until the next check of an item.
const CHECK_INTERVAL_MS: Millis = 300.0;
/// Interval between the checks of items that wait for the same version.
const CHECK_SPACING_MS: Millis = 2.0;
/// Interval between two items that try a backend which had another version.
const TRIAL_INTERVAL_MS: Millis = 250.0;

/// A version that items wait for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct AwaitedWeights {
    /// The service whose backends lack it.
    pub service: String,
    /// The version.
    pub expected: ExpectedWeights,
}

#[derive(Debug, Default)]
struct Check {
    /// When the last check is due.
    last_due_at: Millis,
    tried_at: Option<Millis>,
}

/// The times of the next checks, by awaited version.
#[derive(Debug, Default)]
pub struct WeightsChecks {
    checks: BTreeMap<AwaitedWeights, Check>,
}

impl WeightsChecks {
    /// Assigns the next check to an item. Returns the time until then.
    pub fn next_check_after_ms(&mut self, now: Millis, awaited: AwaitedWeights) -> u64 {
        self.checks
            .retain(|_, check| now <= check.last_due_at + CHECK_INTERVAL_MS);
        let check = self.checks.entry(awaited).or_default();
        check.last_due_at = (check.last_due_at + CHECK_SPACING_MS).max(now + CHECK_INTERVAL_MS);
        (check.last_due_at - now) as u64
    }

    /// Whether an item may try a backend now.
    pub fn may_try(&mut self, now: Millis, awaited: &AwaitedWeights) -> bool {
        let check = self.checks.entry(awaited.clone()).or_default();
        let is_due = check
            .tried_at
            .is_none_or(|tried_at| now - tried_at >= TRIAL_INTERVAL_MS);
        if is_due {
            check.tried_at = Some(now);
            check.last_due_at = check.last_due_at.max(now);
        }
        is_due
    }
}

#[cfg(test)]
mod tests;
