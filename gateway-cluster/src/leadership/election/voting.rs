//! Promises and votes of this gateway, for other candidates and for itself.

use super::{ElectionEvent, LatestEpoch, LeaderElection};
use crate::leadership::configuration::ConfigurationMismatch;
use crate::leadership::voter::{VoteRejection, VoteRequest, MAX_EPOCH};
use crate::leadership::MAX_LEASE;
use crate::protocol::Micros;

impl LeaderElection {
    /// The request for votes with which this gateway campaigns.
    pub(super) fn vote_request(&self, epoch: u64) -> VoteRequest {
        VoteRequest {
            holder: self.own,
            epoch,
            lease: self.lease,
            peer_sets: self.peer_sets.report(),
        }
    }

    /// Whether a leader with a later epoch is known, or another leader with the same one.
    fn is_outdated(&self, request: &VoteRequest) -> bool {
        let LatestEpoch {
            epoch: known,
            leader: known_leader,
        } = self.latest_epoch;
        request.epoch < known
            || request.epoch == known
                && known_leader.is_some_and(|known| known != request.holder.name)
    }

    /// Promises the epoch to a candidate, if the rules allow it.
    pub(super) fn promise_to(
        &mut self,
        now: Micros,
        request: &VoteRequest,
    ) -> Result<(), VoteRejection> {
        self.observe_request(request);
        if self.is_outdated(request) {
            return Err(VoteRejection::EpochOutdated(self.latest_epoch.epoch));
        }
        self.voter.promise(now, request, &self.peer_sets)?;
        if request.holder != self.own {
            // Another candidate campaigns: this gateway postpones its own campaign.
            self.campaign_at = self.campaign_at.max(now + self.round_duration());
        }
        Ok(())
    }

    /// Votes for a candidate, if the rules allow it.
    pub(super) fn vote_for(
        &mut self,
        now: Micros,
        request: &VoteRequest,
    ) -> Result<(), VoteRejection> {
        self.observe_request(request);
        if self.is_outdated(request) {
            return Err(VoteRejection::EpochOutdated(self.latest_epoch.epoch));
        }
        let waits = now < self.peer_set_wait_until && !self.peer_sets.is_in_use();
        if waits && request.peer_sets.previous.is_none() && !request.peer_sets.in_use {
            return Err(VoteRejection::Configuration(
                ConfigurationMismatch::ChangeInProgress,
            ));
        }
        self.voter.vote(now, request, &mut self.peer_sets)
    }

    /// Takes over what a request reveals: lease duration, epoch and peer sets.
    fn observe_request(&mut self, request: &VoteRequest) {
        if request.lease <= MAX_LEASE {
            self.voter.observe_lease(request.lease);
        }
        self.highest_seen_epoch = self
            .highest_seen_epoch
            .max(request.epoch.min(MAX_EPOCH - 1));
        let name = request.holder.name;
        let differs = if request.lease != self.lease {
            Some(ElectionEvent::LeaseDiffers(
                name,
                (request.lease / 1000) as u32,
            ))
        } else {
            self.peer_sets
                .admits(request.peer_sets)
                .err()
                .map(|_| ElectionEvent::PeerSetsDiffer(name))
        };
        self.report_incompatibility(name, differs);
    }

    /// Votes for itself, by the same rules as for other candidates.
    pub(super) fn vote_for_itself(&mut self, now: Micros, epoch: u64) {
        if self.vote_for(now, &self.vote_request(epoch)).is_ok() {
            self.votes.add(self.own.name, now, self.lease);
        }
    }
}
