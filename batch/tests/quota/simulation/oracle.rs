//! Oracle: the properties that must hold at each time.

use super::process::Client;
use alderhollow_batch::quota::account::SUBMISSION_TIMEOUT_MS;
use alderhollow_batch::quota::QuotaOutcome;
use std::collections::VecDeque;

/// Without faults, a job within the limit must be accepted within this time.
const ACCEPTED_WITHIN_MS: u64 = 400;
/// A job that was not accepted must have exceeded the limit at some time since this long before its submission.
const MEMORY_MS: u64 = 1_000;
/// A job that fits with this fraction of the limit to spare must always be accepted.
const AMPLE_DIVISOR: u64 = 20;
/// Time until all processes have communicated.
const WARM_UP_MS: u64 = 1_500;

/// Tally of a simulation run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Tally {
    /// Jobs that were accepted.
    pub accepted: u64,
    /// Answered clients of times without faults.
    pub judged: u64,
    /// Those of them whose job fitted during the whole last second but was not accepted in time.
    pub missed: u64,
}

/// Checks a simulation run.
#[derive(Debug)]
pub(super) struct Oracle {
    seed: u64,
    max: u64,
    is_calm: bool,
    /// Tokens counted by all primaries, by time.
    counts: VecDeque<(u64, u64)>,
    pub tally: Tally,
}

impl Oracle {
    pub(super) fn new(seed: u64, max: u64, is_calm: bool) -> Oracle {
        Oracle {
            seed,
            max,
            is_calm,
            counts: VecDeque::new(),
            tally: Tally::default(),
        }
    }

    /// Checks the actual queued tokens after jobs were accepted.
    pub(super) fn check_sum(&self, now_ms: u64, waiting: u64) {
        assert!(
            waiting <= self.max,
            "seed {}, {now_ms} ms: {waiting} tokens wait",
            self.seed
        );
    }

    /// Records the sum of the tokens counted by all primaries.
    pub(super) fn count(&mut self, now_ms: u64, counted: u64) {
        self.counts.push_back((now_ms, counted));
        while self
            .counts
            .front()
            .is_some_and(|(at_ms, _)| at_ms + 2 * MEMORY_MS < now_ms)
        {
            self.counts.pop_front();
        }
    }

    /// Checks the answer of a client.
    pub(super) fn resolved(
        &mut self,
        now_ms: u64,
        step_ms: u64,
        client: Client,
        outcome: QuotaOutcome,
    ) {
        let waited_ms = now_ms - client.since_ms;
        assert!(
            waited_ms <= SUBMISSION_TIMEOUT_MS + step_ms,
            "seed {}, {now_ms} ms: a client waited {waited_ms} ms",
            self.seed
        );
        if !self.is_calm || client.since_ms < WARM_UP_MS {
            return;
        }
        let left = self
            .max
            .saturating_sub(self.highest_since(client.since_ms - MEMORY_MS));
        let is_taken = outcome == QuotaOutcome::Fits && waited_ms <= ACCEPTED_WITHIN_MS;
        let amply_fitted = client.tokens + self.max / AMPLE_DIVISOR <= left;
        assert!(
            is_taken || !amply_fitted,
            "seed {}, {now_ms} ms: {outcome:?} after {waited_ms} ms for {client:?}, where {left} were left",
            self.seed
        );
        self.tally.judged += 1;
        self.tally.missed += u64::from(!is_taken && client.tokens <= left);
    }

    /// Checks that no client waits too long at a running process.
    pub(super) fn still_waits(&self, now_ms: u64, step_ms: u64, client: Client) {
        let patience_ms = SUBMISSION_TIMEOUT_MS + step_ms;
        assert!(
            client.since_ms + patience_ms >= now_ms,
            "seed {}: {client:?} has no answer",
            self.seed
        );
    }

    fn highest_since(&self, since_ms: u64) -> u64 {
        let recent = self.counts.iter().filter(|(at_ms, _)| *at_ms >= since_ms);
        recent.map(|(_, counted)| *counted).max().unwrap_or(0)
    }
}
