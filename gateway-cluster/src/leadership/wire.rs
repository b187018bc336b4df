//! Datagrams of the leader election. Durations are in milliseconds; times are on the monotonic clock of the gateway that the
//! field names. No wall clock is sent. The bytes are fixed by `tests/compatibility.rs`.

use super::configuration::ConfigurationReport;
use super::voter::{VoteRejection, MAX_EPOCH};
use crate::peers::PeerId;
use crate::wire;
use serde::{Deserialize, Serialize};

/// Version byte of the leader election, the first byte of each of its datagrams. Builds that do not know it count the
/// datagram as malformed.
pub const VERSION: u8 = 2;

/// A datagram of the leader election.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender.
    pub from: PeerId,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The incarnation of the receiver that the sender knows; 0 if it knows none.
    pub to_incarnation: u64,
    /// The sender's monotonic clock in microseconds. Peers state deadlines for this gateway on it.
    pub tick: u64,
    /// The sender's peer sets.
    pub peer_sets: ConfigurationReport,
    /// The highest epoch of any leader that the sender knows.
    pub epoch: u64,
    /// The message.
    pub kind: Kind,
}

/// The message of a datagram. Numbers match an answer to its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Requests a promise for this epoch: whether the receiver would vote for it.
    Prepare {
        /// Number of the request.
        number: u32,
        /// The epoch.
        epoch: u64,
        /// The lease, in milliseconds.
        lease_ms: u32,
    },
    /// The promise: the sender rejects earlier epochs for a while.
    Promise(u32),
    /// Requests a vote, or renews it.
    Ask {
        /// Number of the request.
        number: u32,
        /// The epoch.
        epoch: u64,
        /// The lease, in milliseconds.
        lease_ms: u32,
        /// For a renewal by the leader: the end of its lease, on the receiver's clock.
        until: Option<u64>,
    },
    /// The vote.
    Vote(u32),
    /// Rejects a request for a promise or a vote.
    Reject(u32, VoteRejection),
    /// The sender releases its lease of this epoch.
    Release {
        /// The epoch.
        epoch: u64,
        /// The peer that should campaign first.
        next: PeerId,
    },
    /// Requests the known leader.
    QueryLeader(u32),
    /// The answer: the leader that the sender knows.
    LeaderReport {
        /// Number of the request.
        number: u32,
        /// Peer id and epoch of the leader, and the remaining milliseconds of its lease; `None` if the sender knows none.
        leader: Option<(PeerId, u64, u32)>,
    },
}

impl Kind {
    fn epoch(&self) -> u64 {
        match self {
            Kind::Prepare { epoch, .. } | Kind::Ask { epoch, .. } | Kind::Release { epoch, .. } => {
                *epoch
            }
            Kind::Reject(_, VoteRejection::EpochOutdated(epoch)) => *epoch,
            Kind::LeaderReport {
                leader: Some((_, epoch, _)),
                ..
            } => *epoch,
            _ => 0,
        }
    }
}

impl Datagram {
    /// Encodes the datagram.
    pub fn encode(&self) -> Vec<u8> {
        wire::encode(VERSION, self)
    }

    /// Decodes a datagram. Returns `None` for malformed bytes and for epochs beyond [`MAX_EPOCH`].
    pub fn decode(bytes: &[u8]) -> Option<Datagram> {
        let has_valid_epochs =
            |read: &Datagram| read.epoch <= MAX_EPOCH && read.kind.epoch() <= MAX_EPOCH;
        wire::decode(VERSION, bytes).filter(has_valid_epochs)
    }
}
