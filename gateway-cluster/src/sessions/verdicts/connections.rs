//! How a request gets its connection, and the limits of private connections.

use super::SECOND;
use crate::protocol::Micros;
use crate::sessions::Pooling;

/// Interval between two probes of a bound customer, which use any connection to test whether it is still bound: 12 an
/// hour at each gateway. And the rate of probes within runs of an `unknown` customer: without them it would stay
/// `unknown`.
pub const PROBE_INTERVAL: Micros = 300 * SECOND;

/// See [`PROBE_INTERVAL`].
pub const UNKNOWN_PROBE_RATE: f64 = 0.5;

/// How a request gets its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPolicy {
    /// Any connection.
    Any,
    /// The customer's last connection, if it is idle and within a run.
    Run,
    /// A private connection.
    Private,
}

/// How a request gets its connection. `since_probe` is the time since the last probe in microseconds, `draw` a random
/// number between zero and one. Probes cost a bound customer 12 requests an hour at each gateway, and an `unknown`
/// customer of the kind `transaction` about 20 requests before its classification.
pub fn connection_policy(pooling: Pooling, since_probe: Micros, draw: f64) -> ConnectionPolicy {
    match pooling {
        Pooling::Statement => ConnectionPolicy::Any,
        Pooling::Unknown if draw < UNKNOWN_PROBE_RATE => ConnectionPolicy::Any,
        Pooling::Unknown => ConnectionPolicy::Run,
        Pooling::Transaction | Pooling::Session if since_probe >= PROBE_INTERVAL => {
            ConnectionPolicy::Any
        }
        Pooling::Transaction => ConnectionPolicy::Run,
        Pooling::Session => ConnectionPolicy::Private,
    }
}

/// Limits of private connections.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Maximum fraction of the descriptors of a gateway.
    pub of_descriptors: f64,
    /// Maximum fraction of the connections to a backend.
    pub of_backend: f64,
    /// Maximum number for one customer at one backend.
    pub each: u32,
    /// Maximum time that a private connection may stay unused, in microseconds.
    pub unused: Micros,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            of_descriptors: 0.125,
            of_backend: 0.25,
            each: 1,
            unused: 60 * SECOND,
        }
    }
}

/// Private connections in use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Descriptors of this gateway, and those of private connections.
    pub descriptors: [u32; 2],
    /// Connections that the backend accepts from this gateway, and those that are private.
    pub backend: [u32; 2],
    /// Private connections of this customer at that backend.
    pub own: u32,
}

/// Whether a customer gets a private connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// It gets one.
    Private,
    /// It shares: the fraction of descriptors is in use.
    Descriptors,
    /// It shares: the fraction of the backend's connections is in use.
    Backend,
    /// It shares: it has its maximum.
    Each,
}

/// Whether one more private connection is within the limits. A customer that breaks requests on purpose to get one gets
/// no more than the limits of all such customers together.
pub fn grant(limits: &Limits, usage: &Usage) -> Grant {
    let has_capacity =
        |part: f64, [all, private]: [u32; 2]| f64::from(private) + 1.0 <= part * f64::from(all);
    if usage.own >= limits.each {
        Grant::Each
    } else if !has_capacity(limits.of_descriptors, usage.descriptors) {
        Grant::Descriptors
    } else if !has_capacity(limits.of_backend, usage.backend) {
        Grant::Backend
    } else {
        Grant::Private
    }
}
