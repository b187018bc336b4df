//! Primary-backup replication of a small state, with witnesses that decide failover (`docs/serving-tier.md`).

pub mod interface;
