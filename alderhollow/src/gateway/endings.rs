//! The planned end: SIGTERM ends a gateway in phases.

use super::clients::Clients;
use crate::control_plane::ControlPlane;
use crate::node::Node;
use crate::ready::Readiness;
use crate::settings::{reload, Settings};
use crate::termination::terminated;
use alderhollow_model::identity::Role;
use std::io;

/// Runs until the gateway is told to end and has ended its work.
pub(super) async fn run_until_ended(
    settings: &Settings,
    node: &Node,
    control_plane: ControlPlane,
    readiness: &Readiness,
    clients: Option<Clients>,
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
        clients.leave();
    }
    control_plane.leave().await;
    match clients {
        Some(clients) => clients.ended().await,
        None => control_plane.redirect_and_end(settings.bounds.grace).await,
    }
    Ok(())
}
