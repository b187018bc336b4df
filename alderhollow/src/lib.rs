//! The serving tier: gateways, control plane and stores. This crate puts the state machines of the others on sockets,
//! disks and clocks (`docs/serving-tier.md`).

pub mod balance;
pub mod batch_api;
pub mod batch_protocol;
pub mod cli;
pub mod clock;
pub mod configuration;
pub mod control_plane;
pub mod control_state;
pub mod core;
pub mod discovery;
pub mod distribution;
pub mod exchange;
pub mod executor;
pub mod finding;
pub mod gateway;
pub mod http_server;
pub mod internal;
pub mod invariant;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod operator_api;
pub mod placement;
pub mod ready;
pub mod role;
pub mod routing;
pub mod settings;
pub mod status;
pub mod store;
pub mod termination;

use alderhollow_model::snapshot::Snapshot;
use std::sync::Arc;

/// What a task follows to act on the newest tables.
pub type SnapshotReceiver = tokio::sync::watch::Receiver<Arc<Snapshot>>;
