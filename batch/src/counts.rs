//! Event counts of an engine since its process started, which the driver publishes as metrics. No decision depends on
//! them.

use std::ops::{Add, Sub};

/// Event counts of replication.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicationCounts {
    /// Number of retransmissions because a store's answer was late.
    pub retries: u64,
    /// Number of full comparisons of all jobs with another store that were started.
    pub comparisons: u64,
    /// Number of streams abandoned because the log retained too many records for the lagging store.
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

/// Event counts of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Items for which this store appended a result, whether it was committed or not.
    pub items_listed: u64,
    /// Event counts of its replication.
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
