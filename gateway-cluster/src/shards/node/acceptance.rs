//! What a gateway does at the word of the leader: it promises, accepts or refuses a map, and takes keep leases.

use super::{named, ShardMapEvent, ShardMapNode};
use crate::leadership::election::LeaderElection;
use crate::leadership::{longer, FencingToken};
use crate::protocol::{Micros, Transmit};
use crate::shards::consensus::{Ballot, MapId};
use crate::shards::leases::RangeSet;
use crate::shards::map::{MapHash, ShardMap};
use crate::shards::wire::{
    truncated_findings, unpack, Datagram, FindingReport, Kind, ProposalState,
};
use crate::shards::{validate, ClusterState, Rule};

impl ShardMapNode {
    /// What the leader of this epoch wants is done, unless it lacks a map, which is fetched first.
    pub(super) fn act(
        &mut self,
        now: Micros,
        epoch: u64,
        datagram: Datagram,
        election: &mut LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        let from = datagram.from;
        match &datagram.kind {
            Kind::Learn(ballot) if ballot.epoch == epoch => {
                let Some(answer) = self.acceptor.promise(*ballot) else {
                    return;
                };
                let (ballot, held) = (*ballot, self.hand.has_held());
                let young_ms = self.young(now).div_ceil(1000) as u32;
                self.put(
                    election,
                    from,
                    None,
                    Kind::Learned {
                        ballot,
                        answer,
                        held,
                        young_ms,
                    },
                    sends,
                );
            }
            Kind::Propose {
                ballot,
                map,
                finish,
                anew,
                whole,
            } if ballot.epoch == epoch => {
                if let Some(found) =
                    unpack(map.hash, whole).filter(|_| self.find(map.hash).is_none())
                {
                    self.shelve(found);
                }
                let Some(found) = self.find(map.hash).cloned() else {
                    return self.pull(now, map.hash, datagram, election, sends);
                };
                let kind = match self.accept(*ballot, *map, &found, *finish, *anew) {
                    Some(Ok(())) => Kind::Accepted(*ballot, map.hash),
                    Some(Err(findings)) => {
                        Kind::Refused(*ballot, map.hash, truncated_findings(&findings))
                    }
                    None => return,
                };
                self.put(election, from, None, kind, sends);
            }
            Kind::Keep {
                map,
                waits,
                until,
                settled,
            } => {
                if !self.hand.allows(FencingToken {
                    epoch,
                    version: map.version,
                }) {
                    return;
                }
                if !self.has_in_force(map.hash) && self.find(map.hash).is_none() {
                    return self.pull(now, map.hash, datagram, election, sends);
                }
                if self.take_keep(now, epoch, *map, waits.clone(), *until, *settled) {
                    let (version, held) = (map.version, self.hand.has_held());
                    self.put(
                        election,
                        from,
                        None,
                        Kind::Have {
                            epoch,
                            version,
                            held,
                        },
                        sends,
                    );
                }
            }
            _ => self.dropped.0 += 1,
        }
    }

    fn has_in_force(&self, hash: MapHash) -> bool {
        self.acceptor.in_force().is_some_and(|map| map.hash == hash) && self.map.is_some()
    }

    /// For how long yet somebody may keep by a lease that was given before this incarnation began.
    fn young(&self, now: Micros) -> Micros {
        (self.born + longer(self.keep)).saturating_sub(now)
    }

    /// Accepts a map, or says what is wrong with it; `None` if it is not for this gateway to say.
    pub(super) fn accept(
        &mut self,
        ballot: Ballot,
        name: MapId,
        map: &ShardMap,
        finish: bool,
        anew: bool,
    ) -> Option<Result<(), Vec<FindingReport>>> {
        // Who is behind, or on another history, cannot judge it against what it has. What a majority may have accepted it
        // takes all the same if it is whole by itself: the gateways that could judge may have forgotten since.
        let base = if anew && map.version == 1 {
            None
        } else {
            self.map.as_ref()
        };
        let follows = base.map_or(MapHash::NONE, ShardMap::hash) == map.parent;
        if name != named(map) || !(follows || finish) {
            return None;
        }
        let limits = self.limits;
        let cluster = ClusterState {
            epoch: 0,
            ..self.cluster.clone()
        };
        let mut findings = validate(base.filter(|_| follows), map, &cluster, &limits);
        if finish {
            // What has become of its owners since is for the next map.
            findings.retain(|finding| {
                !matches!(finding.rule(), Rule::Owner | Rule::Moved | Rule::Share)
            });
        }
        if !follows {
            findings.retain(|finding| !matches!(finding.rule(), Rule::Parent | Rule::Version));
        }
        if !findings.is_empty() {
            return Some(Err(findings.iter().map(FindingReport::from).collect()));
        }
        if !self.acceptor.accept(ballot, name, anew) {
            return None;
        }
        self.shelve(map.clone());
        Some(Ok(()))
    }

    /// Takes a keep lease, and the map that it is of.
    pub(super) fn take_keep(
        &mut self,
        now: Micros,
        epoch: u64,
        map: MapId,
        waits: RangeSet,
        until: Micros,
        settled: bool,
    ) -> bool {
        if !self.has_in_force(map.hash) {
            let Some(new) = self.find(map.hash).cloned() else {
                return false;
            };
            let old = self.map.replace(new);
            if let Some(old) = &old {
                if old.version >= map.version {
                    self.note(ShardMapEvent::OtherHistory(old.version, map.version));
                }
            }
            let parent = self.map.as_ref().map(|map| map.parent);
            self.previous = old.filter(|old| Some(old.hash()) == parent);
            if let (Some(offer), Some(map)) = (&mut self.offer, &self.map) {
                let is_it = offer.map.version == map.version && offer.map.ranges == map.ranges;
                if is_it && offer.state == ProposalState::Waiting {
                    offer.state = ProposalState::InForce;
                }
            }
            self.note(ShardMapEvent::InForce(map.version, map.hash));
        }
        self.acceptor.decided(epoch, map, settled);
        self.hand.keep(
            now,
            FencingToken {
                epoch,
                version: map.version,
            },
            map.hash,
            waits,
            until,
        )
    }
}
