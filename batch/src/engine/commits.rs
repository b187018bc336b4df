//! What becomes of records once they are on every member's disk, or once this store is no longer the primary.

use super::overload::Windows;
use super::Engine;
use crate::api::{Outcome, Output, Token};
use crate::job::{Job, JobId};

/// A record that is not committed.
#[derive(Debug)]
pub(super) struct Commit {
    /// Its index.
    pub index: u64,
    /// The job that it is about.
    pub job: JobId,
    /// What it says.
    pub change: Change,
    /// When it was appended.
    pub appended_ms: u64,
}

/// What a record says.
#[derive(Debug, Clone, Copy)]
pub(super) enum Change {
    /// The job was accepted.
    Accepted {
        /// Its size, roughly.
        bytes: usize,
    },
    /// Results are listed.
    Results {
        /// How many the record holds.
        count: usize,
        /// How many positions of the job are taken with them.
        positions: u32,
    },
    /// The job was ended.
    Ended,
}

/// What is committed of a job.
#[derive(Debug, Default)]
pub(super) struct JobView {
    /// Whether its acceptance is.
    pub accepted: bool,
    /// Positions that may be read.
    pub visible: u32,
    /// Whether its end is.
    pub ended: bool,
    /// Who waits for its acceptance.
    pub accept_token: Option<Token>,
    /// Who waits for its end.
    pub end_token: Option<Token>,
}

impl JobView {
    /// All of a job is committed.
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
    /// The epoch has become active: all that this store holds is on every member's disk.
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

    /// This store is no longer the primary.
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
        // Held reads are to be asked for elsewhere.
        self.outputs
            .extend(self.views.drain().map(|(id, _)| Output::Readable(id)));
        self.token_counts = Default::default();
        self.commits.clear();
        self.pending_bytes = 0;
        self.uncommitted_results = 0;
        self.windows = Windows::default();
    }

    /// Appends a record to the ones that wait for the members' disks.
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

    /// Acts on the records that have become committed.
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

    /// Acts on one committed record.
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

    /// An operation has ended well.
    fn resolve(&mut self, token: Option<Token>) {
        self.outputs.extend(token.map(|token| Output::Resolved {
            token,
            outcome: Outcome::Committed,
        }));
    }

    /// Takes the open items of an accepted job in, unless it has ended.
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
