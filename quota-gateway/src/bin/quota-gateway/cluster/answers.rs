//! The answers to the operators' calls `fleet`, `owner`, `shards` and `session`: one line of JSON each. The JSON keys
//! are an interface that operators' scripts and the fault lab read; they keep their names.

use crate::cluster::customer_id::parse_customer_id;
use crate::cluster::error::ClusterError;
use crate::cluster::handle::Cluster;
use gateway_cluster::membership::{DroppedDatagrams, Membership, PartitionSide};
use gateway_cluster::node::ClusterNode;
use gateway_cluster::protocol::PeerState;
use gateway_cluster::sessions::verdicts::EvidenceSummary;
use gateway_cluster::sessions::Pooling;
use gateway_cluster::shards::wire::FindingReport;
use gateway_cluster::shards::{Key, MapHash, Rule};
use serde::Serialize;
use std::collections::BTreeMap;

/// Microseconds in a millisecond: the node counts microseconds, the answers milliseconds.
const MICROS_PER_MS: u64 = 1000;

/// Datagrams sent or received since the process started.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(super) struct DatagramCounts {
    pub(super) messages: u64,
    /// With the headers of IP and UDP.
    pub(super) bytes: u64,
}

/// The answer to the call `fleet`.
#[derive(Serialize)]
struct MembershipAnswer<'a> {
    name: &'a str,
    incarnation: u64,
    #[serde(rename = "roster")]
    peer_set_size: usize,
    alive: Vec<&'a str>,
    suspect: Vec<&'a str>,
    dead: Vec<&'a str>,
    side: &'static str,
    #[serde(rename = "settled_ms")]
    unchanged_ms: u64,
    digest: String,
    sent: DatagramCounts,
    received: DatagramCounts,
    dropped: DroppedCounts,
}

/// Received datagrams that were dropped, by reason.
#[derive(Serialize)]
struct DroppedCounts {
    malformed: u64,
    unknown: u64,
    stale: u64,
}

impl From<DroppedDatagrams> for DroppedCounts {
    fn from(dropped: DroppedDatagrams) -> DroppedCounts {
        let DroppedDatagrams {
            malformed,
            unknown,
            stale,
        } = dropped;
        DroppedCounts {
            malformed,
            unknown,
            stale,
        }
    }
}

/// The answer to the call `owner`.
#[derive(Serialize)]
struct LeaderAnswer<'a> {
    name: &'a str,
    #[serde(rename = "owner")]
    leader: Option<String>,
    epoch: u64,
    #[serde(rename = "mine")]
    is_leader: bool,
    /// Remaining time of the lease of this gateway's leadership.
    #[serde(rename = "left_ms")]
    remaining_ms: u64,
    /// Time until this gateway votes for a candidate.
    #[serde(rename = "quiet_ms")]
    no_votes_ms: u64,
    /// Requests sent as leader that were rejected.
    #[serde(rename = "refused")]
    rejected: u64,
}

/// The answer to the call `shards`.
#[derive(Serialize)]
struct ShardMapAnswer {
    version: u64,
    epoch: u64,
    hash: MapHash,
    parent: MapHash,
    ranges: usize,
    /// Number of ranges by the name of their owner.
    #[serde(rename = "kept")]
    ranges_by_owner: BTreeMap<String, usize>,
    /// Ranges that this gateway owns, each from its first key up to and without its last.
    #[serde(rename = "mine")]
    owned_ranges: Vec<(Key, Key)>,
    next: Option<NextMapAnswer>,
    proposal: ProposalAnswer,
}

/// The next version of the shard map, while shards move to its owners.
#[derive(Serialize)]
struct NextMapAnswer {
    version: u64,
    /// Names of the owners whose leases have to end first.
    waits_for: Vec<String>,
    /// `None` while a map is being decided, which takes a reachable majority.
    #[serde(rename = "at_most_ms")]
    max_wait_ms: Option<u64>,
}

/// The shard map that the configuration of this gateway proposes.
#[derive(Serialize)]
struct ProposalAnswer {
    state: &'static str,
    version: u64,
    findings: Vec<FindingAnswer>,
}

/// A rule that the proposed shard map breaks.
#[derive(Serialize)]
struct FindingAnswer {
    rule: Rule,
    #[serde(skip_serializing_if = "Option::is_none")]
    from: Option<Key>,
    #[serde(skip_serializing_if = "Option::is_none")]
    to: Option<Key>,
    text: String,
}

impl From<FindingReport> for FindingAnswer {
    fn from(report: FindingReport) -> FindingAnswer {
        let FindingReport {
            rule,
            from,
            to,
            text,
        } = report;
        FindingAnswer {
            rule,
            from,
            to,
            text,
        }
    }
}

/// The answer to the call `session`.
#[derive(Serialize)]
struct SessionAnswer {
    customer: String,
    #[serde(rename = "keeper")]
    owner: Option<String>,
    pooling: Pooling,
    epoch: u64,
    version: u64,
    age_ms: u64,
    reports: Vec<String>,
    evidence: EvidenceSummary,
}

/// The name of a side of a network partition, in the answer to `fleet`.
fn partition_side_name(side: PartitionSide) -> &'static str {
    match side {
        PartitionSide::Complete => "whole",
        PartitionSide::Majority => "majority",
        PartitionSide::Minority => "minority",
        PartitionSide::Alone => "alone",
    }
}

/// The names of all gateways in one state.
fn names_in_state(membership: &Membership, wanted: PeerState) -> Vec<&str> {
    let states = membership.states();
    membership
        .names()
        .iter()
        .zip(&states)
        .filter(|(_, state)| **state == wanted)
        .map(|(name, _)| name.as_str())
        .collect()
}

fn to_json(answer: &impl Serialize) -> Result<String, ClusterError> {
    serde_json::to_string(answer).map_err(ClusterError::Serialize)
}

impl Cluster {
    /// The answer to the call `fleet`: this gateway's view of the membership.
    ///
    /// # Errors
    /// [`ClusterError::NotRunning`] while the UDP port cannot be opened, and [`ClusterError::Serialize`].
    pub(crate) fn membership_answer(&self) -> Result<String, ClusterError> {
        let node = self.node.borrow();
        let node = node.as_ref().ok_or_else(|| self.not_running())?;
        let membership = node.view();
        let (messages, bytes) = node.sent();
        to_json(&MembershipAnswer {
            name: &self.settings.borrow().name,
            incarnation: membership.incarnation(),
            peer_set_size: membership.names().len(),
            alive: names_in_state(membership, PeerState::Alive),
            suspect: names_in_state(membership, PeerState::Suspect),
            dead: names_in_state(membership, PeerState::Dead),
            side: partition_side_name(membership.side()),
            unchanged_ms: membership.settled(self.now()) / MICROS_PER_MS,
            digest: format!("{:016x}", membership.digest()),
            sent: DatagramCounts { messages, bytes },
            received: self.received.get(),
            dropped: node.dropped().into(),
        })
    }

    /// The answer to the call `owner`: the leader as this gateway knows it; `None` where no lease is configured.
    ///
    /// # Errors
    /// As for [`Cluster::membership_answer`].
    pub(crate) fn leader_answer(&self) -> Result<Option<String>, ClusterError> {
        if self.settings.borrow().lease.is_none() {
            return Ok(None);
        }
        let node = self.node.borrow();
        let election = node.as_ref().and_then(ClusterNode::election);
        let election = election.ok_or_else(|| self.not_running())?;
        let status = election.status(self.now());
        to_json(&LeaderAnswer {
            name: &self.settings.borrow().name,
            leader: status.leader.map(|leader| self.name_of(leader)),
            epoch: status.epoch,
            is_leader: status.mine,
            remaining_ms: status.left / MICROS_PER_MS,
            no_votes_ms: status.quiet.div_ceil(MICROS_PER_MS),
            rejected: status.refused,
        })
        .map(Some)
    }

    /// The answer to the call `shards`: the shard map as this gateway knows it; `None` where no shards are configured.
    ///
    /// # Errors
    /// As for [`Cluster::membership_answer`].
    pub(crate) fn shard_map_answer(&self) -> Result<Option<String>, ClusterError> {
        if self.settings.borrow().shards.is_none() {
            return Ok(None);
        }
        let node = self.node.borrow();
        let shard_map = node.as_ref().and_then(ClusterNode::shard_map);
        let shard_map = shard_map.ok_or_else(|| self.not_running())?;
        let status = shard_map.status(self.now());
        let next = status.next.map(|next| NextMapAnswer {
            version: next.version,
            waits_for: next.waits_for,
            max_wait_ms: next
                .at_most
                .map(|max_wait| max_wait.div_ceil(MICROS_PER_MS)),
        });
        let findings = status.proposal.findings.into_iter();
        to_json(&ShardMapAnswer {
            version: status.version,
            epoch: status.epoch,
            hash: status.hash,
            parent: status.parent,
            ranges: status.ranges,
            ranges_by_owner: status.kept,
            owned_ranges: status.mine,
            next,
            proposal: ProposalAnswer {
                state: status.proposal.state.name(),
                version: status.proposal.version,
                findings: findings.map(FindingAnswer::from).collect(),
            },
        })
        .map(Some)
    }

    /// The answer to the call `session`: the verdict on a customer's sessions; `None` where sessions are not classified.
    ///
    /// # Errors
    /// As for [`Cluster::membership_answer`], and [`ClusterError::InvalidCustomerId`].
    pub(crate) fn session_answer(&self, id: &str) -> Result<Option<String>, ClusterError> {
        if !self.has_sessions() {
            return Ok(None);
        }
        let customer = parse_customer_id(id)?;
        let node = self.node.borrow();
        let status = node
            .as_ref()
            .and_then(|node| node.session_status(self.now(), customer))
            .ok_or_else(|| self.not_running())?;
        to_json(&SessionAnswer {
            customer: format!("{customer:016x}"),
            owner: status.owner,
            pooling: status.pooling,
            epoch: status.fence.epoch,
            version: status.fence.version,
            age_ms: status.age / MICROS_PER_MS,
            reports: status.reports,
            evidence: status.evidence,
        })
        .map(Some)
    }

    fn not_running(&self) -> ClusterError {
        ClusterError::NotRunning {
            listen: self.settings.borrow().listen,
        }
    }
}

#[cfg(test)]
mod tests;
