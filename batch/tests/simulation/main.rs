//! Seeded simulation of several stores, a core that names the group, gateways, clients and backends, under loss, delay and
//! doubling of messages, kills, losses of power, lost disks, frozen processes and cuts.
//!
//! The oracle is the rules for batch jobs, see `oracle.rs`.

mod backends;
mod clients;
mod core;
mod disk;
mod oracle;
mod processes;
mod stores;
mod troubles;
mod world;

use world::{Faults, World};

/// Seeds that one test plays.
const SEEDS: u64 = 220;

/// Plays seeds one after the other; the first broken rule ends the test, naming its seed.
fn play(first: u64, faults: Faults) -> world::Totals {
    let mut totals = world::Totals::default();
    for seed in first..first + SEEDS {
        totals.add(&World::new(seed, faults).play());
    }
    println!("{SEEDS} seeds from {first}: {totals:?}");
    assert!(
        totals.accepted > SEEDS,
        "too few jobs were accepted to show anything: {totals:?}"
    );
    assert!(
        totals.listed > SEEDS,
        "too few results were read to show anything: {totals:?}"
    );
    totals
}

const CALM: Faults = Faults {
    kills: 0,
    freezes: 0,
    cuts: 0,
    wipes: 0,
    exchanges: 0,
    long_cuts: 0,
    flickers: 0,
    halves: 0,
    wipe_in_halves: false,
    loss: 0.0,
};

#[test]
fn keeps_the_rules_in_calm() {
    play(0, CALM);
}

#[test]
fn keeps_the_rules_under_kills_and_losses_of_power() {
    play(
        10_000,
        Faults {
            kills: 6,
            freezes: 0,
            cuts: 0,
            wipes: 0,
            loss: 0.02,
            ..CALM
        },
    );
}

#[test]
fn keeps_the_rules_under_freezes_and_cuts() {
    play(
        20_000,
        Faults {
            kills: 0,
            freezes: 5,
            cuts: 5,
            wipes: 0,
            loss: 0.05,
            ..CALM
        },
    );
}

#[test]
fn keeps_the_rules_under_lost_disks() {
    play(
        30_000,
        Faults {
            kills: 2,
            freezes: 1,
            cuts: 1,
            wipes: 4,
            loss: 0.02,
            ..CALM
        },
    );
}

#[test]
fn keeps_the_rules_under_everything_at_once() {
    play(
        40_000,
        Faults {
            kills: 5,
            freezes: 4,
            cuts: 4,
            wipes: 3,
            loss: 0.08,
            ..CALM
        },
    );
}

#[test]
fn keeps_the_rules_under_long_cuts_and_stores_that_come_and_go() {
    play(
        50_000,
        Faults {
            kills: 2,
            long_cuts: 3,
            flickers: 3,
            loss: 0.03,
            ..CALM
        },
    );
}

#[test]
fn keeps_the_rules_under_lost_disks_while_stores_come_and_go() {
    play(
        60_000,
        Faults {
            kills: 1,
            wipes: 4,
            long_cuts: 1,
            flickers: 2,
            loss: 0.02,
            ..CALM
        },
    );
}

#[test]
fn keeps_the_rules_while_the_stores_are_cut_into_halves() {
    play(
        70_000,
        Faults {
            halves: 2,
            loss: 0.02,
            ..CALM
        },
    );
}

#[test]
fn keeps_the_rules_while_losses_of_more_stores_than_one_overlap_with_halves() {
    play(
        80_000,
        Faults {
            halves: 2,
            kills: 8,
            freezes: 3,
            flickers: 2,
            loss: 0.03,
            ..CALM
        },
    );
}

#[test]
fn keeps_the_rules_under_lost_disks_between_cuts_into_halves() {
    play(
        90_000,
        Faults {
            halves: 2,
            kills: 1,
            wipes: 4,
            loss: 0.02,
            ..CALM
        },
    );
}

#[test]
fn keeps_the_rules_where_a_disk_is_lost_while_the_stores_are_cut_into_halves() {
    play(
        100_000,
        Faults {
            halves: 1,
            wipe_in_halves: true,
            kills: 4,
            freezes: 2,
            loss: 0.02,
            ..CALM
        },
    );
}

#[test]
fn keeps_the_rules_where_a_disk_is_lost_and_all_others_lose_power_as_the_group_changes() {
    let totals = play(
        70_000,
        Faults {
            exchanges: 40,
            loss: 0.02,
            ..CALM
        },
    );
    assert!(
        totals.exchanged > SEEDS && totals.wiped > SEEDS / 2,
        "too few changes and lost disks: {totals:?}"
    );
}
