//! Requests as the classification sees them: the connection that was used, and the outcome.

use crate::protocol::Micros;
use serde::{Deserialize, Serialize};

/// Connection that a request used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionUse {
    /// The customer's last connection to that backend, which nobody else has used since.
    Kept,
    /// Another connection, or one that another customer has used since, within a run.
    ChangedInRun,
    /// The same between two runs.
    ChangedBetween,
}

impl ConnectionUse {
    /// `same`: it is the customer's last connection to that backend, and nobody else has used it since. `since`: the
    /// time since the end of the customer's last request there, if there was one: a first request leaves no state
    /// behind. `gap`: the longest pause within a run. Times in microseconds.
    pub fn of(same: bool, since: Option<Micros>, gap: Micros) -> ConnectionUse {
        match (same, since) {
            (true, _) | (_, None) => ConnectionUse::Kept,
            (false, Some(since)) if since <= gap => ConnectionUse::ChangedInRun,
            (false, Some(_)) => ConnectionUse::ChangedBetween,
        }
    }
}

/// How a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The backend answered 500.
    Http500,
    /// The connection broke.
    Reset,
    /// The request timed out.
    Timeout,
}

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Success.
    Fine,
    /// Failure.
    Failed(Failure),
    /// The customer closed its connection: not counted.
    CustomersOwn,
}

/// Number of requests and of failed ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// All requests.
    pub requests: u16,
    /// Failed requests: status 500, resets, timeouts.
    pub failed: [u16; 3],
}

impl Tally {
    /// Number of failed requests.
    pub fn failures(&self) -> u32 {
        self.failed.iter().map(|&count| u32::from(count)).sum()
    }

    /// A counter at its maximum takes no more of either, so that the rate stays correct.
    pub(super) fn add(&mut self, other: Tally) {
        if self.requests.checked_add(other.requests).is_none() {
            return;
        }
        self.requests += other.requests;
        for (mine, more) in self.failed.iter_mut().zip(other.failed) {
            *mine = mine.saturating_add(more);
        }
    }
}
