//! An attempt in flight, and the resources that it holds at its backend.

use super::affinity::SharedPrefix;
use super::backends::{InFlight, Member};
use super::health::AttemptRecord;
use super::Millis;
use alderhollow_model::backend::Backend;
use alderhollow_model::identity::Incarnation;
use std::sync::Arc;

/// The part of an attempt's prompt that was not cached when the attempt started.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct UncachedPrompt {
    pub(super) tokens: u64,
    /// Expected prefill time of these tokens, in microseconds.
    pub(super) prefill_us: u64,
    /// Whether a slot was free and no other prefill was known to be queued.
    pub(super) starts_immediately: bool,
}

/// An attempt in flight.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) backend: Arc<Backend>,
    pub(super) sender: Option<Incarnation>,
    pub(super) started: Millis,
    pub(super) expected: Millis,
    pub(super) tokens_in: u64,
    pub(super) tokens: u64,
    pub(super) uncached: UncachedPrompt,
    /// The shared prefix of its prompt. Set only in a placer.
    pub(super) prefix: Option<SharedPrefix>,
    pub(super) is_interactive: bool,
    /// Whether `started` is the time of sending, rather than the time when this process learned of the attempt.
    pub(super) is_start_known: bool,
    pub(super) response_started: bool,
}

impl InFlight {
    /// Removes a prompt from the pending prefill work, because it was processed or never will be.
    pub(super) fn finish_prefill(&mut self, uncached: UncachedPrompt) {
        self.prefill_us = self.prefill_us.saturating_sub(uncached.prefill_us);
    }
}

impl Member {
    /// Releases the resources that an attempt held.
    pub(super) fn release(&mut self, attempt: &Attempt) {
        let load = &mut self.in_flight;
        load.attempts = load.attempts.saturating_sub(1);
        load.interactive = load
            .interactive
            .saturating_sub(u32::from(attempt.is_interactive));
        load.tokens = load.tokens.saturating_sub(attempt.tokens);
        load.finish_prefill(attempt.uncached);
    }
}

impl Attempt {
    pub(super) fn record(&self, attempt: u64) -> AttemptRecord {
        AttemptRecord {
            attempt,
            sender: self.sender,
            started: self.started,
            expected: self.expected,
            response_started: self.response_started,
        }
    }
}
