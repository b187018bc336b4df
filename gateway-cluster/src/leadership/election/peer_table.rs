//! What is known of each other gateway.

use super::{ElectionEvent, LeaderElection};
use crate::peers::PeerId;
use crate::protocol::Micros;
use std::collections::VecDeque;

/// What is known of another gateway.
#[derive(Debug, Clone, Default)]
pub(super) struct Peer {
    pub(super) incarnation: u64,
    /// Its clock when it sent what came last, and this gateway's clock when that came.
    pub(super) clock_us: u64,
    pub(super) last_heard_at: Micros,
    /// Questions that it may still answer, with when each was first asked.
    pub(super) pending_requests: VecDeque<(u32, Micros)>,
    pub(super) attempts: u8,
    /// It and this gateway grant each other nothing.
    pub(super) is_incompatible: bool,
    /// It has granted a later epoch than this gateway asks for.
    pub(super) knows_later_epoch: bool,
    /// It has taken part in a epoch.
    pub(super) peer_set_in_use: bool,
    /// The peer set that its file names, where this gateway's file names the one that it leaves.
    pub(super) next_peer_set: Option<u64>,
    /// When it is asked next.
    pub(super) next_request_at: Micros,
}

impl LeaderElection {
    pub(super) fn others(&self) -> Vec<PeerId> {
        self.peers.keys().copied().collect()
    }

    /// Keeps what is known of the names of all peer sets, and forgets the others.
    pub(super) fn refresh_peers(&mut self) {
        let names = self.peer_sets.names();
        self.peers.retain(|name, _| names.contains(name));
        for name in names.into_iter().filter(|name| *name != self.own.name) {
            self.peers.entry(name).or_default();
        }
    }

    /// Tells the log once of what keeps another gateway and this one from granting each other.
    pub(super) fn report_incompatibility(&mut self, name: PeerId, differs: Option<ElectionEvent>) {
        let Some(peer) = self.peers.get_mut(&name) else {
            return;
        };
        let before = std::mem::replace(&mut peer.is_incompatible, differs.is_some());
        if let Some(note) = differs.filter(|_| !before) {
            self.record_event(note);
        }
    }

    /// When the question was asked that this answers.
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
