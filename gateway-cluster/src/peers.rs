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
    hash::of_text(name)
}

/// What is wrong with a peer set.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerSetError {
    /// It has so many names.
    #[error("the roster has {0} names, and {most} are the most: take some out of it", most = MAX_PEERS)]
    TooMany(usize),
    /// It has a name more than once.
    #[error("the roster has '{0}' twice: take it out once, or give one of the two another name")]
    Twice(String),
    /// It has two names whose hashes are equal.
    #[error(
        "the roster has '{0}' and '{1}', whose hashes are equal: give one of the two another name"
    )]
    SameHash(String, String),
    /// It lacks the name of the gateway that is to go by it.
    #[error("the roster lacks '{0}', the name of this front door: add it, or give this front door a name that is there")]
    Lacks(String),
}

/// All names of a cluster. Gateways whose peer sets have the same names have the same places, ids and digest, in whatever
/// order they were told them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSet {
    names: Vec<String>,
    ids: Vec<PeerId>,
    places: BTreeMap<PeerId, PeerIndex>,
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
        let mut places = BTreeMap::new();
        for (place, (name, id)) in names.iter().zip(&ids).enumerate() {
            if let Some(other) = places.insert(*id, place) {
                return Err(match &names[other] {
                    other if other == name => PeerSetError::Twice(name.clone()),
                    other => PeerSetError::SameHash(other.clone(), name.clone()),
                });
            }
        }
        let digest = ids.iter().fold(0, |sum, id| mix(sum, u64::from(*id))) as u32;
        Ok(PeerSet {
            names,
            ids,
            places,
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
    pub fn place(&self, id: PeerId) -> Option<PeerIndex> {
        self.places.get(&id).copied()
    }

    /// Where a gateway's own name stands.
    ///
    /// # Errors
    /// It is not there.
    pub fn own_place(&self, name: &str) -> Result<PeerIndex, PeerSetError> {
        let found = self
            .names
            .binary_search_by(|other| other.as_str().cmp(name));
        found.map_err(|_| PeerSetError::Lacks(name.to_string()))
    }
}

#[cfg(test)]
mod tests;
