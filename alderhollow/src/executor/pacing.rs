//! Limits how many items run at once, to leave capacity for clients' streams, and how many start per second.

use crate::balance::Millis;
use alderhollow_model::backend::BackendState;
use alderhollow_model::config::RouteType;
use alderhollow_model::snapshot::Snapshot;
use std::collections::BTreeSet;

/// Share of the slots of the batch routes' backends that the items of all groups may use.
const SLOT_SHARE: f64 = 0.8;
/// Items that one process may run regardless of the number of slots.
const MIN_RUNNING: usize = 4;
/// Slots of a backend that is listed without a number of slots.
const DEFAULT_SLOTS: u32 = 16;
/// Maximum starts per second, as a fraction of the items that may run.
const MAX_STARTS_PER_SECOND_SHARE: f64 = 1.0;
/// Waiting items are started over about this period, well within their deadlines: an even load disturbs clients'
/// streams less than peaks.
const START_PERIOD_S: f64 = 1.5;
/// Minimum starts per second, however few items wait.
const MIN_STARTS_PER_SECOND: f64 = 8.0;
/// Maximum burst of starts, as a fraction of the items that may run, but at least [`MIN_BURST`].
const BURST_SHARE: f64 = 0.05;
const MIN_BURST: f64 = 2.0;

/// Share of the batch groups that this process leads, which is its share of the items that all processes may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedShare {
    /// Number of groups that it leads.
    pub led: usize,
    /// Number of all groups.
    pub all: usize,
}

impl LedShare {
    /// All groups; also used while no groups are known.
    pub const WHOLE: LedShare = LedShare { led: 1, all: 1 };

    /// The share as a number from 0 to 1.
    fn fraction(self) -> f64 {
        match self.all {
            0 => 1.0,
            all => self.led.min(all) as f64 / all as f64,
        }
    }
}

impl Default for LedShare {
    fn default() -> LedShare {
        LedShare::WHOLE
    }
}

/// Token bucket that limits starts of items, with a bound on running items.
#[derive(Debug, Default)]
pub struct Pacer {
    /// Slots of all backends of batch routes.
    slots: u64,
    share: LedShare,
    max_running: usize,
    start_tokens: f64,
    refilled_at: Option<Millis>,
}

impl Pacer {
    /// Applies a new snapshot.
    pub fn update(&mut self, snapshot: &Snapshot) {
        self.slots = slots_of_batch_services(snapshot);
        self.update_max_running();
    }

    /// Sets the share of groups that this process leads.
    pub fn set_share(&mut self, share: LedShare) {
        if self.share != share {
            self.share = share;
            self.update_max_running();
        }
    }

    fn update_max_running(&mut self) {
        let max_running = self.slots as f64 * SLOT_SHARE * self.share.fraction();
        self.max_running = (max_running as usize).max(MIN_RUNNING);
    }

    /// How many items may start now, given the number of waiting and running ones.
    pub fn startable_items(&mut self, now: Millis, waiting: usize, running: usize) -> usize {
        let max_running = self.max_running as f64;
        let desired_per_s = (waiting as f64 / START_PERIOD_S).max(MIN_STARTS_PER_SECOND);
        let starts_per_s = desired_per_s.min(max_running * MAX_STARTS_PER_SECOND_SHARE);
        let elapsed_s = self
            .refilled_at
            .map_or(0.0, |at| (now - at).max(0.0) / 1000.0);
        let burst = (max_running * BURST_SHARE).max(MIN_BURST);
        self.refilled_at = Some(now);
        self.start_tokens = (self.start_tokens + elapsed_s * starts_per_s).min(burst);
        (self.start_tokens as usize).min(self.max_running.saturating_sub(running))
    }

    /// Records that `count` items are being started.
    pub fn record_starts(&mut self, count: usize) {
        self.start_tokens -= count as f64;
    }
}

/// Slots of all backends that can take items of a batch route now.
fn slots_of_batch_services(snapshot: &Snapshot) -> u64 {
    let Some(config) = &snapshot.control.config else {
        return 0;
    };
    let services: BTreeSet<String> = config
        .routes
        .iter()
        .filter(|route| route.route_type == RouteType::Batch)
        .flat_map(|route| route.services())
        .map(|part| part.service)
        .collect();
    let ready = snapshot.backends.backends.iter().filter(|backend| {
        backend.state == BackendState::Ready
            && services.contains(&backend.service)
            && !snapshot.control.evacuated.contains(&backend.zone)
    });
    ready
        .map(|backend| {
            u64::from(if backend.slots == 0 {
                DEFAULT_SLOTS
            } else {
                backend.slots
            })
        })
        .sum()
}

#[cfg(test)]
mod tests;
