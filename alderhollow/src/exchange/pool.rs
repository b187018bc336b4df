//! The connections to the backends. They are kept by the backend's id: a new start has another one, and never gets a
//! connection of the last.

use crate::balance::Outcome;
use alderhollow_dataplane::headers::keep_alive;
use alderhollow_dataplane::link::Link;
use alderhollow_model::backend::Backend;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::{Context, Waker};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// The longest that a connection may take to come up. A machine that is cut off says nothing.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// What a peer has not confirmed for so long ends the connection.
const UNCONFIRMED: Duration = Duration::from_secs(2);
/// How long a connection may stand idle where its backend does not say how long it keeps it.
const KEEP_IDLE: Duration = Duration::from_secs(20);
/// Part of the time that a backend says: it may close the connection somewhat earlier.
const KEEP_PART: f64 = 0.8;
/// How long a connection rests after an answer: a backend in trouble may write its answer again some milliseconds
/// later, and the next request would find that in the place of its own.
const REST: Duration = Duration::from_millis(20);
/// The longest that the body of an answer that declines is waited for, to use its connection again.
const DRAIN: Duration = Duration::from_millis(20);
/// How often idle connections are looked at.
const SWEEP: Duration = Duration::from_secs(1);

/// A connection to one backend, which carries one exchange at a time.
pub struct Pooled {
    /// The connection.
    pub link: Link,
    backend: String,
    /// When it was last put by.
    since: Instant,
    keep: Duration,
    carried: u32,
    _open: Open,
}

impl Pooled {
    /// Whether it has carried no exchange.
    pub fn is_new(&self) -> bool {
        self.carried == 0
    }

    /// The backend that it leads to.
    pub fn backend_id(&self) -> &str {
        &self.backend
    }

    /// Takes in what the backend says of how long it keeps the connection.
    pub fn heed(&mut self, headers: &HeaderMap) {
        if let Some(told) = keep_alive(headers) {
            self.keep = self.keep.min(told.mul_f64(KEEP_PART));
        }
    }

    fn is_overdue(&self) -> bool {
        self.since.elapsed() >= self.keep
    }
}

/// Counts a connection while it stands.
struct Open(Rc<Cell<u32>>);

impl Open {
    fn new(count: &Rc<Cell<u32>>) -> Open {
        count.set(count.get() + 1);
        Open(count.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

#[derive(Default)]
struct Connections {
    /// The one used last stands at the end.
    idle: Vec<Pooled>,
    open: Rc<Cell<u32>>,
}

/// All connections to backends.
#[derive(Default)]
pub struct Pool {
    backends: RefCell<BTreeMap<String, Connections>>,
    written: Rc<Cell<u64>>,
    /// Told when a connection is put by.
    parked: Notify,
}

impl Pool {
    /// An idle connection that has rested: the one used last.
    pub fn take(&self, backend: &str) -> Option<Pooled> {
        let mut backends = self.backends.borrow_mut();
        let idle = &mut backends.get_mut(backend)?.idle;
        idle.retain(|pooled| !pooled.is_overdue());
        let at = idle
            .iter()
            .rposition(|pooled| pooled.since.elapsed() >= REST)?;
        Some(idle.remove(at))
    }

    /// Opens a connection, unless `most` stand.
    ///
    /// # Errors
    /// There is no room for one, or none came up.
    pub async fn connect(
        &self,
        backend: &Backend,
        most: u32,
        deadline: Instant,
    ) -> Result<Pooled, Outcome> {
        let open = {
            let mut backends = self.backends.borrow_mut();
            let connections = backends.entry(backend.id.clone()).or_default();
            if connections.open.get() >= most {
                return Err(Outcome::Declined);
            }
            Open::new(&connections.open)
        };
        let until = (Instant::now() + CONNECT_TIMEOUT).min(deadline);
        let opening =
            Link::open_bounded(backend.address.0, self.written.clone(), Some(UNCONFIRMED));
        match timeout_at(until, opening).await {
            Ok(Ok(link)) => Ok(Pooled {
                link,
                backend: backend.id.clone(),
                since: Instant::now(),
                keep: KEEP_IDLE,
                carried: 0,
                _open: open,
            }),
            Ok(Err(_)) | Err(_) => Err(Outcome::NoConnection),
        }
    }

    /// Puts a connection by whose last answer was read to its end.
    pub async fn park(&self, mut pooled: Pooled) {
        pooled.since = Instant::now();
        pooled.carried = pooled.carried.saturating_add(1);
        if pooled.keep.is_zero() || !pooled.link.is_usable().await {
            return;
        }
        if let Some(connections) = self.backends.borrow_mut().get_mut(&pooled.backend) {
            connections.idle.push(pooled);
            self.parked.notify_one();
        }
    }

    /// Reads the short body of an answer that declines, and puts the connection by.
    pub async fn drain(&self, mut pooled: Pooled, mut body: Incoming) {
        let to_the_end = async {
            while let Some(piece) = pooled.link.piece(&mut body).await {
                if piece.is_err() {
                    return false;
                }
            }
            true
        };
        if timeout(DRAIN, to_the_end).await.unwrap_or(false) {
            self.park(pooled).await;
        }
    }

    /// Forgets the backends that `keep` does not name, and closes their idle connections.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.backends.borrow_mut().retain(|id, _| keep(id));
    }

    /// Closes connections that have been idle for long or that the other side has closed. Rests while there is none.
    pub async fn sweep(&self) {
        loop {
            self.parked.notified().await;
            while self.close_overdue() {
                sleep(SWEEP).await;
            }
        }
    }

    /// Whether idle connections are left.
    fn close_overdue(&self) -> bool {
        let mut context = Context::from_waker(Waker::noop());
        let mut left = false;
        for connections in self.backends.borrow_mut().values_mut() {
            connections
                .idle
                .retain_mut(|pooled| !pooled.is_overdue() && pooled.link.poll_usable(&mut context));
            left |= !connections.idle.is_empty();
        }
        left
    }
}
