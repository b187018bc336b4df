//! Which map the leader proposes next, once all ranges of the last one are where they belong.

use super::sending::PLANNING_INTERVAL;
use super::term::{blocked_now, finish_proposal, Term};
use super::{ShardMapEvent, ShardMapNode};
use crate::leadership::election::LeaderElection;
use crate::peers::{peer_id_of, PeerId};
use crate::protocol::Micros;
use crate::shards::map::ShardMap;
use crate::shards::wire::{FindingReport, ProposalState};
use crate::shards::{plan, validate, Limits};
use std::collections::BTreeSet;

/// Most keys that move at once by the leader's own plans, in thousandths.
const PLANNED_PERMILLE: u32 = 250;

impl ShardMapNode {
    /// The next map, if there is one to be decided and the last one is where it belongs.
    pub(super) fn maybe_propose_next(
        &mut self,
        now: Micros,
        term: &mut Term,
        election: &LeaderElection,
    ) -> bool {
        let Some(current) = &term.current else {
            return false;
        };
        self.cluster.epoch = term.epoch;
        let (cluster, limits) = (&self.cluster, self.limits);
        let lives: BTreeSet<PeerId> = cluster.living().map(peer_id_of).collect();
        if now < term.plan_at || !election.is_majority(|name| lives.contains(&name)) {
            return false;
        }
        if !blocked_now(now, term).0.is_empty() {
            return false;
        }
        term.plan_at = now + PLANNING_INTERVAL;
        let mut event = None;
        let mut next =
            plan::replace_lost_owners(current, cluster, &limits).unwrap_or_else(|problem| {
                event = Some(ShardMapEvent::Refused(problem.to_string()));
                None
            });
        let mut proposal = None;
        let mut refused = Vec::new();
        for on_proposal in term
            .proposals
            .iter()
            .filter(|on_proposal| on_proposal.state == ProposalState::Waiting)
        {
            if next.is_some() {
                break;
            }
            let map = ShardMap {
                parent: current.hash(),
                epoch: term.epoch,
                ..on_proposal.map.clone()
            };
            let findings = validate(Some(current), &map, cluster, &limits);
            if findings.is_empty() {
                (next, proposal) = (Some(map), Some(on_proposal.hash));
            } else {
                refused.push((
                    on_proposal.hash,
                    findings.iter().map(FindingReport::from).collect(),
                ));
            }
        }
        if next.is_none() && now >= term.elected + self.lease_duration {
            let planned = Limits {
                moved_permille: PLANNED_PERMILLE,
                ..limits
            };
            let owners: BTreeSet<&str> = current
                .ranges
                .iter()
                .map(|range| range.owner.as_str())
                .collect();
            let new = cluster.living().filter(|name| !owners.contains(name));
            next = plan::add_owners(current, new, cluster, &planned).unwrap_or_else(|problem| {
                event = Some(ShardMapEvent::Refused(problem.to_string()));
                None
            });
        }
        for (hash, findings) in refused {
            finish_proposal(term, hash, ProposalState::Refused, findings);
        }
        if let Some(event) = event {
            self.record_event(event);
        }
        let Some(map) = next else { return false };
        self.propose_map(now, term, map, false, proposal);
        true
    }
}
