//! The seam between the connections and what is known of sessions: the pool asks how a customer is to be held, and tells
//! on which connection each attempt went and what became of it. There is nothing of it without the key.
//!
//! Beside it is what the pool remembers for that: who used each connection last, where each customer was last, and which
//! connections are private.

use gateway_cluster::sessions::evidence::{ConnectionUse, Outcome};
use gateway_cluster::sessions::verdicts::{grant, Grant, Limits, Usage};
use lru::LruCache;
use quota_gateway::{CustomerId, ServerId};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::num::NonZeroUsize;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The longest pause within a run, from the end of a request to the next one.
pub(crate) const RUN_GAP: Duration = Duration::from_millis(100);
/// Customers' last connections that are remembered: the one longest unused goes first.
pub(crate) const MOST: usize = 10_000;

/// How a customer's requests are to share connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Hold {
    /// Any connection.
    Any,
    /// The customer's last one, within a run.
    Run,
    /// One of its own.
    Private,
}

/// What became of one attempt on a connection, for whoever watches sessions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Attempt {
    pub customer: CustomerId,
    pub server: ServerId,
    pub conn: ConnectionUse,
    pub outcome: Outcome,
}

/// What the pool asks and tells. It asks once for each attempt.
pub(crate) trait Sessions {
    fn hold(&self, customer: CustomerId) -> Hold;
    fn note(&self, attempt: Attempt);
}

/// How far an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sent {
    No,
    Unwatched,
    On(ConnectionUse),
}

/// Private connections, open or on their way. Ordered by backend, to count one's.
type Owned = Rc<RefCell<BTreeSet<(ServerId, CustomerId)>>>;

/// A customer's right to one private connection at one backend. It lasts as long as the connection.
pub(crate) struct Private {
    key: (ServerId, CustomerId),
    all: Owned,
}

impl Drop for Private {
    fn drop(&mut self) {
        self.all.borrow_mut().remove(&self.key);
    }
}

/// A connection's last use.
#[derive(Debug, Clone, Copy)]
struct Use {
    by: CustomerId,
    hold: Hold,
}

/// What is remembered of one connection.
pub(crate) struct Seen {
    number: u64,
    /// How the customer is held whose request goes out on it next.
    hold: Hold,
    last: Option<Use>,
    /// The one before it, which stands again if the last one never ran.
    before: Option<Use>,
    owner: Option<Private>,
}

impl Seen {
    #[cfg(test)]
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    pub(crate) fn is_private(&self) -> bool {
        self.owner.is_some()
    }

    pub(crate) fn is_owned_by(&self, customer: CustomerId) -> bool {
        self.owner
            .as_ref()
            .is_some_and(|owner| owner.key.1 == customer)
    }

    /// Whether a customer may have it that has no claim of its own to it. `since` is the end of its last use.
    pub(crate) fn is_free(&self, customer: CustomerId, since: Instant, spare_runs: bool) -> bool {
        let in_run =
            |last: Use| last.hold == Hold::Run && last.by != customer && since.elapsed() < RUN_GAP;
        self.owner.is_none() && !(spare_runs && self.last.is_some_and(in_run))
    }

    pub(crate) fn hold_next(&mut self, hold: Hold) {
        self.hold = hold;
    }

    pub(crate) fn give(&mut self, owner: Private) {
        self.owner = Some(owner);
    }
}

/// Where a customer was last at one backend.
#[derive(Debug, Clone, Copy)]
struct Last {
    conn: u64,
    at: Instant,
    /// Its attempts there that are not over.
    open: u32,
    before: Option<(u64, Instant)>,
}

/// All that is remembered while someone watches.
pub(crate) struct Watched {
    sessions: Rc<dyn Sessions>,
    lasts: RefCell<LruCache<(ServerId, CustomerId), Last>>,
    numbers: Cell<u64>,
    limits: Limits,
    /// All that the door has.
    descriptors: usize,
    owned: Owned,
    /// Requests that shared because there was no room for one more private connection.
    shared: Cell<u64>,
}

impl Watched {
    pub(crate) fn new(sessions: Rc<dyn Sessions>, descriptors: usize) -> Watched {
        Watched {
            sessions,
            lasts: RefCell::new(LruCache::new(
                NonZeroUsize::new(MOST).unwrap_or(NonZeroUsize::MIN),
            )),
            numbers: Cell::new(0),
            limits: Limits::default(),
            descriptors,
            owned: Owned::default(),
            shared: Cell::new(0),
        }
    }

    pub(crate) fn hold(&self, customer: CustomerId) -> Hold {
        self.sessions.hold(customer)
    }

    /// The longest that a private connection may stand idle.
    pub(crate) fn unused(&self) -> Duration {
        Duration::from_micros(self.limits.unused)
    }

    /// A connection that is new to it.
    pub(crate) fn meet(&self) -> Box<Seen> {
        self.numbers.set(self.numbers.get() + 1);
        Box::new(Seen {
            number: self.numbers.get(),
            hold: Hold::Any,
            last: None,
            before: None,
            owner: None,
        })
    }

    /// Whether it is the customer's last connection there, and nobody's since.
    pub(crate) fn is_last(&self, id: ServerId, customer: CustomerId, seen: &Seen) -> bool {
        let last = self
            .lasts
            .borrow()
            .peek(&(id, customer))
            .map(|last| last.conn);
        last == Some(seen.number) && seen.last.is_some_and(|last| last.by == customer)
    }

    /// A right to one more private connection, if there is room for it.
    pub(crate) fn grant(
        &self,
        id: ServerId,
        customer: CustomerId,
        backends: usize,
    ) -> Option<Private> {
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let key = (id, customer);
        let all = self.owned.borrow().len();
        let there = self
            .owned
            .borrow()
            .range((id, CustomerId::MIN)..=(id, CustomerId::MAX))
            .count();
        let own = self.owned.borrow().contains(&key);
        let usage = Usage {
            descriptors: [count(self.descriptors), count(all)],
            // What a backend bears is not told: an even part of the descriptors stands for it.
            backend: [count(self.descriptors / backends.max(1)), count(there)],
            own: own.into(),
        };
        if grant(&self.limits, &usage) != Grant::Private {
            return self.share();
        }
        self.owned.borrow_mut().insert(key);
        Some(Private {
            key,
            all: self.owned.clone(),
        })
    }

    /// Counts a request that shares though it is to have a connection of its own.
    pub(crate) fn share<T>(&self) -> Option<T> {
        self.shared.set(self.shared.get() + 1);
        None
    }

    pub(crate) fn has_private(&self, id: ServerId, customer: CustomerId) -> bool {
        self.owned.borrow().contains(&(id, customer))
    }

    /// Private connections, and requests that had to share for want of one.
    pub(crate) fn private(&self) -> (usize, u64) {
        (self.owned.borrow().len(), self.shared.get())
    }

    /// A request goes out. What it changes is told by how it stood before.
    pub(crate) fn begin(
        &self,
        id: ServerId,
        customer: CustomerId,
        seen: &mut Seen,
    ) -> ConnectionUse {
        let same = self.is_last(id, customer, seen);
        let now = Instant::now();
        let lasts = &mut *self.lasts.borrow_mut();
        let known = lasts.get(&(id, customer)).copied();
        let since = known.map(|last| match last.open {
            0 => micros(now - last.at),
            // One that is not over is followed at once.
            _ => 0,
        });
        let open = known.map_or(0, |last| last.open).saturating_add(1);
        let before = known.map(|last| (last.conn, last.at));
        lasts.put(
            (id, customer),
            Last {
                conn: seen.number,
                at: now,
                open,
                before,
            },
        );
        seen.before = seen.last.replace(Use {
            by: customer,
            hold: seen.hold,
        });
        ConnectionUse::of(same, since, micros(RUN_GAP))
    }

    /// The request that went out last on this connection never ran: neither side's last use has changed.
    pub(crate) fn take_back(&self, id: ServerId, seen: &mut Seen) {
        let Some(undone) = seen.last else { return };
        seen.last = seen.before.take();
        let lasts = &mut *self.lasts.borrow_mut();
        let Some(last) = lasts.peek_mut(&(id, undone.by)) else {
            return;
        };
        if last.conn != seen.number {
            return;
        }
        match last.before.take() {
            Some((conn, at)) => (last.conn, last.at) = (conn, at),
            None if last.open <= 1 => drop(lasts.pop(&(id, undone.by))),
            None => {}
        }
    }

    /// An attempt is over that had gone out. Without an outcome it says nothing.
    pub(crate) fn end(
        &self,
        server: ServerId,
        customer: CustomerId,
        conn: ConnectionUse,
        ran: bool,
        outcome: Option<Outcome>,
    ) {
        if let Some(last) = self.lasts.borrow_mut().get_mut(&(server, customer)) {
            last.open = last.open.saturating_sub(1);
            if ran {
                last.at = Instant::now();
            }
        }
        if let Some(outcome) = outcome {
            self.sessions.note(Attempt {
                customer,
                server,
                conn,
                outcome,
            });
        }
    }

    #[cfg(test)]
    pub(crate) fn remembered(&self) -> usize {
        self.lasts.borrow().len()
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
