//! The leader asks the gateways, hears their answers and gives them keep leases.

use super::sending::{
    period, DATAGRAM_OVERHEAD_BYTES, LEASE_RESERVE, RETRY_INTERVAL, SLOW_RETRY_INTERVAL,
};
use super::term::{blocked_now, PromiseReply, Stage, Term};
use super::{map_id, ShardMapEvent, ShardMapNode};
use crate::leadership::election::LeaderElection;
use crate::leadership::{longer, shorter};
use crate::peers::{peer_id_of, PeerId};
use crate::protocol::{Micros, Transmit};
use crate::shards::wire::{encode_map, truncated_findings, Datagram, Kind, CHUNK_BYTES};
use crate::shards::PeerCondition;
use std::collections::BTreeSet;

impl ShardMapNode {
    /// The leader hears an answer.
    pub(super) fn on_reply(
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
            Kind::Promise {
                ballot,
                report,
                had_lease,
                lease_uncertainty_ms,
            } if ballot == term.ballot() => {
                if had_lease {
                    term.granted_leases.record_prior_lease(from, incarnation);
                }
                if let Stage::Preparing(replies) = &mut term.stage {
                    let uncertain_until = now + longer(Micros::from(lease_uncertainty_ms) * 1000);
                    replies.insert(
                        from,
                        PromiseReply {
                            report,
                            had_lease,
                            uncertain_until,
                        },
                    );
                }
            }
            Kind::Accepted(ballot, hash) if ballot == term.ballot() => {
                if let Stage::Deciding(deciding) = &mut term.stage {
                    if deciding.id.hash == hash {
                        deciding.accepted.insert(from);
                    }
                }
            }
            Kind::Rejected(ballot, hash, findings) if ballot == term.ballot() => {
                if let Stage::Deciding(deciding) = &mut term.stage {
                    if deciding.id.hash == hash && !deciding.accepted.contains(&from) {
                        deciding.refused.insert(from, findings);
                    }
                }
            }
            Kind::AcknowledgeLease {
                epoch,
                version,
                had_lease,
            } if epoch == term.epoch => {
                let gave = term.granted_leases.may_grant(now, from, incarnation);
                if had_lease {
                    term.granted_leases.record_prior_lease(from, incarnation);
                }
                term.granted_leases.acknowledge(from, incarnation, version);
                if let Some(schedule) = term.schedules.get_mut(&from) {
                    if !gave && term.granted_leases.may_grant(now, from, incarnation) {
                        (schedule.lease_at, schedule.leases_sent) = (now, 0);
                    }
                }
            }
            Kind::SubmitProposal(hash) => {
                let Some(map) = self.find(hash).cloned() else {
                    return;
                };
                if let Some((state, findings)) = Self::on_proposal(now, term, hash, &map) {
                    let findings = truncated_findings(&findings);
                    self.send(
                        election,
                        from,
                        None,
                        Kind::ProposalResult {
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
    pub(super) fn update_blocked_ranges(&mut self, now: Micros, term: &mut Term) {
        if !term.leases_enabled {
            return;
        }
        let blocked = blocked_now(now, term);
        if blocked.0 != term.blocked.0 {
            // Those that waited are told.
            let ranges = term
                .current
                .iter()
                .flat_map(|map| map.ranges.iter().enumerate());
            let changed = ranges.filter(|(number, _)| {
                blocked.0.contains(*number) != term.blocked.0.contains(*number)
            });
            let told: BTreeSet<PeerId> =
                changed.map(|(_, range)| peer_id_of(&range.owner)).collect();
            for (_, schedule) in term
                .schedules
                .iter_mut()
                .filter(|(name, _)| told.contains(name))
            {
                (schedule.lease_at, schedule.leases_sent) = (now, 0);
            }
            if blocked.0.is_empty() {
                let version = term.current.as_ref().map_or(0, |map| map.version);
                term.plan_at = now;
                self.record_event(ShardMapEvent::Moved(version));
            }
        }
        term.blocked = blocked;
    }

    /// The leader is an owner as the others are.
    pub(super) fn grant_own_lease(&mut self, now: Micros, term: &mut Term) {
        let Some(map) = term.current.as_ref().filter(|_| term.leases_enabled) else {
            return;
        };
        if !term
            .granted_leases
            .may_grant(now, self.me, self.incarnation)
        {
            return;
        }
        let expires_at = now + shorter(self.lease_duration);
        term.granted_leases
            .grant(self.me, self.incarnation, now + self.lease_duration);
        let idle = term.is_idle();
        if self.accept_lease(
            now,
            term.epoch,
            map_id(map),
            term.blocked.0.clone(),
            expires_at,
            idle,
        ) {
            term.granted_leases
                .acknowledge(self.me, self.incarnation, map.version);
        }
    }

    /// Asks and tells those whose turn it is.
    pub(super) fn send_due_requests(
        &mut self,
        now: Micros,
        term: &mut Term,
        election: &LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        let ballot = term.ballot();
        let names: Vec<PeerId> = election.names();
        let period = period(election.lease(), names.len().saturating_sub(1));
        let granted_map = term
            .current
            .as_ref()
            .filter(|_| term.leases_enabled)
            .map(map_id);
        let idle = term.is_idle();
        // A map that fits goes with the question.
        let map_bytes = match &term.stage {
            Stage::Deciding(deciding) => encode_map(&deciding.map),
            _ => Vec::new(),
        };
        let map_bytes = if map_bytes.len() <= CHUNK_BYTES {
            map_bytes
        } else {
            Vec::new()
        };
        let mut schedules: Vec<(Micros, PeerId)> = term
            .schedules
            .iter()
            .map(|(name, schedule)| (schedule.request_at.min(schedule.lease_at), *name))
            .collect();
        schedules.retain(|(at, name)| *at <= now && names.contains(name));
        schedules.sort_unstable();
        let is_dead = |(_, gateway): &(&String, &PeerCondition)| **gateway != PeerCondition::Alive;
        let dead: BTreeSet<PeerId> = self
            .cluster
            .gateways
            .iter()
            .filter(is_dead)
            .map(|(name, _)| peer_id_of(name))
            .collect();
        for (_, name) in schedules {
            let is_dead = dead.contains(&name);
            let Some(schedule) = term.schedules.get_mut(&name) else {
                continue;
            };
            let (Some((incarnation, tick, reply)), Some(proof)) =
                (election.clock_of(name), election.stamp(now, name))
            else {
                // It was not heard of yet.
                (schedule.request_at, schedule.lease_at) =
                    (now + RETRY_INTERVAL, now + RETRY_INTERVAL);
                continue;
            };
            let act = Some((proof.epoch, proof.until));
            if schedule.request_at <= now {
                let kind = match &term.stage {
                    Stage::Preparing(replies) => {
                        (!replies.contains_key(&name)).then_some(Kind::Prepare(ballot))
                    }
                    Stage::Deciding(deciding)
                        if !deciding.accepted.contains(&name)
                            && !deciding.refused.contains_key(&name) =>
                    {
                        let (map, resumed, recovery) =
                            (deciding.id, deciding.resumed, term.recovery);
                        Some(Kind::Propose {
                            ballot,
                            map,
                            resumed,
                            recovery,
                            map_bytes: map_bytes.clone(),
                        })
                    }
                    _ => None,
                };
                if let Some(kind) = kind {
                    if !self.has_budget(map_bytes.len() + DATAGRAM_OVERHEAD_BYTES, LEASE_RESERVE) {
                        return;
                    }
                    schedule.requests_sent += 1;
                    schedule.request_at = now
                        + if schedule.requests_sent > 2 || is_dead {
                            SLOW_RETRY_INTERVAL
                        } else {
                            RETRY_INTERVAL
                        };
                    self.send_within_budget(election, name, act, kind, sends);
                } else {
                    schedule.request_at = now + SLOW_RETRY_INTERVAL;
                }
            }
            let Some(map) = granted_map.filter(|_| schedule.lease_at <= now) else {
                schedule.lease_at = schedule.lease_at.max(
                    now + if granted_map.is_some() {
                        0
                    } else {
                        RETRY_INTERVAL
                    },
                );
                continue;
            };
            let has = term.granted_leases.has_acknowledged(name, map.version);
            if !self.has_budget(DATAGRAM_OVERHEAD_BYTES, 0.0) {
                return;
            }
            schedule.leases_sent += 1;
            schedule.lease_at = now
                + match has {
                    true => period,
                    // The view may be wrong: a lease has to reach it in time all the same.
                    false if is_dead => period,
                    false if schedule.leases_sent > 10 => SLOW_RETRY_INTERVAL.max(period),
                    false if schedule.leases_sent > 2 => SLOW_RETRY_INTERVAL.min(period),
                    false => RETRY_INTERVAL,
                };
            // A lease counts from when the gateway was last heard, on both clocks. Where another process of this name may
            // keep, this one learns the map alone.
            let over = reply + self.lease_duration;
            let expires_at = match term.granted_leases.may_grant(now, name, incarnation) {
                true if now < over => {
                    term.granted_leases.grant(name, incarnation, over);
                    tick.saturating_add(shorter(self.lease_duration))
                }
                _ => 0,
            };
            let blocked = term.blocked.0.clone();
            self.send_within_budget(
                election,
                name,
                act,
                Kind::GrantLease {
                    map,
                    blocked,
                    expires_at,
                    idle,
                },
                sends,
            );
        }
    }
}
