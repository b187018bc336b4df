//! The protocols between gateways as sans-I/O state machines: cluster membership (SWIM), leader election by a majority
//! lease, a replicated shard map, and session classification.
//!
//! No module opens sockets, reads clocks or starts threads. Callers pass in the time and a seed for random numbers and
//! send the datagrams that come out, so the same code runs in the gateway and in a deterministic simulation of
//! hundreds of gateways ([`sim`]).
//!
//! Layers, lowest first: [`wire`], [`peers`], [`protocol`], [`precedence`] and [`token_bucket`] are used by
//! [`membership`]; [`leadership`] builds on the peer set, [`shards`] on the leader, [`sessions`] on the shard map.
//! [`node`] combines them for one socket.

pub mod hash;
pub mod leadership;
pub mod membership;
pub mod node;
pub mod peers;
pub mod precedence;
pub mod protocol;
pub mod sessions;
pub mod shards;
pub mod sim;
pub mod token_bucket;
pub mod wire;
