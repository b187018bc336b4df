//! What an owner of the office knows during one term, and the changes of that state that need nothing else.

use super::sending::LOOK;
use crate::engine::Micros;
use crate::names::{id_of, Id};
use crate::shards::decide::{Answer, Ballot, Learned, Named};
use crate::shards::keep::{waiting, Ledger, Marks};
use crate::shards::map::{Hash, Map};
use crate::shards::wire::{State, Told};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What the owner is about.
#[derive(Debug)]
pub(super) enum Stage {
    /// Asks what there is.
    Learning(BTreeMap<Id, Heard>),
    /// Lacks maps that it has learned of, and who has them.
    Gathering(Learned, Vec<Id>),
    /// Proposes a map.
    Deciding(Box<Deciding>),
    /// Nothing is to be decided.
    Resting,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Heard {
    pub(super) answer: Answer,
    pub(super) held: bool,
    /// What was given before it began is over then.
    pub(super) old_at: Micros,
}

#[derive(Debug)]
pub(super) struct Deciding {
    pub(super) map: Map,
    pub(super) named: Named,
    pub(super) finish: bool,
    pub(super) accepted: BTreeSet<Id>,
    pub(super) refused: BTreeMap<Id, Vec<Told>>,
    /// It is this proposal of staff.
    pub(super) offer: Option<Hash>,
    pub(super) began: Micros,
}

/// A proposal of staff at the owner.
#[derive(Debug)]
pub(super) struct Offered {
    pub(super) hash: Hash,
    pub(super) map: Map,
    pub(super) state: State,
    pub(super) findings: Vec<Told>,
}

/// When a door is told something next.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Turn {
    pub(super) ask_at: Micros,
    pub(super) asked: u32,
    pub(super) keep_at: Micros,
    pub(super) kept: u32,
}

/// One term of this door as the owner.
#[derive(Debug)]
pub(super) struct Term {
    pub(super) epoch: u64,
    pub(super) elected: Micros,
    pub(super) attempt: u32,
    pub(super) ledger: Ledger,
    pub(super) stage: Stage,
    /// It knows what is in force, and gives leases.
    pub(super) ruling: bool,
    /// Too few remember what they accepted.
    pub(super) anew: bool,
    pub(super) current: Option<Map>,
    pub(super) previous: Option<Map>,
    /// Ranges that wait, and for whom; as of the last look.
    pub(super) waits: (Marks, Vec<String>),
    pub(super) turns: BTreeMap<Id, Turn>,
    pub(super) offers: VecDeque<Offered>,
    pub(super) look_at: Micros,
}

impl Term {
    pub(super) fn ballot(&self) -> Ballot {
        Ballot {
            epoch: self.epoch,
            attempt: self.attempt,
        }
    }

    /// Everybody is asked, and told, from now on.
    pub(super) fn hurry(&mut self, now: Micros) {
        for turn in self.turns.values_mut() {
            *turn = Turn {
                ask_at: now,
                asked: 0,
                keep_at: now,
                kept: 0,
            };
        }
    }

    pub(super) fn is_settled(&self) -> bool {
        matches!(self.stage, Stage::Resting)
    }
}

/// Ranges of the owner's map that wait, and for whom.
pub(super) fn waits(now: Micros, term: &Term) -> (Marks, Vec<String>) {
    let Some(current) = &term.current else {
        return Default::default();
    };
    match &term.previous {
        None if now < term.ledger.unknown_until() && current.version > 1 => {
            // It does not know who had what before: anybody may.
            (Marks::of(current.ranges.len(), |_| true), Vec::new())
        }
        previous => {
            let free = |name: &str| term.ledger.is_free(now, id_of(name), current.version);
            let (marks, names) = waiting(current, previous.as_ref(), free);
            (marks, names.into_iter().map(String::from).collect())
        }
    }
}

/// Whoever has accepted what was proposed is found out, under a ballot in which no more can.
pub(super) fn ask_anew(now: Micros, term: &mut Term) {
    term.attempt = term.attempt.saturating_add(1);
    term.stage = Stage::Learning(BTreeMap::new());
    term.look_at = now + LOOK;
    term.hurry(now);
}

pub(super) fn finish_offer(term: &mut Term, hash: Hash, state: State, findings: Vec<Told>) {
    if let Some(offered) = term.offers.iter_mut().find(|offered| offered.hash == hash) {
        (offered.state, offered.findings) = (state, findings);
    }
}
