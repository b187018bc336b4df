//! Troubles that must be over within a given time, each with many seeds.

use crate::cluster::World;
use crate::machine::Machine;
use alderhollow_coordination::replica::interface::{Input, Millis};

const SEEDS: u64 = 150;
/// Machines, and how many of them may be lost at once.
const SIZES: [(usize, usize); 3] = [(3, 1), (6, 2), (8, 2)];
/// From the death of the primary to the next one's lease.
const FAILOVER_MS: Millis = 1_600;
/// From the order to leave to the next primary's lease.
const HAND_OVER_MS: Millis = 100;
/// From a loss of the disk or machine to a whole core with its successor.
const CATCH_UP_MS: Millis = 5_000;

/// Runs a scenario on whole cores of all sizes; it gives the time that is to be bounded.
fn within(limit: Millis, scenario: impl Fn(&mut World) -> Millis) {
    let mut longest = 0;
    for (machines, tolerate) in SIZES {
        for seed in 0..SEEDS {
            let took = scenario(&mut whole_core(seed, machines, tolerate));
            assert!(
                took <= limit,
                "seed {seed} with {machines} members took {took} ms"
            );
            longest = longest.max(took);
        }
    }
    println!("longest: {longest} ms");
}

fn whole_core(seed: u64, machines: usize, tolerate: usize) -> World {
    let mut world = World::new(seed, machines, tolerate);
    world.run_until_holds(5_000, "a whole core", World::is_whole);
    let pause = world.random(400);
    world.run_for(pause);
    world.run_until_holds(2_000, "a whole core", World::is_whole);
    world.look_every = 1;
    world
}

fn primary_of(world: &World) -> usize {
    world.lease_holder().expect("a primary")
}

fn another_than(world: &mut World, machine: usize) -> usize {
    let others = world.machines.len() as u64 - 1;
    (machine + 1 + world.random(others) as usize) % world.machines.len()
}

fn another_holds_lease(world: &mut World, limit: Millis, before: usize) -> Millis {
    world.run_until_holds(limit, "another primary", |world| {
        world.lease_holder().is_some_and(|holder| holder != before)
    })
}

/// Clients send requests without long pauses from now on.
fn let_clients_hurry(world: &mut World) {
    let longest_pause = 2 * world.request_every;
    world.request_every = 5;
    world.run_for(longest_pause);
}

fn next_commit(world: &mut World, limit: Millis) -> Millis {
    let begun = world.now;
    world.run_until_holds(limit, "the next commit", |world| {
        world.acknowledged_at.last().is_some_and(|at| *at > begun)
    })
}

#[test]
fn the_first_command_is_committed_soon_after_the_start() {
    for (machines, tolerate) in SIZES {
        for seed in 0..SEEDS {
            let mut world = World::new(seed, machines, tolerate);
            let took =
                world.run_until_holds(2_000, "a commit", |world| !world.acknowledged_at.is_empty());
            assert!(
                took <= 1_000,
                "seed {seed} with {machines} members took {took} ms"
            );
        }
    }
}

#[test]
fn a_dead_primary_is_followed_by_another() {
    within(FAILOVER_MS, |world| {
        let primary = primary_of(world);
        world.kill(primary);
        another_holds_lease(world, 5_000, primary)
    });
}

#[test]
fn a_frozen_primary_is_followed_by_another() {
    within(FAILOVER_MS, |world| {
        let primary = primary_of(world);
        world.freeze(primary, 4_000);
        another_holds_lease(world, 5_000, primary)
    });
}

#[test]
fn a_primary_that_hears_nobody_is_followed_by_another() {
    within(FAILOVER_MS, |world| {
        let primary = primary_of(world);
        for other in (0..world.machines.len()).filter(|other| *other != primary) {
            world.cut(other, primary);
        }
        another_holds_lease(world, 5_000, primary)
    });
}

#[test]
fn a_primary_that_nobody_hears_is_followed_by_another() {
    within(FAILOVER_MS, |world| {
        let primary = primary_of(world);
        for other in (0..world.machines.len()).filter(|other| *other != primary) {
            world.cut(primary, other);
        }
        another_holds_lease(world, 5_000, primary)
    });
}

#[test]
fn a_primary_whose_disk_stands_still_hands_over() {
    within(FAILOVER_MS, |world| {
        let primary = primary_of(world);
        world.machines[primary].disk.stalled_until = world.now + 10_000;
        world.propose_at(primary);
        another_holds_lease(world, 5_000, primary)
    });
}

/// Runs of commands that a member misses.
const MISSED_COMMANDS: [usize; 2] = [300, 3_000];

/// A member that missed hundreds of commands is a replica again soon after its return, and holds up no command meanwhile.
#[test]
fn a_member_that_missed_thousands_of_commands_catches_up_without_holding_up_the_others() {
    for (missed, seeds) in MISSED_COMMANDS.into_iter().zip([40, 4]) {
        for seed in 0..seeds {
            let mut world = whole_core(seed, 3, 1);
            let_clients_hurry(&mut world);
            let primary = primary_of(&world);
            let away = another_than(&mut world, primary);
            for other in (0..3).filter(|other| *other != away) {
                world.cut(away, other);
                world.cut(other, away);
            }
            let before = world.acknowledged_at.len();
            world.run_until_holds(120_000, "missed commands", |world| {
                world.acknowledged_at.len() >= before + missed
            });
            world.cuts.clear();
            let returned_at = world.now;
            let took = world.run_until_holds(CATCH_UP_MS, "a whole core", World::is_whole);
            world.run_for(500);
            let later = world
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

/// From the loss of the last replica beside the primary to the next commit: its silence, and a change of the epoch.
const LAST_REPLICA_MS: Millis = 1_000;

/// The machine that comes back is a member, but holds the state again only once it is taken in.
#[test]
fn the_last_replica_dies_while_another_member_comes_back() {
    let mut longest = 0;
    for seed in 0..2 * SEEDS {
        let mut world = whole_core(seed, 3, 1);
        let_clients_hurry(&mut world);
        let primary = primary_of(&world);
        let comes_back = another_than(&mut world, primary);
        let dies = 3 - primary - comes_back;
        world.kill_for(comes_back, 800);
        let answers_for = world.random(390);
        world.run_for(801 + answers_for);
        world.kill(dies);
        let took = next_commit(&mut world, 5_000);
        assert!(took <= LAST_REPLICA_MS, "seed {seed} took {took} ms");
        longest = longest.max(took);
    }
    println!("longest: {longest} ms");
}

#[test]
fn after_the_death_of_all_there_is_a_primary_also_without_the_former_one() {
    within(FAILOVER_MS, |world| {
        let primary = primary_of(world);
        let mut last_start = 0;
        for machine in 0..world.machines.len() {
            world.kill(machine);
            if machine != primary {
                let at = world.now + 50 + world.random(900);
                world.start_at(machine, at);
                last_start = last_start.max(at);
            }
        }
        world.run_until_holds(5_000, "a primary", |world| world.lease_holder().is_some());
        world.now.saturating_sub(last_start)
    });
}

/// One member has not heard the primary for long and stands for election; the other has just granted the primary its lease,
/// and restarts. The oracle looks for two lease holders.
#[test]
fn a_restarted_witness_keeps_its_word() {
    for seed in 0..SEEDS {
        let world = &mut whole_core(seed, 3, 1);
        let primary = primary_of(world);
        let (witness, candidate) = ((primary + 1) % 3, (primary + 2) % 3);
        world.cut(primary, candidate);
        world.cut(candidate, primary);
        let pause = 1_500 + world.random(200);
        world.run_for(pause);
        assert_eq!(world.lease_holder(), Some(primary), "seed {seed}");
        world.cut(primary, witness);
        world.cut(witness, primary);
        world.kill_for(witness, 20);
        another_holds_lease(world, 3_000, primary);
    }
}

#[test]
fn a_planned_end_of_the_primary_is_short() {
    within(HAND_OVER_MS, |world| {
        let primary = primary_of(world);
        world.tell(primary, Input::Leave);
        let took = another_holds_lease(world, 5_000, primary);
        let handed_over = |world: &World| {
            world.machines[primary]
                .process
                .as_ref()
                .is_some_and(|process| process.handed_over)
        };
        world.run_until_holds(HAND_OVER_MS, "the end of the hand-over", handed_over);
        took
    });
}

#[test]
fn a_planned_end_of_another_member_delays_no_command() {
    within(HAND_OVER_MS, |world| {
        let_clients_hurry(world);
        let primary = primary_of(world);
        let other = another_than(world, primary);
        world.tell(other, Input::Leave);
        world.run_for(60);
        world.kill(other);
        next_commit(world, 5_000)
    });
}

#[test]
fn a_replica_that_dies_delays_a_command_for_a_moment() {
    within(1_000, |world| {
        let_clients_hurry(world);
        let primary = primary_of(world);
        let other = another_than(world, primary);
        world.kill(other);
        next_commit(world, 5_000)
    });
}

#[test]
fn a_replica_whose_disk_stands_still_delays_a_command_for_a_moment() {
    within(1_000, |world| {
        let_clients_hurry(world);
        let primary = primary_of(world);
        let other = another_than(world, primary);
        world.machines[other].disk.stalled_until = world.now + 10_000;
        world.run_for(10);
        next_commit(world, 5_000)
    });
}

#[test]
fn lost_disks_are_replaced_by_new_ones() {
    within(CATCH_UP_MS, |world| {
        for _ in 0..world.tolerate {
            let primary = primary_of(world);
            let wiped = another_than(world, primary);
            let span = 50 + world.random(900);
            if world.machines[wiped].process.is_some() {
                world.wipe_for(wiped, span);
            }
        }
        world.run_until_holds(10_000, "a whole core", |world| {
            world
                .machines
                .iter()
                .all(|machine| machine.process.is_some())
                && world.is_whole()
        })
    });
}

#[test]
fn a_machine_that_is_gone_is_replaced_by_one_at_another_address() {
    within(CATCH_UP_MS, |world| {
        let primary = primary_of(world);
        let gone = if world.random(2) == 0 {
            primary
        } else {
            another_than(world, primary)
        };
        world.remove(gone);
        world.add(1_000);
        replaced(world, gone)
    });
}

#[test]
fn a_machine_is_replaced_as_planned() {
    within(CATCH_UP_MS, |world| {
        let primary = primary_of(world);
        let gone = if world.random(2) == 0 {
            primary
        } else {
            another_than(world, primary)
        };
        world.add(10);
        world.run_for(1_000);
        world.tell(gone, Input::Leave);
        world.run_for(500);
        world.remove(gone);
        replaced(world, gone)
    });
}

#[test]
fn machines_are_added() {
    within(CATCH_UP_MS, |world| {
        world.add(10);
        world.add(300);
        world.run_for(400);
        world.run_until_holds(10_000, "a whole core", World::is_whole)
    });
}

fn replaced(world: &mut World, gone: usize) -> Millis {
    let runs = |machine: &Machine| machine.number == gone || machine.process.is_some();
    world.run_until_holds(10_000, "a whole core without the old machine", |world| {
        world.machines.iter().all(runs) && world.is_whole()
    })
}
