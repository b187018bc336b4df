//! The primary of an active epoch: heartbeats, the lease, and the observed state of the members.
//!
//! Invariant: the lease ends `lease_ms` after the *sending* of the newest heartbeat that a quorum granted, while each
//! of these witnesses keeps its grant for `grant_ms` after the *receipt*.

use super::campaign::{Campaign, Installing, Purpose};
use super::interface::{
    Epoch, EpochRecord, Member, MemberId, Millis, ProposeError, StateMachine, Token,
};
use super::message::{Heartbeat, HeartbeatAnswer, Install, Message, Write};
use super::Replica;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A joiner that has not repeated its request for this long is removed, in milliseconds.
const JOINER_TIMEOUT_MS: Millis = 1_500;
/// Delay after a failed reconfiguration before the next one, in milliseconds.
const RECONFIGURATION_RETRY_MS: Millis = 50;
/// Time for which a member that did not write a record in time is excluded from the replicas, in milliseconds.
const EXCLUSION_MS: Millis = 500;

/// State of the primary of an active epoch.
#[derive(Debug)]
pub(super) struct Primary {
    /// The active record.
    pub record: EpochRecord,
    /// Number of the first record that this member, without an interruption, has been the primary of.
    pub first_epoch: Epoch,
    /// When the record became active.
    pub activated_at: Millis,
    /// Observed state of the members, by identity.
    pub peers: BTreeMap<MemberId, Peer>,
    /// Members that requested to join.
    pub joiners: BTreeMap<MemberId, Joiner>,
    /// The command in flight.
    pub write: Option<PendingWrite>,
    /// Proposals that wait for the command in flight.
    pub queue: VecDeque<QueuedProposal>,
    /// Set during a hand-over: the primary no longer uses its lease and starts nothing new.
    pub hand_over: Option<HandOverProgress>,
    /// For each member, itself included: sending time of the newest heartbeat that it granted.
    granted: BTreeMap<MemberId, Millis>,
    next_heartbeat: Millis,
    reconfigure_at: Millis,
}

/// State of another member as observed by the primary.
#[derive(Debug, Clone, Default)]
pub(super) struct Peer {
    /// When it last responded.
    pub last_response_at: Millis,
    /// Since when it has responded without a gap of `replica_timeout_ms`.
    pub responsive_since: Millis,
    /// Number of the newest epoch record that it has on disk.
    pub record_number: Option<Epoch>,
    /// The epoch that it has promised.
    pub promised: Epoch,
    /// The candidate to which it promised.
    pub promised_to: MemberId,
    /// When it announced that its process shuts down.
    pub leaving_since: Option<Millis>,
    /// Until then it is not selected as a replica.
    pub excluded_until: Millis,
}

/// A member that requested to join.
#[derive(Debug, Clone)]
pub(super) struct Joiner {
    pub member: Member,
    /// When it last requested to join.
    pub last_request_at: Millis,
    /// Whether it has answered a heartbeat since its request, which shows that the request is not a delayed message of
    /// a lost disk.
    pub has_answered: bool,
}

/// A proposal that waits for the command in flight.
#[derive(Debug)]
pub(super) struct QueuedProposal {
    pub token: Token,
    pub request: Vec<u8>,
    pub since: Millis,
}

/// The command in flight.
#[derive(Debug)]
pub(super) struct PendingWrite {
    pub token: Token,
    pub since: Millis,
    pub next_send: Millis,
    /// The replicas that have it on disk.
    pub written: BTreeSet<MemberId>,
    pub message: Write,
}

/// Progress of a hand-over.
#[derive(Debug, Clone, Copy)]
pub(super) struct HandOverProgress {
    /// When it began.
    pub since: Millis,
    /// When the next [`Message::HandOver`] is due.
    pub next_send: Millis,
    /// Number of [`Message::HandOver`] sent so far.
    pub send_count: usize,
}

impl Peer {
    /// Whether its process is shutting down, or has exited and not returned.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Updates `leaving_since` from a heartbeat answer. An answer to a heartbeat sent before the member announced its
    /// shutdown does not show that it has returned.
    fn update_leaving(&mut self, leaves: bool, sent_at: Millis, now: Millis) {
        if leaves {
            self.leaving_since = Some(now);
        } else if self
            .leaving_since
            .is_some_and(|leaving_since| sent_at > leaving_since)
        {
            self.leaving_since = None;
        }
    }
}

impl Primary {
    fn new(record: EpochRecord, now: Millis) -> Self {
        Primary {
            first_epoch: record.number,
            record,
            activated_at: now,
            peers: BTreeMap::new(),
            joiners: BTreeMap::new(),
            write: None,
            queue: VecDeque::new(),
            hand_over: None,
            granted: BTreeMap::new(),
            next_heartbeat: now,
            reconfigure_at: now,
        }
    }

    /// Expiry time of the lease; 0 during a hand-over or without a quorum.
    pub(super) fn lease_until(&self, lease_ms: Millis) -> Millis {
        if self.hand_over.is_some() {
            return 0;
        }
        let granted = self.record.quorum_time(|id| self.granted.get(&id).copied());
        granted.map_or(0, |sent_at| sent_at + lease_ms)
    }

    /// Updates the response times of a member.
    fn record_response(&mut self, id: MemberId, now: Millis, max_delay_ms: Millis) -> &mut Peer {
        let peer = self.peers.entry(id).or_default();
        if peer.last_response_at + max_delay_ms <= now {
            peer.responsive_since = now;
        }
        peer.last_response_at = now;
        peer
    }
}

impl<S: StateMachine> Replica<S> {
    /// Starts the epoch of a record that has become active.
    pub(super) fn activate(&mut self, installing: Installing) {
        let now = self.now;
        self.durable.commit_up_to(installing.version());
        self.predecessor_epoch = None;
        self.attempts_timed_out = 0;
        let time_since_response = self.settings.timings.replica_timeout_ms;
        let mut primary = self
            .primary
            .take()
            .unwrap_or_else(|| Primary::new(installing.record.clone(), now));
        primary.record = installing.record;
        primary.activated_at = now;
        primary.next_heartbeat = now;
        primary.reconfigure_at = now;
        for id in installing.installed {
            primary
                .record_response(id, now, time_since_response)
                .record_number = Some(primary.record.number);
        }
        let is_witness = |id: &MemberId| primary.record.is_witness(*id);
        primary.joiners.retain(|id, _| !is_witness(id));
        self.primary = Some(primary);
        self.finish_write_of_previous_epoch();
    }

    /// Ends the primary role and any campaign; fails all pending proposals.
    pub(super) fn step_down(&mut self) {
        self.campaign = None;
        self.predecessor_epoch = None;
        let Some(primary) = self.primary.take() else {
            return;
        };
        if let Some(write) = primary.write {
            self.fail_proposal(write.token, ProposeError::Unknown);
        }
        for proposal in primary.queue {
            self.fail_proposal(proposal.token, ProposeError::NotPrimary);
        }
        let retry = self.election_moment_after(self.now + self.settings.timings.grant_ms);
        if self.election_at <= self.now {
            self.election_at = retry;
        }
    }

    /// Registers a request to join. The next heartbeat is sent at once, to see whether the member answers.
    pub(super) fn on_join(&mut self, member: Member) {
        let now = self.now;
        let Some(primary) = &mut self.primary else {
            return;
        };
        if primary.record.is_witness(member.id) || primary.hand_over.is_some() {
            return;
        }
        let joiner = primary.joiners.entry(member.id).or_insert(Joiner {
            member,
            last_request_at: now,
            has_answered: false,
        });
        joiner.last_request_at = now;
        if !joiner.has_answered {
            primary.next_heartbeat = now;
        }
    }

    /// Updates the observed state of a member and extends the lease, or sends the member the active record.
    pub(super) fn on_heartbeat_answer(&mut self, from: &Member, answer: &HeartbeatAnswer) {
        self.observe_epoch(answer.promised);
        let (now, time_since_response) = (self.now, self.settings.timings.replica_timeout_ms);
        let Some(primary) = &mut self.primary else {
            return;
        };
        if let Some(joiner) = primary.joiners.get_mut(&from.id) {
            joiner.has_answered = true;
        }
        let peer = primary.record_response(from.id, now, time_since_response);
        peer.record_number = answer.record_number;
        peer.promised = answer.promised;
        peer.promised_to = answer.promised_to;
        peer.update_leaving(answer.leaving, answer.sent_at, now);
        if answer.granted && answer.epoch == primary.record.number {
            let newest = primary.granted.entry(from.id).or_default();
            *newest = (*newest).max(answer.sent_at);
        } else {
            self.maybe_send_record(from);
        }
    }

    /// Marks a member as shutting down.
    pub(super) fn on_member_leaving(&mut self, from: &Member) {
        if let Some(peer) = self
            .primary
            .as_mut()
            .and_then(|primary| primary.peers.get_mut(&from.id))
        {
            peer.leaving_since = Some(self.now);
        }
    }

    /// Runs the periodic tasks of the primary.
    pub(super) fn check_primary(&mut self) {
        if self.primary.is_none() {
            return;
        }
        self.check_health();
        self.check_hand_over();
        self.send_heartbeats();
        self.expire_joiners();
        self.resend_write();
        self.expire_proposals();
        self.check_epoch();
    }

    /// When [`Replica::check_primary`] is due.
    pub(super) fn primary_wakeup(&self, primary: &Primary) -> Millis {
        let stall = self
            .writes
            .stall_deadline(self.settings.timings.disk_stall_timeout_ms);
        let write = primary.write.as_ref().map(|write| write.next_send);
        let hand_over = primary.hand_over.map(|hand_over| hand_over.next_send);
        let later = [stall.filter(|at| *at > self.now), write, hand_over];
        let heartbeat = primary
            .hand_over
            .is_none()
            .then_some(primary.next_heartbeat);
        later
            .into_iter()
            .chain([heartbeat])
            .flatten()
            .min()
            .unwrap_or(Millis::MAX)
    }

    /// Schedules the next reconfiguration after a failed one, and excludes the replicas that did not write its record
    /// in time.
    pub(super) fn reconfiguration_failed(&mut self, failed: Option<Campaign>) {
        let (now, me) = (self.now, self.me.id);
        let Some(primary) = &mut self.primary else {
            return;
        };
        primary.reconfigure_at = now + RECONFIGURATION_RETRY_MS;
        let Some(Campaign::Installing(installing)) = failed else {
            return;
        };
        for id in installing.record.replicas {
            if id != me && !installing.installed.contains(&id) {
                primary.joiners.remove(&id);
                primary.peers.entry(id).or_default().excluded_until = now + EXCLUSION_MS;
            }
        }
    }

    /// Whether the lease expired `resign_delay_ms` ago without a quorum's answer, so that others may be about to take
    /// over.
    pub(super) fn has_lost_quorum(&self) -> bool {
        let timings = self.settings.timings;
        let Some(primary) = &self.primary else {
            return false;
        };
        let lease_until = primary
            .lease_until(timings.lease_ms)
            .max(primary.activated_at + timings.lease_ms);
        primary.hand_over.is_none() && self.now >= lease_until + timings.resign_delay_ms
    }

    /// Sends heartbeats, if due, to all members and joiners.
    fn send_heartbeats(&mut self) {
        let heartbeat_interval_ms = self.settings.timings.heartbeat_interval_ms;
        let committed = self.durable.version();
        let Some(primary) = &mut self.primary else {
            return;
        };
        if self.now < primary.next_heartbeat || primary.hand_over.is_some() {
            return;
        }
        primary.next_heartbeat = self.now + heartbeat_interval_ms;
        let heartbeat = Heartbeat {
            epoch: primary.record.number,
            sent_at: self.now,
            committed,
        };
        let joiners = primary.joiners.values().map(|joiner| &joiner.member);
        let recipients: Vec<Member> = primary.record.voters().chain(joiners).cloned().collect();
        for member in recipients {
            self.send(member, Message::Heartbeat(heartbeat.clone()));
        }
    }

    /// Sends the active record to a witness that does not have it. It may become a replica only with the next
    /// reconfiguration.
    fn maybe_send_record(&mut self, to: &Member) {
        let Some(primary) = &self.primary else { return };
        let record = &primary.record;
        let is_behind = primary
            .peers
            .get(&to.id)
            .is_some_and(|peer| peer.record_number < Some(record.number));
        if is_behind && record.is_witness(to.id) && !record.is_replica(to.id) {
            let install = Install {
                record: record.clone(),
                state_epoch: record.number,
                version: self.durable.accepted_version(),
                state: None,
            };
            self.send(to.clone(), Message::Install(Box::new(install)));
        }
    }

    /// Removes joiners that no longer repeat their request.
    fn expire_joiners(&mut self) {
        let now = self.now;
        if let Some(primary) = &mut self.primary {
            primary
                .joiners
                .retain(|_, joiner| now < joiner.last_request_at + JOINER_TIMEOUT_MS);
        }
    }

    /// Starts the next command, or a reconfiguration if one is needed first.
    fn check_epoch(&mut self) {
        let holds_lease = self.holds_lease(self.now);
        let time_since_response = self.settings.timings.replica_timeout_ms;
        let Some(primary) = &self.primary else { return };
        if self.campaign.is_some() || !holds_lease {
            return;
        }
        let number_is_superseded = self.durable.promised != primary.record.number;
        if self.now >= primary.reconfigure_at && self.wants_reconfiguration() {
            let write_is_stuck = primary
                .write
                .as_ref()
                .is_some_and(|write| self.now >= write.since + time_since_response);
            if primary.write.is_none() || write_is_stuck || number_is_superseded {
                self.start_prepare(Purpose::Reconfigure);
            }
        } else if !number_is_superseded {
            self.start_next_command();
        }
    }
}
