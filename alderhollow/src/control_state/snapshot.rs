//! Snapshot encoding of the complete control state, for the core's journal and for members that are far behind.

use super::accepted_requests::AcceptedRequests;
use super::codec::{decode, encode, CodecError};
use super::groups::GroupState;
use super::stores::StoreRegistry;
use super::{ConfigDocument, ControlState};
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::BatchGroup;
use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};
use std::collections::BTreeSet;
use std::sync::Arc;

/// A batch group other than the first, as stored.
#[derive(Debug, Encode, Decode)]
struct StoredGroup {
    #[n(0)]
    group: BatchGroup,
    #[n(1)]
    complete: BTreeSet<DiskId>,
    #[n(2)]
    active_epoch: u64,
    #[n(3)]
    former_members: Option<BTreeSet<DiskId>>,
}

/// The fields of [`ControlState`] as stored. New fields get new indexes and are optional. The first group has fields of its
/// own, as earlier versions of the program had a single group.
#[derive(Debug, Default, Encode, Decode)]
struct StoredState {
    #[n(0)]
    version: u64,
    #[n(1)]
    document: Option<ByteVec>,
    #[n(2)]
    accepted: AcceptedRequests,
    #[n(3)]
    evacuated: BTreeSet<String>,
    #[n(4)]
    stores: StoreRegistry,
    #[n(5)]
    group: Option<BatchGroup>,
    #[n(6)]
    complete: BTreeSet<DiskId>,
    #[n(7)]
    active_epoch: u64,
    #[n(8)]
    further_groups: Option<Vec<StoredGroup>>,
    #[n(9)]
    former_members: Option<BTreeSet<DiskId>>,
}

impl StoredGroup {
    fn of(state: &GroupState) -> StoredGroup {
        StoredGroup {
            group: state.group.as_ref().clone(),
            complete: state.complete.clone(),
            active_epoch: state.active_epoch,
            former_members: former_members_of(state),
        }
    }

    fn into_state(self) -> GroupState {
        GroupState {
            group: Arc::new(self.group),
            complete: self.complete,
            active_epoch: self.active_epoch,
            former_members: self.former_members.unwrap_or_default(),
        }
    }
}

/// The former members; `None` if there are none, so that the field is not written.
fn former_members_of(state: &GroupState) -> Option<BTreeSet<DiskId>> {
    (!state.former_members.is_empty()).then(|| state.former_members.clone())
}

impl ControlState {
    /// Encodes the complete state.
    pub fn to_snapshot(&self) -> Vec<u8> {
        let (first, further) = match self.groups.split_first() {
            Some((first, further)) => (Some(first), further),
            None => (None, Default::default()),
        };
        encode(&StoredState {
            version: self.version,
            document: self
                .document
                .as_ref()
                .map(|document| ByteVec::from(document.text().to_vec())),
            accepted: self.accepted.clone(),
            evacuated: self.evacuated.clone(),
            stores: self.stores.clone(),
            group: first.map(|state| state.group.as_ref().clone()),
            complete: first
                .map(|state| state.complete.clone())
                .unwrap_or_default(),
            active_epoch: first.map_or(0, |state| state.active_epoch),
            former_members: first.and_then(former_members_of),
            further_groups: (!further.is_empty())
                .then(|| further.iter().map(StoredGroup::of).collect()),
        })
    }

    /// Decodes the complete state. Its view version is the state's version.
    ///
    /// # Errors
    /// The bytes are not an encoded state.
    pub fn from_snapshot(bytes: &[u8]) -> Result<ControlState, CodecError> {
        let stored: StoredState = decode(bytes)?;
        let (complete, active_epoch) = (stored.complete, stored.active_epoch);
        let former_members = stored.former_members;
        let first = stored.group.map(|group| StoredGroup {
            group,
            complete,
            active_epoch,
            former_members,
        });
        let groups = first
            .into_iter()
            .chain(stored.further_groups.unwrap_or_default());
        Ok(ControlState {
            version: stored.version,
            view_version: stored.version,
            document: stored
                .document
                .and_then(|text| ConfigDocument::read(text.into())),
            accepted: stored.accepted,
            evacuated: stored.evacuated,
            stores: stored.stores,
            groups: groups.map(StoredGroup::into_state).collect(),
        })
    }
}
