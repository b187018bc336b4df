//! Status for operators: the map in force, a pending change, and a proposal.

use super::proposals::LocalProposal;
use super::term::Stage;
use super::ShardMapNode;
use crate::leadership::longer;
use crate::peers::peer_id_of;
use crate::protocol::Micros;
use crate::shards::leases::BlockedRanges;
use crate::shards::map::{Key, MapHash, ShardMap};
use crate::shards::wire::{FindingReport, ProposalState};
use std::collections::{BTreeMap, BTreeSet};

/// A pending change of the map.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingChange {
    /// Version after the change.
    pub version: u64,
    /// Names of the gateways whose vote, acknowledgement or release is missing.
    pub waits_for: Vec<String>,
    /// Maximum remaining time; `None` while a map is being decided, which takes as long as no majority can be reached.
    pub at_most: Option<Micros>,
}

/// State of an operators' proposal at this gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProposalStatus {
    /// State of the proposal.
    pub state: ProposalState,
    /// The version that the proposed map would have.
    pub version: u64,
    /// Findings, if it was rejected.
    pub findings: Vec<FindingReport>,
}

/// Status of the shard map.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardMapStatus {
    /// Version of the map in force; 0 without a map.
    pub version: u64,
    /// Epoch of the leader that made the map.
    pub epoch: u64,
    /// Hash of the map.
    pub hash: MapHash,
    /// Hash of the previous map.
    pub parent: MapHash,
    /// Number of ranges.
    pub ranges: usize,
    /// Number of ranges by owner.
    pub kept: BTreeMap<String, usize>,
    /// Key ranges `[from, to)` that this gateway owns now.
    pub mine: Vec<(Key, Key)>,
    /// The pending change.
    pub next: Option<PendingChange>,
    /// The proposal of operators at this gateway.
    pub proposal: ProposalStatus,
}

impl ShardMapNode {
    /// Status at this moment.
    pub fn status(&self, now: Micros) -> ShardMapStatus {
        let map = self.map.as_ref();
        let mut kept = BTreeMap::new();
        for range in map.into_iter().flat_map(|map| &map.ranges) {
            *kept.entry(range.owner.clone()).or_default() += 1;
        }
        let proposal = match &self.local_proposal {
            None => ProposalStatus {
                state: ProposalState::None,
                version: 0,
                findings: Vec::new(),
            },
            Some(LocalProposal {
                state,
                map,
                findings,
                ..
            }) => ProposalStatus {
                state: *state,
                version: map.version,
                findings: findings.clone(),
            },
        };
        ShardMapStatus {
            version: map.map_or(0, |map| map.version),
            epoch: map.map_or(0, |map| map.epoch),
            hash: map.map_or(MapHash::NONE, ShardMap::hash),
            parent: map.map_or(MapHash::NONE, |map| map.parent),
            ranges: map.map_or(0, |map| map.ranges.len()),
            kept,
            mine: self.owned_ranges(now),
            next: self.pending_change(now),
            proposal,
        }
    }

    fn pending_change(&self, now: Micros) -> Option<PendingChange> {
        if let Some(term) = &self.term {
            if let Stage::Deciding(deciding) = &term.stage {
                let waits_for = self
                    .cluster
                    .gateways
                    .keys()
                    .filter(|name| !deciding.has_vote_of(peer_id_of(name)))
                    .cloned()
                    .collect();
                return Some(PendingChange {
                    version: deciding.id.version,
                    waits_for,
                    at_most: None,
                });
            }
            let BlockedRanges { ranges, owners } = &term.blocked;
            let left = owners
                .iter()
                .map(|name| term.granted_leases.remaining(now, peer_id_of(name)))
                .max();
            let left = left.unwrap_or(term.granted_leases.unknown_until().saturating_sub(now));
            let version = term.current.as_ref().map_or(0, |map| map.version);
            return (!ranges.is_empty()).then(|| PendingChange {
                version,
                waits_for: owners.clone(),
                at_most: Some(left),
            });
        }
        // A follower knows its own blocked ranges only.
        let lease = self
            .local_shards
            .lease(now)
            .filter(|lease| !lease.blocked.is_empty())?;
        let map = self.map.as_ref()?;
        let mut waits_for = BTreeSet::new();
        for (number, range) in map.ranges.iter().enumerate() {
            if range.owner == self.name && lease.blocked.contains(number) {
                let had = self.previous.iter().flat_map(|previous| &previous.ranges);
                let had = had.filter(|had| had.from < range.to && range.from < had.to);
                waits_for.extend(
                    had.filter(|had| had.owner != self.name)
                        .map(|had| had.owner.clone()),
                );
            }
        }
        let waits_for: Vec<String> = waits_for.into_iter().collect();
        let at_most = Some(longer(self.lease_duration));
        (!waits_for.is_empty()).then_some(PendingChange {
            version: map.version,
            waits_for,
            at_most,
        })
    }
}
