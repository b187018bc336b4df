//! What gateways send each other about the shard map: datagrams by name, and maps in parts, by their hashes.

use super::consensus::{AcceptorReport, Ballot, MapId};
use super::finding::{Finding, Rule};
use super::leases::RangeSet;
use super::map::{Key, MapHash, ShardMap, ShardRange};
use crate::peers::PeerId;
use crate::wire;
use serde::{Deserialize, Serialize};

/// The first byte of each of these datagrams. A gateway that does not know them counts them and drops them.
pub const VERSION: u8 = 3;

/// Bytes of a map in one datagram.
pub const CHUNK_BYTES: usize = 1200;
/// Most parts of a map: 1,024 ranges with names of 64 bytes for each of 300 gateways take 28.
pub const MAX_CHUNKS: usize = 80;
/// Findings that an answer has room for, each text cut to so many characters.
const MAX_FINDINGS_ON_WIRE: usize = 5;
const MAX_FINDING_CHARS: usize = 180;

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Who sends it.
    pub from: PeerId,
    /// Which incarnation of that name.
    pub incarnation: u64,
    /// For which incarnation of the receiver it is meant; 0 where the sender knows of none.
    pub to_incarnation: u64,
    /// For an act of the leader: its epoch, and until when it is of use, on the receiver's clock.
    pub stamp: Option<(u64, u64)>,
    /// What it is for.
    pub kind: Kind,
}

/// A finding as it is told: without its parts, which only the gateway that found it needs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindingReport {
    /// The rule.
    pub rule: Rule,
    /// The first key that it is about, if it is about keys.
    pub from: Option<Key>,
    /// The first key after those.
    pub to: Option<Key>,
    /// What is wrong and what to do.
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

/// As many findings as an answer has room for.
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

/// What became of a proposal of operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalState {
    /// There is none.
    None,
    /// It is not decided.
    Waiting,
    /// It is, or was, in force.
    InForce,
    /// It was refused.
    Refused,
}

impl ProposalState {
    /// Its word.
    pub fn name(self) -> &'static str {
        match self {
            ProposalState::None => "none",
            ProposalState::Waiting => "waiting",
            ProposalState::InForce => "in force",
            ProposalState::Refused => "refused",
        }
    }
}

/// What a datagram is for. The first three are acts of the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// What do you know? Accept nothing of a lower ballot from now on.
    Prepare(Ballot),
    /// Accept this map.
    Propose {
        /// The ballot.
        ballot: Ballot,
        /// The map.
        map: MapId,
        /// A majority may have accepted it under an earlier leader.
        resumed: bool,
        /// Too few remember what they accepted before: this is where a history starts, or goes on.
        recovery: bool,
        /// Its bytes, where they have room; else it is fetched.
        map_bytes: Vec<u8>,
    },
    /// This map is in force. Keep what it gives you, but for what waits, until then on your clock.
    GrantLease {
        /// The map.
        map: MapId,
        /// Ranges that others may still keep.
        blocked: RangeSet,
        /// The end of the keep lease.
        expires_at: u64,
        /// Nothing else is being decided.
        idle: bool,
    },
    /// Answers [`Kind::Learn`].
    Promise {
        /// Of the question.
        ballot: Ballot,
        /// What the sender knows.
        report: AcceptorReport,
        /// It has had a keep lease in this incarnation.
        had_lease: bool,
        /// It began so short ago that for so long yet, in milliseconds, somebody may keep by what was given before.
        lease_uncertainty_ms: u32,
    },
    /// Accepted.
    Accepted(Ballot, MapHash),
    /// Not accepted.
    Rejected(Ballot, MapHash, Vec<FindingReport>),
    /// The sender has taken over the map of this version and hash, in this epoch, and keeps by no other.
    AcknowledgeLease {
        /// The epoch.
        epoch: u64,
        /// The map's version.
        version: u64,
        /// It has had a keep lease in this incarnation.
        had_lease: bool,
    },
    /// The sender keeps nothing, and goes.
    ReleaseLeases,
    /// Transmit a part of the map with this hash.
    FetchChunk(MapHash, u8),
    /// A part of it.
    Chunk {
        /// The map.
        hash: MapHash,
        /// Which part.
        index: u8,
        /// Of how many.
        count: u8,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// operators propose the map with this hash.
    SubmitProposal(MapHash),
    /// What became of it.
    ProposalResult {
        /// The proposal.
        hash: MapHash,
        /// Its state.
        state: ProposalState,
        /// The first few findings.
        findings: Vec<FindingReport>,
    },
}

impl Datagram {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        wire::encode(VERSION, self)
    }

    /// Reads one. What is too long, of another version, or followed by anything is none.
    pub fn decode(bytes: &[u8]) -> Option<Datagram> {
        wire::decode(VERSION, bytes)
    }
}

/// A map as it is sent: each name once.
#[derive(Serialize, Deserialize)]
struct EncodedMap {
    version: u64,
    parent: MapHash,
    epoch: u64,
    names: Vec<String>,
    ranges: Vec<(Key, Key, u16)>,
}

/// A map's bytes.
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

/// Puts parts together. None if they are not the bytes of the map with this hash.
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
