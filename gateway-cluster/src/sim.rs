//! A network of gateways in one thread: all that happens follows from the seed.
//!
//! Datagrams are lost, doubled, delayed and so overtaken; links are cut one way; gateways are killed, stopped and started
//! anew. A stopped gateway receives what its socket's buffer holds once it goes on, and its timers are late.

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

/// Datagrams that a stopped gateway's socket holds. More are lost.
const BUFFERED: usize = 256;

/// What the network does to every datagram.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NetworkConditions {
    /// Least time on the way, and by how much it varies at most.
    pub delay: Micros,
    /// Up to so much more.
    pub jitter: Micros,
    /// The chance that a datagram is lost.
    pub loss: f64,
    /// The chance that it comes twice.
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

/// What a gateway has sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sent {
    /// Datagrams.
    pub messages: u64,
    /// Bytes, with the headers of IP and UDP.
    pub bytes: u64,
    /// The largest payload.
    pub largest: usize,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive {
        to: PeerIndex,
        bytes: Vec<u8>,
    },
    /// Of the incarnation with this number.
    Wake {
        gateway: PeerIndex,
        incarnation: u32,
    },
}

struct Door<E> {
    engine: Option<E>,
    incarnation: u32,
    stopped: bool,
    buffer: VecDeque<Vec<u8>>,
    sent: Sent,
    /// When the engine is woken next.
    wakes: Option<Micros>,
}

/// The simulated cluster.
pub struct Sim<E> {
    now: Micros,
    gateways: Vec<Door<E>>,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    count: u64,
    rng: Pcg64Mcg,
    /// Whether nothing passes from one gateway to another, by `from * gateways + to`.
    cut: Vec<bool>,
    probe: Micros,
    /// What happens to datagrams that are sent from now on.
    pub network: NetworkConditions,
    sends: Vec<IndexedTransmit>,
}

impl<E: Protocol> Sim<E> {
    /// A cluster of which nobody runs yet.
    pub fn new(gateways: usize, probe: Micros, seed: u64) -> Sim<E> {
        let gateway = || Door {
            engine: None,
            incarnation: 0,
            stopped: false,
            buffer: VecDeque::new(),
            sent: Sent::default(),
            wakes: None,
        };
        Sim {
            now: 0,
            gateways: (0..gateways).map(|_| gateway()).collect(),
            queue: BinaryHeap::new(),
            count: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            cut: vec![false; gateways * gateways],
            probe,
            network: NetworkConditions::default(),
            sends: Vec::new(),
        }
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Names in the peer set.
    pub fn peers(&self) -> usize {
        self.gateways.len()
    }

    /// Whether a process of this gateway runs, stopped or not.
    pub fn runs(&self, gateway: PeerIndex) -> bool {
        self.gateways[gateway].engine.is_some()
    }

    /// Starts a gateway from nothing. Its wall clock says `unix`.
    pub fn start(&mut self, gateway: PeerIndex, unix: Micros) {
        let seed = self.rng.random();
        let options = StartOptions {
            own_index: gateway,
            peer_count: self.gateways.len(),
            unix_us: unix,
            probe_period: self.probe,
            seed,
        };
        let engine = E::start(self.now, options, &mut self.sends);
        let place = &mut self.gateways[gateway];
        (place.engine, place.stopped, place.wakes) = (Some(engine), false, None);
        place.incarnation += 1;
        place.buffer.clear();
        self.after(gateway);
    }

    /// A gateway says that it goes, and ends.
    pub fn leave(&mut self, gateway: PeerIndex) {
        let now = self.now;
        if let Some(engine) = &mut self.gateways[gateway].engine {
            engine.leave(now, &mut self.sends);
        }
        self.after(gateway);
        self.kill(gateway);
    }

    /// What a gateway does by itself, with what it sends.
    pub fn act<T>(
        &mut self,
        gateway: PeerIndex,
        act: impl FnOnce(&mut E, Micros, &mut Vec<IndexedTransmit>) -> T,
    ) -> Option<T> {
        let now = self.now;
        let done = self.gateways[gateway]
            .engine
            .as_mut()
            .map(|engine| act(engine, now, &mut self.sends));
        self.after(gateway);
        done
    }

    /// Whether a gateway's process is stopped.
    pub fn is_stopped(&self, gateway: PeerIndex) -> bool {
        self.gateways[gateway].stopped
    }

    /// Kills a gateway.
    pub fn kill(&mut self, gateway: PeerIndex) {
        self.gateways[gateway].engine = None;
    }

    /// Stops a gateway's process, or lets it go on.
    pub fn stop(&mut self, gateway: PeerIndex, stopped: bool) {
        self.gateways[gateway].stopped = stopped;
        if !stopped {
            // What was due goes first, as a program's timers may: the harder order.
            self.on_timer(gateway);
            while let Some(bytes) = self.gateways[gateway].buffer.pop_front() {
                self.deliver(gateway, bytes);
            }
        }
    }

    /// Cuts the link from one gateway to another, or makes it whole.
    pub fn cut(&mut self, from: PeerIndex, to: PeerIndex, cut: bool) {
        let at = from * self.gateways.len() + to;
        self.cut[at] = cut;
    }

    /// Cuts all links between gateways for which this differs, in both directions.
    pub fn partition(&mut self, side: impl Fn(PeerIndex) -> usize) {
        for from in 0..self.gateways.len() {
            for to in 0..self.gateways.len() {
                self.cut(from, to, side(from) != side(to));
            }
        }
    }

    /// Goes on to this time.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(Reverse((at, ..))) = self.queue.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse((at, _, event))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            match event {
                Event::Arrive { to, bytes } => self.deliver(to, bytes),
                Event::Wake {
                    gateway,
                    incarnation,
                } => {
                    let place = &self.gateways[gateway];
                    if place.incarnation == incarnation && place.wakes == Some(at) && !place.stopped
                    {
                        self.on_timer(gateway);
                    }
                }
            }
        }
        self.now = until;
    }

    /// What a gateway holds of the others; `None` while it does not run.
    pub fn view(&self, gateway: PeerIndex) -> Option<Vec<PeerState>> {
        self.gateways[gateway].engine.as_ref().map(E::view)
    }

    /// The engine of a gateway that runs.
    pub fn engine(&mut self, gateway: PeerIndex) -> Option<&mut E> {
        self.gateways[gateway].engine.as_mut()
    }

    /// Whether each gateway that runs holds exactly those for alive that run.
    pub fn is_settled(&self) -> bool {
        let truth: Vec<bool> = (0..self.gateways.len())
            .map(|gateway| self.runs(gateway))
            .collect();
        let right = |view: Vec<PeerState>| {
            view.iter().zip(&truth).all(|(state, runs)| {
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
            .all(right)
    }

    /// Goes on in steps of 50 ms until `done`, at most until this time. Returns when that was.
    pub fn run_until_true(
        &mut self,
        until: Micros,
        done: impl Fn(&Sim<E>) -> bool,
    ) -> Option<Micros> {
        while self.now < until {
            if done(self) {
                return Some(self.now);
            }
            self.run_until((self.now + 50_000).min(until));
        }
        done(self).then_some(self.now)
    }

    /// What a gateway has sent since this was last asked.
    pub fn take_sent(&mut self, gateway: PeerIndex) -> Sent {
        std::mem::take(&mut self.gateways[gateway].sent)
    }

    fn deliver(&mut self, to: PeerIndex, bytes: Vec<u8>) {
        let gateway = &mut self.gateways[to];
        if gateway.stopped {
            if gateway.buffer.len() < BUFFERED {
                gateway.buffer.push_back(bytes);
            }
            return;
        }
        if let Some(engine) = &mut gateway.engine {
            engine.on_datagram(self.now, &bytes, &mut self.sends);
            self.after(to);
        }
    }

    fn on_timer(&mut self, gateway: PeerIndex) {
        let now = self.now;
        let Some(engine) = &mut self.gateways[gateway].engine else {
            return;
        };
        if engine
            .next_wakeup()
            .is_some_and(|next_wakeup| next_wakeup <= now)
        {
            engine.on_timer(now, &mut self.sends);
        }
        self.gateways[gateway].wakes = None;
        self.after(gateway);
    }

    /// Puts what a gateway sent on its way, and notes when it is to be woken.
    fn after(&mut self, from: PeerIndex) {
        let gateways = self.gateways.len();
        for IndexedTransmit { to, bytes } in std::mem::take(&mut self.sends) {
            let sent = &mut self.gateways[from].sent;
            sent.messages += 1;
            sent.bytes += (bytes.len() + HEADER_BYTES) as u64;
            sent.largest = sent.largest.max(bytes.len());
            if to >= gateways
                || self.cut[from * gateways + to]
                || self.rng.random_bool(self.network.loss)
            {
                continue;
            }
            let copies = 1 + usize::from(self.rng.random_bool(self.network.double));
            for _ in 0..copies {
                let late = self.rng.random_range(0..=self.network.jitter);
                let at = self.now + self.network.delay + late;
                self.put(
                    at,
                    Event::Arrive {
                        to,
                        bytes: bytes.clone(),
                    },
                );
            }
        }
        let gateway = &mut self.gateways[from];
        let next_wakeup = gateway
            .engine
            .as_ref()
            .and_then(E::next_wakeup)
            .map(|next_wakeup| next_wakeup.max(self.now));
        if next_wakeup != gateway.wakes {
            gateway.wakes = next_wakeup;
            let incarnation = gateway.incarnation;
            if let Some(at) = next_wakeup {
                self.put(
                    at,
                    Event::Wake {
                        gateway: from,
                        incarnation,
                    },
                );
            }
        }
    }

    fn put(&mut self, at: Micros, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, event)));
    }
}

/// The view in the simulation, with names that are made here.
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
        // Names that are made here are good ones.
        Membership::new(now, settings, options.seed, sends)
            .unwrap_or_else(|problem| unreachable!("{problem}"))
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

/// A view with an leadership on it, whose lease is so many milliseconds, in the simulation; and on that a shard map, whose
/// first one has so many ranges, if any; and on that the sessions, if wanted.
pub struct SimulatedNode<const LEASE_MS: u64, const RANGES: usize = 0, const SESSIONS: bool = false>
{
    /// The part.
    pub stack: ClusterNode,
    /// All names that there may be, as ids by place.
    all: Vec<PeerId>,
    packets: Vec<Transmit>,
    /// What leadership sent, with the headers of IP and UDP.
    pub sent: Sent,
    /// What went for the shard map, with the headers of IP and UDP.
    pub kept: Sent,
    /// What went for the sessions, with the headers of IP and UDP.
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

    /// operators propose a map at this gateway.
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
        self.stack.on_timer(now, &mut self.packets);
        self.hand_on(sends);
    }

    /// Takes another peer set over.
    pub fn set_peers(
        &mut self,
        now: Micros,
        places: impl Iterator<Item = PeerIndex>,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        let taken = self
            .stack
            .set_peers(now, places.map(name_of).collect(), &mut self.packets);
        taken.unwrap_or_else(|problem| unreachable!("{problem}"));
        self.hand_on(sends);
    }

    /// Begins once more, from nothing, with these names alone.
    pub fn begin(
        &mut self,
        now: Micros,
        options: StartOptions,
        places: impl Iterator<Item = PeerIndex>,
        sends: &mut Vec<IndexedTransmit>,
    ) {
        let view = MembershipSettings {
            peers: places.map(name_of).collect(),
            name: name_of(options.own_index),
            unix_ms: options.unix_us / 1000,
            probe: options.probe_period,
        };
        let stack = ClusterNode::new(now, Self::settings(view), options.seed, &mut self.packets);
        self.stack = stack.unwrap_or_else(|problem| unreachable!("{problem}"));
        self.hand_on(sends);
    }

    /// Another process takes its name over.
    pub fn hand_over(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>) {
        self.stack.hand_over(now, &mut self.packets);
        self.hand_on(sends);
    }

    fn hand_on(&mut self, sends: &mut Vec<IndexedTransmit>) {
        for Transmit { to, bytes } in self.packets.drain(..) {
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
            let place = self.all.iter().position(|id| *id == to);
            sends.extend(place.map(|to| IndexedTransmit { to, bytes }));
        }
    }
}

fn name_of(place: PeerIndex) -> String {
    format!("n{place:03}")
}

impl<const LEASE_MS: u64, const RANGES: usize, const SESSIONS: bool> Protocol
    for SimulatedNode<LEASE_MS, RANGES, SESSIONS>
{
    fn start(now: Micros, options: StartOptions, sends: &mut Vec<IndexedTransmit>) -> Self {
        let peers: Vec<String> = (0..options.peer_count).map(name_of).collect();
        let all = peers.iter().map(|name| peer_id_of(name)).collect();
        let name = name_of(options.own_index);
        let view = MembershipSettings {
            peers,
            name,
            unix_ms: options.unix_us / 1000,
            probe: options.probe_period,
        };
        let mut packets = Vec::new();
        let stack = ClusterNode::new(now, Self::settings(view), options.seed, &mut packets);
        let stack = stack.unwrap_or_else(|problem| unreachable!("{problem}"));
        let (sent, kept, told) = Default::default();
        let mut owned = SimulatedNode {
            stack,
            all,
            packets,
            sent,
            kept,
            told,
        };
        owned.hand_on(sends);
        owned
    }
    fn on_datagram(&mut self, now: Micros, bytes: &[u8], sends: &mut Vec<IndexedTransmit>) {
        self.stack.on_datagram(now, bytes, &mut self.packets);
        self.hand_on(sends);
    }
    fn next_wakeup(&self) -> Option<Micros> {
        Some(self.stack.next_wakeup())
    }
    fn on_timer(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>) {
        self.stack.on_timer(now, &mut self.packets);
        self.hand_on(sends);
    }
    fn view(&self) -> Vec<PeerState> {
        self.stack.view().states()
    }
    fn leave(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>) {
        self.stack.leave(now, &mut self.packets);
        self.hand_on(sends);
    }
}

#[cfg(test)]
mod tests;
