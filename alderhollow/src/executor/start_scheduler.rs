//! Decides at which service the next item of a route starts, and whether it may start now. No I/O and no clock.
//!
//! Each service has its own limits of starts and of running items. Invariant: items of a route that cannot start, because
//! its services have no backend or are at a limit, use no part of the limits of another service.

use super::pacing::{slots_of_batch_services, LedShare, Pacer};
use crate::balance::Millis;
use alderhollow_model::config::{Config, Route, RouteType};
use alderhollow_model::snapshot::Snapshot;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// What the scheduler needs to know about services.
pub trait Services {
    /// Whether a service has a backend that accepts requests, at capacity or not.
    fn has_backend(&self, service: &str) -> bool;

    /// Picks one of the route's services that `is_available` admits, by weight.
    fn pick(&self, route: &Route, is_available: &dyn Fn(&str) -> bool) -> Option<String>;
}

/// The admission of one item: the service that is to run it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admission {
    /// The item's route.
    pub route: String,
    /// The service.
    pub service: String,
}

/// Counts an item as running at a service until it is dropped.
#[derive(Debug)]
pub struct RunPermit {
    service: String,
    running: Rc<Cell<usize>>,
}

impl RunPermit {
    fn new(service: String, running: &Rc<Cell<usize>>) -> RunPermit {
        running.set(running.get() + 1);
        RunPermit {
            service,
            running: running.clone(),
        }
    }

    /// The service that runs the item.
    pub fn service(&self) -> &str {
        &self.service
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        self.running.set(self.running.get().saturating_sub(1));
    }
}

/// Limits and load of one service.
#[derive(Debug)]
struct ServiceLimits {
    pacer: Pacer,
    /// Number of running items.
    running: Rc<Cell<usize>>,
    /// Number of items that may still start in this round.
    startable: usize,
    has_backend: bool,
}

impl ServiceLimits {
    fn new(slots: u64) -> ServiceLimits {
        ServiceLimits {
            pacer: Pacer::new(slots),
            running: Rc::default(),
            startable: 0,
            has_backend: true,
        }
    }

    /// Whether the service could take an item, apart from the limit of starts.
    fn is_available(&self) -> bool {
        self.has_backend && self.pacer.may_run_more(self.running.get())
    }
}

/// Schedules the starts of items in rounds.
#[derive(Debug, Default)]
pub struct StartScheduler {
    /// Batch routes by name.
    routes: BTreeMap<String, Rc<Route>>,
    services: BTreeMap<String, ServiceLimits>,
    /// For routes that wait for their service's limit of starts: the service picked for the next item.
    picked_services: BTreeMap<String, String>,
}

impl StartScheduler {
    /// Applies a new snapshot. `config` is its configuration, if it is validated.
    pub fn update(&mut self, snapshot: &Snapshot, config: Option<&Config>) {
        let is_batch = |route: &&Route| route.route_type == RouteType::Batch;
        let routes = config.map_or(&[][..], |config| &config.routes);
        self.routes = routes
            .iter()
            .filter(is_batch)
            .map(|route| (route.name.clone(), Rc::new(route.clone())))
            .collect();
        let slots = slots_of_batch_services(snapshot);
        self.services
            .retain(|name, limits| slots.contains_key(name) || limits.running.get() > 0);
        for (name, slots) in slots {
            let limits = self.services.entry(name);
            let limits = limits.or_insert_with(|| ServiceLimits::new(slots));
            limits.pacer.set_slots(slots);
        }
        self.picked_services.clear();
    }

    /// Begins a round of starts: `waiting` is the number of waiting items of each route with ready items, `share` the
    /// share of the groups that this process leads. Returns the number of items whose route has no backend.
    pub fn begin_round(
        &mut self,
        now: Millis,
        share: LedShare,
        waiting: &BTreeMap<String, usize>,
        services: &dyn Services,
    ) -> usize {
        let waiting_by_service = self.waiting_by_service(waiting);
        for (name, limits) in &mut self.services {
            limits.startable = 0;
            let Some(items) = waiting_by_service.get(name).copied() else {
                continue;
            };
            let has_backend = services.has_backend(name);
            if limits.has_backend != has_backend {
                limits.has_backend = has_backend;
                log_availability(name, has_backend, items);
            }
            limits.pacer.set_share(share);
            if has_backend {
                let running = limits.running.get();
                limits.startable = limits.pacer.startable_items(now, items, running);
            }
        }
        let without_backend = waiting.iter().filter(|(route, _)| !self.has_backend(route));
        without_backend.map(|(_, items)| items).sum()
    }

    /// Admits the route's next item if it may start in this round. An admission without a start has no effect.
    pub fn admit(&mut self, route: &str, services: &dyn Services) -> Option<Admission> {
        let service = self.pick_service(route, services)?;
        let limits = self.services.get(&service)?;
        (limits.startable > 0).then(|| Admission {
            route: route.to_string(),
            service,
        })
    }

    /// Records the start of an admitted item.
    pub fn start(&mut self, admission: Admission) -> RunPermit {
        let Admission { route, service } = admission;
        self.picked_services.remove(&route);
        let limits = self
            .services
            .entry(service.clone())
            .or_insert_with(|| ServiceLimits::new(0));
        limits.startable = limits.startable.saturating_sub(1);
        limits.pacer.record_starts(1);
        RunPermit::new(service, &limits.running)
    }

    /// Gives up the pick of an admission whose item does not start, so that the next item may go to another service.
    pub fn forgo(&mut self, admission: &Admission) {
        self.picked_services.remove(&admission.route);
    }

    /// Whether any of the route's services has a backend.
    pub fn has_backend(&self, route: &str) -> bool {
        let Some(route) = self.routes.get(route) else {
            return false;
        };
        let has_backend = |name: &str| {
            let limits = self.services.get(name);
            limits.is_some_and(|limits| limits.has_backend)
        };
        weighted_services(route).any(|service| has_backend(&service))
    }

    /// The service of the route's next item. A pick stays until an item starts there, so that starts keep to the weights,
    /// unless the service becomes unavailable: then the others take the items.
    fn pick_service(&mut self, route: &str, services: &dyn Services) -> Option<String> {
        let limits = &self.services;
        let is_available = |name: &str| limits.get(name).is_some_and(ServiceLimits::is_available);
        let picked = self.picked_services.get(route);
        if let Some(picked) = picked.filter(|picked| is_available(picked)) {
            return Some(picked.clone());
        }
        let picked = services.pick(self.routes.get(route)?.as_ref(), &is_available)?;
        self.picked_services
            .insert(route.to_string(), picked.clone());
        Some(picked)
    }

    /// Waiting items by service. Items of a route with several services count at each of them: any may have to take all.
    fn waiting_by_service(&self, waiting: &BTreeMap<String, usize>) -> BTreeMap<String, usize> {
        let mut by_service: BTreeMap<String, usize> = BTreeMap::new();
        for (route, items) in waiting {
            let Some(route) = self.routes.get(route) else {
                continue;
            };
            for service in weighted_services(route) {
                *by_service.entry(service).or_default() += items;
            }
        }
        by_service
    }
}

/// The services that the route's items may go to.
fn weighted_services(route: &Route) -> impl Iterator<Item = String> {
    let services = route.services().into_iter();
    services
        .filter(|part| part.weight > 0.0)
        .map(|part| part.service)
}

fn log_availability(service: &str, has_backend: bool, items: usize) {
    if has_backend {
        log::info!("service {service} has backends again: {items} batch items can start");
    } else {
        log::warn!("service {service} has no backend that accepts requests: {items} batch items wait for one");
    }
}

#[cfg(test)]
mod tests;
