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
mod install;
mod pre_vote;
mod prepare;
mod resend;

pub(super) use install::Installing;

use super::durable::Entry;
use super::interface::{Epoch, EpochRecord, Member, Millis, StateMachine};
use super::message::Rejection;
use super::settings::Timings;
use super::Replica;
use pre_vote::PreVoting;
use prepare::Preparing;

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
            Campaign::PreVoting(pre_voting) => pre_voting.ends_at(),
            Campaign::Preparing(preparing) => preparing.next_wakeup(timings),
            Campaign::Installing(installing) => installing.next_wakeup(),
        }
    }

    /// When the current step times out.
    fn ends_at(&self) -> Millis {
        match self {
            Campaign::PreVoting(pre_voting) => pre_voting.ends_at(),
            Campaign::Preparing(preparing) => preparing.ends_at,
            Campaign::Installing(installing) => installing.ends_at,
        }
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

    /// Creates the founding record, if this member is one of its witnesses and belongs to no core yet.
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

    /// Ends the campaign if a witness has promised its number, or a higher one, to another candidate.
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

    /// Ends a campaign that timed out, sends due messages again, and checks whether the promises suffice.
    pub(super) fn check_campaign(&mut self) {
        let Some(campaign) = &self.campaign else {
            return;
        };
        if self.now >= campaign.ends_at() {
            if !matches!(campaign, Campaign::PreVoting(_)) {
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
}
