//! The keys of `fleet` as the configuration file has them, before any check.

use crate::cluster::settings::SessionSettings;
use gateway_cluster::shards::ShardRange;
use serde::Deserialize;

/// The value of the key `fleet`.
#[derive(Deserialize)]
pub(crate) struct ClusterDocument {
    /// IPv4 address and port on which this gateway receives datagrams.
    pub(super) listen: String,
    /// The other gateways of the peer set.
    pub(super) peers: Vec<PeerDocument>,
    /// Period of health checks, in milliseconds.
    pub(super) probe_ms: Option<u64>,
    /// Duration of the leader's lease, in milliseconds; without it there is no leader.
    pub(super) lease_ms: Option<u64>,
    /// The shard map; without it customers have no shard owners.
    pub(super) shards: Option<ShardsDocument>,
    /// The classification of sessions; without it there is none.
    pub(super) sessions: Option<SessionSettings>,
    /// The zone of this gateway. It is accepted and not used yet.
    #[allow(dead_code)]
    zone: Option<String>,
}

/// The value of the key `fleet.shards`.
#[derive(Deserialize)]
pub(super) struct ShardsDocument {
    /// Number of ranges of the first shard map.
    pub(super) count: Option<usize>,
    /// Version of the shard map that `map` is to replace.
    #[serde(rename = "expect")]
    pub(super) expected_version: Option<u64>,
    /// The ranges of the proposed shard map.
    #[serde(rename = "map")]
    pub(super) ranges: Option<Vec<ShardRange>>,
}

/// One entry of `fleet.peers`.
#[derive(Deserialize)]
pub(super) struct PeerDocument {
    pub(super) name: String,
    pub(super) address: String,
}
