//! Precedence of SWIM's membership updates: which update about a peer overrides which, and how a gateway reacts to an
//! update about itself (SWIM, section 4.2: incarnation numbers and refutation).
//!
//! These are pure functions. [`crate::membership`] applies them, and the model check (`tests/precedence_model.rs`) runs the same
//! functions through all orders of events. Invariants that it checks: the incarnation known of a peer never decreases, and
//! a running gateway can always refute the verdict that it is dead.

use crate::wire::{Incarnation, UpdateStatus};

/// The part of a peer's state that decides about precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct KnownUpdate {
    /// The highest known incarnation of the peer.
    pub incarnation: Incarnation,
    /// The peer is dead or has left.
    pub dead: bool,
}

/// The relation of an update to the known state of its peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precedence {
    /// The update's incarnation is older; its sender should receive the known one.
    Older,
    /// The update's incarnation is newer and overrides the known state.
    Newer {
        /// The incarnation belongs to the same process, which refuted a suspicion; not to a restarted one.
        same_process: bool,
    },
    /// The update is about the known incarnation.
    Equal,
}

/// The start time of the process with this incarnation, in milliseconds since 1970.
pub fn started_at_ms(incarnation: Incarnation) -> u64 {
    incarnation >> 16
}

/// The precedence of an update with this incarnation.
pub fn precedence_of(known: KnownUpdate, incarnation: Incarnation) -> Precedence {
    match incarnation.cmp(&known.incarnation) {
        std::cmp::Ordering::Less => Precedence::Older,
        std::cmp::Ordering::Equal => Precedence::Equal,
        std::cmp::Ordering::Greater => Precedence::Newer {
            same_process: started_at_ms(incarnation) == started_at_ms(known.incarnation),
        },
    }
}

/// The known state after an update that is not a suspicion. A peer that is alive is declared dead only by this gateway's
/// own suspicion, whichever gateway reports the death.
pub fn apply_update(
    known: KnownUpdate,
    incarnation: Incarnation,
    status: UpdateStatus,
) -> KnownUpdate {
    let dead = matches!(status, UpdateStatus::Dead | UpdateStatus::Left);
    match precedence_of(known, incarnation) {
        Precedence::Older => known,
        // A dead peer stays dead if the update reports the death of a newer incarnation: this gateway never saw that
        // incarnation alive. Otherwise the newer incarnation is alive until a suspicion of this gateway expires.
        Precedence::Newer { .. } => KnownUpdate {
            incarnation,
            dead: known.dead && dead,
        },
        Precedence::Equal => known,
    }
}

/// The incarnation that a gateway assigns to a peer which it considered dead and a third gateway considers alive: it
/// overrides the verdict, and the process stays the same. The refutation count is not incremented past its maximum.
pub fn with_next_refutation(incarnation: Incarnation) -> Incarnation {
    incarnation + u64::from(incarnation as u16 != u16::MAX)
}

/// The reaction of a gateway to an update about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SelfUpdateAction {
    /// None: the update is old or correct.
    Ignore,
    /// Adopt this incarnation, which others raised on behalf of this process.
    Adopt(Incarnation),
    /// Refute the update with this higher incarnation.
    Refute(Incarnation),
    /// A process that started later has the same name: this one sends nothing until a gateway suspects the name or
    /// considers it dead.
    Superseded,
    /// This process was superseded, and a gateway suspects the name or considers it dead in an older incarnation: send
    /// again. If the later process does run, this one is superseded once more.
    Resume,
}

/// The reaction of a gateway with incarnation `own` to an update about itself. A process that was started recently refutes
/// an update with a later incarnation: if its wall clock was set back, updates about its predecessor look newer.
pub fn action_on_self_update(
    own: Incarnation,
    recently_started: bool,
    superseded: bool,
    incarnation: Incarnation,
    status: UpdateStatus,
) -> SelfUpdateAction {
    if superseded && status != UpdateStatus::Alive && incarnation < own {
        return SelfUpdateAction::Resume;
    }
    if incarnation < own || incarnation == own && status == UpdateStatus::Alive {
        return SelfUpdateAction::Ignore;
    }
    match status {
        UpdateStatus::Alive if started_at_ms(incarnation) == started_at_ms(own) => {
            SelfUpdateAction::Adopt(incarnation)
        }
        UpdateStatus::Alive if !recently_started => SelfUpdateAction::Superseded,
        // The update is about another process or another time: this one is running.
        _ => SelfUpdateAction::Refute(incarnation + 1),
    }
}
