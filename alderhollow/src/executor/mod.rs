//! Runs the items of batch jobs at backends, for the primary of the group of stores.
//!
//! | part | does |
//! | --- | --- |
//! | [`pacing`] | tells how many items may start |
//! | [`prompt`] | reads what headers tell of an item's prompt |
//! | [`request`] | makes the request for a backend |
//! | [`attempt`] | one run at one backend, and what its answer means |
//! | [`events`] | reads an answer's events |
//! | [`pool`] | idle connections |

pub mod attempt;
pub mod events;
pub mod pacing;
pub mod pool;
pub mod prompt;
pub mod request;

use crate::balance::{Balancer, Millis, NoBackend, Outcome, Wanted};
use crate::clock::SteadyClock;
use crate::routing::pick_service;
use crate::SnapshotReceiver;
use alderhollow_batch::api::{ItemStart, RunEnd};
use alderhollow_model::config::Route;
use alderhollow_model::snapshot::Snapshot;
use attempt::SendGate;
use oorandom::Rand32;
use pacing::Pacer;
use pool::LinkPool;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Pause where no backend may get the item.
const PAUSE_NONE_READY_MS: u64 = 200;
/// Bounds on the pause where all backends are full.
const SHORTEST_PAUSE_FULL_MS: f64 = 50.0;
const LONGEST_PAUSE_FULL_MS: f64 = 1_000.0;
/// Bounds on what a backend is told of the time it has.
const SHORTEST_DEADLINE: Duration = Duration::from_secs(2);
const LONGEST_DEADLINE: Duration = Duration::from_secs(20);

/// Whether this process may start items at this moment; the batch engine's word.
pub type MayStart = Rc<dyn Fn() -> bool>;

/// Runs items. Clones are the same. To be used in a `LocalSet`.
#[derive(Clone)]
pub struct Executor {
    shared: Rc<Shared>,
}

struct Shared {
    clock: SteadyClock,
    snapshots: RefCell<SnapshotReceiver>,
    balancer: RefCell<Balancer>,
    pacer: RefCell<Pacer>,
    random: RefCell<Rand32>,
    pool: LinkPool,
    may_start: MayStart,
}

impl Executor {
    /// An executor that chooses backends by `balancer`.
    pub fn new(
        clock: SteadyClock,
        snapshots: SnapshotReceiver,
        balancer: Balancer,
        seed: u64,
        may_start: MayStart,
    ) -> Executor {
        let shared = Shared {
            clock,
            snapshots: RefCell::new(snapshots),
            balancer: RefCell::new(balancer),
            pacer: RefCell::default(),
            random: RefCell::new(Rand32::new(seed)),
            pool: LinkPool::default(),
            may_start,
        };
        let executor = Executor { shared: Rc::new(shared) };
        executor.take_tables();
        executor
    }

    /// How many items may start now, with so many running.
    pub fn room(&self, running: usize) -> usize {
        self.refresh();
        self.shared.pacer.borrow_mut().room(self.now(), running)
    }

    /// So many items were taken to be started.
    pub fn started(&self, count: usize) {
        self.shared.pacer.borrow_mut().started(count);
    }

    /// Closes connections that have rested too long.
    pub fn sweep(&self) {
        self.refresh();
        let balancer = self.shared.balancer.borrow();
        self.shared.pool.sweep(|id| balancer.may_send(id));
    }

    /// Runs an item at one backend. Dropping the future closes the run's connection.
    pub async fn run(&self, item: &ItemStart) -> RunEnd {
        self.refresh();
        let Some(route) = self.route(&item.route) else { return not_run(PAUSE_NONE_READY_MS) };
        let draw = f64::from(self.shared.random.borrow_mut().rand_float());
        let Some(service) = pick_service(&route, draw) else { return not_run(PAUSE_NONE_READY_MS) };
        let prompt = prompt::of_headers(&item.request.headers);
        let wanted =
            Wanted { service: &service, prompt: prompt.as_ref(), priority: route.priority, tried: &[] };
        let choice = self.shared.balancer.borrow_mut().choose(self.now(), &wanted);
        let choice = match choice {
            Ok(choice) => choice,
            Err(NoBackend::NoneReady) => return not_run(PAUSE_NONE_READY_MS),
            Err(NoBackend::AllFull { retry_after_ms }) => {
                return not_run(retry_after_ms.clamp(SHORTEST_PAUSE_FULL_MS, LONGEST_PAUSE_FULL_MS) as u64);
            }
        };
        let backend = choice.backend;
        let gate = Attempt {
            executor: self,
            attempt: choice.attempt,
            backend: &backend.id,
            route: &item.route,
            service: &service,
            outcome: Cell::new(Outcome::Cancelled),
        };
        let deadline = self.deadline(item);
        let ended = attempt::run(&self.shared.pool, &backend, item, deadline, &gate).await;
        gate.outcome.set(ended.outcome);
        ended.run
    }

    fn now(&self) -> Millis {
        self.shared.clock.now_ms() as Millis
    }

    fn deadline(&self, item: &ItemStart) -> Duration {
        let left = item.given_up_ms.saturating_sub(self.shared.clock.now_ms() as i64);
        Duration::from_millis(left.max(0) as u64).clamp(SHORTEST_DEADLINE, LONGEST_DEADLINE)
    }

    /// Acts on newer tables, if there are any.
    fn refresh(&self) {
        if self.shared.snapshots.borrow().has_changed().unwrap_or(false) {
            self.take_tables();
        }
    }

    fn take_tables(&self) {
        let snapshot = self.shared.snapshots.borrow_mut().borrow_and_update().clone();
        self.shared.balancer.borrow_mut().update(self.now(), &snapshot);
        self.shared.pacer.borrow_mut().update(&snapshot);
    }

    fn tables(&self) -> Arc<Snapshot> {
        self.shared.snapshots.borrow().borrow().clone()
    }

    fn route(&self, name: &str) -> Option<Route> {
        let tables = self.tables();
        let config = tables.control.config.as_ref()?;
        config.routes.iter().find(|route| route.name == name).cloned()
    }
}

/// An attempt at a chosen backend. Its end is told when it is dropped, also when the run is.
struct Attempt<'a> {
    executor: &'a Executor,
    attempt: u64,
    backend: &'a str,
    route: &'a str,
    service: &'a str,
    outcome: Cell<Outcome>,
}

impl SendGate for Attempt<'_> {
    fn may_send(&self) -> bool {
        self.executor.refresh();
        let is_routed = self.executor.route(self.route).is_some_and(|route| {
            route.services().iter().any(|part| part.service == self.service && part.weight > 0.0)
        });
        let shared = &self.executor.shared;
        is_routed && shared.balancer.borrow().may_send(self.backend) && (shared.may_start)()
    }

    fn began(&self) {
        let now = self.executor.now();
        self.executor.shared.balancer.borrow_mut().began(now, self.attempt);
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        let now = self.executor.now();
        self.executor.shared.balancer.borrow_mut().ended(now, self.attempt, self.outcome.get());
    }
}

fn not_run(retry_after_ms: u64) -> RunEnd {
    RunEnd::NotRun { retry_after_ms }
}
