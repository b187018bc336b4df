//! Errors of the journal and its disk.

use std::io;
use std::sync::Arc;

/// Error of a journal operation. Cheap to clone, because one failed sync fails many pending writes.
#[derive(Debug, Clone, thiserror::Error)]
pub enum StorageError {
    /// The disk is full. Compact to a smaller state or free disk space, and retry.
    #[error("no space left on the disk for {file}; free space on the disk of the data folder")]
    Full {
        /// The file that was being written.
        file: &'static str,
    },
    /// A disk operation failed.
    #[error("disk operation on {file} failed: {source}; check the disk and the rights on the data folder")]
    Io {
        /// The file that was being read or written.
        file: &'static str,
        /// The error of the operating system.
        source: Arc<io::Error>,
    },
    /// The folder contains data, but its identity can't be read: it must not be used as a disk of this system.
    #[error(
        "the identity of the disk is damaged although the disk holds data; wipe it to join as a new disk"
    )]
    DamagedIdentity,
    /// Snapshots were written to this disk, but neither slot has a valid one: acknowledged data is lost.
    #[error(
        "neither snapshot slot has a valid snapshot although snapshots were written; wipe the disk to join as a new one"
    )]
    DamagedSnapshots,
    /// The record exceeds the maximum length.
    #[error("a record of {length} bytes exceeds the limit of {limit} bytes")]
    RecordTooLong {
        /// Length of the record in bytes.
        length: usize,
        /// Maximum length in bytes.
        limit: usize,
    },
    /// The writer thread has exited.
    #[error("the writer thread of the disk has exited; restart the process")]
    WriterEnded,
}

impl StorageError {
    /// Returns a function that converts an I/O error on `file`.
    pub(crate) fn on(file: &'static str) -> impl Fn(io::Error) -> StorageError {
        move |source| match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => {
                StorageError::Full { file }
            }
            _ => StorageError::Io {
                file,
                source: Arc::new(source),
            },
        }
    }

    /// Whether the error is a full disk.
    pub fn is_full(&self) -> bool {
        matches!(self, StorageError::Full { .. })
    }
}
