//! Metrics of a process's polls of the core's primary.

use super::family::{label, CounterFamily, Description, Durations, Registrar};
use std::time::Duration;

const POLL_ENDS: Description = Description {
    name: "alderhollow_distribution_polls_total",
    help: "Polls of this process for tables, by their end",
};
const ANSWER_SECONDS: Description = Description {
    name: "alderhollow_distribution_table_seconds",
    help: "Time from sending a poll to its answer, of answers that brought newer tables",
};

label! {
    /// The end of a poll.
    PollEnd named "end" {
        /// A primary with a lease answered.
        Updated => "updated",
        /// No answer came in time; it may still have come later.
        Overdue => "overdue",
        /// The process is not the primary.
        Redirected => "redirected",
        /// The process could not be reached, or the poll failed otherwise.
        Failed => "failed",
    }
}

/// Metrics of the polls.
pub struct DistributionMetrics {
    poll_ends: CounterFamily<PollEnd>,
    answer_seconds: Durations,
}

impl DistributionMetrics {
    pub(super) fn new(registrar: &Registrar) -> DistributionMetrics {
        DistributionMetrics {
            poll_ends: registrar.counters(&POLL_ENDS),
            answer_seconds: registrar.durations(&ANSWER_SECONDS),
        }
    }

    /// A poll ended.
    pub fn poll_ended(&self, end: PollEnd) {
        self.poll_ends.of(end).increment();
    }

    /// Newer tables came so long after their poll was sent.
    pub fn tables_received(&self, after: Duration) {
        self.answer_seconds.observe(after);
    }
}
