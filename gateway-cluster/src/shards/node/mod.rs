//! One gateway's part in the shard map: as an acceptor it helps to decide maps, as an owner it keeps what it has a lease
//! for, and as the leader it decides the next map and gives the leases.
//!
//! A leader that begins asks what there is ([`super::decide`]), and gives no lease before it knows: what a majority may have
//! accepted it finishes first. From then on each gateway is told the map in force with a keep lease ([`super::keep`]), again and
//! again; by taking a map over a gateway lets go of what that map gives to others. The next map is proposed once every
//! range of the last one is where it belongs.

mod acceptance;
mod deciding;
mod fetching;
mod leases;
mod planning;
mod proposals;
mod replies;
mod sending;
mod status;
mod term;

pub use sending::{min_lease, period};
pub use status::{PendingChange, ProposalStatus, ShardMapStatus};

use super::consensus::{Acceptor, MapId};
use super::leases::{GrantedLeases, LocalShards, SHARD_LEASE_FACTOR};
use super::map::{Key, MapHash, ShardMap, ShardRange};
use super::wire::{Datagram, Kind, ProposalState};
use super::{ClusterState, Limits, PeerCondition};
use crate::leadership::election::{LeaderElection, LeaseProof};
use crate::leadership::{longer, FencingToken};
use crate::peers::{peer_id_of, PeerId};
use crate::protocol::{Micros, Transmit};
use crate::token_bucket::TokenBucket;
use fetching::MapFetch;
use proposals::LocalProposal;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use sending::{
    BYTES_PER_SECOND, BYTE_BURST, DATAGRAMS_PER_SECOND, DATAGRAM_BURST, MAX_EVENTS,
    PLANNING_INTERVAL,
};
use std::collections::{BTreeMap, VecDeque};
use term::{Stage, Term};

/// How long a leader waits for more changes of the view.
const MEMBERSHIP_CHANGE_DELAY: Micros = 300_000;

/// What a gateway's part begins with.
#[derive(Debug, Clone, Default)]
pub struct ShardMapSettings {
    /// Ranges of a first map.
    pub count: usize,
    /// What operators propose by this gateway's file: to replace the map of this version by one of these ranges.
    pub proposal: Option<(u64, Vec<ShardRange>)>,
}

/// Something that operators should know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardMapEvent {
    /// A map is in force here: its version and its hash.
    InForce(u64, MapHash),
    /// This gateway had a map of another history: the version that it had, and the one that it takes over.
    OtherHistory(u64, u64),
    /// A map that was proposed is refused, at first because of this.
    Refused(String),
    /// All ranges of the map of this version are with their owners.
    Moved(u64),
}

/// One gateway's part.
#[derive(Debug)]
pub struct ShardMapNode {
    me: PeerId,
    name: String,
    incarnation: u64,
    started_at: Micros,
    lease_duration: Micros,
    count: usize,
    limits: Limits,
    cluster: ClusterState,
    acceptor: Acceptor,
    local_shards: LocalShards,
    suspended: bool,
    map: Option<ShardMap>,
    previous: Option<ShardMap>,
    cached_maps: VecDeque<ShardMap>,
    fetches: Vec<MapFetch>,
    waiting_datagrams: VecDeque<Datagram>,
    local_proposal: Option<LocalProposal>,
    /// Lives that have kept, and said that they go, with when that came.
    departed: BTreeMap<PeerId, (u64, Micros)>,
    term: Option<Term>,
    datagram_budget: TokenBucket,
    byte_budget: TokenBucket,
    wakeup_at: Micros,
    rng: Pcg64Mcg,
    events: VecDeque<ShardMapEvent>,
    /// Datagrams that make no sense, and those of names that no peer set here has.
    pub dropped: (u64, u64),
    /// Datagrams sent, and their bytes without headers.
    pub sent: (u64, u64),
}

impl ShardMapNode {
    /// A new incarnation that knows nothing. `lease` is the leadership's.
    pub fn new(
        now: Micros,
        name: &str,
        lease: Micros,
        settings: ShardMapSettings,
        seed: u64,
    ) -> ShardMapNode {
        let mut node = ShardMapNode {
            me: peer_id_of(name),
            name: name.to_string(),
            incarnation: 0,
            started_at: now,
            lease_duration: SHARD_LEASE_FACTOR * lease,
            count: settings.count,
            limits: Limits::default(),
            cluster: ClusterState::default(),
            acceptor: Acceptor::default(),
            local_shards: LocalShards::default(),
            suspended: false,
            map: None,
            previous: None,
            cached_maps: VecDeque::new(),
            fetches: Vec::new(),
            waiting_datagrams: VecDeque::new(),
            local_proposal: None,
            departed: BTreeMap::new(),
            term: None,
            datagram_budget: TokenBucket::full(now, DATAGRAM_BURST, DATAGRAMS_PER_SECOND),
            byte_budget: TokenBucket::full(now, BYTE_BURST, BYTES_PER_SECOND),
            wakeup_at: now,
            rng: Pcg64Mcg::seed_from_u64(seed),
            events: VecDeque::new(),
            dropped: (0, 0),
            sent: (0, 0),
        };
        if let Some((expect, ranges)) = settings.proposal {
            node.propose(now, expect, ranges);
        }
        node
    }

    /// What the view holds of the peer set's names.
    pub fn on_membership_change(&mut self, now: Micros, gateways: BTreeMap<String, PeerCondition>) {
        self.cluster.gateways = gateways;
        if let Some(term) = self.term.as_mut().filter(|term| term.plan_at <= now) {
            // Where one falls others may fall with it: they go in one map.
            term.plan_at = now + MEMBERSHIP_CHANGE_DELAY;
        }
        self.wakeup_at = self.wakeup_at.min(now);
    }

    /// The keys that this gateway keeps at this moment, from and up to.
    pub fn mine(&self, now: Micros) -> Vec<(Key, Key)> {
        let Some(map) = self.map.as_ref().filter(|_| !self.suspended) else {
            return Vec::new();
        };
        self.local_shards
            .mine(now, &self.name, map, self.previous.as_ref())
    }

    /// Whether this gateway keeps a key at this moment.
    pub fn keeps(&self, now: Micros, key: Key) -> bool {
        self.fence_of(now, key).is_some()
    }

    /// The fencing token that goes with what this gateway does as an owner of a key at this moment; none if it does not
    /// keep it.
    pub fn fence_of(&self, now: Micros, key: Key) -> Option<FencingToken> {
        let map = self
            .map
            .as_ref()
            .filter(|map| map.owner_of(key) == Some(&self.name))?;
        let mine = self.mine(now);
        let place = mine.partition_point(|(_, to)| *to <= key);
        let keeps = mine.get(place).is_some_and(|(from, _)| *from <= key);
        keeps.then_some(FencingToken {
            epoch: map.epoch,
            version: map.version,
        })
    }

    /// The map in force, as far as this gateway knows.
    pub fn map(&self) -> Option<&ShardMap> {
        self.map.as_ref()
    }

    /// Its version and its hash.
    pub fn in_force(&self) -> Option<(u64, MapHash)> {
        self.acceptor.in_force().map(|map| (map.version, map.hash))
    }

    /// The oldest thing to tell that was not taken yet.
    pub fn next_event(&mut self) -> Option<ShardMapEvent> {
        self.events.pop_front()
    }

    /// When [`ShardMapNode::on_timer`] is wanted.
    pub fn next_wakeup(&self) -> Micros {
        self.wakeup_at
    }

    /// The epoch in which this gateway rules.
    pub fn term(&self) -> Option<u64> {
        self.term.as_ref().map(|term| term.epoch)
    }

    /// This gateway lets go of all that it keeps, tells so, and takes no part any more. To be called before leadership
    /// leaves.
    pub fn leave(&mut self, now: Micros, election: &LeaderElection, sends: &mut Vec<Transmit>) {
        self.incarnation = election.incarnation();
        let had_lease = self.local_shards.had_lease() && !self.suspended;
        self.suspend();
        if had_lease {
            let leader = election.status(now).leader;
            // Whoever owns next has to know as well.
            let mut told = election.names();
            told.extend(leader);
            told.retain(|name| *name != self.me);
            for to in told {
                self.send(election, to, None, Kind::ReleaseLeases, sends);
            }
        }
    }

    fn suspend(&mut self) {
        self.local_shards.release_all();
        (self.suspended, self.term, self.wakeup_at) = (true, None, Micros::MAX);
        self.fetches.clear();
        self.waiting_datagrams.clear();
    }

    /// It takes part again. Another process had its name: what that one accepted is not known here.
    pub fn resume(&mut self, now: Micros) {
        self.acceptor = Acceptor::default();
        (self.suspended, self.started_at, self.wakeup_at) = (false, now, now);
        (self.map, self.previous) = (None, None);
    }

    /// Something is due, or past that.
    pub fn on_timer(
        &mut self,
        now: Micros,
        election: &mut LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        self.sync_with_election(now, election);
        if self.suspended {
            return;
        }
        self.refill_budgets(now);
        self.continue_fetches(now, election, sends);
        self.submit_proposal(now, election, sends);
        if let Some(mut term) = self.term.take() {
            self.run_leader(now, &mut term, election, sends);
            self.term = Some(term);
        }
        self.schedule_wakeup(now);
    }

    /// Goes by what leadership says at this moment.
    fn sync_with_election(&mut self, now: Micros, election: &LeaderElection) {
        match (election.is_hushed(), self.suspended) {
            (true, false) => self.suspend(),
            (false, true) => self.resume(now),
            _ => {}
        }
        self.incarnation = election.incarnation();
        let epoch = election.epoch(now);
        if epoch == self.term() {
            return;
        }
        self.term = epoch.map(|epoch| {
            let mut granted_leases = GrantedLeases::new(now, self.lease_duration);
            for (name, (incarnation, at)) in &self.departed {
                if now < at + self.lease_duration {
                    granted_leases.release(now, *name, *incarnation);
                }
            }
            Term::new(now, epoch, granted_leases)
        });
    }

    /// A datagram has come.
    pub fn on_datagram(
        &mut self,
        now: Micros,
        bytes: &[u8],
        election: &mut LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        let Some(datagram) = Datagram::decode(bytes) else {
            self.dropped.0 += 1;
            return;
        };
        if datagram.from == self.me || !election.names().contains(&datagram.from) {
            self.dropped.1 += 1;
            return;
        }
        self.sync_with_election(now, election);
        if self.suspended {
            return;
        }
        self.refill_budgets(now);
        self.dispatch(now, datagram, election, sends);
        if let Some(mut term) = self.term.take() {
            self.run_leader(now, &mut term, election, sends);
            self.term = Some(term);
        }
        self.schedule_wakeup(now);
    }

    fn dispatch(
        &mut self,
        now: Micros,
        datagram: Datagram,
        election: &mut LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        let Datagram {
            from,
            incarnation,
            to_incarnation,
            stamp,
            ref kind,
        } = datagram;
        match kind {
            Kind::Prepare(_) | Kind::Propose { .. } | Kind::GrantLease { .. } => {
                let Some((epoch, until)) = stamp else {
                    self.dropped.0 += 1;
                    return;
                };
                if election
                    .admit(
                        now,
                        from,
                        LeaseProof {
                            epoch,
                            to_incarnation,
                            until,
                        },
                    )
                    .is_ok()
                {
                    self.on_leader_request(now, epoch, datagram, election, sends);
                }
                return;
            }
            Kind::FetchChunk(hash, part) => {
                return self.send_chunk((from, incarnation), *hash, *part, sends)
            }
            Kind::ReleaseLeases => {
                // It is true of that incarnation, whoever is told.
                self.departed.insert(from, (incarnation, now));
                if let Some(term) = &mut self.term {
                    term.granted_leases.release(now, from, incarnation);
                }
                return;
            }
            _ if to_incarnation != self.incarnation => return,
            Kind::Chunk { .. } => return self.on_chunk(now, datagram, election, sends),
            Kind::ProposalResult {
                hash,
                state,
                findings,
            } => return self.on_proposal_result(*hash, *state, findings.clone()),
            Kind::SubmitProposal(hash) if self.term.is_some() && self.find(*hash).is_none() => {
                return self.fetch_for(now, *hash, datagram, election, sends);
            }
            _ => {}
        }
        let Some(mut term) = self.term.take() else {
            return;
        };
        self.on_reply(now, &mut term, datagram, election, sends);
        self.term = Some(term);
    }

    fn record_event(&mut self, event: ShardMapEvent) {
        if self.events.len() < MAX_EVENTS && self.events.back() != Some(&event) {
            self.events.push_back(event);
        }
    }

    fn schedule_wakeup(&mut self, now: Micros) {
        let mut next = now + PLANNING_INTERVAL;
        next = self
            .fetches
            .iter()
            .map(|fetch| fetch.retry_at)
            .fold(next, Micros::min);
        if let Some(proposal) = self
            .local_proposal
            .as_ref()
            .filter(|proposal| proposal.state == ProposalState::Waiting)
        {
            next = next.min(proposal.retry_at);
        }
        if let Some(term) = &self.term {
            let schedules = term
                .schedules
                .values()
                .map(|schedule| schedule.request_at.min(schedule.lease_at));
            next = schedules.fold(next, Micros::min);
            let ends = term
                .blocked
                .owners
                .iter()
                .map(|name| now + term.granted_leases.remaining(now, peer_id_of(name)));
            next = ends.fold(next, Micros::min);
            let mut other = vec![
                term.granted_leases.unknown_until(),
                self.started_at + longer(self.lease_duration),
            ];
            if let Stage::Preparing(replies) = &term.stage {
                other.extend(replies.values().map(|reply| reply.uncertain_until));
            }
            next = other
                .into_iter()
                .filter(|at| *at > now)
                .fold(next, Micros::min);
        }
        // Without a budget, or where a gateway was not heard of yet, it is looked at again soon.
        self.wakeup_at = next.max(now + 10_000);
    }
}

fn map_id(map: &ShardMap) -> MapId {
    MapId {
        epoch: map.epoch,
        version: map.version,
        hash: map.hash(),
    }
}
