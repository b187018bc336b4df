//! The leader asks the gateways, hears their answers and gives them keep leases.

use super::sending::{period, AGAIN, AROUND, FOR_LEASES, SELDOM};
use super::term::{waits, Heard, Stage, Term};
use super::{named, ShardMapEvent, ShardMapNode};
use crate::leadership::election::LeaderElection;
use crate::leadership::{longer, shorter};
use crate::peers::{peer_id_of, PeerId};
use crate::protocol::{Micros, Transmit};
use crate::shards::wire::{pack, truncated_findings, Datagram, Kind, PART};
use crate::shards::PeerCondition;
use std::collections::BTreeSet;

impl ShardMapNode {
    /// The leader hears an answer.
    pub(super) fn hear(
        &mut self,
        now: Micros,
        term: &mut Term,
        datagram: Datagram,
        election: &LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        let Datagram {
            from,
            incarnation,
            kind,
            ..
        } = datagram;
        match kind {
            Kind::Learned {
                ballot,
                answer,
                held,
                young_ms,
            } if ballot == term.ballot() => {
                if held {
                    term.ledger.has_held(from, incarnation);
                }
                if let Stage::Learning(answers) = &mut term.stage {
                    let old_at = now + longer(Micros::from(young_ms) * 1000);
                    answers.insert(
                        from,
                        Heard {
                            answer,
                            held,
                            old_at,
                        },
                    );
                }
            }
            Kind::Accepted(ballot, hash) if ballot == term.ballot() => {
                if let Stage::Deciding(deciding) = &mut term.stage {
                    if deciding.named.hash == hash {
                        deciding.accepted.insert(from);
                    }
                }
            }
            Kind::Refused(ballot, hash, findings) if ballot == term.ballot() => {
                if let Stage::Deciding(deciding) = &mut term.stage {
                    if deciding.named.hash == hash && !deciding.accepted.contains(&from) {
                        deciding.refused.insert(from, findings);
                    }
                }
            }
            Kind::Have {
                epoch,
                version,
                held,
            } if epoch == term.epoch => {
                let gave = term.ledger.may_give(now, from, incarnation);
                if held {
                    term.ledger.has_held(from, incarnation);
                }
                term.ledger.took(from, incarnation, version);
                if let Some(turn) = term.turns.get_mut(&from) {
                    if !gave && term.ledger.may_give(now, from, incarnation) {
                        (turn.keep_at, turn.kept) = (now, 0);
                    }
                }
            }
            Kind::Offer(hash) => {
                let Some(map) = self.find(hash).cloned() else {
                    return;
                };
                if let Some((state, findings)) = Self::offered(now, term, hash, &map) {
                    let findings = truncated_findings(&findings);
                    self.put(
                        election,
                        from,
                        None,
                        Kind::Answer {
                            hash,
                            state,
                            findings,
                        },
                        sends,
                    );
                }
            }
            _ => {}
        }
    }

    /// Looks at who still keeps what the map in force gives to others.
    pub(super) fn look_at_moves(&mut self, now: Micros, term: &mut Term) {
        if !term.ruling {
            return;
        }
        let waits = waits(now, term);
        if waits.0 != term.waits.0 {
            // Those that waited are told.
            let ranges = term
                .current
                .iter()
                .flat_map(|map| map.ranges.iter().enumerate());
            let changed =
                ranges.filter(|(number, _)| waits.0.has(*number) != term.waits.0.has(*number));
            let told: BTreeSet<PeerId> =
                changed.map(|(_, range)| peer_id_of(&range.owner)).collect();
            for (_, turn) in term
                .turns
                .iter_mut()
                .filter(|(name, _)| told.contains(name))
            {
                (turn.keep_at, turn.kept) = (now, 0);
            }
            if waits.0.is_empty() {
                let version = term.current.as_ref().map_or(0, |map| map.version);
                term.look_at = now;
                self.note(ShardMapEvent::Moved(version));
            }
        }
        term.waits = waits;
    }

    /// The leader is an owner as the others are.
    pub(super) fn keep_own(&mut self, now: Micros, term: &mut Term) {
        let Some(map) = term.current.as_ref().filter(|_| term.ruling) else {
            return;
        };
        if !term.ledger.may_give(now, self.me, self.incarnation) {
            return;
        }
        let until = now + shorter(self.keep);
        term.ledger.give(self.me, self.incarnation, now + self.keep);
        let settled = term.is_settled();
        if self.take_keep(
            now,
            term.epoch,
            named(map),
            term.waits.0.clone(),
            until,
            settled,
        ) {
            term.ledger.took(self.me, self.incarnation, map.version);
        }
    }

    /// Asks and tells those whose turn it is.
    pub(super) fn tell(
        &mut self,
        now: Micros,
        term: &mut Term,
        election: &LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        let ballot = term.ballot();
        let names: Vec<PeerId> = election.names();
        let period = period(election.lease(), names.len().saturating_sub(1));
        let keep = term.current.as_ref().filter(|_| term.ruling).map(named);
        let settled = term.is_settled();
        // A map that fits goes with the question.
        let whole = match &term.stage {
            Stage::Deciding(deciding) => pack(&deciding.map),
            _ => Vec::new(),
        };
        let whole = if whole.len() <= PART {
            whole
        } else {
            Vec::new()
        };
        let mut turns: Vec<(Micros, PeerId)> = term
            .turns
            .iter()
            .map(|(name, turn)| (turn.ask_at.min(turn.keep_at), *name))
            .collect();
        turns.retain(|(at, name)| *at <= now && names.contains(name));
        turns.sort_unstable();
        let is_dead = |(_, gateway): &(&String, &PeerCondition)| **gateway != PeerCondition::Alive;
        let dead: BTreeSet<PeerId> = self
            .cluster
            .gateways
            .iter()
            .filter(is_dead)
            .map(|(name, _)| peer_id_of(name))
            .collect();
        for (_, name) in turns {
            let is_dead = dead.contains(&name);
            let Some(turn) = term.turns.get_mut(&name) else {
                continue;
            };
            let (Some((incarnation, tick, heard)), Some(stamp)) =
                (election.clock_of(name), election.stamp(now, name))
            else {
                // It was not heard of yet.
                (turn.ask_at, turn.keep_at) = (now + AGAIN, now + AGAIN);
                continue;
            };
            let act = Some((stamp.epoch, stamp.until));
            if turn.ask_at <= now {
                let kind = match &term.stage {
                    Stage::Learning(answers) => {
                        (!answers.contains_key(&name)).then_some(Kind::Learn(ballot))
                    }
                    Stage::Deciding(deciding)
                        if !deciding.accepted.contains(&name)
                            && !deciding.refused.contains_key(&name) =>
                    {
                        let (map, finish, anew) = (deciding.named, deciding.finish, term.anew);
                        Some(Kind::Propose {
                            ballot,
                            map,
                            finish,
                            anew,
                            whole: whole.clone(),
                        })
                    }
                    _ => None,
                };
                if let Some(kind) = kind {
                    if !self.has_room(whole.len() + AROUND, FOR_LEASES) {
                        return;
                    }
                    turn.asked += 1;
                    turn.ask_at = now
                        + if turn.asked > 2 || is_dead {
                            SELDOM
                        } else {
                            AGAIN
                        };
                    self.put_spared(election, name, act, kind, sends);
                } else {
                    turn.ask_at = now + SELDOM;
                }
            }
            let Some(map) = keep.filter(|_| turn.keep_at <= now) else {
                turn.keep_at = turn
                    .keep_at
                    .max(now + if keep.is_some() { 0 } else { AGAIN });
                continue;
            };
            let has = term.ledger.has(name, map.version);
            if !self.has_room(AROUND, 0.0) {
                return;
            }
            turn.kept += 1;
            turn.keep_at = now
                + match has {
                    true => period,
                    // The view may be wrong: a lease has to reach it in time all the same.
                    false if is_dead => period,
                    false if turn.kept > 10 => SELDOM.max(period),
                    false if turn.kept > 2 => SELDOM.min(period),
                    false => AGAIN,
                };
            // A lease counts from when the gateway was last heard, on both clocks. Where another process of this name may
            // keep, this one learns the map alone.
            let over = heard + self.keep;
            let until = match term.ledger.may_give(now, name, incarnation) {
                true if now < over => {
                    term.ledger.give(name, incarnation, over);
                    tick.saturating_add(shorter(self.keep))
                }
                _ => 0,
            };
            let waits = term.waits.0.clone();
            self.put_spared(
                election,
                name,
                act,
                Kind::Keep {
                    map,
                    waits,
                    until,
                    settled,
                },
                sends,
            );
        }
    }
}
