//! The changes of the control state. Each is decided before it is replicated and holds all that applying it needs.

use super::groups::GroupChange;
use alderhollow_model::config::ConfigVersion;
use alderhollow_model::identity::{DiskId, NodeInfo};
use alderhollow_model::snapshot::BatchGroup;
use minicbor::{Decode, Encode};
use std::collections::BTreeSet;

/// A change of the control state.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Command {
    /// A new configuration.
    #[n(0)]
    SetConfig {
        /// The version that it follows; it is passed over if another one is current.
        #[n(0)]
        base: ConfigVersion,
        /// Digest of the order that brought it.
        #[n(1)]
        order: u64,
        /// The whole document.
        #[cbor(n(2), with = "minicbor::bytes")]
        document: Vec<u8>,
    },
    /// Nothing more is to go to the backends of a zone.
    #[n(1)]
    Evacuate {
        /// The zone.
        #[n(0)]
        zone: String,
    },
    /// A zone's backends may be used again.
    #[n(2)]
    TakeBack {
        /// The zone.
        #[n(0)]
        zone: String,
    },
    /// A store is to be emptied.
    #[n(3)]
    Retire {
        /// Name of its machine.
        #[n(0)]
        node: String,
    },
    /// A store as it is now.
    #[n(4)]
    RegisterStore(#[n(0)] NodeInfo),
    /// A new epoch of the first group, as earlier versions of the program wrote it, which knew one group; after epoch 0: the
    /// first group is made.
    #[n(5)]
    SetGroup {
        /// The epoch that it follows; it is passed over if another one is current.
        #[n(0)]
        previous_epoch: u64,
        /// The group.
        #[n(1)]
        group: BatchGroup,
    },
    /// All members of the first group hold everything; see [`Command::SetGroup`].
    #[n(6)]
    GroupActive {
        /// The group's epoch; passed over if another one is current.
        #[n(0)]
        epoch: u64,
    },
    /// Some members of the first group hold everything, though not yet all; see [`Command::SetGroup`].
    #[n(7)]
    MembersInSync {
        /// The group's epoch; passed over if another one is current.
        #[n(0)]
        epoch: u64,
        /// The members' disks.
        #[n(1)]
        disks: BTreeSet<DiskId>,
    },
    /// The batch groups are made, all at once; passed over if there are some.
    #[n(8)]
    FoundGroups(#[n(0)] Vec<BatchGroup>),
    /// Batch groups change, each by itself: a change that does not fit any more is passed over.
    #[n(9)]
    ChangeGroups(#[n(0)] Vec<GroupChange>),
}

impl Command {
    /// The bytes of this command.
    pub fn to_bytes(&self) -> Vec<u8> {
        super::codec::encode(self)
    }

    /// Reads a command from its bytes.
    pub fn from_bytes(bytes: &[u8]) -> Result<Command, super::codec::CodecError> {
        super::codec::decode(bytes)
    }
}
