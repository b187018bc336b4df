//! Datagrams of the classification: reports to an owner, its requests for reports, and its verdicts.
//!
//! Encoded with postcard: the order of fields and variants is part of the wire format. Gateways of different builds run
//! side by side during an upgrade.

use super::evidence::{Report, Window};
use super::verdicts::{EvidenceSummary, Verdict, VerdictSequence};
use super::{Customer, FencingToken, Pooling};
use crate::peers::PeerId;
use crate::wire::{self, MAX_DATAGRAM_BYTES};
use serde::{Deserialize, Serialize};

/// First byte of each datagram of this protocol. A gateway that does not know it counts and drops the datagram.
pub const VERSION: u8 = 4;

/// Maximum bytes of the items in one datagram; the rest is for the fields around them.
pub const MAX_ITEM_BYTES: usize = MAX_DATAGRAM_BYTES - 72;

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Sender.
    pub from: PeerId,
    /// Incarnation of the sender; a later process has a higher one.
    pub incarnation: u64,
    /// Incarnation of the receiver that the datagram is meant for; 0 if the sender does not know it.
    pub to_incarnation: u64,
    /// Message.
    pub kind: Kind,
}

/// Message of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Reports of some customers.
    Report {
        /// Number of the receiver's collection that is complete with this datagram; 0 for none.
        completed_collection: u32,
        /// The reports.
        counts: Vec<ReportMessage>,
    },
    /// Requests the reports of all customers that the sender owns; the number identifies the collection.
    CollectReports(u32),
    /// Requests the reports of these customers, also where nothing was counted.
    RequestReports(Vec<Customer>),
    /// Verdicts of an owner.
    Verdicts {
        /// The owner's fencing token.
        token: FencingToken,
        /// The verdicts.
        verdicts: Vec<VerdictMessage>,
    },
}

/// A report on the wire: gateway and incarnation are those of the datagram.
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
    /// The customer that the report is about.
    pub fn customer(&self) -> Customer {
        self.customer
    }

    /// The report, of the sender of the datagram.
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

/// A verdict on the wire: its fencing token and its owner's incarnation are those of the datagram.
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
    /// Converts a verdict, with gateways by their peer ids.
    pub fn new(verdict: &Verdict, peer_id_of: impl Fn(&str) -> PeerId) -> VerdictMessage {
        VerdictMessage {
            customer: verdict.customer,
            pooling: verdict.pooling,
            sequence: verdict.sequence.number,
            age_ms: verdict.age / 1000,
            reports: verdict
                .reports
                .iter()
                .map(|gateway| peer_id_of(gateway))
                .collect(),
            evidence: verdict.evidence,
        }
    }

    /// The verdict, with the fencing token and incarnation of the datagram.
    pub fn verdict(
        self,
        token: FencingToken,
        incarnation: u64,
        name_of: impl Fn(PeerId) -> String,
    ) -> Verdict {
        Verdict {
            customer: self.customer,
            pooling: self.pooling,
            token,
            sequence: VerdictSequence {
                incarnation,
                number: self.sequence,
            },
            age: self.age_ms.saturating_mul(1000),
            reports: self.reports.into_iter().map(name_of).collect(),
            evidence: self.evidence,
        }
    }
}

/// Bytes that an item takes in a datagram.
pub fn size(item: &impl Serialize) -> usize {
    postcard::to_allocvec(item).map_or(MAX_ITEM_BYTES, |bytes| bytes.len())
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
