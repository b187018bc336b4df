//! Whether a process's tables are recent enough to answer from.
//!
//! The answer of a primary with a lease includes every change that was acknowledged before the poll was sent. A later change
//! must take effect within `config-apply-ms`, so answers from the tables are correct until that time after the poll.

use super::client::PollState;
use crate::clock::SteadyClock;
use std::time::Duration;

/// Fraction of `config-apply-ms` that is reserved for clock drift and for a process that is suspended between the check and
/// its answer.
const MARGIN: f64 = 0.1;

/// Validity of the process's tables, by the age of the newest validated poll.
#[derive(Debug, Clone)]
pub struct TableValidity {
    polls: PollState,
    clock: SteadyClock,
    max_age_ms: u64,
}

impl TableValidity {
    /// Validity of the tables updated by these polls. Changes must take effect within `config_apply`.
    pub fn new(polls: PollState, clock: SteadyClock, config_apply: Duration) -> TableValidity {
        let max_age = config_apply.mul_f64(1.0 - MARGIN);
        TableValidity {
            polls,
            clock,
            max_age_ms: u64::try_from(max_age.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Whether the tables include every change that must have taken effect by now.
    pub fn is_current(&self) -> bool {
        let validated_ms = self.polls.validated_since_ms();
        validated_ms.is_some_and(|at| self.clock.now_ms().saturating_sub(at) <= self.max_age_ms)
    }
}
