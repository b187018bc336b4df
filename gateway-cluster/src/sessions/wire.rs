//! What gateways send each other about customers: counts to an owner, its questions, and its verdicts.

use super::evidence::{Report, Window};
use super::verdicts::{EvidenceSummary, Verdict};
use super::{Customer, FencingToken, Pooling};
use crate::peers::PeerId;
use crate::wire::{self, MAX_DATAGRAM_BYTES};
use serde::{Deserialize, Serialize};

/// The first byte of each of these datagrams. A gateway that does not know them counts them and drops them.
pub const VERSION: u8 = 4;

/// Bytes of what is put together in one datagram: the rest is for what stands before it.
pub const MAX_ITEM_BYTES: usize = MAX_DATAGRAM_BYTES - 72;

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Who sends it.
    pub from: PeerId,
    /// Which incarnation of that name: a later process has a higher one.
    pub incarnation: u64,
    /// For which incarnation of the receiver it is meant; 0 where the sender knows of none.
    pub to_incarnation: u64,
    /// What it is for.
    pub kind: Kind,
}

/// What a datagram is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// The whole of what the sender has counted of some customers.
    Report {
        /// It has now sent all that this roll of the receiver asked for; 0 for none.
        completed_collection: u32,
        /// The counts.
        counts: Vec<ReportMessage>,
    },
    /// Tell what you have counted of all customers that I keep.
    CollectReports(u32),
    /// Tell what you have counted of these, also where that is nothing.
    RequestReports(Vec<Customer>),
    /// What an owner has decided.
    Verdicts {
        /// By which right.
        fence: FencingToken,
        /// What.
        verdicts: Vec<VerdictMessage>,
    },
}

/// A report on the way: its gateway and incarnation are the datagram's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportMessage {
    customer: Customer,
    sequence: u64,
    pooling: Pooling,
    in_run: Vec<(Window, u32)>,
    between_runs: Vec<(Window, u32)>,
}

impl From<Report> for ReportMessage {
    fn from(report: Report) -> ReportMessage {
        let Report {
            customer,
            sequence,
            pooling,
            in_run,
            between_runs,
            ..
        } = report;
        ReportMessage {
            customer,
            sequence,
            pooling,
            in_run,
            between_runs,
        }
    }
}

impl ReportMessage {
    /// Of whom.
    pub fn customer(&self) -> Customer {
        self.customer
    }

    /// The report of this gateway and incarnation.
    pub fn report(self, gateway: &str, incarnation: u64) -> Report {
        let ReportMessage {
            customer,
            sequence,
            pooling,
            in_run,
            between_runs,
        } = self;
        Report {
            gateway: gateway.to_string(),
            incarnation,
            sequence,
            customer,
            pooling,
            in_run,
            between_runs,
        }
    }
}

/// A verdict on the way: its fence and its owner's incarnation are the datagram's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictMessage {
    customer: Customer,
    pooling: Pooling,
    sequence: u64,
    age_ms: u64,
    reports: Vec<PeerId>,
    evidence: EvidenceSummary,
}

impl VerdictMessage {
    /// A verdict, with its gateways by their ids.
    pub fn new(verdict: &Verdict, peer_id_of: impl Fn(&str) -> PeerId) -> VerdictMessage {
        VerdictMessage {
            customer: verdict.customer,
            pooling: verdict.pooling,
            sequence: verdict.sequence.1,
            age_ms: verdict.age / 1000,
            reports: verdict
                .reports
                .iter()
                .map(|gateway| peer_id_of(gateway))
                .collect(),
            evidence: verdict.evidence,
        }
    }

    /// The verdict of an owner's incarnation, under its fence.
    pub fn verdict(
        self,
        fence: FencingToken,
        incarnation: u64,
        name_of: impl Fn(PeerId) -> String,
    ) -> Verdict {
        Verdict {
            customer: self.customer,
            pooling: self.pooling,
            fence,
            sequence: (incarnation, self.sequence),
            age: self.age_ms.saturating_mul(1000),
            reports: self.reports.into_iter().map(name_of).collect(),
            evidence: self.evidence,
        }
    }
}

/// How much of a datagram's room this takes.
pub fn size(item: &impl Serialize) -> usize {
    postcard::to_allocvec(item).map_or(MAX_ITEM_BYTES, |bytes| bytes.len())
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
