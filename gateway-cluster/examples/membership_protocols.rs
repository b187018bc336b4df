//! Measures a membership protocol in the simulation:
//! `cargo run --release -p gateway-cluster --example membership_protocols [SEEDS [view|foca]]`: the membership of this
//! crate, or the crate `foca` with the settings that come closest to the bounds of `docs/fleet-view.md`.

use foca::{Config, Foca, Identity, Member, PeriodicParams, PostcardCodec, Runtime, Timer};
use gateway_cluster::protocol::{IndexedTransmit, Micros, PeerState, Protocol, StartOptions};
use gateway_cluster::sim::{NetworkConditions, Sent, Sim};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

const PROBE: Micros = 500_000;
const SECOND: Micros = 1_000_000;
/// Number of gateways from which a new process requests the members.
const JOIN_REQUESTS: usize = 3;

/// A peer by index and its incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct PeerIdentity {
    index: u16,
    incarnation: u64,
}

impl Identity for PeerIdentity {
    type Addr = u16;
    fn renew(&self) -> Option<PeerIdentity> {
        Some(PeerIdentity {
            incarnation: self.incarnation + 1,
            ..self.clone()
        })
    }
    fn addr(&self) -> u16 {
        self.index
    }
    fn win_addr_conflict(&self, other: &PeerIdentity) -> bool {
        self.incarnation > other.incarnation
    }
}

/// Datagrams and timers that `foca` requests while it handles one input.
#[derive(Default)]
struct RecordedEffects {
    sends: Vec<IndexedTransmit>,
    timers: Vec<(Duration, Timer<PeerIdentity>)>,
}

impl Runtime<PeerIdentity> for &mut RecordedEffects {
    fn notify(&mut self, _: foca::Notification<'_, PeerIdentity>) {}
    fn send_to(&mut self, to: PeerIdentity, data: &[u8]) {
        self.sends.push(IndexedTransmit {
            to: usize::from(to.index),
            bytes: data.to_vec(),
        });
    }
    fn submit_after(&mut self, event: Timer<PeerIdentity>, after: Duration) {
        self.timers.push((after, event));
    }
}

/// The crate `foca` as a [`Protocol`].
struct Swim {
    foca: Foca<PeerIdentity, PostcardCodec, Pcg64Mcg, foca::NoCustomBroadcast>,
    timers: BTreeMap<(Micros, u64), Timer<PeerIdentity>>,
    timer_count: u64,
    options: StartOptions,
}

impl Swim {
    fn apply(
        &mut self,
        now: Micros,
        sends: &mut Vec<IndexedTransmit>,
        input: impl FnOnce(&mut Self, &mut RecordedEffects),
    ) {
        let mut effects = RecordedEffects::default();
        input(self, &mut effects);
        sends.append(&mut effects.sends);
        for (after, timer) in effects.timers {
            self.timer_count += 1;
            self.timers
                .insert((now + after.as_micros() as Micros, self.timer_count), timer);
        }
    }
}

fn config(options: &StartOptions) -> Config {
    let period = Duration::from_micros(options.probe_period);
    let every = |periods: u32, members| {
        Some(PeriodicParams {
            frequency: period * periods,
            num_members: NonZeroUsize::new(members).expect("some"),
        })
    };
    let mut config =
        Config::new_lan(std::num::NonZeroU32::new(options.peer_count.max(2) as u32).expect("some"));
    config.probe_period = period;
    config.probe_rtt = period / 3;
    config.num_indirect_probes = NonZeroUsize::new(3).expect("some");
    config.max_transmissions = NonZeroU8::new(10).expect("some");
    // The rest of the bound of 4 s after the probe of a killed gateway and the gossip of the verdict.
    config.suspect_to_down_after = period * 4;
    config.max_packet_size = NonZeroUsize::new(1400).expect("some");
    config.notify_down_members = true;
    config.remove_down_after = Duration::from_secs(86_400);
    config.periodic_announce = None;
    config.periodic_announce_to_down_members = every(4, 1);
    config.periodic_gossip = every(1, 2);
    config
}

impl Protocol for Swim {
    fn start(now: Micros, options: StartOptions, sends: &mut Vec<IndexedTransmit>) -> Swim {
        let me = PeerIdentity {
            index: options.own_index as u16,
            incarnation: options.unix_us,
        };
        let rng = Pcg64Mcg::seed_from_u64(options.seed);
        let foca = Foca::new(me, config(&options), rng, PostcardCodec);
        let mut swim = Swim {
            foca,
            timers: BTreeMap::new(),
            timer_count: 0,
            options,
        };
        swim.apply(now, sends, |swim, effects| {
            // The peer set is known: all peers are alive with incarnation 0.
            let others = (0..options.peer_count).filter(|index| *index != options.own_index);
            let members = others.map(|index| {
                Member::alive(PeerIdentity {
                    index: index as u16,
                    incarnation: 0,
                })
            });
            let _ = swim.foca.apply_many(members, false, &mut *effects);
            // The actual incarnations are learned from the answers.
            for step in 1..=JOIN_REQUESTS.min(options.peer_count - 1) {
                let index =
                    (options.own_index + step * 7 % options.peer_count) % options.peer_count;
                let _ = swim.foca.announce(
                    PeerIdentity {
                        index: index as u16,
                        incarnation: 0,
                    },
                    &mut *effects,
                );
            }
        });
        swim
    }
    fn on_datagram(&mut self, now: Micros, bytes: &[u8], sends: &mut Vec<IndexedTransmit>) {
        // Malformed datagrams are dropped.
        self.apply(now, sends, |swim, effects| {
            drop(swim.foca.handle_data(bytes, effects));
        });
    }
    fn next_wakeup(&self) -> Option<Micros> {
        self.timers.keys().next().map(|(at, _)| *at)
    }
    fn on_timer(&mut self, now: Micros, sends: &mut Vec<IndexedTransmit>) {
        while let Some(entry) = self
            .timers
            .first_entry()
            .filter(|entry| entry.key().0 <= now)
        {
            let timer = entry.remove();
            self.apply(now, sends, |swim, effects| {
                drop(swim.foca.handle_timer(timer, effects));
            });
        }
    }
    fn view(&self) -> Vec<PeerState> {
        let mut view = vec![PeerState::Dead; self.options.peer_count];
        view[self.options.own_index] = PeerState::Alive;
        for member in self.foca.iter_members() {
            let suspect = member.state() == foca::State::Suspect;
            view[usize::from(member.id().index)] = if suspect {
                PeerState::Suspect
            } else {
                PeerState::Alive
            };
        }
        view
    }
}

/// A cluster after twenty seconds of operation.
fn cluster<P: Protocol>(gateways: usize, seed: u64, network: NetworkConditions) -> Sim<P> {
    let mut sim = Sim::new(gateways, PROBE, seed);
    sim.network = network;
    (0..gateways).for_each(|gateway| sim.start(gateway, SECOND));
    sim.run_until(20 * SECOND);
    sim
}

/// Number of ordered pairs of running gateways of which the first considers the second dead.
fn wrong<P: Protocol>(sim: &Sim<P>) -> usize {
    let views = (0..sim.peers()).filter_map(|gateway| sim.view(gateway));
    let dead = |view: Vec<PeerState>| {
        view.iter()
            .enumerate()
            .filter(|(gateway, state)| **state == PeerState::Dead && sim.runs(*gateway))
            .count()
    };
    views.map(dead).sum()
}

fn seconds(at: Option<Micros>, since: Micros) -> String {
    at.map_or("never".into(), |at| {
        format!("{:.2} s", (at - since) as f64 / 1e6)
    })
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let seeds: u64 = arguments
        .get(1)
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(3);
    match arguments.get(2).map(String::as_str) {
        Some("foca") => measure::<Swim>(seeds),
        _ => measure::<gateway_cluster::membership::Membership>(seeds),
    }
}

/// Network without loss.
const IDEAL: NetworkConditions = NetworkConditions {
    delay: 500,
    jitter: 500,
    loss: 0.0,
    double: 0.0,
};
const LOSSY: NetworkConditions = NetworkConditions {
    loss: 0.1,
    jitter: 50_000,
    ..IDEAL
};

fn measure<P: Protocol>(seeds: u64) {
    for gateways in [3, 30, 300] {
        for seed in 1..=seeds {
            measure_detection::<P>(gateways, seed);
            measure_wrong_verdicts::<P>(gateways, seed);
            measure_healing::<P>(gateways, seed);
            measure_pause::<P>(gateways, seed);
            measure_traffic::<P>(gateways, seed);
            measure_restart::<P>(gateways, seed);
        }
    }
}

/// The time until a killed gateway is dead in every view.
fn measure_detection<P: Protocol>(gateways: usize, seed: u64) {
    let dead = |sim: &Sim<P>| {
        (1..sim.peers())
            .filter_map(|gateway| sim.view(gateway))
            .all(|view| view[0] == PeerState::Dead)
    };
    for (name, network) in [("no loss", IDEAL), ("10% loss", LOSSY)] {
        let mut sim = cluster::<P>(gateways, seed, network);
        let (since, converged) = (sim.now(), sim.has_converged());
        sim.kill(0);
        let at = sim.run_until_true(since + 60 * SECOND, dead);
        println!(
            "{gateways:>3} gateways, seed {seed}, {name}: converged before {converged}, a killed gateway is dead after {}",
            seconds(at, since)
        );
    }
}

/// Running gateways that are considered dead while datagrams are lost.
fn measure_wrong_verdicts<P: Protocol>(gateways: usize, seed: u64) {
    let mut sim = cluster::<P>(gateways, seed, LOSSY);
    let (mut max, mut samples) = (0, 0);
    for _ in 0..60 {
        sim.run_until(sim.now() + SECOND);
        let now = wrong(&sim);
        max = max.max(now);
        samples += usize::from(now > 0);
    }
    println!(
        "{gateways:>3} gateways, seed {seed}, 10% loss for 60 s: {samples} of 60 seconds with a running gateway considered \
         dead, {max} pairs at most"
    );
}

/// The time until all views are correct after a partition.
fn measure_healing<P: Protocol>(gateways: usize, seed: u64) {
    for (name, sides) in [("halves", 2), ("thirds", 3)] {
        let mut sim = cluster::<P>(gateways, seed, IDEAL);
        sim.partition(|gateway| gateway % sides);
        sim.run_until(sim.now() + 30 * SECOND);
        sim.partition(|_| 0);
        let since = sim.now();
        let at = sim.run_until_true(since + 120 * SECOND, Sim::has_converged);
        println!(
            "{gateways:>3} gateways, seed {seed}, {name} for 30 s: all views are correct {} after healing",
            seconds(at, since)
        );
    }
}

/// Wrong verdicts of gateways that were paused, and the time until all views are correct.
fn measure_pause<P: Protocol>(gateways: usize, seed: u64) {
    let is_paused = |gateway: usize| gateway % 3 == 0;
    let mut sim = cluster::<P>(gateways, seed, IDEAL);
    (0..gateways).for_each(|gateway| sim.stop(gateway, is_paused(gateway)));
    sim.run_until(sim.now() + 10 * SECOND);
    for gateway in (0..gateways).filter(|gateway| is_paused(*gateway)) {
        sim.stop(gateway, false);
    }
    sim.run_until(sim.now() + SECOND / 10);
    let views = (0..gateways)
        .filter(|gateway| is_paused(*gateway))
        .filter_map(|gateway| sim.view(gateway));
    let dead_others = |view: Vec<PeerState>| {
        view.iter()
            .enumerate()
            .filter(|(gateway, state)| !is_paused(*gateway) && **state == PeerState::Dead)
            .count()
    };
    let wrong_verdicts: usize = views.map(dead_others).sum();
    let since = sim.now();
    let at = sim.run_until_true(since + 120 * SECOND, Sim::has_converged);
    println!(
        "{gateways:>3} gateways, seed {seed}, a third stopped for 10 s: after resuming they consider {wrong_verdicts} others \
         dead, correct after {}",
        seconds(at, since)
    );
}

/// The traffic of the busiest gateway, idle and after a mass failure.
fn measure_traffic<P: Protocol>(gateways: usize, seed: u64) {
    let mut sim = cluster::<P>(gateways, seed, IDEAL);
    let idle: Vec<Sent> = (0..gateways)
        .map(|gateway| sim.take_sent(gateway))
        .collect();
    for gateway in (0..gateways).filter(|gateway| gateway % 10 < 7) {
        sim.kill(gateway);
    }
    for gateway in 0..gateways {
        sim.take_sent(gateway);
    }
    sim.run_until(sim.now() + 10 * SECOND);
    let running: Vec<usize> = (0..gateways).filter(|gateway| sim.runs(*gateway)).collect();
    let after_failure: Vec<Sent> = running
        .into_iter()
        .map(|gateway| sim.take_sent(gateway))
        .collect();
    println!(
        "{gateways:>3} gateways, seed {seed}, sent by the busiest: idle {}, after seven in ten were killed {}",
        max_rate(&idle, 20.0),
        max_rate(&after_failure, 10.0)
    );
}

fn max_rate(sent: &[Sent], seconds: f64) -> String {
    let bytes = sent.iter().map(|sent| sent.bytes).max().unwrap_or(0) as f64 / seconds;
    let messages = sent.iter().map(|sent| sent.messages).max().unwrap_or(0) as f64 / seconds;
    format!("{bytes:.0} bytes and {messages:.1} messages a second")
}

/// The time until all views are correct after a restart with the clock set back.
fn measure_restart<P: Protocol>(gateways: usize, seed: u64) {
    let mut sim = cluster::<P>(gateways, seed, IDEAL);
    sim.kill(0);
    sim.run_until(sim.now() + SECOND / 5);
    sim.start(0, 0);
    let since = sim.now();
    let at = sim.run_until_true(since + 120 * SECOND, Sim::has_converged);
    println!(
        "{gateways:>3} gateways, seed {seed}, restarted with the clock set back: all views are correct after {}",
        seconds(at, since)
    );
}
