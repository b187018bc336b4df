//! What gateways and stores say to each other about batch jobs, over the tier's own protocol.

use alderhollow_batch::job::{JobId, NewJob};
use alderhollow_batch::message::Message;
use alderhollow_batch::quota::{QuotaGrant, QuotaReading, QuotaReport};
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::GroupId;
use minicbor::{Decode, Encode};

/// A gateway's call to the primary of the job's group (`ServiceId::Batch`).
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum StoreCall {
    /// Take a batch job.
    #[n(0)]
    Submit {
        /// Names the client's try; the same when the gateway asks again.
        #[n(0)]
        try_id: u64,
        /// The batch job.
        #[n(1)]
        job: NewJob,
    },
    /// Tell whether a batch job would be taken, before it is sent.
    #[n(5)]
    Offer {
        /// Names the client's try.
        #[n(0)]
        try_id: u64,
        /// The batch job.
        #[n(1)]
        job: JobId,
        /// Name of its route.
        #[n(2)]
        route: String,
        /// Tokens of all its items; 0 asks only whether the batch job is known.
        #[n(3)]
        tokens: u64,
    },
    /// Read results.
    #[n(1)]
    Read {
        /// The batch job.
        #[n(0)]
        job: JobId,
        /// Position of the first result wanted.
        #[n(1)]
        after: u32,
        /// How long the answer may wait for a first result.
        #[n(2)]
        wait_ms: u32,
    },
    /// Give the body of an item.
    #[n(2)]
    Body {
        /// The batch job.
        #[n(0)]
        job: JobId,
        /// The item's id.
        #[n(1)]
        item: String,
    },
    /// End a batch job.
    #[n(3)]
    End(#[n(0)] JobId),
    /// Between stores: a group's primary reports to the coordinator of a route's limit.
    #[n(4)]
    Quota(#[n(0)] QuotaReport),
}

/// What a store answers a call with.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct StoreAnswer {
    /// The answer.
    #[n(0)]
    pub reply: StoreReply,
    /// With the answer to [`StoreCall::Submit`] by a primary: the newest reading of the tenant's waiting tokens.
    #[n(1)]
    pub reading: Option<TenantReading>,
}

/// A reading of a tenant's waiting tokens, at the end of a period of the primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct TenantReading {
    /// Number of the period; rises over all primaries.
    #[n(0)]
    pub period: u64,
    /// How long ago the period ended.
    #[n(1)]
    pub age_ms: u64,
    /// Its length.
    #[n(2)]
    pub length_ms: u64,
    /// Tokens that waited at its end.
    #[n(3)]
    pub waiting: u64,
    /// Tokens that came in it and did not fit.
    #[n(4)]
    pub beyond: u64,
}

impl StoreCall {
    /// The batch job that the call is about, if it is about one.
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

/// The answer to a [`StoreCall`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum StoreReply {
    /// The batch job, or its end, is on every member's disk.
    #[n(0)]
    Committed,
    /// The batch job doesn't fit. Nothing of this call is kept.
    #[n(1)]
    OverQuota,
    /// The batch job breaks a bound. Nothing of this call is kept.
    #[n(2)]
    Invalid,
    /// Another store is the primary. Nothing of this call is kept.
    #[n(3)]
    NotPrimary,
    /// The primary can't tell or take it now. Nothing of this call is kept.
    #[n(4)]
    NotSure,
    /// Whether it will be kept can't be known here: the primary in place has to be asked.
    #[n(5)]
    Unknown,
    /// There is no such batch job, or no such item whose body is kept.
    #[n(6)]
    NotFound,
    /// Results, as the JSON that the client gets.
    #[n(7)]
    Results(#[cbor(n(0), with = "minicbor::bytes")] Vec<u8>),
    /// The body of an item.
    #[n(8)]
    Body(#[cbor(n(0), with = "minicbor::bytes")] Vec<u8>),
    /// The coordinator's answer to a report.
    #[n(9)]
    Quota(#[n(0)] QuotaGrant),
    /// To [`StoreCall::Offer`]: the batch job would be taken now.
    #[n(10)]
    Welcome,
}

/// A notice between two stores (`ServiceId::Replication`).
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ReplicationNotice {
    /// The sender's disk.
    #[n(0)]
    pub from: DiskId,
    /// The receiver's disk; a store with another one is not meant.
    #[n(1)]
    pub to: DiskId,
    /// The message.
    #[n(2)]
    pub message: Message,
    /// The batch group that it is about. Earlier versions, which know one group, leave it out.
    #[n(3)]
    #[cbor(default)]
    pub group: GroupId,
}

#[cfg(test)]
mod tests;
