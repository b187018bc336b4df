//! The peer set: the configured names of all gateways of a cluster, their order, and the hashes that stand for them in
//! datagrams.

use crate::hash::{self, mix};
use std::collections::BTreeMap;

/// Maximum number of names in a peer set: the summary of a view has to fit into a datagram together with updates.
pub const MAX_PEERS: usize = 1000;

/// The hash of a name of the peer set. A peer set in which two names have equal hashes is rejected.
pub type PeerId = u32;

/// A gateway's index in the peer set, whose names are sorted.
pub type PeerIndex = usize;

/// The id of a name, the same at every gateway.
pub fn peer_id_of(name: &str) -> PeerId {
    hash::hash_text(name)
}

/// Reasons to reject a peer set.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerSetError {
    /// It has this many names, more than [`MAX_PEERS`].
    #[error("the peer set has {0} names, the maximum is {max}: remove some", max = MAX_PEERS)]
    TooMany(usize),
    /// It has this name more than once.
    #[error("the peer set has '{0}' twice: remove one, or rename one of the two gateways")]
    Duplicate(String),
    /// It has these two names, whose hashes are equal.
    #[error(
        "the peer set has '{0}' and '{1}', whose hashes are equal: rename one of the two gateways"
    )]
    HashCollision(String, String),
    /// It lacks this name, which is the one of the gateway itself.
    #[error("the peer set lacks '{0}', the name of this gateway: add it, or give this gateway a name of the peer set")]
    MissingOwnName(String),
}

/// All names of a cluster. Peer sets with the same names have the same indexes, ids and digest, whatever the order in the
/// configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSet {
    names: Vec<String>,
    ids: Vec<PeerId>,
    index_by_id: BTreeMap<PeerId, PeerIndex>,
    digest: u32,
}

impl PeerSet {
    /// Builds a peer set of these names, given in any order.
    ///
    /// # Errors
    /// There are more than [`MAX_PEERS`] names, a duplicate, or two names with equal hashes.
    pub fn new(mut names: Vec<String>) -> Result<PeerSet, PeerSetError> {
        if names.len() > MAX_PEERS {
            return Err(PeerSetError::TooMany(names.len()));
        }
        names.sort();
        let ids: Vec<PeerId> = names.iter().map(|name| peer_id_of(name)).collect();
        let mut index_by_id = BTreeMap::new();
        for (index, (name, id)) in names.iter().zip(&ids).enumerate() {
            if let Some(other) = index_by_id.insert(*id, index) {
                return Err(match &names[other] {
                    other if other == name => PeerSetError::Duplicate(name.clone()),
                    other => PeerSetError::HashCollision(other.clone(), name.clone()),
                });
            }
        }
        let digest = ids.iter().fold(0, |sum, id| mix(sum, u64::from(*id))) as u32;
        Ok(PeerSet {
            names,
            ids,
            index_by_id,
            digest,
        })
    }

    /// The names, sorted.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// The ids, in the order of the names.
    pub fn ids(&self) -> &[PeerId] {
        &self.ids
    }

    /// Number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether the set has no names.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// A digest of the ids. Two different peer sets have the same digest with a probability of 2^-32.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// The index of the name with this id, if the set has it.
    pub fn index_of(&self, id: PeerId) -> Option<PeerIndex> {
        self.index_by_id.get(&id).copied()
    }

    /// The index of the gateway's own name.
    ///
    /// # Errors
    /// The set lacks the name.
    pub fn own_index(&self, name: &str) -> Result<PeerIndex, PeerSetError> {
        let found = self
            .names
            .binary_search_by(|other| other.as_str().cmp(name));
        found.map_err(|_| PeerSetError::MissingOwnName(name.to_string()))
    }
}

#[cfg(test)]
mod tests;
