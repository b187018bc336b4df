//! One gateway of the cluster: membership, leader election, shard map and session classification behind one socket.
//!
//! The version byte of a datagram selects the layer. Each layer sees only the ones below: the election receives the alive
//! peers of the membership, the shard map the leader, the sessions the shard map. Datagrams that no layer understands are
//! counted by the membership and dropped.

use crate::leadership::election::{self, LeaderElection};
use crate::leadership::wire::VERSION as LEADERSHIP;
use crate::membership::{self, DroppedDatagrams, Membership};
use crate::peers::{peer_id_of, PeerId, PeerSetError};
use crate::protocol::{IndexedTransmit, Micros, PeerState, Transmit};
use crate::sessions::classifier::{self, ClusterContext, SessionClassifier};
use crate::sessions::evidence::{ConnectionUse, Outcome};
use crate::sessions::verdicts::ConnectionPolicy;
use crate::sessions::wire::VERSION as SESSIONS;
use crate::sessions::{Backend, Customer};
use crate::shards;
use crate::shards::node::ShardMapNode;
use crate::shards::wire::VERSION as SHARDS;
use crate::shards::{Key, PeerCondition};
use crate::wire::HEADER_BYTES;

/// Settings of [`ClusterNode`].
#[derive(Debug, Clone)]
pub struct ClusterNodeSettings {
    /// Settings of the membership.
    pub view: membership::MembershipSettings,
    /// Lease duration of the leader election in microseconds; `None` disables the election.
    pub lease: Option<Micros>,
    /// Settings of the shard map; ignored without a lease.
    pub shards: Option<shards::node::ShardMapSettings>,
    /// Settings of the session classification; ignored without a shard map.
    pub sessions: Option<classifier::ClassifierSettings>,
}

/// Counters of one layer above the membership.
struct LayerCounters {
    /// Datagrams, and their bytes without headers.
    sent: (u64, u64),
    /// Malformed datagrams, and those of unknown senders.
    dropped: (u64, u64),
}

/// The cluster protocols at one gateway, for one incarnation of it.
#[derive(Debug)]
pub struct ClusterNode {
    membership: Membership,
    election: Option<LeaderElection>,
    shard_map: Option<ShardMapNode>,
    sessions: Option<SessionClassifier>,
    /// Ids of the peer set, by index.
    ids: Vec<PeerId>,
    /// Time of the last membership change that the election and the shard map received.
    last_advised_change_at: Option<Micros>,
    /// This gateway is shutting down, or has handed its name over to another process.
    is_stopped: bool,
    /// Datagrams of the membership, collected during an input.
    membership_transmits: Vec<IndexedTransmit>,
    /// Datagrams of the other layers, collected during an input.
    upper_layer_transmits: Vec<Transmit>,
}

impl ClusterNode {
    /// Starts a new incarnation, which knows only the names of the peer set.
    ///
    /// # Errors
    /// As for [`Membership::new`].
    pub fn new(
        now: Micros,
        settings: ClusterNodeSettings,
        seed: u64,
        transmits: &mut Vec<Transmit>,
    ) -> Result<ClusterNode, PeerSetError> {
        let ClusterNodeSettings {
            view,
            lease,
            shards,
            sessions,
        } = settings;
        let (name, unix_ms) = (peer_id_of(&view.name), view.unix_ms);
        let shard_map = lease.zip(shards).map(|(lease, settings)| {
            ShardMapNode::new(now, &view.name, lease, settings, seed.rotate_left(16))
        });
        let sessions = sessions.filter(|_| shard_map.is_some()).map(|settings| {
            SessionClassifier::new(now, &view.name, unix_ms, settings, seed.rotate_left(48))
        });
        let mut membership_transmits = Vec::new();
        let view = Membership::new(now, view, seed, &mut membership_transmits)?;
        let ids = peer_ids(&view);
        let election = lease.map(|lease| {
            let settings = election::ElectionSettings {
                names: ids.clone(),
                name,
                lease,
                unix_ms,
            };
            LeaderElection::new(now, settings, seed.rotate_left(32))
        });
        let (last_advised_change_at, is_stopped, upper_layer_transmits) = (None, false, Vec::new());
        let mut node = ClusterNode {
            membership: view,
            election,
            shard_map,
            sessions,
            ids,
            last_advised_change_at,
            is_stopped,
            membership_transmits,
            upper_layer_transmits,
        };
        node.advance(now, transmits);
        Ok(node)
    }

    /// The membership.
    pub fn view(&self) -> &Membership {
        &self.membership
    }

    /// The membership, to take changes from it.
    pub fn membership_mut(&mut self) -> &mut Membership {
        &mut self.membership
    }

    /// Number of datagrams sent by all layers, and their bytes with the headers of IP and UDP.
    pub fn sent(&self) -> (u64, u64) {
        let (mut messages, mut bytes) = self.membership.sent;
        // The other layers count bytes without headers.
        for (layer_messages, layer_bytes) in self.upper_layer_counters().map(|layer| layer.sent) {
            messages += layer_messages;
            bytes += layer_bytes + layer_messages * HEADER_BYTES as u64;
        }
        (messages, bytes)
    }

    /// Counters of the datagrams that any layer dropped.
    pub fn dropped(&self) -> DroppedDatagrams {
        let mut dropped = self.membership.dropped;
        for (malformed, unknown) in self.upper_layer_counters().map(|layer| layer.dropped) {
            dropped.malformed += malformed;
            dropped.unknown += unknown;
        }
        dropped
    }

    /// The counters of the enabled layers above the membership.
    fn upper_layer_counters(&self) -> impl Iterator<Item = LayerCounters> {
        let election = self.election.as_ref().map(|layer| LayerCounters {
            sent: layer.sent,
            dropped: layer.dropped,
        });
        let shard_map = self.shard_map.as_ref().map(|layer| LayerCounters {
            sent: layer.sent,
            dropped: layer.dropped,
        });
        let sessions = self.sessions.as_ref().map(|layer| LayerCounters {
            sent: layer.sent,
            dropped: layer.dropped,
        });
        [election, shard_map, sessions].into_iter().flatten()
    }

    /// The shard map, if it is enabled.
    pub fn shard_map(&self) -> Option<&ShardMapNode> {
        self.shard_map.as_ref()
    }

    /// The shard map, to take events from it.
    pub fn shard_map_mut(&mut self) -> Option<&mut ShardMapNode> {
        self.shard_map.as_mut()
    }

    /// The session classification, if it is enabled.
    pub fn sessions(&self) -> Option<&SessionClassifier> {
        self.sessions.as_ref()
    }

    /// Records the outcome of a customer's request for the session classification.
    pub fn record_request(
        &mut self,
        now: Micros,
        customer: Customer,
        backend: Backend,
        conn: ConnectionUse,
        outcome: Outcome,
    ) {
        if let Some(sessions) = &mut self.sessions {
            sessions.record_request(now, customer, backend, conn, outcome);
        }
    }

    /// The connection policy for a customer's request.
    pub fn connection_policy(&mut self, now: Micros, customer: Customer) -> ConnectionPolicy {
        match (&mut self.sessions, &self.shard_map) {
            (Some(sessions), Some(shard_map)) => {
                sessions.connection_policy(now, customer, shard_map)
            }
            _ => ConnectionPolicy::Any,
        }
    }

    /// The status of a customer's session classification, for operators.
    pub fn session_status(
        &self,
        now: Micros,
        customer: Customer,
    ) -> Option<classifier::ClassifierStatus> {
        let (sessions, shard_map) = self.sessions.as_ref().zip(self.shard_map.as_ref())?;
        Some(sessions.status(now, customer, shard_map))
    }

    /// The key ranges that this gateway owns at this time, each from a key (inclusive) to a key (exclusive).
    pub fn owned_ranges(&self, now: Micros) -> Vec<(Key, Key)> {
        let shard_map = self
            .shard_map
            .as_ref()
            .filter(|_| !self.is_stopped && !self.membership.is_superseded());
        shard_map.map_or_else(Vec::new, |shard_map| shard_map.owned_ranges(now))
    }

    /// The leader election, if it is enabled.
    pub fn election(&self) -> Option<&LeaderElection> {
        self.election.as_ref()
    }

    /// The leader election, to take events from it.
    pub fn election_mut(&mut self) -> Option<&mut LeaderElection> {
        self.election.as_mut()
    }

    /// Replaces the peer set.
    ///
    /// # Errors
    /// As for [`Membership::set_peers`]; nothing is changed then.
    pub fn set_peers(
        &mut self,
        now: Micros,
        names: Vec<String>,
        transmits: &mut Vec<Transmit>,
    ) -> Result<(), PeerSetError> {
        self.membership.set_peers(now, names)?;
        self.ids = peer_ids(&self.membership);
        if let Some(election) = &mut self.election {
            election.set_peers(now, self.ids.clone(), &mut self.upper_layer_transmits);
        }
        self.advance(now, transmits);
        Ok(())
    }

    /// Handles a received datagram.
    pub fn on_datagram(&mut self, now: Micros, bytes: &[u8], transmits: &mut Vec<Transmit>) {
        match (&mut self.election, bytes.first()) {
            (Some(election), Some(&LEADERSHIP)) => {
                election.on_datagram(now, bytes, &mut self.upper_layer_transmits);
            }
            (Some(election), Some(&SHARDS)) => match &mut self.shard_map {
                Some(shard_map) => {
                    shard_map.on_datagram(now, bytes, election, &mut self.upper_layer_transmits);
                }
                None => self
                    .membership
                    .on_datagram(now, bytes, &mut self.membership_transmits),
            },
            (Some(_), Some(&SESSIONS)) if self.sessions.is_some() => {
                self.with_sessions(|classifier, context, sends| {
                    classifier.on_datagram(now, bytes, context, sends);
                });
            }
            _ => self
                .membership
                .on_datagram(now, bytes, &mut self.membership_transmits),
        }
        self.advance(now, transmits);
    }

    /// When [`ClusterNode::on_timer`] is to be called next.
    pub fn next_wakeup(&self) -> Micros {
        let election = self
            .election
            .as_ref()
            .map_or(Micros::MAX, LeaderElection::next_wakeup);
        let shard_map = self
            .shard_map
            .as_ref()
            .map_or(Micros::MAX, ShardMapNode::next_wakeup);
        let sessions = self
            .sessions
            .as_ref()
            .map_or(Micros::MAX, SessionClassifier::next_wakeup);
        election
            .min(shard_map)
            .min(sessions)
            .min(self.membership.next_wakeup())
    }

    /// Runs the timers that are due.
    pub fn on_timer(&mut self, now: Micros, transmits: &mut Vec<Transmit>) {
        if now >= self.membership.next_wakeup() {
            self.membership
                .on_timer(now, &mut self.membership_transmits);
        }
        if let Some(election) = self
            .election
            .as_mut()
            .filter(|election| now >= election.next_wakeup())
        {
            election.on_timer(now, &mut self.upper_layer_transmits);
        }
        self.advance(now, transmits);
    }

    /// Shuts down: releases shards and leadership and announces the shutdown to peers.
    pub fn leave(&mut self, now: Micros, transmits: &mut Vec<Transmit>) {
        self.stop(now);
        self.membership.leave(now, &mut self.membership_transmits);
        self.advance(now, transmits);
    }

    /// Hands the name over to another process: releases shards and leadership, and takes no part until
    /// [`ClusterNode::resume`].
    pub fn hand_over(&mut self, now: Micros, transmits: &mut Vec<Transmit>) {
        self.stop(now);
        self.advance(now, transmits);
    }

    /// Releases all leases for a shutdown or a hand-over.
    fn stop(&mut self, now: Micros) {
        self.is_stopped = true;
        self.release_leases(now);
    }

    /// Releases the shard leases, then the leadership.
    fn release_leases(&mut self, now: Micros) {
        let Some(election) = &mut self.election else {
            return;
        };
        if let Some(shard_map) = &mut self.shard_map {
            shard_map.leave(now, election, &mut self.upper_layer_transmits);
        }
        election.leave(now, &mut self.upper_layer_transmits);
    }

    /// Takes part again, after the process that took the name over has ended.
    pub fn resume(&mut self, now: Micros) {
        self.is_stopped = false;
        if let Some(election) = self
            .election
            .as_mut()
            .filter(|election| election.is_suspended())
        {
            election.resume(now);
        }
    }

    /// Calls the session classification with the current membership and shard map.
    fn with_sessions(
        &mut self,
        act: impl FnOnce(&mut SessionClassifier, &ClusterContext<'_>, &mut Vec<Transmit>),
    ) {
        let Some((classifier, shard_map)) = self.sessions.as_mut().zip(self.shard_map.as_ref())
        else {
            return;
        };
        let context = ClusterContext {
            shard_map,
            names: self.membership.names(),
            states: &self.membership.states(),
            side: self.membership.side(),
            silent: self.is_stopped || self.membership.is_superseded(),
        };
        act(classifier, &context, &mut self.upper_layer_transmits);
    }

    /// Passes changes between the layers and collects the datagrams of all of them. Called after each input.
    fn advance(&mut self, now: Micros, transmits: &mut Vec<Transmit>) {
        self.advise_of_membership(now);
        self.follow_supersession(now);
        self.advance_shard_map(now);
        self.advance_sessions(now);
        self.collect_transmits(transmits);
    }

    /// Passes a change of the membership to the election and to the shard map.
    fn advise_of_membership(&mut self, now: Micros) {
        let Some(election) = &mut self.election else {
            return;
        };
        let last_change_at = now - self.membership.settled(now);
        if self.last_advised_change_at == Some(last_change_at) {
            return;
        }
        self.last_advised_change_at = Some(last_change_at);
        let states = self.membership.states();
        let alive = self.ids.iter().zip(&states);
        let alive = alive.filter(|(_, state)| **state == PeerState::Alive);
        election.on_membership_change(alive.map(|(id, _)| *id).collect());
        if let Some(shard_map) = &mut self.shard_map {
            let names = self.membership.names().iter().cloned();
            let conditions = states.into_iter().map(peer_condition);
            shard_map.on_membership_change(now, names.zip(conditions).collect());
        }
    }

    /// Of two processes with one name, the one that the membership supersedes takes no part in the election either.
    fn follow_supersession(&mut self, now: Micros) {
        let is_superseded = self.membership.is_superseded();
        let is_paused = self
            .election
            .as_ref()
            .is_some_and(LeaderElection::is_suspended);
        match (is_superseded, is_paused) {
            (true, false) => self.release_leases(now),
            (false, true) if !self.is_stopped => self.resume(now),
            _ => {}
        }
    }

    /// Runs the timers of the shard map. A change of the leader takes effect in it at once.
    fn advance_shard_map(&mut self, now: Micros) {
        let Some((election, shard_map)) = self.election.as_mut().zip(self.shard_map.as_mut())
        else {
            return;
        };
        if now >= shard_map.next_wakeup() || election.epoch(now) != shard_map.term() {
            shard_map.on_timer(now, election, &mut self.upper_layer_transmits);
        }
    }

    fn advance_sessions(&mut self, now: Micros) {
        let is_due = self
            .sessions
            .as_ref()
            .is_some_and(|classifier| now >= classifier.next_wakeup());
        if is_due {
            self.with_sessions(|classifier, context, sends| {
                classifier.on_timer(now, context, sends);
            });
        }
    }

    fn collect_transmits(&mut self, transmits: &mut Vec<Transmit>) {
        let ids = &self.ids;
        let addressed = self.membership_transmits.drain(..).filter_map(|transmit| {
            Some(Transmit {
                to: *ids.get(transmit.to)?,
                bytes: transmit.bytes,
            })
        });
        transmits.extend(addressed);
        transmits.append(&mut self.upper_layer_transmits);
    }
}

/// The condition of a peer for the shard map: a suspected peer still counts as alive.
fn peer_condition(state: PeerState) -> PeerCondition {
    match state {
        PeerState::Alive | PeerState::Suspect => PeerCondition::Alive,
        PeerState::Dead => PeerCondition::Dead,
    }
}

/// The ids of a membership's peer set, in the order of the names.
fn peer_ids(membership: &Membership) -> Vec<PeerId> {
    membership
        .names()
        .iter()
        .map(|name| peer_id_of(name))
        .collect()
}
