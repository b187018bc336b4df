//! How a leader finds out what there is and has a map decided, step by step.

use super::term::{ask_anew, finish_offer, Deciding, Heard, Stage, Term, Turn};
use super::{named, ShardMapEvent, ShardMapNode};
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
    pub(super) fn rule(
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
            term.turns.entry(name).or_insert(Turn {
                ask_at: now,
                keep_at: now,
                ..Turn::default()
            });
        }
        // Each step leads to another at most a few times: learned, gathered, decided, and what comes next.
        for _ in 0..6 {
            if !self.step(now, term, election, sends) {
                break;
            }
        }
        self.look_at_moves(now, term);
        self.keep_own(now, term);
        self.tell(now, term, election, sends);
    }

    /// One step of the leader; whether there may be another at once.
    fn step(
        &mut self,
        now: Micros,
        term: &mut Term,
        election: &LeaderElection,
        sends: &mut Vec<Transmit>,
    ) -> bool {
        let ballot = term.ballot();
        match &mut term.stage {
            Stage::Learning(answers) => {
                let Some(answer) = self.acceptor.promise(ballot) else {
                    return false;
                };
                let old_at = self.born + longer(self.keep);
                let own = Heard {
                    answer,
                    held: self.hand.has_held(),
                    old_at,
                };
                if own.held {
                    term.ledger.has_held(self.me, self.incarnation);
                }
                answers.insert(self.me, own);
                let plain: BTreeMap<PeerId, AcceptorReport> = answers
                    .iter()
                    .map(|(name, heard)| (*name, heard.answer))
                    .collect();
                let is_majority = |has: &dyn Fn(PeerId) -> bool| election.is_majority(has);
                let learned = learn(&plain, false, is_majority);
                // Where too few remember, it is safe to go on once nobody can keep anything by what was before: all
                // leases are over, or all say that they hold nothing.
                let nothing = |heard: &Heard| {
                    let AcceptorReport {
                        in_force, accepted, ..
                    } = heard.answer;
                    in_force.is_none() && accepted.is_none() && !heard.held && now >= heard.old_at
                };
                let empty = election
                    .names()
                    .iter()
                    .all(|name| answers.get(name).is_some_and(nothing));
                let is_over = now >= term.ledger.unknown_until();
                term.anew = learned.is_none();
                let learned = match learned {
                    Some(learned) => learned,
                    None if empty || is_over => {
                        let Some(learned) = learn(&plain, true, is_majority) else {
                            return false;
                        };
                        if empty {
                            term.ledger.nobody_keeps(now);
                        }
                        learned
                    }
                    None => return false,
                };
                let sources = answers
                    .iter()
                    .filter(|(name, _)| **name != self.me)
                    .filter(|(_, heard)| {
                        heard.answer.in_force.is_some() || heard.answer.accepted.is_some()
                    })
                    .map(|(name, _)| *name)
                    .collect();
                term.stage = Stage::Gathering(learned, sources);
                true
            }
            Stage::Gathering(learned, sources) => {
                let (learned, sources) = (*learned, sources.clone());
                let wanted = [learned.in_force, learned.finish];
                let missing = wanted
                    .into_iter()
                    .flatten()
                    .find(|map| self.find(map.hash).is_none());
                if let Some(missing) = missing {
                    if let Some(from) = sources.choose(&mut self.rng).copied() {
                        self.pull_from(now, missing.hash, (from, 0), election, sends);
                    }
                    return false;
                }
                if !term.ruling {
                    term.current = learned
                        .in_force
                        .and_then(|map| self.find(map.hash))
                        .cloned();
                    let parent = term.current.as_ref().map(|map| map.parent);
                    term.previous = parent.and_then(|parent| self.find(parent)).cloned();
                }
                term.hurry(now);
                if let Some(map) = learned.finish.and_then(|map| self.find(map.hash)).cloned() {
                    if map.version == 1 {
                        // It begins a history: it has no map before it, and each gateway counts as it did then.
                        (term.current, term.previous, term.anew) = (None, None, true);
                    }
                    self.begin(now, term, map, true, None);
                    return true;
                }
                if term.current.is_some() {
                    (term.ruling, term.anew, term.stage) = (true, false, Stage::Resting);
                    return true;
                }
                let first =
                    ShardMap::first(self.cluster.living(), self.count, term.epoch, &self.limits);
                let Some(first) = first else { return false };
                self.begin(now, term, first, false, None);
                true
            }
            Stage::Deciding(deciding) => {
                let (named, finish) = (deciding.named, deciding.finish);
                if !deciding.accepted.contains(&self.me) && !deciding.refused.contains_key(&self.me)
                {
                    let map = deciding.map.clone();
                    match self.accept(ballot, named, &map, finish, term.anew) {
                        Some(Ok(())) => drop(deciding.accepted.insert(self.me)),
                        Some(Err(findings)) => drop(deciding.refused.insert(self.me, findings)),
                        None => {}
                    }
                }
                if election.is_majority(|name| deciding.accepted.contains(&name)) {
                    self.decided(now, term);
                    return true;
                }
                let may_be = election.is_majority(|name| !deciding.refused.contains_key(&name));
                if may_be && now < deciding.began + self.keep {
                    return false;
                }
                if may_be {
                    // So many do not answer, or started since and wait to be told what is settled: it asks anew.
                    ask_anew(now, term);
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
                let offer = deciding.offer;
                let text = findings
                    .first()
                    .map_or_else(String::new, |told| told.text.clone());
                self.note(ShardMapEvent::Refused(text));
                if let Some(offer) = offer {
                    finish_offer(term, offer, ProposalState::Refused, findings);
                }
                ask_anew(now, term);
                false
            }
            Stage::Resting => self.change(now, term, election),
        }
    }

    pub(super) fn begin(
        &mut self,
        now: Micros,
        term: &mut Term,
        map: ShardMap,
        finish: bool,
        offer: Option<MapHash>,
    ) {
        let named = named(&map);
        let (accepted, refused) = Default::default();
        let deciding = Deciding {
            map,
            named,
            finish,
            accepted,
            refused,
            offer,
            began: now,
        };
        term.stage = Stage::Deciding(Box::new(deciding));
        for turn in term.turns.values_mut() {
            (turn.ask_at, turn.asked) = (now, 0);
        }
    }

    pub(super) fn decided(&mut self, now: Micros, term: &mut Term) {
        let Stage::Deciding(deciding) = std::mem::replace(&mut term.stage, Stage::Resting) else {
            return;
        };
        let Deciding { map, offer, .. } = *deciding;
        self.shelve(map.clone());
        term.previous = term.current.replace(map);
        (term.ruling, term.anew, term.look_at) = (true, false, now);
        if let Some(offer) = offer {
            finish_offer(term, offer, ProposalState::InForce, Vec::new());
        }
        if let Some(offer) = &mut self.offer {
            offer.at = offer.at.min(now);
        }
        // Those that lose keys are told before the others, so that what they lose is free the sooner.
        term.hurry(now);
        let losers = term.previous.iter().flat_map(|map| &map.ranges);
        let losers: BTreeSet<PeerId> = losers.map(|range| peer_id_of(&range.owner)).collect();
        for (name, turn) in &mut term.turns {
            turn.keep_at = now - u64::from(losers.contains(name)).min(now);
        }
    }
}
