//! What clients were told, held against what reached the backends.

use super::configurations::{MAX_ATTEMPTS, QUOTA_LIMIT};
use super::violation::Violation;
use alderhollow_standins::backend::Backend;
use alderhollow_standins::batch_client::{BatchJob, ItemResult, ResultPage, ResultState};
use alderhollow_standins::events::whole_text;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Events of each item's answer.
pub(crate) const ITEM_EVENTS: u64 = 3;
/// `cancel-ms` of the settings.
const CANCEL: Duration = Duration::from_millis(3_000);
const REJECTED: u16 = 422;
const FAILED: u16 = 500;

/// What became of an item at the backends.
#[derive(Debug, Default)]
struct ItemTruth {
    arrivals: Vec<Instant>,
    is_finished: bool,
    is_rejected: bool,
    failures: u32,
}

impl ItemTruth {
    fn is_dead(&self) -> bool {
        self.is_rejected || self.failures >= MAX_ATTEMPTS
    }
}

/// What became of all items at the backends, by their ids.
pub(crate) struct Truth(BTreeMap<String, ItemTruth>);

impl Truth {
    /// What these backends ran.
    pub(crate) fn of(backends: &[Backend]) -> Truth {
        let mut items: BTreeMap<String, ItemTruth> = BTreeMap::new();
        for backend in backends {
            backend.for_each_run(|run| {
                let item = items.entry(run.request_id.clone()).or_default();
                item.arrivals.push(run.started);
                match run.status {
                    REJECTED => item.is_rejected = true,
                    FAILED => item.failures += 1,
                    _ => item.is_finished |= run.is_whole,
                }
            });
        }
        Truth(items)
    }

    fn waits(&self, item: &str) -> bool {
        self.0
            .get(item)
            .is_none_or(|item| !item.is_finished && !item.is_dead())
    }
}

/// How a try to hand a batch job in ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TryEnd {
    /// 202.
    Accepted,
    /// 429 or 503: nothing of it runs.
    Refused,
    /// It can't be told.
    Unknown,
}

/// A batch job as its client knows it.
struct JobRecord {
    job: BatchJob,
    tries: u32,
    refused_tries: u32,
    is_accepted: bool,
    is_end_asked: bool,
    end_acknowledged: Option<Instant>,
    /// Results by position.
    seen: Vec<ItemResult>,
}

impl JobRecord {
    fn waiting_tokens(&self, truth: &Truth) -> u64 {
        if !self.is_accepted || self.is_end_asked {
            return 0;
        }
        let waiting = self.job.items.iter().filter(|item| truth.waits(&item.id));
        waiting.map(|item| item.tokens).sum()
    }
}

/// A batch job that may be read.
#[derive(Clone)]
pub(crate) struct Readable {
    pub job: BatchJob,
    /// Results that were read before.
    pub known: usize,
    pub is_end_asked: bool,
}

/// How much a soak did.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Counts {
    pub accepted: u64,
    pub refused: u64,
    pub unknown: u64,
    pub ended: u64,
    pub reads: u64,
    pub highest_waiting: u64,
}

/// All that happened, and the rules that were broken.
#[derive(Default)]
pub(crate) struct Record {
    jobs: BTreeMap<String, JobRecord>,
    pub violations: Vec<Violation>,
    pub counts: Counts,
}

impl Record {
    /// A client is about to hand a batch job in.
    pub(crate) fn try_begins(&mut self, job: &BatchJob) {
        let new = || JobRecord {
            job: job.clone(),
            tries: 0,
            refused_tries: 0,
            is_accepted: false,
            is_end_asked: false,
            end_acknowledged: None,
            seen: Vec::new(),
        };
        self.jobs.entry(job.id.clone()).or_insert_with(new).tries += 1;
    }

    /// A try has ended.
    pub(crate) fn try_ended(&mut self, id: &str, end: TryEnd, backends: &[Backend]) {
        let Some(record) = self.jobs.get_mut(id) else {
            return;
        };
        match end {
            TryEnd::Accepted => {
                record.is_accepted = true;
                self.counts.accepted += 1;
                self.check_quota(id, &Truth::of(backends));
            }
            TryEnd::Refused => {
                record.refused_tries += 1;
                self.counts.refused += 1;
            }
            TryEnd::Unknown => self.counts.unknown += 1,
        }
    }

    /// The jobs that a client was told of as accepted here and that no backend has finished were all waiting when the
    /// last of them was taken.
    fn check_quota(&mut self, id: &str, truth: &Truth) {
        let waiting = self
            .jobs
            .values()
            .map(|record| record.waiting_tokens(truth))
            .sum();
        self.counts.highest_waiting = self.counts.highest_waiting.max(waiting);
        if waiting > QUOTA_LIMIT {
            let job = id.to_string();
            self.violations.push(Violation::OverQuota {
                job,
                waiting,
                limit: QUOTA_LIMIT,
            });
        }
    }

    /// A client asks for a job's end.
    pub(crate) fn end_asked(&mut self, id: &str) {
        if let Some(record) = self.jobs.get_mut(id) {
            record.is_end_asked = true;
        }
    }

    /// A job's end was acknowledged.
    pub(crate) fn end_acknowledged(&mut self, id: &str) {
        if let Some(record) = self.jobs.get_mut(id) {
            record.end_acknowledged.get_or_insert_with(Instant::now);
            self.counts.ended += 1;
        }
    }

    /// The accepted jobs.
    pub(crate) fn readable(&self) -> Vec<Readable> {
        let accepted = self.jobs.values().filter(|record| record.is_accepted);
        accepted.map(readable).collect()
    }

    /// One accepted job as it is now.
    pub(crate) fn readable_job(&self, id: &str) -> Option<Readable> {
        self.jobs
            .get(id)
            .filter(|record| record.is_accepted)
            .map(readable)
    }

    /// An accepted job was answered 404.
    pub(crate) fn not_found(&mut self, id: &str) {
        let is_end_asked = self.jobs.get(id).is_some_and(|record| record.is_end_asked);
        if !is_end_asked {
            self.violations.push(Violation::NotFound {
                job: id.to_string(),
            });
        }
    }

    /// A client that knew of `known` results read a page from position `after` on.
    pub(crate) fn read(
        &mut self,
        id: &str,
        after: usize,
        known: usize,
        page: ResultPage,
        backends: &[Backend],
    ) {
        self.counts.reads += 1;
        if after < known && page.results.is_empty() {
            self.violations.push(Violation::ResultLost {
                job: id.to_string(),
                position: after,
            });
        }
        let truth = Truth::of(backends);
        for (position, result) in (after..).zip(page.results) {
            self.read_one(id, position, result, &truth);
        }
    }

    fn read_one(&mut self, id: &str, position: usize, result: ItemResult, truth: &Truth) {
        let Some(record) = self.jobs.get_mut(id) else {
            return;
        };
        match record.seen.get(position) {
            Some(before) if *before == result => {}
            Some(_) => {
                self.violations.push(Violation::PositionChanged {
                    job: id.to_string(),
                    position,
                });
            }
            None if record.seen.len() == position => {
                self.violations.extend(check_new(record, &result, truth));
                record.seen.push(result);
            }
            // Another read has yet to bring what stands before it.
            None => {}
        }
    }

    /// A body was answered.
    pub(crate) fn body(&mut self, job: &BatchJob, item: &str, is_right: bool) {
        if !is_right {
            self.violations.push(Violation::WrongBody {
                job: job.id.clone(),
                item: item.to_string(),
            });
        }
    }

    /// Once all clients are done: what ran although nobody wanted it, and what has not come.
    pub(crate) fn check_end(&mut self, backends: &[Backend]) {
        let truth = Truth::of(backends);
        let found = self
            .jobs
            .values()
            .flat_map(|record| check_job(record, &truth));
        let found: Vec<Violation> = found.collect();
        self.violations.extend(found);
    }
}

fn readable(record: &JobRecord) -> Readable {
    Readable {
        job: record.job.clone(),
        known: record.seen.len(),
        is_end_asked: record.is_end_asked,
    }
}

/// Checks a result that was not read before.
fn check_new(record: &JobRecord, result: &ItemResult, truth: &Truth) -> Option<Violation> {
    let (job, item) = (record.job.id.clone(), result.id.clone());
    if !record.job.items.iter().any(|known| known.id == item) {
        return Some(Violation::UnknownItem { job, item });
    }
    if record.seen.iter().any(|seen| seen.id == item) {
        return Some(Violation::ItemTwice { job, item });
    }
    let item_truth = truth.0.get(&item);
    match result.state {
        ResultState::Completed if result.text != whole_text(&item, ITEM_EVENTS) => {
            Some(Violation::TextNotWhole { job, item })
        }
        ResultState::Completed => {
            let is_finished = item_truth.is_some_and(|item| item.is_finished);
            (!is_finished).then_some(Violation::NeverFinished { job, item })
        }
        ResultState::DeadLetter => {
            let is_dead = record.is_end_asked || item_truth.is_some_and(ItemTruth::is_dead);
            (!is_dead).then_some(Violation::GivenUpEarly { job, item })
        }
    }
}

/// Checks one job at the end.
fn check_job(record: &JobRecord, truth: &Truth) -> Vec<Violation> {
    let mut found = Vec::new();
    let job = &record.job.id;
    let total = record.job.items.len();
    if record.is_accepted && !record.is_end_asked && record.seen.len() < total {
        found.push(Violation::NotWhole {
            job: job.clone(),
            listed: record.seen.len(),
            total,
        });
    }
    let is_refused = record.tries == record.refused_tries;
    for item in &record.job.items {
        let Some(item_truth) = truth.0.get(&item.id) else {
            continue;
        };
        if is_refused {
            found.push(Violation::RefusedRan {
                job: job.clone(),
                item: item.id.clone(),
            });
        }
        let Some(ended) = record.end_acknowledged else {
            continue;
        };
        let last = item_truth.arrivals.iter().max();
        let after = last
            .map(|arrival| arrival.saturating_duration_since(ended))
            .unwrap_or_default();
        if after > CANCEL {
            found.push(Violation::RanAfterEnd {
                job: job.clone(),
                item: item.id.clone(),
                after,
            });
        }
    }
    found
}
