//! What gateways tell each other, as state machines: no sockets, no clock, no threads. Time and chance are passed
//! in, so that the same code runs in the program and in a simulation of hundreds of gateways that follows from a
//! seed alone.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

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
