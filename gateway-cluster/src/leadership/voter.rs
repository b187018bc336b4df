//! The voter of one gateway: its current vote, and the rules for the next one.
//!
//! The safety of the election rests on these rules, on [`super::votes`] and on [`super::configuration`]; the model check
//! (`tests/leadership_model.rs`) runs them through all orders of events. Invariants: a voter votes for one holder at a time
//! until the lease has expired on every clock, and for one holder in each epoch.

use super::configuration::{ConfigurationMismatch, ConfigurationReport, PeerConfiguration};
use super::{longer, LeaseHolder};
use crate::protocol::Micros;
use serde::{Deserialize, Serialize};

/// Maximum epoch that is accepted: JSON represents integers exactly up to this one.
pub const MAX_EPOCH: u64 = 1 << 53;

/// Promises last for this fraction of a lease.
const PROMISES_PER_LEASE: Micros = 4;

/// A vote for a lease holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseVote {
    /// The candidate that received the vote.
    pub holder: LeaseHolder,
    /// The epoch of the vote.
    pub epoch: u64,
    /// Expiry of the vote on this gateway's clock; nobody else receives a vote before.
    pub until: Micros,
}

/// A request for a vote.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct VoteRequest {
    /// The candidate.
    pub holder: LeaseHolder,
    /// The requested epoch.
    pub epoch: u64,
    /// The requested lease duration, in microseconds.
    pub lease: Micros,
    /// The candidate's peer sets.
    pub peer_sets: ConfigurationReport,
}

/// Reason for which a voter rejects a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VoteRejection {
    /// The voter is in its quiet period after a start, for this many more milliseconds: it may have voted before.
    QuietPeriod(u32),
    /// The voter has voted for another holder, for this many more milliseconds.
    VotedForOther(LeaseHolder, u32),
    /// The voter has promised to reject earlier epochs than that of another candidate, for this many more milliseconds.
    PromisedToOther(u32),
    /// The voter has voted for another holder in this or a later epoch; the value is its highest epoch.
    EpochOutdated(u64),
    /// The peer sets do not match.
    Configuration(ConfigurationMismatch),
    /// The voter uses this other lease duration, in milliseconds.
    LeaseDuration(u32),
}

/// The votes of one gateway. Nothing is stored on disk.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseVoter {
    started_at: Micros,
    lease: Micros,
    /// The longest lease duration seen in any request.
    longest_lease: Micros,
    quiet_until: Micros,
    /// The promised epoch and candidate, and the expiry of the promise.
    promised: Option<((u64, LeaseHolder), Micros)>,
    vote: Option<LeaseVote>,
    /// The epoch and the holder of the last vote.
    last_vote: Option<(u64, LeaseHolder)>,
}

fn remaining_ms(until: Micros, now: Micros) -> u32 {
    until
        .saturating_sub(now)
        .div_ceil(1000)
        .min(u64::from(u32::MAX)) as u32
}

impl LeaseVoter {
    /// A voter that starts without state. It may have voted before the start, so it rejects requests for a quiet period of one
    /// lease.
    pub fn new(now: Micros, lease: Micros) -> LeaseVoter {
        let quiet_until = now + longer(lease);
        LeaseVoter {
            started_at: now,
            lease,
            longest_lease: lease,
            quiet_until,
            promised: None,
            vote: None,
            last_vote: None,
        }
    }

    /// Restarts the quiet period: another process voted under this name meanwhile.
    pub fn restart(&mut self, now: Micros) {
        let longest_lease = self.longest_lease;
        *self = LeaseVoter::new(now, self.lease);
        self.observe_lease(longest_lease);
    }

    /// Extends the quiet period to this lease duration: votes before the start may have been for one as long.
    pub fn observe_lease(&mut self, lease: Micros) {
        self.longest_lease = self.longest_lease.max(lease);
        self.quiet_until = self
            .quiet_until
            .max(self.started_at + longer(self.longest_lease));
    }

    /// Remaining time of the quiet period.
    pub fn quiet_time_left(&self, now: Micros) -> Micros {
        self.quiet_until.saturating_sub(now)
    }

    /// The vote that is valid now.
    pub fn current_vote(&self, now: Micros) -> Option<LeaseVote> {
        self.vote.filter(|vote| now < vote.until)
    }

    /// The highest epoch of any vote.
    pub fn highest_epoch(&self) -> u64 {
        self.last_vote.map_or(0, |(epoch, _)| epoch)
    }

    fn check(
        &self,
        now: Micros,
        request: &VoteRequest,
        peer_sets: &PeerConfiguration,
    ) -> Result<(), VoteRejection> {
        if self.quiet_time_left(now) > 0 {
            return Err(VoteRejection::QuietPeriod(remaining_ms(
                self.quiet_until,
                now,
            )));
        }
        if request.lease != self.lease {
            return Err(VoteRejection::LeaseDuration(remaining_ms(self.lease, 0)));
        }
        peer_sets
            .admits(request.peer_sets)
            .map_err(VoteRejection::Configuration)?;
        match self.current_vote(now) {
            Some(vote) if vote.holder != request.holder => Err(VoteRejection::VotedForOther(
                vote.holder,
                remaining_ms(vote.until, now),
            )),
            _ => Ok(()),
        }
    }

    /// Promises to reject earlier epochs for a while, unless there is a vote for another holder. Promises keep two
    /// simultaneous candidates from splitting the votes; safety does not rest on them.
    ///
    /// # Errors
    /// The reason of the rejection.
    pub fn promise(
        &mut self,
        now: Micros,
        request: &VoteRequest,
        peer_sets: &PeerConfiguration,
    ) -> Result<(), VoteRejection> {
        self.check(now, request, peer_sets)?;
        let requested = (request.epoch, request.holder);
        // One holder per epoch, and epochs only increase.
        let epoch_is_taken = self.last_vote.is_some_and(|last| {
            last.0 > requested.0 || last.0 == requested.0 && last.1 != requested.1
        });
        if epoch_is_taken || request.epoch > MAX_EPOCH {
            return Err(VoteRejection::EpochOutdated(self.highest_epoch()));
        }
        if let Some((_, until)) = self
            .promised
            .filter(|(promised, until)| *promised > requested && now < *until)
        {
            return Err(VoteRejection::PromisedToOther(remaining_ms(until, now)));
        }
        self.promised = Some((requested, now + self.lease / PROMISES_PER_LEASE));
        Ok(())
    }

    /// Votes for the candidate. Nobody else receives a vote for the duration of the lease and the clock drift.
    ///
    /// # Errors
    /// The reason of the rejection.
    pub fn vote(
        &mut self,
        now: Micros,
        request: &VoteRequest,
        peer_sets: &mut PeerConfiguration,
    ) -> Result<(), VoteRejection> {
        self.promise(now, request, peer_sets)?;
        let VoteRequest {
            holder,
            epoch,
            lease,
            ..
        } = *request;
        self.vote = Some(LeaseVote {
            holder,
            epoch,
            until: now + longer(lease),
        });
        self.last_vote = Some((epoch, holder));
        peer_sets.on_vote(request.peer_sets);
        Ok(())
    }

    /// Frees the vote of this holder up to this epoch. The vote of a later epoch stays, as the release may be delayed.
    pub fn release(&mut self, holder: LeaseHolder, epoch: u64) {
        self.vote = self
            .vote
            .filter(|vote| vote.holder != holder || vote.epoch > epoch);
    }
}

#[cfg(test)]
mod tests;
