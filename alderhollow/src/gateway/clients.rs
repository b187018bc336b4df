//! Serves clients' requests at the front of a gateway.

use crate::batch_api::endpoints::StoreEndpoints;
use crate::distribution::validity::TableValidity;
use crate::http_server::phase::Phase;
use crate::http_server::{Front, FrontSettings};
use crate::node::{random_seed, Node};
use crate::settings::Settings;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Descriptors that are not there for clients and backends.
const RESERVED_DESCRIPTORS: u64 = 400;
/// Of the rest, one part in so many is for clients.
const CLIENTS_PART: u64 = 2;
/// Where the settings name no limits.
const DESCRIPTORS: u64 = 1024;
const MEMORY_MB: u64 = 256;
/// One part of the memory in so many is for bodies of requests.
const BODIES_PART: u64 = 4;
const BYTES_PER_MB: u64 = 1 << 20;

/// The front as it runs.
pub(super) struct Clients {
    phase: watch::Sender<Phase>,
    front: JoinHandle<()>,
}

impl Clients {
    /// Sends clients off from now on.
    pub(super) fn leave(&self) {
        self.phase.send_replace(Phase::Leaving);
    }

    /// Waits until the last of them is served, or the time for that is over.
    pub(super) async fn ended(self) {
        let _ = self.front.await;
    }
}

/// Starts to serve clients.
///
/// # Errors
/// The address can't be listened on.
pub(super) async fn serve(
    address: SocketAddr,
    settings: &Settings,
    node: &Node,
) -> io::Result<Clients> {
    let listener = TcpListener::bind(address).await?;
    let exchange = node.begin_exchanges(settings);
    let network = Rc::new(node.network.clone());
    let batch = StoreEndpoints::new(network, node.snapshots.clone(), node.clock, random_seed());
    let front = Front::new(front_settings(settings, node), exchange, Rc::new(batch));
    let (phase, following) = watch::channel(Phase::Running);
    let front = tokio::task::spawn_local(front.run(listener, following));
    Ok(Clients { phase, front })
}

fn front_settings(settings: &Settings, node: &Node) -> FrontSettings {
    let polls = node.poll_state.clone();
    let descriptors = settings.limits.max_fds.unwrap_or(DESCRIPTORS);
    let connections = descriptors
        .saturating_sub(RESERVED_DESCRIPTORS)
        .max(RESERVED_DESCRIPTORS)
        / CLIENTS_PART;
    let bodies = settings.limits.memory_mb.unwrap_or(MEMORY_MB) * BYTES_PER_MB / BODIES_PART;
    FrontSettings {
        grace: settings.bounds.grace,
        max_connections: usize::try_from(connections).unwrap_or(usize::MAX),
        body_bytes: usize::try_from(bodies).unwrap_or(usize::MAX),
        validity: Some(TableValidity::new(
            polls,
            node.clock,
            settings.bounds.config_apply,
        )),
    }
}
