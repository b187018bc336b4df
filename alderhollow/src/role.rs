//! Why a role can't go on.

use crate::store::journal_records::JournalFormatError;
use alderhollow_coordination::replica::interface::RecoveryError;
use alderhollow_storage::StorageError;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why a role can't go on.
#[derive(Debug, Error)]
pub enum RoleError {
    /// A socket or a signal failed.
    #[error("the process can't go on: {0}")]
    Io(#[from] std::io::Error),
    /// An address can't be listened on.
    #[error(
        "can't listen on {address}: {reason}; check that the address is this machine's and the port is free"
    )]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// The data folder can't be used.
    #[error(
        "the data folder {path} can't be used: {source}; check that it can be made and written to"
    )]
    Folder {
        /// The folder.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A process of the core without a disk.
    #[error(
        "`data-dir` is missing: a process of the core needs a disk, set it to a folder on the machine's disk"
    )]
    NoCoreDisk,
    /// What is in the data folder can't be used.
    #[error("the data folder can't be used: {0}")]
    Storage(#[from] StorageError),
    /// A store without a disk.
    #[error(
        "`data-dir` is missing: a store needs a disk, set it to a folder on the machine's disk"
    )]
    NoDisk,
    /// The batch jobs on a store's disk can't be read.
    #[error(
        "the batch jobs in the data folder can't be read: {0}; run the version that wrote them, \
         or empty the folder to start as a new store"
    )]
    BatchJobs(#[from] JournalFormatError),
    /// The core's state can't be recovered.
    #[error(transparent)]
    Recovery(#[from] RecoveryError),
}
