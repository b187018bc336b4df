//! Limits how long writing a response may take, so that a client that stops reading cannot occupy a backend forever.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// The write deadline of a connection's current response, if it has one.
#[derive(Default)]
pub struct WriteDeadline {
    deadline: Cell<Option<Instant>>,
    started: Notify,
}

impl WriteDeadline {
    /// Starts a response that must be written by `deadline`. Dropping the returned guard clears the deadline.
    pub fn start(self: &Rc<Self>, deadline: Instant) -> WriteGuard {
        self.deadline.set(Some(deadline));
        self.started.notify_one();
        WriteGuard(self.clone())
    }

    /// Waits until a response misses its write deadline.
    pub async fn expired(&self) {
        loop {
            match self.deadline.get() {
                Some(deadline) if deadline <= Instant::now() => return,
                Some(deadline) => sleep_until(deadline).await,
                None => self.started.notified().await,
            }
        }
    }
}

/// Clears the write deadline when the response body is dropped.
pub struct WriteGuard(Rc<WriteDeadline>);

impl Drop for WriteGuard {
    fn drop(&mut self) {
        self.0.deadline.set(None);
    }
}
