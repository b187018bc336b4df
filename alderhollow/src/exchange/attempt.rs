//! One attempt at a backend, from its choice to its end.

use super::Exchange;
use crate::balance::{Choice, Outcome};
use alderhollow_model::backend::Backend;
use std::rc::Rc;
use std::sync::Arc;

/// A backend that was chosen. Dropped, it counts as cancelled.
pub struct Attempt {
    exchange: Rc<Exchange>,
    choice: Choice,
    ended: bool,
}

impl Attempt {
    pub(super) fn new(exchange: Rc<Exchange>, choice: Choice) -> Attempt {
        Attempt { exchange, choice, ended: false }
    }

    /// The backend.
    pub fn backend(&self) -> &Arc<Backend> {
        &self.choice.backend
    }

    /// Notes that the first event or the answer's head came.
    pub fn began(&self) {
        let now = self.exchange.now();
        self.exchange.balancer.borrow_mut().began(now, self.choice.attempt);
    }

    /// Notes how it ended.
    pub fn end(mut self, outcome: Outcome) {
        self.tell(outcome);
    }

    pub(super) fn exchange(&self) -> Rc<Exchange> {
        self.exchange.clone()
    }

    fn tell(&mut self, outcome: Outcome) {
        self.ended = true;
        let now = self.exchange.now();
        self.exchange.balancer.borrow_mut().ended(now, self.choice.attempt, outcome);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.ended {
            self.tell(Outcome::Cancelled);
        }
    }
}
