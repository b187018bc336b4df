//! Batch jobs without sockets, clocks or threads: acceptance, quota, results, and their replication within a group of
//! stores.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod engine;
pub mod group;
pub mod job;
pub mod ledger;
pub mod message;
pub mod records;
pub mod state;
pub mod work;
