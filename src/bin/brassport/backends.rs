//! The backends: where they are, the idle connections to them, and the attempts.

use crate::cost::{Gauge, Held};
use crate::door::log;
use crate::flow::{flow, Flow, Upload};
use crate::link::{Failure, Link};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri};
use springusher::{Outcome, ServerId};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

/// Most bytes of a body that are gathered before it goes on, either way, and the longest that this may hold back the
/// answer's beginning where its length is not known.
pub const BODY_LIMIT: usize = 64 * 1024;
const HOLD: Duration = Duration::from_millis(50);
/// How long a body that goes on as it comes may bring nothing, or its reader take nothing.
const STALL: Duration = Duration::from_secs(10);
/// Part of the backends' idle time after which a connection is closed: they may close theirs earlier than
/// they say, and a request that crosses that is lost.
const IDLE_PART: f64 = 0.5;
const SWEEP: Duration = Duration::from_secs(1);
/// The least time from one report on the connections to the next.
const REPORT: Duration = Duration::from_secs(5);

/// A client's request as it goes on to a backend.
pub struct Message {
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
pub struct Order {
    pub server: ServerId,
    pub message: Rc<Message>,
    pub expire_at: Instant,
    /// Whether a long answer is read ahead of its client.
    pub capped: bool,
}

/// How an attempt ended.
pub struct End {
    pub outcome: Outcome,
    /// The customer's use in the meter's last period, as a share of its rate.
    pub used: Option<f64>,
    /// The request's true units.
    pub billed: Option<f64>,
    /// The answer, if the backend served the request.
    pub answer: Option<Response<Bytes>>,
}

impl From<Outcome> for End {
    fn from(outcome: Outcome) -> End {
        End { outcome, used: None, billed: None, answer: None }
    }
}

struct Pooled {
    link: Link,
    since: Instant,
    /// Exchanges that it has carried.
    used: u32,
    _descriptor: OwnedSemaphorePermit,
    _open: Held,
}

struct Backend {
    address: SocketAddr,
    ready: bool,
    /// The one used last stands at the end.
    idle: Vec<Pooled>,
}

/// What the connections went through since the last report.
#[derive(Default)]
struct Tally {
    exchanges: u32,
    opened: u32,
    unopened: u32,
    /// Broken exchanges on a new connection, and on one that had carried others before.
    broken_new: u32,
    broken_used: u32,
    last_broken: String,
}

impl Tally {
    fn has_failures(&self) -> bool {
        self.unopened + self.broken_new + self.broken_used > 0
    }
}

pub struct Backends {
    known: RefCell<BTreeMap<ServerId, Backend>>,
    /// Those that staff have taken out, known or not.
    out: RefCell<BTreeSet<ServerId>>,
    /// Whether connections are closed after use: another process needs the descriptors.
    keep_none: Cell<bool>,
    /// Bytes of `ahead` that are not this process's any more.
    given: Cell<usize>,
    /// Attempts whose last byte was written.
    attempts: Rc<Cell<u64>>,
    descriptors: Arc<Semaphore>,
    /// Connections, on their way ones too.
    open: Gauge,
    /// Bytes of large answers that may be here before their clients take them.
    ahead: Arc<Semaphore>,
    connect_timeout: Duration,
    keep_idle: Duration,
    tally: RefCell<Tally>,
    /// Ends the sweep's rest.
    stir: Notify,
    resting: Cell<bool>,
}

impl Backends {
    pub fn new(
        descriptors: Arc<Semaphore>,
        ahead: usize,
        attempts: Rc<Cell<u64>>,
        connect_timeout: Duration,
        idle_timeout: Duration,
    ) -> Backends {
        Backends {
            known: RefCell::default(),
            out: RefCell::default(),
            keep_none: Cell::new(false),
            given: Cell::new(0),
            attempts,
            ahead: Arc::new(Semaphore::new(ahead.min(Semaphore::MAX_PERMITS))),
            descriptors,
            open: Gauge::default(),
            connect_timeout,
            keep_idle: idle_timeout.mul_f64(IDLE_PART),
            tally: RefCell::default(),
            stir: Notify::new(),
            resting: Cell::new(false),
        }
    }

    /// Notes where a backend is and whether it takes new requests.
    pub fn put(&self, id: ServerId, address: SocketAddr, ready: bool) {
        let mut known = self.known.borrow_mut();
        let backend = known.entry(id).or_insert(Backend { address, ready, idle: Vec::new() });
        if backend.address != address || !ready {
            backend.idle.clear();
        }
        (backend.address, backend.ready) = (address, ready);
    }

    /// Forgets the backends that `keep` does not name.
    pub fn retain(&self, keep: impl Fn(ServerId) -> bool) {
        self.known.borrow_mut().retain(|id, _| keep(*id));
    }

    /// Takes a backend out or back in, whatever the list says of it.
    pub fn take_out(&self, id: ServerId, out: bool) {
        if !out {
            self.out.borrow_mut().remove(&id);
            return;
        }
        self.out.borrow_mut().insert(id);
        if let Some(backend) = self.known.borrow_mut().get_mut(&id) {
            backend.idle.clear();
        }
    }

    /// Closes idle connections, now and from here on, or no longer does.
    pub fn keep_no_more(&self, none: bool) {
        self.keep_none.set(none);
        // The room for reading ahead goes to the other process as well.
        if none {
            self.given.set(self.given.get() + self.ahead.forget_permits(Semaphore::MAX_PERMITS));
        } else {
            self.ahead.add_permits(self.given.take());
        }
        while none && self.shed_idle() {}
    }

    pub fn any_ready(&self) -> bool {
        let out = self.out.borrow();
        self.known.borrow().iter().any(|(id, backend)| backend.ready && !out.contains(id))
    }

    pub fn lists(&self, id: ServerId) -> bool {
        self.known.borrow().contains_key(&id)
    }

    /// How many backends the list holds.
    pub fn count(&self) -> usize {
        self.known.borrow().len()
    }

    /// The connections that are idle, and those that carry an exchange or are on their way.
    pub fn connections(&self) -> (usize, usize) {
        let idle = self.known.borrow().values().map(|backend| backend.idle.len()).sum();
        (idle, self.open.get().saturating_sub(idle))
    }

    /// Closes the idle connection that has been so for the longest time; false if there is none.
    pub fn shed_idle(&self) -> bool {
        let mut known = self.known.borrow_mut();
        let idle = known.values_mut().filter(|backend| !backend.idle.is_empty());
        let Some(backend) = idle.min_by_key(|backend| backend.idle[0].since) else { return false };
        backend.idle.remove(0);
        true
    }

    /// Closes connections that have been idle for long or that the other side has closed, and reports on failures.
    /// It rests while nothing of that is due: a connection that is closed ends its rest, or one more that is idle.
    pub async fn sweep(&self) {
        let mut reported = Instant::now();
        loop {
            let mut report_at = self.tally.borrow().has_failures().then_some(reported + REPORT);
            if report_at.take_if(|at| *at <= Instant::now()).is_some() {
                reported = Instant::now();
                self.report();
            }
            self.resting.set(true);
            tokio::select! {
                biased;
                // Each look asks the idle connections to wake this task when something comes in.
                () = poll_fn(|context| self.look(context)) => {}
                () = async {
                    match self.first_overdue().into_iter().chain(report_at).min() {
                        Some(due) => sleep_until(due).await,
                        None => std::future::pending().await,
                    }
                } => {}
                () = self.stir.notified() => sleep(SWEEP).await,
            }
        }
    }

    /// Looks at all idle connections, again each time that one of them wakes the task.
    fn look(&self, context: &mut Context<'_>) -> Poll<()> {
        for backend in self.known.borrow_mut().values_mut() {
            backend.idle.retain_mut(|pooled| {
                pooled.since.elapsed() < self.keep_idle && pooled.link.poll_usable(context)
            });
        }
        Poll::Pending
    }

    /// When idle connections are to be closed next: what is due within a second of each other goes together.
    fn first_overdue(&self) -> Option<Instant> {
        let known = self.known.borrow();
        known.values().filter_map(|backend| Some(backend.idle.first()?.since + self.keep_idle + SWEEP)).min()
    }

    /// Ends the sweep's rest.
    fn stir(&self) {
        if self.resting.replace(false) {
            self.stir.notify_one();
        }
    }

    /// Tells staff of failures on the connections.
    fn report(&self) {
        let tally = self.tally.take();
        log(&format!(
            "connections to backends: {} exchanges, {} opened, {} not opened, broken {} new and {} used \
             before, the last {}",
            tally.exchanges,
            tally.opened,
            tally.unopened,
            tally.broken_new,
            tally.broken_used,
            tally.last_broken,
        ));
    }

    /// One attempt. It is over, and its socket closed or idle again, when this returns. `wanted` tells
    /// whether the request still waits for an answer, `cancel` calls the attempt off.
    pub async fn attempt(
        &self,
        order: &Order,
        cancel: impl Future,
        wanted: impl Fn() -> bool,
        begin: impl FnOnce(Response<Flow>, &End),
    ) -> End {
        let (written, begun) = (Cell::new(false), Cell::new(false));
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
            } => Outcome::Cancelled,
            end = exchange => return end,
            () = async {
                sleep_until(order.expire_at).await;
                unless_begun().await;
            } => Outcome::TimedOut,
        };
        match (written.get(), ended) {
            (true, ended) => ended.into(),
            (false, Outcome::Cancelled) => Outcome::Moot.into(),
            (false, _) => Outcome::NoConnection.into(),
        }
    }

    async fn exchange(
        &self,
        order: &Order,
        wanted: impl Fn() -> bool,
        begin: impl FnOnce(Response<Flow>, &End),
        (written, begun): (&Cell<bool>, &Cell<bool>),
    ) -> End {
        let id = order.server;
        let Some(address) = self.ready_at(id) else { return Outcome::Moot.into() };
        let mut pooled = match self.idle(id).await {
            Some(pooled) => pooled,
            // Few attempts dial: the others need no room for it.
            None => match Box::pin(self.connect(address)).await {
                Some(pooled) => pooled,
                None => return Outcome::NoConnection.into(),
            },
        };
        // Guards against sending to a backend that began to drain, went or moved while the connection came
        // up, and against sending for a request that was answered meanwhile.
        if self.ready_at(id) != Some(address) || !wanted() {
            return Outcome::Moot.into();
        }
        // What went on as it came is not there for a further attempt.
        let Some(request) = order.message.to_send(order.expire_at) else { return Outcome::Moot.into() };
        written.set(true);
        let (sent, idle) = (Instant::now(), pooled.since.elapsed());
        self.tally.borrow_mut().exchanges += 1;
        let end = match self.receive(&mut pooled.link, request, order.capped, wanted, begin, begun).await {
            Ok(end) => end,
            Err(Failure::Unsent) => return Outcome::NoConnection.into(),
            Err(Failure::Broken(problem)) => {
                let tally = &mut *self.tally.borrow_mut();
                *if pooled.used == 0 { &mut tally.broken_new } else { &mut tally.broken_used } += 1;
                tally.last_broken = format!(
                    "to {address} after {} ms, {} ms idle before, {} exchanges: {problem}",
                    sent.elapsed().as_millis(),
                    idle.as_millis(),
                    pooled.used
                );
                self.stir();
                return Outcome::Reset.into();
            }
        };
        pooled.used += 1;
        if pooled.link.is_usable().await {
            pooled.since = Instant::now();
            self.park(id, address, pooled);
        }
        end
    }

    /// Sends a request and takes its answer in: whole, or as it comes once `begin` has it.
    async fn receive(
        &self,
        link: &mut Link,
        request: Request<Upload>,
        capped: bool,
        wanted: impl Fn() -> bool,
        begin: impl FnOnce(Response<Flow>, &End),
        begun: &Cell<bool>,
    ) -> Result<End, Failure> {
        let (head, mut body) = link.send(request).await?.into_parts();
        let length = body.size_hint().exact();
        let served = head.status == StatusCode::OK;
        let mut gathered: Vec<Bytes> = Vec::new();
        let mut size = 0;
        let hold = Instant::now() + HOLD;
        while length.is_none_or(|length| length <= BODY_LIMIT as u64) && size <= BODY_LIMIT {
            let piece = if length.is_some() || !served {
                link.piece(&mut body).await
            } else {
                match timeout_at(hold, link.piece(&mut body)).await {
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
            // What it says at such length is for nobody. Dropped unread, it takes the connection along.
            return Ok(judge(Response::from_parts(head, Bytes::new())));
        }
        if !wanted() {
            return Ok(Outcome::Cancelled.into());
        }
        let end = figures(&head, Outcome::Ok);
        let (source, flow) =
            flow(length, if capped { self.ahead.clone() } else { Arc::new(Semaphore::new(0)) });
        begun.set(true);
        begin(Response::from_parts(head, flow), &end);
        let pass_on = async {
            for piece in gathered {
                source.send(piece).await.map_err(|_| Outcome::Cancelled)?;
            }
            while let Some(piece) = timeout(STALL, link.piece(&mut body)).await.unwrap_or(Some(stalled())) {
                let piece = piece.map_err(|_| Outcome::Reset)?;
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

    fn ready_at(&self, id: ServerId) -> Option<SocketAddr> {
        if self.out.borrow().contains(&id) {
            return None;
        }
        self.known.borrow().get(&id).filter(|backend| backend.ready).map(|backend| backend.address)
    }

    /// The warmest idle connection that still stands.
    async fn idle(&self, id: ServerId) -> Option<Pooled> {
        loop {
            let mut pooled = self.known.borrow_mut().get_mut(&id)?.idle.pop()?;
            if pooled.since.elapsed() < self.keep_idle && pooled.link.is_usable().await {
                return Some(pooled);
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Option<Pooled> {
        let descriptor = loop {
            match self.descriptors.clone().try_acquire_owned() {
                Ok(descriptor) => break descriptor,
                Err(_) if self.shed_idle() => {}
                Err(_) => return None,
            }
        };
        let open = self.open.hold();
        // Guards against a machine that is cut off: its connections never come up.
        let link = timeout(self.connect_timeout, Link::open(address, self.attempts.clone()))
            .await
            .ok()
            .and_then(Result::ok);
        let tally = &mut *self.tally.borrow_mut();
        *if link.is_some() { &mut tally.opened } else { &mut tally.unopened } += 1;
        if link.is_none() {
            self.stir();
        }
        Some(Pooled { link: link?, since: Instant::now(), used: 0, _descriptor: descriptor, _open: open })
    }

    fn park(&self, id: ServerId, address: SocketAddr, pooled: Pooled) {
        if self.keep_none.get() || self.ready_at(id) != Some(address) {
            return;
        }
        if let Some(backend) = self.known.borrow_mut().get_mut(&id) {
            backend.idle.push(pooled);
            self.stir();
        }
    }
}

impl Message {
    /// `None` if it has gone on as it came already.
    fn to_send(&self, expire_at: Instant) -> Option<Request<Upload>> {
        let rest = self.rest.take();
        if rest.is_none() && !self.is_kept {
            return None;
        }
        let mut request = Request::new(Upload::new(self.body.clone(), rest));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let left = expire_at.saturating_duration_since(Instant::now()).as_micros();
        if let Ok(left) = HeaderValue::from_str(&format!("{left}u")) {
            request.headers_mut().insert("x-deadline", left);
        }
        Some(request)
    }
}

fn stalled() -> Result<Bytes, Failure> {
    Err(Failure::Broken("nothing more came".into()))
}

/// What an answer's head says of the customer's use.
fn figures(head: &Parts, outcome: Outcome) -> End {
    let figure = |name| {
        let text = head.headers.get(name).and_then(|value| value.to_str().ok());
        let figure = text.and_then(|text| text.trim().parse::<f64>().ok());
        figure.filter(|figure| figure.is_finite() && *figure >= 0.0)
    };
    let used = figure("usage-percent").map(|percent| percent / 100.0);
    End { outcome, used, billed: figure("billed-units"), answer: None }
}

/// What an answer says of its attempt.
fn judge(answer: Response<Bytes>) -> End {
    let (head, body) = answer.into_parts();
    let not_run = head.headers.get("x-not-run").and_then(|value| value.to_str().ok());
    let turned_away = not_run.is_some_and(|text| text.trim() == "1");
    match head.status {
        StatusCode::OK => {
            let end = figures(&head, Outcome::Ok);
            End { answer: Some(Response::from_parts(head, body)), ..end }
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => {
            figures(&head, Outcome::Full)
        }
        // Anything else may have run.
        _ => figures(&head, Outcome::Error),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::{Ipv4Addr, TcpListener};
    use std::pin::pin;

    #[tokio::test(start_paused = true)]
    async fn the_sweep_is_woken_only_for_what_is_due() {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let descriptors = Arc::new(Semaphore::new(100));
        let backends = Backends::new(
            descriptors.clone(),
            0,
            Rc::default(),
            Duration::from_secs(1),
            Duration::from_secs(1000),
        );
        backends.put(7, address, true);
        let mut looks = 0;
        let mut sweep = pin!(backends.sweep());
        let mut sweep_for = async |time| {
            let sweeping = poll_fn(|context| {
                looks += 1;
                sweep.as_mut().poll(context)
            });
            let _ = timeout(time, sweeping).await;
            std::mem::take(&mut looks)
        };
        let second = Duration::from_secs(1);
        assert!(sweep_for(400 * second).await <= 3, "woken with nothing to look after");
        for _ in 0..20 {
            let pooled = backends.connect(address).await.expect("it comes up");
            backends.park(7, address, pooled);
        }
        assert_eq!(backends.connections(), (20, 0));
        let looks = sweep_for(400 * second).await;
        assert!(looks <= 6, "woken {looks} times while nothing happens");
        // What the other side closes gives its descriptor back at once.
        drop(listener);
        sweep_for(second).await;
        assert_eq!((backends.connections(), descriptors.available_permits()), ((0, 0), 100));
    }

    #[tokio::test(start_paused = true)]
    async fn the_sweep_closes_what_has_been_idle_for_long() {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let idle = Duration::from_secs(10);
        let backends = Backends::new(Arc::new(Semaphore::new(1)), 0, Rc::default(), idle, idle);
        backends.put(7, address, true);
        let pooled = backends.connect(address).await.expect("it comes up");
        backends.park(7, address, pooled);
        let half = idle.mul_f64(IDLE_PART);
        let _ = timeout(half - SWEEP, backends.sweep()).await;
        assert_eq!(backends.connections(), (1, 0));
        let _ = timeout(SWEEP * 3, backends.sweep()).await;
        assert_eq!(backends.connections(), (0, 0));
    }

    #[test]
    fn an_answers_figures_are_read_if_they_make_sense() {
        let figures = |used: &str, billed: &str| {
            let mut answer = Response::new(Bytes::new());
            answer.headers_mut().insert("usage-percent", HeaderValue::from_str(used).expect("a value"));
            answer.headers_mut().insert("billed-units", HeaderValue::from_str(billed).expect("a value"));
            let End { used, billed, .. } = judge(answer);
            (used, billed)
        };
        assert_eq!(figures("140", "3"), (Some(1.4), Some(3.0)));
        for nonsense in ["", "many", "-1", "NaN", "inf", "1e999"] {
            assert_eq!(figures(nonsense, nonsense), (None, None), "{nonsense:?}");
        }
    }
}
