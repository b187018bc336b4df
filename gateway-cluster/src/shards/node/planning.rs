//! Which map the leader proposes next, once all ranges of the last one are where they belong.

use super::sending::LOOK;
use super::term::{finish_offer, waits, Term};
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
    pub(super) fn change(
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
        if now < term.look_at || !election.is_majority(|name| lives.contains(&name)) {
            return false;
        }
        if !waits(now, term).0.is_empty() {
            return false;
        }
        term.look_at = now + LOOK;
        let mut note = None;
        let mut next = plan::without(current, cluster, &limits).unwrap_or_else(|problem| {
            note = Some(ShardMapEvent::Refused(problem.to_string()));
            None
        });
        let mut offer = None;
        let mut refused = Vec::new();
        for offered in term
            .offers
            .iter()
            .filter(|offered| offered.state == ProposalState::Waiting)
        {
            if next.is_some() {
                break;
            }
            let map = ShardMap {
                parent: current.hash(),
                epoch: term.epoch,
                ..offered.map.clone()
            };
            let findings = validate(Some(current), &map, cluster, &limits);
            if findings.is_empty() {
                (next, offer) = (Some(map), Some(offered.hash));
            } else {
                refused.push((
                    offered.hash,
                    findings.iter().map(FindingReport::from).collect(),
                ));
            }
        }
        if next.is_none() && now >= term.elected + self.keep {
            let planned = Limits {
                moved_permille: PLANNED_PERMILLE,
                ..limits
            };
            let keeps: BTreeSet<&str> = current
                .ranges
                .iter()
                .map(|range| range.owner.as_str())
                .collect();
            let new = cluster.living().filter(|name| !keeps.contains(name));
            next = plan::joined(current, new, cluster, &planned).unwrap_or_else(|problem| {
                note = Some(ShardMapEvent::Refused(problem.to_string()));
                None
            });
        }
        for (hash, findings) in refused {
            finish_offer(term, hash, ProposalState::Refused, findings);
        }
        if let Some(note) = note {
            self.note(note);
        }
        let Some(map) = next else { return false };
        self.begin(now, term, map, false, offer);
        true
    }
}
