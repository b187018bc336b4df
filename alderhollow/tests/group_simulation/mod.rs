//! A seeded simulation of stores under the group policy. The stores' own replication is modelled in the plainest way; the
//! oracle looks at which disks hold what was acknowledged.

use super::control::{command_of, context, store, submit};
use alderhollow::control_state::group_policy::{next_request, GroupView, StoreView};
use alderhollow::control_state::request::Order;
use alderhollow::control_state::store_report::{GroupReport, StoreReport};
use alderhollow::control_state::stores::RetirementState;
use alderhollow::control_state::ControlState;
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::{BatchGroup, GroupId};
use oorandom::Rand32;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const TICK_MS: u64 = 100;
/// Faults happen in this time, then the system may come to rest.
const FAULTS_MS: u64 = 60_000;
/// Within this after the last fault, all must be well again.
const REST_MS: u64 = 25_000;
/// How long a machine counts as lost after its return.
const CATCH_UP_MS: u64 = 5_300;
/// A primary reports a member as silent that it has not reached for so long.
const SILENT_MS: u64 = 800;
/// In one of so many ticks, another store comes to equal the primary: soon where there is little to send; where there is
/// much, a machine that was lost may count as back long before.
const SYNC_ONE_IN: [u32; 2] = [3, 120];
/// In one of so many ticks, a primary writes a record.
const RECORD_ONE_IN: u32 = 5;
const ZONES: [&str; 3] = ["a", "b", "c"];

/// A machine with a store.
#[derive(Debug)]
struct Machine {
    name: String,
    zone: &'static str,
    disk: DiskId,
    /// What is on the disk.
    records: BTreeSet<u64>,
    /// Down until then.
    down_until: u64,
    /// Counts as lost until then.
    lost_until: u64,
    /// Says that it is about to end, until it is down.
    leaving_until: u64,
    /// Cut off from the other stores, but not from the core, until then.
    cut_until: u64,
    /// The disk takes no writes until then.
    disk_fails_until: u64,
    /// The group as far as it knows.
    group: Option<Arc<BatchGroup>>,
    /// As the primary of that group: all members hold what it holds.
    active: bool,
    /// As a learner or a member of that group: made equal to the primary.
    synced: bool,
    /// As the primary of that group: since when it does not reach others.
    unreached_since: BTreeMap<DiskId, u64>,
}

impl Machine {
    fn is_up(&self, now: u64) -> bool {
        now >= self.down_until
    }

    fn epoch(&self) -> u64 {
        self.group.as_ref().map_or(0, |group| group.epoch)
    }

    /// Whether it can take part in the replication.
    fn replicates(&self, now: u64) -> bool {
        self.is_up(now) && now >= self.cut_until && now >= self.disk_fails_until
    }

    fn report(&self, now: u64) -> StoreReport {
        let silent = self.unreached_since.iter().filter(|(_, since)| now >= **since + SILENT_MS);
        let part = GroupReport {
            epoch: self.epoch(),
            active: self.active,
            synced: self.synced,
            silent: silent.map(|(disk, _)| *disk).collect(),
            behind: None,
        };
        StoreReport {
            groups: [(GroupId(0), part)].into(),
            leaving: now < self.leaving_until,
            disk_failing: now < self.disk_fails_until,
        }
    }

    /// Forgets what it was under the group that it knew.
    fn forget_part(&mut self) {
        self.active = false;
        self.synced = false;
        self.unreached_since.clear();
    }
}

struct World {
    random: Rand32,
    now: u64,
    tolerate: usize,
    sync_one_in: u32,
    /// Disks that were lost since the group was last active.
    disks_lost: usize,
    machines: Vec<Machine>,
    next_disk: u64,
    state: ControlState,
    /// Since when the core has had its present primary, and what that one heard: time and report by machine.
    core_since: u64,
    heard: BTreeMap<String, (u64, StoreView)>,
    /// Records that were acknowledged.
    acknowledged: BTreeSet<u64>,
    next_record: u64,
}

/// Plays one seed.
pub fn run(seed: u64, stores: usize, tolerate: usize) -> Result<(), String> {
    let mut world = World::new(seed, stores, tolerate);
    while world.now < FAULTS_MS {
        world.fault();
        world.step()?;
    }
    // What is slow comes to its end.
    world.sync_one_in = SYNC_ONE_IN[0];
    let mut acknowledged_at_rest = 0;
    while world.now < FAULTS_MS + REST_MS {
        world.step()?;
        if world.now == FAULTS_MS + REST_MS - 5_000 {
            acknowledged_at_rest = world.acknowledged.len();
        }
    }
    world.check_rest()?;
    if world.acknowledged.len() <= acknowledged_at_rest {
        return Err("nothing more is acknowledged, though all is calm".to_string());
    }
    Ok(())
}

impl World {
    fn new(seed: u64, stores: usize, tolerate: usize) -> World {
        let mut world = World {
            random: Rand32::new(seed),
            now: 0,
            tolerate,
            sync_one_in: SYNC_ONE_IN[(seed % 2) as usize],
            disks_lost: 0,
            machines: Vec::new(),
            next_disk: 1,
            state: ControlState::default(),
            core_since: 0,
            heard: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            next_record: 0,
        };
        for index in 0..stores {
            let late = u64::from(world.random.rand_range(0..20)) * TICK_MS;
            world.add_machine(ZONES[index % ZONES.len()], late);
        }
        world
    }

    fn add_machine(&mut self, zone: &'static str, up_from: u64) {
        let disk = self.new_disk();
        self.machines.push(Machine {
            name: format!("s{}", disk.0),
            zone,
            disk,
            records: BTreeSet::new(),
            down_until: up_from,
            lost_until: up_from + CATCH_UP_MS,
            leaving_until: 0,
            cut_until: 0,
            disk_fails_until: 0,
            group: None,
            active: false,
            synced: false,
            unreached_since: BTreeMap::new(),
        });
    }

    fn new_disk(&mut self) -> DiskId {
        // Not in rising order, so that nothing rests on it.
        let disk = DiskId(self.next_disk * 7919 % 10_007);
        self.next_disk += 1;
        disk
    }

    fn chance(&mut self, one_in: u32) -> bool {
        self.random.rand_range(0..one_in) == 0
    }

    fn lost_machines(&self) -> usize {
        self.machines.iter().filter(|machine| self.now < machine.lost_until).count()
    }

    fn fault(&mut self) {
        if self.now < 8_000 {
            return;
        }
        if self.chance(150) {
            self.core_since = self.now;
            self.heard.clear();
        }
        if self.chance(400) {
            self.kill_all();
        }
        if self.chance(25) && self.lost_machines() < self.tolerate {
            self.lose_one();
        }
        if self.chance(200) {
            self.retire_one();
        }
        if self.chance(250) && self.machines.len() < 10 {
            let zone = ZONES[self.random.rand_range(0..3) as usize];
            self.add_machine(zone, self.now);
        }
    }

    fn kill_all(&mut self) {
        for at in 0..self.machines.len() {
            let down_for = u64::from(self.random.rand_range(3..11)) * TICK_MS;
            self.take_down(at, down_for);
        }
    }

    /// Harms one machine: kills or stops it, takes its disk, takes it away for good and brings another in its place, cuts it
    /// off, or lets its disk fail. With a lost disk, all others may lose power in the same moment.
    fn lose_one(&mut self) {
        let any = self.random.rand_range(0..self.machines.len() as u32) as usize;
        let primary = self.group().and_then(|group| self.index_of(group.primary));
        let at = primary.filter(|_| self.chance(3)).unwrap_or(any);
        let down_for = u64::from(self.random.rand_range(3..60)) * TICK_MS;
        let kind = self.random.rand_range(0..6);
        let disk = self.new_disk();
        let now = self.now;
        if kind >= 4 {
            let machine = &mut self.machines[at];
            let until = if kind == 4 { &mut machine.cut_until } else { &mut machine.disk_fails_until };
            *until = now + down_for;
            machine.lost_until = now + down_for + CATCH_UP_MS;
            return;
        }
        if kind >= 2 {
            if !self.may_lose_disk() {
                return;
            }
            self.disks_lost += 1;
            if self.chance(2) {
                self.kill_all();
            }
        }
        self.take_down(at, down_for);
        let machine = &mut self.machines[at];
        match kind {
            0 => {}
            1 => {
                machine.down_until = now + 300;
                machine.leaving_until = now + 300;
            }
            2 => {
                machine.records.clear();
                machine.disk = disk;
            }
            _ => {
                machine.records.clear();
                machine.disk = disk;
                machine.name = format!("s{}", disk.0);
            }
        }
    }

    /// Where other stores come to equal the primary only long after the time for which a machine counts as lost, no policy
    /// could bear one lost disk after the other.
    fn may_lose_disk(&self) -> bool {
        self.sync_one_in == SYNC_ONE_IN[0] || self.disks_lost < self.tolerate
    }

    fn take_down(&mut self, at: usize, down_for: u64) {
        let machine = &mut self.machines[at];
        machine.down_until = self.now + down_for;
        machine.lost_until = machine.down_until + CATCH_UP_MS;
        machine.group = None;
        machine.forget_part();
    }

    fn retire_one(&mut self) {
        let at = self.random.rand_range(0..self.machines.len() as u32) as usize;
        let node = self.machines[at].name.clone();
        let context = alderhollow::control_state::request::OrderContext {
            tolerate_machines: self.tolerate as u64,
            gone_stores: self.names_not_there(),
            ..context()
        };
        submit(&mut self.state, &Order::Retire { node }, &context);
    }

    fn names_not_there(&self) -> BTreeSet<String> {
        let there: BTreeSet<&str> = self.machines.iter().map(|machine| machine.name.as_str()).collect();
        let known = self.state.stores().iter().map(|store| store.node.clone());
        known.filter(|name| !there.contains(name.as_str())).collect()
    }

    fn step(&mut self) -> Result<(), String> {
        self.now += TICK_MS;
        self.poll();
        self.decide()?;
        self.replicate();
        self.take_away_retired();
        self.check()
    }

    /// Some machines ask the core; they tell their state and learn the group.
    fn poll(&mut self) {
        let now = self.now;
        for at in 0..self.machines.len() {
            let asks = self.random.rand_range(0..3) > 0;
            let machine = &mut self.machines[at];
            let says_goodbye = now < machine.leaving_until;
            if !says_goodbye && (!machine.is_up(now) || !asks) {
                continue;
            }
            let report = machine.report(now);
            let node = store(&machine.name, machine.zone, machine.disk.0);
            let seen = StoreView { node, silent_for_ms: 0, report };
            self.heard.insert(machine.name.clone(), (now, seen));
            if says_goodbye {
                continue;
            }
            let newest = self.state.group(GroupId(0)).map(|state| &state.group);
            if newest.is_some_and(|group| group.epoch > machine.epoch()) {
                machine.group = newest.cloned();
                machine.forget_part();
            }
        }
    }

    fn decide(&mut self) -> Result<(), String> {
        let stores = self.heard.values().map(|(at, seen)| {
            let mut seen = seen.clone();
            seen.silent_for_ms = self.now - at;
            seen
        });
        let view = GroupView {
            primary_for_ms: self.now - self.core_since,
            tolerate_machines: self.tolerate,
            stores: stores.collect(),
        };
        let Some(request) = next_request(&self.state, &view) else {
            return Ok(());
        };
        let Some(command) = command_of(&self.state, &request) else {
            return Err(format!("the policy asks for what is not taken: {request:?}"));
        };
        let was_active = self.state.groups_are_active();
        self.state.apply_command(command);
        if self.state.groups_are_active() && !was_active {
            self.disks_lost = 0;
        }
        Ok(())
    }

    fn group(&self) -> Option<&Arc<BatchGroup>> {
        self.state.group(GroupId(0)).map(|state| &state.group)
    }

    fn complete_members(&self) -> impl Iterator<Item = &DiskId> {
        self.state.group(GroupId(0)).into_iter().flat_map(|state| &state.complete)
    }

    fn index_of(&self, disk: DiskId) -> Option<usize> {
        self.machines.iter().position(|machine| machine.disk == disk)
    }

    /// Whether a machine takes part under an epoch now.
    fn follows(&self, disk: DiskId, epoch: u64) -> Option<usize> {
        let at = self.index_of(disk)?;
        let machine = &self.machines[at];
        (machine.replicates(self.now) && machine.epoch() == epoch).then_some(at)
    }

    /// Each machine that believes to be a primary brings up the others and acknowledges.
    fn replicate(&mut self) {
        for at in 0..self.machines.len() {
            let machine = &self.machines[at];
            let Some(group) = machine.group.clone() else {
                continue;
            };
            if group.primary == machine.disk && machine.is_up(self.now) {
                self.lead(at, &group);
            }
        }
    }

    fn lead(&mut self, at: usize, group: &BatchGroup) {
        let members: Vec<_> =
            group.members.iter().map(|member| self.reaches(at, member.disk, group.epoch)).collect();
        let learners =
            group.learners.iter().filter_map(|learner| self.reaches(at, learner.disk, group.epoch));
        let learners: Vec<_> = learners.collect();
        self.note_unreached(at, group, &members);
        let held = self.machines[at].records.clone();
        for other in members.iter().flatten().chain(&learners) {
            if *other != at && !self.machines[*other].synced && self.chance(self.sync_one_in) {
                self.machines[*other].records = held.clone();
                self.machines[*other].synced = true;
            }
        }
        if self.machines[at].active && self.chance(RECORD_ONE_IN) {
            self.write(&members, &learners);
        }
        let equals = |member: &Option<usize>| {
            member.is_some_and(|member| member == at || self.machines[member].synced)
        };
        self.machines[at].active |= members.iter().all(equals);
    }

    /// Which machine a primary reaches at a disk, if it does.
    fn reaches(&self, primary: usize, disk: DiskId, epoch: u64) -> Option<usize> {
        let other = self.follows(disk, epoch)?;
        (other == primary || self.machines[primary].replicates(self.now)).then_some(other)
    }

    fn note_unreached(&mut self, primary: usize, group: &BatchGroup, members: &[Option<usize>]) {
        let now = self.now;
        let unreached_since = &mut self.machines[primary].unreached_since;
        for (member, reached) in group.members.iter().zip(members) {
            if reached.is_some() || member.disk == group.primary {
                unreached_since.remove(&member.disk);
            } else {
                unreached_since.entry(member.disk).or_insert(now);
            }
        }
    }

    /// Writes a record on the members that are reached; it is acknowledged if all are.
    fn write(&mut self, members: &[Option<usize>], learners: &[usize]) {
        let record = self.next_record;
        self.next_record += 1;
        for other in members.iter().flatten().chain(learners) {
            self.machines[*other].records.insert(record);
        }
        if members.iter().all(Option::is_some) {
            self.acknowledged.insert(record);
        }
    }

    /// A machine whose retirement is completed goes away at once, with its disk, and is not counted as lost.
    fn take_away_retired(&mut self) {
        let state = &self.state;
        self.machines.retain(|machine| state.retirement(&machine.name) != Some(RetirementState::Completed));
    }

    fn holds_everything(&self, disk: DiskId) -> bool {
        self.index_of(disk).is_some_and(|at| self.machines[at].records.is_superset(&self.acknowledged))
    }

    fn check(&self) -> Result<(), String> {
        let Some(group) = self.group() else {
            return Ok(());
        };
        let at = self.now;
        if group.members.len() <= self.tolerate {
            return Err(format!("at {at}: too few members: {group:?}"));
        }
        for disk in self.complete_members() {
            if self.index_of(*disk).is_some() && !self.holds_everything(*disk) {
                return Err(format!("at {at}: {disk} counts as complete and is not: {group:?}"));
            }
        }
        if !self.machines.iter().any(|machine| self.holds_everything(machine.disk)) {
            return Err(format!("at {at}: nobody holds what was acknowledged: {group:?}"));
        }
        Ok(())
    }

    fn check_rest(&self) -> Result<(), String> {
        let group = self.group().ok_or("no group")?;
        if !self.state.groups_are_active() {
            return Err(format!("the group is not active: {group:?}"));
        }
        let lasting =
            self.machines.iter().filter(|machine| !self.state.stores().is_retiring(&machine.name)).count();
        let expected = lasting.min(self.tolerate + 2);
        if group.members.len() < expected || !group.learners.is_empty() {
            return Err(format!("{expected} members expected: {group:?}"));
        }
        for member in &group.members {
            if !self.holds_everything(member.disk) {
                return Err(format!("member {} does not hold everything", member.disk));
            }
        }
        match self.machines.iter().find(|machine| self.state.stores().is_retiring(&machine.name)) {
            Some(machine) => Err(format!("{} is not emptied: {group:?}", machine.name)),
            None => Ok(()),
        }
    }
}
