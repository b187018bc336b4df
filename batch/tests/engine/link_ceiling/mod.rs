//! A group whose primary's link is overloaded: its useful throughput must not drop.

mod clients;
mod group;
mod link;

use clients::ACCEPTANCE_TIMEOUT_MS;
use group::{CongestedGroup, MEMBERS};
use std::fmt::{self, Display, Formatter};

/// Warm-up time under load.
const WARM_UP_MS: u64 = 3_000;
const MEASURED_MS: u64 = 8_000;
/// Fraction of the throughput at capacity that is required beyond it.
const LEAST_PART: f64 = 0.8;
/// Maximum time until a new epoch is active under load.
const LONGEST_CHANGE_MS: u64 = 3_000;
/// Loads as multiples of the capacity of the link.
const LOADS_NEAR_THE_CEILING: [u32; 2] = [1, 2];
const LOADS_BEYOND_THE_CEILING: [u32; 2] = [4, 8];

/// Measurements of a group under one load.
struct Measured {
    load: u32,
    results_per_s: f64,
    longest_commit_ms: u64,
    /// Duration of the change to a new epoch; `None` if it timed out.
    change_ms: Option<u64>,
}

impl Display for Measured {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Measured {
            load,
            results_per_s,
            longest_commit_ms,
            change_ms,
        } = self;
        write!(
            f,
            "load {load}: {results_per_s} results/s, longest commit {longest_commit_ms} ms"
        )?;
        match change_ms {
            Some(change_ms) => write!(f, ", new epoch active after {change_ms} ms"),
            None => write!(f, ", new epoch not active after {LONGEST_CHANGE_MS} ms"),
        }
    }
}

fn measure(load: u32) -> Measured {
    let mut group = CongestedGroup::new(load);
    group.pass(WARM_UP_MS);
    let results = group.pass(MEASURED_MS);
    let longest_commit_ms = group.clients.longest_commit_ms(group.now_ms);
    let results_per_s = results as f64 * 1_000.0 / MEASURED_MS as f64;
    let measured = Measured {
        load,
        results_per_s,
        longest_commit_ms,
        change_ms: change_group(&mut group),
    };
    println!("{measured}");
    measured
}

/// Makes one member a learner, and waits under load until the new epoch is active.
fn change_group(group: &mut CongestedGroup) -> Option<u64> {
    let (members, learners) = MEMBERS.split_at(MEMBERS.len() - 1);
    let begun_ms = group.now_ms;
    group.set_group(2, members, learners);
    while !group.is_active() && group.now_ms <= begun_ms + LONGEST_CHANGE_MS {
        group.pass(1);
    }
    group.is_active().then_some(group.now_ms - begun_ms)
}

/// One test checks all three rules, because they are violated by the same cause: an unbounded backlog for the link.
#[test]
fn a_group_stays_useful_beyond_the_capacity_of_its_primarys_link() {
    let near = LOADS_NEAR_THE_CEILING.map(measure);
    let beyond = LOADS_BEYOND_THE_CEILING.map(measure);
    let best = near
        .iter()
        .map(|measured| measured.results_per_s)
        .fold(0.0, f64::max);
    let mut broken = Vec::new();
    for measured in &beyond {
        if measured.results_per_s < LEAST_PART * best {
            broken.push(format!(
                "goodput below {LEAST_PART} of {best} results/s: {measured}"
            ));
        }
    }
    for measured in near.iter().chain(&beyond) {
        if measured.longest_commit_ms > ACCEPTANCE_TIMEOUT_MS {
            broken.push(format!(
                "an acceptance committed after its client had left: {measured}"
            ));
        }
        if measured.change_ms.is_none() {
            broken.push(format!("a change of the group starves: {measured}"));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
