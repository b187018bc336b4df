//! What front doors tell each other, as state machines: no sockets, no clock, no threads. Time and chance are passed
//! in, so that the same code runs in the program and in a simulation of hundreds of front doors that follows from a
//! seed alone.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod budget;
pub mod engine;
pub mod hash;
pub mod names;
pub mod ownership;
pub mod rules;
pub mod sessions;
pub mod shards;
pub mod sim;
pub mod stack;
pub mod view;
pub mod wire;
