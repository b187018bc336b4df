//! Datagrams of the shard map, and the encoding of maps, which are sent in chunks and identified by their hash.
//!
//! Encoded with postcard: the order of fields and variants is part of the wire format. Gateways of different builds run
//! side by side during an upgrade.

use super::consensus::{AcceptorReport, Ballot, MapId};
use super::finding::{Finding, Rule};
use super::leases::RangeSet;
use super::map::{Key, MapHash, ShardMap, ShardRange};
use crate::peers::PeerId;
use crate::wire;
use serde::{Deserialize, Serialize};

/// First byte of each datagram of this protocol. A gateway that does not know it counts and drops the datagram.
pub const VERSION: u8 = 3;

/// Bytes of an encoded map in one chunk.
pub const CHUNK_BYTES: usize = 1200;
/// Maximum number of chunks of a map. 1,024 ranges with names of 64 bytes for each of 300 gateways take 28.
pub const MAX_CHUNKS: usize = 80;
/// Limits of the findings in a reply: how many, and characters of each text.
const MAX_FINDINGS_ON_WIRE: usize = 5;
const MAX_FINDING_CHARS: usize = 180;

/// Proof of leadership of a request. On the wire two numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestProof {
    /// Epoch of the leader.
    pub epoch: u64,
    /// End of validity on the receiver's clock, in microseconds.
    pub valid_until: u64,
}

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Sender.
    pub from: PeerId,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Incarnation of the receiver that the datagram is meant for; 0 if the sender does not know it.
    pub to_incarnation: u64,
    /// Proof of leadership, for requests of the leader.
    pub proof: Option<RequestProof>,
    /// Message.
    pub kind: Kind,
}

/// A finding as it is reported to other gateways: rule, keys and text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindingReport {
    /// The violated rule.
    pub rule: Rule,
    /// First key concerned, if the finding concerns keys.
    pub from: Option<Key>,
    /// End (exclusive) of the keys concerned.
    pub to: Option<Key>,
    /// Text for operators: what is wrong and what to do.
    pub text: String,
}

impl From<&Finding> for FindingReport {
    fn from(finding: &Finding) -> FindingReport {
        let keys = finding.keys();
        FindingReport {
            rule: finding.rule(),
            from: keys.map(|keys| keys.0),
            to: keys.map(|keys| keys.1),
            text: finding.to_string(),
        }
    }
}

/// The first findings, shortened to what fits in a reply.
pub fn truncated_findings(findings: &[FindingReport]) -> Vec<FindingReport> {
    let truncate = |report: &FindingReport| FindingReport {
        text: report.text.chars().take(MAX_FINDING_CHARS).collect(),
        ..report.clone()
    };
    findings
        .iter()
        .take(MAX_FINDINGS_ON_WIRE)
        .map(truncate)
        .collect()
}

/// State of a proposal of operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalState {
    /// There is no proposal.
    None,
    /// The proposal is not decided.
    Waiting,
    /// The proposed map is, or was, in force.
    InForce,
    /// The proposal was rejected.
    Refused,
}

impl ProposalState {
    /// Name of the state in replies to operators.
    pub fn name(self) -> &'static str {
        match self {
            ProposalState::None => "none",
            ProposalState::Waiting => "waiting",
            ProposalState::InForce => "in force",
            ProposalState::Refused => "refused",
        }
    }
}

/// Message of a datagram. The first three are requests of the leader and carry a proof of leadership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Paxos phase one: promise to accept no lower ballot, and report the state.
    Prepare(Ballot),
    /// Paxos phase two: accept this map.
    Propose {
        /// Ballot of the proposal.
        ballot: Ballot,
        /// The proposed map.
        map: MapId,
        /// A majority may have accepted the map under an earlier ballot.
        resumed: bool,
        /// Too few acceptors have complete state; the decision rebuilds the history.
        recovery: bool,
        /// The encoded map if it fits; otherwise empty, and the receiver fetches it.
        map_bytes: Vec<u8>,
    },
    /// Grants a shard lease for the map in force.
    GrantLease {
        /// The map in force.
        map: MapId,
        /// Ranges of the map that previous owners may still own.
        blocked: RangeSet,
        /// End of the lease on the receiver's clock, in microseconds.
        expires_at: u64,
        /// No other decision is pending.
        idle: bool,
    },
    /// Reply to [`Kind::Prepare`].
    Promise {
        /// Ballot of the request.
        ballot: Ballot,
        /// State of the acceptor.
        report: AcceptorReport,
        /// The sender has had a shard lease in this incarnation.
        had_lease: bool,
        /// Milliseconds for which a lease granted before the sender's start may still be valid.
        lease_uncertainty_ms: u32,
    },
    /// Reply to [`Kind::Propose`]: accepted.
    Accepted(Ballot, MapHash),
    /// Reply to [`Kind::Propose`]: the map is not valid, with the first findings.
    Rejected(Ballot, MapHash, Vec<FindingReport>),
    /// Reply to [`Kind::GrantLease`]: the sender has taken over the map of this version, and acts by no other.
    AcknowledgeLease {
        /// Epoch of the leader that granted the lease.
        epoch: u64,
        /// Version of the map.
        version: u64,
        /// The sender has had a shard lease in this incarnation.
        had_lease: bool,
    },
    /// The sender has released all leases and shuts down gracefully.
    ReleaseLeases,
    /// Requests one chunk of the map with this hash.
    FetchChunk(MapHash, u8),
    /// Reply to [`Kind::FetchChunk`].
    Chunk {
        /// Hash of the map.
        hash: MapHash,
        /// Index of the chunk.
        index: u8,
        /// Number of chunks.
        count: u8,
        /// Bytes of the chunk.
        bytes: Vec<u8>,
    },
    /// Submits the operators' proposal with this hash to the leader.
    SubmitProposal(MapHash),
    /// Reply to [`Kind::SubmitProposal`].
    ProposalResult {
        /// Hash of the proposal.
        hash: MapHash,
        /// State of the proposal.
        state: ProposalState,
        /// The first findings, if it was rejected.
        findings: Vec<FindingReport>,
    },
}

impl Datagram {
    /// Encodes the datagram, with the version as first byte.
    pub fn encode(&self) -> Vec<u8> {
        wire::encode(VERSION, self)
    }

    /// Decodes a datagram. `None` if it is too long, of another version, or followed by further bytes.
    pub fn decode(bytes: &[u8]) -> Option<Datagram> {
        wire::decode(VERSION, bytes)
    }
}

/// A map on the wire: each owner's name once, ranges refer to it by index.
#[derive(Serialize, Deserialize)]
struct EncodedMap {
    version: u64,
    parent: MapHash,
    epoch: u64,
    names: Vec<String>,
    ranges: Vec<(Key, Key, u16)>,
}

/// Encodes a map.
pub fn encode_map(map: &ShardMap) -> Vec<u8> {
    let mut names: Vec<String> = map.ranges.iter().map(|range| range.owner.clone()).collect();
    names.sort();
    names.dedup();
    let number = |name: &String| names.binary_search(name).unwrap_or(0) as u16;
    let ranges = map
        .ranges
        .iter()
        .map(|range| (range.from, range.to, number(&range.owner)))
        .collect();
    let ShardMap {
        version,
        parent,
        epoch,
        ..
    } = *map;
    postcard::to_allocvec(&EncodedMap {
        version,
        parent,
        epoch,
        names,
        ranges,
    })
    .unwrap_or_default()
}

/// Decodes a map. `None` if the bytes are not the map with this hash.
pub fn decode_map(hash: MapHash, bytes: &[u8]) -> Option<ShardMap> {
    let EncodedMap {
        version,
        parent,
        epoch,
        names,
        ranges,
    } = postcard::from_bytes(bytes).ok()?;
    let range = |(from, to, number): (Key, Key, u16)| {
        Some(ShardRange {
            from,
            to,
            owner: names.get(usize::from(number))?.clone(),
        })
    };
    let ranges = ranges
        .into_iter()
        .map(range)
        .collect::<Option<Vec<ShardRange>>>()?;
    let map = ShardMap {
        version,
        parent,
        epoch,
        ranges,
    };
    (map.hash() == hash).then_some(map)
}
