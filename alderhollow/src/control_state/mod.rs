//! The replicated control state: the configuration, evacuated zones, registered stores and the batch groups.
//!
//! [`ControlState`] is a deterministic state machine without I/O that the core replicates
//! ([`replica::StateMachine`]). The primary decides each request against the newest committed state
//! ([`ControlState::decide_request`]); the resulting [`Command`] is replicated and applied on every member. Applying a
//! command checks its precondition again (the configuration version or group epoch that it replaces), so a command whose
//! precondition no longer holds has no effect.
//!
//! May use `configuration`, the model and the codec. Used by `core`, which replicates it, by `operator_api`, and by the
//! processes that decode its [`view`].
//!
//! | module | contents |
//! | --- | --- |
//! | [`request`], [`command`] | what the state machine decides, and what it replicates |
//! | `decide` | the decision rules for operators' requests |
//! | [`accepted_requests`] | digests by which a retried configuration request is recognised |
//! | [`groups`], [`group_policy`] | state of the batch groups, and which change of them is due |
//! | [`stores`], [`store_report`] | registered stores with their decommissioning, and what stores report |
//! | [`view`] | the part of the state that every process receives |
//! | [`codec`], `snapshot` | encodings |

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
use accepted_requests::AcceptedRequests;
use alderhollow_coordination::replica::interface as replica;
use alderhollow_model::config::{Config, ConfigVersion};
use alderhollow_model::snapshot::{BatchGroup, ControlView, GroupId};
use command::Command;
use groups::{are_valid_initial_groups, GroupChange, GroupState, GroupStep};
use request::{Answer, Decision, Request};
use serde_json::Value;
use std::collections::BTreeSet;
use std::sync::Arc;
use stores::{RetirementState, StoreRegistry};

/// A configuration: the JSON text as the operator sent it, and its parsed form.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigDocument {
    text: Arc<Vec<u8>>,
    config: Arc<Config>,
}

impl ConfigDocument {
    /// Parses a text that passed validation before it was committed; `None` if it is invalid all the same.
    fn read(text: Vec<u8>) -> Option<ConfigDocument> {
        match check_text(&text) {
            Ok(config) => Some(ConfigDocument {
                text: Arc::new(text),
                config: Arc::new(config),
            }),
            Err(error) => {
                log::error!("ignored a committed configuration that can't be parsed: {error}");
                None
            }
        }
    }

    /// The JSON text as the operator sent it.
    pub fn text(&self) -> &Arc<Vec<u8>> {
        &self.text
    }

    /// The parsed configuration.
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
/// `view_version` is the state version of the last change that is visible in [`ControlState::view`]. A process replaces its
/// view only by one with a higher version. The number is not stored and replicas need not agree on it: a state restored
/// from a snapshot uses its own version. Any number from the version of the last visible change up to the state's version
/// is correct, whichever replica publishes it:
///
/// - A process's view version is at most the version of a state that was committed when the process received it. Every
///   later lease holder has a state at least as new, so each later change of the view has a higher version and is
///   delivered.
/// - If a new primary's view version is lower than a process's, no visible change lies between the two: the process's view
///   equals the primary's, and the process retains it.
/// - If it is higher, the process receives the newest committed view, which may equal its own. This happens at most once
///   for each restored snapshot.
#[derive(Debug, Clone, Default)]
pub struct ControlState {
    /// Number of changes applied.
    version: u64,
    /// See the type's documentation; neither compared nor stored.
    view_version: u64,
    document: Option<ConfigDocument>,
    accepted: AcceptedRequests,
    evacuated: BTreeSet<String>,
    stores: StoreRegistry,
    /// The batch groups, indexed by [`GroupId`]. All are created by one command, and their count never changes.
    groups: Vec<GroupState>,
}

impl PartialEq for ControlState {
    /// Compares what replicas agree on: everything but `view_version`.
    fn eq(&self, other: &ControlState) -> bool {
        let ControlState {
            version,
            view_version: _,
            document,
            accepted,
            evacuated,
            stores,
            groups,
        } = self;
        *version == other.version
            && *document == other.document
            && *accepted == other.accepted
            && *evacuated == other.evacuated
            && *stores == other.stores
            && *groups == other.groups
    }
}

/// The effect of applying a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Effect {
    /// The command had no effect.
    Unchanged,
    /// The state changed, but not the part that is visible in the view.
    Hidden,
    /// The view changed.
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
    /// The state's version; it grows by one with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The view's version, which processes compare; see the type's documentation.
    pub fn view_version(&self) -> u64 {
        self.view_version
    }

    /// The current configuration; `None` before the first.
    pub fn document(&self) -> Option<&ConfigDocument> {
        self.document.as_ref()
    }

    /// Version of the current configuration; 0 before the first.
    pub fn config_version(&self) -> ConfigVersion {
        self.document
            .as_ref()
            .map_or(0, |document| document.config.config_version)
    }

    /// The registered stores.
    pub fn stores(&self) -> &StoreRegistry {
        &self.stores
    }

    /// State of a store's decommissioning; `None` if the machine is unknown or none was requested.
    pub fn retirement(&self, node: &str) -> Option<RetirementState> {
        self.stores.retirement(node)
    }

    /// The batch groups, indexed by [`GroupId`]; empty until they are created.
    pub fn groups(&self) -> &[GroupState] {
        &self.groups
    }

    /// A batch group by its id.
    pub fn group(&self, id: GroupId) -> Option<&GroupState> {
        self.groups.get(id.index())
    }

    /// Whether in every group all members are known to be complete.
    pub fn groups_are_active(&self) -> bool {
        self.groups.iter().all(GroupState::is_active)
    }

    /// The part of the state that all processes receive and act on.
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

    /// Applies a committed command. Returns whether the state changed.
    pub fn apply_command(&mut self, command: Command) -> bool {
        let effect = match command {
            Command::SetConfig {
                base,
                order,
                document,
            } => Effect::visible_if(self.set_config(base, order, document)),
            Command::Evacuate { zone } => Effect::visible_if(self.evacuated.insert(zone)),
            Command::CancelEvacuation { zone } => Effect::visible_if(self.evacuated.remove(&zone)),
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
        self.accepted.add(order);
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
        if !self.groups.is_empty() || !are_valid_initial_groups(&groups) {
            return false;
        }
        self.groups = groups.into_iter().map(GroupState::founded).collect();
        true
    }

    /// Applies a command of an earlier version of the program, which had a single group.
    fn change_first_group(&mut self, step: GroupStep) -> Effect {
        self.change_groups(vec![GroupChange {
            id: GroupId::default(),
            step,
        }])
    }

    /// Applies each change whose precondition still holds.
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
        let changed = group.apply(change.step);
        if is_new_epoch {
            Effect::visible_if(changed)
        } else {
            Effect::hidden_if(changed)
        }
    }

    fn is_applicable_change(&self, change: &GroupChange) -> bool {
        self.group(change.id)
            .is_some_and(|group| group.is_applicable(&change.step))
    }

    /// Completes the decommissioning of stores that no group uses any more.
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
                log::error!(
                    "rejected a request to the control state that can't be decoded: {error}"
                );
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
                log::error!("ignored a committed command that can't be decoded: {error}");
            }
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        self.to_snapshot()
    }

    fn restore(&mut self, snapshot: &[u8]) {
        match ControlState::from_snapshot(snapshot) {
            Ok(state) => *self = state,
            Err(error) => log::error!("failed to decode a snapshot of the control state: {error}"),
        }
    }
}
