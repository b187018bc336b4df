//! Settings that change while the process runs: SIGHUP says so, and after a long time without a primary it may be so.

use super::Settings;
use crate::node::{internal_seeds, Node};
use alderhollow_model::identity::Role;
use std::io;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Without tables from a primary for so long, the settings are read again: other seeds may stand there.
const UNVOUCHED_MS: u64 = 4_000;
/// How often that is looked at.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Takes SIGHUP from now on, so that it does not end the process.
pub fn hangups() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Reads the seeds again at SIGHUP, and when no primary was found for long, until the future is dropped.
pub async fn follow(node: Node, role: Role, mut hangups: Signal) {
    loop {
        match tokio::time::timeout(SETTINGS_CHECK_INTERVAL, hangups.recv()).await {
            Ok(_) => reload_seeds(&node, role),
            Err(_) if is_unvouched(&node) => reload_seeds(&node, role),
            Err(_) => (),
        }
    }
}

fn is_unvouched(node: &Node) -> bool {
    let since_ms = node.poll_state.vouched_since_ms().unwrap_or(0);
    node.clock.now_ms().saturating_sub(since_ms) > UNVOUCHED_MS
}

fn reload_seeds(node: &Node, role: Role) {
    match Settings::from_environment(role) {
        Ok(settings) => {
            node.directory.set_seeds(internal_seeds(&settings));
            log::info!("the settings are read again: {} seeds", settings.seeds.len());
        }
        Err(error) => log::warn!("the settings stay as they are: {error}"),
    }
}
