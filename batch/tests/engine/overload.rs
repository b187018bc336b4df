//! Admission of jobs and starts of items while records wait for the members' disks.

use crate::cluster::{job, terms, Cluster, ROUTE};
use alderhollow_batch::api::{RunEnd, SubmitOutcome};
use alderhollow_batch::job::NewJob;
use std::collections::{BTreeMap, BTreeSet};

/// A second route.
const OTHER_ROUTE: &str = "other";

/// A cluster with two routes, whose window of runs has shrunk to its minimum of 32.
fn cluster_with_small_window() -> Cluster {
    let mut cluster = Cluster::active(2);
    let now_ms = cluster.now_ms;
    let routes = [ROUTE, OTHER_ROUTE].map(|route| (route.to_owned(), terms()));
    cluster
        .engine(1)
        .set_routes(now_ms, 2, BTreeMap::from(routes));
    cluster.accept(1, job("first", 40, 1));
    cluster.stores.get_mut(&2).expect("a store").holds_writes = true;
    assert_eq!(run(&mut cluster, 40), 40);
    cluster.pass(300, 1);
    assert_eq!(run(&mut cluster, 1), 0, "commits are late");
    cluster.stores.get_mut(&2).expect("a store").holds_writes = false;
    cluster.release_writes(2);
    cluster.run_until_idle();
    cluster
}

fn job_of_other_route(id: &str, items: usize) -> NewJob {
    NewJob {
        route: OTHER_ROUTE.to_owned(),
        ..job(id, items, 1)
    }
}

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

/// Guards against items that never end at one route's backends using up the window of runs for all routes.
#[test]
fn running_items_of_one_route_leave_part_of_the_window_to_others() {
    let mut cluster = cluster_with_small_window();
    cluster.accept(1, job("silent", 200, 1));
    cluster.accept(1, job_of_other_route("other", 10));
    let now_ms = cluster.now_ms;
    let held = cluster.work(1, 200).len();
    let started = cluster.engine(1).take_work(now_ms, OTHER_ROUTE, 10).len();
    assert!((20..32).contains(&held), "{held} of the window of 32");
    assert!(started >= 4, "{started} of the other route");
    assert!(held + started <= 32);
}

#[test]
fn one_route_alone_may_use_the_whole_window() {
    let mut cluster = cluster_with_small_window();
    cluster.accept(1, job("only", 200, 1));
    assert_eq!(cluster.work(1, 200).len(), 32);
}

/// Guards against items without a backend making the store refuse jobs of other routes.
#[test]
fn items_of_stranded_routes_do_not_count_as_waiting_for_the_window() {
    let mut cluster = cluster_with_small_window();
    cluster.accept(1, job_of_other_route("stranded", 200));
    cluster.stores.get_mut(&2).expect("a store").holds_writes = true;
    assert!(is_taken(&mut cluster, "pending"));
    cluster.pass(200, 1);
    assert!(
        !is_taken(&mut cluster, "refused"),
        "a window of items waits"
    );
    let stranded = BTreeSet::from([OTHER_ROUTE.to_owned()]);
    cluster.engine(1).set_stranded_routes(&stranded);
    assert!(is_taken(&mut cluster, "taken"));
}

/// Guards against items that no backend can run making the store refuse jobs of others.
#[test]
fn postponed_items_do_not_count_as_waiting_for_the_window() {
    let mut cluster = cluster_with_small_window();
    cluster.accept(1, job_of_other_route("for-later-weights", 200));
    loop {
        let now_ms = cluster.now_ms;
        let starts = cluster.engine(1).take_work(now_ms, OTHER_ROUTE, 32);
        if starts.is_empty() {
            break;
        }
        for start in starts {
            let end = RunEnd::Postponed {
                retry_after_ms: 10_000,
            };
            cluster.end_run(1, start.run, end);
        }
    }
    assert_eq!(cluster.engine(1).load().0, 200, "they are not forgotten");
    cluster.stores.get_mut(&2).expect("a store").holds_writes = true;
    assert!(is_taken(&mut cluster, "pending"));
    cluster.pass(200, 1);
    assert!(is_taken(&mut cluster, "taken"));
}
