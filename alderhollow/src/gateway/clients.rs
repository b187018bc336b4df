//! Runs the HTTP server of a gateway for client requests.

use crate::batch_api::endpoints::StoreEndpoints;
use crate::distribution::validity::TableValidity;
use crate::http_server::phase::Phase;
use crate::http_server::{Server, ServerSettings};
use crate::node::{random_seed, Node};
use crate::settings::Settings;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// File descriptors reserved for uses other than client and backend connections.
const RESERVED_DESCRIPTORS: u64 = 400;
/// Client connections get the remaining descriptors divided by this.
const CLIENT_DESCRIPTOR_DIVISOR: u64 = 2;
/// Limits that apply if the settings name none.
const DEFAULT_MAX_FDS: u64 = 1024;
const DEFAULT_MEMORY_MB: u64 = 256;
/// Buffered request bodies get the memory limit divided by this.
const BODY_MEMORY_DIVISOR: u64 = 4;
const BYTES_PER_MB: u64 = 1 << 20;

/// The running HTTP server.
pub(super) struct ClientServer {
    phase: watch::Sender<Phase>,
    server: JoinHandle<()>,
}

impl ClientServer {
    /// Starts to drain client connections.
    pub(super) fn start_drain(&self) {
        self.phase.send_replace(Phase::Draining);
    }

    /// Waits until all client connections are drained or the grace period ends.
    pub(super) async fn drained(self) {
        let _ = self.server.await;
    }
}

/// Starts the HTTP server.
///
/// # Errors
/// Listening on the address fails.
pub(super) async fn serve(
    address: SocketAddr,
    settings: &Settings,
    node: &Node,
) -> io::Result<ClientServer> {
    let listener = TcpListener::bind(address).await?;
    let exchange = node.begin_exchanges(settings);
    let network = Rc::new(node.network.clone());
    let batch = StoreEndpoints::new(network, node.snapshots.clone(), node.clock, random_seed());
    let server = Server::new(server_settings(settings, node), exchange, Rc::new(batch));
    let (phase, phase_receiver) = watch::channel(Phase::Running);
    let server = tokio::task::spawn_local(server.run(listener, phase_receiver));
    Ok(ClientServer { phase, server })
}

fn server_settings(settings: &Settings, node: &Node) -> ServerSettings {
    let poll_state = node.poll_state.clone();
    let descriptors = settings.limits.max_fds.unwrap_or(DEFAULT_MAX_FDS);
    let connections = descriptors
        .saturating_sub(RESERVED_DESCRIPTORS)
        .max(RESERVED_DESCRIPTORS)
        / CLIENT_DESCRIPTOR_DIVISOR;
    let body_bytes =
        settings.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) * BYTES_PER_MB / BODY_MEMORY_DIVISOR;
    ServerSettings {
        grace: settings.bounds.grace,
        max_connections: usize::try_from(connections).unwrap_or(usize::MAX),
        body_bytes: usize::try_from(body_bytes).unwrap_or(usize::MAX),
        validity: Some(TableValidity::new(
            poll_state,
            node.clock,
            settings.bounds.config_apply,
        )),
    }
}
