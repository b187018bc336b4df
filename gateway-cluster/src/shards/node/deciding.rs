//! The leader's side of a decision: phase one (prepare), fetching of the maps it learned of, phase two (propose), and
//! the start of leases for a decided map.
//!
//! Invariant: a leader grants no lease before it knows the map in force, and before any map that a majority may have
//! accepted under an earlier leader is decided. Uses [`crate::shards::consensus`] for the rules of the acceptors and of
//! learning; called by the node after each input.

use super::acceptance::Vote;
use super::term::{
    finish_proposal, restart_prepare, PeerSchedule, PendingDecision, Progress, PromiseReply, Stage,
    Term,
};
use super::{map_id, ShardMapEvent, ShardMapNode};
use crate::leadership::election::LeaderElection;
use crate::leadership::longer;
use crate::peers::{peer_id_of, PeerId};
use crate::protocol::{Micros, Transmit};
use crate::shards::consensus::{learn, AcceptorReport, LearnedMap};
use crate::shards::map::{MapHash, ShardMap};
use crate::shards::wire::ProposalState;
use rand::seq::IndexedRandom;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of stage changes for one input: prepared, fetched, decided, idle, and the next proposal.
const MAX_STEPS: usize = 6;

impl ShardMapNode {
    /// Advances the leader's stage as far as it can go now, then sends the requests and leases that are due.
    pub(super) fn run_leader(
        &mut self,
        now: Micros,
        term: &mut Term,
        election: &LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        if election.epoch(now) != Some(term.epoch) {
            return;
        }
        for name in election.names().into_iter().filter(|name| *name != self.me) {
            term.schedules.entry(name).or_insert(PeerSchedule {
                request_at: now,
                lease_at: now,
                ..PeerSchedule::default()
            });
        }
        for _ in 0..MAX_STEPS {
            if self.advance_stage(now, term, election, sends) == Progress::Waiting {
                break;
            }
        }
        self.update_blocked_ranges(now, term);
        self.grant_own_lease(now, term);
        self.send_due_requests(now, term, election, sends);
    }

    /// Runs one step of the current stage.
    fn advance_stage(
        &mut self,
        now: Micros,
        term: &mut Term,
        election: &LeaderElection,
        sends: &mut Vec<Transmit>,
    ) -> Progress {
        match &term.stage {
            Stage::Preparing(_) => self.maybe_finish_prepare(now, term, election),
            Stage::FetchingMaps(learned, sources) => {
                let (learned, sources) = (*learned, sources.clone());
                self.maybe_finish_fetching(now, term, learned, &sources, election, sends)
            }
            Stage::Deciding(_) => self.check_votes(now, term, election),
            Stage::Idle => self.maybe_propose_next(now, term, election),
        }
    }

    /// Phase one: adds this node's own promise, and ends the phase once the promises are sufficient.
    fn maybe_finish_prepare(
        &mut self,
        now: Micros,
        term: &mut Term,
        election: &LeaderElection,
    ) -> Progress {
        let Some(report) = self.acceptor.promise(term.ballot()) else {
            return Progress::Waiting;
        };
        let own = PromiseReply {
            report,
            had_lease: self.local_shards.had_lease(),
            uncertain_until: self.started_at + longer(self.lease_duration),
        };
        if own.had_lease {
            term.granted_leases
                .record_prior_lease(self.me, self.incarnation);
        }
        let Stage::Preparing(replies) = &mut term.stage else {
            return Progress::Waiting;
        };
        replies.insert(self.me, own);
        let replies = replies.clone();
        let Some(learned) = learn_or_recover(now, term, &replies, election) else {
            return Progress::Waiting;
        };
        let sources = replies
            .iter()
            .filter(|(name, _)| **name != self.me)
            .filter(|(_, reply)| reply.report.in_force.is_some() || reply.report.accepted.is_some())
            .map(|(name, _)| *name)
            .collect();
        term.stage = Stage::FetchingMaps(learned, sources);
        Progress::Advanced
    }

    /// Fetches the maps that phase one named. Once they are here, proposes the unfinished one, or takes over the map in
    /// force, or proposes the first map of a history.
    fn maybe_finish_fetching(
        &mut self,
        now: Micros,
        term: &mut Term,
        learned: LearnedMap,
        sources: &[PeerId],
        election: &LeaderElection,
        sends: &mut Vec<Transmit>,
    ) -> Progress {
        let missing = [learned.in_force, learned.unfinished]
            .into_iter()
            .flatten()
            .find(|map| self.find(map.hash).is_none());
        if let Some(missing) = missing {
            if let Some(from) = sources.choose(&mut self.rng).copied() {
                self.start_fetch(now, missing.hash, (from, 0), election, sends);
            }
            return Progress::Waiting;
        }
        if !term.leases_enabled {
            term.current = learned
                .in_force
                .and_then(|map| self.find(map.hash))
                .cloned();
            let parent = term.current.as_ref().map(|map| map.parent);
            term.previous = parent.and_then(|parent| self.find(parent)).cloned();
        }
        term.contact_all_now(now);
        let unfinished = learned.unfinished.and_then(|map| self.find(map.hash));
        if let Some(map) = unfinished.cloned() {
            if map.version == 1 {
                // A first map has no predecessor, and acceptors without history vote for it, as they did in the earlier
                // round.
                (term.current, term.previous, term.recovery) = (None, None, true);
            }
            self.propose_map(now, term, map, true, None);
            return Progress::Advanced;
        }
        if term.current.is_some() {
            (term.leases_enabled, term.recovery, term.stage) = (true, false, Stage::Idle);
            return Progress::Advanced;
        }
        let first = ShardMap::first(self.cluster.living(), self.count, term.epoch, &self.limits);
        let Some(first) = first else {
            return Progress::Waiting;
        };
        self.propose_map(now, term, first, false, None);
        Progress::Advanced
    }

    /// Phase two: adds this node's own vote, and ends the phase when a majority has accepted, when a majority can no
    /// longer accept, or when the votes time out.
    fn check_votes(&mut self, now: Micros, term: &mut Term, election: &LeaderElection) -> Progress {
        let (ballot, recovery) = (term.ballot(), term.recovery);
        let Stage::Deciding(decision) = &mut term.stage else {
            return Progress::Waiting;
        };
        if !decision.has_vote_of(self.me) {
            let map = decision.map.clone();
            match self.accept(ballot, decision.id, &map, decision.resumed, recovery) {
                Vote::Accepted => {
                    decision.accepted.insert(self.me);
                }
                Vote::Rejected(findings) => {
                    decision.rejected.insert(self.me, findings);
                }
                Vote::Abstained => {}
            }
        }
        if election.is_majority(|name| decision.accepted.contains(&name)) {
            self.on_decided(now, term);
            return Progress::Advanced;
        }
        let can_be_decided = election.is_majority(|name| !decision.rejected.contains_key(&name));
        if can_be_decided && now < decision.started_at + self.lease_duration {
            return Progress::Waiting;
        }
        if can_be_decided {
            // The missing acceptors do not answer, or have restarted and do not count before they learn the decided
            // map. A new ballot finds out which.
            restart_prepare(now, term);
            return Progress::Waiting;
        }
        let findings = decision
            .rejected
            .values()
            .next()
            .cloned()
            .unwrap_or_default();
        let proposal = decision.proposal;
        let text = findings
            .first()
            .map_or_else(String::new, |finding| finding.text.clone());
        self.record_event(ShardMapEvent::Refused(text));
        if let Some(proposal) = proposal {
            finish_proposal(term, proposal, ProposalState::Refused, findings);
        }
        // A minority may have accepted the rejected map. As for any ballot, the next one has to learn of that before
        // another map is proposed.
        restart_prepare(now, term);
        Progress::Waiting
    }

    /// Starts phase two for a map. `resumed` is set if a majority may have accepted it under an earlier ballot;
    /// `proposal` is the hash of the operators' proposal that it comes from.
    pub(super) fn propose_map(
        &mut self,
        now: Micros,
        term: &mut Term,
        map: ShardMap,
        resumed: bool,
        proposal: Option<MapHash>,
    ) {
        let id = map_id(&map);
        term.stage = Stage::Deciding(Box::new(PendingDecision {
            map,
            id,
            resumed,
            accepted: BTreeSet::new(),
            rejected: BTreeMap::new(),
            proposal,
            started_at: now,
        }));
        for schedule in term.schedules.values_mut() {
            (schedule.request_at, schedule.requests_sent) = (now, 0);
        }
    }

    /// A majority has accepted the proposed map: it becomes the map in force, and leases are granted for it.
    fn on_decided(&mut self, now: Micros, term: &mut Term) {
        let Stage::Deciding(decision) = std::mem::replace(&mut term.stage, Stage::Idle) else {
            return;
        };
        let PendingDecision { map, proposal, .. } = *decision;
        self.cache_map(map.clone());
        term.previous = term.current.replace(map);
        (term.leases_enabled, term.recovery, term.plan_at) = (true, false, now);
        if let Some(proposal) = proposal {
            finish_proposal(term, proposal, ProposalState::InForce, Vec::new());
        }
        if let Some(local) = &mut self.local_proposal {
            local.retry_at = local.retry_at.min(now);
        }
        // Previous owners come first: their keys are blocked until they acknowledge the new map.
        term.contact_all_now(now);
        let previous_ranges = term.previous.iter().flat_map(|map| &map.ranges);
        let previous_owners: BTreeSet<PeerId> = previous_ranges
            .map(|range| peer_id_of(&range.owner))
            .collect();
        for (name, schedule) in &mut term.schedules {
            schedule.lease_at = now - u64::from(previous_owners.contains(name)).min(now);
        }
    }
}

/// Evaluates the promises of phase one. If too few acceptors have their history, the history is rebuilt from any
/// majority, which is safe once no lease of an earlier leader can be valid: all of them have expired, or every peer
/// reports that it has neither a map nor a lease.
fn learn_or_recover(
    now: Micros,
    term: &mut Term,
    replies: &BTreeMap<PeerId, PromiseReply>,
    election: &LeaderElection,
) -> Option<LearnedMap> {
    let reports: BTreeMap<PeerId, AcceptorReport> = replies
        .iter()
        .map(|(name, reply)| (*name, reply.report))
        .collect();
    let is_majority = |has: &dyn Fn(PeerId) -> bool| election.is_majority(has);
    let learned = learn(&reports, false, is_majority);
    term.recovery = learned.is_none();
    if learned.is_some() {
        return learned;
    }
    let no_peer_has_state = election.names().iter().all(|name| {
        replies
            .get(name)
            .is_some_and(|reply| reply.has_no_state(now))
    });
    if !no_peer_has_state && now < term.granted_leases.unknown_until() {
        return None;
    }
    let learned = learn(&reports, true, is_majority)?;
    if no_peer_has_state {
        term.granted_leases.expire_unknown(now);
    }
    Some(learned)
}
