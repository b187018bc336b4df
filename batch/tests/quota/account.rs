//! Reports, limits and outcomes of a quota account.

use crate::coordinator::{ID, MAX};
use alderhollow_batch::quota::account::SUBMISSION_TIMEOUT_MS;
use alderhollow_batch::quota::account::{
    ACTIVE_PERIOD_MS, ANSWER_TIMEOUT_MS, CONTENDED_PERIOD_MS, IDLE_PERIOD_MS,
    MIN_REJECTION_DELAY_MS,
};
use alderhollow_batch::quota::{
    Account, Coordinator, CoordinatorId, Decision, QuotaGrant, QuotaOutcome, QuotaReport,
    ResolvedSubmission, SubmissionId,
};

const A: SubmissionId = SubmissionId(1);
const B: SubmissionId = SubmissionId(2);
const C: SubmissionId = SubmissionId(3);

/// An account that knows its coordinator and was just granted `limit` tokens.
fn account(limit: u64) -> Account {
    let mut account = new_account();
    let report = account.next_report(0, 0).expect("a first report");
    account.on_grant(0, 0, &answer(&report, Decision::Unsure));
    let report = account
        .next_report(0, 0)
        .expect("a report to the incarnation");
    account.on_grant(0, 0, &counted(&report, limit, MAX));
    account
}

fn new_account() -> Account {
    let mut account = Account::new(3, 7, 1, "route".to_owned(), ID.epoch);
    account.set_max(0, MAX);
    account
}

fn answer(report: &QuotaReport, decision: Decision) -> QuotaGrant {
    QuotaGrant {
        coordinator: ID,
        report: report.id,
        decision,
        reading: None,
    }
}

fn counted(report: &QuotaReport, limit: u64, available: u64) -> QuotaGrant {
    answer(
        report,
        Decision::Counted {
            limit,
            available,
            is_contended: false,
        },
    )
}

fn resolved(submission: SubmissionId, outcome: QuotaOutcome) -> ResolvedSubmission {
    ResolvedSubmission {
        submission,
        outcome,
    }
}

#[test]
fn nothing_is_admitted_before_a_grant() {
    let account = new_account();
    assert!(!account.fits(0, 1));
    assert_eq!(account.limit(), Some(0));
}

#[test]
fn a_successors_limit_is_zero_until_its_coordinator_answers() {
    let mut account = new_account();
    let report = account.next_report(0, 500).expect("at once");
    assert!(
        !account.fits(400, 1),
        "others may have been given what has ended"
    );
    account.on_grant(0, 500, &answer(&report, Decision::Unsure));
    let report = account.next_report(0, 400).expect("at once");
    account.on_grant(0, 400, &counted(&report, 300, 0));
    assert!(!account.fits(300, 1) && account.fits(299, 1));
}

#[test]
fn an_unlimited_account_needs_no_coordinator() {
    let mut account = new_account();
    account.set_max(0, 0);
    assert!(account.fits(u64::MAX, u64::MAX));
    assert_eq!((account.limit(), account.next_due_ms(5)), (None, None));
    assert_eq!(account.next_report(9_999, 5), None);
    account.request(0, A, 10);
    assert_eq!(
        account.resolve_waiting(0, 0),
        [resolved(A, QuotaOutcome::Fits)]
    );
}

#[test]
fn the_coordinators_incarnation_is_taken_from_the_first_answer() {
    let mut account = new_account();
    let first = account.next_report(0, 0).expect("it reports at once");
    assert_eq!(
        first.coordinator,
        CoordinatorId {
            epoch: ID.epoch,
            session: 0
        }
    );
    let early = counted(&first, 500, 500);
    account.on_grant(1, 0, &early);
    assert!(
        !account.fits(0, 1),
        "it was not addressed to this incarnation"
    );
    let second = account.next_report(1, 0).expect("it asks again at once");
    assert_eq!(second.coordinator, ID);
}

#[test]
fn unused_grants_are_returned_by_the_next_report() {
    let mut account = account(500);
    assert!(account.fits(400, 100) && !account.fits(400, 101));
    let report = account.next_report(ACTIVE_PERIOD_MS, 200).expect("due");
    assert_eq!(report.used, 200);
    assert!(!account.fits(200, 1));
    assert!(
        account.fits(150, 50),
        "what became free meanwhile is counted"
    );
}

#[test]
fn only_the_answer_to_the_newest_report_is_applied_and_only_once() {
    let mut account = account(0);
    let first = account.next_report(IDLE_PERIOD_MS, 0).expect("due");
    account.on_answer_lost(IDLE_PERIOD_MS, first.id);
    let second = account.next_report(2 * IDLE_PERIOD_MS, 0).expect("due");
    assert!(second.id > first.id);
    account.on_grant(2_000, 0, &counted(&first, 500, MAX));
    assert!(!account.fits(0, 1), "a late answer");
    account.on_grant(2_000, 0, &counted(&second, 500, MAX));
    assert!(account.fits(0, 500));
    account.next_report(2_500, 0).expect("due");
    account.on_grant(2_500, 0, &counted(&second, 500, MAX));
    assert!(!account.fits(0, 1), "a copy of an answer");
}

#[test]
fn an_answer_of_an_earlier_coordinator_is_ignored() {
    let mut account = account(500);
    account.set_coordinator_epoch(100, ID.epoch + 1);
    let report = account.next_report(100, 0).expect("at once");
    assert_eq!(
        report.coordinator,
        CoordinatorId {
            epoch: ID.epoch + 1,
            session: 0
        }
    );
    account.on_grant(100, 0, &counted(&report, 500, MAX));
    assert!(!account.fits(0, 1));
    account.set_coordinator_epoch(200, ID.epoch);
    let next = account.next_report(900, 0).expect("due");
    assert_eq!(
        next.coordinator.epoch,
        ID.epoch + 1,
        "the address never falls"
    );
}

#[test]
fn one_report_is_pending_at_a_time_and_times_out() {
    let mut account = account(0);
    let first = account.next_report(IDLE_PERIOD_MS, 0).expect("due");
    let late_ms = IDLE_PERIOD_MS + ANSWER_TIMEOUT_MS;
    assert_eq!(account.next_due_ms(0), Some(late_ms));
    assert_eq!(account.next_report(late_ms - 1, 0), None);
    let second = account
        .next_report(late_ms, 0)
        .expect("the first report timed out");
    assert_eq!(second.id.sequence, first.id.sequence + 1);
    assert_eq!(account.counters().lost, 1);
}

#[test]
fn reports_are_frequent_while_something_changes() {
    let mut idle = account(0);
    assert_eq!(idle.next_due_ms(0), Some(IDLE_PERIOD_MS));
    assert_eq!(idle.next_report(IDLE_PERIOD_MS - 1, 0), None);
    assert_eq!(
        account(1).next_due_ms(0),
        Some(ACTIVE_PERIOD_MS),
        "something to return"
    );
    let report = idle.next_report(IDLE_PERIOD_MS, 0).expect("due");
    let contended = Decision::Counted {
        limit: 1,
        available: 1,
        is_contended: true,
    };
    idle.on_grant(IDLE_PERIOD_MS, 0, &answer(&report, contended));
    assert_eq!(
        idle.next_due_ms(0),
        Some(IDLE_PERIOD_MS + CONTENDED_PERIOD_MS),
        "others wait for it"
    );
    assert!(
        account(0).next_report(ACTIVE_PERIOD_MS, 7).is_some(),
        "what is used has changed"
    );
}

#[test]
fn a_submission_is_reported_at_once_and_admitted() {
    let mut account = account(100);
    account.request(10, A, 300);
    account.request(10, B, 50);
    assert_eq!(account.next_due_ms(100), Some(10));
    let report = account.next_report(10, 100).expect("at once");
    assert_eq!(
        (report.used, report.wanted.as_slice()),
        (100, [300, 50].as_slice())
    );
    let fits = [
        resolved(A, QuotaOutcome::Fits),
        resolved(B, QuotaOutcome::Fits),
    ];
    assert_eq!(account.on_grant(12, 100, &counted(&report, 450, 900)), fits);
    account.record_accepted(450);
    assert_eq!(account.counters().violations, 0);
    account.record_accepted(451);
    assert_eq!(account.counters().violations, 1);
}

#[test]
fn submissions_beyond_the_available_tokens_are_rejected_and_others_requested_again() {
    let mut account = account(0);
    account.request(10, A, 300);
    account.request(10, B, 500);
    account.request(10, C, 700);
    let report = account.next_report(10, 0).expect("at once");
    let fits = [resolved(A, QuotaOutcome::Fits)];
    assert_eq!(account.on_grant(12, 0, &counted(&report, 400, 850)), fits);
    let due_ms = account.next_due_ms(300).expect("it asks again");
    assert!((12 + 30..12 + 60).contains(&due_ms), "{due_ms}");
    let again = account.next_report(due_ms, 300).expect("due");
    assert_eq!(
        (again.wanted.as_slice(), again.rejected_total),
        ([500, 700].as_slice(), 0)
    );
    let late_ms = 10 + MIN_REJECTION_DELAY_MS;
    let refused = [resolved(C, QuotaOutcome::OverQuota)];
    assert_eq!(
        account.on_grant(late_ms, 300, &counted(&again, 300, 500)),
        refused
    );
    let last = account.next_report(late_ms + 100, 300).expect("due");
    assert_eq!(
        (last.wanted.as_slice(), last.rejected_total),
        ([500].as_slice(), 700)
    );
    let refused = [resolved(B, QuotaOutcome::OverQuota)];
    assert_eq!(
        account.on_grant(late_ms + 101, 300, &counted(&last, 300, 499)),
        refused
    );
}

#[test]
fn nothing_within_the_limit_is_rejected_before_other_groups_have_reported() {
    let mut account = account(0);
    account.request(10, A, MAX);
    account.request(10, B, MAX + 1);
    let report = account.next_report(10, 0).expect("at once");
    let refused = [resolved(B, QuotaOutcome::OverQuota)];
    let just_before_ms = 9 + MIN_REJECTION_DELAY_MS;
    assert_eq!(
        account.on_grant(just_before_ms, 0, &counted(&report, 0, 0)),
        refused
    );
}

#[test]
fn a_submission_added_after_the_report_is_not_rejected_by_its_answer() {
    let mut account = account(0);
    account.request(10, A, 300);
    let report = account.next_report(10, 0).expect("at once");
    account.request(11, B, 900);
    let late_ms = 11 + MIN_REJECTION_DELAY_MS;
    let ends = [resolved(A, QuotaOutcome::OverQuota)];
    assert_eq!(
        account.on_grant(late_ms, 0, &counted(&report, 0, 100)),
        ends
    );
    assert_eq!(
        account.next_due_ms(0),
        Some(late_ms),
        "it is reported at once"
    );
}

#[test]
fn every_waiting_submission_times_out() {
    let mut account = account(0);
    account.request(10, A, 300);
    account.request(10, B, 300);
    account.withdraw(B);
    account.next_report(10, 0).expect("at once");
    assert_eq!(account.resolve_waiting(9 + SUBMISSION_TIMEOUT_MS, 0), []);
    let end = [resolved(A, QuotaOutcome::Unsure)];
    assert_eq!(account.resolve_waiting(10 + SUBMISSION_TIMEOUT_MS, 0), end);
}

#[test]
fn after_a_limit_change_nothing_is_admitted_until_the_coordinator_answers() {
    let mut account = account(500);
    account.set_max(20, MAX);
    assert!(account.fits(0, 500), "no change");
    account.set_max(20, MAX - 1);
    assert!(!account.fits(0, 1));
    let report = account.next_report(20, 0).expect("at once");
    account.on_grant(21, 0, &counted(&report, 400, 400));
    assert!(account.fits(0, 400));
}

#[test]
fn a_limit_changed_during_a_pending_report_is_not_overwritten_by_its_answer() {
    let mut account = account(500);
    let report = account.next_report(ACTIVE_PERIOD_MS, 0).expect("due");
    account.set_max(260, MAX / 2);
    account.on_grant(270, 0, &counted(&report, MAX, MAX));
    assert!(
        !account.fits(0, 1),
        "it was granted under the earlier limit"
    );
}

#[test]
fn an_account_of_a_readded_route_continues_the_report_numbering() {
    let mut coordinator = Coordinator::new(ID, vec![1]);
    let mut earlier = Account::new(0, 7, 1, "route".to_owned(), ID.epoch);
    earlier.set_max(0, MAX);
    let mut late_report = None;
    for round in 0..20 {
        let now_ms = round * ANSWER_TIMEOUT_MS;
        if let Some(report) = earlier.next_report(now_ms, 0) {
            earlier.on_grant(now_ms, 0, &coordinator.report(now_ms, MAX, &report));
            late_report = Some(report);
        }
    }
    let late_report = late_report.expect("reports");
    // The limit is removed and added again within the session; a report from before arrives late.
    coordinator.retain_routes(|_| false);
    let mut account = Account::following(&earlier, ID.epoch);
    account.set_max(0, MAX);
    coordinator.report(0, MAX, &late_report);
    let report = account.next_report(0, 10).expect("at once");
    account.on_grant(0, 10, &coordinator.report(0, MAX, &report));
    let report = account
        .next_report(0, 10)
        .expect("at once, to the incarnation");
    account.on_grant(0, 10, &coordinator.report(0, MAX, &report));
    assert!(account.limit() >= Some(10), "{account:?}");
}
