//! The election's state machine at one gateway: it votes, campaigns while there is no leader, renews its lease as leader,
//! and knows the current leader.
//!
//! The driver calls [`LeaderElection::on_datagram`] and [`LeaderElection::on_timer`].
//!
//! Modules: `datagrams` handles received datagrams, `voting` casts votes, `campaign` collects them, `rejections` handles
//! rejections and later epochs, `known_leader` tracks the leader, `timing` schedules, `peer_table` stores what is known of
//! each peer, `transmit` sends within the budget.

mod campaign;
mod datagrams;
mod known_leader;
mod peer_table;
mod rejections;
mod timing;
mod transmit;
mod voting;

pub use timing::{min_lease, renewal};

use super::configuration::{ConfigurationReport, PeerConfiguration};
use super::voter::LeaseVoter;
use super::votes::CollectedVotes;
use super::{shorter, ActRejection, LeaseHolder};
use crate::peers::PeerId;
use crate::protocol::{Micros, Transmit};
use crate::token_bucket::TokenBucket;
use known_leader::KnownLeader;
use peer_table::Peer;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use timing::{DATAGRAMS_PER_S, DATAGRAM_BURST};

/// Maximum number of events that the driver has not taken; further ones are dropped.
const MAX_EVENTS: usize = 256;

/// Settings of [`LeaderElection`].
#[derive(Debug, Clone)]
pub struct ElectionSettings {
    /// Ids of the peer set, this gateway's included.
    pub names: Vec<PeerId>,
    /// The id of this gateway.
    pub name: PeerId,
    /// Lease duration in microseconds, the same at all gateways.
    pub lease: Micros,
    /// Wall clock in milliseconds since 1970. Epochs start there, so that they grow across a restart of all gateways. Safety
    /// does not rest on it.
    pub unix_ms: u64,
}

/// An event for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ElectionEvent {
    /// This gateway was elected in this epoch.
    Won(u64),
    /// The lease of this epoch expired before a majority renewed it.
    Lost(u64),
    /// This gateway released its lease of this epoch.
    Released(u64),
    /// Another gateway is the leader in this epoch.
    Leader(PeerId, u64),
    /// An act of this peer on behalf of the cluster was rejected.
    ActRejected(PeerId, ActRejection),
    /// This peer is configured with another lease duration, in milliseconds: neither votes for the other.
    LeaseDiffers(PeerId, u32),
    /// This peer has peer sets for which this gateway cannot vote.
    PeerSetsDiffer(PeerId),
}

/// The state of the election for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ElectionStatus {
    /// The leader that this gateway knows now.
    pub leader: Option<PeerId>,
    /// The highest epoch of any known leader.
    pub epoch: u64,
    /// Whether this gateway is the leader.
    pub mine: bool,
    /// Remaining time of the known lease, in microseconds; 0 without a leader.
    pub left: Micros,
    /// Remaining time of the voter's quiet period, in microseconds.
    pub quiet: Micros,
    /// Number of rejected acts.
    pub refused: u64,
}

/// Proof of the lease that accompanies an act of the leader to one gateway. The receiver rejects the act after the lease has
/// expired on its own clock, whatever delayed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseProof {
    /// The leader's epoch.
    pub epoch: u64,
    /// The incarnation of the receiver.
    pub to_incarnation: u64,
    /// End of the lease on the receiver's clock, in microseconds.
    pub until: u64,
}

/// The highest epoch of any known leader.
#[derive(Debug, Clone, Copy)]
struct LatestEpoch {
    epoch: u64,
    /// The leader of the epoch, if it is known.
    leader: Option<PeerId>,
}

/// A lease that its holder released before its end.
#[derive(Debug, Clone, Copy)]
struct ReleasedLease {
    holder: LeaseHolder,
    epoch: u64,
    /// Up to this time other gateways may still report the lease as valid.
    reported_until: Micros,
}

/// The last query for the leader.
#[derive(Debug, Clone, Copy)]
struct LeaderQuery {
    number: u32,
    sent_at: Micros,
}

/// The role of this gateway in the election.
#[derive(Debug)]
enum Stage {
    /// Follows a leader, or waits for the next campaign.
    Idle,
    /// Collects promises for an epoch.
    Preparing {
        epoch: u64,
        deadline: Micros,
        promised: BTreeSet<PeerId>,
        rejected_until: BTreeMap<PeerId, Micros>,
    },
    /// Collects votes for an epoch.
    CollectingVotes {
        epoch: u64,
        deadline: Micros,
        rejected_until: BTreeMap<PeerId, Micros>,
    },
    /// Leader until the lease expires.
    Leading { epoch: u64 },
    /// Takes no part: another process has this gateway's name, or it is shutting down.
    Paused,
}

/// The election at one gateway.
#[derive(Debug)]
pub struct LeaderElection {
    own: LeaseHolder,
    lease: Micros,
    unix_ms: u64,
    started_at: Micros,
    peer_sets: PeerConfiguration,
    voter: LeaseVoter,
    votes: CollectedVotes,
    /// End of the lease. A change of the peer set does not shorten it.
    lease_until: Micros,
    stage: Stage,
    /// Time of the next campaign, if there is no leader then.
    campaign_at: Micros,
    peers: BTreeMap<PeerId, Peer>,
    announced_leader: Option<KnownLeader>,
    latest_epoch: LatestEpoch,
    /// The highest epoch in any received request or rejection.
    highest_seen_epoch: u64,
    refused: u64,
    /// Peers that are alive in the membership.
    alive_peers: Vec<PeerId>,
    peer_set_wait_until: Micros,
    last_campaign_at: Option<Micros>,
    released_lease: Option<ReleasedLease>,
    leader_query: LeaderQuery,
    /// The peer that last answered a leader query.
    last_leader_reporter: Option<PeerId>,
    next_leader_query_at: Micros,
    last_request_number: u32,
    budget: TokenBucket,
    next_wakeup_at: Micros,
    rng: Pcg64Mcg,
    events: VecDeque<ElectionEvent>,
    /// Number of malformed datagrams, and of those from names outside the peer sets.
    pub dropped: (u64, u64),
    /// Number of datagrams sent, and their bytes without headers.
    pub sent: (u64, u64),
}

impl LeaderElection {
    /// Starts a new incarnation, which knows only the names of the peer set.
    pub fn new(now: Micros, settings: ElectionSettings, seed: u64) -> LeaderElection {
        let ElectionSettings {
            names,
            name,
            lease,
            unix_ms,
        } = settings;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let own = LeaseHolder {
            name,
            incarnation: rng.random_range(1..=u64::MAX),
        };
        let number = rng.random();
        let mut election = LeaderElection {
            own,
            lease,
            unix_ms,
            started_at: now,
            voter: LeaseVoter::new(now, lease),
            votes: CollectedVotes::default(),
            lease_until: 0,
            stage: Stage::Idle,
            campaign_at: 0,
            peers: BTreeMap::new(),
            announced_leader: None,
            latest_epoch: LatestEpoch {
                epoch: 0,
                leader: None,
            },
            highest_seen_epoch: 0,
            refused: 0,
            alive_peers: names.clone(),
            peer_sets: PeerConfiguration::new(names),
            peer_set_wait_until: 0,
            last_campaign_at: None,
            released_lease: None,
            leader_query: LeaderQuery {
                number: 0,
                sent_at: 0,
            },
            last_leader_reporter: None,
            next_leader_query_at: now,
            last_request_number: number,
            budget: TokenBucket::full(now, DATAGRAM_BURST, DATAGRAMS_PER_S),
            next_wakeup_at: now,
            rng,
            events: VecDeque::new(),
            dropped: (0, 0),
            sent: (0, 0),
        };
        election.refresh_peers();
        election.schedule_campaign(now);
        election
    }

    /// The incarnation of this gateway.
    pub fn incarnation(&self) -> u64 {
        self.own.incarnation
    }

    /// All ids of the required and the configured peer sets, this gateway's included.
    pub fn names(&self) -> Vec<PeerId> {
        self.peer_sets.names()
    }

    /// Starts a change to another configured peer set.
    pub fn set_peers(&mut self, now: Micros, names: Vec<PeerId>, sends: &mut Vec<Transmit>) {
        let before = self.peer_sets.report();
        self.peer_sets.set(names);
        self.refresh_peers();
        self.on_configuration_change(now, before, sends);
    }

    /// Handles a change of the required peer sets. Votes for the previous ones do not count, so they are requested again. A
    /// lease that was acquired stays valid until its end.
    fn on_configuration_change(
        &mut self,
        now: Micros,
        before: ConfigurationReport,
        sends: &mut Vec<Transmit>,
    ) {
        let after = self.peer_sets.report();
        if (before.current, before.previous) == (after.current, after.previous) {
            return;
        }
        self.refresh_peers();
        if before.current == after.current && after.previous.is_none() {
            // A completed change requires one peer set less: the votes stay valid.
            return;
        }
        match self.stage {
            Stage::Preparing { .. } | Stage::CollectingVotes { .. } => {
                self.abandon_campaign(now, sends);
            }
            Stage::Leading { .. } => {
                self.votes = CollectedVotes::default();
                self.schedule_requests_to_all(now);
            }
            Stage::Idle | Stage::Paused => self.schedule_campaign(now),
        }
        self.update_next_wakeup(now);
    }

    /// Takes over the peers that are alive in the membership: they are asked first.
    pub fn on_membership_change(&mut self, alive_peers: Vec<PeerId>) {
        self.alive_peers = alive_peers;
    }

    /// The status at this time, independent of the last call of [`LeaderElection::on_timer`].
    pub fn status(&self, now: Micros) -> ElectionStatus {
        let known = self.known_leader(now);
        ElectionStatus {
            leader: known.map(|leader| leader.leader),
            epoch: self.latest_epoch.epoch,
            mine: known.is_some_and(|leader| leader.leader == self.own.name),
            left: known.map_or(0, |leader| leader.until - now),
            quiet: self.voter.quiet_time_left(now),
            refused: self.refused,
        }
    }

    /// The epoch in which this gateway is the leader at this time. Has to be checked at the time of each act.
    pub fn epoch(&self, now: Micros) -> Option<u64> {
        match self.stage {
            Stage::Leading { epoch } if now < self.lease_until => Some(epoch),
            _ => None,
        }
    }

    /// The lease proof for an act to another gateway; `None` if this gateway is not the leader or never received a datagram
    /// from the other.
    pub fn lease_proof(&self, now: Micros, to: PeerId) -> Option<LeaseProof> {
        let epoch = self.epoch(now)?;
        let peer = self.peers.get(&to).filter(|peer| peer.incarnation != 0)?;
        let until = peer.clock_us + shorter(self.lease_until.saturating_sub(peer.last_received_at));
        Some(LeaseProof {
            epoch,
            to_incarnation: peer.incarnation,
            until,
        })
    }

    /// Checks whether an act of another gateway on behalf of the cluster may be carried out here now.
    ///
    /// # Errors
    /// The reason of the rejection, which is also counted and recorded as an event.
    pub fn admit(
        &mut self,
        now: Micros,
        from: PeerId,
        stamp: LeaseProof,
    ) -> Result<(), ActRejection> {
        let LeaseProof {
            epoch,
            to_incarnation,
            until,
        } = stamp;
        let LatestEpoch {
            epoch: known,
            leader: known_leader,
        } = self.latest_epoch;
        let rejection = if to_incarnation != self.own.incarnation {
            ActRejection::OtherIncarnation
        } else if epoch < known || epoch == known && known_leader.is_some_and(|known| known != from)
        {
            ActRejection::Old { epoch, known }
        } else if now >= until {
            ActRejection::Late {
                late_ms: (now - until) / 1000,
            }
        } else {
            self.latest_epoch = LatestEpoch {
                epoch,
                leader: Some(from),
            };
            return Ok(());
        };
        self.refused += 1;
        self.record_event(ElectionEvent::ActRejected(from, rejection));
        Err(rejection)
    }

    /// Whether the ids for which `has` is true are a majority of each required peer set.
    pub fn is_majority(&self, has: impl Fn(PeerId) -> bool) -> bool {
        self.peer_sets.is_majority(has)
    }

    /// Another gateway's incarnation, its clock when it sent its last datagram, and this gateway's clock at the receipt;
    /// `None` before the first datagram.
    pub fn clock_of(&self, name: PeerId) -> Option<(u64, u64, Micros)> {
        let peer = self.peers.get(&name).filter(|peer| peer.incarnation != 0)?;
        Some((peer.incarnation, peer.clock_us, peer.last_received_at))
    }

    /// The lease duration, in microseconds.
    pub fn lease(&self) -> Micros {
        self.lease
    }

    /// Takes the oldest event that was not taken yet.
    pub fn next_event(&mut self) -> Option<ElectionEvent> {
        self.events.pop_front()
    }

    /// When [`LeaderElection::on_timer`] is to be called next.
    pub fn next_wakeup(&self) -> Micros {
        self.next_wakeup_at
    }

    /// Releases the lease, if this gateway is the leader, and takes no further part.
    pub fn leave(&mut self, now: Micros, sends: &mut Vec<Transmit>) {
        let next = self
            .ranked_successors(self.latest_epoch.epoch)
            .first()
            .copied()
            .unwrap_or(self.own.name);
        self.release_leadership(now, next, sends);
        self.stage = Stage::Paused;
        self.next_wakeup_at = Micros::MAX;
    }

    /// Takes part again after another process had this name. That process may have voted, so a new quiet period begins.
    pub fn resume(&mut self, now: Micros) {
        self.own.incarnation = self.rng.random_range(1..=u64::MAX);
        self.voter.restart(now);
        (
            self.votes,
            self.lease_until,
            self.stage,
            self.announced_leader,
        ) = (CollectedVotes::default(), 0, Stage::Idle, None);
        self.schedule_campaign(now);
    }

    /// Whether this gateway takes no part in the election.
    pub fn is_suspended(&self) -> bool {
        matches!(self.stage, Stage::Paused)
    }

    /// Runs the timers that are due.
    pub fn on_timer(&mut self, now: Micros, sends: &mut Vec<Transmit>) {
        self.budget.fill(now);
        match self.stage {
            Stage::Paused => return,
            Stage::Leading { epoch } if now >= self.lease_until => {
                self.record_event(ElectionEvent::Lost(epoch));
                self.step_down(now);
            }
            Stage::Leading { .. } => self.send_due_requests(now, sends),
            Stage::Preparing { deadline, .. } | Stage::CollectingVotes { deadline, .. }
                if now >= deadline =>
            {
                self.abandon_campaign(now, sends);
            }
            Stage::Preparing { .. } | Stage::CollectingVotes { .. } => {
                self.send_due_requests(now, sends);
            }
            Stage::Idle if self.known_leader(now).is_none() && now >= self.campaign_at => {
                self.start_campaign(now, sends);
            }
            Stage::Idle => {}
        }
        if matches!(self.stage, Stage::Idle) && now >= self.next_leader_query_at {
            self.query_leader(now, sends);
        }
        self.update_next_wakeup(now);
    }

    fn record_event(&mut self, note: ElectionEvent) {
        if self.events.len() < MAX_EVENTS && self.events.back() != Some(&note) {
            self.events.push_back(note);
        }
    }

    fn update_next_wakeup(&mut self, now: Micros) {
        let asks = || {
            self.peers
                .values()
                .map(|peer| peer.next_request_at)
                .min()
                .unwrap_or(Micros::MAX)
        };
        let next = match self.stage {
            Stage::Paused => Micros::MAX,
            Stage::Idle => {
                let at = if self.known_leader(now).is_some() {
                    Micros::MAX
                } else {
                    self.campaign_at
                };
                at.min(self.next_leader_query_at)
            }
            Stage::Preparing { deadline, .. } | Stage::CollectingVotes { deadline, .. } => {
                asks().min(deadline)
            }
            Stage::Leading { .. } => asks().min(self.lease_until),
        };
        // Without budget the next request waits until one datagram is affordable.
        let least = if !self.budget.has(1.0, 0.0) {
            now + (1e6 / DATAGRAMS_PER_S) as Micros
        } else {
            now
        };
        self.next_wakeup_at = next.max(least);
    }
}
