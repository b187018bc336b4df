//! The fold of a store's entries: its jobs, and its marks in the replication.

use crate::codec::{append_to_snapshot, decode_snapshot, DecodeError};
use crate::job::{Job, JobId};
use crate::records::{Entry, SessionId, StreamId};
use std::collections::BTreeMap;

/// What a store must remember of the replication over restarts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplicationProgress {
    /// The greatest stream that it followed.
    pub following: StreamId,
    /// Its newest session as a primary.
    pub session: SessionId,
    /// The newest epoch in which it equalled the primary.
    pub synced_epoch: u64,
    /// The newest epoch that it knows to have been active.
    pub active_epoch: u64,
}

/// A store's jobs and marks.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    /// The jobs by id.
    pub jobs: BTreeMap<JobId, Job>,
    /// See [`ReplicationProgress`].
    pub progress: ReplicationProgress,
}

impl State {
    /// The state in a snapshot and the records after it.
    ///
    /// # Errors
    /// The snapshot or a record cannot be read.
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

    /// All that is needed to restore the state.
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

    /// Applies one entry, or nothing of it if it can't follow. What was applied before changes nothing, and what concerns an unknown job is passed over: a
    /// primary streams whole jobs and then the records since, some of which the whole jobs contain already.
    ///
    /// # Errors
    /// The entry cannot follow what was applied; nothing of it is.
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
                if !known.list(position, results) {
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
                self.progress.following = self.progress.following.max(stream)
            }
            Entry::SessionStarted(session) => {
                self.progress.session = self.progress.session.max(session)
            }
            Entry::Synced(epoch) => {
                self.progress.synced_epoch = self.progress.synced_epoch.max(epoch)
            }
            Entry::Active(epoch) => {
                self.progress.active_epoch = self.progress.active_epoch.max(epoch)
            }
        }
        Ok(())
    }

    /// Applies one entry and drops the requests of the items that it lists. A primary must keep these until the results
    /// are committed; the others give them up at once, as whoever leads later has the results.
    ///
    /// # Errors
    /// The entry cannot follow what was applied; nothing of it is.
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

    /// The newest epoch that stands in the marks.
    pub fn newest_epoch(&self) -> u64 {
        self.progress
            .following
            .epoch
            .max(self.progress.session.epoch)
    }
}

/// A job as an entry, with its age at this moment.
pub fn full_job_entry(job: &Job, now_ms: u64) -> Entry {
    let mut copy = job.clone();
    copy.accepted.age_ms = job.age_ms(now_ms);
    Entry::FullJob(copy)
}
