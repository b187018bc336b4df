//! Runs the items of batch jobs at backends, for the primary of the group of stores.
//!
//! | part | does |
//! | --- | --- |
//! | [`pacing`] | tells how many items may start |
//! | [`outbound`] | makes the request of an item |
//! | [`attempt`] | what an answer means for the item |
//! | [`events`] | reads an answer's events |

pub mod attempt;
pub mod events;
pub mod outbound;
pub mod pacing;

use crate::balance::{Millis, NoBackend, Wanted};
use crate::clock::SteadyClock;
use crate::exchange::wait_limits::{Alternatives, Permission, WaitLimits};
use crate::exchange::{prompt, Exchange};
use crate::metrics;
use alderhollow_batch::api::{ItemStart, RunEnd};
use alderhollow_model::config::Route;
use alderhollow_model::snapshot::Snapshot;
use attempt::FIRST_EVENT_SILENCE;
use pacing::{LedShare, Pacer};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Pause where no backend may get the item.
const PAUSE_NONE_READY_MS: u64 = 200;
/// Pause for an item of which no request can be made; it was taken by an older version of the program.
const PAUSE_UNSENDABLE_MS: u64 = 5_000;
/// Bounds on the pause where all backends are full.
const SHORTEST_PAUSE_FULL_MS: f64 = 50.0;
const LONGEST_PAUSE_FULL_MS: f64 = 1_000.0;
/// Bounds on what a backend is told of the time it has.
const SHORTEST_DEADLINE: Duration = Duration::from_secs(2);
const LONGEST_DEADLINE: Duration = Duration::from_secs(20);

/// Runs items. Clones are the same. To be used in a `LocalSet`.
#[derive(Clone)]
pub struct Executor {
    shared: Rc<Shared>,
}

struct Shared {
    clock: SteadyClock,
    exchange: Rc<Exchange>,
    pacer: RefCell<Pacer>,
    /// The tables that the pacer knows.
    paced: RefCell<Option<Arc<Snapshot>>>,
}

impl Executor {
    /// An executor whose requests go through `exchange`.
    pub fn new(clock: SteadyClock, exchange: Rc<Exchange>) -> Executor {
        let shared = Shared {
            clock,
            exchange,
            pacer: RefCell::default(),
            paced: RefCell::default(),
        };
        Executor {
            shared: Rc::new(shared),
        }
    }

    /// How many items may start now in a process that leads this share of the groups, with so many waiting and running.
    pub fn room(&self, share: LedShare, waiting: usize, running: usize) -> usize {
        let snapshot = self.shared.exchange.tables().snapshot.clone();
        let mut paced = self.shared.paced.borrow_mut();
        let mut pacer = self.shared.pacer.borrow_mut();
        if !paced
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, &snapshot))
        {
            pacer.update(&snapshot);
            *paced = Some(snapshot);
        }
        pacer.set_share(share);
        pacer.room(self.shared.clock.now_ms() as Millis, waiting, running)
    }

    /// So many items were taken to be started.
    pub fn started(&self, count: usize) {
        self.shared.pacer.borrow_mut().started(count);
    }

    /// Runs an item at one backend. Dropping the future closes the run's connection.
    pub async fn run(&self, item: &ItemStart) -> RunEnd {
        self.run_permitted(item, &|| true).await
    }

    /// As [`Executor::run`]; `permission` is asked right before the request is written.
    pub async fn run_permitted(&self, item: &ItemStart, permission: Permission<'_>) -> RunEnd {
        let exchange = &self.shared.exchange;
        let Some(route) = self.route(&item.route) else {
            return not_run(PAUSE_NONE_READY_MS);
        };
        let Some(service) = exchange.pick_service(&route) else {
            return not_run(PAUSE_NONE_READY_MS);
        };
        let outbound = match outbound::of_item(item) {
            Ok(outbound) => outbound,
            Err(error) => {
                log::warn!("item {}: {error}", item.item_id);
                return not_run(PAUSE_UNSENDABLE_MS);
            }
        };
        let prompt = prompt::read(outbound.headers());
        let wanted = Wanted {
            service: &service,
            prompt: prompt.as_ref(),
            priority: route.priority,
            tried: &[],
        };
        let attempt = match exchange.place(&wanted).await {
            Ok(attempt) => attempt,
            Err(NoBackend::NoneReady) => return not_run(PAUSE_NONE_READY_MS),
            Err(NoBackend::AllFull { retry_after_ms }) => {
                return not_run(
                    retry_after_ms.clamp(SHORTEST_PAUSE_FULL_MS, LONGEST_PAUSE_FULL_MS) as u64,
                );
            }
        };
        let patience = WaitLimits {
            deadline: Instant::now() + self.deadline(item),
            silence: Some((FIRST_EVENT_SILENCE, &AnyOther)),
            permission: Some(permission),
        };
        metrics::get().runs.sent(item.request.body.len());
        let resume_after = item.resume.as_ref().map(|resume| resume.last_event_id);
        match exchange
            .send(attempt, &outbound, resume_after, &patience)
            .await
        {
            Ok(answer) => attempt::read(item, answer).await,
            Err(unanswered) => attempt::unanswered(item, unanswered),
        }
    }

    fn deadline(&self, item: &ItemStart) -> Duration {
        let left = item
            .abandon_at_ms
            .saturating_sub(self.shared.clock.now_ms() as i64);
        Duration::from_millis(left.max(0) as u64).clamp(SHORTEST_DEADLINE, LONGEST_DEADLINE)
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

/// An item waits for the next try rather than at a silent backend.
struct AnyOther;

impl Alternatives for AnyOther {
    fn has_other(&self) -> bool {
        true
    }
}

fn not_run(retry_after_ms: u64) -> RunEnd {
    RunEnd::NotRun { retry_after_ms }
}
