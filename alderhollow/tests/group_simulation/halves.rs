//! Cuts of the network into two halves, whatever may be lost besides.

use super::{World, TICK_MS};
use alderhollow_model::identity::DiskId;
use std::collections::BTreeSet;

/// Longest cut, in ticks.
const LONGEST_CUT_TICKS: u32 = 60;

/// A cut.
#[derive(Debug)]
pub(super) struct Halves {
    /// When it ends.
    until: u64,
    /// The disks of one half; machines that come meanwhile are in the other.
    one: BTreeSet<DiskId>,
    /// The core's primary lies in the other half, and hears that one alone.
    core_hears_other_alone: bool,
}

impl World {
    /// Cuts the network into two halves by chance for some seconds; the core's primary hears both, or one alone.
    pub(super) fn cut_into_halves(&mut self) {
        let mut disks: Vec<DiskId> = self.machines.iter().map(|machine| machine.disk).collect();
        let mut one = BTreeSet::new();
        for _ in 0..self.machines.len() / 2 {
            let chosen = self.random.rand_range(0..disks.len() as u32) as usize;
            one.insert(disks.swap_remove(chosen));
        }
        let until = self.now + u64::from(self.random.rand_range(5..LONGEST_CUT_TICKS)) * TICK_MS;
        let core_hears_other_alone = self.chance(2);
        self.halves = Some(Halves {
            until,
            one,
            core_hears_other_alone,
        });
    }

    fn current_halves(&self) -> Option<&Halves> {
        self.halves
            .as_ref()
            .filter(|halves| self.now < halves.until)
    }

    /// Whether a cut lies between two machines.
    pub(super) fn are_apart(&self, first: usize, second: usize) -> bool {
        let is_in_one = |halves: &Halves, at: usize| halves.one.contains(&self.machines[at].disk);
        self.current_halves()
            .is_some_and(|halves| is_in_one(halves, first) != is_in_one(halves, second))
    }

    /// Whether a cut lies between a machine and the core's primary.
    pub(super) fn is_cut_from_core(&self, at: usize) -> bool {
        let is_cut = |halves: &Halves| {
            halves.core_hears_other_alone && halves.one.contains(&self.machines[at].disk)
        };
        self.current_halves().is_some_and(is_cut)
    }
}
