//! One leader at a time for work on behalf of the cluster: a lease on one leadership, granted by a majority of the peer set,
//! without disks. Safety rests on the grants alone; the view only says whom to ask and when to try.
//!
//! The page `docs/ownership.md` has the guarantee, its assumptions and the times.

pub mod configuration;
pub mod election;
pub mod voter;
pub mod votes;
pub mod wire;

use crate::peers::PeerId;
use crate::protocol::Micros;
use serde::{Deserialize, Serialize};

/// The longest lease that a file may name.
pub const MAX_LEASE: Micros = 60_000_000;

/// The part by which clocks of two gateways may differ in rate: a granter keeps its word for so much longer, and a
/// deadline on another's clock is so much sooner. Each clock is assumed to be right to within a hundredth, and 1.01 / 0.99 is
/// a little more than 1.02.
pub const DRIFT: f64 = 0.0203;

/// A span as it is at least on any other gateway's clock.
pub fn longer(span: Micros) -> Micros {
    // One more, as spans on the wire are cut to whole milliseconds.
    span + (span as f64 * DRIFT) as Micros + 1
}

/// A span as it is at most on any other gateway's clock.
pub fn shorter(span: Micros) -> Micros {
    span - ((span as f64 * DRIFT) as Micros).min(span)
}

/// Who may hold leadership: one incarnation of one name. Another incarnation of the same name is another holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// The name.
    pub name: PeerId,
    /// A number drawn when the process began to take part.
    pub incarnation: u64,
}

/// The token that goes with all that is done on behalf of the cluster: the epoch it was done in, and the version of what
/// was changed. A later epoch goes before any version of an earlier one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingToken {
    /// The leader's epoch.
    pub epoch: u64,
    /// Within it, the version of what the act is about.
    pub version: u64,
}

/// Why a gateway refuses an act on behalf of the cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ActRejection {
    /// A later epoch is known.
    #[error(
        "the act is of term {epoch}, and term {known} is known; leave it, as the older owner learns of it"
    )]
    Old {
        /// The act's.
        epoch: u64,
        /// The highest that is known.
        known: u64,
    },
    /// Its sender's lease was over, on this gateway's clock, when it was to be used.
    #[error(
        "the act came {late_ms} ms after its owner's lease was over; look for a process or a link that stands still for \
         longer than fleet.lease_ms, if this goes on"
    )]
    Late {
        /// By so much.
        late_ms: u64,
    },
    /// It was meant for a process that had this name before.
    #[error("the act was meant for an earlier process of this front door; leave it, as its sender learns of this one")]
    OtherIncarnation,
}
