//! When the platform's list is read: by the core's primary alone, while it holds its lease.

use super::changes::ListKeeper;
use super::platform::{Platform, PlatformError};
use crate::clock::SteadyClock;
use crate::distribution::server::{Authority, PublishedBackends};
use crate::distribution::signal::ChangeSignal;
use oorandom::Rand32;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// Between two readings. Each call to the platform is priced; a drain must reach all gateways within `drain-ms` (seconds).
const READ_INTERVAL: Duration = Duration::from_millis(700);
/// Between two readings as long as the list is empty.
const FIRST_READ_INTERVAL: Duration = Duration::from_millis(250);
/// After a failed reading; doubles up to the longest, and half of it is drawn.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(200);
const LONGEST_RETRY_PAUSE: Duration = Duration::from_millis(1_500);
/// Pages of one list follow each other at this part of the bound on calls.
const PAGE_RATE_SHARE: f64 = 0.5;

/// Reads the list for one process.
pub struct Reader {
    /// Where it is read.
    pub platform: Platform,
    /// Calls a second that the platform takes from all processes.
    pub rate_per_s: f64,
    /// Tells whether this process is the primary.
    pub authority: Rc<dyn Authority>,
    /// The process's clock.
    pub clock: SteadyClock,
    /// Where lists go.
    pub published: watch::Sender<Option<PublishedBackends>>,
    /// Told at each change of the list, and tells of changes of the primary.
    pub changes: ChangeSignal,
}

impl Reader {
    /// Reads until the future is dropped.
    pub async fn run(mut self, seed: u64) {
        let mut keeper = ListKeeper::default();
        let mut random = Rand32::new(seed);
        let mut retry_pause = FIRST_RETRY_PAUSE;
        loop {
            let epoch = self.wait_for_lease().await;
            let pause = match self.platform.read(self.page_pause()).await {
                Ok(backends) => {
                    retry_pause = FIRST_RETRY_PAUSE;
                    let is_empty = backends.is_empty();
                    self.publish(epoch, backends, &mut keeper);
                    if is_empty {
                        FIRST_READ_INTERVAL
                    } else {
                        READ_INTERVAL
                    }
                }
                Err(error) => {
                    self.log_failure(&error);
                    let pause = retry_pause.mul_f32(0.5 + 0.5 * random.rand_float());
                    retry_pause = (retry_pause * 2).min(LONGEST_RETRY_PAUSE);
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

    /// Publishes a list, if this process has been the primary of one epoch all the while it was read.
    fn publish(
        &self,
        epoch: u64,
        backends: Vec<alderhollow_model::backend::Backend>,
        keeper: &mut ListKeeper,
    ) {
        if self.authority.leased_epoch() != Some(epoch) {
            return;
        }
        let now_ms = self.clock.now_ms();
        if let Some(list) = keeper.take(epoch, backends, now_ms) {
            log::info!(
                "backends: {} in list {} of epoch {epoch}",
                list.backends.len(),
                list.sequence
            );
            self.published.send_replace(Some(PublishedBackends {
                list,
                read_at_ms: now_ms,
            }));
            self.changes.notify();
        }
    }

    fn page_pause(&self) -> Duration {
        let rate = (self.rate_per_s * PAGE_RATE_SHARE).max(1.0);
        Duration::from_secs_f64(1.0 / rate)
    }

    fn log_failure(&self, error: &PlatformError) {
        log::warn!("{error}; the list stays as it is");
    }
}
