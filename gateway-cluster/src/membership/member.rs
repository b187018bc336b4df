//! What is held of one name of the peer set.

use crate::protocol::{Micros, PeerIndex, PeerState};
use crate::wire::{Incarnation, UpdateStatus, MAX_SUSPICION_AGE};

/// What a doubt weighs that is told to others.
pub(super) const STRONG: u8 = 3;
/// How often a claim that presses is gossiped, beside what other datagrams carry.
const PRESSING: u8 = 4;

#[derive(Debug, Clone)]
pub(super) struct Doubt {
    pub(super) since: Micros,
    pub(super) until: Micros,
    pub(super) weight: u8,
    /// How often others were asked to confirm it, when the next is, and whether one had nothing against it.
    pub(super) asked: u8,
    pub(super) ask_at: Micros,
    pub(super) confirmed: bool,
}

#[derive(Debug, Clone)]
pub(super) struct Member {
    pub(super) incarnation: Incarnation,
    pub(super) dead: bool,
    /// It is gone by its own word.
    pub(super) left: bool,
    pub(super) doubt: Option<Doubt>,
    /// When it was last heard itself.
    pub(super) heard: Option<Micros>,
    /// When it was last held for dead and came back, and when in the life that it had before.
    pub(super) returned: Option<Micros>,
    pub(super) rejoined: Option<Micros>,
    /// When its incarnation was last raised while this gateway looked.
    pub(super) raised: Option<Micros>,
    /// How often the claim has been sent on; `None` once that is enough.
    pub(super) sent: Option<u8>,
    /// The peer set that it had when it was last heard.
    pub(super) peers: Option<u32>,
    /// It speaks in an incarnation that is behind what is held of it: it is to be told.
    pub(super) behind: bool,
    /// Others are to hear of it soon: a verdict, a strong doubt, or what refutes those.
    pub(super) pressing: bool,
}

/// The same with a place for the name, which is looked up when a change is kept.
#[derive(Debug, Clone, Copy)]
pub(super) enum Cause {
    NoAnswer,
    ToldBy(PeerIndex),
    NotRefuted,
    Returned,
    Left,
}

impl Doubt {
    /// Others are told of it; a weak one is this gateway's own.
    pub(super) fn is_strong(&self) -> bool {
        self.weight >= STRONG
    }

    pub(super) fn new(now: Micros, wait: Micros, weight: u8) -> Doubt {
        Doubt {
            since: now,
            until: now + wait,
            weight,
            asked: 0,
            ask_at: now,
            confirmed: false,
        }
    }
}

impl Member {
    /// One that is in the peer set, and of which nothing is known.
    pub(super) fn unknown() -> Member {
        Member {
            incarnation: 0,
            dead: false,
            left: false,
            doubt: None,
            heard: None,
            returned: None,
            rejoined: None,
            raised: None,
            sent: None,
            peers: None,
            behind: false,
            pressing: false,
        }
    }

    /// The state that is told to others: a weak doubt is this gateway's own.
    pub(super) fn told(&self) -> PeerState {
        match &self.doubt {
            Some(doubt) if !doubt.is_strong() && !self.dead => PeerState::Alive,
            _ => self.state(),
        }
    }

    pub(super) fn state(&self) -> PeerState {
        match (&self.doubt, self.dead) {
            (_, true) => PeerState::Dead,
            (Some(_), false) => PeerState::Suspect,
            (None, false) => PeerState::Alive,
        }
    }

    pub(super) fn is_strongly_doubted(&self) -> bool {
        self.doubt.as_ref().is_some_and(Doubt::is_strong)
    }

    pub(super) fn is_weakly_doubted(&self) -> bool {
        self.doubt.as_ref().is_some_and(|doubt| !doubt.is_strong())
    }

    /// It is dead from now on, and that counts as having been sent on so often.
    pub(super) fn bury(&mut self, sent: u8) {
        (self.doubt, self.dead, self.sent, self.pressing) = (None, true, Some(sent), true);
    }

    /// Whether others are to hear of it soon: a weak doubt has the time to wait for other datagrams.
    pub(super) fn presses(&self) -> bool {
        self.pressing && self.sent.is_some_and(|sent| sent < PRESSING)
    }

    pub(super) fn claim(&self, now: Micros, probe: Micros) -> UpdateStatus {
        match (&self.doubt, self.dead) {
            (_, true) if self.left => UpdateStatus::Left,
            (_, true) => UpdateStatus::Dead,
            (Some(doubt), false) => {
                let tenths = 10 * now.saturating_sub(doubt.since) / probe.max(1);
                UpdateStatus::Suspect(tenths.min(u64::from(MAX_SUSPICION_AGE)) as u8)
            }
            (None, false) => UpdateStatus::Alive,
        }
    }
}

#[cfg(test)]
mod tests;
