//! Graceful shutdown: SIGTERM stops a gateway in phases.

use super::clients::ClientServer;
use crate::control_plane::ControlPlane;
use crate::node::Node;
use crate::ready::Readiness;
use crate::settings::{reload, Settings};
use crate::termination::terminated;
use alderhollow_model::identity::Role;
use std::io;

/// Runs until the gateway receives a termination signal and has shut down.
pub(super) async fn run_until_shutdown(
    settings: &Settings,
    node: &Node,
    control_plane: ControlPlane,
    readiness: &Readiness,
    clients: Option<ClientServer>,
) -> io::Result<()> {
    tokio::task::spawn_local(reload::follow(
        node.clone(),
        Role::Gateway,
        reload::hangups()?,
    ));
    terminated().await?;
    log::info!("told to end: no longer ready");
    readiness.leave();
    node.poll_state.leave();
    if let Some(clients) = &clients {
        clients.start_drain();
    }
    control_plane.leave().await;
    match clients {
        Some(clients) => clients.drained().await,
        None => control_plane.redirect_and_end(settings.bounds.grace).await,
    }
    Ok(())
}
