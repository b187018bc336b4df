//! Reactions to rejections, to later epochs, and to failed campaigns.

use super::timing::RETRY_INTERVAL;
use super::{ElectionEvent, LeaderElection, Stage};
use crate::leadership::voter::{VoteRejection, MAX_EPOCH};
use crate::leadership::votes::CollectedVotes;
use crate::leadership::wire::Kind;
use crate::leadership::MAX_LEASE;
use crate::peers::PeerId;
use crate::protocol::{Micros, Transmit};

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
        let wait = match reason {
            VoteRejection::EpochOutdated(epoch) => {
                self.highest_seen_epoch = self.highest_seen_epoch.max(epoch.min(MAX_EPOCH - 1));
                if let Some(peer) = self.peers.get_mut(&from) {
                    peer.knows_later_epoch = true;
                }
                let is_leader = matches!(self.stage, Stage::Leading { .. });
                let knows_later_epoch = |name: &PeerId| {
                    self.peers
                        .get(name)
                        .is_some_and(|peer| peer.knows_later_epoch)
                };
                if is_leader && self.peer_sets.is_majority(|name| !knows_later_epoch(&name)) {
                    // A failed candidate raised the epoch at a few voters; a majority still renews.
                    return;
                }
                return self.on_later_epoch(now, epoch, sends);
            }
            VoteRejection::QuietPeriod(left) | VoteRejection::PromisedToOther(left) => {
                Micros::from(left) * 1000
            }
            // The voter has not received the release of this lease yet.
            VoteRejection::VotedForOther(holder, _)
                if self
                    .released_lease
                    .is_some_and(|(released, _, until)| released == holder && now < until) =>
            {
                RETRY_INTERVAL
            }
            VoteRejection::VotedForOther(_, left) => {
                // There may be a leader that this gateway does not know.
                self.next_leader_query_at = self.next_leader_query_at.min(now);
                Micros::from(left) * 1000
            }
            VoteRejection::Configuration(_) => {
                self.report_incompatibility(from, Some(ElectionEvent::PeerSetsDiffer(from)));
                self.lease / 2
            }
            VoteRejection::LeaseDuration(ms) => {
                self.voter
                    .observe_lease(Micros::from(ms).saturating_mul(1000).min(MAX_LEASE));
                self.report_incompatibility(from, Some(ElectionEvent::LeaseDiffers(from, ms)));
                self.lease
            }
        };
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
                let open =
                    |name: PeerId| name == self.own.name || !rejected_until.contains_key(&name);
                if !self.peer_sets.is_majority(open) {
                    // Without some of the rejecting voters there is no majority: wait until enough of them are free.
                    let mut ends: Vec<Micros> = rejected_until.values().copied().collect();
                    ends.sort_unstable();
                    let enough = |end: &Micros| {
                        self.peer_sets.is_majority(|name| {
                            open(name) || rejected_until.get(&name).is_some_and(|at| at <= end)
                        })
                    };
                    let end = ends
                        .iter()
                        .find(|end| enough(end))
                        .copied()
                        .unwrap_or(now + self.lease);
                    self.abandon_campaign(now, sends);
                    self.campaign_at = end.max(now) + self.random_up_to(RETRY_INTERVAL);
                }
            }
            Stage::Leading { .. } => peer.next_request_at = now + wait.min(renewal),
            Stage::Idle | Stage::Paused => {}
        }
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
