//! Budget of datagrams and bytes, retry intervals, and the sending of one datagram.

use super::ShardMapNode;
use crate::leadership::election::{renewal, LeaderElection};
use crate::peers::PeerId;
use crate::protocol::{Micros, Transmit};
use crate::shards::wire::{Datagram, Kind, RequestProof};
use crate::wire::HEADER_BYTES;

/// Token buckets for datagrams and for bytes with headers: size, and rate per second. With the leadership's own budget
/// this is all that a leader may send.
pub(super) const DATAGRAM_BURST: f64 = 25.0;
pub(super) const DATAGRAMS_PER_SECOND: f64 = 45.0;
pub(super) const BYTE_BURST: f64 = 9_000.0;
pub(super) const BYTES_PER_SECOND: f64 = 12_000.0;
/// Leases per second that are renewed without faults; and the fraction of the byte budget that maps leave to leases.
const MAX_LEASES_PER_SECOND: u64 = 30;
pub(super) const LEASE_RESERVE: f64 = 0.2;
/// Interval before an unanswered request is retried, and from the third retry on. In microseconds.
pub(super) const RETRY_INTERVAL: Micros = 100_000;
pub(super) const SLOW_RETRY_INTERVAL: Micros = 500_000;
/// Upper limit of a datagram's bytes beside its variable content, with headers.
pub(super) const DATAGRAM_OVERHEAD_BYTES: usize = 150;
/// Interval at which an idle leader looks for a map to propose, in microseconds.
pub(super) const PLANNING_INTERVAL: Micros = 500_000;
pub(super) const MAX_EVENTS: usize = 256;

impl ShardMapNode {
    pub(super) fn refill_budgets(&mut self, now: Micros) {
        self.datagram_budget.fill(now);
        self.byte_budget.fill(now);
    }

    /// Whether the budget allows a datagram of so many bytes, headers included, and still leaves a fraction of it to
    /// others.
    pub(super) fn has_budget(&self, bytes: usize, kept: f64) -> bool {
        self.datagram_budget.has(1.0, kept) && self.byte_budget.has(bytes as f64, kept)
    }

    pub(super) fn send(
        &mut self,
        election: &LeaderElection,
        to: PeerId,
        proof: Option<RequestProof>,
        kind: Kind,
        sends: &mut Vec<Transmit>,
    ) {
        let to_incarnation = election.clock_of(to).map_or(0, |clock| clock.0);
        self.send_to_incarnation((to, to_incarnation), proof, kind, sends);
    }

    pub(super) fn send_to_incarnation(
        &mut self,
        (to, to_incarnation): (PeerId, u64),
        proof: Option<RequestProof>,
        kind: Kind,
        sends: &mut Vec<Transmit>,
    ) {
        let bytes = Datagram {
            from: self.me,
            incarnation: self.incarnation,
            to_incarnation,
            proof,
            kind,
        }
        .encode();
        self.datagram_budget.take(1.0);
        self.byte_budget.take((bytes.len() + HEADER_BYTES) as f64);
        self.sent.0 += 1;
        self.sent.1 += bytes.len() as u64;
        sends.push(Transmit { to, bytes });
    }

    /// Sends if the budget allows it.
    pub(super) fn send_within_budget(
        &mut self,
        election: &LeaderElection,
        to: PeerId,
        proof: Option<RequestProof>,
        kind: Kind,
        sends: &mut Vec<Transmit>,
    ) {
        if self.has_budget(DATAGRAM_OVERHEAD_BYTES, 0.0) {
            self.send(election, to, proof, kind, sends);
        }
    }
}

/// Interval between two leases for one gateway without faults, in microseconds. `lease` is the duration of the
/// leadership lease.
pub fn period(lease: Micros, others: usize) -> Micros {
    (2 * renewal(lease, others)).max(others as Micros * 1_000_000 / MAX_LEASES_PER_SECOND)
}

/// The shortest leadership lease, in microseconds, with which a leader can renew the shard leases of so many other
/// gateways: a lease starts when its holder was last heard, and a renewal that is lost has to be replaced in time.
pub fn min_lease(others: usize) -> Micros {
    (period(0, others) + renewal(0, others)) * 6 / 10
}
