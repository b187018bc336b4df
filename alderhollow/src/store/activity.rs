//! Recent activity of a store across all its groups. Publishes the engines' counts as metrics, and logs one line for each
//! interval of five seconds in which the store processed batch jobs.

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

const LOG_INTERVAL: Duration = Duration::from_secs(5);
const LOG_TARGET: &str = "alderhollow::store";
/// Limit of the commit times that are kept per interval for the median; later ones only count towards the maximum.
const MAX_COMMIT_SAMPLES: usize = 4_096;
const SERVICE_COUNT: usize = Service::ALL.len();

/// Recent activity of a store.
#[derive(Default)]
pub struct Activity {
    /// Accepted jobs whose commit is pending, with the time of acceptance.
    pending: RefCell<HashMap<PendingAcceptance, Instant>>,
    commits: RefCell<CommitTimes>,
    published: Cell<EngineCounts>,
    summary: Cell<StoreSummary>,
    last_log: RefCell<Option<LastLog>>,
}

/// Identifies an accepted job whose commit is pending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct PendingAcceptance {
    group: GroupId,
    token: Token,
}

/// Totals over the groups of a store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreSummary {
    /// Groups that have an engine at this store.
    pub groups: usize,
    /// Groups of which this store is the primary.
    pub led: usize,
    /// Groups of which this store is the primary in an active epoch.
    pub active: usize,
    /// Highest epoch of any group.
    pub newest_epoch: u64,
    /// Items that wait to be run.
    pub waiting: usize,
    /// Items that are running.
    pub running: usize,
}

/// State at the end of the previous log interval, whether or not a line was logged.
struct LastLog {
    at: Instant,
    totals: Totals,
}

impl Activity {
    /// Records an accepted job whose commit is pending. Returns whether it was not recorded yet.
    pub fn record_accepted(&self, group: GroupId, token: Token) -> bool {
        let mut pending = self.pending.borrow_mut();
        let previous_len = pending.len();
        pending
            .entry(PendingAcceptance { group, token })
            .or_insert_with(Instant::now);
        pending.len() > previous_len
    }

    /// Records the outcome of an operation.
    pub fn record_resolved(&self, group: GroupId, token: Token, outcome: Outcome) {
        let acceptance = PendingAcceptance { group, token };
        let Some(accepted_at) = self.pending.borrow_mut().remove(&acceptance) else {
            return;
        };
        if outcome == Outcome::Committed {
            let latency = accepted_at.elapsed();
            metrics::get().store.committed(latency);
            self.commits.borrow_mut().record(latency);
        }
    }

    /// Adds the counts of an engine since its previous report.
    pub fn add_engine_counts(&self, counts: EngineCounts) {
        self.published.set(self.published.get() + counts);
        metrics::get().store.engine_counted(counts);
    }

    /// Sets the current totals over all groups.
    pub fn set_summary(&self, summary: StoreSummary) {
        self.summary.set(summary);
        metrics::get().store.part(&summary);
    }

    /// Logs a line if the interval has passed and the store was not idle.
    pub fn log_if_due(&self, take_longest_sync: impl FnOnce() -> Duration) {
        if let Some(line) = self.line_if_due(take_longest_sync) {
            log::info!(target: LOG_TARGET, "{line}");
        }
    }

    /// Returns the line to log, if one is due. The first call only starts the first interval.
    fn line_if_due(&self, take_longest_sync: impl FnOnce() -> Duration) -> Option<String> {
        let now = Instant::now();
        let mut last_log = self.last_log.borrow_mut();
        if last_log
            .as_ref()
            .is_some_and(|last| now < last.at + LOG_INTERVAL)
        {
            return None;
        }
        let totals = Totals::now(self.published.get());
        let earlier = last_log.replace(LastLog { at: now, totals });
        let commits = self.commits.take();
        let longest_sync_ms = take_longest_sync().as_millis();
        let delta = totals.since(&earlier?.totals);
        let summary = self.summary.get();
        if delta.is_idle() && summary.waiting + summary.running == 0 {
            return None;
        }
        Some(format!(
            "{delta}, {summary}, {commits}, sync max {longest_sync_ms} ms"
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

/// Times from acceptance to commit within one log interval.
#[derive(Default)]
struct CommitTimes {
    times: Vec<Duration>,
    longest: Duration,
}

impl CommitTimes {
    fn record(&mut self, latency: Duration) {
        self.longest = self.longest.max(latency);
        if self.times.len() < MAX_COMMIT_SAMPLES {
            self.times.push(latency);
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

/// Counts since the start of the process, or between two points in time.
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
    /// Returns the counts since the start of the process.
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

    /// Returns the difference to earlier counts.
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

    /// Whether no batch or replication traffic and no listed items were counted.
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

/// Formats kilobytes by service; services without traffic are left out.
struct BytesByService<'a>(&'a [u64; SERVICE_COUNT]);

impl fmt::Display for BytesByService<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let nonzero = Service::ALL
            .iter()
            .zip(self.0)
            .filter(|(_, bytes)| **bytes > 0);
        let parts: Vec<String> = nonzero
            .map(|(service, bytes)| format!("{} {} kB", service.value(), bytes.div_ceil(1_000)))
            .collect();
        write!(formatter, "({})", parts.join(" "))
    }
}

#[cfg(test)]
mod tests;
