//! Messages between gateways and stores about batch jobs, sent over the internal protocol.

use alderhollow_batch::job::{JobId, NewJob};
use alderhollow_batch::message::Message;
use alderhollow_batch::quota::{QuotaGrant, QuotaReading, QuotaReport};
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::GroupId;
use minicbor::{Decode, Encode};

/// A gateway's call to the primary of the job's group (`ServiceId::Batch`).
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum StoreCall {
    /// Accepts a batch job.
    #[n(0)]
    Submit {
        /// Identifies the client's attempt; the gateway's retries repeat it.
        #[n(0)]
        try_id: u64,
        /// The batch job.
        #[n(1)]
        job: NewJob,
    },
    /// Asks whether a batch job would be accepted, before it is sent.
    #[n(5)]
    Offer {
        /// Identifies the client's attempt.
        #[n(0)]
        try_id: u64,
        /// The batch job.
        #[n(1)]
        job: JobId,
        /// Name of the job's route.
        #[n(2)]
        route: String,
        /// Total tokens of the job's items; 0 only asks whether the job is known.
        #[n(3)]
        tokens: u64,
    },
    /// Reads results.
    #[n(1)]
    Read {
        /// The batch job.
        #[n(0)]
        job: JobId,
        /// Position of the first result to return.
        #[n(1)]
        after: u32,
        /// How long the store may hold the reply until there is a first result.
        #[n(2)]
        wait_ms: u32,
    },
    /// Reads the body of an item.
    #[n(2)]
    Body {
        /// The batch job.
        #[n(0)]
        job: JobId,
        /// The item's id.
        #[n(1)]
        item: String,
    },
    /// Ends a batch job.
    #[n(3)]
    End(#[n(0)] JobId),
    /// Between stores: a group's primary reports to the coordinator of a route's quota.
    #[n(4)]
    Quota(#[n(0)] QuotaReport),
}

/// A store's answer to a call.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct StoreAnswer {
    /// The reply.
    #[n(0)]
    pub reply: StoreReply,
    /// The latest reading of the tenant's queued tokens; sent by a primary with the reply to [`StoreCall::Submit`].
    #[n(1)]
    pub reading: Option<TenantReading>,
}

/// A tenant's queued tokens at the end of a measurement period of the primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct TenantReading {
    /// Number of the period; increases across changes of the primary.
    #[n(0)]
    pub period: u64,
    /// How long ago the period ended.
    #[n(1)]
    pub age_ms: u64,
    /// Length of the period.
    #[n(2)]
    pub length_ms: u64,
    /// Tokens queued at the end of the period.
    #[n(3)]
    pub waiting: u64,
    /// Tokens submitted during the period that exceeded the quota.
    #[n(4)]
    pub beyond: u64,
}

impl StoreCall {
    /// The batch job that the call refers to, if any.
    pub fn job(&self) -> Option<&JobId> {
        match self {
            StoreCall::Submit { job, .. } => Some(&job.id),
            StoreCall::Offer { job, .. }
            | StoreCall::Read { job, .. }
            | StoreCall::Body { job, .. }
            | StoreCall::End(job) => Some(job),
            StoreCall::Quota(_) => None,
        }
    }
}

impl From<QuotaReading> for TenantReading {
    fn from(reading: QuotaReading) -> TenantReading {
        let QuotaReading {
            period,
            age_ms,
            length_ms,
            waiting,
            beyond,
        } = reading;
        TenantReading {
            period,
            age_ms,
            length_ms,
            waiting,
            beyond,
        }
    }
}

/// The reply to a [`StoreCall`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum StoreReply {
    /// The batch job, or its end, is on the disk of every member.
    #[n(0)]
    Committed,
    /// The batch job exceeds the quota. The call had no effect.
    #[n(1)]
    OverQuota,
    /// The batch job violates a limit. The call had no effect.
    #[n(2)]
    Invalid,
    /// Another store is the primary. The call had no effect.
    #[n(3)]
    NotPrimary,
    /// The primary cannot decide or accept it now. The call had no effect.
    #[n(4)]
    NotSure,
    /// This store cannot know whether the call will take effect; the current primary has to be asked.
    #[n(5)]
    Unknown,
    /// There is no such batch job, or no item with a stored body.
    #[n(6)]
    NotFound,
    /// Results, as the JSON document for the client.
    #[n(7)]
    Results(#[cbor(n(0), with = "minicbor::bytes")] Vec<u8>),
    /// The body of an item.
    #[n(8)]
    Body(#[cbor(n(0), with = "minicbor::bytes")] Vec<u8>),
    /// The coordinator's reply to a report.
    #[n(9)]
    Quota(#[n(0)] QuotaGrant),
    /// Reply to [`StoreCall::Offer`]: the batch job would be accepted now.
    #[n(10)]
    WouldAccept,
}

/// A replication message between two stores (`ServiceId::Replication`).
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ReplicationNotice {
    /// The sender's disk.
    #[n(0)]
    pub from: DiskId,
    /// The receiver's disk; a store with another disk must ignore the notice.
    #[n(1)]
    pub to: DiskId,
    /// The message.
    #[n(2)]
    pub message: Message,
    /// The batch group that the message belongs to. Earlier versions support a single group and omit the field.
    #[n(3)]
    #[cbor(default)]
    pub group: GroupId,
}

#[cfg(test)]
mod tests;
