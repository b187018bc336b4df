//! The leader's requests and shard leases: when each peer is due, and what it is sent.
//!
//! Invariant: a lease is granted only to the one incarnation of a peer that may have it
//! ([`GrantedLeases::may_grant`](crate::shards::leases::GrantedLeases::may_grant)), and it is recorded before it is sent.

use super::sending::{
    period, DATAGRAM_OVERHEAD_BYTES, LEASE_RESERVE, RETRY_INTERVAL, SLOW_RETRY_INTERVAL,
};
use super::term::{blocked_now, Stage, Term};
use super::{map_id, ShardMapEvent, ShardMapNode};
use crate::leadership::election::{LeaderElection, LeaseProof};
use crate::leadership::shorter;
use crate::peers::{peer_id_of, PeerId};
use crate::protocol::{Micros, Transmit};
use crate::shards::consensus::MapId;
use crate::shards::wire::{encode_map, Kind, RequestProof, CHUNK_BYTES};
use crate::shards::PeerCondition;
use std::collections::BTreeSet;

/// Fast repetitions of an unanswered request or lease, after which [`SLOW_RETRY_INTERVAL`] applies.
const FAST_RETRIES: u32 = 2;
/// Repetitions of an unanswered lease after which it is sent no more often than a renewal.
const LEASE_RETRIES: u32 = 10;

/// What is the same for all peers in one pass of [`ShardMapNode::send_due_requests`].
struct SendPass {
    now: Micros,
    /// Time between two leases of one peer.
    period: Micros,
    /// The map that leases are granted for; none before the leader knows it.
    granted_map: Option<MapId>,
    /// The encoded map of a proposal, if it fits in one datagram; otherwise empty, and peers fetch it.
    map_bytes: Vec<u8>,
}

/// The peer that a request or a lease goes to.
struct Recipient {
    peer: PeerId,
    incarnation: u64,
    /// The peer's clock as last heard, in microseconds.
    clock: Micros,
    /// When that was heard, on the leader's clock.
    heard_at: Micros,
    proof: LeaseProof,
    is_dead: bool,
}

impl Recipient {
    /// The proof of leadership as datagrams carry it.
    fn request_proof(&self) -> Option<RequestProof> {
        Some(RequestProof {
            epoch: self.proof.epoch,
            valid_until: self.proof.until,
        })
    }
}

/// Whether the budget of datagrams and bytes allowed it.
#[derive(PartialEq, Eq)]
enum Budget {
    Available,
    Exhausted,
}

impl ShardMapNode {
    /// Recomputes the ranges that are blocked by their previous owners, and schedules a lease at once for each owner
    /// for which that changed.
    pub(super) fn update_blocked_ranges(&mut self, now: Micros, term: &mut Term) {
        if !term.leases_enabled {
            return;
        }
        let blocked = blocked_now(now, term);
        if blocked.ranges != term.blocked.ranges {
            let ranges = term
                .current
                .iter()
                .flat_map(|map| map.ranges.iter().enumerate());
            let changed = ranges.filter(|(index, _)| {
                blocked.ranges.contains(*index) != term.blocked.ranges.contains(*index)
            });
            let affected: BTreeSet<PeerId> =
                changed.map(|(_, range)| peer_id_of(&range.owner)).collect();
            for (_, schedule) in term
                .schedules
                .iter_mut()
                .filter(|(name, _)| affected.contains(name))
            {
                (schedule.lease_at, schedule.leases_sent) = (now, 0);
            }
            if blocked.ranges.is_empty() {
                let version = term.current.as_ref().map_or(0, |map| map.version);
                term.plan_at = now;
                self.record_event(ShardMapEvent::Moved(version));
            }
        }
        term.blocked = blocked;
    }

    /// Grants the leader its own lease, under the same rules as for other owners.
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
            term.blocked.ranges.clone(),
            expires_at,
            idle,
        ) {
            term.granted_leases
                .acknowledge(self.me, self.incarnation, map.version);
        }
    }

    /// Sends each peer the request and the lease that are due, the longest overdue first, until the budget is used up.
    pub(super) fn send_due_requests(
        &mut self,
        now: Micros,
        term: &mut Term,
        election: &LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        let names: Vec<PeerId> = election.names();
        let map_bytes = match &term.stage {
            Stage::Deciding(decision) => encode_map(&decision.map),
            _ => Vec::new(),
        };
        let pass = SendPass {
            now,
            period: period(election.lease(), names.len().saturating_sub(1)),
            granted_map: term
                .current
                .as_ref()
                .filter(|_| term.leases_enabled)
                .map(map_id),
            map_bytes: if map_bytes.len() <= CHUNK_BYTES {
                map_bytes
            } else {
                Vec::new()
            },
        };
        let dead = self.unavailable_peers();
        for peer in due_peers(now, term, &names) {
            let (Some((incarnation, clock, heard_at)), Some(proof)) =
                (election.clock_of(peer), election.lease_proof(now, peer))
            else {
                // No datagram of this peer has arrived yet.
                if let Some(schedule) = term.schedules.get_mut(&peer) {
                    (schedule.request_at, schedule.lease_at) =
                        (now + RETRY_INTERVAL, now + RETRY_INTERVAL);
                }
                continue;
            };
            let recipient = Recipient {
                peer,
                incarnation,
                clock,
                heard_at,
                proof,
                is_dead: dead.contains(&peer),
            };
            if self.send_due_request(&pass, term, &recipient, election, sends) == Budget::Exhausted
                || self.send_due_lease(&pass, term, &recipient, election, sends)
                    == Budget::Exhausted
            {
                return;
            }
        }
    }

    /// Peers that the membership lists as dead or leaving.
    fn unavailable_peers(&self) -> BTreeSet<PeerId> {
        self.cluster
            .gateways
            .iter()
            .filter(|(_, condition)| **condition != PeerCondition::Alive)
            .map(|(name, _)| peer_id_of(name))
            .collect()
    }

    /// Sends the request of the current stage (prepare or propose) if it is due and not answered.
    fn send_due_request(
        &mut self,
        pass: &SendPass,
        term: &mut Term,
        recipient: &Recipient,
        election: &LeaderElection,
        sends: &mut Vec<Transmit>,
    ) -> Budget {
        let schedule = term.schedules.get(&recipient.peer);
        if schedule.is_none_or(|schedule| schedule.request_at > pass.now) {
            return Budget::Available;
        }
        let request = open_request(term, recipient.peer, &pass.map_bytes);
        let Some(schedule) = term.schedules.get_mut(&recipient.peer) else {
            return Budget::Available;
        };
        let Some(request) = request else {
            schedule.request_at = pass.now + SLOW_RETRY_INTERVAL;
            return Budget::Available;
        };
        let bytes = pass.map_bytes.len() + DATAGRAM_OVERHEAD_BYTES;
        if !self.has_budget(bytes, LEASE_RESERVE) {
            return Budget::Exhausted;
        }
        schedule.requests_sent += 1;
        let interval = if schedule.requests_sent > FAST_RETRIES || recipient.is_dead {
            SLOW_RETRY_INTERVAL
        } else {
            RETRY_INTERVAL
        };
        schedule.request_at = pass.now + interval;
        self.send_within_budget(
            election,
            recipient.peer,
            recipient.request_proof(),
            request,
            sends,
        );
        Budget::Available
    }

    /// Sends the lease for the map in force if it is due.
    fn send_due_lease(
        &mut self,
        pass: &SendPass,
        term: &mut Term,
        recipient: &Recipient,
        election: &LeaderElection,
        sends: &mut Vec<Transmit>,
    ) -> Budget {
        let (now, peer, idle) = (pass.now, recipient.peer, term.is_idle());
        let Some(schedule) = term.schedules.get_mut(&peer) else {
            return Budget::Available;
        };
        let Some(map) = pass.granted_map else {
            schedule.lease_at = schedule.lease_at.max(now + RETRY_INTERVAL);
            return Budget::Available;
        };
        if schedule.lease_at > now {
            return Budget::Available;
        }
        if !self.has_budget(DATAGRAM_OVERHEAD_BYTES, 0.0) {
            return Budget::Exhausted;
        }
        schedule.leases_sent += 1;
        let interval = match term.granted_leases.has_acknowledged(peer, map.version) {
            true => pass.period,
            // The membership may be wrong about this peer: its lease has to be renewed in time all the same.
            false if recipient.is_dead => pass.period,
            false if schedule.leases_sent > LEASE_RETRIES => SLOW_RETRY_INTERVAL.max(pass.period),
            false if schedule.leases_sent > FAST_RETRIES => SLOW_RETRY_INTERVAL.min(pass.period),
            false => RETRY_INTERVAL,
        };
        schedule.lease_at = now + interval;
        // A lease starts when the peer was last heard, on both clocks. If another incarnation of the peer may still
        // have one, this incarnation gets the map with a lease that has already expired.
        let ends_at = recipient.heard_at + self.lease_duration;
        let may_grant = term
            .granted_leases
            .may_grant(now, peer, recipient.incarnation);
        let expires_at = if may_grant && now < ends_at {
            term.granted_leases
                .grant(peer, recipient.incarnation, ends_at);
            recipient.clock.saturating_add(shorter(self.lease_duration))
        } else {
            0
        };
        let lease = Kind::GrantLease {
            map,
            blocked: term.blocked.ranges.clone(),
            expires_at,
            idle,
        };
        self.send_within_budget(election, peer, recipient.request_proof(), lease, sends);
        Budget::Available
    }
}

/// Peers whose request or lease is due, the longest overdue first.
fn due_peers(now: Micros, term: &Term, names: &[PeerId]) -> Vec<PeerId> {
    let mut due: Vec<(Micros, PeerId)> = term
        .schedules
        .iter()
        .map(|(name, schedule)| (schedule.request_at.min(schedule.lease_at), *name))
        .filter(|(at, name)| *at <= now && names.contains(name))
        .collect();
    due.sort_unstable();
    due.into_iter().map(|(_, name)| name).collect()
}

/// The request of the current stage that this peer has not answered.
fn open_request(term: &Term, peer: PeerId, map_bytes: &[u8]) -> Option<Kind> {
    match &term.stage {
        Stage::Preparing(replies) => {
            (!replies.contains_key(&peer)).then_some(Kind::Prepare(term.ballot()))
        }
        Stage::Deciding(decision) if !decision.has_vote_of(peer) => Some(Kind::Propose {
            ballot: term.ballot(),
            map: decision.id,
            resumed: decision.resumed,
            recovery: term.recovery,
            map_bytes: map_bytes.to_vec(),
        }),
        _ => None,
    }
}
