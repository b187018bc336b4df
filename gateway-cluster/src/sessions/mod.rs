//! Classification of customers: does a customer's work depend on the backend connection that its requests use? No
//! sockets, no clock, no threads.
//!
//! * [`evidence`] runs at every gateway: it counts failures of requests on changed connections against a control group;
//! * [`judge`] is the statistical test and the decision, a function of counts alone;
//! * [`verdicts`] is the owner's side, which aggregates reports and decides, and the table of verdicts that a gateway
//!   applies;
//! * [`classifier`] joins these at one gateway, and [`wire`] holds the datagrams;
//! * [`sim`] generates traffic with known truth, for the tests and the example.
//!
//! Each count has one writer, the gateway that saw the request. A report holds all that a gateway has counted for a
//! customer, with a sequence number; an owner replaces a report by a newer one of the same incarnation. Counts are
//! never added up over time or forwarded, so that lost, duplicated or late reports, and a change of the owner, count
//! nothing twice.
//!
//! Terms: a *run* is a series of requests without a long pause. A customer is *bound* if its requests fail after a
//! change of the connection, within a run or between runs; otherwise it is stateless. A verdict is *relaxed* towards
//! shared connections, and *restricted* towards private ones.
//!
//! # Measured
//!
//! By `examples/sessions.rs`: 9 seeds of an hour, for eight faults and 2, 3 and 4 gateways, 43 customers, 20% of
//! datagrams lost, 10% duplicated, 5% late by up to 20 s, and an owner that starts without state after 40 minutes.
//!
//! * False `statement`: 0 in 3,888 customer-hours of bound customers, a ninth of them at the edge where 60% of breaks
//!   fail. With 95% confidence that is below 0.8 in 1,000.
//! * Stateless customers restricted too far: 0.08% of their time in the mean, 0.46% in the worst 3 seeds of a fault.
//!   Nearly all are those of which 30% of requests fail for reasons of their own: one in seven of them is restricted
//!   for a while, 2% of the time of all of them.
//! * Time to the right verdict without faults, median and 95th percentile, in seconds (for 2 requests a minute from 3
//!   seeds):
//!
//! | kind | 2 a minute | 1 a second | 10 a second |
//! | --- | --- | --- | --- |
//! | `statement` | 1,960, 2,790 | 77, 115 | 18, 23 |
//! | `transaction` | 1,060, 2,510 | 50, 89 | 10, 22 |
//! | `session` | 1,540, 2,090 | 62, 80 | 13, 20 |
//!
//!   In overload about three times as long, and at 2 requests a minute not within the hour.
//! * From the owner's verdict to all gateways: 0.2 s in the median, 0.5 s for 99 of 100, over 1 s for 7 of 5,680 (20%
//!   lost). The requests of a second are evaluated when the next second is over, which is 1 to 2 s before that.
//! * A customer of 10 requests a second that changes: `statement` to `session` 10 to 16 s, to `transaction` 6 to 7;
//!   back from `transaction` 340 to 360, back from `session` more than 50 minutes, since a private connection is probed
//!   12 times an hour only.
//! * 6 datagrams a second between the gateways of a customer and its owner without faults, 21 where changed connections
//!   fail for all: one for each report and verdict, before any are put together.
//!
//! # Limits
//!
//! * Where a gateway sees fewer than six requests of other customers at a backend in 30 s, nothing is counted there,
//!   and customers stay `unknown` for good.
//! * A backend at which more than 80% of others' changed requests fail counts as unhealthy: a cluster with session
//!   customers only that shares all connections would never be classified. In the simulation it is, as `unknown` keeps
//!   half of the runs on one connection.
//! * A customer with runs but without changes between them, or the other way round, leaves one question undecided and
//!   is not classified as `statement`.

pub mod classifier;
pub mod evidence;
pub mod judge;
pub mod sim;
pub mod verdicts;
pub mod wire;

use serde::{Deserialize, Serialize};

/// Customer number.
pub type Customer = u64;
/// Number of a backend at one gateway. Gateways need not agree on it: it never leaves the gateway.
pub type Backend = u32;

/// Classification of a customer: what its requests depend on. Ordered from shared to private connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Pooling {
    /// Stateless: each request may use any connection.
    Statement,
    /// Undecided. Handled as `transaction`, except for some requests on any connection, as probes (see
    /// [`verdicts::connection_policy`]).
    Unknown,
    /// The requests of a run need one connection.
    Transaction,
    /// All requests need one connection.
    Session,
}

pub use crate::leadership::FencingToken;
