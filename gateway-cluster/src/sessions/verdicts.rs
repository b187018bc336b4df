//! Verdicts: what an owner decides about a customer, how gateways apply it, and the limits of private connections.
//!
//! * [`VerdictAggregator`] is the owner's side: it takes reports and decides.
//! * [`VerdictTable`] holds the verdicts that a gateway applies.
//! * [`connection_policy`] and [`grant`] say how a request gets its connection.
//!
//! **Default.** Without a fresh verdict a customer is `unknown`: a run gets its own idle connection again if there is
//! one. That takes nothing from others, opens no connection, and saves customers of the kind `transaction` from nearly
//! all breaks. `statement` would break them as long as the owner is away; `session` would take connections for
//! everybody, which a cluster with faults has least of. A verdict `statement` expires 30 s after the customer's owner
//! was last seen alive, `transaction` too (it is handled alike), and `session` after 10 minutes: it costs a connection,
//! and giving that up breaks a request, so it lasts longer than any takeover of keys and shorter than a night. On a
//! minority side of a partition no verdict is relaxed: there `session` stays, within the limits of private connections
//! ([`grant`]).
//!
//! A verdict is sent when it changes, six times in half a second, and again to a gateway whose report shows that it
//! applies another one. It is not refreshed: whether the owner is alive is known from the membership, at no cost per
//! customer.
//!
//! **No double counting.** The owner keeps the newest report of each gateway and incarnation, and replaces it by one
//! with a higher sequence number; sums are computed for each decision and never stored or sent. A new owner starts
//! without reports and requests them from all gateways.

mod aggregator;
mod connections;
mod customer;
mod io;
mod table;

pub use aggregator::{VerdictAggregator, CUSTOMER_TTL};
pub use connections::{
    connection_policy, grant, ConnectionPolicy, Grant, Limits, Usage, PROBE_INTERVAL,
    UNKNOWN_PROBE_RATE,
};
pub use customer::REPORT_TTL;
pub use io::{Input, Output, OwnerContext};
pub use table::{VerdictRejection, VerdictTable, SESSION_VERDICT_TTL, VERDICT_TTL};

use super::{Customer, FencingToken, Pooling};
use crate::protocol::Micros;
use serde::{Deserialize, Serialize};

const SECOND: Micros = 1_000_000;
/// Time without new evidence after which a verdict is taken back.
pub const CONFIRMATION_TTL: Micros = 7200 * SECOND;

/// Evidence for a verdict: requests and failures of each kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceSummary {
    /// On the customer's reused connection.
    pub kept: [u32; 2],
    /// On changed connections within a run.
    pub changed_in_run: [u32; 2],
    /// On changed connections between runs.
    pub changed_between: [u32; 2],
    /// Control group: others, at the same backends in the same seconds.
    pub control: [u32; 2],
}

/// Order of the verdicts of one owner: an owner that restarts may return with the same fencing token.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VerdictSequence {
    /// Incarnation of the owner.
    pub incarnation: u64,
    /// Number of the verdict within the incarnation, over all customers.
    pub number: u64,
}

/// Verdict of an owner about a customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The customer.
    pub customer: Customer,
    /// The classification.
    pub pooling: Pooling,
    /// Fencing token of the owner.
    pub token: FencingToken,
    /// Position among the verdicts of the owner.
    pub sequence: VerdictSequence,
    /// Time since the last evidence for it, in microseconds.
    pub age: Micros,
    /// Gateways whose reports were used.
    pub reports: Vec<String>,
    /// Their counts.
    pub evidence: EvidenceSummary,
}
