//! Read loop of the platform's list. Only the core's primary reads it, while it has the lease.

use super::changes::{ListVersioner, VersionedList};
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

/// Interval between the starts of two reads. Each call to the platform has a price; a drain must reach all gateways within `drain-ms`,
/// which is several seconds.
const READ_INTERVAL: Duration = Duration::from_millis(700);
/// The same while the list is empty.
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
        let publisher = self.publisher();
        let mut versioner = ListVersioner::default();
        let mut random = Rand32::new(seed);
        let mut retry_delay = INITIAL_RETRY_DELAY;
        loop {
            let epoch = self.wait_for_lease().await;
            let started = Instant::now();
            let next = match self.read(epoch, &publisher, &mut versioner).await {
                Ok(backends) => {
                    retry_delay = INITIAL_RETRY_DELAY;
                    let is_empty = backends.is_empty();
                    publisher.publish_all(epoch, backends, &mut versioner);
                    self.next_reading(started, is_empty)
                }
                Err(error) => {
                    log::warn!("{error}; the former backend list stays in use");
                    let pause = retry_delay.mul_f32(0.5 + 0.5 * random.rand_float());
                    retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                    Instant::now() + pause
                }
            };
            tokio::time::sleep_until(next).await;
        }
    }

    /// Waits until this process has the lease. Returns the epoch in which it became primary.
    async fn wait_for_lease(&self) -> u64 {
        let mut changes = self.changes.subscribe();
        loop {
            if let Some(epoch) = self.authority.primary_since() {
                return epoch;
            }
            let _ = tokio::time::timeout(READ_INTERVAL, changes.changed()).await;
        }
    }

    /// Reads the list once. A backend that begins to drain is published with the page that says so: the whole list may take
    /// longer than what `drain-ms` leaves.
    async fn read(
        &mut self,
        epoch: u64,
        publisher: &Publisher,
        versioner: &mut ListVersioner,
    ) -> Result<Vec<Backend>, PlatformError> {
        let started = Instant::now();
        let page_delay = self.page_delay();
        let on_page = |page: &[Backend]| publisher.publish_drains(epoch, page, versioner);
        let backends = self.platform.read(page_delay, on_page).await?;
        log::debug!(
            "read {} backends in {} ms",
            backends.len(),
            started.elapsed().as_millis()
        );
        Ok(backends)
    }

    /// When the next reading begins. Readings follow each other at an interval from start to start, as the time that a
    /// reading takes counts towards `drain-ms` as well.
    fn next_reading(&self, started: Instant, is_empty: bool) -> Instant {
        let interval = if is_empty {
            EMPTY_LIST_READ_INTERVAL
        } else {
            READ_INTERVAL
        };
        (started + interval).max(Instant::now() + self.page_delay())
    }

    fn publisher(&self) -> Publisher {
        Publisher {
            authority: self.authority.clone(),
            clock: self.clock,
            published: self.published.clone(),
            changes: self.changes.clone(),
        }
    }

    fn page_delay(&self) -> Duration {
        let rate = (self.rate_per_s * PAGE_RATE_FRACTION).max(1.0);
        Duration::from_secs_f64(1.0 / rate)
    }
}

/// Publishes what was read, while this process is the primary that it was when the reading began.
struct Publisher {
    authority: Rc<dyn Authority>,
    clock: SteadyClock,
    published: watch::Sender<Option<PublishedBackends>>,
    changes: ChangeSignal,
}

impl Publisher {
    /// Publishes the backends of a page that have begun to drain.
    fn publish_drains(&self, epoch: u64, page: &[Backend], versioner: &mut ListVersioner) {
        if !self.is_still_primary(epoch) {
            return;
        }
        if let Some(versioned) = versioner.mark_draining(epoch, page) {
            self.publish(versioned);
        }
    }

    /// Publishes a whole list, if it changed.
    fn publish_all(&self, epoch: u64, backends: Vec<Backend>, versioner: &mut ListVersioner) {
        if !self.is_still_primary(epoch) {
            log::info!(
                "dropped a list of {} backends that was read as the primary since epoch {epoch}",
                backends.len()
            );
            return;
        }
        let read_at_ms = self.clock.now_ms();
        if let Some(list) = versioner.update(epoch, backends, read_at_ms) {
            self.publish(VersionedList { list, read_at_ms });
        }
    }

    /// Whether this process has been primary since this epoch and has the lease. The epoch itself may have moved on: a
    /// busy primary replaces its replicas while it reads, and a list dropped for that would never come (`tests/drain.rs`).
    fn is_still_primary(&self, epoch: u64) -> bool {
        self.authority.primary_since() == Some(epoch)
    }

    fn publish(&self, versioned: VersionedList) {
        let VersionedList { list, read_at_ms } = versioned;
        log::info!(
            "backends: {} ({} draining) in list {} of epoch {}",
            list.backends.len(),
            draining(&list.backends),
            list.sequence,
            list.epoch
        );
        self.published
            .send_replace(Some(PublishedBackends { list, read_at_ms }));
        self.changes.notify();
    }
}

fn draining(backends: &[Backend]) -> usize {
    let is_draining = |backend: &&Backend| backend.state == BackendState::Draining;
    backends.iter().filter(is_draining).count()
}
