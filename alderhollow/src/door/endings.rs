//! The platform's signal SIGTERM ends a door in phases.

use super::clients::Clients;
use crate::core::authority::ControlAuthority;
use crate::node::Node;
use crate::ready::Readiness;
use crate::settings::Settings;
use crate::settings_reload;
use crate::termination::terminated;
use alderhollow_model::identity::Role;
use std::io;
use std::time::Duration;

/// Clients may come for so long after the door stopped being ready: the platform asks once a second and wants two misses.
const LEAVING_TIME: Duration = Duration::from_millis(2_500);

/// Runs until the door is told to end and has ended its work.
pub async fn run_until_ended(
    settings: &Settings,
    node: &Node,
    authority: Option<&ControlAuthority>,
    readiness: &Readiness,
    clients: Option<Clients>,
) -> io::Result<()> {
    tokio::task::spawn_local(settings_reload::follow(node.clone(), Role::Door));
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
