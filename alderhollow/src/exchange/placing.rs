//! Backend selection with the help of placers.

use super::attempt::{Attempt, PlacerReport};
use super::Exchange;
use crate::balance::{Explanation, NoBackend, SelectionRequest, WeightsAvailability};
use crate::placement::client::PlacementClient;
use crate::placement::message::Demand;
use crate::placement::offers::{zones_to_ask, NoOffer, Offer, Offers};
use std::rc::Rc;

/// Requests placements from the placers.
pub(super) struct Placement {
    pub(super) client: Rc<PlacementClient>,
    pub(super) zone: String,
}

impl Exchange {
    /// Chooses a backend. Model engines are chosen by the placers of their zones if those respond.
    ///
    /// # Errors
    /// No backend can take the request now.
    pub async fn place(
        self: &Rc<Self>,
        wanted: &SelectionRequest<'_>,
    ) -> Result<Attempt, NoBackend> {
        let Some(placement) = &self.placement else {
            return self.choose(wanted);
        };
        if let Some(expected) = wanted.expected_weights {
            let availability = self.weights_availability(wanted.service, expected);
            if matches!(availability, WeightsAvailability::Missing { .. }) {
                return self.choose(wanted);
            }
        }
        let Some(demand) = self.demand(wanted) else {
            return self.choose(wanted);
        };
        let offer = match placement.ask(&demand).await {
            Ok(offer) => offer,
            Err(NoOffer::Full { retry_after_ms }) => {
                return Err(NoBackend::AllFull { retry_after_ms })
            }
            Err(NoOffer::NoAnswer) => return self.choose(wanted),
        };
        self.tables();
        let choice = self
            .balancer
            .borrow_mut()
            .choose_at(self.now(), wanted, &offer.backend);
        let Some(choice) = choice else {
            placement.client.release_unused(offer.number, &offer.zone);
            return self.choose(wanted);
        };
        placement
            .client
            .started(offer.number, &offer.zone, &offer.backend, demand, true);
        let placer_report = PlacerReport {
            client: placement.client.clone(),
            number: offer.number,
        };
        Ok(Attempt::new(self.clone(), choice, Some(placer_report)))
    }

    /// Explains which backend this process would choose now without a placer, and why.
    pub fn explain(&self, demand: &Demand) -> Option<Explanation> {
        self.tables();
        self.balancer
            .borrow_mut()
            .explain(self.now(), &demand.selection_request(&demand.prompt()))
    }

    /// The demand to send to a placer; `None` for requests that are not for a model engine.
    pub(super) fn demand(&self, wanted: &SelectionRequest) -> Option<Demand> {
        let balancer = self.balancer.borrow();
        if !balancer.is_engine(wanted.service) {
            return None;
        }
        let now = self.now();
        let mut except = balancer.unhealthy(now, wanted.service);
        except.extend(balancer.connection_limited(now, wanted.service));
        except.extend(balancer.excluded_by_weights(now, wanted));
        except.extend(wanted.tried.iter().cloned());
        Demand::of(wanted, except)
    }
}

impl Placement {
    /// Asks the placer of the own zone, and those of other zones if the request would wait or disturb others there.
    /// Returns the best offer.
    async fn ask(&self, demand: &Demand) -> Result<Offer, NoOffer> {
        let mut offers = Offers::new(&self.zone);
        for zone in zones_to_ask(
            self.client.zones(),
            &self.zone,
            self.client.next_attempt_number(),
        ) {
            let number = self.client.next_attempt_number();
            let Some(placement) = self.client.ask(&zone, number, demand).await else {
                break;
            };
            if let Some(unused) = offers.add(&zone, number, placement) {
                self.client.release_unused(unused.number, &unused.zone);
            }
            if offers.is_sufficient() {
                break;
            }
        }
        offers.best()
    }
}
