//! Encoding of [`ControlView`] for the distribution to all processes. Each store is encoded once, however many groups it
//! belongs to; groups refer to stores by index.

use super::codec::{decode, encode, CodecError};
use alderhollow_model::config::Config;
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::{BatchGroup, ControlView, GroupMember};
use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use thiserror::Error;

/// The fields of a view as encoded. The configuration is the JSON of its parsed form.
#[derive(Debug, Encode, Decode)]
struct EncodedView {
    #[n(0)]
    version: u64,
    #[n(1)]
    config: Option<ByteVec>,
    #[n(2)]
    evacuated: BTreeSet<String>,
    /// The stores of all groups.
    #[n(4)]
    stores: Vec<GroupMember>,
    #[n(5)]
    groups: Vec<EncodedGroup>,
}

/// A group as sent: its stores by their indexes in [`EncodedView::stores`].
#[derive(Debug, Encode, Decode)]
struct EncodedGroup {
    #[n(0)]
    epoch: u64,
    #[n(1)]
    primary: DiskId,
    #[n(2)]
    members: Vec<u32>,
    #[n(3)]
    learners: Vec<u32>,
}

/// Builds the list of stores and assigns their indexes.
#[derive(Default)]
struct StoreTable {
    stores: Vec<GroupMember>,
    /// Indexes by disk. A disk has several where groups name its store with different addresses or incarnations.
    indexes: BTreeMap<DiskId, Vec<usize>>,
}

impl StoreTable {
    /// Index of a store, assigned on first use.
    fn index_of(&mut self, store: &GroupMember) -> u32 {
        let indexes = self.indexes.entry(store.disk).or_default();
        let known = indexes
            .iter()
            .copied()
            .find(|index| self.stores.get(*index) == Some(store));
        let index = known.unwrap_or(self.stores.len());
        if known.is_none() {
            indexes.push(index);
            self.stores.push(store.clone());
        }
        index as u32
    }

    fn indexes_of(&mut self, stores: &[GroupMember]) -> Vec<u32> {
        stores.iter().map(|store| self.index_of(store)).collect()
    }

    fn encode_group(&mut self, group: &BatchGroup) -> EncodedGroup {
        EncodedGroup {
            epoch: group.epoch,
            primary: group.primary,
            members: self.indexes_of(&group.members),
            learners: self.indexes_of(&group.learners),
        }
    }
}

impl EncodedGroup {
    fn decode(self, stores: &[GroupMember]) -> Result<BatchGroup, ViewError> {
        Ok(BatchGroup {
            epoch: self.epoch,
            primary: self.primary,
            members: stores_at(&self.members, stores)?,
            learners: stores_at(&self.learners, stores)?,
        })
    }
}

fn stores_at(indexes: &[u32], stores: &[GroupMember]) -> Result<Vec<GroupMember>, ViewError> {
    let store_at = |index: &u32| {
        stores
            .get(*index as usize)
            .cloned()
            .ok_or(ViewError::UnknownStoreIndex(*index))
    };
    indexes.iter().map(store_at).collect()
}

/// Why a view can't be decoded.
#[derive(Debug, Error)]
pub enum ViewError {
    /// The bytes are not an encoded view.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The configuration in it can't be parsed.
    #[error("the configuration can't be read: {0}")]
    Config(#[from] serde_json::Error),
    /// A group refers to an index beyond the list of stores.
    #[error("a group refers to store index {0}, which does not exist")]
    UnknownStoreIndex(u32),
}

/// Encodes a view.
pub fn encode_view(view: &ControlView) -> Vec<u8> {
    let config = view
        .config
        .as_deref()
        .and_then(|config| match serde_json::to_vec(config) {
            Ok(text) => Some(ByteVec::from(text)),
            Err(error) => {
                log::error!("failed to encode the configuration: {error}");
                None
            }
        });
    let mut table = StoreTable::default();
    let groups = view
        .groups
        .iter()
        .map(|group| table.encode_group(group))
        .collect();
    encode(&EncodedView {
        version: view.version,
        config,
        evacuated: view.evacuated.clone(),
        stores: table.stores,
        groups,
    })
}

/// Decodes a view.
///
/// # Errors
/// The bytes are not an encoded view, or its configuration or a store index is invalid.
pub fn decode_view(bytes: &[u8]) -> Result<ControlView, ViewError> {
    let encoded: EncodedView = decode(bytes)?;
    let config: Option<Config> = match encoded.config {
        Some(text) => Some(serde_json::from_slice(&text)?),
        None => None,
    };
    let stores = encoded.stores;
    let groups = encoded
        .groups
        .into_iter()
        .map(|group| group.decode(&stores).map(Arc::new));
    Ok(ControlView {
        version: encoded.version,
        config: config.map(Arc::new),
        evacuated: encoded.evacuated,
        groups: groups.collect::<Result<_, _>>()?,
    })
}
