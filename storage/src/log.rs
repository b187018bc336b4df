//! The log of one generation: the records appended since a snapshot.
//!
//! Each record has a header with length, generation, sequence number and a checksum that is chained to the previous
//! record's. A record is valid only directly after the record that it was written after, so that neither bytes of an
//! older generation nor bytes after a truncated tail are read as records.

use crate::disk::{read_chunks, DiskFile};
use crate::error::StorageError;
use std::io;

/// Names of the two files; each belongs to the snapshot slot with the same index.
pub(crate) const FILES: [&str; 2] = ["log-a", "log-b"];

/// Maximum length of a record in bytes.
pub(crate) const MAX_RECORD_BYTES: usize = 64 * 1024 * 1024;
/// Length of a record header in bytes: length, generation, sequence number, checksum.
const RECORD_HEADER_BYTES: usize = 24;
/// Records are buffered up to this many bytes before they are written ahead of the sync.
const BUFFER_BYTES: usize = 256 * 1024;

/// A position between two records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LogPosition {
    offset: u64,
    sequence: u64,
    checksum: u32,
}

impl LogPosition {
    const START: LogPosition = LogPosition {
        offset: 0,
        sequence: 0,
        checksum: 0,
    };

    /// The position after `record`.
    fn after(&self, generation: u64, record: &[u8]) -> LogPosition {
        LogPosition {
            offset: self.offset + (RECORD_HEADER_BYTES + record.len()) as u64,
            sequence: self.sequence + 1,
            checksum: self.checksum_of(generation, record),
        }
    }

    fn checksum_of(&self, generation: u64, record: &[u8]) -> u32 {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&self.checksum.to_le_bytes());
        hasher.update(&(record.len() as u32).to_le_bytes());
        hasher.update(&generation.to_le_bytes());
        hasher.update(&self.sequence.to_le_bytes());
        hasher.update(record);
        hasher.finalize()
    }
}

/// Header of a record in the file.
struct RecordHeader {
    length: u32,
    generation: u64,
    sequence: u64,
    checksum: u32,
}

impl RecordHeader {
    /// Decodes a header at the start of `bytes`; also returns the remaining bytes.
    fn split(bytes: &[u8]) -> Option<(RecordHeader, &[u8])> {
        let (length, rest) = bytes.split_first_chunk::<4>()?;
        let (generation, rest) = rest.split_first_chunk::<8>()?;
        let (sequence, rest) = rest.split_first_chunk::<8>()?;
        let (checksum, rest) = rest.split_first_chunk::<4>()?;
        let header = RecordHeader {
            length: u32::from_le_bytes(*length),
            generation: u64::from_le_bytes(*generation),
            sequence: u64::from_le_bytes(*sequence),
            checksum: u32::from_le_bytes(*checksum),
        };
        Some((header, rest))
    }
}

/// The records of one generation in a log file.
pub(crate) struct Contents {
    /// The records up to the first invalid one.
    pub records: Vec<Vec<u8>>,
    /// Number of bytes after them.
    pub surplus: u64,
    /// Generation in the header of the first record, which may be invalid.
    pub first_generation: Option<u64>,
    end: LogPosition,
}

/// Reads the records of `generation`.
pub(crate) fn read(file: &mut dyn DiskFile, generation: u64) -> io::Result<Contents> {
    let length = file.length()?;
    let mut bytes = Vec::with_capacity(usize::try_from(length).unwrap_or(0));
    read_chunks(file, 0, length, |chunk| bytes.extend_from_slice(chunk))?;
    let mut records = Vec::new();
    let mut end = LogPosition::START;
    let mut rest = bytes.as_slice();
    while let Some((record, following)) = next_record(rest, generation, &end) {
        end = end.after(generation, record);
        records.push(record.to_vec());
        rest = following;
    }
    let first_generation = RecordHeader::split(&bytes).map(|(header, _)| header.generation);
    Ok(Contents {
        records,
        surplus: rest.len() as u64,
        first_generation,
        end,
    })
}

fn next_record<'a>(
    bytes: &'a [u8],
    generation: u64,
    position: &LogPosition,
) -> Option<(&'a [u8], &'a [u8])> {
    let (header, rest) = RecordHeader::split(bytes)?;
    if header.generation != generation || header.sequence != position.sequence {
        return None;
    }
    let (record, rest) = rest.split_at_checked(usize::try_from(header.length).ok()?)?;
    (position.checksum_of(generation, record) == header.checksum).then_some((record, rest))
}

/// The log that is being written.
pub(crate) struct Log {
    file: Box<dyn DiskFile>,
    name: &'static str,
    generation: u64,
    /// Position after the last synced record.
    synced: LogPosition,
    /// Position after the last appended record.
    end: LogPosition,
    /// Appended records that are not yet written to the file.
    buffer: Vec<u8>,
    /// Whether the file may have bytes after `synced` that belong to no record.
    may_have_surplus: bool,
    /// Whether records were rolled back since the last sync. They may reappear after a restart until the next sync.
    has_rolled_back: bool,
}

impl Log {
    /// An empty log. The file may have any contents.
    pub(crate) fn unused(file: Box<dyn DiskFile>, name: &'static str) -> Log {
        Log {
            file,
            name,
            generation: 0,
            synced: LogPosition::START,
            end: LogPosition::START,
            buffer: Vec::new(),
            may_have_surplus: true,
            has_rolled_back: false,
        }
    }

    /// Recovers the records of `generation`: truncates what follows the last valid record and syncs, because records
    /// that are returned here must not vanish later even if they were not synced before.
    pub(crate) fn recover(&mut self, generation: u64) -> Result<Vec<Vec<u8>>, StorageError> {
        let on = StorageError::on(self.name);
        let contents = read(self.file.as_mut(), generation).map_err(&on)?;
        self.generation = generation;
        self.synced = contents.end;
        self.end = contents.end;
        self.may_have_surplus = contents.surplus > 0;
        self.truncate_surplus()?;
        self.file.sync().map_err(&on)?;
        Ok(contents.records)
    }

    /// Starts the log of a new generation.
    pub(crate) fn restart(&mut self, generation: u64) {
        self.generation = generation;
        self.synced = LogPosition::START;
        self.end = LogPosition::START;
        self.buffer.clear();
        self.may_have_surplus = true;
        self.has_rolled_back = false;
    }

    /// Truncates the file without a sync, to free disk space. A failure is harmless: the bytes are of an older
    /// generation.
    pub(crate) fn truncate(&mut self) {
        self.buffer = Vec::new();
        self.may_have_surplus = self.file.set_length(0).is_err();
    }

    /// Appends a record. After an error all records since the last sync are rolled back.
    pub(crate) fn append(&mut self, record: &[u8]) -> Result<(), StorageError> {
        if record.len() > MAX_RECORD_BYTES {
            return Err(StorageError::RecordTooLong {
                length: record.len(),
                limit: MAX_RECORD_BYTES,
            });
        }
        let next = self.end.after(self.generation, record);
        self.buffer
            .extend_from_slice(&(record.len() as u32).to_le_bytes());
        self.buffer
            .extend_from_slice(&self.generation.to_le_bytes());
        self.buffer
            .extend_from_slice(&self.end.sequence.to_le_bytes());
        self.buffer.extend_from_slice(&next.checksum.to_le_bytes());
        self.buffer.extend_from_slice(record);
        self.end = next;
        if self.buffer.len() < BUFFER_BYTES {
            return Ok(());
        }
        self.write_buffer().inspect_err(|_| self.roll_back())
    }

    /// Makes all appended records durable and all rolled back ones unreadable. After an error all records since the
    /// last sync are rolled back.
    pub(crate) fn sync(&mut self) -> Result<(), StorageError> {
        if self.end == self.synced && !self.has_rolled_back {
            return Ok(());
        }
        let result = self
            .write_buffer()
            .and_then(|()| self.file.sync().map_err(StorageError::on(self.name)));
        match &result {
            Ok(()) => {
                self.synced = self.end;
                self.has_rolled_back = false;
            }
            Err(_) => self.roll_back(),
        }
        result
    }

    /// Size of its records in bytes.
    pub(crate) fn bytes(&self) -> u64 {
        self.end.offset
    }

    fn write_buffer(&mut self) -> Result<(), StorageError> {
        self.truncate_surplus()?;
        if self.buffer.is_empty() {
            return Ok(());
        }
        let offset = self.end.offset - self.buffer.len() as u64;
        self.file
            .write_at(offset, &self.buffer)
            .map_err(StorageError::on(self.name))?;
        self.buffer.clear();
        Ok(())
    }

    fn truncate_surplus(&mut self) -> Result<(), StorageError> {
        if self.may_have_surplus {
            self.file
                .set_length(self.synced.offset)
                .map_err(StorageError::on(self.name))?;
            self.may_have_surplus = false;
        }
        Ok(())
    }

    /// Discards all records since the last sync.
    pub(crate) fn roll_back(&mut self) {
        self.end = self.synced;
        self.buffer.clear();
        self.has_rolled_back = true;
        self.may_have_surplus = true;
        // Frees the space at once. If this fails, the next write truncates first.
        if self.truncate_surplus().is_err() {
            self.may_have_surplus = true;
        }
    }
}
