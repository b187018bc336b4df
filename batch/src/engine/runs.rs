//! Runs of items at backends, and items that end without a run: abandoned by retention, by a removed route or by too
//! many failures.
//!
//! Invariant: a run starts only while this store is the validated active primary, and an item gets exactly one result.

use super::commits::Change;
use super::Engine;
use crate::api::{ItemStart, Output, Resume, RunEnd, RunId};
use crate::job::{ItemResult, JobId, ResultState};
use crate::records::Entry;
use crate::work::{EndedRun, ItemKey, Turn};

/// Backoff after a failed attempt, multiplied by the number of failures.
const FAILURE_BACKOFF_MS: u64 = 200;
/// Interrupted runs in a row, without a further event, that are repeated after the delay that their end asks for. Each
/// further one doubles the delay.
const INTERRUPTIONS_BEFORE_BACKOFF: u32 = 5;
/// Longest delay after an interrupted run, in milliseconds, unless its end asks for a longer one.
const MAX_INTERRUPTION_BACKOFF_MS: u64 = 5_000;
/// Margin added to an age limit before an item is abandoned or a job forgotten, for rounding of clocks.
const AGE_MARGIN_MS: u64 = 100;

impl Engine {
    /// Configured routes with items that are ready to run.
    pub fn routes_with_work(&mut self, now_ms: u64) -> Vec<String> {
        self.work.wake(now_ms);
        if !self.is_validated_primary(now_ms) {
            return Vec::new();
        }
        self.work
            .ready_routes()
            .filter(|route| self.routes.contains_key(*route))
            .map(str::to_owned)
            .collect()
    }

    /// Priority of the ready item of a route that runs next; times are on the monotonic clock of this process.
    pub fn first_turn(&self, now_ms: u64, route: &str) -> Option<Turn> {
        self.work.first_turn(route, now_ms)
    }

    /// Takes items of a route to start now, in order of priority: at most `max`, and at most what the congestion
    /// window allows. They count as running from now on. The driver must call [`Engine::run_ended`] for each that is
    /// not cancelled.
    pub fn take_work(&mut self, now_ms: u64, route: &str, max: usize) -> Vec<ItemStart> {
        self.now_ms = now_ms;
        self.work.wake(now_ms);
        let mut starts = Vec::new();
        if !self.is_validated_primary(now_ms) || !self.routes.contains_key(route) {
            return starts;
        }
        self.adapt_windows();
        let available = self.available_runs(route);
        while starts.len() < max.min(available) {
            let Some(key) = self.work.first_ready(route, now_ms).cloned() else {
                break;
            };
            match self.start(&key) {
                Some(start) => starts.push(start),
                // An item without a request cannot run, and must not block the others.
                None => drop(self.work.finish(&key)),
            }
        }
        self.windows.runs.record_started(starts.len());
        if starts.len() == available
            && available < max
            && self.work.first_ready(route, now_ms).is_some()
        {
            self.windows.runs.record_limited();
        }
        starts
    }

    /// Starts a run of an item; `None` if its request or its route is missing.
    fn start(&mut self, key: &ItemKey) -> Option<ItemStart> {
        let job = self.node.state().jobs.get(&key.job)?;
        let item = job.accepted.items.get(key.item as usize)?;
        let request = item.request.clone()?;
        let terms = self.routes.get(&job.accepted.route)?;
        let (run, open) = self.work.start(key, self.now_ms)?;
        Some(ItemStart {
            run,
            job: key.job.clone(),
            route: job.accepted.route.clone(),
            host: job.accepted.host.clone(),
            item_id: item.id.clone(),
            tokens: item.tokens,
            failures: open.failures,
            request,
            due_ms: job
                .first_sent_ms
                .saturating_add_unsigned(terms.run_target_ms),
            abandon_at_ms: job
                .first_sent_ms
                .saturating_add_unsigned(terms.retention_ms),
            resume: open.resume.clone(),
        })
    }

    /// Handles the end of a run. Cancelled runs are ignored.
    pub fn run_ended(&mut self, now_ms: u64, run: RunId, end: RunEnd) {
        self.now_ms = now_ms;
        let Some(EndedRun {
            item: key,
            lasted_ms,
        }) = self.work.end_run(run, now_ms)
        else {
            return;
        };
        if matches!(end, RunEnd::Completed { .. }) {
            self.work.record_completed(lasted_ms);
        }
        match end {
            RunEnd::Completed { text } => self.append_result(&key, ResultState::Completed, text),
            RunEnd::Rejected => self.append_result(&key, ResultState::DeadLetter, String::new()),
            RunEnd::Failed => self.attempt_failed(key),
            RunEnd::NotRun { retry_after_ms } => self.work.back_off(key, now_ms + retry_after_ms),
            RunEnd::Postponed { retry_after_ms } => {
                self.windows.runs.withdraw_start();
                self.work.postpone(key, now_ms + retry_after_ms);
            }
            RunEnd::Interrupted {
                resume,
                retry_after_ms,
            } => {
                let interruptions = self.record_interruption(&key, resume);
                let delay_ms = interruption_backoff_ms(retry_after_ms, interruptions);
                self.work.back_off(key, now_ms + delay_ms);
            }
        }
    }

    /// Handles a failed attempt: schedules a retry, or abandons the item at the route's limit of attempts.
    fn attempt_failed(&mut self, key: ItemKey) {
        let job = self.node.state().jobs.get(&key.job);
        let terms = job.and_then(|job| self.routes.get(&job.accepted.route));
        let max_attempts = terms.map(|terms| terms.max_attempts.max(1));
        let Some(item) = self.work.item_mut(&key) else {
            return;
        };
        item.failures += 1;
        let failures = item.failures;
        if max_attempts.is_some_and(|max_attempts| failures >= max_attempts) {
            return self.append_result(&key, ResultState::DeadLetter, String::new());
        }
        self.work
            .back_off(key, self.now_ms + FAILURE_BACKOFF_MS * u64::from(failures));
    }

    /// Records the furthest resume position of an item's runs. Returns the number of interrupted runs in a row that have
    /// not moved it.
    fn record_interruption(&mut self, key: &ItemKey, resume: Option<Resume>) -> u32 {
        let Some(item) = self.work.item_mut(key) else {
            return 0;
        };
        let reached = |resume: &Option<Resume>| resume.as_ref().map(|resume| resume.last_event_id);
        if reached(&resume) > reached(&item.resume) {
            item.resume = resume;
            item.interruptions = 0;
        } else {
            item.interruptions = item.interruptions.saturating_add(1);
        }
        item.interruptions
    }

    /// Appends the result of one item.
    fn append_result(&mut self, key: &ItemKey, state: ResultState, text: String) {
        let result = ItemResult {
            item: key.item,
            state,
            text,
        };
        self.append_results(&key.job, vec![result]);
    }

    /// Appends results of a job at the next positions and cancels the runs of these items.
    fn append_results(&mut self, id: &JobId, results: Vec<ItemResult>) {
        for result in &results {
            let run = self.work.finish(&ItemKey {
                job: id.clone(),
                item: result.item,
            });
            self.outputs.extend(run.map(Output::CancelRun));
            self.token_counts.finish(id, result.item);
        }
        let Some(job) = self.node.state().jobs.get(id).filter(|job| !job.ended) else {
            return;
        };
        let results: Vec<ItemResult> = results
            .into_iter()
            .filter(|result| !job.is_listed(result.item))
            .collect();
        if results.is_empty() {
            return;
        }
        let count = results.len();
        let position = job.results.len() as u32;
        let positions = position + results.len() as u32;
        let entry = Entry::ItemResults {
            job: id.clone(),
            position,
            results,
        };
        if let Some(index) = self.node.append(self.now_ms, entry) {
            self.items_listed += count as u64;
            self.await_commit(index, id.clone(), Change::Results { count, positions });
        }
    }

    /// Abandons the items of jobs whose retention has passed or whose route was removed, and forgets old jobs.
    pub(super) fn sweep(&mut self) {
        if !self.is_validated_primary(self.now_ms) {
            return;
        }
        let accepted = self.views.iter().filter(|(_, view)| view.accepted);
        let ids: Vec<JobId> = accepted.map(|(id, _)| id.clone()).collect();
        for id in ids {
            if self.may_forget(&id) {
                self.forget(&id);
            } else if self.must_abandon(&id) {
                let give_up = |item| ItemResult {
                    item,
                    state: ResultState::DeadLetter,
                    text: String::new(),
                };
                let results = self.work.open_items(&id).into_iter().map(give_up).collect();
                self.append_results(&id, results);
            }
        }
    }

    /// Whether a job's open items must be abandoned: its retention has passed, or its route was removed after its
    /// acceptance.
    fn must_abandon(&self, id: &JobId) -> bool {
        let Some(job) = self.node.state().jobs.get(id) else {
            return false;
        };
        match self.routes.get(&job.accepted.route) {
            Some(terms) => {
                job.age_ms(self.now_ms) >= terms.retention_ms.saturating_add(AGE_MARGIN_MS)
            }
            None => self.config_version > job.accepted.config_version,
        }
    }

    /// Whether a job is older than the status time and all of its results, or its end, are committed.
    fn may_forget(&self, id: &JobId) -> bool {
        let Some((view, job)) = self.views.get(id).zip(self.node.state().jobs.get(id)) else {
            return false;
        };
        let is_old = job.age_ms(self.now_ms) >= self.status_ms.saturating_add(AGE_MARGIN_MS);
        let is_closed = view.ended || view.visible as usize == job.accepted.items.len();
        is_old && is_closed
    }

    /// Deletes a job from this store and, by a record, from the others.
    fn forget(&mut self, id: &JobId) {
        self.node
            .append(self.now_ms, Entry::JobForgotten(id.clone()));
        self.views.remove(id);
        self.token_counts.remove(id);
        let runs = self.work.close(id);
        self.outputs.extend(runs.into_iter().map(Output::CancelRun));
    }
}

/// Delay before the next run of an item after so many interrupted ones: what cannot succeed is repeated ever more rarely
/// until its retention ends.
fn interruption_backoff_ms(retry_after_ms: u64, interruptions: u32) -> u64 {
    let doublings = interruptions.saturating_sub(INTERRUPTIONS_BEFORE_BACKOFF);
    let delay_ms = retry_after_ms.saturating_mul(2u64.saturating_pow(doublings));
    delay_ms.min(MAX_INTERRUPTION_BACKOFF_MS.max(retry_after_ms))
}
