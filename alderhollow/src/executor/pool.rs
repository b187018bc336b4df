//! Idle connections to backends, by the backend's id: a new start of a backend gets new connections.

use dataplane::link::Link;
use hyper::header::{HeaderMap, CONNECTION};
use springusher_dataplane as dataplane;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A connection that has rested for so long is not used again where the backend says nothing of it.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// A backend closes at the time it named: a connection is given up so much earlier.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Longest time for a connection to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Most idle connections to one backend.
const MOST_IDLE: usize = 24;

struct Idle {
    link: Link,
    until: Instant,
}

/// The idle connections of one process's items.
#[derive(Default)]
pub struct LinkPool {
    idle: RefCell<BTreeMap<String, Vec<Idle>>>,
}

impl LinkPool {
    /// An idle connection that still stands, the one used last first.
    pub async fn take(&self, id: &str) -> Option<Link> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(id).and_then(Vec::pop)?;
            let mut link = idle.link;
            if Instant::now() < idle.until && link.is_silent().await {
                return Some(link);
            }
        }
    }

    /// Opens a new connection.
    pub async fn open(&self, address: SocketAddr) -> io::Result<Link> {
        let opening = Link::open(address, Rc::new(Cell::new(0)));
        tokio::time::timeout(CONNECT_TIMEOUT, opening).await.map_err(|_| io::ErrorKind::TimedOut)?
    }

    /// Keeps a connection whose answer was read to its end, for as long as that answer's head allows.
    pub fn give(&self, id: &str, link: Link, head: &HeaderMap) {
        let Some(rest) = allowed_rest(head) else { return };
        let mut idle = self.idle.borrow_mut();
        let links = idle.entry(id.to_string()).or_default();
        if links.len() < MOST_IDLE {
            links.push(Idle { link, until: Instant::now() + rest });
        }
    }

    /// Closes the connections that have rested too long, and those to backends that aren't kept.
    pub fn sweep(&self, keep: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|id, links| {
            links.retain(|idle| now < idle.until);
            !links.is_empty() && keep(id)
        });
    }
}

/// How long a connection may rest after an answer; `None` if it may not be used again.
fn allowed_rest(head: &HeaderMap) -> Option<Duration> {
    let text = |name| head.get(name).and_then(|value| value.to_str().ok());
    if text(CONNECTION.as_str()).is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
        return None;
    }
    let Some(keep_alive) = text("keep-alive") else { return Some(DEFAULT_IDLE) };
    let timeout = keep_alive.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    match timeout.and_then(|seconds| seconds.trim().parse().ok()) {
        Some(seconds) => {
            Duration::from_secs(seconds).checked_sub(IDLE_MARGIN).map(|rest| rest.min(DEFAULT_IDLE))
        }
        None => Some(DEFAULT_IDLE),
    }
}
