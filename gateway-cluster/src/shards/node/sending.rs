//! The budget of datagrams and bytes, the times between them, and how one is sent.

use super::ShardMapNode;
use crate::leadership::election::{renewal, LeaderElection};
use crate::peers::PeerId;
use crate::protocol::{Micros, Transmit};
use crate::shards::wire::{Datagram, Kind};
use crate::wire::HEADER_BYTES;

/// What is sent in any second: the bucket's size and its rate, in datagrams and in bytes with headers. Beside the
/// leadership's that is what a leader may send in all.
pub(super) const DATAGRAM_BURST: f64 = 25.0;
pub(super) const DATAGRAMS_PER_SECOND: f64 = 45.0;
pub(super) const BYTE_BURST: f64 = 9_000.0;
pub(super) const BYTES_PER_SECOND: f64 = 12_000.0;
/// Of those, leases that are renewed in calm; and the part of the bytes that maps leave to leases.
const MAX_LEASES_PER_SECOND: u64 = 30;
pub(super) const LEASE_RESERVE: f64 = 0.2;
/// After how long what was not answered is sent once more, and after how long from the third time on.
pub(super) const RETRY_INTERVAL: Micros = 100_000;
pub(super) const SLOW_RETRY_INTERVAL: Micros = 500_000;
/// Bytes of a datagram around what is told of its size, with headers, at most.
pub(super) const DATAGRAM_OVERHEAD_BYTES: usize = 150;
/// After how long a leader that found nothing to change looks again.
pub(super) const PLANNING_INTERVAL: Micros = 500_000;
pub(super) const MAX_EVENTS: usize = 256;

impl ShardMapNode {
    pub(super) fn refill_budgets(&mut self, now: Micros) {
        self.datagram_budget.fill(now);
        self.byte_budget.fill(now);
    }

    /// Whether there is room for so many bytes, with headers, beside a part that is kept for others.
    pub(super) fn has_budget(&self, bytes: usize, kept: f64) -> bool {
        self.datagram_budget.has(1.0, kept) && self.byte_budget.has(bytes as f64, kept)
    }

    pub(super) fn send(
        &mut self,
        election: &LeaderElection,
        to: PeerId,
        stamp: Option<(u64, u64)>,
        kind: Kind,
        sends: &mut Vec<Transmit>,
    ) {
        let to_incarnation = election.clock_of(to).map_or(0, |clock| clock.0);
        self.send_to_incarnation((to, to_incarnation), stamp, kind, sends);
    }

    pub(super) fn send_to_incarnation(
        &mut self,
        (to, to_incarnation): (PeerId, u64),
        stamp: Option<(u64, u64)>,
        kind: Kind,
        sends: &mut Vec<Transmit>,
    ) {
        let bytes = Datagram {
            from: self.me,
            incarnation: self.incarnation,
            to_incarnation,
            stamp,
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
        stamp: Option<(u64, u64)>,
        kind: Kind,
        sends: &mut Vec<Transmit>,
    ) {
        if self.has_budget(DATAGRAM_OVERHEAD_BYTES, 0.0) {
            self.send(election, to, stamp, kind, sends);
        }
    }
}

/// The time from one keep lease of a gateway to the next in calm.
pub fn period(lease: Micros, others: usize) -> Micros {
    (2 * renewal(lease, others)).max(others as Micros * 1_000_000 / MAX_LEASES_PER_SECOND)
}

/// The shortest lease of leadership with which a leader can renew the keep leases of so many others: one is given each
/// period, from when the gateway was last heard, and one that is lost has no other in time.
pub fn min_lease(others: usize) -> Micros {
    (period(0, others) + renewal(0, others)) * 6 / 10
}
