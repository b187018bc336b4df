//! Time limits for recovery from single faults, each checked with many seeds.

use crate::cluster::Cluster;
use crate::machine::Machine;
use alderhollow_coordination::replica::interface::{Input, Millis};

const SEEDS: u64 = 150;
/// Number of machines, and how many of them may be lost at once.
const SIZES: [(usize, usize); 3] = [(3, 1), (6, 2), (8, 2)];
/// Maximum time from the failure of the primary to the lease of the next one.
const FAILOVER_MS: Millis = 1_600;
/// Maximum time from the request to leave to the lease of the next primary.
const HAND_OVER_MS: Millis = 100;
/// Maximum time from the loss of a disk or machine to a fully replicated cluster.
const CATCH_UP_MS: Millis = 5_000;

/// Runs a scenario on fully replicated clusters of all sizes and checks the time that it returns.
fn check_duration(limit: Millis, scenario: impl Fn(&mut Cluster) -> Millis) {
    let mut longest = 0;
    for (machines, tolerate) in SIZES {
        for seed in 0..SEEDS {
            let took = scenario(&mut fully_replicated_cluster(seed, machines, tolerate));
            assert!(
                took <= limit,
                "seed {seed} with {machines} members took {took} ms"
            );
            longest = longest.max(took);
        }
    }
    println!("longest: {longest} ms");
}

fn fully_replicated_cluster(seed: u64, machines: usize, tolerate: usize) -> Cluster {
    let mut cluster = Cluster::new(seed, machines, tolerate);
    cluster.run_until_holds(
        5_000,
        "a fully replicated cluster",
        Cluster::is_fully_replicated,
    );
    let pause = cluster.random(400);
    cluster.run_for(pause);
    cluster.run_until_holds(
        2_000,
        "a fully replicated cluster",
        Cluster::is_fully_replicated,
    );
    cluster.check_interval_ms = 1;
    cluster
}

fn current_primary(cluster: &Cluster) -> usize {
    cluster.lease_holder().expect("a primary")
}

fn random_other_machine(cluster: &mut Cluster, machine: usize) -> usize {
    let others = cluster.machines.len() as u64 - 1;
    (machine + 1 + cluster.random(others) as usize) % cluster.machines.len()
}

fn run_until_another_primary(cluster: &mut Cluster, limit: Millis, before: usize) -> Millis {
    cluster.run_until_holds(limit, "another primary", |cluster| {
        cluster
            .lease_holder()
            .is_some_and(|holder| holder != before)
    })
}

/// Lets clients send frequent requests from now on.
fn shorten_request_interval(cluster: &mut Cluster) {
    let longest_pause = 2 * cluster.request_interval_ms;
    cluster.request_interval_ms = 5;
    cluster.run_for(longest_pause);
}

fn run_until_next_commit(cluster: &mut Cluster, limit: Millis) -> Millis {
    let started_at = cluster.now;
    cluster.run_until_holds(limit, "the next commit", |cluster| {
        cluster
            .acknowledged_at
            .last()
            .is_some_and(|at| *at > started_at)
    })
}

#[test]
fn the_first_command_is_committed_within_a_second_of_the_start() {
    for (machines, tolerate) in SIZES {
        for seed in 0..SEEDS {
            let mut cluster = Cluster::new(seed, machines, tolerate);
            let took = cluster.run_until_holds(2_000, "a commit", |cluster| {
                !cluster.acknowledged_at.is_empty()
            });
            assert!(
                took <= 1_000,
                "seed {seed} with {machines} members took {took} ms"
            );
        }
    }
}

#[test]
fn a_crashed_primary_is_replaced() {
    check_duration(FAILOVER_MS, |cluster| {
        let primary = current_primary(cluster);
        cluster.kill(primary);
        run_until_another_primary(cluster, 5_000, primary)
    });
}

#[test]
fn a_frozen_primary_is_replaced() {
    check_duration(FAILOVER_MS, |cluster| {
        let primary = current_primary(cluster);
        cluster.freeze(primary, 4_000);
        run_until_another_primary(cluster, 5_000, primary)
    });
}

#[test]
fn a_primary_that_receives_no_messages_is_replaced() {
    check_duration(FAILOVER_MS, |cluster| {
        let primary = current_primary(cluster);
        for other in (0..cluster.machines.len()).filter(|other| *other != primary) {
            cluster.block_link(other, primary);
        }
        run_until_another_primary(cluster, 5_000, primary)
    });
}

#[test]
fn a_primary_whose_messages_are_lost_is_replaced() {
    check_duration(FAILOVER_MS, |cluster| {
        let primary = current_primary(cluster);
        for other in (0..cluster.machines.len()).filter(|other| *other != primary) {
            cluster.block_link(primary, other);
        }
        run_until_another_primary(cluster, 5_000, primary)
    });
}

#[test]
fn a_primary_with_a_stalled_disk_hands_over() {
    check_duration(FAILOVER_MS, |cluster| {
        let primary = current_primary(cluster);
        cluster.machines[primary].disk.stalled_until = cluster.now + 10_000;
        cluster.propose_at(primary);
        run_until_another_primary(cluster, 5_000, primary)
    });
}

/// Numbers of commands that a member misses.
const MISSED_COMMANDS: [usize; 2] = [300, 3_000];

/// After its return the member is a replica again within the limit, and commits are not delayed meanwhile.
#[test]
fn a_member_that_missed_thousands_of_commands_catches_up_without_delaying_commits() {
    for (missed, seeds) in MISSED_COMMANDS.into_iter().zip([40, 4]) {
        for seed in 0..seeds {
            let mut cluster = fully_replicated_cluster(seed, 3, 1);
            shorten_request_interval(&mut cluster);
            let primary = current_primary(&cluster);
            let away = random_other_machine(&mut cluster, primary);
            for other in (0..3).filter(|other| *other != away) {
                cluster.block_link(away, other);
                cluster.block_link(other, away);
            }
            let before = cluster.acknowledged_at.len();
            cluster.run_until_holds(120_000, "missed commands", |cluster| {
                cluster.acknowledged_at.len() >= before + missed
            });
            cluster.blocked_links.clear();
            let returned_at = cluster.now;
            let took = cluster.run_until_holds(
                CATCH_UP_MS,
                "a fully replicated cluster",
                Cluster::is_fully_replicated,
            );
            cluster.run_for(500);
            let later = cluster
                .acknowledged_at
                .iter()
                .copied()
                .filter(|at| *at >= returned_at);
            let moments: Vec<Millis> = std::iter::once(returned_at).chain(later).collect();
            let longest_pause = moments
                .windows(2)
                .map(|pair| pair[1] - pair[0])
                .max()
                .unwrap_or(Millis::MAX);
            assert!(
                longest_pause <= LAST_REPLICA_MS,
                "seed {seed}: no commit for {longest_pause} ms"
            );
            assert!(took <= CATCH_UP_MS, "seed {seed} took {took} ms");
        }
    }
}

/// Maximum time from the loss of the last replica beside the primary to the next commit: the replica timeout and a
/// reconfiguration.
const LAST_REPLICA_MS: Millis = 1_000;

/// The returning machine is a member, but has the state only once it is a replica again.
#[test]
fn commits_resume_when_the_last_replica_crashes_while_another_member_returns() {
    let mut longest = 0;
    for seed in 0..2 * SEEDS {
        let mut cluster = fully_replicated_cluster(seed, 3, 1);
        shorten_request_interval(&mut cluster);
        let primary = current_primary(&cluster);
        let comes_back = random_other_machine(&mut cluster, primary);
        let dies = 3 - primary - comes_back;
        cluster.kill_for(comes_back, 800);
        let answers_for = cluster.random(390);
        cluster.run_for(801 + answers_for);
        cluster.kill(dies);
        let took = run_until_next_commit(&mut cluster, 5_000);
        assert!(took <= LAST_REPLICA_MS, "seed {seed} took {took} ms");
        longest = longest.max(took);
    }
    println!("longest: {longest} ms");
}

#[test]
fn after_a_crash_of_all_members_a_primary_is_elected_without_the_former_one() {
    check_duration(FAILOVER_MS, |cluster| {
        let primary = current_primary(cluster);
        let mut last_start = 0;
        for machine in 0..cluster.machines.len() {
            cluster.kill(machine);
            if machine != primary {
                let at = cluster.now + 50 + cluster.random(900);
                cluster.start_at(machine, at);
                last_start = last_start.max(at);
            }
        }
        cluster.run_until_holds(5_000, "a primary", |cluster| {
            cluster.lease_holder().is_some()
        });
        cluster.now.saturating_sub(last_start)
    });
}

/// One member has lost contact with the primary and starts an election. The other one has just granted the primary its
/// lease and restarts. The oracle checks for two lease holders.
#[test]
fn a_restarted_witness_honours_its_lease_grant() {
    for seed in 0..SEEDS {
        let cluster = &mut fully_replicated_cluster(seed, 3, 1);
        let primary = current_primary(cluster);
        let (witness, candidate) = ((primary + 1) % 3, (primary + 2) % 3);
        cluster.block_link(primary, candidate);
        cluster.block_link(candidate, primary);
        let pause = 1_500 + cluster.random(200);
        cluster.run_for(pause);
        assert_eq!(cluster.lease_holder(), Some(primary), "seed {seed}");
        cluster.block_link(primary, witness);
        cluster.block_link(witness, primary);
        cluster.kill_for(witness, 20);
        run_until_another_primary(cluster, 3_000, primary);
    }
}

#[test]
fn a_hand_over_completes_within_its_time_limit() {
    check_duration(HAND_OVER_MS, |cluster| {
        let primary = current_primary(cluster);
        cluster.handle_input(primary, Input::Leave);
        let took = run_until_another_primary(cluster, 5_000, primary);
        let leave_completed = |cluster: &Cluster| {
            cluster.machines[primary]
                .process
                .as_ref()
                .is_some_and(|process| process.leave_completed)
        };
        cluster.run_until_holds(HAND_OVER_MS, "the end of the hand-over", leave_completed);
        took
    });
}

#[test]
fn the_shutdown_of_another_member_delays_no_command() {
    check_duration(HAND_OVER_MS, |cluster| {
        shorten_request_interval(cluster);
        let primary = current_primary(cluster);
        let other = random_other_machine(cluster, primary);
        cluster.handle_input(other, Input::Leave);
        cluster.run_for(60);
        cluster.kill(other);
        run_until_next_commit(cluster, 5_000)
    });
}

#[test]
fn a_crashed_replica_delays_a_command_by_a_second_at_most() {
    check_duration(1_000, |cluster| {
        shorten_request_interval(cluster);
        let primary = current_primary(cluster);
        let other = random_other_machine(cluster, primary);
        cluster.kill(other);
        run_until_next_commit(cluster, 5_000)
    });
}

#[test]
fn a_replica_with_a_stalled_disk_delays_a_command_by_a_second_at_most() {
    check_duration(1_000, |cluster| {
        shorten_request_interval(cluster);
        let primary = current_primary(cluster);
        let other = random_other_machine(cluster, primary);
        cluster.machines[other].disk.stalled_until = cluster.now + 10_000;
        cluster.run_for(10);
        run_until_next_commit(cluster, 5_000)
    });
}

#[test]
fn lost_disks_are_replaced_by_new_ones() {
    check_duration(CATCH_UP_MS, |cluster| {
        for _ in 0..cluster.tolerate {
            let primary = current_primary(cluster);
            let wiped = random_other_machine(cluster, primary);
            let span = 50 + cluster.random(900);
            if cluster.machines[wiped].process.is_some() {
                cluster.wipe_for(wiped, span);
            }
        }
        cluster.run_until_holds(10_000, "a fully replicated cluster", |cluster| {
            cluster
                .machines
                .iter()
                .all(|machine| machine.process.is_some())
                && cluster.is_fully_replicated()
        })
    });
}

#[test]
fn a_removed_machine_is_replaced_by_one_at_another_address() {
    check_duration(CATCH_UP_MS, |cluster| {
        let primary = current_primary(cluster);
        let removed = if cluster.random(2) == 0 {
            primary
        } else {
            random_other_machine(cluster, primary)
        };
        cluster.remove(removed);
        cluster.add(1_000);
        run_until_replaced(cluster, removed)
    });
}

#[test]
fn a_planned_replacement_of_a_machine_completes_in_time() {
    check_duration(CATCH_UP_MS, |cluster| {
        let primary = current_primary(cluster);
        let removed = if cluster.random(2) == 0 {
            primary
        } else {
            random_other_machine(cluster, primary)
        };
        cluster.add(10);
        cluster.run_for(1_000);
        cluster.handle_input(removed, Input::Leave);
        cluster.run_for(500);
        cluster.remove(removed);
        run_until_replaced(cluster, removed)
    });
}

#[test]
fn added_machines_become_replicas() {
    check_duration(CATCH_UP_MS, |cluster| {
        cluster.add(10);
        cluster.add(300);
        cluster.run_for(400);
        cluster.run_until_holds(
            10_000,
            "a fully replicated cluster",
            Cluster::is_fully_replicated,
        )
    });
}

fn run_until_replaced(cluster: &mut Cluster, removed: usize) -> Millis {
    let runs = |machine: &Machine| machine.number == removed || machine.process.is_some();
    cluster.run_until_holds(
        10_000,
        "a fully replicated cluster without the old machine",
        |cluster| cluster.machines.iter().all(runs) && cluster.is_fully_replicated(),
    )
}
