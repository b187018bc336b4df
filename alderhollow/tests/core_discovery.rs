//! Discovery of the core's primary: the processes of one tier in simulated time on a simulated network, with changing seeds,
//! restarting processes and network partitions. No I/O and no real time.
//!
//! `DISCOVERY_SEEDS=12..13` runs other seeds.

#[path = "core_discovery/world.rs"]
mod world;

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;
use world::{block_on_paused, Process, World};

/// Maximum time from the last start until all processes have tables, with any mixture of old and new seeds.
const RECOVERY: Duration = Duration::from_millis(2_500);
/// Half of the shortest `config-apply-ms`.
const SILENT_PRIMARY: Duration = Duration::from_millis(1_000);

fn seeds() -> Range<u64> {
    let named = std::env::var("DISCOVERY_SEEDS").ok();
    let range = named.as_deref().and_then(|range| range.split_once(".."));
    match range {
        Some((from, to)) => from.parse().expect("a number")..to.parse().expect("a number"),
        None => 0..400,
    }
}

#[test]
fn processes_find_the_core_after_seeds_changed_to_diskless_machines_and_all_restarted() {
    block_on_paused(async {
        let mut world = World::start(3, 8, 1);
        world.wait_until_connected().await;
        assert_eq!(world.uninformed(), Vec::<Process>::new());
        world.replace_seeds(&world.diskless_processes()[..3]);
        world.end_all();
        world.start_all().await;
        world.elect_any();
        let waited = world.until_informed(RECOVERY).await;
        assert!(
            waited <= RECOVERY,
            "{:?} have no tables",
            world.uninformed()
        );
    });
}

#[test]
fn members_without_reachable_seeds_find_each_other_from_their_disks() {
    block_on_paused(async {
        let mut world = World::start(3, 3, 3);
        world.wait_until_connected().await;
        world.replace_seeds(&world.diskless_processes());
        world.end_all();
        let members = [1, 2, 3];
        for member in members {
            world.start_process(member);
        }
        world.elect_any();
        let waited = world.until_informed(RECOVERY).await;
        assert!(
            waited <= RECOVERY,
            "{:?} have no tables",
            world.uninformed()
        );
    });
}

#[test]
fn the_primary_announces_itself_to_a_former_poller_whose_seeds_lost_their_directory() {
    block_on_paused(async {
        let mut world = World::start(3, 6, 2);
        world.wait_until_connected().await;
        let diskless = world.diskless_processes();
        // The members' settings do not change: their seeds are members.
        world.set_seeds_of(&diskless, &diskless[..3]);
        for process in &diskless {
            world.end(*process);
        }
        for process in &diskless {
            world.start_process(*process);
        }
        let waited = world.until_informed(RECOVERY).await;
        assert!(
            waited <= RECOVERY,
            "{:?} have no tables",
            world.uninformed()
        );
    });
}

#[test]
fn a_successor_announces_itself_to_the_pollers_of_the_former_primary() {
    block_on_paused(async {
        let mut world = World::start(3, 6, 4);
        world.wait_until_connected().await;
        let diskless = world.diskless_processes();
        let (gone, forgetful) = diskless.split_at(3);
        world.replace_seeds(gone);
        world.pass(Duration::from_secs(120)).await;
        for process in gone {
            world.end(*process);
        }
        let former = world.primary();
        for process in forgetful.iter().chain([&former]) {
            world.end(*process);
        }
        for process in forgetful {
            world.start_process(*process);
        }
        world.elect_any();
        let waited = world.until_informed(RECOVERY).await;
        assert!(
            waited <= RECOVERY,
            "{:?} have no tables",
            world.uninformed()
        );
    });
}

#[test]
fn an_unresponsive_primary_is_abandoned_within_half_of_config_apply_ms() {
    for seed in 0..50 {
        block_on_paused(async {
            let mut world = World::start(5, 6, seed);
            world.wait_until_connected().await;
            let former = world.primary();
            world.isolate(former);
            let given_up_by = world.now() + SILENT_PRIMARY;
            while world.now() < given_up_by {
                world.pass(Duration::from_millis(10)).await;
            }
            let others = world.running_except(former);
            let still_point_there: Vec<Process> = others
                .iter()
                .copied()
                .filter(|process| world.considers_primary(*process, former))
                .collect();
            assert_eq!(still_point_there, Vec::<Process>::new(), "seed {seed}");
            world.elect_among(&others);
            let waited = world.until_informed_among(&others, SILENT_PRIMARY).await;
            assert!(
                waited <= SILENT_PRIMARY,
                "seed {seed}: {:?} have no newer tables",
                world.uninformed()
            );
        });
    }
}

/// Maximum time for which an isolated primary retains its lease.
const LEASE_MS: u64 = 800;
/// Duration of the partition after the election in the majority.
const APART: Duration = Duration::from_secs(3);

/// Advances time and checks that no process's table version decreases.
async fn pass_without_regression(
    world: &World,
    time: Duration,
    newest: &mut BTreeMap<Process, u64>,
) {
    let end = world.now() + time;
    while world.now() < end {
        world.pass(Duration::from_millis(10)).await;
        for (process, version) in world.table_versions() {
            let before = newest.insert(process, version).unwrap_or(version);
            assert!(
                version >= before,
                "process {process} went back from version {before} to {version}"
            );
        }
    }
}

#[test]
fn gateways_that_reach_both_sides_of_a_partitioned_core_follow_the_newer_epoch() {
    for seed in 0..100 {
        block_on_paused(async {
            let members = if seed % 2 == 0 { 3 } else { 5 };
            let mut world = World::start(members, 6, seed);
            world.wait_until_connected().await;
            let mut newest = world.table_versions();
            let minority = world.partition_core();
            let lease = Duration::from_millis(seed * LEASE_MS / 100);
            pass_without_regression(&world, lease, &mut newest).await;
            world.elect_in_majority();
            let mut hearing = world.running_except(0);
            hearing.retain(|process| !minority.contains(process));
            pass_without_regression(&world, RECOVERY, &mut newest).await;
            let follows =
                |world: &World, process: &Process| world.table_versions()[process] == world.epoch();
            assert!(
                hearing.iter().all(|process| follows(&world, process)),
                "seed {seed}"
            );
            pass_without_regression(&world, APART, &mut newest).await;
            let uninformed = world.uninformed();
            assert!(
                hearing.iter().all(|process| !uninformed.contains(process)),
                "seed {seed}: {uninformed:?}"
            );
            world.heal_partition();
            pass_without_regression(&world, RECOVERY, &mut newest).await;
            assert_eq!(world.uninformed(), Vec::<Process>::new(), "seed {seed}");
            assert!(
                newest.keys().all(|process| follows(&world, process)),
                "seed {seed}"
            );
        });
    }
}

#[test]
fn every_process_gets_tables_in_bounded_time_under_random_faults() {
    let mut longest = Duration::ZERO;
    for seed in seeds() {
        block_on_paused(async {
            let members = 3 + usize::try_from(seed % 4).expect("a small number");
            let mut world = World::start(members, 9, seed);
            world.wait_until_connected().await;
            for _ in 0..3 {
                world.inject_fault().await;
            }
            world.start_all().await;
            world.elect_any();
            let waited = world.until_informed(RECOVERY).await;
            assert!(
                waited <= RECOVERY,
                "seed {seed}: {:?} have no tables",
                world.uninformed()
            );
            longest = longest.max(waited);
        });
    }
    println!("longest: {longest:?}");
}
