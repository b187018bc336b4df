//! Sends datagrams, within the budget.

use super::LeaderElection;
use crate::leadership::configuration::ConfigurationReport;
use crate::leadership::wire::{Datagram, Kind};
use crate::leadership::LeaseHolder;
use crate::peers::PeerId;
use crate::protocol::{Micros, Transmit};

impl LeaderElection {
    /// Sends a message if the budget allows it; otherwise it is lost, like a datagram on the network.
    pub(super) fn send(&mut self, now: Micros, to: PeerId, kind: Kind, sends: &mut Vec<Transmit>) {
        if self.budget.has(1.0, 0.0) {
            self.budget.take(1.0);
            self.send_unbudgeted(now, to, kind, sends);
        }
    }

    /// Sends a message outside the budget.
    pub(super) fn send_unbudgeted(
        &mut self,
        now: Micros,
        to: PeerId,
        kind: Kind,
        sends: &mut Vec<Transmit>,
    ) {
        let LeaseHolder {
            name: from,
            incarnation,
        } = self.own;
        let to_incarnation = self.peers.get(&to).map_or(0, |peer| peer.incarnation);
        let peer_sets: ConfigurationReport = self.peer_sets.report();
        let bytes = Datagram {
            from,
            incarnation,
            to_incarnation,
            tick: now,
            peer_sets,
            epoch: self.latest_epoch.epoch,
            kind,
        }
        .encode();
        self.sent.0 += 1;
        self.sent.1 += bytes.len() as u64;
        sends.push(Transmit { to, bytes });
    }
}
