//! Queues for each peer, and the order in which they are sent within the rate limit.

use super::{owns_key, token_in_force, ClusterContext, SessionClassifier};
use crate::peers::{peer_id_of, PeerId};
use crate::protocol::{Micros, Transmit};
use crate::sessions::wire::{size, Datagram, Kind, ReportMessage, VerdictMessage, MAX_ITEM_BYTES};
use crate::sessions::Customer;
use std::collections::BTreeSet;

/// Fraction of the token bucket reserved for verdicts and reports of breaks.
pub(super) const VERDICT_RESERVE: f64 = 0.5;

/// Minimum interval between two reports without a new break for one owner, and between two requests for a collection.
const REPORT_INTERVAL: Micros = 1_000_000;

/// Upper limit of the bytes of a customer number in a request for reports.
const BYTES_PER_REQUEST: usize = 6;

/// A collection of reports that a peer requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CollectionId {
    /// Incarnation of the peer.
    pub(super) incarnation: u64,
    /// Number of the collection within the incarnation.
    pub(super) number: u32,
}

/// Items queued for one peer.
#[derive(Debug, Default)]
pub(super) struct PeerQueue {
    /// Incarnation of the peer as last received; 0 before that.
    pub(super) incarnation: u64,
    /// Customers whose verdict is to be sent.
    pub(super) verdicts: BTreeSet<Customer>,
    /// Customers whose report is to be sent.
    pub(super) reports: BTreeSet<Customer>,
    /// One of the reports has a new break.
    pub(super) is_urgent: bool,
    /// Customers whose report is to be requested.
    pub(super) requests: BTreeSet<Customer>,
    /// When this gateway last requested a collection from the peer.
    pub(super) collection_sent_at: Option<Micros>,
    /// The collection that the peer requested and that is not complete.
    pub(super) pending_collection: Option<CollectionId>,
    /// The last collection of the peer that was completed.
    pub(super) answered_collection: Option<CollectionId>,
    pub(super) reports_sent_at: Option<Micros>,
}

impl SessionClassifier {
    /// Sends queued items, as far as the budget allows.
    pub(super) fn flush(
        &mut self,
        now: Micros,
        cluster: &ClusterContext<'_>,
        sends: &mut Vec<Transmit>,
    ) {
        if cluster.silent {
            return;
        }
        let dead: BTreeSet<PeerId> = self
            .gateways
            .values()
            .filter(|seen| seen.is_dead)
            .map(|seen| seen.id)
            .collect();
        if !self.owned.is_empty() {
            let alive = self
                .gateways
                .values()
                .filter(|seen| !seen.is_dead && seen.id != self.me);
            for seen in alive.filter(|seen| !self.collected.contains(&seen.id)) {
                self.queues.entry(seen.id).or_default();
            }
        }
        // Round robin: the peer after the last recipient comes first.
        let mut gateways: Vec<PeerId> = self
            .queues
            .keys()
            .copied()
            .filter(|id| !dead.contains(id))
            .collect();
        let index = gateways.partition_point(|id| *id <= self.last_recipient);
        gateways.rotate_left(index);
        for &to in &gateways {
            self.send_verdicts(now, to, cluster, sends);
        }
        for &to in &gateways {
            let is_urgent = self.queues.get(&to).is_some_and(|queue| queue.is_urgent);
            if is_urgent && self.budget.has(1.0, 0.0) {
                self.send_reports(now, to, cluster, sends);
            }
        }
        for &to in &gateways {
            if !self.budget.has(1.0, VERDICT_RESERVE) {
                return;
            }
            self.send_requests(now, to, cluster, sends);
        }
    }

    /// Sends the queued verdicts of customers that are still owned here.
    fn send_verdicts(
        &mut self,
        now: Micros,
        to: PeerId,
        cluster: &ClusterContext<'_>,
        sends: &mut Vec<Transmit>,
    ) {
        let token = token_in_force(cluster.shard_map);
        while self.budget.has(1.0, 0.0) {
            let Some(queue) = self.queues.get_mut(&to) else {
                return;
            };
            let mut remaining = MAX_ITEM_BYTES;
            let mut verdicts = Vec::new();
            while let Some(&customer) = queue.verdicts.first() {
                // Ownership is checked when the verdict is sent, not when it was decided.
                let verdict = self.aggregator.verdict(now, customer, token);
                if let Some(verdict) = verdict.filter(|_| owns_key(&self.owned, customer)) {
                    let message = VerdictMessage::new(&verdict, peer_id_of);
                    let Some(left) = remaining.checked_sub(size(&message)) else {
                        break;
                    };
                    remaining = left;
                    verdicts.push(message);
                }
                queue.verdicts.pop_first();
            }
            if verdicts.is_empty() {
                return;
            }
            self.send(to, Kind::Verdicts { token, verdicts }, sends);
        }
    }

    /// Sends as many queued reports as fit in one datagram.
    fn send_reports(
        &mut self,
        now: Micros,
        to: PeerId,
        cluster: &ClusterContext<'_>,
        sends: &mut Vec<Transmit>,
    ) {
        let mut remaining = MAX_ITEM_BYTES;
        let mut counts = Vec::new();
        loop {
            let next = self
                .queues
                .get(&to)
                .and_then(|queue| queue.reports.first().copied());
            let Some(customer) = next else { break };
            let pooling = self.pooling(now, customer, cluster.shard_map);
            self.evidence.set_pooling(customer, pooling);
            let message = ReportMessage::from(self.evidence.report(now, customer, pooling));
            let Some(left) = remaining.checked_sub(size(&message)) else {
                break;
            };
            remaining = left;
            counts.push(message);
            if let Some(queue) = self.queues.get_mut(&to) {
                queue.reports.pop_first();
            }
        }
        let Some(queue) = self.queues.get_mut(&to) else {
            return;
        };
        let mut completed_collection = 0;
        if queue.reports.is_empty() {
            queue.is_urgent = false;
            if let Some(collection) = queue.pending_collection.take() {
                completed_collection = collection.number;
                queue.answered_collection = Some(collection);
            }
        }
        if completed_collection != 0 || !counts.is_empty() {
            self.send(
                to,
                Kind::Report {
                    completed_collection,
                    counts,
                },
                sends,
            );
        }
    }

    /// Sends requests for collections and reports, and reports without a new break.
    fn send_requests(
        &mut self,
        now: Micros,
        to: PeerId,
        cluster: &ClusterContext<'_>,
        sends: &mut Vec<Transmit>,
    ) {
        let is_collecting = !self.owned.is_empty() && !self.collected.contains(&to);
        let (collection, is_known) = (
            self.collection,
            self.gateways.values().any(|seen| seen.id == to),
        );
        let Some(queue) = self.queues.get_mut(&to).filter(|_| is_known) else {
            return;
        };
        if is_collecting
            && queue
                .collection_sent_at
                .is_none_or(|at| now.saturating_sub(at) >= REPORT_INTERVAL)
        {
            queue.collection_sent_at = Some(now);
            self.send(to, Kind::CollectReports(collection), sends);
        }
        let Some(queue) = self.queues.get_mut(&to) else {
            return;
        };
        if !queue.requests.is_empty() && self.budget.has(1.0, VERDICT_RESERVE) {
            let mut customers = Vec::new();
            while customers.len() * BYTES_PER_REQUEST < MAX_ITEM_BYTES - BYTES_PER_REQUEST {
                let Some(customer) = queue.requests.pop_first() else {
                    break;
                };
                customers.push(customer);
            }
            self.send(to, Kind::RequestReports(customers), sends);
        }
        let Some(queue) = self.queues.get(&to) else {
            return;
        };
        let is_report_due = queue
            .reports_sent_at
            .is_none_or(|at| now.saturating_sub(at) >= REPORT_INTERVAL);
        let may_send =
            queue.pending_collection.is_some() || (is_report_due && !queue.reports.is_empty());
        if may_send && self.budget.has(1.0, VERDICT_RESERVE) {
            self.send_reports(now, to, cluster, sends);
            if let Some(queue) = self.queues.get_mut(&to) {
                queue.reports_sent_at = Some(now);
            }
        }
    }

    fn send(&mut self, to: PeerId, kind: Kind, sends: &mut Vec<Transmit>) {
        let to_incarnation = self.queues.get(&to).map_or(0, |queue| queue.incarnation);
        let bytes = Datagram {
            from: self.me,
            incarnation: self.incarnation,
            to_incarnation,
            kind,
        }
        .encode();
        self.budget.take(1.0);
        self.sent.0 += 1;
        self.sent.1 += bytes.len() as u64;
        self.last_recipient = to;
        sends.push(Transmit { to, bytes });
    }
}
