//! Campaigns and renewals. A candidate first requests promises, then votes (the two phases of Paxos' prepare and accept);
//! a leader repeats its vote requests to renew the lease.

use super::timing::RETRY_INTERVAL;
use super::{ElectionEvent, LatestEpoch, LeaderElection, Stage};
use crate::leadership::voter::MAX_EPOCH;
use crate::leadership::votes::CollectedVotes;
use crate::leadership::wire::Kind;
use crate::peers::PeerId;
use crate::protocol::{Micros, Transmit};
use rand::seq::SliceRandom;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of transmissions of one request to one peer during a campaign.
const MAX_ATTEMPTS: u8 = 4;
/// Time, in leases, for which gateways that have all just started wait for peers that none has heard from. Those may be a
/// cluster in service that is not configured with this peer set yet.
const BOOTSTRAP_LEASES: u64 = 20;
/// Maximum number of pending requests to one peer.
const MAX_PENDING_REQUESTS: usize = 4;
/// Number of quick retries of a renewal before the next regular one.
const QUICK_RENEWAL_RETRIES: u8 = 2;

impl LeaderElection {
    /// Starts a campaign, or postpones it for the reasons in [`LeaderElection::campaign_delay`].
    pub(super) fn start_campaign(&mut self, now: Micros, sends: &mut Vec<Transmit>) {
        let delay = self.campaign_delay(now);
        if delay > 0 {
            self.campaign_at = now + delay + self.random_up_to(RETRY_INTERVAL);
            return;
        }
        self.last_campaign_at = Some(now);
        let epoch = self.next_epoch(now);
        (self.votes, self.lease_until) = (CollectedVotes::default(), 0);
        self.stage = Stage::Preparing {
            epoch,
            deadline: now + self.round_timeout(),
            promised: BTreeSet::new(),
            rejected_until: BTreeMap::new(),
        };
        self.schedule_requests_to_all(now);
        if self.promise_to(now, &self.vote_request(epoch)).is_ok() {
            self.count_promise(now, self.own.name);
        }
        self.send_due_requests(now, sends);
    }

    /// The time for which a campaign has no prospect of success; 0 if it may start now.
    fn campaign_delay(&self, now: Micros) -> Micros {
        let quiet = self.voter.quiet_time_left(now);
        if quiet > 0 {
            return quiet;
        }
        let vote = self.voter.current_vote(now);
        if let Some(vote) = vote.filter(|vote| vote.holder != self.own) {
            return vote.until - now;
        }
        if now < self.peer_set_wait_until && !self.peer_sets.is_in_use() {
            return self.peer_set_wait_until - now;
        }
        if self.peer_with_next_peer_set(now).is_some() {
            return self.lease / 2;
        }
        let is_alive = |name| name == self.own.name || self.alive_peers.contains(&name);
        let campaigned_recently = self
            .last_campaign_at
            .is_some_and(|at| now < at + 2 * self.lease);
        // The membership has no reachable majority. It may be wrong, so a campaign starts all the same from time to time.
        if campaigned_recently && !self.peer_sets.is_majority(is_alive) {
            return self.lease / 2;
        }
        if !self.peer_sets.is_majority(|_| true) {
            return self.lease;
        }
        0
    }

    /// The epoch of a new campaign: higher than all known ones, and not below the wall clock.
    fn next_epoch(&self, now: Micros) -> u64 {
        let unix_ms = self.unix_ms.saturating_add((now - self.started_at) / 1000);
        let highest_known = self
            .highest_seen_epoch
            .max(self.latest_epoch.epoch)
            .max(self.voter.highest_epoch());
        (highest_known + 1).max(unix_ms).min(MAX_EPOCH)
    }

    /// Schedules a request to each peer, in random order, those first that are alive in the membership.
    pub(super) fn schedule_requests_to_all(&mut self, now: Micros) {
        let mut names = self.others();
        names.shuffle(&mut self.rng);
        names.sort_by_key(|name| !self.alive_peers.contains(name));
        for (position, name) in names.into_iter().enumerate() {
            if let Some(peer) = self.peers.get_mut(&name) {
                peer.pending_requests.clear();
                peer.knows_later_epoch = false;
                // Times that differ by less than a millisecond keep the order where the budget does not allow all at once.
                (peer.attempts, peer.next_request_at) =
                    (0, now - now.min(1000) + position as Micros * 1000 / 1024);
            }
        }
    }

    /// Sends the requests that are due, as far as the budget allows.
    pub(super) fn send_due_requests(&mut self, now: Micros, sends: &mut Vec<Transmit>) {
        let mut due: Vec<(Micros, PeerId)> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.next_request_at <= now)
            .map(|(name, peer)| (peer.next_request_at, *name))
            .collect();
        due.sort_unstable();
        for (_, name) in due {
            if !self.budget.has(1.0, 0.0) {
                return;
            }
            let Some(number) = self.next_transmission(now, name) else {
                continue;
            };
            let Some(request) = self.request_to(now, name, number) else {
                return;
            };
            self.send(now, name, request, sends);
        }
    }

    /// The number of the request to send to a peer now, which is a new one or that of a retry; `None` if the attempts of a
    /// campaign are used up. Schedules the next transmission.
    fn next_transmission(&mut self, now: Micros, to: PeerId) -> Option<u32> {
        let is_leader = matches!(self.stage, Stage::Leading { .. });
        let renewal = self.renewal();
        let peer = self.peers.get_mut(&to)?;
        if !is_leader && peer.attempts >= MAX_ATTEMPTS {
            peer.next_request_at = Micros::MAX;
            return None;
        }
        // A retry repeats the pending request: the vote counts from the time of its first transmission.
        let pending = peer.pending_requests.back().copied();
        let pending = pending.filter(|(_, sent_at)| now < sent_at + renewal / 2);
        let (number, first_sent_at) = pending.unwrap_or((self.last_request_number, now));
        if pending.is_none() {
            self.last_request_number = self.last_request_number.wrapping_add(1);
            peer.pending_requests.push_back((number, first_sent_at));
            peer.attempts = 0;
            if peer.pending_requests.len() > MAX_PENDING_REQUESTS {
                peer.pending_requests.pop_front();
            }
        }
        peer.attempts += 1;
        let retries_soon = !is_leader || peer.attempts <= QUICK_RENEWAL_RETRIES;
        peer.next_request_at = if retries_soon {
            now + RETRY_INTERVAL.min(renewal)
        } else {
            first_sent_at + renewal
        };
        Some(number)
    }

    /// The request of the current stage; `None` if this gateway neither campaigns nor leads.
    fn request_to(&self, now: Micros, to: PeerId, number: u32) -> Option<Kind> {
        let lease_ms = (self.lease / 1000) as u32;
        match self.stage {
            Stage::Preparing { epoch, .. } => Some(Kind::Prepare {
                number,
                epoch,
                lease_ms,
            }),
            Stage::CollectingVotes { epoch, .. } => Some(Kind::Ask {
                number,
                epoch,
                lease_ms,
                until: None,
            }),
            Stage::Leading { epoch } => Some(Kind::Ask {
                number,
                epoch,
                lease_ms,
                until: self.lease_proof(now, to).map(|proof| proof.until),
            }),
            Stage::Idle | Stage::Paused => None,
        }
    }

    /// Handles a promise.
    pub(super) fn on_promise(
        &mut self,
        now: Micros,
        from: PeerId,
        number: u32,
        sends: &mut Vec<Transmit>,
    ) {
        if matches!(self.stage, Stage::Preparing { .. })
            && self.take_request_time(from, number).is_some()
        {
            self.count_promise(now, from);
            self.send_due_requests(now, sends);
        }
    }

    /// Counts a promise. With a majority the campaign goes on to collect votes.
    fn count_promise(&mut self, now: Micros, from: PeerId) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.next_request_at = Micros::MAX;
        }
        let Stage::Preparing {
            epoch, promised, ..
        } = &mut self.stage
        else {
            return;
        };
        promised.insert(from);
        let epoch = *epoch;
        let peers = &self.peers;
        let in_use = self.peer_sets.is_in_use()
            || promised
                .iter()
                .any(|name| peers.get(name).is_some_and(|peer| peer.peer_set_in_use));
        let may_bootstrap = now >= self.started_at + BOOTSTRAP_LEASES * self.lease
            || peers.values().all(|peer| peer.incarnation != 0);
        if (in_use || may_bootstrap) && self.peer_sets.is_majority(|name| promised.contains(&name))
        {
            let promised = std::mem::take(promised);
            self.stage = Stage::CollectingVotes {
                epoch,
                deadline: now + self.round_timeout(),
                rejected_until: BTreeMap::new(),
            };
            self.schedule_requests_to_all(now);
            for (name, peer) in &mut self.peers {
                // Peers that promised receive their vote request first.
                if !promised.contains(name) {
                    peer.next_request_at += 1;
                }
            }
            self.vote_for_itself(now, epoch);
            self.check_majority(now);
        }
    }

    /// Handles a vote.
    pub(super) fn on_vote(
        &mut self,
        now: Micros,
        from: PeerId,
        number: u32,
        sends: &mut Vec<Transmit>,
    ) {
        if !matches!(
            self.stage,
            Stage::CollectingVotes { .. } | Stage::Leading { .. }
        ) {
            return;
        }
        let Some(requested_at) = self.take_request_time(from, number) else {
            return;
        };
        self.votes.add(from, requested_at, self.lease);
        let renewal = self.renewal();
        let leading_epoch = match self.stage {
            Stage::Leading { epoch } => Some(epoch),
            _ => None,
        };
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.next_request_at = if leading_epoch.is_some() {
                requested_at + renewal
            } else {
                Micros::MAX
            };
        }
        if let Some(epoch) = leading_epoch {
            // The leader's own vote is renewed with each vote of a peer.
            self.vote_for_itself(now, epoch);
        }
        self.check_majority(now);
        self.send_due_requests(now, sends);
    }

    /// Extends the lease if a majority of each required peer set has voted, and takes leadership if it is the first time.
    fn check_majority(&mut self, now: Micros) {
        let (epoch, is_first) = match self.stage {
            Stage::CollectingVotes { epoch, .. } => (epoch, true),
            Stage::Leading { epoch } => (epoch, false),
            _ => return,
        };
        let until = self.votes.valid_until(&self.peer_sets);
        if now >= until {
            return;
        }
        self.lease_until = self.lease_until.max(until);
        self.peer_sets.on_elected();
        self.refresh_peers();
        if is_first {
            self.stage = Stage::Leading { epoch };
            self.latest_epoch = LatestEpoch {
                epoch,
                leader: Some(self.own.name),
            };
            self.announced_leader = None;
            self.record_event(ElectionEvent::Won(epoch));
            // The renewals announce the new leader to all peers.
            self.schedule_requests_to_all(now);
        }
    }
}
