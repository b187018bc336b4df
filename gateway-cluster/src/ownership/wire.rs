//! What front doors send each other about the office: one datagram each, by name, with no wall clock in it.

use super::grants::{Refusal, MOST_EPOCH};
use super::rosters::Told;
use crate::names::Id;
use crate::wire;
use serde::{Deserialize, Serialize};

/// The first byte of each of these datagrams. A door that does not know them counts them and drops them.
pub const VERSION: u8 = 2;

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Who sends it.
    pub from: Id,
    /// Which life of that name.
    pub life: u64,
    /// For which life of the receiver it is meant; 0 where the sender knows of none.
    pub to_life: u64,
    /// The sender's own clock in microseconds: it comes back as the clock that deadlines for it are told by.
    pub tick: u64,
    /// Its rosters.
    pub rosters: Told,
    /// The highest term of any owner that it knows.
    pub epoch: u64,
    /// What it is for.
    pub kind: Kind,
}

/// What a datagram is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Would you grant this term? That costs nobody anything.
    Prepare {
        /// Comes back with the answer.
        number: u32,
        /// The term.
        epoch: u64,
        /// The lease, in milliseconds.
        lease_ms: u32,
    },
    /// It would, and grants no earlier term from now on.
    Promise(u32),
    /// Grant it.
    Ask {
        /// Comes back with the answer.
        number: u32,
        /// The term.
        epoch: u64,
        /// The lease, in milliseconds.
        lease_ms: u32,
        /// The sender holds the office, until then on the receiver's clock.
        until: Option<u64>,
    },
    /// Granted.
    Grant(u32),
    /// Neither promised nor granted.
    Refuse(u32, Refusal),
    /// The sender held the office in this term and holds it no more; this name is to try first.
    Release {
        /// The term.
        epoch: u64,
        /// Who is to try.
        next: Id,
    },
    /// Who owns?
    Who(u32),
    /// What the sender knows: the owner's name and term, and for how many milliseconds yet.
    Owner {
        /// Of the question.
        number: u32,
        /// The owner; `None` where it knows of none.
        owner: Option<(Id, u64, u32)>,
    },
}

impl Kind {
    fn epoch(&self) -> u64 {
        match self {
            Kind::Prepare { epoch, .. } | Kind::Ask { epoch, .. } | Kind::Release { epoch, .. } => {
                *epoch
            }
            Kind::Refuse(_, Refusal::Behind(epoch)) => *epoch,
            Kind::Owner {
                owner: Some((_, epoch, _)),
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
        let sound = |read: &Datagram| read.epoch <= MOST_EPOCH && read.kind.epoch() <= MOST_EPOCH;
        wire::decode(VERSION, bytes).filter(sound)
    }
}
