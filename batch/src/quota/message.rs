//! What an account and its coordinator say to each other.

use minicbor::{Decode, Encode};

/// One incarnation of a route's coordinator. A greater one replaces all lower ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct CoordinatorId {
    /// Epoch of the home group.
    #[n(0)]
    pub epoch: u64,
    /// Counts the primary's starts within the epoch; 0 in a report's address: not known yet.
    #[n(1)]
    pub session: u64,
}

/// Names a report among all of one group for one route. A greater one replaces all lower ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ReportId {
    /// Epoch of the reporting group.
    #[n(0)]
    pub group_epoch: u64,
    /// Counts the primary's starts within the epoch.
    #[n(1)]
    pub session: u64,
    /// Counts the account's reports within the session, over all coordinators.
    #[n(2)]
    pub sequence: u64,
}

/// A group's primary to a route's coordinator: what it counts and needs. Whatever was granted before is returned.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct QuotaReport {
    /// The coordinator that it is addressed to; no other one counts by it.
    #[n(0)]
    pub coordinator: CoordinatorId,
    /// The route.
    #[n(1)]
    pub route: String,
    /// The reporting group.
    #[n(2)]
    pub group: u32,
    /// Name of the report.
    #[n(3)]
    pub id: ReportId,
    /// Tokens that the group counts.
    #[n(4)]
    pub used: u64,
    /// Tokens of each submission that waits for room, in the order in which they are to get it.
    #[n(5)]
    pub wanted: Vec<u64>,
    /// Tokens of all submissions that were refused within this session so far.
    #[n(6)]
    pub refused_total: u64,
}

/// What a coordinator decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum Decision {
    /// It can't tell: it has not counted all groups, or the report is not for it. Nothing is granted.
    #[n(0)]
    Unsure,
    /// It knows all groups' counts.
    #[n(1)]
    Counted {
        /// Tokens that the group may count; less than it does if the groups use more than the route's limit.
        #[n(0)]
        limit: u64,
        /// Tokens that no group uses: a submission of more does not fit. One that fits the room but not the limit is
        /// to be asked for again, since others hold tokens that they don't use.
        #[n(1)]
        available: u64,
        /// Whether some group did not get all it wanted of late: what changes is to be reported sooner.
        #[n(2)]
        is_contended: bool,
    },
}

/// A route's coordinator to a group's primary: the answer to a [`QuotaReport`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct QuotaGrant {
    /// Who answers.
    #[n(0)]
    pub coordinator: CoordinatorId,
    /// The report that it answers.
    #[n(1)]
    pub report: ReportId,
    /// The decision.
    #[n(2)]
    pub decision: Decision,
    /// The newest reading of the route's meter.
    #[n(3)]
    pub reading: Option<QuotaReading>,
}

/// A reading of a route's waiting tokens, at the end of a period of its coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct QuotaReading {
    /// Number of the period; rises over all coordinators' epochs.
    #[n(0)]
    pub period: u64,
    /// How long ago the period ended, when this was sent.
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
