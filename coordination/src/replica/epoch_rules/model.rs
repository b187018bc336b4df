//! A model check of epoch changes, with stateright.
//!
//! Members prepare, install and activate records, write commands, change the membership and lose disks, in every order.
//! The model calls the functions of `epoch_rules` and `base` that the replica uses. Leases and time are left out, so
//! that an election may start at any moment.
//!
//! Two properties hold in every state:
//!
//! * Each committed command is part of the state of every epoch activated later, and no older epoch commits anything
//!   after that.
//! * If all members with a disk answer, a new epoch can start.

mod search;
mod state;

use super::*;
use crate::replica::base::Base;
use state::*;
use stateright::{Model, Property};

const COMMITTED_STATE_SURVIVES: &str = "committed commands are never lost";
const EPOCH_CAN_BEGIN: &str = "a new epoch can start";

#[derive(Debug, Clone, PartialEq, Eq)]
enum Action {
    StartElection(ModelId),
    Reconfigure(ModelId),
    Promise { number: u8, by: ModelId },
    Choose { number: u8, change: MemberChange },
    Install { number: u8, at: ModelId },
    Activate { number: u8 },
    Write { by: ModelId },
    Accept { primary: ModelId, by: ModelId },
    Commit { by: ModelId },
    LoseDisk(ModelId),
}

/// The membership change that a primary wants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MemberChange {
    Keep,
    Add(ModelId),
    Replace { old: ModelId, new: ModelId },
}

/// Safety rules that are switched off, to show that each of them is necessary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct DisabledRules {
    /// Membership changes only on top of the active record.
    active_record: bool,
    /// New members receive a record before the others.
    new_members_first: bool,
    /// A membership change goes through a joint record.
    joint_record: bool,
    /// Records contain their lineage.
    lineage: bool,
}

struct Epochs {
    disabled_rules: DisabledRules,
    founders: u8,
    max_records: u8,
    max_commands: usize,
    max_losses: u8,
    /// Number of disks named by a record that may be lost at once.
    tolerated: usize,
    max_joins: u8,
}

impl Epochs {
    fn actions_of_member(&self, state: &State, id: ModelId, actions: &mut Vec<Action>) {
        let Some(disk) = state.disk(id) else { return };
        let others = state
            .campaigns
            .iter()
            .filter(|campaign| campaign.candidate != id)
            .count();
        let is_free = others < MAX_CAMPAIGNS;
        if is_free && state.last_number < self.max_records {
            let is_member = disk
                .record
                .is_some_and(|number| state.record(number).witnesses & bit(id) != 0);
            match state.primary_of(id) {
                Some(_) => actions.push(Action::Reconfigure(id)),
                None if is_member => actions.push(Action::StartElection(id)),
                None => {}
            }
        }
        if let Some(primary) = state.primary_of(id) {
            self.actions_of_primary(state, primary, actions);
        }
        if state.losses < self.max_losses && (disk.record.is_none() || self.may_lose(state)) {
            actions.push(Action::LoseDisk(id));
        }
    }

    fn actions_of_primary(&self, state: &State, primary: &Primary, actions: &mut Vec<Action>) {
        let record = state.record(primary.record);
        match primary.write {
            None => {
                let disk = state.disk(primary.id).expect("a primary has a disk");
                let may_write = usize::from(disk.log.length) < self.max_commands;
                if may_write
                    && disk.promised == primary.record
                    && state.campaign_of(primary.id).is_none()
                {
                    actions.push(Action::Write { by: primary.id });
                }
            }
            Some((log, written)) => {
                for replica in ids(record.replicas & !written) {
                    let may_accept = |disk: &Disk| {
                        let is_in_epoch =
                            disk.promised == primary.record && disk.record == Some(primary.record);
                        is_in_epoch && log.length == disk.log.length + 1
                    };
                    if state.disk(replica).is_some_and(may_accept) {
                        actions.push(Action::Accept {
                            primary: primary.id,
                            by: replica,
                        });
                    }
                }
                if record.replicas & !written == 0 {
                    actions.push(Action::Commit { by: primary.id });
                }
            }
        }
    }

    fn actions_of_campaign(&self, state: &State, campaign: &Campaign, actions: &mut Vec<Action>) {
        let number = campaign.number;
        match &campaign.stage {
            Stage::Preparing { promises } => {
                for by in ids(state.voters(campaign.candidate, promises)) {
                    if state.disk(by).is_some_and(|disk| disk.promised < number) {
                        actions.push(Action::Promise { number, by });
                    }
                }
                let own_promise = promises.iter().any(|(id, _)| *id == campaign.candidate);
                if own_promise && state.base(promises).is_some() {
                    self.choices(state, campaign, actions);
                }
            }
            Stage::Installing { installed } => {
                let record = state.epoch_record(number);
                let base = state.epoch_record(state.record(number).follows);
                for at in ids(self.recipients(&record, &base, *installed)) {
                    if state.disk(at).is_some_and(|disk| disk.promised <= number) {
                        actions.push(Action::Install { number, at });
                    }
                }
                if is_active(&record, |id| installed & bit(id_of(id)) != 0) {
                    actions.push(Action::Activate { number });
                }
            }
        }
    }

    fn choices(&self, state: &State, campaign: &Campaign, actions: &mut Vec<Action>) {
        let number = campaign.number;
        actions.push(Action::Choose {
            number,
            change: MemberChange::Keep,
        });
        if campaign.reconfigures.is_none() || state.joins >= self.max_joins {
            return;
        }
        let new = self.founders + 1 + state.joins;
        if usize::from(new) > MAX_MEMBERS {
            return;
        }
        actions.push(Action::Choose {
            number,
            change: MemberChange::Add(new),
        });
        for old in ids(state
            .record(campaign.reconfigures.expect("a change"))
            .witnesses)
        {
            if old != campaign.candidate {
                actions.push(Action::Choose {
                    number,
                    change: MemberChange::Replace { old, new },
                });
            }
        }
    }

    /// Whether another disk may be lost: of the disks named by the active or later records, at most the tolerated
    /// number is lost. A disk without a record may be lost at any time.
    fn may_lose(&self, state: &State) -> bool {
        let newest = state.newest_active;
        let later = state
            .records
            .iter()
            .filter(|record| record.number >= newest);
        let named = later.fold(0, |named, record| named | record.witnesses | record.former);
        ids(named).filter(|id| state.disk(*id).is_none()).count() < self.tolerated
    }

    fn recipients(
        &self,
        record: &EpochRecord,
        base: &EpochRecord,
        installed: MemberSet,
    ) -> MemberSet {
        let has_it = |id: MemberId| installed & bit(id_of(id)) != 0;
        match self.disabled_rules.new_members_first {
            true => set_of(record.everyone().chain(base.everyone())) & !installed,
            false => set_of(&recipients(record, base, has_it)),
        }
    }

    fn members(&self, base: &EpochRecord, active: Epoch, wanted: Vec<Member>) -> EpochRecord {
        let active = if self.disabled_rules.active_record {
            base.number
        } else {
            active
        };
        let mut next = with_members(base, active, || wanted);
        if self.disabled_rules.joint_record {
            next.former_witnesses.clear();
        }
        next
    }

    /// The record that a campaign installs on its base; `None` if no record may follow.
    fn next_record(
        &self,
        state: &State,
        campaign: &Campaign,
        base: &Base,
        promises: &[(ModelId, Disk)],
        change: MemberChange,
    ) -> Option<EpochRecord> {
        let promised = |id: MemberId| promises.iter().any(|(by, _)| MemberId::from(*by) == id);
        let Some(active) = campaign.reconfigures else {
            return Some(takeover_record(
                &base.record,
                promised,
                None,
                self.tolerated + 1,
            ));
        };
        if base.record.primary != MemberId::from(campaign.candidate) {
            return None;
        }
        let wanted = wanted_members(&base.record, change);
        let mut next = self.members(&base.record, active.into(), wanted);
        let joins =
            |id: ModelId| base.record.member(id.into()).is_none() && state.disk(id).is_some();
        let fit = |member: &&Member| promised(member.id) || joins(id_of(member.id));
        next.replicas = next
            .witnesses
            .iter()
            .filter(fit)
            .map(|member| member.id)
            .collect();
        Some(next)
    }

    fn choose(&self, state: &mut State, number: u8, change: MemberChange) -> Option<()> {
        let index = state
            .campaigns
            .iter()
            .position(|campaign| campaign.number == number)?;
        let campaign = state.campaigns[index].clone();
        let Stage::Preparing { promises } = &campaign.stage else {
            return None;
        };
        if let MemberChange::Add(new) | MemberChange::Replace { new, .. } = change {
            state.disks[usize::from(new) - 1] = Some(EMPTY_DISK);
            state.joins += 1;
        }
        let base = state.base(promises)?;
        let record = self.next_record(state, &campaign, &base, promises, change)?;
        let uses_change = !matches!(change, MemberChange::Keep);
        if record.replicas.len() <= self.tolerated
            || uses_change && record.witnesses == base.record.witnesses
        {
            return None;
        }
        let base_is_active = campaign
            .reconfigures
            .is_some_and(|active| base.record.number == Epoch::from(active));
        let holder = promises
            .iter()
            .find(|(id, _)| base.state_holders.contains(&(*id).into()))?;
        state.records.push(Record {
            number,
            primary: campaign.candidate,
            replicas: record
                .replicas
                .iter()
                .fold(0, |set, id| set | bit(id_of(*id))),
            witnesses: set_of(&record.witnesses),
            former: set_of(&record.former_witnesses),
            follows: u8::try_from(base.record.number).ok()?,
            lineage: match self.disabled_rules.lineage {
                true => [0; MAX_RECORDS],
                false => numbers_of(&lineage(&base.record, base_is_active)),
            },
            log: holder.1.log,
        });
        state.campaigns[index].stage = Stage::Installing { installed: 0 };
        Some(())
    }

    fn install(state: &mut State, number: u8, at: ModelId) {
        let record = *state.record(number);
        if let Some(disk) = state.disk_mut(at) {
            disk.promised = number;
            disk.record = Some(number);
            if record.replicas & bit(at) != 0 {
                disk.state_record = Some(number);
                disk.log = record.log;
            }
        }
        if at != record.primary {
            state.step_down(at);
        }
        for campaign in &mut state.campaigns {
            if let (true, Stage::Installing { installed }) =
                (campaign.number == number, &mut campaign.stage)
            {
                *installed |= bit(at);
            }
        }
    }

    fn activate(state: &mut State, number: u8) {
        let record = *state.record(number);
        state.campaigns.retain(|campaign| campaign.number != number);
        state
            .primaries
            .retain(|primary| primary.id != record.primary);
        state.primaries.push(Primary {
            id: record.primary,
            record: number,
            write: None,
        });
        state.primaries.sort_unstable();
        let newest = state.newest_active;
        // Answers to an older installation may be delayed: its primary commits nothing but its initial state.
        let contains_all_commits = match newest > number {
            true => state.descends(newest, number) && state.record(newest).log.extends(&record.log),
            false => state.descends(number, newest) && record.log.extends(&state.committed),
        };
        if !contains_all_commits {
            state.commit_was_lost = true;
        }
        state.newest_active = newest.max(number);
        state.commit(record.log);
    }

    fn promise(state: &mut State, number: u8, by: ModelId) {
        let Some(disk) = state.disk_mut(by) else {
            return;
        };
        disk.promised = number;
        let promised_disk = *disk;
        let is_own = state
            .campaigns
            .iter()
            .any(|one| one.number == number && one.candidate == by);
        if !is_own {
            state.step_down(by);
        }
        for campaign in &mut state.campaigns {
            if let (true, Stage::Preparing { promises }) =
                (campaign.number == number, &mut campaign.stage)
            {
                promises.push((by, promised_disk));
                promises.sort_unstable();
            }
        }
    }

    fn begin(state: &mut State, candidate: ModelId, reconfigures: Option<u8>) {
        state.last_number += 1;
        state
            .campaigns
            .retain(|campaign| campaign.candidate != candidate);
        let stage = Stage::Preparing {
            promises: Vec::new(),
        };
        state.campaigns.push(Campaign {
            number: state.last_number,
            candidate,
            reconfigures,
            stage,
        });
    }

    fn lose_disk(state: &mut State, id: ModelId) {
        state.step_down(id);
        state.disks[usize::from(id) - 1] = None;
        state.losses += 1;
    }
}

fn numbers_of(lineage: &[Ancestor]) -> [u8; MAX_RECORDS] {
    let mut numbers = [0; MAX_RECORDS];
    for (number, ancestor) in numbers.iter_mut().zip(lineage) {
        *number = u8::try_from(ancestor.number).expect("a small number");
    }
    numbers
}

fn wanted_members(base: &EpochRecord, change: MemberChange) -> Vec<Member> {
    let mut wanted = base.witnesses.clone();
    match change {
        MemberChange::Keep => {}
        MemberChange::Add(new) => wanted.push(member(new)),
        MemberChange::Replace { old, new } => {
            wanted.retain(|member| member.id != MemberId::from(old));
            wanted.push(member(new));
        }
    }
    wanted.sort();
    wanted
}

impl Model for Epochs {
    type State = State;
    type Action = Action;

    /// The founders in their first epoch, with the first of them as primary.
    fn init_states(&self) -> Vec<State> {
        let founders = (1..=self.founders).fold(0, |set, id| set | bit(id));
        let founding = Record {
            number: 0,
            primary: 0,
            replicas: founders,
            witnesses: founders,
            former: 0,
            follows: 0,
            lineage: [0; MAX_RECORDS],
            log: Log::default(),
        };
        let first = Record {
            number: 1,
            primary: 1,
            ..founding
        };
        let disk = Disk {
            promised: 1,
            record: Some(1),
            state_record: Some(1),
            log: Log::default(),
        };
        let mut disks = [None; MAX_MEMBERS];
        disks[..usize::from(self.founders)].fill(Some(disk));
        vec![State {
            disks,
            records: vec![founding, first],
            last_number: 1,
            campaigns: Vec::new(),
            primaries: vec![Primary {
                id: 1,
                record: 1,
                write: None,
            }],
            committed: Log::default(),
            newest_active: 1,
            losses: 0,
            joins: 0,
            commit_was_lost: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for id in 1..=MAX_MEMBERS as ModelId {
            self.actions_of_member(state, id, actions);
        }
        for campaign in &state.campaigns {
            self.actions_of_campaign(state, campaign, actions);
        }
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        match action {
            Action::StartElection(id) => Epochs::begin(&mut next, id, None),
            Action::Reconfigure(id) => {
                let active = next.primary_of(id)?.record;
                Epochs::begin(&mut next, id, Some(active));
            }
            Action::Promise { number, by } => Epochs::promise(&mut next, number, by),
            Action::Choose { number, change } => self.choose(&mut next, number, change)?,
            Action::Install { number, at } => Epochs::install(&mut next, number, at),
            Action::Activate { number } => Epochs::activate(&mut next, number),
            Action::Write { by } => {
                let epoch = next.primary_of(by)?.record;
                let log = next.disk(by)?.log.with(epoch);
                let primary = next.primaries.iter_mut().find(|primary| primary.id == by)?;
                primary.write = Some((log, 0));
            }
            Action::Accept { primary, by } => {
                let writing = next.primaries.iter_mut().find(|one| one.id == primary)?;
                let (log, written) = writing.write.as_mut()?;
                *written |= bit(by);
                let log = *log;
                next.disk_mut(by)?.log = log;
            }
            Action::Commit { by } => {
                let primary = next.primaries.iter_mut().find(|primary| primary.id == by)?;
                let (log, _) = primary.write.take()?;
                let epoch = primary.record;
                let newest = next.newest_active;
                if newest > epoch && !next.record(newest).log.extends(&log) {
                    next.commit_was_lost = true;
                }
                next.commit(log);
            }
            Action::LoseDisk(id) => Epochs::lose_disk(&mut next, id),
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(COMMITTED_STATE_SURVIVES, |_, state: &State| {
                !state.commit_was_lost
            }),
            Property::always(EPOCH_CAN_BEGIN, |_, state: &State| {
                state.base(&state.surviving_disks()).is_some()
            }),
        ]
    }
}
