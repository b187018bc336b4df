//! Asks the placers, and tells them what becomes of this sender's attempts.

use super::message::{AttemptId, Demand, End, PlaceRequest, Placement};
use super::reports::Reports;
use crate::internal::{Network, ServiceId};
use crate::metrics;
use crate::SnapshotReceiver;
use alderhollow_model::identity::Incarnation;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A placer that takes longer is not waited for: the sender chooses for itself.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);
/// A placer that did not answer is asked again after so long.
const PAUSE_AFTER_SILENCE: Duration = Duration::from_millis(250);
/// Events are gathered so long before they are sent.
const GATHER: Duration = Duration::from_millis(8);
/// Between two whole reports to each placer, and to a new one at once.
const WHOLE_INTERVAL: Duration = Duration::from_millis(1_000);

/// The placements of one sender. To be used in a `LocalSet`.
pub struct PlacementClient {
    network: Network,
    snapshots: SnapshotReceiver,
    reports: RefCell<Reports>,
    /// Placers that did not answer, and until when they are not asked.
    paused: RefCell<BTreeMap<SocketAddr, Instant>>,
    has_events: Notify,
}

/// A question whose answer was not used yet: dropped, it frees what the placer may have booked.
struct Question<'a> {
    client: &'a PlacementClient,
    number: u64,
    zone: &'a str,
    is_settled: bool,
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        if !self.is_settled {
            self.client.unused(self.number, self.zone);
        }
    }
}

impl PlacementClient {
    /// A client of a sender in this incarnation; it starts the task that carries the reports.
    pub fn start(
        network: Network,
        snapshots: SnapshotReceiver,
        sender: Incarnation,
    ) -> Rc<PlacementClient> {
        let client = Rc::new(PlacementClient {
            network,
            snapshots,
            reports: RefCell::new(Reports::new(sender)),
            paused: RefCell::default(),
            has_events: Notify::new(),
        });
        tokio::task::spawn_local(carry_events(client.clone()));
        tokio::task::spawn_local(carry_whole_reports(client.clone()));
        client
    }

    /// Draws the number of an attempt.
    pub fn draw_number(&self) -> u64 {
        self.reports.borrow_mut().draw_number()
    }

    /// The zones that have a placer.
    pub fn zones(&self) -> Vec<String> {
        self.snapshots
            .borrow()
            .senders
            .placers
            .iter()
            .map(|placer| placer.zone.clone())
            .collect()
    }

    /// Asks a zone's placer; `None` if it gives no answer in time. An answer that is not used is to be told by
    /// [`PlacementClient::unused`].
    pub async fn ask(&self, zone: &str, number: u64, demand: &Demand) -> Option<Placement> {
        let address = self.placer_of(zone)?;
        if self
            .paused
            .borrow()
            .get(&address)
            .is_some_and(|until| Instant::now() < *until)
        {
            return None;
        }
        let attempt = AttemptId {
            sender: self.reports.borrow().sender(),
            number,
        };
        let request = minicbor::to_vec(PlaceRequest {
            attempt,
            demand: demand.clone(),
        })
        .ok()?;
        let mut question = Question {
            client: self,
            number,
            zone,
            is_settled: false,
        };
        let answer = self
            .network
            .call(address, ServiceId::Placement, request, ANSWER_TIMEOUT)
            .await;
        let placement = answer
            .ok()
            .and_then(|answer| minicbor::decode::<Placement>(&answer).ok());
        match &placement {
            Some(_) => question.is_settled = true,
            None => self.pause(address),
        }
        metrics::get().placement.asked(placement.as_ref());
        placement
    }

    /// An attempt starts at a backend of a zone.
    pub fn started(&self, number: u64, zone: &str, backend: &str, demand: Demand, is_placed: bool) {
        self.reports
            .borrow_mut()
            .started(number, zone, backend, demand, is_placed);
        self.has_events.notify_one();
    }

    /// What a zone's placer may have booked for an attempt is not used.
    pub fn unused(&self, number: u64, zone: &str) {
        self.reports.borrow_mut().unused(number, zone);
        self.has_events.notify_one();
    }

    /// The first event of an attempt came.
    pub fn began(&self, number: u64) {
        self.reports.borrow_mut().began(number);
        self.has_events.notify_one();
    }

    /// An attempt ended.
    pub fn ended(&self, number: u64, end: End) {
        self.reports.borrow_mut().ended(number, end);
        self.has_events.notify_one();
    }

    fn placer_of(&self, zone: &str) -> Option<SocketAddr> {
        let snapshot = self.snapshots.borrow();
        let placer = snapshot
            .senders
            .placers
            .iter()
            .find(|placer| placer.zone == zone)?;
        Some(placer.internal.0)
    }

    fn pause(&self, address: SocketAddr) {
        self.paused
            .borrow_mut()
            .insert(address, Instant::now() + PAUSE_AFTER_SILENCE);
    }

    fn send_events(&self) {
        let reports = self.reports.borrow_mut().take_events();
        for (zone, report) in reports {
            if let (Some(address), Ok(payload)) = (self.placer_of(&zone), minicbor::to_vec(report))
            {
                self.network.notify(address, ServiceId::Placement, payload);
            }
        }
    }

    /// Tells each placer all that is under way at its zone's backends.
    fn send_whole_reports(&self) {
        self.send_events();
        for zone in self.zones() {
            let Some(report) = self.reports.borrow_mut().whole(&zone) else {
                continue;
            };
            if let (Some(address), Ok(payload)) = (self.placer_of(&zone), minicbor::to_vec(report))
            {
                self.network.notify(address, ServiceId::Placement, payload);
            }
        }
    }

    /// The addresses of all placers.
    fn placers(&self) -> Vec<SocketAddr> {
        self.snapshots
            .borrow()
            .senders
            .placers
            .iter()
            .map(|placer| placer.internal.0)
            .collect()
    }
}

/// Sends events, those of some milliseconds together, until the future is dropped.
async fn carry_events(client: Rc<PlacementClient>) {
    loop {
        client.has_events.notified().await;
        tokio::time::sleep(GATHER).await;
        client.send_events();
    }
}

/// Sends whole reports at intervals, and when the placers change, until the future is dropped.
async fn carry_whole_reports(client: Rc<PlacementClient>) {
    let mut snapshots = client.snapshots.clone();
    let mut known = Vec::new();
    let mut due = Instant::now() + WHOLE_INTERVAL;
    loop {
        let is_due = tokio::time::timeout_at(due, snapshots.changed())
            .await
            .is_err();
        let placers = client.placers();
        if is_due || placers != known {
            client.send_whole_reports();
            known = placers;
            due = Instant::now() + WHOLE_INTERVAL;
        }
    }
}
