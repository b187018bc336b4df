//! Simulations of the leader election: never two leaders at the same time, and a new leader within the bound. Each failure
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

/// A cluster with the leaders that were observed at each step.
struct Cluster {
    sim: Sim<SimulatedNode<2000>>,
    seed: u64,
    /// The leader of each epoch. Epochs grow in the order in which they are first observed.
    leader_by_epoch: BTreeMap<u64, PeerIndex>,
    highest_epoch: u64,
}

impl Watched for Cluster {
    type Door = SimulatedNode<2000>;

    fn sim(&mut self) -> &mut Sim<SimulatedNode<2000>> {
        &mut self.sim
    }

    /// Checks all invariants.
    fn look(&mut self) {
        let (now, seed) = (self.sim.now(), self.seed);
        let leaders = self.leaders();
        assert!(
            leaders.len() <= 1,
            "seed {seed} at {} ms: {leaders:?}",
            now / 1000
        );
        for (gateway, epoch) in &leaders {
            let first = *self.leader_by_epoch.entry(*epoch).or_insert(*gateway);
            assert_eq!(
                first, *gateway,
                "seed {seed}: epoch {epoch} had another leader"
            );
            assert!(
                *epoch >= self.highest_epoch,
                "seed {seed}: epoch {epoch} after {}",
                self.highest_epoch
            );
            self.highest_epoch = *epoch;
        }
        for gateway in 0..self.sim.peers() {
            let Some(status) = self.status(gateway) else {
                continue;
            };
            let leader = leaders.first();
            assert_eq!(
                status.mine,
                leader.is_some_and(|(leader, _)| *leader == gateway),
                "seed {seed}, d{gateway}"
            );
            assert_eq!(
                status.left == 0,
                status.leader.is_none(),
                "seed {seed}, d{gateway}: {status:?}"
            );
            let Some((leader, epoch)) = leader else {
                continue;
            };
            // A leader that stepped down or was killed may be known as leader until its lease expires.
            let named = status
                .leader
                .is_some_and(|named| named != peer_id_of(&format!("n{leader:03}")));
            assert!(
                !named || status.epoch < *epoch,
                "seed {seed} at {now}, d{gateway}: {status:?}, {leaders:?}"
            );
        }
    }
}

impl Cluster {
    fn new(gateways: usize, seed: u64, network: NetworkConditions) -> Cluster {
        let mut sim = Sim::new(gateways, 500_000, seed);
        sim.network = network;
        (0..gateways).for_each(|gateway| sim.start(gateway, UNIX));
        Cluster {
            sim,
            seed,
            leader_by_epoch: BTreeMap::new(),
            highest_epoch: 0,
        }
    }

    /// All leaders at this time with their epochs, including paused gateways, as they would find when resumed.
    fn leaders(&mut self) -> Vec<(PeerIndex, u64)> {
        let now = self.sim.now();
        let mut leaders = Vec::new();
        for gateway in 0..self.sim.peers() {
            let epoch = self
                .sim
                .engine(gateway)
                .and_then(|node| node.stack.election()?.epoch(now));
            leaders.extend(epoch.map(|epoch| (gateway, epoch)));
        }
        leaders
    }

    fn status(&mut self, gateway: PeerIndex) -> Option<ElectionStatus> {
        let now = self.sim.now();
        Some(self.sim.engine(gateway)?.stack.election()?.status(now))
    }

    /// Waits until all running gateways know the leader, and returns it.
    fn wait_for_known_leader(&mut self, time: Micros, what: &str) -> PeerIndex {
        let known = |watched: &mut Cluster| watched.leader_known_to_all().is_some();
        let took = self.until(time, known);
        let leaders = self.leaders();
        assert!(
            took.is_some(),
            "seed {}: {what}: not all gateways know the leader: {leaders:?}",
            self.seed
        );
        self.leader_known_to_all().expect("the leader is known")
    }

    fn leader_known_to_all(&mut self) -> Option<PeerIndex> {
        let leader = self.leaders().first()?.0;
        let running: Vec<PeerIndex> = (0..self.sim.peers())
            .filter(|gateway| self.sim.runs(*gateway))
            .collect();
        let knows =
            |status: Option<ElectionStatus>| status.is_some_and(|status| status.leader.is_some());
        running
            .into_iter()
            .all(|gateway| self.sim.is_stopped(gateway) || knows(self.status(gateway)))
            .then_some(leader)
    }

    /// The time until another gateway is the leader.
    fn next_leader(&mut self, after: PeerIndex, timeout: Micros, what: &str) -> Micros {
        let took = self.until(timeout, |watched| {
            watched
                .leaders()
                .first()
                .is_some_and(|(leader, _)| *leader != after)
        });
        took.unwrap_or_else(|| {
            panic!(
                "seed {}: {what}: no other leader after {timeout} us",
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
fn a_started_cluster_has_one_stable_leader_after_the_quiet_period() {
    for (gateways, network) in [
        (3, NetworkConditions::default()),
        (7, lossy()),
        (24, NetworkConditions::default()),
        (24, lossy()),
    ] {
        for seed in SEEDS {
            let mut cluster = Cluster::new(gateways, seed, network);
            cluster.run(LEASE);
            assert_eq!(cluster.leaders(), [], "seed {seed}: quiet period");
            let leader = cluster.wait_for_known_leader(LEASE + 2 * SECOND, "the start");
            cluster.run(20 * SECOND);
            let leaders = cluster.leaders();
            assert_eq!(
                leaders.first().map(|(gateway, _)| *gateway),
                Some(leader),
                "{gateways} gateways, seed {seed}: replaced"
            );
            assert_eq!(
                cluster.leader_by_epoch.len(),
                1,
                "{gateways} gateways, seed {seed}: {:?}",
                cluster.leader_by_epoch
            );
        }
    }
}

#[test]
fn a_killed_leader_is_replaced_within_the_bound() {
    for (gateways, network, slack) in [
        (3, NetworkConditions::default(), 1500),
        (24, NetworkConditions::default(), 1500),
        (24, lossy(), 3000),
        (7, lossy(), 3000),
    ] {
        for seed in SEEDS {
            let mut cluster = Cluster::new(gateways, seed, network);
            let leader = cluster.wait_for_known_leader(3 * LEASE, "the start");
            cluster.run(3 * SECOND);
            cluster.sim.kill(leader);
            cluster.next_leader(
                leader,
                LEASE + slack * 1000,
                &format!("{gateways} gateways, killed"),
            );
            // A restarted gateway does not replace the leader.
            cluster.sim.start(leader, UNIX + 60 * SECOND);
            let next = cluster.wait_for_known_leader(LEASE, "the next");
            let epochs = cluster.leader_by_epoch.len();
            cluster.run(10 * SECOND);
            assert_eq!(
                (cluster.leader_by_epoch.len(), cluster.leader_known_to_all()),
                (epochs, Some(next)),
                "{gateways} gateways, seed {seed}"
            );
        }
    }
}

#[test]
fn a_leader_that_leaves_gracefully_is_replaced_within_a_second() {
    for (gateways, network) in [
        (3, NetworkConditions::default()),
        (7, lossy()),
        (24, NetworkConditions::default()),
        (24, lossy()),
    ] {
        for seed in SEEDS {
            let mut cluster = Cluster::new(gateways, seed, network);
            let leader = cluster.wait_for_known_leader(3 * LEASE, "the start");
            cluster.run(2 * SECOND);
            cluster.sim.leave(leader);
            cluster.next_leader(
                leader,
                SECOND,
                &format!("{gateways} gateways, {network:?}, left"),
            );
        }
    }
}

#[test]
fn after_a_restart_of_all_gateways_there_is_no_leader_for_a_lease_and_then_one() {
    for (gateways, back) in [(3, 0), (24, 0), (24, 3600 * SECOND)] {
        for seed in SEEDS {
            let mut cluster = Cluster::new(gateways, seed, NetworkConditions::default());
            cluster.wait_for_known_leader(3 * LEASE, "the start");
            cluster.run(2 * SECOND);
            (0..gateways).for_each(|gateway| cluster.sim.kill(gateway));
            // Epochs start at the wall clock: if it is set back for all, no running gateway knows a higher one.
            cluster.highest_epoch = if back > 0 { 0 } else { cluster.highest_epoch };
            (0..gateways)
                .for_each(|gateway| cluster.sim.start(gateway, UNIX + 100 * SECOND - back));
            cluster.run(LEASE);
            assert_eq!(
                cluster.leaders(),
                [],
                "seed {seed}: votes from before may still be valid"
            );
            cluster.wait_for_known_leader(LEASE + 2 * SECOND, "all were killed");
        }
    }
}

#[test]
fn a_bootstrapping_cluster_waits_for_an_unheard_peer_for_a_limited_time() {
    for seed in SEEDS {
        let mut cluster = Cluster::new(5, seed, NetworkConditions::default());
        cluster.sim.kill(4);
        // The unheard peer may belong to a cluster in service that is not configured with this peer set yet.
        cluster.run(20 * LEASE);
        assert_eq!(cluster.leaders(), [], "seed {seed}");
        cluster.wait_for_known_leader(2 * LEASE, "the wait has ended");
        // With a peer set in use there is no wait.
        let leader = cluster.leaders()[0].0;
        cluster.sim.kill(leader);
        cluster.sim.start(4, UNIX + 100 * SECOND);
        cluster.next_leader(leader, 2 * LEASE + 2 * SECOND, "in use");
    }
}

#[test]
fn a_resumed_leader_does_not_act_and_its_delayed_acts_are_rejected() {
    for seed in SEEDS {
        for stop in [10, 60] {
            let mut cluster = Cluster::new(7, seed, lossy());
            let leader = cluster.wait_for_known_leader(3 * LEASE, "the start");
            cluster.run(2 * SECOND);
            let now = cluster.sim.now();
            let receivers: Vec<PeerIndex> = (0..7).filter(|gateway| *gateway != leader).collect();
            let name = |gateway: PeerIndex| peer_id_of(&format!("n{gateway:03}"));
            // The leader has checked its lease and stalls before it sends.
            let proofs: Vec<(PeerIndex, LeaseProof)> = receivers
                .iter()
                .filter_map(|to| {
                    Some((
                        *to,
                        cluster
                            .sim
                            .engine(leader)?
                            .stack
                            .election()?
                            .lease_proof(now, name(*to))?,
                    ))
                })
                .collect();
            assert_eq!(
                proofs.len(),
                6,
                "seed {seed}: it is the leader and has heard from all"
            );
            for (to, proof) in &proofs {
                let admitted = cluster.sim.act(*to, |gateway, now, _| {
                    gateway
                        .stack
                        .election_mut()
                        .expect("the election is enabled")
                        .admit(now, name(leader), *proof)
                        .is_ok()
                });
                assert_eq!(
                    admitted,
                    Some(true),
                    "seed {seed}: an act in time is admitted"
                );
            }
            cluster.sim.stop(leader, true);
            // The lease expires at each receiver before there is another leader, so the act is late.
            let expired = cluster.until(2 * LEASE, |cluster| cluster.leaders().is_empty());
            assert!(expired.is_some(), "seed {seed}");
            let assert_rejected = |cluster: &mut Cluster, what: &str| {
                for (to, proof) in &proofs {
                    let admitted = cluster.sim.act(*to, |gateway, now, _| {
                        gateway
                            .stack
                            .election_mut()
                            .expect("the election is enabled")
                            .admit(now, name(leader), *proof)
                            .is_ok()
                    });
                    assert_eq!(admitted, Some(false), "seed {seed}, d{to}: {what}");
                }
            };
            assert_rejected(&mut cluster, "the lease has expired");
            cluster.run(stop * SECOND);
            assert_rejected(&mut cluster, "there is another leader");
            cluster.sim.stop(leader, false);
            let status = cluster.status(leader).expect("it runs");
            assert!(
                !status.mine && status.left == 0 || status.leader.is_some(),
                "seed {seed}: {status:?}"
            );
            cluster.look();
            cluster.run(5 * SECOND);
        }
    }
}

#[test]
fn a_leader_in_a_minority_partition_is_replaced_by_the_majority() {
    for seed in SEEDS {
        let mut cluster = Cluster::new(7, seed, lossy());
        let leader = cluster.wait_for_known_leader(3 * LEASE, "the start");
        cluster.run(2 * SECOND);
        let side = |gateway: PeerIndex| usize::from((gateway + 7 - leader) % 7 < 3);
        cluster.sim.partition(side);
        cluster.next_leader(leader, LEASE + 3 * SECOND, "cut off");
        cluster.run(10 * SECOND);
        let next = cluster.leaders()[0].0;
        assert_eq!(side(next), 0, "seed {seed}: in the majority");
        cluster.sim.partition(|_| 0);
        let epochs = cluster.leader_by_epoch.len();
        cluster.wait_for_known_leader(3 * SECOND, "healed");
        cluster.run(5 * SECOND);
        assert_eq!(
            cluster.leader_by_epoch.len(),
            epochs,
            "seed {seed}: the leader was not replaced"
        );
    }
}

#[test]
fn asymmetric_partitions_allow_at_most_one_leader_and_end_with_one() {
    for seed in SEEDS {
        for shape in 0..4 {
            let mut cluster = Cluster::new(7, seed, NetworkConditions::default());
            let leader = cluster.wait_for_known_leader(3 * LEASE, "the start");
            let others: Vec<PeerIndex> = (0..7).filter(|gateway| *gateway != leader).collect();
            for gateway in &others {
                match shape {
                    // The leader receives nothing, or nobody receives its datagrams.
                    0 => cluster.sim.cut(*gateway, leader, true),
                    1 => cluster.sim.cut(leader, *gateway, true),
                    // Half of the others do not receive its datagrams: it can still renew.
                    2 if *gateway % 2 == 0 => cluster.sim.cut(leader, *gateway, true),
                    _ => {}
                }
            }
            if shape == 3 {
                // Two halves that only one other gateway connects.
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
            // A gateway that reaches a majority is the leader; gateways that reach any other one learn of it by queries.
            let (mut samples, mut known) = (0, 0);
            for _ in 0..100 {
                cluster.run(50_000);
                let statuses: Vec<ElectionStatus> = others
                    .iter()
                    .filter_map(|gateway| cluster.status(*gateway))
                    .collect();
                samples += statuses.len();
                known += statuses
                    .iter()
                    .filter(|status| status.leader.is_some())
                    .count();
            }
            assert!(
                2 * known >= samples,
                "seed {seed}, shape {shape}: {known} of {samples}"
            );
            cluster.sim.partition(|_| 0);
            cluster.wait_for_known_leader(LEASE + 5 * SECOND, "healed");
        }
    }
}

#[test]
fn delayed_and_duplicated_datagrams_make_no_second_leader() {
    for seed in SEEDS {
        let network = NetworkConditions {
            jitter: 2 * LEASE,
            double: 0.5,
            ..NetworkConditions::default()
        };
        let mut cluster = Cluster::new(5, seed, NetworkConditions::default());
        cluster.wait_for_known_leader(3 * LEASE, "the start");
        for round in 0..4 {
            cluster.sim.network = network;
            cluster.run(6 * SECOND);
            let gateway = (seed as usize + round) % 5;
            cluster.sim.kill(gateway);
            cluster.sim.start(gateway, UNIX + 100 * SECOND);
            cluster.run(6 * SECOND);
            cluster.sim.network = NetworkConditions::default();
            cluster.wait_for_known_leader(3 * LEASE + 2 * SECOND, "the network has recovered");
        }
    }
}

#[test]
fn a_rolling_restart_faster_than_the_quiet_period_ends_with_one_leader() {
    for seed in SEEDS {
        let mut cluster = Cluster::new(7, seed, NetworkConditions::default());
        cluster.wait_for_known_leader(3 * LEASE, "the start");
        for gateway in 0..7 {
            cluster.sim.leave(gateway);
            cluster.run(100_000);
            cluster
                .sim
                .start(gateway, UNIX + (100 + gateway as Micros) * SECOND);
            cluster.run(300_000);
        }
        // All are in their quiet period for a lease from their own start on, then there is a leader.
        cluster.wait_for_known_leader(LEASE + 2 * SECOND, "all were restarted");
    }
}

#[test]
fn peer_set_changes_gateway_by_gateway_never_make_two_leaders_and_end_with_one() {
    let change = |cluster: &mut Cluster, gateway: PeerIndex, names: std::ops::Range<usize>| {
        cluster.sim.act(gateway, |node, now, sends| {
            node.set_peers(now, names, sends);
        });
    };
    // Starts a gateway that is configured with these names.
    let start = |cluster: &mut Cluster, gateway: PeerIndex, names: std::ops::Range<usize>| {
        let unix = UNIX + cluster.sim.now();
        cluster.sim.start(gateway, unix);
        let options = StartOptions {
            own_index: gateway,
            peer_count: names.end,
            unix_us: unix,
            probe_period: 500_000,
            seed: cluster.seed + gateway as u64,
        };
        cluster.sim.act(gateway, |node, now, sends| {
            node.begin(now, options, names, sends);
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
                    format!("{from} to {to}, pause {pause}, new gateways first: {new_first}");
                let mut cluster = Cluster::new(from.max(to), seed, lossy());
                for gateway in 0..from.max(to) {
                    cluster.sim.kill(gateway);
                }
                (0..from).for_each(|gateway| start(&mut cluster, gateway, 0..from));
                cluster.wait_for_known_leader(3 * LEASE + 2 * SECOND, &what);
                if new_first {
                    (from..to).for_each(|gateway| start(&mut cluster, gateway, 0..to));
                    cluster.run(SECOND);
                }
                // Removed gateways are never reconfigured: they know only the old peer set.
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
                cluster.wait_for_known_leader(2 * LEASE + 4 * SECOND, &what);
                cluster.run(3 * SECOND);
                let leader = cluster.leaders()[0].0;
                assert!(
                    leader < to,
                    "seed {seed}, {what}: n{leader} is not in the peer set"
                );
            }
        }
    }
}

#[test]
fn a_hand_over_releases_leadership_and_never_makes_two_leaders() {
    for seed in SEEDS {
        let mut cluster = Cluster::new(5, seed, NetworkConditions::default());
        let leader = cluster.wait_for_known_leader(3 * LEASE, "the start");
        cluster.run(SECOND);
        cluster
            .sim
            .act(leader, gateway_cluster::sim::SimulatedNode::hand_over);
        cluster.next_leader(leader, SECOND, "handed over");
        cluster.run(3 * SECOND);
        // The other process ended: this one resumes and cannot know how that one voted.
        cluster
            .sim
            .act(leader, |node, now, _| node.stack.resume(now));
        assert!(
            cluster
                .status(leader)
                .is_some_and(|status| status.quiet > LEASE),
            "seed {seed}"
        );
        cluster.run(10 * SECOND);
        cluster.wait_for_known_leader(SECOND, "resumed");
    }
}

#[test]
fn traffic_of_the_election_is_bounded() {
    for (gateways, network) in [(24, NetworkConditions::default()), (24, lossy())] {
        let mut cluster = Cluster::new(gateways, 1, network);
        cluster.wait_for_known_leader(3 * LEASE, "the start");
        let mut max = (0, 0, 0, 0);
        for second in 0..30 {
            if second == 10 {
                (0..17).for_each(|gateway| cluster.sim.kill(gateway));
            }
            for gateway in 0..gateways {
                cluster
                    .sim
                    .act(gateway, |node, _, _| node.sent = Default::default());
            }
            cluster.run(SECOND);
            let leaders: Vec<PeerIndex> = cluster
                .leaders()
                .iter()
                .map(|(gateway, _)| *gateway)
                .collect();
            for gateway in 0..gateways {
                let Some(sent) = cluster.sim.act(gateway, |node, _, _| node.sent) else {
                    continue;
                };
                if leaders.contains(&gateway) {
                    max = (
                        max.0.max(sent.messages),
                        max.1.max(sent.bytes),
                        max.2,
                        max.3,
                    );
                } else {
                    max = (
                        max.0,
                        max.1,
                        max.2.max(sent.messages),
                        max.3.max(sent.bytes),
                    );
                }
            }
        }
        println!(
            "{gateways} gateways, loss {}: leader {} and {} bytes, others {} and {}",
            network.loss, max.0, max.1, max.2, max.3
        );
        assert!(max.0 <= 150 && max.1 <= 30_000, "the leader: {max:?}");
        assert!(max.2 <= 150, "a candidate: {max:?}");
    }
}

#[test]
fn a_different_lease_duration_is_reported_and_receives_no_vote() {
    let mut cluster = Cluster::new(3, 1, NetworkConditions::default());
    cluster.wait_for_known_leader(3 * LEASE, "the start");
    while cluster
        .sim
        .act(1, |node, _, _| node.stack.election_mut()?.next_event())
        .flatten()
        .is_some()
    {}
    let bytes = gateway_cluster::leadership::wire::Datagram {
        from: peer_id_of("n000"),
        incarnation: 1,
        to_incarnation: 0,
        tick: 1,
        peer_sets: gateway_cluster::leadership::configuration::PeerConfiguration::new(vec![])
            .report(),
        epoch: 0,
        kind: gateway_cluster::leadership::wire::Kind::Prepare {
            number: 1,
            epoch: 1 << 50,
            lease_ms: 3000,
        },
    }
    .encode();
    cluster.sim.act(1, |node, now, sends| {
        use gateway_cluster::protocol::Protocol;
        node.on_datagram(now, &bytes, sends);
    });
    let mut events = Vec::new();
    while let Some(event) = cluster
        .sim
        .act(1, |node, _, _| node.stack.election_mut()?.next_event())
        .flatten()
    {
        events.push(event);
    }
    assert!(
        events.contains(&ElectionEvent::LeaseDiffers(peer_id_of("n000"), 3000)),
        "{events:?}"
    );
}
