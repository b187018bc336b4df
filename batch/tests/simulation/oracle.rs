//! Oracle: the rules for batch jobs, checked on the answers to clients and on the requests that reach backends.

use crate::backends;
use alderhollow_batch::api::RunEnd;
use alderhollow_batch::job::{JobId, NewJob, ResultState};
use std::collections::{BTreeMap, BTreeSet};

/// Limit of queued tokens.
pub(crate) const LIMIT: u64 = 500;
/// Number of answers of 500 after which an item may be abandoned.
pub(crate) const MAX_ATTEMPTS: u32 = 2;
/// Time after the first send of a job after which its items may be abandoned.
pub(crate) const RETENTION_MS: u64 = 8_000;
/// Time after the acknowledged end of a job after which none of its items may reach a backend.
const CANCEL_MS: u64 = 3_000;

/// A result as a client read it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SeenResult {
    pub id: String,
    pub state: ResultState,
    pub text: String,
}

/// Ground truth of an item at the backends.
#[derive(Debug, Default)]
struct ItemTruth {
    finished: bool,
    rejected: bool,
    failures: u32,
}

/// Ground truth of a job.
#[derive(Debug)]
pub(crate) struct JobTruth {
    pub job: NewJob,
    pub first_sent_ms: u64,
    /// Whether the acceptance was acknowledged with 202.
    pub accepted: bool,
    /// Whether every attempt was answered with 429 or 503, and none follows.
    pub refused: bool,
    pub end_requested: bool,
    pub end_acknowledged_ms: Option<u64>,
    /// Positions that were read.
    pub seen: Vec<SeenResult>,
    ran: bool,
    items: BTreeMap<String, ItemTruth>,
}

/// The recorded history of all jobs.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    pub jobs: BTreeMap<JobId, JobTruth>,
}

impl Oracle {
    /// A client sends a job for the first time.
    pub(crate) fn sent(&mut self, now_ms: u64, job: &NewJob) {
        let truth = JobTruth {
            job: job.clone(),
            first_sent_ms: now_ms,
            accepted: false,
            refused: false,
            end_requested: false,
            end_acknowledged_ms: None,
            seen: Vec::new(),
            ran: false,
            items: job
                .items
                .iter()
                .map(|item| (item.id.clone(), ItemTruth::default()))
                .collect(),
        };
        self.jobs.insert(job.id.clone(), truth);
    }

    pub(crate) fn job(&mut self, id: &JobId) -> &mut JobTruth {
        self.jobs
            .get_mut(id)
            .expect("only jobs that were sent are known")
    }

    /// QUOTA: a 202 is given.
    pub(crate) fn accepted(&mut self, now_ms: u64, id: &JobId) {
        self.job(id).accepted = true;
        let waiting: u64 = self.jobs.values().map(|job| job.waiting(now_ms)).sum();
        assert!(
            waiting <= LIMIT,
            "QUOTA: {waiting} tokens wait at the 202 of {id}"
        );
    }

    /// UNASKED, REFUSED: an item reaches a backend.
    pub(crate) fn run_begins(&mut self, now_ms: u64, id: &JobId) {
        let job = self.job(id);
        assert!(!job.refused, "REFUSED: an item of {id} runs");
        let ended_ms = job.end_acknowledged_ms;
        let is_late = ended_ms.is_some_and(|ended_ms| now_ms > ended_ms + CANCEL_MS);
        assert!(
            !is_late,
            "UNASKED: an item of {id} runs at {now_ms}, ended at {ended_ms:?}"
        );
        job.ran = true;
    }

    /// A backend ends a run.
    pub(crate) fn run_ends(&mut self, id: &JobId, item_id: &str, end: &RunEnd) {
        let item = self
            .job(id)
            .items
            .get_mut(item_id)
            .expect("UNASKED: an item that no client sent");
        match end {
            RunEnd::Completed { .. } => item.finished = true,
            RunEnd::Rejected => item.rejected = true,
            RunEnd::Failed => item.failures += 1,
            RunEnd::NotRun { .. } | RunEnd::Postponed { .. } | RunEnd::Interrupted { .. } => {}
        }
    }

    /// REFUSED: the last attempt of a job was rejected.
    pub(crate) fn refused(&mut self, id: &JobId) {
        let job = self.job(id);
        assert!(!job.accepted && !job.ran, "REFUSED: an item of {id} ran");
        job.refused = true;
    }

    /// LOST, TWICE, MIXED, ORDER: a client reads results from a position on, with the number that it knew when it sent
    /// the read.
    pub(crate) fn read(
        &mut self,
        now_ms: u64,
        id: &JobId,
        after: usize,
        known: usize,
        results: &[SeenResult],
    ) {
        let job = self.job(id);
        assert!(
            after + results.len() >= known.min(after + 1),
            "LOST: nothing at {after} of {id}, read before"
        );
        for (position, result) in (after..).zip(results) {
            match job.seen.get(position) {
                Some(before) => {
                    assert_eq!(before, result, "TWICE: position {position} of {id} changed");
                }
                None => {
                    assert_eq!(job.seen.len(), position, "a gap in the positions of {id}");
                    job.check_new(now_ms, result);
                    job.seen.push(result.clone());
                }
            }
        }
    }
}

impl JobTruth {
    /// Tokens of its items that no backend has finished, that are not dead, and whose end was not requested.
    fn waiting(&self, now_ms: u64) -> u64 {
        if !self.accepted || self.end_requested || now_ms >= self.first_sent_ms + RETENTION_MS {
            return 0;
        }
        let waits = |id: &str| {
            let item = &self.items[id];
            !item.finished && !item.rejected && item.failures < MAX_ATTEMPTS
        };
        self.job
            .items
            .iter()
            .filter(|item| waits(&item.id))
            .map(|item| item.tokens)
            .sum()
    }

    /// MIXED, TWICE: a result that was not read before.
    fn check_new(&self, now_ms: u64, result: &SeenResult) {
        let id = &self.job.id;
        let item = self
            .items
            .get(&result.id)
            .unwrap_or_else(|| panic!("MIXED: not an item of {id}"));
        let elsewhere = self.seen.iter().any(|seen| seen.id == result.id);
        assert!(
            !elsewhere,
            "TWICE: item {} stands at two positions of {id}",
            result.id
        );
        match result.state {
            ResultState::Completed => {
                let complete = backends::text(&result.id, usize::MAX);
                assert_eq!(result.text, complete, "MIXED: incomplete output");
                assert!(
                    item.finished,
                    "MIXED: completed without a run that was finished"
                );
            }
            ResultState::DeadLetter => {
                let is_old = now_ms >= self.first_sent_ms + RETENTION_MS;
                let is_dead = item.rejected || item.failures >= MAX_ATTEMPTS;
                assert!(
                    is_old || is_dead || self.end_requested,
                    "MIXED: {} of {id} was abandoned early",
                    result.id
                );
            }
        }
    }

    /// After all faults: the job is complete.
    pub(crate) fn check_complete(&self) {
        let id = &self.job.id;
        if self.end_requested {
            return;
        }
        let listed: BTreeSet<&str> = self.seen.iter().map(|result| result.id.as_str()).collect();
        assert_eq!(
            listed.len(),
            self.job.items.len(),
            "LOST: {id} never got all its results"
        );
    }
}
