//! The primary of an epoch: brings the other stores up to date, then streams records to them, and knows which records
//! are on every member's disk.

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

/// Records held for stores that lag behind. Beyond it they are compared anew.
const LOG_BYTES: usize = 16 << 20;

/// A record that is on its way to the primary's own disk.
#[derive(Debug, Clone, Copy)]
struct Unsynced {
    ticket: WriteTicket,
    index: u64,
}

/// What a look at the acknowledgements showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Advance {
    /// Nothing beyond the count of committed records.
    None,
    /// All members equal the primary for the first time in this session: that is to be marked.
    MembersEqual,
    /// The epoch has just become active.
    BecameActive,
}

/// The primary's part of a store. Records count by an index that rises over the life of the process.
#[derive(Debug)]
pub struct Leader {
    session: SessionId,
    /// Write of the session's start; nothing is sent before it is on disk.
    start_ticket: WriteTicket,
    started: bool,
    peers: BTreeMap<DiskId, Peer>,
    log: RecordLog,
    unsynced: VecDeque<Unsynced>,
    synced: u64,
    /// Index of the record which marks that all members were made equal.
    synced_entry_index: Option<u64>,
    active: bool,
    committed: u64,
    superseded: bool,
    behind: Option<DiskId>,
}

impl Leader {
    /// The primary of a new session. All records up to `appended` are in its state.
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
        // A store that is listed twice is a member.
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

    /// Whether all members equal this primary and no greater epoch is known.
    pub fn is_active(&self) -> bool {
        self.active && !self.superseded
    }

    /// Index of the newest record that is on every member's disk; 0 before the epoch is active.
    pub fn committed(&self) -> u64 {
        self.committed
    }

    /// Adds a record that was applied to the state and given to the disk.
    pub fn append(&mut self, entry: Entry, ticket: WriteTicket) -> u64 {
        let index = self.log.push(entry);
        self.unsynced.push_back(Unsynced { ticket, index });
        index
    }

    /// All writes up to this one are on disk.
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

    /// The answer of a store.
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
            Message::Refused { known, .. } => {
                self.refused(known);
                None
            }
            Message::Compare { .. } | Message::Entries { .. } => None,
        }
    }

    /// A store knows of something greater.
    fn refused(&mut self, known: StreamId) {
        if known.epoch > self.session.epoch {
            self.superseded = true;
        }
    }

    /// What is to be sent now.
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

    /// Compares anew with the stores that hold back too many records.
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

    /// Takes stock of the acknowledgements.
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

    /// The record with this index marks that all members were made equal. The epoch is active once the primary has it on
    /// disk: nobody may know the epoch as active while its primary could forget that it was its equal.
    pub fn set_synced_entry_index(&mut self, index: u64) {
        self.synced_entry_index = Some(index);
    }

    /// Drops the records that no store needs any more.
    fn trim(&mut self) {
        let needed = self.peers.values().map(Peer::released_index).min();
        self.log.trim(needed.unwrap_or(self.log.last()));
    }

    /// Whether it may send and commit: not before its session is on disk, and never again once it knows that another store
    /// has to lead.
    fn may_send(&self) -> bool {
        self.started && !self.superseded && self.behind.is_none()
    }

    /// When something must be sent again; never, while nothing may be sent.
    pub fn next_retry_ms(&self) -> Option<u64> {
        if !self.may_send() {
            return None;
        }
        self.peers.values().filter_map(Peer::retry_at_ms).min()
    }

    /// What was done for the other stores in this session.
    pub fn counts(&self) -> ReplicationCounts {
        self.peers
            .values()
            .map(Peer::counts)
            .fold(ReplicationCounts::default(), Add::add)
    }

    /// Learners that have caught up.
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

    /// Members for which something has waited for long.
    pub fn silent_members(&self, now_ms: u64) -> Vec<DiskId> {
        let silent = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_member && peer.is_silent(now_ms));
        silent.map(|(disk, _)| *disk).collect()
    }

    /// A member that may hold acknowledged jobs which this store lacks.
    pub fn behind(&self) -> Option<DiskId> {
        self.behind
    }
}
