//! Counts of what an engine did in its life, for its driver to publish. They steer nothing.

use std::ops::{Add, Sub};

/// What replication did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicationCounts {
    /// Times that a store's answer was late and the primary began to send again.
    pub retries: u64,
    /// Comparisons of all jobs with another store that were begun.
    pub comparisons: u64,
    /// Streams to stores that held back too many records.
    pub streams_abandoned: u64,
}

impl Add for ReplicationCounts {
    type Output = ReplicationCounts;

    fn add(self, other: ReplicationCounts) -> ReplicationCounts {
        ReplicationCounts {
            retries: self.retries + other.retries,
            comparisons: self.comparisons + other.comparisons,
            streams_abandoned: self.streams_abandoned + other.streams_abandoned,
        }
    }
}

impl Sub for ReplicationCounts {
    type Output = ReplicationCounts;

    fn sub(self, earlier: ReplicationCounts) -> ReplicationCounts {
        ReplicationCounts {
            retries: self.retries.saturating_sub(earlier.retries),
            comparisons: self.comparisons.saturating_sub(earlier.comparisons),
            streams_abandoned: self
                .streams_abandoned
                .saturating_sub(earlier.streams_abandoned),
        }
    }
}

/// What an engine did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Items that got a result here, whether it was committed or not.
    pub items_listed: u64,
    /// Its part in replication.
    pub replication: ReplicationCounts,
}

impl Add for EngineCounts {
    type Output = EngineCounts;

    fn add(self, other: EngineCounts) -> EngineCounts {
        EngineCounts {
            items_listed: self.items_listed + other.items_listed,
            replication: self.replication + other.replication,
        }
    }
}

impl Sub for EngineCounts {
    type Output = EngineCounts;

    fn sub(self, earlier: EngineCounts) -> EngineCounts {
        EngineCounts {
            items_listed: self.items_listed.saturating_sub(earlier.items_listed),
            replication: self.replication - earlier.replication,
        }
    }
}
