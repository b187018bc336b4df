//! What a door does at the word of the owner: it promises, accepts or refuses a map, and takes keep leases.

use super::{named, Keeping, Note};
use crate::engine::Micros;
use crate::ownership::office::{Office, Send};
use crate::ownership::{longer, Fence};
use crate::shards::decide::{Ballot, Named};
use crate::shards::keep::Marks;
use crate::shards::map::{Hash, Map};
use crate::shards::wire::{told_on_wire, unpack, Datagram, Kind, State, Told};
use crate::shards::{validate, FleetState, Rule};

impl Keeping {
    /// What the owner of this term wants is done, unless it lacks a map, which is fetched first.
    pub(super) fn act(
        &mut self,
        now: Micros,
        epoch: u64,
        datagram: Datagram,
        office: &mut Office,
        sends: &mut Vec<Send>,
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
                    office,
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
                    return self.pull(now, map.hash, datagram, office, sends);
                };
                let kind = match self.accept(*ballot, *map, &found, *finish, *anew) {
                    Some(Ok(())) => Kind::Accepted(*ballot, map.hash),
                    Some(Err(findings)) => {
                        Kind::Refused(*ballot, map.hash, told_on_wire(&findings))
                    }
                    None => return,
                };
                self.put(office, from, None, kind, sends);
            }
            Kind::Keep {
                map,
                waits,
                until,
                settled,
            } => {
                if !self.hand.allows(Fence {
                    epoch,
                    version: map.version,
                }) {
                    return;
                }
                if !self.has_in_force(map.hash) && self.find(map.hash).is_none() {
                    return self.pull(now, map.hash, datagram, office, sends);
                }
                if self.take_keep(now, epoch, *map, waits.clone(), *until, *settled) {
                    let (version, held) = (map.version, self.hand.has_held());
                    self.put(
                        office,
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

    fn has_in_force(&self, hash: Hash) -> bool {
        self.acceptor.in_force().is_some_and(|map| map.hash == hash) && self.map.is_some()
    }

    /// For how long yet somebody may keep by a lease that was given before this life began.
    fn young(&self, now: Micros) -> Micros {
        (self.born + longer(self.keep)).saturating_sub(now)
    }

    /// Accepts a map, or says what is wrong with it; `None` if it is not for this door to say.
    pub(super) fn accept(
        &mut self,
        ballot: Ballot,
        name: Named,
        map: &Map,
        finish: bool,
        anew: bool,
    ) -> Option<Result<(), Vec<Told>>> {
        // Who is behind, or on another history, cannot judge it against what it has. What a majority may have accepted it
        // takes all the same if it is whole by itself: the doors that could judge may have forgotten since.
        let base = if anew && map.version == 1 {
            None
        } else {
            self.map.as_ref()
        };
        let follows = base.map_or(Hash::NONE, Map::hash) == map.parent;
        if name != named(map) || !(follows || finish) {
            return None;
        }
        let limits = self.limits;
        let fleet = FleetState {
            epoch: 0,
            ..self.fleet.clone()
        };
        let mut findings = validate(base.filter(|_| follows), map, &fleet, &limits);
        if finish {
            // What has become of its keepers since is for the next map.
            findings.retain(|finding| {
                !matches!(finding.rule(), Rule::Keeper | Rule::Moved | Rule::Share)
            });
        }
        if !follows {
            findings.retain(|finding| !matches!(finding.rule(), Rule::Parent | Rule::Version));
        }
        if !findings.is_empty() {
            return Some(Err(findings.iter().map(Told::from).collect()));
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
        map: Named,
        waits: Marks,
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
                    self.note(Note::OtherHistory(old.version, map.version));
                }
            }
            let parent = self.map.as_ref().map(|map| map.parent);
            self.previous = old.filter(|old| Some(old.hash()) == parent);
            if let (Some(offer), Some(map)) = (&mut self.offer, &self.map) {
                let is_it = offer.map.version == map.version && offer.map.ranges == map.ranges;
                if is_it && offer.state == State::Waiting {
                    offer.state = State::InForce;
                }
            }
            self.note(Note::InForce(map.version, map.hash));
        }
        self.acceptor.decided(epoch, map, settled);
        self.hand.keep(
            now,
            Fence {
                epoch,
                version: map.version,
            },
            map.hash,
            waits,
            until,
        )
    }
}
