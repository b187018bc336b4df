//! The shard map in the simulation: a key never has two owners at one instant, and a version never has two maps, under
//! any faults; and each key gets an owner again in time. Each failure names its seed.

mod steps;

use gateway_cluster::peers::peer_id_of;
use gateway_cluster::protocol::{Micros, PeerIndex, Protocol};
use gateway_cluster::shards::consensus::{Ballot, MapId};
use gateway_cluster::shards::leases::SHARD_LEASE_FACTOR;
use gateway_cluster::shards::node::{ShardMapNode, ShardMapStatus};
use gateway_cluster::shards::wire::{encode_map, Datagram, Kind, ProposalState, RequestProof};
use gateway_cluster::shards::{Key, MapHash, ShardMap, ShardRange, KEYS};
use gateway_cluster::sim::{NetworkConditions, Sim, SimulatedNode};
use std::collections::BTreeMap;
use steps::Watched;

const LEADER_LEASE: Micros = 2_000_000;
const LEASE_DURATION: Micros = SHARD_LEASE_FACTOR * LEADER_LEASE;
const SECOND: Micros = 1_000_000;
const PROBE_PERIOD: Micros = 500_000;
/// Time in which the membership detects a failed gateway.
const FAILURE_DETECTION: Micros = 8 * PROBE_PERIOD;
/// Seeds for a cluster of so many gateways.
fn seeds(gateways: usize) -> std::ops::Range<u64> {
    if gateways > 10 {
        0..2
    } else {
        0..4
    }
}

const UNIX: Micros = 1_700_000_000 * SECOND;

/// A cluster, and what was observed at each step.
struct ShardCluster<const RANGES: usize = 64> {
    sim: Sim<SimulatedNode<2000, RANGES>>,
    seed: u64,
    /// The map of each version.
    decided: BTreeMap<u64, MapHash>,
    /// The last version of each gateway in its current incarnation.
    versions: BTreeMap<PeerIndex, u64>,
}

fn name(gateway: PeerIndex) -> String {
    format!("n{gateway:03}")
}

impl<const RANGES: usize> Watched for ShardCluster<RANGES> {
    type Door = SimulatedNode<2000, RANGES>;

    fn sim(&mut self) -> &mut Sim<SimulatedNode<2000, RANGES>> {
        &mut self.sim
    }

    /// Checks all invariants. A stopped gateway is asked what it would do if it resumed now.
    fn look(&mut self) {
        let (now, seed) = (self.sim.now() / 1000, self.seed);
        let mut spans: Vec<(Key, Key, PeerIndex)> = Vec::new();
        for gateway in 0..self.sim.peers() {
            if !self.sim.runs(gateway) {
                self.versions.remove(&gateway);
                continue;
            }
            spans.extend(
                self.owned_ranges(gateway)
                    .into_iter()
                    .map(|(from, to)| (from, to, gateway)),
            );
            let shard_map = self
                .sim
                .engine(gateway)
                .and_then(|owned| owned.stack.shard_map());
            let Some((version, hash)) = shard_map.and_then(ShardMapNode::in_force) else {
                continue;
            };
            let first = *self.decided.entry(version).or_insert(hash);
            assert_eq!(
                first, hash,
                "seed {seed} at {now} ms: n{gateway} has another version {version}"
            );
            let before = self.versions.insert(gateway, version).unwrap_or(0);
            assert!(
                before <= version,
                "seed {seed} at {now} ms: n{gateway} went from {before} to {version}"
            );
        }
        spans.sort_unstable();
        for pair in spans.windows(2) {
            assert!(
                pair[0].1 <= pair[1].0,
                "seed {seed} at {now} ms: two owners: {pair:?}"
            );
        }
    }
}

impl<const RANGES: usize> ShardCluster<RANGES> {
    fn new(gateways: usize, seed: u64, network: NetworkConditions) -> Self {
        let mut sim = Sim::new(gateways, PROBE_PERIOD, seed);
        sim.network = network;
        (0..gateways).for_each(|gateway| sim.start(gateway, UNIX));
        ShardCluster {
            sim,
            seed,
            decided: BTreeMap::new(),
            versions: BTreeMap::new(),
        }
    }

    /// A cluster in which all keys have an owner.
    fn kept(gateways: usize, seed: u64, network: NetworkConditions) -> Self {
        let mut cluster = Self::new(gateways, seed, network);
        cluster.wait_until_all_owned(LEASE_DURATION + 3 * LEADER_LEASE, "the start");
        cluster.run(SECOND);
        cluster
    }

    fn status(&mut self, gateway: PeerIndex) -> Option<ShardMapStatus> {
        let now = self.sim.now();
        Some(self.sim.engine(gateway)?.stack.shard_map()?.status(now))
    }

    fn owned_ranges(&mut self, gateway: PeerIndex) -> Vec<(Key, Key)> {
        let now = self.sim.now();
        self.sim
            .engine(gateway)
            .map_or_else(Vec::new, |owned| owned.stack.owned_ranges(now))
    }

    fn leader(&mut self) -> Option<PeerIndex> {
        let now = self.sim.now();
        (0..self.sim.peers()).find(|gateway| {
            let election = self
                .sim
                .engine(*gateway)
                .and_then(|owned| owned.stack.election());
            election.is_some_and(|election| election.epoch(now).is_some())
        })
    }

    /// Number of keys owned by gateways that run and are not stopped.
    fn owned_key_count(&mut self) -> u64 {
        let gateways = (0..self.sim.peers()).filter(|gateway| !self.sim.is_stopped(*gateway));
        let gateways: Vec<PeerIndex> = gateways.collect();
        gateways
            .into_iter()
            .flat_map(|gateway| self.owned_ranges(gateway))
            .map(|(from, to)| to - from)
            .sum()
    }

    /// Time until each key has an owner; fails after the time-out.
    fn wait_until_all_owned(&mut self, timeout: Micros, what: &str) -> Micros {
        let elapsed = self.until(timeout, |cluster| cluster.owned_key_count() == KEYS);
        elapsed.unwrap_or_else(|| {
            let kept = self.owned_key_count();
            let status: Vec<_> = (0..self.sim.peers())
                .filter_map(|gateway| self.status(gateway))
                .collect();
            let status: Vec<_> = status
                .iter()
                .map(|status| (status.version, status.mine.len(), &status.next))
                .collect();
            panic!(
                "seed {}: {what}: {} of 1000 owned after {timeout} us: {status:?}",
                self.seed,
                kept * 1000 / KEYS
            )
        })
    }

    /// Time until all running gateways have this version; fails after the time-out.
    fn wait_for_version(&mut self, version: u64, timeout: Micros, what: &str) -> Micros {
        let running: Vec<PeerIndex> = (0..self.sim.peers())
            .filter(|gateway| self.sim.runs(*gateway))
            .collect();
        let at = |cluster: &mut Self| {
            let has = |gateway: &PeerIndex| {
                let shard_map = cluster
                    .sim
                    .engine(*gateway)
                    .and_then(|owned| owned.stack.shard_map());
                shard_map
                    .and_then(ShardMapNode::in_force)
                    .is_some_and(|known| known.0 >= version)
            };
            running.iter().all(has)
        };
        let elapsed = self.until(timeout, at);
        let versions: Vec<_> = running
            .iter()
            .map(|gateway| self.status(*gateway).map(|status| status.version))
            .collect();
        elapsed
            .unwrap_or_else(|| panic!("seed {}: {what}: not at {version}: {versions:?}", self.seed))
    }

    fn propose(&mut self, gateway: PeerIndex, expect: u64, ranges: Vec<ShardRange>) {
        self.sim.act(gateway, |owned, now, sends| {
            owned.propose(now, expect, ranges, sends);
        });
    }

    /// Version and ranges of the map in force, with the first range assigned to another owner.
    fn with_first_range_moved(&mut self, gateway: PeerIndex, by: usize) -> (u64, Vec<ShardRange>) {
        let map = self
            .sim
            .engine(gateway)
            .and_then(|owned| owned.stack.shard_map()?.map().cloned());
        let mut map = map.expect("it has a map");
        let names: Vec<String> = (0..self.sim.peers()).map(name).collect();
        let at = names
            .iter()
            .position(|name| *name == map.ranges[0].owner)
            .expect("it is in the peer set");
        map.ranges[0].owner = names[(at + by) % names.len()].clone();
        (map.version, map.ranges)
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
fn a_starting_cluster_owns_all_keys_after_old_leases_expire() {
    for (gateways, network) in [
        (3, NetworkConditions::default()),
        (7, lossy()),
        (24, NetworkConditions::default()),
        (24, lossy()),
    ] {
        let mut elapsed = Vec::new();
        for seed in seeds(gateways) {
            let mut cluster = ShardCluster::<64>::new(gateways, seed, network);
            cluster.run(LEASE_DURATION);
            assert_eq!(
                cluster.owned_key_count(),
                0,
                "seed {seed}: a lease of an earlier process may be valid"
            );
            let timeout = if network.loss > 0.0 {
                3 * SECOND
            } else {
                2 * SECOND
            };
            elapsed.push(LEASE_DURATION + cluster.wait_until_all_owned(timeout, "the start"));
            cluster.run(10 * SECOND);
            assert_eq!(
                (cluster.owned_key_count(), cluster.decided.len()),
                (KEYS, 1),
                "seed {seed}: it does not change"
            );
            let status = cluster.status(0).expect("it runs");
            assert_eq!(
                (status.kept.len(), status.ranges, status.next),
                (gateways, 64, None)
            );
        }
        println!(
            "{gateways} gateways, loss {}: started after {elapsed:?} us",
            network.loss
        );
    }
}

#[test]
fn keys_of_a_killed_owner_get_a_new_owner_in_time() {
    for (gateways, network) in [
        (3, NetworkConditions::default()),
        (7, NetworkConditions::default()),
        (24, NetworkConditions::default()),
        (24, lossy()),
    ] {
        let mut elapsed = Vec::new();
        for seed in seeds(gateways) {
            let mut cluster = ShardCluster::<64>::kept(gateways, seed, network);
            let leader = cluster.leader().expect("there is one");
            cluster.sim.kill((leader + 1) % gateways);
            assert!(cluster.owned_key_count() < KEYS);
            elapsed.push(cluster.wait_until_all_owned(
                FAILURE_DETECTION + LEADER_LEASE + 2 * SECOND,
                "an owner is killed",
            ));
            cluster.run(5 * SECOND);
            // A gateway that returns gets its share, taken from the others in several steps.
            cluster
                .sim
                .start((leader + 1) % gateways, UNIX + 60 * SECOND);
            let has = |cluster: &mut ShardCluster| {
                !cluster.owned_ranges((leader + 1) % gateways).is_empty()
            };
            assert!(
                cluster.until(20 * SECOND, has).is_some(),
                "{gateways} gateways, seed {seed}: it gets no keys"
            );
            cluster.run(10 * SECOND);
            assert_eq!(
                cluster.owned_key_count(),
                KEYS,
                "{gateways} gateways, seed {seed}"
            );
        }
        println!(
            "{gateways} gateways, loss {}: all keys owned after {elapsed:?} us",
            network.loss
        );
    }
}

#[test]
fn keys_of_a_killed_leader_get_a_new_owner_in_time() {
    for (gateways, network) in [
        (3, NetworkConditions::default()),
        (7, NetworkConditions::default()),
        (24, lossy()),
    ] {
        let mut elapsed = Vec::new();
        for seed in seeds(gateways) {
            let mut cluster = ShardCluster::<64>::kept(gateways, seed, network);
            let leader = cluster.leader().expect("there is one");
            cluster.sim.kill(leader);
            // The next leader waits for the leases that this one may have granted.
            elapsed.push(cluster.wait_until_all_owned(
                LEADER_LEASE + 3 * SECOND + LEASE_DURATION + 2 * SECOND,
                "the leader is killed",
            ));
        }
        println!(
            "{gateways} gateways, loss {}: all keys owned after {elapsed:?} us",
            network.loss
        );
    }
}

#[test]
fn an_owner_stopped_during_a_move_owns_none_of_the_moved_keys_when_it_resumes() {
    for seed in seeds(7) {
        let mut cluster = ShardCluster::<64>::kept(7, seed, NetworkConditions::default());
        let leader = cluster.leader().expect("there is one");
        let (expect, ranges) = cluster.with_first_range_moved(leader, 0);
        let previous_owner = (0..7)
            .find(|gateway| name(*gateway) == ranges[0].owner)
            .expect("it has an owner");
        if previous_owner == leader {
            continue;
        }
        let (_, ranges) = cluster.with_first_range_moved(leader, 1);
        cluster.sim.stop(previous_owner, true);
        cluster.propose(leader, expect, ranges);
        // The next owner waits until the lease of the stopped one has expired.
        let end = end_of_first_range(&mut cluster, leader);
        let kept = |cluster: &mut ShardCluster| {
            (0..7).any(|gateway| {
                gateway != previous_owner
                    && cluster
                        .owned_ranges(gateway)
                        .iter()
                        .any(|(from, to)| *from < end && *to > 0)
            })
        };
        let elapsed = cluster.until(LEASE_DURATION + SECOND, kept);
        assert!(
            elapsed.is_some_and(|elapsed| elapsed > SECOND),
            "seed {seed}: {elapsed:?}"
        );
        cluster.run(10 * SECOND);
        cluster.sim.stop(previous_owner, false);
        cluster.look();
        cluster.run(5 * SECOND);
        cluster.wait_until_all_owned(5 * SECOND, "it resumes");
    }
}

/// End of the first range.
fn end_of_first_range(cluster: &mut ShardCluster, gateway: PeerIndex) -> Key {
    let map = cluster
        .sim
        .engine(gateway)
        .and_then(|owned| owned.stack.shard_map()?.map().cloned());
    map.expect("it has a map").ranges[0].to
}

#[test]
fn a_valid_proposal_is_in_force_within_a_second_and_an_invalid_one_is_rejected() {
    for (gateways, network, timeout) in [
        (3, NetworkConditions::default(), SECOND),
        (7, NetworkConditions::default(), SECOND),
        (24, NetworkConditions::default(), SECOND),
        (24, lossy(), 3 * SECOND),
    ] {
        let mut elapsed = Vec::new();
        for seed in seeds(gateways) {
            let mut cluster = ShardCluster::<64>::kept(gateways, seed, network);
            let leader = cluster.leader().expect("there is one");
            let at = (leader + 1) % gateways;
            let (expect, ranges) = cluster.with_first_range_moved(at, 1);
            cluster.propose(at, expect, ranges.clone());
            elapsed.push(cluster.wait_for_version(expect + 1, timeout, "a valid map"));
            elapsed.push(cluster.wait_until_all_owned(timeout, "a valid map"));
            cluster.run(SECOND);
            assert_eq!(
                cluster.status(at).map(|status| status.proposal.state),
                Some(ProposalState::InForce)
            );
            // The same proposal at another gateway: the map is in force already.
            let other = (leader + 2) % gateways;
            cluster.propose(other, expect, ranges.clone());
            cluster.run(2 * SECOND);
            assert_eq!(
                cluster.status(other).map(|status| status.proposal.state),
                Some(ProposalState::InForce)
            );
            let mut bad = ranges;
            (bad[3].from, bad[9].to, bad[20].owner) =
                (bad[3].from + 1, bad[9].to + 7, "nobody".to_string());
            cluster.propose(at, expect + 1, bad);
            cluster.run(3 * SECOND);
            let status = cluster.status(at).expect("it runs").proposal;
            let rules: Vec<&str> = status
                .findings
                .iter()
                .map(|finding| finding.rule.name())
                .collect();
            assert_eq!(
                (status.state, rules),
                (ProposalState::Refused, vec!["gap", "overlap", "keeper"]),
                "seed {seed}"
            );
        }
        println!(
            "{gateways} gateways, loss {}: in force everywhere, and all keys owned, after {elapsed:?} us",
            network.loss
        );
    }
}

#[test]
fn of_two_concurrent_proposals_one_is_decided_and_the_other_is_rejected_with_findings() {
    for seed in seeds(7) {
        let mut cluster = ShardCluster::<64>::kept(7, seed, lossy());
        let (expect, one) = cluster.with_first_range_moved(1, 1);
        let (_, other) = cluster.with_first_range_moved(2, 2);
        cluster.propose(1, expect, one);
        cluster.propose(2, expect, other);
        cluster.run(6 * SECOND);
        let status: Vec<_> = [1, 2]
            .into_iter()
            .filter_map(|gateway| cluster.status(gateway))
            .collect();
        let states: Vec<ProposalState> =
            status.iter().map(|status| status.proposal.state).collect();
        assert!(
            states == [ProposalState::InForce, ProposalState::Refused]
                || states == [ProposalState::Refused, ProposalState::InForce],
            "seed {seed}: {states:?}"
        );
        let refused = status
            .iter()
            .find(|status| status.proposal.state == ProposalState::Refused)
            .expect("one is");
        assert!(refused
            .proposal
            .findings
            .iter()
            .any(|status| status.rule.name() == "version"));
    }
}

#[test]
fn a_proposal_in_a_minority_waits_for_the_partition_to_heal_and_the_minority_owns_nothing() {
    for seed in seeds(7) {
        let mut cluster = ShardCluster::<64>::kept(5, seed, NetworkConditions::default());
        let leader = cluster.leader().expect("there is one");
        let (one, other) = ((leader + 1) % 5, (leader + 2) % 5);
        cluster
            .sim
            .partition(|gateway| usize::from(gateway == one || gateway == other));
        let (expect, ranges) = cluster.with_first_range_moved(one, 1);
        cluster.propose(one, expect, ranges);
        cluster.run(LEASE_DURATION);
        assert_eq!(
            (cluster.owned_ranges(one), cluster.owned_ranges(other)),
            (vec![], vec![]),
            "seed {seed}"
        );
        cluster.wait_until_all_owned(
            FAILURE_DETECTION + LEADER_LEASE + 2 * SECOND - LEASE_DURATION,
            "the majority owns all keys",
        );
        assert_eq!(
            cluster.status(one).map(|status| status.proposal.state),
            Some(ProposalState::Waiting)
        );
        cluster.sim.partition(|_| 0);
        cluster.run(10 * SECOND);
        // The proposal was made for a map that has been replaced meanwhile.
        assert_eq!(
            cluster.status(one).map(|status| status.proposal.state),
            Some(ProposalState::Refused),
            "seed {seed}"
        );
        assert!(
            cluster
                .status(one)
                .is_some_and(|status| status.version > expect),
            "seed {seed}: it caught up"
        );
        cluster.wait_until_all_owned(SECOND, "the partition has healed");
    }
}

#[test]
fn a_new_leader_decides_a_map_that_a_majority_may_have_accepted() {
    for seed in 0..24 {
        let mut cluster = ShardCluster::<64>::kept(5, seed, NetworkConditions::default());
        let leader = cluster.leader().expect("there is one");
        let (expect, ranges) = cluster.with_first_range_moved(leader, 1);
        let status = cluster.status(leader).expect("it runs");
        // The map that the leader proposes, in the epoch of the map in force.
        let map = ShardMap {
            version: expect + 1,
            parent: status.hash,
            epoch: status.epoch,
            ranges: ranges.clone(),
        };
        // All gateways receive the proposal; in half of the seeds the leader receives no votes, so that no gateway
        // learns of a decision.
        for gateway in (0..5).filter(|gateway| *gateway != leader) {
            cluster.sim.cut(gateway, leader, seed % 2 == 0);
        }
        cluster.propose(leader, expect, ranges);
        // The votes are in flight, or have just arrived.
        cluster.run(1_500 + 250 * (seed / 2));
        cluster.sim.kill(leader);
        cluster.sim.partition(|_| 0);
        cluster.wait_for_version(
            expect + 1,
            LEADER_LEASE + 3 * SECOND + FAILURE_DETECTION + LEASE_DURATION,
            "the next leader",
        );
        assert_eq!(
            cluster.decided.get(&(expect + 1)),
            Some(&map.hash()),
            "seed {seed}: another map was decided"
        );
        cluster.wait_until_all_owned(
            LEASE_DURATION + FAILURE_DETECTION + LEADER_LEASE,
            "the next leader",
        );
    }
}

#[test]
fn an_acceptor_rejects_an_invalid_map_of_the_leader() {
    let mut cluster = ShardCluster::<64>::kept(3, 1, NetworkConditions::default());
    let leader = cluster.leader().expect("there is one");
    let gateway = (leader + 1) % 3;
    let (expect, mut ranges) = cluster.with_first_range_moved(gateway, 1);
    ranges[5].from += 1;
    let (now, to) = (cluster.sim.now(), peer_id_of(&name(gateway)));
    let election = cluster
        .sim
        .engine(leader)
        .and_then(|owned| owned.stack.election())
        .expect("it runs");
    let (incarnation, proof) = (
        election.incarnation(),
        election.lease_proof(now, to).expect("it is the leader"),
    );
    let parent = cluster.status(gateway).expect("it runs").hash;
    let map = ShardMap {
        version: expect + 1,
        parent,
        epoch: proof.epoch,
        ranges,
    };
    let (epoch, version, hash) = (map.epoch, map.version, map.hash());
    let ballot = Ballot { epoch, attempt: 0 };
    let kind = Kind::Propose {
        ballot,
        map: MapId {
            epoch,
            version,
            hash,
        },
        resumed: true,
        recovery: false,
        map_bytes: encode_map(&map),
    };
    let from = peer_id_of(&name(leader));
    let bytes = Datagram {
        from,
        incarnation,
        to_incarnation: proof.to_incarnation,
        proof: Some(RequestProof {
            epoch,
            valid_until: proof.until,
        }),
        kind,
    }
    .encode();
    let answers = cluster.sim.act(gateway, |owned, now, sends| {
        owned.on_datagram(now, &bytes, sends);
        sends
            .iter()
            .filter_map(|send| Datagram::decode(&send.bytes))
            .map(|status| status.kind)
            .collect::<Vec<_>>()
    });
    let refused = |kind: &Kind| matches!(kind, Kind::Rejected(of, _, status) if *of == ballot && status.len() == 1);
    assert!(
        answers
            .as_ref()
            .is_some_and(|answers| answers.iter().any(refused)),
        "{answers:?}"
    );
}

#[test]
fn after_a_restart_of_all_gateways_a_new_history_starts_and_a_returning_gateway_catches_up() {
    for (gateways, network) in [
        (3, NetworkConditions::default()),
        (7, lossy()),
        (24, NetworkConditions::default()),
    ] {
        for seed in seeds(gateways) {
            let mut cluster = ShardCluster::<64>::kept(gateways, seed, network);
            let (expect, ranges) = cluster.with_first_range_moved(1, 1);
            cluster.propose(1, expect, ranges);
            cluster.wait_for_version(expect + 1, 3 * SECOND, "a map");
            (0..gateways).for_each(|gateway| cluster.sim.kill(gateway));
            cluster.look();
            cluster.decided.clear();
            (0..gateways).for_each(|gateway| cluster.sim.start(gateway, UNIX + 100 * SECOND));
            cluster.wait_until_all_owned(LEASE_DURATION + 2 * SECOND, "all restarted");
            assert_eq!(
                cluster.status(0).map(|status| status.version),
                Some(1),
                "seed {seed}"
            );
            cluster.run(SECOND);
            let leader = cluster.leader().expect("there is one");
            let gateway = (leader + 1) % gateways;
            cluster.sim.kill(gateway);
            cluster.run(SECOND);
            cluster.sim.start(gateway, UNIX + 200 * SECOND);
            cluster.wait_for_version(1, 3 * SECOND, "it returns");
            // Its keys have an owner again once the lease of the former process has expired.
            cluster
                .wait_until_all_owned(FAILURE_DETECTION + LEADER_LEASE + 2 * SECOND, "it returns");
        }
    }
}

#[test]
fn late_lost_and_duplicated_datagrams_never_give_a_key_two_owners() {
    for seed in 0..6 {
        let late = NetworkConditions {
            jitter: LEADER_LEASE,
            loss: 0.1,
            double: 0.1,
            ..NetworkConditions::default()
        };
        let mut cluster = ShardCluster::<64>::kept(5, seed, lossy());
        for round in 0..6 {
            cluster.sim.network = if round % 2 == 0 { late } else { lossy() };
            let gateway = (round + seed as usize) % 5;
            if cluster.sim.runs(gateway) {
                let (expect, ranges) = cluster.with_first_range_moved(gateway, 1 + round % 3);
                cluster.propose(gateway, expect, ranges);
            }
            cluster.run(3 * SECOND);
            match round {
                1 => cluster.sim.stop(gateway, true),
                2 => (0..5).for_each(|gateway| cluster.sim.stop(gateway, false)),
                3 => cluster.sim.partition(|other| usize::from(other == gateway)),
                4 => cluster.sim.partition(|_| 0),
                _ => {}
            }
            cluster.run(3 * SECOND);
        }
        cluster.sim.network = NetworkConditions::default();
        cluster.sim.partition(|_| 0);
        (0..5).for_each(|gateway| cluster.sim.stop(gateway, false));
        cluster.run(2 * LEASE_DURATION);
        cluster.wait_until_all_owned(
            FAILURE_DETECTION + 2 * LEASE_DURATION,
            "all faults are over",
        );
    }
}

#[test]
fn random_stops_partitions_and_kills_never_give_a_key_two_owners() {
    for seed in 0..10 {
        let mut cluster = ShardCluster::<64>::kept(5, seed, lossy());
        let mut random_state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut random_below = |timeout: u64| {
            random_state ^= random_state << 13;
            random_state ^= random_state >> 7;
            random_state ^= random_state << 17;
            random_state % timeout
        };
        for round in 0..14 {
            let gateway = random_below(5) as usize;
            // At most one gateway is down at a time, so that a majority of acceptors has its state.
            for other in 0..5 {
                if !cluster.sim.runs(other) {
                    cluster.sim.start(other, UNIX + (100 + round) * SECOND);
                }
            }
            match random_below(6) {
                0 => cluster.sim.stop(gateway, true),
                1 => (0..5).for_each(|gateway| cluster.sim.stop(gateway, false)),
                2 => cluster
                    .sim
                    .cut(gateway, (gateway + 1 + random_below(4) as usize) % 5, true),
                3 => cluster.sim.partition(|_| 0),
                4 => cluster.sim.kill(gateway),
                _ if cluster
                    .status(gateway)
                    .is_some_and(|status| status.version > 0)
                    && !cluster.sim.is_stopped(gateway) =>
                {
                    let (expect, ranges) =
                        cluster.with_first_range_moved(gateway, 1 + random_below(4) as usize);
                    cluster.propose(gateway, expect, ranges);
                }
                _ => {}
            }
            cluster.run(500_000 + random_below(3 * SECOND));
        }
        cluster.sim.network = NetworkConditions::default();
        cluster.sim.partition(|_| 0);
        (0..5).for_each(|gateway| cluster.sim.stop(gateway, false));
        (0..5)
            .filter(|gateway| !cluster.sim.runs(*gateway))
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|gateway| {
                cluster.sim.start(gateway, UNIX + 1000 * SECOND);
            });
        cluster.run(2 * LEASE_DURATION);
        cluster.wait_until_all_owned(
            FAILURE_DETECTION + 3 * LEASE_DURATION,
            "all faults are over",
        );
    }
}

#[test]
fn a_gateway_removed_from_the_peer_set_owns_nothing() {
    for seed in seeds(7) {
        let mut cluster = ShardCluster::<64>::kept(7, seed, NetworkConditions::default());
        for gateway in 0..7 {
            cluster.sim.act(gateway, |owned, now, sends| {
                owned.set_peers(now, 0..7_usize, sends);
            });
            if gateway < 5 {
                cluster.sim.act(gateway, |owned, now, sends| {
                    owned.set_peers(now, 0..5_usize, sends);
                });
                cluster.run(200_000);
            }
        }
        cluster.run(LEASE_DURATION + LEADER_LEASE + 2 * SECOND);
        assert_eq!(
            (cluster.owned_ranges(5), cluster.owned_ranges(6)),
            (vec![], vec![]),
            "seed {seed}"
        );
        cluster.wait_until_all_owned(LEASE_DURATION + SECOND, "the peer set has shrunk");
        let status = cluster.status(0).expect("it runs");
        assert!(
            status.kept.keys().all(|name| *name < self::name(5)),
            "seed {seed}: {:?}",
            status.kept
        );
    }
}

#[test]
fn a_graceful_shutdown_releases_leases_at_once() {
    for seed in seeds(7) {
        let mut cluster = ShardCluster::<64>::kept(7, seed, NetworkConditions::default());
        let leader = cluster.leader().expect("there is one");
        cluster.sim.leave((leader + 1) % 7);
        let owner = cluster.wait_until_all_owned(SECOND, "an owner shuts down");
        cluster.run(SECOND);
        cluster.sim.leave(leader);
        let elapsed = cluster.wait_until_all_owned(2 * SECOND, "the leader shuts down");
        println!("seed {seed}: an owner left after {owner} us, the leader after {elapsed} us");
    }
}

#[test]
fn a_map_of_1024_ranges_is_fetched_in_chunks() {
    for network in [NetworkConditions::default(), lossy()] {
        let mut cluster = ShardCluster::<1024>::kept(5, 1, network);
        let (expect, ranges) = cluster.with_first_range_moved(1, 1);
        assert_eq!(ranges.len(), 1024);
        cluster.propose(1, expect, ranges);
        let elapsed = cluster.wait_for_version(expect + 1, 8 * SECOND, "1,024 ranges");
        println!(
            "loss {}: 1,024 ranges everywhere after {elapsed} us",
            network.loss
        );
        let largest = (0..5)
            .filter_map(|gateway| cluster.sim.engine(gateway).map(|owned| owned.kept.largest))
            .max();
        assert!(
            largest.is_some_and(|largest| largest <= 1400),
            "{largest:?}"
        );
    }
}

#[test]
fn the_rate_of_datagrams_and_bytes_is_bounded() {
    for gateways in [3, 7, 24] {
        let mut cluster = ShardCluster::<64>::kept(gateways, 1, NetworkConditions::default());
        cluster.run(5 * SECOND);
        let mut status = Vec::new();
        for failover in [false, true] {
            if failover {
                let leader = cluster.leader().expect("there is one");
                (0..gateways)
                    .filter(|gateway| *gateway != leader)
                    .take(gateways / 3)
                    .for_each(|gateway| cluster.sim.kill(gateway));
            }
            let (mut leader, mut others) = ((0, 0), (0, 0));
            for _ in 0..10 {
                for gateway in 0..gateways {
                    cluster.sim.act(gateway, |owned, _, _| {
                        (owned.kept, owned.sent) = Default::default();
                    });
                }
                cluster.run(SECOND);
                let owns = cluster.leader();
                for gateway in 0..gateways {
                    let sent = cluster.sim.act(gateway, |owned, _, _| {
                        (
                            owned.kept.messages + owned.sent.messages,
                            owned.kept.bytes + owned.sent.bytes,
                        )
                    });
                    let Some(sent) = sent else { continue };
                    let timeout = if owns == Some(gateway) {
                        &mut leader
                    } else {
                        &mut others
                    };
                    *timeout = (timeout.0.max(sent.0), timeout.1.max(sent.1));
                }
            }
            assert!(
                leader.0 <= 150 && leader.1 <= 30_000,
                "{gateways} gateways, failover {failover}: leader {leader:?}"
            );
            assert!(
                others.0 <= 50,
                "{gateways} gateways, failover {failover}: others {others:?}"
            );
            status.push((failover, leader, others));
        }
        println!(
            "{gateways} gateways: (failover, leader, others), with leader election: {status:?}"
        );
    }
}

#[test]
fn undecodable_datagrams_and_unknown_peers_are_counted_and_dropped() {
    let mut cluster = ShardCluster::<64>::kept(3, 1, NetworkConditions::default());
    let mut bytes = Datagram {
        from: 1,
        incarnation: 1,
        to_incarnation: 1,
        proof: Some(RequestProof {
            epoch: u64::MAX,
            valid_until: u64::MAX,
        }),
        kind: Kind::ReleaseLeases,
    };
    let unknown = bytes.encode();
    bytes.from = peer_id_of("n000");
    bytes.kind = Kind::FetchChunk(MapHash(7), 255);
    let nothing = bytes.encode();
    let dropped = cluster.sim.act(1, |owned, now, sends| {
        for bytes in [&unknown, &nothing, &vec![3; 1400], &vec![3; 1401], &vec![3]] {
            owned.on_datagram(now, bytes, sends);
        }
        owned.stack.shard_map().map(|shard_map| shard_map.dropped)
    });
    assert_eq!(dropped, Some(Some((3, 1))));
}
