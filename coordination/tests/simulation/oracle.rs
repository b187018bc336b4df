//! Safety invariants, checked throughout a run.

use crate::command_log::CommandLog;
use alderhollow_coordination::replica::interface::{Epoch, MemberId, Version};
use std::collections::{BTreeMap, BTreeSet};

/// Records what was observed and compares new observations with it.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    /// Entry of each version, from 1, as first observed to be committed.
    history: Vec<u32>,
    /// The newest acknowledged version.
    pub acknowledged: Version,
    primaries: BTreeMap<Epoch, MemberId>,
    rejected: BTreeSet<u32>,
}

impl Oracle {
    /// Checks a member's committed state. Versions up to `checked` were compared before.
    pub(crate) fn check_state(&mut self, state: &CommandLog, version: Version, checked: Version) {
        assert_eq!(
            state.entries.len() as Version,
            version,
            "as many entries as the version says"
        );
        assert!(
            version >= checked,
            "a member's committed state went back from {checked} to {version}"
        );
        for (position, entry) in state.entries.iter().enumerate().skip(checked as usize) {
            match self.history.get(position) {
                Some(seen) => assert_eq!(
                    seen,
                    entry,
                    "version {} differs between members",
                    position + 1
                ),
                None => self.history.push(*entry),
            }
            assert!(
                !self.rejected.contains(entry),
                "request {entry} was reported as not executed but was"
            );
        }
    }

    pub(crate) fn check_acknowledged(&mut self, number: u32, version: Version) {
        let entry = self.history.get(version as usize - 1);
        assert_eq!(
            entry,
            Some(&number),
            "request {number} was acknowledged as version {version}"
        );
        self.acknowledged = self.acknowledged.max(version);
    }

    /// The newest version acknowledged to any client.
    pub(crate) fn newest_acknowledged(&self) -> Version {
        self.acknowledged
    }

    /// Linearizability: versions order the commands, and each command takes effect between its request and its
    /// acknowledgement. So its version is higher than all versions acknowledged before the request.
    pub(crate) fn check_linearizable(
        &self,
        number: u32,
        version: Version,
        newest_acknowledged: Version,
    ) {
        assert!(
            version > newest_acknowledged,
            "request {number} became version {version}, and was sent after version {newest_acknowledged} was acknowledged"
        );
    }

    pub(crate) fn check_answered(&mut self, number: u32) {
        assert!(
            self.history.contains(&number),
            "request {number} was answered as known and is not"
        );
    }

    pub(crate) fn check_rejected(&mut self, number: u32) {
        assert!(
            !self.history.contains(&number),
            "request {number} was reported as not executed but was"
        );
        self.rejected.insert(number);
    }

    pub(crate) fn check_primary(&mut self, epoch: Epoch, member: MemberId) {
        let first = *self.primaries.entry(epoch).or_insert(member);
        assert_eq!(first, member, "two primaries of epoch {epoch}");
    }

    /// Checks that nobody else was primary since the epoch in which a lease holder says that it became primary.
    pub(crate) fn check_uninterrupted(&self, since: Epoch, epoch: Epoch, member: MemberId) {
        assert!(since <= epoch, "primary of {epoch} since {since}");
        let other = self
            .primaries
            .range(since..=epoch)
            .find(|(_, primary)| **primary != member);
        assert_eq!(other, None, "{member} is primary since {since}");
    }

    pub(crate) fn check_lease_holders(&self, versions: &[Version]) {
        assert!(
            versions.len() <= 1,
            "{} members hold the lease at once",
            versions.len()
        );
        for version in versions {
            let acknowledged = self.acknowledged;
            assert!(
                *version >= acknowledged,
                "version {acknowledged} was acknowledged; the primary has {version}"
            );
        }
    }
}
