//! Partitions of the network into two halves, in addition to other faults.

use super::{Simulation, TICK_MS};
use alderhollow_model::identity::DiskId;
use std::collections::BTreeSet;

/// Maximum duration of a partition, in ticks.
const MAX_PARTITION_TICKS: u32 = 60;

/// A network partition.
#[derive(Debug)]
pub(super) struct Partition {
    /// End of the partition.
    until: u64,
    /// The disks of one half. Machines that are added during the partition are in the other half.
    one: BTreeSet<DiskId>,
    /// Whether the core's primary is in the other half and reaches only that half.
    core_reaches_other_half_only: bool,
}

impl Simulation {
    /// Partitions the network into two random halves for some seconds. The core's primary reaches both halves or only one.
    pub(super) fn partition_network(&mut self) {
        let mut disks: Vec<DiskId> = self.machines.iter().map(|machine| machine.disk).collect();
        let mut one = BTreeSet::new();
        for _ in 0..self.machines.len() / 2 {
            let chosen = self.random.rand_range(0..disks.len() as u32) as usize;
            one.insert(disks.swap_remove(chosen));
        }
        let until = self.now + u64::from(self.random.rand_range(5..MAX_PARTITION_TICKS)) * TICK_MS;
        let core_reaches_other_half_only = self.chance(2);
        self.partition = Some(Partition {
            until,
            one,
            core_reaches_other_half_only,
        });
    }

    fn current_partition(&self) -> Option<&Partition> {
        self.partition
            .as_ref()
            .filter(|partition| self.now < partition.until)
    }

    /// Whether a partition separates two machines.
    pub(super) fn are_partitioned(&self, first: usize, second: usize) -> bool {
        let is_in_one =
            |partition: &Partition, at: usize| partition.one.contains(&self.machines[at].disk);
        self.current_partition()
            .is_some_and(|partition| is_in_one(partition, first) != is_in_one(partition, second))
    }

    /// Whether a partition separates a machine from the core's primary.
    pub(super) fn is_partitioned_from_core(&self, at: usize) -> bool {
        let is_separated = |partition: &Partition| {
            partition.core_reaches_other_half_only
                && partition.one.contains(&self.machines[at].disk)
        };
        self.current_partition().is_some_and(is_separated)
    }
}
