//! The platform's signals: SIGTERM ends a door in phases, SIGHUP says that the settings have changed.

use super::clients::Clients;
use crate::core::authority::ControlAuthority;
use crate::node::{internal_seeds, Node};
use crate::ready::Readiness;
use crate::settings::Settings;
use crate::termination::terminated;
use alderhollow_model::identity::Role;
use std::io;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

/// Clients may come for so long after the door stopped being ready: the platform asks once a second and wants two misses.
const LEAVING_TIME: Duration = Duration::from_millis(2_500);
/// Without tables from a primary for so long, the settings are read again: other seeds may stand there.
const UNVOUCHED_MS: u64 = 4_000;
/// How often that is looked at.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Runs until the door is told to end and has ended its work.
pub async fn run_until_ended(
    settings: &Settings,
    node: &Node,
    authority: Option<&ControlAuthority>,
    readiness: &Readiness,
    clients: Option<Clients>,
) -> io::Result<()> {
    tokio::task::spawn_local(follow_settings(node.clone()));
    terminated().await?;
    log::info!("told to end: no longer ready");
    readiness.leave();
    node.poll_state.leave();
    if let Some(clients) = &clients {
        clients.leave();
    }
    if let Some(authority) = authority {
        authority.core().leave().await;
        log::info!("the core's part is handed over");
    }
    match clients {
        Some(clients) => clients.ended().await,
        None => tokio::time::sleep(LEAVING_TIME.min(settings.bounds.grace / 2)).await,
    }
    Ok(())
}

/// Reads the settings again at SIGHUP, and when no primary was found for long.
async fn follow_settings(node: Node) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(error) => {
            log::error!("SIGHUP can't be heard: {error}");
            return;
        }
    };
    loop {
        match tokio::time::timeout(SETTINGS_CHECK_INTERVAL, hangups.recv()).await {
            Ok(_) => reload_seeds(&node),
            Err(_) if is_unvouched(&node) => reload_seeds(&node),
            Err(_) => (),
        }
    }
}

fn is_unvouched(node: &Node) -> bool {
    let since_ms = node.poll_state.vouched_since_ms().unwrap_or(0);
    node.clock.now_ms().saturating_sub(since_ms) > UNVOUCHED_MS
}

fn reload_seeds(node: &Node) {
    match Settings::from_environment(Role::Door) {
        Ok(settings) => {
            let seeds = internal_seeds(&settings);
            log::info!("the settings are read again: {} seeds", seeds.len());
            node.directory.set_seeds(seeds);
        }
        Err(error) => log::warn!("the settings stay as they are: {error}"),
    }
}
