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
pub mod request;
mod snapshot;
pub mod store_report;
pub mod stores;
pub mod taken;
pub mod view;

use crate::configuration::{check_text, read_json};
use alderhollow_coordination::replica::interface as replica;
use alderhollow_model::config::{Config, ConfigVersion};
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::{BatchGroup, ControlView};
use command::Command;
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
    group: Option<Arc<BatchGroup>>,
    /// Members of the group that hold everything that was acknowledged, whatever the epoch: the only ones that may become
    /// its primary.
    complete: BTreeSet<DiskId>,
    /// Newest epoch of which the group's primary said that all members hold everything.
    active_epoch: u64,
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

    /// The group that keeps batch jobs.
    pub fn group(&self) -> Option<&Arc<BatchGroup>> {
        self.group.as_ref()
    }

    /// Epoch of the group; 0 before the first.
    pub fn group_epoch(&self) -> u64 {
        self.group.as_ref().map_or(0, |group| group.epoch)
    }

    /// Whether all members of the group are known to hold everything.
    pub fn group_is_active(&self) -> bool {
        self.group.is_some() && self.active_epoch == self.group_epoch()
    }

    /// The group's members that hold everything that was acknowledged.
    pub fn complete_members(&self) -> &BTreeSet<DiskId> {
        &self.complete
    }

    /// What processes act on.
    pub fn view(&self) -> ControlView {
        ControlView {
            version: self.version,
            config: self.document.as_ref().map(|document| document.config.clone()),
            evacuated: self.evacuated.clone(),
            group: self.group.clone(),
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
            Command::SetGroup { previous_epoch, group } => self.set_group(previous_epoch, group),
            Command::GroupActive { epoch } => self.set_active(epoch),
            Command::MembersInSync { epoch, disks } => self.set_in_sync(epoch, disks),
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
        if changed && (self.group.is_none() || self.group_is_active()) {
            self.complete_retirements();
        }
        changed
    }

    /// Whether a group may take the present one's place: nothing that was acknowledged is lost by it.
    fn may_follow(&self, previous_epoch: u64, group: &BatchGroup) -> bool {
        let is_next = previous_epoch == self.group_epoch() && group.epoch > previous_epoch;
        let primary_holds_all = self.group.is_none() || self.complete.contains(&group.primary);
        is_next && group.primary_member().is_some() && primary_holds_all
    }

    fn set_group(&mut self, previous_epoch: u64, group: BatchGroup) -> bool {
        if !self.may_follow(previous_epoch, &group) {
            return false;
        }
        let members: BTreeSet<DiskId> = group.members.iter().map(|member| member.disk).collect();
        if self.group.is_none() {
            self.complete = members;
        } else {
            self.complete.retain(|disk| members.contains(disk));
        }
        self.group = Some(Arc::new(group));
        true
    }

    fn becomes_active(&self, epoch: u64) -> bool {
        epoch == self.group_epoch() && epoch > self.active_epoch
    }

    fn set_active(&mut self, epoch: u64) -> bool {
        if !self.becomes_active(epoch) {
            return false;
        }
        self.active_epoch = epoch;
        if let Some(group) = &self.group {
            self.complete = group.members.iter().map(|member| member.disk).collect();
        }
        self.complete_retirements();
        true
    }

    /// Whether all the disks belong to members of this epoch, and some were not known to hold everything.
    fn come_in_sync(&self, epoch: u64, disks: &BTreeSet<DiskId>) -> bool {
        let Some(group) = self.group.as_ref().filter(|group| group.epoch == epoch) else {
            return false;
        };
        let is_member = |disk: &DiskId| group.members.iter().any(|member| member.disk == *disk);
        disks.iter().all(is_member) && !disks.is_subset(&self.complete)
    }

    /// A member that was made equal to the epoch's primary holds everything: nothing is acknowledged under an older epoch
    /// any more, and nothing under this one without it.
    fn set_in_sync(&mut self, epoch: u64, disks: BTreeSet<DiskId>) -> bool {
        if !self.come_in_sync(epoch, &disks) {
            return false;
        }
        self.complete.extend(disks);
        true
    }

    fn complete_retirements(&mut self) {
        let group = self.group.clone();
        let in_use = |disk: DiskId| {
            let all = group.iter().flat_map(|group| group.members.iter().chain(&group.learners));
            all.into_iter().any(|member| member.disk == disk)
        };
        self.stores.complete_retirements(in_use);
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
