//! The names of a cluster: who is in it, in which order, and how that is said in few bytes.

use crate::hash::{self, mix};
use crate::protocol::PeerIndex;
use std::collections::BTreeMap;

/// Most names of a peer set: the marks of two views have to fit into a datagram, with room for what differs.
pub const MAX_PEERS: usize = 1000;

/// A name of the peer set, as its hash: names whose hashes are equal are refused with the peer set.
pub type PeerId = u32;

/// The id of a name, at every gateway.
pub fn peer_id_of(name: &str) -> PeerId {
    hash::hash_text(name)
}

/// What is wrong with a peer set.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerSetError {
    /// It has so many names.
    #[error("the peer set has {0} names, the maximum is {max}: remove some", max = MAX_PEERS)]
    TooMany(usize),
    /// It has a name more than once.
    #[error("the peer set has '{0}' twice: remove one, or rename one of the two gateways")]
    Duplicate(String),
    /// It has two names whose hashes are equal.
    #[error(
        "the peer set has '{0}' and '{1}', whose hashes are equal: rename one of the two gateways"
    )]
    HashCollision(String, String),
    /// It lacks the name of the gateway that is to go by it.
    #[error("the peer set lacks '{0}', the name of this gateway: add it, or give this gateway a name of the peer set")]
    MissingOwnName(String),
}

/// All names of a cluster. Gateways whose peer sets have the same names have the same places, ids and digest, in whatever
/// order they were told them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSet {
    names: Vec<String>,
    ids: Vec<PeerId>,
    index_by_id: BTreeMap<PeerId, PeerIndex>,
    digest: u32,
}

impl PeerSet {
    /// A peer set of these names, in any order.
    ///
    /// # Errors
    /// There are too many of them, or two that cannot be told apart.
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

    /// The names in order.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// Their ids, in the order of the names.
    pub fn ids(&self) -> &[PeerId] {
        &self.ids
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Equal where the peer sets are. Of two that differ it is equal once in 2^32.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// Where the name with this id stands, if there is one.
    pub fn index_of(&self, id: PeerId) -> Option<PeerIndex> {
        self.index_by_id.get(&id).copied()
    }

    /// Where a gateway's own name stands.
    ///
    /// # Errors
    /// It is not there.
    pub fn own_index(&self, name: &str) -> Result<PeerIndex, PeerSetError> {
        let found = self
            .names
            .binary_search_by(|other| other.as_str().cmp(name));
        found.map_err(|_| PeerSetError::MissingOwnName(name.to_string()))
    }
}

#[cfg(test)]
mod tests;
