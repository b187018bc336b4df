//! The control plane of a process: it serves operators' calls or redirects them to the primary and, with a disk, runs a core
//! member.
//!
//! May use `core`, `discovery`, `distribution` and `operator_api`. Used by `gateway`, whose processes also serve clients, and
//! by the role `core`, which runs nothing else.
//!
//! | module | contents |
//! | --- | --- |
//! | [`member`] | opens the core member on its disk and starts the reader of the platform's backend list |
//! | [`founding_check`] | logs an error if no seed can found the core |
//! | [`role`] | main loop of the role `core` |

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

/// Value of the setting `serves` for processes that serve operators.
const CONTROL_PLANE_PARTY: &str = "control_plane";
/// Maximum time for which a process of the role `core` redirects operators after SIGTERM, as the address lists of the
/// platform and the operators lag.
const MAX_REDIRECT_TIME: Duration = Duration::from_millis(2_500);

/// The control plane of this process. Dropping it stops the operators' server.
pub struct ControlPlane {
    authority: Option<Rc<ControlAuthority>>,
    operator_server: Option<dropshot::HttpServer<OperatorContext>>,
}

impl ControlPlane {
    /// Opens the core member if the process has a disk and serves operators, joins the tier, and starts the operators'
    /// server.
    ///
    /// # Errors
    /// The disk can't be opened, or an address can't be listened on.
    pub async fn start(
        settings: &Settings,
        node: &Node,
        role: Role,
    ) -> Result<ControlPlane, RoleError> {
        let authority = match &settings.data_dir {
            Some(folder) if settings.serves(CONTROL_PLANE_PARTY) => {
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

    /// Hands over the core's primary role, if this process has it, and waits for the confirmation or its time-out.
    pub async fn leave(&self) {
        if let Some(authority) = &self.authority {
            authority.core().leave().await;
            log::info!("core: finished the handover of the primary role");
        }
    }

    /// Redirects operators for `MAX_REDIRECT_TIME` or half of the grace period before SIGKILL, whichever is shorter, then
    /// stops their server.
    pub async fn redirect_and_end(self, grace: Duration) {
        tokio::time::sleep(MAX_REDIRECT_TIME.min(grace / 2)).await;
        drop(self.operator_server);
    }
}

/// Starts the internal services and the tasks that communicate with other processes.
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
        member::start_backend_reader(settings, node, authority.clone(), published);
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
