//! The shard map in the simulation: never two owners of a key at one instant, never two maps of one version, whatever
//! happens; and each key kept again in time. Each failure names its seed.

mod steps;

use gateway_cluster::peers::peer_id_of;
use gateway_cluster::protocol::{Micros, PeerIndex, Protocol};
use gateway_cluster::shards::consensus::{Ballot, MapId};
use gateway_cluster::shards::leases::SHARD_LEASE_FACTOR;
use gateway_cluster::shards::node::ShardMapStatus;
use gateway_cluster::shards::wire::{encode_map, Datagram, Kind, ProposalState};
use gateway_cluster::shards::{Key, MapHash, ShardMap, ShardRange, KEYS};
use gateway_cluster::sim::{NetworkConditions, Sim, SimulatedNode};
use std::collections::BTreeMap;
use steps::Watched;

const LEASE: Micros = 2_000_000;
const KEEP: Micros = SHARD_LEASE_FACTOR * LEASE;
const SECOND: Micros = 1_000_000;
const PROBE: Micros = 500_000;
/// The view's.
const VERDICT: Micros = 8 * PROBE;
/// Seeds for a cluster of so many gateways.
fn seeds(gateways: usize) -> std::ops::Range<u64> {
    if gateways > 10 {
        0..2
    } else {
        0..4
    }
}

const UNIX: Micros = 1_700_000_000 * SECOND;

/// A cluster with what was seen of it at each step.
struct Fleet<const RANGES: usize = 64> {
    sim: Sim<SimulatedNode<2000, RANGES>>,
    seed: u64,
    /// Which map each version is.
    decided: BTreeMap<u64, MapHash>,
    /// The version that each gateway had last in this incarnation.
    versions: BTreeMap<PeerIndex, u64>,
}

fn name(gateway: PeerIndex) -> String {
    format!("n{gateway:03}")
}

impl<const RANGES: usize> Watched for Fleet<RANGES> {
    type Door = SimulatedNode<2000, RANGES>;

    fn sim(&mut self) -> &mut Sim<SimulatedNode<2000, RANGES>> {
        &mut self.sim
    }

    /// Looks at all invariants. One that is stopped is asked what it would say if it went on now.
    fn look(&mut self) {
        let (now, seed) = (self.sim.now() / 1000, self.seed);
        let mut spans: Vec<(Key, Key, PeerIndex)> = Vec::new();
        for gateway in 0..self.sim.peers() {
            if !self.sim.runs(gateway) {
                self.versions.remove(&gateway);
                continue;
            }
            spans.extend(
                self.mine(gateway)
                    .into_iter()
                    .map(|(from, to)| (from, to, gateway)),
            );
            let shard_map = self
                .sim
                .engine(gateway)
                .and_then(|owned| owned.stack.shard_map());
            let Some((version, hash)) = shard_map.and_then(|shard_map| shard_map.in_force()) else {
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
                "seed {seed} at {now} ms: two keepers: {pair:?}"
            );
        }
    }
}

impl<const RANGES: usize> Fleet<RANGES> {
    fn new(gateways: usize, seed: u64, weather: NetworkConditions) -> Self {
        let mut sim = Sim::new(gateways, PROBE, seed);
        sim.network = weather;
        (0..gateways).for_each(|gateway| sim.start(gateway, UNIX));
        Fleet {
            sim,
            seed,
            decided: BTreeMap::new(),
            versions: BTreeMap::new(),
        }
    }

    /// A cluster whose keys are all kept.
    fn kept(gateways: usize, seed: u64, weather: NetworkConditions) -> Self {
        let mut cluster = Self::new(gateways, seed, weather);
        cluster.all_kept(KEEP + 3 * LEASE, "the start");
        cluster.run(SECOND);
        cluster
    }

    fn status(&mut self, gateway: PeerIndex) -> Option<ShardMapStatus> {
        let now = self.sim.now();
        Some(self.sim.engine(gateway)?.stack.shard_map()?.status(now))
    }

    fn mine(&mut self, gateway: PeerIndex) -> Vec<(Key, Key)> {
        let now = self.sim.now();
        self.sim
            .engine(gateway)
            .map_or_else(Vec::new, |owned| owned.stack.mine(now))
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

    /// Keys that somebody keeps who runs and is not stopped.
    fn keys_kept(&mut self) -> u64 {
        let gateways = (0..self.sim.peers()).filter(|gateway| !self.sim.is_stopped(*gateway));
        let gateways: Vec<PeerIndex> = gateways.collect();
        gateways
            .into_iter()
            .flat_map(|gateway| self.mine(gateway))
            .map(|(from, to)| to - from)
            .sum()
    }

    /// How long until each key is kept, at most this long.
    fn all_kept(&mut self, most: Micros, what: &str) -> Micros {
        let took = self.until(most, |cluster| cluster.keys_kept() == KEYS);
        took.unwrap_or_else(|| {
            let kept = self.keys_kept();
            let told: Vec<_> = (0..self.sim.peers())
                .filter_map(|gateway| self.status(gateway))
                .collect();
            let told: Vec<_> = told
                .iter()
                .map(|told| (told.version, told.mine.len(), &told.next))
                .collect();
            panic!(
                "seed {}: {what}: {} of 1000 kept after {most} us: {told:?}",
                self.seed,
                kept * 1000 / KEYS
            )
        })
    }

    /// How long until all gateways that run have this version.
    fn all_at(&mut self, version: u64, most: Micros, what: &str) -> Micros {
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
                    .and_then(|shard_map| shard_map.in_force())
                    .is_some_and(|known| known.0 >= version)
            };
            running.iter().all(has)
        };
        let took = self.until(most, at);
        let versions: Vec<_> = running
            .iter()
            .map(|gateway| self.status(*gateway).map(|told| told.version))
            .collect();
        took.unwrap_or_else(|| panic!("seed {}: {what}: not at {version}: {versions:?}", self.seed))
    }

    fn propose(&mut self, gateway: PeerIndex, expect: u64, ranges: Vec<ShardRange>) {
        self.sim.act(gateway, |owned, now, sends| {
            owned.propose(now, expect, ranges, sends)
        });
    }

    /// What is in force, with the keys of the first owner's first range given to another.
    fn one_moved(&mut self, gateway: PeerIndex, by: usize) -> (u64, Vec<ShardRange>) {
        let map = self
            .sim
            .engine(gateway)
            .and_then(|owned| owned.stack.shard_map()?.map().cloned());
        let mut map = map.expect("it has a map");
        let names: Vec<String> = (0..self.sim.peers()).map(name).collect();
        let at = names
            .iter()
            .position(|name| *name == map.ranges[0].owner)
            .expect("it is in the roster");
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
fn a_cluster_that_starts_keeps_each_key_once_what_was_given_before_is_over() {
    for (gateways, weather) in [
        (3, NetworkConditions::default()),
        (7, lossy()),
        (24, NetworkConditions::default()),
        (24, lossy()),
    ] {
        let mut took = Vec::new();
        for seed in seeds(gateways) {
            let mut cluster = Fleet::<64>::new(gateways, seed, weather);
            cluster.run(KEEP);
            assert_eq!(
                cluster.keys_kept(),
                0,
                "seed {seed}: an earlier process may keep yet"
            );
            let most = if weather.loss > 0.0 {
                3 * SECOND
            } else {
                2 * SECOND
            };
            took.push(KEEP + cluster.all_kept(most, "the start"));
            cluster.run(10 * SECOND);
            assert_eq!(
                (cluster.keys_kept(), cluster.decided.len()),
                (KEYS, 1),
                "seed {seed}: it stays so"
            );
            let told = cluster.status(0).expect("it runs");
            assert_eq!(
                (told.kept.len(), told.ranges, told.next),
                (gateways, 64, None)
            );
        }
        println!(
            "{gateways} doors, loss {}: started after {took:?} us",
            weather.loss
        );
    }
}

#[test]
fn the_keys_of_a_owner_that_is_killed_are_kept_again_in_time() {
    for (gateways, weather) in [
        (3, NetworkConditions::default()),
        (7, NetworkConditions::default()),
        (24, NetworkConditions::default()),
        (24, lossy()),
    ] {
        let mut took = Vec::new();
        for seed in seeds(gateways) {
            let mut cluster = Fleet::<64>::kept(gateways, seed, weather);
            let leader = cluster.leader().expect("there is one");
            cluster.sim.kill((leader + 1) % gateways);
            assert!(cluster.keys_kept() < KEYS);
            took.push(cluster.all_kept(VERDICT + LEASE + 2 * SECOND, "a keeper is killed"));
            cluster.run(5 * SECOND);
            // One that comes back gets its part, and takes it from the others one step after the other.
            cluster
                .sim
                .start((leader + 1) % gateways, UNIX + 60 * SECOND);
            let has = |cluster: &mut Fleet| !cluster.mine((leader + 1) % gateways).is_empty();
            assert!(
                cluster.until(20 * SECOND, has).is_some(),
                "{gateways} doors, seed {seed}: it gets nothing"
            );
            cluster.run(10 * SECOND);
            assert_eq!(cluster.keys_kept(), KEYS, "{gateways} doors, seed {seed}");
        }
        println!(
            "{gateways} doors, loss {}: kept again after {took:?} us",
            weather.loss
        );
    }
}

#[test]
fn the_keys_of_an_leader_that_is_killed_are_kept_again_and_the_others_stay() {
    for (gateways, weather) in [
        (3, NetworkConditions::default()),
        (7, NetworkConditions::default()),
        (24, lossy()),
    ] {
        let mut took = Vec::new();
        for seed in seeds(gateways) {
            let mut cluster = Fleet::<64>::kept(gateways, seed, weather);
            let leader = cluster.leader().expect("there is one");
            cluster.sim.kill(leader);
            // The next leader waits for what this one may have given.
            took.push(cluster.all_kept(
                LEASE + 3 * SECOND + KEEP + 2 * SECOND,
                "the owner is killed",
            ));
        }
        println!(
            "{gateways} doors, loss {}: kept again after {took:?} us",
            weather.loss
        );
    }
}

#[test]
fn a_owner_that_is_stopped_over_a_move_keeps_nothing_of_it_when_it_wakes() {
    for seed in seeds(7) {
        let mut cluster = Fleet::<64>::kept(7, seed, NetworkConditions::default());
        let leader = cluster.leader().expect("there is one");
        let (expect, ranges) = cluster.one_moved(leader, 0);
        let loser = (0..7)
            .find(|gateway| name(*gateway) == ranges[0].owner)
            .expect("it has a keeper");
        if loser == leader {
            continue;
        }
        let (_, ranges) = cluster.one_moved(leader, 1);
        cluster.sim.stop(loser, true);
        cluster.propose(leader, expect, ranges);
        // The next owner waits until the lease of the one that is stopped is over.
        let end = ranges_end(&mut cluster, leader);
        let kept = |cluster: &mut Fleet| {
            (0..7).any(|gateway| {
                gateway != loser
                    && cluster
                        .mine(gateway)
                        .iter()
                        .any(|(from, to)| *from < end && *to > 0)
            })
        };
        let took = cluster.until(KEEP + SECOND, kept);
        assert!(
            took.is_some_and(|took| took > SECOND),
            "seed {seed}: {took:?}"
        );
        cluster.run(10 * SECOND);
        cluster.sim.stop(loser, false);
        cluster.look();
        cluster.run(5 * SECOND);
        cluster.all_kept(5 * SECOND, "it goes on");
    }
}

/// The end of the first range.
fn ranges_end(cluster: &mut Fleet, gateway: PeerIndex) -> Key {
    let map = cluster
        .sim
        .engine(gateway)
        .and_then(|owned| owned.stack.shard_map()?.map().cloned());
    map.expect("it has a map").ranges[0].to
}

#[test]
fn a_good_map_of_operators_is_in_force_everywhere_within_a_second_and_a_bad_one_is_refused() {
    for (gateways, weather, most) in [
        (3, NetworkConditions::default(), SECOND),
        (7, NetworkConditions::default(), SECOND),
        (24, NetworkConditions::default(), SECOND),
        (24, lossy(), 3 * SECOND),
    ] {
        let mut took = Vec::new();
        for seed in seeds(gateways) {
            let mut cluster = Fleet::<64>::kept(gateways, seed, weather);
            let leader = cluster.leader().expect("there is one");
            let at = (leader + 1) % gateways;
            let (expect, ranges) = cluster.one_moved(at, 1);
            cluster.propose(at, expect, ranges.clone());
            took.push(cluster.all_at(expect + 1, most, "a good map"));
            took.push(cluster.all_kept(most, "a good map"));
            cluster.run(SECOND);
            assert_eq!(
                cluster.status(at).map(|told| told.proposal.state),
                Some(ProposalState::InForce)
            );
            // The same once more, at another gateway: it is there.
            let other = (leader + 2) % gateways;
            cluster.propose(other, expect, ranges.clone());
            cluster.run(2 * SECOND);
            assert_eq!(
                cluster.status(other).map(|told| told.proposal.state),
                Some(ProposalState::InForce)
            );
            let mut bad = ranges;
            (bad[3].from, bad[9].to, bad[20].owner) =
                (bad[3].from + 1, bad[9].to + 7, "nobody".to_string());
            cluster.propose(at, expect + 1, bad);
            cluster.run(3 * SECOND);
            let told = cluster.status(at).expect("it runs").proposal;
            let rules: Vec<&str> = told
                .findings
                .iter()
                .map(|finding| finding.rule.name())
                .collect();
            assert_eq!(
                (told.state, rules),
                (ProposalState::Refused, vec!["gap", "overlap", "keeper"]),
                "seed {seed}"
            );
        }
        println!(
            "{gateways} doors, loss {}: everywhere, and kept, after {took:?} us",
            weather.loss
        );
    }
}

#[test]
fn of_two_maps_at_once_one_is_decided_and_the_other_is_told_why_not() {
    for seed in seeds(7) {
        let mut cluster = Fleet::<64>::kept(7, seed, lossy());
        let (expect, one) = cluster.one_moved(1, 1);
        let (_, other) = cluster.one_moved(2, 2);
        cluster.propose(1, expect, one);
        cluster.propose(2, expect, other);
        cluster.run(6 * SECOND);
        let told: Vec<_> = [1, 2]
            .into_iter()
            .filter_map(|gateway| cluster.status(gateway))
            .collect();
        let states: Vec<ProposalState> = told.iter().map(|told| told.proposal.state).collect();
        assert!(
            states == [ProposalState::InForce, ProposalState::Refused]
                || states == [ProposalState::Refused, ProposalState::InForce],
            "seed {seed}: {states:?}"
        );
        let refused = told
            .iter()
            .find(|told| told.proposal.state == ProposalState::Refused)
            .expect("one is");
        assert!(refused
            .proposal
            .findings
            .iter()
            .any(|told| told.rule.name() == "version"));
    }
}

#[test]
fn a_map_at_a_gateway_of_a_minority_waits_until_it_is_healed_and_the_minority_keeps_nothing() {
    for seed in seeds(7) {
        let mut cluster = Fleet::<64>::kept(5, seed, NetworkConditions::default());
        let leader = cluster.leader().expect("there is one");
        let (one, other) = ((leader + 1) % 5, (leader + 2) % 5);
        cluster
            .sim
            .partition(|gateway| usize::from(gateway == one || gateway == other));
        let (expect, ranges) = cluster.one_moved(one, 1);
        cluster.propose(one, expect, ranges);
        cluster.run(KEEP);
        assert_eq!(
            (cluster.mine(one), cluster.mine(other)),
            (vec![], vec![]),
            "seed {seed}"
        );
        cluster.all_kept(VERDICT + LEASE + 2 * SECOND - KEEP, "the rest keeps it all");
        assert_eq!(
            cluster.status(one).map(|told| told.proposal.state),
            Some(ProposalState::Waiting)
        );
        cluster.sim.partition(|_| 0);
        cluster.run(10 * SECOND);
        // It was made from a map that was replaced meanwhile.
        assert_eq!(
            cluster.status(one).map(|told| told.proposal.state),
            Some(ProposalState::Refused),
            "seed {seed}"
        );
        assert!(
            cluster
                .status(one)
                .is_some_and(|told| told.version > expect),
            "seed {seed}: it caught up"
        );
        cluster.all_kept(SECOND, "it is healed");
    }
}

#[test]
fn a_new_leader_finishes_what_a_majority_may_have_accepted() {
    for seed in 0..24 {
        let mut cluster = Fleet::<64>::kept(5, seed, NetworkConditions::default());
        let leader = cluster.leader().expect("there is one");
        let (expect, ranges) = cluster.one_moved(leader, 1);
        let told = cluster.status(leader).expect("it runs");
        // In the epoch that made the map in force.
        let map = ShardMap {
            version: expect + 1,
            parent: told.hash,
            epoch: told.epoch,
            ranges: ranges.clone(),
        };
        // Everybody hears what it proposes; of half of the seeds it hears nobody, so that nobody is told that it is
        // decided.
        for gateway in (0..5).filter(|gateway| *gateway != leader) {
            cluster.sim.cut(gateway, leader, seed % 2 == 0);
        }
        cluster.propose(leader, expect, ranges);
        // The acceptances are on their way back, or have just come.
        cluster.run(1_500 + 250 * (seed / 2));
        cluster.sim.kill(leader);
        cluster.sim.partition(|_| 0);
        cluster.all_at(
            expect + 1,
            LEASE + 3 * SECOND + VERDICT + KEEP,
            "the next owner",
        );
        assert_eq!(
            cluster.decided.get(&(expect + 1)),
            Some(&map.hash()),
            "seed {seed}: another was decided"
        );
        cluster.all_kept(KEEP + VERDICT + LEASE, "the next owner");
    }
}

#[test]
fn a_gateway_refuses_a_bad_map_by_itself_whatever_the_leader_says() {
    let mut cluster = Fleet::<64>::kept(3, 1, NetworkConditions::default());
    let leader = cluster.leader().expect("there is one");
    let gateway = (leader + 1) % 3;
    let (expect, mut ranges) = cluster.one_moved(gateway, 1);
    ranges[5].from += 1;
    let (now, to) = (cluster.sim.now(), peer_id_of(&name(gateway)));
    let election = cluster
        .sim
        .engine(leader)
        .and_then(|owned| owned.stack.election())
        .expect("it runs");
    let (incarnation, stamp) = (
        election.incarnation(),
        election.stamp(now, to).expect("it owns"),
    );
    let parent = cluster.status(gateway).expect("it runs").hash;
    let map = ShardMap {
        version: expect + 1,
        parent,
        epoch: stamp.epoch,
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
        to_incarnation: stamp.to_incarnation,
        stamp: Some((epoch, stamp.until)),
        kind,
    }
    .encode();
    let answers = cluster.sim.act(gateway, |owned, now, sends| {
        owned.on_datagram(now, &bytes, sends);
        sends
            .iter()
            .filter_map(|send| Datagram::decode(&send.bytes))
            .map(|told| told.kind)
            .collect::<Vec<_>>()
    });
    let refused = |kind: &Kind| matches!(kind, Kind::Rejected(of, _, told) if *of == ballot && told.len() == 1);
    assert!(
        answers
            .as_ref()
            .is_some_and(|answers| answers.iter().any(refused)),
        "{answers:?}"
    );
}

#[test]
fn after_all_restart_at_once_the_map_starts_anew_and_a_gateway_that_returns_catches_up() {
    for (gateways, weather) in [
        (3, NetworkConditions::default()),
        (7, lossy()),
        (24, NetworkConditions::default()),
    ] {
        for seed in seeds(gateways) {
            let mut cluster = Fleet::<64>::kept(gateways, seed, weather);
            let (expect, ranges) = cluster.one_moved(1, 1);
            cluster.propose(1, expect, ranges);
            cluster.all_at(expect + 1, 3 * SECOND, "a map");
            (0..gateways).for_each(|gateway| cluster.sim.kill(gateway));
            cluster.look();
            cluster.decided.clear();
            (0..gateways).for_each(|gateway| cluster.sim.start(gateway, UNIX + 100 * SECOND));
            cluster.all_kept(KEEP + 2 * SECOND, "all restarted");
            assert_eq!(
                cluster.status(0).map(|told| told.version),
                Some(1),
                "seed {seed}"
            );
            cluster.run(SECOND);
            let leader = cluster.leader().expect("there is one");
            let gateway = (leader + 1) % gateways;
            cluster.sim.kill(gateway);
            cluster.run(SECOND);
            cluster.sim.start(gateway, UNIX + 200 * SECOND);
            cluster.all_at(1, 3 * SECOND, "it returns");
            // Its name keeps again once the lease of the process before it is over.
            cluster.all_kept(VERDICT + LEASE + 2 * SECOND, "it returns");
        }
    }
}

#[test]
fn datagrams_that_are_late_by_a_lease_lost_and_doubled_make_no_two_owners() {
    for seed in 0..6 {
        let late = NetworkConditions {
            jitter: LEASE,
            loss: 0.1,
            double: 0.1,
            ..NetworkConditions::default()
        };
        let mut cluster = Fleet::<64>::kept(5, seed, lossy());
        for round in 0..6 {
            cluster.sim.network = if round % 2 == 0 { late } else { lossy() };
            let gateway = (round + seed as usize) % 5;
            if cluster.sim.runs(gateway) {
                let (expect, ranges) = cluster.one_moved(gateway, 1 + round % 3);
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
        cluster.run(2 * KEEP);
        cluster.all_kept(VERDICT + 2 * KEEP, "all is well again");
    }
}

#[test]
fn an_leader_and_owners_at_random_stopped_cut_and_killed_make_no_two_owners() {
    for seed in 0..10 {
        let mut cluster = Fleet::<64>::kept(5, seed, lossy());
        let mut dice = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut roll = |most: u64| {
            dice ^= dice << 13;
            dice ^= dice >> 7;
            dice ^= dice << 17;
            dice % most
        };
        for round in 0..14 {
            let gateway = roll(5) as usize;
            // One at a time is dead, so that a majority remembers.
            for other in 0..5 {
                if !cluster.sim.runs(other) {
                    cluster.sim.start(other, UNIX + (100 + round) * SECOND);
                }
            }
            match roll(6) {
                0 => cluster.sim.stop(gateway, true),
                1 => (0..5).for_each(|gateway| cluster.sim.stop(gateway, false)),
                2 => cluster
                    .sim
                    .cut(gateway, (gateway + 1 + roll(4) as usize) % 5, true),
                3 => cluster.sim.partition(|_| 0),
                4 => cluster.sim.kill(gateway),
                _ if cluster.status(gateway).is_some_and(|told| told.version > 0)
                    && !cluster.sim.is_stopped(gateway) =>
                {
                    let (expect, ranges) = cluster.one_moved(gateway, 1 + roll(4) as usize);
                    cluster.propose(gateway, expect, ranges);
                }
                _ => {}
            }
            cluster.run(500_000 + roll(3 * SECOND));
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
        cluster.run(2 * KEEP);
        cluster.all_kept(VERDICT + 3 * KEEP, "all is well again");
    }
}

#[test]
fn a_gateway_that_the_peers_does_not_name_any_more_keeps_nothing() {
    for seed in seeds(7) {
        let mut cluster = Fleet::<64>::kept(7, seed, NetworkConditions::default());
        for gateway in 0..7 {
            cluster.sim.act(gateway, |owned, now, sends| {
                owned.set_peers(now, 0..7_usize, sends)
            });
            if gateway < 5 {
                cluster.sim.act(gateway, |owned, now, sends| {
                    owned.set_peers(now, 0..5_usize, sends)
                });
                cluster.run(200_000);
            }
        }
        cluster.run(KEEP + LEASE + 2 * SECOND);
        assert_eq!(
            (cluster.mine(5), cluster.mine(6)),
            (vec![], vec![]),
            "seed {seed}"
        );
        cluster.all_kept(KEEP + SECOND, "the roster has shrunk");
        let told = cluster.status(0).expect("it runs");
        assert!(
            told.kept.keys().all(|name| *name < self::name(5)),
            "seed {seed}: {:?}",
            told.kept
        );
    }
}

#[test]
fn a_planned_end_lets_go_at_once() {
    for seed in seeds(7) {
        let mut cluster = Fleet::<64>::kept(7, seed, NetworkConditions::default());
        let leader = cluster.leader().expect("there is one");
        cluster.sim.leave((leader + 1) % 7);
        let owner = cluster.all_kept(SECOND, "a keeper leaves");
        cluster.run(SECOND);
        cluster.sim.leave(leader);
        let took = cluster.all_kept(2 * SECOND, "the owner leaves");
        println!("seed {seed}: a keeper left {owner} us, the owner {took} us");
    }
}

#[test]
fn a_thousand_ranges_go_in_parts() {
    for weather in [NetworkConditions::default(), lossy()] {
        let mut cluster = Fleet::<1024>::kept(5, 1, weather);
        let (expect, ranges) = cluster.one_moved(1, 1);
        assert_eq!(ranges.len(), 1024);
        cluster.propose(1, expect, ranges);
        let took = cluster.all_at(expect + 1, 8 * SECOND, "1,024 ranges");
        println!(
            "loss {}: 1,024 ranges everywhere after {took} us",
            weather.loss
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
fn what_is_sent_is_bounded() {
    for gateways in [3, 7, 24] {
        let mut cluster = Fleet::<64>::kept(gateways, 1, NetworkConditions::default());
        cluster.run(5 * SECOND);
        let mut told = Vec::new();
        for storm in [false, true] {
            if storm {
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
                        (owned.kept, owned.sent) = Default::default()
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
                    let most = if owns == Some(gateway) {
                        &mut leader
                    } else {
                        &mut others
                    };
                    *most = (most.0.max(sent.0), most.1.max(sent.1));
                }
            }
            assert!(
                leader.0 <= 150 && leader.1 <= 30_000,
                "{gateways} doors, storm {storm}: owner {leader:?}"
            );
            assert!(
                others.0 <= 50,
                "{gateways} doors, storm {storm}: others {others:?}"
            );
            told.push((storm, leader, others));
        }
        println!("{gateways} doors: (storm, owner, others), with the office's: {told:?}");
    }
}

#[test]
fn junk_is_counted_and_dropped() {
    let mut cluster = Fleet::<64>::kept(3, 1, NetworkConditions::default());
    let mut bytes = Datagram {
        from: 1,
        incarnation: 1,
        to_incarnation: 1,
        stamp: Some((u64::MAX, u64::MAX)),
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
