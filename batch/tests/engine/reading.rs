//! Reads of results and of item bodies.

use crate::cluster::{job, Cluster};
use alderhollow_batch::api::{BodyOutcome, ReadOutcome, RunEnd};
use alderhollow_batch::job::{JobId, ResultState};

/// Completes the `count` items that are due first with this text.
fn complete(cluster: &mut Cluster, count: usize, text: &str) {
    for start in cluster.work(1, count) {
        cluster.end_run(
            1,
            start.run,
            RunEnd::Completed {
                text: text.to_owned(),
            },
        );
    }
}

#[test]
fn only_committed_results_are_read() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 2, 10));
    cluster.stores.get_mut(&2).unwrap().holds_writes = true;
    complete(&mut cluster, 1, "text");
    assert_eq!(cluster.results(1, "a"), []);
    let now_ms = cluster.now_ms;
    let id = JobId::from("a");
    assert_eq!(
        cluster.engine(1).body(now_ms, &id, "a-0"),
        BodyOutcome::Body(b"body"),
        "not listed yet"
    );
    cluster.release_writes(2);
    cluster.run_until_idle();
    let expected = ("a-0".to_owned(), ResultState::Completed, "text".to_owned());
    assert_eq!(cluster.results(1, "a"), [expected]);
    assert_eq!(
        cluster.engine(1).body(now_ms, &id, "a-0"),
        BodyOutcome::NotFound
    );
    assert_eq!(
        cluster.engine(1).body(now_ms, &id, "a-1"),
        BodyOutcome::Body(b"body")
    );
    assert_eq!(
        cluster.engine(1).body(now_ms, &id, "b-1"),
        BodyOutcome::NotFound
    );
}

#[test]
fn a_read_is_bounded_but_returns_at_least_one_result() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 3, 10));
    complete(&mut cluster, 3, &"x\n".repeat(400));
    let now_ms = cluster.now_ms;
    let id = JobId::from("a");
    let mut counts = Vec::new();
    for max_bytes in [0, 2_000, 3_000, 1 << 20] {
        let answer = cluster.engine(1).read(now_ms, &id, 0, max_bytes);
        let ReadOutcome::Results {
            total: 3,
            next,
            results,
            closed: true,
        } = answer
        else {
            panic!("{answer:?}")
        };
        assert_eq!(next as usize, results.len());
        counts.push(next);
    }
    assert_eq!(counts, [1, 1, 2, 3]);
    let answer = cluster.engine(1).read(now_ms, &id, 3, 100);
    assert!(
        matches!(answer, ReadOutcome::Results { next: 3, .. }),
        "{answer:?}"
    );
}

#[test]
fn an_unvalidated_primary_answers_only_with_results() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 2, 10));
    complete(&mut cluster, 1, "text");
    let now_ms = cluster.now_ms;
    let (known, unknown) = (JobId::from("a"), JobId::from("b"));
    assert_eq!(
        cluster.engine(1).read(now_ms, &unknown, 0, 100),
        ReadOutcome::NotFound
    );
    assert!(matches!(
        cluster.engine(1).read(now_ms, &known, 1, 100),
        ReadOutcome::Results { .. }
    ));

    let later_ms = now_ms + 1_000;
    assert_eq!(
        cluster.engine(1).read(later_ms, &unknown, 0, 100),
        ReadOutcome::NotSure
    );
    assert_eq!(
        cluster.engine(1).read(later_ms, &known, 1, 100),
        ReadOutcome::NotSure
    );
    assert!(matches!(
        cluster.engine(1).read(later_ms, &known, 0, 100),
        ReadOutcome::Results { next: 1, .. }
    ));
    assert_eq!(
        cluster.engine(1).body(later_ms, &unknown, "b-0"),
        BodyOutcome::NotSure
    );
    assert_eq!(
        cluster.engine(1).body(later_ms, &known, "a-1"),
        BodyOutcome::Body(b"body")
    );
    assert_eq!(
        cluster.engine(2).read(now_ms, &known, 0, 100),
        ReadOutcome::NotPrimary
    );
}

#[test]
fn a_primary_of_an_inactive_epoch_answers_nothing() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 2, 10));
    cluster.partitioned.insert(1);
    cluster.set_group(2, 2, &[1, 2], &[]);
    cluster.validate(2);
    let now_ms = cluster.now_ms;
    assert_eq!(
        cluster.engine(2).read(now_ms, &JobId::from("a"), 0, 100),
        ReadOutcome::NotSure
    );
    assert_eq!(
        cluster.engine(2).read(now_ms, &JobId::from("b"), 0, 100),
        ReadOutcome::NotSure
    );
    assert_eq!(
        cluster.engine(2).body(now_ms, &JobId::from("a"), "a-0"),
        BodyOutcome::NotSure
    );
}

#[test]
fn jobs_are_forgotten_when_closed_and_old() {
    let mut cluster = Cluster::active(2);
    cluster.engine(1).set_status_ms(5_000);
    cluster.accept(1, job("closed", 1, 10));
    complete(&mut cluster, 1, "text");
    cluster.accept(1, job("open", 1, 10));
    cluster.pass(4_900, 1);
    assert_eq!(cluster.results(1, "closed").len(), 1);
    cluster.pass(600, 1);
    let now_ms = cluster.now_ms;
    assert_eq!(
        cluster
            .engine(1)
            .read(now_ms, &JobId::from("closed"), 0, 100),
        ReadOutcome::NotFound
    );
    assert!(matches!(
        cluster.engine(1).read(now_ms, &JobId::from("open"), 0, 100),
        ReadOutcome::Results { .. }
    ));
    assert_eq!((cluster.engine(1).jobs(), cluster.engine(2).jobs()), (1, 1));
}
