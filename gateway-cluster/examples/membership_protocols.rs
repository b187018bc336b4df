//! Measures an engine of the view in the simulation, by the bounds that the view is to reach:
//! `cargo run --release -p gateway-cluster --example membership_protocols [SEEDS [view|foca]]`: the view of this crate, or the
//! crate `foca` with the settings that come nearest to those bounds.

use foca::{Config, Foca, Identity, Member, PeriodicParams, PostcardCodec, Runtime, Timer};
use gateway_cluster::protocol::{IndexedTransmit, Micros, PeerState, Protocol, StartOptions};
use gateway_cluster::sim::{NetworkConditions, Sim};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

const PROBE: Micros = 500_000;
const SECOND: Micros = 1_000_000;
/// Gateways that a new life asks for the others.
const JOINS: usize = 3;

/// A name of the peer set and one of its lives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Name {
    place: u16,
    life: u64,
}

impl Identity for Name {
    type Addr = u16;
    fn renew(&self) -> Option<Name> {
        Some(Name {
            life: self.life + 1,
            ..self.clone()
        })
    }
    fn addr(&self) -> u16 {
        self.place
    }
    fn win_addr_conflict(&self, other: &Name) -> bool {
        self.life > other.life
    }
}

/// What the engine asks for while it handles one input.
#[derive(Default)]
struct Asked {
    sends: Vec<IndexedTransmit>,
    timers: Vec<(Duration, Timer<Name>)>,
}

impl Runtime<Name> for &mut Asked {
    fn notify(&mut self, _: foca::Notification<'_, Name>) {}
    fn send_to(&mut self, to: Name, data: &[u8]) {
        self.sends.push(IndexedTransmit {
            to: usize::from(to.place),
            bytes: data.to_vec(),
        });
    }
    fn submit_after(&mut self, event: Timer<Name>, after: Duration) {
        self.timers.push((after, event));
    }
}

struct Swim {
    foca: Foca<Name, PostcardCodec, Pcg64Mcg, foca::NoCustomBroadcast>,
    timers: BTreeMap<(Micros, u64), Timer<Name>>,
    count: u64,
    options: StartOptions,
}

impl Swim {
    fn with(
        &mut self,
        now: Micros,
        sends: &mut Vec<IndexedTransmit>,
        act: impl FnOnce(&mut Self, &mut Asked),
    ) {
        let mut asked = Asked::default();
        act(self, &mut asked);
        sends.append(&mut asked.sends);
        for (after, timer) in asked.timers {
            self.count += 1;
            self.timers
                .insert((now + after.as_micros() as Micros, self.count), timer);
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
    // What is left of the 4 s once a killed gateway has been probed and everybody has heard.
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
        let me = Name {
            place: options.own_index as u16,
            life: options.unix_us,
        };
        let rng = Pcg64Mcg::seed_from_u64(options.seed);
        let foca = Foca::new(me, config(&options), rng, PostcardCodec);
        let mut swim = Swim {
            foca,
            timers: BTreeMap::new(),
            count: 0,
            options,
        };
        swim.with(now, sends, |swim, asked| {
            // The peer set is known: its names are taken for alive under any life.
            let others = (0..options.peer_count).filter(|place| *place != options.own_index);
            let members = others.map(|place| {
                Member::alive(Name {
                    place: place as u16,
                    life: 0,
                })
            });
            let _ = swim.foca.apply_many(members, false, &mut *asked);
            // Their true lives are learned from those who answer.
            for step in 1..=JOINS.min(options.peer_count - 1) {
                let place =
                    (options.own_index + step * 7 % options.peer_count) % options.peer_count;
                let _ = swim.foca.announce(
                    Name {
                        place: place as u16,
                        life: 0,
                    },
                    &mut *asked,
                );
            }
        });
        swim
    }
    fn on_datagram(&mut self, now: Micros, bytes: &[u8], sends: &mut Vec<IndexedTransmit>) {
        // What makes no sense to it is dropped.
        self.with(now, sends, |swim, asked| {
            drop(swim.foca.handle_data(bytes, asked))
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
            self.with(now, sends, |swim, asked| {
                drop(swim.foca.handle_timer(timer, asked))
            });
        }
    }
    fn view(&self) -> Vec<PeerState> {
        let mut view = vec![PeerState::Dead; self.options.peer_count];
        view[self.options.own_index] = PeerState::Alive;
        for member in self.foca.iter_members() {
            let suspect = member.state() == foca::State::Suspect;
            view[usize::from(member.id().place)] = if suspect {
                PeerState::Suspect
            } else {
                PeerState::Alive
            };
        }
        view
    }
}

/// A cluster that has run for a while.
fn cluster<E: Protocol>(gateways: usize, seed: u64, weather: NetworkConditions) -> Sim<E> {
    let mut sim = Sim::new(gateways, PROBE, seed);
    sim.network = weather;
    (0..gateways).for_each(|gateway| sim.start(gateway, SECOND));
    sim.run_until(20 * SECOND);
    sim
}

/// Ordered pairs of running gateways of which one holds the other for dead.
fn wrong<E: Protocol>(sim: &Sim<E>) -> usize {
    let membership_transmits = (0..sim.peers()).filter_map(|gateway| sim.view(gateway));
    let dead = |view: Vec<PeerState>| {
        view.iter()
            .enumerate()
            .filter(|(gateway, state)| **state == PeerState::Dead && sim.runs(*gateway))
            .count()
    };
    membership_transmits.map(dead).sum()
}

fn seconds(at: Option<Micros>, since: Micros) -> String {
    at.map_or("never".into(), |at| {
        format!("{:.2} s", (at - since) as f64 / 1e6)
    })
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let seeds: u64 = words
        .get(1)
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(3);
    match words.get(2).map(String::as_str) {
        Some("foca") => measure::<Swim>(seeds),
        _ => measure::<gateway_cluster::membership::Membership>(seeds),
    }
}

fn measure<E: Protocol>(seeds: u64) {
    for gateways in [3, 30, 300] {
        for seed in 1..=seeds {
            let calm = NetworkConditions::default();
            let lossy = NetworkConditions {
                loss: 0.1,
                jitter: 50_000,
                ..calm
            };
            let dead = |sim: &Sim<E>| {
                (1..sim.peers())
                    .filter_map(|gateway| sim.view(gateway))
                    .all(|view| view[0] == PeerState::Dead)
            };
            for (name, weather) in [("no loss", calm), ("10% loss", lossy)] {
                let mut sim = cluster::<E>(gateways, seed, weather);
                let (since, settled) = (sim.now(), sim.is_settled());
                sim.kill(0);
                let at = sim.run_until_true(since + 60 * SECOND, dead);
                println!("{gateways:>3} doors, seed {seed}, {name}: settled before {settled}, a killed one is dead after {}",
                    seconds(at, since));
            }
            let mut sim = cluster::<E>(gateways, seed, lossy);
            let (mut most, mut samples) = (0, 0);
            for _ in 0..60 {
                sim.run_until(sim.now() + SECOND);
                let now = wrong(&sim);
                most = most.max(now);
                samples += usize::from(now > 0);
            }
            println!("{gateways:>3} doors, seed {seed}, 10% loss for 60 s: {samples} of 60 seconds with a live door held for dead, \
                      {most} pairs at most");
            for (name, shape) in [("halves", 2), ("thirds", 3)] {
                let mut sim = cluster::<E>(gateways, seed, calm);
                sim.partition(|gateway| gateway % shape);
                sim.run_until(sim.now() + 30 * SECOND);
                sim.partition(|_| 0);
                let since = sim.now();
                let at = sim.run_until_true(since + 120 * SECOND, Sim::is_settled);
                println!(
                    "{gateways:>3} doors, seed {seed}, {name} for 30 s: all views are right {} after healing",
                    seconds(at, since)
                );
            }
            let mut sim = cluster::<E>(gateways, seed, calm);
            (0..gateways).for_each(|gateway| sim.stop(gateway, gateway % 3 == 0));
            sim.run_until(sim.now() + 10 * SECOND);
            (0..gateways).for_each(|gateway| {
                if gateway % 3 == 0 {
                    sim.stop(gateway, false)
                }
            });
            sim.run_until(sim.now() + SECOND / 10);
            let slept = |gateway: &usize| gateway % 3 == 0;
            let membership_transmits = (0..gateways)
                .filter(slept)
                .filter_map(|gateway| sim.view(gateway));
            let awake = |view: Vec<PeerState>| {
                view.iter()
                    .enumerate()
                    .filter(|(gateway, state)| !slept(gateway) && **state == PeerState::Dead)
                    .count()
            };
            let flaps: usize = membership_transmits.map(awake).sum();
            let since = sim.now();
            let at = sim.run_until_true(since + 120 * SECOND, Sim::is_settled);
            println!("{gateways:>3} doors, seed {seed}, a third stopped for 10 s: on waking they hold {flaps} of the others for dead, \
                      right after {}", seconds(at, since));
            let mut sim = cluster::<E>(gateways, seed, calm);
            let quiet: Vec<_> = (0..gateways)
                .map(|gateway| sim.take_sent(gateway))
                .collect();
            (0..gateways).for_each(|gateway| {
                if gateway % 10 < 7 {
                    sim.kill(gateway)
                }
            });
            for gateway in 0..gateways {
                sim.take_sent(gateway);
            }
            sim.run_until(sim.now() + 10 * SECOND);
            let storm = (0..gateways)
                .filter(|gateway| sim.runs(*gateway))
                .collect::<Vec<_>>();
            let storm: Vec<_> = storm
                .into_iter()
                .map(|gateway| sim.take_sent(gateway))
                .collect();
            let rate = |all: &[gateway_cluster::sim::Sent], seconds: f64| {
                let bytes = all.iter().map(|sent| sent.bytes).max().unwrap_or(0) as f64 / seconds;
                let messages =
                    all.iter().map(|sent| sent.messages).max().unwrap_or(0) as f64 / seconds;
                format!("{bytes:.0} bytes and {messages:.1} messages a second")
            };
            println!("{gateways:>3} doors, seed {seed}, sent by the busiest: calm {}, after seven in ten were killed {}",
                rate(&quiet, 20.0), rate(&storm, 10.0));
            let mut sim = cluster::<E>(gateways, seed, calm);
            sim.kill(0);
            sim.run_until(sim.now() + SECOND / 5);
            sim.start(0, 0);
            let since = sim.now();
            let at = sim.run_until_true(since + 120 * SECOND, Sim::is_settled);
            println!("{gateways:>3} doors, seed {seed}, killed and back with the clock set back: all views are right after {}",
                seconds(at, since));
        }
    }
}
