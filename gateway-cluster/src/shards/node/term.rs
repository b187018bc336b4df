//! What a leader of leadership knows during one epoch, and the changes of that state that need nothing else.

use super::sending::PLANNING_INTERVAL;
use crate::peers::{peer_id_of, PeerId};
use crate::protocol::Micros;
use crate::shards::consensus::{AcceptorReport, Ballot, LearnedMap, MapId};
use crate::shards::leases::{blocked_ranges, GrantedLeases, RangeSet};
use crate::shards::map::{MapHash, ShardMap};
use crate::shards::wire::{FindingReport, ProposalState};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What the leader is about.
#[derive(Debug)]
pub(super) enum Stage {
    /// Asks what there is.
    Preparing(BTreeMap<PeerId, PromiseReply>),
    /// Lacks maps that it has learned of, and who has them.
    FetchingMaps(LearnedMap, Vec<PeerId>),
    /// Proposes a map.
    Deciding(Box<PendingDecision>),
    /// Nothing is to be decided.
    Idle,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct PromiseReply {
    pub(super) report: AcceptorReport,
    pub(super) had_lease: bool,
    /// What was given before it began is over then.
    pub(super) uncertain_until: Micros,
}

#[derive(Debug)]
pub(super) struct PendingDecision {
    pub(super) map: ShardMap,
    pub(super) id: MapId,
    pub(super) resumed: bool,
    pub(super) accepted: BTreeSet<PeerId>,
    pub(super) refused: BTreeMap<PeerId, Vec<FindingReport>>,
    /// It is this proposal of operators.
    pub(super) proposal: Option<MapHash>,
    pub(super) began: Micros,
}

/// A proposal of operators at the leader.
#[derive(Debug)]
pub(super) struct ReceivedProposal {
    pub(super) hash: MapHash,
    pub(super) map: ShardMap,
    pub(super) state: ProposalState,
    pub(super) findings: Vec<FindingReport>,
}

/// When a gateway is told something next.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PeerSchedule {
    pub(super) request_at: Micros,
    pub(super) requests_sent: u32,
    pub(super) lease_at: Micros,
    pub(super) leases_sent: u32,
}

/// One epoch of this gateway as the leader.
#[derive(Debug)]
pub(super) struct Term {
    pub(super) epoch: u64,
    pub(super) elected: Micros,
    pub(super) attempt: u32,
    pub(super) granted_leases: GrantedLeases,
    pub(super) stage: Stage,
    /// It knows what is in force, and gives leases.
    pub(super) leases_enabled: bool,
    /// Too few remember what they accepted.
    pub(super) recovery: bool,
    pub(super) current: Option<ShardMap>,
    pub(super) previous: Option<ShardMap>,
    /// Ranges that wait, and for whom; as of the last look.
    pub(super) blocked: (RangeSet, Vec<String>),
    pub(super) schedules: BTreeMap<PeerId, PeerSchedule>,
    pub(super) proposals: VecDeque<ReceivedProposal>,
    pub(super) plan_at: Micros,
}

impl Term {
    pub(super) fn ballot(&self) -> Ballot {
        Ballot {
            epoch: self.epoch,
            attempt: self.attempt,
        }
    }

    /// Everybody is asked, and told, from now on.
    pub(super) fn contact_all_now(&mut self, now: Micros) {
        for schedule in self.schedules.values_mut() {
            *schedule = PeerSchedule {
                request_at: now,
                requests_sent: 0,
                lease_at: now,
                leases_sent: 0,
            };
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        matches!(self.stage, Stage::Idle)
    }
}

/// Ranges of the leader's map that wait, and for whom.
pub(super) fn blocked_now(now: Micros, term: &Term) -> (RangeSet, Vec<String>) {
    let Some(current) = &term.current else {
        return Default::default();
    };
    match &term.previous {
        None if now < term.granted_leases.unknown_until() && current.version > 1 => {
            // It does not know who had what before: anybody may.
            (RangeSet::of(current.ranges.len(), |_| true), Vec::new())
        }
        previous => {
            let free = |name: &str| {
                term.granted_leases
                    .is_free(now, peer_id_of(name), current.version)
            };
            let (marks, names) = blocked_ranges(current, previous.as_ref(), free);
            (marks, names.into_iter().map(String::from).collect())
        }
    }
}

/// Whoever has accepted what was proposed is found out, under a ballot in which no more can.
pub(super) fn restart_prepare(now: Micros, term: &mut Term) {
    term.attempt = term.attempt.saturating_add(1);
    term.stage = Stage::Preparing(BTreeMap::new());
    term.plan_at = now + PLANNING_INTERVAL;
    term.contact_all_now(now);
}

pub(super) fn finish_proposal(
    term: &mut Term,
    hash: MapHash,
    state: ProposalState,
    findings: Vec<FindingReport>,
) {
    if let Some(on_proposal) = term
        .proposals
        .iter_mut()
        .find(|on_proposal| on_proposal.hash == hash)
    {
        (on_proposal.state, on_proposal.findings) = (state, findings);
    }
}
