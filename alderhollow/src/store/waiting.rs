//! Calls that wait for the outcome of an operation, or for a result of a batch job.

use alderhollow_batch::api::{Outcome, Token};
use alderhollow_batch::job::JobId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// The waiting calls of one group.
#[derive(Default)]
pub struct Waiting {
    outcomes: RefCell<HashMap<Token, Vec<oneshot::Sender<Outcome>>>>,
    readers: RefCell<HashMap<JobId, Rc<Notify>>>,
}

impl Waiting {
    /// Returns a receiver for the outcome of an operation. It fails if the outcome never becomes known.
    pub fn wait_for_outcome(&self, token: Token) -> oneshot::Receiver<Outcome> {
        let (sender, receiver) = oneshot::channel();
        self.outcomes
            .borrow_mut()
            .entry(token)
            .or_default()
            .push(sender);
        receiver
    }

    /// Sends the outcome of an operation to its waiting calls.
    pub fn resolve(&self, token: Token, outcome: Outcome) {
        for sender in self
            .outcomes
            .borrow_mut()
            .remove(&token)
            .unwrap_or_default()
        {
            // The send fails if the caller has disconnected.
            let _ = sender.send(outcome);
        }
    }

    /// Returns the notifier for new results of a job.
    pub fn results_notify(&self, job: &JobId) -> Rc<Notify> {
        self.readers
            .borrow_mut()
            .entry(job.clone())
            .or_default()
            .clone()
    }

    /// Wakes the readers of a job that has new results.
    pub fn notify_readable(&self, job: &JobId) {
        if let Some(notify) = self.readers.borrow_mut().remove(job) {
            notify.notify_waiters();
        }
    }

    /// Wakes all readers, after the group's epoch has changed.
    pub fn wake_readers(&self) {
        for (_, notify) in self.readers.borrow_mut().drain() {
            notify.notify_waiters();
        }
    }

    /// Removes notifiers that no call waits for.
    pub fn remove_unused(&self) {
        self.readers
            .borrow_mut()
            .retain(|_, notify| Rc::strong_count(notify) > 1);
    }
}
