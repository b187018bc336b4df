//! What a holder has in hand: the grants it was given, and until when they make an leadership.

use super::configuration::PeerConfiguration;
use crate::peers::PeerId;
use crate::protocol::Micros;
use std::collections::BTreeMap;

/// The grants of one epoch. A name counts once, however many processes have it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct CollectedVotes {
    until: BTreeMap<PeerId, Micros>,
}

impl CollectedVotes {
    /// A gateway has granted what it was asked for then: the lease counts from before the question.
    pub fn granted(&mut self, by: PeerId, asked: Micros, lease: Micros) {
        let until = self.until.entry(by).or_default();
        *until = (*until).max(asked + lease);
    }

    /// Whether this one has granted, however long ago.
    pub fn has(&self, name: PeerId) -> bool {
        self.until.contains_key(&name)
    }

    /// Until when a majority of each peer set has granted; 0 if it has not.
    pub fn until(&self, peer_sets: &PeerConfiguration) -> Micros {
        peer_sets
            .each()
            .map(|bound| self.until_by(bound.names.as_deref()))
            .min()
            .unwrap_or(0)
    }

    /// The end of the majority's last grant. Where names are not known none can be counted.
    fn until_by(&self, names: Option<&[PeerId]>) -> Micros {
        let Some(names) = names else { return 0 };
        let mut ends: Vec<Micros> = names
            .iter()
            .filter_map(|name| self.until.get(name))
            .copied()
            .collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(names.len() / 2).copied().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests;
