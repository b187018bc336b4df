//! A core that a partition cuts into two halves, whatever it tolerates. Clients and machines that aren't members reach both
//! halves: they send their requests to whoever takes itself for the primary, or to any member.

use crate::cluster::World;
use crate::machine::Machine;
use alderhollow_coordination::replica::interface::Millis;
use std::collections::BTreeSet;
use std::ops::Range;

const SEEDS: u64 = 200;
/// Machines, and how many of them may be lost at once. Halves of an even number of machines have no majority.
const SIZES: [(usize, usize); 6] = [(3, 1), (4, 1), (5, 2), (6, 2), (7, 2), (8, 2)];
/// For so long the halves don't hear each other.
const CUT_MS: Range<Millis> = 500..6_000;
/// From the start of the cut to a primary in the half that is a majority.
const FAILOVER_MS: Millis = 1_600;
/// From the moment at which all machines run and hear each other to the next commit.
const RECOVERY_MS: Millis = 2_500;
/// From then on all disks are replicas again within this.
const WHOLE_AGAIN_MS: Millis = 8_000;
/// Pause between the requests of clients, on average.
const REQUEST_EVERY_MS: Millis = 5;

/// A whole core with clients that send requests without long pauses.
fn busy_core(seed: u64, machines: usize, tolerate: usize) -> World {
    let mut world = World::new(seed, machines, tolerate);
    world.run_until_holds(5_000, "a whole core", World::is_whole);
    let longest_pause = 2 * world.request_every;
    world.request_every = REQUEST_EVERY_MS;
    let pause = longest_pause + world.random(400);
    world.run_for(pause);
    world.run_until_holds(2_000, "a whole core", World::is_whole);
    world.look_every = 1;
    world
}

/// Cuts the core into two halves at random; gives the larger one, or either of two equal ones.
fn cut_into_halves(world: &mut World) -> BTreeSet<usize> {
    let count = world.machines.len();
    let mut smaller = BTreeSet::new();
    while smaller.len() < count / 2 {
        let machine = world.random(count as u64) as usize;
        smaller.insert(machine);
    }
    let larger: BTreeSet<usize> = (0..count)
        .filter(|machine| !smaller.contains(machine))
        .collect();
    for one in &smaller {
        for other in &larger {
            world.cut(*one, *other);
            world.cut(*other, *one);
        }
    }
    larger
}

/// Joins the halves; once all machines run, commands are committed soon, and all disks are replicas again.
fn goes_on_once_joined(world: &mut World, seed: u64) {
    let count = world.machines.len();
    world.cuts.clear();
    world.run_until_holds(5_000, "all machines running", |world| {
        let runs =
            |machine: &Machine| machine.process.is_some() && machine.frozen_until <= world.now;
        world.machines.iter().all(runs)
    });
    let joined_at = world.now;
    let took = world.run_until_holds(RECOVERY_MS, "a commit by the joined core", |world| {
        world
            .acknowledged_at
            .last()
            .is_some_and(|at| *at > joined_at)
    });
    assert!(
        took <= RECOVERY_MS,
        "seed {seed} with {count} members took {took} ms"
    );
    world.run_until_holds(WHOLE_AGAIN_MS, "all disks being replicas", World::is_whole);
}

fn for_all_sizes(scenario: impl Fn(&mut World, u64)) {
    for (machines, tolerate) in SIZES {
        for seed in 0..SEEDS {
            scenario(&mut busy_core(seed, machines, tolerate), seed);
        }
    }
}

/// The oracle looks for two lease holders, for a holder without all that was acknowledged, and for two commands under one
/// version, at each event.
#[test]
fn a_core_cut_into_halves_keeps_all_and_goes_on_once_they_are_joined() {
    for_all_sizes(|world, seed| {
        cut_into_halves(world);
        let span = CUT_MS.start + world.random(CUT_MS.end - CUT_MS.start);
        world.run_for(span);
        goes_on_once_joined(world, seed);
    });
}

#[test]
fn the_half_that_is_a_majority_goes_on_alone() {
    for (machines, tolerate) in SIZES.into_iter().filter(|(machines, _)| machines % 2 == 1) {
        for seed in 0..SEEDS {
            let mut world = busy_core(seed, machines, tolerate);
            let majority = cut_into_halves(&mut world);
            let took = world.run_until_holds(FAILOVER_MS, "a primary in the majority", |world| {
                world
                    .lease_holder()
                    .is_some_and(|holder| majority.contains(&holder))
            });
            assert!(
                took <= FAILOVER_MS,
                "seed {seed} with {machines} members took {took} ms"
            );
            let led_from = world.now;
            world.run_until_holds(RECOVERY_MS, "a commit by the majority", |world| {
                world
                    .acknowledged_at
                    .last()
                    .is_some_and(|at| *at > led_from)
            });
            goes_on_once_joined(&mut world, seed);
        }
    }
}

/// Equal halves: a lease that was granted before the cut runs out, and nobody holds one until they are joined.
#[test]
fn of_two_equal_halves_none_acknowledges_anything_for_long() {
    for (machines, tolerate) in SIZES.into_iter().filter(|(machines, _)| machines % 2 == 0) {
        for seed in 0..SEEDS {
            let mut world = busy_core(seed, machines, tolerate);
            cut_into_halves(&mut world);
            world.run_for(FAILOVER_MS);
            let acknowledged = world.oracle.acknowledged;
            world.run_for(2_000);
            assert_eq!(
                world.oracle.acknowledged, acknowledged,
                "seed {seed} with {machines} members"
            );
            goes_on_once_joined(&mut world, seed);
        }
    }
}

/// The halves change while they are apart: a primary of one cut may be in the minority of the next.
#[test]
fn halves_that_change_their_members_agree_on_one_history() {
    for_all_sizes(|world, seed| {
        for _ in 0..4 {
            world.cuts.clear();
            cut_into_halves(world);
            let span = 200 + world.random(1_800);
            world.run_for(span);
        }
        goes_on_once_joined(world, seed);
    });
}

/// More machines than are tolerated are down or stand still at once, and the core is cut into halves meanwhile; no more
/// disks are lost than are tolerated.
#[test]
fn losses_beyond_what_is_tolerated_overlap_and_nothing_acknowledged_is_lost() {
    for_all_sizes(|world, seed| {
        let spare = world.disks_to_spare();
        let wiped = world.random(spare as u64 + 1) as usize;
        let count = world.machines.len();
        let first = world.random(count as u64) as usize;
        cut_into_halves(world);
        let pause = world.random(2_500);
        world.run_for(pause);
        for step in 0..count {
            let machine = (first + step) % count;
            let span = 200 + world.random(3_000);
            match world.random(3) {
                _ if step < wiped => world.wipe_for(machine, span),
                0 => world.freeze(machine, span),
                1 => world.kill_for(machine, span),
                _ => {}
            }
            let pause = world.random(60);
            world.run_for(pause);
        }
        let span = world.random(2_000);
        world.run_for(span);
        goes_on_once_joined(world, seed);
    });
}
