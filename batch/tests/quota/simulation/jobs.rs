//! Ground truth of the jobs of all groups.

use oorandom::Rand32;
use std::collections::BTreeMap;

/// A job.
#[derive(Debug, Clone)]
pub(super) struct Job {
    pub group: usize,
    pub tokens: u64,
    /// Accepted by a primary whose successor was already active: no member has it.
    pub is_void: bool,
    /// Its acceptance was, or may have been, acknowledged.
    pub is_accepted: bool,
    /// A backend has finished it.
    pub is_finished: bool,
    /// Its end is on every member's disk.
    pub is_finish_committed: bool,
}

/// All jobs by number.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    newest: u64,
    pub all: BTreeMap<u64, Job>,
}

impl Jobs {
    /// Adds a job that a primary has appended but not committed.
    pub(super) fn add(&mut self, group: usize, tokens: u64, is_void: bool) -> u64 {
        let job = Job {
            group,
            tokens,
            is_void,
            is_accepted: false,
            is_finished: false,
            is_finish_committed: false,
        };
        self.newest += 1;
        self.all.insert(self.newest, job);
        self.newest
    }

    /// Tokens of the accepted jobs that no backend has finished.
    pub(super) fn waiting(&self) -> u64 {
        let waits = |job: &&Job| job.is_accepted && !job.is_finished;
        self.all.values().filter(waits).map(|job| job.tokens).sum()
    }

    /// State found by a new primary: each pending job is either present, and then accepted, or lost.
    pub(super) fn take_over(&mut self, random: &mut Rand32, group: usize) -> BTreeMap<u64, u64> {
        let mut is_kept = |job: &Job| !job.is_void && random.rand_range(0..2) == 0;
        self.all
            .retain(|_, job| job.group != group || job.is_accepted || is_kept(job));
        let mut counted = BTreeMap::new();
        for (number, job) in self.all.iter_mut().filter(|(_, job)| job.group == group) {
            job.is_accepted = true;
            if !job.is_finish_committed {
                counted.insert(*number, job.tokens);
            }
        }
        counted
    }

    /// Drops jobs that no primary counts any longer.
    pub(super) fn forget_finished(&mut self) {
        self.all.retain(|_, job| !job.is_finish_committed);
    }
}
