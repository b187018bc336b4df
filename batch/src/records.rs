//! What a store's disk holds: entries, which fold to the [`State`](crate::state::State). The same entries are what a
//! primary streams to the others.

use crate::job::{ItemResult, Job, JobId, NewJob};
use crate::message::{Message, StreamId};
use minicbor::{Decode, Encode};
use thiserror::Error;

/// Version of the format of entries on disk and of messages; the first byte of each encoded one.
pub const FORMAT_VERSION: u8 = 1;

/// One change of a store's state. Applying one again changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Entry {
    /// A job was accepted.
    #[n(0)]
    JobAccepted(#[n(0)] NewJob),
    /// Results of a job, from a position on.
    #[n(1)]
    ItemResults {
        /// The job.
        #[n(0)]
        job: JobId,
        /// Position of the first one.
        #[n(1)]
        position: u32,
        /// The results.
        #[n(2)]
        results: Vec<ItemResult>,
    },
    /// A client ended a job.
    #[n(2)]
    JobEnded(#[n(0)] JobId),
    /// A job is no longer kept.
    #[n(3)]
    JobForgotten(#[n(0)] JobId),
    /// A whole job, in place of what there was.
    #[n(4)]
    FullJob(#[n(0)] Job),
    /// This store follows a stream.
    #[n(5)]
    Following(#[n(0)] StreamId),
    /// This store, as the primary, starts a session of an epoch.
    #[n(6)]
    SessionStarted(#[n(0)] SessionId),
    /// This store equalled the epoch's primary.
    #[n(7)]
    Synced(#[n(0)] u64),
    /// All members of the epoch equalled its primary.
    #[n(8)]
    Active(#[n(0)] u64),
}

/// One start of a primary within an epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct SessionId {
    /// The epoch.
    #[n(0)]
    pub epoch: u64,
    /// Counts the starts.
    #[n(1)]
    pub session: u64,
}

/// Bytes of an entry beside its texts and bodies, roughly.
const ENTRY_OVERHEAD: usize = 64;

impl Entry {
    /// Encoded size, roughly.
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

    /// The entry as bytes, with the version of their format.
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self, self.approximate_bytes())
    }

    /// The entry in these bytes.
    ///
    /// # Errors
    /// The bytes are of another format, or damaged.
    pub fn from_bytes(bytes: &[u8]) -> Result<Entry, DecodeError> {
        decode(bytes)
    }
}

impl NewJob {
    /// Encoded size, roughly.
    pub fn approximate_bytes(&self) -> usize {
        new_job_bytes(self)
    }
}

impl Message {
    /// The message as bytes, with the version of their format.
    pub fn to_bytes(&self) -> Vec<u8> {
        let capacity = match self {
            Message::Entries { entries, .. } => entries.iter().map(Entry::approximate_bytes).sum(),
            _ => ENTRY_OVERHEAD,
        };
        encode(self, capacity)
    }

    /// The message in these bytes.
    ///
    /// # Errors
    /// The bytes are of another format, or damaged.
    pub fn from_bytes(bytes: &[u8]) -> Result<Message, DecodeError> {
        decode(bytes)
    }
}

/// Bytes that hold no entry or message.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// There is nothing.
    #[error("an empty record")]
    Empty,
    /// Another format.
    #[error("a record of format {0}; this program reads format {FORMAT_VERSION}")]
    UnknownFormat(u8),
    /// Nothing known in this format.
    #[error("a record that can't be read: {0}")]
    Malformed(String),
    /// A record that can't follow the ones before it.
    #[error("a record that can't follow the ones before it, about job {0}")]
    Inconsistent(JobId),
}

/// A value as bytes, behind the version of the format.
fn encode<T: Encode<()>>(value: &T, capacity: usize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(capacity);
    bytes.push(FORMAT_VERSION);
    // Writing to a vector can't fail.
    let _ = minicbor::encode(value, &mut bytes);
    bytes
}

/// The value behind the version of the format. Nothing may follow it.
fn decode<T: for<'b> Decode<'b, ()>>(bytes: &[u8]) -> Result<T, DecodeError> {
    let content = check_version(bytes)?;
    let mut decoder = minicbor::Decoder::new(content);
    let value = decoder.decode().map_err(malformed)?;
    if decoder.position() != content.len() {
        return Err(DecodeError::Malformed("bytes after its end".to_owned()));
    }
    Ok(value)
}

/// Entries one after the other, as a snapshot holds them.
///
/// # Errors
/// The bytes are of another format, or damaged.
pub fn decode_all(bytes: &[u8]) -> Result<Vec<Entry>, DecodeError> {
    let content = check_version(bytes)?;
    let mut decoder = minicbor::Decoder::new(content);
    let mut entries = Vec::new();
    while decoder.position() < content.len() {
        entries.push(decoder.decode().map_err(malformed)?);
    }
    Ok(entries)
}

/// Adds an entry to those of a snapshot, which begins with the version of the format.
pub fn encode_next(bytes: &mut Vec<u8>, entry: &Entry) {
    if bytes.is_empty() {
        bytes.push(FORMAT_VERSION);
    }
    // Writing to a vector can't fail.
    let _ = minicbor::encode(entry, bytes);
}

/// What stands behind the version of the format.
fn check_version(bytes: &[u8]) -> Result<&[u8], DecodeError> {
    match bytes.split_first() {
        None => Err(DecodeError::Empty),
        Some((&FORMAT_VERSION, content)) => Ok(content),
        Some((&other, _)) => Err(DecodeError::UnknownFormat(other)),
    }
}

/// The decoder's error as ours.
fn malformed(error: minicbor::decode::Error) -> DecodeError {
    DecodeError::Malformed(error.to_string())
}

/// Bytes of what was handed in, roughly.
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

/// Bytes of results, roughly.
fn results_bytes(results: &[ItemResult]) -> usize {
    results.iter().map(|result| result.text.len() + 16).sum()
}
