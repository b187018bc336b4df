//! Backends and clients in the test's own process, on loopback. A backend answers each request by the next script,
//! whichever backend it reaches.
#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod backend;
pub(crate) mod client;
pub(crate) mod gateway;

use std::future::Future;
use tokio::task::LocalSet;

/// Runs a test where tasks of one thread may be spawned, under a clock that leaps to the next timer.
pub(crate) fn run(test: impl Future<Output = ()>) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}
