//! Metrics of the core's member in this process, and of its answers to polls.

use super::family::{Counter, Description, Gauge, Registrar};

const IS_PRIMARY: Description = Description {
    name: "alderhollow_core_primary",
    help: "1 while this process is the core's primary, else 0",
};
const EPOCH: Description = Description {
    name: "alderhollow_core_epoch",
    help: "The newest epoch of the core that this member knows",
};
const COMMITTED: Description = Description {
    name: "alderhollow_core_commits_total",
    help: "Times that the member's committed state moved on",
};
const POLLS: Description = Description {
    name: "alderhollow_core_polls_answered_total",
    help: "Answers to polls for tables",
};
const UPDATE_BYTES: Description = Description {
    name: "alderhollow_core_update_bytes_total",
    help: "Bytes of the answers that brought something newer to a poll",
};

/// Metrics of the core.
pub struct CoreMetrics {
    is_primary: Gauge,
    epoch: Gauge,
    committed: Counter,
    polls: Counter,
    update_bytes: Counter,
}

impl CoreMetrics {
    pub(super) fn new(registrar: &Registrar) -> CoreMetrics {
        CoreMetrics {
            is_primary: registrar.gauge(&IS_PRIMARY),
            epoch: registrar.gauge(&EPOCH),
            committed: registrar.counter(&COMMITTED),
            polls: registrar.counter(&POLLS),
            update_bytes: registrar.counter(&UPDATE_BYTES),
        }
    }

    /// The member's part.
    pub fn role(&self, is_primary: bool, epoch: u64) {
        self.is_primary.set_flag(is_primary);
        self.epoch.set(epoch);
    }

    /// The committed state moved on.
    pub fn committed(&self) {
        self.committed.increment();
    }

    /// A poll was answered; `update_bytes` is the size of an answer that brings something newer.
    pub fn poll_answered(&self, update_bytes: Option<usize>) {
        self.polls.increment();
        self.update_bytes.add(update_bytes.unwrap_or(0) as u64);
    }
}
