//! What gateways send each other about leadership: one datagram each, by name, with no wall clock in it.

use super::configuration::ConfigurationReport;
use super::voter::{VoteRejection, MAX_EPOCH};
use crate::peers::PeerId;
use crate::wire;
use serde::{Deserialize, Serialize};

/// The first byte of each of these datagrams. A gateway that does not know them counts them and drops them.
pub const VERSION: u8 = 2;

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Who sends it.
    pub from: PeerId,
    /// Which incarnation of that name.
    pub incarnation: u64,
    /// For which incarnation of the receiver it is meant; 0 where the sender knows of none.
    pub to_incarnation: u64,
    /// The sender's own clock in microseconds: it comes back as the clock that deadlines for it are told by.
    pub tick: u64,
    /// Its peer sets.
    pub peer_sets: ConfigurationReport,
    /// The highest epoch of any leader that it knows.
    pub epoch: u64,
    /// What it is for.
    pub kind: Kind,
}

/// What a datagram is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Would you grant this epoch? That costs nobody anything.
    Prepare {
        /// Comes back with the answer.
        number: u32,
        /// The epoch.
        epoch: u64,
        /// The lease, in milliseconds.
        lease_ms: u32,
    },
    /// It would, and grants no earlier epoch from now on.
    Promise(u32),
    /// Grant it.
    Ask {
        /// Comes back with the answer.
        number: u32,
        /// The epoch.
        epoch: u64,
        /// The lease, in milliseconds.
        lease_ms: u32,
        /// The sender holds leadership, until then on the receiver's clock.
        until: Option<u64>,
    },
    /// LeaseVote.
    Grant(u32),
    /// Neither promised nor granted.
    Refuse(u32, VoteRejection),
    /// The sender held leadership in this epoch and holds it no more; this name is to try first.
    Release {
        /// The epoch.
        epoch: u64,
        /// Who is to try.
        next: PeerId,
    },
    /// Who owns?
    Who(u32),
    /// What the sender knows: the leader's name and epoch, and for how many milliseconds yet.
    Leader {
        /// Of the question.
        number: u32,
        /// The leader; `None` where it knows of none.
        leader: Option<(PeerId, u64, u32)>,
    },
}

impl Kind {
    fn epoch(&self) -> u64 {
        match self {
            Kind::Prepare { epoch, .. } | Kind::Ask { epoch, .. } | Kind::Release { epoch, .. } => {
                *epoch
            }
            Kind::Refuse(_, VoteRejection::Behind(epoch)) => *epoch,
            Kind::Leader {
                leader: Some((_, epoch, _)),
                ..
            } => *epoch,
            _ => 0,
        }
    }
}

impl Datagram {
    /// Its bytes, far fewer than a datagram may have.
    pub fn encode(&self) -> Vec<u8> {
        wire::encode(VERSION, self)
    }

    /// Reads one. What is too long, of another version, or followed by anything is none.
    pub fn decode(bytes: &[u8]) -> Option<Datagram> {
        let sound = |read: &Datagram| read.epoch <= MAX_EPOCH && read.kind.epoch() <= MAX_EPOCH;
        wire::decode(VERSION, bytes).filter(sound)
    }
}
