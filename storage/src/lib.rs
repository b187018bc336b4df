//! Durable state of one process: two snapshot slots written in turn and a short log of records between snapshots.
//!
//! [`Journal`] keeps the state on a [`Disk`]; [`Writer`] owns a journal on a thread of its own, so that a slow disk
//! never holds up the thread that serves. [`FaultDisk`] is a disk in memory that loses power, runs full and fails on
//! demand, for tests of this crate and of those that build on it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod disk;
mod error;
mod fault_disk;
mod identity;
mod inspect;
mod journal;
mod log;
mod slot;
mod writer;

pub use disk::{Disk, DiskFile, FolderDisk};
pub use error::StorageError;
pub use fault_disk::FaultDisk;
pub use inspect::{inspect, read, Finding, Inspection, LogReport, SlotReport};
pub use journal::{Journal, Recovered};
pub use writer::{Write, Writer};
