//! The checked settings of the cluster node, made of the [`ClusterDocument`] of the configuration file.

use crate::cluster::document::{ClusterDocument, PeerDocument, ShardsDocument};
use crate::errors::word;
use gateway_cluster::leadership::election::min_lease;
use gateway_cluster::leadership::MAX_LEASE;
use gateway_cluster::peers::{peer_id_of, MAX_PEERS};
use gateway_cluster::shards::node;
use gateway_cluster::shards::{
    validate, ClusterState, Finding, Limits, MapHash, PeerCondition, ShardMap, ShardRange,
};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;
use thiserror::Error;

/// Longest name of a gateway, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Period of health checks where the file has none, in milliseconds.
const DEFAULT_PROBE_MS: u64 = 500;
/// Bounds of the period of health checks, in milliseconds.
const MIN_PROBE_MS: u64 = 50;
const MAX_PROBE_MS: u64 = 60_000;

/// Bounds of the leader's lease, in milliseconds.
const MIN_LEASE_MS: u64 = 500;
const MAX_LEASE_MS: u64 = MAX_LEASE / 1000;

/// Ranges of the first shard map where the file has no number.
const DEFAULT_RANGES: usize = 64;
/// Largest number of ranges of any shard map.
const MAX_RANGES: usize = 1024;

/// What is wrong with the key `fleet`, or with the key `name` that it needs.
#[derive(Error, Debug, Clone, PartialEq, Eq)]
pub enum ClusterSettingsError {
    #[error(
        "name is not set, and fleet needs it; set name to what the other gateways call this one"
    )]
    NoName,
    #[error("{key}: a name has 1 to {MAX_NAME_BYTES} bytes and no spaces; choose one that has, at every gateway")]
    InvalidName { key: String },
    #[error(
        "fleet.probe_ms: {probe_ms} is not between {MIN_PROBE_MS} and {MAX_PROBE_MS}; set one that is, or leave \
         the key out for {DEFAULT_PROBE_MS}"
    )]
    ProbeOutOfRange { probe_ms: u64 },
    #[error(
        "fleet.lease_ms: {lease_ms} is not between {MIN_LEASE_MS} and {MAX_LEASE_MS}; set one that is, the same at \
         every gateway, or leave the key out for no leader"
    )]
    LeaseOutOfRange { lease_ms: u64 },
    #[error(
        "fleet.lease_ms: {lease_ms} is too short for {gateways} gateways, as a leader needs {min_ms} ms to renew its lease \
         at all of them; set at least that, the same at every gateway"
    )]
    LeaseTooShort {
        lease_ms: u64,
        gateways: usize,
        min_ms: u64,
    },
    #[error(
        "fleet.shards: it needs fleet.lease_ms, as the leader decides the shard map; set that too, or leave shards out"
    )]
    ShardsWithoutLease,
    #[error(
        "fleet.lease_ms: {lease_ms} is too short for a shard map of {gateways} gateways, as the leases of shard owners are \
         renewed in turn; set at least {min_ms} at every gateway"
    )]
    LeaseTooShortForShards {
        lease_ms: u64,
        gateways: usize,
        min_ms: u64,
    },
    #[error(
        "fleet.shards.count: {count} is not between 1 and {MAX_RANGES}; set one that is, the same at every gateway, or \
         leave the key out for {DEFAULT_RANGES}"
    )]
    ShardCountOutOfRange { count: usize },
    #[error(
        "fleet.shards: map and expect go together, the ranges and the version that they replace; set both, or neither"
    )]
    IncompleteProposal,
    #[error(
        "fleet.sessions: it needs fleet.shards, as the shard map says which gateway owns which customers; set that too, \
         or leave sessions out"
    )]
    SessionsWithoutShards,
    #[error(
        "fleet.peers: there are none; name every other gateway there, or leave the key fleet out"
    )]
    NoPeers,
    #[error(
        "fleet.peers: there are {peers}, more than the maximum of {}; split the gateways into two clusters",
        MAX_PEERS - 1
    )]
    TooManyPeers { peers: usize },
    #[error("{key}: this is the gateway's own name; leave it out of peers, or set name to the right one")]
    OwnNameInPeers { key: String },
    #[error(
        "{key}: {address} is not a unicast address; write the one at which that gateway listens"
    )]
    NotUnicast { key: String, address: SocketAddrV4 },
    #[error("{key}: the name is listed twice; remove one, or correct its name")]
    DuplicateName { key: String },
    #[error(
        "{key}: the name has the same peer ID as '{other}'; rename one of the two at every gateway"
    )]
    PeerIdCollision { key: String, other: String },
    #[error(
        "{key}: '{written}' is not an IPv4 address; write an address of IPv4, as in 10.0.0.1:7946"
    )]
    NotIpv4 { key: String, written: String },
    #[error("{key}: '{written}' is no address with a port; write one as in 10.0.0.1:7946")]
    InvalidAddress { key: String, written: String },
}

/// The settings of the cluster node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ClusterSettings {
    /// This gateway's name.
    pub(crate) name: String,
    /// Where this gateway receives datagrams.
    pub(crate) listen: SocketAddrV4,
    /// The other gateways of the peer set: name, and the address at which this gateway reaches it.
    pub(crate) peers: BTreeMap<String, SocketAddrV4>,
    /// Period of health checks.
    pub(crate) probe_period: Duration,
    /// Duration of the leader's lease; `None` for no leader.
    pub(crate) lease: Option<Duration>,
    /// The shard map; `None` for no shard owners.
    pub(crate) shards: Option<ShardSettings>,
    /// The classification of sessions; `None` for no classification.
    pub(crate) sessions: Option<SessionSettings>,
}

/// The settings of the session classifier. The configuration file has them in this form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub(crate) struct SessionSettings {
    /// Whether verdicts change how connections are shared. By default verdicts are only reported.
    #[serde(default)]
    pub(crate) pool: bool,
}

/// The settings of the shard map.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ShardSettings {
    /// Number of ranges of the first shard map.
    pub(crate) count: usize,
    /// A proposed shard map: the version that it replaces, and its ranges.
    pub(crate) proposal: Option<(u64, Vec<ShardRange>)>,
}

impl ClusterSettings {
    /// Checks the document of the file. `name` is this gateway's name.
    ///
    /// # Errors
    /// The first key with an invalid value.
    pub(crate) fn read(
        name: Option<&str>,
        document: &ClusterDocument,
    ) -> Result<ClusterSettings, ClusterSettingsError> {
        let name = name.ok_or(ClusterSettingsError::NoName)?;
        check_name("name", name)?;
        let probe_period = check_probe_period(document.probe_ms)?;
        let peers = check_peers(name, &document.peers)?;
        if document.sessions.is_some() && document.shards.is_none() {
            return Err(ClusterSettingsError::SessionsWithoutShards);
        }
        let peer_count = peers.len();
        let lease = document
            .lease_ms
            .map(|lease_ms| check_lease(lease_ms, peer_count))
            .transpose()?;
        Ok(ClusterSettings {
            name: name.to_string(),
            listen: check_address("fleet.listen", &document.listen)?,
            peers,
            probe_period,
            lease,
            shards: document
                .shards
                .as_ref()
                .map(|shards| check_shards(shards, lease, peer_count))
                .transpose()?,
            sessions: document.sessions,
        })
    }

    /// All findings on the proposed shard map that the file alone shows. Whether the version that it replaces is in
    /// force, and which gateways are alive, is checked by the leader.
    pub(crate) fn findings(&self) -> Vec<Finding> {
        let proposal = self
            .shards
            .as_ref()
            .and_then(|shards| shards.proposal.as_ref());
        let Some((_, ranges)) = proposal else {
            return Vec::new();
        };
        let map = ShardMap {
            version: 1,
            parent: MapHash::NONE,
            epoch: 0,
            ranges: ranges.clone(),
        };
        let gateways = self
            .names()
            .into_iter()
            .map(|name| (name, PeerCondition::Alive))
            .collect();
        let state = ClusterState {
            gateways,
            ..ClusterState::default()
        };
        validate(None, &map, &state, &Limits::default())
    }

    /// The names of all gateways of the peer set, this one included.
    pub(crate) fn names(&self) -> Vec<String> {
        self.peers
            .keys()
            .cloned()
            .chain([self.name.clone()])
            .collect()
    }
}

fn check_probe_period(probe_ms: Option<u64>) -> Result<Duration, ClusterSettingsError> {
    let probe_ms = probe_ms.unwrap_or(DEFAULT_PROBE_MS);
    if !(MIN_PROBE_MS..=MAX_PROBE_MS).contains(&probe_ms) {
        return Err(ClusterSettingsError::ProbeOutOfRange { probe_ms });
    }
    Ok(Duration::from_millis(probe_ms))
}

/// Checks the other gateways: each has a name and a peer ID of its own and a unicast address.
fn check_peers(
    own_name: &str,
    documents: &[PeerDocument],
) -> Result<BTreeMap<String, SocketAddrV4>, ClusterSettingsError> {
    if documents.is_empty() {
        return Err(ClusterSettingsError::NoPeers);
    }
    if documents.len() >= MAX_PEERS {
        return Err(ClusterSettingsError::TooManyPeers {
            peers: documents.len(),
        });
    }
    let mut peers = BTreeMap::new();
    let mut names_by_id = BTreeMap::from([(peer_id_of(own_name), own_name)]);
    for PeerDocument { name, address } in documents {
        let key = format!("fleet.peers[{}]", word(name));
        check_name(&key, name)?;
        if name == own_name {
            return Err(ClusterSettingsError::OwnNameInPeers { key });
        }
        let address = check_address(&key, address)?;
        let ip = address.ip();
        if ip.is_unspecified() || ip.is_multicast() || ip.is_broadcast() {
            return Err(ClusterSettingsError::NotUnicast { key, address });
        }
        if peers.insert(name.clone(), address).is_some() {
            return Err(ClusterSettingsError::DuplicateName { key });
        }
        if let Some(other) = names_by_id.insert(peer_id_of(name), name) {
            let other = other.to_string();
            return Err(ClusterSettingsError::PeerIdCollision { key, other });
        }
    }
    Ok(peers)
}

/// Checks that a leader can renew its lease at all peers in time.
fn check_lease(lease_ms: u64, peers: usize) -> Result<Duration, ClusterSettingsError> {
    if !(MIN_LEASE_MS..=MAX_LEASE_MS).contains(&lease_ms) {
        return Err(ClusterSettingsError::LeaseOutOfRange { lease_ms });
    }
    let min_ms = min_lease(peers).div_ceil(1000);
    if lease_ms < min_ms {
        return Err(ClusterSettingsError::LeaseTooShort {
            lease_ms,
            gateways: peers + 1,
            min_ms,
        });
    }
    Ok(Duration::from_millis(lease_ms))
}

/// Checks that a leader can renew the leases of all shard owners in time, and that a proposal is complete.
fn check_shards(
    document: &ShardsDocument,
    lease: Option<Duration>,
    peers: usize,
) -> Result<ShardSettings, ClusterSettingsError> {
    let lease_ms = lease
        .ok_or(ClusterSettingsError::ShardsWithoutLease)?
        .as_millis() as u64;
    let min_ms = node::min_lease(peers).div_ceil(1000);
    if lease_ms < min_ms {
        return Err(ClusterSettingsError::LeaseTooShortForShards {
            lease_ms,
            gateways: peers + 1,
            min_ms,
        });
    }
    let count = document.count.unwrap_or(DEFAULT_RANGES);
    if !(1..=MAX_RANGES).contains(&count) {
        return Err(ClusterSettingsError::ShardCountOutOfRange { count });
    }
    let proposal = match (document.expected_version, &document.ranges) {
        (Some(expected_version), Some(ranges)) => Some((expected_version, ranges.clone())),
        (None, None) => None,
        _ => return Err(ClusterSettingsError::IncompleteProposal),
    };
    Ok(ShardSettings { count, proposal })
}

fn check_name(key: &str, name: &str) -> Result<(), ClusterSettingsError> {
    let has_bad_character = name
        .chars()
        .any(|char| char.is_whitespace() || char.is_control());
    if name.is_empty() || name.len() > MAX_NAME_BYTES || has_bad_character {
        return Err(ClusterSettingsError::InvalidName {
            key: key.to_string(),
        });
    }
    Ok(())
}

fn check_address(key: &str, text: &str) -> Result<SocketAddrV4, ClusterSettingsError> {
    match text.parse() {
        Ok(SocketAddr::V4(address)) if address.port() != 0 => Ok(address),
        Ok(SocketAddr::V6(_)) => Err(ClusterSettingsError::NotIpv4 {
            key: key.to_string(),
            written: word(text),
        }),
        _ => Err(ClusterSettingsError::InvalidAddress {
            key: key.to_string(),
            written: word(text),
        }),
    }
}

#[cfg(test)]
mod tests;
