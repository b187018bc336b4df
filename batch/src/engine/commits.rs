//! Effects of committed records, and of gaining and losing leadership.
//!
//! Invariant: a client is answered, a result becomes readable and an item becomes runnable only after the record
//! behind it is on the disk of every member of the epoch.

use super::overload::Windows;
use super::Engine;
use crate::api::{Outcome, Output, Token};
use crate::job::{Job, JobId};

/// An uncommitted record.
#[derive(Debug)]
pub(super) struct Commit {
    /// Index of the record in the primary's log.
    pub index: u64,
    /// Job that the record changes.
    pub job: JobId,
    /// Change that takes effect when the record is committed.
    pub change: Change,
    /// Time at which the record was appended.
    pub appended_ms: u64,
}

/// Change of a job in an uncommitted record.
#[derive(Debug, Clone, Copy)]
pub(super) enum Change {
    /// The job was accepted.
    Accepted {
        /// Approximate size of the job in bytes.
        bytes: usize,
    },
    /// Results were appended.
    Results {
        /// Number of results in the record.
        count: usize,
        /// Number of results of the job up to and including this record.
        positions: u32,
    },
    /// The job was ended.
    Ended,
}

/// Committed state of a job.
#[derive(Debug, Default)]
pub(super) struct JobView {
    /// Whether the acceptance is committed.
    pub accepted: bool,
    /// Number of committed results, which may be read.
    pub visible: u32,
    /// Whether the end is committed.
    pub ended: bool,
    /// Token of the pending acceptance.
    pub accept_token: Option<Token>,
    /// Token of the pending end.
    pub end_token: Option<Token>,
}

impl JobView {
    /// The view of a job all of whose records are committed.
    fn of_committed(job: &Job) -> JobView {
        let visible = job.results.len() as u32;
        JobView {
            accepted: true,
            visible,
            ended: job.ended,
            ..JobView::default()
        }
    }
}

impl Engine {
    /// Handles the activation of the epoch: from now on, all jobs of this store are on the disk of every member.
    pub(super) fn on_epoch_active(&mut self) {
        let unknown = self
            .node
            .state()
            .jobs
            .iter()
            .filter(|(id, _)| !self.views.contains_key(*id));
        let unknown: Vec<JobId> = unknown.map(|(id, _)| id.clone()).collect();
        for id in unknown {
            let Some(job) = self.node.state().jobs.get(&id) else {
                continue;
            };
            self.views.insert(id.clone(), JobView::of_committed(job));
            self.token_counts.add(job);
            self.open_work(&id);
        }
        self.next_sweep_ms = self.now_ms;
    }

    /// Handles the loss of leadership: resolves pending operations as unknown and cancels all runs.
    pub(super) fn on_leadership_lost(&mut self) {
        for view in self.views.values() {
            for token in [view.accept_token, view.end_token].into_iter().flatten() {
                self.outputs.push(Output::Resolved {
                    token,
                    outcome: Outcome::Unknown,
                });
            }
        }
        let runs = self.work.clear();
        self.outputs.extend(runs.into_iter().map(Output::CancelRun));
        // Wakes pending reads, so that their clients ask the new primary.
        self.outputs
            .extend(self.views.drain().map(|(id, _)| Output::Readable(id)));
        self.token_counts = Default::default();
        self.commits.clear();
        self.pending_bytes = 0;
        self.uncommitted_results = 0;
        self.windows = Windows::default();
    }

    /// Adds an appended record to the uncommitted ones.
    pub(super) fn await_commit(&mut self, index: u64, job: JobId, change: Change) {
        if let Change::Results { count, .. } = change {
            self.uncommitted_results += count;
        }
        self.commits.push_back(Commit {
            index,
            job,
            change,
            appended_ms: self.now_ms,
        });
        self.process_commits();
    }

    /// Applies the effects of all records that became committed.
    pub(super) fn process_commits(&mut self) {
        if !self.node.is_leader() {
            return;
        }
        let committed = self.node.committed();
        while self
            .commits
            .front()
            .is_some_and(|commit| commit.index <= committed)
        {
            let Some(commit) = self.commits.pop_front() else {
                return;
            };
            self.commit(commit);
        }
    }

    /// Applies the effect of one committed record.
    fn commit(&mut self, commit: Commit) {
        let Commit {
            job: id, change, ..
        } = commit;
        self.newest_commit_ms = self.now_ms;
        match change {
            Change::Accepted { bytes } => {
                self.pending_bytes = self.pending_bytes.saturating_sub(bytes);
            }
            Change::Results { count, .. } => {
                self.uncommitted_results = self.uncommitted_results.saturating_sub(count);
            }
            Change::Ended => {}
        }
        let Some(view) = self.views.get_mut(&id) else {
            return;
        };
        match change {
            Change::Accepted { .. } => {
                view.accepted = true;
                let token = view.accept_token.take();
                self.resolve(token);
                self.open_work(&id);
            }
            Change::Results { positions, .. } => {
                let before = view.visible;
                view.visible = before.max(positions);
                if let Some(job) = self.node.state_mut().jobs.get_mut(&id) {
                    job.release_listed(before as usize, positions as usize);
                }
                self.outputs.push(Output::Readable(id));
            }
            Change::Ended => {
                view.ended = true;
                let token = view.end_token.take();
                self.resolve(token);
                self.outputs.push(Output::Readable(id));
            }
        }
    }

    /// Resolves a pending operation as committed.
    fn resolve(&mut self, token: Option<Token>) {
        self.outputs.extend(token.map(|token| Output::Resolved {
            token,
            outcome: Outcome::Committed,
        }));
    }

    /// Queues the open items of an accepted job for running, unless it has ended.
    fn open_work(&mut self, id: &JobId) {
        let Some(job) = self.node.state().jobs.get(id).filter(|job| !job.ended) else {
            return;
        };
        let run_target_ms = self
            .routes
            .get(&job.accepted.route)
            .map_or(0, |terms| terms.run_target_ms);
        self.work.open(
            job,
            job.first_sent_ms.saturating_add_unsigned(run_target_ms),
        );
    }
}
