//! Binary format of entries and messages: values round-trip, and no input panics.

use alderhollow_batch::codec::{append_to_snapshot, decode_snapshot, DecodeError};
use alderhollow_batch::job::{
    Header, Item, ItemRequest, ItemResult, Job, JobId, NewJob, ResultState,
};
use alderhollow_batch::message::{JobAge, JobDigest, Message};
use alderhollow_batch::quota::{
    CoordinatorId, Decision, QuotaGrant, QuotaReading, QuotaReport, ReportId,
};
use alderhollow_batch::records::{Entry, SessionId, StreamId};
use alderhollow_batch::state::State;
use proptest::collection::vec;
use proptest::prelude::*;

fn job_id() -> impl Strategy<Value = JobId> {
    "[a-c]{1,2}".prop_map(JobId)
}

fn stream() -> impl Strategy<Value = StreamId> {
    (0..4u64, 0..4u64, 0..4u64).prop_map(|(epoch, session, attempt)| StreamId {
        epoch,
        session,
        attempt,
    })
}

fn item() -> impl Strategy<Value = Item> {
    let header = (".{0,5}", ".{0,5}").prop_map(|(name, value)| Header { name, value });
    let request =
        (".{0,9}", vec(header, 0..3), vec(any::<u8>(), 0..40)).prop_map(|(path, headers, body)| {
            ItemRequest {
                path,
                headers,
                body,
            }
        });
    (".{0,9}", any::<u64>(), proptest::option::of(request)).prop_map(|(id, tokens, request)| Item {
        id,
        tokens,
        request,
    })
}

fn new_job() -> impl Strategy<Value = NewJob> {
    (
        job_id(),
        ".{0,5}",
        ".{0,5}",
        any::<u64>(),
        any::<u64>(),
        vec(item(), 0..4),
    )
        .prop_map(|(id, route, host, config_version, age_ms, items)| NewJob {
            id,
            route,
            host,
            config_version,
            age_ms,
            items,
        })
}

fn result() -> impl Strategy<Value = ItemResult> {
    let state = prop_oneof![Just(ResultState::Completed), Just(ResultState::DeadLetter)];
    (0..5u32, state, ".{0,9}").prop_map(|(item, state, text)| ItemResult { item, state, text })
}

fn entry() -> impl Strategy<Value = Entry> {
    prop_oneof![
        new_job().prop_map(Entry::JobAccepted),
        (job_id(), 0..4u32, vec(result(), 0..4)).prop_map(|(job, position, results)| {
            Entry::ItemResults {
                job,
                position,
                results,
            }
        }),
        job_id().prop_map(Entry::JobEnded),
        job_id().prop_map(Entry::JobForgotten),
        new_job().prop_map(|job| Entry::FullJob(Job::new(0, job))),
        stream().prop_map(Entry::Following),
        (0..4u64, 0..4u64)
            .prop_map(|(epoch, session)| Entry::SessionStarted(SessionId { epoch, session })),
        any::<u64>().prop_map(Entry::Synced),
        any::<u64>().prop_map(Entry::Active),
    ]
}

fn message() -> impl Strategy<Value = Message> {
    let digest =
        (job_id(), any::<u64>(), any::<u64>()).prop_map(|(job, digest, age_ms)| JobDigest {
            job,
            digest,
            age_ms,
        });
    let age = (job_id(), any::<u64>()).prop_map(|(job, age_ms)| JobAge { job, age_ms });
    let option = || proptest::option::of(job_id());
    prop_oneof![
        (stream(), option(), option(), vec(digest, 0..4)).prop_map(
            |(stream, after, until, digests)| Message::Compare {
                stream,
                after,
                until,
                digests
            }
        ),
        (
            stream(),
            option(),
            vec(job_id(), 0..4),
            vec(job_id(), 0..4),
            vec(age, 0..3),
            any::<u64>()
        )
            .prop_map(|(stream, until, wanted, surplus, older, active_epoch)| {
                Message::Differences {
                    stream,
                    until,
                    wanted,
                    surplus,
                    older,
                    active_epoch,
                }
            }),
        (stream(), any::<u64>(), vec(entry(), 0..4)).prop_map(|(stream, first, entries)| {
            Message::Entries {
                stream,
                first,
                entries,
            }
        }),
        (stream(), any::<u64>()).prop_map(|(stream, next)| Message::Acknowledge { stream, next }),
        stream().prop_map(|stream| Message::NotFollowing { stream }),
        (stream(), stream()).prop_map(|(stream, known)| Message::Rejected { stream, known }),
    ]
}

fn coordinator() -> impl Strategy<Value = CoordinatorId> {
    (any::<u64>(), any::<u64>()).prop_map(|(epoch, session)| CoordinatorId { epoch, session })
}

fn report_id() -> impl Strategy<Value = ReportId> {
    (any::<u64>(), any::<u64>(), any::<u64>()).prop_map(|(group_epoch, session, sequence)| {
        ReportId {
            group_epoch,
            session,
            sequence,
        }
    })
}

fn quota_report() -> impl Strategy<Value = QuotaReport> {
    let tokens = (any::<u64>(), vec(any::<u64>(), 0..4), any::<u64>());
    (coordinator(), ".{0,9}", any::<u32>(), report_id(), tokens).prop_map(
        |(coordinator, route, group, id, (used, wanted, rejected_total))| QuotaReport {
            coordinator,
            route,
            group,
            id,
            used,
            wanted,
            rejected_total,
        },
    )
}

fn quota_grant() -> impl Strategy<Value = QuotaGrant> {
    let decision = prop_oneof![
        Just(Decision::Unsure),
        (any::<u64>(), any::<u64>(), any::<bool>()).prop_map(|(limit, available, is_contended)| {
            Decision::Counted {
                limit,
                available,
                is_contended,
            }
        }),
    ];
    let reading = vec(any::<u64>(), 5).prop_map(|numbers| QuotaReading {
        period: numbers[0],
        age_ms: numbers[1],
        length_ms: numbers[2],
        waiting: numbers[3],
        beyond: numbers[4],
    });
    (
        coordinator(),
        report_id(),
        decision,
        proptest::option::of(reading),
    )
        .prop_map(|(coordinator, report, decision, reading)| QuotaGrant {
            coordinator,
            report,
            decision,
            reading,
        })
}

/// An entry without the fields that are not encoded.
fn as_decoded(entry: Entry) -> Entry {
    Entry::from_bytes(&entry.to_bytes()).expect("what was encoded")
}

proptest! {
    #[test]
    fn an_entry_round_trips(entry in entry()) {
        let bytes = entry.to_bytes();
        let decoded = Entry::from_bytes(&bytes).unwrap();
        prop_assert_eq!(decoded.to_bytes(), bytes);
        if !matches!(entry, Entry::FullJob(_)) {
            prop_assert_eq!(decoded, entry);
        }
    }

    #[test]
    fn a_message_round_trips(message in message()) {
        let bytes = message.to_bytes();
        prop_assert_eq!(Message::from_bytes(&bytes).unwrap().to_bytes(), bytes);
    }

    #[test]
    fn a_quota_report_and_a_grant_round_trip(report in quota_report(), grant in quota_grant()) {
        let bytes = minicbor::to_vec(&report).unwrap();
        prop_assert_eq!(minicbor::decode::<QuotaReport>(&bytes).unwrap(), report);
        let bytes = minicbor::to_vec(&grant).unwrap();
        prop_assert_eq!(minicbor::decode::<QuotaGrant>(&bytes).unwrap(), grant);
    }

    #[test]
    fn arbitrary_bytes_decode_to_a_quota_message_or_an_error(bytes in vec(any::<u8>(), 0..200)) {
        let _ = minicbor::decode::<QuotaReport>(&bytes);
        let _ = minicbor::decode::<QuotaGrant>(&bytes);
    }

    #[test]
    fn a_truncated_quota_message_is_an_error(report in quota_report(), place in any::<prop::sample::Index>()) {
        let bytes = minicbor::to_vec(&report).unwrap();
        prop_assert!(minicbor::decode::<QuotaReport>(&bytes[..place.index(bytes.len())]).is_err());
    }

    #[test]
    fn entries_of_a_snapshot_round_trip(entries in vec(entry(), 1..6)) {
        let mut bytes = Vec::new();
        entries.iter().for_each(|entry| append_to_snapshot(&mut bytes, entry));
        let expected: Vec<Entry> = entries.into_iter().map(as_decoded).collect();
        prop_assert_eq!(decode_snapshot(&bytes).unwrap(), expected);
    }

    #[test]
    fn arbitrary_bytes_decode_to_an_entry_or_an_error(mut bytes in vec(any::<u8>(), 0..200)) {
        let _ = Entry::from_bytes(&bytes);
        let _ = Message::from_bytes(&bytes);
        if let Some(first) = bytes.first_mut() {
            *first = 1;
        }
        let _ = Entry::from_bytes(&bytes);
        let _ = Message::from_bytes(&bytes);
        let _ = State::restore(0, Some(&bytes), &[]);
    }

    #[test]
    fn a_corrupted_or_truncated_message_decodes_or_is_an_error(
        message in message(), place in any::<prop::sample::Index>(), byte in any::<u8>(),
    ) {
        let mut bytes = message.to_bytes();
        let place = place.index(bytes.len());
        let _ = Message::from_bytes(&bytes[..place]);
        bytes[place] = byte;
        let _ = Message::from_bytes(&bytes);
    }

    #[test]
    fn trailing_bytes_are_an_error(entry in entry(), more in vec(any::<u8>(), 1..9)) {
        let mut bytes = entry.to_bytes();
        bytes.extend(more);
        prop_assert!(matches!(Entry::from_bytes(&bytes), Err(DecodeError::Malformed(_))));
    }

    #[test]
    fn entries_apply_idempotently_or_are_an_error(entries in vec(entry(), 0..20)) {
        let mut state = State::default();
        for entry in entries.into_iter().map(as_decoded) {
            let before = state.clone();
            if state.apply(5, entry.clone()).is_err() {
                prop_assert_eq!(&state, &before);
                continue;
            }
            let once = state.clone();
            state.apply(5, entry).unwrap();
            prop_assert_eq!(&state, &once);
        }
        let snapshot = state.snapshot(5);
        let restored = State::restore(5, Some(&snapshot), &[]).unwrap();
        let digests = |state: &State| -> Vec<u64> { state.jobs.values().map(Job::digest).collect() };
        prop_assert_eq!(digests(&restored), digests(&state));
        prop_assert_eq!(&restored.progress, &state.progress);
    }
}

#[test]
fn the_format_has_a_version() {
    assert_eq!(Entry::from_bytes(&[]), Err(DecodeError::Empty));
    assert_eq!(
        Entry::from_bytes(&[2, 0]),
        Err(DecodeError::UnknownFormat(2))
    );
    assert_eq!(Entry::Active(3).to_bytes()[0], 1);
}
