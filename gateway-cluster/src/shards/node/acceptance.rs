//! The follower's side: handles the leader's requests to promise, to accept a map, and to take a lease.

use super::{map_id, ShardMapEvent, ShardMapNode};
use crate::leadership::election::LeaderElection;
use crate::leadership::{longer, FencingToken};
use crate::peers::PeerId;
use crate::protocol::{Micros, Transmit};
use crate::shards::consensus::{Ballot, MapId};
use crate::shards::leases::RangeSet;
use crate::shards::map::{MapHash, ShardMap};
use crate::shards::wire::{
    decode_map, truncated_findings, Datagram, FindingReport, Kind, ProposalState,
};
use crate::shards::{validate, ClusterState, Rule};

/// Vote of this gateway on a proposed map.
pub(super) enum Vote {
    Accepted,
    /// The map is not valid.
    Rejected(Vec<FindingReport>),
    /// This gateway cannot check the map, or must not accept it.
    Abstained,
}

impl ShardMapNode {
    /// Handles a request of the leader of this epoch. If the map that it names is missing, the map is fetched first.
    pub(super) fn on_leader_request(
        &mut self,
        now: Micros,
        epoch: u64,
        datagram: Datagram,
        election: &mut LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        match datagram.kind {
            Kind::Prepare(ballot) if ballot.epoch == epoch => {
                self.on_prepare(now, datagram.from, ballot, election, sends);
            }
            Kind::Propose { ballot, .. } if ballot.epoch == epoch => {
                self.on_propose(now, datagram, election, sends);
            }
            Kind::GrantLease { .. } => self.on_grant_lease(now, epoch, datagram, election, sends),
            _ => self.dropped.0 += 1,
        }
    }

    /// Paxos phase one.
    fn on_prepare(
        &mut self,
        now: Micros,
        from: PeerId,
        ballot: Ballot,
        election: &LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        let Some(report) = self.acceptor.promise(ballot) else {
            return;
        };
        let promise = Kind::Promise {
            ballot,
            report,
            had_lease: self.local_shards.had_lease(),
            lease_uncertainty_ms: self.lease_uncertainty(now).div_ceil(1000) as u32,
        };
        self.send(election, from, None, promise, sends);
    }

    /// Paxos phase two.
    fn on_propose(
        &mut self,
        now: Micros,
        datagram: Datagram,
        election: &LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        let Kind::Propose {
            ballot,
            map,
            resumed,
            recovery,
            ref map_bytes,
        } = datagram.kind
        else {
            return;
        };
        if let Some(decoded) =
            decode_map(map.hash, map_bytes).filter(|_| self.find(map.hash).is_none())
        {
            self.cache_map(decoded);
        }
        let Some(proposed) = self.find(map.hash).cloned() else {
            self.fetch_for(now, map.hash, datagram, election, sends);
            return;
        };
        let vote = match self.accept(ballot, map, &proposed, resumed, recovery) {
            Vote::Accepted => Kind::Accepted(ballot, map.hash),
            Vote::Rejected(findings) => {
                Kind::Rejected(ballot, map.hash, truncated_findings(&findings))
            }
            Vote::Abstained => return,
        };
        self.send(election, datagram.from, None, vote, sends);
    }

    fn on_grant_lease(
        &mut self,
        now: Micros,
        epoch: u64,
        datagram: Datagram,
        election: &LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        let Kind::GrantLease {
            map,
            ref blocked,
            expires_at,
            idle,
        } = datagram.kind
        else {
            return;
        };
        let token = FencingToken {
            epoch,
            version: map.version,
        };
        if !self.local_shards.is_current(token) {
            return;
        }
        if !self.has_in_force(map.hash) && self.find(map.hash).is_none() {
            self.fetch_for(now, map.hash, datagram, election, sends);
            return;
        }
        if self.accept_lease(now, epoch, map, blocked.clone(), expires_at, idle) {
            let acknowledgement = Kind::AcknowledgeLease {
                epoch,
                version: map.version,
                had_lease: self.local_shards.had_lease(),
            };
            self.send(election, datagram.from, None, acknowledgement, sends);
        }
    }

    /// Whether this gateway has taken over the map with this hash.
    fn has_in_force(&self, hash: MapHash) -> bool {
        self.acceptor.in_force().is_some_and(|map| map.hash == hash) && self.map.is_some()
    }

    /// Time for which a lease that was granted before the start of this incarnation may still be valid.
    fn lease_uncertainty(&self, now: Micros) -> Micros {
        (self.started_at + longer(self.lease_duration)).saturating_sub(now)
    }

    /// Votes on a proposed map.
    pub(super) fn accept(
        &mut self,
        ballot: Ballot,
        id: MapId,
        map: &ShardMap,
        resumed: bool,
        recovery: bool,
    ) -> Vote {
        // A gateway that is behind, or has a map of another history, has no base for the check. A map that a majority
        // may have accepted is checked by itself, since the gateways that had the base may have restarted.
        let base = if recovery && map.version == 1 {
            None
        } else {
            self.map.as_ref()
        };
        let follows = base.map_or(MapHash::NONE, ShardMap::hash) == map.parent;
        if id != map_id(map) || !(follows || resumed) {
            return Vote::Abstained;
        }
        let limits = self.limits;
        let cluster = ClusterState {
            epoch: 0,
            ..self.cluster.clone()
        };
        let mut findings = validate(base.filter(|_| follows), map, &cluster, &limits);
        if resumed {
            // Changes of the owners' condition since the proposal are for the next map.
            findings.retain(|finding| {
                !matches!(finding.rule(), Rule::Owner | Rule::Moved | Rule::Share)
            });
        }
        if !follows {
            findings.retain(|finding| !matches!(finding.rule(), Rule::Parent | Rule::Version));
        }
        if !findings.is_empty() {
            return Vote::Rejected(findings.iter().map(FindingReport::from).collect());
        }
        if !self.acceptor.accept(ballot, id, recovery) {
            return Vote::Abstained;
        }
        self.cache_map(map.clone());
        Vote::Accepted
    }

    /// Takes over the map of a lease if it is new, and the lease.
    pub(super) fn accept_lease(
        &mut self,
        now: Micros,
        epoch: u64,
        map: MapId,
        blocked: RangeSet,
        expires_at: Micros,
        idle: bool,
    ) -> bool {
        if !self.has_in_force(map.hash) {
            let Some(new) = self.find(map.hash).cloned() else {
                return false;
            };
            let old = self.map.replace(new);
            if let Some(old) = &old {
                if old.version >= map.version {
                    self.record_event(ShardMapEvent::OtherHistory(old.version, map.version));
                }
            }
            let parent = self.map.as_ref().map(|map| map.parent);
            self.previous = old.filter(|old| Some(old.hash()) == parent);
            if let (Some(proposal), Some(map)) = (&mut self.local_proposal, &self.map) {
                let is_it =
                    proposal.map.version == map.version && proposal.map.ranges == map.ranges;
                if is_it && proposal.state == ProposalState::Waiting {
                    proposal.state = ProposalState::InForce;
                }
            }
            self.record_event(ShardMapEvent::InForce(map.version, map.hash));
        }
        self.acceptor.on_decided(epoch, map, idle);
        self.local_shards.accept_lease(
            now,
            FencingToken {
                epoch,
                version: map.version,
            },
            map.hash,
            blocked,
            expires_at,
        )
    }
}
