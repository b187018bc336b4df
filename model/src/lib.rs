//! The vocabulary that all parts of the serving tier share: what operators configure, what is known of backends and of
//! the tier's own processes, and the snapshot that each process acts on.
//!
//! Nothing here does I/O or decides anything.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backend;
pub mod config;
pub mod identity;
pub mod snapshot;
