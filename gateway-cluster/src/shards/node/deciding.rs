//! How a leader finds out what there is and has a map decided, step by step.

use super::term::{
    finish_proposal, restart_prepare, PeerSchedule, PendingDecision, PromiseReply, Stage, Term,
};
use super::{map_id, ShardMapEvent, ShardMapNode};
use crate::leadership::election::LeaderElection;
use crate::leadership::longer;
use crate::peers::{peer_id_of, PeerId};
use crate::protocol::{Micros, Transmit};
use crate::shards::consensus::{learn, AcceptorReport};
use crate::shards::map::{MapHash, ShardMap};
use crate::shards::wire::ProposalState;
use rand::seq::IndexedRandom;
use std::collections::{BTreeMap, BTreeSet};

impl ShardMapNode {
    /// The leader goes on as far as it can.
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
        // Each step leads to another at most a few times: learned, gathered, decided, and what comes next.
        for _ in 0..6 {
            if !self.advance_stage(now, term, election, sends) {
                break;
            }
        }
        self.update_blocked_ranges(now, term);
        self.grant_own_lease(now, term);
        self.send_due_requests(now, term, election, sends);
    }

    /// One step of the leader; whether there may be another at once.
    fn advance_stage(
        &mut self,
        now: Micros,
        term: &mut Term,
        election: &LeaderElection,
        sends: &mut Vec<Transmit>,
    ) -> bool {
        let ballot = term.ballot();
        match &mut term.stage {
            Stage::Preparing(replies) => {
                let Some(report) = self.acceptor.promise(ballot) else {
                    return false;
                };
                let uncertain_until = self.started_at + longer(self.lease_duration);
                let own = PromiseReply {
                    report,
                    had_lease: self.local_shards.had_lease(),
                    uncertain_until,
                };
                if own.had_lease {
                    term.granted_leases
                        .record_prior_lease(self.me, self.incarnation);
                }
                replies.insert(self.me, own);
                let plain: BTreeMap<PeerId, AcceptorReport> = replies
                    .iter()
                    .map(|(name, reply)| (*name, reply.report))
                    .collect();
                let is_majority = |has: &dyn Fn(PeerId) -> bool| election.is_majority(has);
                let learned = learn(&plain, false, is_majority);
                // Where too few remember, it is safe to go on once nobody can keep anything by what was before: all
                // leases are over, or all say that they hold nothing.
                let nothing = |reply: &PromiseReply| {
                    let AcceptorReport {
                        in_force, accepted, ..
                    } = reply.report;
                    in_force.is_none()
                        && accepted.is_none()
                        && !reply.had_lease
                        && now >= reply.uncertain_until
                };
                let empty = election
                    .names()
                    .iter()
                    .all(|name| replies.get(name).is_some_and(nothing));
                let is_over = now >= term.granted_leases.unknown_until();
                term.recovery = learned.is_none();
                let learned = match learned {
                    Some(learned) => learned,
                    None if empty || is_over => {
                        let Some(learned) = learn(&plain, true, is_majority) else {
                            return false;
                        };
                        if empty {
                            term.granted_leases.expire_unknown(now);
                        }
                        learned
                    }
                    None => return false,
                };
                let sources = replies
                    .iter()
                    .filter(|(name, _)| **name != self.me)
                    .filter(|(_, reply)| {
                        reply.report.in_force.is_some() || reply.report.accepted.is_some()
                    })
                    .map(|(name, _)| *name)
                    .collect();
                term.stage = Stage::FetchingMaps(learned, sources);
                true
            }
            Stage::FetchingMaps(learned, sources) => {
                let (learned, sources) = (*learned, sources.clone());
                let wanted = [learned.in_force, learned.unfinished];
                let missing = wanted
                    .into_iter()
                    .flatten()
                    .find(|map| self.find(map.hash).is_none());
                if let Some(missing) = missing {
                    if let Some(from) = sources.choose(&mut self.rng).copied() {
                        self.start_fetch(now, missing.hash, (from, 0), election, sends);
                    }
                    return false;
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
                if let Some(map) = learned
                    .unfinished
                    .and_then(|map| self.find(map.hash))
                    .cloned()
                {
                    if map.version == 1 {
                        // It begins a history: it has no map before it, and each gateway counts as it did then.
                        (term.current, term.previous, term.recovery) = (None, None, true);
                    }
                    self.propose_map(now, term, map, true, None);
                    return true;
                }
                if term.current.is_some() {
                    (term.leases_enabled, term.recovery, term.stage) = (true, false, Stage::Idle);
                    return true;
                }
                let first =
                    ShardMap::first(self.cluster.living(), self.count, term.epoch, &self.limits);
                let Some(first) = first else { return false };
                self.propose_map(now, term, first, false, None);
                true
            }
            Stage::Deciding(deciding) => {
                let (id, resumed) = (deciding.id, deciding.resumed);
                if !deciding.accepted.contains(&self.me) && !deciding.refused.contains_key(&self.me)
                {
                    let map = deciding.map.clone();
                    match self.accept(ballot, id, &map, resumed, term.recovery) {
                        Some(Ok(())) => drop(deciding.accepted.insert(self.me)),
                        Some(Err(findings)) => drop(deciding.refused.insert(self.me, findings)),
                        None => {}
                    }
                }
                if election.is_majority(|name| deciding.accepted.contains(&name)) {
                    self.on_decided(now, term);
                    return true;
                }
                let may_be = election.is_majority(|name| !deciding.refused.contains_key(&name));
                if may_be && now < deciding.began + self.lease_duration {
                    return false;
                }
                if may_be {
                    // So many do not answer, or started since and wait to be told what is settled: it asks anew.
                    restart_prepare(now, term);
                    return false;
                }
                // So many refuse that it cannot be decided. What was accepted of it has to be found out, as for any
                // ballot, before another is proposed.
                let findings = deciding
                    .refused
                    .values()
                    .next()
                    .cloned()
                    .unwrap_or_default();
                let proposal = deciding.proposal;
                let text = findings
                    .first()
                    .map_or_else(String::new, |told| told.text.clone());
                self.record_event(ShardMapEvent::Refused(text));
                if let Some(proposal) = proposal {
                    finish_proposal(term, proposal, ProposalState::Refused, findings);
                }
                restart_prepare(now, term);
                false
            }
            Stage::Idle => self.maybe_propose_next(now, term, election),
        }
    }

    pub(super) fn propose_map(
        &mut self,
        now: Micros,
        term: &mut Term,
        map: ShardMap,
        resumed: bool,
        proposal: Option<MapHash>,
    ) {
        let id = map_id(&map);
        let (accepted, refused) = Default::default();
        let deciding = PendingDecision {
            map,
            id,
            resumed,
            accepted,
            refused,
            proposal,
            began: now,
        };
        term.stage = Stage::Deciding(Box::new(deciding));
        for schedule in term.schedules.values_mut() {
            (schedule.request_at, schedule.requests_sent) = (now, 0);
        }
    }

    pub(super) fn on_decided(&mut self, now: Micros, term: &mut Term) {
        let Stage::Deciding(deciding) = std::mem::replace(&mut term.stage, Stage::Idle) else {
            return;
        };
        let PendingDecision { map, proposal, .. } = *deciding;
        self.cache_map(map.clone());
        term.previous = term.current.replace(map);
        (term.leases_enabled, term.recovery, term.plan_at) = (true, false, now);
        if let Some(proposal) = proposal {
            finish_proposal(term, proposal, ProposalState::InForce, Vec::new());
        }
        if let Some(local) = &mut self.local_proposal {
            local.retry_at = local.retry_at.min(now);
        }
        // Those that lose keys are told before the others, so that what they lose is free the sooner.
        term.contact_all_now(now);
        let losers = term.previous.iter().flat_map(|map| &map.ranges);
        let losers: BTreeSet<PeerId> = losers.map(|range| peer_id_of(&range.owner)).collect();
        for (name, schedule) in &mut term.schedules {
            schedule.lease_at = now - u64::from(losers.contains(name)).min(now);
        }
    }
}
