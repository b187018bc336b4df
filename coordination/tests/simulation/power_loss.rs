//! Disks are lost, as many as are tolerated, and in the same moment all other machines lose power: what was acknowledged
//! must stand, whatever the core is doing at that time. The oracle compares all states.

use crate::cluster::World;
use alderhollow_coordination::replica::interface::{Input, Millis};

const SEEDS: u64 = 400;
/// Machines, and how many of them may be lost at once.
const SIZES: [(usize, usize); 4] = [(3, 1), (5, 2), (6, 2), (8, 2)];
/// The core serves again within so long.
const RECOVERY_MS: Millis = 4_000;

/// Plays all seeds on cores of all sizes. `prepare` brings a core to the moment at which the disks are lost.
fn play(prepare: impl Fn(&mut World)) {
    let mut acknowledged = 0;
    for (machines, tolerate) in SIZES {
        for seed in 0..SEEDS {
            let mut world = World::new(seed, machines, tolerate);
            world.request_every = 10;
            prepare(&mut world);
            acknowledged += world.oracle.acknowledged;
            lose_disks_and_power(&mut world);
            let begun = world.now;
            world.run_until_holds(RECOVERY_MS, "a commit after the loss", |world| {
                world.acknowledged_at.last().is_some_and(|at| *at > begun)
            });
        }
    }
    assert!(
        acknowledged > SEEDS,
        "too little was acknowledged to show anything: {acknowledged}"
    );
}

/// As many machines as may be lost come back with empty disks; all others with what they had synced.
fn lose_disks_and_power(world: &mut World) {
    let count = world.machines.len();
    let primary = world.lease_holder();
    let any = world.random(count as u64) as usize;
    // The primary is where it hurts most.
    let first = primary.filter(|_| world.random(2) == 0).unwrap_or(any);
    for step in 0..count {
        let machine = (first + step) % count;
        let span = 50 + world.random(900);
        match step < world.tolerate {
            true => world.wipe_for(machine, span),
            false => world.kill_for(machine, span),
        }
    }
}

fn until_whole(world: &mut World) {
    let all_run = |world: &World| {
        world
            .machines
            .iter()
            .all(|machine| machine.process.is_some())
    };
    world.run_until_holds(8_000, "a whole core", |world| {
        all_run(world) && world.is_whole()
    });
}

fn run_for_up_to(world: &mut World, most: Millis) {
    let span = world.random(most);
    world.run_for(span);
}

#[test]
fn what_is_acknowledged_as_soon_as_a_new_core_bears_a_loss_stands() {
    play(|world| {
        world.look_every = 1;
        world.run_until_holds(8_000, "a core that bears a loss", |world| {
            !world.acknowledged_at.is_empty() && world.disks_to_spare() >= world.tolerate
        });
    });
}

#[test]
fn what_is_acknowledged_while_a_machine_is_taken_in_stands() {
    play(|world| {
        until_whole(world);
        world.add(10);
        run_for_up_to(world, 600);
    });
}

#[test]
fn what_is_acknowledged_right_after_a_lost_disk_was_replaced_stands() {
    play(|world| {
        until_whole(world);
        let machine = world.random(world.machines.len() as u64) as usize;
        world.wipe_for(machine, 100);
        world.run_for(200);
        world.look_every = 1;
        until_whole(world);
        run_for_up_to(world, 60);
    });
}

#[test]
fn what_is_acknowledged_around_a_planned_end_of_the_primary_stands() {
    play(|world| {
        until_whole(world);
        let Some(primary) = world.lease_holder() else {
            return;
        };
        world.tell(primary, Input::Leave);
        run_for_up_to(world, 120);
    });
}
