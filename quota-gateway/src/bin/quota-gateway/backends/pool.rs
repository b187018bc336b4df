//! The connections to the backends: where each backend is, which connections stand idle, and how one is had.

use crate::backends::sessions::{Hold, Seen, Sessions, Watched, RUN_GAP};
use crate::operators::cost::{Gauge, Held};
use alderhollow_dataplane::link::{BrokenResponse, Link};
use gateway_cluster::sessions::evidence::{ConnectionUse, Outcome};
use hyper::header::HeaderMap;
use oorandom::Rand32;
use quota_gateway::{CustomerId, ServerId};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, sleep_until, timeout, Instant};
use tracing::warn;

/// Part of the backends' idle time after which a connection is closed: they may close theirs earlier than
/// they say, and a request that crosses that is lost.
const IDLE_PART: f64 = 0.5;
/// Part of that time by which each connection's is cut at random: what a fleet opened together it must not open
/// anew together.
const JITTER: f32 = 0.25;
/// How long a connection rests after an answer. A backend at fault may write its answer again some milliseconds later;
/// once the next request is written, HTTP/1.1 has no way to tell that from the answer to this one.
const REST: Duration = Duration::from_millis(20);
/// The longest that a request waits for a private connection to come up before it shares.
const PRIVATE_DIAL: Duration = Duration::from_millis(50);
const SWEEP: Duration = Duration::from_secs(1);
/// The least time from one report on the connections to the next.
const REPORT: Duration = Duration::from_secs(5);

/// Where a backend is, and which of its lives it is in: a new start, a new address, a drain, a ban or leaving the list
/// ends one, and no connection of it is used in the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Place {
    pub address: SocketAddr,
    generation: u64,
}

/// A connection.
pub(crate) struct Pooled {
    pub link: Link,
    pub address: SocketAddr,
    pub since: Instant,
    /// The life of its backend that it was opened in. No two have the same number, at whatever address.
    life: u64,
    /// How long it may stand idle.
    keep: Duration,
    /// Exchanges that it has carried.
    pub used: u32,
    /// What is remembered of it where sessions are watched.
    seen: Option<Box<Seen>>,
    _descriptor: OwnedSemaphorePermit,
    _open: Held,
}

impl Pooled {
    fn is_overdue(&self) -> bool {
        self.since.elapsed() >= self.keep
    }

    fn is_private(&self) -> bool {
        self.seen.as_ref().is_some_and(|seen| seen.is_private())
    }

    fn is_owned_by(&self, customer: CustomerId) -> bool {
        self.seen
            .as_ref()
            .is_some_and(|seen| seen.is_owned_by(customer))
    }

    fn rested_at(&self) -> Instant {
        if self.used == 0 {
            return self.since;
        }
        self.since + REST
    }

    /// Takes in what the backend says of how long it keeps the connection.
    pub(crate) fn heed(&mut self, headers: &HeaderMap) {
        if let Some(told) = alderhollow_dataplane::headers::keep_alive(headers) {
            self.keep = self.keep.min(told.mul_f64(IDLE_PART));
        }
    }
}

struct Backend {
    place: Place,
    /// When it started, as the list tells.
    start: f64,
    ready: bool,
    /// The one used last stands at the end.
    idle: Vec<Pooled>,
}

/// What the connections went through since the last report.
#[derive(Default)]
pub(crate) struct Tally {
    pub exchanges: u32,
    opened: u32,
    unopened: u32,
    /// Broken exchanges on a new connection, and on one that had carried others before.
    pub broken_new: u32,
    pub broken_used: u32,
    /// Answers that were refused as malformed.
    pub malformed: u32,
    pub last_broken: String,
}

impl Tally {
    fn has_failures(&self) -> bool {
        self.unopened + self.broken_new + self.broken_used + self.malformed > 0
    }
}

pub(crate) struct Pool {
    known: RefCell<BTreeMap<ServerId, Backend>>,
    /// Those that staff have taken out, known or not.
    out: RefCell<BTreeSet<ServerId>>,
    /// Whether connections are closed after use: another process needs the descriptors.
    keep_none: Cell<bool>,
    /// Where requests are counted whose last byte was written.
    written: Rc<Cell<u64>>,
    descriptors: Arc<Semaphore>,
    /// Connections, on their way ones too.
    open: Gauge,
    connect_timeout: Duration,
    keep_idle: Duration,
    rng: RefCell<Rand32>,
    generations: Cell<u64>,
    pub tally: RefCell<Tally>,
    /// Ends the sweep's rest.
    stir: Notify,
    resting: Cell<bool>,
    /// What is remembered of sessions: nothing, unless someone watches them.
    watched: OnceCell<Box<Watched>>,
}

impl Pool {
    pub(crate) fn new(
        descriptors: Arc<Semaphore>,
        written: Rc<Cell<u64>>,
        connect_timeout: Duration,
        idle_timeout: Duration,
        seed: u64,
    ) -> Pool {
        Pool {
            known: RefCell::default(),
            out: RefCell::default(),
            keep_none: Cell::new(false),
            written,
            descriptors,
            open: Gauge::default(),
            connect_timeout,
            keep_idle: idle_timeout.mul_f64(IDLE_PART),
            rng: RefCell::new(Rand32::new(seed)),
            generations: Cell::new(0),
            tally: RefCell::default(),
            stir: Notify::new(),
            resting: Cell::new(false),
            watched: OnceCell::new(),
        }
    }

    /// Tells `sessions` of each attempt from here on, and holds customers as it says. To be called once, at the start:
    /// the descriptors that are there then are those of the door.
    pub(crate) fn watch(&self, sessions: Rc<dyn Sessions>) {
        let watched = || Box::new(Watched::new(sessions, self.descriptors.available_permits()));
        self.watched.get_or_init(watched);
    }

    pub(crate) fn is_watched(&self) -> bool {
        self.watched.get().is_some()
    }

    /// Private connections, and requests that had to share for want of one.
    #[allow(
        dead_code,
        reason = "for staff, where the fleet's sessions are switched on"
    )]
    pub(crate) fn private(&self) -> (usize, u64) {
        self.watched
            .get()
            .map_or((0, 0), |watched| watched.private())
    }

    /// Notes where a backend is, when it started and whether it takes new requests.
    pub(crate) fn put(&self, id: ServerId, address: SocketAddr, start: f64, ready: bool) {
        let mut known = self.known.borrow_mut();
        let same = known
            .get(&id)
            .is_some_and(|backend| backend.place.address == address && backend.start == start);
        if same && ready {
            if let Some(backend) = known.get_mut(&id) {
                backend.ready = true;
            }
            return;
        }
        let place = Place {
            address,
            generation: self.next_generation(),
        };
        known.insert(
            id,
            Backend {
                place,
                start,
                ready,
                idle: Vec::new(),
            },
        );
    }

    fn next_generation(&self) -> u64 {
        self.generations.replace(self.generations.get() + 1)
    }

    /// Forgets the backends that `keep` does not name.
    pub(crate) fn retain(&self, keep: impl Fn(ServerId) -> bool) {
        self.known.borrow_mut().retain(|id, _| keep(*id));
    }

    /// Takes a backend out or back in, whatever the list says of it.
    pub(crate) fn take_out(&self, id: ServerId, out: bool) {
        if !out {
            self.out.borrow_mut().remove(&id);
            return;
        }
        self.out.borrow_mut().insert(id);
        if let Some(backend) = self.known.borrow_mut().get_mut(&id) {
            backend.idle.clear();
            backend.place.generation = self.next_generation();
        }
    }

    /// Closes idle connections, now and from here on, or no longer does.
    pub(crate) fn keep_no_more(&self, none: bool) {
        self.keep_none.set(none);
        while none && self.shed_idle() {}
    }

    pub(crate) fn any_ready(&self) -> bool {
        let out = self.out.borrow();
        self.known
            .borrow()
            .iter()
            .any(|(id, backend)| backend.ready && !out.contains(id))
    }

    pub(crate) fn lists(&self, id: ServerId) -> bool {
        self.known.borrow().contains_key(&id)
    }

    /// How many backends the list holds.
    pub(crate) fn count(&self) -> usize {
        self.known.borrow().len()
    }

    /// The connections that are idle, and those that carry an exchange or are on their way.
    pub(crate) fn connections(&self) -> (usize, usize) {
        let idle = self
            .known
            .borrow()
            .values()
            .map(|backend| backend.idle.len())
            .sum();
        (idle, self.open.get().saturating_sub(idle))
    }

    /// Closes the idle connection that has been so for the longest time, a private one only if there is no other; false
    /// if there is none.
    pub(crate) fn shed_idle(&self) -> bool {
        let mut known = self.known.borrow_mut();
        let mut oldest: Option<((bool, Instant), ServerId, usize)> = None;
        for (id, backend) in known.iter() {
            let shared = backend.idle.iter().position(|pooled| !pooled.is_private());
            let at = shared.unwrap_or(0);
            let Some(pooled) = backend.idle.get(at) else {
                continue;
            };
            let order = (pooled.is_private(), pooled.since);
            if oldest.is_none_or(|(first, ..)| order < first) {
                oldest = Some((order, *id, at));
            }
        }
        let Some((_, id, at)) = oldest else {
            return false;
        };
        if let Some(backend) = known.get_mut(&id) {
            backend.idle.remove(at);
        }
        true
    }

    /// Closes connections that have been idle for long or that the other side has closed, and reports on failures.
    /// It rests while nothing of that is due: a connection that is closed ends its rest, or one more that is idle.
    pub(crate) async fn sweep(&self) {
        let mut reported = Instant::now();
        loop {
            let mut report_at = self
                .tally
                .borrow()
                .has_failures()
                .then_some(reported + REPORT);
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
            backend
                .idle
                .retain_mut(|pooled| !pooled.is_overdue() && pooled.link.poll_usable(context));
        }
        Poll::Pending
    }

    /// When idle connections are to be closed next: what is due within a second of each other goes together.
    fn first_overdue(&self) -> Option<Instant> {
        let known = self.known.borrow();
        let idle = known.values().flat_map(|backend| &backend.idle);
        idle.map(|pooled| pooled.since + pooled.keep + SWEEP).min()
    }

    /// Ends the sweep's rest.
    pub(crate) fn stir(&self) {
        if self.resting.replace(false) {
            self.stir.notify_one();
        }
    }

    /// Tells staff of failures on the connections.
    fn report(&self) {
        let Tally {
            exchanges,
            opened,
            unopened,
            broken_new,
            broken_used,
            malformed,
            last_broken,
        } = self.tally.take();
        warn!(
            event = "broken_connections",
            exchanges,
            opened,
            unopened,
            broken_new,
            broken_used,
            malformed,
            last_broken,
            "connections to backends: {exchanges} exchanges, {opened} opened, {unopened} not opened, broken \
             {broken_new} new and {broken_used} used before, {malformed} malformed answers, the last {last_broken}"
        );
    }

    /// Counts an answer that had begun to reach its client and is malformed.
    pub(crate) fn record_broken_body(&self, address: SocketAddr, broken: &BrokenResponse) {
        if let BrokenResponse::Malformed(malformed) = broken {
            let tally = &mut *self.tally.borrow_mut();
            tally.malformed += 1;
            tally.last_broken = format!("to {address}: {malformed}");
            self.stir();
        }
    }

    /// Where a backend is that takes new requests.
    pub(crate) fn ready_at(&self, id: ServerId) -> Option<Place> {
        if self.out.borrow().contains(&id) {
            return None;
        }
        self.known
            .borrow()
            .get(&id)
            .filter(|backend| backend.ready)
            .map(|backend| backend.place)
    }

    /// An idle connection that still stands: the warmest that has rested, or else the one that will have done so first,
    /// after that. `None` if there is none, or none will have rested by `until`.
    pub(crate) async fn idle(&self, id: ServerId, until: Instant) -> Option<Pooled> {
        self.idle_that(id, until, |_| true).await
    }

    /// The same of those that fit.
    async fn idle_that(
        &self,
        id: ServerId,
        until: Instant,
        fits: impl Fn(&Pooled) -> bool,
    ) -> Option<Pooled> {
        loop {
            let mut claim = Claim {
                pool: self,
                id,
                pooled: Some(self.take(id, until, &fits)?),
            };
            let rested_at = claim.pooled.as_ref()?.rested_at();
            if rested_at > Instant::now() {
                // Few attempts wait: the others need no room for it.
                Box::pin(sleep_until(rested_at)).await;
            }
            // What came in meanwhile ends it here: nobody else looked at it.
            let mut pooled = claim.pooled.take()?;
            if !pooled.is_overdue() && pooled.link.is_silent().await {
                return Some(pooled);
            }
        }
    }

    /// Takes out the idle connection that `idle` is to look at.
    fn take(&self, id: ServerId, until: Instant, fits: impl Fn(&Pooled) -> bool) -> Option<Pooled> {
        let now = Instant::now();
        let mut known = self.known.borrow_mut();
        let idle = &mut known.get_mut(&id)?.idle;
        let first = || {
            idle.iter()
                .position(|pooled| pooled.rested_at() < until && fits(pooled))
        };
        let rested = |pooled: &Pooled| pooled.rested_at() <= now && fits(pooled);
        let at = idle.iter().rposition(rested).or_else(first)?;
        Some(idle.remove(at))
    }

    /// A connection for a customer whose sessions are watched; without a watcher, any.
    ///
    /// A run gets its own one again, if need be after the rest. Nobody else is given that until the run is over by
    /// `RUN_GAP`: they open one. Only where that cannot be done do they get it, as a request that fails for want of a
    /// connection fails for certain. Nobody else is ever given a private one.
    pub(crate) async fn have(
        &self,
        id: ServerId,
        place: Place,
        customer: CustomerId,
        until: Instant,
    ) -> Option<Pooled> {
        let Some(watched) = self.watched.get() else {
            return match self.idle(id, until).await {
                None => self.connect(place).await,
                pooled => pooled,
            };
        };
        let hold = watched.hold(customer);
        let mut pooled = self
            .have_held(watched, id, place, customer, hold, until)
            .await?;
        pooled
            .seen
            .get_or_insert_with(|| watched.meet())
            .hold_next(hold);
        Some(pooled)
    }

    async fn have_held(
        &self,
        watched: &Watched,
        id: ServerId,
        place: Place,
        customer: CustomerId,
        hold: Hold,
        until: Instant,
    ) -> Option<Pooled> {
        if hold != Hold::Private {
            self.release(id, customer);
        } else if let Some(pooled) = self.have_private(watched, id, place, customer, until).await {
            return Some(pooled);
        }
        if hold != Hold::Any {
            // A run that is over may go on anywhere.
            let over = |pooled: &Pooled| hold == Hold::Run && pooled.since.elapsed() > RUN_GAP;
            let fits =
                |pooled: &Pooled| self.is_last(watched, id, customer, pooled) && !over(pooled);
            if let Some(pooled) = self.idle_that(id, until, fits).await {
                return Some(pooled);
            }
        }
        let free = |pooled: &Pooled, spare_runs| {
            let free = |seen: &Seen| seen.is_free(customer, pooled.since, spare_runs);
            pooled.seen.as_ref().is_none_or(|seen| free(seen))
        };
        if let Some(pooled) = self.idle_that(id, until, |pooled| free(pooled, true)).await {
            return Some(pooled);
        }
        if let Some(pooled) = self.connect(place).await {
            return Some(pooled);
        }
        self.idle_that(id, until, |pooled| free(pooled, false))
            .await
    }

    /// The customer's private connection: the one it has, or else the last one that it used, or a new one. `None` if that is
    /// busy, if there is no room for one, or none comes up.
    async fn have_private(
        &self,
        watched: &Watched,
        id: ServerId,
        place: Place,
        customer: CustomerId,
        until: Instant,
    ) -> Option<Pooled> {
        if watched.has_private(id, customer) {
            let own = |pooled: &Pooled| pooled.is_owned_by(customer);
            if let Some(pooled) = self.idle_that(id, until, own).await {
                return Some(pooled);
            }
        }
        let private = watched.grant(id, customer, self.count())?;
        let last = |pooled: &Pooled| self.is_last(watched, id, customer, pooled);
        let mut pooled = match self.idle_that(id, until, last).await {
            Some(pooled) => pooled,
            // Nobody's idle connection is closed for it, and no request is held up by it for long.
            None if self.descriptors.available_permits() > 0 => {
                match timeout(PRIVATE_DIAL, self.connect(place)).await {
                    Ok(Some(pooled)) => pooled,
                    _ => return watched.share(),
                }
            }
            None => return watched.share(),
        };
        pooled.keep = pooled.keep.min(watched.unused());
        pooled
            .seen
            .get_or_insert_with(|| watched.meet())
            .give(private);
        Some(pooled)
    }

    fn is_last(
        &self,
        watched: &Watched,
        id: ServerId,
        customer: CustomerId,
        pooled: &Pooled,
    ) -> bool {
        !pooled.is_private()
            && pooled
                .seen
                .as_ref()
                .is_some_and(|seen| watched.is_last(id, customer, seen))
    }

    /// Closes the private connection of a customer that is held for it no more.
    fn release(&self, id: ServerId, customer: CustomerId) {
        if let Some(backend) = self.known.borrow_mut().get_mut(&id) {
            backend.idle.retain(|pooled| !pooled.is_owned_by(customer));
        }
    }

    /// A customer's request goes out on a connection.
    pub(crate) fn begin(
        &self,
        id: ServerId,
        customer: CustomerId,
        pooled: &mut Pooled,
    ) -> Option<ConnectionUse> {
        let watched = self.watched.get()?;
        let seen = pooled.seen.get_or_insert_with(|| watched.meet());
        Some(watched.begin(id, customer, seen))
    }

    /// The request that went out on it last never ran.
    pub(crate) fn take_back(&self, id: ServerId, pooled: &mut Pooled) {
        if let (Some(watched), Some(seen)) = (self.watched.get(), &mut pooled.seen) {
            watched.take_back(id, seen);
        }
    }

    /// An attempt is over that had gone out.
    pub(crate) fn end(
        &self,
        id: ServerId,
        customer: CustomerId,
        conn: ConnectionUse,
        ran: bool,
        outcome: Option<Outcome>,
    ) {
        if let Some(watched) = self.watched.get() {
            watched.end(id, customer, conn, ran, outcome);
        }
    }

    pub(crate) async fn connect(&self, place: Place) -> Option<Pooled> {
        let descriptor = loop {
            match self.descriptors.clone().try_acquire_owned() {
                Ok(descriptor) => break descriptor,
                Err(_) if self.shed_idle() => {}
                Err(_) => return None,
            }
        };
        let open = self.open.hold();
        // Guards against a machine that is cut off: its connections never come up.
        let link = timeout(
            self.connect_timeout,
            Link::open(place.address, self.written.clone()),
        )
        .await
        .ok()
        .and_then(Result::ok);
        let tally = &mut *self.tally.borrow_mut();
        *if link.is_some() {
            &mut tally.opened
        } else {
            &mut tally.unopened
        } += 1;
        if link.is_none() {
            self.stir();
        }
        let keep = self
            .keep_idle
            .mul_f32(1.0 - JITTER * self.rng.borrow_mut().rand_float());
        Some(Pooled {
            link: link?,
            address: place.address,
            since: Instant::now(),
            life: place.generation,
            keep,
            used: 0,
            seen: None,
            _descriptor: descriptor,
            _open: open,
        })
    }

    /// Puts a connection by for the next exchange, unless its backend's life is over or it is not to be kept.
    pub(crate) fn park(&self, id: ServerId, mut pooled: Pooled) {
        pooled.since = Instant::now();
        self.put_back(id, pooled);
    }

    /// The same for one that has carried nothing since it was taken out: it has been idle all the time.
    pub(crate) fn put_back(&self, id: ServerId, pooled: Pooled) {
        let life = self.ready_at(id).map(|place| place.generation);
        if self.keep_none.get() || life != Some(pooled.life) || pooled.keep.is_zero() {
            return;
        }
        if let Some(backend) = self.known.borrow_mut().get_mut(&id) {
            let at = backend
                .idle
                .partition_point(|other| other.since <= pooled.since);
            backend.idle.insert(at, pooled);
            self.stir();
        }
    }
}

/// A connection that an attempt waits for. It goes back if the attempt is called off.
struct Claim<'a> {
    pool: &'a Pool,
    id: ServerId,
    pooled: Option<Pooled>,
}

impl Drop for Claim<'_> {
    fn drop(&mut self) {
        if let Some(pooled) = self.pooled.take() {
            self.pool.put_back(self.id, pooled);
        }
    }
}

#[cfg(test)]
mod tests;
