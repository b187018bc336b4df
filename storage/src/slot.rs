//! A snapshot slot: a header (generation, length, checksums) followed by the snapshot.
//!
//! The header is written after the snapshot, and one sync covers both. The checksum of the snapshot is seeded with the
//! generation, so that a slot with bytes of two generations is invalid.

use crate::disk::{read_chunks, DiskFile};
use crate::error::StorageError;
use std::io;

/// Names of the two files.
pub(crate) const FILES: [&str; 2] = ["snapshot-a", "snapshot-b"];

const MAGIC: [u8; 8] = *b"alder-sn";
/// Length of the header in bytes: magic, generation, length, checksum of the snapshot, checksum of the header.
const HEADER_BYTES: u64 = 32;
/// Size of the chunks in which a snapshot is written.
const WRITE_CHUNK_BYTES: usize = 256 * 1024;

/// Header of a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Header {
    pub generation: u64,
    pub length: u64,
    checksum: u32,
}

impl Header {
    fn encode(&self) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        bytes.extend_from_slice(&self.generation.to_le_bytes());
        bytes.extend_from_slice(&self.length.to_le_bytes());
        bytes.extend_from_slice(&self.checksum.to_le_bytes());
        let checksum = crc32fast::hash(&bytes);
        bytes.extend_from_slice(&checksum.to_le_bytes());
        bytes
    }

    fn decode(bytes: &[u8]) -> Option<Header> {
        let (body, own_checksum) = bytes.split_last_chunk::<4>()?;
        let (magic, rest) = body.split_first_chunk::<8>()?;
        let (generation, rest) = rest.split_first_chunk::<8>()?;
        let (length, rest) = rest.split_first_chunk::<8>()?;
        let (checksum, _) = rest.split_first_chunk::<4>()?;
        let is_whole =
            *magic == MAGIC && crc32fast::hash(body) == u32::from_le_bytes(*own_checksum);
        is_whole.then_some(Header {
            generation: u64::from_le_bytes(*generation),
            length: u64::from_le_bytes(*length),
            checksum: u32::from_le_bytes(*checksum),
        })
    }
}

fn seeded(generation: u64) -> crc32fast::Hasher {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&generation.to_le_bytes());
    hasher
}

/// Reads the header; `None` if it is not valid.
pub(crate) fn read_header(file: &mut dyn DiskFile) -> io::Result<Option<Header>> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES as usize);
    read_chunks(file, 0, HEADER_BYTES, |chunk| {
        bytes.extend_from_slice(chunk);
    })?;
    Ok(Header::decode(&bytes).filter(|_| bytes.len() as u64 == HEADER_BYTES))
}

/// Reads the snapshot described by `header`; `None` if it is not valid.
pub(crate) fn read_snapshot(
    file: &mut dyn DiskFile,
    header: &Header,
) -> io::Result<Option<Vec<u8>>> {
    if file.length()?.saturating_sub(HEADER_BYTES) < header.length {
        return Ok(None);
    }
    let mut snapshot = Vec::with_capacity(usize::try_from(header.length).unwrap_or(0));
    read_chunks(file, HEADER_BYTES, header.length, |chunk| {
        snapshot.extend_from_slice(chunk);
    })?;
    let mut hasher = seeded(header.generation);
    hasher.update(&snapshot);
    let is_whole = snapshot.len() as u64 == header.length && hasher.finalize() == header.checksum;
    Ok(is_whole.then_some(snapshot))
}

/// Error of the write of a snapshot.
pub(crate) enum WriteSnapshotError {
    /// The slot contains nothing that could be read as a valid snapshot of the new generation.
    NotWritten(StorageError),
    /// The slot may or may not contain a valid snapshot after a loss of power.
    Uncertain(StorageError),
}

/// Overwrites the slot with a snapshot and syncs it.
pub(crate) fn write(
    file: &mut dyn DiskFile,
    name: &'static str,
    generation: u64,
    snapshot: &[u8],
) -> Result<(), WriteSnapshotError> {
    let on = StorageError::on(name);
    let checksum = write_body(file, generation, snapshot)
        .map_err(|error| WriteSnapshotError::NotWritten(on(error)))?;
    let header = Header {
        generation,
        length: snapshot.len() as u64,
        checksum,
    };
    write_header(file, &header).map_err(|error| WriteSnapshotError::Uncertain(on(error)))
}

fn write_body(file: &mut dyn DiskFile, generation: u64, snapshot: &[u8]) -> io::Result<u32> {
    file.set_length(0)?;
    let mut hasher = seeded(generation);
    let mut offset = HEADER_BYTES;
    for chunk in snapshot.chunks(WRITE_CHUNK_BYTES) {
        file.write_at(offset, chunk)?;
        hasher.update(chunk);
        offset += chunk.len() as u64;
    }
    Ok(hasher.finalize())
}

fn write_header(file: &mut dyn DiskFile, header: &Header) -> io::Result<()> {
    file.write_at(0, &header.encode())?;
    file.sync()
}

/// Durably empties the slot.
pub(crate) fn clear(file: &mut dyn DiskFile, name: &'static str) -> Result<(), StorageError> {
    let on = StorageError::on(name);
    file.set_length(0).map_err(&on)?;
    file.sync().map_err(&on)
}
