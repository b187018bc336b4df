//! A seeded simulation of stores under the group policy. The stores' own replication is modelled in the plainest way; the
//! oracle looks at which disks hold what was acknowledged.

mod halves;
mod rest;

use super::control::{command_of, context, store, submit};
use alderhollow::control_state::group_policy::rebalancing::StabilityTimer;
use alderhollow::control_state::group_policy::{
    is_stable, next_request, GroupView, StoreView, GONE_AFTER_MS,
};
use alderhollow::control_state::groups::GroupState;
use alderhollow::control_state::request::Order;
use alderhollow::control_state::store_report::{GroupReport, StoreReport};
use alderhollow::control_state::stores::RetirementState;
use alderhollow::control_state::ControlState;
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::{BatchGroup, GroupId};
use halves::Halves;
use oorandom::Rand32;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const TICK_MS: u64 = 100;
/// Faults happen in this time, then the system may come to rest.
const FAULTS_MS: u64 = 60_000;
/// Within this after the last fault, all must be well again.
const REST_MS: u64 = 25_000;
/// From then on, uneven groups may be moved, and come to rest within this time.
const REBALANCING_MS: u64 = 180_000;
/// For so long at the end, the policy must ask for nothing.
const QUIET_MS: u64 = 20_000;
/// Longest time between two polls of a machine once all is calm.
const LONGEST_PAUSE_MS: u64 = 600;
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
    /// What is on the disk, by group.
    records: BTreeMap<GroupId, BTreeSet<u64>>,
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
    /// Its part in each group that it knows.
    parts: BTreeMap<GroupId, Part>,
}

/// A machine's part in one group.
#[derive(Debug)]
struct Part {
    /// The group as far as the machine knows.
    group: Arc<BatchGroup>,
    /// As the primary of that group: all members hold what it holds.
    active: bool,
    /// As a learner or a member of that group: made equal to the primary.
    synced: bool,
    /// As the primary of that group: since when it does not reach others.
    unreached_since: BTreeMap<DiskId, u64>,
}

impl Part {
    fn begin(group: Arc<BatchGroup>) -> Part {
        Part {
            group,
            active: false,
            synced: false,
            unreached_since: BTreeMap::new(),
        }
    }

    fn report(&self, now: u64) -> GroupReport {
        let silent = self
            .unreached_since
            .iter()
            .filter(|(_, since)| now >= **since + SILENT_MS);
        GroupReport {
            epoch: self.group.epoch,
            active: self.active,
            synced: self.synced,
            silent: silent.map(|(disk, _)| *disk).collect(),
            behind: None,
        }
    }
}

impl Machine {
    fn is_up(&self, now: u64) -> bool {
        now >= self.down_until
    }

    fn epoch(&self, id: GroupId) -> u64 {
        self.parts.get(&id).map_or(0, |part| part.group.epoch)
    }

    fn is_synced(&self, id: GroupId) -> bool {
        self.parts.get(&id).is_some_and(|part| part.synced)
    }

    /// What the disk holds of a group.
    fn held(&mut self, id: GroupId) -> &mut BTreeSet<u64> {
        self.records.entry(id).or_default()
    }

    /// Whether it can take part in the replication.
    fn replicates(&self, now: u64) -> bool {
        self.is_up(now) && now >= self.cut_until && now >= self.disk_fails_until
    }

    fn report(&self, now: u64) -> StoreReport {
        StoreReport {
            groups: self
                .parts
                .iter()
                .map(|(id, part)| (*id, part.report(now)))
                .collect(),
            leaving: now < self.leaving_until,
            disk_failing: now < self.disk_fails_until,
        }
    }
}

struct World {
    random: Rand32,
    now: u64,
    tolerate: usize,
    /// The network may be cut into two halves.
    may_be_cut: bool,
    halves: Option<Halves>,
    sync_one_in: u32,
    most_machines: usize,
    /// Disks that a group used and that were lost since it was last active.
    disks_lost: BTreeMap<GroupId, usize>,
    machines: Vec<Machine>,
    next_disk: u64,
    state: ControlState,
    /// Since when the core has had its present primary, and what that one heard: time and report by machine.
    core_since: u64,
    heard: BTreeMap<String, (u64, StoreView)>,
    /// Records that were acknowledged, by group.
    acknowledged: BTreeMap<GroupId, BTreeSet<u64>>,
    next_record: u64,
    stability: StabilityTimer,
    /// Whether the policy may move what is uneven.
    may_rebalance: bool,
    /// When the policy last asked for anything.
    last_request: u64,
}

/// Plays one seed.
pub(crate) fn run(seed: u64, stores: usize, tolerate: usize) -> Result<(), String> {
    play(World::new(seed, stores, tolerate))
}

/// Plays one seed in which the network is cut into two halves now and then, whatever else is lost.
pub(crate) fn run_with_halves(seed: u64, stores: usize, tolerate: usize) -> Result<(), String> {
    let mut world = World::new(seed, stores, tolerate);
    world.may_be_cut = true;
    play(world)
}

fn play(mut world: World) -> Result<(), String> {
    while world.now < FAULTS_MS {
        world.fault();
        world.step()?;
    }
    // What is slow comes to its end.
    world.sync_one_in = SYNC_ONE_IN[0];
    // First all must be well again without any rebalancing, then it may begin.
    world.may_rebalance = false;
    world.run_until(FAULTS_MS + REST_MS - 5_000)?;
    let acknowledged = world.acknowledged.clone();
    world.run_until(FAULTS_MS + REST_MS)?;
    world.check_rest()?;
    world.check_progress(&acknowledged)?;
    world.may_rebalance = true;
    world.run_to_rest(FAULTS_MS + REST_MS)?;
    world.check_rest()?;
    world.check_balance()
}

impl World {
    fn new(seed: u64, stores: usize, tolerate: usize) -> World {
        let mut world = World {
            random: Rand32::new(seed),
            now: 0,
            tolerate,
            may_be_cut: false,
            halves: None,
            most_machines: stores.max(10),
            sync_one_in: SYNC_ONE_IN[(seed % 2) as usize],
            disks_lost: BTreeMap::new(),
            machines: Vec::new(),
            next_disk: 1,
            state: ControlState::default(),
            core_since: 0,
            heard: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            next_record: 0,
            stability: StabilityTimer::default(),
            may_rebalance: true,
            last_request: 0,
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
            records: BTreeMap::new(),
            down_until: up_from,
            lost_until: up_from + CATCH_UP_MS,
            leaving_until: 0,
            cut_until: 0,
            disk_fails_until: 0,
            parts: BTreeMap::new(),
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
        self.machines
            .iter()
            .filter(|machine| self.now < machine.lost_until)
            .count()
    }

    fn fault(&mut self) {
        if self.now < 8_000 {
            return;
        }
        if self.chance(150) {
            self.core_since = self.now;
            self.heard.clear();
        }
        if self.may_be_cut && self.chance(100) {
            self.cut_into_halves();
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
        if self.chance(250) && self.machines.len() < self.most_machines {
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
        let primary = self
            .any_group()
            .and_then(|group| self.index_of(group.primary));
        let at = primary.filter(|_| self.chance(3)).unwrap_or(any);
        let down_for = u64::from(self.random.rand_range(3..60)) * TICK_MS;
        let kind = self.random.rand_range(0..6);
        let disk = self.new_disk();
        let now = self.now;
        if kind >= 4 {
            let machine = &mut self.machines[at];
            let until = if kind == 4 {
                &mut machine.cut_until
            } else {
                &mut machine.disk_fails_until
            };
            *until = now + down_for;
            machine.lost_until = now + down_for + CATCH_UP_MS;
            return;
        }
        if kind >= 2 {
            if !self.may_lose_disk() {
                return;
            }
            self.note_lost_disk(self.machines[at].disk);
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

    /// Where other stores come to equal the primary only long after the time for which a machine counts as lost, be it that
    /// a cut keeps them apart, no policy could bear one lost disk after the other.
    fn may_lose_disk(&self) -> bool {
        let all_may = self.disks_lost.values().all(|lost| *lost < self.tolerate);
        all_may || (self.sync_one_in == SYNC_ONE_IN[0] && !self.may_be_cut)
    }

    fn note_lost_disk(&mut self, disk: DiskId) {
        for (index, group) in self.state.groups().iter().enumerate() {
            if group.uses(disk) {
                *self.disks_lost.entry(GroupId::at(index)).or_default() += 1;
            }
        }
    }

    fn take_down(&mut self, at: usize, down_for: u64) {
        let machine = &mut self.machines[at];
        machine.down_until = self.now + down_for;
        machine.lost_until = machine.down_until + CATCH_UP_MS;
        machine.parts.clear();
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
        let there: BTreeSet<&str> = self
            .machines
            .iter()
            .map(|machine| machine.name.as_str())
            .collect();
        let known = self.state.stores().iter().map(|store| store.node.clone());
        known
            .filter(|name| !there.contains(name.as_str()))
            .collect()
    }

    fn run_until(&mut self, until: u64) -> Result<(), String> {
        while self.now < until {
            self.step()?;
        }
        Ok(())
    }

    /// Goes on until the policy has been quiet for long, at least until no store may come back any more.
    fn run_to_rest(&mut self, from: u64) -> Result<(), String> {
        let earliest = from + GONE_AFTER_MS + QUIET_MS;
        let latest = from + REBALANCING_MS;
        while self.now < latest && self.now < earliest.max(self.last_request + QUIET_MS) {
            self.step()?;
        }
        Ok(())
    }

    fn step(&mut self) -> Result<(), String> {
        self.now += TICK_MS;
        self.poll();
        self.decide()?;
        self.replicate();
        self.take_away_retired();
        self.check()
    }

    /// Once the faults are over, no machine is silent for long by mere chance.
    fn must_poll(&self, at: usize) -> bool {
        let heard_at = self
            .heard
            .get(&self.machines[at].name)
            .map_or(0, |(at, _)| *at);
        self.now >= FAULTS_MS && self.now >= heard_at + LONGEST_PAUSE_MS
    }

    /// Some machines ask the core; they tell their state and learn the groups.
    fn poll(&mut self) {
        let now = self.now;
        for at in 0..self.machines.len() {
            let asks = self.random.rand_range(0..3) > 0 || self.must_poll(at);
            if self.is_cut_from_core(at) {
                continue;
            }
            let machine = &mut self.machines[at];
            let says_goodbye = now < machine.leaving_until;
            if !says_goodbye && (!machine.is_up(now) || !asks) {
                continue;
            }
            let report = machine.report(now);
            let node = store(&machine.name, machine.zone, machine.disk.0);
            let seen = StoreView {
                node,
                since_last_poll_ms: 0,
                report,
            };
            self.heard.insert(machine.name.clone(), (now, seen));
            if says_goodbye {
                continue;
            }
            for (index, newest) in self.state.groups().iter().enumerate() {
                let id = GroupId::at(index);
                if newest.group.epoch > machine.epoch(id) {
                    machine.parts.insert(id, Part::begin(newest.group.clone()));
                }
            }
        }
    }

    fn decide(&mut self) -> Result<(), String> {
        let stores = self.heard.values().map(|(at, seen)| {
            let mut seen = seen.clone();
            seen.since_last_poll_ms = self.now - at;
            seen
        });
        let mut view = GroupView {
            primary_for_ms: self.now - self.core_since,
            tolerate_machines: self.tolerate,
            stable_for_ms: 0,
            stores: stores.collect(),
        };
        let is_stable = is_stable(&self.state, &view);
        let stable_for_ms = self.stability.record(is_stable, self.now);
        if self.may_rebalance {
            view.stable_for_ms = stable_for_ms.min(view.primary_for_ms);
        }
        let Some(request) = next_request(&self.state, &view) else {
            return Ok(());
        };
        let Some(command) = command_of(&self.state, &request) else {
            return Err(format!(
                "the policy asks for what is not taken: {request:?}"
            ));
        };
        self.last_request = self.now;
        let were_active: Vec<bool> = self
            .state
            .groups()
            .iter()
            .map(GroupState::is_active)
            .collect();
        self.state.apply_command(command);
        for (index, group) in self.state.groups().iter().enumerate() {
            if group.is_active() && were_active.get(index) == Some(&false) {
                self.disks_lost.remove(&GroupId::at(index));
            }
        }
        Ok(())
    }

    fn any_group(&mut self) -> Option<Arc<BatchGroup>> {
        let count = self.state.groups().len() as u32;
        let index = if count > 1 {
            self.random.rand_range(0..count) as usize
        } else {
            0
        };
        self.state
            .groups()
            .get(index)
            .map(|state| state.group.clone())
    }

    fn index_of(&self, disk: DiskId) -> Option<usize> {
        self.machines
            .iter()
            .position(|machine| machine.disk == disk)
    }

    /// Whether a machine takes part under a group's epoch now.
    fn follows(&self, id: GroupId, disk: DiskId, epoch: u64) -> Option<usize> {
        let at = self.index_of(disk)?;
        let machine = &self.machines[at];
        (machine.replicates(self.now) && machine.epoch(id) == epoch).then_some(at)
    }

    /// Each machine that believes to be a primary brings up the others and acknowledges.
    fn replicate(&mut self) {
        for at in 0..self.machines.len() {
            let machine = &self.machines[at];
            if !machine.is_up(self.now) {
                continue;
            }
            let is_led = |part: &&Part| part.group.primary == machine.disk;
            let led = machine.parts.iter().filter(|(_, part)| is_led(part));
            let led: Vec<_> = led.map(|(id, part)| (*id, part.group.clone())).collect();
            for (id, group) in led {
                self.lead(at, id, &group);
            }
        }
    }

    fn lead(&mut self, at: usize, id: GroupId, group: &BatchGroup) {
        let members: Vec<_> = group
            .members
            .iter()
            .map(|member| self.reaches(at, id, member.disk, group.epoch))
            .collect();
        let learners = group
            .learners
            .iter()
            .filter_map(|learner| self.reaches(at, id, learner.disk, group.epoch));
        let learners: Vec<_> = learners.collect();
        self.note_unreached(at, id, group, &members);
        for other in members.iter().flatten().chain(&learners) {
            if *other != at && !self.machines[*other].is_synced(id) && self.chance(self.sync_one_in)
            {
                let held = self.machines[at].held(id).clone();
                *self.machines[*other].held(id) = held;
                self.part(*other, id).synced = true;
            }
        }
        if self.part(at, id).active && self.chance(RECORD_ONE_IN) {
            self.write(id, &members, &learners);
        }
        let equals = |member: &Option<usize>| {
            member.is_some_and(|member| member == at || self.machines[member].is_synced(id))
        };
        let all_equal = members.iter().all(equals);
        self.part(at, id).active |= all_equal;
    }

    fn part(&mut self, at: usize, id: GroupId) -> &mut Part {
        self.machines[at]
            .parts
            .get_mut(&id)
            .expect("a machine that takes part knows the group")
    }

    /// Which machine a primary reaches at a disk, if it does.
    fn reaches(&self, primary: usize, id: GroupId, disk: DiskId, epoch: u64) -> Option<usize> {
        let other = self.follows(id, disk, epoch)?;
        let is_reached =
            self.machines[primary].replicates(self.now) && !self.are_apart(primary, other);
        (other == primary || is_reached).then_some(other)
    }

    fn note_unreached(
        &mut self,
        primary: usize,
        id: GroupId,
        group: &BatchGroup,
        members: &[Option<usize>],
    ) {
        let now = self.now;
        let unreached_since = &mut self.part(primary, id).unreached_since;
        for (member, reached) in group.members.iter().zip(members) {
            if reached.is_some() || member.disk == group.primary {
                unreached_since.remove(&member.disk);
            } else {
                unreached_since.entry(member.disk).or_insert(now);
            }
        }
    }

    /// Writes a record on the members that are reached; it is acknowledged if all are.
    fn write(&mut self, id: GroupId, members: &[Option<usize>], learners: &[usize]) {
        let record = self.next_record;
        self.next_record += 1;
        for other in members.iter().flatten().chain(learners) {
            self.machines[*other].held(id).insert(record);
        }
        if members.iter().all(Option::is_some) {
            self.acknowledged.entry(id).or_default().insert(record);
        }
    }

    /// A machine whose retirement is completed goes away at once, with its disk, and is not counted as lost.
    fn take_away_retired(&mut self) {
        let state = &self.state;
        self.machines
            .retain(|machine| state.retirement(&machine.name) != Some(RetirementState::Completed));
    }

    /// Whether a disk holds all that a group acknowledged.
    fn holds_everything(&self, id: GroupId, disk: DiskId) -> bool {
        let Some(acknowledged) = self.acknowledged.get(&id) else {
            return self.index_of(disk).is_some();
        };
        let held = self
            .index_of(disk)
            .and_then(|at| self.machines[at].records.get(&id));
        held.is_some_and(|held| held.is_superset(acknowledged))
    }

    fn numbered_groups(&self) -> impl Iterator<Item = (GroupId, &GroupState)> {
        self.state
            .groups()
            .iter()
            .enumerate()
            .map(|(index, state)| (GroupId::at(index), state))
    }

    fn check(&self) -> Result<(), String> {
        self.numbered_groups()
            .try_for_each(|(id, state)| self.check_group(id, state))
    }

    fn check_group(&self, id: GroupId, state: &GroupState) -> Result<(), String> {
        let at = self.now;
        let group = &state.group;
        if group.members.len() <= self.tolerate {
            return Err(format!("at {at}: group {id}: too few members: {group:?}"));
        }
        for disk in &state.complete {
            if self.index_of(*disk).is_some() && !self.holds_everything(id, *disk) {
                return Err(format!(
                    "at {at}: group {id}: {disk} counts as complete and is not: {group:?}"
                ));
            }
        }
        if !self
            .machines
            .iter()
            .any(|machine| self.holds_everything(id, machine.disk))
        {
            return Err(format!(
                "at {at}: group {id}: nobody holds what was acknowledged: {group:?}"
            ));
        }
        Ok(())
    }
}
