//! The key `fleet` of the configuration: which front doors there are, and where this one reaches them.

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

/// Most bytes of a name.
const NAME_LIMIT: usize = 64;
/// The probe period where the file does not say, and the bounds of one that it says, in milliseconds.
const DEFAULT_PROBE_MS: u64 = 500;
const MIN_PROBE_MS: u64 = 50;
const MAX_PROBE_MS: u64 = 60_000;

/// The bounds of a lease, in milliseconds.
const MIN_LEASE_MS: u64 = 500;
const MAX_LEASE_MS: u64 = MAX_LEASE / 1000;

/// Ranges of a first map where the file does not say, and the most of any map.
const DEFAULT_RANGES: usize = 64;
const MAX_RANGES: usize = 1024;

/// What is wrong with the key `fleet`, or with the name that it needs.
#[derive(Error, Debug, Clone, PartialEq, Eq)]
pub enum ClusterSettingsError {
    #[error(
        "name is not set, and fleet needs it; set name to what the other front doors call this one"
    )]
    NoName,
    #[error(
        "{key}: a name has 1 to {NAME_LIMIT} bytes and no spaces; choose one that has, at every front door"
    )]
    Name { key: String },
    #[error(
        "fleet.probe_ms: {probe_ms} is not between {MIN_PROBE_MS} and {MAX_PROBE_MS}; set one that is, or leave \
         the key out for {DEFAULT_PROBE_MS}"
    )]
    Probe { probe_ms: u64 },
    #[error(
        "fleet.lease_ms: {lease_ms} is not between {MIN_LEASE_MS} and {MAX_LEASE_MS}; set one that is, the same at \
         every front door, or leave the key out for no owner"
    )]
    Lease { lease_ms: u64 },
    #[error(
        "fleet.lease_ms: {lease_ms} is too short for {names} names, as an owner renews so many in no less than {least_ms} \
         ms; set at least that, the same at every front door"
    )]
    LeaseShort {
        lease_ms: u64,
        names: usize,
        least_ms: u64,
    },
    #[error("fleet.shards: it needs fleet.lease_ms, as an owner decides the map; set that too, or leave shards out")]
    ShardsAlone,
    #[error(
        "fleet.lease_ms: {lease_ms} is too short for a shard map of {names} names, as keepers' leases are renewed in turn; set \
         at least {least_ms} at every front door"
    )]
    ShardsLeaseShort {
        lease_ms: u64,
        names: usize,
        least_ms: u64,
    },
    #[error(
        "fleet.shards.count: {count} is not between 1 and {MAX_RANGES}; set one that is, the same at every front door, or \
         leave the key out for {DEFAULT_RANGES}"
    )]
    ShardCount { count: usize },
    #[error(
        "fleet.shards: map and expect go together, the ranges and the version that they replace; set both, or neither"
    )]
    HalfProposal,
    #[error(
        "fleet.sessions: it needs fleet.shards, as the map says who keeps which customers; set that too, or leave sessions \
         out"
    )]
    SessionsAlone,
    #[error("fleet.peers: there are none; name every other front door there, or leave the key fleet out")]
    NoPeers,
    #[error("fleet.peers: there are {peers}, and {} are the most; split the front doors into two fleets", MAX_PEERS - 1)]
    TooManyPeers { peers: usize },
    #[error("{key}: this is the front door's own name; leave it out of peers, or set name to the right one")]
    Own { key: String },
    #[error("{key}: {address} is no front door's address; write the one at which that front door listens")]
    NoDoor { key: String, address: SocketAddrV4 },
    #[error("{key}: the name is there twice; remove one, or correct its name")]
    Twice { key: String },
    #[error(
        "{key}: the name cannot be told apart from '{other}'; one of them has to change; rename it at every front door"
    )]
    Alike { key: String, other: String },
    #[error("{key}: '{written}' is not of IPv4; write an address of IPv4, as in 10.0.0.1:7946")]
    NotV4 { key: String, written: String },
    #[error("{key}: '{written}' is no address with a port; write one as in 10.0.0.1:7946")]
    NoAddress { key: String, written: String },
}

/// What the file says.
#[derive(Deserialize)]
pub struct ClusterDocument {
    listen: String,
    peers: Vec<PeerDocument>,
    probe_ms: Option<u64>,
    lease_ms: Option<u64>,
    shards: Option<ShardsDocument>,
    sessions: Option<SessionSettings>,
    /// Where this front door stands, for what it tells of servers.
    #[allow(dead_code)]
    zone: Option<String>,
}

#[derive(Deserialize)]
struct ShardsDocument {
    count: Option<usize>,
    expect: Option<u64>,
    map: Option<Vec<ShardRange>>,
}

#[derive(Deserialize)]
struct PeerDocument {
    name: String,
    address: String,
}

/// What is made of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClusterSettings {
    pub name: String,
    pub listen: SocketAddrV4,
    /// Every other name of the roster, and the address at which this front door reaches it.
    pub peers: BTreeMap<String, SocketAddrV4>,
    pub probe: Duration,
    /// The lease of the owner's office, if there is to be one.
    pub lease: Option<Duration>,
    /// The shard map, if there is to be one.
    pub shards: Option<ShardSettings>,
    /// The classifying of sessions, if there is to be any.
    pub sessions: Option<SessionSettings>,
}

/// What the file says of sessions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct SessionSettings {
    /// Whether verdicts are acted on. Where that is left out they are only made.
    #[serde(default)]
    pub pool: bool,
}

/// What the file says of the shard map.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardSettings {
    /// Ranges of a first map.
    pub count: usize,
    /// To replace the map of this version by one of these ranges.
    pub proposal: Option<(u64, Vec<ShardRange>)>,
}

impl ClusterSettings {
    /// Checks what the file says.
    ///
    /// # Errors
    /// The first key that makes no sense.
    pub fn read(
        name: Option<&str>,
        told: &ClusterDocument,
    ) -> Result<ClusterSettings, ClusterSettingsError> {
        let name = name.ok_or(ClusterSettingsError::NoName)?;
        check_name("name", name)?;
        let probe_ms = told.probe_ms.unwrap_or(DEFAULT_PROBE_MS);
        if !(MIN_PROBE_MS..=MAX_PROBE_MS).contains(&probe_ms) {
            return Err(ClusterSettingsError::Probe { probe_ms });
        }
        if told.peers.is_empty() {
            return Err(ClusterSettingsError::NoPeers);
        }
        if told.peers.len() >= MAX_PEERS {
            return Err(ClusterSettingsError::TooManyPeers {
                peers: told.peers.len(),
            });
        }
        let mut peers = BTreeMap::new();
        let mut ids = BTreeMap::from([(peer_id_of(name), name)]);
        for peer in &told.peers {
            let key = format!("fleet.peers[{}]", word(&peer.name));
            check_name(&key, &peer.name)?;
            if peer.name == name {
                return Err(ClusterSettingsError::Own { key });
            }
            let address = address(&key, &peer.address)?;
            if address.ip().is_unspecified()
                || address.ip().is_multicast()
                || address.ip().is_broadcast()
            {
                return Err(ClusterSettingsError::NoDoor { key, address });
            }
            if peers.insert(peer.name.clone(), address).is_some() {
                return Err(ClusterSettingsError::Twice { key });
            }
            if let Some(other) = ids.insert(peer_id_of(&peer.name), &peer.name) {
                return Err(ClusterSettingsError::Alike {
                    key,
                    other: other.to_string(),
                });
            }
        }
        if told.sessions.is_some() && told.shards.is_none() {
            return Err(ClusterSettingsError::SessionsAlone);
        }
        let peer_count = peers.len();
        let lease = told
            .lease_ms
            .map(|lease_ms| check_lease(lease_ms, peer_count))
            .transpose()?;
        Ok(ClusterSettings {
            name: name.to_string(),
            listen: address("fleet.listen", &told.listen)?,
            peers,
            probe: Duration::from_millis(probe_ms),
            lease,
            shards: told
                .shards
                .as_ref()
                .map(|told| check_shards(told, lease, peer_count))
                .transpose()?,
            sessions: told.sessions,
        })
    }

    /// All that is wrong with the map that the file proposes, as far as the file alone says: not whether the version that
    /// it replaces is in force, nor who lives.
    pub fn findings(&self) -> Vec<Finding> {
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
        validate(
            None,
            &map,
            &ClusterState {
                gateways,
                ..ClusterState::default()
            },
            &Limits::default(),
        )
    }

    /// All names, this front door's too.
    pub fn names(&self) -> Vec<String> {
        self.peers
            .keys()
            .cloned()
            .chain([self.name.clone()])
            .collect()
    }
}

fn check_lease(lease_ms: u64, peers: usize) -> Result<Duration, ClusterSettingsError> {
    if !(MIN_LEASE_MS..=MAX_LEASE_MS).contains(&lease_ms) {
        return Err(ClusterSettingsError::Lease { lease_ms });
    }
    let least_ms = min_lease(peers).div_ceil(1000);
    if lease_ms < least_ms {
        return Err(ClusterSettingsError::LeaseShort {
            lease_ms,
            names: peers + 1,
            least_ms,
        });
    }
    Ok(Duration::from_millis(lease_ms))
}

fn check_shards(
    told: &ShardsDocument,
    lease: Option<Duration>,
    peers: usize,
) -> Result<ShardSettings, ClusterSettingsError> {
    let lease_ms = lease.ok_or(ClusterSettingsError::ShardsAlone)?.as_millis() as u64;
    let least_ms = node::min_lease(peers).div_ceil(1000);
    if lease_ms < least_ms {
        return Err(ClusterSettingsError::ShardsLeaseShort {
            lease_ms,
            names: peers + 1,
            least_ms,
        });
    }
    let count = told.count.unwrap_or(DEFAULT_RANGES);
    if !(1..=MAX_RANGES).contains(&count) {
        return Err(ClusterSettingsError::ShardCount { count });
    }
    match (told.expect, &told.map) {
        (Some(expect), Some(map)) => Ok(ShardSettings {
            count,
            proposal: Some((expect, map.clone())),
        }),
        (None, None) => Ok(ShardSettings {
            count,
            proposal: None,
        }),
        _ => Err(ClusterSettingsError::HalfProposal),
    }
}

fn check_name(key: &str, name: &str) -> Result<(), ClusterSettingsError> {
    if name.is_empty()
        || name.len() > NAME_LIMIT
        || name
            .chars()
            .any(|char| char.is_whitespace() || char.is_control())
    {
        return Err(ClusterSettingsError::Name {
            key: key.to_string(),
        });
    }
    Ok(())
}

fn address(key: &str, text: &str) -> Result<SocketAddrV4, ClusterSettingsError> {
    match text.parse() {
        Ok(SocketAddr::V4(address)) if address.port() != 0 => Ok(address),
        Ok(SocketAddr::V6(_)) => Err(ClusterSettingsError::NotV4 {
            key: key.to_string(),
            written: word(text),
        }),
        _ => Err(ClusterSettingsError::NoAddress {
            key: key.to_string(),
            written: word(text),
        }),
    }
}

#[cfg(test)]
mod tests;
