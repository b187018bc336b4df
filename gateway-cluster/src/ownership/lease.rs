//! What a holder has in hand: the grants it was given, and until when they make an office.

use super::rosters::Rosters;
use crate::engine::Micros;
use crate::names::Id;
use std::collections::BTreeMap;

/// The grants of one term. A name counts once, however many processes have it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Lease {
    until: BTreeMap<Id, Micros>,
}

impl Lease {
    /// A door has granted what it was asked for then: the lease counts from before the question.
    pub fn granted(&mut self, by: Id, asked: Micros, lease: Micros) {
        let until = self.until.entry(by).or_default();
        *until = (*until).max(asked + lease);
    }

    /// Whether this one has granted, however long ago.
    pub fn has(&self, name: Id) -> bool {
        self.until.contains_key(&name)
    }

    /// Until when a majority of each roster has granted; 0 if it has not.
    pub fn until(&self, rosters: &Rosters) -> Micros {
        rosters
            .each()
            .map(|bound| self.until_by(bound.names.as_deref()))
            .min()
            .unwrap_or(0)
    }

    /// The end of the majority's last grant. Where names are not known none can be counted.
    fn until_by(&self, names: Option<&[Id]>) -> Micros {
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
