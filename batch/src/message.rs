//! What stores of a group say to each other.

use crate::job::JobId;
use crate::records::{Entry, StreamId};
use minicbor::{Decode, Encode};

/// A job's digest, for comparison.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct JobDigest {
    /// The job.
    #[n(0)]
    pub job: JobId,
    /// See [`Job::digest`](crate::job::Job::digest).
    #[n(1)]
    pub digest: u64,
    /// Its age at the sender.
    #[n(2)]
    pub age_ms: u64,
}

/// A job's age, as a member knows it better than the primary.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct JobAge {
    /// The job.
    #[n(0)]
    pub job: JobId,
    /// Its age at the sender.
    #[n(1)]
    pub age_ms: u64,
}

/// A message between stores.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Message {
    /// Primary to another: the digests of all its jobs in a range of ids.
    #[n(0)]
    Compare {
        /// The stream that is being set up.
        #[n(0)]
        stream: StreamId,
        /// The range begins after this id; `None`: at the first.
        #[n(1)]
        after: Option<JobId>,
        /// The last id of the range; `None`: no end.
        #[n(2)]
        until: Option<JobId>,
        /// All of the primary's jobs in the range, in order.
        #[n(3)]
        digests: Vec<JobDigest>,
    },
    /// Answer to [`Message::Compare`].
    #[n(1)]
    Differences {
        /// The stream.
        #[n(0)]
        stream: StreamId,
        /// The end of the range that this answers.
        #[n(1)]
        until: Option<JobId>,
        /// Jobs that are missing or differ here.
        #[n(2)]
        wanted: Vec<JobId>,
        /// Jobs that the primary doesn't have.
        #[n(3)]
        surplus: Vec<JobId>,
        /// Jobs that are older than the primary knows.
        #[n(4)]
        older: Vec<JobAge>,
        /// The newest epoch that is known here to have been active.
        #[n(5)]
        active_epoch: u64,
    },
    /// Primary to another: a part of the stream.
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
    /// All entries below this number are on disk here.
    #[n(3)]
    Acknowledge {
        /// The stream.
        #[n(0)]
        stream: StreamId,
        /// Number of the next entry wanted.
        #[n(1)]
        next: u64,
    },
    /// This stream is not followed here (a restart came between): set up another.
    #[n(4)]
    NotFollowing {
        /// The stream.
        #[n(0)]
        stream: StreamId,
    },
    /// A greater stream or epoch is known here.
    #[n(5)]
    Refused {
        /// The stream that is refused.
        #[n(0)]
        stream: StreamId,
        /// What is known here.
        #[n(1)]
        known: StreamId,
    },
}

/// Largest encoded size of a message, unless a single entry is larger. An entry is bounded by the largest body that a
/// client may send.
pub const MESSAGE_BYTES: usize = 1 << 20;
