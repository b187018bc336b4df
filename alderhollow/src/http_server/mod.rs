//! The HTTP server of a gateway: accepts client connections, reads requests and responds to them (PROTOCOL.md,
//! *Requests* and *Answers*). [`crate::exchange`] sends requests to backends; [`crate::batch_api`] handles batch jobs.

mod attempts;
pub mod body;
mod body_budget;
mod client;
mod drain_deadline;
mod intake;
pub mod phase;
mod relay;
mod replies;
mod stream;
mod write_deadline;

use crate::batch_api::{path, BatchCall, BatchEndpoints};
use crate::distribution::validity::TableValidity;
use crate::exchange::outbound::{Outbound, DEADLINE_MS};
use crate::exchange::tables::Tables;
use crate::exchange::{prompt, Exchange};
use alderhollow_model::config::{Limits, Route, RouteType};
use attempts::{PendingRequest, RequestFailure};
use body::ResponseBody;
use body_budget::BodyBudget;
use drain_deadline::DrainDeadline;
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use intake::BufferedBody;
use phase::Phase;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

/// How long connections are still accepted after shutdown begins: the platform probes readiness every second and routes
/// new connections here until two probes have failed.
const SHUTDOWN_ACCEPT_PERIOD: Duration = Duration::from_millis(2500);
/// Part of the shutdown grace period that remains when the last requests are aborted.
const GRACE_MARGIN: Duration = Duration::from_millis(500);
/// Last part of the drain period, in which the error responses of aborted requests are written.
const ABORT_RESPONSE_PERIOD: Duration = Duration::from_millis(200);
/// Timeout of routes that set none; also limits the timeout that a client asks for.
const DEFAULT_ROUTE_TIMEOUT: Duration = Duration::from_secs(30);
/// A process that starts while the core has a primary receives its tables within this time.
const USUAL_TABLE_DELAY: Duration = Duration::from_millis(150);
/// If the tables take longer, the core has no primary: the former primary's lease (1 s) must expire and its successor
/// must be found.
const CORE_FAILOVER_TIME: Duration = Duration::from_millis(1_000);
/// Delay after a failed accept, which prevents a busy loop when the system is out of file descriptors, for example.
const ACCEPT_ERROR_BACKOFF: Duration = Duration::from_millis(20);

/// Settings of an HTTP server that depend on its machine.
#[derive(Debug, Clone)]
pub struct ServerSettings {
    /// Time from the termination signal until the process is killed (`grace-s`).
    pub grace: Duration,
    /// Maximum number of concurrent client connections.
    pub max_connections: usize,
    /// Memory budget in bytes for buffered request bodies.
    pub body_bytes: usize,
    /// Tells whether the tables still count as current; with `None` they always do.
    pub validity: Option<TableValidity>,
}

/// The HTTP server of a gateway.
pub struct Server {
    settings: ServerSettings,
    exchange: Rc<Exchange>,
    batch: Rc<dyn BatchEndpoints>,
    body_budget: Rc<BodyBudget>,
    drain_deadline: DrainDeadline,
    started_at: Instant,
}

impl Server {
    /// Creates a server that sends requests through `exchange` and batch API calls to `batch`.
    pub fn new(
        settings: ServerSettings,
        exchange: Rc<Exchange>,
        batch: Rc<dyn BatchEndpoints>,
    ) -> Rc<Server> {
        let body_budget = BodyBudget::new(settings.body_bytes);
        let drain_deadline = DrainDeadline::default();
        Rc::new(Server {
            settings,
            exchange,
            batch,
            body_budget,
            drain_deadline,
            started_at: Instant::now(),
        })
    }

    /// Serves clients until the process shuts down and all connections are closed or the grace period ends. Must run
    /// in a `LocalSet`.
    pub async fn run(self: Rc<Self>, listener: TcpListener, phase: watch::Receiver<Phase>) {
        let mut connections = JoinSet::new();
        tokio::select! {
            () = self.accept(&listener, &mut connections, &phase) => {}
            () = self.exchange.run_maintenance() => {}
        }
        drop(listener);
        let drain_period = (self.settings.grace.saturating_sub(GRACE_MARGIN))
            .saturating_sub(SHUTDOWN_ACCEPT_PERIOD);
        let until = Instant::now() + drain_period;
        let mut served = pin!(async { while connections.join_next().await.is_some() {} });
        if timeout_at(
            until - ABORT_RESPONSE_PERIOD.min(drain_period),
            served.as_mut(),
        )
        .await
        .is_err()
        {
            self.drain_deadline.expire();
            let _ = timeout_at(until, served).await;
        }
    }

    /// Accepts connections until the accept period of the shutdown ends.
    async fn accept(
        self: &Rc<Self>,
        listener: &TcpListener,
        connections: &mut JoinSet<()>,
        phase: &watch::Receiver<Phase>,
    ) {
        let mut accept_end = pin!(accept_period_ended(phase.clone()));
        loop {
            tokio::select! {
                () = &mut accept_end => return,
                Some(_) = connections.join_next(), if !connections.is_empty() => {}
                accepted = listener.accept(), if connections.len() < self.settings.max_connections => {
                    match accepted {
                        Ok((stream, _)) => {
                            connections.spawn_local(client::serve(self.clone(), stream, phase.clone()));
                        }
                        Err(_) => sleep(ACCEPT_ERROR_BACKOFF).await,
                    }
                }
            }
        }
    }

    /// The configured limits on client requests.
    fn limits(&self) -> Limits {
        let tables = self.exchange.tables();
        tables
            .config()
            .map_or_else(Limits::default, |config| config.limits.clone())
    }

    /// Responds to one request.
    async fn respond(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let received_at = Instant::now();
        let (head, body) = request.into_parts();
        let limits = self.limits();
        if let Err(error) = intake::check_head(&head, &body, &limits) {
            return error.reply();
        }
        let route = find_route(&self.exchange.tables(), &head);
        let reservation = self
            .body_budget
            .reservation(route.as_ref().map_or("", |route| &route.name));
        let body = match intake::read_body(body, &limits, reservation).await {
            Ok(body) => body,
            Err(error) => return error.reply(),
        };
        // Read only now, because the tables may have changed while the body arrived.
        let tables = self.exchange.tables();
        if tables.config().is_none() {
            return replies::service_unavailable(self.tables_retry_after());
        }
        if path::is_batch_path(head.uri.path()) {
            return self.batch_call(head, body, None, received_at).await;
        }
        match find_route(&tables, &head) {
            None => self.no_route_response(),
            Some(route) if route.route_type != RouteType::Batch => {
                self.relay(head, body, route, received_at).await
            }
            Some(route) if head.method == Method::POST => {
                self.batch_call(head, body, Some(route), received_at).await
            }
            Some(_) => self.no_route_response(),
        }
    }

    /// The response if no route matches: 404 only while the tables count as current. A partitioned gateway may lack a
    /// route that has been added since.
    fn no_route_response(&self) -> Response<ResponseBody> {
        match self
            .settings
            .validity
            .as_ref()
            .is_none_or(TableValidity::is_current)
        {
            true => replies::empty(StatusCode::NOT_FOUND),
            false => replies::service_unavailable(CORE_FAILOVER_TIME),
        }
    }

    /// The `Retry-After` delay for requests that arrive before the first tables.
    fn tables_retry_after(&self) -> Duration {
        match self.started_at.elapsed() < USUAL_TABLE_DELAY {
            true => replies::DEFAULT_RETRY_AFTER,
            false => CORE_FAILOVER_TIME,
        }
    }

    /// Forwards a request to a backend.
    async fn relay(
        &self,
        head: Parts,
        body: BufferedBody,
        route: Arc<Route>,
        received_at: Instant,
    ) -> Response<ResponseBody> {
        let Some(service) = self.exchange.pick_service(&route) else {
            return relay::no_service_available();
        };
        let deadline = received_at + request_timeout(&head.headers, &route);
        let prompt = if route.sticky {
            prompt::read(&head.headers)
        } else {
            None
        };
        let outbound = Outbound::new(head.method, &head.uri, head.headers, body.bytes.clone());
        let Ok(outbound) = outbound else {
            return replies::empty(StatusCode::BAD_REQUEST);
        };
        let request = PendingRequest {
            route,
            service,
            prompt,
            outbound,
            received_at,
            deadline,
            _body: body,
        };
        tokio::select! {
            biased;
            response = relay::serve(self.exchange.clone(), Rc::new(request)) => response,
            () = self.drain_deadline.expired() => RequestFailure::TimedOut.reply(),
        }
    }

    /// Forwards a batch API call.
    async fn batch_call(
        &self,
        head: Parts,
        body: BufferedBody,
        route: Option<Arc<Route>>,
        received_at: Instant,
    ) -> Response<ResponseBody> {
        let request = Request::from_parts(head, body.bytes.clone());
        let response = self
            .batch
            .serve(BatchCall {
                request,
                route,
                received_at,
            })
            .await;
        response.map(ResponseBody::full)
    }
}

/// Finds the route that matches a request's host and path.
fn find_route(tables: &Tables, head: &Parts) -> Option<Arc<Route>> {
    let named = head
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let host = named.or_else(|| head.uri.host())?;
    tables.routes.find(host, head.uri.path()).cloned()
}

/// The timeout of a request: the client's, limited by the route's.
fn request_timeout(headers: &HeaderMap, route: &Route) -> Duration {
    let requested = headers
        .get(DEADLINE_MS)
        .and_then(|requested| requested.to_str().ok()?.trim().parse::<f64>().ok());
    let requested =
        requested.and_then(|requested| Duration::try_from_secs_f64(requested / 1000.0).ok());
    let max_timeout = route
        .timeout_ms
        .map_or(DEFAULT_ROUTE_TIMEOUT, Duration::from_millis);
    requested.map_or(max_timeout, |requested| requested.min(max_timeout))
}

/// Waits until connections are no longer accepted.
async fn accept_period_ended(mut phase: watch::Receiver<Phase>) {
    let _ = phase.wait_for(|phase| *phase != Phase::Running).await;
    let until = Instant::now() + SHUTDOWN_ACCEPT_PERIOD;
    tokio::select! {
        () = sleep_until(until) => {}
        _ = phase.wait_for(|phase| *phase == Phase::Ending) => {}
    }
}
