//! The leader's state during one epoch, and the transitions that need nothing else.
//!
//! Owned by the node while it is the leader; dropped when its epoch ends.

use super::sending::PLANNING_INTERVAL;
use crate::peers::{peer_id_of, PeerId};
use crate::protocol::Micros;
use crate::shards::consensus::{AcceptorReport, Ballot, LearnedMap, MapId};
use crate::shards::leases::{blocked_ranges, BlockedRanges, GrantedLeases, RangeSet};
use crate::shards::map::{MapHash, ShardMap};
use crate::shards::wire::{FindingReport, ProposalState};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Result of one step of the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    /// The stage changed; another step may be possible at once.
    Advanced,
    /// The stage waits for replies, maps or time.
    Waiting,
}

/// Stage of the leader's current decision.
#[derive(Debug)]
pub(super) enum Stage {
    /// Phase one: collects promises.
    Preparing(BTreeMap<PeerId, PromiseReply>),
    /// Fetches the maps that phase one named, from the peers that reported one.
    FetchingMaps(LearnedMap, Vec<PeerId>),
    /// Phase two: collects votes for a map.
    Deciding(Box<PendingDecision>),
    /// No decision is pending.
    Idle,
}

/// Reply to phase one.
#[derive(Debug, Clone, Copy)]
pub(super) struct PromiseReply {
    pub(super) report: AcceptorReport,
    /// The peer has had a shard lease in this incarnation.
    pub(super) had_lease: bool,
    /// Until then a lease that was granted before this incarnation started may still be valid.
    pub(super) uncertain_until: Micros,
}

impl PromiseReply {
    /// Whether the peer has neither a map nor a lease, and no earlier incarnation can have a valid lease.
    pub(super) fn has_no_state(&self, now: Micros) -> bool {
        self.report.in_force.is_none()
            && self.report.accepted.is_none()
            && !self.had_lease
            && now >= self.uncertain_until
    }
}

/// Votes of phase two for one map.
#[derive(Debug)]
pub(super) struct PendingDecision {
    pub(super) map: ShardMap,
    pub(super) id: MapId,
    /// A majority may have accepted the map under an earlier ballot.
    pub(super) resumed: bool,
    pub(super) accepted: BTreeSet<PeerId>,
    pub(super) rejected: BTreeMap<PeerId, Vec<FindingReport>>,
    /// Hash of the operators' proposal that the map comes from.
    pub(super) proposal: Option<MapHash>,
    pub(super) started_at: Micros,
}

impl PendingDecision {
    /// Whether a peer has accepted or rejected the map.
    pub(super) fn has_vote_of(&self, peer: PeerId) -> bool {
        self.accepted.contains(&peer) || self.rejected.contains_key(&peer)
    }
}

/// An operators' proposal that the leader has received.
#[derive(Debug)]
pub(super) struct ReceivedProposal {
    pub(super) hash: MapHash,
    pub(super) map: ShardMap,
    pub(super) state: ProposalState,
    pub(super) findings: Vec<FindingReport>,
}

/// When a peer gets its next request and its next lease.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PeerSchedule {
    pub(super) request_at: Micros,
    /// Requests sent since the last restart of the schedule.
    pub(super) requests_sent: u32,
    pub(super) lease_at: Micros,
    /// Leases sent since the last restart of the schedule.
    pub(super) leases_sent: u32,
}

/// State of this node as the leader of one epoch.
#[derive(Debug)]
pub(super) struct Term {
    pub(super) epoch: u64,
    pub(super) elected_at: Micros,
    /// Attempt number of the ballot within the epoch.
    pub(super) attempt: u32,
    pub(super) granted_leases: GrantedLeases,
    pub(super) stage: Stage,
    /// The map in force is known, and leases are granted for it.
    pub(super) leases_enabled: bool,
    /// Too few acceptors have their history: the decision rebuilds it from any majority.
    pub(super) recovery: bool,
    /// The map in force.
    pub(super) current: Option<ShardMap>,
    /// The map before the one in force.
    pub(super) previous: Option<ShardMap>,
    /// Ranges of the map in force that are blocked, as of the last update.
    pub(super) blocked: BlockedRanges,
    pub(super) schedules: BTreeMap<PeerId, PeerSchedule>,
    pub(super) proposals: VecDeque<ReceivedProposal>,
    /// When the next map is planned.
    pub(super) plan_at: Micros,
}

impl Term {
    /// State of a leader that was just elected: phase one starts at once.
    pub(super) fn new(now: Micros, epoch: u64, granted_leases: GrantedLeases) -> Term {
        Term {
            epoch,
            elected_at: now,
            attempt: 0,
            granted_leases,
            stage: Stage::Preparing(BTreeMap::new()),
            leases_enabled: false,
            recovery: false,
            current: None,
            previous: None,
            blocked: BlockedRanges::default(),
            schedules: BTreeMap::new(),
            proposals: VecDeque::new(),
            plan_at: now,
        }
    }

    /// The ballot of the current decision.
    pub(super) fn ballot(&self) -> Ballot {
        Ballot {
            epoch: self.epoch,
            attempt: self.attempt,
        }
    }

    /// Restarts all schedules: each peer gets its request and its lease now.
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

    /// Whether no decision is pending.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.stage, Stage::Idle)
    }
}

/// Ranges of the leader's map that are blocked by their previous owners at this moment.
pub(super) fn blocked_now(now: Micros, term: &Term) -> BlockedRanges {
    let Some(current) = &term.current else {
        return BlockedRanges::default();
    };
    match &term.previous {
        // The previous owners are not known: any gateway may still have a lease.
        None if now < term.granted_leases.unknown_until() && current.version > 1 => BlockedRanges {
            ranges: RangeSet::of(current.ranges.len(), |_| true),
            owners: Vec::new(),
        },
        previous => {
            let is_free = |name: &str| {
                term.granted_leases
                    .is_free(now, peer_id_of(name), current.version)
            };
            blocked_ranges(current, previous.as_ref(), is_free)
        }
    }
}

/// Returns to phase one under the next ballot, in which no acceptor can accept the last proposal any more.
pub(super) fn restart_prepare(now: Micros, term: &mut Term) {
    term.attempt = term.attempt.saturating_add(1);
    term.stage = Stage::Preparing(BTreeMap::new());
    term.plan_at = now + PLANNING_INTERVAL;
    term.contact_all_now(now);
}

/// Records the result of an operators' proposal.
pub(super) fn finish_proposal(
    term: &mut Term,
    hash: MapHash,
    state: ProposalState,
    findings: Vec<FindingReport>,
) {
    if let Some(proposal) = term
        .proposals
        .iter_mut()
        .find(|proposal| proposal.hash == hash)
    {
        (proposal.state, proposal.findings) = (state, findings);
    }
}
