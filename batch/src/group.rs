//! A store's part in the replication of its group, without I/O.
//!
//! The core names the group under an epoch. The primary first makes each other store equal to itself: it sends digests
//! per job, is told which differ, and sends just these. Once all members equal it, the epoch is active. From then on
//! it streams records; a record is committed when every member has it on disk. Learners get the same stream but
//! nothing waits for them.
//!
//! What makes an acknowledged job outlive its primary:
//!
//! * A store takes nothing under a lower epoch than it knows, whether from the core or from a message. A new primary
//!   is a member of the old epoch, so the old primary can commit nothing more once the new one has started, and
//!   all that it had committed lies on the new primary's disk.
//! * The core may name as the primary only a store that was a member in every epoch from the newest one that it
//!   knows to have been active. A primary that meets a member which knows of an active epoch that the primary itself was
//!   never brought up to date in reports this ([`GroupStatus::behind`](crate::api::GroupStatus::behind)) and does
//!   nothing else.
//! * The core may leave a member out for its silence only if enough others (`tolerate.machines` + 1) remain that live *and*
//!   hold all that was acknowledged: members of every epoch since the newest active one, or members that report
//!   [`GroupStatus::synced`](crate::api::GroupStatus::synced) in the present one. Until then the silent one stays, and
//!   others are added to come to hold all. Where one that holds nothing yet counts instead, the loss of the primary's
//!   disk alone, at the wrong moment, loses acknowledged jobs (found by the simulation).
//! * Streams are numbered (epoch, session, attempt) on disk, so that late or doubled messages of an earlier one, also of an
//!   earlier life of the same primary, are never followed.

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

/// What a store is in its group.
#[derive(Debug)]
enum Role {
    Follower(Follower),
    Leader(Box<Leader>),
}

/// What a call changed for those who build on the replication.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Changes {
    /// This store is no longer the primary, or one of another epoch.
    pub left_leadership: bool,
    /// The epoch has just become active.
    pub became_active: bool,
}

/// A store in its group.
#[derive(Debug)]
pub struct GroupNode {
    disk: DiskId,
    state: State,
    writes: WriteQueue,
    outbox: Vec<(DiskId, Message)>,
    group: Option<Arc<BatchGroup>>,
    known_epoch: u64,
    /// Index of the newest record that was appended as a primary in this life.
    appended: u64,
    role: Role,
    /// The newest epoch in which this store equalled the primary and has that on disk.
    synced_on_disk: u64,
    /// The same, as far as it is on its way to the disk.
    syncing: Option<(WriteTicket, u64)>,
    /// What was done in earlier sessions as a primary.
    past_counts: ReplicationCounts,
}

impl GroupNode {
    /// A store with what its disk held.
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

    /// The jobs and marks.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The jobs and marks, to learn ages and to release requests; records go through [`GroupNode::append`].
    pub fn state_mut(&mut self) -> &mut State {
        &mut self.state
    }

    /// The core's word on the group. An epoch that is not above the known one changes nothing, but for a store that
    /// has just started.
    pub fn set_group(&mut self, group: Arc<BatchGroup>) -> Changes {
        let is_news = self
            .group
            .as_ref()
            .is_none_or(|known| group.epoch > known.epoch);
        if !is_news || group.epoch < self.known_epoch {
            return Changes::default();
        }
        self.known_epoch = group.epoch;
        self.group = Some(group.clone());
        if group.primary != self.disk {
            return self.step_down();
        }
        self.lead(&group);
        Changes::default()
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

    /// Goes over to another role; the counts of a session that ends are kept.
    fn take_role(&mut self, role: Role) {
        self.past_counts = self.counts();
        self.role = role;
    }

    /// What was done in this life to replicate.
    pub fn counts(&self) -> ReplicationCounts {
        match &self.role {
            Role::Follower(_) => self.past_counts,
            Role::Leader(leader) => self.past_counts + leader.counts(),
        }
    }

    /// A message of another store.
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

    /// Notes which write makes it last that this store equalled the primary of an epoch.
    fn record_synced(&mut self) {
        let epoch = self.state.progress.synced_epoch;
        let noted = self.syncing.map_or(self.synced_on_disk, |(_, epoch)| epoch);
        if epoch > noted {
            self.syncing = Some((self.writes.newest_ticket(), epoch));
        }
    }

    /// Whether a stream may be followed; answers it if not. A greater epoch ends this store's own leadership.
    fn follow(&mut self, from: DiskId, stream: StreamId) -> Option<Changes> {
        if stream.epoch < self.known_epoch {
            let known = StreamId {
                epoch: self.known_epoch,
                ..StreamId::default()
            };
            self.outbox.push((from, Message::Refused { stream, known }));
            return None;
        }
        if stream.epoch > self.known_epoch {
            self.known_epoch = stream.epoch;
            return Some(self.step_down());
        }
        Some(Changes::default())
    }

    /// An answer to this store as the primary.
    fn on_answer(&mut self, now_ms: u64, from: DiskId, message: Message) -> Changes {
        if let Role::Leader(leader) = &mut self.role {
            let next = leader.on_message(now_ms, from, message, &mut self.state);
            self.outbox.extend(next.map(|next| (from, next)));
        }
        self.advance()
    }

    /// All writes up to this one are on disk.
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

    /// Takes stock as a primary.
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

    /// Appends a record as the primary; gives its index. `None` if this store is no primary, or the record can't follow.
    pub fn append(&mut self, now_ms: u64, entry: Entry) -> Option<u64> {
        if !self.is_leader() || self.state.apply(now_ms, entry.clone()).is_err() {
            return None;
        }
        self.append_applied(entry)
    }

    /// Appends a mark of the epoch.
    fn append_epoch_entry(&mut self, mark: Entry) {
        // ReplicationProgress concern no job: the time is of no matter, and they always apply.
        let index = self.append(0, mark.clone());
        if let (Role::Leader(leader), Entry::Synced(_), Some(index)) = (&mut self.role, mark, index)
        {
            leader.set_synced_entry_index(index);
        }
    }

    /// Hands a record that was applied to the disk and to the stream.
    fn append_applied(&mut self, entry: Entry) -> Option<u64> {
        let Role::Leader(leader) = &mut self.role else {
            return None;
        };
        let ticket = self.writes.push(&entry);
        self.appended = leader.append(entry, ticket);
        Some(self.appended)
    }

    /// What is to be written and sent now.
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

    /// Whether this store is the primary of the newest epoch that it knows of.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether it is, and the epoch is active.
    pub fn is_active(&self) -> bool {
        matches!(&self.role, Role::Leader(leader) if leader.is_active())
    }

    /// Index of the newest record on every member's disk.
    pub fn committed(&self) -> u64 {
        match &self.role {
            Role::Leader(leader) => leader.committed(),
            Role::Follower(_) => 0,
        }
    }

    /// When something must be sent again.
    pub fn next_retry_ms(&self) -> Option<u64> {
        match &self.role {
            Role::Leader(leader) => leader.next_retry_ms(),
            Role::Follower(_) => None,
        }
    }

    /// What to report to the core.
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
