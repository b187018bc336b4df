//! State of a batch group in the control state: its current epoch and which members are complete.
//!
//! A member is *complete* when its disk has everything that the group acknowledged. Invariant: only a complete member may
//! become primary, so that a new epoch never loses acknowledged data.

use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::{BatchGroup, GroupId};
use minicbor::{Decode, Encode};
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

/// A change of one group.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct GroupChange {
    /// The group.
    #[n(0)]
    pub id: GroupId,
    /// The change.
    #[n(1)]
    pub step: GroupStep,
}

/// The kinds of change of a group.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum GroupStep {
    /// Starts a new epoch.
    #[n(0)]
    Replace {
        /// The epoch that it replaces; the change has no effect if another one is current.
        #[n(0)]
        previous_epoch: u64,
        /// The group in the new epoch.
        #[n(1)]
        group: BatchGroup,
    },
    /// The primary reported that all members are complete.
    #[n(1)]
    BecameActive {
        /// The group's epoch; the change has no effect if another one is current.
        #[n(0)]
        epoch: u64,
    },
    /// Some members became complete, though not yet all.
    #[n(2)]
    MembersInSync {
        /// The group's epoch; the change has no effect if another one is current.
        #[n(0)]
        epoch: u64,
        /// The members' disks.
        #[n(1)]
        disks: BTreeSet<DiskId>,
    },
}

impl fmt::Display for GroupChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "group {}: {}", self.id, self.step)
    }
}

impl fmt::Display for GroupStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GroupStep::Replace { group, .. } => show_group(group, f),
            GroupStep::BecameActive { epoch } => write!(f, "epoch {epoch} is active"),
            GroupStep::MembersInSync { epoch, disks } => {
                write!(
                    f,
                    "{} more members are complete in epoch {epoch}",
                    disks.len()
                )
            }
        }
    }
}

/// Formats a group by the names of its machines, the primary first.
fn show_group(group: &BatchGroup, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    let primary = group
        .primary_member()
        .map_or("nobody", |member| member.node.node.as_str());
    write!(f, "epoch {}, primary {primary}", group.epoch)?;
    for member in group
        .members
        .iter()
        .filter(|member| member.disk != group.primary)
    {
        write!(f, ", member {}", member.node.node)?;
    }
    for learner in &group.learners {
        write!(f, ", learner {}", learner.node.node)?;
    }
    Ok(())
}

/// A batch group and the state of its members.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupState {
    /// The group in its current epoch.
    pub group: Arc<BatchGroup>,
    /// Disks of the complete members: they have everything that was acknowledged in any epoch. Only these may become primary.
    pub complete: BTreeSet<DiskId>,
    /// Newest epoch whose primary reported that all members are complete; 0 before the first.
    pub active_epoch: u64,
    /// Disks of the former members since `active_epoch`. The current epoch may still need their data.
    pub former_members: BTreeSet<DiskId>,
}

impl GroupState {
    /// A new group. It has no data, so all its members are complete.
    pub fn founded(group: BatchGroup) -> GroupState {
        let complete = group.members.iter().map(|member| member.disk).collect();
        GroupState {
            group: Arc::new(group),
            complete,
            active_epoch: 0,
            former_members: BTreeSet::new(),
        }
    }

    /// Whether all members are known to be complete in the current epoch.
    pub fn is_active(&self) -> bool {
        self.active_epoch == self.group.epoch
    }

    /// Whether a change has an effect and keeps all acknowledged data.
    pub fn is_applicable(&self, step: &GroupStep) -> bool {
        match step {
            GroupStep::Replace {
                previous_epoch,
                group,
            } => self.is_valid_successor(*previous_epoch, group),
            GroupStep::BecameActive { epoch } => {
                *epoch == self.group.epoch && *epoch > self.active_epoch
            }
            GroupStep::MembersInSync { epoch, disks } => self.adds_in_sync_members(*epoch, disks),
        }
    }

    /// Applies a change if it is applicable. Returns whether it was.
    pub fn apply(&mut self, step: GroupStep) -> bool {
        if !self.is_applicable(&step) {
            return false;
        }
        match step {
            GroupStep::Replace { group, .. } => self.replace(group),
            GroupStep::BecameActive { epoch } => self.become_active(epoch),
            // A member in sync with the epoch's primary is complete: no older epoch acknowledges anything any more, and this
            // epoch acknowledges nothing without it.
            GroupStep::MembersInSync { disks, .. } => self.complete.extend(disks),
        }
        true
    }

    /// Whether a disk belongs to a member, a learner, or a former member whose data may still be needed.
    pub fn uses(&self, disk: DiskId) -> bool {
        let mut all = self.group.members.iter().chain(&self.group.learners);
        all.any(|member| member.disk == disk) || self.former_members.contains(&disk)
    }

    /// Whether a group may replace the current one: it has a later epoch and a complete primary, so no acknowledged data is
    /// lost.
    fn is_valid_successor(&self, previous_epoch: u64, group: &BatchGroup) -> bool {
        let is_next = previous_epoch == self.group.epoch && group.epoch > previous_epoch;
        is_next && group.primary_member().is_some() && self.complete.contains(&group.primary)
    }

    /// Whether all disks belong to members of the current epoch and at least one was not known to be complete.
    fn adds_in_sync_members(&self, epoch: u64, disks: &BTreeSet<DiskId>) -> bool {
        let is_member =
            |disk: &DiskId| self.group.members.iter().any(|member| member.disk == *disk);
        epoch == self.group.epoch && disks.iter().all(is_member) && !disks.is_subset(&self.complete)
    }

    fn replace(&mut self, group: BatchGroup) {
        let members: BTreeSet<DiskId> = group.members.iter().map(|member| member.disk).collect();
        self.complete.retain(|disk| members.contains(disk));
        self.former_members
            .extend(self.group.members.iter().map(|member| member.disk));
        self.group = Arc::new(group);
    }

    fn become_active(&mut self, epoch: u64) {
        self.active_epoch = epoch;
        self.former_members.clear();
        self.complete = self
            .group
            .members
            .iter()
            .map(|member| member.disk)
            .collect();
    }
}

/// Whether groups are valid as the first ones: there is at least one, and each has a non-zero epoch and a primary among
/// its members.
pub fn are_valid_initial_groups(groups: &[BatchGroup]) -> bool {
    !groups.is_empty()
        && groups
            .iter()
            .all(|group| group.epoch > 0 && group.primary_member().is_some())
}
