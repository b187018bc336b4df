//! The order of claims, by itself: which claim of a gateway goes before which, and what a gateway makes of claims of itself.
//! The view goes by these functions, and the model check (`tests/model.rs`) runs them through all orders of events.

use crate::wire::{Incarnation, UpdateStatus};

/// What is held of a gateway, as far as the order of claims goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct KnownUpdate {
    /// In which incarnation.
    pub incarnation: Incarnation,
    /// It is gone.
    pub dead: bool,
}

/// What a claim is against what is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precedence {
    /// Older than what is held: whoever made it is to be told.
    Older,
    /// Of a later incarnation: what was held is over.
    Newer {
        /// Of the same life, and not of one that began since.
        same_process: bool,
    },
    /// Of the incarnation that is held.
    Equal,
}

/// The life of an incarnation.
pub fn started_at_ms(incarnation: Incarnation) -> u64 {
    incarnation >> 16
}

/// Where a claim of an incarnation stands.
pub fn precedence_of(known: KnownUpdate, incarnation: Incarnation) -> Precedence {
    match incarnation.cmp(&known.incarnation) {
        std::cmp::Ordering::Less => Precedence::Older,
        std::cmp::Ordering::Equal => Precedence::Equal,
        std::cmp::Ordering::Greater => Precedence::Newer {
            same_process: started_at_ms(incarnation) == started_at_ms(known.incarnation),
        },
    }
}

/// What is held once a claim has been taken in that is no doubt.
pub fn apply_update(
    known: KnownUpdate,
    incarnation: Incarnation,
    claim: UpdateStatus,
) -> KnownUpdate {
    let dead = matches!(claim, UpdateStatus::Dead | UpdateStatus::Left);
    match precedence_of(known, incarnation) {
        Precedence::Older => known,
        // Who was gone and is claimed to be so again, in a later incarnation, never came back here. Who lives is gone
        // only after a doubt of this gateway's own, whoever claims it.
        Precedence::Newer { .. } => KnownUpdate {
            incarnation,
            dead: known.dead && dead,
        },
        Precedence::Equal => known,
    }
}

/// The incarnation that another gateway gives one that it held for gone, and that a third one speaks for: the verdict is
/// over, and the life stays.
pub fn with_next_refutation(incarnation: Incarnation) -> Incarnation {
    incarnation + u64::from(incarnation as u16 != u16::MAX)
}

/// What a gateway makes of a claim of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SelfUpdateAction {
    /// Nothing: it is old, or true.
    Ignore,
    /// Others have raised the incarnation in its stead: it is taken over.
    Adopt(Incarnation),
    /// It is refuted with a higher incarnation.
    Refute(Incarnation),
    /// A life that was started later has the name: this one is silent until somebody doubts the name or holds it for
    /// gone.
    Superseded,
    /// It was silent for a later life, and somebody holds the name for gone, if in an older incarnation: it speaks
    /// again. Where a later life does live, it is told so once more.
    Resume,
}

/// What a gateway of this incarnation makes of a claim of itself. `young` is one that was started not long ago: if its
/// wall clock was set back, claims of the life before it look later. `silent` is one that was superseded.
pub fn action_on_self_update(
    own: Incarnation,
    recently_started: bool,
    superseded: bool,
    incarnation: Incarnation,
    claim: UpdateStatus,
) -> SelfUpdateAction {
    if superseded && claim != UpdateStatus::Alive && incarnation < own {
        return SelfUpdateAction::Resume;
    }
    if incarnation < own || incarnation == own && claim == UpdateStatus::Alive {
        return SelfUpdateAction::Ignore;
    }
    match claim {
        UpdateStatus::Alive if started_at_ms(incarnation) == started_at_ms(own) => {
            SelfUpdateAction::Adopt(incarnation)
        }
        UpdateStatus::Alive if !recently_started => SelfUpdateAction::Superseded,
        // Whoever is doubted or gone, it is not this process.
        _ => SelfUpdateAction::Refute(incarnation + 1),
    }
}
