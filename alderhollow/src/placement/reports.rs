//! A sender's reports to the placers. No I/O and no clock.

use super::message::{AttemptInfo, Demand, End, Event, Report};
use alderhollow_model::identity::Incarnation;
use std::collections::{BTreeMap, BTreeSet};

/// An attempt of this sender that is reported to a placer.
#[derive(Debug)]
struct TrackedAttempt {
    zone: String,
    backend: String,
    demand: Demand,
    response_started: bool,
}

/// Tracks the attempts in flight and the pending events, by the zones of their backends.
#[derive(Debug)]
pub struct Reports {
    sender: Incarnation,
    last_number: u64,
    sequence: u64,
    in_flight: BTreeMap<u64, TrackedAttempt>,
    /// Events that have not been sent, by the zones of the backends.
    events: BTreeMap<String, Vec<Event>>,
    /// Zones whose last snapshot was empty.
    reported_empty: BTreeSet<String>,
}

impl Reports {
    /// Creates the reports of a sender in this incarnation.
    pub fn new(sender: Incarnation) -> Reports {
        Reports {
            sender,
            last_number: 0,
            sequence: 0,
            in_flight: BTreeMap::new(),
            events: BTreeMap::new(),
            reported_empty: BTreeSet::new(),
        }
    }

    /// The sender.
    pub fn sender(&self) -> Incarnation {
        self.sender
    }

    /// Assigns the number of a new attempt.
    pub fn next_attempt_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Records the start of an attempt at a backend of a zone. `is_placed`: the zone's placer selected the backend,
    /// and already knows the attempt.
    pub fn started(
        &mut self,
        number: u64,
        zone: &str,
        backend: &str,
        demand: Demand,
        is_placed: bool,
    ) {
        if !is_placed {
            let info = AttemptInfo {
                number,
                backend: backend.to_string(),
                demand: demand.clone(),
                response_started: false,
            };
            self.push(zone, Event::Started(info));
        }
        let attempt = TrackedAttempt {
            zone: zone.to_string(),
            backend: backend.to_string(),
            demand,
            response_started: false,
        };
        self.in_flight.insert(number, attempt);
    }

    /// Releases a placement that the placer of a zone may have recorded for an attempt that did not start there.
    pub fn release_unused(&mut self, number: u64, zone: &str) {
        self.push(zone, Event::Ended(number, End::Cancelled));
    }

    /// Records the first event of an attempt.
    pub fn response_started(&mut self, number: u64) {
        let Some(attempt) = self.in_flight.get_mut(&number) else {
            return;
        };
        if std::mem::replace(&mut attempt.response_started, true) {
            return;
        }
        let zone = attempt.zone.clone();
        self.push(&zone, Event::ResponseStarted(number));
    }

    /// Records the end of an attempt.
    pub fn ended(&mut self, number: u64, end: End) {
        if let Some(attempt) = self.in_flight.remove(&number) {
            self.push(&attempt.zone, Event::Ended(number, end));
        }
    }

    /// Takes the pending events, by zone.
    pub fn take_events(&mut self) -> Vec<(String, Report)> {
        let sender = self.sender;
        let events = std::mem::take(&mut self.events);
        events
            .into_iter()
            .map(|(zone, events)| (zone, Report::Events { sender, events }))
            .collect()
    }

    /// Whether events are pending.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// A snapshot of all attempts in flight at a zone's backends; `None` if it is empty and the previous one was too.
    pub fn snapshot(&mut self, zone: &str) -> Option<Report> {
        let is_empty = !self.in_flight.values().any(|attempt| attempt.zone == zone);
        let was_empty = match is_empty {
            true => !self.reported_empty.insert(zone.to_string()),
            false => self.reported_empty.remove(zone),
        };
        if is_empty && was_empty {
            return None;
        }
        self.sequence += 1;
        let in_zone = self
            .in_flight
            .iter()
            .filter(|(_, attempt)| attempt.zone == zone);
        let info = |(number, attempt): (&u64, &TrackedAttempt)| AttemptInfo {
            number: *number,
            backend: attempt.backend.clone(),
            demand: Demand {
                parts: Vec::new(),
                excluded_backends: Vec::new(),
                ..attempt.demand.clone()
            },
            response_started: attempt.response_started,
        };
        Some(Report::Snapshot {
            sender: self.sender,
            sequence: self.sequence,
            last_number: self.last_number,
            in_flight: in_zone.map(info).collect(),
        })
    }

    fn push(&mut self, zone: &str, event: Event) {
        self.reported_empty.remove(zone);
        self.events.entry(zone.to_string()).or_default().push(event);
    }
}
