//! The state transitions of the model.

use super::state::*;
use super::*;

impl Epochs {
    pub(super) fn recipients(
        &self,
        record: &EpochRecord,
        base: &EpochRecord,
        installed: MemberSet,
    ) -> MemberSet {
        let has_it = |id: MemberId| installed & bit(id_of(id)) != 0;
        match self.disabled_rules.new_members_first {
            true => set_of(record.voters().chain(base.voters())) & !installed,
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

    pub(super) fn choose(&self, state: &mut State, number: u8, change: MemberChange) -> Option<()> {
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

    pub(super) fn install(state: &mut State, number: u8, at: ModelId) {
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

    pub(super) fn activate(state: &mut State, number: u8) {
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

    pub(super) fn promise(state: &mut State, number: u8, by: ModelId) {
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

    pub(super) fn begin(state: &mut State, candidate: ModelId, reconfigures: Option<u8>) {
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

    pub(super) fn lose_disk(state: &mut State, id: ModelId) {
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
