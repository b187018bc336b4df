//! Shard map state machine of one gateway. As an acceptor it votes for maps, as an owner it acts by its lease, and as
//! the leader it decides the next map and grants leases.
//!
//! A new leader first runs phase one of [`super::consensus`], finishes a map that a majority may have accepted, and
//! grants no lease before that. From then on it sends each gateway the map in force with a lease ([`super::leases`]),
//! periodically. A gateway that acknowledges a map has released the keys that the map assigns to others. The next map
//! is proposed once no range of the last one is blocked.
//!
//! No I/O and no clock: inputs are `on_timer` and `on_datagram`, outputs are datagrams and [`ShardMapEvent`]s. Times
//! are in microseconds. Driven by the cluster node.

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
use super::wire::{Datagram, Kind, ProposalState, RequestProof};
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

/// Delay before a leader plans a map after a membership change, so that several changes go into one map.
const MEMBERSHIP_CHANGE_DELAY: Micros = 300_000;

/// Shortest time to the next wake-up, in microseconds.
const MIN_WAKEUP_DELAY: Micros = 10_000;

/// Settings of the state machine.
#[derive(Debug, Clone, Default)]
pub struct ShardMapSettings {
    /// Number of ranges of a first map.
    pub count: usize,
    /// Operators' proposal from this gateway's configuration: the version to replace, and the new ranges.
    pub proposal: Option<(u64, Vec<ShardRange>)>,
}

/// Events for the log of operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardMapEvent {
    /// A map is in force at this gateway: version and hash.
    InForce(u64, MapHash),
    /// The map of this gateway belonged to another history: its version, and the version of the map that replaces it.
    OtherHistory(u64, u64),
    /// A proposed map was rejected: text of the first finding.
    Refused(String),
    /// All ranges of the map of this version are owned by their new owners.
    Moved(u64),
}

/// Shard map state machine of one gateway.
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
    /// Incarnations that have released their leases, and when that was received.
    departed: BTreeMap<PeerId, (u64, Micros)>,
    term: Option<Term>,
    datagram_budget: TokenBucket,
    byte_budget: TokenBucket,
    wakeup_at: Micros,
    rng: Pcg64Mcg,
    events: VecDeque<ShardMapEvent>,
    /// Dropped datagrams: those that cannot be decoded, and those from unknown peers.
    pub dropped: (u64, u64),
    /// Sent datagrams, and their bytes without headers.
    pub sent: (u64, u64),
}

impl ShardMapNode {
    /// Starts with empty state. `lease` is the duration of the leadership lease in microseconds.
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

    /// The membership has changed: condition of each peer of the peer set.
    pub fn on_membership_change(&mut self, now: Micros, gateways: BTreeMap<String, PeerCondition>) {
        self.cluster.gateways = gateways;
        if let Some(term) = self.term.as_mut().filter(|term| term.plan_at <= now) {
            // A failure often takes several gateways at once: they go into one map.
            term.plan_at = now + MEMBERSHIP_CHANGE_DELAY;
        }
        self.wakeup_at = self.wakeup_at.min(now);
    }

    /// The key ranges `[from, to)` that this gateway owns now.
    pub fn owned_ranges(&self, now: Micros) -> Vec<(Key, Key)> {
        let Some(map) = self.map.as_ref().filter(|_| !self.suspended) else {
            return Vec::new();
        };
        self.local_shards
            .owned_ranges(now, &self.name, map, self.previous.as_ref())
    }

    /// Whether this gateway owns a key now.
    pub fn keeps(&self, now: Micros, key: Key) -> bool {
        self.fence_of(now, key).is_some()
    }

    /// The fencing token for actions of this gateway as the owner of a key; `None` if it does not own the key now.
    pub fn fence_of(&self, now: Micros, key: Key) -> Option<FencingToken> {
        let map = self
            .map
            .as_ref()
            .filter(|map| map.owner_of(key) == Some(&self.name))?;
        let mine = self.owned_ranges(now);
        let index = mine.partition_point(|(_, to)| *to <= key);
        let owns_key = mine.get(index).is_some_and(|(from, _)| *from <= key);
        owns_key.then_some(FencingToken {
            epoch: map.epoch,
            version: map.version,
        })
    }

    /// The map in force, as far as this gateway knows.
    pub fn map(&self) -> Option<&ShardMap> {
        self.map.as_ref()
    }

    /// Version and hash of the map in force.
    pub fn in_force(&self) -> Option<(u64, MapHash)> {
        self.acceptor.in_force().map(|map| (map.version, map.hash))
    }

    /// The oldest event that was not taken yet.
    pub fn next_event(&mut self) -> Option<ShardMapEvent> {
        self.events.pop_front()
    }

    /// When [`ShardMapNode::on_timer`] is wanted.
    pub fn next_wakeup(&self) -> Micros {
        self.wakeup_at
    }

    /// The epoch in which this gateway is the leader.
    pub fn term(&self) -> Option<u64> {
        self.term.as_ref().map(|term| term.epoch)
    }

    /// Releases all leases, notifies the peers, and suspends this state machine. Call it before leadership is released.
    pub fn leave(&mut self, now: Micros, election: &LeaderElection, sends: &mut Vec<Transmit>) {
        self.incarnation = election.incarnation();
        let had_lease = self.local_shards.had_lease() && !self.suspended;
        self.suspend();
        if had_lease {
            let leader = election.status(now).leader;
            // Each peer may be the next leader, so all are notified.
            let mut recipients = election.names();
            recipients.extend(leader);
            recipients.retain(|name| *name != self.me);
            for to in recipients {
                self.send(election, to, None, Kind::ReleaseLeases, sends);
            }
        }
    }

    /// Releases all leases and stops taking part.
    fn suspend(&mut self) {
        self.local_shards.release_all();
        (self.suspended, self.term, self.wakeup_at) = (true, None, Micros::MAX);
        self.fetches.clear();
        self.waiting_datagrams.clear();
    }

    /// Resumes after a suspension. Another process may have voted under this name, so that the acceptor starts without
    /// state.
    pub fn resume(&mut self, now: Micros) {
        self.acceptor = Acceptor::default();
        (self.suspended, self.started_at, self.wakeup_at) = (false, now, now);
        (self.map, self.previous) = (None, None);
    }

    /// Runs what is due.
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

    /// Takes over changes of the leadership: suspension, incarnation, and the start or end of an epoch.
    fn sync_with_election(&mut self, now: Micros, election: &LeaderElection) {
        match (election.is_suspended(), self.suspended) {
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

    /// Handles a datagram.
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

    /// Handles a datagram of a known peer by its kind.
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
            proof,
            ref kind,
        } = datagram;
        match kind {
            Kind::Prepare(_) | Kind::Propose { .. } | Kind::GrantLease { .. } => {
                let Some(RequestProof { epoch, valid_until }) = proof else {
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
                            until: valid_until,
                        },
                    )
                    .is_ok()
                {
                    self.on_leader_request(now, epoch, datagram, election, sends);
                }
                return;
            }
            Kind::FetchChunk(hash, index) => {
                return self.send_chunk((from, incarnation), *hash, *index, sends)
            }
            Kind::ReleaseLeases => {
                // The release is valid for that incarnation, whichever incarnation of this gateway it was sent to.
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

    /// Queues an event for the log, unless it repeats the last one or the queue is full.
    fn record_event(&mut self, event: ShardMapEvent) {
        if self.events.len() < MAX_EVENTS && self.events.back() != Some(&event) {
            self.events.push_back(event);
        }
    }

    /// Sets the next wake-up to the earliest time at which anything is due.
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
        // A minimum delay, for peers that are due but wait for the budget or for their first datagram.
        self.wakeup_at = next.max(now + MIN_WAKEUP_DELAY);
    }
}

/// Identity of a map.
fn map_id(map: &ShardMap) -> MapId {
    MapId {
        epoch: map.epoch,
        version: map.version,
        hash: map.hash(),
    }
}
