//! The replicated control state: what operators ordered, which stores there are, and which of them keep batch jobs.
//!
//! A pure state machine that the core replicates. Orders are decided against the newest committed state
//! ([`ControlState::decide_request`]); what they change is applied on every replica in the same way. Applying checks again
//! what the decision rested on (the version that a configuration follows, the epoch that a group follows), so that a
//! command that is late changes nothing.

pub mod codec;
pub mod command;
mod decide;
pub mod group_policy;
pub mod groups;
pub mod request;
mod snapshot;
pub mod store_report;
pub mod stores;
pub mod taken;
pub mod view;

use crate::configuration::{check_text, read_json};
use alderhollow_coordination::replica::interface as replica;
use alderhollow_model::config::{Config, ConfigVersion};
use alderhollow_model::snapshot::{BatchGroup, ControlView, GroupId};
use command::Command;
use groups::{may_be_founded, GroupChange, GroupState, GroupStep};
use request::{Answer, Decision, Request};
use serde_json::Value;
use std::collections::BTreeSet;
use std::sync::Arc;
use stores::{RetirementState, StoreRegistry};
use taken::TakenOrders;

/// A configuration as it was sent, with its typed view.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigDocument {
    text: Arc<Vec<u8>>,
    config: Arc<Config>,
}

impl ConfigDocument {
    /// Takes a text that was checked before; `None` if it is not valid after all.
    fn read(text: Vec<u8>) -> Option<ConfigDocument> {
        match check_text(&text) {
            Ok(config) => Some(ConfigDocument { text: Arc::new(text), config: Arc::new(config) }),
            Err(error) => {
                log::error!("a committed configuration can't be read and is passed over: {error}");
                None
            }
        }
    }

    /// The JSON text.
    pub fn text(&self) -> &Arc<Vec<u8>> {
        &self.text
    }

    /// The typed view.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    fn value(&self) -> Value {
        read_json(&self.text).unwrap_or_default()
    }
}

/// The replicated control state.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ControlState {
    /// Counts the changes.
    version: u64,
    document: Option<ConfigDocument>,
    taken: TakenOrders,
    evacuated: BTreeSet<String>,
    stores: StoreRegistry,
    /// The groups that keep batch jobs, by their numbers. Made all at once; their count stays.
    groups: Vec<GroupState>,
}

impl ControlState {
    /// Grows with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The newest configuration.
    pub fn document(&self) -> Option<&ConfigDocument> {
        self.document.as_ref()
    }

    /// Number of the newest configuration; 0 before the first.
    pub fn config_version(&self) -> ConfigVersion {
        self.document.as_ref().map_or(0, |document| document.config.config_version)
    }

    /// The stores.
    pub fn stores(&self) -> &StoreRegistry {
        &self.stores
    }

    /// How far a store's retirement has come; `None` if the machine is unknown or no retirement was asked for.
    pub fn retirement(&self, node: &str) -> Option<RetirementState> {
        self.stores.retirement(node)
    }

    /// The groups that keep batch jobs, by their numbers; empty until they are made.
    pub fn groups(&self) -> &[GroupState] {
        &self.groups
    }

    /// One of the groups.
    pub fn group(&self, id: GroupId) -> Option<&GroupState> {
        self.groups.get(id.index())
    }

    /// Whether all members of all groups are known to hold everything.
    pub fn groups_are_active(&self) -> bool {
        self.groups.iter().all(GroupState::is_active)
    }

    /// What processes act on.
    pub fn view(&self) -> ControlView {
        ControlView {
            version: self.version,
            config: self.document.as_ref().map(|document| document.config.clone()),
            evacuated: self.evacuated.clone(),
            groups: self.groups.iter().map(|state| state.group.clone()).collect(),
        }
    }

    /// Applies a command; says whether it changed anything.
    pub fn apply_command(&mut self, command: Command) -> bool {
        let changed = match command {
            Command::SetConfig { base, order, document } => self.set_config(base, order, document),
            Command::Evacuate { zone } => self.evacuated.insert(zone),
            Command::TakeBack { zone } => self.evacuated.remove(&zone),
            Command::Retire { node } => self.retire(&node),
            Command::RegisterStore(store) => self.stores.register(&store),
            Command::SetGroup { previous_epoch: 0, group } => self.found_groups(vec![group]),
            Command::SetGroup { previous_epoch, group } => {
                self.change_first_group(GroupStep::Replace { previous_epoch, group })
            }
            Command::GroupActive { epoch } => self.change_first_group(GroupStep::BecameActive { epoch }),
            Command::MembersInSync { epoch, disks } => {
                self.change_first_group(GroupStep::MembersInSync { epoch, disks })
            }
            Command::FoundGroups(groups) => self.found_groups(groups),
            Command::ChangeGroups(changes) => self.change_groups(changes),
        };
        if changed {
            self.version += 1;
        }
        changed
    }

    fn set_config(&mut self, base: ConfigVersion, order: u64, document: Vec<u8>) -> bool {
        if base != self.config_version() {
            return false;
        }
        let Some(document) = ConfigDocument::read(document) else {
            return false;
        };
        if document.config.config_version <= base {
            return false;
        }
        self.document = Some(document);
        self.taken.add(order);
        true
    }

    fn retire(&mut self, node: &str) -> bool {
        let changed = self.stores.retire(node);
        if changed {
            self.complete_retirements();
        }
        changed
    }

    fn found_groups(&mut self, groups: Vec<BatchGroup>) -> bool {
        if !self.groups.is_empty() || !may_be_founded(&groups) {
            return false;
        }
        self.groups = groups.into_iter().map(GroupState::founded).collect();
        true
    }

    /// A command of an earlier version of the program, which knew one group.
    fn change_first_group(&mut self, step: GroupStep) -> bool {
        self.change_groups(vec![GroupChange { id: GroupId::default(), step }])
    }

    /// Takes each change that still fits.
    fn change_groups(&mut self, changes: Vec<GroupChange>) -> bool {
        let mut changed = false;
        for change in changes {
            if let Some(group) = self.groups.get_mut(change.id.index()) {
                changed |= group.take(change.step);
            }
        }
        if changed {
            self.complete_retirements();
        }
        changed
    }

    fn may_change(&self, change: &GroupChange) -> bool {
        self.group(change.id).is_some_and(|group| group.may_take(&change.step))
    }

    /// Completes the retirements of the stores that no group uses any more.
    fn complete_retirements(&mut self) {
        let groups = &self.groups;
        self.stores.complete_retirements(|disk| groups.iter().any(|group| group.uses(disk)));
    }
}

impl replica::StateMachine for ControlState {
    fn decide(&self, request: &[u8]) -> replica::Decision {
        let decision = match codec::decode::<Request>(request) {
            Ok(request) => self.decide_request(&request),
            Err(error) => {
                log::error!("a request to the control state can't be read: {error}");
                Decision::Answer(Answer::Unreadable)
            }
        };
        match decision {
            Decision::Commit(command) => replica::Decision::Replicate(command.to_bytes()),
            Decision::Answer(answer) => replica::Decision::Answer(answer.to_bytes()),
        }
    }

    fn apply(&mut self, command: &[u8]) {
        match Command::from_bytes(command) {
            Ok(command) => {
                self.apply_command(command);
            }
            Err(error) => log::error!("a committed command can't be read and is passed over: {error}"),
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        self.to_snapshot()
    }

    fn restore(&mut self, snapshot: &[u8]) {
        match ControlState::from_snapshot(snapshot) {
            Ok(state) => *self = state,
            Err(error) => log::error!("a snapshot of the control state can't be read: {error}"),
        }
    }
}
