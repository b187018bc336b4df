//! Front doors as real processes among emulated backends, list agents and clients, with faults between them.
//!
//! Tests use the parts: [`scripted`] peers that a test answers for itself, [`process`] for front doors, [`net`] for
//! links with faults, [`run`] for a whole scenario. The program `fault-lab` runs scenarios from files. All
//! traffic is on loopback.
#![expect(
    missing_docs,
    reason = "the lab is the last room to be made whole: docs/ROADMAP.md, Readable code"
)]

pub mod agent;
pub mod backend;
pub mod check;
pub mod client;
pub mod fleet;
pub mod ground;
pub mod http;
pub mod kinds;
pub mod model;
pub mod net;
pub mod process;
pub mod record;
pub mod report;
pub mod run;
pub mod scenario;
pub mod scripted;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// What a mutex holds, also after a task has ended while it held it: all of it is whole between two statements.
pub(crate) fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}
