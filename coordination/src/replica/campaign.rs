//! Campaigns: attempts to start a new epoch, in three steps.
//!
//! 1. Pre-vote: ask the witnesses whether they would promise, without changing their state (section 9.6 of Ongaro's
//!    Raft thesis).
//! 2. Prepare: obtain promises (phase 1 of Paxos), and choose the base record and state from them.
//! 3. Install: have the new epoch record accepted by its members (phase 2). Once it is active, this member is the
//!    primary.
//!
//! A primary that changes its own configuration skips the pre-vote, and so does the successor of a hand-over.
//! Invariant: a campaign installs one record only under its number, so that an epoch has one primary.

use super::base::{choose_base, Base};
use super::durable::Entry;
use super::epoch_rules;
use super::interface::{Epoch, EpochRecord, Member, MemberId, Millis, StateMachine, Version};
use super::message::{
    Install, Installed, Message, PreVote, PreVoteAnswer, Prepare, Promise, Rejection, StateCopy,
};
use super::settings::Timings;
use super::Replica;
use std::collections::{BTreeMap, BTreeSet};

/// Timeout of a pre-vote, in milliseconds.
const PRE_VOTE_MS: Millis = 150;
/// Minimum delay before a failed candidate starts another campaign, in milliseconds.
const MIN_CAMPAIGN_RETRY_MS: Millis = 30;
/// The timeout of an attempt and the interval between its messages double at most this many times.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;

/// An attempt to start an epoch.
#[derive(Debug)]
pub(super) enum Campaign {
    /// Waits for answers to the pre-vote.
    PreVoting(PreVoting),
    /// Collects promises.
    Preparing(Preparing),
    /// Waits until the members have the new record on disk.
    Installing(Box<Installing>),
}

/// State of a pre-vote.
#[derive(Debug)]
pub(super) struct PreVoting {
    attempt: u64,
    started: Millis,
    answers: BTreeMap<MemberId, PreVoteAnswer>,
}

/// State of the prepare step.
#[derive(Debug)]
pub(super) struct Preparing {
    number: Epoch,
    purpose: Purpose,
    ends_at: Millis,
    resends: ResendSchedule,
    /// Since when the promises suffice. Further promises may add replicas.
    quorum_since: Option<Millis>,
    voters: BTreeMap<MemberId, Member>,
    promises: BTreeMap<MemberId, Promise>,
}

/// State of the install step.
#[derive(Debug)]
pub(super) struct Installing {
    pub record: EpochRecord,
    base: Base,
    state: StateCopy,
    ends_at: Millis,
    resends: ResendSchedule,
    sent_to: BTreeSet<MemberId>,
    pub installed: BTreeSet<MemberId>,
}

/// Times at which the messages of an attempt are sent again. The interval doubles each time, so that resent messages do
/// not overload slow members.
#[derive(Debug, Clone, Copy)]
struct ResendSchedule {
    next: Millis,
    delay_ms: Millis,
    max_delay_ms: Millis,
}

impl ResendSchedule {
    /// First due now, then after `first_delay_ms` milliseconds.
    fn new(now: Millis, first_delay_ms: Millis) -> ResendSchedule {
        ResendSchedule {
            next: now,
            delay_ms: first_delay_ms,
            max_delay_ms: first_delay_ms << MAX_BACKOFF_DOUBLINGS,
        }
    }

    /// Whether messages are due now. If so, schedules the next ones after a longer interval.
    fn take_due(&mut self, now: Millis) -> bool {
        if now < self.next {
            return false;
        }
        self.next = now + self.delay_ms;
        self.delay_ms = (2 * self.delay_ms).min(self.max_delay_ms);
        true
    }
}

/// Why a new epoch is started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    /// There is no primary.
    TakeOver,
    /// The primary of the active record, up to this epoch, handed over to this member.
    Succeed(Epoch),
    /// The primary changes replicas or members, or another candidate has claimed a higher number.
    Reconfigure,
}

impl Campaign {
    /// When [`Replica::check_campaign`] is due.
    pub(super) fn next_wakeup(&self, timings: &Timings) -> Millis {
        match self {
            Campaign::PreVoting(pre_voting) => pre_voting.started + PRE_VOTE_MS,
            Campaign::Preparing(preparing) => {
                let gathering_ends = preparing
                    .quorum_since
                    .map_or(Millis::MAX, |since| since + timings.promise_gathering_ms);
                preparing
                    .resends
                    .next
                    .min(preparing.ends_at)
                    .min(gathering_ends)
            }
            Campaign::Installing(installing) => installing.resends.next.min(installing.ends_at),
        }
    }
}

impl Preparing {
    /// Whether all members that the new epoch may name have promised.
    fn has_all_promises(&self, base: &EpochRecord) -> bool {
        base.everyone()
            .all(|member| self.promises.contains_key(&member.id))
    }
}

impl Installing {
    /// Version of the initial state. All commands up to it are committed once the record is active.
    pub(super) fn version(&self) -> Version {
        self.base.version
    }

    /// Whether the new record is active.
    fn is_active(&self) -> bool {
        epoch_rules::is_active(&self.record, |id| self.installed.contains(&id))
    }

    /// The members to which the record is sent now.
    fn recipients(&self) -> Vec<Member> {
        epoch_rules::recipients(&self.record, &self.base.record, |id| {
            self.installed.contains(&id)
        })
    }

    /// The message for one member. A member that has the state already receives it only when the message is sent again.
    fn message_for(&self, id: MemberId) -> Message {
        let holds_it = self.base.state_holders.contains(&id) && !self.sent_to.contains(&id);
        let needs_it = self.record.is_replica(id) && !holds_it;
        Message::Install(Box::new(Install {
            record: self.record.clone(),
            state_epoch: self.base.record.number,
            version: self.base.version,
            state: needs_it.then(|| self.state.clone()),
        }))
    }
}

impl<S: StateMachine> Replica<S> {
    /// Whether this member may start an election.
    pub(super) fn may_campaign(&self) -> bool {
        let is_witness = self
            .accepted_record()
            .is_some_and(|record| record.is_witness(self.me.id));
        let idle = self.campaign.is_none() && self.primary.is_none();
        is_witness && idle && !self.excluded && !self.leaving && !self.disk_is_stalled()
    }

    pub(super) fn on_found(&mut self, witnesses: Vec<Member>) {
        let founds = witnesses.iter().any(|member| member.id == self.me.id);
        if founds && self.may_found() {
            let record = EpochRecord::founding(witnesses);
            self.log(Entry::Installed {
                record,
                state: None,
            });
            self.resume_as_witness();
        }
    }

    pub(super) fn start_pre_vote(&mut self) {
        let Some(record) = self.durable.record.clone() else {
            return;
        };
        if let Some(epoch) = self.predecessor_epoch {
            return self.start_prepare(Purpose::Succeed(epoch));
        }
        let attempt = self.rng.rand_u64();
        let pre_voting = PreVoting {
            attempt,
            started: self.now,
            answers: BTreeMap::new(),
        };
        self.campaign = Some(Campaign::PreVoting(pre_voting));
        for member in record.everyone() {
            self.send(member.clone(), Message::PreVote(PreVote { attempt }));
        }
    }

    pub(super) fn start_prepare(&mut self, purpose: Purpose) {
        let Some(record) = self.durable.record.clone() else {
            return;
        };
        self.highest_seen = self.highest_seen.max(self.durable.promised) + 1;
        let mut preparing = Preparing {
            number: self.highest_seen,
            purpose,
            ends_at: self.now + self.attempt_timeout_ms(),
            resends: ResendSchedule::new(self.now, self.settings.timings.resend_interval_ms),
            quorum_since: None,
            voters: BTreeMap::new(),
            promises: BTreeMap::new(),
        };
        preparing
            .voters
            .extend(record.everyone().map(|member| (member.id, member.clone())));
        self.campaign = Some(Campaign::Preparing(preparing));
        self.check_campaign();
    }

    pub(super) fn on_pre_vote_answer(&mut self, from: &Member, answer: PreVoteAnswer) {
        self.observe_epoch(answer.promised);
        if let Some(record) = &answer.record {
            self.observe_record(record);
        }
        let Some(Campaign::PreVoting(pre_voting)) = &mut self.campaign else {
            return;
        };
        if pre_voting.attempt != answer.attempt {
            return;
        }
        pre_voting.answers.insert(from.id, answer);
        if self.excluded {
            self.campaign = None;
        } else if self.pre_vote_is_won() {
            self.start_prepare(Purpose::TakeOver);
        }
    }

    pub(super) fn on_promise(&mut self, from: &Member, promise: Promise) {
        if let Some(record) = &promise.record {
            self.observe_record(record);
        }
        let Some(Campaign::Preparing(preparing)) = &mut self.campaign else {
            return;
        };
        if preparing.number != promise.number {
            return;
        }
        let named = promise.record.iter().flat_map(EpochRecord::everyone);
        let others = named.filter(|member| !preparing.voters.contains_key(&member.id));
        let others: Vec<Member> = others.cloned().collect();
        if !others.is_empty() {
            preparing
                .voters
                .extend(others.into_iter().map(|member| (member.id, member)));
            preparing.resends.next = self.now;
        }
        preparing.promises.insert(from.id, promise);
        if self.excluded {
            return self.fail_campaign();
        }
        self.check_promises();
    }

    pub(super) fn on_rejection(&mut self, rejection: &Rejection) {
        self.observe_epoch(rejection.promised);
        if let Some(record) = &rejection.record {
            self.observe_record(record);
        }
        let number = match &self.campaign {
            Some(Campaign::Preparing(preparing)) => preparing.number,
            Some(Campaign::Installing(installing)) => installing.record.number,
            _ => return,
        };
        if number == rejection.number && rejection.promised >= number {
            self.fail_campaign();
        }
    }

    pub(super) fn on_installed(&mut self, from: &Member, installed: &Installed) {
        let Some(Campaign::Installing(installing)) = &mut self.campaign else {
            return;
        };
        if installing.record.number != installed.number {
            return;
        }
        installing.installed.insert(from.id);
        if !installing.is_active() {
            return self.maybe_send_to_existing_members();
        }
        if let Some(Campaign::Installing(installing)) = self.campaign.take() {
            self.activate(*installing);
        }
    }

    /// Sends the record to the other members once all new members have it.
    fn maybe_send_to_existing_members(&mut self) {
        let Some(Campaign::Installing(installing)) = &mut self.campaign else {
            return;
        };
        if installing
            .recipients()
            .iter()
            .any(|member| !installing.sent_to.contains(&member.id))
        {
            installing.resends.next = self.now;
            self.send_installs();
        }
    }

    /// Ends a campaign that timed out, sends due messages again, and checks whether the promises suffice.
    pub(super) fn check_campaign(&mut self) {
        let ends_at = match &self.campaign {
            None => return,
            Some(Campaign::PreVoting(pre_voting)) => pre_voting.started + PRE_VOTE_MS,
            Some(Campaign::Preparing(preparing)) => preparing.ends_at,
            Some(Campaign::Installing(installing)) => installing.ends_at,
        };
        if self.now >= ends_at {
            if !matches!(self.campaign, Some(Campaign::PreVoting(_))) {
                self.attempts_timed_out = self.attempts_timed_out.saturating_add(1);
            }
            return self.fail_campaign();
        }
        self.send_prepares();
        self.send_installs();
        self.check_promises();
    }

    /// Timeout of the next attempt. It doubles after each attempt that timed out, because its answers may still be in
    /// flight.
    fn attempt_timeout_ms(&self) -> Millis {
        self.settings.timings.attempt_timeout_ms
            << self.attempts_timed_out.min(MAX_BACKOFF_DOUBLINGS)
    }

    /// Ends a failed campaign. A candidate retries after a random delay; a primary schedules another reconfiguration.
    pub(super) fn fail_campaign(&mut self) {
        let failed = self.campaign.take();
        if self.primary.is_some() {
            return self.reconfiguration_failed(failed);
        }
        if self.predecessor_epoch.is_some() {
            self.election_at = self.now + MIN_CAMPAIGN_RETRY_MS;
            return;
        }
        let wait = match &failed {
            Some(Campaign::PreVoting(pre_voting)) => pre_voting.min_wait_ms(),
            _ => 0,
        };
        self.election_at = self.election_moment_after(self.now + wait.max(MIN_CAMPAIGN_RETRY_MS));
    }

    /// Marks this member as excluded if a newer record does not name it as a witness.
    fn observe_record(&mut self, record: &EpochRecord) {
        self.observe_epoch(record.number);
        let is_newer = self
            .accepted_record()
            .is_some_and(|mine| record.number > mine.number);
        if is_newer {
            self.excluded = !record.is_witness(self.me.id);
        }
    }

    fn pre_vote_is_won(&self) -> bool {
        let Some(Campaign::PreVoting(pre_voting)) = &self.campaign else {
            return false;
        };
        let would_promise = |id| {
            pre_voting
                .answers
                .get(&id)
                .is_some_and(|answer| answer.would_promise)
        };
        let records = pre_voting
            .answers
            .values()
            .filter_map(|answer| answer.record.as_ref());
        let mut records = records.chain(self.accepted_record());
        records.any(|record| record.has_quorum(would_promise))
    }

    fn send_prepares(&mut self) {
        let Some(Campaign::Preparing(preparing)) = &mut self.campaign else {
            return;
        };
        if !preparing.resends.take_due(self.now) {
            return;
        }
        let prepare = Prepare {
            number: preparing.number,
            released_epoch: match preparing.purpose {
                Purpose::Succeed(epoch) => Some(epoch),
                Purpose::TakeOver | Purpose::Reconfigure => None,
            },
            state_epoch: self.durable.state_epoch(),
            version: self.durable.accepted_version(),
        };
        let unanswered = preparing
            .voters
            .values()
            .filter(|member| !preparing.promises.contains_key(&member.id));
        for member in unanswered.cloned().collect::<Vec<_>>() {
            self.send(member, Message::Prepare(prepare.clone()));
        }
    }

    /// Starts the install step once the promises suffice and the time for further promises is over.
    fn check_promises(&mut self) {
        let Some(Campaign::Preparing(preparing)) = &mut self.campaign else {
            return;
        };
        let own_disk_answered = preparing.promises.contains_key(&self.me.id);
        let base = choose_base(&preparing.promises).filter(|_| own_disk_answered);
        let Some(base) = base else {
            preparing.quorum_since = None;
            return;
        };
        let since = *preparing.quorum_since.get_or_insert(self.now);
        if !preparing.has_all_promises(&base.record)
            && self.now < since + self.settings.timings.promise_gathering_ms
        {
            return;
        }
        let Some(Campaign::Preparing(mut preparing)) = self.campaign.take() else {
            return;
        };
        match self.next_record(&preparing, &base) {
            Ok(record) => self.start_install(preparing, base, record),
            Err(CannotBegin::TooFewReplicas) => {
                preparing.quorum_since = Some(self.now);
                self.campaign = Some(Campaign::Preparing(preparing));
            }
            Err(CannotBegin::Superseded) => self.step_down(),
        }
    }

    fn next_record(&self, preparing: &Preparing, base: &Base) -> Result<EpochRecord, CannotBegin> {
        let record = match preparing.purpose {
            Purpose::Reconfigure => self
                .reconfigured_record(&base.record)
                .ok_or(CannotBegin::Superseded)?,
            Purpose::TakeOver => self.takeover_record(preparing, base, None),
            Purpose::Succeed(epoch) => {
                let predecessor = (base.record.number <= epoch).then_some(base.record.primary);
                self.takeover_record(preparing, base, predecessor)
            }
        };
        if record.replicas.len() < self.min_replicas(record.witnesses.len()) {
            return Err(CannotBegin::TooFewReplicas);
        }
        let base_is_active = self
            .primary
            .as_ref()
            .is_some_and(|primary| primary.record == base.record);
        Ok(EpochRecord {
            number: preparing.number,
            primary: self.me.id,
            follows: base.record.number,
            lineage: epoch_rules::lineage(&base.record, base_is_active),
            ..record
        })
    }

    fn takeover_record(
        &self,
        preparing: &Preparing,
        base: &Base,
        predecessor: Option<MemberId>,
    ) -> EpochRecord {
        let promised = |id| preparing.promises.contains_key(&id);
        let min_replicas = self.min_replicas(base.record.witnesses.len());
        epoch_rules::takeover_record(&base.record, promised, predecessor, min_replicas)
    }

    fn start_install(&mut self, mut preparing: Preparing, base: Base, record: EpochRecord) {
        let holder = base
            .state_holders
            .first()
            .and_then(|id| preparing.promises.get_mut(id));
        let copy = match base.state_holders.contains(&self.me.id) {
            true => Some(self.durable.clone_state()),
            false => holder.and_then(|promise| promise.state.take()),
        };
        let Some(state) = copy else {
            return self.fail_campaign();
        };
        self.campaign = Some(Campaign::Installing(Box::new(Installing {
            record,
            base,
            state,
            ends_at: self.now + self.attempt_timeout_ms(),
            resends: ResendSchedule::new(self.now, self.settings.timings.resend_interval_ms),
            sent_to: BTreeSet::new(),
            installed: BTreeSet::new(),
        })));
        self.send_installs();
    }

    fn send_installs(&mut self) {
        let Some(Campaign::Installing(installing)) = &mut self.campaign else {
            return;
        };
        if !installing.resends.take_due(self.now) {
            return;
        }
        let recipients = installing.recipients();
        let messages: Vec<Message> = recipients
            .iter()
            .map(|member| installing.message_for(member.id))
            .collect();
        installing
            .sent_to
            .extend(recipients.iter().map(|member| member.id));
        for (member, message) in recipients.into_iter().zip(messages) {
            self.send(member, message);
        }
    }
}

impl PreVoting {
    /// Time until the first of the witnesses that rejected the pre-vote might vote for this candidate, in milliseconds.
    fn min_wait_ms(&self) -> Millis {
        let waits = self.answers.values().filter(|answer| !answer.would_promise);
        waits.map(|answer| answer.wait_ms).min().unwrap_or_default()
    }
}

/// Reason why an epoch can't be started from the promises received.
enum CannotBegin {
    /// Too few members promised to be replicas.
    TooFewReplicas,
    /// Another member has been primary in a later epoch.
    Superseded,
}
