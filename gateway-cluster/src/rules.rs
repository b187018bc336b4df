//! The order of claims, by itself: which claim of a door goes before which, and what a door makes of claims of itself.
//! The view goes by these functions, and the model check (`tests/model.rs`) runs them through all orders of events.

use crate::wire::{Claim, Incarnation};

/// What is held of a door, as far as the order of claims goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Held {
    /// In which incarnation.
    pub incarnation: Incarnation,
    /// It is gone.
    pub dead: bool,
}

/// What a claim is against what is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weight {
    /// Older than what is held: whoever made it is to be told.
    Behind,
    /// Of a later incarnation: what was held is over.
    Later {
        /// Of the same life, and not of one that began since.
        same_life: bool,
    },
    /// Of the incarnation that is held.
    Equal,
}

/// The life of an incarnation.
pub fn life(incarnation: Incarnation) -> u64 {
    incarnation >> 16
}

/// Where a claim of an incarnation stands.
pub fn weigh(held: Held, incarnation: Incarnation) -> Weight {
    match incarnation.cmp(&held.incarnation) {
        std::cmp::Ordering::Less => Weight::Behind,
        std::cmp::Ordering::Equal => Weight::Equal,
        std::cmp::Ordering::Greater => Weight::Later {
            same_life: life(incarnation) == life(held.incarnation),
        },
    }
}

/// What is held once a claim has been taken in that is no doubt.
pub fn take(held: Held, incarnation: Incarnation, claim: Claim) -> Held {
    let gone = matches!(claim, Claim::Dead | Claim::Left);
    match weigh(held, incarnation) {
        Weight::Behind => held,
        // Who was gone and is claimed to be so again, in a later incarnation, never came back here. Who lives is gone
        // only after a doubt of this door's own, whoever claims it.
        Weight::Later { .. } => Held {
            incarnation,
            dead: held.dead && gone,
        },
        Weight::Equal => held,
    }
}

/// The incarnation that another door gives one that it held for gone, and that a third one speaks for: the verdict is
/// over, and the life stays.
pub fn raised(incarnation: Incarnation) -> Incarnation {
    incarnation + u64::from(incarnation as u16 != u16::MAX)
}

/// What a door makes of a claim of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Own {
    /// Nothing: it is old, or true.
    Keep,
    /// Others have raised the incarnation in its stead: it is taken over.
    Adopt(Incarnation),
    /// It is refuted with a higher incarnation.
    Outbid(Incarnation),
    /// A life that was started later has the name: this one is silent until somebody doubts the name or holds it for
    /// gone.
    Superseded,
    /// It was silent for a later life, and somebody holds the name for gone, if in an older incarnation: it speaks
    /// again. Where a later life does live, it is told so once more.
    Resume,
}

/// What a door of this incarnation makes of a claim of itself. `young` is one that was started not long ago: if its
/// wall clock was set back, claims of the life before it look later. `silent` is one that was superseded.
pub fn of_self(
    own: Incarnation,
    young: bool,
    silent: bool,
    incarnation: Incarnation,
    claim: Claim,
) -> Own {
    if silent && claim != Claim::Alive && incarnation < own {
        return Own::Resume;
    }
    if incarnation < own || incarnation == own && claim == Claim::Alive {
        return Own::Keep;
    }
    match claim {
        Claim::Alive if life(incarnation) == life(own) => Own::Adopt(incarnation),
        Claim::Alive if !young => Own::Superseded,
        // Whoever is doubted or gone, it is not this process.
        _ => Own::Outbid(incarnation + 1),
    }
}
