//! The role `core`: runs a core member on its disk and serves operators, but no clients.

use super::ControlPlane;
use crate::node::Node;
use crate::role::RoleError;
use crate::settings::{reload, Settings};
use crate::termination::terminated;
use alderhollow_model::identity::Role;

/// Runs a process of the role `core` until SIGTERM.
///
/// # Errors
/// No disk is configured, the disk can't be opened, or an address can't be listened on.
pub async fn run(settings: Settings) -> Result<(), RoleError> {
    if settings.data_dir.is_none() {
        return Err(RoleError::NoCoreDisk);
    }
    log::info!("core process {} in zone {}", settings.node, settings.zone);
    let node = Node::new(&settings);
    let control_plane = ControlPlane::start(&settings, &node, Role::Core).await?;
    tokio::task::spawn_local(reload::follow(node.clone(), Role::Core, reload::hangups()?));
    terminated().await?;
    log::info!("received SIGTERM: shutting down");
    node.poll_state.leave();
    control_plane.leave().await;
    control_plane.redirect_and_end(settings.bounds.grace).await;
    Ok(())
}
