//! Messages between a quota account and its coordinator. The numbers of `#[n(..)]` are the wire format and must not
//! change.

use minicbor::{Decode, Encode};

/// Incarnation of a route's coordinator. A greater one supersedes all lower ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct CoordinatorId {
    /// Epoch of the home group.
    #[n(0)]
    pub epoch: u64,
    /// Number of the primary's start within the epoch; 0 in the address of a report if it is not known yet.
    #[n(1)]
    pub session: u64,
}

/// Identifies a report of one group for one route. A greater one supersedes all lower ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ReportId {
    /// Epoch of the reporting group.
    #[n(0)]
    pub group_epoch: u64,
    /// Number of the primary's start within the epoch.
    #[n(1)]
    pub session: u64,
    /// Number of the account's report within the session, over all coordinators.
    #[n(2)]
    pub sequence: u64,
}

/// Sent by a group's primary to a route's coordinator: the tokens that it uses and requests. It returns all unused
/// grants.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct QuotaReport {
    /// Coordinator to which the report is addressed; others ignore it.
    #[n(0)]
    pub coordinator: CoordinatorId,
    /// The route.
    #[n(1)]
    pub route: String,
    /// The reporting group.
    #[n(2)]
    pub group: u32,
    /// Id of the report.
    #[n(3)]
    pub id: ReportId,
    /// Tokens in use by the group.
    #[n(4)]
    pub used: u64,
    /// Tokens of each submission that waits for capacity, in the order of their priority.
    #[n(5)]
    pub wanted: Vec<u64>,
    /// Total tokens of the submissions rejected as over quota in this session.
    #[n(6)]
    pub rejected_total: u64,
}

/// Decision of a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum Decision {
    /// No decision: the coordinator has not counted all groups, or the report is addressed to another one. Nothing is
    /// granted.
    #[n(0)]
    Unsure,
    /// The coordinator has counted all groups.
    #[n(1)]
    Counted {
        /// Tokens that the group may count; below its use if the groups together use more than the route's limit.
        #[n(0)]
        limit: u64,
        /// Tokens that no group uses. A larger submission is over quota. A submission within this but above `limit` is
        /// to be requested again, because other groups have unused grants.
        #[n(1)]
        available: u64,
        /// Whether a recent report was not fully granted; changes are then reported sooner.
        #[n(2)]
        is_contended: bool,
    },
}

/// Sent by a route's coordinator to a group's primary: the answer to a [`QuotaReport`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct QuotaGrant {
    /// The answering coordinator.
    #[n(0)]
    pub coordinator: CoordinatorId,
    /// Id of the answered report.
    #[n(1)]
    pub report: ReportId,
    /// The decision.
    #[n(2)]
    pub decision: Decision,
    /// The newest reading of the route's meter.
    #[n(3)]
    pub reading: Option<QuotaReading>,
}

/// Reading of a route's queued tokens at the end of a metering period of its coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct QuotaReading {
    /// Number of the period; increases over the epochs of all coordinators.
    #[n(0)]
    pub period: u64,
    /// Age of the end of the period when the message was sent, in milliseconds.
    #[n(1)]
    pub age_ms: u64,
    /// Length of the period in milliseconds.
    #[n(2)]
    pub length_ms: u64,
    /// Queued tokens at the end of the period.
    #[n(3)]
    pub waiting: u64,
    /// Tokens that were rejected as over quota in the period.
    #[n(4)]
    pub beyond: u64,
}
