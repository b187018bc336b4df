//! Checks for the state after the faults have ended.

use super::{Machine, Simulation, QUIET_MS};
use alderhollow::control_state::groups::GroupState;
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::GroupId;
use std::collections::{BTreeMap, BTreeSet};

impl Simulation {
    /// Checks that all groups are active with complete members, and that no store is still retiring.
    pub(super) fn check_recovered(&self) -> Result<(), String> {
        if self.state.groups().is_empty() {
            return Err("no group".to_string());
        }
        for (id, state) in self.numbered_groups() {
            self.check_group_recovered(id, state)?;
        }
        match self
            .machines
            .iter()
            .find(|machine| self.state.stores().is_retiring(&machine.name))
        {
            Some(machine) => Err(format!(
                "{} is still retiring: {:?}",
                machine.name,
                self.state.groups()
            )),
            None => Ok(()),
        }
    }

    fn check_group_recovered(&self, id: GroupId, state: &GroupState) -> Result<(), String> {
        let group = &state.group;
        if !state.is_active() {
            return Err(format!("group {id} is not active: {group:?}"));
        }
        let expected = self.remaining_machines().count().min(self.tolerate + 2);
        if group.members.len() != expected || !group.learners.is_empty() {
            return Err(format!(
                "group {id}: {expected} members expected: {group:?}"
            ));
        }
        for member in &group.members {
            if !self.holds_everything(id, member.disk) {
                return Err(format!(
                    "group {id}: member {} does not hold all acknowledged records",
                    member.disk
                ));
            }
        }
        Ok(())
    }

    /// Checks that each group has acknowledged further records.
    pub(super) fn check_progress(
        &self,
        before: &BTreeMap<GroupId, BTreeSet<u64>>,
    ) -> Result<(), String> {
        let count =
            |all: &BTreeMap<GroupId, BTreeSet<u64>>, id| all.get(&id).map_or(0, BTreeSet::len);
        let stalled = self
            .numbered_groups()
            .find(|(id, _)| count(&self.acknowledged, *id) <= count(before, *id));
        match stalled {
            Some((id, _)) => Err(format!(
                "group {id} acknowledges no further records although there are no faults"
            )),
            None => Ok(()),
        }
    }

    /// Checks that the policy is stable and the load of the stores is balanced.
    pub(super) fn check_balance(&self) -> Result<(), String> {
        if self.last_request + QUIET_MS > self.now {
            return Err(format!(
                "the policy still requested changes at {}",
                self.last_request
            ));
        }
        self.check_zones()?;
        self.check_memberships()?;
        self.check_leaders()
    }

    fn remaining_machines(&self) -> impl Iterator<Item = &Machine> {
        self.machines
            .iter()
            .filter(|machine| !self.state.stores().is_retiring(&machine.name))
    }

    /// Checks that each group is spread over as many zones as possible.
    fn check_zones(&self) -> Result<(), String> {
        let zones = self
            .remaining_machines()
            .map(|machine| machine.zone)
            .collect::<BTreeSet<_>>()
            .len();
        for (id, state) in self.numbered_groups() {
            let members = &state.group.members;
            let used = members
                .iter()
                .map(|member| &member.node.zone)
                .collect::<BTreeSet<_>>()
                .len();
            if used < zones.min(members.len()) {
                return Err(format!(
                    "group {id} uses {used} of {zones} zones: {members:?}"
                ));
            }
        }
        Ok(())
    }

    /// Checks that the memberships of the stores in one zone differ by at most one. Between zones, the spread over zones takes
    /// precedence.
    fn check_memberships(&self) -> Result<(), String> {
        let mut by_zone: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for machine in self.remaining_machines() {
            by_zone
                .entry(machine.zone)
                .or_default()
                .push(self.memberships(machine.disk));
        }
        let is_uneven = |counts: &Vec<usize>| {
            counts.iter().max() > counts.iter().min().map(|least| least + 1).as_ref()
        };
        match by_zone.iter().find(|(_, counts)| is_uneven(counts)) {
            Some((zone, counts)) => Err(format!("memberships in zone {zone}: {counts:?}")),
            None => Ok(()),
        }
    }

    fn memberships(&self, disk: DiskId) -> usize {
        let belongs =
            |state: &&GroupState| state.group.members.iter().any(|member| member.disk == disk);
        self.state.groups().iter().filter(belongs).count()
    }

    fn leads(&self, disk: DiskId) -> usize {
        self.state
            .groups()
            .iter()
            .filter(|state| state.group.primary == disk)
            .count()
    }

    /// Checks that no store leads two groups more than a store that could take one over, directly or through a chain of
    /// handovers.
    fn check_leaders(&self) -> Result<(), String> {
        for machine in self.remaining_machines() {
            let least = self
                .reachable_by_handovers(machine.disk)
                .into_iter()
                .map(|disk| self.leads(disk))
                .min();
            if self.leads(machine.disk) > least.unwrap_or(0) + 1 {
                return Err(format!(
                    "{} leads {} groups; a reachable store leads only {least:?}",
                    machine.name,
                    self.leads(machine.disk)
                ));
            }
        }
        Ok(())
    }

    fn reachable_by_handovers(&self, from: DiskId) -> BTreeSet<DiskId> {
        let mut reached = BTreeSet::from([from]);
        loop {
            let led = self
                .state
                .groups()
                .iter()
                .filter(|state| reached.contains(&state.group.primary));
            let members =
                led.flat_map(|state| state.group.members.iter().map(|member| member.disk));
            let mut next: BTreeSet<DiskId> = members.collect();
            next.extend(&reached);
            if next.len() == reached.len() {
                return reached;
            }
            reached = next;
        }
    }
}
