//! Seeded simulation of the primaries of groups that share one route's limit, under loss, delay, reordering and
//! duplication of messages, replaced primaries that continue, and restarts.

mod harness;
mod jobs;
mod network;
mod oracle;
mod process;

use harness::{Settings, Simulation};
use oracle::Tally;

/// Runs the seeds and adds up their tallies.
fn run(seeds: std::ops::Range<u64>, settings: fn(u64) -> Settings) -> Tally {
    seeds.fold(Tally::default(), |sum, seed| {
        let tally = Simulation::new(seed, settings(seed)).run();
        Tally {
            accepted: sum.accepted + tally.accepted,
            judged: sum.judged + tally.judged,
            missed: sum.missed + tally.missed,
        }
    })
}

#[test]
fn the_sum_never_exceeds_the_limit_under_faults() {
    let tally = run(0..1_500, Settings::troubled);
    assert!(tally.accepted > 100_000, "too little happened: {tally:?}");
}

#[test]
fn the_sum_never_exceeds_the_limit_under_split_partitions() {
    let tally = run(0..600, Settings::with_halves);
    assert!(tally.accepted > 30_000, "too little happened: {tally:?}");
}

/// Groups report at different times, so that tokens that moved between them may be counted twice for a tenth of a
/// second: close to the limit, one job in some thousands is still rejected or late.
#[test]
fn without_faults_submissions_within_the_limit_are_admitted_soon() {
    let tally = run(0..500, Settings::calm);
    assert!(tally.accepted > 50_000, "too little happened: {tally:?}");
    assert!(
        tally.missed * 2_000 <= tally.judged,
        "too much was not taken: {tally:?}"
    );
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let first = Simulation::new(7, Settings::troubled(7)).run();
    assert_eq!(first, Simulation::new(7, Settings::troubled(7)).run());
}
