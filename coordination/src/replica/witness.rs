//! The witness and replica side of a member: its answers to candidates and to the primary.
//!
//! Invariants: a member takes part in no epoch below its promise, and promises nothing to other candidates before a
//! lease grant of it has expired. A restart does not lose grants: a restarted member assumes that it granted a lease
//! right before (`resume_as_witness`).

use super::durable::{Entry, StatePosition};
use super::interface::{Epoch, EpochRecord, Member, MemberId, Millis, StateMachine, Version};
use super::message::{
    Heartbeat, HeartbeatAnswer, Install, Installed, Message, PreVote, PreVoteAnswer, Prepare,
    Promise, Rejection, Write, Written,
};
use super::{Replica, FAST_ELECTION_DELAY_MS};

/// Time after a promise during which pre-votes of other candidates are rejected, in milliseconds.
const PRE_VOTE_REJECTION_MS: Millis = 150;
/// Minimum time between a promise to another candidate and an own election, in milliseconds.
const ELECTION_TIMEOUT_MS: Millis = 300;
/// Additional election delay, in milliseconds, of a member without the replicated state: replicas go first.
const STATELESS_ELECTION_DELAY_MS: Millis = 100;

/// A lease grant: until it expires, nothing is promised to other candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Grant {
    /// The primary that holds the lease.
    pub to: MemberId,
    /// The primary's epoch.
    pub epoch: Epoch,
    /// Expiry time of the grant.
    pub until: Millis,
}

impl<S: StateMachine> Replica<S> {
    /// Restores the volatile state of a witness after a restart. It may have granted a lease to the primary of its
    /// record before, which is not on disk, so it acts as if it just had.
    pub(super) fn resume_as_witness(&mut self) {
        let timings = self.settings.timings;
        let Some(record) = self.accepted_record() else {
            return;
        };
        let (number, primary) = (record.number, record.primary);
        if number > 0 {
            self.grant = Some(Grant {
                to: primary,
                epoch: number,
                until: self.now + timings.grant_ms,
            });
        }
        self.election_at = if number == 0 || primary == self.me.id {
            self.random_moment_within(FAST_ELECTION_DELAY_MS)
        } else {
            self.election_moment_after(self.now + timings.grant_ms)
        };
    }

    /// A random time after `moment` for the next election.
    pub(super) fn election_moment_after(&mut self, moment: Millis) -> Millis {
        let pause =
            self.random_moment_within(self.settings.timings.max_candidate_delay_ms) - self.now;
        let holds_state = self
            .accepted_record()
            .is_some_and(|record| record.is_replica(self.me.id));
        moment
            + pause
            + if holds_state {
                0
            } else {
                STATELESS_ELECTION_DELAY_MS
            }
    }

    /// Answers whether this member would promise now. It changes no state.
    pub(super) fn on_pre_vote(&mut self, from: &Member, pre_vote: &PreVote) {
        let wait_ms = self.vote_wait_ms(from.id);
        let answer = PreVoteAnswer {
            attempt: pre_vote.attempt,
            would_promise: wait_ms == 0,
            wait_ms,
            promised: self.durable.promised,
            record: self.durable.record.clone(),
        };
        self.send(from.clone(), Message::PreVoteAnswer(answer));
    }

    /// Promises an epoch that is higher than the last promise, unless a lease granted to another primary has not
    /// expired. A repeated prepare is answered again.
    pub(super) fn on_prepare(&mut self, from: &Member, prepare: &Prepare) {
        self.observe_epoch(prepare.number);
        let is_repeat =
            prepare.number == self.durable.promised && self.durable.promised_to == from.id;
        let grant_expired = self.grant_expires_at(from.id, prepare.released_epoch) <= self.now;
        let is_higher = prepare.number > self.durable.promised;
        if !(is_repeat || is_higher && grant_expired) {
            return self.send_rejection(from, prepare.number);
        }
        if is_higher {
            self.record_promise(from, prepare.number);
        }
        self.send_promise(from, prepare);
    }

    /// Accepts an epoch record, unless a higher epoch, or the same one for another candidate, is promised.
    pub(super) fn on_install(&mut self, from: &Member, install: Install) {
        let record = &install.record;
        let number = record.number;
        self.observe_epoch(number);
        if from.id != record.primary || !self.is_relevant(record) {
            return;
        }
        if self
            .accepted_record()
            .is_some_and(|mine| mine.number == number && mine.primary == from.id)
        {
            return self.send_when_durable(from, Message::Installed(Installed { number }));
        }
        let promised_to_others =
            number == self.durable.promised && self.durable.promised_to != from.id;
        if number < self.durable.promised || promised_to_others || number == 0 {
            return self.send_rejection(from, number);
        }
        if self.lacks_state_for(&install) {
            // The primary includes the state when it sends the message again.
            return;
        }
        self.accept(from, install);
        self.send_when_durable(from, Message::Installed(Installed { number }));
    }

    /// Appends a command of the primary of the accepted record. Versions must be consecutive; a repeated command is
    /// acknowledged again.
    pub(super) fn on_write(&mut self, from: &Member, write: Write) {
        self.observe_epoch(write.epoch);
        let is_from_primary = self.accepted_record().is_some_and(|record| {
            record.number == write.epoch
                && record.primary == from.id
                && record.is_replica(self.me.id)
        });
        if !is_from_primary || self.durable.promised != write.epoch {
            return self.send_rejection(from, write.epoch);
        }
        let accepted = self.durable.accepted_version();
        if write.version == accepted + 1 {
            self.log(Entry::Command {
                version: write.version,
                command: write.command,
            });
        } else if write.version != accepted {
            return;
        }
        let written = Written {
            epoch: write.epoch,
            version: write.version,
        };
        self.send_when_durable(from, Message::Written(written));
    }

    /// Grants or renews the lease of the primary of the record on disk, and commits up to its version.
    pub(super) fn on_heartbeat(&mut self, from: &Member, heartbeat: &Heartbeat) {
        self.observe_epoch(heartbeat.epoch);
        if !self.identity_on_disk {
            return;
        }
        let granted = self.can_grant_lease(from.id, heartbeat.epoch);
        if granted {
            self.grant_lease(from.id, heartbeat.epoch);
            self.commit_up_to_heartbeat(heartbeat.committed);
        }
        let answer = HeartbeatAnswer {
            epoch: heartbeat.epoch,
            sent_at: heartbeat.sent_at,
            granted,
            promised: self.durable.promised,
            promised_to: self.durable.promised_to,
            record_number: self.record_on_disk,
            leaving: self.leaving,
        };
        self.send(from.clone(), Message::HeartbeatAnswer(answer));
    }

    /// Commits up to the version of a heartbeat. The pending command is covered only if it is of the primary's epoch.
    fn commit_up_to_heartbeat(&mut self, version: Version) {
        let number = self.accepted_record().map(|record| record.number);
        if number.is_some() && number == self.durable.state_epoch() {
            self.durable.commit_up_to(version);
        }
    }

    /// Time until this member may vote for the candidate, in milliseconds; 0: now.
    fn vote_wait_ms(&self, candidate: MemberId) -> Millis {
        let rejection_ends = match self.durable.promised_to == candidate {
            true => 0,
            false => self.reject_pre_votes_until,
        };
        self.grant_expires_at(candidate, None)
            .max(rejection_ends)
            .saturating_sub(self.now)
    }

    /// Time from which a promise to this candidate is allowed. A lease released by a hand-over need not expire.
    fn grant_expires_at(&self, candidate: MemberId, released_epoch: Option<Epoch>) -> Millis {
        match self.grant {
            Some(grant)
                if grant.to != candidate
                    && released_epoch.is_none_or(|epoch| epoch < grant.epoch) =>
            {
                grant.until
            }
            _ => 0,
        }
    }

    /// Records a promise. A promise to another candidate ends an own campaign or primary role.
    fn record_promise(&mut self, candidate: &Member, number: Epoch) {
        self.log(Entry::Promised {
            number,
            to: candidate.id,
        });
        if candidate.id != self.me.id {
            self.reject_pre_votes_until = self.now + PRE_VOTE_REJECTION_MS;
            self.election_at = self
                .election_at
                .max(self.election_moment_after(self.now + ELECTION_TIMEOUT_MS));
            self.step_down();
        }
    }

    /// Sends the promise once it is on disk, with the state if it is newer than the candidate's.
    fn send_promise(&mut self, candidate: &Member, prepare: &Prepare) {
        let candidate_position = StatePosition {
            epoch: prepare.state_epoch,
            version: prepare.version,
        };
        let own_position = self.durable.position();
        let is_newer = own_position > candidate_position;
        let promise = Promise {
            number: prepare.number,
            record: self.durable.record.clone(),
            state_record: self.durable.state_record.clone(),
            version: own_position.version,
            state: is_newer.then(|| self.durable.clone_state()),
        };
        self.send_when_durable(candidate, Message::Promise(Box::new(promise)));
    }

    /// Rejects a request, with the promise and record that conflict with it.
    pub(super) fn send_rejection(&mut self, from: &Member, number: Epoch) {
        let rejection = Rejection {
            number,
            promised: self.durable.promised,
            record: self.durable.record.clone(),
        };
        self.send(from.clone(), Message::Rejection(rejection));
    }

    /// Whether the record names this member, or this member already has one. Messages to a former disk at the same
    /// address are ignored.
    fn is_relevant(&self, record: &EpochRecord) -> bool {
        record.member(self.me.id).is_some() || self.durable.record.is_some()
    }

    /// Whether this member is a replica of the record but has neither its initial state nor received it.
    fn lacks_state_for(&self, install: &Install) -> bool {
        let initial_position = StatePosition {
            epoch: Some(install.state_epoch),
            version: install.version,
        };
        install.record.is_replica(self.me.id)
            && install.state.is_none()
            && self.durable.position() != initial_position
    }

    /// Accepts an epoch record. A record of another primary ends an own campaign or primary role.
    fn accept(&mut self, from: &Member, install: Install) {
        self.excluded = !install.record.is_witness(self.me.id);
        let state = install
            .state
            .filter(|_| install.record.is_replica(self.me.id));
        self.log(Entry::Installed {
            record: install.record,
            state,
        });
        if from.id != self.me.id {
            self.election_at = self.election_moment_after(self.now + ELECTION_TIMEOUT_MS);
            self.step_down();
            self.on_successor_installed();
        }
    }

    /// Whether the sender of a heartbeat is the primary of the record on disk, and nothing is promised to others. A
    /// primary with a stalled disk grants itself nothing.
    fn can_grant_lease(&self, primary: MemberId, epoch: Epoch) -> bool {
        let Some(record) = self.accepted_record() else {
            return false;
        };
        let is_primary = record.number == epoch && record.primary == primary;
        let on_disk = self.record_on_disk == Some(epoch);
        let promised_to_others =
            self.durable.promised != epoch && self.durable.promised_to != primary;
        let own_disk_stalls = primary == self.me.id && self.disk_is_stalled();
        is_primary && on_disk && !promised_to_others && !own_disk_stalls
    }

    /// Grants the lease: no promise to other candidates before it expires.
    fn grant_lease(&mut self, primary: MemberId, epoch: Epoch) {
        let until = self.now + self.settings.timings.grant_ms;
        self.grant = Some(Grant {
            to: primary,
            epoch,
            until,
        });
        self.excluded = false;
        if primary != self.me.id {
            self.campaign = None;
            self.election_at = self.election_moment_after(until);
        }
    }
}
