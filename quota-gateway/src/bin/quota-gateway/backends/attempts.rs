//! Attempts: one exchange with a backend each, over a connection of the pool.

use crate::backends::pool::{Pool, Pooled};
use crate::backends::sessions::Sent;
use crate::clients::connections;
use alderhollow_dataplane::flow::{flow, Flow, Upload};
use alderhollow_dataplane::link::{BrokenResponse, ExchangeError, Failure};
use alderhollow_dataplane::progress::Written;
use gateway_cluster::sessions::evidence;
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri};
use quota_gateway::{CustomerId, Outcome, ServerId};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::yield_now;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

/// Most bytes of a body that are gathered before it goes on, either way, and the longest that this may hold back the
/// answer's beginning where its length is not known, or what a refusal or an error says by its head.
pub(crate) const BODY_LIMIT: usize = 64 * 1024;
const HOLD: Duration = Duration::from_millis(50);
/// How long a body that goes on as it comes may bring nothing, or its reader take nothing.
const STALL: Duration = Duration::from_secs(10);
/// From this age on a request has waited for something.
const WAITED: Duration = Duration::from_millis(5);

/// A client's request as it goes on to a backend.
pub(crate) struct Message {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    /// The body, or what is here of it.
    pub body: Bytes,
    /// The rest, of a body that is too large to be kept: it goes on once.
    pub rest: RefCell<Option<Incoming>>,
    pub is_kept: bool,
    /// What the kept bytes take of the room for all.
    pub _room: Option<OwnedSemaphorePermit>,
}

/// An attempt that is to be made.
pub(crate) struct Order {
    pub server: ServerId,
    pub message: Rc<Message>,
    /// When the request was here.
    pub came: Instant,
    /// From then on it may not begin any more; from then on it is given up.
    pub start_by: Instant,
    pub expire_at: Instant,
    /// Whether a long answer is read ahead of its client.
    pub capped: bool,
}

/// How an attempt ended.
pub(crate) struct End {
    pub outcome: Outcome,
    /// The customer's use in the meter's last period, as a share of its rate.
    pub used: Option<f64>,
    /// The request's true units.
    pub billed: Option<f64>,
    /// The answer, if the backend served the request.
    pub answer: Option<Response<Bytes>>,
    /// What it was answered with, if anything.
    status: Option<StatusCode>,
}

impl From<Outcome> for End {
    fn from(outcome: Outcome) -> End {
        End {
            outcome,
            used: None,
            billed: None,
            answer: None,
            status: None,
        }
    }
}

impl End {
    /// What it says of the connection that the attempt went on: nothing, if it never ran, or if the answer is neither good
    /// nor 500.
    fn evidence(&self) -> Option<evidence::Outcome> {
        use evidence::Failure;
        match self.outcome {
            Outcome::Ok => Some(evidence::Outcome::Fine),
            Outcome::Error if self.status == Some(StatusCode::INTERNAL_SERVER_ERROR) => {
                Some(evidence::Outcome::Failed(Failure::Http500))
            }
            Outcome::Reset => Some(evidence::Outcome::Failed(Failure::Reset)),
            Outcome::TimedOut => Some(evidence::Outcome::Failed(Failure::Timeout)),
            Outcome::Cancelled => Some(evidence::Outcome::CustomersOwn),
            Outcome::Error | Outcome::Overloaded | Outcome::NoConnection | Outcome::NotSent => None,
        }
    }
}

/// Whether the request of a failed exchange surely never ran: here a backend begins one only when its last byte has
/// come. An answer that has begun shows that this backend did not wait for it.
fn never_ran(error: &ExchangeError) -> bool {
    matches!(
        error,
        ExchangeError::Unanswered(Failure {
            written: Written::Nothing | Written::Partly,
            ..
        })
    )
}

pub(crate) struct Backends {
    pub pool: Pool,
    /// Bytes of `ahead` that are not this process's any more.
    given: Cell<usize>,
    /// Bytes of large answers that may be here before their clients take them.
    ahead: Arc<Semaphore>,
}

impl Backends {
    pub(crate) fn new(pool: Pool, ahead: usize) -> Backends {
        Backends {
            pool,
            given: Cell::new(0),
            ahead: Arc::new(Semaphore::new(ahead.min(Semaphore::MAX_PERMITS))),
        }
    }

    /// Leaves idle connections and the room for reading ahead to another process, or takes them up again.
    pub(crate) fn keep_no_more(&self, none: bool) {
        if none {
            self.given
                .set(self.given.get() + self.ahead.forget_permits(Semaphore::MAX_PERMITS));
        } else {
            self.ahead.add_permits(self.given.take());
        }
        self.pool.keep_no_more(none);
    }

    /// One attempt. It is over, and its socket closed or idle again, when this returns. `wanted` tells
    /// whether the request still waits for an answer, `cancel` calls the attempt off.
    pub(crate) async fn attempt(
        &self,
        order: &Order,
        cancel: impl Future,
        wanted: impl Fn() -> bool,
        begin: impl FnOnce(Response<Flow>, &End),
    ) -> End {
        let (written, begun) = (Cell::new(Sent::No), Cell::new(false));
        let exchange = self.exchange(order, wanted, begin, (&written, &begun));
        // What has begun to reach its client is not called off any more.
        let unless_begun = || async {
            if begun.get() {
                std::future::pending::<()>().await;
            }
        };
        // The exchange owns the connection: whichever branch ends first, the others are dropped, and the
        // socket closed, before this returns and the module hears of it.
        let ended = tokio::select! {
            biased;
            () = async {
                cancel.await;
                unless_begun().await;
            } => Err(Outcome::Cancelled),
            end = exchange => Ok(end),
            () = async {
                sleep_until(order.expire_at).await;
                unless_begun().await;
            } => Err(Outcome::TimedOut),
        };
        let end = match (written.get(), ended) {
            (_, Ok(end)) => end,
            (Sent::No, Err(Outcome::Cancelled)) => Outcome::NotSent.into(),
            (Sent::No, Err(_)) => Outcome::NoConnection.into(),
            (_, Err(ended)) => ended.into(),
        };
        if let (Sent::On(conn), Some(customer)) = (written.get(), self.watched(order)) {
            let ran = !end.outcome.never_ran();
            self.pool
                .end(order.server, customer, conn, ran, end.evidence());
        }
        end
    }

    /// The order's customer, if someone watches sessions. It is read anew, so that an attempt that nobody watches
    /// carries nothing for it.
    fn watched(&self, order: &Order) -> Option<CustomerId> {
        if !self.pool.is_watched() {
            return None;
        }
        connections::customer(
            order
                .message
                .headers
                .get(header::COOKIE)?
                .to_str()
                .ok()?
                .trim(),
        )
    }

    async fn exchange(
        &self,
        order: &Order,
        wanted: impl Fn() -> bool,
        begin: impl FnOnce(Response<Flow>, &End),
        (written, begun): (&Cell<Sent>, &Cell<bool>),
    ) -> End {
        let id = order.server;
        let Some(place) = self.pool.ready_at(id) else {
            return Outcome::NotSent.into();
        };
        let (mut pooled, now) = loop {
            let mut pooled = if let Some(customer) = self.watched(order) {
                match Box::pin(self.pool.have(id, place, customer, order.expire_at)).await {
                    Some(pooled) => pooled,
                    None => return Outcome::NoConnection.into(),
                }
            } else {
                match self.pool.idle(id, order.expire_at).await {
                    Some(pooled) => pooled,
                    // Few attempts dial: the others need no room for it.
                    None => match Box::pin(self.pool.connect(place)).await {
                        Some(pooled) => pooled,
                        None => return Outcome::NoConnection.into(),
                    },
                }
            };
            let mut now = Instant::now();
            // Guards against sending for a client that went meanwhile: what the reactor finds when it looks once more is
            // served before this goes on. A request that has just come goes on at once.
            let waited = pooled.used == 0 || now.duration_since(order.came) >= WAITED;
            if waited {
                yield_now().await;
                now = Instant::now();
            }
            // Guards against sending to a backend that began to drain, went or moved while the connection rested or
            // came up, against sending for a request that was answered meanwhile, and against sending too late.
            if self.pool.ready_at(id) != Some(place) || !wanted() || order.start_by <= now {
                if pooled.used > 0 {
                    self.pool.put_back(id, pooled);
                }
                return Outcome::NotSent.into();
            }
            if !waited || pooled.link.is_silent().await {
                break (pooled, now);
            }
            // Another idle one may do, but none is opened anew for one that has just come up.
            if pooled.used == 0 {
                return Outcome::NoConnection.into();
            }
        };
        // What went on as it came is not there for a further attempt.
        let Some(request) = order.message.to_send(order.expire_at, now) else {
            return Outcome::NotSent.into();
        };
        let conn = self
            .watched(order)
            .and_then(|customer| self.pool.begin(id, customer, &mut pooled));
        written.set(conn.map_or(Sent::Unwatched, Sent::On));
        let idle = now.duration_since(pooled.since);
        self.pool.tally.borrow_mut().exchanges += 1;
        let end = match self
            .receive(&mut pooled, request, order.capped, wanted, begin, begun)
            .await
        {
            Ok(end) => end,
            Err(error) if never_ran(&error) => {
                self.pool.take_back(id, &mut pooled);
                return Outcome::NoConnection.into();
            }
            Err(problem) => {
                let tally = &mut *self.pool.tally.borrow_mut();
                if let ExchangeError::Broken(BrokenResponse::Malformed(_)) = problem {
                    tally.malformed += 1;
                }
                *if pooled.used == 0 {
                    &mut tally.broken_new
                } else {
                    &mut tally.broken_used
                } += 1;
                tally.last_broken = format!(
                    "to {} after {} ms, {} ms idle before, {} exchanges: {problem}",
                    place.address,
                    now.elapsed().as_millis(),
                    idle.as_millis(),
                    pooled.used
                );
                self.pool.stir();
                return Outcome::Reset.into();
            }
        };
        pooled.used += 1;
        if end.outcome.never_ran() {
            self.pool.take_back(id, &mut pooled);
        }
        if pooled.link.is_usable().await {
            self.pool.park(id, pooled);
        }
        end
    }

    /// Sends a request and takes its answer in: whole, or as it comes once `begin` has it.
    async fn receive(
        &self,
        pooled: &mut Pooled,
        request: Request<Upload>,
        capped: bool,
        wanted: impl Fn() -> bool,
        begin: impl FnOnce(Response<Flow>, &End),
        begun: &Cell<bool>,
    ) -> Result<End, ExchangeError> {
        let (head, mut body) = pooled.link.send(request).await?.into_parts();
        pooled.heed(&head.headers);
        let address = pooled.address;
        let link = &mut pooled.link;
        let length = body.size_hint().exact();
        let served = head.status == StatusCode::OK;
        let mut gathered: Vec<Bytes> = Vec::new();
        let mut size = 0;
        let hold = Instant::now() + HOLD;
        while length.is_none_or(|length| length <= BODY_LIMIT as u64) && size <= BODY_LIMIT {
            let piece = if served && length.is_some() {
                link.next_chunk(&mut body).await
            } else {
                match timeout_at(hold, link.next_chunk(&mut body)).await {
                    Ok(piece) => piece,
                    Err(_) => break,
                }
            };
            match piece {
                Some(piece) => {
                    let piece = piece?;
                    size += piece.len();
                    gathered.push(piece);
                }
                None => return Ok(judge(Response::from_parts(head, gathered.concat().into()))),
            }
        }
        if !served {
            // What it says at such length, or so slowly, is for nobody. Dropped unread, it takes the connection along.
            return Ok(judge(Response::from_parts(head, Bytes::new())));
        }
        if !wanted() {
            return Ok(Outcome::Cancelled.into());
        }
        let end = figures(&head, Outcome::Ok);
        let (source, flow) = flow(
            length,
            if capped {
                self.ahead.clone()
            } else {
                Arc::new(Semaphore::new(0))
            },
        );
        begun.set(true);
        begin(Response::from_parts(head, flow), &end);
        let pass_on = async {
            for piece in gathered {
                source.send(piece).await.map_err(|_| Outcome::Cancelled)?;
            }
            while let Some(piece) = timeout(STALL, link.next_chunk(&mut body))
                .await
                .unwrap_or(Some(stalled()))
            {
                let piece = piece.map_err(|broken| {
                    self.pool.record_broken_body(address, &broken);
                    Outcome::Reset
                })?;
                match timeout(STALL, source.send(piece)).await {
                    Ok(Ok(())) => {}
                    _ => return Err(Outcome::Cancelled),
                }
            }
            Ok(())
        };
        let passed = tokio::select! {
            biased;
            passed = pass_on => passed,
            () = source.closed() => Err(Outcome::Cancelled),
        };
        // Another attempt's place is not taken: what the meter told with the head was heard then.
        match passed {
            Ok(()) => {
                source.end();
                Ok(Outcome::Ok.into())
            }
            Err(outcome) => Ok(outcome.into()),
        }
    }
}

impl Message {
    /// `None` if it has gone on as it came already.
    fn to_send(&self, expire_at: Instant, now: Instant) -> Option<Request<Upload>> {
        let rest = self.rest.take();
        if rest.is_none() && !self.is_kept {
            return None;
        }
        let mut request = Request::new(Upload::new(self.body.clone(), rest));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let left = expire_at.saturating_duration_since(now).as_micros();
        if let Ok(left) = HeaderValue::from_str(&format!("{left}u")) {
            request.headers_mut().insert("x-deadline", left);
        }
        Some(request)
    }
}

fn stalled() -> Result<Bytes, BrokenResponse> {
    Err(BrokenResponse::Truncated {
        problem: "nothing more came".into(),
    })
}

/// What an answer's head says of the customer's use.
fn figures(head: &Parts, outcome: Outcome) -> End {
    let figure = |name| {
        let text = head.headers.get(name).and_then(|value| value.to_str().ok());
        let figure = text.and_then(|text| text.trim().parse::<f64>().ok());
        figure.filter(|figure| figure.is_finite() && *figure >= 0.0)
    };
    let used = figure("usage-percent").map(|percent| percent / 100.0);
    let status = Some(head.status);
    End {
        outcome,
        used,
        billed: figure("billed-units"),
        answer: None,
        status,
    }
}

/// What an answer says of its attempt.
fn judge(answer: Response<Bytes>) -> End {
    let (head, body) = answer.into_parts();
    let not_run = head
        .headers
        .get("x-not-run")
        .and_then(|value| value.to_str().ok());
    let turned_away = not_run.is_some_and(|text| text.trim() == "1");
    match head.status {
        StatusCode::OK => {
            let end = figures(&head, Outcome::Ok);
            End {
                answer: Some(Response::from_parts(head, body)),
                ..end
            }
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => {
            figures(&head, Outcome::Overloaded)
        }
        // Anything else may have run.
        _ => figures(&head, Outcome::Error),
    }
}

#[cfg(test)]
mod tests;
