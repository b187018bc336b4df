//! Binary format of journal records, snapshots and replication messages: one version byte, then minicbor.
//!
//! Used by [`State`](crate::state::State) to restore and snapshot, by the write queue, and by the driver for messages between
//! stores. The types that are encoded are in [`records`](crate::records), [`message`](crate::message) and [`job`](crate::job).

use crate::job::{ItemResult, JobId, NewJob};
use crate::message::Message;
use crate::records::Entry;
use minicbor::{Decode, Encode};
use thiserror::Error;

/// Version of the format; the first byte of each encoded record, snapshot and message.
pub const FORMAT_VERSION: u8 = 1;

/// Approximate size of an entry apart from its texts and bodies, in bytes.
const ENTRY_OVERHEAD: usize = 64;

impl Entry {
    /// Approximate encoded size in bytes.
    pub fn approximate_bytes(&self) -> usize {
        let content = match self {
            Entry::JobAccepted(job) => new_job_bytes(job),
            Entry::ItemResults { results, .. } => results_bytes(results),
            Entry::FullJob(job) => new_job_bytes(&job.accepted) + results_bytes(&job.results),
            Entry::JobEnded(_)
            | Entry::JobForgotten(_)
            | Entry::Following(_)
            | Entry::SessionStarted(_)
            | Entry::Synced(_)
            | Entry::Active(_) => 0,
        };
        content + ENTRY_OVERHEAD
    }

    /// Encodes the entry behind the version byte.
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self, self.approximate_bytes())
    }

    /// Decodes an entry.
    ///
    /// # Errors
    /// The bytes are of another format, or damaged.
    pub fn from_bytes(bytes: &[u8]) -> Result<Entry, DecodeError> {
        decode(bytes)
    }
}

impl NewJob {
    /// Approximate encoded size in bytes.
    pub fn approximate_bytes(&self) -> usize {
        new_job_bytes(self)
    }
}

impl Message {
    /// Encodes the message behind the version byte.
    pub fn to_bytes(&self) -> Vec<u8> {
        let capacity = match self {
            Message::Entries { entries, .. } => entries.iter().map(Entry::approximate_bytes).sum(),
            _ => ENTRY_OVERHEAD,
        };
        encode(self, capacity)
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// The bytes are of another format, or damaged.
    pub fn from_bytes(bytes: &[u8]) -> Result<Message, DecodeError> {
        decode(bytes)
    }
}

/// Error of decoding a record, snapshot or message.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// The input is empty.
    #[error("an empty record")]
    Empty,
    /// The version byte is not [`FORMAT_VERSION`].
    #[error("a record of format {0}; this program reads format {FORMAT_VERSION}")]
    UnknownFormat(u8),
    /// The bytes are not valid in this format.
    #[error("a record that can't be read: {0}")]
    Malformed(String),
    /// The record contradicts the records before it.
    #[error("a record that can't follow the ones before it, about job {0}")]
    Inconsistent(JobId),
}

/// Encodes a value behind the version byte.
fn encode<T: Encode<()>>(value: &T, capacity: usize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(capacity);
    bytes.push(FORMAT_VERSION);
    // Writing to a vector cannot fail.
    let _ = minicbor::encode(value, &mut bytes);
    bytes
}

/// Decodes the value behind the version byte. Trailing bytes are an error.
fn decode<T: for<'b> Decode<'b, ()>>(bytes: &[u8]) -> Result<T, DecodeError> {
    let content = check_version(bytes)?;
    let mut decoder = minicbor::Decoder::new(content);
    let value = decoder.decode().map_err(|error| malformed(&error))?;
    if decoder.position() != content.len() {
        return Err(DecodeError::Malformed("bytes after its end".to_owned()));
    }
    Ok(value)
}

/// Decodes the concatenated entries of a snapshot.
///
/// # Errors
/// The bytes are of another format, or damaged.
pub fn decode_snapshot(bytes: &[u8]) -> Result<Vec<Entry>, DecodeError> {
    let content = check_version(bytes)?;
    let mut decoder = minicbor::Decoder::new(content);
    let mut entries = Vec::new();
    while decoder.position() < content.len() {
        entries.push(decoder.decode().map_err(|error| malformed(&error))?);
    }
    Ok(entries)
}

/// Appends an entry to a snapshot. An empty buffer first gets the version byte.
pub fn append_to_snapshot(bytes: &mut Vec<u8>, entry: &Entry) {
    if bytes.is_empty() {
        bytes.push(FORMAT_VERSION);
    }
    // Writing to a vector cannot fail.
    let _ = minicbor::encode(entry, bytes);
}

/// Checks the version byte and returns the bytes behind it.
fn check_version(bytes: &[u8]) -> Result<&[u8], DecodeError> {
    match bytes.split_first() {
        None => Err(DecodeError::Empty),
        Some((&FORMAT_VERSION, content)) => Ok(content),
        Some((&other, _)) => Err(DecodeError::UnknownFormat(other)),
    }
}

/// Converts an error of the decoder.
fn malformed(error: &minicbor::decode::Error) -> DecodeError {
    DecodeError::Malformed(error.to_string())
}

/// Approximate encoded size of a submitted job in bytes.
fn new_job_bytes(job: &NewJob) -> usize {
    let items = job.items.iter().map(|item| {
        let request = item.request.as_ref().map_or(0, |request| {
            let headers = request
                .headers
                .iter()
                .map(|header| header.name.len() + header.value.len() + 8);
            request.path.len() + request.body.len() + headers.sum::<usize>()
        });
        item.id.len() + request + 24
    });
    job.id.0.len() + job.route.len() + job.host.len() + items.sum::<usize>()
}

/// Approximate encoded size of results in bytes.
fn results_bytes(results: &[ItemResult]) -> usize {
    results.iter().map(|result| result.text.len() + 16).sum()
}
