//! Backpressure: limits the records that wait for the members' disks.
//!
//! There is one congestion window for runs and one for new jobs, and an admission check for new jobs. Results have
//! priority over new jobs, because a new job's record delays all results behind it. New jobs are therefore limited at
//! a shorter commit delay than runs while items wait for the window of runs.

use super::Engine;
use crate::congestion::{CommitPace, CongestionWindow};

/// Age of the oldest uncommitted record from which commits count as late for the window of runs.
const LATE_FOR_RUNS_MS: u64 = 250;
/// The same for the window of new jobs, while items wait for the window of runs.
const LATE_FOR_JOBS_MS: u64 = LATE_FOR_RUNS_MS / 2;
/// No job is accepted while the oldest uncommitted record is at least this old and others are being committed. That
/// indicates congestion, and an accepted job must be committed within the second that its client waits.
const CONGESTED_MS: u64 = 500;
/// Replication makes progress if the last commit is younger than this.
const PROGRESS_MS: u64 = 500;
/// No job is accepted while the oldest uncommitted record is at least this old, whether others are committed or not.
/// It exceeds the time after which an unresponsive member is removed from the group, so that a shorter outage of a
/// member rejects no job that is within quota.
const MAX_COMMIT_WAIT_MS: u64 = 2_000;

/// Initial size of the window of runs, in items. It exceeds the number of runs of a driver, so that it limits nothing
/// before a commit was late.
const INITIAL_WINDOW_ITEMS: usize = 2_048;
/// Minimum size of the window of runs, in items, so that slow disks alone do not delay a light load.
const MIN_WINDOW_ITEMS: usize = 32;
/// While several routes have waiting items, one may hold this multiple of what stays free of the window of runs: alone,
/// four fifths.
const MAX_HELD_PER_FREE: usize = 4;
/// Initial size of the window of new jobs, in bytes.
const INITIAL_WINDOW_JOB_BYTES: usize = 16 << 20;
/// Minimum size of the window of new jobs, in bytes.
const MIN_WINDOW_JOB_BYTES: usize = 64 << 10;

/// The congestion windows of a primary.
#[derive(Debug)]
pub(super) struct Windows {
    /// Window of items in flight: from the start of a run until the result is committed.
    pub runs: CongestionWindow,
    /// Window of the bytes of uncommitted jobs.
    pub jobs: CongestionWindow,
}

impl Default for Windows {
    fn default() -> Windows {
        Windows {
            runs: CongestionWindow::new(INITIAL_WINDOW_ITEMS, MIN_WINDOW_ITEMS),
            jobs: CongestionWindow::new(INITIAL_WINDOW_JOB_BYTES, MIN_WINDOW_JOB_BYTES),
        }
    }
}

impl Engine {
    /// Whether new jobs are to be rejected, because their commit would be late or would delay results.
    pub(super) fn is_overloaded(&self, now_ms: u64) -> bool {
        let wait_ms = self.commit_wait_ms(now_ms);
        let is_congested = wait_ms >= CONGESTED_MS && self.makes_progress(now_ms);
        let is_crowded = wait_ms >= LATE_FOR_JOBS_MS && self.items_wait_for_window();
        wait_ms >= MAX_COMMIT_WAIT_MS || is_congested || is_crowded || self.is_jobs_window_full()
    }

    /// Records that a job of this size was appended.
    pub(super) fn record_job_accepted(&mut self, bytes: usize) {
        self.pending_bytes += bytes;
        self.windows.jobs.record_started(bytes);
        if self.is_jobs_window_full() {
            self.windows.jobs.record_limited();
        }
    }

    /// Number of running items and of uncommitted results.
    pub(super) fn in_flight(&self) -> usize {
        let (_, running) = self.work.load();
        running + self.uncommitted_results
    }

    /// Adapts both windows to the current commit delay.
    pub(super) fn adapt_windows(&mut self) {
        let wait_ms = self.commit_wait_ms(self.now_ms);
        let in_flight = self.in_flight();
        let jobs_yield = self.items_wait_for_window();
        self.windows
            .runs
            .adapt(pace(wait_ms, LATE_FOR_RUNS_MS), in_flight);
        let late_for_jobs_ms = if jobs_yield {
            LATE_FOR_JOBS_MS
        } else {
            LATE_FOR_RUNS_MS
        };
        self.windows
            .jobs
            .adapt(pace(wait_ms, late_for_jobs_ms), self.pending_bytes);
    }

    /// Age of the oldest uncommitted record; 0 if there is none.
    fn commit_wait_ms(&self, now_ms: u64) -> u64 {
        self.commits
            .front()
            .map_or(0, |commit| now_ms.saturating_sub(commit.appended_ms))
    }

    /// Whether a record was committed recently.
    fn makes_progress(&self, now_ms: u64) -> bool {
        now_ms < self.newest_commit_ms + PROGRESS_MS
    }

    /// Whether the window of new jobs is full.
    fn is_jobs_window_full(&self) -> bool {
        self.windows.jobs.available(self.pending_bytes) == 0
    }

    /// Whether commits have been late and at least as many items wait for a run as the window allows.
    fn items_wait_for_window(&self) -> bool {
        let startable = self.startable_routes().map(|(_, waiting)| waiting);
        self.windows.runs.has_shrunk() && startable.sum::<usize>() >= self.windows.runs.size()
    }

    /// Routes with waiting items that may start, and the number of these.
    fn startable_routes(&self) -> impl Iterator<Item = (&str, usize)> {
        let waiting = self.work.waiting_routes();
        waiting.filter(|(route, _)| !self.stranded_routes.contains(*route))
    }

    /// Number of items of a route that the window of runs allows to start now.
    ///
    /// While items of other routes wait, a route may hold only [`MAX_HELD_PER_FREE`] times what stays free, so that items
    /// which do not end, at backends that never answer, cannot use up the window for all routes.
    pub(super) fn available_runs(&self, route: &str) -> usize {
        let free = self.windows.runs.available(self.in_flight());
        if self.startable_routes().all(|(other, _)| other == route) {
            return free;
        }
        let held = self.work.running_items(route);
        free.saturating_mul(MAX_HELD_PER_FREE).saturating_sub(held) / (MAX_HELD_PER_FREE + 1)
    }
}

/// Classifies a commit delay by the bound from which it counts as late.
fn pace(wait_ms: u64, late_ms: u64) -> CommitPace {
    if wait_ms < late_ms {
        CommitPace::Prompt
    } else {
        CommitPace::Late
    }
}
