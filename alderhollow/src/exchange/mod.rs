//! HTTP exchanges with backends: chooses a backend, takes a connection from the pool or opens one, sends the request
//! and classifies the response. Callers decide what the outcome of an attempt means for a client or a batch item.

pub mod attempt;
mod carried_requests;
pub mod events;
pub mod evidence;
mod misdirected;
pub mod outbound;
mod placing;
pub mod pool;
pub mod prompt;
pub mod response;
pub mod tables;
mod verdict;
pub mod wait_limits;
pub mod weights;
mod weights_reports;

use crate::balance::{
    Balancer, ExpectedWeights, InstanceChange, Millis, NoBackend, Outcome, Prompt,
    SelectionRequest, WeightsAvailability, WeightsSource,
};
use crate::metrics;
use crate::placement::client::PlacementClient;
use crate::routing::ServicePicker;
use crate::SnapshotReceiver;
use alderhollow_model::config::Route;
use alderhollow_model::snapshot::Snapshot;
use attempt::{Attempt, PlacerReport};
use evidence::SendError;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::Response;
use outbound::Outbound;
use placing::Placement;
use pool::{Pool, Pooled};
use response::BackendResponse;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tables::Tables;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::Instant;
use verdict::{DeclineReason, Verdict};
use wait_limits::WaitLimits;

/// Sends all requests of one process to backends.
pub struct Exchange {
    balancer: Rc<RefCell<Balancer>>,
    pool: Pool,
    snapshots: RefCell<SnapshotReceiver>,
    tables: RefCell<Rc<Tables>>,
    services: RefCell<ServicePicker>,
    placement: Option<Placement>,
    started: Instant,
    /// Whether any request has expected a version of the weights. Until then versions are not recorded.
    follows_weights: Cell<bool>,
    /// Notified when a request waits for a version of the weights.
    weights_awaited: Notify,
}

impl Exchange {
    /// `started` is the zero of the process's monotonic clock; the balancer's times are relative to it.
    pub fn new(
        started: Instant,
        seed: u64,
        snapshots: SnapshotReceiver,
        balancer: Rc<RefCell<Balancer>>,
    ) -> Rc<Exchange> {
        Exchange::create(started, seed, snapshots, balancer, None)
    }

    /// Like [`Exchange::new`], but model engines are chosen by the placers of their zones, starting with `zone`.
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
            follows_weights: Cell::new(false),
            weights_awaited: Notify::new(),
        };
        exchange
            .balancer
            .borrow_mut()
            .update(exchange.now(), &snapshot);
        exchange.update_services(&snapshot);
        Rc::new(exchange)
    }

    /// Returns the current tables. If the snapshot has changed, the call first updates the balancer, the service weights
    /// and the connection pool.
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

    /// Whether a request may be sent to the backend now.
    pub fn may_send(&self, id: &str) -> bool {
        self.tables();
        self.balancer.borrow().may_send(id)
    }

    /// Whether the request may still be sent to the attempt's backend. The choice of a cold backend expires.
    fn may_begin(&self, attempt: &Attempt) -> bool {
        self.tables();
        self.balancer
            .borrow()
            .may_begin(self.now(), attempt.number())
    }

    /// Picks one of the route's services by weight.
    pub fn pick_service(&self, route: &Route) -> Option<String> {
        self.services.borrow_mut().pick(route)
    }

    /// Picks one of the route's services that `is_available` admits, by weight.
    pub fn pick_available_service(
        &self,
        route: &Route,
        is_available: impl Fn(&str) -> bool,
    ) -> Option<String> {
        self.services
            .borrow_mut()
            .pick_available(route, is_available)
    }

    /// Whether a service has a backend that accepts requests, at capacity or not.
    pub fn has_backend(&self, service: &str) -> bool {
        self.tables();
        self.balancer.borrow().has_backend(service)
    }

    /// Whether a prompt alone needs more memory than the service's backends have.
    pub fn is_too_large(&self, service: &str, prompt: &Prompt) -> bool {
        self.tables();
        self.balancer.borrow().is_too_large(service, prompt)
    }

    /// Whether a request that expects a version of the weights may be sent to a backend of a service now.
    pub fn weights_availability(
        &self,
        service: &str,
        expected: ExpectedWeights,
    ) -> WeightsAvailability {
        self.tables();
        let availability =
            self.balancer
                .borrow_mut()
                .weights_availability(self.now(), service, expected);
        if availability != WeightsAvailability::Available {
            self.weights_awaited.notify_waiters();
        }
        availability
    }

    /// Chooses a backend from local knowledge only, without asking a placer.
    ///
    /// # Errors
    /// No backend can take the request now.
    pub fn choose(self: &Rc<Self>, wanted: &SelectionRequest) -> Result<Attempt, NoBackend> {
        self.tables();
        let chosen = self.balancer.borrow_mut().choose(self.now(), wanted);
        if matches!(chosen, Err(NoBackend::OtherWeights { .. })) {
            self.weights_awaited.notify_waiters();
        }
        let choice = chosen?;
        let placer_report = self.placement.as_ref().and_then(|placement| {
            let demand = self.demand(wanted)?;
            let client = placement.client.clone();
            let number = client.next_attempt_number();
            client.started(
                number,
                &choice.backend.zone,
                &choice.backend.id,
                demand,
                false,
            );
            Some(PlacerReport { client, number })
        });
        Ok(Attempt::new(self.clone(), choice, placer_report))
    }

    /// Sends a request to the chosen backend and waits for the head of the response. Dropping the future cancels the
    /// attempt and closes its connection.
    ///
    /// # Errors
    /// The backend did not respond as one that ran the request; the attempt has ended.
    pub async fn send(
        &self,
        attempt: Attempt,
        outbound: &Outbound,
        resume_after: Option<u64>,
        limits: &WaitLimits<'_>,
    ) -> Result<BackendResponse, SendError> {
        match self.try_send(attempt, outbound, resume_after, limits).await {
            Ok(answer) => Ok(answer),
            Err((attempt, error)) => {
                attempt.end(error.outcome);
                metrics::get().backends.unserved(error.evidence.into());
                Err(error)
            }
        }
    }

    async fn try_send(
        &self,
        attempt: Attempt,
        outbound: &Outbound,
        resume_after: Option<u64>,
        limits: &WaitLimits<'_>,
    ) -> Result<BackendResponse, (Attempt, SendError)> {
        if outbound.expected_weights().is_some() {
            self.follows_weights.set(true);
        }
        let request_id = outbound.request_id();
        let mut pooled = match self.connection(&attempt, request_id, limits).await {
            Ok(pooled) => pooled,
            Err(outcome) => return Err((attempt, SendError::not_written(outcome))),
        };
        // There is no await point between the checks in `connection` and the first byte written, so they still hold.
        let request = outbound.request(&attempt.backend().id, resume_after, limits.deadline);
        let Ok(request) = request else {
            return Err((attempt, SendError::not_written(Outcome::Cancelled)));
        };
        pooled.record_request(request_id);
        let progress = pooled.link.write_progress();
        let sending = pooled.send(request);
        let response = match limits.wait_for_response(&progress, sending).await {
            Ok(Ok(response)) => response,
            Ok(Err(_)) => return Err((attempt, SendError::broken(pooled.link.written()))),
            Err(limit) => {
                let written = pooled.link.written();
                return Err((attempt, SendError::unanswered(written, limit.into())));
            }
        };
        let verdict = verdict::classify(&response, outbound, &pooled);
        match verdict {
            Verdict::Ran => {
                pooled.apply_keep_alive(response.headers());
                pooled.confirm_instance();
                self.record_shown_weights(&attempt, outbound, response.headers());
                Ok(BackendResponse::new(response, outbound, pooled, attempt))
            }
            Verdict::Declined(reason) => {
                let error = self
                    .on_decline(reason, &attempt, pooled, response, limits)
                    .await;
                Err((attempt, error))
            }
            Verdict::Mismatched => {
                let written = pooled.link.written();
                Err((attempt, SendError::unanswered(written, Outcome::Broken)))
            }
        }
    }

    /// Handles a response that declines the request. It is evidence only once it is complete: the bytes of a truncated
    /// response belong to no request.
    async fn on_decline(
        &self,
        reason: DeclineReason,
        attempt: &Attempt,
        mut pooled: Pooled,
        response: Response<Incoming>,
        limits: &WaitLimits<'_>,
    ) -> SendError {
        pooled.apply_keep_alive(response.headers());
        let read_to_end = pooled.skip_body(response.into_body());
        match limits.wait(read_to_end).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return SendError::broken(pooled.link.written()),
            Err(limit) => return SendError::unanswered(pooled.link.written(), limit.into()),
        }
        match reason {
            DeclineReason::OtherInstance => return SendError::declined(Outcome::OtherInstance),
            DeclineReason::OtherWeights { expected, shown } => {
                let id = &attempt.backend().id;
                self.balancer
                    .borrow_mut()
                    .refuse_weights(self.now(), id, expected, shown);
            }
            DeclineReason::Unspecified => {}
        }
        self.pool.put_idle(pooled).await;
        SendError::declined(reason.outcome())
    }

    /// Returns a connection without unexpected input, to a backend that can take the request at this moment. It has not
    /// carried an earlier attempt of the request.
    async fn connection(
        &self,
        attempt: &Attempt,
        request_id: &HeaderValue,
        limits: &WaitLimits<'_>,
    ) -> Result<Pooled, Outcome> {
        let deadline = limits.deadline;
        let backend = attempt.backend();
        loop {
            let mut pooled = match self.pool.take_idle(&backend.id, request_id) {
                Some(pooled) => pooled,
                None => {
                    let max_connections = self.tables().connections(&backend.service);
                    let pooled =
                        Box::pin(self.pool.connect(backend, max_connections, deadline)).await?;
                    // Lets the reactor process pending I/O first: a client may have disconnected meanwhile, or the
                    // backend may have reset a connection that it does not accept.
                    yield_now().await;
                    pooled
                }
            };
            if !limits.is_permitted() || !self.may_begin(attempt) || deadline <= Instant::now() {
                return Err(Outcome::Cancelled);
            }
            if pooled.link.is_silent().await {
                return Ok(pooled);
            }
            // Another idle connection may be usable, but a failed new connection is not replaced by another new one.
            if pooled.is_new() {
                return Err(Outcome::NoConnection);
            }
        }
    }

    /// Applies new tables even while there are no requests, and closes idle connections that have expired. Runs until
    /// dropped.
    pub async fn run_maintenance(&self) {
        let mut snapshots = self.snapshots.borrow().clone();
        let follow_snapshots = async {
            while snapshots.changed().await.is_ok() {
                self.tables();
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = follow_snapshots => {}
            () = self.pool.sweep() => {}
            () = self.follow_weights_reports() => {}
        }
    }

    /// Records the version of the weights that ran a request.
    fn record_shown_weights(&self, attempt: &Attempt, outbound: &Outbound, response: &HeaderMap) {
        if !self.follows_weights.get() {
            return;
        }
        if let Some(version) = weights::shown_version(response) {
            self.balancer.borrow_mut().show_weights(
                self.now(),
                &attempt.backend().id,
                weights::model(outbound.headers()),
                version,
                WeightsSource::Response,
            );
        }
    }

    /// Logs and counts what an attempt has changed in the verdicts on instances.
    fn report_instance_changes(&self) {
        let changes = self.balancer.borrow_mut().take_instance_changes();
        for change in changes {
            match change {
                InstanceChange::Excluded(backend) => {
                    metrics::get().backends.excluded();
                    log::warn!(
                        "another instance than backend {} answers at {}: it gets a request again after a backoff",
                        backend.id,
                        backend.address.0
                    );
                }
                InstanceChange::Returned(backend) => {
                    metrics::get().backends.returned();
                    log::info!("backend {} runs requests again", backend.id);
                }
            }
        }
    }

    fn now(&self) -> Millis {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// Returns a connection to the pool after its response was read to the end.
    async fn release(&self, pooled: Pooled) {
        if self.may_send(pooled.backend_id()) {
            self.pool.put_idle(pooled).await;
        }
    }
}
