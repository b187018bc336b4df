//! All tests of this crate's parts share the process's metrics: none of the others may move bytes of batch jobs or of replication.

use super::{Activity, LOG_PERIOD};
use alderhollow_batch::api::{GroupStatus, Outcome, Token};
use alderhollow_batch::counts::{EngineCounts, ReplicationCounts};
use std::time::Duration;
use tokio::time::advance;

const SYNC: Duration = Duration::from_millis(7);

fn counts(items_listed: u64, retries: u64) -> EngineCounts {
    EngineCounts { items_listed, replication: ReplicationCounts { retries, ..ReplicationCounts::default() } }
}

fn status() -> GroupStatus {
    GroupStatus { epoch: 4, primary: true, active: true, ..GroupStatus::default() }
}

#[tokio::test(start_paused = true)]
async fn a_line_tells_what_was_done_in_its_period_and_none_comes_when_idle() {
    let activity = Activity::default();
    activity.publish(&status(), counts(10, 1), (0, 0));
    assert_eq!(activity.line_if_due(|| SYNC), None, "the first look begins the period");

    activity.publish(&status(), counts(13, 3), (5, 2));
    for (token, commit_ms) in [(1, 30), (2, 40), (3, 900)] {
        assert!(activity.accepted(Token(token)));
        assert!(!activity.accepted(Token(token)), "it is known");
        advance(Duration::from_millis(commit_ms)).await;
        activity.resolved(Token(token), Outcome::Committed);
    }
    assert_eq!(activity.line_if_due(|| SYNC), None, "too early");
    advance(LOG_PERIOD).await;
    let line = activity.line_if_due(|| SYNC).expect("a line");
    for part in [
        "listed 3,",
        "retries 2,",
        "waiting 5, running 2,",
        "commit p50 40 ms max 900 ms,",
        "sync max 7 ms, epoch 4, active true",
    ] {
        assert!(line.contains(part), "`{part}` is missing in `{line}`");
    }

    activity.publish(&status(), counts(13, 3), (0, 0));
    advance(LOG_PERIOD).await;
    assert_eq!(activity.line_if_due(|| SYNC), None, "idle");
}

#[tokio::test(start_paused = true)]
async fn an_unknown_end_is_no_commit() {
    let activity = Activity::default();
    assert!(activity.accepted(Token(1)));
    activity.resolved(Token(1), Outcome::Unknown);
    assert!(activity.commits.borrow().times.is_empty());
    assert!(activity.pending.borrow().is_empty());
}
