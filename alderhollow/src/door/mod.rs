//! The role of a door: takes clients' requests and operators' calls; where it has a disk, it is a member of the core.
//!
//! | part | does |
//! | --- | --- |
//! | `core_member` | opens the core's member on the disk, and starts what a primary does |
//! | `clients` | serves clients' requests |
//! | `endings` | the planned end |

mod clients;
mod core_member;
mod endings;

use crate::core::authority::ControlAuthority;
use crate::core::driver::CoreHandler;
use crate::core::group_reconciler;
use crate::core::membership::{self, Membership};
use crate::distribution::server::{Authority, PublishedBackends};
use crate::internal::{ServiceId, Services};
use crate::node::{node_info, Node};
use crate::operator_api::calls::PendingCall;
use crate::operator_api::server::{OperatorContext, MAX_PENDING_CALLS};
use crate::operator_api::service::OperatorService;
use crate::ready::Readiness;
use crate::role::RoleError;
use crate::settings::Settings;
use crate::status::server::{ProcessStatus, StatusHandler};
use crate::{operator_api, ready};
use alderhollow_model::identity::{DiskId, NodeInfo, Role};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};

/// The party that operators and backends are, in `serves`.
const CONTROL_PLANE: &str = "control_plane";

/// Runs a door until it is told to end.
pub async fn run(settings: Settings) -> Result<(), RoleError> {
    log::info!("door {} in zone {}", settings.node, settings.zone);
    let node = Node::new(&settings);
    let readiness = Readiness::new(node.snapshots.clone());
    let ready_server = match settings.listen.ready {
        Some(address) => {
            Some(ready::serve(address, readiness.clone()).map_err(|error| cannot_listen(address, &error))?)
        }
        None => None,
    };
    let (published, backends) = watch::channel(None);
    let authority = match &settings.data_dir {
        Some(folder) if settings.serves(CONTROL_PLANE) => Some(core_member::open(folder, &settings, &node)?),
        _ => None,
    };
    let info = node_info(&settings, Role::Door, authority.as_deref().map(disk_of));
    join_tier(&settings, &node, info, authority.as_ref(), backends, published).await?;
    let operator_server = match settings.listen.control {
        Some(address) => Some(serve_operators(address, &settings, &node, authority.clone())?),
        None => None,
    };
    let clients = match settings.listen.front {
        Some(address) => Some(clients::serve(address, &settings, &node).await?),
        None => None,
    };
    endings::run_until_ended(&settings, &node, authority.as_deref(), &readiness, clients).await?;
    drop((ready_server, operator_server));
    Ok(())
}

fn disk_of(authority: &ControlAuthority) -> DiskId {
    DiskId(authority.core().member().id)
}

/// Starts what talks to the tier's other processes.
async fn join_tier(
    settings: &Settings,
    node: &Node,
    info: NodeInfo,
    authority: Option<&Rc<ControlAuthority>>,
    backends: watch::Receiver<Option<PublishedBackends>>,
    published: watch::Sender<Option<PublishedBackends>>,
) -> Result<(), RoleError> {
    let mut services = Services::default();
    if let Some(authority) = authority {
        services.register(ServiceId::Core, Rc::new(CoreHandler(authority.core().clone())));
    }
    let status =
        ProcessStatus { node: info.clone(), shared: node.clone(), core: authority.cloned(), store: None };
    services.register(ServiceId::Status, Rc::new(StatusHandler(status)));
    let shared = authority.map(|authority| authority.clone() as Rc<dyn Authority>);
    node.join(info.clone(), shared, backends, services).await?;
    if let Some(authority) = authority {
        tokio::task::spawn_local(group_reconciler::run(authority.clone()));
        core_member::read_backends(settings, node, authority.clone(), published);
        tokio::task::spawn_local(membership::maintain(Membership {
            core: authority.core().clone(),
            node: info,
            network: node.network.clone(),
            directory: node.directory.clone(),
            first_start: settings.first_start,
        }));
    }
    Ok(())
}

fn serve_operators(
    address: SocketAddr,
    settings: &Settings,
    node: &Node,
    authority: Option<Rc<ControlAuthority>>,
) -> Result<dropshot::HttpServer<OperatorContext>, RoleError> {
    let (sender, calls) = mpsc::channel::<PendingCall>(MAX_PENDING_CALLS);
    let service = OperatorService {
        authority,
        directory: node.directory.clone(),
        own_address: address,
        zones: settings.zones.keys().cloned().collect(),
        tolerate_machines: settings.tolerate.machines,
        snapshots: node.snapshots.clone(),
        clock: node.clock,
    };
    tokio::task::spawn_local(Rc::new(service).run(calls));
    operator_api::server::serve(address, OperatorContext { calls: sender })
        .map_err(|error| cannot_listen(address, &error))
}

fn cannot_listen(address: SocketAddr, error: &dropshot::BuildError) -> RoleError {
    RoleError::Listen { address, reason: error.to_string() }
}
