//! Compatibility: entries on disk and messages between stores have the same bytes as those of earlier builds.

use alderhollow_batch::codec::append_to_snapshot;
use alderhollow_batch::job::{
    Header, Item, ItemRequest, ItemResult, Job, JobId, NewJob, ResultState,
};
use alderhollow_batch::message::{JobAge, JobDigest, Message};
use alderhollow_batch::quota::{
    CoordinatorId, Decision, QuotaGrant, QuotaReading, QuotaReport, ReportId,
};
use alderhollow_batch::records::{Entry, SessionId, StreamId};
use alderhollow_batch::state::State;
use alderhollow_recorded_bytes::{is_recording, RecordedBytes};

fn new_job(id: &str) -> NewJob {
    let header = Header {
        name: "x-trace".into(),
        value: "t1".into(),
    };
    let request = ItemRequest {
        path: "/lots/x".into(),
        headers: vec![header],
        body: b"body".to_vec(),
    };
    let item = |number: u64| Item {
        id: format!("{id}-{number}"),
        tokens: 10 + number,
        request: Some(request.clone()),
    };
    NewJob {
        id: JobId(id.into()),
        route: "lots".into(),
        host: "shop.example".into(),
        config_version: 5,
        age_ms: 250,
        items: vec![item(0), item(1)],
    }
}

fn results() -> Vec<ItemResult> {
    vec![
        ItemResult {
            item: 1,
            state: ResultState::Completed,
            text: "one\ntwo".into(),
        },
        ItemResult {
            item: 0,
            state: ResultState::DeadLetter,
            text: String::new(),
        },
    ]
}

/// Three jobs: accepted, with one of its results, and ended by its client.
fn entries() -> Vec<(&'static str, Entry)> {
    let half_done = ItemResult {
        item: 1,
        state: ResultState::Completed,
        text: "half".into(),
    };
    vec![
        (
            "session_started",
            Entry::SessionStarted(SessionId {
                epoch: 3,
                session: 2,
            }),
        ),
        (
            "following",
            Entry::Following(StreamId {
                epoch: 3,
                session: 2,
                attempt: 1,
            }),
        ),
        ("job_accepted_a", Entry::JobAccepted(new_job("accepted"))),
        ("job_accepted_b", Entry::JobAccepted(new_job("half-done"))),
        ("job_accepted_c", Entry::JobAccepted(new_job("ended"))),
        ("job_accepted_d", Entry::JobAccepted(new_job("forgotten"))),
        (
            "item_results",
            Entry::ItemResults {
                job: JobId("half-done".into()),
                position: 0,
                results: vec![half_done],
            },
        ),
        (
            "item_results_all",
            Entry::ItemResults {
                job: JobId("forgotten".into()),
                position: 0,
                results: results(),
            },
        ),
        ("job_ended", Entry::JobEnded(JobId("ended".into()))),
        (
            "job_forgotten",
            Entry::JobForgotten(JobId("forgotten".into())),
        ),
        ("synced", Entry::Synced(3)),
        ("active", Entry::Active(3)),
    ]
}

fn messages() -> Vec<(&'static str, Message)> {
    let stream = StreamId {
        epoch: 3,
        session: 2,
        attempt: 1,
    };
    let id = |text: &str| JobId(text.into());
    let digest = JobDigest {
        job: id("a"),
        digest: 0x1122_3344_5566_7788,
        age_ms: 250,
    };
    vec![
        (
            "compare",
            Message::Compare {
                stream,
                after: Some(id("a")),
                until: None,
                digests: vec![digest],
            },
        ),
        (
            "differences",
            Message::Differences {
                stream,
                until: Some(id("z")),
                wanted: vec![id("b")],
                surplus: vec![id("c")],
                older: vec![JobAge {
                    job: id("d"),
                    age_ms: 99,
                }],
                active_epoch: 2,
            },
        ),
        (
            "entries",
            Message::Entries {
                stream,
                first: 17,
                entries: vec![Entry::JobEnded(id("a"))],
            },
        ),
        ("acknowledge", Message::Acknowledge { stream, next: 18 }),
        ("not_following", Message::NotFollowing { stream }),
        (
            "refused",
            Message::Rejected {
                stream,
                known: StreamId {
                    epoch: 4,
                    session: 1,
                    attempt: 0,
                },
            },
        ),
    ]
}

#[test]
fn entries_encode_and_decode_as_recorded() {
    let mut recorded = RecordedBytes::open(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/fixtures/entries.txt"
    ));
    for (name, entry) in entries() {
        recorded.check(name, &entry, Entry::to_bytes, |bytes| {
            Entry::from_bytes(bytes).ok()
        });
    }
    // A decoded job lacks the fields that are derived when it is applied to a state, so its bytes are compared.
    let full_job_entry = Entry::FullJob(Job::new(0, new_job("whole"))).to_bytes();
    recorded.check("whole_job", &full_job_entry, Vec::clone, |bytes| {
        Some(Entry::from_bytes(bytes).ok()?.to_bytes())
    });
    recorded.finish();
}

#[test]
fn messages_encode_and_decode_as_recorded() {
    let mut recorded = RecordedBytes::open(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/fixtures/messages.txt"
    ));
    for (name, message) in messages() {
        recorded.check(name, &message, Message::to_bytes, |bytes| {
            Message::from_bytes(bytes).ok()
        });
    }
    recorded.finish();
}

#[test]
fn quota_messages_encode_and_decode_as_recorded() {
    let mut recorded = RecordedBytes::open(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/fixtures/quota.txt"
    ));
    let coordinator = CoordinatorId {
        epoch: 3,
        session: 2,
    };
    let id = ReportId {
        group_epoch: 5,
        session: 4,
        sequence: 6,
    };
    let report = QuotaReport {
        coordinator,
        route: "lots".into(),
        group: 2,
        id,
        used: 1000,
        wanted: vec![30, 20],
        rejected_total: 7,
    };
    let reading = QuotaReading {
        period: 8,
        age_ms: 9,
        length_ms: 10,
        waiting: 11,
        beyond: 12,
    };
    let counted = Decision::Counted {
        limit: 2000,
        available: 500,
        is_contended: true,
    };
    let grant = |decision| QuotaGrant {
        coordinator,
        report: id,
        decision,
        reading: Some(reading),
    };
    recorded.check(
        "report",
        &report,
        |report| minicbor::to_vec(report).expect("encodes"),
        |bytes| minicbor::decode(bytes).ok(),
    );
    for (name, decision) in [
        ("grant_counted", counted),
        ("grant_unsure", Decision::Unsure),
    ] {
        recorded.check(
            name,
            &grant(decision),
            |grant| minicbor::to_vec(grant).expect("encodes"),
            |bytes| minicbor::decode(bytes).ok(),
        );
    }
    recorded.finish();
}

#[test]
fn a_recorded_store_is_restored_with_its_jobs() {
    let recorded = RecordedBytes::open(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/fixtures/entries.txt"
    ));
    if is_recording() {
        return;
    }
    let (in_snapshot, in_log) = [
        "session_started",
        "following",
        "job_accepted_a",
        "job_accepted_b",
        "job_accepted_c",
        "job_accepted_d",
        "item_results",
        "item_results_all",
        "job_ended",
        "job_forgotten",
        "whole_job",
        "synced",
        "active",
    ]
    .split_at(5);
    let mut snapshot = Vec::new();
    for name in in_snapshot {
        append_to_snapshot(
            &mut snapshot,
            &Entry::from_bytes(recorded.bytes(name)).expect("an entry"),
        );
    }
    let records: Vec<Vec<u8>> = in_log
        .iter()
        .map(|name| recorded.bytes(name).to_vec())
        .collect();

    let state = State::restore(0, Some(&snapshot), &records).expect("the store is readable");

    let ids: Vec<&str> = state.jobs.keys().map(|id| id.0.as_str()).collect();
    assert_eq!(ids, ["accepted", "ended", "half-done", "whole"]);
    assert_eq!(state.jobs[&JobId("half-done".into())].results.len(), 1);
    assert!(state.jobs[&JobId("ended".into())].ended);
    assert!(!state.jobs[&JobId("accepted".into())].ended);
}
