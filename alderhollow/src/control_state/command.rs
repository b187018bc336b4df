//! Commands: the entries that the core replicates. Each contains everything that applying it needs and is independent of
//! clocks and settings, so that all replicas reach the same state.

use super::groups::GroupChange;
use alderhollow_model::config::ConfigVersion;
use alderhollow_model::identity::{DiskId, NodeInfo};
use alderhollow_model::snapshot::BatchGroup;
use minicbor::{Decode, Encode};
use std::collections::BTreeSet;

/// A replicated change of the control state.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Command {
    /// Replaces the configuration.
    #[n(0)]
    SetConfig {
        /// The version that it replaces; the command has no effect if another one is current.
        #[n(0)]
        base: ConfigVersion,
        /// Digest of the operator's request.
        #[n(1)]
        order: u64,
        /// The complete JSON document.
        #[cbor(n(2), with = "minicbor::bytes")]
        document: Vec<u8>,
    },
    /// Evacuates a zone: no request is sent to its backends any more.
    #[n(1)]
    Evacuate {
        /// The zone.
        #[n(0)]
        zone: String,
    },
    /// Cancels the evacuation of a zone.
    #[n(2)]
    CancelEvacuation {
        /// The zone.
        #[n(0)]
        zone: String,
    },
    /// Starts the decommissioning of a store.
    #[n(3)]
    Retire {
        /// Name of the machine.
        #[n(0)]
        node: String,
    },
    /// Registers a store or updates its registration.
    #[n(4)]
    RegisterStore(#[n(0)] NodeInfo),
    /// A new epoch of the first group, as written by earlier versions of the program, which had a single group. With
    /// `previous_epoch` 0 it creates that group.
    #[n(5)]
    SetGroup {
        /// The epoch that it replaces; the command has no effect if another one is current.
        #[n(0)]
        previous_epoch: u64,
        /// The group.
        #[n(1)]
        group: BatchGroup,
    },
    /// All members of the first group are complete; see [`Command::SetGroup`].
    #[n(6)]
    GroupActive {
        /// The group's epoch; the command has no effect if another one is current.
        #[n(0)]
        epoch: u64,
    },
    /// Some members of the first group became complete; see [`Command::SetGroup`].
    #[n(7)]
    MembersInSync {
        /// The group's epoch; the command has no effect if another one is current.
        #[n(0)]
        epoch: u64,
        /// The members' disks.
        #[n(1)]
        disks: BTreeSet<DiskId>,
    },
    /// Creates all batch groups; no effect if there are groups.
    #[n(8)]
    FoundGroups(#[n(0)] Vec<BatchGroup>),
    /// Changes batch groups. Each change is checked by itself: one whose precondition no longer holds has no effect.
    #[n(9)]
    ChangeGroups(#[n(0)] Vec<GroupChange>),
}

impl Command {
    /// Encodes this command.
    pub fn to_bytes(&self) -> Vec<u8> {
        super::codec::encode(self)
    }

    /// Decodes a command.
    ///
    /// # Errors
    /// The bytes are not an encoded command.
    pub fn from_bytes(bytes: &[u8]) -> Result<Command, super::codec::CodecError> {
        super::codec::decode(bytes)
    }
}
