//! Admission of jobs and starts of items while records wait for the members' disks.

use crate::cluster::{job, Cluster};
use alderhollow_batch::api::{RunEnd, SubmitOutcome};

/// Runs up to `max` items and completes them; returns their number.
fn run(cluster: &mut Cluster, max: usize) -> usize {
    let starts = cluster.work(1, max);
    for start in &starts {
        cluster.end_run(
            1,
            start.run,
            RunEnd::Completed {
                text: "text".to_owned(),
            },
        );
    }
    starts.len()
}

fn is_taken(cluster: &mut Cluster, id: &str) -> bool {
    match cluster.submit(1, job(id, 1, 1)) {
        SubmitOutcome::Pending(_) => true,
        SubmitOutcome::NotSure => false,
        other => panic!("{other:?} for a job that fits"),
    }
}

#[test]
fn jobs_are_accepted_until_an_unresponsive_member_can_be_removed() {
    let mut cluster = Cluster::active(2);
    cluster.partitioned.insert(2);
    assert!(is_taken(&mut cluster, "at-once"));
    cluster.pass(1_900, 1);
    assert!(is_taken(&mut cluster, "while-it-may-be-left-out"));
    cluster.pass(100, 1);
    assert!(!is_taken(&mut cluster, "too-late"));
}

#[test]
fn no_job_is_accepted_while_commits_are_late() {
    let mut cluster = Cluster::active(2);
    cluster.stores.get_mut(&2).expect("a store").holds_writes = true;
    assert!(is_taken(&mut cluster, "first"));
    cluster.partitioned.insert(2);
    cluster.pass(300, 1);
    assert!(is_taken(&mut cluster, "second"));
    cluster.pass(400, 1);
    cluster.partitioned.clear();
    cluster.release_writes(2);
    cluster.run_until_idle();
    assert_eq!(cluster.resolved.len(), 1, "the first is committed");
    assert!(is_taken(&mut cluster, "third"));
    cluster.pass(100, 1);
    assert!(
        !is_taken(&mut cluster, "fourth"),
        "the second has waited for 500 ms, the first is through"
    );
    cluster.pass(500, 1);
    assert_eq!(cluster.resolved.len(), 3, "sent again");
    assert!(is_taken(&mut cluster, "fourth"));
}

#[test]
fn items_start_without_limit_while_commits_are_prompt() {
    let mut cluster = Cluster::active(2);
    for id in ["a", "b", "c", "d"] {
        cluster.accept(1, job(id, 200, 1));
    }
    assert_eq!(run(&mut cluster, 800), 800);
}

#[test]
fn late_results_delay_further_runs() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 200, 1));
    cluster.stores.get_mut(&2).expect("a store").holds_writes = true;
    assert_eq!(run(&mut cluster, 80), 80);
    assert_eq!(run(&mut cluster, 20), 20, "commits are not late yet");
    cluster.pass(300, 1);
    assert_eq!(
        run(&mut cluster, 100),
        0,
        "as much is in flight as the window holds, and more"
    );
    cluster.release_writes(2);
    cluster.run_until_idle();
    assert_eq!(
        run(&mut cluster, 100),
        75,
        "three quarters of what was in flight"
    );
}
