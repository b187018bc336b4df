//! Durable state of one process: two snapshot slots that are written in turn, and a log of the records since the last
//! snapshot.
//!
//! [`Journal`] stores the state on a [`Disk`]. [`Writer`] owns a journal on its own thread, so that a slow disk does
//! not block the thread that serves requests. [`FaultDisk`] simulates a disk with faults, for the tests of this crate
//! and of its users. [`inspect()`] and [`read`] read a data folder without changing it.
//!
//! | file | contents |
//! | --- | --- |
//! | `identity` | identity of the disk |
//! | `snapshot-a`, `snapshot-b` | the snapshot slots |
//! | `log-a`, `log-b` | the log that belongs to the slot of the same letter |

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
