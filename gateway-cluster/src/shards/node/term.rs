//! What a leader of leadership knows during one epoch, and the changes of that state that need nothing else.

use super::sending::LOOK;
use crate::peers::{peer_id_of, PeerId};
use crate::protocol::Micros;
use crate::shards::consensus::{AcceptorReport, Ballot, LearnedMap, MapId};
use crate::shards::leases::{waiting, GrantedLeases, RangeSet};
use crate::shards::map::{MapHash, ShardMap};
use crate::shards::wire::{FindingReport, ProposalState};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What the leader is about.
#[derive(Debug)]
pub(super) enum Stage {
    /// Asks what there is.
    Learning(BTreeMap<PeerId, Heard>),
    /// Lacks maps that it has learned of, and who has them.
    Gathering(LearnedMap, Vec<PeerId>),
    /// Proposes a map.
    Deciding(Box<Deciding>),
    /// Nothing is to be decided.
    Resting,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Heard {
    pub(super) answer: AcceptorReport,
    pub(super) held: bool,
    /// What was given before it began is over then.
    pub(super) old_at: Micros,
}

#[derive(Debug)]
pub(super) struct Deciding {
    pub(super) map: ShardMap,
    pub(super) named: MapId,
    pub(super) finish: bool,
    pub(super) accepted: BTreeSet<PeerId>,
    pub(super) refused: BTreeMap<PeerId, Vec<FindingReport>>,
    /// It is this proposal of operators.
    pub(super) offer: Option<MapHash>,
    pub(super) began: Micros,
}

/// A proposal of operators at the leader.
#[derive(Debug)]
pub(super) struct Offered {
    pub(super) hash: MapHash,
    pub(super) map: ShardMap,
    pub(super) state: ProposalState,
    pub(super) findings: Vec<FindingReport>,
}

/// When a gateway is told something next.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Turn {
    pub(super) ask_at: Micros,
    pub(super) asked: u32,
    pub(super) keep_at: Micros,
    pub(super) kept: u32,
}

/// One epoch of this gateway as the leader.
#[derive(Debug)]
pub(super) struct Term {
    pub(super) epoch: u64,
    pub(super) elected: Micros,
    pub(super) attempt: u32,
    pub(super) ledger: GrantedLeases,
    pub(super) stage: Stage,
    /// It knows what is in force, and gives leases.
    pub(super) ruling: bool,
    /// Too few remember what they accepted.
    pub(super) anew: bool,
    pub(super) current: Option<ShardMap>,
    pub(super) previous: Option<ShardMap>,
    /// Ranges that wait, and for whom; as of the last look.
    pub(super) waits: (RangeSet, Vec<String>),
    pub(super) turns: BTreeMap<PeerId, Turn>,
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

/// Ranges of the leader's map that wait, and for whom.
pub(super) fn waits(now: Micros, term: &Term) -> (RangeSet, Vec<String>) {
    let Some(current) = &term.current else {
        return Default::default();
    };
    match &term.previous {
        None if now < term.ledger.unknown_until() && current.version > 1 => {
            // It does not know who had what before: anybody may.
            (RangeSet::of(current.ranges.len(), |_| true), Vec::new())
        }
        previous => {
            let free = |name: &str| term.ledger.is_free(now, peer_id_of(name), current.version);
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

pub(super) fn finish_offer(
    term: &mut Term,
    hash: MapHash,
    state: ProposalState,
    findings: Vec<FindingReport>,
) {
    if let Some(offered) = term.offers.iter_mut().find(|offered| offered.hash == hash) {
        (offered.state, offered.findings) = (state, findings);
    }
}
