//! Network partitions into two halves, with any number of tolerated losses. Clients and joining machines reach both
//! halves; they send requests to any member that considers itself primary, or to any member.

use crate::cluster::Cluster;
use crate::machine::Machine;
use alderhollow_coordination::replica::interface::Millis;
use std::collections::BTreeSet;
use std::ops::Range;

const SEEDS: u64 = 200;
/// Number of machines, and how many of them may be lost at once. With an even number neither half is a majority.
const SIZES: [(usize, usize); 6] = [(3, 1), (4, 1), (5, 2), (6, 2), (7, 2), (8, 2)];
/// Duration of a partition.
const PARTITION_MS: Range<Millis> = 500..6_000;
/// Maximum time from the start of a partition to a primary in the majority.
const FAILOVER_MS: Millis = 1_600;
/// Maximum time from the end of a partition, with all machines running, to the next commit.
const RECOVERY_MS: Millis = 2_500;
/// Maximum time from that commit until all disks are replicas again.
const FULL_REPLICATION_MS: Millis = 8_000;
/// Average interval between requests.
const REQUEST_INTERVAL_MS: Millis = 5;

/// A fully replicated cluster with frequent requests.
fn busy_cluster(seed: u64, machines: usize, tolerate: usize) -> Cluster {
    let mut cluster = Cluster::new(seed, machines, tolerate);
    cluster.run_until_holds(
        5_000,
        "a fully replicated cluster",
        Cluster::is_fully_replicated,
    );
    let longest_pause = 2 * cluster.request_interval_ms;
    cluster.request_interval_ms = REQUEST_INTERVAL_MS;
    let pause = longest_pause + cluster.random(400);
    cluster.run_for(pause);
    cluster.run_until_holds(
        2_000,
        "a fully replicated cluster",
        Cluster::is_fully_replicated,
    );
    cluster.check_interval_ms = 1;
    cluster
}

/// Partitions the cluster into random halves. Returns the larger one, or either one if they are equal.
fn partition_into_halves(cluster: &mut Cluster) -> BTreeSet<usize> {
    let count = cluster.machines.len();
    let mut smaller = BTreeSet::new();
    while smaller.len() < count / 2 {
        let machine = cluster.random(count as u64) as usize;
        smaller.insert(machine);
    }
    let larger: BTreeSet<usize> = (0..count)
        .filter(|machine| !smaller.contains(machine))
        .collect();
    for one in &smaller {
        for other in &larger {
            cluster.block_link(*one, *other);
            cluster.block_link(*other, *one);
        }
    }
    larger
}

/// Ends the partition and checks that commands are committed soon after all machines run, and that all disks are
/// replicas again.
fn heal_and_check_recovery(cluster: &mut Cluster, seed: u64) {
    let count = cluster.machines.len();
    cluster.blocked_links.clear();
    cluster.run_until_holds(5_000, "all machines running", |cluster| {
        let runs =
            |machine: &Machine| machine.process.is_some() && machine.frozen_until <= cluster.now;
        cluster.machines.iter().all(runs)
    });
    let joined_at = cluster.now;
    let took = cluster.run_until_holds(RECOVERY_MS, "a commit by the healed cluster", |cluster| {
        cluster
            .acknowledged_at
            .last()
            .is_some_and(|at| *at > joined_at)
    });
    assert!(
        took <= RECOVERY_MS,
        "seed {seed} with {count} members took {took} ms"
    );
    cluster.run_until_holds(
        FULL_REPLICATION_MS,
        "all disks being replicas",
        Cluster::is_fully_replicated,
    );
}

fn for_all_sizes(scenario: impl Fn(&mut Cluster, u64)) {
    for (machines, tolerate) in SIZES {
        for seed in 0..SEEDS {
            scenario(&mut busy_cluster(seed, machines, tolerate), seed);
        }
    }
}

/// At each event the oracle checks for two lease holders, for a lease holder without an acknowledged command, and for
/// two commands with one version.
#[test]
fn a_partitioned_cluster_loses_no_command_and_recovers_once_healed() {
    for_all_sizes(|cluster, seed| {
        partition_into_halves(cluster);
        let span = PARTITION_MS.start + cluster.random(PARTITION_MS.end - PARTITION_MS.start);
        cluster.run_for(span);
        heal_and_check_recovery(cluster, seed);
    });
}

#[test]
fn the_majority_side_of_a_partition_elects_a_primary_and_commits() {
    for (machines, tolerate) in SIZES.into_iter().filter(|(machines, _)| machines % 2 == 1) {
        for seed in 0..SEEDS {
            let mut cluster = busy_cluster(seed, machines, tolerate);
            let majority = partition_into_halves(&mut cluster);
            let took =
                cluster.run_until_holds(FAILOVER_MS, "a primary in the majority", |cluster| {
                    cluster
                        .lease_holder()
                        .is_some_and(|holder| majority.contains(&holder))
                });
            assert!(
                took <= FAILOVER_MS,
                "seed {seed} with {machines} members took {took} ms"
            );
            let led_from = cluster.now;
            cluster.run_until_holds(RECOVERY_MS, "a commit by the majority", |cluster| {
                cluster
                    .acknowledged_at
                    .last()
                    .is_some_and(|at| *at > led_from)
            });
            heal_and_check_recovery(&mut cluster, seed);
        }
    }
}

/// A lease granted before the partition expires, and neither half can renew it.
#[test]
fn neither_of_two_equal_halves_commits_after_the_lease_expires() {
    for (machines, tolerate) in SIZES.into_iter().filter(|(machines, _)| machines % 2 == 0) {
        for seed in 0..SEEDS {
            let mut cluster = busy_cluster(seed, machines, tolerate);
            partition_into_halves(&mut cluster);
            cluster.run_for(FAILOVER_MS);
            let acknowledged = cluster.oracle.acknowledged;
            cluster.run_for(2_000);
            assert_eq!(
                cluster.oracle.acknowledged, acknowledged,
                "seed {seed} with {machines} members"
            );
            heal_and_check_recovery(&mut cluster, seed);
        }
    }
}

/// The primary of one partition may be in the minority of the next.
#[test]
fn changing_partitions_lead_to_one_history() {
    for_all_sizes(|cluster, seed| {
        for _ in 0..4 {
            cluster.blocked_links.clear();
            partition_into_halves(cluster);
            let span = 200 + cluster.random(1_800);
            cluster.run_for(span);
        }
        heal_and_check_recovery(cluster, seed);
    });
}

/// More machines than tolerated are down or frozen at once, during a partition; no more disks than tolerated are lost.
#[test]
fn more_concurrent_faults_than_tolerated_lose_no_acknowledged_command() {
    for_all_sizes(|cluster, seed| {
        let spare = cluster.disks_to_spare();
        let wiped = cluster.random(spare as u64 + 1) as usize;
        let count = cluster.machines.len();
        let first = cluster.random(count as u64) as usize;
        partition_into_halves(cluster);
        let pause = cluster.random(2_500);
        cluster.run_for(pause);
        for step in 0..count {
            let machine = (first + step) % count;
            let span = 200 + cluster.random(3_000);
            match cluster.random(3) {
                _ if step < wiped => cluster.wipe_for(machine, span),
                0 => cluster.freeze(machine, span),
                1 => cluster.kill_for(machine, span),
                _ => {}
            }
            let pause = cluster.random(60);
            cluster.run_for(pause);
        }
        let span = cluster.random(2_000);
        cluster.run_for(span);
        heal_and_check_recovery(cluster, seed);
    });
}
