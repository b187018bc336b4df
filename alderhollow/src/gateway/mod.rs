//! The gateway role: serves client requests and operator calls; a gateway with a disk is a member of the core.
//!
//! | part | does |
//! | --- | --- |
//! | `clients` | serves clients' requests |
//! | `shutdown` | shuts the gateway down gracefully |

mod clients;
mod shutdown;

use crate::control_plane::ControlPlane;
use crate::node::Node;
use crate::ready;
use crate::ready::Readiness;
use crate::role::RoleError;
use crate::settings::Settings;
use alderhollow_model::identity::Role;

/// Runs a gateway until it receives a termination signal.
///
/// # Errors
/// Listening on an address fails, or the data directory cannot be opened.
pub async fn run(settings: Settings) -> Result<(), RoleError> {
    log::info!("gateway {} in zone {}", settings.node, settings.zone);
    let node = Node::new(&settings);
    let readiness = Readiness::new(node.snapshots.clone());
    let ready_server =
        match settings.listen.ready {
            Some(address) => Some(ready::serve(address, readiness.clone()).map_err(|error| {
                RoleError::Listen {
                    address,
                    reason: error.to_string(),
                }
            })?),
            None => None,
        };
    let control_plane = ControlPlane::start(&settings, &node, Role::Gateway).await?;
    let clients = match settings.listen.front {
        Some(address) => Some(clients::serve(address, &settings, &node).await?),
        None => None,
    };
    shutdown::run_until_shutdown(&settings, &node, control_plane, &readiness, clients).await?;
    drop(ready_server);
    Ok(())
}
