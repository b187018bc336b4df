//! Runs the items of batch jobs at backends, on behalf of the primary of a batch group.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`pacing`] | limits how many items of a service may start |
//! | [`start_scheduler`] | decides where and whether a route's next item starts |
//! | [`outbound`] | builds the request of an item |
//! | [`postponement`] | paces the checks of items that wait for weights |
//! | [`attempt`] | interprets a backend's response |
//! | [`events`] | parses the events of a response |

pub mod attempt;
pub mod events;
pub mod outbound;
pub mod pacing;
pub mod postponement;
pub mod start_scheduler;

use crate::balance::{Millis, NoBackend, SelectionRequest, WeightsAvailability};
use crate::clock::SteadyClock;
use crate::exchange::wait_limits::{Alternatives, Permission, WaitLimits};
use crate::exchange::{prompt, weights, Exchange};
use crate::metrics;
use alderhollow_batch::api::{ItemStart, RunEnd};
use alderhollow_model::config::Route;
use alderhollow_model::snapshot::Snapshot;
use attempt::FIRST_EVENT_TIMEOUT;
use pacing::LedShare;
use postponement::{AwaitedWeights, WeightsChecks};
use start_scheduler::{Admission, RunPermit, Services, StartScheduler};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Retry delay when no backend can take the item.
const RETRY_NONE_READY_MS: u64 = 200;
/// Retry delay of an item whose prompt exceeds the memory of its service's backends: only new tables can change that.
const RETRY_TOO_LARGE_MS: u64 = 5_000;
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
    scheduler: RefCell<StartScheduler>,
    weights_checks: RefCell<WeightsChecks>,
    /// The snapshot last applied to the scheduler.
    applied_snapshot: RefCell<Option<Arc<Snapshot>>>,
}

impl Executor {
    /// Creates an executor that sends requests through `exchange`.
    pub fn new(clock: SteadyClock, exchange: Rc<Exchange>) -> Executor {
        let shared = Shared {
            clock,
            exchange,
            scheduler: RefCell::default(),
            weights_checks: RefCell::default(),
            applied_snapshot: RefCell::default(),
        };
        Executor {
            shared: Rc::new(shared),
        }
    }

    /// Begins a round of starts, given the share of groups that this process leads and the waiting items of each route
    /// with ready items. Returns the number of items whose route has no backend.
    pub fn begin_round(&self, share: LedShare, waiting: &BTreeMap<String, usize>) -> usize {
        let tables = self.shared.exchange.tables();
        let mut applied_snapshot = self.shared.applied_snapshot.borrow_mut();
        let mut scheduler = self.shared.scheduler.borrow_mut();
        if !applied_snapshot
            .as_ref()
            .is_some_and(|applied| Arc::ptr_eq(applied, &tables.snapshot))
        {
            scheduler.update(&tables.snapshot, tables.config().map(Arc::as_ref));
            *applied_snapshot = Some(tables.snapshot.clone());
        }
        let now = self.shared.clock.now_ms() as Millis;
        scheduler.begin_round(now, share, waiting, &*self.shared.exchange)
    }

    /// Admits the route's next item if it may start in this round.
    pub fn admit(&self, route: &str) -> Option<Admission> {
        let mut scheduler = self.shared.scheduler.borrow_mut();
        scheduler.admit(route, &*self.shared.exchange)
    }

    /// Why an admitted item cannot run now, although its service has backends; `None` if it can.
    pub fn postponement(&self, item: &ItemStart, service: &str) -> Option<Postponement> {
        let headers = outbound::selection_headers(item);
        let exchange = &self.shared.exchange;
        let prompt = prompt::read(&headers);
        if prompt.is_some_and(|prompt| exchange.is_too_large(service, &prompt)) {
            return Some(Postponement {
                reason: PostponementReason::TooLarge,
                retry_after_ms: RETRY_TOO_LARGE_MS,
            });
        }
        let expected = weights::expected(&headers)?;
        let availability = exchange.weights_availability(service, expected);
        let awaited = AwaitedWeights {
            service: service.to_string(),
            expected,
        };
        let now = self.shared.clock.now_ms() as Millis;
        let mut checks = self.shared.weights_checks.borrow_mut();
        let may_start = match availability {
            WeightsAvailability::Available => true,
            WeightsAvailability::OnTrial => checks.may_try(now, &awaited),
            WeightsAvailability::Missing { .. } => false,
        };
        (!may_start).then(|| Postponement {
            reason: PostponementReason::OtherWeights,
            retry_after_ms: checks.next_check_after_ms(now, awaited),
        })
    }

    /// Gives up an admission: the route's next item may go to another of its services.
    pub fn forgo(&self, admission: &Admission) {
        self.shared.scheduler.borrow_mut().forgo(admission);
    }

    /// Records the start of an admitted item.
    pub fn start(&self, admission: Admission) -> RunPermit {
        self.shared.scheduler.borrow_mut().start(admission)
    }

    /// Whether any of the route's services had a backend at the beginning of the round.
    pub fn has_backend(&self, route: &str) -> bool {
        self.shared.scheduler.borrow().has_backend(route)
    }

    /// Runs an item at one backend. Dropping the future closes the connection.
    pub async fn run(&self, item: &ItemStart) -> RunEnd {
        self.run_permitted(item, &|| true).await
    }

    /// Like [`Executor::run`]; `permission` is checked right before the request is written.
    pub async fn run_permitted(&self, item: &ItemStart, permission: Permission<'_>) -> RunEnd {
        let route = self.route(&item.route);
        match route.and_then(|route| self.shared.exchange.pick_service(&route)) {
            Some(service) => self.run_at_service(item, &service, permission).await,
            None => not_run(RETRY_NONE_READY_MS),
        }
    }

    /// Runs an item at a backend of this service; `permission` is checked right before the request is written.
    pub async fn run_at_service(
        &self,
        item: &ItemStart,
        service: &str,
        permission: Permission<'_>,
    ) -> RunEnd {
        let exchange = &self.shared.exchange;
        let Some(route) = self.route(&item.route) else {
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
            service,
            prompt: prompt.as_ref(),
            priority: route.priority,
            tried: &[],
            expected_weights: outbound.expected_weights(),
            sender: None,
        };
        let attempt = match exchange.place(&wanted).await {
            Ok(attempt) => attempt,
            Err(NoBackend::NoneReady) => return not_run(RETRY_NONE_READY_MS),
            Err(
                NoBackend::AllFull { retry_after_ms } | NoBackend::OtherWeights { retry_after_ms },
            ) => {
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

impl Services for Exchange {
    fn has_backend(&self, service: &str) -> bool {
        Exchange::has_backend(self, service)
    }

    fn pick(&self, route: &Route, is_available: &dyn Fn(&str) -> bool) -> Option<String> {
        self.pick_available_service(route, is_available)
    }
}

/// Abandons a silent backend even if no other is known: the item rather waits for its next attempt.
struct AlwaysAbandon;

impl Alternatives for AlwaysAbandon {
    fn has_other(&self) -> bool {
        true
    }
}

/// Why an item cannot run although its service has backends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PostponementReason {
    /// Its prompt exceeds the memory of the backends.
    TooLarge,
    /// No backend has the version of the weights that it expects.
    OtherWeights,
}

/// An item that cannot run now. It uses neither a start nor a window of runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Postponement {
    /// The reason.
    pub reason: PostponementReason,
    /// When to check again, in milliseconds.
    pub retry_after_ms: u64,
}

fn not_run(retry_after_ms: u64) -> RunEnd {
    RunEnd::NotRun { retry_after_ms }
}
