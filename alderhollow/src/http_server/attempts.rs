//! Chooses the backends that a client's request is sent to, and decides when to stop trying.

use super::body::ResponseBody;
use super::intake::BufferedBody;
use super::replies::{self, DEFAULT_RETRY_AFTER};
use crate::balance::{NoBackend, Outcome, Prompt, SelectionRequest};
use crate::exchange::attempt::Attempt;
use crate::exchange::outbound::Outbound;
use crate::exchange::response::BackendResponse;
use crate::exchange::wait_limits::{Alternatives, WaitLimits};
use crate::exchange::Exchange;
use alderhollow_model::config::Route;
use hyper::body::Bytes;
use hyper::{Response, StatusCode};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Number of backends that may decline a request before its client is told to retry later.
const MAX_DECLINED: u32 = 4;
/// The same for backends whose weights have another version than the request expects: they answer at once, and a part of
/// the backends may have the version.
const MAX_OTHER_WEIGHTS: u32 = 8;
/// A backend that sends nothing for this multiple of the route's target latency, and for at least
/// `MIN_STALL_TIMEOUT`, is replaced by another one.
const STALL_TARGET_FACTOR: f64 = 3.0;
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(700);
/// The same between the events of a stream, as a multiple of the route's target gap. Clients abandon a stream after 8
/// gaps, and the next backend needs time for its first event.
const STALL_GAP_FACTOR: f64 = 5.0;
/// Fraction of the route's target latency for which a request may wait for backend capacity. A rejection within it
/// leaves the client enough time to retry.
const CAPACITY_WAIT_FRACTION: f64 = 0.2;
/// How long after the deadline a backend may still end its response itself.
const DEADLINE_SLACK: Duration = Duration::from_millis(100);
/// Shortest wait for backend capacity.
const MIN_CAPACITY_WAIT: Duration = Duration::from_millis(5);

/// A request to be sent to backends.
pub(super) struct PendingRequest {
    /// The route that matched.
    pub route: Arc<Route>,
    /// The service chosen by the route's weights.
    pub service: String,
    /// The prompt, on routes whose requests share parts of their prompts.
    pub prompt: Option<Prompt>,
    /// The request as it is sent to backends.
    pub outbound: Outbound,
    /// When the request was received.
    pub received_at: Instant,
    /// The deadline set by the client or by the route.
    pub deadline: Instant,
    /// The body, which uses the body memory budget until the request ends.
    pub _body: BufferedBody,
}

impl PendingRequest {
    fn target_latency(&self) -> Duration {
        Duration::from_millis(self.route.target_latency_ms.unwrap_or(0))
    }

    /// How long a backend may take to send its first byte.
    fn first_byte_timeout(&self) -> Duration {
        self.target_latency()
            .mul_f64(STALL_TARGET_FACTOR)
            .max(MIN_STALL_TIMEOUT)
    }

    /// How long a backend may take between two events.
    fn event_timeout(&self) -> Duration {
        let target_gap = Duration::try_from_secs_f64(self.route.gap_aim_ms.unwrap_or(0.0) / 1000.0);
        target_gap
            .unwrap_or_default()
            .mul_f64(STALL_GAP_FACTOR)
            .max(MIN_STALL_TIMEOUT)
    }
}

/// Why no backend serves a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestFailure {
    /// The request has not run on any backend and will not.
    NotRun {
        /// Delay after which the client may retry.
        retry_after: Duration,
    },
    /// The request may have run.
    Failed,
    /// The request may have run, and its deadline has passed.
    TimedOut,
}

impl RequestFailure {
    /// The response to the client.
    pub(super) fn reply(self) -> Response<ResponseBody> {
        match self {
            RequestFailure::NotRun { retry_after } => replies::service_unavailable(retry_after),
            RequestFailure::Failed => replies::empty(StatusCode::BAD_GATEWAY),
            RequestFailure::TimedOut => replies::empty(StatusCode::GATEWAY_TIMEOUT),
        }
    }
}

/// The attempts to serve one request.
pub(super) struct Attempts {
    exchange: Rc<Exchange>,
    request: Rc<PendingRequest>,
    /// Backends that the request was sent to since its response last progressed, and the one that responds.
    tried: Vec<String>,
    declined: u32,
    other_weights: u32,
    /// Number of backends that may have run the request.
    may_have_run: u32,
    /// The attempt reserved to replace a stalled backend.
    reserved: RefCell<Option<Attempt>>,
}

impl Attempts {
    /// Starts without any attempts.
    pub(super) fn new(exchange: Rc<Exchange>, request: Rc<PendingRequest>) -> Attempts {
        Attempts {
            exchange,
            request,
            tried: Vec::new(),
            declined: 0,
            other_weights: 0,
            may_have_run: 0,
            reserved: RefCell::new(None),
        }
    }

    /// The request.
    pub(super) fn request(&self) -> &Rc<PendingRequest> {
        &self.request
    }

    /// Whether the request may be sent to another backend, given how many may have run it already.
    pub(super) fn may_run_again(&self) -> bool {
        let max_attempts = self.request.route.max_attempts.unwrap_or(1);
        let may_retry = self.may_have_run == 0
            || (self.request.route.may_repeat() && self.may_have_run < max_attempts);
        may_retry && Instant::now() < self.request.deadline
    }

    /// The failure to report if no further backend is tried.
    pub(super) fn failure(&self) -> RequestFailure {
        match self.may_have_run {
            0 => RequestFailure::NotRun {
                retry_after: DEFAULT_RETRY_AFTER,
            },
            _ if self.request.deadline <= Instant::now() => RequestFailure::TimedOut,
            _ => RequestFailure::Failed,
        }
    }

    /// Sends the request to one backend after another until one of them responds.
    ///
    /// # Errors
    /// No backend responds, or no further one may be tried.
    pub(super) async fn next_response(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<BackendResponse, RequestFailure> {
        loop {
            let attempt = self.next_attempt().await?;
            self.tried.push(attempt.backend().id.clone());
            self.may_have_run += 1;
            let sent = {
                let wait_limits =
                    self.wait_limits(self.request.deadline, self.request.first_byte_timeout());
                self.exchange
                    .send(attempt, &self.request.outbound, resume_after, &wait_limits)
                    .await
            };
            match sent {
                Ok(response) => return Ok(response),
                Err(error) if error.evidence.may_have_run() => {
                    if !self.may_run_again() {
                        return Err(self.failure());
                    }
                }
                Err(error) => {
                    self.may_have_run -= 1;
                    if self.was_declined_too_often(error.outcome) {
                        return Err(self.failure());
                    }
                }
            }
        }
    }

    /// Records that the backend tried last has sent further events. If it fails later, other backends may be asked
    /// again: that they declined or failed before says nothing about then.
    pub(super) fn response_progressed(&mut self) {
        let responding = self.tried.pop();
        self.tried.clear();
        self.tried.extend(responding);
        self.declined = 0;
        self.other_weights = 0;
    }

    /// Counts a backend that has not run the request. Returns whether no further one is asked.
    fn was_declined_too_often(&mut self, outcome: Outcome) -> bool {
        let (count, limit) = match outcome {
            Outcome::OtherWeights => (&mut self.other_weights, MAX_OTHER_WEIGHTS),
            _ => (&mut self.declined, MAX_DECLINED),
        };
        *count += 1;
        *count >= limit
    }

    /// Chooses the next backend; waits for capacity while the client can still be served in time.
    async fn next_attempt(&self) -> Result<Attempt, RequestFailure> {
        if let Some(reserved) = self.reserved.take() {
            return Ok(reserved);
        }
        loop {
            if self.request.deadline <= Instant::now() {
                return Err(self.failure());
            }
            let wait = match self.exchange.place(&self.selection_request()).await {
                Ok(attempt) => return Ok(attempt),
                Err(NoBackend::NoneReady) => return Err(self.failure()),
                Err(
                    NoBackend::AllFull { retry_after_ms }
                    | NoBackend::OtherWeights { retry_after_ms },
                ) => Duration::try_from_secs_f64(retry_after_ms / 1000.0)
                    .unwrap_or(DEFAULT_RETRY_AFTER),
            };
            let reject_at = self.request.received_at
                + self
                    .request
                    .target_latency()
                    .mul_f64(CAPACITY_WAIT_FRACTION);
            let wait = wait.max(MIN_CAPACITY_WAIT);
            if self.may_have_run > 0 || reject_at < Instant::now() + wait {
                return Err(match self.failure() {
                    RequestFailure::NotRun { .. } => RequestFailure::NotRun { retry_after: wait },
                    request_failure => request_failure,
                });
            }
            sleep(wait).await;
        }
    }

    fn selection_request(&self) -> SelectionRequest<'_> {
        SelectionRequest {
            service: &self.request.service,
            prompt: self.request.prompt.as_ref(),
            priority: self.request.route.priority,
            tried: &self.tried,
            expected_weights: self.request.outbound.expected_weights(),
            sender: None,
        }
    }

    /// Waits for the next chunk of a response body; `Err` gives the outcome of the attempt.
    pub(super) async fn next_chunk(
        &self,
        response: &mut BackendResponse,
        wait: Wait,
    ) -> Result<Option<Bytes>, Outcome> {
        // A backend that ends its response at the deadline is seen to do so slightly later.
        let deadline = self.request.deadline + DEADLINE_SLACK;
        let wait_limits = match wait {
            Wait::FirstByte => self.wait_limits(deadline, self.request.first_byte_timeout()),
            Wait::NextEvent => self.wait_limits(deadline, self.request.event_timeout()),
            Wait::Rest => WaitLimits::until(deadline),
        };
        match wait_limits.wait(response.next_chunk()).await {
            Ok(Some(Ok(chunk))) => Ok(Some(chunk)),
            Ok(None) => Ok(None),
            Ok(Some(Err(_))) => Err(Outcome::Broken),
            Err(limit) => Err(limit.into()),
        }
    }

    fn wait_limits(&self, deadline: Instant, silence: Duration) -> WaitLimits<'_> {
        // A stall timeout is useful only if the request may run again on another backend.
        let silence = self
            .request
            .route
            .may_repeat()
            .then_some((silence, self as &dyn Alternatives));
        WaitLimits {
            deadline,
            silence,
            permission: None,
        }
    }
}

impl Alternatives for Attempts {
    /// A stalled backend is replaced only if another one can take the request: a stall alone does not end a response.
    fn has_other(&self) -> bool {
        if !self.may_run_again() {
            return false;
        }
        let attempt = self.exchange.choose(&self.selection_request()).ok();
        let is_reserved = attempt.is_some();
        self.reserved.replace(attempt);
        is_reserved
    }
}

/// The part of a response body to wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Wait {
    /// The first byte of the body.
    FirstByte,
    /// The next event of a stream that another backend may resume.
    NextEvent,
    /// The rest of a response that only its current backend can complete.
    Rest,
}
