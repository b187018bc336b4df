//! The replicated control state: what operators ordered, which stores there are, and which of them keep batch jobs.
//!
//! A pure state machine that the core replicates. Orders are decided against the newest committed state
//! ([`ControlState::decide_request`]); what they change is applied on every replica in the same way. Applying checks again
//! what the decision rested on (the version that a configuration follows, the epoch that a group follows), so that a
//! command that is late changes nothing.

pub mod accepted_requests;
pub mod codec;
pub mod command;
mod decide;
pub mod group_policy;
pub mod groups;
pub mod request;
mod snapshot;
pub mod store_report;
pub mod stores;
pub mod view;

use crate::configuration::{check_text, read_json};
use accepted_requests::TakenOrders;
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
            Ok(config) => Some(ConfigDocument {
                text: Arc::new(text),
                config: Arc::new(config),
            }),
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
///
/// # The view's version
///
/// `view_version` is the version of the last change that [`ControlState::view`] shows. Processes take a view only if its
/// version is above the one that they hold, and keep what they hold for as long as none is. It is not stored, and not a part
/// of what replicas agree on: a state that was read from a snapshot takes its own version for it. Any number from the version
/// of the last change that the view shows up to the state's version serves, whatever replica gives it out:
///
/// - What a process holds is at most the version of a state that was committed when it got it. Whoever has a lease later has
///   a state at least as new, so that each later change of the view gets a higher number: it is never missed.
/// - If a new primary's number is lower than what a process holds, the view has not changed in between: the number that it
///   holds was given out for a state whose last visible change is the same. The process keeps an equal view.
/// - If it is higher, the process takes the newest committed view, perhaps one equal to its own: once for each time that a
///   state was read whole.
#[derive(Debug, Clone, Default)]
pub struct ControlState {
    /// Counts the changes.
    version: u64,
    /// See above; not compared and not stored.
    view_version: u64,
    document: Option<ConfigDocument>,
    taken: TakenOrders,
    evacuated: BTreeSet<String>,
    stores: StoreRegistry,
    /// The groups that keep batch jobs, by their numbers. Made all at once; their count stays.
    groups: Vec<GroupState>,
}

impl PartialEq for ControlState {
    /// Compares what replicas agree on.
    fn eq(&self, other: &ControlState) -> bool {
        let ControlState {
            version,
            view_version: _,
            document,
            taken,
            evacuated,
            stores,
            groups,
        } = self;
        *version == other.version
            && *document == other.document
            && *taken == other.taken
            && *evacuated == other.evacuated
            && *stores == other.stores
            && *groups == other.groups
    }
}

/// What applying a command changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Effect {
    /// Nothing.
    Unchanged,
    /// Something that the processes' view does not show.
    Hidden,
    /// Something that the view shows.
    Visible,
}

impl Effect {
    fn hidden_if(changed: bool) -> Effect {
        if changed {
            Effect::Hidden
        } else {
            Effect::Unchanged
        }
    }

    fn visible_if(changed: bool) -> Effect {
        if changed {
            Effect::Visible
        } else {
            Effect::Unchanged
        }
    }
}

impl ControlState {
    /// Grows with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The version that processes compare; see the type.
    pub fn view_version(&self) -> u64 {
        self.view_version
    }

    /// The newest configuration.
    pub fn document(&self) -> Option<&ConfigDocument> {
        self.document.as_ref()
    }

    /// Number of the newest configuration; 0 before the first.
    pub fn config_version(&self) -> ConfigVersion {
        self.document
            .as_ref()
            .map_or(0, |document| document.config.config_version)
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
            version: self.view_version,
            config: self
                .document
                .as_ref()
                .map(|document| document.config.clone()),
            evacuated: self.evacuated.clone(),
            groups: self
                .groups
                .iter()
                .map(|state| state.group.clone())
                .collect(),
        }
    }

    /// Applies a command; says whether it changed anything.
    pub fn apply_command(&mut self, command: Command) -> bool {
        let effect = match command {
            Command::SetConfig {
                base,
                order,
                document,
            } => Effect::visible_if(self.set_config(base, order, document)),
            Command::Evacuate { zone } => Effect::visible_if(self.evacuated.insert(zone)),
            Command::TakeBack { zone } => Effect::visible_if(self.evacuated.remove(&zone)),
            Command::Retire { node } => Effect::hidden_if(self.retire(&node)),
            Command::RegisterStore(store) => Effect::hidden_if(self.stores.register(&store)),
            Command::SetGroup {
                previous_epoch: 0,
                group,
            } => Effect::visible_if(self.found_groups(vec![group])),
            Command::SetGroup {
                previous_epoch,
                group,
            } => self.change_first_group(GroupStep::Replace {
                previous_epoch,
                group,
            }),
            Command::GroupActive { epoch } => {
                self.change_first_group(GroupStep::BecameActive { epoch })
            }
            Command::MembersInSync { epoch, disks } => {
                self.change_first_group(GroupStep::MembersInSync { epoch, disks })
            }
            Command::FoundGroups(groups) => Effect::visible_if(self.found_groups(groups)),
            Command::ChangeGroups(changes) => self.change_groups(changes),
        };
        if effect > Effect::Unchanged {
            self.version += 1;
        }
        if effect == Effect::Visible {
            self.view_version = self.version;
        }
        effect > Effect::Unchanged
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
    fn change_first_group(&mut self, step: GroupStep) -> Effect {
        self.change_groups(vec![GroupChange {
            id: GroupId::default(),
            step,
        }])
    }

    /// Takes each change that still fits.
    fn change_groups(&mut self, changes: Vec<GroupChange>) -> Effect {
        let mut effect = Effect::Unchanged;
        for change in changes {
            effect = effect.max(self.change_group(change));
        }
        if effect > Effect::Unchanged {
            self.complete_retirements();
        }
        effect
    }

    fn change_group(&mut self, change: GroupChange) -> Effect {
        let Some(group) = self.groups.get_mut(change.id.index()) else {
            return Effect::Unchanged;
        };
        let is_new_epoch = matches!(change.step, GroupStep::Replace { .. });
        let changed = group.take(change.step);
        if is_new_epoch {
            Effect::visible_if(changed)
        } else {
            Effect::hidden_if(changed)
        }
    }

    fn may_change(&self, change: &GroupChange) -> bool {
        self.group(change.id)
            .is_some_and(|group| group.may_take(&change.step))
    }

    /// Completes the retirements of the stores that no group uses any more.
    fn complete_retirements(&mut self) {
        let groups = &self.groups;
        self.stores
            .complete_retirements(|disk| groups.iter().any(|group| group.uses(disk)));
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
            Err(error) => {
                log::error!("a committed command can't be read and is passed over: {error}")
            }
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
