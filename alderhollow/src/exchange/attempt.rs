//! One attempt at a backend, from its choice to its end.

use super::Exchange;
use crate::balance::{Choice, Outcome};
use crate::placement::client::PlacementClient;
use alderhollow_model::backend::Backend;
use std::rc::Rc;
use std::sync::Arc;

/// Reports an attempt's progress to a placer.
pub(super) struct PlacerReport {
    pub(super) client: Rc<PlacementClient>,
    pub(super) number: u64,
}

/// A request's attempt at a chosen backend. Dropping it counts as cancellation.
pub struct Attempt {
    exchange: Rc<Exchange>,
    choice: Choice,
    placer_report: Option<PlacerReport>,
    ended: bool,
}

impl Attempt {
    pub(super) fn new(
        exchange: Rc<Exchange>,
        choice: Choice,
        placer_report: Option<PlacerReport>,
    ) -> Attempt {
        Attempt {
            exchange,
            choice,
            placer_report,
            ended: false,
        }
    }

    /// The chosen backend.
    pub fn backend(&self) -> &Arc<Backend> {
        &self.choice.backend
    }

    /// Records that the first event or the head of the response has arrived.
    pub fn began(&self) {
        let now = self.exchange.now();
        self.exchange
            .balancer
            .borrow_mut()
            .response_started(now, self.choice.attempt);
        self.exchange.report_instance_changes();
        if let Some(placer_report) = &self.placer_report {
            placer_report.client.response_started(placer_report.number);
        }
    }

    /// Records the outcome.
    pub fn end(mut self, outcome: Outcome) {
        self.report_end(outcome);
    }

    pub(super) fn number(&self) -> u64 {
        self.choice.attempt
    }

    pub(super) fn exchange(&self) -> Rc<Exchange> {
        self.exchange.clone()
    }

    fn report_end(&mut self, outcome: Outcome) {
        self.ended = true;
        let now = self.exchange.now();
        let outcome = self
            .exchange
            .balancer
            .borrow_mut()
            .ended(now, self.choice.attempt, outcome);
        self.exchange.report_instance_changes();
        if let Some(placer_report) = &self.placer_report {
            placer_report
                .client
                .ended(placer_report.number, outcome.into());
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.ended {
            self.report_end(Outcome::Cancelled);
        }
    }
}
