//! Settings of a core member: its identity in the deployment and the timeouts of the protocol.

use super::interface::Millis;

/// Settings of one member, fixed at the start of its process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of its machine.
    pub node: String,
    /// Name of its zone.
    pub zone: String,
    /// Encoded addresses, which the protocol does not read.
    pub contact: Vec<u8>,
    /// Whether this is the first start of the whole system.
    pub first_start: bool,
    /// Number of members that may be lost at once, disks included. Each commit is on at least one more replica than that.
    pub tolerate_machines: usize,
    /// Timeouts of the protocol.
    pub timings: Timings,
    /// Seed of the random generator. It must differ for each start of each process: the identity of an empty disk is drawn
    /// from it.
    pub seed: u64,
}

/// Timeouts of the protocol, in milliseconds. All members must use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timings {
    /// Interval between heartbeats.
    pub heartbeat_interval_ms: Millis,
    /// Time after an answered heartbeat during which a witness promises nothing to other candidates.
    pub grant_ms: Millis,
    /// Duration of the lease, counted from the sending of a heartbeat that a quorum granted. Shorter than `grant_ms`, to
    /// tolerate clock drift.
    pub lease_ms: Millis,
    /// Time after the expiry of its lease at which a primary that has not regained a quorum hands over.
    pub resign_delay_ms: Millis,
    /// A replica that does not respond, or delays a command, for this long is removed from the replicas.
    pub replica_timeout_ms: Millis,
    /// A primary whose own disk write takes this long hands over.
    pub disk_stall_timeout_ms: Millis,
    /// A member that does not respond for this long may be removed from the membership, if enough others remain.
    pub member_timeout_ms: Millis,
    /// A member that was removed from the replicas must respond for this long before it becomes a replica again.
    pub readmission_ms: Millis,
    /// Interval after which an unanswered message is sent again.
    pub resend_interval_ms: Millis,
    /// Timeout of an attempt to start an epoch; it doubles after each attempt that timed out, up to a maximum.
    pub attempt_timeout_ms: Millis,
    /// Maximum of the random delay before an election.
    pub max_candidate_delay_ms: Millis,
    /// Time that a candidate with sufficient promises waits for further ones, so that more members become replicas.
    pub promise_gathering_ms: Millis,
    /// A proposal that has waited this long in the queue fails.
    pub proposal_timeout_ms: Millis,
    /// A hand-over that no successor has completed within this time is abandoned, and the primary steps down.
    pub hand_over_timeout_ms: Millis,
}

impl Default for Timings {
    fn default() -> Self {
        Timings {
            heartbeat_interval_ms: 200,
            grant_ms: 1_000,
            lease_ms: 800,
            resign_delay_ms: 300,
            replica_timeout_ms: 500,
            disk_stall_timeout_ms: 600,
            member_timeout_ms: 2_000,
            readmission_ms: 400,
            resend_interval_ms: 100,
            attempt_timeout_ms: 400,
            max_candidate_delay_ms: 120,
            promise_gathering_ms: 30,
            proposal_timeout_ms: 1_000,
            hand_over_timeout_ms: 500,
        }
    }
}
