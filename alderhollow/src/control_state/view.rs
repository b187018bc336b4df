//! [`ControlView`] as it goes to the processes.

use super::codec::{decode, encode, CodecError};
use alderhollow_model::config::Config;
use alderhollow_model::snapshot::{BatchGroup, ControlView};
use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};
use std::collections::BTreeSet;
use std::sync::Arc;
use thiserror::Error;

/// The fields of a view as they are sent. The configuration is the JSON of its typed view.
#[derive(Debug, Encode, Decode)]
struct SentView {
    #[n(0)]
    version: u64,
    #[n(1)]
    config: Option<ByteVec>,
    #[n(2)]
    evacuated: BTreeSet<String>,
    #[n(3)]
    groups: Vec<BatchGroup>,
}

/// Why a view can't be read.
#[derive(Debug, Error)]
pub enum ViewError {
    /// The bytes are not a view.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The configuration in it can't be read.
    #[error("the configuration can't be read: {0}")]
    Config(#[from] serde_json::Error),
}

/// The bytes of a view.
pub fn encode_view(view: &ControlView) -> Vec<u8> {
    let config = view.config.as_deref().and_then(|config| match serde_json::to_vec(config) {
        Ok(text) => Some(ByteVec::from(text)),
        Err(error) => {
            log::error!("the configuration can't be encoded: {error}");
            None
        }
    });
    encode(&SentView {
        version: view.version,
        config,
        evacuated: view.evacuated.clone(),
        groups: view.groups.iter().map(|group| group.as_ref().clone()).collect(),
    })
}

/// Reads a view from its bytes.
pub fn decode_view(bytes: &[u8]) -> Result<ControlView, ViewError> {
    let sent: SentView = decode(bytes)?;
    let config: Option<Config> = match sent.config {
        Some(text) => Some(serde_json::from_slice(&text)?),
        None => None,
    };
    Ok(ControlView {
        version: sent.version,
        config: config.map(Arc::new),
        evacuated: sent.evacuated,
        groups: sent.groups.into_iter().map(Arc::new).collect(),
    })
}
