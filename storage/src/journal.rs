//! The journal: two snapshot slots that are written in turn, and the log of the newest snapshot's generation.
//!
//! Invariant: the slot being written is never the active one; it becomes active with its sync. File names never change,
//! so that no rename or removal has to be made durable.

use crate::disk::{Disk, DiskFile};
use crate::error::StorageError;
use crate::identity;
use crate::log::{self, Log};
use crate::slot::{self, WriteSnapshotError};

/// The state read from a disk when its journal is opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recovered {
    /// Identity of the disk.
    pub identity: u64,
    /// The newest valid snapshot; `None` if none was written.
    pub snapshot: Option<Vec<u8>>,
    /// Records appended since that snapshot, in order.
    pub records: Vec<Vec<u8>>,
}

/// Durable state on one disk: a snapshot, and the records appended since.
///
/// A write whose sync succeeded survives a restart. A write that failed may survive it until the next successful sync.
pub struct Journal {
    slots: [Box<dyn DiskFile>; 2],
    logs: [Log; 2],
    /// Side of the active snapshot and log.
    current: Side,
    /// Highest generation used so far.
    generation: u64,
    /// Whether the inactive slot may contain a valid snapshot of a newer generation, because its sync failed.
    has_uncertain_slot: bool,
}

/// One of the two slots, with its log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    A,
    B,
}

impl Side {
    fn other(self) -> Side {
        match self {
            Side::A => Side::B,
            Side::B => Side::A,
        }
    }

    fn of<T>(self, pair: &mut [T; 2]) -> &mut T {
        let [a, b] = pair;
        match self {
            Side::A => a,
            Side::B => b,
        }
    }
}

/// The newest valid snapshot of a disk.
struct NewestSnapshot {
    side: Side,
    generation: u64,
    snapshot: Option<Vec<u8>>,
    /// Highest generation in the header of either slot.
    highest: u64,
}

impl Journal {
    /// Opens the journal on `disk`. An unused disk gets `fresh_identity`, which the caller draws at random.
    ///
    /// # Errors
    /// The disk failed, its identity is damaged although it contains data, or neither slot has a valid snapshot
    /// although snapshots were written.
    pub fn open(
        disk: &mut dyn Disk,
        fresh_identity: u64,
    ) -> Result<(Journal, Recovered), StorageError> {
        let mut open = |name| disk.open(name).map_err(StorageError::on(name));
        let [slot_a, slot_b] = slot::FILES;
        let [log_a, log_b] = log::FILES;
        let mut identity_file = open(identity::FILE)?;
        let mut slots = [open(slot_a)?, open(slot_b)?];
        let mut log_files = [open(log_a)?, open(log_b)?];
        let lengths = FileLengths::read(&mut slots, &mut log_files)?;
        let identity =
            read_or_write_identity(identity_file.as_mut(), fresh_identity, lengths.has_data())?;

        let newest = newest_snapshot(&mut slots)?;
        if newest.snapshot.is_none() && lengths.had_snapshots() {
            return Err(StorageError::DamagedSnapshots);
        }
        // Records of a killed process can be read, but are durable only after a sync.
        newest
            .side
            .of(&mut slots)
            .sync()
            .map_err(StorageError::on(slot_name(newest.side)))?;
        let [file_a, file_b] = log_files;
        let mut logs = [Log::unused(file_a, log_a), Log::unused(file_b, log_b)];
        let records = newest.side.of(&mut logs).recover(newest.generation)?;
        newest.side.other().of(&mut logs).truncate();

        let journal = Journal {
            slots,
            logs,
            current: newest.side,
            generation: newest.highest,
            has_uncertain_slot: false,
        };
        Ok((
            journal,
            Recovered {
                identity,
                snapshot: newest.snapshot,
                records,
            },
        ))
    }

    /// Appends a record, which is durable after the next successful [`Journal::sync`].
    ///
    /// # Errors
    /// The record is too long (nothing else is affected), or the disk failed: then all records since the last sync
    /// count as failed.
    pub fn append(&mut self, record: &[u8]) -> Result<(), StorageError> {
        self.clear_uncertain_slot()?;
        self.current.of(&mut self.logs).append(record)
    }

    /// Makes all appended records durable.
    ///
    /// # Errors
    /// The disk failed: all records since the last sync count as failed.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        let cleared = self.clear_uncertain_slot();
        let log = self.current.of(&mut self.logs);
        match cleared {
            Ok(()) => log.sync(),
            Err(error) => {
                log.roll_back();
                Err(error)
            }
        }
    }

    /// Durably replaces the snapshot and all records, synced or not, by `snapshot`.
    ///
    /// # Errors
    /// The disk failed; the previous snapshot and its records are unchanged.
    pub fn compact(&mut self, snapshot: &[u8]) -> Result<(), StorageError> {
        let target = self.current.other();
        self.generation += 1;
        let name = slot_name(target);
        match slot::write(
            target.of(&mut self.slots).as_mut(),
            name,
            self.generation,
            snapshot,
        ) {
            Ok(()) => {
                self.has_uncertain_slot = false;
                target.of(&mut self.logs).restart(self.generation);
                self.current.of(&mut self.logs).truncate();
                self.current = target;
                Ok(())
            }
            Err(WriteSnapshotError::NotWritten(error)) => {
                // Frees disk space; a failure is harmless.
                let _ = target.of(&mut self.slots).set_length(0);
                Err(error)
            }
            Err(WriteSnapshotError::Uncertain(error)) => {
                self.has_uncertain_slot = true;
                let _ = self.clear_uncertain_slot();
                Err(error)
            }
        }
    }

    /// Size of the records since the last snapshot, in bytes.
    pub fn log_bytes(&self) -> u64 {
        let [a, b] = &self.logs;
        match self.current {
            Side::A => a.bytes(),
            Side::B => b.bytes(),
        }
    }

    /// Clears a slot whose sync failed. If it were valid after a restart, the records appended since would be lost.
    fn clear_uncertain_slot(&mut self) -> Result<(), StorageError> {
        if self.has_uncertain_slot {
            let target = self.current.other();
            slot::clear(target.of(&mut self.slots).as_mut(), slot_name(target))?;
            self.has_uncertain_slot = false;
        }
        Ok(())
    }
}

fn slot_name(side: Side) -> &'static str {
    let [a, b] = slot::FILES;
    match side {
        Side::A => a,
        Side::B => b,
    }
}

/// Lengths of the files when the journal is opened, in bytes.
struct FileLengths {
    slots: [u64; 2],
    logs: [u64; 2],
}

impl FileLengths {
    fn read(
        slots: &mut [Box<dyn DiskFile>; 2],
        logs: &mut [Box<dyn DiskFile>; 2],
    ) -> Result<FileLengths, StorageError> {
        Ok(FileLengths {
            slots: lengths(slots, slot::FILES)?,
            logs: lengths(logs, log::FILES)?,
        })
    }

    fn has_data(&self) -> bool {
        self.slots
            .iter()
            .chain(&self.logs)
            .any(|length| *length > 0)
    }

    /// Whether a snapshot was ever active. The first one is written to slot B; slot A is written, and log B started,
    /// only after it.
    fn had_snapshots(&self) -> bool {
        let [slot_a, _] = self.slots;
        let [_, log_b] = self.logs;
        slot_a > 0 || log_b > 0
    }
}

fn lengths(
    files: &mut [Box<dyn DiskFile>; 2],
    names: [&'static str; 2],
) -> Result<[u64; 2], StorageError> {
    let [a, b] = files;
    let [name_a, name_b] = names;
    let length_a = a.length().map_err(StorageError::on(name_a))?;
    let length_b = b.length().map_err(StorageError::on(name_b))?;
    Ok([length_a, length_b])
}

/// Reads the identity, or writes one to an unused disk.
fn read_or_write_identity(
    file: &mut dyn DiskFile,
    fresh_identity: u64,
    has_data: bool,
) -> Result<u64, StorageError> {
    let on = StorageError::on(identity::FILE);
    match identity::read(file).map_err(&on)? {
        identity::Stored::Valid(identity) => {
            file.sync().map_err(&on)?;
            Ok(identity)
        }
        identity::Stored::Empty | identity::Stored::Damaged if has_data => {
            Err(StorageError::DamagedIdentity)
        }
        identity::Stored::Empty | identity::Stored::Damaged => {
            identity::write(file, fresh_identity)?;
            Ok(fresh_identity)
        }
    }
}

/// Finds the newest valid snapshot. A disk without one is at generation 0 on side A.
fn newest_snapshot(slots: &mut [Box<dyn DiskFile>; 2]) -> Result<NewestSnapshot, StorageError> {
    let mut headers = Vec::new();
    for side in [Side::A, Side::B] {
        let header = slot::read_header(side.of(slots).as_mut())
            .map_err(StorageError::on(slot_name(side)))?;
        headers.extend(header.map(|header| (side, header)));
    }
    headers.sort_by_key(|(_, header)| std::cmp::Reverse(header.generation));
    let highest = headers.first().map_or(0, |(_, header)| header.generation);
    for (side, header) in headers {
        let file = side.of(slots).as_mut();
        let snapshot =
            slot::read_snapshot(file, &header).map_err(StorageError::on(slot_name(side)))?;
        if snapshot.is_some() {
            return Ok(NewestSnapshot {
                side,
                generation: header.generation,
                snapshot,
                highest,
            });
        }
    }
    Ok(NewestSnapshot {
        side: Side::A,
        generation: 0,
        snapshot: None,
        highest,
    })
}
