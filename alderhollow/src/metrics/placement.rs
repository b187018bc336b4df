//! Metrics of placement.

use super::family::{Counter, Description, Registrar};
use crate::placement::message::Placement;

const ASKED: Description = Description {
    name: "alderhollow_placement_answers_total",
    help: "Questions to placers that were answered",
};
const UNANSWERED: Description = Description {
    name: "alderhollow_placement_unanswered_total",
    help: "Questions to placers without an answer in time: the sender chose for itself",
};
const PLACED: Description = Description {
    name: "alderhollow_placements_total",
    help: "Attempts that this placer gave a backend",
};
const FULL: Description = Description {
    name: "alderhollow_placements_full_total",
    help: "Questions to this placer for which no backend of its zone had room",
};

/// Metrics of placement, at senders and at placers.
pub struct PlacementMetrics {
    answers: Counter,
    unanswered: Counter,
    placed: Counter,
    full: Counter,
}

impl PlacementMetrics {
    pub(super) fn new(registrar: &Registrar) -> PlacementMetrics {
        PlacementMetrics {
            answers: registrar.counter(&ASKED),
            unanswered: registrar.counter(&UNANSWERED),
            placed: registrar.counter(&PLACED),
            full: registrar.counter(&FULL),
        }
    }

    /// A placer was asked; `None`: no answer came.
    pub fn asked(&self, placement: Option<&Placement>) {
        match placement {
            Some(_) => self.answers.add(1),
            None => self.unanswered.add(1),
        }
    }

    /// This process answered as a placer.
    pub fn placed(&self, placement: &Placement) {
        match placement {
            Placement::At { .. } => self.placed.add(1),
            Placement::Full { .. } | Placement::NoneReady => self.full.add(1),
        }
    }
}
