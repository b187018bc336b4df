//! What staff propose: carried to the owner by the door that has it, and taken in by the owner.

use super::sending::SELDOM;
use super::term::{Offered, Term};
use super::Keeping;
use crate::engine::Micros;
use crate::ownership::office::{Office, Send};
use crate::shards::finding::Finding;
use crate::shards::map::{Hash, Map, Range};
use crate::shards::validate;
use crate::shards::wire::{pack, Kind, State, Told, MOST_PARTS, PART};

/// Proposals of staff that an owner remembers.
const OFFERS: usize = 16;

/// What staff propose here.
#[derive(Debug)]
pub(super) struct Offer {
    pub(super) map: Map,
    pub(super) hash: Hash,
    pub(super) state: State,
    pub(super) findings: Vec<Told>,
    pub(super) at: Micros,
}

impl Keeping {
    /// Staff propose to replace the map of version `expect` by one of these ranges. It takes the place of an earlier
    /// proposal.
    pub fn propose(&mut self, now: Micros, expect: u64, ranges: Vec<Range>) {
        let map = Map {
            version: expect.saturating_add(1),
            parent: Hash::NONE,
            epoch: 0,
            ranges,
        };
        let hash = map.hash();
        if self
            .offer
            .as_ref()
            .is_some_and(|offer| offer.hash == hash && offer.state != State::Refused)
        {
            return;
        }
        let size = Finding::Size {
            ranges: map.ranges.len(),
            most: self.limits.ranges,
        };
        // One that is too large for datagrams is not sent at all.
        let too_large =
            map.ranges.len() > self.limits.ranges || pack(&map).len() > MOST_PARTS * PART;
        let state = if too_large {
            State::Refused
        } else {
            State::Waiting
        };
        let findings = if too_large {
            vec![Told::from(&size)]
        } else {
            Vec::new()
        };
        self.offer = Some(Offer {
            map,
            hash,
            state,
            findings,
            at: now,
        });
        self.next = self.next.min(now);
    }

    /// Carries what staff propose to the owner.
    pub(super) fn offer_on(&mut self, now: Micros, office: &Office, sends: &mut Vec<Send>) {
        let Some(offer) = &mut self.offer else { return };
        if offer.state != State::Waiting || now < offer.at {
            return;
        }
        offer.at = now + SELDOM;
        let hash = offer.hash;
        let map = offer.map.clone();
        match office.standing(now).owner {
            Some(owner) if owner == self.me => {
                if let Some(mut term) = self.term.take() {
                    let answer = Self::offered(now, &mut term, hash, &map);
                    self.term = Some(term);
                    if let Some((state, findings)) = answer {
                        self.answered(hash, state, findings);
                    }
                }
            }
            Some(owner) => self.put(office, owner, None, Kind::Offer(hash), sends),
            None => {}
        }
    }

    pub(super) fn answered(&mut self, hash: Hash, state: State, findings: Vec<Told>) {
        let Some(offer) = self.offer.as_mut().filter(|offer| offer.hash == hash) else {
            return;
        };
        if offer.state != State::Waiting {
            return;
        }
        (offer.state, offer.findings) = (state, findings);
        if state == State::Refused {
            // An answer has room for a few: this door finds all itself, if it knows the same.
            let Some(old) = &self.map else { return };
            let map = Map {
                parent: old.hash(),
                epoch: old.epoch,
                ..offer.map.clone()
            };
            let found = validate(Some(old), &map, &self.fleet, &self.limits);
            let told: Vec<Told> = found.iter().map(Told::from).collect();
            if offer
                .findings
                .iter()
                .all(|one| told.iter().any(|own| own.rule == one.rule))
            {
                offer.findings = told;
            }
        }
    }

    /// What has become of a proposal at the owner, which takes it in if it is new. `None` while it cannot say.
    pub(super) fn offered(
        now: Micros,
        term: &mut Term,
        hash: Hash,
        map: &Map,
    ) -> Option<(State, Vec<Told>)> {
        let current = term.current.as_ref().filter(|_| term.ruling)?;
        if current.ranges == map.ranges && current.version >= map.version {
            return Some((State::InForce, Vec::new()));
        }
        if let Some(place) = term.offers.iter().position(|offered| offered.hash == hash) {
            let known = term.offers.get(place)?;
            let answer = (known.state, known.findings.clone());
            if known.state == State::Refused {
                // Staff may propose it again once what was wrong is mended.
                term.offers.remove(place);
            }
            return Some(answer);
        }
        if term.offers.len() >= OFFERS {
            // One that is not decided yet is not forgotten for another.
            let over = term
                .offers
                .iter()
                .position(|offered| offered.state != State::Waiting)?;
            term.offers.remove(over);
        }
        term.offers.push_back(Offered {
            hash,
            map: map.clone(),
            state: State::Waiting,
            findings: Vec::new(),
        });
        term.look_at = now;
        None
    }
}
