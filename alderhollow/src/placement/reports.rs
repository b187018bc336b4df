//! What a sender tells the placers of its attempts. No I/O and no clock.

use super::message::{Demand, End, Event, Report, UnderWay};
use alderhollow_model::identity::Incarnation;
use std::collections::{BTreeMap, BTreeSet};

/// An attempt of this sender that a placer is told of.
#[derive(Debug)]
struct Known {
    zone: String,
    backend: String,
    demand: Demand,
    has_begun: bool,
}

/// Keeps the attempts under way, by the zones of their backends.
#[derive(Debug)]
pub struct Reports {
    sender: Incarnation,
    newest: u64,
    sequence: u64,
    under_way: BTreeMap<u64, Known>,
    /// Events that are not sent yet, by the zones of the backends.
    events: BTreeMap<String, Vec<Event>>,
    /// Zones whose last whole report told of nothing.
    empty: BTreeSet<String>,
}

impl Reports {
    /// None yet, for a sender in this incarnation.
    pub fn new(sender: Incarnation) -> Reports {
        Reports {
            sender,
            newest: 0,
            sequence: 0,
            under_way: BTreeMap::new(),
            events: BTreeMap::new(),
            empty: BTreeSet::new(),
        }
    }

    /// The sender.
    pub fn sender(&self) -> Incarnation {
        self.sender
    }

    /// Draws the number of an attempt.
    pub fn draw_number(&mut self) -> u64 {
        self.newest += 1;
        self.newest
    }

    /// An attempt starts at a backend of a zone. `is_placed`: the zone's placer chose it, and knows.
    pub fn started(
        &mut self,
        number: u64,
        zone: &str,
        backend: &str,
        demand: Demand,
        is_placed: bool,
    ) {
        if !is_placed {
            let told = UnderWay {
                number,
                backend: backend.to_string(),
                demand: demand.clone(),
                has_begun: false,
            };
            self.push(zone, Event::Started(told));
        }
        let known = Known {
            zone: zone.to_string(),
            backend: backend.to_string(),
            demand,
            has_begun: false,
        };
        self.under_way.insert(number, known);
    }

    /// The placer of a zone may have booked a backend for an attempt that did not start there.
    pub fn unused(&mut self, number: u64, zone: &str) {
        self.push(zone, Event::Ended(number, End::Cancelled));
    }

    /// The first event of an attempt came.
    pub fn began(&mut self, number: u64) {
        let Some(known) = self.under_way.get_mut(&number) else {
            return;
        };
        if std::mem::replace(&mut known.has_begun, true) {
            return;
        }
        let zone = known.zone.clone();
        self.push(&zone, Event::Began(number));
    }

    /// An attempt ended.
    pub fn ended(&mut self, number: u64, end: End) {
        if let Some(known) = self.under_way.remove(&number) {
            self.push(&known.zone, Event::Ended(number, end));
        }
    }

    /// Takes the events that are to be sent, by zones.
    pub fn take_events(&mut self) -> Vec<(String, Report)> {
        let sender = self.sender;
        let events = std::mem::take(&mut self.events);
        events
            .into_iter()
            .map(|(zone, events)| (zone, Report::Events { sender, events }))
            .collect()
    }

    /// Whether events wait to be sent.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// All that is under way at a zone's backends; `None` if there is nothing, and the last time there was nothing either.
    pub fn whole(&mut self, zone: &str) -> Option<Report> {
        let is_empty = !self.under_way.values().any(|known| known.zone == zone);
        let was_empty = match is_empty {
            true => !self.empty.insert(zone.to_string()),
            false => self.empty.remove(zone),
        };
        if is_empty && was_empty {
            return None;
        }
        self.sequence += 1;
        let in_zone = self
            .under_way
            .iter()
            .filter(|(_, known)| known.zone == zone);
        let told = |(number, known): (&u64, &Known)| UnderWay {
            number: *number,
            backend: known.backend.clone(),
            demand: Demand {
                parts: Vec::new(),
                except: Vec::new(),
                ..known.demand.clone()
            },
            has_begun: known.has_begun,
        };
        Some(Report::Whole {
            sender: self.sender,
            sequence: self.sequence,
            newest: self.newest,
            under_way: in_zone.map(told).collect(),
        })
    }

    fn push(&mut self, zone: &str, event: Event) {
        self.empty.remove(zone);
        self.events.entry(zone.to_string()).or_default().push(event);
    }
}
