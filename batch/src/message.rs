//! Replication messages between the stores of a group.
//!
//! A primary sends [`Message::Compare`] and [`Message::Entries`]; the other stores answer with the other kinds.
//! Messages may be lost, duplicated or delayed. The protocol is described in [`group`](crate::group). The numbers of
//! `#[n(..)]` are the wire format and must not change.

use crate::job::JobId;
use crate::records::{Entry, StreamId};
use minicbor::{Decode, Encode};

/// Digest of a job, to compare it between two stores.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct JobDigest {
    /// The job.
    #[n(0)]
    pub job: JobId,
    /// See [`Job::digest`](crate::job::Job::digest).
    #[n(1)]
    pub digest: u64,
    /// Age of the job at the sender, in milliseconds.
    #[n(2)]
    pub age_ms: u64,
}

/// Age of a job for which a member has a larger lower bound than the primary.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct JobAge {
    /// The job.
    #[n(0)]
    pub job: JobId,
    /// Age of the job at the sender, in milliseconds.
    #[n(1)]
    pub age_ms: u64,
}

/// A replication message between two stores.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Message {
    /// Sent by the primary: digests of all its jobs in a range of ids.
    #[n(0)]
    Compare {
        /// The stream that is being synchronized.
        #[n(0)]
        stream: StreamId,
        /// Exclusive start of the range; `None` for the first id.
        #[n(1)]
        after: Option<JobId>,
        /// Inclusive end of the range; `None` if it is unbounded.
        #[n(2)]
        until: Option<JobId>,
        /// Digests of all jobs of the primary in the range, in order of their ids.
        #[n(3)]
        digests: Vec<JobDigest>,
    },
    /// Answer to [`Message::Compare`].
    #[n(1)]
    Differences {
        /// The stream.
        #[n(0)]
        stream: StreamId,
        /// End of the range of the compared digests.
        #[n(1)]
        until: Option<JobId>,
        /// Jobs that are missing at the sender or differ there.
        #[n(2)]
        wanted: Vec<JobId>,
        /// Jobs of the sender that the primary does not have.
        #[n(3)]
        surplus: Vec<JobId>,
        /// Jobs for which the sender knows a larger age.
        #[n(4)]
        older: Vec<JobAge>,
        /// Newest epoch that the sender knows to have been active.
        #[n(5)]
        active_epoch: u64,
    },
    /// Sent by the primary: consecutive entries of the stream.
    #[n(2)]
    Entries {
        /// The stream.
        #[n(0)]
        stream: StreamId,
        /// Number of the first entry in the stream.
        #[n(1)]
        first: u64,
        /// The entries.
        #[n(2)]
        entries: Vec<Entry>,
    },
    /// Acknowledges that all entries below a number are on the sender's disk.
    #[n(3)]
    Acknowledge {
        /// The stream.
        #[n(0)]
        stream: StreamId,
        /// Number of the next entry that the sender expects.
        #[n(1)]
        next: u64,
    },
    /// The sender does not follow this stream, for example after a restart; the primary must start another attempt.
    #[n(4)]
    NotFollowing {
        /// The stream.
        #[n(0)]
        stream: StreamId,
    },
    /// The sender rejects the stream, because it knows a greater stream or epoch.
    #[n(5)]
    Rejected {
        /// The rejected stream.
        #[n(0)]
        stream: StreamId,
        /// The greater stream that the sender knows.
        #[n(1)]
        known: StreamId,
    },
}

/// Maximum encoded size of a message in bytes, unless a single entry is larger. The size of an entry is limited by the
/// maximum body of a client's request.
pub const MESSAGE_BYTES: usize = 1 << 20;
