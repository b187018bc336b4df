//! Metrics of violations of invariants.

use super::family::{CounterFamily, Description, Registrar};
use crate::invariant::Invariant;

const VIOLATIONS: Description = Description {
    name: "alderhollow_invariant_violations_total",
    help: "Times that something did not hold which must always hold, by invariant; any is a fault of the program",
};

/// Metrics of violations.
pub struct InvariantMetrics {
    violations: CounterFamily<Invariant>,
}

impl InvariantMetrics {
    pub(super) fn new(registrar: &Registrar) -> InvariantMetrics {
        InvariantMetrics {
            violations: registrar.counters(&VIOLATIONS),
        }
    }

    /// An invariant was violated; gives how often so far.
    pub fn violated(&self, invariant: Invariant) -> u64 {
        let counter = self.violations.of(invariant);
        counter.increment();
        counter.get()
    }
}
