//! The serving tier: doors, control plane and stores. This crate puts the state machines of the others on sockets,
//! disks and clocks (`docs/serving-tier.md`).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod balance;
pub mod batch_api;
pub mod exchange;
pub mod executor;
pub mod front;
pub mod routing;

use alderhollow_model::snapshot::Snapshot;
use std::sync::Arc;

/// What a task follows to act on the newest tables.
pub type SnapshotReceiver = tokio::sync::watch::Receiver<Arc<Snapshot>>;
