//! The actions that are possible in a state of the model.

use super::state::*;
use super::*;

impl Epochs {
    pub(super) fn actions_of_member(&self, state: &State, id: ModelId, actions: &mut Vec<Action>) {
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

    pub(super) fn actions_of_campaign(
        &self,
        state: &State,
        campaign: &Campaign,
        actions: &mut Vec<Action>,
    ) {
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
}
