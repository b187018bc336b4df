//! Runs of items, and items that are abandoned.

use crate::cluster::{job, routes, terms, Cluster, ROUTE};
use alderhollow_batch::api::{Resume, RouteTerms, RunEnd};
use alderhollow_batch::job::ResultState;
use std::collections::BTreeMap;

/// Takes the next items to run and returns their ids.
fn next_items(cluster: &mut Cluster, max: usize) -> Vec<String> {
    cluster
        .work(1, max)
        .into_iter()
        .map(|start| start.item_id)
        .collect()
}

#[test]
fn items_start_once_in_order_of_due_time() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("young", 2, 10));
    let mut old = job("old", 2, 10);
    old.age_ms = 500;
    cluster.accept(1, old);
    assert_eq!(next_items(&mut cluster, 3), ["old-0", "old-1", "young-0"]);
    assert_eq!(next_items(&mut cluster, 3), ["young-1"]);
    assert_eq!(cluster.engine(1).load(), (0, 4));
}

#[test]
fn nothing_starts_without_validation() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 2, 10));
    cluster.now_ms += 1_000;
    assert_eq!(cluster.work(1, 9), []);
    let now_ms = cluster.now_ms;
    assert!(!cluster.engine(1).is_validated_primary(now_ms));
    cluster.validate(1);
    assert_eq!(cluster.work(1, 9).len(), 2);
    assert_eq!(cluster.work(2, 9), []);
}

#[test]
fn an_item_is_abandoned_at_the_limit_of_failed_attempts() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 1, 10));
    let first = cluster.work(1, 1);
    cluster.end_run(1, first[0].run, RunEnd::Failed);
    assert_eq!(cluster.work(1, 1), [], "it pauses");
    cluster.pass(300, 1);
    let second = cluster.work(1, 1);
    assert_eq!(second[0].failures, 1);
    cluster.end_run(1, second[0].run, RunEnd::Failed);
    assert_eq!(
        cluster.results(1, "a"),
        [("a-0".to_owned(), ResultState::DeadLetter, String::new())]
    );
    assert_eq!(cluster.engine(1).waiting_tokens(ROUTE), 0);
}

#[test]
fn unexecuted_and_interrupted_runs_are_not_counted_as_attempts() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 1, 10));
    for _ in 0..5 {
        let starts = cluster.work(1, 1);
        assert_eq!(starts[0].failures, 0);
        cluster.end_run(1, starts[0].run, RunEnd::NotRun { retry_after_ms: 50 });
        cluster.pass(100, 1);
        let starts = cluster.work(1, 1);
        cluster.end_run(
            1,
            starts[0].run,
            RunEnd::Interrupted {
                resume: None,
                retry_after_ms: 50,
            },
        );
        cluster.pass(100, 1);
    }
    assert_eq!(cluster.results(1, "a"), []);
}

#[test]
fn a_rejected_item_is_abandoned_at_once() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 1, 10));
    let starts = cluster.work(1, 1);
    cluster.end_run(1, starts[0].run, RunEnd::Rejected);
    assert_eq!(cluster.results(1, "a")[0].1, ResultState::DeadLetter);
}

#[test]
fn an_interrupted_run_resumes_at_the_furthest_position() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 1, 10));
    let resume = |last_event_id, text: &str| {
        Some(Resume {
            last_event_id,
            text: text.to_owned(),
        })
    };
    let ends = [
        resume(2, "x\ny"),
        None,
        resume(1, "x"),
        resume(3, "x\ny\nz"),
    ];
    let expected = [
        None,
        resume(2, "x\ny"),
        resume(2, "x\ny"),
        resume(2, "x\ny"),
        resume(3, "x\ny\nz"),
    ];
    let mut met = Vec::new();
    for end in ends {
        let starts = cluster.work(1, 1);
        met.push(starts[0].resume.clone());
        cluster.end_run(
            1,
            starts[0].run,
            RunEnd::Interrupted {
                resume: end,
                retry_after_ms: 10,
            },
        );
        cluster.pass(100, 1);
    }
    met.push(cluster.work(1, 1)[0].resume.clone());
    assert_eq!(met, expected);
}

/// Starts of the only item within `duration_ms`, if each of its runs is interrupted at the position that `resume` gives.
fn starts_of_interrupted_item(
    cluster: &mut Cluster,
    duration_ms: u64,
    resume: impl Fn(u64) -> Option<Resume>,
) -> u64 {
    let mut starts = 0;
    for _ in 0..duration_ms / 10 {
        for start in cluster.work(1, 1) {
            starts += 1;
            let end = RunEnd::Interrupted {
                resume: resume(starts),
                retry_after_ms: 20,
            };
            cluster.end_run(1, start.run, end);
        }
        cluster.pass(10, 1);
    }
    starts
}

/// Guards against an item that is repeated without a bound, as none of its runs counts as an attempt.
#[test]
fn an_item_that_never_gets_further_is_repeated_ever_more_rarely() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 1, 10));
    let starts = starts_of_interrupted_item(&mut cluster, 9_000, |_| None);
    assert!((10..=20).contains(&starts), "{starts}");
}

#[test]
fn an_item_that_gets_further_is_repeated_soon() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 1, 10));
    let resume = |last_event_id| {
        Some(Resume {
            last_event_id,
            text: "x".to_owned(),
        })
    };
    let starts = starts_of_interrupted_item(&mut cluster, 3_000, resume);
    assert!(starts >= 90, "{starts}");
}

#[test]
fn an_item_is_abandoned_after_its_retention_and_not_before() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 2, 10));
    let starts = cluster.work(1, 1);
    cluster.pass(9_900, 1);
    assert_eq!(cluster.results(1, "a"), []);
    cluster.pass(600, 1);
    let states: Vec<ResultState> = cluster
        .results(1, "a")
        .into_iter()
        .map(|result| result.1)
        .collect();
    assert_eq!(states, [ResultState::DeadLetter, ResultState::DeadLetter]);
    assert_eq!(cluster.cancelled, [starts[0].run]);
}

#[test]
fn items_of_a_removed_route_are_abandoned_but_not_under_an_older_configuration() {
    let mut cluster = Cluster::active(2);
    let now_ms = cluster.now_ms;
    cluster.engine(1).set_routes(now_ms, 5, routes(terms()));
    cluster.accept(1, job("a", 1, 10));
    // The configuration of the successor is older than the route.
    cluster.engine(2).set_routes(now_ms, 4, BTreeMap::new());
    cluster.set_group(2, 2, &[1, 2], &[]);
    cluster.pass(500, 2);
    assert_eq!(cluster.results(2, "a"), []);
    assert_eq!(cluster.work(2, 1), []);

    let now_ms = cluster.now_ms;
    cluster.engine(2).set_routes(now_ms, 5, routes(terms()));
    assert_eq!(cluster.work(2, 1).len(), 1);
    cluster.engine(2).set_routes(now_ms, 4, BTreeMap::new());
    cluster.engine(2).set_routes(now_ms, 6, BTreeMap::new());
    cluster.pass(500, 2);
    assert_eq!(cluster.results(2, "a")[0].1, ResultState::DeadLetter);
}

#[test]
fn all_runs_are_cancelled_on_loss_of_leadership() {
    let mut cluster = Cluster::active(3);
    cluster.accept(1, job("a", 2, 10));
    let starts = cluster.work(1, 2);
    cluster.set_group(2, 2, &[1, 2, 3], &[]);
    assert_eq!(cluster.cancelled.len(), 2);
    cluster.end_run(
        1,
        starts[0].run,
        RunEnd::Completed {
            text: "late".to_owned(),
        },
    );
    cluster.validate(2);
    assert_eq!(cluster.results(2, "a"), []);
    assert_eq!(cluster.work(2, 9).len(), 2);
}

#[test]
fn runs_continue_in_the_next_epoch_of_the_same_primary() {
    let mut cluster = Cluster::active(3);
    cluster.accept(1, job("a", 1, 10));
    let starts = cluster.work(1, 1);
    cluster.set_group(2, 1, &[1, 2], &[]);
    assert_eq!(cluster.cancelled, []);
    assert_eq!(cluster.work(1, 9), []);
    cluster.end_run(
        1,
        starts[0].run,
        RunEnd::Completed {
            text: "text".to_owned(),
        },
    );
    assert_eq!(cluster.results(1, "a").len(), 1);
}

#[test]
fn only_configured_routes_have_work() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 1, 10));
    let now_ms = cluster.now_ms;
    assert_eq!(cluster.engine(1).routes_with_work(now_ms), [ROUTE]);
    cluster.work(1, 1);
    assert_eq!(cluster.engine(1).routes_with_work(now_ms), [""; 0]);
}

#[test]
fn the_larger_age_known_by_a_member_is_used() {
    let mut cluster = Cluster::active(2);
    let long = RouteTerms {
        retention_ms: 100_000,
        ..terms()
    };
    let now_ms = cluster.now_ms;
    cluster.engine(1).set_routes(now_ms, 2, routes(long));
    cluster.accept(1, job("a", 1, 10));
    cluster.pass(5_000, 1);
    // The restarted primary knows only the age at the acceptance; the member reports the current one.
    cluster.restart(1);
    cluster.set_group(1, 1, &[1, 2], &[]);
    cluster.validate(1);
    let starts = cluster.work(1, 1);
    assert_eq!(starts[0].due_ms, now_ms as i64 + 2_000);
}

/// Time until the results of the tests' jobs are due, as in their route's terms.
fn run_target_ms() -> u64 {
    terms().run_target_ms
}

#[test]
fn late_items_run_after_items_that_can_complete_in_time() {
    const RUN_MS: u64 = 100;
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("first", 1, 10));
    let run = cluster.work(1, 1)[0].run;
    cluster.pass(RUN_MS, 1);
    cluster.end_run(
        1,
        run,
        RunEnd::Completed {
            text: "t".to_owned(),
        },
    );
    let mut hopeless = job("hopeless", 2, 10);
    hopeless.age_ms = run_target_ms() - RUN_MS / 2;
    cluster.accept(1, hopeless);
    cluster.accept(1, job("young", 1, 10));
    let mut urgent = job("urgent", 1, 10);
    urgent.age_ms = run_target_ms() - 4 * RUN_MS;
    cluster.accept(1, urgent);
    assert_eq!(
        next_items(&mut cluster, 9),
        ["urgent-0", "young-0", "hopeless-0", "hopeless-1"]
    );
}

#[test]
fn late_items_still_run_when_all_are_late() {
    let mut cluster = Cluster::active(2);
    let mut late = job("late", 2, 10);
    late.age_ms = run_target_ms() + 1;
    cluster.accept(1, late);
    assert_eq!(next_items(&mut cluster, 9), ["late-0", "late-1"]);
}
