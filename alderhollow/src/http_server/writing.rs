//! How long an answer may take to be written: a client that reads no more must not hold a backend for ever.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// What one connection is writing, and until when it may.
#[derive(Default)]
pub struct Writing {
    until: Cell<Option<Instant>>,
    begun: Notify,
}

impl Writing {
    /// An answer begins that is to be over by then, or before what this returns is dropped.
    pub fn begin(self: &Rc<Self>, until: Instant) -> Written {
        self.until.set(Some(until));
        self.begun.notify_one();
        Written(self.clone())
    }

    /// Waits until an answer takes too long.
    pub async fn overdue(&self) {
        loop {
            match self.until.get() {
                Some(until) if until <= Instant::now() => return,
                Some(until) => sleep_until(until).await,
                None => self.begun.notified().await,
            }
        }
    }
}

/// An answer that is being written.
pub struct Written(Rc<Writing>);

impl Drop for Written {
    fn drop(&mut self) {
        self.0.until.set(None);
    }
}
