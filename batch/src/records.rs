//! Records of a store: the entries of its journal and of its snapshots, which a primary also replicates to the other
//! stores. Applied in order they yield the [`State`](crate::state::State).
//!
//! Invariant: entries are idempotent, since a replicated stream may contain a change that a full copy of the job
//! already includes. The numbers of `#[n(..)]` are the format on disk and on the wire and must not change.

use crate::job::{ItemResult, Job, JobId, NewJob};
use minicbor::{Decode, Encode};

/// A change of a store's state. Applying an entry again has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Entry {
    /// A job was accepted.
    #[n(0)]
    JobAccepted(#[n(0)] NewJob),
    /// Results of a job, starting at a position.
    #[n(1)]
    ItemResults {
        /// The job.
        #[n(0)]
        job: JobId,
        /// Position of the first result.
        #[n(1)]
        position: u32,
        /// The results.
        #[n(2)]
        results: Vec<ItemResult>,
    },
    /// A client ended a job.
    #[n(2)]
    JobEnded(#[n(0)] JobId),
    /// A job was deleted.
    #[n(3)]
    JobForgotten(#[n(0)] JobId),
    /// A full copy of a job, which replaces what is stored under its id.
    #[n(4)]
    FullJob(#[n(0)] Job),
    /// This store began to follow a stream.
    #[n(5)]
    Following(#[n(0)] StreamId),
    /// This store, as the primary, started a session of an epoch.
    #[n(6)]
    SessionStarted(#[n(0)] SessionId),
    /// This store was in sync with the primary of this epoch.
    #[n(7)]
    Synced(#[n(0)] u64),
    /// All members were in sync with the primary: this epoch became active.
    #[n(8)]
    Active(#[n(0)] u64),
}

/// A primary's stream of records to one store, ordered by epoch, session and attempt. A store that has followed a
/// stream rejects all lower ones, also after a restart.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct StreamId {
    /// Epoch of the group.
    #[n(0)]
    pub epoch: u64,
    /// Number of the primary's start within the epoch, counted on its disk.
    #[n(1)]
    pub session: u64,
    /// Number of the primary's attempt to synchronize this store within the session.
    #[n(2)]
    pub attempt: u64,
}

/// A session: one start of a primary within an epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct SessionId {
    /// Epoch of the group.
    #[n(0)]
    pub epoch: u64,
    /// Number of the start within the epoch, from 1.
    #[n(1)]
    pub session: u64,
}
