//! The report that a store sends to the core's primary with each poll. Input of the group policy.

use super::codec::{decode, encode, CodecError};
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::GroupId;
use minicbor::{Decode, Encode};
use std::collections::{BTreeMap, BTreeSet};

/// A store's report: the group policy's input, besides the time of the poll.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct StoreReport {
    /// Report for each group that the store belongs to.
    #[n(0)]
    pub groups: BTreeMap<GroupId, GroupReport>,
    /// The process is shutting down.
    #[n(1)]
    pub leaving: bool,
    /// The disk rejects writes, or a write has been pending for too long.
    #[n(2)]
    pub disk_failing: bool,
}

/// A store's report for one group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct GroupReport {
    /// The group epoch that the store acts under; 0 for none.
    #[n(0)]
    pub epoch: u64,
    /// Primary only: all members of that epoch are complete, so the primary may acknowledge.
    #[n(1)]
    pub active: bool,
    /// Members and learners: the store is in sync with the primary of that epoch, on disk. A member in sync is complete; a
    /// learner in sync has the data up to that moment and receives what is new.
    #[n(2)]
    pub synced: bool,
    /// Primary only: members that have not acknowledged replicated data for too long.
    #[n(3)]
    pub silent: BTreeSet<DiskId>,
    /// Primary only: a member that may have acknowledged jobs which this store lacks.
    #[n(4)]
    pub behind: Option<DiskId>,
}

impl StoreReport {
    /// Encodes this report.
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a report.
    ///
    /// # Errors
    /// The bytes are not an encoded report.
    pub fn from_bytes(bytes: &[u8]) -> Result<StoreReport, CodecError> {
        decode(bytes)
    }
}
