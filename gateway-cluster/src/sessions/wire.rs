//! What front doors send each other about customers: counts to a keeper, its questions, and its verdicts.

use super::evidence::{Report, Window};
use super::keep::{Shown, Verdict};
use super::{Customer, Fence, Pooling};
use crate::names::Id;
use crate::wire::{self, MOST_BYTES};
use serde::{Deserialize, Serialize};

/// The first byte of each of these datagrams. A door that does not know them counts them and drops them.
pub const VERSION: u8 = 4;

/// Bytes of what is put together in one datagram: the rest is for what stands before it.
pub const ROOM: usize = MOST_BYTES - 72;

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Who sends it.
    pub from: Id,
    /// Which life of that name: a later process has a higher one.
    pub life: u64,
    /// For which life of the receiver it is meant; 0 where the sender knows of none.
    pub to_life: u64,
    /// What it is for.
    pub kind: Kind,
}

/// What a datagram is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// The whole of what the sender has counted of some customers.
    Report {
        /// It has now sent all that this roll of the receiver asked for; 0 for none.
        rolled: u32,
        /// The counts.
        counts: Vec<Counts>,
    },
    /// Tell what you have counted of all customers that I keep.
    Roll(u32),
    /// Tell what you have counted of these, also where that is nothing.
    Ask(Vec<Customer>),
    /// What a keeper has decided.
    Verdicts {
        /// By which right.
        fence: Fence,
        /// What.
        said: Vec<Said>,
    },
}

/// A report on the way: its door and life are the datagram's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    customer: Customer,
    sequence: u64,
    held: Pooling,
    in_run: Vec<(Window, u32)>,
    between: Vec<(Window, u32)>,
}

impl From<Report> for Counts {
    fn from(report: Report) -> Counts {
        let Report {
            customer,
            sequence,
            held,
            in_run,
            between,
            ..
        } = report;
        Counts {
            customer,
            sequence,
            held,
            in_run,
            between,
        }
    }
}

impl Counts {
    /// Of whom.
    pub fn customer(&self) -> Customer {
        self.customer
    }

    /// The report of this door and life.
    pub fn report(self, door: &str, life: u64) -> Report {
        let Counts {
            customer,
            sequence,
            held,
            in_run,
            between,
        } = self;
        Report {
            door: door.to_string(),
            life,
            sequence,
            customer,
            held,
            in_run,
            between,
        }
    }
}

/// A verdict on the way: its fence and its keeper's life are the datagram's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Said {
    customer: Customer,
    pooling: Pooling,
    round: u64,
    age_ms: u64,
    reports: Vec<Id>,
    evidence: Shown,
}

impl Said {
    /// A verdict, with its doors by their ids.
    pub fn new(verdict: &Verdict, id_of: impl Fn(&str) -> Id) -> Said {
        Said {
            customer: verdict.customer,
            pooling: verdict.pooling,
            round: verdict.round.1,
            age_ms: verdict.age / 1000,
            reports: verdict.reports.iter().map(|door| id_of(door)).collect(),
            evidence: verdict.evidence,
        }
    }

    /// The verdict of a keeper's life, under its fence.
    pub fn verdict(self, fence: Fence, life: u64, name_of: impl Fn(Id) -> String) -> Verdict {
        Verdict {
            customer: self.customer,
            pooling: self.pooling,
            fence,
            round: (life, self.round),
            age: self.age_ms.saturating_mul(1000),
            reports: self.reports.into_iter().map(name_of).collect(),
            evidence: self.evidence,
        }
    }
}

/// How much of a datagram's room this takes.
pub fn size(part: &impl Serialize) -> usize {
    postcard::to_allocvec(part).map_or(ROOM, |bytes| bytes.len())
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
