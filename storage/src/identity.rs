//! The identity of a disk: drawn at random once, and synced before any other data is written.

use crate::disk::DiskFile;
use crate::error::StorageError;
use std::io;

/// Name of the identity file.
pub(crate) const FILE: &str = "identity";

const MAGIC: [u8; 8] = *b"alder-id";
const FILE_BYTES: usize = 20;

/// Contents of the identity file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stored {
    /// The file is empty.
    Empty,
    /// The file contains no valid identity.
    Damaged,
    /// A valid identity.
    Valid(u64),
}

/// Reads the identity file.
pub(crate) fn read(file: &mut dyn DiskFile) -> io::Result<Stored> {
    if file.length()? == 0 {
        return Ok(Stored::Empty);
    }
    let mut bytes = Vec::with_capacity(FILE_BYTES);
    crate::disk::read_chunks(file, 0, FILE_BYTES as u64, |chunk| {
        bytes.extend_from_slice(chunk);
    })?;
    Ok(decode(&bytes).map_or(Stored::Damaged, Stored::Valid))
}

/// Writes and syncs `identity`.
pub(crate) fn write(file: &mut dyn DiskFile, identity: u64) -> Result<(), StorageError> {
    let on = StorageError::on(FILE);
    file.write_at(0, &encode(identity)).map_err(&on)?;
    file.sync().map_err(&on)
}

fn encode(identity: u64) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&identity.to_le_bytes());
    let checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes
}

fn decode(bytes: &[u8]) -> Option<u64> {
    let (body, checksum) = bytes.split_last_chunk::<4>()?;
    let (magic, identity) = body.split_first_chunk::<8>()?;
    let identity = u64::from_le_bytes(identity.try_into().ok()?);
    let is_whole = *magic == MAGIC && crc32fast::hash(body) == u32::from_le_bytes(*checksum);
    is_whole.then_some(identity)
}
