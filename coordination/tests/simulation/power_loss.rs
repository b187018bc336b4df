//! Loss of as many disks as tolerated, while all other machines lose power at the same time. Acknowledged commands must
//! survive whatever the cluster is doing then. The oracle compares all states.

use crate::cluster::Cluster;
use alderhollow_coordination::replica::interface::{Input, Millis};

const SEEDS: u64 = 400;
/// Number of machines, and how many of them may be lost at once.
const SIZES: [(usize, usize); 4] = [(3, 1), (5, 2), (6, 2), (8, 2)];
/// Maximum time from the loss to the next commit.
const RECOVERY_MS: Millis = 4_000;

/// Runs all seeds on clusters of all sizes. `prepare` runs a cluster up to the moment of the loss.
fn run_all_seeds(prepare: impl Fn(&mut Cluster)) {
    let mut acknowledged = 0;
    for (machines, tolerate) in SIZES {
        for seed in 0..SEEDS {
            let mut cluster = Cluster::new(seed, machines, tolerate);
            cluster.request_interval_ms = 10;
            prepare(&mut cluster);
            acknowledged += cluster.oracle.acknowledged;
            lose_disks_and_power(&mut cluster);
            let started_at = cluster.now;
            cluster.run_until_holds(RECOVERY_MS, "a commit after the loss", |cluster| {
                cluster
                    .acknowledged_at
                    .last()
                    .is_some_and(|at| *at > started_at)
            });
        }
    }
    assert!(
        acknowledged > SEEDS,
        "too little was acknowledged to show anything: {acknowledged}"
    );
}

/// Restarts all machines: as many as may be lost with empty disks, the others with what they had synced.
fn lose_disks_and_power(cluster: &mut Cluster) {
    let count = cluster.machines.len();
    let primary = cluster.lease_holder();
    let any = cluster.random(count as u64) as usize;
    // Often include the primary, whose loss affects most.
    let first = primary.filter(|_| cluster.random(2) == 0).unwrap_or(any);
    for step in 0..count {
        let machine = (first + step) % count;
        let span = 50 + cluster.random(900);
        match step < cluster.tolerate {
            true => cluster.wipe_for(machine, span),
            false => cluster.kill_for(machine, span),
        }
    }
}

fn run_until_fully_replicated(cluster: &mut Cluster) {
    let all_run = |cluster: &Cluster| {
        cluster
            .machines
            .iter()
            .all(|machine| machine.process.is_some())
    };
    cluster.run_until_holds(8_000, "a fully replicated cluster", |cluster| {
        all_run(cluster) && cluster.is_fully_replicated()
    });
}

fn run_for_random_time(cluster: &mut Cluster, most: Millis) {
    let span = cluster.random(most);
    cluster.run_for(span);
}

#[test]
fn commands_acknowledged_once_a_new_cluster_tolerates_a_loss_survive_it() {
    run_all_seeds(|cluster| {
        cluster.check_interval_ms = 1;
        cluster.run_until_holds(8_000, "a cluster that tolerates a loss", |cluster| {
            !cluster.acknowledged_at.is_empty() && cluster.disks_to_spare() >= cluster.tolerate
        });
    });
}

#[test]
fn commands_acknowledged_while_a_member_joins_survive_a_power_loss() {
    run_all_seeds(|cluster| {
        run_until_fully_replicated(cluster);
        cluster.add(10);
        run_for_random_time(cluster, 600);
    });
}

#[test]
fn commands_acknowledged_right_after_a_disk_replacement_survive_a_power_loss() {
    run_all_seeds(|cluster| {
        run_until_fully_replicated(cluster);
        let machine = cluster.random(cluster.machines.len() as u64) as usize;
        cluster.wipe_for(machine, 100);
        cluster.run_for(200);
        cluster.check_interval_ms = 1;
        run_until_fully_replicated(cluster);
        run_for_random_time(cluster, 60);
    });
}

#[test]
fn commands_acknowledged_during_a_hand_over_survive_a_power_loss() {
    run_all_seeds(|cluster| {
        run_until_fully_replicated(cluster);
        let Some(primary) = cluster.lease_holder() else {
            return;
        };
        cluster.handle_input(primary, Input::Leave);
        run_for_random_time(cluster, 120);
    });
}
