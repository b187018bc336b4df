//! What a store did lately, over all its groups: publishes the engines' counts as metrics, and logs one line about each five
//! seconds in which the store did something for batch jobs.

use crate::metrics;
use crate::metrics::family::Label;
use crate::metrics::internal::Service;
use crate::metrics::store::SubmitResult;
use alderhollow_batch::api::{Outcome, Token};
use alderhollow_batch::counts::EngineCounts;
use alderhollow_model::snapshot::GroupId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// How often a line is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Where the lines stand in the log.
const LOG_TARGET: &str = "alderhollow::store";
/// Most times of commits that are kept for a line's median; further ones only count for the longest.
const MAX_COMMIT_SAMPLES: usize = 4_096;
const SERVICE_COUNT: usize = Service::ALL.len();

/// What a store did lately.
#[derive(Default)]
pub struct Activity {
    /// Acceptances whose commit is under way.
    pending: RefCell<HashMap<PendingAcceptance, Instant>>,
    commits: RefCell<CommitTimes>,
    published: Cell<EngineCounts>,
    part: Cell<StoreSummary>,
    logged: RefCell<Option<LastLog>>,
}

/// Names an acceptance whose commit is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct PendingAcceptance {
    group: GroupId,
    token: Token,
}

/// A store's part in all groups.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreSummary {
    /// Groups of which it has an engine.
    pub groups: usize,
    /// Those that it leads.
    pub led: usize,
    /// Those that it leads, with an active epoch.
    pub active: usize,
    /// The newest epoch of any of them.
    pub newest_epoch: u64,
    /// Items that wait for a run.
    pub waiting: usize,
    /// Items that run.
    pub running: usize,
}

/// The last line that was logged, or could have been.
struct LastLog {
    at: Instant,
    totals: Totals,
}

impl Activity {
    /// The commit of an acceptance is under way; whether that is news.
    pub fn record_accepted(&self, group: GroupId, token: Token) -> bool {
        let mut pending = self.pending.borrow_mut();
        let known = pending.len();
        pending
            .entry(PendingAcceptance { group, token })
            .or_insert_with(Instant::now);
        pending.len() > known
    }

    /// An operation has ended.
    pub fn record_resolved(&self, group: GroupId, token: Token, outcome: Outcome) {
        let acceptance = PendingAcceptance { group, token };
        let Some(accepted_at) = self.pending.borrow_mut().remove(&acceptance) else {
            return;
        };
        if outcome == Outcome::Committed {
            let after = accepted_at.elapsed();
            metrics::get().store.committed(after);
            self.commits.borrow_mut().record(after);
        }
    }

    /// Adds what an engine counted since it was last asked.
    pub fn add_engine_counts(&self, counts: EngineCounts) {
        self.published.set(self.published.get() + counts);
        metrics::get().store.engine_counted(counts);
    }

    /// Notes the store's part in all groups.
    pub fn set_summary(&self, part: StoreSummary) {
        self.part.set(part);
        metrics::get().store.part(&part);
    }

    /// Logs a line if it is time and something was done since the last one.
    pub fn log_if_due(&self, take_longest_sync: impl FnOnce() -> Duration) {
        if let Some(line) = self.line_if_due(take_longest_sync) {
            log::info!(target: LOG_TARGET, "{line}");
        }
    }

    /// The line to log. The first look only begins the first period.
    fn line_if_due(&self, take_longest_sync: impl FnOnce() -> Duration) -> Option<String> {
        let now = Instant::now();
        let mut logged = self.logged.borrow_mut();
        if logged
            .as_ref()
            .is_some_and(|last| now < last.at + LOG_INTERVAL)
        {
            return None;
        }
        let totals = Totals::now(self.published.get());
        let earlier = logged.replace(LastLog { at: now, totals });
        let commits = self.commits.take();
        let longest_sync_ms = take_longest_sync().as_millis();
        let done = totals.since(&earlier?.totals);
        let part = self.part.get();
        if done.is_idle() && part.waiting + part.running == 0 {
            return None;
        }
        Some(format!(
            "{done}, {part}, {commits}, sync max {longest_sync_ms} ms"
        ))
    }
}

impl fmt::Display for StoreSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StoreSummary {
            groups,
            led,
            active,
            newest_epoch,
            waiting,
            running,
        } = self;
        write!(formatter, "waiting {waiting}, running {running}, ")?;
        write!(
            formatter,
            "groups {groups}, led {led}, active {active}, newest epoch {newest_epoch}"
        )
    }
}

/// Times of commits.
#[derive(Default)]
struct CommitTimes {
    times: Vec<Duration>,
    longest: Duration,
}

impl CommitTimes {
    fn record(&mut self, after: Duration) {
        self.longest = self.longest.max(after);
        if self.times.len() < MAX_COMMIT_SAMPLES {
            self.times.push(after);
        }
    }

    fn median(&self) -> Duration {
        let mut times = self.times.clone();
        times.sort_unstable();
        times.get(times.len() / 2).copied().unwrap_or_default()
    }
}

impl fmt::Display for CommitTimes {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "commit p50 {} ms max {} ms",
            self.median().as_millis(),
            self.longest.as_millis()
        )
    }
}

/// Counts since the start, or between two moments.
#[derive(Debug, Clone, Copy, Default)]
struct Totals {
    accepted: u64,
    refused: u64,
    not_sure: u64,
    engine: EngineCounts,
    sent_bytes: [u64; SERVICE_COUNT],
    received_bytes: [u64; SERVICE_COUNT],
}

impl Totals {
    /// Since the start of the process.
    fn now(engine: EngineCounts) -> Totals {
        let metrics = metrics::get();
        let by_service = |bytes: &dyn Fn(Service) -> u64| {
            let mut counts = [0; SERVICE_COUNT];
            for service in Service::ALL {
                counts[service.index()] = bytes(*service);
            }
            counts
        };
        Totals {
            accepted: metrics.store.jobs(SubmitResult::Accepted),
            refused: metrics.store.jobs(SubmitResult::OverQuota),
            not_sure: metrics.store.jobs(SubmitResult::NotSure),
            engine,
            sent_bytes: by_service(&|service| metrics.internal.sent_bytes(service)),
            received_bytes: by_service(&|service| metrics.internal.received_bytes(service)),
        }
    }

    /// What was added since an earlier moment.
    fn since(&self, earlier: &Totals) -> Totals {
        Totals {
            accepted: self.accepted.saturating_sub(earlier.accepted),
            refused: self.refused.saturating_sub(earlier.refused),
            not_sure: self.not_sure.saturating_sub(earlier.not_sure),
            engine: self.engine - earlier.engine,
            sent_bytes: differences(&self.sent_bytes, &earlier.sent_bytes),
            received_bytes: differences(&self.received_bytes, &earlier.received_bytes),
        }
    }

    /// Whether nothing was done for batch jobs.
    fn is_idle(&self) -> bool {
        let bytes = |service: Service| {
            self.sent_bytes[service.index()] + self.received_bytes[service.index()]
        };
        bytes(Service::Batch) + bytes(Service::Replication) + self.engine.items_listed == 0
    }
}

impl fmt::Display for Totals {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let replication = self.engine.replication;
        write!(
            formatter,
            "accepted {}, refused {}, not sure {}, listed {}, out {}, in {}, retries {}, comparisons {}",
            self.accepted,
            self.refused,
            self.not_sure,
            self.engine.items_listed,
            BytesByService(&self.sent_bytes),
            BytesByService(&self.received_bytes),
            replication.retries,
            replication.comparisons,
        )
    }
}

fn differences(
    counts: &[u64; SERVICE_COUNT],
    earlier: &[u64; SERVICE_COUNT],
) -> [u64; SERVICE_COUNT] {
    let mut differences = *counts;
    for (count, before) in differences.iter_mut().zip(earlier) {
        *count = count.saturating_sub(*before);
    }
    differences
}

/// Kilobytes by service, where there are any.
struct BytesByService<'a>(&'a [u64; SERVICE_COUNT]);

impl fmt::Display for BytesByService<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let moved = Service::ALL
            .iter()
            .zip(self.0)
            .filter(|(_, bytes)| **bytes > 0);
        let parts: Vec<String> = moved
            .map(|(service, bytes)| format!("{} {} kB", service.value(), bytes.div_ceil(1_000)))
            .collect();
        write!(formatter, "({})", parts.join(" "))
    }
}

#[cfg(test)]
mod tests;
