//! Disks are lost, as many as are tolerated, and in the same moment all other machines lose power: what was acknowledged
//! must stand, whatever the core is doing at that time. The oracle compares all states.

use crate::cluster::Cluster;
use alderhollow_coordination::replica::interface::{Input, Millis};

const SEEDS: u64 = 400;
/// Machines, and how many of them may be lost at once.
const SIZES: [(usize, usize); 4] = [(3, 1), (5, 2), (6, 2), (8, 2)];
/// The core serves again within so long.
const RECOVERY_MS: Millis = 4_000;

/// Plays all seeds on cores of all sizes. `prepare` brings a core to the moment at which the disks are lost.
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

/// As many machines as may be lost come back with empty disks; all others with what they had synced.
fn lose_disks_and_power(cluster: &mut Cluster) {
    let count = cluster.machines.len();
    let primary = cluster.lease_holder();
    let any = cluster.random(count as u64) as usize;
    // The primary is where it hurts most.
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
    cluster.run_until_holds(8_000, "a whole core", |cluster| {
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
        cluster.run_until_holds(8_000, "a core that bears a loss", |cluster| {
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
