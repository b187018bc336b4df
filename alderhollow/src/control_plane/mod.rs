//! What a process does that serves operators: it answers or redirects their calls and, with a disk, is a member of the
//! core. Gateways do so beside serving clients; the role `core` does nothing else.
//!
//! | part | does |
//! | --- | --- |
//! | [`member`] | opens the core's member on the disk, and starts what a primary does |
//! | [`founding_check`] | warns where no machine can found the core |
//! | [`role`] | the main loop of the role `core` |

pub mod founding_check;
pub mod member;
pub mod role;

pub use role::run;

use crate::core::authority::ControlAuthority;
use crate::core::driver::CoreHandler;
use crate::core::group_reconciler;
use crate::core::membership::{self, Membership};
use crate::distribution::server::Authority;
use crate::internal::{ServiceId, Services};
use crate::node::{node_info, Node};
use crate::operator_api;
use crate::operator_api::calls::PendingCall;
use crate::operator_api::server::{OperatorContext, MAX_PENDING_CALLS};
use crate::operator_api::service::OperatorService;
use crate::role::RoleError;
use crate::settings::Settings;
use crate::status::server::{ProcessStatus, StatusHandler};
use alderhollow_model::identity::{DiskId, NodeInfo, Role};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// The party that operators and backends are, in `serves`.
const CONTROL_PLANE: &str = "control_plane";
/// How long a process that serves nobody else still redirects callers after it was told to end: the platform's and the
/// operators' lists lag.
const LEAVING_TIME: Duration = Duration::from_millis(2_500);

/// A process's part in the control plane. The server ends when this is dropped.
pub struct ControlPlane {
    authority: Option<Rc<ControlAuthority>>,
    operator_server: Option<dropshot::HttpServer<OperatorContext>>,
}

impl ControlPlane {
    /// Opens the core's member where the process has a disk and serves operators, joins the tier, and serves the
    /// operators.
    ///
    /// # Errors
    /// The disk can't be used, or an address can't be listened on.
    pub async fn start(
        settings: &Settings,
        node: &Node,
        role: Role,
    ) -> Result<ControlPlane, RoleError> {
        let authority = match &settings.data_dir {
            Some(folder) if settings.serves(CONTROL_PLANE) => {
                Some(member::open(folder, settings, node, role)?)
            }
            _ => None,
        };
        let disk = authority
            .as_deref()
            .map(|authority| DiskId(authority.core().member().id));
        let info = node_info(settings, role, disk);
        join_tier(settings, node, info, authority.as_ref()).await?;
        if settings.first_start {
            tokio::task::spawn_local(founding_check::run(node.clone()));
        }
        let operator_server = match settings.listen.control {
            Some(address) => Some(serve_operators(address, settings, node, authority.clone())?),
            None => None,
        };
        Ok(ControlPlane {
            authority,
            operator_server,
        })
    }

    /// Hands the primary's part over, if this process has it.
    pub async fn leave(&self) {
        if let Some(authority) = &self.authority {
            authority.core().leave().await;
            log::info!("the core's part is handed over");
        }
    }

    /// Goes on redirecting operators for a part of the time until SIGKILL, then ends their server.
    pub async fn redirect_and_end(self, grace: Duration) {
        tokio::time::sleep(LEAVING_TIME.min(grace / 2)).await;
        drop(self.operator_server);
    }
}

/// Starts what talks to the tier's other processes.
async fn join_tier(
    settings: &Settings,
    node: &Node,
    info: NodeInfo,
    authority: Option<&Rc<ControlAuthority>>,
) -> Result<(), RoleError> {
    let mut services = Services::default();
    if let Some(authority) = authority {
        services.register(
            ServiceId::Core,
            Rc::new(CoreHandler(authority.core().clone())),
        );
    }
    let status = ProcessStatus {
        node: info.clone(),
        shared: node.clone(),
        core: authority.cloned(),
        store: None,
    };
    services.register(ServiceId::Status, Rc::new(StatusHandler(status)));
    let shared = authority.map(|authority| authority.clone() as Rc<dyn Authority>);
    let (published, backends) = watch::channel(None);
    node.join(info.clone(), shared, backends, services).await?;
    if let Some(authority) = authority {
        tokio::task::spawn_local(group_reconciler::run(authority.clone()));
        member::read_backends(settings, node, authority.clone(), published);
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
    operator_api::server::serve(address, OperatorContext { calls: sender }).map_err(|error| {
        RoleError::Listen {
            address,
            reason: error.to_string(),
        }
    })
}
