//! Selects the zones whose placers are asked for a request, and the best of their offers. No I/O.

use super::message::Placement;
use crate::balance::{Millis, CROSS_ZONE_ENGINE_COST_MS};

/// Maximum number of other zones to ask if the own zone has no good offer.
const MAX_OTHER_ZONES: usize = 2;

/// A backend that a placer offered.
#[derive(Debug, Clone, PartialEq)]
pub struct Offer {
    /// The placer's zone.
    pub zone: String,
    /// The attempt number for which the placer recorded the backend.
    pub number: u64,
    /// The backend's id.
    pub backend: String,
    /// Estimated queueing delay at the backend, plus the cost of cross-zone traffic.
    wait_ms: Millis,
}

/// Why there is no offer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NoOffer {
    /// No zone that answered has capacity.
    Full {
        /// Milliseconds until capacity may be available.
        retry_after_ms: f64,
    },
    /// No placer answered, or none has a backend of the service. The sender selects a backend by itself.
    NoAnswer,
}

/// The offers received so far for one request.
#[derive(Debug)]
pub struct Offers<'a> {
    own_zone: &'a str,
    best: Option<Offer>,
    retry_after_ms: Option<Millis>,
}

impl<'a> Offers<'a> {
    /// Creates an empty set of offers for a sender of this zone.
    pub fn new(own_zone: &'a str) -> Offers<'a> {
        Offers {
            own_zone,
            best: None,
            retry_after_ms: None,
        }
    }

    /// Adds a placer's response. Returns an offer that is not used, which must be released at its placer.
    pub fn add(&mut self, zone: &str, number: u64, placement: Placement) -> Option<Offer> {
        match placement {
            Placement::At { backend, wait_ms } => {
                let cross_zone_ms = if zone == self.own_zone {
                    0.0
                } else {
                    CROSS_ZONE_ENGINE_COST_MS
                };
                let offer = Offer {
                    zone: zone.to_string(),
                    number,
                    backend,
                    wait_ms: wait_ms + cross_zone_ms,
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

    /// Whether the best offer is good enough that another zone could not compensate for the cross-zone cost.
    pub fn is_sufficient(&self) -> bool {
        self.best
            .as_ref()
            .is_some_and(|best| best.wait_ms <= CROSS_ZONE_ENGINE_COST_MS)
    }

    /// Returns the best offer.
    ///
    /// # Errors
    /// Returns the reason if there is no offer.
    pub fn best(self) -> Result<Offer, NoOffer> {
        let error = self
            .retry_after_ms
            .map_or(NoOffer::NoAnswer, |retry_after_ms| NoOffer::Full {
                retry_after_ms,
            });
        self.best.ok_or(error)
    }
}

/// The zones whose placers are asked, in order: the own zone first, then a random selection of others.
pub fn zones_to_ask(mut zones: Vec<String>, own: &str, random: u64) -> Vec<String> {
    let own = zones
        .iter()
        .position(|zone| zone == own)
        .map(|at| zones.swap_remove(at));
    let first = random.checked_rem(zones.len() as u64).unwrap_or(0);
    zones.rotate_left(first as usize);
    own.into_iter()
        .chain(zones.into_iter().take(MAX_OTHER_ZONES))
        .collect()
}
