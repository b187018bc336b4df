//! Replication of a group of stores by a primary, as a state machine without I/O. Used by the
//! [`Engine`](crate::engine::Engine).
//!
//! The core decides the group's configuration (primary, members, learners) under an epoch. The primary first
//! synchronizes each other store with itself: it sends a digest per job, receives the ids of the jobs that differ, and
//! sends only these. Once all members are in sync, the epoch is active. From then on the primary streams records; a
//! record is committed when every member has it on disk. Learners receive the same stream, but a commit does not wait
//! for them.
//!
//! Invariants that preserve an acknowledged job when its primary is lost:
//!
//! * A store accepts neither configuration nor messages of a lower epoch than it knows. A new primary is a member of
//!   the old epoch. Therefore the old primary cannot commit anything after the new one has started, and everything
//!   that it had committed is on the new primary's disk.
//! * The core may appoint as primary only a store that was a member in every epoch since the newest one that the core
//!   knows to have been active. If a member knows of an active epoch in which the primary was never in sync, the
//!   primary reports this member ([`GroupStatus::behind`](crate::api::GroupStatus::behind)) and does nothing else.
//! * The core may remove an unresponsive member only if enough other stores (`tolerate.machines` + 1) are alive *and*
//!   have everything that was acknowledged: members of every epoch since the newest active one, or members that report
//!   [`GroupStatus::synced`](crate::api::GroupStatus::synced) in the current one. Until then the unresponsive member
//!   remains, and other stores are added and synchronized. If a store without the data were counted instead, the loss
//!   of the primary's disk alone could lose acknowledged jobs (found by the simulation).
//! * Streams are numbered by epoch, session and attempt, and the numbers are on disk. Therefore delayed or duplicated
//!   messages of an earlier stream, including one of an earlier incarnation of the same primary, are never applied.

pub mod follower;
pub mod leader;
pub mod log;
pub mod peer;
pub mod writes;

use crate::api::{GroupStatus, Output, WriteTicket};
use crate::counts::ReplicationCounts;
use crate::message::Message;
use crate::records::{Entry, SessionId, StreamId};
use crate::state::State;
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::BatchGroup;
use follower::{CompareRequest, Follower};
use leader::{Advance, Leader};
use std::sync::Arc;
use writes::WriteQueue;

/// Role of a store in its group.
#[derive(Debug)]
enum Role {
    Follower(Follower),
    Leader(Box<Leader>),
}

/// Changes of role that a call caused, for the engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Changes {
    /// This store stopped being the primary, or became the primary of another epoch.
    pub left_leadership: bool,
    /// The epoch has just become active.
    pub became_active: bool,
}

/// The replication state machine of one store.
#[derive(Debug)]
pub struct GroupNode {
    disk: DiskId,
    state: State,
    writes: WriteQueue,
    outbox: Vec<(DiskId, Message)>,
    group: Option<Arc<BatchGroup>>,
    known_epoch: u64,
    /// Index of the newest record appended as a primary since this process started.
    appended: u64,
    role: Role,
    /// Newest epoch in which this store was in sync with the primary, as recorded on its disk.
    synced_on_disk: u64,
    /// Pending write of a newer such epoch, with its ticket.
    syncing: Option<(WriteTicket, u64)>,
    /// Event counts of earlier sessions as a primary.
    past_counts: ReplicationCounts,
}

impl GroupNode {
    /// Creates a store with the state restored from its disk.
    pub fn new(disk: DiskId, state: State) -> GroupNode {
        let known_epoch = state.newest_epoch();
        let synced_on_disk = state.progress.synced_epoch;
        GroupNode {
            disk,
            state,
            writes: WriteQueue::default(),
            outbox: Vec::new(),
            group: None,
            known_epoch,
            appended: 0,
            role: Role::Follower(Follower::default()),
            synced_on_disk,
            syncing: None,
            past_counts: ReplicationCounts::default(),
        }
    }

    /// The jobs and the replication progress.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Mutable state, only to raise ages and to release requests; records go through [`GroupNode::append`].
    pub fn state_mut(&mut self) -> &mut State {
        &mut self.state
    }

    /// Applies the group configuration decided by the core. An epoch that is not above the known one is ignored,
    /// except by a store that has just started and has no configuration yet.
    pub fn set_group(&mut self, group: Arc<BatchGroup>) -> Changes {
        let is_newer = self
            .group
            .as_ref()
            .is_none_or(|known| group.epoch > known.epoch);
        if !is_newer || group.epoch < self.known_epoch {
            return Changes::default();
        }
        self.known_epoch = group.epoch;
        let changes = if group.primary == self.disk {
            self.lead(&group);
            Changes::default()
        } else {
            self.step_down()
        };
        self.group = Some(group);
        changes
    }

    /// Starts a session as the primary.
    fn lead(&mut self, group: &BatchGroup) {
        let earlier = self.state.progress.session;
        let session = if earlier.epoch == group.epoch {
            earlier.session + 1
        } else {
            1
        };
        let session = SessionId {
            epoch: group.epoch,
            session,
        };
        self.state.progress.session = session;
        let ticket = self.writes.push(&Entry::SessionStarted(session));
        let leader = Leader::new(self.disk, group, session, ticket, self.appended);
        self.take_role(Role::Leader(Box::new(leader)));
    }

    /// Becomes a follower, if it isn't one.
    fn step_down(&mut self) -> Changes {
        if let Role::Follower(_) = self.role {
            return Changes::default();
        }
        self.take_role(Role::Follower(Follower::default()));
        Changes {
            left_leadership: true,
            became_active: false,
        }
    }

    /// Changes the role and saves the counts of the session that ends.
    fn take_role(&mut self, role: Role) {
        self.past_counts = self.counts();
        self.role = role;
    }

    /// Event counts of replication since this process started.
    pub fn counts(&self) -> ReplicationCounts {
        match &self.role {
            Role::Follower(_) => self.past_counts,
            Role::Leader(leader) => self.past_counts + leader.counts(),
        }
    }

    /// Handles a message of another store.
    pub fn on_message(&mut self, now_ms: u64, from: DiskId, message: Message) -> Changes {
        match message {
            Message::Compare {
                stream,
                after,
                until,
                digests,
            } => {
                let request = CompareRequest {
                    stream,
                    after,
                    until,
                    digests,
                };
                let Some(changes) = self.follow(from, stream) else {
                    return Changes::default();
                };
                let Role::Follower(follower) = &mut self.role else {
                    return changes;
                };
                let answer =
                    follower.compare(now_ms, from, request, &mut self.state, &mut self.writes);
                self.outbox.push((from, answer));
                changes
            }
            Message::Entries {
                stream,
                first,
                entries,
            } => {
                let Some(changes) = self.follow(from, stream) else {
                    return Changes::default();
                };
                let Role::Follower(follower) = &mut self.role else {
                    return changes;
                };
                let answer = follower.entries(
                    now_ms,
                    stream,
                    first,
                    entries,
                    &mut self.state,
                    &mut self.writes,
                );
                self.outbox.extend(answer.map(|answer| (from, answer)));
                self.record_synced();
                changes
            }
            answer => self.on_answer(now_ms, from, answer),
        }
    }

    /// Records which write makes the newest sync with a primary durable.
    fn record_synced(&mut self) {
        let epoch = self.state.progress.synced_epoch;
        let noted = self.syncing.map_or(self.synced_on_disk, |(_, epoch)| epoch);
        if epoch > noted {
            self.syncing = Some((self.writes.newest_ticket(), epoch));
        }
    }

    /// Checks whether a stream may be followed, and rejects it if its epoch is too low. A greater epoch ends this
    /// store's own leadership.
    fn follow(&mut self, from: DiskId, stream: StreamId) -> Option<Changes> {
        if stream.epoch < self.known_epoch {
            let known = StreamId {
                epoch: self.known_epoch,
                ..StreamId::default()
            };
            self.outbox
                .push((from, Message::Rejected { stream, known }));
            return None;
        }
        if stream.epoch > self.known_epoch {
            self.known_epoch = stream.epoch;
            return Some(self.step_down());
        }
        Some(Changes::default())
    }

    /// Handles an answer to this store as the primary.
    fn on_answer(&mut self, now_ms: u64, from: DiskId, message: Message) -> Changes {
        if let Role::Leader(leader) = &mut self.role {
            let next = leader.on_message(now_ms, from, message, &mut self.state);
            self.outbox.extend(next.map(|next| (from, next)));
        }
        self.advance()
    }

    /// Handles the completion of all writes up to and including `ticket`.
    pub fn on_written(&mut self, ticket: WriteTicket) -> Changes {
        if let Some((_, epoch)) = self.syncing.filter(|(syncing, _)| *syncing <= ticket) {
            self.synced_on_disk = epoch;
            self.syncing = None;
        }
        match &mut self.role {
            Role::Follower(follower) => self.outbox.extend(follower.on_written(ticket)),
            Role::Leader(leader) => leader.on_written(ticket),
        }
        self.advance()
    }

    /// As the primary, recomputes which records are committed and whether the epoch is active.
    fn advance(&mut self) -> Changes {
        let Role::Leader(leader) = &mut self.role else {
            return Changes::default();
        };
        let epoch = self.known_epoch;
        match leader.advance() {
            Advance::None => Changes::default(),
            Advance::MembersEqual => {
                self.append_epoch_entry(Entry::Synced(epoch));
                Changes::default()
            }
            Advance::BecameActive => {
                self.append_epoch_entry(Entry::Active(epoch));
                Changes {
                    left_leadership: false,
                    became_active: true,
                }
            }
        }
    }

    /// Appends a record as the primary and returns its index. `None` if this store is not the primary, or the record
    /// contradicts the state.
    pub fn append(&mut self, now_ms: u64, entry: Entry) -> Option<u64> {
        if !self.is_leader() || self.state.apply(now_ms, entry.clone()).is_err() {
            return None;
        }
        self.append_applied(entry)
    }

    /// Appends an entry about the state of the epoch: [`Entry::Synced`] or [`Entry::Active`].
    fn append_epoch_entry(&mut self, mark: Entry) {
        // ReplicationProgress concern no job: the time is of no matter, and they always apply.
        let index = self.append(0, mark.clone());
        if let (Role::Leader(leader), Entry::Synced(_), Some(index)) = (&mut self.role, mark, index)
        {
            leader.set_synced_entry_index(index);
        }
    }

    /// Adds a record that was applied to the write queue and to the stream.
    fn append_applied(&mut self, entry: Entry) -> Option<u64> {
        let Role::Leader(leader) = &mut self.role else {
            return None;
        };
        let ticket = self.writes.push(&entry);
        self.appended = leader.append(entry, ticket);
        Some(self.appended)
    }

    /// Takes the pending writes and messages.
    pub fn take_outputs(&mut self, now_ms: u64) -> Vec<Output> {
        if let Role::Leader(leader) = &mut self.role {
            self.outbox.extend(leader.messages(now_ms, &self.state));
        }
        let mut outputs = Vec::new();
        if let Some((ticket, records)) = self.writes.take() {
            outputs.push(Output::Write { ticket, records });
        }
        outputs.extend(
            self.outbox
                .drain(..)
                .map(|(to, message)| Output::Send { to, message }),
        );
        outputs
    }

    /// Whether this store is the primary of the newest epoch that it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether this store is the primary and the epoch is active.
    pub fn is_active(&self) -> bool {
        matches!(&self.role, Role::Leader(leader) if leader.is_active())
    }

    /// Index of the newest committed record; 0 if this store is not the primary.
    pub fn committed(&self) -> u64 {
        match &self.role {
            Role::Leader(leader) => leader.committed(),
            Role::Follower(_) => 0,
        }
    }

    /// Time of the next retransmission, if one is scheduled.
    pub fn next_retry_ms(&self) -> Option<u64> {
        match &self.role {
            Role::Leader(leader) => leader.next_retry_ms(),
            Role::Follower(_) => None,
        }
    }

    /// Status to report to the core.
    pub fn status(&self, now_ms: u64) -> GroupStatus {
        let epoch = self.known_epoch;
        match &self.role {
            Role::Follower(_) => {
                let synced = epoch > 0 && self.synced_on_disk == epoch;
                GroupStatus {
                    epoch,
                    synced,
                    ..GroupStatus::default()
                }
            }
            Role::Leader(leader) => GroupStatus {
                epoch,
                primary: true,
                active: leader.is_active(),
                synced: false,
                in_sync: if leader.is_active() {
                    leader.learners_in_sync()
                } else {
                    Vec::new()
                },
                silent: leader.silent_members(now_ms),
                behind: leader.behind(),
            },
        }
    }
}
