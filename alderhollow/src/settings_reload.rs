//! Settings that change while a process runs: it takes over the seeds, at SIGHUP and when no primary was found for long.

use crate::node::{internal_seeds, Node};
use crate::settings::Settings;
use alderhollow_model::identity::Role;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

/// Without tables from a primary for so long, the settings are read again: other seeds may stand there.
const UNVOUCHED_MS: u64 = 4_000;
/// How often that is looked at.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Follows the settings file until the future is dropped.
pub async fn follow(node: Node, role: Role) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(error) => {
            log::error!("SIGHUP can't be heard: {error}");
            return;
        }
    };
    loop {
        match tokio::time::timeout(CHECK_INTERVAL, hangups.recv()).await {
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
        Ok(settings) => node.directory.set_seeds(internal_seeds(&settings)),
        Err(error) => log::warn!("the settings stay as they are: {error}"),
    }
}
