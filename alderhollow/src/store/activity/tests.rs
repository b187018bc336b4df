//! All tests of this crate's parts share the process's metrics: none of the others may move bytes of batch jobs or of replication.

use super::{Activity, StoreSummary, LOG_PERIOD};
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
    activity.engine_counted(counts(10, 1));
    activity.note_part(part(0, 0));
    assert_eq!(
        activity.line_if_due(|| SYNC),
        None,
        "the first look begins the period"
    );

    activity.engine_counted(counts(3, 2));
    activity.note_part(part(5, 2));
    for (token, commit_ms) in [(1, 30), (2, 40), (3, 900)] {
        assert!(activity.accepted(GROUP, Token(token)));
        assert!(!activity.accepted(GROUP, Token(token)), "it is known");
        assert!(
            activity.accepted(GroupId(4), Token(token)),
            "another group's"
        );
        activity.resolved(GroupId(4), Token(token), Outcome::Unknown);
        advance(Duration::from_millis(commit_ms)).await;
        activity.resolved(GROUP, Token(token), Outcome::Committed);
    }
    assert_eq!(activity.line_if_due(|| SYNC), None, "too early");
    advance(LOG_PERIOD).await;
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

    activity.note_part(part(0, 0));
    advance(LOG_PERIOD).await;
    assert_eq!(activity.line_if_due(|| SYNC), None, "idle");
}

#[tokio::test(start_paused = true)]
async fn an_unknown_end_is_no_commit() {
    let activity = Activity::default();
    assert!(activity.accepted(GROUP, Token(1)));
    activity.resolved(GROUP, Token(1), Outcome::Unknown);
    assert!(activity.commits.borrow().times.is_empty());
    assert!(activity.pending.borrow().is_empty());
}
