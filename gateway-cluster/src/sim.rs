//! A deterministic discrete-event simulation of a cluster in one thread: the seed decides everything.
//!
//! Datagrams are lost, duplicated, delayed and reordered. Links are blocked in one direction or both. Gateways are killed,
//! paused and restarted: a paused gateway receives the datagrams in its socket's buffer when it resumes, and its timers
//! are late. [`Sim`] runs any [`Protocol`]: [`Membership`] alone, or all layers as a [`SimulatedNode`].

use crate::membership::{Membership, MembershipSettings};
use crate::node::{self, ClusterNode};
use crate::peers::{peer_id_of, PeerId};
use crate::protocol::{
    IndexedTransmit, Micros, PeerIndex, PeerState, Protocol, StartOptions, Transmit,
};
use crate::sessions::classifier;
use crate::shards::node as shard_node;
use crate::shards::ShardRange;
use crate::wire::HEADER_BYTES;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Number of datagrams in the socket buffer of a paused gateway; further ones are lost.
const SOCKET_BUFFER_DATAGRAMS: usize = 256;

/// Behaviour of the network, for each datagram.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NetworkConditions {
    /// Minimum latency, in microseconds.
    pub delay: Micros,
    /// Maximum additional latency, in microseconds.
    pub jitter: Micros,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Probability that a datagram is duplicated.
    pub double: f64,
}

impl Default for NetworkConditions {
    fn default() -> NetworkConditions {
        NetworkConditions {
            delay: 500,
            jitter: 500,
            loss: 0.0,
            double: 0.0,
        }
    }
}

/// Counters of sent datagrams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sent {
    /// Number of datagrams.
    pub messages: u64,
    /// Bytes, with the headers of IP and UDP.
    pub bytes: u64,
    /// Size of the largest payload, in bytes.
    pub largest: usize,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival {
        to: PeerIndex,
        bytes: Vec<u8>,
    },
    /// A timer of the process with this incarnation number.
    Wakeup {
        gateway: PeerIndex,
        incarnation: u32,
    },
}

/// One gateway of the simulation.
struct SimulatedGateway<P> {
    /// The running process, if there is one.
    protocol: Option<P>,
    /// Number of the process, counted from the first start.
    incarnation: u32,
    /// The process is paused.
    stopped: bool,
    /// The socket's buffer, while the process is paused.
    buffer: VecDeque<Vec<u8>>,
    sent: Sent,
    /// Time of the next timer.
    wakeup_at: Option<Micros>,
}

/// A simulated cluster.
pub struct Sim<P> {
    now: Micros,
    gateways: Vec<SimulatedGateway<P>>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    event_count: u64,
    rng: Pcg64Mcg,
    /// Whether the link from one gateway to another is blocked, by `from * gateways + to`.
    blocked_links: Vec<bool>,
    probe: Micros,
    /// Behaviour of the network for datagrams that are sent from now on.
    pub network: NetworkConditions,
    sends: Vec<IndexedTransmit>,
}

impl<P: Protocol> Sim<P> {
    /// A cluster in which no gateway runs yet.
    pub fn new(gateways: usize, probe: Micros, seed: u64) -> Sim<P> {
        let new_gateway = || SimulatedGateway {
            protocol: None,
            incarnation: 0,
            stopped: false,
            buffer: VecDeque::new(),
            sent: Sent::default(),
            wakeup_at: None,
        };
        Sim {
            now: 0,
            gateways: (0..gateways).map(|_| new_gateway()).collect(),
            events: BinaryHeap::new(),
            event_count: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            blocked_links: vec![false; gateways * gateways],
            probe,
            network: NetworkConditions::default(),
            sends: Vec::new(),
        }
    }

    /// The simulated time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Number of gateways.
    pub fn peers(&self) -> usize {
        self.gateways.len()
    }

    /// Whether a process of this gateway runs, paused or not.
    pub fn runs(&self, gateway: PeerIndex) -> bool {
        self.gateways[gateway].protocol.is_some()
    }

    /// Starts a new process of a gateway. Its wall clock reads `unix` microseconds since 1970.
    pub fn start(&mut self, gateway: PeerIndex, unix: Micros) {
        let seed = self.rng.random();
        let options = StartOptions {
            own_index: gateway,
            peer_count: self.gateways.len(),
            unix_us: unix,
            probe_period: self.probe,
            seed,
        };
        let protocol = P::start(self.now, options, &mut self.sends);
        let state = &mut self.gateways[gateway];
        (state.protocol, state.stopped, state.wakeup_at) = (Some(protocol), false, None);
        state.incarnation += 1;
        state.buffer.clear();
        self.dispatch_sends(gateway);
    }

    /// Shuts a gateway down gracefully.
    pub fn leave(&mut self, gateway: PeerIndex) {
        let now = self.now;
        if let Some(protocol) = &mut self.gateways[gateway].protocol {
            protocol.leave(now, &mut self.sends);
        }
        self.dispatch_sends(gateway);
        self.kill(gateway);
    }

    /// Runs an operation on a gateway's protocol and dispatches what it sends.
    pub fn act<T>(
        &mut self,
        gateway: PeerIndex,
        act: impl FnOnce(&mut P, Micros, &mut Vec<IndexedTransmit>) -> T,
    ) -> Option<T> {
        let now = self.now;
        let done = self.gateways[gateway]
            .protocol
            .as_mut()
            .map(|protocol| act(protocol, now, &mut self.sends));
        self.dispatch_sends(gateway);
        done
    }

    /// Whether a gateway's process is paused.
    pub fn is_stopped(&self, gateway: PeerIndex) -> bool {
        self.gateways[gateway].stopped
    }

    /// Kills a gateway's process.
    pub fn kill(&mut self, gateway: PeerIndex) {
        self.gateways[gateway].protocol = None;
    }

    /// Pauses a gateway's process, or resumes it.
    pub fn stop(&mut self, gateway: PeerIndex, stopped: bool) {
        self.gateways[gateway].stopped = stopped;
        if !stopped {
            // The late timer runs before the buffered datagrams, which is the harder order for the protocols.
            self.on_timer(gateway);
            while let Some(bytes) = self.gateways[gateway].buffer.pop_front() {
                self.deliver(gateway, bytes);
            }
        }
    }

    /// Blocks the link from one gateway to another, or unblocks it.
    pub fn cut(&mut self, from: PeerIndex, to: PeerIndex, blocked: bool) {
        let link = from * self.gateways.len() + to;
        self.blocked_links[link] = blocked;
    }

    /// Partitions the network: links between gateways with different sides are blocked, all others unblocked.
    pub fn partition(&mut self, side: impl Fn(PeerIndex) -> usize) {
        for from in 0..self.gateways.len() {
            for to in 0..self.gateways.len() {
                self.cut(from, to, side(from) != side(to));
            }
        }
    }

    /// Runs the simulation up to this time.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(Reverse((at, ..))) = self.events.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = at;
            match event {
                Event::Arrival { to, bytes } => self.deliver(to, bytes),
                Event::Wakeup {
                    gateway,
                    incarnation,
                } => {
                    let state = &self.gateways[gateway];
                    if state.incarnation == incarnation
                        && state.wakeup_at == Some(at)
                        && !state.stopped
                    {
                        self.on_timer(gateway);
                    }
                }
            }
        }
        self.now = until;
    }

    /// The peer states at a gateway; `None` while it does not run.
    pub fn view(&self, gateway: PeerIndex) -> Option<Vec<PeerState>> {
        self.gateways[gateway].protocol.as_ref().map(P::view)
    }

    /// The protocol of a gateway that runs.
    pub fn engine(&mut self, gateway: PeerIndex) -> Option<&mut P> {
        self.gateways[gateway].protocol.as_mut()
    }

    /// Whether in each running gateway's view exactly the running gateways are alive and all others dead.
    pub fn has_converged(&self) -> bool {
        let is_running: Vec<bool> = (0..self.gateways.len())
            .map(|gateway| self.runs(gateway))
            .collect();
        let is_correct = |view: Vec<PeerState>| {
            view.iter().zip(&is_running).all(|(state, runs)| {
                *state
                    == if *runs {
                        PeerState::Alive
                    } else {
                        PeerState::Dead
                    }
            })
        };
        (0..self.gateways.len())
            .filter_map(|gateway| self.view(gateway))
            .all(is_correct)
    }

    /// Runs in steps of 50 ms until `done` is true, at most until this time. Returns the time at which it was true.
    pub fn run_until_true(
        &mut self,
        until: Micros,
        done: impl Fn(&Sim<P>) -> bool,
    ) -> Option<Micros> {
        while self.now < until {
            if done(self) {
                return Some(self.now);
            }
            self.run_until((self.now + 50_000).min(until));
        }
        done(self).then_some(self.now)
    }

    /// Takes the counters of a gateway's datagrams since the last call.
    pub fn take_sent(&mut self, gateway: PeerIndex) -> Sent {
        std::mem::take(&mut self.gateways[gateway].sent)
    }

    fn deliver(&mut self, to: PeerIndex, bytes: Vec<u8>) {
        let gateway = &mut self.gateways[to];
        if gateway.stopped {
            if gateway.buffer.len() < SOCKET_BUFFER_DATAGRAMS {
                gateway.buffer.push_back(bytes);
            }
            return;
        }
        if let Some(protocol) = &mut gateway.protocol {
            protocol.on_datagram(self.now, &bytes, &mut self.sends);
            self.dispatch_sends(to);
        }
    }

    fn on_timer(&mut self, gateway: PeerIndex) {
        let now = self.now;
        let Some(protocol) = &mut self.gateways[gateway].protocol else {
            return;
        };
        if protocol
            .next_wakeup()
            .is_some_and(|next_wakeup| next_wakeup <= now)
        {
            protocol.on_timer(now, &mut self.sends);
        }
        self.gateways[gateway].wakeup_at = None;
        self.dispatch_sends(gateway);
    }

    /// Schedules the arrival of the datagrams that a gateway sent, and its next timer.
    fn dispatch_sends(&mut self, from: PeerIndex) {
        let gateways = self.gateways.len();
        for IndexedTransmit { to, bytes } in std::mem::take(&mut self.sends) {
            let sent = &mut self.gateways[from].sent;
            sent.messages += 1;
            sent.bytes += (bytes.len() + HEADER_BYTES) as u64;
            sent.largest = sent.largest.max(bytes.len());
            if to >= gateways
                || self.blocked_links[from * gateways + to]
                || self.rng.random_bool(self.network.loss)
            {
                continue;
            }
            let copies = 1 + usize::from(self.rng.random_bool(self.network.double));
            for _ in 0..copies {
                let jitter = self.rng.random_range(0..=self.network.jitter);
                let at = self.now + self.network.delay + jitter;
                self.schedule(
                    at,
                    Event::Arrival {
                        to,
                        bytes: bytes.clone(),
                    },
                );
            }
        }
        let gateway = &mut self.gateways[from];
        let next_wakeup = gateway
            .protocol
            .as_ref()
            .and_then(P::next_wakeup)
            .map(|next_wakeup| next_wakeup.max(self.now));
        if next_wakeup != gateway.wakeup_at {
            gateway.wakeup_at = next_wakeup;
            let incarnation = gateway.incarnation;
            if let Some(at) = next_wakeup {
                self.schedule(
                    at,
                    Event::Wakeup {
                        gateway: from,
                        incarnation,
                    },
                );
            }
        }
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }
}

/// The membership alone in the simulation.
impl Protocol for Membership {
    fn start(now: Micros, options: StartOptions, sends: &mut Vec<IndexedTransmit>) -> Membership {
        let peers: Vec<String> = (0..options.peer_count).map(name_of).collect();
        let name = name_of(options.own_index);
        let settings = MembershipSettings {
            peers,
            name,
            unix_ms: options.unix_us / 1000,
            probe: options.probe_period,
        };
        // Generated names are valid.
        Membership::new(now, settings, options.seed, sends)
            .unwrap_or_else(|error| unreachable!("{error}"))
    }
    fn on_datagram(&mut self, now: Micros, bytes: &[u8], sends: &mut Vec<IndexedTransmit>) {
        Membership::on_datagram(self, now, bytes, sends);
    }
    fn next_wakeup(&self) -> Option<Micros> {
        Some(Membership::next_wakeup(self))
    }
    fn on_timer(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>) {
        Membership::on_timer(self, now, sends);
    }
    fn view(&self) -> Vec<PeerState> {
        self.states()
    }
    fn leave(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>) {
        Membership::leave(self, now, sends);
    }
}

/// All layers in the simulation: membership, leader election with a lease of `LEASE_MS`, a shard map with `RANGES` initial
/// ranges unless that is 0, and session classification if `SESSIONS` is set.
pub struct SimulatedNode<const LEASE_MS: u64, const RANGES: usize = 0, const SESSIONS: bool = false>
{
    /// The node.
    pub stack: ClusterNode,
    /// Ids of all gateways of the simulation, by index.
    all_ids: Vec<PeerId>,
    transmits: Vec<Transmit>,
    /// Datagrams of the leader election.
    pub sent: Sent,
    /// Datagrams of the shard map.
    pub kept: Sent,
    /// Datagrams of the session classification.
    pub told: Sent,
}

impl<const LEASE_MS: u64, const RANGES: usize, const SESSIONS: bool>
    SimulatedNode<LEASE_MS, RANGES, SESSIONS>
{
    fn settings(view: MembershipSettings) -> node::ClusterNodeSettings {
        let shards = (RANGES > 0).then_some(shard_node::ShardMapSettings {
            count: RANGES,
            proposal: None,
        });
        let sessions = SESSIONS.then(classifier::ClassifierSettings::default);
        node::ClusterNodeSettings {
            view,
            lease: Some(LEASE_MS * 1000),
            shards,
            sessions,
        }
    }

    /// Proposes a shard map at this gateway, as operators do.
    pub fn propose(
        &mut self,
        now: Micros,
        expect: u64,
        ranges: Vec<ShardRange>,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        if let Some(shard_map) = self.stack.shard_map_mut() {
            shard_map.propose(now, expect, ranges);
        }
        self.stack.on_timer(now, &mut self.transmits);
        self.route_transmits(sends);
    }

    /// Replaces the peer set by the gateways with these indexes.
    pub fn set_peers(
        &mut self,
        now: Micros,
        indexes: impl Iterator<Item = PeerIndex>,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        let result = self
            .stack
            .set_peers(now, indexes.map(name_of).collect(), &mut self.transmits);
        result.unwrap_or_else(|error| unreachable!("{error}"));
        self.route_transmits(sends);
    }

    /// Restarts without state, with the gateways of these indexes as peer set.
    pub fn begin(
        &mut self,
        now: Micros,
        options: StartOptions,
        indexes: impl Iterator<Item = PeerIndex>,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        let view = MembershipSettings {
            peers: indexes.map(name_of).collect(),
            name: name_of(options.own_index),
            unix_ms: options.unix_us / 1000,
            probe: options.probe_period,
        };
        let stack = ClusterNode::new(now, Self::settings(view), options.seed, &mut self.transmits);
        self.stack = stack.unwrap_or_else(|error| unreachable!("{error}"));
        self.route_transmits(sends);
    }

    /// Hands the name over to another process.
    pub fn hand_over(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>) {
        self.stack.hand_over(now, &mut self.transmits);
        self.route_transmits(sends);
    }

    fn route_transmits(&mut self, sends: &mut Vec<IndexedTransmit>) {
        for Transmit { to, bytes } in self.transmits.drain(..) {
            let sent = match bytes.first() {
                Some(&crate::leadership::wire::VERSION) => Some(&mut self.sent),
                Some(&crate::shards::wire::VERSION) => Some(&mut self.kept),
                Some(&crate::sessions::wire::VERSION) => Some(&mut self.told),
                _ => None,
            };
            if let Some(sent) = sent {
                sent.messages += 1;
                sent.bytes += bytes.len() as u64 + HEADER_BYTES as u64;
                sent.largest = sent.largest.max(bytes.len());
            }
            let index = self.all_ids.iter().position(|id| *id == to);
            sends.extend(index.map(|to| IndexedTransmit { to, bytes }));
        }
    }
}

fn name_of(index: PeerIndex) -> String {
    format!("n{index:03}")
}

impl<const LEASE_MS: u64, const RANGES: usize, const SESSIONS: bool> Protocol
    for SimulatedNode<LEASE_MS, RANGES, SESSIONS>
{
    fn start(now: Micros, options: StartOptions, sends: &mut Vec<IndexedTransmit>) -> Self {
        let peers: Vec<String> = (0..options.peer_count).map(name_of).collect();
        let all_ids = peers.iter().map(|name| peer_id_of(name)).collect();
        let name = name_of(options.own_index);
        let view = MembershipSettings {
            peers,
            name,
            unix_ms: options.unix_us / 1000,
            probe: options.probe_period,
        };
        let mut transmits = Vec::new();
        let stack = ClusterNode::new(now, Self::settings(view), options.seed, &mut transmits);
        let stack = stack.unwrap_or_else(|error| unreachable!("{error}"));
        let (sent, kept, told) = Default::default();
        let mut node = SimulatedNode {
            stack,
            all_ids,
            transmits,
            sent,
            kept,
            told,
        };
        node.route_transmits(sends);
        node
    }
    fn on_datagram(&mut self, now: Micros, bytes: &[u8], sends: &mut Vec<IndexedTransmit>) {
        self.stack.on_datagram(now, bytes, &mut self.transmits);
        self.route_transmits(sends);
    }
    fn next_wakeup(&self) -> Option<Micros> {
        Some(self.stack.next_wakeup())
    }
    fn on_timer(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>) {
        self.stack.on_timer(now, &mut self.transmits);
        self.route_transmits(sends);
    }
    fn view(&self) -> Vec<PeerState> {
        self.stack.view().states()
    }
    fn leave(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>) {
        self.stack.leave(now, &mut self.transmits);
        self.route_transmits(sends);
    }
}

#[cfg(test)]
mod tests;
