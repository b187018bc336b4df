//! Leader role, the primary of an epoch: synchronizes the other stores, then streams records to them, and computes
//! which records are committed.
//!
//! Invariant: a record is committed only when it is on the disk of every member, and the epoch is active only after
//! all members were in sync and the primary has recorded that on its own disk.

use crate::api::WriteTicket;
use crate::counts::ReplicationCounts;
use crate::group::log::RecordLog;
use crate::group::peer::{Difference, Peer};
use crate::message::Message;
use crate::records::{Entry, SessionId, StreamId};
use crate::state::State;
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::BatchGroup;
use std::collections::{BTreeMap, VecDeque};
use std::ops::Add;

/// Maximum size of the log of records. Beyond it the streams of the most lagging stores are abandoned and these stores
/// are compared again.
const LOG_BYTES: usize = 16 << 20;

/// A record whose write to the primary's own disk is not complete.
#[derive(Debug, Clone, Copy)]
struct Unsynced {
    ticket: WriteTicket,
    index: u64,
}

/// Result of [`Leader::advance`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Advance {
    /// No change other than possibly newly committed records.
    None,
    /// All members are in sync for the first time in this session: an [`Entry::Synced`] must be appended.
    MembersEqual,
    /// The epoch has just become active.
    BecameActive,
}

/// State of a store in the leader role. Records have an index that increases until the process ends.
#[derive(Debug)]
pub struct Leader {
    session: SessionId,
    /// Ticket of the write of the session's start; nothing is sent before it is on disk.
    start_ticket: WriteTicket,
    started: bool,
    peers: BTreeMap<DiskId, Peer>,
    log: RecordLog,
    unsynced: VecDeque<Unsynced>,
    synced: u64,
    /// Index of the [`Entry::Synced`] that records that all members were in sync.
    synced_entry_index: Option<u64>,
    active: bool,
    committed: u64,
    superseded: bool,
    behind: Option<DiskId>,
}

impl Leader {
    /// Creates the leader of a new session. All records up to index `appended` are part of its state.
    pub fn new(
        disk: DiskId,
        group: &BatchGroup,
        session: SessionId,
        start_ticket: WriteTicket,
        appended: u64,
    ) -> Leader {
        let peer = |is_member| Peer::new(is_member, session.epoch, session.session);
        let members = group.members.iter().map(|member| (member.disk, peer(true)));
        let learners = group
            .learners
            .iter()
            .map(|learner| (learner.disk, peer(false)));
        // A store that is listed both as member and as learner is a member.
        let mut peers: BTreeMap<DiskId, Peer> = learners.chain(members).collect();
        peers.remove(&disk);
        Leader {
            session,
            start_ticket,
            started: false,
            peers,
            log: RecordLog::new(appended),
            unsynced: VecDeque::new(),
            synced: appended,
            synced_entry_index: None,
            active: false,
            committed: 0,
            superseded: false,
            behind: None,
        }
    }

    /// Whether the epoch is active and no greater epoch is known.
    pub fn is_active(&self) -> bool {
        self.active && !self.superseded
    }

    /// Index of the newest committed record; 0 before the epoch is active.
    pub fn committed(&self) -> u64 {
        self.committed
    }

    /// Appends a record that was applied to the state and added to the write queue, and returns its index.
    pub fn append(&mut self, entry: Entry, ticket: WriteTicket) -> u64 {
        let index = self.log.push(entry);
        self.unsynced.push_back(Unsynced { ticket, index });
        index
    }

    /// Handles the completion of all writes up to and including `ticket`.
    pub fn on_written(&mut self, ticket: WriteTicket) {
        self.started |= ticket >= self.start_ticket;
        while let Some(unsynced) = self
            .unsynced
            .front()
            .filter(|unsynced| unsynced.ticket <= ticket)
        {
            self.synced = unsynced.index;
            self.unsynced.pop_front();
        }
    }

    /// Handles the answer of another store, and returns the next message to it, if there is one.
    pub fn on_message(
        &mut self,
        now_ms: u64,
        from: DiskId,
        message: Message,
        state: &mut State,
    ) -> Option<Message> {
        let peer = self.peers.get_mut(&from)?;
        match message {
            Message::Differences {
                stream,
                until,
                wanted,
                surplus,
                older,
                active_epoch,
            } => {
                if stream != peer.stream() {
                    return None;
                }
                if peer.is_member && active_epoch > state.progress.synced_epoch {
                    self.behind = Some(from);
                }
                for age in older {
                    if let Some(job) = state.jobs.get_mut(&age.job) {
                        job.learn_age(now_ms, age.age_ms);
                    }
                }
                if self.behind.is_some() {
                    return None;
                }
                peer.differs(
                    now_ms,
                    Difference {
                        until,
                        wanted,
                        surplus,
                    },
                    state,
                )
            }
            Message::Acknowledge { stream, next } => {
                if stream == peer.stream() {
                    peer.acknowledge(now_ms, next);
                }
                None
            }
            Message::NotFollowing { stream } => {
                (stream == peer.stream()).then(|| peer.begin(now_ms, state, &self.log))
            }
            Message::Rejected { known, .. } => {
                self.on_rejected(known);
                None
            }
            Message::Compare { .. } | Message::Entries { .. } => None,
        }
    }

    /// Handles a rejection: another store knows a greater stream or epoch.
    fn on_rejected(&mut self, known: StreamId) {
        if known.epoch > self.session.epoch {
            self.superseded = true;
        }
    }

    /// Messages to send now: new attempts, retransmissions, and entries that fit the windows.
    pub fn messages(&mut self, now_ms: u64, state: &State) -> Vec<(DiskId, Message)> {
        if !self.may_send() {
            return Vec::new();
        }
        self.restart_lagging_streams(now_ms);
        let mut messages = Vec::new();
        for (disk, peer) in &mut self.peers {
            if peer.stream().attempt == 0 {
                messages.push((*disk, peer.begin(now_ms, state, &self.log)));
            }
            if let Some(message) = peer.retry(now_ms, state, &self.log) {
                messages.push((*disk, message));
            }
            messages.extend(
                peer.fill(now_ms, state, &self.log)
                    .into_iter()
                    .map(|message| (*disk, message)),
            );
        }
        messages
    }

    /// Abandons the streams of the most lagging stores if the log is too large.
    fn restart_lagging_streams(&mut self, now_ms: u64) {
        if self.log.bytes() <= LOG_BYTES {
            return;
        }
        let lowest = self.peers.values().map(Peer::released_index).min();
        for peer in self
            .peers
            .values_mut()
            .filter(|peer| Some(peer.released_index()) == lowest)
        {
            peer.restart_later(now_ms);
        }
        self.trim();
    }

    /// Recomputes the committed index from the acknowledgements, and whether the epoch became active.
    pub fn advance(&mut self) -> Advance {
        if !self.may_send() {
            return Advance::None;
        }
        let members = self.peers.values().filter(|peer| peer.is_member);
        let on_all = members
            .map(Peer::acknowledged_index)
            .fold(Some(self.synced), Option::min);
        self.trim();
        let Some(index) = on_all else {
            return Advance::None;
        };
        let Some(synced_entry_index) = self.synced_entry_index else {
            return Advance::MembersEqual;
        };
        if self.synced < synced_entry_index {
            return Advance::None;
        }
        self.committed = self.committed.max(index);
        if self.active {
            return Advance::None;
        }
        self.active = true;
        Advance::BecameActive
    }

    /// Sets the index of the [`Entry::Synced`] of this session. The epoch becomes active only after the primary has
    /// this entry on disk: no store may know the epoch as active while its primary could lose the information that it
    /// was in sync.
    pub fn set_synced_entry_index(&mut self, index: u64) {
        self.synced_entry_index = Some(index);
    }

    /// Drops the records that no store needs any longer.
    fn trim(&mut self) {
        let needed = self.peers.values().map(Peer::released_index).min();
        self.log.trim(needed.unwrap_or(self.log.last()));
    }

    /// Whether the leader may send and commit: not before its session is on disk, and never again once it knows that
    /// another store must lead.
    fn may_send(&self) -> bool {
        self.started && !self.superseded && self.behind.is_none()
    }

    /// Time of the next retransmission; `None` while nothing may be sent.
    pub fn next_retry_ms(&self) -> Option<u64> {
        if !self.may_send() {
            return None;
        }
        self.peers.values().filter_map(Peer::retry_at_ms).min()
    }

    /// Event counts of this session, over all peers.
    pub fn counts(&self) -> ReplicationCounts {
        self.peers
            .values()
            .map(Peer::counts)
            .fold(ReplicationCounts::default(), Add::add)
    }

    /// Learners that have every committed record on disk.
    pub fn learners_in_sync(&self) -> Vec<DiskId> {
        let caught_up = |peer: &Peer| {
            peer.acknowledged_index()
                .is_some_and(|index| index >= self.committed)
        };
        let learners = self
            .peers
            .iter()
            .filter(|(_, peer)| !peer.is_member && caught_up(peer));
        learners.map(|(disk, _)| *disk).collect()
    }

    /// Members that have not acknowledged pending records in time.
    pub fn silent_members(&self, now_ms: u64) -> Vec<DiskId> {
        let silent = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_member && peer.is_silent(now_ms));
        silent.map(|(disk, _)| *disk).collect()
    }

    /// A member that may have acknowledged jobs which this store lacks.
    pub fn behind(&self) -> Option<DiskId> {
        self.behind
    }
}
