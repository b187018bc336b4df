//! The leadership at one gateway: it grants, asks for grants when nobody owns, renews them, and knows who owns.

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

/// Things to tell the log that may wait.
const MAX_EVENTS: usize = 256;

/// What an leadership begins with.
#[derive(Debug, Clone)]
pub struct ElectionSettings {
    /// All names of the peer set, this gateway's too.
    pub names: Vec<PeerId>,
    /// This gateway's.
    pub name: PeerId,
    /// The lease, the same at all gateways, in microseconds.
    pub lease: Micros,
    /// The wall clock in milliseconds since 1970. Terms begin there, so that they go on growing when all gateways restart;
    /// nothing rests on it.
    pub unix_ms: u64,
}

/// Something that operators should know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ElectionEvent {
    /// This gateway owns, in this epoch.
    Won(u64),
    /// It does not any more: its lease was over before a majority renewed it.
    Lost(u64),
    /// It gave leadership back.
    Released(u64),
    /// Another gateway owns, in this epoch.
    Leader(PeerId, u64),
    /// An act on behalf of the cluster was refused.
    ActRejected(PeerId, ActRejection),
    /// Another gateway goes by another lease, in milliseconds: the two grant each other nothing.
    LeaseDiffers(PeerId, u32),
    /// Another gateway has other peer sets.
    PeerSetsDiffer(PeerId),
}

/// What operators are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ElectionStatus {
    /// The leader, if this gateway knows one now.
    pub leader: Option<PeerId>,
    /// The highest epoch of any leader that it knows.
    pub epoch: u64,
    /// It is this gateway.
    pub mine: bool,
    /// For how long yet that is known; 0 where nobody is known.
    pub left: Micros,
    /// How long this gateway still grants nothing.
    pub quiet: Micros,
    /// Acts that were refused.
    pub refused: u64,
}

/// What goes with an act on behalf of the cluster to one gateway: it is of use there only before the leader's lease is over,
/// by that gateway's own clock, whatever held the act up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseProof {
    /// The leader's epoch.
    pub epoch: u64,
    /// The incarnation of the receiver.
    pub to_incarnation: u64,
    /// On the receiver's clock.
    pub until: u64,
}

#[derive(Debug)]
enum Stage {
    /// Somebody else owns, or nobody does and this gateway asks for leadership then.
    Idle,
    /// Asks who would grant.
    Preparing {
        epoch: u64,
        deadline: Micros,
        promised: BTreeSet<PeerId>,
        rejected_until: BTreeMap<PeerId, Micros>,
    },
    /// Asks for grants.
    CollectingVotes {
        epoch: u64,
        deadline: Micros,
        rejected_until: BTreeMap<PeerId, Micros>,
    },
    /// Owns, for as long as the lease lasts.
    Leading { epoch: u64 },
    /// Takes no part: another process has this gateway's name, or it goes.
    Paused,
}

/// One gateway's part in ownership.
#[derive(Debug)]
pub struct LeaderElection {
    own: LeaseHolder,
    lease: Micros,
    unix_ms: u64,
    started_at: Micros,
    peer_sets: PeerConfiguration,
    voter: LeaseVoter,
    votes: CollectedVotes,
    /// The end of the lease: what was won stays won until then, also when the peer set changes.
    lease_until: Micros,
    stage: Stage,
    /// When this gateway asks for leadership, if nobody owns then.
    campaign_at: Micros,
    peers: BTreeMap<PeerId, Peer>,
    announced_leader: Option<KnownLeader>,
    /// The highest epoch of a leader that is known, and whose it was, if that is known too.
    latest_epoch: (u64, Option<PeerId>),
    /// The highest epoch that anybody was heard to speak of.
    highest_seen_epoch: u64,
    refused: u64,
    /// Those who live, by the view.
    alive_peers: Vec<PeerId>,
    peer_set_wait_until: Micros,
    last_campaign_at: Option<Micros>,
    /// Who gave leadership back not long ago, and in which epoch; others may not have heard of it until then.
    released_lease: Option<(LeaseHolder, u64, Micros)>,
    leader_query: (u32, Micros),
    /// Who told it last.
    last_leader_reporter: Option<PeerId>,
    next_leader_query_at: Micros,
    last_request_number: u32,
    budget: TokenBucket,
    next_wakeup_at: Micros,
    rng: Pcg64Mcg,
    events: VecDeque<ElectionEvent>,
    /// Datagrams that make no sense, and those of names that no peer set here has.
    pub dropped: (u64, u64),
    /// Datagrams sent, and their bytes without headers.
    pub sent: (u64, u64),
}

impl LeaderElection {
    /// A new incarnation that knows the peer set and nothing else.
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
            latest_epoch: (0, None),
            highest_seen_epoch: 0,
            refused: 0,
            alive_peers: names.clone(),
            peer_sets: PeerConfiguration::new(names),
            peer_set_wait_until: 0,
            last_campaign_at: None,
            released_lease: None,
            leader_query: (0, 0),
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

    /// This gateway's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.own.incarnation
    }

    /// Everybody who has a say in any peer set that this gateway is bound by, this gateway too.
    pub fn names(&self) -> Vec<PeerId> {
        self.peer_sets.names()
    }

    /// The file names another peer set.
    pub fn set_peers(&mut self, now: Micros, names: Vec<PeerId>, sends: &mut Vec<Transmit>) {
        let before = self.peer_sets.told();
        self.peer_sets.set(names);
        self.refresh_peers();
        self.on_configuration_change(now, before, sends);
    }

    /// What was granted to one that counted other peer sets says nothing for these: it is asked anew. A lease that was won
    /// stays won until its end.
    fn on_configuration_change(
        &mut self,
        now: Micros,
        before: ConfigurationReport,
        sends: &mut Vec<Transmit>,
    ) {
        let after = self.peer_sets.told();
        if (before.current, before.previous) == (after.current, after.previous) {
            return;
        }
        self.refresh_peers();
        if before.current == after.current && after.previous.is_none() {
            // One less has to be won: what was granted for both counts for one.
            return;
        }
        match self.stage {
            Stage::Preparing { .. } | Stage::CollectingVotes { .. } => {
                self.abandon_campaign(now, sends)
            }
            Stage::Leading { .. } => {
                self.votes = CollectedVotes::default();
                self.schedule_requests_to_all(now);
            }
            Stage::Idle | Stage::Paused => self.schedule_campaign(now),
        }
        self.update_next_wakeup(now);
    }

    /// The view holds these for living: they are asked first.
    pub fn on_membership_change(&mut self, alive_peers: Vec<PeerId>) {
        self.alive_peers = alive_peers;
    }

    /// What operators are told. True at this moment, however long ago this gateway was woken.
    pub fn status(&self, now: Micros) -> ElectionStatus {
        let known = self.known_leader(now);
        ElectionStatus {
            leader: known.map(|leader| leader.leader),
            epoch: self.latest_epoch.0,
            mine: known.is_some_and(|leader| leader.leader == self.own.name),
            left: known.map_or(0, |leader| leader.until - now),
            quiet: self.voter.quiet_time_left(now),
            refused: self.refused,
        }
    }

    /// The epoch in which this gateway may act on behalf of the cluster at this moment. To be asked at the moment of each act.
    pub fn epoch(&self, now: Micros) -> Option<u64> {
        match self.stage {
            Stage::Leading { epoch } if now < self.lease_until => Some(epoch),
            _ => None,
        }
    }

    /// What has to go with an act to another gateway; none if this gateway does not own now, or has not heard from the other.
    pub fn stamp(&self, now: Micros, to: PeerId) -> Option<LeaseProof> {
        let epoch = self.epoch(now)?;
        let peer = self.peers.get(&to).filter(|peer| peer.incarnation != 0)?;
        let until = peer.clock_us + shorter(self.lease_until.saturating_sub(peer.last_heard_at));
        Some(LeaseProof {
            epoch,
            to_incarnation: peer.incarnation,
            until,
        })
    }

    /// Whether an act on behalf of the cluster may be carried out here at this moment.
    ///
    /// # Errors
    /// Why not. It is counted.
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
        let (known, of) = self.latest_epoch;
        let refused = if to_incarnation != self.own.incarnation {
            ActRejection::OtherIncarnation
        } else if epoch < known || epoch == known && of.is_some_and(|of| of != from) {
            ActRejection::Old { epoch, known }
        } else if now >= until {
            ActRejection::Late {
                late_ms: (now - until) / 1000,
            }
        } else {
            self.latest_epoch = (epoch, Some(from));
            return Ok(());
        };
        self.refused += 1;
        self.record_event(ElectionEvent::ActRejected(from, refused));
        Err(refused)
    }

    /// Whether these names are a majority of each peer set that this gateway is bound by.
    pub fn is_majority(&self, has: impl Fn(PeerId) -> bool) -> bool {
        self.peer_sets.is_majority(has)
    }

    /// Another gateway's incarnation, its clock when it sent what came last, and this gateway's clock when that came; none if nothing
    /// has come.
    pub fn clock_of(&self, name: PeerId) -> Option<(u64, u64, Micros)> {
        let peer = self.peers.get(&name).filter(|peer| peer.incarnation != 0)?;
        Some((peer.incarnation, peer.clock_us, peer.last_heard_at))
    }

    /// The lease.
    pub fn lease(&self) -> Micros {
        self.lease
    }

    /// The oldest thing to tell that was not taken yet.
    pub fn next_event(&mut self) -> Option<ElectionEvent> {
        self.events.pop_front()
    }

    /// When [`LeaderElection::on_timer`] is wanted.
    pub fn next_wakeup(&self) -> Micros {
        self.next_wakeup_at
    }

    /// Gives leadership back, if this gateway has it, and takes no part any more.
    pub fn leave(&mut self, now: Micros, sends: &mut Vec<Transmit>) {
        let next = self
            .ranked_successors(self.latest_epoch.0)
            .first()
            .copied()
            .unwrap_or(self.own.name);
        self.release_leadership(now, next, sends);
        self.stage = Stage::Paused;
        self.next_wakeup_at = Micros::MAX;
    }

    /// It takes part again, after another process had its name: that one may have granted.
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

    /// Whether it takes no part.
    pub fn is_hushed(&self) -> bool {
        matches!(self.stage, Stage::Paused)
    }

    /// Something is due, or past that.
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
                self.abandon_campaign(now, sends)
            }
            Stage::Preparing { .. } | Stage::CollectingVotes { .. } => {
                self.send_due_requests(now, sends)
            }
            Stage::Idle if self.known_leader(now).is_none() && now >= self.campaign_at => {
                self.start_campaign(now, sends)
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
        // Where the budget is spent the next question waits for it.
        let least = if !self.budget.has(1.0, 0.0) {
            now + (1e6 / DATAGRAMS_PER_S) as Micros
        } else {
            now
        };
        self.next_wakeup_at = next.max(least);
    }
}
