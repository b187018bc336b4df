//! Settings of a core member.

use super::interface::Millis;

/// What a member knows of itself and the deployment at its start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of its machine.
    pub node: String,
    /// Name of its zone.
    pub zone: String,
    /// Encoded addresses, opaque here.
    pub contact: Vec<u8>,
    /// The whole system starts for the first time.
    pub first_start: bool,
    /// So many members may be lost at once, disks included: each commit is on one more.
    pub tolerate_machines: usize,
    /// Times.
    pub timings: Timings,
    /// Chance: fresh for each start of each process, as the disk's identity is drawn from it.
    pub seed: u64,
}

/// Times of the protocol. All members must have the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timings {
    /// Between heartbeats.
    pub heartbeat_interval_ms: Millis,
    /// So long after an answered heartbeat a witness promises nothing to others.
    pub grant_ms: Millis,
    /// So long after the sending of an answered heartbeat the primary relies on it: shorter than `grant_ms`, for clocks
    /// that run apart.
    pub lease_ms: Millis,
    /// Without a majority's answers for so long after the lease ended, the primary gives its part up.
    pub resign_delay_ms: Millis,
    /// A replica that is silent, or keeps a command waiting, for so long is left out.
    pub replica_timeout_ms: Millis,
    /// A write on the own disk that takes so long makes the primary hand over.
    pub disk_stall_timeout_ms: Millis,
    /// A member that is silent for so long may be dropped, if enough others remain.
    pub member_timeout_ms: Millis,
    /// A member that was left out must answer for so long before it is taken in again.
    pub readmission_ms: Millis,
    /// A message without an answer is sent again after so long.
    pub resend_interval_ms: Millis,
    /// An election or change of epoch that takes so long begins anew.
    pub attempt_timeout_ms: Millis,
    /// At most so long a candidate waits by chance.
    pub max_candidate_delay_ms: Millis,
    /// So long a candidate with a majority waits for the answers of others, that they be replicas too.
    pub promise_gathering_ms: Millis,
    /// A proposal that could not begin within this is given back.
    pub proposal_timeout_ms: Millis,
    /// A hand-over that is not confirmed within this is over.
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
