//! Backpressure: what bounds the records that wait for the members' disks.
//!
//! Two congestion windows, one of runs and one of new jobs, and a gate before new jobs. Results go before new jobs: a job
//! that is taken while results wait behind it only makes all of them late. So new jobs yield to a shorter wait than the
//! runs do, as long as items wait for the runs' window.

use super::Engine;
use crate::congestion::{CommitPace, CongestionWindow};

/// Commits are late for runs once the oldest uncommitted record has waited for so long.
const LATE_FOR_RUNS_MS: u64 = 250;
/// The same for new jobs, while items wait for the runs' window.
const LATE_FOR_JOBS_MS: u64 = LATE_FOR_RUNS_MS / 2;
/// No job is taken while a record has waited for so long and others are being committed: that is congestion, and what is
/// taken must be committed within the second that its client waits.
const CONGESTED_MS: u64 = 500;
/// Records are being committed if the newest commit is younger.
const PROGRESS_MS: u64 = 500;
/// No job is taken while a record has waited for so long, whether others are committed or not. It is longer than a silent
/// member is waited for: a job that fits is refused for no shorter silence.
const MAX_COMMIT_WAIT_MS: u64 = 2_000;

/// Items in flight before any commit was late: beyond what a driver runs at once, so that a calm group has no limit.
const INITIAL_WINDOW_ITEMS: usize = 2_048;
/// Items that may always be in flight: slow disks alone hold no light load up.
const MIN_WINDOW_ITEMS: usize = 32;
/// Bytes of jobs that wait for the members' disks before any commit was late.
const INITIAL_WINDOW_JOB_BYTES: usize = 16 << 20;
/// Bytes of jobs that may always wait for the members' disks.
const MIN_WINDOW_JOB_BYTES: usize = 64 << 10;

/// The windows of a primary.
#[derive(Debug)]
pub(super) struct Windows {
    /// Items in flight: from the start of a run until the result is committed.
    pub runs: CongestionWindow,
    /// Bytes of jobs that are not committed.
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
    /// Whether a new job would have to wait too long for the members' disks, or crowd out results.
    pub(super) fn is_overloaded(&self, now_ms: u64) -> bool {
        let wait_ms = self.commit_wait_ms(now_ms);
        let is_congested = wait_ms >= CONGESTED_MS && self.makes_progress(now_ms);
        let is_crowded = wait_ms >= LATE_FOR_JOBS_MS && self.items_wait_for_window();
        wait_ms >= MAX_COMMIT_WAIT_MS || is_congested || is_crowded || self.is_jobs_window_full()
    }

    /// A job was taken, which now waits for the members' disks.
    pub(super) fn record_job_accepted(&mut self, bytes: usize) {
        self.pending_bytes += bytes;
        self.windows.jobs.record_started(bytes);
        if self.is_jobs_window_full() {
            self.windows.jobs.record_limited();
        }
    }

    /// Items that run, and results that are not committed.
    pub(super) fn in_flight(&self) -> usize {
        let (_, running) = self.work.load();
        running + self.uncommitted_results
    }

    /// Adapts both windows to what is seen now.
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

    /// How long the oldest record has waited for the members' disks.
    fn commit_wait_ms(&self, now_ms: u64) -> u64 {
        self.commits
            .front()
            .map_or(0, |commit| now_ms.saturating_sub(commit.appended_ms))
    }

    /// Whether records are being committed.
    fn makes_progress(&self, now_ms: u64) -> bool {
        now_ms < self.newest_commit_ms + PROGRESS_MS
    }

    /// Whether no further job may wait for the members' disks.
    fn is_jobs_window_full(&self) -> bool {
        self.windows.jobs.available(self.pending_bytes) == 0
    }

    /// Whether commits have been late and more items wait for a run than the window holds.
    fn items_wait_for_window(&self) -> bool {
        let (waiting, _) = self.work.load();
        self.windows.runs.has_shrunk() && waiting >= self.windows.runs.size()
    }
}

/// What a wait means for those who call it late from a time on.
fn pace(wait_ms: u64, late_ms: u64) -> CommitPace {
    if wait_ms < late_ms {
        CommitPace::Prompt
    } else {
        CommitPace::Late
    }
}
