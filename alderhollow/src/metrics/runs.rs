//! Metrics of the requests of runs to backends.

use super::family::{Counter, Description, Registrar};

const SENT_BYTES: Description = Description {
    name: "alderhollow_run_sent_bytes_total",
    help: "Bytes of the bodies that runs were to send to backends, without heads",
};
const RECEIVED_BYTES: Description = Description {
    name: "alderhollow_run_received_bytes_total",
    help: "Bytes of the bodies that runs read from backends, without heads",
};

/// Metrics of runs.
pub struct RunMetrics {
    sent_bytes: Counter,
    received_bytes: Counter,
}

impl RunMetrics {
    pub(super) fn new(registrar: &Registrar) -> RunMetrics {
        RunMetrics {
            sent_bytes: registrar.counter(&SENT_BYTES),
            received_bytes: registrar.counter(&RECEIVED_BYTES),
        }
    }

    /// A body of this size goes to a backend.
    pub fn sent(&self, bytes: usize) {
        self.sent_bytes.add(bytes as u64);
    }

    /// A piece of an answer of this size was read.
    pub fn received(&self, bytes: usize) {
        self.received_bytes.add(bytes as u64);
    }
}
