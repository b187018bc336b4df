//! The unit tests of this crate share the metrics of one process: no other unit test may count bytes of the batch or
//! replication service.

use super::{Activity, StoreSummary, LOG_INTERVAL};
use alderhollow_batch::api::{Outcome, Token};
use alderhollow_batch::counts::{EngineCounts, ReplicationCounts};
use alderhollow_model::snapshot::GroupId;
use std::time::Duration;
use tokio::time::advance;

const LONGEST_SYNC: Duration = Duration::from_millis(7);

fn counts(items_listed: u64, retries: u64) -> EngineCounts {
    EngineCounts {
        items_listed,
        replication: ReplicationCounts {
            retries,
            ..ReplicationCounts::default()
        },
    }
}

const GROUP: GroupId = GroupId(3);

fn summary(waiting: usize, running: usize) -> StoreSummary {
    StoreSummary {
        groups: 4,
        led: 2,
        active: 1,
        newest_epoch: 7,
        waiting,
        running,
    }
}

#[tokio::test(start_paused = true)]
async fn a_line_reports_its_interval_and_none_is_logged_when_idle() {
    let activity = Activity::default();
    activity.add_engine_counts(counts(10, 1));
    activity.set_summary(summary(0, 0));
    assert_eq!(
        activity.line_if_due(|| LONGEST_SYNC),
        None,
        "the first call starts the interval"
    );

    activity.add_engine_counts(counts(3, 2));
    activity.set_summary(summary(5, 2));
    for (token, commit_ms) in [(1, 30), (2, 40), (3, 900)] {
        assert!(activity.record_accepted(GROUP, Token(token)));
        assert!(
            !activity.record_accepted(GROUP, Token(token)),
            "it is already recorded"
        );
        assert!(
            activity.record_accepted(GroupId(4), Token(token)),
            "the same token in another group"
        );
        activity.record_resolved(GroupId(4), Token(token), Outcome::Unknown);
        advance(Duration::from_millis(commit_ms)).await;
        activity.record_resolved(GROUP, Token(token), Outcome::Committed);
    }
    assert_eq!(
        activity.line_if_due(|| LONGEST_SYNC),
        None,
        "the interval has not passed"
    );
    advance(LOG_INTERVAL).await;
    let line = activity.line_if_due(|| LONGEST_SYNC).expect("a line");
    for expected in [
        "listed 3,",
        "retries 2,",
        "waiting 5, running 2,",
        "groups 4, led 2, active 1, newest epoch 7,",
        "commit p50 40 ms max 900 ms,",
        "sync max 7 ms",
    ] {
        assert!(
            line.contains(expected),
            "`{expected}` is missing in `{line}`"
        );
    }

    activity.set_summary(summary(0, 0));
    advance(LOG_INTERVAL).await;
    assert_eq!(activity.line_if_due(|| LONGEST_SYNC), None, "idle");
}

#[tokio::test(start_paused = true)]
async fn an_unknown_outcome_is_not_counted_as_a_commit() {
    let activity = Activity::default();
    assert!(activity.record_accepted(GROUP, Token(1)));
    activity.record_resolved(GROUP, Token(1), Outcome::Unknown);
    assert!(activity.commits.borrow().times.is_empty());
    assert!(activity.pending.borrow().is_empty());
}
