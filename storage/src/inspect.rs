//! Read-only inspection of a data folder, for operators.

use crate::disk::FolderDisk;
use crate::error::StorageError;
use crate::journal::Recovered;
use crate::{identity, log, slot};
use std::fmt;
use std::path::Path;

/// Contents of a data folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Inspection {
    /// Identity of the disk, if a valid one is present.
    pub identity: Option<u64>,
    /// The snapshot slots that are not empty.
    pub slots: Vec<SlotReport>,
    /// The logs that exist.
    pub logs: Vec<LogReport>,
    /// Unusual findings.
    pub findings: Vec<Finding>,
}

/// A snapshot slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotReport {
    /// Name of its file.
    pub file: &'static str,
    /// Generation in its header.
    pub generation: Option<u64>,
    /// Size of the snapshot in bytes, from its header.
    pub bytes: u64,
    /// Whether the snapshot is valid.
    pub is_whole: bool,
    /// Whether it is the newest valid snapshot, from which a process starts.
    pub is_in_force: bool,
}

/// A log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogReport {
    /// Name of its file.
    pub file: &'static str,
    /// Generation of its first record.
    pub generation: Option<u64>,
    /// Lengths of its valid records in bytes, in order.
    pub records: Vec<usize>,
    /// Number of bytes after the last valid record.
    pub surplus: u64,
    /// Whether it is the log that a process reads.
    pub is_in_force: bool,
}

/// An unusual finding in a data folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finding {
    /// The identity is missing or damaged.
    NoIdentity,
    /// The slot has no valid snapshot: the write of a snapshot was interrupted.
    TornSnapshot(&'static str),
    /// The active log has bytes after its last valid record. The next start truncates them.
    TornTail {
        /// Name of the log's file.
        file: &'static str,
        /// Number of these bytes.
        bytes: u64,
    },
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Finding::NoIdentity => write!(
                f,
                "no readable identity: a start gives an empty disk a new one"
            ),
            Finding::TornSnapshot(file) => {
                write!(
                    f,
                    "{file} has no valid snapshot: its write was interrupted; a start uses the other slot"
                )
            }
            Finding::TornTail { file, bytes } => {
                write!(
                    f,
                    "{file} has {bytes} bytes behind its last whole record; a start cuts them"
                )
            }
        }
    }
}

/// Inspects the data folder of a process that is not running.
///
/// # Errors
/// A file can't be read.
pub fn inspect(folder: &Path) -> Result<Inspection, StorageError> {
    let identity = read_identity(folder)?;
    let mut slots = Vec::new();
    for file in slot::FILES {
        slots.extend(read_slot(folder, file)?);
    }
    set_active_slot(&mut slots);
    let active = ActiveLog::of(&slots);
    let mut logs = Vec::new();
    for (index, file) in log::FILES.into_iter().enumerate() {
        logs.extend(read_log(
            folder,
            file,
            (index == active.index).then_some(active.generation),
        )?);
    }
    let findings = findings(identity, &slots, &logs);
    Ok(Inspection {
        identity,
        slots,
        logs,
        findings,
    })
}

/// Reads the state from which a process would start, from the folder of a process that is not running; `None` if the
/// folder has no valid identity. Nothing is changed.
///
/// # Errors
/// A file can't be read.
pub fn read(folder: &Path) -> Result<Option<Recovered>, StorageError> {
    let Some(identity) = read_identity(folder)? else {
        return Ok(None);
    };
    let inspection = inspect(folder)?;
    let snapshot = match inspection.slots.iter().find(|slot| slot.is_in_force) {
        Some(slot) => read_valid_snapshot(folder, slot.file)?,
        None => None,
    };
    let records = match inspection.logs.iter().find(|log| log.is_in_force) {
        Some(log) => read_records(
            folder,
            log.file,
            ActiveLog::of(&inspection.slots).generation,
        )?,
        None => Vec::new(),
    };
    Ok(Some(Recovered {
        identity,
        snapshot,
        records,
    }))
}

fn read_valid_snapshot(folder: &Path, name: &'static str) -> Result<Option<Vec<u8>>, StorageError> {
    let on = StorageError::on(name);
    let Some(mut file) = FolderDisk::open_to_read(folder, name).map_err(&on)? else {
        return Ok(None);
    };
    let Some(header) = slot::read_header(&mut file).map_err(&on)? else {
        return Ok(None);
    };
    slot::read_snapshot(&mut file, &header).map_err(&on)
}

fn read_records(
    folder: &Path,
    name: &'static str,
    generation: u64,
) -> Result<Vec<Vec<u8>>, StorageError> {
    let on = StorageError::on(name);
    let Some(mut file) = FolderDisk::open_to_read(folder, name).map_err(&on)? else {
        return Ok(Vec::new());
    };
    Ok(log::read(&mut file, generation).map_err(&on)?.records)
}

fn read_identity(folder: &Path) -> Result<Option<u64>, StorageError> {
    let on = StorageError::on(identity::FILE);
    let Some(mut file) = FolderDisk::open_to_read(folder, identity::FILE).map_err(&on)? else {
        return Ok(None);
    };
    match identity::read(&mut file).map_err(&on)? {
        identity::Stored::Valid(identity) => Ok(Some(identity)),
        identity::Stored::Empty | identity::Stored::Damaged => Ok(None),
    }
}

fn read_slot(folder: &Path, name: &'static str) -> Result<Option<SlotReport>, StorageError> {
    let on = StorageError::on(name);
    let Some(mut file) = FolderDisk::open_to_read(folder, name).map_err(&on)? else {
        return Ok(None);
    };
    if crate::disk::DiskFile::length(&mut file).map_err(&on)? == 0 {
        return Ok(None);
    }
    let header = slot::read_header(&mut file).map_err(&on)?;
    let is_whole = match &header {
        Some(header) => slot::read_snapshot(&mut file, header)
            .map_err(&on)?
            .is_some(),
        None => false,
    };
    Ok(Some(SlotReport {
        file: name,
        generation: header.map(|header| header.generation),
        bytes: header.map_or(0, |header| header.length),
        is_whole,
        is_in_force: false,
    }))
}

fn set_active_slot(slots: &mut [SlotReport]) {
    let newest = slots
        .iter_mut()
        .filter(|slot| slot.is_whole)
        .max_by_key(|slot| slot.generation);
    if let Some(slot) = newest {
        slot.is_in_force = true;
    }
}

/// The log that belongs to the active snapshot. Without a snapshot: the first one, at generation 0.
struct ActiveLog {
    /// Index in [`log::FILES`].
    index: usize,
    generation: u64,
}

impl ActiveLog {
    fn of(slots: &[SlotReport]) -> ActiveLog {
        let slot = slots.iter().find(|slot| slot.is_in_force);
        let index = slot.and_then(|slot| slot::FILES.iter().position(|file| *file == slot.file));
        let generation = slot.and_then(|slot| slot.generation);
        ActiveLog {
            index: index.unwrap_or(0),
            generation: generation.unwrap_or(0),
        }
    }
}

fn read_log(
    folder: &Path,
    name: &'static str,
    active_generation: Option<u64>,
) -> Result<Option<LogReport>, StorageError> {
    let on = StorageError::on(name);
    let Some(mut file) = FolderDisk::open_to_read(folder, name).map_err(&on)? else {
        return Ok(None);
    };
    let mut contents = log::read(&mut file, active_generation.unwrap_or(0)).map_err(&on)?;
    if let (None, Some(generation)) = (active_generation, contents.first_generation) {
        contents = log::read(&mut file, generation).map_err(&on)?;
    }
    Ok(Some(LogReport {
        file: name,
        generation: contents.first_generation,
        records: contents.records.iter().map(Vec::len).collect(),
        surplus: contents.surplus,
        is_in_force: active_generation.is_some(),
    }))
}

fn findings(identity: Option<u64>, slots: &[SlotReport], logs: &[LogReport]) -> Vec<Finding> {
    let mut findings = Vec::new();
    if identity.is_none() {
        findings.push(Finding::NoIdentity);
    }
    findings.extend(
        slots
            .iter()
            .filter(|slot| !slot.is_whole)
            .map(|slot| Finding::TornSnapshot(slot.file)),
    );
    let torn = logs.iter().filter(|log| log.is_in_force && log.surplus > 0);
    findings.extend(torn.map(|log| Finding::TornTail {
        file: log.file,
        bytes: log.surplus,
    }));
    findings
}
