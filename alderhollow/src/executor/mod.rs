//! Runs the items of batch jobs at backends, on behalf of the primary of a batch group.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`pacing`] | limits how many items may start |
//! | [`outbound`] | builds the request of an item |
//! | [`attempt`] | interprets a backend's response |
//! | [`events`] | parses the events of a response |

pub mod attempt;
pub mod events;
pub mod outbound;
pub mod pacing;

use crate::balance::{Millis, NoBackend, SelectionRequest};
use crate::clock::SteadyClock;
use crate::exchange::wait_limits::{Alternatives, Permission, WaitLimits};
use crate::exchange::{prompt, Exchange};
use crate::metrics;
use alderhollow_batch::api::{ItemStart, RunEnd};
use alderhollow_model::config::Route;
use alderhollow_model::snapshot::Snapshot;
use attempt::FIRST_EVENT_TIMEOUT;
use pacing::{LedShare, Pacer};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Retry delay when no backend can take the item.
const RETRY_NONE_READY_MS: u64 = 200;
/// Retry delay of an item for which no request can be built; only an older version accepted such items.
const RETRY_UNSENDABLE_MS: u64 = 5_000;
// Bounds on the retry delay when all backends are full.
const MIN_RETRY_ALL_FULL_MS: f64 = 50.0;
const MAX_RETRY_ALL_FULL_MS: f64 = 1_000.0;
// Bounds on the deadline that is sent to a backend.
const MIN_DEADLINE: Duration = Duration::from_secs(2);
const MAX_DEADLINE: Duration = Duration::from_secs(20);

/// Runs items. Clones share one state. Must be used inside a `LocalSet`.
#[derive(Clone)]
pub struct Executor {
    shared: Rc<Shared>,
}

struct Shared {
    clock: SteadyClock,
    exchange: Rc<Exchange>,
    pacer: RefCell<Pacer>,
    /// The snapshot last applied to the pacer.
    applied_snapshot: RefCell<Option<Arc<Snapshot>>>,
}

impl Executor {
    /// Creates an executor that sends requests through `exchange`.
    pub fn new(clock: SteadyClock, exchange: Rc<Exchange>) -> Executor {
        let shared = Shared {
            clock,
            exchange,
            pacer: RefCell::default(),
            applied_snapshot: RefCell::default(),
        };
        Executor {
            shared: Rc::new(shared),
        }
    }

    /// How many items may start now, given the share of groups that this process leads and the number of waiting and
    /// running items.
    pub fn startable_items(&self, share: LedShare, waiting: usize, running: usize) -> usize {
        let snapshot = self.shared.exchange.tables().snapshot.clone();
        let mut applied_snapshot = self.shared.applied_snapshot.borrow_mut();
        let mut pacer = self.shared.pacer.borrow_mut();
        if !applied_snapshot
            .as_ref()
            .is_some_and(|applied| Arc::ptr_eq(applied, &snapshot))
        {
            pacer.update(&snapshot);
            *applied_snapshot = Some(snapshot);
        }
        pacer.set_share(share);
        pacer.startable_items(self.shared.clock.now_ms() as Millis, waiting, running)
    }

    /// Records that `count` items are being started.
    pub fn record_starts(&self, count: usize) {
        self.shared.pacer.borrow_mut().record_starts(count);
    }

    /// Runs an item at one backend. Dropping the future closes the connection.
    pub async fn run(&self, item: &ItemStart) -> RunEnd {
        self.run_permitted(item, &|| true).await
    }

    /// Like [`Executor::run`]; `permission` is checked right before the request is written.
    pub async fn run_permitted(&self, item: &ItemStart, permission: Permission<'_>) -> RunEnd {
        let exchange = &self.shared.exchange;
        let Some(route) = self.route(&item.route) else {
            return not_run(RETRY_NONE_READY_MS);
        };
        let Some(service) = exchange.pick_service(&route) else {
            return not_run(RETRY_NONE_READY_MS);
        };
        let outbound = match outbound::of_item(item) {
            Ok(outbound) => outbound,
            Err(error) => {
                log::warn!("item {}: {error}", item.item_id);
                return not_run(RETRY_UNSENDABLE_MS);
            }
        };
        let prompt = prompt::read(outbound.headers());
        let wanted = SelectionRequest {
            service: &service,
            prompt: prompt.as_ref(),
            priority: route.priority,
            tried: &[],
        };
        let attempt = match exchange.place(&wanted).await {
            Ok(attempt) => attempt,
            Err(NoBackend::NoneReady) => return not_run(RETRY_NONE_READY_MS),
            Err(NoBackend::AllFull { retry_after_ms }) => {
                return not_run(
                    retry_after_ms.clamp(MIN_RETRY_ALL_FULL_MS, MAX_RETRY_ALL_FULL_MS) as u64,
                );
            }
        };
        let limits = WaitLimits {
            deadline: Instant::now() + self.deadline(item),
            silence: Some((FIRST_EVENT_TIMEOUT, &AlwaysAbandon)),
            permission: Some(permission),
        };
        metrics::get().runs.sent(item.request.body.len());
        let resume_after = item.resume.as_ref().map(|resume| resume.last_event_id);
        match exchange
            .send(attempt, &outbound, resume_after, &limits)
            .await
        {
            Ok(response) => attempt::read(item, response).await,
            Err(error) => attempt::on_send_error(item, error),
        }
    }

    fn deadline(&self, item: &ItemStart) -> Duration {
        let remaining_ms = item
            .abandon_at_ms
            .saturating_sub(self.shared.clock.now_ms() as i64);
        Duration::from_millis(remaining_ms.max(0) as u64).clamp(MIN_DEADLINE, MAX_DEADLINE)
    }

    fn route(&self, name: &str) -> Option<Route> {
        let tables = self.shared.exchange.tables();
        tables
            .config()?
            .routes
            .iter()
            .find(|route| route.name == name)
            .cloned()
    }
}

/// Abandons a silent backend even if no other is known: the item rather waits for its next attempt.
struct AlwaysAbandon;

impl Alternatives for AlwaysAbandon {
    fn has_other(&self) -> bool {
        true
    }
}

fn not_run(retry_after_ms: u64) -> RunEnd {
    RunEnd::NotRun { retry_after_ms }
}
