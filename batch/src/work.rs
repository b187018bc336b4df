//! Which items wait for a run, which run, and in what order they take their turns: those due first in front, but those that
//! can't be done in time any more behind all that can.

use crate::api::{Resume, RunId};
use crate::job::{Job, JobId};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// An item of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ItemKey {
    /// The job.
    pub job: JobId,
    /// Index of the item.
    pub item: u32,
}

/// Place in the order of items that wait: what is due first comes first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ReadyKey {
    due_ms: i64,
    item: ItemKey,
}

/// The turn of an item that waits: less comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Turn {
    /// Whether a run that began now would end after it is due.
    pub is_too_late: bool,
    /// When it is due.
    pub due_ms: i64,
}

/// A run that is over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Its item.
    pub item: ItemKey,
    /// How long it lasted.
    pub lasted_ms: u64,
}

/// A run under way.
#[derive(Debug)]
struct Run {
    item: ItemKey,
    started_ms: u64,
}

/// Weight of a new run in the usual time of runs.
const RUN_TIME_SAMPLE: f64 = 0.05;

/// An item that pauses until a moment.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct PausedKey {
    until_ms: u64,
    item: ItemKey,
}

/// Where an item is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Ready,
    Paused { until_ms: u64 },
    Running(RunId),
}

/// An item that is not done.
#[derive(Debug, Clone)]
pub struct OpenItem {
    phase: Phase,
    /// Answers of 500 so far.
    pub failures: u32,
    /// How far its runs got.
    pub resume: Option<Resume>,
}

/// A job with items that are not done.
#[derive(Debug)]
struct OpenJob {
    route: String,
    due_ms: i64,
    items: BTreeMap<u32, OpenItem>,
}

/// The items that are not done.
#[derive(Debug, Default)]
pub struct WorkQueue {
    jobs: HashMap<JobId, OpenJob>,
    ready: BTreeMap<String, BTreeSet<ReadyKey>>,
    paused: BTreeSet<PausedKey>,
    runs: HashMap<RunId, Run>,
    newest_run: u64,
    /// How long runs that completed an item lasted, on average of late; `None` before the first.
    run_ms: Option<f64>,
}

impl WorkQueue {
    /// Takes in the items of a job that have no result, due at a moment.
    pub fn open(&mut self, job: &Job, due_ms: i64) {
        let id = &job.accepted.id;
        if self.jobs.contains_key(id) {
            return;
        }
        let route = job.accepted.route.clone();
        let ready = self.ready.entry(route.clone()).or_default();
        let mut items = BTreeMap::new();
        for item in (0..job.accepted.items.len() as u32).filter(|item| !job.is_listed(*item)) {
            ready.insert(ReadyKey {
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
                    resume: None,
                },
            );
        }
        if !items.is_empty() {
            self.jobs.insert(
                id.clone(),
                OpenJob {
                    route,
                    due_ms,
                    items,
                },
            );
        }
    }

    /// Puts the items whose pause is over among the ready ones.
    pub fn wake(&mut self, now_ms: u64) {
        while let Some(paused) = self
            .paused
            .first()
            .filter(|paused| paused.until_ms <= now_ms)
            .cloned()
        {
            self.paused.remove(&paused);
            self.set_ready(paused.item);
        }
    }

    /// Puts an open item among the ready ones.
    fn set_ready(&mut self, key: ItemKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(item) = job.items.get_mut(&key.item) else {
            return;
        };
        item.phase = Phase::Ready;
        let ready = self.ready.entry(job.route.clone()).or_default();
        ready.insert(ReadyKey {
            due_ms: job.due_ms,
            item: key,
        });
    }

    /// The ready item of a route whose turn it is.
    pub fn first_ready(&self, route: &str, now_ms: u64) -> Option<&ItemKey> {
        self.first(route, now_ms).map(|(ready, _)| &ready.item)
    }

    /// The turn of that item.
    pub fn first_turn(&self, route: &str, now_ms: u64) -> Option<Turn> {
        self.first(route, now_ms).map(|(ready, is_too_late)| Turn {
            is_too_late,
            due_ms: ready.due_ms,
        })
    }

    /// The ready item that is due first of those that a run can end in time, else of all.
    fn first(&self, route: &str, now_ms: u64) -> Option<(&ReadyKey, bool)> {
        let ready = self.ready.get(route)?;
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

    /// Learns from a run that completed its item.
    pub fn record_completed(&mut self, lasted_ms: u64) {
        let lasted = lasted_ms as f64;
        let run_ms = self.run_ms.get_or_insert(lasted);
        *run_ms += RUN_TIME_SAMPLE * (lasted - *run_ms);
    }

    /// Routes with ready items.
    pub fn ready_routes(&self) -> impl Iterator<Item = &str> {
        self.ready
            .iter()
            .filter(|(_, ready)| !ready.is_empty())
            .map(|(route, _)| route.as_str())
    }

    /// Starts a run of an item that is ready.
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
        let ready = self.ready.get_mut(&job.route);
        ready.map(|ready| {
            ready.remove(&ReadyKey {
                due_ms: job.due_ms,
                item: key.clone(),
            })
        });
        Some((run, item))
    }

    /// A run is over: its item, which then pauses until [`WorkQueue::pause`] or [`WorkQueue::finish`] is called.
    pub fn end_run(&mut self, run: RunId, now_ms: u64) -> Option<EndedRun> {
        let Run { item, started_ms } = self.runs.remove(&run)?;
        Some(EndedRun {
            item,
            lasted_ms: now_ms.saturating_sub(started_ms),
        })
    }

    /// An open item, to note what its run showed.
    pub fn item_mut(&mut self, key: &ItemKey) -> Option<&mut OpenItem> {
        self.jobs.get_mut(&key.job)?.items.get_mut(&key.item)
    }

    /// An item whose run is over waits until a moment.
    pub fn pause(&mut self, key: ItemKey, until_ms: u64) {
        if let Some(item) = self.item_mut(&key) {
            item.phase = Phase::Paused { until_ms };
            self.paused.insert(PausedKey {
                until_ms,
                item: key,
            });
        }
    }

    /// An item is done; its run, if one is under way.
    pub fn finish(&mut self, key: &ItemKey) -> Option<RunId> {
        let job = self.jobs.get_mut(&key.job)?;
        let item = job.items.remove(&key.item)?;
        let (route, due_ms) = (job.route.clone(), job.due_ms);
        if job.items.is_empty() {
            self.jobs.remove(&key.job);
        }
        match item.phase {
            Phase::Ready => {
                let ready = self.ready.get_mut(&route);
                ready.map(|ready| {
                    ready.remove(&ReadyKey {
                        due_ms,
                        item: key.clone(),
                    })
                });
                None
            }
            Phase::Paused { until_ms } => {
                self.paused.remove(&PausedKey {
                    until_ms,
                    item: key.clone(),
                });
                None
            }
            Phase::Running(run) => self.runs.remove(&run).map(|_| run),
        }
    }

    /// Open items of a job.
    pub fn open_items(&self, job: &JobId) -> Vec<u32> {
        self.jobs
            .get(job)
            .map(|job| job.items.keys().copied().collect())
            .unwrap_or_default()
    }

    /// Nothing of a job is to be run any more; its runs under way.
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

    /// Nothing is to be run any more; the runs under way.
    pub fn clear(&mut self) -> Vec<RunId> {
        let runs = self.runs.drain().map(|(run, _)| run).collect();
        self.jobs.clear();
        self.ready.clear();
        self.paused.clear();
        runs
    }

    /// Items that wait, paused ones included, and that run.
    pub fn load(&self) -> (usize, usize) {
        let ready: usize = self.ready.values().map(BTreeSet::len).sum();
        (ready + self.paused.len(), self.runs.len())
    }

    /// When the next pause is over.
    pub fn next_wake_ms(&self) -> Option<u64> {
        self.paused.first().map(|paused| paused.until_ms)
    }
}
