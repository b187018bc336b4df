//! The votes that a candidate or leader has received, and the end of the lease that follows from them.

use super::configuration::PeerConfiguration;
use crate::peers::PeerId;
use crate::protocol::Micros;
use std::collections::BTreeMap;

/// The votes of one epoch. Each peer counts once, however many processes have its name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct CollectedVotes {
    valid_until: BTreeMap<PeerId, Micros>,
}

impl CollectedVotes {
    /// Adds a vote. The lease counts from the time of the request, which is before the vote was cast.
    pub fn add(&mut self, voter: PeerId, requested_at: Micros, lease: Micros) {
        let valid_until = self.valid_until.entry(voter).or_default();
        *valid_until = (*valid_until).max(requested_at + lease);
    }

    /// Whether this peer has voted, whatever the age of the vote.
    pub fn contains(&self, name: PeerId) -> bool {
        self.valid_until.contains_key(&name)
    }

    /// The time up to which the votes of a majority of each required peer set are valid; 0 without such a majority.
    pub fn valid_until(&self, peer_sets: &PeerConfiguration) -> Micros {
        peer_sets
            .required()
            .map(|peer_set| self.majority_valid_until(peer_set.names.as_deref()))
            .min()
            .unwrap_or(0)
    }

    /// The same for one peer set. Without known names there is no majority.
    fn majority_valid_until(&self, names: Option<&[PeerId]>) -> Micros {
        let Some(names) = names else { return 0 };
        let mut ends: Vec<Micros> = names
            .iter()
            .filter_map(|name| self.valid_until.get(name))
            .copied()
            .collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(names.len() / 2).copied().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests;
