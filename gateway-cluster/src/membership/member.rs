//! The state of one peer in a gateway's membership, and of the suspicion of it.
//!
//! Data and small queries only; the rules that change it are in `updates` and `suspicion`.

use crate::protocol::{Micros, PeerIndex, PeerState};
use crate::wire::{Incarnation, UpdateStatus, MAX_SUSPICION_AGE};

/// Confidence from which a suspicion is gossiped. A suspicion of lower confidence is local to this gateway.
pub(super) const GOSSIPED_CONFIDENCE: u8 = 3;
/// Number of transmissions after which an urgent update is no longer gossiped by itself, but only piggybacked.
const URGENT_TRANSMISSIONS: u8 = 4;

/// A suspicion of a peer. It becomes a verdict at `expires_at` unless the peer refutes it.
#[derive(Debug, Clone)]
pub(super) struct Suspicion {
    pub(super) started_at: Micros,
    pub(super) expires_at: Micros,
    /// From 1 to [`GOSSIPED_CONFIDENCE`]: higher where indirect probes failed too.
    pub(super) confidence: u8,
    /// Number of requests to another gateway to confirm the suspicion before it expires.
    pub(super) confirm_requests: u8,
    /// Time of the next such request.
    pub(super) next_confirm_at: Micros,
    /// Another gateway answered and knows no refutation.
    pub(super) confirmed: bool,
}

/// The state of one peer.
#[derive(Debug, Clone)]
pub(super) struct Member {
    pub(super) incarnation: Incarnation,
    pub(super) dead: bool,
    /// It is dead because it announced its shutdown.
    pub(super) left: bool,
    pub(super) suspicion: Option<Suspicion>,
    /// Time of the last datagram from the peer itself.
    pub(super) last_received_at: Option<Micros>,
    /// Time at which it last came back from the dead state.
    pub(super) returned_at: Option<Micros>,
    /// The same, where it came back as the same process.
    pub(super) rejoined_at: Option<Micros>,
    /// Time at which this gateway last saw its incarnation rise.
    pub(super) raised_at: Option<Micros>,
    /// Number of transmissions of the update about it; `None` once it was transmitted often enough.
    pub(super) transmissions: Option<u8>,
    /// Digest of the peer set in its last datagram.
    pub(super) peer_set_digest: Option<u32>,
    /// Its last datagram had an older incarnation than the known one: it has to receive the known one.
    pub(super) has_stale_incarnation: bool,
    /// The update about it is to spread soon: a verdict, a gossiped suspicion, or a refutation.
    pub(super) urgent: bool,
}

/// Reason for a change of state, with peers by index. [`super::ChangeReason`] is the public form with names.
#[derive(Debug, Clone, Copy)]
pub(super) enum Cause {
    NoAnswer,
    ReportedBy(PeerIndex),
    NotRefuted,
    Returned,
    Left,
}

impl Suspicion {
    /// Whether it is gossiped; otherwise it is local to this gateway.
    pub(super) fn is_gossiped(&self) -> bool {
        self.confidence >= GOSSIPED_CONFIDENCE
    }

    pub(super) fn new(now: Micros, timeout: Micros, confidence: u8) -> Suspicion {
        Suspicion {
            started_at: now,
            expires_at: now + timeout,
            confidence,
            confirm_requests: 0,
            next_confirm_at: now,
            confirmed: false,
        }
    }
}

impl Member {
    /// A peer of which only the name is known.
    pub(super) fn initial() -> Member {
        Member {
            incarnation: 0,
            dead: false,
            left: false,
            suspicion: None,
            last_received_at: None,
            returned_at: None,
            rejoined_at: None,
            raised_at: None,
            transmissions: None,
            peer_set_digest: None,
            has_stale_incarnation: false,
            urgent: false,
        }
    }

    /// The state that other gateways receive: a peer under a local suspicion is alive for them.
    pub(super) fn gossiped_state(&self) -> PeerState {
        match &self.suspicion {
            Some(suspicion) if !suspicion.is_gossiped() && !self.dead => PeerState::Alive,
            _ => self.state(),
        }
    }

    pub(super) fn state(&self) -> PeerState {
        match (&self.suspicion, self.dead) {
            (_, true) => PeerState::Dead,
            (Some(_), false) => PeerState::Suspect,
            (None, false) => PeerState::Alive,
        }
    }

    pub(super) fn has_gossiped_suspicion(&self) -> bool {
        self.suspicion.as_ref().is_some_and(Suspicion::is_gossiped)
    }

    pub(super) fn has_local_suspicion(&self) -> bool {
        self.suspicion
            .as_ref()
            .is_some_and(|suspicion| !suspicion.is_gossiped())
    }

    /// Declares the peer dead. The verdict counts as transmitted this many times already.
    pub(super) fn declare_dead(&mut self, transmissions: u8) {
        self.suspicion = None;
        self.dead = true;
        self.transmissions = Some(transmissions);
        self.urgent = true;
    }

    /// Whether the update is gossiped by itself. Other updates wait to be piggybacked on other datagrams.
    pub(super) fn is_urgent(&self) -> bool {
        self.urgent
            && self
                .transmissions
                .is_some_and(|transmissions| transmissions < URGENT_TRANSMISSIONS)
    }

    /// The status in an update about this peer.
    pub(super) fn update_status(&self, now: Micros, probe_period: Micros) -> UpdateStatus {
        match (&self.suspicion, self.dead) {
            (_, true) if self.left => UpdateStatus::Left,
            (_, true) => UpdateStatus::Dead,
            (Some(suspicion), false) => {
                let tenths = 10 * now.saturating_sub(suspicion.started_at) / probe_period.max(1);
                UpdateStatus::Suspect(tenths.min(u64::from(MAX_SUSPICION_AGE)) as u8)
            }
            (None, false) => UpdateStatus::Alive,
        }
    }
}

#[cfg(test)]
mod tests;
