//! The records and the snapshot of a store's one journal, which carry the id of the batch group that they belong to.
//!
//! A tagged record is [`GROUP_TAG`], the group's id in four bytes (the greatest first), then the group's own record. A
//! tagged snapshot is [`GROUP_TAG`], then for each group its id in four bytes, the length of its snapshot in eight, and
//! its snapshot. Earlier versions knew one group: what begins with any other byte is a record or a snapshot of group 0.

use alderhollow_batch::codec::{DecodeError, FORMAT_VERSION};
use alderhollow_batch::engine::Engine;
use alderhollow_batch::state::State;
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::GroupId;
use std::collections::BTreeMap;
use thiserror::Error;

/// First byte of what names its group. The group's own records begin with the version of their format.
pub const GROUP_TAG: u8 = 0xfe;
const _: () = assert!(
    GROUP_TAG != FORMAT_VERSION,
    "a tag must differ from every first byte of an untagged record"
);

/// Bytes of a group's id.
const ID_BYTES: usize = 4;
/// Bytes of the length of a group's snapshot.
const LENGTH_BYTES: usize = 8;

/// A journal that can't be read.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum JournalFormatError {
    /// A tag without the whole id of a group behind it.
    #[error("a record of a batch group that ends within the group's number")]
    TruncatedId,
    /// A snapshot that ends too early.
    #[error("a snapshot that ends within batch group {0}")]
    TruncatedSnapshot(GroupId),
    /// A snapshot that names a group again.
    #[error("a snapshot with batch group {0} twice")]
    DuplicateGroup(GroupId),
    /// What is of one group can't be read.
    #[error("batch group {group}: {source}")]
    Contents {
        /// The group.
        group: GroupId,
        /// Why.
        source: DecodeError,
    },
}

/// What a journal holds of one group.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct GroupContents {
    /// The group's part of the snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The group's records since, in order.
    pub records: Vec<Vec<u8>>,
}

/// A group's record with the group's id.
pub fn tag_record(group: GroupId, record: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(1 + ID_BYTES + record.len());
    bytes.push(GROUP_TAG);
    bytes.extend_from_slice(&group.0.to_be_bytes());
    bytes.extend_from_slice(record);
    bytes
}

/// The group of a record, and the group's own record.
///
/// # Errors
/// The tag is damaged.
pub fn read_record(bytes: &[u8]) -> Result<(GroupId, &[u8]), JournalFormatError> {
    match bytes.split_first() {
        Some((&GROUP_TAG, tagged)) => split_id(tagged).ok_or(JournalFormatError::TruncatedId),
        _ => Ok((GroupId::default(), bytes)),
    }
}

/// The snapshots of groups as one.
pub fn join_snapshots(snapshots: impl IntoIterator<Item = (GroupId, Vec<u8>)>) -> Vec<u8> {
    let mut bytes = vec![GROUP_TAG];
    for (group, snapshot) in snapshots {
        bytes.extend_from_slice(&group.0.to_be_bytes());
        bytes.extend_from_slice(&(snapshot.len() as u64).to_be_bytes());
        bytes.extend_from_slice(&snapshot);
    }
    bytes
}

/// The groups' parts of a snapshot.
///
/// # Errors
/// It is cut, or names a group twice.
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

/// What a journal holds, by groups.
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

/// The engines of all groups of which a journal holds something.
///
/// # Errors
/// A tag is damaged, or what is of one group can't be read.
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

/// The jobs and marks of all groups of which a journal holds something.
///
/// # Errors
/// A tag is damaged, or what is of one group can't be read.
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

/// A group's id, and what is behind it.
fn split_id(bytes: &[u8]) -> Option<(GroupId, &[u8])> {
    let (id, rest) = bytes.split_first_chunk::<ID_BYTES>()?;
    Some((GroupId(u32::from_be_bytes(*id)), rest))
}

/// A group's snapshot, and what is behind it.
fn split_one_snapshot(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<LENGTH_BYTES>()?;
    let length = usize::try_from(u64::from_be_bytes(*length)).ok()?;
    rest.split_at_checked(length)
}

#[cfg(test)]
mod tests;
