//! Calls that wait: for the end of an operation, or for a result of a batch job.

use alderhollow_batch::api::{Outcome, Token};
use alderhollow_batch::job::JobId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// All waiting calls of a store.
#[derive(Default)]
pub struct Waiting {
    ends: RefCell<HashMap<Token, Vec<oneshot::Sender<Outcome>>>>,
    readers: RefCell<HashMap<JobId, Rc<Notify>>>,
}

impl Waiting {
    /// Waits for the end of an operation. The receiver fails if the end is never told.
    pub fn wait_for_outcome(&self, token: Token) -> oneshot::Receiver<Outcome> {
        let (sender, receiver) = oneshot::channel();
        self.ends
            .borrow_mut()
            .entry(token)
            .or_default()
            .push(sender);
        receiver
    }

    /// An operation has ended.
    pub fn resolve(&self, token: Token, outcome: Outcome) {
        for sender in self.ends.borrow_mut().remove(&token).unwrap_or_default() {
            // A caller that has gone wants no answer.
            let _ = sender.send(outcome);
        }
    }

    /// What is told when something of the job became readable.
    pub fn results_notify(&self, job: &JobId) -> Rc<Notify> {
        self.readers
            .borrow_mut()
            .entry(job.clone())
            .or_default()
            .clone()
    }

    /// Something of the job became readable.
    pub fn notify_readable(&self, job: &JobId) {
        if let Some(notify) = self.readers.borrow_mut().remove(job) {
            notify.notify_waiters();
        }
    }

    /// Wakes all readers: this store's part has changed.
    pub fn wake_readers(&self) {
        for (_, notify) in self.readers.borrow_mut().drain() {
            notify.notify_waiters();
        }
    }

    /// Drops what nobody waits for any more.
    pub fn remove_unused(&self) {
        self.readers
            .borrow_mut()
            .retain(|_, notify| Rc::strong_count(notify) > 1);
    }
}
