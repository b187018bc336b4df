//! Exchanges with backends: one is chosen, a connection to it is had from the pool or opened, the request is written and
//! its answer judged. What a client or a batch item makes of an attempt's end is decided by those who use this.

pub mod attempt;
pub mod events;
pub mod outbound;
mod placing;
pub mod pool;
pub mod prompt;
pub mod response;
pub mod tables;
pub mod wait_limits;

use crate::balance::{Balancer, Millis, NoBackend, Outcome, Wanted};
use crate::placement::client::PlacementClient;
use crate::routing::ServicePicker;
use crate::SnapshotReceiver;
use alderhollow_dataplane::link::Failure;
use alderhollow_model::config::Route;
use alderhollow_model::snapshot::Snapshot;
use attempt::{Attempt, Told};
use hyper::body::Incoming;
use hyper::Response;
use outbound::Outbound;
use placing::Placement;
use pool::{Pool, Pooled};
use response::BackendResponse;
use std::cell::RefCell;
use std::rc::Rc;
use tables::Tables;
use tokio::task::yield_now;
use tokio::time::Instant;
use wait_limits::WaitLimits;

/// An attempt that brought no answer of the backend's work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// The backend has not run the request and never will.
    NotRun(Outcome),
    /// The request was written whole, and what became of it is unknown.
    MayHaveRun(Outcome),
}

/// All exchanges of one process.
pub struct Exchange {
    balancer: Rc<RefCell<Balancer>>,
    pool: Pool,
    snapshots: RefCell<SnapshotReceiver>,
    tables: RefCell<Rc<Tables>>,
    services: RefCell<ServicePicker>,
    placement: Option<Placement>,
    started: Instant,
}

impl Exchange {
    /// `started` is the zero of the process's steady clock, from which the balancer's times count.
    pub fn new(
        started: Instant,
        seed: u64,
        snapshots: SnapshotReceiver,
        balancer: Rc<RefCell<Balancer>>,
    ) -> Rc<Exchange> {
        Exchange::create(started, seed, snapshots, balancer, None)
    }

    /// As [`Exchange::new`]; model engines are chosen by the placers of their zones, that of `zone` first.
    pub fn with_placement(
        started: Instant,
        seed: u64,
        snapshots: SnapshotReceiver,
        balancer: Rc<RefCell<Balancer>>,
        client: Rc<PlacementClient>,
        zone: &str,
    ) -> Rc<Exchange> {
        let placement = Placement {
            client,
            zone: zone.to_string(),
        };
        Exchange::create(started, seed, snapshots, balancer, Some(placement))
    }

    fn create(
        started: Instant,
        seed: u64,
        mut snapshots: SnapshotReceiver,
        balancer: Rc<RefCell<Balancer>>,
        placement: Option<Placement>,
    ) -> Rc<Exchange> {
        let snapshot = snapshots.borrow_and_update().clone();
        let exchange = Exchange {
            balancer,
            pool: Pool::default(),
            snapshots: RefCell::new(snapshots),
            tables: RefCell::new(Rc::new(Tables::new(snapshot.clone(), None))),
            services: RefCell::new(ServicePicker::new(seed)),
            placement,
            started,
        };
        exchange
            .balancer
            .borrow_mut()
            .update(exchange.now(), &snapshot);
        exchange.update_services(&snapshot);
        Rc::new(exchange)
    }

    /// The newest tables. Each call acts on a change at once, whoever else is told of it later.
    pub fn tables(&self) -> Rc<Tables> {
        let mut snapshots = self.snapshots.borrow_mut();
        if snapshots.has_changed().unwrap_or(false) {
            let snapshot = snapshots.borrow_and_update().clone();
            let tables = Rc::new(Tables::new(snapshot, Some(&*self.tables.borrow())));
            self.balancer
                .borrow_mut()
                .update(self.now(), &tables.snapshot);
            self.update_services(&tables.snapshot);
            *self.tables.borrow_mut() = tables;
            self.pool.retain(|id| self.balancer.borrow().may_send(id));
        }
        self.tables.borrow().clone()
    }

    fn update_services(&self, snapshot: &Snapshot) {
        let mut services = self.services.borrow_mut();
        services.set_rank(self.balancer.borrow().rank_in(&snapshot.senders.nodes));
        if let Some(config) = &snapshot.control.config {
            services.keep_routes_of(config);
        }
    }

    /// Whether a backend may get a request now.
    pub fn may_send(&self, id: &str) -> bool {
        self.tables();
        self.balancer.borrow().may_send(id)
    }

    /// Whether the backend of an attempt may still get the request. Over time a choice of a cold backend is void.
    fn may_begin(&self, attempt: &Attempt) -> bool {
        self.tables();
        self.balancer
            .borrow()
            .may_begin(self.now(), attempt.number())
    }

    /// One of the route's services, by their weights.
    pub fn pick_service(&self, route: &Route) -> Option<String> {
        self.services.borrow_mut().pick(route)
    }

    /// Chooses a backend by what this process knows alone.
    ///
    /// # Errors
    /// There is none that may get the request now.
    pub fn choose(self: &Rc<Self>, wanted: &Wanted) -> Result<Attempt, NoBackend> {
        self.tables();
        let choice = self.balancer.borrow_mut().choose(self.now(), wanted)?;
        let told = self.placement.as_ref().and_then(|placement| {
            let demand = self.demand(wanted)?;
            let client = placement.client.clone();
            let number = client.draw_number();
            client.started(
                number,
                &choice.backend.zone,
                &choice.backend.id,
                demand,
                false,
            );
            Some(Told { client, number })
        });
        Ok(Attempt::new(self.clone(), choice, told))
    }

    /// Sends a request to the backend that was chosen and waits until its answer begins. Dropping the future ends the
    /// attempt and its connection.
    ///
    /// # Errors
    /// No answer of the backend's work came; the attempt is over.
    pub async fn send(
        &self,
        attempt: Attempt,
        outbound: &Outbound,
        resume_after: Option<u64>,
        patience: &WaitLimits<'_>,
    ) -> Result<BackendResponse, SendError> {
        match self
            .try_send(attempt, outbound, resume_after, patience)
            .await
        {
            Ok(answer) => Ok(answer),
            Err((attempt, unanswered)) => {
                let (SendError::NotRun(outcome) | SendError::MayHaveRun(outcome)) = unanswered;
                attempt.end(outcome);
                Err(unanswered)
            }
        }
    }

    async fn try_send(
        &self,
        attempt: Attempt,
        outbound: &Outbound,
        resume_after: Option<u64>,
        patience: &WaitLimits<'_>,
    ) -> Result<BackendResponse, (Attempt, SendError)> {
        let mut pooled = match self.connection(&attempt, patience).await {
            Ok(pooled) => pooled,
            Err(outcome) => return Err((attempt, SendError::NotRun(outcome))),
        };
        // From here to the first byte nothing waits: what was looked at last still holds.
        let request = outbound.request(&attempt.backend().id, resume_after, patience.deadline);
        let response = match patience.wait(pooled.link.send(request)).await {
            Some(Ok(response)) => response,
            Some(Err(Failure::Unsent)) => {
                return Err((attempt, SendError::NotRun(Outcome::NoConnection)))
            }
            Some(Err(Failure::Broken(_))) => {
                return Err((attempt, SendError::MayHaveRun(Outcome::Broken)))
            }
            None if pooled.link.is_written() => {
                return Err((attempt, SendError::MayHaveRun(Outcome::TimedOut)))
            }
            None => return Err((attempt, SendError::NotRun(Outcome::TimedOut))),
        };
        match judge(&response, outbound, &pooled) {
            Verdict::Ran => {
                pooled.heed(response.headers());
                Ok(BackendResponse::new(response, pooled, attempt))
            }
            Verdict::Declined => {
                pooled.heed(response.headers());
                self.pool.drain(pooled, response.into_body()).await;
                Err((attempt, SendError::NotRun(Outcome::Declined)))
            }
            Verdict::OtherInstance => Err((attempt, SendError::NotRun(Outcome::OtherInstance))),
            Verdict::Foreign => Err((attempt, SendError::MayHaveRun(Outcome::Broken))),
        }
    }

    /// A connection that stands silent, to a backend that may get a request in this very moment.
    async fn connection(
        &self,
        attempt: &Attempt,
        patience: &WaitLimits<'_>,
    ) -> Result<Pooled, Outcome> {
        let deadline = patience.deadline;
        let backend = attempt.backend();
        loop {
            let mut pooled = match self.pool.take(&backend.id) {
                Some(pooled) => pooled,
                None => {
                    let most = self.tables().connections(&backend.service);
                    let pooled = Box::pin(self.pool.connect(backend, most, deadline)).await?;
                    // What the reactor finds in one more look is served before this goes on: a client that has gone
                    // meanwhile, or a backend that resets what it does not take.
                    yield_now().await;
                    pooled
                }
            };
            if !patience.is_permitted() || !self.may_begin(attempt) || deadline <= Instant::now() {
                return Err(Outcome::Cancelled);
            }
            if pooled.link.is_silent().await {
                return Ok(pooled);
            }
            // Another idle one may do, but none is opened anew for one that has just come up.
            if pooled.is_new() {
                return Err(Outcome::NoConnection);
            }
        }
    }

    /// Acts on new tables while no request comes, and closes connections that have been idle for long. Runs until it is
    /// dropped.
    pub async fn run_maintenance(&self) {
        let mut snapshots = self.snapshots.borrow().clone();
        let follow = async {
            while snapshots.changed().await.is_ok() {
                self.tables();
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = follow => {}
            () = self.pool.sweep() => {}
        }
    }

    fn now(&self) -> Millis {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// Puts a connection by whose answer was read to its end.
    async fn park(&self, pooled: Pooled) {
        if self.may_send(pooled.backend_id()) {
            self.pool.park(pooled).await;
        }
    }
}

/// What an answer's head says of the request.
#[derive(Debug, PartialEq, Eq)]
enum Verdict {
    /// The backend has run it, or is at it.
    Ran,
    /// It has not run it.
    Declined,
    /// Another backend has the address, and has not run it.
    OtherInstance,
    /// It answers another request, or none.
    Foreign,
}

/// Judges an answer by its head (PROTOCOL.md, *Backends*). A surplus answer may stand in the place of the next one: only
/// `Request-Id` tells. On a new connection nothing can be left over, and a backend that declines may leave the id out.
fn judge(response: &Response<Incoming>, outbound: &Outbound, pooled: &Pooled) -> Verdict {
    let headers = response.headers();
    let other_instance = response.status() == hyper::StatusCode::MISDIRECTED_REQUEST;
    let declined = headers.contains_key(outbound::NOT_EXECUTED) || other_instance;
    let ours = match headers.get(outbound::REQUEST_ID) {
        Some(id) => id == outbound.request_id(),
        None => declined && pooled.is_new(),
    };
    match (ours, other_instance, declined) {
        (false, ..) => Verdict::Foreign,
        (true, true, _) => Verdict::OtherInstance,
        (true, false, true) => Verdict::Declined,
        (true, false, false) => Verdict::Ran,
    }
}
