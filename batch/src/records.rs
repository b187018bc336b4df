//! What a store's disk holds: entries, which fold to the state of a store. The same entries are what a
//! primary streams to the others.

use crate::job::{ItemResult, Job, JobId, NewJob};
use crate::message::StreamId;
use minicbor::{Decode, Encode};
use thiserror::Error;

/// Version of the format of entries on disk and in messages; the first byte of each encoded one.
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
    WholeJob(#[n(0)] Job),
    /// This store follows a stream.
    #[n(5)]
    Following(#[n(0)] StreamId),
    /// This store, as the primary, starts a session of an epoch.
    #[n(6)]
    SessionStarted {
        /// The epoch.
        #[n(0)]
        epoch: u64,
        /// The session.
        #[n(1)]
        session: u64,
    },
    /// This store equalled the epoch's primary.
    #[n(7)]
    Synced(#[n(0)] u64),
    /// All members of the epoch equalled its primary.
    #[n(8)]
    Active(#[n(0)] u64),
}

/// Bytes that are no entry.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// There is nothing.
    #[error("an empty record")]
    Empty,
    /// Another format.
    #[error("a record of format {0}; this program reads format {FORMAT_VERSION}")]
    UnknownFormat(u8),
    /// Not an entry in this format.
    #[error("a record that can't be read: {0}")]
    Malformed(String),
    /// A job that contradicts itself.
    #[error("job {0} contradicts itself")]
    Inconsistent(JobId),
}
