//! Leader election by a majority lease: at most one gateway at a time acts on behalf of the cluster.
//!
//! Voters keep their votes in memory. A restarted voter therefore rejects all requests for a quiet period that is as long
//! as the longest lease (compare the diskless leases of `PaxosLease`, Trencseni et al., 2012). While the peer set changes, a
//! leader needs a majority of the old and of the new set (joint consensus, Raft section 6). Safety rests on the votes
//! alone; the membership only decides which peers are asked first and when a gateway campaigns.
//!
//! Invariant: the leases of two leaders never overlap, on any clock within [`DRIFT`]. `docs/ownership.md` has the
//! guarantee, its assumptions and the times.
//!
//! Modules: [`voter`] casts votes, [`votes`] counts the received ones, [`configuration`] tracks the peer sets, [`election`]
//! is the state machine at one gateway, [`wire`] its datagrams.

pub mod configuration;
pub mod election;
pub mod voter;
pub mod votes;
pub mod wire;

use crate::peers::PeerId;
use crate::protocol::Micros;
use serde::{Deserialize, Serialize};

/// Maximum configurable lease duration, in microseconds.
pub const MAX_LEASE: Micros = 60_000_000;

/// Assumed maximum relative difference in rate between the clocks of two gateways. A voter keeps its vote longer by this
/// factor, and a deadline on another gateway's clock is shorter by it. Each clock is assumed to be right within 1%, and
/// 1.01 / 0.99 is a little more than 1.02.
pub const DRIFT: f64 = 0.0203;

/// A duration that is at least `span` on any other gateway's clock.
pub fn longer(span: Micros) -> Micros {
    // One more, as durations on the wire are truncated to whole milliseconds.
    span + (span as f64 * DRIFT) as Micros + 1
}

/// A duration that is at most `span` on any other gateway's clock.
pub fn shorter(span: Micros) -> Micros {
    span - ((span as f64 * DRIFT) as Micros).min(span)
}

/// Identity of a lease holder: a peer id and its incarnation. A restarted peer has a new incarnation and does not inherit
/// the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// The peer.
    pub name: PeerId,
    /// A random number, drawn when the process starts to take part.
    pub incarnation: u64,
}

/// Fencing token of an act on behalf of the cluster. Tokens are ordered by epoch, then by version, so a later epoch
/// overrides any version of an earlier one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingToken {
    /// The leader's epoch.
    pub epoch: u64,
    /// The version of the changed object within the epoch.
    pub version: u64,
}

/// Reason for which a gateway rejects an act on behalf of the cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ActRejection {
    /// The receiver knows a later epoch.
    #[error(
        "the act has epoch {epoch}, and epoch {known} is known; leave it, as the older leader learns of it"
    )]
    Old {
        /// The epoch of the act.
        epoch: u64,
        /// The highest epoch that the receiver knows.
        known: u64,
    },
    /// The sender's lease had expired on the receiver's clock.
    #[error(
        "the act arrived {late_ms} ms after its leader's lease expired; look for a process or a link that stalls \
         for longer than fleet.lease_ms, if this repeats"
    )]
    Late {
        /// Time since the expiry, in milliseconds.
        late_ms: u64,
    },
    /// The act is addressed to an earlier process with the receiver's name.
    #[error("the act is addressed to an earlier process of this gateway; leave it, as its sender learns of this one")]
    OtherIncarnation,
}
