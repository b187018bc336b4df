//! Read loop of the platform's list. Only the core's primary reads it, while it has the lease.

use super::changes::ListVersioner;
use super::platform::{Platform, PlatformError};
use crate::clock::SteadyClock;
use crate::distribution::server::{Authority, PublishedBackends};
use crate::distribution::signal::ChangeSignal;
use alderhollow_model::backend::{Backend, BackendState};
use oorandom::Rand32;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Interval between two reads. Each call to the platform has a price; a drain must reach all gateways within `drain-ms`,
/// which is several seconds.
const READ_INTERVAL: Duration = Duration::from_millis(700);
/// Interval between two reads while the list is empty.
const EMPTY_LIST_READ_INTERVAL: Duration = Duration::from_millis(250);
/// Backoff after a failed read. It doubles up to the maximum; the actual delay is drawn between half of it and all of it.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_500);
/// Fraction of the platform's rate limit that the pages of one list may use.
const PAGE_RATE_FRACTION: f64 = 0.5;

/// The reader of one process.
pub struct Reader {
    /// Client of the platform.
    pub platform: Platform,
    /// The platform's rate limit over all processes, in calls per second.
    pub rate_per_s: f64,
    /// Whether this process is the primary with a lease.
    pub authority: Rc<dyn Authority>,
    /// The process's clock.
    pub clock: SteadyClock,
    /// Where changed lists are published.
    pub published: watch::Sender<Option<PublishedBackends>>,
    /// Notified at each change of the list; also signals changes of the primary.
    pub changes: ChangeSignal,
}

impl Reader {
    /// Reads until the future is dropped. `seed` determines the random part of the backoff.
    pub async fn run(mut self, seed: u64) {
        let mut versioner = ListVersioner::default();
        let mut random = Rand32::new(seed);
        let mut retry_delay = INITIAL_RETRY_DELAY;
        loop {
            let epoch = self.wait_for_lease().await;
            let started = Instant::now();
            let pause = match self.platform.read(self.page_delay()).await {
                Ok(backends) => {
                    retry_delay = INITIAL_RETRY_DELAY;
                    let is_empty = backends.is_empty();
                    log::debug!(
                        "read {} backends in {} ms",
                        backends.len(),
                        started.elapsed().as_millis()
                    );
                    self.publish(epoch, backends, &mut versioner);
                    if is_empty {
                        EMPTY_LIST_READ_INTERVAL
                    } else {
                        READ_INTERVAL
                    }
                }
                Err(error) => {
                    self.log_failure(&error);
                    let pause = retry_delay.mul_f32(0.5 + 0.5 * random.rand_float());
                    retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                    pause
                }
            };
            tokio::time::sleep(pause).await;
        }
    }

    async fn wait_for_lease(&self) -> u64 {
        let mut changes = self.changes.subscribe();
        loop {
            if let Some(epoch) = self.authority.leased_epoch() {
                return epoch;
            }
            let _ = tokio::time::timeout(READ_INTERVAL, changes.changed()).await;
        }
    }

    /// Publishes a list if it changed and this process is still primary of the epoch in which the read started.
    fn publish(&self, epoch: u64, backends: Vec<Backend>, versioner: &mut ListVersioner) {
        let leased_epoch = self.authority.leased_epoch();
        if leased_epoch != Some(epoch) {
            log::info!(
                "dropped a list that was read in epoch {epoch}, now {leased_epoch:?}: {} backends",
                backends.len()
            );
            return;
        }
        let now_ms = self.clock.now_ms();
        if let Some(list) = versioner.update(epoch, backends, now_ms) {
            log::info!(
                "backends: {} ({} draining) in list {} of epoch {epoch}",
                list.backends.len(),
                draining(&list.backends),
                list.sequence
            );
            self.published.send_replace(Some(PublishedBackends {
                list,
                read_at_ms: now_ms,
            }));
            self.changes.notify();
        }
    }

    fn page_delay(&self) -> Duration {
        let rate = (self.rate_per_s * PAGE_RATE_FRACTION).max(1.0);
        Duration::from_secs_f64(1.0 / rate)
    }

    fn log_failure(&self, error: &PlatformError) {
        log::warn!("{error}; the former backend list stays in use");
    }
}

fn draining(backends: &[Backend]) -> usize {
    let is_draining = |backend: &&Backend| backend.state == BackendState::Draining;
    backends.iter().filter(is_draining).count()
}
