//! The connections to the backends: where each backend is, which connections stand idle, and how one is had.

use crate::cost::{Gauge, Held};
use crate::door::log;
use crate::link::Link;
use springusher::ServerId;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Part of the backends' idle time after which a connection is closed: they may close theirs earlier than
/// they say, and a request that crosses that is lost.
const IDLE_PART: f64 = 0.5;
const SWEEP: Duration = Duration::from_secs(1);
/// The least time from one report on the connections to the next.
const REPORT: Duration = Duration::from_secs(5);

/// A connection.
pub struct Pooled {
    pub link: Link,
    pub since: Instant,
    /// Exchanges that it has carried.
    pub used: u32,
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
pub struct Tally {
    pub exchanges: u32,
    opened: u32,
    unopened: u32,
    /// Broken exchanges on a new connection, and on one that had carried others before.
    pub broken_new: u32,
    pub broken_used: u32,
    pub last_broken: String,
}

impl Tally {
    fn has_failures(&self) -> bool {
        self.unopened + self.broken_new + self.broken_used > 0
    }
}

pub struct Pool {
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
    pub tally: RefCell<Tally>,
    /// Ends the sweep's rest.
    stir: Notify,
    resting: Cell<bool>,
}

impl Pool {
    pub fn new(
        descriptors: Arc<Semaphore>,
        written: Rc<Cell<u64>>,
        connect_timeout: Duration,
        idle_timeout: Duration,
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
    pub fn stir(&self) {
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

    pub fn ready_at(&self, id: ServerId) -> Option<SocketAddr> {
        if self.out.borrow().contains(&id) {
            return None;
        }
        self.known.borrow().get(&id).filter(|backend| backend.ready).map(|backend| backend.address)
    }

    /// The warmest idle connection that still stands.
    pub async fn idle(&self, id: ServerId) -> Option<Pooled> {
        loop {
            let mut pooled = self.known.borrow_mut().get_mut(&id)?.idle.pop()?;
            if pooled.since.elapsed() < self.keep_idle && pooled.link.is_usable().await {
                return Some(pooled);
            }
        }
    }

    pub async fn connect(&self, address: SocketAddr) -> Option<Pooled> {
        let descriptor = loop {
            match self.descriptors.clone().try_acquire_owned() {
                Ok(descriptor) => break descriptor,
                Err(_) if self.shed_idle() => {}
                Err(_) => return None,
            }
        };
        let open = self.open.hold();
        // Guards against a machine that is cut off: its connections never come up.
        let link = timeout(self.connect_timeout, Link::open(address, self.written.clone()))
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

    pub fn park(&self, id: ServerId, address: SocketAddr, pooled: Pooled) {
        if self.keep_none.get() || self.ready_at(id) != Some(address) {
            return;
        }
        if let Some(backend) = self.known.borrow_mut().get_mut(&id) {
            backend.idle.push(pooled);
            self.stir();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::future::Future;
    use std::net::{Ipv4Addr, TcpListener};
    use std::pin::pin;

    #[tokio::test(start_paused = true)]
    async fn the_sweep_is_woken_only_for_what_is_due() {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let descriptors = Arc::new(Semaphore::new(100));
        let pool =
            Pool::new(descriptors.clone(), Rc::default(), Duration::from_secs(1), Duration::from_secs(1000));
        pool.put(7, address, true);
        let mut looks = 0;
        let mut sweep = pin!(pool.sweep());
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
            let pooled = pool.connect(address).await.expect("it comes up");
            pool.park(7, address, pooled);
        }
        assert_eq!(pool.connections(), (20, 0));
        let looks = sweep_for(400 * second).await;
        assert!(looks <= 6, "woken {looks} times while nothing happens");
        // What the other side closes gives its descriptor back at once.
        drop(listener);
        sweep_for(second).await;
        assert_eq!((pool.connections(), descriptors.available_permits()), ((0, 0), 100));
    }

    #[tokio::test(start_paused = true)]
    async fn the_sweep_closes_what_has_been_idle_for_long() {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let idle = Duration::from_secs(10);
        let pool = Pool::new(Arc::new(Semaphore::new(1)), Rc::default(), idle, idle);
        pool.put(7, address, true);
        let pooled = pool.connect(address).await.expect("it comes up");
        pool.park(7, address, pooled);
        let half = idle.mul_f64(IDLE_PART);
        let _ = timeout(half - SWEEP, pool.sweep()).await;
        assert_eq!(pool.connections(), (1, 0));
        let _ = timeout(SWEEP * 3, pool.sweep()).await;
        assert_eq!(pool.connections(), (0, 0));
    }
}
