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

mod actions;
mod search;
mod state;
mod transitions;

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
