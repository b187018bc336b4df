//! Limits how many items of one service run at once, to leave capacity for clients' streams, and how many start per
//! second.

use crate::balance::Millis;
use alderhollow_model::backend::BackendState;
use alderhollow_model::config::{Route, RouteType};
use alderhollow_model::snapshot::Snapshot;
use std::collections::BTreeMap;

/// Share of the slots of a service's backends that the items of all groups may use.
const SLOT_SHARE: f64 = 0.8;
/// Items that one process may run at a service regardless of the number of slots.
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

/// Token bucket that limits starts of items at one service, with a bound on running items.
#[derive(Debug)]
pub struct Pacer {
    /// Slots of the service's backends.
    slots: u64,
    share: LedShare,
    max_running: usize,
    start_tokens: f64,
    refilled_at: Option<Millis>,
}

impl Pacer {
    /// A pacer of a service whose backends have this many slots.
    pub fn new(slots: u64) -> Pacer {
        let mut pacer = Pacer {
            slots,
            share: LedShare::WHOLE,
            max_running: 0,
            start_tokens: 0.0,
            refilled_at: None,
        };
        pacer.update_max_running();
        pacer
    }

    /// Sets the slots of the service's backends that can take items now.
    pub fn set_slots(&mut self, slots: u64) {
        if self.slots != slots {
            self.slots = slots;
            self.update_max_running();
        }
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

    /// Whether a further item may run beside `running` ones.
    pub fn may_run_more(&self, running: usize) -> bool {
        running < self.max_running
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

/// For each service of a batch route: the slots of its backends that can take items now.
pub fn slots_of_batch_services(snapshot: &Snapshot) -> BTreeMap<String, u64> {
    let Some(config) = &snapshot.control.config else {
        return BTreeMap::new();
    };
    let mut slots: BTreeMap<String, u64> = config
        .routes
        .iter()
        .filter(|route| route.route_type == RouteType::Batch)
        .flat_map(Route::services)
        .map(|part| (part.service, 0))
        .collect();
    let ready = snapshot.backends.backends.iter().filter(|backend| {
        backend.state == BackendState::Ready && !snapshot.control.evacuated.contains(&backend.zone)
    });
    for backend in ready {
        if let Some(slots) = slots.get_mut(&backend.service) {
            *slots += u64::from(if backend.slots == 0 {
                DEFAULT_SLOTS
            } else {
                backend.slots
            });
        }
    }
    slots
}

#[cfg(test)]
mod tests;
