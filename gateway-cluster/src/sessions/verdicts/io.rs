//! Inputs and outputs of the aggregator.

use super::Verdict;
use crate::sessions::evidence::Report;
use crate::sessions::{Customer, FencingToken};

/// Input of the aggregator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Report of a gateway.
    Report(Report),
    /// Time has passed; expected a few times a second.
    Tick,
}

/// Output of the aggregator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Request the report of a customer.
    RequestReport {
        /// From this gateway.
        gateway: String,
        /// For this customer.
        customer: Customer,
    },
    /// Send a verdict.
    SendVerdict {
        /// To this gateway.
        gateway: String,
        /// The verdict.
        verdict: Verdict,
    },
}

/// Context of an owner at the time of an input.
pub struct OwnerContext<'a> {
    /// Fencing token of the owner.
    pub token: FencingToken,
    /// Whether this gateway owns a customer now.
    pub owns: &'a dyn Fn(Customer) -> bool,
    /// The gateways that see a customer.
    pub gateways_of: &'a dyn Fn(Customer) -> Vec<String>,
    /// Whether a gateway is considered dead, so that its report is not waited for.
    pub is_gone: &'a dyn Fn(&str) -> bool,
    /// Whether verdicts may be relaxed: this side of a partition is the majority, and all reports have been collected.
    pub may_relax: bool,
}
