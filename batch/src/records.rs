//! What a store's disk holds: entries, which fold to the [`State`](crate::state::State). The same entries are what a
//! primary streams to the others.

use crate::job::{ItemResult, Job, JobId, NewJob};
use minicbor::{Decode, Encode};

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

/// A primary's stream of records to one store. A greater one replaces all lower ones; a store that has followed one
/// never follows a lower one again, also after a restart.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct StreamId {
    /// Epoch of the group.
    #[n(0)]
    pub epoch: u64,
    /// Counts the primary's starts within the epoch, on its disk.
    #[n(1)]
    pub session: u64,
    /// Counts the primary's attempts to bring this store up to date within the session.
    #[n(2)]
    pub attempt: u64,
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
