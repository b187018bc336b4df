//! The state of each other gateway in the election.

use super::{ElectionEvent, LeaderElection};
use crate::peers::PeerId;
use crate::protocol::Micros;
use std::collections::VecDeque;

/// Another gateway.
#[derive(Debug, Clone, Default)]
pub(super) struct Peer {
    /// Incarnation in its last datagram; 0 before the first one.
    pub(super) incarnation: u64,
    /// Its clock when it sent its last datagram, and this gateway's clock at the receipt.
    pub(super) clock_us: u64,
    pub(super) last_received_at: Micros,
    /// Number and first transmission time of each pending request.
    pub(super) pending_requests: VecDeque<(u32, Micros)>,
    /// Number of transmissions of the last request.
    pub(super) attempts: u8,
    /// It and this gateway cannot vote for each other.
    pub(super) is_incompatible: bool,
    /// It rejected a request because it voted in a later epoch.
    pub(super) knows_later_epoch: bool,
    /// Its peer sets are in use.
    pub(super) peer_set_in_use: bool,
    /// Digest of its current peer set, if the previous one is the current one of this gateway.
    pub(super) next_peer_set: Option<u64>,
    /// Time of the next request.
    pub(super) next_request_at: Micros,
}

impl LeaderElection {
    /// Ids of all other gateways.
    pub(super) fn others(&self) -> Vec<PeerId> {
        self.peers.keys().copied().collect()
    }

    /// Adds the peers of all peer sets and removes all others.
    pub(super) fn refresh_peers(&mut self) {
        let names = self.peer_sets.names();
        self.peers.retain(|name, _| names.contains(name));
        for name in names.into_iter().filter(|name| *name != self.own.name) {
            self.peers.entry(name).or_default();
        }
    }

    /// Records once why another gateway and this one cannot vote for each other.
    pub(super) fn report_incompatibility(&mut self, name: PeerId, differs: Option<ElectionEvent>) {
        let Some(peer) = self.peers.get_mut(&name) else {
            return;
        };
        let before = std::mem::replace(&mut peer.is_incompatible, differs.is_some());
        if let Some(note) = differs.filter(|_| !before) {
            self.record_event(note);
        }
    }

    /// Removes a pending request that was answered, and returns the time of its first transmission.
    pub(super) fn take_request_time(&mut self, from: PeerId, number: u32) -> Option<Micros> {
        let peer = self.peers.get_mut(&from)?;
        let place = peer
            .pending_requests
            .iter()
            .position(|(asked, _)| *asked == number)?;
        let (_, at) = peer.pending_requests.remove(place)?;
        Some(at)
    }
}
