//! Serves a placer's ledger on the internal port. Every process runs this server, because any of them may be appointed
//! placer at any time.

use super::ledger::Ledger;
use super::message::{Demand, PlaceRequest, Report};
use crate::balance::Explanation;
use crate::clock::SteadyClock;
use crate::internal::server::HandlerFuture;
use crate::internal::{Handler, Refusal};
use crate::metrics;
use crate::SnapshotReceiver;
use std::cell::RefCell;

/// Provides a [`Ledger`] with the current time and the newest tables.
pub struct PlacementServer {
    ledger: RefCell<Ledger>,
    snapshots: RefCell<SnapshotReceiver>,
    clock: SteadyClock,
}

impl PlacementServer {
    /// Creates a server for a ledger.
    pub fn new(
        ledger: Ledger,
        mut snapshots: SnapshotReceiver,
        clock: SteadyClock,
    ) -> PlacementServer {
        snapshots.mark_changed();
        PlacementServer {
            ledger: RefCell::new(ledger),
            snapshots: RefCell::new(snapshots),
            clock,
        }
    }

    /// Calls a function with the ledger, after applying the newest tables, and the current time.
    fn with_ledger<T>(&self, act: impl FnOnce(&mut Ledger, f64) -> T) -> T {
        let now = self.clock.now_ms() as f64;
        let mut ledger = self.ledger.borrow_mut();
        let mut snapshots = self.snapshots.borrow_mut();
        if snapshots.has_changed().unwrap_or(false) {
            let snapshot = snapshots.borrow_and_update().clone();
            ledger.update(now, &snapshot);
        }
        act(&mut ledger, now)
    }

    /// Explains how a request would be placed now among the backends of this process's zone.
    pub fn explain(&self, demand: &Demand) -> Option<Explanation> {
        self.with_ledger(|ledger, now| ledger.explain(now, demand))
    }

    fn place(&self, payload: &[u8]) -> Result<Vec<u8>, Refusal> {
        let request: PlaceRequest = minicbor::decode(payload).map_err(|_| Refusal::Malformed)?;
        let placement = self.with_ledger(|ledger, now| ledger.place(now, &request));
        metrics::get().placement.placed(&placement);
        minicbor::to_vec(placement).map_err(|_| Refusal::Busy)
    }
}

impl Handler for PlacementServer {
    fn request(&self, payload: Vec<u8>) -> HandlerFuture {
        let answer = self.place(&payload);
        Box::pin(async move { answer })
    }

    fn notice(&self, payload: Vec<u8>) {
        match minicbor::decode::<Report>(&payload) {
            Ok(report) => self.with_ledger(|ledger, now| ledger.apply_report(now, &report)),
            Err(error) => log::debug!("cannot decode a report from a sender: {error}"),
        }
    }
}
