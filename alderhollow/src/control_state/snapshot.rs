//! The whole control state as bytes.

use super::codec::{decode, encode, CodecError};
use super::stores::StoreRegistry;
use super::taken::TakenOrders;
use super::{ConfigDocument, ControlState};
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::BatchGroup;
use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The fields of [`ControlState`] as they are written. Later fields get new numbers and are optional.
#[derive(Debug, Default, Encode, Decode)]
struct StoredState {
    #[n(0)]
    version: u64,
    #[n(1)]
    document: Option<ByteVec>,
    #[n(2)]
    taken: TakenOrders,
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
}

impl ControlState {
    /// The bytes of the whole state.
    pub fn to_snapshot(&self) -> Vec<u8> {
        encode(&StoredState {
            version: self.version,
            document: self.document.as_ref().map(|document| ByteVec::from(document.text().to_vec())),
            taken: self.taken.clone(),
            evacuated: self.evacuated.clone(),
            stores: self.stores.clone(),
            group: self.group.as_deref().cloned(),
            complete: self.complete.clone(),
            active_epoch: self.active_epoch,
        })
    }

    /// Reads the whole state from its bytes.
    pub fn from_snapshot(bytes: &[u8]) -> Result<ControlState, CodecError> {
        let stored: StoredState = decode(bytes)?;
        Ok(ControlState {
            version: stored.version,
            document: stored.document.and_then(|text| ConfigDocument::read(text.into())),
            taken: stored.taken,
            evacuated: stored.evacuated,
            stores: stored.stores,
            group: stored.group.map(Arc::new),
            complete: stored.complete,
            active_epoch: stored.active_epoch,
        })
    }
}
