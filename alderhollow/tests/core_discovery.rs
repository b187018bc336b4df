//! Finding the core from nothing: processes of one tier in simulated time and on a simulated network, with seeds that turn
//! over, processes that end and come back, and links that are cut. No I/O and no real time.
//!
//! `DISCOVERY_SEEDS=12..13` runs other seeds.

#[path = "core_discovery/world.rs"]
mod world;

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;
use world::{block_on_paused, Process, World};

/// All processes have tables within this of the last start, at any mixture of old and new seeds.
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
fn seeds_turn_over_to_machines_without_a_disk_and_then_all_end() {
    block_on_paused(async {
        let mut world = World::start(3, 8, 1);
        world.settle().await;
        assert_eq!(world.uninformed(), Vec::<Process>::new());
        world.turn_seeds_over(&world.without_disk()[..3]);
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
fn members_whose_seeds_are_all_gone_know_each_other_from_their_disks() {
    block_on_paused(async {
        let mut world = World::start(3, 3, 3);
        world.settle().await;
        world.turn_seeds_over(&world.without_disk());
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
fn a_process_whose_seeds_all_forgot_is_told_by_the_primary_that_it_polled_before() {
    block_on_paused(async {
        let mut world = World::start(3, 6, 2);
        world.settle().await;
        let diskless = world.without_disk();
        // The members' settings do not change: their seeds are members.
        world.name_seeds(&diskless, &diskless[..3]);
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
fn a_process_whose_seeds_are_gone_is_told_by_the_successor_of_the_primary_that_it_polled() {
    block_on_paused(async {
        let mut world = World::start(3, 6, 4);
        world.settle().await;
        let diskless = world.without_disk();
        let (gone, forgetful) = diskless.split_at(3);
        world.turn_seeds_over(gone);
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
fn a_primary_that_falls_silent_is_given_up_within_half_of_the_time_for_a_change() {
    for seed in 0..50 {
        block_on_paused(async {
            let mut world = World::start(5, 6, seed);
            world.settle().await;
            let former = world.primary();
            world.cut_off(former);
            let given_up_by = world.now() + SILENT_PRIMARY;
            while world.now() < given_up_by {
                world.pass(Duration::from_millis(10)).await;
            }
            let others = world.running_except(former);
            let still_point_there: Vec<Process> = others
                .iter()
                .copied()
                .filter(|process| world.takes_for_primary(*process, former))
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

/// Longest time for which a primary that is cut off keeps its lease.
const LEASE_MS: u64 = 800;
/// The halves stay apart for so long after the election in the larger one.
const APART: Duration = Duration::from_secs(3);

/// Lets time pass, and sees to it that nobody's tables become older meanwhile.
async fn pass_without_regress(world: &World, time: Duration, newest: &mut BTreeMap<Process, u64>) {
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
fn gateways_that_hear_both_halves_of_a_core_follow_the_newer_and_never_go_back() {
    for seed in 0..100 {
        block_on_paused(async {
            let members = if seed % 2 == 0 { 3 } else { 5 };
            let mut world = World::start(members, 6, seed);
            world.settle().await;
            let mut newest = world.table_versions();
            let minority = world.cut_into_halves();
            let lease = Duration::from_millis(seed * LEASE_MS / 100);
            pass_without_regress(&world, lease, &mut newest).await;
            world.elect_in_majority();
            let mut hearing = world.running_except(0);
            hearing.retain(|process| !minority.contains(process));
            pass_without_regress(&world, RECOVERY, &mut newest).await;
            let follows =
                |world: &World, process: &Process| world.table_versions()[process] == world.epoch();
            assert!(
                hearing.iter().all(|process| follows(&world, process)),
                "seed {seed}"
            );
            pass_without_regress(&world, APART, &mut newest).await;
            let uninformed = world.uninformed();
            assert!(
                hearing.iter().all(|process| !uninformed.contains(process)),
                "seed {seed}: {uninformed:?}"
            );
            world.join_halves();
            pass_without_regress(&world, RECOVERY, &mut newest).await;
            assert_eq!(world.uninformed(), Vec::<Process>::new(), "seed {seed}");
            assert!(
                newest.keys().all(|process| follows(&world, process)),
                "seed {seed}"
            );
        });
    }
}

#[test]
fn nobody_waits_for_tables_whatever_comes_and_goes() {
    let mut longest = Duration::ZERO;
    for seed in seeds() {
        block_on_paused(async {
            let members = 3 + usize::try_from(seed % 4).expect("a small number");
            let mut world = World::start(members, 9, seed);
            world.settle().await;
            for _ in 0..3 {
                world.trouble().await;
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
