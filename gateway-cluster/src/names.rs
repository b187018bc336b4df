//! The names of a fleet: who is in it, in which order, and how that is said in few bytes.

use crate::engine::Place;
use crate::hash::{self, mix};
use std::collections::BTreeMap;

/// Most names of a roster: the marks of two views have to fit into a datagram, with room for what differs.
pub const MOST_NAMES: usize = 1000;

/// A name of the roster, as its hash: names whose hashes are equal are refused with the roster.
pub type Id = u32;

/// The id of a name, at every door.
pub fn id_of(name: &str) -> Id {
    hash::of_text(name)
}

/// What is wrong with a roster.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RosterError {
    /// It has so many names.
    #[error("the roster has {0} names, and {most} are the most: take some out of it", most = MOST_NAMES)]
    TooMany(usize),
    /// It has a name more than once.
    #[error("the roster has '{0}' twice: take it out once, or give one of the two another name")]
    Twice(String),
    /// It has two names whose hashes are equal.
    #[error(
        "the roster has '{0}' and '{1}', whose hashes are equal: give one of the two another name"
    )]
    SameHash(String, String),
    /// It lacks the name of the door that is to go by it.
    #[error("the roster lacks '{0}', the name of this front door: add it, or give this front door a name that is there")]
    Lacks(String),
}

/// All names of a fleet. Doors whose rosters have the same names have the same places, ids and digest, in whatever
/// order they were told them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Roster {
    names: Vec<String>,
    ids: Vec<Id>,
    places: BTreeMap<Id, Place>,
    digest: u32,
}

impl Roster {
    /// A roster of these names, in any order.
    ///
    /// # Errors
    /// There are too many of them, or two that cannot be told apart.
    pub fn new(mut names: Vec<String>) -> Result<Roster, RosterError> {
        if names.len() > MOST_NAMES {
            return Err(RosterError::TooMany(names.len()));
        }
        names.sort();
        let ids: Vec<Id> = names.iter().map(|name| id_of(name)).collect();
        let mut places = BTreeMap::new();
        for (place, (name, id)) in names.iter().zip(&ids).enumerate() {
            if let Some(other) = places.insert(*id, place) {
                return Err(match &names[other] {
                    other if other == name => RosterError::Twice(name.clone()),
                    other => RosterError::SameHash(other.clone(), name.clone()),
                });
            }
        }
        let digest = ids.iter().fold(0, |sum, id| mix(sum, u64::from(*id))) as u32;
        Ok(Roster {
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
    pub fn ids(&self) -> &[Id] {
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

    /// Equal where the rosters are. Of two that differ it is equal once in 2^32.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// Where the name with this id stands, if there is one.
    pub fn place(&self, id: Id) -> Option<Place> {
        self.places.get(&id).copied()
    }

    /// Where a door's own name stands.
    ///
    /// # Errors
    /// It is not there.
    pub fn own_place(&self, name: &str) -> Result<Place, RosterError> {
        let found = self
            .names
            .binary_search_by(|other| other.as_str().cmp(name));
        found.map_err(|_| RosterError::Lacks(name.to_string()))
    }
}

#[cfg(test)]
mod tests;
