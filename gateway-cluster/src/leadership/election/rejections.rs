//! Reactions to rejections, to later epochs, and to failed campaigns.

use super::timing::RETRY_INTERVAL;
use super::{ElectionEvent, LeaderElection, Stage};
use crate::leadership::voter::{VoteRejection, MAX_EPOCH};
use crate::leadership::votes::CollectedVotes;
use crate::leadership::wire::Kind;
use crate::leadership::MAX_LEASE;
use crate::peers::PeerId;
use crate::protocol::{Micros, Transmit};
use std::collections::BTreeMap;

impl LeaderElection {
    /// Handles a rejection of a promise or a vote.
    pub(super) fn on_rejection(
        &mut self,
        now: Micros,
        from: PeerId,
        number: u32,
        reason: VoteRejection,
        sends: &mut Vec<Transmit>,
    ) {
        if self.take_request_time(from, number).is_none() {
            return;
        }
        if let VoteRejection::EpochOutdated(epoch) = reason {
            return self.on_outdated_epoch(now, from, epoch, sends);
        }
        let wait = self.wait_after_rejection(now, from, reason);
        let renewal = self.renewal();
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        match &mut self.stage {
            Stage::Preparing { rejected_until, .. }
            | Stage::CollectingVotes { rejected_until, .. } => {
                peer.next_request_at = now + wait.max(RETRY_INTERVAL);
                if wait > RETRY_INTERVAL {
                    rejected_until.insert(from, now + wait);
                }
                let rejected_until = rejected_until.clone();
                self.check_campaign(now, &rejected_until, sends);
            }
            Stage::Leading { .. } => peer.next_request_at = now + wait.min(renewal),
            Stage::Idle | Stage::Paused => {}
        }
    }

    /// Handles a voter that voted in a later epoch. A leader that a majority still renews stays leader.
    fn on_outdated_epoch(
        &mut self,
        now: Micros,
        from: PeerId,
        epoch: u64,
        sends: &mut Vec<Transmit>,
    ) {
        self.highest_seen_epoch = self.highest_seen_epoch.max(epoch.min(MAX_EPOCH - 1));
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.knows_later_epoch = true;
        }
        let is_leader = matches!(self.stage, Stage::Leading { .. });
        let renews = |name: PeerId| {
            let peer = self.peers.get(&name);
            !peer.is_some_and(|peer| peer.knows_later_epoch)
        };
        // A failed candidate raised the epoch at a few voters only.
        if !(is_leader && self.peer_sets.is_majority(renews)) {
            self.on_later_epoch(now, epoch, sends);
        }
    }

    /// The time after which the voter may accept a request.
    fn wait_after_rejection(&mut self, now: Micros, from: PeerId, reason: VoteRejection) -> Micros {
        match reason {
            VoteRejection::QuietPeriod(left_ms) | VoteRejection::PromisedToOther(left_ms) => {
                Micros::from(left_ms) * 1000
            }
            // The voter has not received the release of this lease yet.
            VoteRejection::VotedForOther(holder, _)
                if self.released_lease.is_some_and(|released| {
                    released.holder == holder && now < released.reported_until
                }) =>
            {
                RETRY_INTERVAL
            }
            VoteRejection::VotedForOther(_, left_ms) => {
                // There may be a leader that this gateway does not know.
                self.next_leader_query_at = self.next_leader_query_at.min(now);
                Micros::from(left_ms) * 1000
            }
            VoteRejection::Configuration(_) => {
                self.report_incompatibility(from, Some(ElectionEvent::PeerSetsDiffer(from)));
                self.lease / 2
            }
            VoteRejection::LeaseDuration(lease_ms) => {
                let lease = Micros::from(lease_ms).saturating_mul(1000).min(MAX_LEASE);
                self.voter.observe_lease(lease);
                let event = ElectionEvent::LeaseDiffers(from, lease_ms);
                self.report_incompatibility(from, Some(event));
                self.lease
            }
            VoteRejection::EpochOutdated(_) => 0,
        }
    }

    /// Abandons the campaign if the voters that have not rejected it are no majority any more. The next campaign starts when
    /// enough of the others are free.
    fn check_campaign(
        &mut self,
        now: Micros,
        rejected_until: &BTreeMap<PeerId, Micros>,
        sends: &mut Vec<Transmit>,
    ) {
        let is_open = |name: PeerId| name == self.own.name || !rejected_until.contains_key(&name);
        if self.peer_sets.is_majority(is_open) {
            return;
        }
        let mut ends: Vec<Micros> = rejected_until.values().copied().collect();
        ends.sort_unstable();
        let is_majority_free_at = |end: &Micros| {
            self.peer_sets.is_majority(|name| {
                is_open(name) || rejected_until.get(&name).is_some_and(|at| at <= end)
            })
        };
        let free_at = ends.into_iter().find(is_majority_free_at);
        let free_at = free_at.unwrap_or(now + self.lease);
        self.abandon_campaign(now, sends);
        self.campaign_at = free_at.max(now) + self.random_up_to(RETRY_INTERVAL);
    }

    /// Handles a later epoch: a campaign or lease of an earlier one is ended.
    pub(super) fn on_later_epoch(&mut self, now: Micros, epoch: u64, sends: &mut Vec<Transmit>) {
        match self.stage {
            Stage::Preparing { epoch: own, .. } | Stage::CollectingVotes { epoch: own, .. }
                if epoch >= own =>
            {
                self.abandon_campaign(now, sends);
                self.campaign_at = now + self.random_up_to(RETRY_INTERVAL);
            }
            // The same epoch arrives here only if another gateway had it too.
            Stage::Leading { epoch: own } if epoch >= own => {
                // It campaigns at once for a higher epoch; its voters accept it as the current holder.
                self.record_event(ElectionEvent::Lost(own));
                self.step_down(now);
                self.campaign_at = now;
            }
            _ => {}
        }
    }

    /// Ends a failed campaign and releases the votes that were received.
    pub(super) fn abandon_campaign(&mut self, now: Micros, sends: &mut Vec<Transmit>) {
        if let Stage::CollectingVotes { epoch, .. } = self.stage {
            for to in self.others() {
                if self.votes.contains(to) {
                    self.send(now, to, Kind::Release { epoch, next: to }, sends);
                }
            }
            self.voter.release(self.own, epoch);
        }
        self.step_down(now);
        self.campaign_at = now + self.random_up_to(2 * self.round_duration());
    }

    /// Becomes a follower.
    pub(super) fn step_down(&mut self, now: Micros) {
        (self.stage, self.lease_until, self.votes) = (Stage::Idle, 0, CollectedVotes::default());
        self.schedule_campaign(now);
    }
}
