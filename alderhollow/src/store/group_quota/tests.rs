//! Quota accounts across configuration changes, and the queue of waiting submissions.

use super::*;
use alderhollow_batch::api::Output;
use alderhollow_batch::job::{Item, ItemRequest, JobId};
use alderhollow_batch::quota::account::{MIN_REJECTION_DELAY_MS, SUBMISSION_TIMEOUT_MS};
use alderhollow_batch::quota::Decision;
use alderhollow_model::identity::{Address, DiskId, Incarnation, NodeInfo, Role};
use alderhollow_model::snapshot::{BatchGroup, GroupMember};
use std::sync::Arc;

const DISK: DiskId = DiskId(1);
const ROUTE: &str = "jobs";
const MAX: u64 = 1_000;
/// Longer than any interval between reports.
const ROUND_MS: u64 = 2_000;

/// Two groups with this store as their only member.
fn control() -> ControlView {
    let node = NodeInfo {
        node: "store-1".to_string(),
        role: Role::Store,
        zone: "a".to_string(),
        incarnation: Incarnation(1),
        disk: Some(DISK),
        internal: Address(([127, 0, 0, 1], 7660).into()),
        control: None,
    };
    let members = vec![GroupMember { disk: DISK, node }];
    let group = Arc::new(BatchGroup {
        epoch: 1,
        primary: DISK,
        members,
        learners: Vec::new(),
    });
    ControlView {
        groups: vec![group.clone(), group],
        ..ControlView::default()
    }
}

fn routes(max_queued_tokens: u64) -> BTreeMap<String, RouteTerms> {
    let terms = RouteTerms {
        run_target_ms: 1_000,
        retention_ms: 10_000,
        max_attempts: 3,
        max_queued_tokens,
    };
    [(ROUTE.to_owned(), terms)].into()
}

/// An engine that leads a group whose epoch is active.
fn active_engine(control: &ControlView) -> Engine {
    let mut engine = Engine::restore(DISK, 0, None, &[]).expect("an engine");
    engine.set_group(0, control.groups[0].clone());
    loop {
        let outputs = engine.take_outputs();
        if outputs.is_empty() {
            return engine;
        }
        for output in outputs {
            if let Output::Write { ticket, .. } = output {
                engine.on_written(0, ticket);
            }
        }
    }
}

/// Sets the route's limit.
fn set_max(quota: &GroupQuota, engine: &mut Engine, now_ms: u64, max: u64) {
    engine.set_routes(now_ms, now_ms, routes(max));
    quota.apply_tables(now_ms, engine, GroupId(0), &control(), &routes(max));
}

#[test]
fn report_ids_keep_increasing_when_a_limit_is_removed_and_restored() {
    let control = control();
    let mut engine = active_engine(&control);
    let quota = GroupQuota::default();
    set_max(&quota, &mut engine, 0, MAX);
    let mut newest = None;
    for round in 0..10 {
        newest = quota
            .advance(round * ROUND_MS, &mut engine, &Waiting::default())
            .pop()
            .or(newest);
    }
    let newest = newest.expect("reports").id;
    assert!(newest.sequence > 1);
    set_max(&quota, &mut engine, 20_000, 0);
    assert!(quota
        .advance(30_000, &mut engine, &Waiting::default())
        .is_empty());
    set_max(&quota, &mut engine, 40_000, MAX);
    let report = quota
        .advance(40_000, &mut engine, &Waiting::default())
        .pop()
        .expect("a report at once");
    assert!(
        report.id > newest,
        "a coordinator would consider {:?} older than {newest:?}",
        report.id
    );
    assert!(
        !engine.would_fit(ROUTE, 1),
        "no job fits before the coordinator has answered"
    );
}

/// A job of one item with a body of this size.
fn job(id: usize, body_bytes: usize) -> NewJob {
    let request = ItemRequest {
        path: "/b/1".to_owned(),
        headers: Vec::new(),
        body: vec![7; body_bytes],
    };
    let item = Item {
        id: format!("item-{id}"),
        tokens: 10,
        request: Some(request),
    };
    NewJob {
        id: JobId(format!("job-{id}")),
        route: ROUTE.to_owned(),
        host: "h.example".to_owned(),
        config_version: 0,
        age_ms: 0,
        items: vec![item],
    }
}

#[test]
fn waiting_submissions_are_limited_in_bytes() {
    const BODY_BYTES: usize = 100_000;
    let control = control();
    let mut engine = active_engine(&control);
    let quota = GroupQuota::default();
    set_max(&quota, &mut engine, 0, MAX);
    let mut queued = Vec::new();
    for id in 0..1_000 {
        queued.extend(quota.queue_job(0, SubmissionAttemptId(id as u64), job(id, BODY_BYTES)));
    }
    assert!(
        queued.len() * BODY_BYTES < MAX_WAITING_BYTES + BODY_BYTES,
        "{} jobs wait",
        queued.len()
    );
    assert!(
        queued.len() * 2 * BODY_BYTES > MAX_WAITING_BYTES,
        "{} jobs wait",
        queued.len()
    );
    quota.withdraw(ROUTE, queued[0].id);
    assert!(
        quota
            .queue_job(0, SubmissionAttemptId(9_999), job(9_999, BODY_BYTES))
            .is_some(),
        "a withdrawn submission frees its bytes"
    );
}

#[test]
fn waiting_offers_count_few_bytes() {
    const BODY_BYTES: usize = 1_000_000;
    let mut engine = active_engine(&control());
    let quota = GroupQuota::default();
    set_max(&quota, &mut engine, 0, MAX);
    let mut jobs = Vec::new();
    for id in 0..8 {
        jobs.extend(quota.queue_job(0, SubmissionAttemptId(id as u64), job(id, BODY_BYTES)));
    }
    assert_eq!(jobs.len(), 8, "the byte limit is not reached");
    let mut offers = Vec::new();
    for id in 0..10_000 {
        let job = JobId(format!("offered-{id}"));
        let offer = JobOffer {
            id: &job,
            route: ROUTE,
            tokens: 10,
        };
        offers.extend(quota.queue_offer(0, SubmissionAttemptId(100 + id), &offer));
    }
    assert!(
        offers.len() >= 100,
        "{} offers wait beside the jobs",
        offers.len()
    );
    assert!(offers.len() < 10_000, "offers are limited too");
    quota.withdraw(ROUTE, jobs[0].id);
    let job = JobId("last".to_owned());
    let offer = JobOffer {
        id: &job,
        route: ROUTE,
        tokens: 10,
    };
    assert!(
        quota
            .queue_offer(0, SubmissionAttemptId(1), &offer)
            .is_some(),
        "a withdrawn submission frees its bytes"
    );
}

/// A group with one queued offer, for which its account has sent a report.
struct QueuedOffer {
    engine: Engine,
    quota: GroupQuota,
    report: QuotaReport,
    answer: oneshot::Receiver<OfferOutcome>,
}

const OFFER_ATTEMPT: SubmissionAttemptId = SubmissionAttemptId(5);

fn with_offer(tokens: u64, check: impl FnOnce(&JobOffer)) {
    check(&JobOffer {
        id: &JobId("job-1".to_owned()),
        route: ROUTE,
        tokens,
    });
}

impl QueuedOffer {
    fn new(tokens: u64) -> QueuedOffer {
        let mut engine = active_engine(&control());
        engine.set_validated_until(1_000_000);
        engine.set_disk_ready(true);
        let quota = GroupQuota::default();
        set_max(&quota, &mut engine, 0, MAX);
        let mut queued = None;
        with_offer(tokens, |offer| {
            assert_eq!(
                engine.offer(0, OFFER_ATTEMPT, offer),
                OfferOutcome::BeyondLimit
            );
            queued = quota.queue_offer(0, OFFER_ATTEMPT, offer);
        });
        let report = quota
            .advance(0, &mut engine, &Waiting::default())
            .pop()
            .expect("a report");
        assert_eq!(report.wanted, [tokens]);
        let answer = queued.expect("the offer is queued").answer;
        QueuedOffer {
            engine,
            quota,
            report,
            answer,
        }
    }

    /// Answers the report as the coordinator.
    fn grant(&mut self, now_ms: u64, limit: u64, available: u64) {
        let decision = Decision::Counted {
            limit,
            available,
            is_contended: false,
        };
        let (coordinator, report) = (self.report.coordinator, self.report.id);
        let grant = QuotaGrant {
            coordinator,
            report,
            decision,
            reading: None,
        };
        self.quota
            .on_grant_received(now_ms, &mut self.engine, &Waiting::default(), ROUTE, &grant);
    }
}

#[test]
fn an_offer_that_fits_the_grant_is_welcome_and_reserves_nothing() {
    let mut queued = QueuedOffer::new(10);
    queued.grant(10, 10, 10);
    assert_eq!(queued.answer.try_recv(), Ok(OfferOutcome::Welcome));
    assert_eq!(queued.engine.waiting_tokens(ROUTE), 0);
    let answered = submit_now(
        &mut queued.engine,
        10,
        &Waiting::default(),
        OFFER_ATTEMPT,
        job(1, 10),
    );
    assert!(
        matches!(answered.submitted, SubmitOutcome::Pending(_)),
        "{answered:?}"
    );
}

#[test]
fn an_offer_over_the_routes_limit_is_rejected_with_its_attempt() {
    let mut queued = QueuedOffer::new(10);
    queued.grant(MIN_REJECTION_DELAY_MS, 0, 0);
    assert_eq!(queued.answer.try_recv(), Ok(OfferOutcome::OverQuota));
    with_offer(10, |offer| {
        assert_eq!(
            queued
                .engine
                .offer(MIN_REJECTION_DELAY_MS, OFFER_ATTEMPT, offer),
            OfferOutcome::OverQuota
        );
    });
    let late = submit_now(
        &mut queued.engine,
        MIN_REJECTION_DELAY_MS,
        &Waiting::default(),
        OFFER_ATTEMPT,
        job(1, 10),
    );
    assert_eq!(
        late.submitted,
        SubmitOutcome::OverQuota,
        "a late submission of a rejected attempt"
    );
}

#[test]
fn an_offer_without_a_timely_answer_or_of_an_ended_session_is_not_sure() {
    let mut queued = QueuedOffer::new(10);
    queued.quota.advance(
        SUBMISSION_TIMEOUT_MS,
        &mut queued.engine,
        &Waiting::default(),
    );
    assert_eq!(queued.answer.try_recv(), Ok(OfferOutcome::NotSure));
    assert!(!queued.quota.has_waiting());

    let mut queued = QueuedOffer::new(10);
    queued.quota.end_session();
    assert_eq!(queued.answer.try_recv(), Ok(OfferOutcome::NotSure));
}
