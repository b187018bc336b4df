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
use timing::{BURST, PER_SECOND};

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
        over: Micros,
        promised: BTreeSet<PeerId>,
        free: BTreeMap<PeerId, Micros>,
    },
    /// Asks for grants.
    Asking {
        epoch: u64,
        over: Micros,
        free: BTreeMap<PeerId, Micros>,
    },
    /// Owns, for as long as the lease lasts.
    Holding { epoch: u64 },
    /// Takes no part: another process has this gateway's name, or it goes.
    Hushed,
}

/// One gateway's part in ownership.
#[derive(Debug)]
pub struct LeaderElection {
    me: LeaseHolder,
    lease: Micros,
    unix_ms: u64,
    born: Micros,
    peer_sets: PeerConfiguration,
    granter: LeaseVoter,
    held: CollectedVotes,
    /// The end of the lease: what was won stays won until then, also when the peer set changes.
    until: Micros,
    stage: Stage,
    /// When this gateway asks for leadership, if nobody owns then.
    at: Micros,
    peers: BTreeMap<PeerId, Peer>,
    claim: Option<KnownLeader>,
    /// The highest epoch of a leader that is known, and whose it was, if that is known too.
    fence: (u64, Option<PeerId>),
    /// The highest epoch that anybody was heard to speak of.
    hint: u64,
    refused: u64,
    /// Those who live, by the view.
    living: Vec<PeerId>,
    elsewhere_until: Micros,
    tried: Option<Micros>,
    /// Who gave leadership back not long ago, and in which epoch; others may not have heard of it until then.
    freed: Option<(LeaseHolder, u64, Micros)>,
    who: (u32, Micros),
    /// Who told it last.
    teller: Option<PeerId>,
    who_at: Micros,
    number: u32,
    budget: TokenBucket,
    next: Micros,
    rng: Pcg64Mcg,
    notes: VecDeque<ElectionEvent>,
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
        let me = LeaseHolder {
            name,
            incarnation: rng.random_range(1..=u64::MAX),
        };
        let number = rng.random();
        let mut election = LeaderElection {
            me,
            lease,
            unix_ms,
            born: now,
            granter: LeaseVoter::new(now, lease),
            held: CollectedVotes::default(),
            until: 0,
            stage: Stage::Idle,
            at: 0,
            peers: BTreeMap::new(),
            claim: None,
            fence: (0, None),
            hint: 0,
            refused: 0,
            living: names.clone(),
            peer_sets: PeerConfiguration::new(names),
            elsewhere_until: 0,
            tried: None,
            freed: None,
            who: (0, 0),
            teller: None,
            who_at: now,
            number,
            budget: TokenBucket::full(now, BURST, PER_SECOND),
            next: now,
            rng,
            notes: VecDeque::new(),
            dropped: (0, 0),
            sent: (0, 0),
        };
        election.know_peers();
        election.plan(now);
        election
    }

    /// This gateway's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.me.incarnation
    }

    /// Everybody who has a say in any peer set that this gateway is bound by, this gateway too.
    pub fn names(&self) -> Vec<PeerId> {
        self.peer_sets.names()
    }

    /// The file names another peer set.
    pub fn set_peers(&mut self, now: Micros, names: Vec<PeerId>, sends: &mut Vec<Transmit>) {
        let before = self.peer_sets.told();
        self.peer_sets.set(names);
        self.know_peers();
        self.rebind(now, before, sends);
    }

    /// What was granted to one that counted other peer sets says nothing for these: it is asked anew. A lease that was won
    /// stays won until its end.
    fn rebind(&mut self, now: Micros, before: ConfigurationReport, sends: &mut Vec<Transmit>) {
        let after = self.peer_sets.told();
        if (before.now, before.base) == (after.now, after.base) {
            return;
        }
        self.know_peers();
        if before.now == after.now && after.base.is_none() {
            // One less has to be won: what was granted for both counts for one.
            return;
        }
        match self.stage {
            Stage::Preparing { .. } | Stage::Asking { .. } => self.give_up(now, sends),
            Stage::Holding { .. } => {
                self.held = CollectedVotes::default();
                self.ask_all(now);
            }
            Stage::Idle | Stage::Hushed => self.plan(now),
        }
        self.set_next(now);
    }

    /// The view holds these for living: they are asked first.
    pub fn on_membership_change(&mut self, living: Vec<PeerId>) {
        self.living = living;
    }

    /// What operators are told. True at this moment, however long ago this gateway was woken.
    pub fn status(&self, now: Micros) -> ElectionStatus {
        let known = self.known(now);
        ElectionStatus {
            leader: known.map(|claim| claim.leader),
            epoch: self.fence.0,
            mine: known.is_some_and(|claim| claim.leader == self.me.name),
            left: known.map_or(0, |claim| claim.until - now),
            quiet: self.granter.quiet(now),
            refused: self.refused,
        }
    }

    /// The epoch in which this gateway may act on behalf of the cluster at this moment. To be asked at the moment of each act.
    pub fn epoch(&self, now: Micros) -> Option<u64> {
        match self.stage {
            Stage::Holding { epoch } if now < self.until => Some(epoch),
            _ => None,
        }
    }

    /// What has to go with an act to another gateway; none if this gateway does not own now, or has not heard from the other.
    pub fn stamp(&self, now: Micros, to: PeerId) -> Option<LeaseProof> {
        let epoch = self.epoch(now)?;
        let peer = self.peers.get(&to).filter(|peer| peer.incarnation != 0)?;
        let until = peer.tick + shorter(self.until.saturating_sub(peer.heard));
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
        let (known, of) = self.fence;
        let refused = if to_incarnation != self.me.incarnation {
            ActRejection::OtherIncarnation
        } else if epoch < known || epoch == known && of.is_some_and(|of| of != from) {
            ActRejection::Old { epoch, known }
        } else if now >= until {
            ActRejection::Late {
                late_ms: (now - until) / 1000,
            }
        } else {
            self.fence = (epoch, Some(from));
            return Ok(());
        };
        self.refused += 1;
        self.note(ElectionEvent::ActRejected(from, refused));
        Err(refused)
    }

    /// Whether these names are a majority of each peer set that this gateway is bound by.
    pub fn is_majority(&self, has: impl Fn(PeerId) -> bool) -> bool {
        self.peer_sets.are_won_by(has)
    }

    /// Another gateway's incarnation, its clock when it sent what came last, and this gateway's clock when that came; none if nothing
    /// has come.
    pub fn clock_of(&self, name: PeerId) -> Option<(u64, u64, Micros)> {
        let peer = self.peers.get(&name).filter(|peer| peer.incarnation != 0)?;
        Some((peer.incarnation, peer.tick, peer.heard))
    }

    /// The lease.
    pub fn lease(&self) -> Micros {
        self.lease
    }

    /// The oldest thing to tell that was not taken yet.
    pub fn next_event(&mut self) -> Option<ElectionEvent> {
        self.notes.pop_front()
    }

    /// When [`LeaderElection::on_timer`] is wanted.
    pub fn next_wakeup(&self) -> Micros {
        self.next
    }

    /// Gives leadership back, if this gateway has it, and takes no part any more.
    pub fn leave(&mut self, now: Micros, sends: &mut Vec<Transmit>) {
        let next = self
            .ranked(self.fence.0)
            .first()
            .copied()
            .unwrap_or(self.me.name);
        self.give_back(now, next, sends);
        self.stage = Stage::Hushed;
        self.next = Micros::MAX;
    }

    /// It takes part again, after another process had its name: that one may have granted.
    pub fn resume(&mut self, now: Micros) {
        self.me.incarnation = self.rng.random_range(1..=u64::MAX);
        self.granter.begin_anew(now);
        (self.held, self.until, self.stage, self.claim) =
            (CollectedVotes::default(), 0, Stage::Idle, None);
        self.plan(now);
    }

    /// Whether it takes no part.
    pub fn is_hushed(&self) -> bool {
        matches!(self.stage, Stage::Hushed)
    }

    /// Something is due, or past that.
    pub fn on_timer(&mut self, now: Micros, sends: &mut Vec<Transmit>) {
        self.budget.fill(now);
        match self.stage {
            Stage::Hushed => return,
            Stage::Holding { epoch } if now >= self.until => {
                self.note(ElectionEvent::Lost(epoch));
                self.step_down(now);
            }
            Stage::Holding { .. } => self.ask(now, sends),
            Stage::Preparing { over, .. } | Stage::Asking { over, .. } if now >= over => {
                self.give_up(now, sends)
            }
            Stage::Preparing { .. } | Stage::Asking { .. } => self.ask(now, sends),
            Stage::Idle if self.known(now).is_none() && now >= self.at => self.begin(now, sends),
            Stage::Idle => {}
        }
        if matches!(self.stage, Stage::Idle) && now >= self.who_at {
            self.ask_who(now, sends);
        }
        self.set_next(now);
    }

    fn note(&mut self, note: ElectionEvent) {
        if self.notes.len() < MAX_EVENTS && self.notes.back() != Some(&note) {
            self.notes.push_back(note);
        }
    }

    fn set_next(&mut self, now: Micros) {
        let asks = || {
            self.peers
                .values()
                .map(|peer| peer.ask_at)
                .min()
                .unwrap_or(Micros::MAX)
        };
        let next = match self.stage {
            Stage::Hushed => Micros::MAX,
            Stage::Idle => {
                let at = if self.known(now).is_some() {
                    Micros::MAX
                } else {
                    self.at
                };
                at.min(self.who_at)
            }
            Stage::Preparing { over, .. } | Stage::Asking { over, .. } => asks().min(over),
            Stage::Holding { .. } => asks().min(self.until),
        };
        // Where the budget is spent the next question waits for it.
        let least = if !self.budget.has(1.0, 0.0) {
            now + (1e6 / PER_SECOND) as Micros
        } else {
            now
        };
        self.next = next.max(least);
    }
}
