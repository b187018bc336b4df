//! The leadership in the simulation: never two leaders at one instant, whatever happens, and one again in time. Each failure
//! names its seed.

mod steps;

use gateway_cluster::leadership::election::{ElectionEvent, ElectionStatus, LeaseProof};
use gateway_cluster::peers::peer_id_of;
use gateway_cluster::protocol::{Micros, PeerIndex, StartOptions};
use gateway_cluster::sim::{NetworkConditions, Sim, SimulatedNode};
use std::collections::BTreeMap;
use steps::Watched;

const LEASE: Micros = 2_000_000;
const SECOND: Micros = 1_000_000;
const SEEDS: std::ops::Range<u64> = 0..6;
const UNIX: Micros = 1_700_000_000 * SECOND;

/// A cluster with what was seen of it at each step.
struct Fleet {
    sim: Sim<SimulatedNode<2000>>,
    seed: u64,
    /// Which gateway had a epoch; epochs grow in the order in which they are first seen.
    terms: BTreeMap<u64, PeerIndex>,
    highest: u64,
}

impl Watched for Fleet {
    type Door = SimulatedNode<2000>;

    fn sim(&mut self) -> &mut Sim<SimulatedNode<2000>> {
        &mut self.sim
    }

    /// Looks at all invariants.
    fn look(&mut self) {
        let (now, seed) = (self.sim.now(), self.seed);
        let leaders = self.leaders();
        assert!(
            leaders.len() <= 1,
            "seed {seed} at {} ms: {leaders:?}",
            now / 1000
        );
        for (gateway, epoch) in &leaders {
            let first = *self.terms.entry(*epoch).or_insert(*gateway);
            assert_eq!(first, *gateway, "seed {seed}: term {epoch} was another's");
            assert!(
                *epoch >= self.highest,
                "seed {seed}: term {epoch} after {}",
                self.highest
            );
            self.highest = *epoch;
        }
        for gateway in 0..self.sim.peers() {
            let Some(told) = self.status(gateway) else {
                continue;
            };
            let leader = leaders.first();
            assert_eq!(
                told.mine,
                leader.is_some_and(|(leader, _)| *leader == gateway),
                "seed {seed}, d{gateway}"
            );
            assert_eq!(
                told.left == 0,
                told.leader.is_none(),
                "seed {seed}, d{gateway}: {told:?}"
            );
            let Some((leader, epoch)) = leader else {
                continue;
            };
            // One that gave its leadership up, or is gone, may yet be taken for the leader, until its lease is over.
            let named = told
                .leader
                .is_some_and(|named| named != peer_id_of(&format!("n{leader:03}")));
            assert!(
                !named || told.epoch < *epoch,
                "seed {seed} at {now}, d{gateway}: {told:?}, {leaders:?}"
            );
        }
    }
}

impl Fleet {
    fn new(gateways: usize, seed: u64, weather: NetworkConditions) -> Fleet {
        let mut sim = Sim::new(gateways, 500_000, seed);
        sim.network = weather;
        (0..gateways).for_each(|gateway| sim.start(gateway, UNIX));
        Fleet {
            sim,
            seed,
            terms: BTreeMap::new(),
            highest: 0,
        }
    }

    /// Each gateway that owns at this instant. One that is stopped would find so if it went on now.
    fn leaders(&mut self) -> Vec<(PeerIndex, u64)> {
        let now = self.sim.now();
        let mut leaders = Vec::new();
        for gateway in 0..self.sim.peers() {
            let epoch = self
                .sim
                .engine(gateway)
                .and_then(|owned| owned.stack.election()?.epoch(now));
            leaders.extend(epoch.map(|epoch| (gateway, epoch)));
        }
        leaders
    }

    fn status(&mut self, gateway: PeerIndex) -> Option<ElectionStatus> {
        let now = self.sim.now();
        Some(self.sim.engine(gateway)?.stack.election()?.status(now))
    }

    /// The leader, once there is one that all running gateways know.
    fn settled(&mut self, time: Micros, what: &str) -> PeerIndex {
        let known = |watched: &mut Fleet| watched.leader_known().is_some();
        let took = self.until(time, known);
        let leaders = self.leaders();
        assert!(
            took.is_some(),
            "seed {}: {what}: it is not known to all who owns: {leaders:?}",
            self.seed
        );
        self.leader_known().expect("it is known")
    }

    fn leader_known(&mut self) -> Option<PeerIndex> {
        let leader = self.leaders().first()?.0;
        let running: Vec<PeerIndex> = (0..self.sim.peers())
            .filter(|gateway| self.sim.runs(*gateway))
            .collect();
        let knows = |told: Option<ElectionStatus>| told.is_some_and(|told| told.leader.is_some());
        running
            .into_iter()
            .all(|gateway| self.sim.is_stopped(gateway) || knows(self.status(gateway)))
            .then_some(leader)
    }

    /// How long until another gateway owns.
    fn next_leader(&mut self, after: PeerIndex, most: Micros, what: &str) -> Micros {
        let took = self.until(most, |watched| {
            watched
                .leaders()
                .first()
                .is_some_and(|(leader, _)| *leader != after)
        });
        took.unwrap_or_else(|| {
            panic!(
                "seed {}: {what}: nobody else owns after {most} us",
                self.seed
            )
        })
    }
}

fn lossy() -> NetworkConditions {
    NetworkConditions {
        loss: 0.1,
        jitter: 50_000,
        double: 0.05,
        ..NetworkConditions::default()
    }
}

#[test]
fn a_cluster_that_starts_has_one_leader_once_the_quiet_time_is_over_and_it_stays() {
    for (gateways, weather) in [
        (3, NetworkConditions::default()),
        (7, lossy()),
        (24, NetworkConditions::default()),
        (24, lossy()),
    ] {
        for seed in SEEDS {
            let mut cluster = Fleet::new(gateways, seed, weather);
            cluster.run(LEASE);
            assert_eq!(cluster.leaders(), [], "seed {seed}: it is quiet");
            let leader = cluster.settled(LEASE + 2 * SECOND, "the start");
            cluster.run(20 * SECOND);
            let leaders = cluster.leaders();
            assert_eq!(
                leaders.first().map(|(gateway, _)| *gateway),
                Some(leader),
                "{gateways} doors, seed {seed}: unseated"
            );
            assert_eq!(
                cluster.terms.len(),
                1,
                "{gateways} doors, seed {seed}: {:?}",
                cluster.terms
            );
        }
    }
}

#[test]
fn after_the_leader_is_killed_another_owns_in_time() {
    for (gateways, weather, slack) in [
        (3, NetworkConditions::default(), 1500),
        (24, NetworkConditions::default(), 1500),
        (24, lossy(), 3000),
        (7, lossy(), 3000),
    ] {
        for seed in SEEDS {
            let mut cluster = Fleet::new(gateways, seed, weather);
            let leader = cluster.settled(3 * LEASE, "the start");
            cluster.run(3 * SECOND);
            cluster.sim.kill(leader);
            cluster.next_leader(
                leader,
                LEASE + slack * 1000,
                &format!("{gateways} doors, killed"),
            );
            // One that comes back unseats nobody.
            cluster.sim.start(leader, UNIX + 60 * SECOND);
            let next = cluster.settled(LEASE, "the next");
            let terms = cluster.terms.len();
            cluster.run(10 * SECOND);
            assert_eq!(
                (cluster.terms.len(), cluster.leader_known()),
                (terms, Some(next)),
                "{gateways} doors, seed {seed}"
            );
        }
    }
}

#[test]
fn a_planned_end_hands_the_election_on_within_a_second() {
    for (gateways, weather) in [
        (3, NetworkConditions::default()),
        (7, lossy()),
        (24, NetworkConditions::default()),
        (24, lossy()),
    ] {
        for seed in SEEDS {
            let mut cluster = Fleet::new(gateways, seed, weather);
            let leader = cluster.settled(3 * LEASE, "the start");
            cluster.run(2 * SECOND);
            cluster.sim.leave(leader);
            cluster.next_leader(
                leader,
                SECOND,
                &format!("{gateways} doors, {weather:?}, left"),
            );
        }
    }
}

#[test]
fn after_all_are_killed_nobody_owns_for_a_lease_and_then_one_also_with_the_clock_set_back() {
    for (gateways, back) in [(3, 0), (24, 0), (24, 3600 * SECOND)] {
        for seed in SEEDS {
            let mut cluster = Fleet::new(gateways, seed, NetworkConditions::default());
            cluster.settled(3 * LEASE, "the start");
            cluster.run(2 * SECOND);
            (0..gateways).for_each(|gateway| cluster.sim.kill(gateway));
            // Terms begin at the wall clock: where that is set back for all, nobody who lives knows a higher one.
            cluster.highest = if back > 0 { 0 } else { cluster.highest };
            (0..gateways)
                .for_each(|gateway| cluster.sim.start(gateway, UNIX + 100 * SECOND - back));
            cluster.run(LEASE);
            assert_eq!(
                cluster.leaders(),
                [],
                "seed {seed}: what was granted before may hold yet"
            );
            cluster.settled(LEASE + 2 * SECOND, "all were killed");
        }
    }
}

#[test]
fn gateways_that_all_have_just_begun_wait_for_one_that_none_has_heard_and_then_own_without_it() {
    for seed in SEEDS {
        let mut cluster = Fleet::new(5, seed, NetworkConditions::default());
        cluster.sim.kill(4);
        // It may be of a cluster in service, to which this peer set was not told yet.
        cluster.run(20 * LEASE);
        assert_eq!(cluster.leaders(), [], "seed {seed}");
        cluster.settled(2 * LEASE, "it is not waited for any longer");
        // Where the peer set is in use nobody is waited for.
        let leader = cluster.leaders()[0].0;
        cluster.sim.kill(leader);
        cluster.sim.start(4, UNIX + 100 * SECOND);
        cluster.next_leader(leader, 2 * LEASE + 2 * SECOND, "in use");
    }
}

#[test]
fn an_leader_that_was_stopped_acts_not_once_and_what_it_had_under_way_is_refused() {
    for seed in SEEDS {
        for stop in [10, 60] {
            let mut cluster = Fleet::new(7, seed, lossy());
            let leader = cluster.settled(3 * LEASE, "the start");
            cluster.run(2 * SECOND);
            let now = cluster.sim.now();
            let to: Vec<PeerIndex> = (0..7).filter(|gateway| *gateway != leader).collect();
            let name = |gateway: PeerIndex| peer_id_of(&format!("n{gateway:03}"));
            // It has checked its lease, and stands still before it sends.
            let stamps: Vec<(PeerIndex, LeaseProof)> = to
                .iter()
                .filter_map(|to| {
                    Some((
                        *to,
                        cluster
                            .sim
                            .engine(leader)?
                            .stack
                            .election()?
                            .stamp(now, name(*to))?,
                    ))
                })
                .collect();
            assert_eq!(
                stamps.len(),
                6,
                "seed {seed}: it owns, and has heard from all"
            );
            for (to, stamp) in &stamps {
                let admitted = cluster.sim.act(*to, |gateway, now, _| {
                    gateway
                        .stack
                        .election_mut()
                        .expect("it has one")
                        .admit(now, name(leader), *stamp)
                        .is_ok()
                });
                assert_eq!(
                    admitted,
                    Some(true),
                    "seed {seed}: in time it is carried out"
                );
            }
            cluster.sim.stop(leader, true);
            // Before any other owns the lease is over at each receiver, so the act comes too late by itself.
            let over = cluster.until(2 * LEASE, |cluster| cluster.leaders().is_empty());
            assert!(over.is_some(), "seed {seed}");
            let refused = |cluster: &mut Fleet, what: &str| {
                for (to, stamp) in &stamps {
                    let admitted = cluster.sim.act(*to, |gateway, now, _| {
                        gateway
                            .stack
                            .election_mut()
                            .expect("it has one")
                            .admit(now, name(leader), *stamp)
                            .is_ok()
                    });
                    assert_eq!(admitted, Some(false), "seed {seed}, d{to}: {what}");
                }
            };
            refused(&mut cluster, "the lease is over");
            cluster.run(stop * SECOND);
            refused(&mut cluster, "another owns");
            cluster.sim.stop(leader, false);
            let told = cluster.status(leader).expect("it runs");
            assert!(
                !told.mine && told.left == 0 || told.leader.is_some(),
                "seed {seed}: {told:?}"
            );
            cluster.look();
            cluster.run(5 * SECOND);
        }
    }
}

#[test]
fn cut_off_with_a_minority_one_owns_no_more_and_the_majority_has_another() {
    for seed in SEEDS {
        let mut cluster = Fleet::new(7, seed, lossy());
        let leader = cluster.settled(3 * LEASE, "the start");
        cluster.run(2 * SECOND);
        let side = |gateway: PeerIndex| usize::from((gateway + 7 - leader) % 7 < 3);
        cluster.sim.partition(side);
        cluster.next_leader(leader, LEASE + 3 * SECOND, "cut off");
        cluster.run(10 * SECOND);
        let next = cluster.leaders()[0].0;
        assert_eq!(side(next), 0, "seed {seed}: in the majority");
        cluster.sim.partition(|_| 0);
        let terms = cluster.terms.len();
        cluster.settled(3 * SECOND, "healed");
        cluster.run(5 * SECOND);
        assert_eq!(
            cluster.terms.len(),
            terms,
            "seed {seed}: it was not unseated"
        );
    }
}

#[test]
fn one_way_cuts_and_a_bridge_leave_one_leader_at_the_most_and_one_in_the_end() {
    for seed in SEEDS {
        for shape in 0..4 {
            let mut cluster = Fleet::new(7, seed, NetworkConditions::default());
            let leader = cluster.settled(3 * LEASE, "the start");
            let others: Vec<PeerIndex> = (0..7).filter(|gateway| *gateway != leader).collect();
            for gateway in &others {
                match shape {
                    // It hears nobody; nobody hears it.
                    0 => cluster.sim.cut(*gateway, leader, true),
                    1 => cluster.sim.cut(leader, *gateway, true),
                    // Half of the others do not hear it: it can renew all the same.
                    2 if *gateway % 2 == 0 => cluster.sim.cut(leader, *gateway, true),
                    _ => {}
                }
            }
            if shape == 3 {
                // Two halves that only one other gateway joins.
                let bridge = others[0];
                for (a, b) in (0..7).flat_map(|a| (0..7).map(move |b| (a, b))) {
                    cluster
                        .sim
                        .cut(a, b, a != bridge && b != bridge && a % 2 != b % 2);
                }
            }
            if shape < 2 {
                cluster.next_leader(leader, LEASE + 3 * SECOND, &format!("shape {shape}"));
            }
            cluster.run(20 * SECOND);
            // Whoever can reach a majority owns, and who reaches any that knows it asks, and knows it nearly always.
            let (mut looks, mut known) = (0, 0);
            for _ in 0..100 {
                cluster.run(50_000);
                let told: Vec<ElectionStatus> = others
                    .iter()
                    .filter_map(|gateway| cluster.status(*gateway))
                    .collect();
                looks += told.len();
                known += told.iter().filter(|told| told.leader.is_some()).count();
            }
            assert!(
                2 * known >= looks,
                "seed {seed}, shape {shape}: {known} of {looks}"
            );
            cluster.sim.partition(|_| 0);
            cluster.settled(LEASE + 5 * SECOND, "whole");
        }
    }
}

#[test]
fn datagrams_late_by_a_lease_and_doubled_make_no_second_leader() {
    for seed in SEEDS {
        let weather = NetworkConditions {
            jitter: 2 * LEASE,
            double: 0.5,
            ..NetworkConditions::default()
        };
        let mut cluster = Fleet::new(5, seed, NetworkConditions::default());
        cluster.settled(3 * LEASE, "the start");
        for round in 0..4 {
            cluster.sim.network = weather;
            cluster.run(6 * SECOND);
            let gateway = (seed as usize + round) % 5;
            cluster.sim.kill(gateway);
            cluster.sim.start(gateway, UNIX + 100 * SECOND);
            cluster.run(6 * SECOND);
            cluster.sim.network = NetworkConditions::default();
            cluster.settled(3 * LEASE + 2 * SECOND, "links are good again");
        }
    }
}

#[test]
fn a_rolling_restart_faster_than_the_quiet_time_ends_with_one_leader() {
    for seed in SEEDS {
        let mut cluster = Fleet::new(7, seed, NetworkConditions::default());
        cluster.settled(3 * LEASE, "the start");
        for gateway in 0..7 {
            cluster.sim.leave(gateway);
            cluster.run(100_000);
            cluster
                .sim
                .start(gateway, UNIX + (100 + gateway as Micros) * SECOND);
            cluster.run(300_000);
        }
        // All are quiet for a lease from their own start on: there is nobody for so long, and then one.
        cluster.settled(LEASE + 2 * SECOND, "all were restarted");
    }
}

#[test]
fn peer_sets_that_change_gateway_by_gateway_never_make_two_leaders_and_leave_one() {
    let change = |cluster: &mut Fleet, gateway: PeerIndex, names: std::ops::Range<usize>| {
        cluster.sim.act(gateway, |owned, now, sends| {
            owned.set_peers(now, names, sends)
        });
    };
    // Starts a gateway from nothing with a file that has these names.
    let start = |cluster: &mut Fleet, gateway: PeerIndex, names: std::ops::Range<usize>| {
        let unix = UNIX + cluster.sim.now();
        cluster.sim.start(gateway, unix);
        let options = StartOptions {
            own_index: gateway,
            peer_count: names.end,
            unix_us: unix,
            probe_period: 500_000,
            seed: cluster.seed + gateway as u64,
        };
        cluster.sim.act(gateway, |owned, now, sends| {
            owned.begin(now, options, names, sends)
        });
    };
    for seed in SEEDS {
        for (from, to) in [(3, 7), (7, 3), (4, 5), (3, 24)] {
            for (pause, new_first) in [
                (0, false),
                (400_000, true),
                (3 * SECOND, false),
                (3 * SECOND, true),
            ] {
                let what =
                    format!("{from} to {to}, pause {pause}, the new ones first: {new_first}");
                let mut cluster = Fleet::new(from.max(to), seed, lossy());
                for gateway in 0..from.max(to) {
                    cluster.sim.kill(gateway);
                }
                (0..from).for_each(|gateway| start(&mut cluster, gateway, 0..from));
                cluster.settled(3 * LEASE + 2 * SECOND, &what);
                if new_first {
                    (from..to).for_each(|gateway| start(&mut cluster, gateway, 0..to));
                    cluster.run(SECOND);
                }
                // Those that go are told last, or never: they know the old peer set alone.
                for gateway in 0..from.min(to) {
                    change(&mut cluster, gateway, 0..to);
                    cluster.run(pause);
                }
                if !new_first {
                    (from..to).for_each(|gateway| start(&mut cluster, gateway, 0..to));
                }
                cluster.run(2 * LEASE);
                for gateway in to..from {
                    cluster.sim.kill(gateway);
                }
                cluster.settled(2 * LEASE + 4 * SECOND, &what);
                cluster.run(3 * SECOND);
                let leader = cluster.leaders()[0].0;
                assert!(
                    leader < to,
                    "seed {seed}, {what}: n{leader} is not in the roster"
                );
            }
        }
    }
}

#[test]
fn a_takeover_gives_the_election_back_and_never_holds_it_twice() {
    for seed in SEEDS {
        let mut cluster = Fleet::new(5, seed, NetworkConditions::default());
        let leader = cluster.settled(3 * LEASE, "the start");
        cluster.run(SECOND);
        cluster
            .sim
            .act(leader, |owned, now, sends| owned.hand_over(now, sends));
        cluster.next_leader(leader, SECOND, "handed over");
        cluster.run(3 * SECOND);
        // The other process ended: this one goes on, and cannot know what that one granted.
        cluster
            .sim
            .act(leader, |owned, now, _| owned.stack.resume(now));
        assert!(
            cluster
                .status(leader)
                .is_some_and(|told| told.quiet > LEASE),
            "seed {seed}"
        );
        cluster.run(10 * SECOND);
        cluster.settled(SECOND, "it goes on");
    }
}

#[test]
fn what_is_sent_is_bounded() {
    for (gateways, weather) in [(24, NetworkConditions::default()), (24, lossy())] {
        let mut cluster = Fleet::new(gateways, 1, weather);
        cluster.settled(3 * LEASE, "the start");
        let mut most = (0, 0, 0, 0);
        for second in 0..30 {
            if second == 10 {
                (0..17).for_each(|gateway| cluster.sim.kill(gateway));
            }
            for gateway in 0..gateways {
                cluster
                    .sim
                    .act(gateway, |owned, _, _| owned.sent = Default::default());
            }
            cluster.run(SECOND);
            let leaders: Vec<PeerIndex> = cluster
                .leaders()
                .iter()
                .map(|(gateway, _)| *gateway)
                .collect();
            for gateway in 0..gateways {
                let Some(sent) = cluster.sim.act(gateway, |owned, _, _| owned.sent) else {
                    continue;
                };
                if leaders.contains(&gateway) {
                    most = (
                        most.0.max(sent.messages),
                        most.1.max(sent.bytes),
                        most.2,
                        most.3,
                    );
                } else {
                    most = (
                        most.0,
                        most.1,
                        most.2.max(sent.messages),
                        most.3.max(sent.bytes),
                    );
                }
            }
        }
        println!(
            "{gateways} doors, loss {}: owner {} and {} bytes, others {} and {}",
            weather.loss, most.0, most.1, most.2, most.3
        );
        assert!(most.0 <= 150 && most.1 <= 30_000, "the owner: {most:?}");
        assert!(most.2 <= 150, "a candidate: {most:?}");
    }
}

#[test]
fn leases_that_differ_are_told_and_grant_nothing() {
    let mut one = Fleet::new(3, 1, NetworkConditions::default());
    one.settled(3 * LEASE, "the start");
    while one
        .sim
        .act(1, |owned, _, _| owned.stack.election_mut()?.next_event())
        .flatten()
        .is_some()
    {}
    let bytes = gateway_cluster::leadership::wire::Datagram {
        from: peer_id_of("n000"),
        incarnation: 1,
        to_incarnation: 0,
        tick: 1,
        peer_sets: gateway_cluster::leadership::configuration::PeerConfiguration::new(vec![])
            .told(),
        epoch: 0,
        kind: gateway_cluster::leadership::wire::Kind::Prepare {
            number: 1,
            epoch: 1 << 50,
            lease_ms: 3000,
        },
    }
    .encode();
    one.sim.act(1, |owned, now, sends| {
        use gateway_cluster::protocol::Protocol;
        owned.on_datagram(now, &bytes, sends);
    });
    let mut notes = Vec::new();
    while let Some(note) = one
        .sim
        .act(1, |owned, _, _| owned.stack.election_mut()?.next_event())
        .flatten()
    {
        notes.push(note);
    }
    assert!(
        notes.contains(&ElectionEvent::LeaseDiffers(peer_id_of("n000"), 3000)),
        "{notes:?}"
    );
}
