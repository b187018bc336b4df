//! Backends and clients in the test's own process, on loopback. A backend answers each request by the next script,
//! whichever backend it reaches.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod backend;
pub mod client;
pub mod door;
