//! Proposals of operators: submitted to the leader by the gateway that has one in its configuration, received by the
//! leader.

use super::sending::SLOW_RETRY_INTERVAL;
use super::term::{ReceivedProposal, Term};
use super::ShardMapNode;
use crate::leadership::election::LeaderElection;
use crate::protocol::{Micros, Transmit};
use crate::shards::finding::Finding;
use crate::shards::map::{MapHash, ShardMap, ShardRange};
use crate::shards::validate;
use crate::shards::wire::{
    encode_map, FindingReport, Kind, ProposalState, CHUNK_BYTES, MAX_CHUNKS,
};

/// Maximum number of proposals that a leader keeps.
const MAX_PROPOSALS: usize = 16;

/// A proposal of operators at this gateway.
#[derive(Debug)]
pub(super) struct LocalProposal {
    pub(super) map: ShardMap,
    pub(super) hash: MapHash,
    pub(super) state: ProposalState,
    pub(super) findings: Vec<FindingReport>,
    /// When it is submitted again.
    pub(super) retry_at: Micros,
}

impl ShardMapNode {
    /// Proposes to replace the map of version `expect` by one of these ranges, in place of an earlier proposal.
    pub fn propose(&mut self, now: Micros, expect: u64, ranges: Vec<ShardRange>) {
        let map = ShardMap {
            version: expect.saturating_add(1),
            parent: MapHash::NONE,
            epoch: 0,
            ranges,
        };
        let hash = map.hash();
        if self.local_proposal.as_ref().is_some_and(|proposal| {
            proposal.hash == hash && proposal.state != ProposalState::Refused
        }) {
            return;
        }
        let size = Finding::Size {
            ranges: map.ranges.len(),
            max: self.limits.ranges,
        };
        // A map that does not fit in the maximum number of chunks is rejected here.
        let too_large = map.ranges.len() > self.limits.ranges
            || encode_map(&map).len() > MAX_CHUNKS * CHUNK_BYTES;
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
        self.local_proposal = Some(LocalProposal {
            map,
            hash,
            state,
            findings,
            retry_at: now,
        });
        self.wakeup_at = self.wakeup_at.min(now);
    }

    /// Submits the proposal to the leader, again until there is a result.
    pub(super) fn submit_proposal(
        &mut self,
        now: Micros,
        election: &LeaderElection,
        sends: &mut Vec<Transmit>,
    ) {
        let Some(proposal) = &mut self.local_proposal else {
            return;
        };
        if proposal.state != ProposalState::Waiting || now < proposal.retry_at {
            return;
        }
        proposal.retry_at = now + SLOW_RETRY_INTERVAL;
        let hash = proposal.hash;
        let map = proposal.map.clone();
        match election.status(now).leader {
            Some(leader) if leader == self.me => {
                if let Some(mut term) = self.term.take() {
                    let result = Self::on_proposal(now, &mut term, hash, &map);
                    self.term = Some(term);
                    if let Some((state, findings)) = result {
                        self.on_proposal_result(hash, state, findings);
                    }
                }
            }
            Some(leader) => self.send(election, leader, None, Kind::SubmitProposal(hash), sends),
            None => {}
        }
    }

    /// Takes the result of the proposal submitted here.
    pub(super) fn on_proposal_result(
        &mut self,
        hash: MapHash,
        state: ProposalState,
        findings: Vec<FindingReport>,
    ) {
        let Some(proposal) = self
            .local_proposal
            .as_mut()
            .filter(|proposal| proposal.hash == hash)
        else {
            return;
        };
        if proposal.state != ProposalState::Waiting {
            return;
        }
        (proposal.state, proposal.findings) = (state, findings);
        if state == ProposalState::Refused {
            // The reply holds the first findings only. If this gateway finds the same rules violated, it shows all of
            // its own.
            let Some(old) = &self.map else { return };
            let map = ShardMap {
                parent: old.hash(),
                epoch: old.epoch,
                ..proposal.map.clone()
            };
            let found = validate(Some(old), &map, &self.cluster, &self.limits);
            let own: Vec<FindingReport> = found.iter().map(FindingReport::from).collect();
            if proposal
                .findings
                .iter()
                .all(|reported| own.iter().any(|found| found.rule == reported.rule))
            {
                proposal.findings = own;
            }
        }
    }

    /// State of a proposal at the leader, which takes it in if it is new. `None` if the state is not known yet.
    pub(super) fn on_proposal(
        now: Micros,
        term: &mut Term,
        hash: MapHash,
        map: &ShardMap,
    ) -> Option<(ProposalState, Vec<FindingReport>)> {
        let current = term.current.as_ref().filter(|_| term.leases_enabled)?;
        if current.ranges == map.ranges && current.version >= map.version {
            return Some((ProposalState::InForce, Vec::new()));
        }
        if let Some(position) = term
            .proposals
            .iter()
            .position(|received| received.hash == hash)
        {
            let known = term.proposals.get(position)?;
            let answer = (known.state, known.findings.clone());
            if known.state == ProposalState::Refused {
                // Operators may submit it again once they have corrected it.
                term.proposals.remove(position);
            }
            return Some(answer);
        }
        if term.proposals.len() >= MAX_PROPOSALS {
            // A proposal that waits for its decision is not dropped for another one.
            let finished = term
                .proposals
                .iter()
                .position(|received| received.state != ProposalState::Waiting)?;
            term.proposals.remove(finished);
        }
        term.proposals.push_back(ReceivedProposal {
            hash,
            map: map.clone(),
            state: ProposalState::Waiting,
            findings: Vec::new(),
        });
        term.plan_at = now;
        None
    }
}
