//! Pool of connections to backends, keyed by the backend's id. A restarted backend has a new id, so it never gets a
//! connection of its predecessor.

use super::carried_requests::CarriedRequests;
use crate::balance::Outcome;
use crate::metrics;
use crate::metrics::backends::MalformedRule;
use alderhollow_dataplane::flow::Upload;
use alderhollow_dataplane::headers::keep_alive;
use alderhollow_dataplane::link::{BrokenResponse, ExchangeError, Link};
use alderhollow_model::backend::Backend;
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response};
use rustix::io::Errno;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::task::{Context, Waker};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout_at, Instant};

/// Limit on connecting: an unreachable machine neither accepts nor refuses.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// TCP user timeout: the connection closes once sent data stays unacknowledged for this long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle timeout of connections whose backend sends no `Keep-Alive` timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Fraction of the backend's `Keep-Alive` timeout that is used: the backend may close somewhat earlier.
const KEEP_ALIVE_FACTOR: f64 = 0.8;
/// Delay before a connection is reused: a faulty backend may write its response again some milliseconds later, and
/// the next request would read that in place of its own response.
const REUSE_DELAY: Duration = Duration::from_millis(20);
/// Interval between checks of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A connection to one backend; carries one exchange at a time.
pub struct Pooled {
    /// The connection.
    pub link: Link,
    backend: String,
    /// When it last became idle.
    idle_since: Instant,
    idle_timeout: Duration,
    /// Whether the response to an earlier request was read from it.
    is_used: bool,
    carried: CarriedRequests,
    is_instance_confirmed: bool,
    _open_guard: OpenGuard,
}

impl Pooled {
    /// Whether it has not carried an exchange yet.
    pub fn is_new(&self) -> bool {
        !self.is_used
    }

    /// Records a request that is about to be written.
    pub fn record_request(&mut self, request_id: &HeaderValue) {
        self.carried.record(request_id);
    }

    /// Records that the last request has its final response and is not sent again.
    pub fn forget_last_request(&mut self) {
        self.carried.forget_last();
    }

    /// Records that the backend has run a request that named its instance.
    pub fn confirm_instance(&mut self) {
        self.is_instance_confirmed = true;
    }

    /// Whether the instance at the other end has run a request that named it.
    pub fn is_instance_confirmed(&self) -> bool {
        self.is_instance_confirmed
    }

    /// Id of the connected backend.
    pub fn backend_id(&self) -> &str {
        &self.backend
    }

    /// Sends one request and waits until its response begins.
    ///
    /// # Errors
    /// No response began, or its head is truncated or malformed.
    pub async fn send(
        &mut self,
        request: Request<Upload>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let response = self.link.send(request).await;
        response.inspect_err(|error| {
            if let ExchangeError::Broken(broken) = error {
                self.report_broken(broken);
            }
        })
    }

    /// Reads the next chunk of a response's body; `None` at its end.
    ///
    /// # Errors
    /// The body is truncated or malformed.
    pub async fn next_chunk(
        &mut self,
        body: &mut Incoming,
    ) -> Option<Result<Bytes, BrokenResponse>> {
        let chunk = self.link.next_chunk(body).await?;
        Some(chunk.inspect_err(|broken| self.report_broken(broken)))
    }

    /// Counts and logs a malformed response.
    fn report_broken(&self, broken: &BrokenResponse) {
        if let BrokenResponse::Malformed(malformed) = broken {
            metrics::get()
                .backends
                .malformed_response(MalformedRule::from(*malformed));
            log::warn!(
                "refused a malformed response of backend {}: {malformed}",
                self.backend
            );
        }
    }

    /// Reads a response's body to its end. A body without a length ends with its connection, unless that is reset.
    ///
    /// # Errors
    /// The body is truncated or malformed.
    pub async fn skip_body(&mut self, mut body: Incoming) -> Result<(), BrokenResponse> {
        while let Some(chunk) = self.next_chunk(&mut body).await {
            chunk?;
        }
        Ok(())
    }

    /// Lowers the idle timeout to what the response's `Keep-Alive` header allows.
    pub fn apply_keep_alive(&mut self, headers: &HeaderMap) {
        if let Some(timeout) = keep_alive(headers) {
            self.idle_timeout = self.idle_timeout.min(timeout.mul_f64(KEEP_ALIVE_FACTOR));
        }
    }

    fn is_expired(&self) -> bool {
        self.idle_since.elapsed() >= self.idle_timeout
    }
}

/// Counts a connection while it is open.
struct OpenGuard(Rc<Cell<u32>>);

impl OpenGuard {
    fn new(count: &Rc<Cell<u32>>) -> OpenGuard {
        count.set(count.get() + 1);
        OpenGuard(count.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

#[derive(Default)]
struct Connections {
    /// Ordered by last use, the most recent at the end.
    idle: Vec<Pooled>,
    open: Rc<Cell<u32>>,
}

/// All connections to backends.
#[derive(Default)]
pub struct Pool {
    backends: RefCell<BTreeMap<String, Connections>>,
    bytes_written: Rc<Cell<u64>>,
    /// Notified when a connection becomes idle.
    became_idle: Notify,
}

impl Pool {
    /// Takes the most recently used idle connection that is past `REUSE_DELAY` and has not carried an earlier attempt of
    /// the request with this id.
    pub fn take_idle(&self, backend: &str, request_id: &HeaderValue) -> Option<Pooled> {
        let mut backends = self.backends.borrow_mut();
        let idle = &mut backends.get_mut(backend)?.idle;
        idle.retain(|pooled| !pooled.is_expired());
        let is_rested = |pooled: &Pooled| pooled.idle_since.elapsed() >= REUSE_DELAY;
        let newest = idle.iter().rposition(is_rested)?;
        let may_carry = |pooled: &Pooled| is_rested(pooled) && !pooled.carried.contains(request_id);
        let chosen = idle.iter().rposition(may_carry);
        if chosen != Some(newest) {
            metrics::get().backends.connection_passed_over();
        }
        Some(idle.remove(chosen?))
    }

    /// Opens a connection, unless `max_connections` are open.
    ///
    /// # Errors
    /// The limit is reached, or the connection could not be opened.
    pub async fn connect(
        &self,
        backend: &Backend,
        max_connections: u32,
        deadline: Instant,
    ) -> Result<Pooled, Outcome> {
        let open = {
            let mut backends = self.backends.borrow_mut();
            let connections = backends.entry(backend.id.clone()).or_default();
            if connections.open.get() >= max_connections {
                return Err(Outcome::ConnectionLimit);
            }
            OpenGuard::new(&connections.open)
        };
        let connect_deadline = (Instant::now() + CONNECT_TIMEOUT).min(deadline);
        let opening = Link::open_bounded(
            backend.address.0,
            self.bytes_written.clone(),
            Some(UNACKNOWLEDGED_TIMEOUT),
        );
        match timeout_at(connect_deadline, opening).await {
            Ok(Ok(link)) => Ok(Pooled {
                link,
                backend: backend.id.clone(),
                idle_since: Instant::now(),
                idle_timeout: DEFAULT_IDLE_TIMEOUT,
                is_used: false,
                carried: CarriedRequests::default(),
                is_instance_confirmed: false,
                _open_guard: open,
            }),
            Ok(Err(error)) if is_refused_by_system(&error) => {
                metrics::get().backends.connection_refused_by_system();
                log::debug!("the system refuses a connection to {}: {error}", backend.id);
                Err(Outcome::ConnectionLimit)
            }
            Err(_) if connect_deadline == deadline => Err(Outcome::DeadlineExceeded),
            Ok(Err(_)) | Err(_) => Err(Outcome::NoConnection),
        }
    }

    /// Puts a connection whose last response was read to the end back into the pool.
    pub async fn put_idle(&self, mut pooled: Pooled) {
        pooled.idle_since = Instant::now();
        pooled.is_used = true;
        let may_be_reused = !pooled.idle_timeout.is_zero() && !pooled.carried.is_full();
        if !may_be_reused || !pooled.link.is_usable().await {
            return;
        }
        if let Some(connections) = self.backends.borrow_mut().get_mut(&pooled.backend) {
            connections.idle.push(pooled);
            self.became_idle.notify_one();
        }
    }

    /// Removes the backends that `keep` rejects and closes their idle connections.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.backends.borrow_mut().retain(|id, _| keep(id));
    }

    /// Periodically closes idle connections that have expired or that the peer has closed. Waits while there are none.
    pub async fn sweep(&self) {
        loop {
            self.became_idle.notified().await;
            while self.close_expired() {
                sleep(SWEEP_INTERVAL).await;
            }
        }
    }

    /// Closes expired connections; returns whether idle ones remain.
    fn close_expired(&self) -> bool {
        let mut context = Context::from_waker(Waker::noop());
        let mut any_idle = false;
        for connections in self.backends.borrow_mut().values_mut() {
            connections
                .idle
                .retain_mut(|pooled| !pooled.is_expired() && pooled.link.poll_usable(&mut context));
            any_idle |= !connections.idle.is_empty();
        }
        any_idle
    }
}

/// Whether the system refuses this process another connection: no descriptor, port or memory is left for it.
fn is_refused_by_system(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(
            Errno::MFILE
                | Errno::NFILE
                | Errno::ADDRNOTAVAIL
                | Errno::AGAIN
                | Errno::NOBUFS
                | Errno::NOMEM
        )
    )
}

#[cfg(test)]
mod tests;
