//! What must hold once all is calm.

use super::{Machine, World, QUIET_MS};
use alderhollow::control_state::groups::GroupState;
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::GroupId;
use std::collections::{BTreeMap, BTreeSet};

impl World {
    /// All groups are whole and active, and what is to be emptied is empty.
    pub(super) fn check_rest(&self) -> Result<(), String> {
        if self.state.groups().is_empty() {
            return Err("no group".to_string());
        }
        for (id, state) in self.numbered_groups() {
            self.check_group_at_rest(id, state)?;
        }
        match self
            .machines
            .iter()
            .find(|machine| self.state.stores().is_retiring(&machine.name))
        {
            Some(machine) => Err(format!(
                "{} is not emptied: {:?}",
                machine.name,
                self.state.groups()
            )),
            None => Ok(()),
        }
    }

    fn check_group_at_rest(&self, id: GroupId, state: &GroupState) -> Result<(), String> {
        let group = &state.group;
        if !state.is_active() {
            return Err(format!("group {id} is not active: {group:?}"));
        }
        let expected = self.staying().count().min(self.tolerate + 2);
        if group.members.len() != expected || !group.learners.is_empty() {
            return Err(format!(
                "group {id}: {expected} members expected: {group:?}"
            ));
        }
        for member in &group.members {
            if !self.holds_everything(id, member.disk) {
                return Err(format!(
                    "group {id}: member {} does not hold everything",
                    member.disk
                ));
            }
        }
        Ok(())
    }

    /// Each group acknowledged more than it had.
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
                "group {id} acknowledges nothing more, though all is calm"
            )),
            None => Ok(()),
        }
    }

    /// The policy came to rest, and what the stores carry is even.
    pub(super) fn check_balance(&self) -> Result<(), String> {
        if self.last_request + QUIET_MS > self.now {
            return Err(format!(
                "the policy still asks for changes at {}",
                self.last_request
            ));
        }
        self.check_zones()?;
        self.check_memberships()?;
        self.check_leaders()
    }

    fn staying(&self) -> impl Iterator<Item = &Machine> {
        self.machines
            .iter()
            .filter(|machine| !self.state.stores().is_retiring(&machine.name))
    }

    /// Each group lies in as many zones as it can.
    fn check_zones(&self) -> Result<(), String> {
        let zones = self
            .staying()
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
                    "group {id} lies in {used} of {zones} zones: {members:?}"
                ));
            }
        }
        Ok(())
    }

    /// Stores of one zone carry the same but for one group. Between zones the groups' spread decides.
    fn check_memberships(&self) -> Result<(), String> {
        let mut by_zone: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for machine in self.staying() {
            by_zone
                .entry(machine.zone)
                .or_default()
                .push(self.memberships(machine.disk));
        }
        let difference = |counts: &Vec<usize>| {
            counts.iter().max() > counts.iter().min().map(|least| least + 1).as_ref()
        };
        match by_zone.iter().find(|(_, counts)| difference(counts)) {
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

    /// No store leads two groups more than one that could take one over, be it by way of others.
    fn check_leaders(&self) -> Result<(), String> {
        for machine in self.staying() {
            let least = self
                .reachable_by_hand_overs(machine.disk)
                .into_iter()
                .map(|disk| self.leads(disk))
                .min();
            if self.leads(machine.disk) > least.unwrap_or(0) + 1 {
                return Err(format!(
                    "{} leads {}, another one could: {least:?}",
                    machine.name,
                    self.leads(machine.disk)
                ));
            }
        }
        Ok(())
    }

    fn reachable_by_hand_overs(&self, from: DiskId) -> BTreeSet<DiskId> {
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
