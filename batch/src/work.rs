//! Scheduler queue of the items that are not done: ready, in backoff, postponed, or running. Owned by the engine of the
//! primary.
//!
//! An item in backoff waits for its turn like a ready one. A postponed item cannot run, whatever turn it gets, so it does
//! not count as waiting for a run.
//!
//! Items run in order of their due time. Items that cannot complete in time any longer come after all that can.

use crate::api::{Resume, RunId};
use crate::job::{Job, JobId};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// An item of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ItemKey {
    /// The job.
    pub job: JobId,
    /// Index of the item in the job.
    pub item: u32,
}

/// Key of a ready item, ordered by due time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ReadyKey {
    due_ms: i64,
    item: ItemKey,
}

/// Priority of a ready item; lower values run first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Turn {
    /// Whether a run that starts now is expected to end after the due time.
    pub is_too_late: bool,
    /// Due time, in milliseconds on the monotonic clock of this process.
    pub due_ms: i64,
}

/// A run that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// The item.
    pub item: ItemKey,
    /// Duration of the run in milliseconds.
    pub lasted_ms: u64,
}

/// A run in progress.
#[derive(Debug)]
struct Run {
    item: ItemKey,
    started_ms: u64,
}

/// Weight of a new sample in the moving average of run durations.
const RUN_TIME_SAMPLE: f64 = 0.05;

/// Key of an item in backoff or postponed, ordered by the end of that time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct DelayKey {
    until_ms: u64,
    item: ItemKey,
}

/// State of an open item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Ready,
    Backoff { until_ms: u64 },
    Postponed { until_ms: u64 },
    Running(RunId),
}

/// An item without a result.
#[derive(Debug, Clone)]
pub struct OpenItem {
    phase: Phase,
    /// Number of failed attempts (answers of 500) so far.
    pub failures: u32,
    /// Number of interrupted runs in a row that brought no further event.
    pub interruptions: u32,
    /// Furthest resume position of its interrupted runs.
    pub resume: Option<Resume>,
}

/// A job with open items.
#[derive(Debug)]
struct OpenJob {
    route: String,
    due_ms: i64,
    items: BTreeMap<u32, OpenItem>,
}

/// The open items of one route.
#[derive(Debug, Default)]
struct RouteQueue {
    ready: BTreeSet<ReadyKey>,
    /// Number of items in backoff.
    in_backoff: usize,
    /// Number of postponed items.
    postponed: usize,
    /// Number of items that are running.
    running: usize,
}

impl RouteQueue {
    /// Number of items that wait for a run.
    fn waiting(&self) -> usize {
        self.ready.len() + self.in_backoff
    }

    /// Counts an item that leaves this phase.
    fn count_end_of_delay(&mut self, phase: Phase) {
        match phase {
            Phase::Backoff { .. } => self.in_backoff = self.in_backoff.saturating_sub(1),
            Phase::Postponed { .. } => self.postponed = self.postponed.saturating_sub(1),
            Phase::Ready | Phase::Running(_) => {}
        }
    }

    fn is_empty(&self) -> bool {
        self.waiting() + self.postponed + self.running == 0
    }
}

/// All open items, by job and by state.
#[derive(Debug, Default)]
pub struct WorkQueue {
    jobs: HashMap<JobId, OpenJob>,
    /// The routes with open items.
    routes: BTreeMap<String, RouteQueue>,
    /// Items in backoff, and postponed ones.
    delayed: BTreeSet<DelayKey>,
    runs: HashMap<RunId, Run>,
    newest_run: u64,
    /// Moving average of the duration of completed runs in milliseconds; `None` before the first.
    run_ms: Option<f64>,
}

impl WorkQueue {
    /// Adds the items of a job that have no result, with their due time.
    pub fn open(&mut self, job: &Job, due_ms: i64) {
        let id = &job.accepted.id;
        if self.jobs.contains_key(id) {
            return;
        }
        let route = job.accepted.route.clone();
        let queue = self.routes.entry(route.clone()).or_default();
        let mut items = BTreeMap::new();
        for item in (0..job.accepted.items.len() as u32).filter(|item| !job.is_listed(*item)) {
            queue.ready.insert(ReadyKey {
                due_ms,
                item: ItemKey {
                    job: id.clone(),
                    item,
                },
            });
            items.insert(
                item,
                OpenItem {
                    phase: Phase::Ready,
                    failures: 0,
                    interruptions: 0,
                    resume: None,
                },
            );
        }
        if items.is_empty() {
            self.remove_route_if_empty(&route);
            return;
        }
        self.jobs.insert(
            id.clone(),
            OpenJob {
                route,
                due_ms,
                items,
            },
        );
    }

    fn remove_route_if_empty(&mut self, route: &str) {
        if self.routes.get(route).is_some_and(RouteQueue::is_empty) {
            self.routes.remove(route);
        }
    }

    /// Makes the items ready whose backoff or postponement has ended.
    pub fn wake(&mut self, now_ms: u64) {
        while let Some(delay) = self
            .delayed
            .first()
            .filter(|delay| delay.until_ms <= now_ms)
            .cloned()
        {
            self.delayed.remove(&delay);
            self.set_ready(delay.item);
        }
    }

    /// Makes an open item ready.
    fn set_ready(&mut self, key: ItemKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(item) = job.items.get_mut(&key.item) else {
            return;
        };
        let queue = self.routes.entry(job.route.clone()).or_default();
        queue.count_end_of_delay(item.phase);
        item.phase = Phase::Ready;
        queue.ready.insert(ReadyKey {
            due_ms: job.due_ms,
            item: key,
        });
    }

    /// The ready item of a route that runs next.
    pub fn first_ready(&self, route: &str, now_ms: u64) -> Option<&ItemKey> {
        self.first(route, now_ms).map(|(ready, _)| &ready.item)
    }

    /// Priority of the ready item of a route that runs next.
    pub fn first_turn(&self, route: &str, now_ms: u64) -> Option<Turn> {
        self.first(route, now_ms).map(|(ready, is_too_late)| Turn {
            is_too_late,
            due_ms: ready.due_ms,
        })
    }

    /// The ready item with the earliest due time among those that can complete in time, or among all if there is none;
    /// with whether it is too late.
    fn first(&self, route: &str, now_ms: u64) -> Option<(&ReadyKey, bool)> {
        let ready = &self.routes.get(route)?.ready;
        let ends_ms = now_ms as i64 + self.run_ms.unwrap_or(0.0) as i64;
        let soonest = ItemKey {
            job: JobId(String::new()),
            item: 0,
        };
        let in_time = ready
            .range(
                ReadyKey {
                    due_ms: ends_ms,
                    item: soonest,
                }..,
            )
            .next();
        in_time
            .map(|ready| (ready, false))
            .or_else(|| Some((ready.first()?, true)))
    }

    /// Records the duration of a run that completed its item.
    pub fn record_completed(&mut self, lasted_ms: u64) {
        let lasted = lasted_ms as f64;
        let run_ms = self.run_ms.get_or_insert(lasted);
        *run_ms += RUN_TIME_SAMPLE * (lasted - *run_ms);
    }

    /// Routes with ready items.
    pub fn ready_routes(&self) -> impl Iterator<Item = &str> {
        self.routes
            .iter()
            .filter(|(_, queue)| !queue.ready.is_empty())
            .map(|(route, _)| route.as_str())
    }

    /// Starts a run of a ready item.
    pub fn start(&mut self, key: &ItemKey, now_ms: u64) -> Option<(RunId, &OpenItem)> {
        let job = self.jobs.get_mut(&key.job)?;
        let item = job
            .items
            .get_mut(&key.item)
            .filter(|item| item.phase == Phase::Ready)?;
        self.newest_run += 1;
        let run = RunId(self.newest_run);
        item.phase = Phase::Running(run);
        self.runs.insert(
            run,
            Run {
                item: key.clone(),
                started_ms: now_ms,
            },
        );
        let queue = self.routes.entry(job.route.clone()).or_default();
        queue.ready.remove(&ReadyKey {
            due_ms: job.due_ms,
            item: key.clone(),
        });
        queue.running += 1;
        Some((run, item))
    }

    /// Removes a run that ended. The caller must then call [`WorkQueue::back_off`], [`WorkQueue::postpone`] or
    /// [`WorkQueue::finish`] for its item.
    pub fn end_run(&mut self, run: RunId, now_ms: u64) -> Option<EndedRun> {
        let Run { item, started_ms } = self.runs.remove(&run)?;
        self.count_ended_run(&item.job);
        Some(EndedRun {
            item,
            lasted_ms: now_ms.saturating_sub(started_ms),
        })
    }

    fn count_ended_run(&mut self, job: &JobId) {
        let route = self.jobs.get(job).map(|job| job.route.as_str());
        let queue = route.and_then(|route| self.routes.get_mut(route));
        if let Some(queue) = queue {
            queue.running = queue.running.saturating_sub(1);
        }
    }

    /// An open item, to update its failures or its resume position.
    pub fn item_mut(&mut self, key: &ItemKey) -> Option<&mut OpenItem> {
        self.jobs.get_mut(&key.job)?.items.get_mut(&key.item)
    }

    /// Puts an item whose run has ended into backoff until `until_ms`.
    pub fn back_off(&mut self, key: ItemKey, until_ms: u64) {
        if let Some(queue) = self.set_delayed(key, until_ms, Phase::Backoff { until_ms }) {
            queue.in_backoff += 1;
        }
    }

    /// Postpones an item whose run was not sent to any backend until `until_ms`.
    pub fn postpone(&mut self, key: ItemKey, until_ms: u64) {
        if let Some(queue) = self.set_delayed(key, until_ms, Phase::Postponed { until_ms }) {
            queue.postponed += 1;
        }
    }

    /// Sets the phase of an item that becomes ready at `until_ms`. Returns the queue of its route.
    fn set_delayed(
        &mut self,
        key: ItemKey,
        until_ms: u64,
        phase: Phase,
    ) -> Option<&mut RouteQueue> {
        let job = self.jobs.get_mut(&key.job)?;
        job.items.get_mut(&key.item)?.phase = phase;
        let queue = self.routes.entry(job.route.clone()).or_default();
        self.delayed.insert(DelayKey {
            until_ms,
            item: key,
        });
        Some(queue)
    }

    /// Removes an item that is done. Returns its run if one is in progress.
    pub fn finish(&mut self, key: &ItemKey) -> Option<RunId> {
        let job = self.jobs.get_mut(&key.job)?;
        let item = job.items.remove(&key.item)?;
        let (route, due_ms) = (job.route.clone(), job.due_ms);
        if job.items.is_empty() {
            self.jobs.remove(&key.job);
        }
        let queue = self.routes.entry(route.clone()).or_default();
        let run = match item.phase {
            Phase::Ready => {
                queue.ready.remove(&ReadyKey {
                    due_ms,
                    item: key.clone(),
                });
                None
            }
            Phase::Backoff { until_ms } | Phase::Postponed { until_ms } => {
                queue.count_end_of_delay(item.phase);
                self.delayed.remove(&DelayKey {
                    until_ms,
                    item: key.clone(),
                });
                None
            }
            Phase::Running(run) => self.runs.remove(&run).map(|_| {
                queue.running = queue.running.saturating_sub(1);
                run
            }),
        };
        self.remove_route_if_empty(&route);
        run
    }

    /// Open items of a job.
    pub fn open_items(&self, job: &JobId) -> Vec<u32> {
        self.jobs
            .get(job)
            .map(|job| job.items.keys().copied().collect())
            .unwrap_or_default()
    }

    /// Removes all items of a job. Returns its runs in progress.
    pub fn close(&mut self, job: &JobId) -> Vec<RunId> {
        let items = self.open_items(job);
        items
            .into_iter()
            .filter_map(|item| {
                self.finish(&ItemKey {
                    job: job.clone(),
                    item,
                })
            })
            .collect()
    }

    /// Removes all items. Returns all runs in progress.
    pub fn clear(&mut self) -> Vec<RunId> {
        let runs = self.runs.drain().map(|(run, _)| run).collect();
        self.jobs.clear();
        self.routes.clear();
        self.delayed.clear();
        runs
    }

    /// Number of items that are not running, including those in backoff and postponed ones, and of running items.
    pub fn load(&self) -> (usize, usize) {
        let queues = self.routes.values();
        let waiting = queues.map(|queue| queue.waiting() + queue.postponed).sum();
        (waiting, self.runs.len())
    }

    /// Number of waiting items of a route, including those in backoff.
    pub fn waiting_items(&self, route: &str) -> usize {
        self.routes.get(route).map_or(0, RouteQueue::waiting)
    }

    /// Number of running items of a route.
    pub fn running_items(&self, route: &str) -> usize {
        self.routes.get(route).map_or(0, |queue| queue.running)
    }

    /// Routes with waiting items, and their number.
    pub fn waiting_routes(&self) -> impl Iterator<Item = (&str, usize)> {
        self.routes
            .iter()
            .map(|(route, queue)| (route.as_str(), queue.waiting()))
            .filter(|(_, waiting)| *waiting > 0)
    }

    /// End of the next backoff or postponement.
    pub fn next_wake_ms(&self) -> Option<u64> {
        self.delayed.first().map(|delay| delay.until_ms)
    }
}
