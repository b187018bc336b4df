//! Format of a store's journal, which all batch groups share: each record and snapshot carries the id of its group.
//!
//! A tagged record is [`GROUP_TAG`], the group's id in four bytes (big-endian), then the group's own record. A tagged
//! snapshot is [`GROUP_TAG`], then for each group its id in four bytes, the length of its snapshot in eight, and its
//! snapshot. Earlier versions had a single group: data that starts with any other byte is a record or a snapshot of
//! group 0.

use alderhollow_batch::codec::{DecodeError, FORMAT_VERSION};
use alderhollow_batch::engine::Engine;
use alderhollow_batch::state::State;
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::GroupId;
use std::collections::BTreeMap;
use thiserror::Error;

/// First byte of tagged data. The group's own records start with their format version instead.
pub const GROUP_TAG: u8 = 0xfe;
const _: () = assert!(
    GROUP_TAG != FORMAT_VERSION,
    "a tag must differ from every first byte of an untagged record"
);

/// Encoded length of a group's id, in bytes.
const ID_BYTES: usize = 4;
/// Encoded length of a snapshot's length field, in bytes.
const LENGTH_BYTES: usize = 8;

/// Error while decoding a journal.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum JournalFormatError {
    /// A tag is not followed by a complete group id.
    #[error("record or snapshot is truncated within a batch group's id")]
    TruncatedId,
    /// A snapshot is truncated.
    #[error("snapshot is truncated within batch group {0}")]
    TruncatedSnapshot(GroupId),
    /// A snapshot contains a group twice.
    #[error("snapshot contains batch group {0} twice")]
    DuplicateGroup(GroupId),
    /// The data of one group cannot be decoded.
    #[error("batch group {group}: {source}")]
    Contents {
        /// The group.
        group: GroupId,
        /// The decoding error.
        source: DecodeError,
    },
}

/// A journal's data for one group.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct GroupContents {
    /// The group's part of the snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The group's records since the snapshot, in order.
    pub records: Vec<Vec<u8>>,
}

/// Adds the group's id to a record.
pub fn tag_record(group: GroupId, record: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(1 + ID_BYTES + record.len());
    bytes.push(GROUP_TAG);
    bytes.extend_from_slice(&group.0.to_be_bytes());
    bytes.extend_from_slice(record);
    bytes
}

/// Splits a record into its group and the group's own record.
///
/// # Errors
/// The tag is damaged.
pub fn read_record(bytes: &[u8]) -> Result<(GroupId, &[u8]), JournalFormatError> {
    match bytes.split_first() {
        Some((&GROUP_TAG, tagged)) => split_id(tagged).ok_or(JournalFormatError::TruncatedId),
        _ => Ok((GroupId::default(), bytes)),
    }
}

/// Joins the snapshots of groups into one.
pub fn join_snapshots(snapshots: impl IntoIterator<Item = (GroupId, Vec<u8>)>) -> Vec<u8> {
    let mut bytes = vec![GROUP_TAG];
    for (group, snapshot) in snapshots {
        bytes.extend_from_slice(&group.0.to_be_bytes());
        bytes.extend_from_slice(&(snapshot.len() as u64).to_be_bytes());
        bytes.extend_from_slice(&snapshot);
    }
    bytes
}

/// Splits a snapshot by group.
///
/// # Errors
/// The snapshot is truncated, or contains a group twice.
pub fn split_snapshot(bytes: &[u8]) -> Result<BTreeMap<GroupId, Vec<u8>>, JournalFormatError> {
    let Some((&GROUP_TAG, mut rest)) = bytes.split_first() else {
        return Ok([(GroupId::default(), bytes.to_vec())].into());
    };
    let mut snapshots = BTreeMap::new();
    while !rest.is_empty() {
        let (group, after_id) = split_id(rest).ok_or(JournalFormatError::TruncatedId)?;
        let (snapshot, after) =
            split_one_snapshot(after_id).ok_or(JournalFormatError::TruncatedSnapshot(group))?;
        if snapshots.insert(group, snapshot.to_vec()).is_some() {
            return Err(JournalFormatError::DuplicateGroup(group));
        }
        rest = after;
    }
    Ok(snapshots)
}

/// Splits the data of a journal by group.
///
/// # Errors
/// A tag is damaged.
pub fn split_journal(
    snapshot: Option<&[u8]>,
    records: &[Vec<u8>],
) -> Result<BTreeMap<GroupId, GroupContents>, JournalFormatError> {
    let mut groups: BTreeMap<GroupId, GroupContents> = BTreeMap::new();
    for (group, part) in snapshot
        .map(split_snapshot)
        .transpose()?
        .unwrap_or_default()
    {
        groups.entry(group).or_default().snapshot = Some(part);
    }
    for bytes in records {
        let (group, record) = read_record(bytes)?;
        groups
            .entry(group)
            .or_default()
            .records
            .push(record.to_vec());
    }
    Ok(groups)
}

/// Restores the engines of all groups with data in a journal.
///
/// # Errors
/// A tag is damaged, or the data of one group cannot be decoded.
pub fn restore_engines(
    disk: DiskId,
    now_ms: u64,
    snapshot: Option<&[u8]>,
    records: &[Vec<u8>],
) -> Result<BTreeMap<GroupId, Engine>, JournalFormatError> {
    let restore = |(group, contents): (GroupId, GroupContents)| {
        let engine = Engine::restore(
            disk,
            now_ms,
            contents.snapshot.as_deref(),
            &contents.records,
        );
        engine
            .map(|engine| (group, engine))
            .map_err(|source| JournalFormatError::Contents { group, source })
    };
    split_journal(snapshot, records)?
        .into_iter()
        .map(restore)
        .collect()
}

/// Restores the states of all groups with data in a journal.
///
/// # Errors
/// A tag is damaged, or the data of one group cannot be decoded.
pub fn restore_states(
    snapshot: Option<&[u8]>,
    records: &[Vec<u8>],
) -> Result<BTreeMap<GroupId, State>, JournalFormatError> {
    let restore = |(group, contents): (GroupId, GroupContents)| {
        let state = State::restore(0, contents.snapshot.as_deref(), &contents.records);
        state
            .map(|state| (group, state))
            .map_err(|source| JournalFormatError::Contents { group, source })
    };
    split_journal(snapshot, records)?
        .into_iter()
        .map(restore)
        .collect()
}

/// Splits off a group's id.
fn split_id(bytes: &[u8]) -> Option<(GroupId, &[u8])> {
    let (id, rest) = bytes.split_first_chunk::<ID_BYTES>()?;
    Some((GroupId(u32::from_be_bytes(*id)), rest))
}

/// Splits off a group's snapshot with its length field.
fn split_one_snapshot(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<LENGTH_BYTES>()?;
    let length = usize::try_from(u64::from_be_bytes(*length)).ok()?;
    rest.split_at_checked(length)
}

#[cfg(test)]
mod tests;
