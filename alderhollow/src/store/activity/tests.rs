//! All tests of this crate's parts share the process's metrics: none of the others may move bytes of batch jobs or of replication.

use super::{Activity, StoreSummary, LOG_INTERVAL};
use alderhollow_batch::api::{Outcome, Token};
use alderhollow_batch::counts::{EngineCounts, ReplicationCounts};
use alderhollow_model::snapshot::GroupId;
use std::time::Duration;
use tokio::time::advance;

const SYNC: Duration = Duration::from_millis(7);

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

fn part(waiting: usize, running: usize) -> StoreSummary {
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
async fn a_line_tells_what_was_done_in_its_period_and_none_comes_when_idle() {
    let activity = Activity::default();
    activity.add_engine_counts(counts(10, 1));
    activity.set_summary(part(0, 0));
    assert_eq!(
        activity.line_if_due(|| SYNC),
        None,
        "the first look begins the period"
    );

    activity.add_engine_counts(counts(3, 2));
    activity.set_summary(part(5, 2));
    for (token, commit_ms) in [(1, 30), (2, 40), (3, 900)] {
        assert!(activity.record_accepted(GROUP, Token(token)));
        assert!(
            !activity.record_accepted(GROUP, Token(token)),
            "it is known"
        );
        assert!(
            activity.record_accepted(GroupId(4), Token(token)),
            "another group's"
        );
        activity.record_resolved(GroupId(4), Token(token), Outcome::Unknown);
        advance(Duration::from_millis(commit_ms)).await;
        activity.record_resolved(GROUP, Token(token), Outcome::Committed);
    }
    assert_eq!(activity.line_if_due(|| SYNC), None, "too early");
    advance(LOG_INTERVAL).await;
    let line = activity.line_if_due(|| SYNC).expect("a line");
    for part in [
        "listed 3,",
        "retries 2,",
        "waiting 5, running 2,",
        "groups 4, led 2, active 1, newest epoch 7,",
        "commit p50 40 ms max 900 ms,",
        "sync max 7 ms",
    ] {
        assert!(line.contains(part), "`{part}` is missing in `{line}`");
    }

    activity.set_summary(part(0, 0));
    advance(LOG_INTERVAL).await;
    assert_eq!(activity.line_if_due(|| SYNC), None, "idle");
}

#[tokio::test(start_paused = true)]
async fn an_unknown_end_is_no_commit() {
    let activity = Activity::default();
    assert!(activity.record_accepted(GROUP, Token(1)));
    activity.record_resolved(GROUP, Token(1), Outcome::Unknown);
    assert!(activity.commits.borrow().times.is_empty());
    assert!(activity.pending.borrow().is_empty());
}
