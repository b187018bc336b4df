//! Acceptance of jobs, the count of queued tokens, and ends of jobs.

use crate::cluster::{job, routes, terms, Cluster, ROUTE};
use alderhollow_batch::api::{
    EndOutcome, JobOffer, OfferOutcome, Outcome, RouteTerms, RunEnd, SubmissionAttemptId,
    SubmitOutcome,
};
use alderhollow_batch::job::JobId;

#[test]
fn a_job_is_accepted_once_every_member_has_it_on_disk() {
    let mut cluster = Cluster::active(3);
    cluster.stores.get_mut(&3).unwrap().holds_writes = true;
    let SubmitOutcome::Pending(token) = cluster.submit(1, job("a", 2, 10)) else {
        panic!("not taken")
    };
    assert_eq!(cluster.resolved, []);
    assert_eq!(
        cluster.submit(1, job("a", 2, 10)),
        SubmitOutcome::Pending(token),
        "the same job, the same token"
    );
    assert_eq!(
        cluster.work(1, 9),
        [],
        "nothing starts before the acceptance"
    );

    cluster.release_writes(3);
    cluster.run_until_idle();
    assert_eq!(cluster.resolved, [(token, Outcome::Committed)]);
    assert_eq!(
        cluster.submit(1, job("a", 2, 10)),
        SubmitOutcome::AlreadyAccepted
    );
    assert_eq!(cluster.engine(1).waiting_tokens(ROUTE), 20);
}

#[test]
fn commits_wait_for_the_primarys_own_disk() {
    let mut cluster = Cluster::active(2);
    cluster.stores.get_mut(&1).unwrap().holds_writes = true;
    assert!(matches!(
        cluster.submit(1, job("a", 1, 10)),
        SubmitOutcome::Pending(_)
    ));
    assert_eq!(cluster.resolved, []);
    cluster.release_writes(1);
    cluster.run_until_idle();
    assert_eq!(cluster.resolved.len(), 1);
}

#[test]
fn a_pending_acceptance_resolves_as_unknown_on_loss_of_leadership() {
    let mut cluster = Cluster::active(3);
    cluster.stores.get_mut(&3).unwrap().holds_writes = true;
    let SubmitOutcome::Pending(token) = cluster.submit(1, job("a", 1, 10)) else {
        panic!("not taken")
    };
    cluster.set_group(2, 2, &[1, 2], &[]);
    assert_eq!(cluster.resolved, [(token, Outcome::Unknown)]);
    cluster.validate(2);
    assert_eq!(
        cluster.submit(2, job("a", 1, 10)),
        SubmitOutcome::AlreadyAccepted,
        "it stood at the new primary"
    );
}

#[test]
fn a_pending_acceptance_continues_in_the_next_epoch_of_the_same_primary() {
    let mut cluster = Cluster::active(3);
    cluster.stores.get_mut(&3).unwrap().holds_writes = true;
    let SubmitOutcome::Pending(token) = cluster.submit(1, job("a", 1, 10)) else {
        panic!("not taken")
    };
    cluster.set_group(2, 1, &[1, 2], &[]);
    assert_eq!(cluster.resolved, [(token, Outcome::Committed)]);
}

#[test]
fn jobs_over_quota_are_rejected_and_others_accepted() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 3, 300));
    assert_eq!(
        cluster.submit(1, job("b", 1, 101)),
        SubmitOutcome::OverQuota
    );
    cluster.accept(1, job("c", 1, 100));
    assert_eq!(cluster.submit(1, job("d", 1, 1)), SubmitOutcome::OverQuota);
}

#[test]
fn an_unlimited_route_accepts_everything() {
    let mut cluster = Cluster::active(2);
    let now_ms = cluster.now_ms;
    cluster.engine(1).set_routes(
        now_ms,
        2,
        routes(RouteTerms {
            max_queued_tokens: 0,
            ..terms()
        }),
    );
    cluster.accept(1, job("a", 3, u64::MAX / 2));
    cluster.accept(1, job("b", 1, 100));
}

#[test]
fn pending_jobs_count_as_queued() {
    let mut cluster = Cluster::active(2);
    cluster.stores.get_mut(&2).unwrap().holds_writes = true;
    assert!(matches!(
        cluster.submit(1, job("a", 1, 600)),
        SubmitOutcome::Pending(_)
    ));
    assert_eq!(
        cluster.submit(1, job("b", 1, 600)),
        SubmitOutcome::OverQuota
    );
}

#[test]
fn an_item_is_subtracted_from_the_count_once() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 2, 300));
    cluster.accept(1, job("b", 1, 400));
    let starts = cluster.work(1, 1);
    cluster.stores.get_mut(&2).unwrap().holds_writes = true;
    cluster.end_run(
        1,
        starts[0].run,
        RunEnd::Completed {
            text: "t".to_owned(),
        },
    );
    assert_eq!(
        cluster.engine(1).waiting_tokens(ROUTE),
        700,
        "it counts as finished before it is committed"
    );
    cluster.end_run(
        1,
        starts[0].run,
        RunEnd::Completed {
            text: "t".to_owned(),
        },
    );
    cluster.release_writes(2);
    cluster.run_until_idle();
    assert_eq!(cluster.engine(1).waiting_tokens(ROUTE), 700);
    let now_ms = cluster.now_ms;
    cluster.engine(1).end(now_ms, &JobId::from("a"));
    cluster.run_until_idle();
    assert_eq!(cluster.engine(1).waiting_tokens(ROUTE), 400);
}

#[test]
fn a_successor_recounts_queued_tokens() {
    let mut cluster = Cluster::active(3);
    cluster.accept(1, job("a", 2, 300));
    let starts = cluster.work(1, 1);
    cluster.end_run(
        1,
        starts[0].run,
        RunEnd::Completed {
            text: "t".to_owned(),
        },
    );
    cluster.set_group(2, 2, &[2, 3], &[]);
    cluster.validate(2);
    assert_eq!(cluster.engine(2).waiting_tokens(ROUTE), 300);
    assert_eq!(cluster.engine(1).waiting_tokens(ROUTE), 0);
}

#[test]
fn a_late_copy_of_a_rejected_attempt_is_rejected() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 1, 900));
    let now_ms = cluster.now_ms;
    assert_eq!(
        cluster
            .engine(1)
            .submit(now_ms, SubmissionAttemptId(7), job("b", 1, 200)),
        SubmitOutcome::OverQuota
    );
    cluster.engine(1).end(now_ms, &JobId::from("a"));
    cluster.run_until_idle();
    assert_eq!(
        cluster
            .engine(1)
            .submit(now_ms, SubmissionAttemptId(7), job("b", 1, 200)),
        SubmitOutcome::OverQuota
    );
    assert!(matches!(
        cluster
            .engine(1)
            .submit(now_ms, SubmissionAttemptId(8), job("b", 1, 200)),
        SubmitOutcome::Pending(_)
    ));
}

#[test]
fn an_unvalidated_primary_neither_rejects_nor_accepts() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 1, 900));
    cluster.now_ms += 1_000;
    assert_eq!(cluster.submit(1, job("b", 1, 900)), SubmitOutcome::NotSure);
    assert_eq!(cluster.submit(1, job("c", 1, 1)), SubmitOutcome::NotSure);
    assert_eq!(
        cluster.submit(1, job("a", 1, 900)),
        SubmitOutcome::AlreadyAccepted,
        "what is committed stays so"
    );
    assert_eq!(cluster.submit(2, job("c", 1, 1)), SubmitOutcome::NotPrimary);
}

#[test]
fn no_job_is_accepted_with_an_unready_disk_or_for_an_unknown_route() {
    let mut cluster = Cluster::active(2);
    let mut elsewhere = job("a", 1, 1);
    elsewhere.route = "other".to_owned();
    assert_eq!(cluster.submit(1, elsewhere), SubmitOutcome::NotSure);
    cluster.engine(1).set_disk_ready(false);
    assert_eq!(cluster.submit(1, job("a", 1, 1)), SubmitOutcome::NotSure);
}

#[test]
fn no_job_is_accepted_while_members_lag_far_behind() {
    let mut cluster = Cluster::active(2);
    cluster.stores.get_mut(&2).unwrap().holds_writes = true;
    assert!(matches!(
        cluster.submit(1, job("a", 1, 1)),
        SubmitOutcome::Pending(_)
    ));
    cluster.pass(1_900, 1);
    assert!(matches!(
        cluster.submit(1, job("b", 1, 1)),
        SubmitOutcome::Pending(_)
    ));
    cluster.pass(100, 1);
    assert_eq!(cluster.submit(1, job("c", 1, 1)), SubmitOutcome::NotSure);
    assert!(
        matches!(cluster.submit(1, job("a", 1, 1)), SubmitOutcome::Pending(_)),
        "what was taken goes on"
    );
    cluster.release_writes(2);
    cluster.run_until_idle();
    cluster.accept(1, job("c", 1, 1));
}

#[test]
fn an_offer_predicts_the_submission_and_stores_only_rejected_attempts() {
    let mut cluster = Cluster::active(2);
    let id = JobId::from("a");
    let offer = |tokens| JobOffer {
        id: &id,
        route: ROUTE,
        tokens,
    };
    let now_ms = cluster.now_ms;
    assert_eq!(
        cluster
            .engine(2)
            .offer(now_ms, SubmissionAttemptId(1), &offer(1_000)),
        OfferOutcome::NotPrimary
    );
    assert_eq!(
        cluster
            .engine(1)
            .offer(now_ms, SubmissionAttemptId(1), &offer(1_000)),
        OfferOutcome::Welcome
    );
    assert_eq!(cluster.engine(1).waiting_tokens(ROUTE), 0);
    assert_eq!(
        cluster
            .engine(1)
            .offer(now_ms, SubmissionAttemptId(2), &offer(1_001)),
        OfferOutcome::OverQuota
    );
    let late = cluster
        .engine(1)
        .submit(now_ms, SubmissionAttemptId(2), job("a", 1, 1));
    assert_eq!(
        late,
        SubmitOutcome::OverQuota,
        "a late copy of a refused try"
    );
    cluster.stores.get_mut(&2).unwrap().holds_writes = true;
    assert!(matches!(
        cluster.submit(1, job("a", 1, 1_000)),
        SubmitOutcome::Pending(_)
    ));
    assert_eq!(
        cluster
            .engine(1)
            .offer(now_ms, SubmissionAttemptId(3), &offer(1_000)),
        OfferOutcome::NotSure,
        "under way"
    );
    cluster.release_writes(2);
    cluster.run_until_idle();
    assert_eq!(
        cluster
            .engine(1)
            .offer(now_ms, SubmissionAttemptId(3), &offer(1_000)),
        OfferOutcome::AlreadyAccepted
    );
    let later_ms = now_ms + 1_000;
    let other = JobId::from("b");
    let other = JobOffer {
        id: &other,
        route: ROUTE,
        tokens: 1,
    };
    assert_eq!(
        cluster
            .engine(1)
            .offer(later_ms, SubmissionAttemptId(4), &other),
        OfferOutcome::NotSure,
        "not validated"
    );
}

#[test]
fn an_offer_beyond_the_group_limit_is_decided_by_the_coordinator() {
    let mut cluster = Cluster::active(2);
    let id = JobId::from("a");
    let offer = JobOffer {
        id: &id,
        route: ROUTE,
        tokens: 11,
    };
    let now_ms = cluster.now_ms;
    cluster.engine(1).set_quota_limit(ROUTE, Some(10));
    assert_eq!(
        cluster
            .engine(1)
            .offer(now_ms, SubmissionAttemptId(1), &offer),
        OfferOutcome::BeyondLimit
    );
    cluster.engine(1).set_quota_limit(ROUTE, Some(20));
    assert_eq!(
        cluster
            .engine(1)
            .offer(now_ms, SubmissionAttemptId(1), &offer),
        OfferOutcome::Welcome,
        "nothing was remembered"
    );
    assert_eq!(
        cluster
            .engine(1)
            .reject_offer(now_ms, SubmissionAttemptId(1), &offer),
        OfferOutcome::OverQuota
    );
    assert_eq!(
        cluster
            .engine(1)
            .offer(now_ms, SubmissionAttemptId(1), &offer),
        OfferOutcome::OverQuota,
        "from now on"
    );
    assert_eq!(
        cluster
            .engine(1)
            .submit(now_ms, SubmissionAttemptId(1), job("a", 1, 11)),
        SubmitOutcome::OverQuota
    );
}

#[test]
fn an_offer_of_no_tokens_only_checks_whether_the_job_is_known() {
    let mut cluster = Cluster::active(2);
    let (known, other) = (JobId::from("a"), JobId::from("b"));
    let offer = |id| JobOffer {
        id,
        route: ROUTE,
        tokens: 0,
    };
    cluster.accept(1, job("a", 1, 11));
    let now_ms = cluster.now_ms;
    for limit in [0, 10, 11] {
        cluster.engine(1).set_quota_limit(ROUTE, Some(limit));
        assert_eq!(
            cluster
                .engine(1)
                .offer(now_ms, SubmissionAttemptId(90), &offer(&known)),
            OfferOutcome::AlreadyAccepted
        );
        assert_eq!(
            cluster
                .engine(1)
                .offer(now_ms, SubmissionAttemptId(90), &offer(&other)),
            OfferOutcome::Welcome
        );
    }
    cluster.engine(1).set_quota_limit(ROUTE, Some(1_000));
    let submitted = cluster
        .engine(1)
        .submit(now_ms, SubmissionAttemptId(90), job("b", 1, 1));
    assert!(
        matches!(submitted, SubmitOutcome::Pending(_)),
        "no refusal was remembered: {submitted:?}"
    );
}

#[test]
fn jobs_that_exceed_the_limits_are_invalid() {
    let mut cluster = Cluster::active(1);
    assert_eq!(cluster.submit(1, job("a", 0, 1)), SubmitOutcome::Invalid);
    assert_eq!(cluster.submit(1, job("a", 201, 1)), SubmitOutcome::Invalid);
    assert_eq!(cluster.submit(1, job("", 1, 1)), SubmitOutcome::Invalid);
    let mut twice = job("a", 2, 1);
    twice.items[1].id = twice.items[0].id.clone();
    assert_eq!(cluster.submit(1, twice), SubmitOutcome::Invalid);
    cluster.accept(1, job("a", 200, 1));
}

#[test]
fn ending_a_job_cancels_runs_at_once_and_is_acknowledged_when_committed() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 3, 10));
    let starts = cluster.work(1, 2);
    cluster.stores.get_mut(&2).unwrap().holds_writes = true;
    let now_ms = cluster.now_ms;
    let EndOutcome::Pending(token) = cluster.engine(1).end(now_ms, &JobId::from("a")) else {
        panic!()
    };
    cluster.run_until_idle();
    let mut cancelled = cluster.cancelled.clone();
    cancelled.sort();
    assert_eq!(cancelled, [starts[0].run, starts[1].run]);
    assert_eq!(cluster.work(1, 9), []);
    assert!(!cluster.resolved.contains(&(token, Outcome::Committed)));
    assert_eq!(
        cluster.engine(1).end(now_ms, &JobId::from("a")),
        EndOutcome::Pending(token)
    );

    cluster.release_writes(2);
    cluster.run_until_idle();
    assert!(cluster.resolved.contains(&(token, Outcome::Committed)));
    assert_eq!(
        cluster.engine(1).end(now_ms, &JobId::from("a")),
        EndOutcome::AlreadyEnded
    );
    cluster.end_run(
        1,
        starts[0].run,
        RunEnd::Completed {
            text: "late".to_owned(),
        },
    );
    assert_eq!(cluster.results(1, "a"), [], "a late result is not listed");
}

#[test]
fn an_ended_job_remains_ended_at_a_successor() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 3, 10));
    let now_ms = cluster.now_ms;
    cluster.engine(1).end(now_ms, &JobId::from("a"));
    cluster.run_until_idle();
    cluster.set_group(2, 2, &[1, 2], &[]);
    cluster.validate(2);
    assert_eq!(cluster.work(2, 9), []);
    assert_eq!(
        cluster.engine(2).end(now_ms, &JobId::from("a")),
        EndOutcome::AlreadyEnded
    );
    assert_eq!(
        cluster.engine(2).end(now_ms, &JobId::from("b")),
        EndOutcome::NotFound
    );
}

#[test]
fn a_group_limit_replaces_the_routes_limit_and_rejects_nothing() {
    let mut cluster = Cluster::active(2);
    let now_ms = cluster.now_ms;
    cluster.engine(1).set_quota_limit(ROUTE, Some(150));
    assert!(cluster.engine(1).would_fit(ROUTE, 150) && !cluster.engine(1).would_fit(ROUTE, 151));
    assert_eq!(
        cluster
            .engine(1)
            .submit(now_ms, SubmissionAttemptId(7), job("a", 1, 151)),
        SubmitOutcome::NotSure
    );
    assert!(!cluster.engine(1).would_fit("other", 1));

    cluster.engine(1).set_quota_limit(ROUTE, Some(0));
    assert_eq!(
        cluster.submit(1, job("b", 1, 1)),
        SubmitOutcome::NotSure,
        "0 is a limit here"
    );
    cluster.engine(1).set_quota_limit(ROUTE, Some(u64::MAX));
    cluster.accept(1, job("c", 1, 5_000));
    cluster.engine(1).set_quota_limit(ROUTE, None);
    assert!(!cluster.engine(1).would_fit(ROUTE, 1));
    assert_eq!(
        cluster.submit(1, job("d", 1, 1)),
        SubmitOutcome::OverQuota,
        "the terms' own limit again"
    );

    cluster.engine(1).set_quota_limit(ROUTE, Some(u64::MAX));
    let submitted = cluster
        .engine(1)
        .submit(now_ms, SubmissionAttemptId(7), job("a", 1, 151));
    assert!(
        matches!(submitted, SubmitOutcome::Pending(_)),
        "the try was not refused before: {submitted:?}"
    );
}

#[test]
fn rejections_by_the_coordinator_are_remembered() {
    let mut cluster = Cluster::active(2);
    let now_ms = cluster.now_ms;
    cluster.engine(1).set_quota_limit(ROUTE, Some(150));
    assert_eq!(
        cluster
            .engine(1)
            .reject(now_ms, SubmissionAttemptId(7), &job("a", 1, 200)),
        SubmitOutcome::OverQuota
    );
    cluster.engine(1).set_quota_limit(ROUTE, Some(500));
    assert_eq!(
        cluster
            .engine(1)
            .submit(now_ms, SubmissionAttemptId(7), job("a", 1, 200)),
        SubmitOutcome::OverQuota
    );
    assert!(matches!(
        cluster
            .engine(1)
            .submit(now_ms, SubmissionAttemptId(8), job("a", 1, 200)),
        SubmitOutcome::Pending(_)
    ));
}

#[test]
fn a_late_rejection_has_no_effect() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 1, 200));
    let now_ms = cluster.now_ms;
    assert_eq!(
        cluster
            .engine(1)
            .reject(now_ms, SubmissionAttemptId(7), &job("a", 1, 200)),
        SubmitOutcome::AlreadyAccepted
    );
    assert_eq!(
        cluster
            .engine(2)
            .reject(now_ms, SubmissionAttemptId(7), &job("b", 1, 200)),
        SubmitOutcome::NotPrimary
    );
    let later_ms = now_ms + 1_000;
    assert_eq!(
        cluster
            .engine(1)
            .reject(later_ms, SubmissionAttemptId(7), &job("b", 1, 200)),
        SubmitOutcome::NotSure
    );
    assert!(matches!(
        cluster
            .engine(1)
            .submit(now_ms, SubmissionAttemptId(7), job("b", 1, 200)),
        SubmitOutcome::Pending(_)
    ));
}

#[test]
fn the_session_increases_with_each_start_within_an_epoch() {
    let mut cluster = Cluster::active(2);
    assert_eq!(cluster.engine(2).session(), None);
    let before = cluster.engine(1).session().expect("a primary");
    cluster.set_group(2, 1, &[1, 2], &[]);
    let after = cluster.engine(1).session().expect("a primary");
    assert!(after > before, "{after:?}");
}
