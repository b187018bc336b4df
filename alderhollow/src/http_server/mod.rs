//! The front of a gateway: takes clients' connections, reads their requests and answers them (PROTOCOL.md, *Requests* and
//! *Answers*). What goes to backends is [`crate::exchange`]'s, what is about batch jobs is [`crate::batch_api`]'s.

pub mod body;
mod client;
mod drain_deadline;
mod intake;
pub mod phase;
mod relay;
mod replies;
mod stream;
mod tries;
mod write_deadline;

use crate::batch_api::{path, BatchCall, BatchEndpoints};
use crate::distribution::validity::TableValidity;
use crate::exchange::outbound::{Outbound, DEADLINE_MS};
use crate::exchange::tables::Tables;
use crate::exchange::{prompt, Exchange};
use alderhollow_model::config::{Limits, Route, RouteType};
use body::ResponseBody;
use drain_deadline::DrainDeadline;
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use intake::{BodyBudget, BufferedBody};
use phase::Phase;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};
use tries::{GivenUp, Job};

/// How long clients may still come once the process is leaving: the platform asks for readiness every second, and hands
/// new connections over until it has heard no twice.
const ACCEPTING_ON: Duration = Duration::from_millis(2500);
/// What is left of the time for leaving when the last requests are given up.
const GRACE_MARGIN: Duration = Duration::from_millis(500);
/// Of the time for leaving, the last part is for the answers that say that a request is given up.
const LAST_ANSWERS: Duration = Duration::from_millis(200);
/// The longest that a request is held where neither its client nor its route says.
const LONGEST_HELD: Duration = Duration::from_secs(30);
/// A process that starts while the core has a primary gets its tables within this.
const USUAL_WAIT_FOR_TABLES: Duration = Duration::from_millis(150);
/// Without tables for longer, the core has no primary: the lease of the former one (1 s) has to run out, and its
/// successor has to be found.
const CORE_TAKE_OVER: Duration = Duration::from_millis(1_000);
/// Guards against a spin where the system is out of descriptors or the like.
const BACK_OFF: Duration = Duration::from_millis(20);

/// What a front needs to know of its machine.
#[derive(Debug, Clone)]
pub struct FrontSettings {
    /// Time from being told to end until the process is killed (`grace-s`).
    pub grace: Duration,
    /// Most connections of clients at once.
    pub max_connections: usize,
    /// Bytes of requests' bodies that may be here at once.
    pub body_bytes: usize,
    /// Whether the tables may still be taken for the newest; `None`: they always are.
    pub validity: Option<TableValidity>,
}

/// The front of one gateway.
pub struct Front {
    settings: FrontSettings,
    exchange: Rc<Exchange>,
    batch: Rc<dyn BatchEndpoints>,
    body_budget: Rc<BodyBudget>,
    drain_deadline: DrainDeadline,
    started_at: Instant,
}

impl Front {
    /// A front that sends requests through `exchange` and calls about batch jobs to `batch`.
    pub fn new(
        settings: FrontSettings,
        exchange: Rc<Exchange>,
        batch: Rc<dyn BatchEndpoints>,
    ) -> Rc<Front> {
        let body_budget = BodyBudget::new(settings.body_bytes);
        let drain_deadline = DrainDeadline::default();
        Rc::new(Front {
            settings,
            exchange,
            batch,
            body_budget,
            drain_deadline,
            started_at: Instant::now(),
        })
    }

    /// Serves clients until the process is to end and the last of them is served, or the time for that is over. To be
    /// run in a `LocalSet`.
    pub async fn run(self: Rc<Self>, listener: TcpListener, phase: watch::Receiver<Phase>) {
        let mut connections = JoinSet::new();
        tokio::select! {
            () = self.accept(&listener, &mut connections, &phase) => {}
            () = self.exchange.run_maintenance() => {}
        }
        drop(listener);
        let last = (self.settings.grace.saturating_sub(GRACE_MARGIN)).saturating_sub(ACCEPTING_ON);
        let until = Instant::now() + last;
        let mut served = pin!(async { while connections.join_next().await.is_some() {} });
        if timeout_at(until - LAST_ANSWERS.min(last), served.as_mut())
            .await
            .is_err()
        {
            self.drain_deadline.expire();
            let _ = timeout_at(until, served).await;
        }
    }

    /// Takes connections until the process has been leaving for long enough.
    async fn accept(
        self: &Rc<Self>,
        listener: &TcpListener,
        connections: &mut JoinSet<()>,
        phase: &watch::Receiver<Phase>,
    ) {
        let mut over = pin!(over(phase.clone()));
        loop {
            tokio::select! {
                () = &mut over => return,
                Some(_) = connections.join_next(), if !connections.is_empty() => {}
                accepted = listener.accept(), if connections.len() < self.settings.max_connections => {
                    match accepted {
                        Ok((stream, _)) => {
                            connections.spawn_local(client::serve(self.clone(), stream, phase.clone()));
                        }
                        Err(_) => sleep(BACK_OFF).await,
                    }
                }
            }
        }
    }

    /// The configuration's bounds on clients.
    fn limits(&self) -> Limits {
        let tables = self.exchange.tables();
        tables
            .config()
            .map_or_else(Limits::default, |config| config.limits.clone())
    }

    /// Answers one request.
    async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let received_at = Instant::now();
        let (head, body) = request.into_parts();
        let limits = self.limits();
        if let Err(refused) = intake::check_head(&head, &body, &limits) {
            return refused.reply();
        }
        let body = match intake::read_body(body, &limits, &self.body_budget).await {
            Ok(body) => body,
            Err(refused) => return refused.reply(),
        };
        // The tables as they are now: the body may have taken a while.
        let tables = self.exchange.tables();
        if tables.config().is_none() {
            return replies::service_unavailable(self.wait_for_tables());
        }
        if path::is_batch_path(head.uri.path()) {
            return self.batch_call(head, body, None, received_at).await;
        }
        match find_route(&tables, &head) {
            None => self.no_such_route(),
            Some(route) if route.route_type != RouteType::Batch => {
                self.relay(head, body, route, received_at).await
            }
            Some(route) if head.method == Method::POST => {
                self.batch_call(head, body, Some(route), received_at).await
            }
            Some(_) => self.no_such_route(),
        }
    }

    /// The answer where the tables name no route: 404 only while they may be taken for the newest. A gateway that was cut off
    /// may lack a route that is in force by now.
    fn no_such_route(&self) -> Response<ResponseBody> {
        match self
            .settings
            .validity
            .as_ref()
            .is_none_or(TableValidity::is_current)
        {
            true => replies::empty(StatusCode::NOT_FOUND),
            false => replies::service_unavailable(CORE_TAKE_OVER),
        }
    }

    /// When a client may come again that came before the first tables.
    fn wait_for_tables(&self) -> Duration {
        match self.started_at.elapsed() < USUAL_WAIT_FOR_TABLES {
            true => replies::DEFAULT_RETRY_AFTER,
            false => CORE_TAKE_OVER,
        }
    }

    /// Passes a request on to a backend.
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
        let deadline = received_at + held(&head.headers, &route);
        let prompt = if route.sticky {
            prompt::read(&head.headers)
        } else {
            None
        };
        let outbound = Outbound::new(head.method, &head.uri, head.headers, body.bytes.clone());
        let Ok(outbound) = outbound else {
            return replies::empty(StatusCode::BAD_REQUEST);
        };
        let job = Job {
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
            response = relay::serve(self.exchange.clone(), Rc::new(job)) => response,
            () = self.drain_deadline.expired() => GivenUp::TimedOut.reply(),
        }
    }

    /// Passes a call about batch jobs on.
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

/// The route that a request takes.
fn find_route(tables: &Tables, head: &Parts) -> Option<Arc<Route>> {
    let named = head
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let host = named.or_else(|| head.uri.host())?;
    tables.routes.find(host, head.uri.path()).cloned()
}

/// How long a request may be held: what its client says, and no longer than its route does.
fn held(headers: &HeaderMap, route: &Route) -> Duration {
    let told = headers
        .get(DEADLINE_MS)
        .and_then(|told| told.to_str().ok()?.trim().parse::<f64>().ok());
    let told = told.and_then(|told| Duration::try_from_secs_f64(told / 1000.0).ok());
    let most = route.timeout_ms.map_or(LONGEST_HELD, Duration::from_millis);
    told.map_or(most, |told| told.min(most))
}

/// Waits until no more clients are to be accepted.
async fn over(mut phase: watch::Receiver<Phase>) {
    let _ = phase.wait_for(|phase| *phase != Phase::Running).await;
    let until = Instant::now() + ACCEPTING_ON;
    tokio::select! {
        () = sleep_until(until) => {}
        _ = phase.wait_for(|phase| *phase == Phase::Ending) => {}
    }
}
