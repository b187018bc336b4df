//! State of a store: its jobs and its replication progress, built by applying the entries of the journal. Owned by
//! [`GroupNode`](crate::group::GroupNode).

use crate::codec::{append_to_snapshot, decode_snapshot, DecodeError};
use crate::job::{Job, JobId};
use crate::records::{Entry, SessionId, StreamId};
use std::collections::BTreeMap;

/// Replication state that a store must not lose on a restart. Each value only increases.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplicationProgress {
    /// Greatest stream that this store followed.
    pub following: StreamId,
    /// Newest session of this store as a primary.
    pub session: SessionId,
    /// Newest epoch in which this store was in sync with the primary.
    pub synced_epoch: u64,
    /// Newest epoch that this store knows to have been active.
    pub active_epoch: u64,
}

/// The jobs of a store and its replication progress.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    /// Jobs by id.
    pub jobs: BTreeMap<JobId, Job>,
    /// See [`ReplicationProgress`].
    pub progress: ReplicationProgress,
}

impl State {
    /// Restores the state from a snapshot and the records after it.
    ///
    /// # Errors
    /// The snapshot or a record cannot be decoded.
    pub fn restore(
        now_ms: u64,
        snapshot: Option<&[u8]>,
        records: &[Vec<u8>],
    ) -> Result<State, DecodeError> {
        let mut state = State::default();
        if let Some(bytes) = snapshot {
            for entry in decode_snapshot(bytes)? {
                state.apply_and_release(now_ms, entry)?;
            }
        }
        for bytes in records {
            state.apply_and_release(now_ms, Entry::from_bytes(bytes)?)?;
        }
        Ok(state)
    }

    /// Encodes the state as a snapshot for [`State::restore`].
    pub fn snapshot(&self, now_ms: u64) -> Vec<u8> {
        let mut bytes = Vec::new();
        append_to_snapshot(&mut bytes, &Entry::Following(self.progress.following));
        append_to_snapshot(&mut bytes, &Entry::SessionStarted(self.progress.session));
        append_to_snapshot(&mut bytes, &Entry::Synced(self.progress.synced_epoch));
        append_to_snapshot(&mut bytes, &Entry::Active(self.progress.active_epoch));
        for job in self.jobs.values() {
            append_to_snapshot(&mut bytes, &full_job_entry(job, now_ms));
        }
        bytes
    }

    /// Applies an entry. An entry that was applied before has no effect, and one about an unknown job is ignored: a
    /// primary streams full copies of jobs and then the records since the start of the stream, some of which are
    /// already part of the full copies.
    ///
    /// # Errors
    /// The entry contradicts the state. The state is then unchanged.
    pub fn apply(&mut self, now_ms: u64, entry: Entry) -> Result<(), DecodeError> {
        match entry {
            Entry::JobAccepted(accepted) => {
                let id = accepted.id.clone();
                self.jobs
                    .entry(id)
                    .or_insert_with(|| Job::new(now_ms, accepted));
            }
            Entry::ItemResults {
                job,
                position,
                results,
            } => {
                let Some(known) = self.jobs.get_mut(&job) else {
                    return Ok(());
                };
                if !known.append_results(position, results) {
                    return Err(DecodeError::Inconsistent(job));
                }
            }
            Entry::JobEnded(job) => {
                if let Some(known) = self.jobs.get_mut(&job) {
                    known.ended = true;
                    known.release_all();
                }
            }
            Entry::JobForgotten(job) => {
                self.jobs.remove(&job);
            }
            Entry::FullJob(mut job) => {
                if !job.after_decoding(now_ms) {
                    return Err(DecodeError::Inconsistent(job.accepted.id));
                }
                self.jobs.insert(job.accepted.id.clone(), job);
            }
            Entry::Following(stream) => {
                self.progress.following = self.progress.following.max(stream);
            }
            Entry::SessionStarted(session) => {
                self.progress.session = self.progress.session.max(session);
            }
            Entry::Synced(epoch) => {
                self.progress.synced_epoch = self.progress.synced_epoch.max(epoch);
            }
            Entry::Active(epoch) => {
                self.progress.active_epoch = self.progress.active_epoch.max(epoch);
            }
        }
        Ok(())
    }

    /// Applies an entry and drops the requests of the items that got a result. Only the primary must keep these
    /// requests until the results are committed; other stores drop them at once, because a later primary has the
    /// results.
    ///
    /// # Errors
    /// The entry contradicts the state. The state is then unchanged.
    pub fn apply_and_release(&mut self, now_ms: u64, entry: Entry) -> Result<(), DecodeError> {
        let listing = match &entry {
            Entry::ItemResults { job, position, .. } => Some((job.clone(), *position as usize)),
            Entry::FullJob(job) => Some((job.accepted.id.clone(), 0)),
            _ => None,
        };
        self.apply(now_ms, entry)?;
        if let Some((id, position)) = listing {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.release_listed(position, usize::MAX);
            }
        }
        Ok(())
    }

    /// Newest epoch that this store followed or led.
    pub fn newest_epoch(&self) -> u64 {
        self.progress
            .following
            .epoch
            .max(self.progress.session.epoch)
    }
}

/// Entry with a full copy of a job and its age at `now_ms`.
pub fn full_job_entry(job: &Job, now_ms: u64) -> Entry {
    let mut copy = job.clone();
    copy.accepted.age_ms = job.age_ms(now_ms);
    Entry::FullJob(copy)
}
