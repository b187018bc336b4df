//! The leader's choice of the next map, once no range of the last one is blocked.
//!
//! In order: a map without the owners that are gone, a proposal of operators, a map with new owners.

use super::sending::PLANNING_INTERVAL;
use super::term::{blocked_now, finish_proposal, Progress, Term};
use super::{ShardMapEvent, ShardMapNode};
use crate::leadership::election::LeaderElection;
use crate::peers::{peer_id_of, PeerId};
use crate::protocol::Micros;
use crate::shards::map::ShardMap;
use crate::shards::wire::{FindingReport, ProposalState};
use crate::shards::{plan, validate, Limits};
use std::collections::BTreeSet;

/// Maximum number of keys that the leader's own plans move at once, in thousandths.
const PLANNED_PERMILLE: u32 = 250;

impl ShardMapNode {
    /// Proposes the next map, if there is one and no range of the map in force is blocked.
    pub(super) fn maybe_propose_next(
        &mut self,
        now: Micros,
        term: &mut Term,
        election: &LeaderElection,
    ) -> Progress {
        let Some(current) = &term.current else {
            return Progress::Waiting;
        };
        self.cluster.epoch = term.epoch;
        let (cluster, limits) = (&self.cluster, self.limits);
        let alive: BTreeSet<PeerId> = cluster.living().map(peer_id_of).collect();
        if now < term.plan_at || !election.is_majority(|name| alive.contains(&name)) {
            return Progress::Waiting;
        }
        if !blocked_now(now, term).ranges.is_empty() {
            return Progress::Waiting;
        }
        term.plan_at = now + PLANNING_INTERVAL;
        let mut event = None;
        let mut next =
            plan::replace_lost_owners(current, cluster, &limits).unwrap_or_else(|error| {
                event = Some(ShardMapEvent::Refused(error.to_string()));
                None
            });
        let mut proposal = None;
        let mut rejected = Vec::new();
        for received in term
            .proposals
            .iter()
            .filter(|received| received.state == ProposalState::Waiting)
        {
            if next.is_some() {
                break;
            }
            let map = ShardMap {
                parent: current.hash(),
                epoch: term.epoch,
                ..received.map.clone()
            };
            let findings = validate(Some(current), &map, cluster, &limits);
            if findings.is_empty() {
                (next, proposal) = (Some(map), Some(received.hash));
            } else {
                rejected.push((
                    received.hash,
                    findings.iter().map(FindingReport::from).collect(),
                ));
            }
        }
        if next.is_none() && now >= term.elected_at + self.lease_duration {
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
            next = plan::add_owners(current, new, cluster, &planned).unwrap_or_else(|error| {
                event = Some(ShardMapEvent::Refused(error.to_string()));
                None
            });
        }
        for (hash, findings) in rejected {
            finish_proposal(term, hash, ProposalState::Refused, findings);
        }
        if let Some(event) = event {
            self.record_event(event);
        }
        let Some(map) = next else {
            return Progress::Waiting;
        };
        self.propose_map(now, term, map, false, proposal);
        Progress::Advanced
    }
}
