//! Seeded simulation of several stores, a core that decides the group's configuration, gateways, clients and backends,
//! under loss, delay and duplication of messages, kills, power losses, lost disks, frozen processes and partitions.
//!
//! The oracle checks the rules for batch jobs, see `oracle.rs`.

mod backends;
mod clients;
mod core;
mod disk;
mod fault_injection;
mod harness;
mod oracle;
mod processes;
mod stores;

use harness::{Faults, Simulation};

/// Number of seeds per test.
const SEEDS: u64 = 220;

/// Runs the seeds in order; the first violated rule fails the test and names its seed.
fn run(first: u64, faults: Faults) -> harness::Totals {
    let mut totals = harness::Totals::default();
    for seed in first..first + SEEDS {
        totals.add(&Simulation::new(seed, faults).run_to_end());
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
    partitions: 0,
    wipes: 0,
    exchanges: 0,
    long_partitions: 0,
    flickers: 0,
    halves: 0,
    wipe_in_halves: false,
    loss: 0.0,
};

#[test]
fn rules_hold_without_faults() {
    run(0, CALM);
}

#[test]
fn rules_hold_under_kills_and_power_losses() {
    run(
        10_000,
        Faults {
            kills: 6,
            freezes: 0,
            partitions: 0,
            wipes: 0,
            loss: 0.02,
            ..CALM
        },
    );
}

#[test]
fn rules_hold_under_freezes_and_partitions() {
    run(
        20_000,
        Faults {
            kills: 0,
            freezes: 5,
            partitions: 5,
            wipes: 0,
            loss: 0.05,
            ..CALM
        },
    );
}

#[test]
fn rules_hold_under_lost_disks() {
    run(
        30_000,
        Faults {
            kills: 2,
            freezes: 1,
            partitions: 1,
            wipes: 4,
            loss: 0.02,
            ..CALM
        },
    );
}

#[test]
fn rules_hold_under_all_faults_combined() {
    run(
        40_000,
        Faults {
            kills: 5,
            freezes: 4,
            partitions: 4,
            wipes: 3,
            loss: 0.08,
            ..CALM
        },
    );
}

#[test]
fn rules_hold_under_long_partitions_and_flapping_stores() {
    run(
        50_000,
        Faults {
            kills: 2,
            long_partitions: 3,
            flickers: 3,
            loss: 0.03,
            ..CALM
        },
    );
}

#[test]
fn rules_hold_under_lost_disks_with_flapping_stores() {
    run(
        60_000,
        Faults {
            kills: 1,
            wipes: 4,
            long_partitions: 1,
            flickers: 2,
            loss: 0.02,
            ..CALM
        },
    );
}

#[test]
fn rules_hold_under_split_partitions() {
    run(
        70_000,
        Faults {
            halves: 2,
            loss: 0.02,
            ..CALM
        },
    );
}

#[test]
fn rules_hold_when_several_store_losses_overlap_with_split_partitions() {
    run(
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
fn rules_hold_under_lost_disks_between_split_partitions() {
    run(
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
fn rules_hold_when_a_disk_is_lost_during_a_split_partition() {
    run(
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
fn rules_hold_when_a_disk_is_lost_and_all_others_lose_power_during_a_group_change() {
    let totals = run(
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
