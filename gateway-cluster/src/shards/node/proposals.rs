//! What operators propose: carried to the leader by the gateway that has it, and taken in by the leader.

use super::sending::SELDOM;
use super::term::{Offered, Term};
use super::ShardMapNode;
use crate::leadership::election::LeaderElection;
use crate::protocol::{Micros, Transmit};
use crate::shards::finding::Finding;
use crate::shards::map::{MapHash, ShardMap, ShardRange};
use crate::shards::validate;
use crate::shards::wire::{pack, FindingReport, Kind, ProposalState, MAX_CHUNKS, PART};

/// Proposals of operators that a leader remembers.
const OFFERS: usize = 16;

/// What operators propose here.
#[derive(Debug)]
pub(super) struct Offer {
    pub(super) map: ShardMap,
    pub(super) hash: MapHash,
    pub(super) state: ProposalState,
    pub(super) findings: Vec<FindingReport>,
    pub(super) at: Micros,
}

impl ShardMapNode {
    /// operators propose to replace the map of version `expect` by one of these ranges. It takes the place of an earlier
    /// proposal.
    pub fn propose(&mut self, now: Micros, expect: u64, ranges: Vec<ShardRange>) {
        let map = ShardMap {
            version: expect.saturating_add(1),
            parent: MapHash::NONE,
            epoch: 0,
            ranges,
        };
        let hash = map.hash();
        if self
            .offer
            .as_ref()
            .is_some_and(|offer| offer.hash == hash && offer.state != ProposalState::Refused)
        {
            return;
        }
        let size = Finding::Size {
            ranges: map.ranges.len(),
            most: self.limits.ranges,
        };
        // One that is too large for datagrams is not sent at all.
        let too_large =
            map.ranges.len() > self.limits.ranges || pack(&map).len() > MAX_CHUNKS * PART;
        let state = if too_large {
            ProposalState::Refused
        } else {
            ProposalState::Waiting
        };
        let findings = if too_large {
            vec![FindingReport::from(&size)]
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

    /// Carries what operators propose to the leader.
    pub(super) fn offer_on(
        &mut self,
        now: Micros,
        election: &LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        let Some(offer) = &mut self.offer else { return };
        if offer.state != ProposalState::Waiting || now < offer.at {
            return;
        }
        offer.at = now + SELDOM;
        let hash = offer.hash;
        let map = offer.map.clone();
        match election.status(now).leader {
            Some(leader) if leader == self.me => {
                if let Some(mut term) = self.term.take() {
                    let answer = Self::offered(now, &mut term, hash, &map);
                    self.term = Some(term);
                    if let Some((state, findings)) = answer {
                        self.answered(hash, state, findings);
                    }
                }
            }
            Some(leader) => self.put(election, leader, None, Kind::Offer(hash), sends),
            None => {}
        }
    }

    pub(super) fn answered(
        &mut self,
        hash: MapHash,
        state: ProposalState,
        findings: Vec<FindingReport>,
    ) {
        let Some(offer) = self.offer.as_mut().filter(|offer| offer.hash == hash) else {
            return;
        };
        if offer.state != ProposalState::Waiting {
            return;
        }
        (offer.state, offer.findings) = (state, findings);
        if state == ProposalState::Refused {
            // An answer has room for a few: this gateway finds all itself, if it knows the same.
            let Some(old) = &self.map else { return };
            let map = ShardMap {
                parent: old.hash(),
                epoch: old.epoch,
                ..offer.map.clone()
            };
            let found = validate(Some(old), &map, &self.cluster, &self.limits);
            let told: Vec<FindingReport> = found.iter().map(FindingReport::from).collect();
            if offer
                .findings
                .iter()
                .all(|one| told.iter().any(|own| own.rule == one.rule))
            {
                offer.findings = told;
            }
        }
    }

    /// What has become of a proposal at the leader, which takes it in if it is new. `None` while it cannot say.
    pub(super) fn offered(
        now: Micros,
        term: &mut Term,
        hash: MapHash,
        map: &ShardMap,
    ) -> Option<(ProposalState, Vec<FindingReport>)> {
        let current = term.current.as_ref().filter(|_| term.ruling)?;
        if current.ranges == map.ranges && current.version >= map.version {
            return Some((ProposalState::InForce, Vec::new()));
        }
        if let Some(place) = term.offers.iter().position(|offered| offered.hash == hash) {
            let known = term.offers.get(place)?;
            let answer = (known.state, known.findings.clone());
            if known.state == ProposalState::Refused {
                // operators may propose it again once what was wrong is mended.
                term.offers.remove(place);
            }
            return Some(answer);
        }
        if term.offers.len() >= OFFERS {
            // One that is not decided yet is not forgotten for another.
            let over = term
                .offers
                .iter()
                .position(|offered| offered.state != ProposalState::Waiting)?;
            term.offers.remove(over);
        }
        term.offers.push_back(Offered {
            hash,
            map: map.clone(),
            state: ProposalState::Waiting,
            findings: Vec::new(),
        });
        term.look_at = now;
        None
    }
}
