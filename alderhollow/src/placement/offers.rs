//! Which zones' placers are asked for one request, and which of their offers is kept. No I/O.

use super::message::Placement;
use crate::balance::{Millis, CROSS_ZONE_ENGINE_COST_MS};

/// Besides the own zone, so many are asked where the own one has nothing good.
const OTHER_ZONES_ASKED: usize = 2;

/// A backend that a placer offered.
#[derive(Debug, Clone, PartialEq)]
pub struct Offer {
    /// The placer's zone.
    pub zone: String,
    /// Number of the attempt for which the placer booked the backend.
    pub number: u64,
    /// The backend, by id.
    pub backend: String,
    /// What is ahead of the request there, and the price of another zone.
    wait_ms: Millis,
}

/// Why there is no offer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NoOffer {
    /// No zone that answered has room.
    Full {
        /// Milliseconds until it may be different.
        retry_after_ms: f64,
    },
    /// No placer answered, or none has a backend at all: the sender chooses for itself.
    NoAnswer,
}

/// The offers for one request so far.
#[derive(Debug)]
pub struct Offers<'a> {
    own_zone: &'a str,
    best: Option<Offer>,
    retry_after_ms: Option<Millis>,
}

impl<'a> Offers<'a> {
    /// None yet, for a sender of this zone.
    pub fn new(own_zone: &'a str) -> Offers<'a> {
        Offers {
            own_zone,
            best: None,
            retry_after_ms: None,
        }
    }

    /// Takes in a placer's answer. Returns an offer that is not used: its placer is to be told.
    pub fn take(&mut self, zone: &str, number: u64, placement: Placement) -> Option<Offer> {
        match placement {
            Placement::At { backend, wait_ms } => {
                let other_zone_ms = if zone == self.own_zone {
                    0.0
                } else {
                    CROSS_ZONE_ENGINE_COST_MS
                };
                let offer = Offer {
                    zone: zone.to_string(),
                    number,
                    backend,
                    wait_ms: wait_ms + other_zone_ms,
                };
                let is_better = self
                    .best
                    .as_ref()
                    .is_none_or(|best| offer.wait_ms < best.wait_ms);
                if is_better {
                    self.best.replace(offer)
                } else {
                    Some(offer)
                }
            }
            Placement::Full { retry_after_ms } => {
                let soonest = self
                    .retry_after_ms
                    .map_or(retry_after_ms, |known| known.min(retry_after_ms));
                self.retry_after_ms = Some(soonest);
                None
            }
            Placement::NoneReady => None,
        }
    }

    /// Whether another zone would not be worth its price.
    pub fn is_enough(&self) -> bool {
        self.best
            .as_ref()
            .is_some_and(|best| best.wait_ms <= CROSS_ZONE_ENGINE_COST_MS)
    }

    /// The best one.
    ///
    /// # Errors
    /// There is none.
    pub fn best(self) -> Result<Offer, NoOffer> {
        let none = self
            .retry_after_ms
            .map_or(NoOffer::NoAnswer, |retry_after_ms| NoOffer::Full {
                retry_after_ms,
            });
        self.best.ok_or(none)
    }
}

/// Zones in the order in which their placers are asked: the own one, then some others by `draw`.
pub fn zones_to_ask(mut zones: Vec<String>, own: &str, draw: u64) -> Vec<String> {
    let own = zones
        .iter()
        .position(|zone| zone == own)
        .map(|at| zones.swap_remove(at));
    let first = draw.checked_rem(zones.len() as u64).unwrap_or(0);
    zones.rotate_left(first as usize);
    own.into_iter()
        .chain(zones.into_iter().take(OTHER_ZONES_ASKED))
        .collect()
}
