//! Front doors as real processes among emulated backends, list agents and clients, with faults between them.
//!
//! Tests use the parts: [`scripted`] peers that a test answers for itself, [`process`] for front doors, [`net`] for
//! links with faults, [`run`] for a whole scenario. The program `springusher-lab` runs scenarios from files. All
//! traffic is on loopback.
#![forbid(unsafe_code)]

pub mod agent;
pub mod backend;
pub mod check;
pub mod client;
pub mod fleet;
pub mod ground;
pub mod http;
pub mod model;
pub mod net;
pub mod process;
pub mod record;
pub mod report;
pub mod run;
pub mod scenario;
pub mod scripted;
