//! What a store reports of itself to the core with each poll.

use super::codec::{decode, encode, CodecError};
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::GroupId;
use minicbor::{Decode, Encode};
use std::collections::{BTreeMap, BTreeSet};

/// What the policy of the groups rests on, beside the time of the poll.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct StoreReport {
    /// Its part in each group that it belongs to.
    #[n(0)]
    pub groups: BTreeMap<GroupId, GroupReport>,
    /// The process is about to end.
    #[n(1)]
    pub leaving: bool,
    /// The disk takes no writes, or has let one wait for long.
    #[n(2)]
    pub disk_failing: bool,
}

/// A store's part in one group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct GroupReport {
    /// Epoch of the group that it acts under; 0: none.
    #[n(0)]
    pub epoch: u64,
    /// As the group's primary: all members of that epoch hold everything, so that it may acknowledge.
    #[n(1)]
    pub active: bool,
    /// Not the primary: the primary made it equal to itself under that epoch, and it has that on disk. A member then holds
    /// everything that was acknowledged; a learner has what was there at that time, and gets what is new.
    #[n(2)]
    pub synced: bool,
    /// As the group's primary: members that have let something wait for long.
    #[n(3)]
    pub silent: BTreeSet<DiskId>,
    /// As the group's primary: a member that may hold acknowledged jobs which this store lacks.
    #[n(4)]
    pub behind: Option<DiskId>,
}

impl StoreReport {
    /// The bytes of this report.
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }

    /// Reads a report from its bytes.
    pub fn from_bytes(bytes: &[u8]) -> Result<StoreReport, CodecError> {
        decode(bytes)
    }
}
