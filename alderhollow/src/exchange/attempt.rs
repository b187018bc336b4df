//! One attempt at a backend, from its choice to its end.

use super::Exchange;
use crate::balance::{Choice, Outcome};
use crate::placement::client::PlacementClient;
use alderhollow_model::backend::Backend;
use std::rc::Rc;
use std::sync::Arc;

/// An attempt of which a placer is told.
pub(super) struct Told {
    pub(super) client: Rc<PlacementClient>,
    pub(super) number: u64,
}

/// A backend that was chosen. Dropped, it counts as cancelled.
pub struct Attempt {
    exchange: Rc<Exchange>,
    choice: Choice,
    told: Option<Told>,
    ended: bool,
}

impl Attempt {
    pub(super) fn new(exchange: Rc<Exchange>, choice: Choice, told: Option<Told>) -> Attempt {
        Attempt {
            exchange,
            choice,
            told,
            ended: false,
        }
    }

    /// The backend.
    pub fn backend(&self) -> &Arc<Backend> {
        &self.choice.backend
    }

    /// Notes that the first event or the answer's head came.
    pub fn began(&self) {
        let now = self.exchange.now();
        self.exchange
            .balancer
            .borrow_mut()
            .response_started(now, self.choice.attempt);
        if let Some(told) = &self.told {
            told.client.response_started(told.number);
        }
    }

    /// Notes how it ended.
    pub fn end(mut self, outcome: Outcome) {
        self.tell(outcome);
    }

    pub(super) fn number(&self) -> u64 {
        self.choice.attempt
    }

    pub(super) fn exchange(&self) -> Rc<Exchange> {
        self.exchange.clone()
    }

    fn tell(&mut self, outcome: Outcome) {
        self.ended = true;
        let now = self.exchange.now();
        self.exchange
            .balancer
            .borrow_mut()
            .ended(now, self.choice.attempt, outcome);
        if let Some(told) = &self.told {
            told.client.ended(told.number, outcome.into());
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.ended {
            self.tell(Outcome::Cancelled);
        }
    }
}
