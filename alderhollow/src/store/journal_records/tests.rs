//! Tagged records and snapshots survive a round trip, and damaged ones are errors.

use super::*;
use alderhollow_batch::job::{Item, ItemRequest, JobId, NewJob};
use alderhollow_batch::records::Entry;
use proptest::collection::{btree_map, vec};
use proptest::prelude::*;

fn job(id: &str) -> Entry {
    let request = ItemRequest {
        path: "/b/1".to_string(),
        headers: Vec::new(),
        body: b"body".to_vec(),
    };
    let item = Item {
        id: "i".to_string(),
        request: Some(request),
        tokens: 1,
    };
    Entry::JobAccepted(NewJob {
        id: JobId::from(id),
        route: "r".to_string(),
        host: "h".to_string(),
        age_ms: 0,
        items: vec![item],
        config_version: 1,
    })
}

fn jobs_of(states: &BTreeMap<GroupId, State>, group: u32) -> Vec<String> {
    let jobs = states
        .get(&GroupId(group))
        .map(|state| state.jobs.keys().map(|id| id.0.clone()).collect());
    jobs.unwrap_or_default()
}

proptest! {
    #[test]
    fn a_tagged_record_survives_a_round_trip(group: u32, record: Vec<u8>) {
        let tagged = tag_record(GroupId(group), &record);
        prop_assert_eq!(read_record(&tagged), Ok((GroupId(group), &record[..])));
    }

    #[test]
    fn joined_snapshots_survive_a_round_trip(parts in btree_map(any::<u32>(), any::<Vec<u8>>(), 0..6)) {
        let parts: BTreeMap<GroupId, Vec<u8>> =
            parts.into_iter().map(|(group, part)| (GroupId(group), part)).collect();
        prop_assert_eq!(split_snapshot(&join_snapshots(parts.clone())), Ok(parts));
    }

    #[test]
    fn untagged_data_belongs_to_group_0(bytes: Vec<u8>) {
        prop_assume!(bytes.first() != Some(&GROUP_TAG));
        prop_assert_eq!(read_record(&bytes), Ok((GroupId(0), &bytes[..])));
        prop_assert_eq!(split_snapshot(&bytes), Ok([(GroupId(0), bytes)].into()));
    }

    #[test]
    fn a_truncated_snapshot_is_an_error_or_holds_fewer_groups(
        parts in btree_map(any::<u32>(), any::<Vec<u8>>(), 1..6),
        cut: proptest::sample::Index,
    ) {
        let parts: BTreeMap<GroupId, Vec<u8>> =
            parts.into_iter().map(|(group, part)| (GroupId(group), part)).collect();
        let bytes = join_snapshots(parts.clone());
        let cut = 1 + cut.index(bytes.len() - 1);
        match split_snapshot(&bytes[..cut]) {
            Ok(read) => {
                prop_assert!(read.len() < parts.len());
                prop_assert!(read.iter().all(|(group, part)| parts.get(group) == Some(part)));
            }
            Err(error) => prop_assert!(
                matches!(error, JournalFormatError::TruncatedId | JournalFormatError::TruncatedSnapshot(_)), "{}", error
            ),
        }
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(snapshot: Option<Vec<u8>>, records in vec(any::<Vec<u8>>(), 0..4), tag: bool) {
        let tagged = |mut bytes: Vec<u8>| {
            if tag {
                bytes.insert(0, GROUP_TAG);
            }
            bytes
        };
        let records: Vec<Vec<u8>> = records.into_iter().map(tagged).collect();
        let snapshot = snapshot.map(tagged);
        let _ = restore_states(snapshot.as_deref(), &records);
        let _ = restore_engines(DiskId(1), 0, snapshot.as_deref(), &records);
    }
}

#[test]
fn a_tag_without_a_complete_group_id_is_an_error() {
    for length in 0..ID_BYTES {
        let bytes = [vec![GROUP_TAG], vec![0; length]].concat();
        assert_eq!(read_record(&bytes), Err(JournalFormatError::TruncatedId));
        assert_eq!(
            restore_states(None, &[bytes]).unwrap_err(),
            JournalFormatError::TruncatedId
        );
    }
}

#[test]
fn a_group_twice_in_a_snapshot_is_an_error() {
    let part = (GroupId(2), vec![1]);
    assert_eq!(
        split_snapshot(&join_snapshots([part.clone(), part])),
        Err(JournalFormatError::DuplicateGroup(GroupId(2)))
    );
}

#[test]
fn an_undecodable_record_is_an_error_with_its_group() {
    let error = restore_states(None, &[tag_record(GroupId(3), b"\xfdstrange")]).unwrap_err();
    let source = DecodeError::UnknownFormat(0xfd);
    assert_eq!(
        error,
        JournalFormatError::Contents {
            group: GroupId(3),
            source
        }
    );
}

#[test]
fn groups_are_restored_independently() {
    let mut first = State::default();
    first.apply(0, job("a")).unwrap();
    let snapshot = join_snapshots([
        (GroupId(0), first.snapshot(0)),
        (GroupId(2), State::default().snapshot(0)),
    ]);
    let records = [
        tag_record(GroupId(2), &job("b").to_bytes()),
        tag_record(GroupId(1), &job("c").to_bytes()),
        tag_record(GroupId(2), &Entry::Active(9).to_bytes()),
    ];
    let states = restore_states(Some(&snapshot), &records).unwrap();
    assert_eq!(
        (jobs_of(&states, 0), jobs_of(&states, 1)),
        (vec!["a".to_string()], vec!["c".to_string()])
    );
    assert_eq!(jobs_of(&states, 2), ["b"]);
    assert_eq!(
        states
            .values()
            .map(|state| state.progress.active_epoch)
            .collect::<Vec<_>>(),
        [0, 0, 9]
    );
}

#[test]
fn a_journal_of_an_earlier_version_belongs_to_group_0() {
    let mut state = State::default();
    state.apply(0, job("a")).unwrap();
    let records = [
        job("b").to_bytes(),
        tag_record(GroupId(1), &job("c").to_bytes()),
    ];
    let states = restore_states(Some(&state.snapshot(0)), &records).unwrap();
    assert_eq!(jobs_of(&states, 0), ["a", "b"]);
    assert_eq!(jobs_of(&states, 1), ["c"]);
}
