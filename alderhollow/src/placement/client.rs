//! Requests placements from the placers and reports the progress of this sender's attempts to them.

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

/// If a placer takes longer, the sender selects a backend by itself.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);
/// A placer that did not answer is not asked again for this long.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_millis(250);
/// Events are batched for this long before they are sent.
const EVENT_BATCH_DELAY: Duration = Duration::from_millis(8);
/// Interval of the snapshots to each placer. A new placer gets one immediately.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(1_000);

/// The placements of one sender. Must be used in a `LocalSet`.
pub struct PlacementClient {
    network: Network,
    snapshots: SnapshotReceiver,
    reports: RefCell<Reports>,
    /// Placers that did not answer, and until when they are not asked.
    backoffs: RefCell<BTreeMap<SocketAddr, Instant>>,
    has_events: Notify,
}

/// A placement request in progress. If dropped without a response, it releases what the placer may have recorded.
struct PendingPlacement<'a> {
    client: &'a PlacementClient,
    number: u64,
    zone: &'a str,
    is_settled: bool,
}

impl Drop for PendingPlacement<'_> {
    fn drop(&mut self) {
        if !self.is_settled {
            self.client.release_unused(self.number, self.zone);
        }
    }
}

impl PlacementClient {
    /// Creates a client for a sender in this incarnation, and starts the tasks that send its reports.
    pub fn start(
        network: Network,
        snapshots: SnapshotReceiver,
        sender: Incarnation,
    ) -> Rc<PlacementClient> {
        let client = Rc::new(PlacementClient {
            network,
            snapshots,
            reports: RefCell::new(Reports::new(sender)),
            backoffs: RefCell::default(),
            has_events: Notify::new(),
        });
        tokio::task::spawn_local(run_event_sender(client.clone()));
        tokio::task::spawn_local(run_snapshot_sender(client.clone()));
        client
    }

    /// Assigns the number of a new attempt.
    pub fn next_attempt_number(&self) -> u64 {
        self.reports.borrow_mut().next_attempt_number()
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

    /// Requests a placement from a zone's placer; `None` if it does not answer in time. The caller must release an
    /// unused placement with [`PlacementClient::release_unused`].
    pub async fn ask(&self, zone: &str, number: u64, demand: &Demand) -> Option<Placement> {
        let address = self.placer_of(zone)?;
        if self
            .backoffs
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
        let mut pending = PendingPlacement {
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
            Some(_) => pending.is_settled = true,
            None => self.back_off(address),
        }
        metrics::get().placement.asked(placement.as_ref());
        placement
    }

    /// Reports the start of an attempt at a backend of a zone.
    pub fn started(&self, number: u64, zone: &str, backend: &str, demand: Demand, is_placed: bool) {
        self.reports
            .borrow_mut()
            .started(number, zone, backend, demand, is_placed);
        self.has_events.notify_one();
    }

    /// Releases a placement that a zone's placer may have recorded for an attempt.
    pub fn release_unused(&self, number: u64, zone: &str) {
        self.reports.borrow_mut().release_unused(number, zone);
        self.has_events.notify_one();
    }

    /// Reports the first event of an attempt.
    pub fn response_started(&self, number: u64) {
        self.reports.borrow_mut().response_started(number);
        self.has_events.notify_one();
    }

    /// Reports the end of an attempt.
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

    fn back_off(&self, address: SocketAddr) {
        self.backoffs
            .borrow_mut()
            .insert(address, Instant::now() + UNRESPONSIVE_BACKOFF);
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

    /// Sends each placer a snapshot of the attempts in flight at its zone's backends.
    fn send_snapshots(&self) {
        self.send_events();
        for zone in self.zones() {
            let Some(report) = self.reports.borrow_mut().snapshot(&zone) else {
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

/// Sends pending events in batches until the future is dropped.
async fn run_event_sender(client: Rc<PlacementClient>) {
    loop {
        client.has_events.notified().await;
        tokio::time::sleep(EVENT_BATCH_DELAY).await;
        client.send_events();
    }
}

/// Sends snapshots at intervals, and when the placers change, until the future is dropped.
async fn run_snapshot_sender(client: Rc<PlacementClient>) {
    let mut snapshots = client.snapshots.clone();
    let mut known = Vec::new();
    let mut due = Instant::now() + SNAPSHOT_INTERVAL;
    loop {
        let is_due = tokio::time::timeout_at(due, snapshots.changed())
            .await
            .is_err();
        let placers = client.placers();
        if is_due || placers != known {
            client.send_snapshots();
            known = placers;
            due = Instant::now() + SNAPSHOT_INTERVAL;
        }
    }
}
