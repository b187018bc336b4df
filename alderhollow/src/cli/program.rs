//! The program file that a process runs: tells an operator which build was started.

use std::fmt;
use std::io;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

/// The version of the package.
const VERSION: &str = env!("CARGO_PKG_VERSION");

/// A program file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ProgramFile {
    path: PathBuf,
    bytes: u64,
    /// Seconds from the Unix epoch to the last change of the file: the end of its build, unless it was copied.
    changed_at_s: u64,
}

impl ProgramFile {
    /// The file of this process.
    ///
    /// # Errors
    /// The system does not tell the file, or it was removed.
    pub(super) fn of_this_process() -> io::Result<ProgramFile> {
        let path = std::env::current_exe()?;
        let metadata = path.metadata()?;
        let changed_at = metadata.modified()?;
        let since_epoch = changed_at.duration_since(UNIX_EPOCH);
        Ok(ProgramFile {
            path,
            bytes: metadata.len(),
            changed_at_s: since_epoch.unwrap_or_default().as_secs(),
        })
    }

    fn age_s(&self) -> u64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        now.unwrap_or_default()
            .as_secs()
            .saturating_sub(self.changed_at_s)
    }
}

impl fmt::Display for ProgramFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "alderhollow {VERSION}: {}, {} bytes, changed {} s ago (Unix time {})",
            self.path.display(),
            self.bytes,
            self.age_s(),
            self.changed_at_s
        )
    }
}
