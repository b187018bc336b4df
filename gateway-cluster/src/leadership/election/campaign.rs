//! How a gateway asks for leadership and renews its lease: first promises, then grants.

use super::timing::RETRY_INTERVAL;
use super::{ElectionEvent, LeaderElection, Stage};
use crate::leadership::voter::MAX_EPOCH;
use crate::leadership::votes::CollectedVotes;
use crate::leadership::wire::Kind;
use crate::peers::PeerId;
use crate::protocol::{Micros, Transmit};
use rand::seq::SliceRandom;
use std::collections::BTreeMap;

/// Asked once more so often at the most while a round goes on.
const MAX_ATTEMPTS: u8 = 4;
/// How long gateways that all have just begun wait for names that none has heard, in leases: those may be the cluster that is
/// in service, to which this peer set was not told yet.
const BOOTSTRAP_LEASES: u64 = 20;
/// Questions to one gateway that may still be answered.
const MAX_PENDING_REQUESTS: usize = 4;

impl LeaderElection {
    /// Asks for leadership, unless something speaks against that.
    pub(super) fn start_campaign(&mut self, now: Micros, sends: &mut Vec<Transmit>) {
        let own = self
            .voter
            .current_vote(now)
            .filter(|granted| granted.holder != self.own);
        let quiet = self.voter.quiet_time_left(now);
        let lost = !self
            .peer_sets
            .is_majority(|name| name == self.own.name || self.alive_peers.contains(&name));
        let wait = if quiet > 0 {
            quiet
        } else if let Some(granted) = own {
            granted.until - now
        } else if now < self.peer_set_wait_until && !self.peer_sets.is_in_use() {
            self.peer_set_wait_until - now
        } else if self.peer_with_next_peer_set(now).is_some() {
            self.lease / 2
        } else if lost
            && self
                .last_campaign_at
                .is_some_and(|at| now < at + 2 * self.lease)
        {
            // The view sees no majority. It may be wrong: now and then it is tried all the same.
            self.lease / 2
        } else if !self.peer_sets.is_majority(|_| true) {
            self.lease
        } else {
            0
        };
        if wait > 0 {
            self.campaign_at = now + wait + self.random_up_to(RETRY_INTERVAL);
            return;
        }
        self.last_campaign_at = Some(now);
        let clock = self.unix_ms.saturating_add((now - self.started_at) / 1000);
        let epoch = (self
            .highest_seen_epoch
            .max(self.latest_epoch.0)
            .max(self.voter.highest_epoch())
            + 1)
        .max(clock)
        .min(MAX_EPOCH);
        let deadline = now + self.round_timeout();
        (self.votes, self.lease_until) = (CollectedVotes::default(), 0);
        let (promised, rejected_until) = Default::default();
        self.stage = Stage::Preparing {
            epoch,
            deadline,
            promised,
            rejected_until,
        };
        self.schedule_requests_to_all(now);
        if self.promise_to(now, &self.vote_request(epoch)).is_ok() {
            self.count_promise(now, self.own.name);
        }
        self.send_due_requests(now, sends);
    }

    /// Everybody is to be asked from now on, those first that live.
    pub(super) fn schedule_requests_to_all(&mut self, now: Micros) {
        let mut names = self.others();
        names.shuffle(&mut self.rng);
        names.sort_by_key(|name| !self.alive_peers.contains(name));
        for (n, name) in names.into_iter().enumerate() {
            if let Some(peer) = self.peers.get_mut(&name) {
                peer.pending_requests.clear();
                peer.knows_later_epoch = false;
                // The order in which they are asked, where not all can be at once.
                (peer.attempts, peer.next_request_at) =
                    (0, now - now.min(1000) + n as Micros * 1000 / 1024);
            }
        }
    }

    /// Asks those whose turn it is, as far as the budget goes.
    pub(super) fn send_due_requests(&mut self, now: Micros, sends: &mut Vec<Transmit>) {
        let mut turns: Vec<(Micros, PeerId)> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.next_request_at <= now)
            .map(|(name, peer)| (peer.next_request_at, *name))
            .collect();
        turns.sort_unstable();
        for (_, name) in turns {
            if !self.budget.has(1.0, 0.0) {
                return;
            }
            let holding = matches!(self.stage, Stage::Leading { .. });
            let renewal = self.renewal();
            let Some(peer) = self.peers.get_mut(&name) else {
                continue;
            };
            if !holding && peer.attempts >= MAX_ATTEMPTS {
                peer.next_request_at = Micros::MAX;
                continue;
            }
            // What is asked once more is the same question: the grant counts from when it was first asked.
            let last = peer
                .pending_requests
                .back()
                .copied()
                .filter(|(_, at)| now < at + renewal / 2);
            let (number, at) = last.unwrap_or((self.last_request_number, now));
            if last.is_none() {
                self.last_request_number = self.last_request_number.wrapping_add(1);
                peer.pending_requests.push_back((number, at));
                peer.attempts = 0;
                if peer.pending_requests.len() > MAX_PENDING_REQUESTS {
                    peer.pending_requests.pop_front();
                }
            }
            peer.attempts += 1;
            // Without an answer it is asked twice more soon, and then at its next turn.
            let soon = !holding || peer.attempts < 3;
            peer.next_request_at = if soon {
                now + RETRY_INTERVAL.min(renewal)
            } else {
                at + renewal
            };
            let lease_ms = (self.lease / 1000) as u32;
            let kind = match self.stage {
                Stage::Preparing { epoch, .. } => Kind::Prepare {
                    number,
                    epoch,
                    lease_ms,
                },
                Stage::CollectingVotes { epoch, .. } => Kind::Ask {
                    number,
                    epoch,
                    lease_ms,
                    until: None,
                },
                Stage::Leading { epoch } => {
                    let until = self.stamp(now, name).map(|stamp| stamp.until);
                    Kind::Ask {
                        number,
                        epoch,
                        lease_ms,
                        until,
                    }
                }
                Stage::Idle | Stage::Paused => return,
            };
            self.send(now, name, kind, sends);
        }
    }

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
        let begins = now >= self.started_at + BOOTSTRAP_LEASES * self.lease
            || peers.values().all(|peer| peer.incarnation != 0);
        if (in_use || begins) && self.peer_sets.is_majority(|name| promised.contains(&name)) {
            let promised = std::mem::take(promised);
            self.stage = Stage::CollectingVotes {
                epoch,
                deadline: now + self.round_timeout(),
                rejected_until: BTreeMap::new(),
            };
            self.schedule_requests_to_all(now);
            for (name, peer) in &mut self.peers {
                // Those that have promised first.
                if !promised.contains(name) {
                    peer.next_request_at += 1;
                }
            }
            self.vote_for_itself(now, epoch);
            self.check_majority(now);
        }
    }

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
        let Some(asked) = self.take_request_time(from, number) else {
            return;
        };
        self.votes.add(from, asked, self.lease);
        let renewal = self.renewal();
        let held = match self.stage {
            Stage::Leading { epoch } => Some(epoch),
            _ => None,
        };
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.next_request_at = if held.is_some() {
                asked + renewal
            } else {
                Micros::MAX
            };
        }
        if let Some(epoch) = held {
            // Its own grant is renewed with each of the others.
            self.vote_for_itself(now, epoch);
        }
        self.check_majority(now);
        self.send_due_requests(now, sends);
    }

    /// Whether a majority of each peer set has granted, and for how long.
    fn check_majority(&mut self, now: Micros) {
        let (epoch, new) = match self.stage {
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
        if new {
            self.stage = Stage::Leading { epoch };
            (self.latest_epoch, self.announced_leader) = ((epoch, Some(self.own.name)), None);
            self.record_event(ElectionEvent::Won(epoch));
            // All are to know it at once.
            self.schedule_requests_to_all(now);
        }
    }
}
