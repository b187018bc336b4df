//! The process's own figures: counters, gauges and histograms, told as Prometheus text (`--metrics`).
//!
//! Every metric is defined here, in the module of the part that records it, with its name and help text. Recording is one
//! atomic addition: all label values are known in advance, so their handles are made once, at the first use.
//!
//! | part | holds |
//! | --- | --- |
//! | [`family`] | counters, gauges and histograms with labels of known values |
//! | [`backends`] | what backends say about themselves and their weights |
//! | [`batch_api`] | the gateways' batch interface |
//! | [`internal`] | the network between the tier's processes |
//! | [`store`] | batch jobs, their runs, their replication and the journal |
//! | [`core`] | the core's member, and answers to polls |
//! | [`distribution`] | polls of the core's primary |
//! | [`placement`] | questions to placers, and their answers |
//! | [`runs`] | the requests of runs to backends |
//! | [`invariants`] | violations of what must always hold |
//! | [`listener`] | answers `GET` with the text |

pub mod backends;
pub mod batch_api;
pub mod core;
pub mod distribution;
pub mod family;
pub mod internal;
pub mod invariants;
pub mod listener;
pub mod placement;
pub mod runs;
pub mod store;

use family::Registrar;
use prometheus::{Registry, TextEncoder};
use std::sync::LazyLock;

/// All metrics of a process.
pub struct Metrics {
    registry: Registry,
    /// What backends say about themselves and their weights.
    pub backends: backends::BackendMetrics,
    /// The gateways' batch interface.
    pub batch_api: batch_api::BatchApiMetrics,
    /// The network between the tier's processes.
    pub internal: internal::InternalMetrics,
    /// A store.
    pub store: store::StoreMetrics,
    /// The core's member, and answers to polls.
    pub core: core::CoreMetrics,
    /// Polls of the core's primary.
    pub distribution: distribution::DistributionMetrics,
    /// The requests of runs to backends.
    pub runs: runs::RunMetrics,
    /// Questions to placers, and their answers.
    pub placement: placement::PlacementMetrics,
    /// Violations of invariants.
    pub invariants: invariants::InvariantMetrics,
}

impl Metrics {
    fn new() -> Metrics {
        let registry = Registry::new();
        let registrar = Registrar::new(&registry);
        Metrics {
            backends: backends::BackendMetrics::new(&registrar),
            batch_api: batch_api::BatchApiMetrics::new(&registrar),
            internal: internal::InternalMetrics::new(&registrar),
            store: store::StoreMetrics::new(&registrar),
            core: core::CoreMetrics::new(&registrar),
            distribution: distribution::DistributionMetrics::new(&registrar),
            runs: runs::RunMetrics::new(&registrar),
            placement: placement::PlacementMetrics::new(&registrar),
            invariants: invariants::InvariantMetrics::new(&registrar),
            registry,
        }
    }

    /// All metrics as Prometheus text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = TextEncoder::new().encode_utf8(&self.registry.gather(), &mut text) {
            log::warn!("the metrics can't be told: {error}");
        }
        text
    }
}

/// The process's metrics.
pub fn get() -> &'static Metrics {
    static METRICS: LazyLock<Metrics> = LazyLock::new(Metrics::new);
    &METRICS
}
