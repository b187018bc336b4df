//! Metrics of what backends say about themselves and their weights.

use super::family::{label, CounterFamily, Description, Registrar};

const MISDIRECTED: Description = Description {
    name: "alderhollow_backend_misdirected_total",
    help: "Responses with status 421, by the reason that the evidence shows",
};
label! {
    /// The reason for a 421.
    MisdirectionReason named "reason" {
        /// Another instance answers at the address.
        OtherInstance => "other_instance",
        /// The weights are not those that the request expects.
        OtherWeights => "other_weights",
        /// The evidence contradicts both.
        Unexplained => "unexplained",
    }
}

/// Metrics of backends.
pub struct BackendMetrics {
    misdirected: CounterFamily<MisdirectionReason>,
}

impl BackendMetrics {
    pub(super) fn new(registrar: &Registrar) -> BackendMetrics {
        BackendMetrics {
            misdirected: registrar.counters(&MISDIRECTED),
        }
    }

    /// A backend answered 421.
    pub fn misdirected(&self, reason: MisdirectionReason) {
        self.misdirected.of(reason).add(1);
    }
}
