//! Epochs, streams and synchronization of stores.

use crate::cluster::{group, job, routes, terms, Cluster};
use alderhollow_batch::api::{RouteTerms, RunEnd, SubmitOutcome};
use alderhollow_batch::counts::ReplicationCounts;
use alderhollow_batch::engine::Engine;
use alderhollow_batch::message::{Message, MESSAGE_BYTES};
use alderhollow_batch::records::{Entry, StreamId};
use alderhollow_batch::state::State;
use alderhollow_model::identity::DiskId;
use std::sync::Arc;

/// The jobs restored from a store's disk, without its replication progress.
fn jobs_on_disk(cluster: &Cluster, store: u64) -> Vec<(String, u64)> {
    let state = State::restore(cluster.now_ms, None, &cluster.stores[&store].records)
        .expect("a disk that can be read");
    state
        .jobs
        .values()
        .map(|job| (job.accepted.id.0.clone(), job.digest()))
        .collect()
}

/// The messages that one store sent to another.
fn sent(cluster: &Cluster, from: u64, to: u64) -> Vec<Message> {
    let sent = cluster
        .sent
        .iter()
        .filter(|(sender, receiver, _)| (*sender, *receiver) == (from, to));
    sent.map(|(_, _, message)| message.clone()).collect()
}

#[test]
fn a_store_rejects_streams_below_the_epoch_decided_by_the_core() {
    let mut cluster = Cluster::active(3);
    cluster.partitioned.insert(1);
    let next_group = Arc::new(group(2, 2, &[2, 3], &[]));
    let now_ms = cluster.now_ms;
    cluster.engine(3).set_group(now_ms, next_group);
    cluster.partitioned.remove(&1);
    let SubmitOutcome::Pending(_) = cluster.submit(1, job("a", 1, 1)) else {
        panic!("not taken")
    };
    assert_eq!(cluster.resolved, []);
    assert!(jobs_on_disk(&cluster, 3).is_empty());
    assert!(matches!(
        sent(&cluster, 3, 1).last(),
        Some(Message::Rejected { .. })
    ));
    assert!(
        !cluster.engine(1).status(now_ms).active,
        "the old primary knows now"
    );
}

#[test]
fn a_superseded_primary_schedules_no_timer() {
    let mut cluster = Cluster::active(3);
    let next_group = Arc::new(group(2, 2, &[2, 3], &[]));
    let now_ms = cluster.now_ms;
    cluster.engine(3).set_group(now_ms, next_group);
    let SubmitOutcome::Pending(_) = cluster.submit(1, job("a", 1, 1)) else {
        panic!("not taken")
    };
    cluster.pass(3_000, 1);
    let now_ms = cluster.now_ms;
    assert!(!cluster.engine(1).status(now_ms).active);
    let next_ms = cluster.engine(1).next_timer_ms();
    assert!(
        next_ms.is_none_or(|at_ms| at_ms > now_ms),
        "{next_ms:?} is due at {now_ms} and stays so"
    );
}

#[test]
fn a_restarted_store_does_not_follow_its_earlier_streams() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 1, 1));
    let stream = StreamId {
        epoch: 1,
        session: 1,
        attempt: 1,
    };
    let drop_it = Message::Entries {
        stream,
        first: 1,
        entries: vec![Entry::JobForgotten("a".into())],
    };
    let compare = Message::Compare {
        stream,
        after: None,
        until: None,
        digests: Vec::new(),
    };
    cluster.restart(2);
    cluster.deliver(1, 2, compare);
    cluster.deliver(1, 2, drop_it);
    cluster.run_until_idle();
    assert_eq!(jobs_on_disk(&cluster, 2).len(), 1);
    let answers = sent(&cluster, 2, 1);
    assert!(answers
        .iter()
        .any(|answer| matches!(answer, Message::NotFollowing { .. })));
    cluster.accept(1, job("b", 1, 1));
    assert_eq!(jobs_on_disk(&cluster, 1), jobs_on_disk(&cluster, 2));
}

#[test]
fn late_messages_of_an_earlier_session_are_rejected() {
    let mut cluster = Cluster::active(2);
    cluster.restart(1);
    cluster.set_group(1, 1, &[1, 2], &[]);
    cluster.validate(1);
    cluster.accept(1, job("a", 1, 1));
    let stream = StreamId {
        epoch: 1,
        session: 1,
        attempt: 9,
    };
    cluster.deliver(
        1,
        2,
        Message::Compare {
            stream,
            after: None,
            until: None,
            digests: Vec::new(),
        },
    );
    cluster.deliver(
        1,
        2,
        Message::Entries {
            stream,
            first: 1,
            entries: vec![Entry::JobForgotten("a".into())],
        },
    );
    cluster.run_until_idle();
    assert_eq!(jobs_on_disk(&cluster, 2).len(), 1);
    assert!(matches!(
        sent(&cluster, 2, 1).last(),
        Some(Message::Rejected { .. })
    ));
}

#[test]
fn a_new_epoch_sends_only_differing_jobs_and_deletes_jobs_the_primary_lacks() {
    let mut cluster = Cluster::active(3);
    for number in 0..20 {
        cluster.accept(1, job(&format!("same{number}"), 2, 1));
    }
    // Store 1 appends a job that reaches no other store; meanwhile store 2 leads and accepts others.
    cluster.partitioned.insert(1);
    cluster.submit(1, job("lost", 1, 1));
    cluster.set_group(2, 2, &[2, 3], &[]);
    cluster.validate(2);
    cluster.accept(2, job("new", 1, 1));
    for start in cluster.work(2, 2) {
        cluster.end_run(
            2,
            start.run,
            RunEnd::Completed {
                text: "text".to_owned(),
            },
        );
    }
    cluster.partitioned.remove(&1);
    cluster.sent.clear();
    cluster.set_group(3, 2, &[2, 3], &[1]);
    assert_eq!(jobs_on_disk(&cluster, 1), jobs_on_disk(&cluster, 2));
    assert_eq!(jobs_on_disk(&cluster, 1).len(), 21);
    let entries = sent(&cluster, 2, 1)
        .into_iter()
        .filter_map(|message| match message {
            Message::Entries { entries, .. } => Some(entries),
            _ => None,
        });
    let entries: Vec<Entry> = entries.flatten().collect();
    let full_jobs = entries
        .iter()
        .filter(|entry| matches!(entry, Entry::FullJob(_)))
        .count();
    let dropped: Vec<&Entry> = entries
        .iter()
        .filter(|entry| matches!(entry, Entry::JobForgotten(_)))
        .collect();
    assert_eq!(full_jobs, 2, "the new one and the one with a result");
    assert_eq!(dropped, [&Entry::JobForgotten("lost".into())]);
    let now_ms = cluster.now_ms;
    assert_eq!(cluster.engine(2).status(now_ms).in_sync, [DiskId(1)]);
}

#[test]
fn commits_do_not_wait_for_learners() {
    let mut cluster = Cluster::active(2);
    cluster.start(3, Vec::new());
    cluster.accept(1, job("a", 1, 1));
    cluster.set_group(2, 1, &[1, 2], &[3]);
    let now_ms = cluster.now_ms;
    assert_eq!(cluster.engine(1).status(now_ms).in_sync, [DiskId(3)]);
    cluster.partitioned.insert(3);
    cluster.accept(1, job("b", 1, 1));
    assert_eq!(cluster.engine(1).status(now_ms).in_sync, []);
    assert_eq!(cluster.engine(1).status(now_ms).silent, []);
    cluster.partitioned.remove(&3);
    cluster.pass(3_000, 1);
    assert_eq!(jobs_on_disk(&cluster, 1), jobs_on_disk(&cluster, 3));
    let now_ms = cluster.now_ms;
    assert_eq!(cluster.engine(1).status(now_ms).in_sync, [DiskId(3)]);
}

#[test]
fn a_store_reports_synced_only_after_it_is_on_disk() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 1, 1));
    let now_ms = cluster.now_ms;
    assert!(cluster.engine(2).status(now_ms).synced);
    cluster.start(3, Vec::new());
    cluster.stores.get_mut(&3).unwrap().holds_writes = true;
    cluster.set_group(2, 1, &[1, 2, 3], &[]);
    assert!(!cluster.engine(3).status(now_ms).synced);
    cluster.restart(3);
    assert!(!cluster.engine(3).status(now_ms).synced);
    cluster.set_group(2, 1, &[1, 2, 3], &[]);
    cluster.pass(3_000, 1);
    let now_ms = cluster.now_ms;
    assert!(cluster.engine(3).status(now_ms).synced);
    cluster.set_group(3, 1, &[1, 2], &[]);
    assert!(
        !cluster.engine(3).status(now_ms).synced,
        "not in the next epoch"
    );
}

#[test]
fn an_unresponsive_member_is_reported_and_commits_wait_for_it() {
    let mut cluster = Cluster::active(3);
    cluster.partitioned.insert(3);
    cluster.submit(1, job("a", 1, 1));
    cluster.pass(800, 1);
    let now_ms = cluster.now_ms;
    assert_eq!(cluster.engine(1).status(now_ms).silent, []);
    cluster.pass(200, 1);
    let now_ms = cluster.now_ms;
    assert_eq!(cluster.engine(1).status(now_ms).silent, [DiskId(3)]);
    assert_eq!(cluster.resolved, []);
    cluster.partitioned.remove(&3);
    cluster.pass(3_000, 1);
    assert_eq!(cluster.resolved.len(), 1);
    let now_ms = cluster.now_ms;
    assert_eq!(cluster.engine(1).status(now_ms).silent, []);
}

#[test]
fn a_primary_that_may_lack_acknowledged_jobs_reports_it_and_deletes_none() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 1, 1));
    cluster.start(3, Vec::new());
    // The core violates its rule and appoints a store that was never in sync.
    cluster.set_group(2, 3, &[2, 3], &[]);
    cluster.validate(3);
    cluster.pass(2_000, 3);
    let now_ms = cluster.now_ms;
    let status = cluster.engine(3).status(now_ms);
    assert_eq!((status.behind, status.active), (Some(DiskId(2)), false));
    assert_eq!(cluster.submit(3, job("b", 1, 1)), SubmitOutcome::NotSure);
    cluster.set_group(3, 2, &[2, 3], &[]);
    cluster.validate(2);
    assert_eq!(
        cluster.submit(2, job("a", 1, 1)),
        SubmitOutcome::AlreadyAccepted
    );
}

#[test]
fn a_restarted_primary_that_led_the_active_epoch_is_not_behind() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 1, 1));
    cluster.restart(1);
    cluster.restart(2);
    cluster.set_group(1, 1, &[1, 2], &[]);
    let now_ms = cluster.now_ms;
    assert!(cluster.engine(1).status(now_ms).active);
    cluster.validate(1);
    assert_eq!(
        cluster.submit(1, job("a", 1, 1)),
        SubmitOutcome::AlreadyAccepted
    );
}

#[test]
fn an_answer_after_the_retry_of_a_comparison_is_accepted() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 1, 1));
    cluster.partitioned.insert(2);
    cluster.sent.clear();
    cluster.set_group(2, 1, &[1, 2], &[]);
    cluster.pass(4_000, 1);
    let compares = sent(&cluster, 1, 2);
    assert!(compares.len() >= 3, "{compares:?}");
    cluster.partitioned.remove(&2);
    cluster.deliver(1, 2, compares[0].clone());
    cluster.run_until_idle();
    let now_ms = cluster.now_ms;
    assert!(
        cluster.engine(1).status(now_ms).active,
        "the first comparison's answer is taken"
    );
    cluster.accept(1, job("b", 1, 1));
    compares
        .into_iter()
        .for_each(|compare| cluster.deliver(1, 2, compare));
    cluster.run_until_idle();
    cluster.accept(1, job("c", 1, 1));
    assert_eq!(jobs_on_disk(&cluster, 1), jobs_on_disk(&cluster, 2));
}

#[test]
fn large_states_are_sent_in_bounded_messages() {
    let mut cluster = Cluster::active(1);
    let now_ms = cluster.now_ms;
    cluster.engine(1).set_routes(
        now_ms,
        2,
        routes(RouteTerms {
            max_queued_tokens: 0,
            ..terms()
        }),
    );
    for number in 0..24 {
        let mut large = job(&format!("large{number}"), 1, 1);
        large.items[0].request.as_mut().unwrap().body = vec![number; 300_000];
        cluster.accept(1, large);
    }
    cluster.start(2, Vec::new());
    cluster.set_group(2, 1, &[1], &[2]);
    assert_eq!(jobs_on_disk(&cluster, 1), jobs_on_disk(&cluster, 2));
    let largest = sent(&cluster, 1, 2)
        .iter()
        .map(|message| message.to_bytes().len())
        .max()
        .unwrap();
    assert!(largest <= MESSAGE_BYTES, "{largest}");
    assert!(sent(&cluster, 1, 2).len() >= 8);
}

#[test]
fn the_send_window_bounds_unacknowledged_bytes() {
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
    cluster.partitioned.insert(2);
    cluster.sent.clear();
    for number in 0..40 {
        let mut large = job(&format!("large{number}"), 1, 1);
        large.items[0].request.as_mut().unwrap().body = vec![number; 50_000];
        cluster.submit(1, large);
    }
    let in_flight_bytes: usize = sent(&cluster, 1, 2)
        .iter()
        .map(|message| message.to_bytes().len())
        .sum();
    assert!(
        (200_000..400_000).contains(&in_flight_bytes),
        "{in_flight_bytes}"
    );
}

#[test]
fn many_jobs_are_compared_range_by_range() {
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
    let long = "x".repeat(200);
    for number in 0..6_000 {
        cluster.submit(1, job(&format!("{number:06}{long}"), 1, 1));
    }
    cluster.start(3, Vec::new());
    cluster.sent.clear();
    cluster.set_group(2, 1, &[1, 2], &[3]);
    let compares: Vec<Message> = sent(&cluster, 1, 2)
        .into_iter()
        .filter(|message| matches!(message, Message::Compare { .. }))
        .collect();
    assert_eq!(compares.len(), 2);
    assert_eq!(jobs_on_disk(&cluster, 3).len(), 6_000);
    let now_ms = cluster.now_ms;
    assert_eq!(cluster.engine(1).status(now_ms).in_sync, [DiskId(3)]);
}

#[test]
fn the_log_retained_for_a_dead_learner_is_bounded() {
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
    cluster.start(3, Vec::new());
    cluster.set_group(2, 1, &[1, 2], &[3]);
    cluster.partitioned.insert(3);
    for number in 0..30 {
        let mut large = job(&format!("large{number}"), 1, 1);
        large.items[0].request.as_mut().unwrap().body = vec![number; 1 << 20];
        cluster.accept(1, large);
    }
    cluster.partitioned.remove(&3);
    cluster.pass(5_000, 1);
    assert_eq!(jobs_on_disk(&cluster, 1), jobs_on_disk(&cluster, 3));
}

#[test]
fn a_snapshot_and_the_records_after_it_restore_the_state() {
    let mut cluster = Cluster::active(2);
    cluster.accept(1, job("a", 2, 1));
    let now_ms = cluster.now_ms;
    let snapshot = cluster.engine(1).snapshot(now_ms);
    let before = cluster.stores[&1].records.len();
    let starts = cluster.work(1, 1);
    cluster.end_run(
        1,
        starts[0].run,
        RunEnd::Completed {
            text: "text".to_owned(),
        },
    );
    cluster.accept(1, job("b", 1, 1));
    let records = cluster.stores[&1].records.clone();
    let all = State::restore(now_ms, None, &records).unwrap();
    assert_eq!(
        State::restore(now_ms, Some(&snapshot), &records[before..]).unwrap(),
        all
    );
    assert_eq!(
        State::restore(now_ms, Some(&snapshot), &records).unwrap(),
        all,
        "records may come twice"
    );
    assert!(
        Engine::restore(DiskId(1), now_ms, Some(b"\x02"), &[]).is_err(),
        "another format is an error"
    );
}

#[test]
fn retries_and_comparisons_are_counted_over_all_sessions() {
    let mut cluster = Cluster::active(3);
    let counted = cluster.engine(1).counts().replication;
    assert_eq!(
        counted,
        ReplicationCounts {
            comparisons: 2,
            ..ReplicationCounts::default()
        }
    );
    cluster.partitioned.insert(3);
    cluster.submit(1, job("a", 1, 1));
    cluster.pass(600, 1);
    assert_eq!(
        cluster.engine(1).counts().replication.retries,
        1,
        "after 500 ms without an answer"
    );
    cluster.partitioned.remove(&3);
    cluster.pass(3_000, 1);
    let before = cluster.engine(1).counts().replication;
    cluster.set_group(2, 1, &[1, 2], &[]);
    let after = cluster.engine(1).counts().replication;
    assert_eq!(
        after - before,
        ReplicationCounts {
            comparisons: 1,
            ..ReplicationCounts::default()
        }
    );
    cluster.set_group(3, 2, &[1, 2], &[]);
    assert_eq!(
        cluster.engine(1).counts().replication,
        after,
        "a follower keeps what it counted"
    );
    assert_eq!(cluster.engine(2).counts().replication.comparisons, 1);
}

#[test]
fn an_abandoned_stream_is_counted() {
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
    cluster.start(3, Vec::new());
    cluster.set_group(2, 1, &[1, 2], &[3]);
    cluster.partitioned.insert(3);
    for number in 0..17 {
        let mut large = job(&format!("large{number}"), 1, 1);
        large.items[0].request.as_mut().unwrap().body = vec![number; 1 << 20];
        cluster.accept(1, large);
    }
    assert!(cluster.engine(1).counts().replication.streams_abandoned >= 1);
}
