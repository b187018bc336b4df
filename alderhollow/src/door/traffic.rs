//! The door's front with all that it sends through.

use crate::balance::Balancer;
use crate::batch_api::endpoints::StoreEndpoints;
use crate::exchange::Exchange;
use crate::front::phase::Phase;
use crate::front::{Front, FrontSettings};
use crate::node::{random_seed, Node};
use crate::settings::Settings;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Descriptors that are kept for files, backends and the tier's own connections.
const OTHER_DESCRIPTORS: u64 = 1_500;
/// Where the settings name no bound on descriptors.
const DEFAULT_DESCRIPTORS: u64 = 4_096;
/// Fewest connections of clients.
const LEAST_CONNECTIONS: usize = 64;
/// Part of the process's memory that requests' bodies may take.
const BODIES_PART_OF_MEMORY: u64 = 3;
/// Where the settings name no bound on memory, in MB.
const DEFAULT_MEMORY_MB: u64 = 192;

/// Starts to serve clients; the task ends once the last client is served.
pub async fn start(
    address: SocketAddr,
    settings: &Settings,
    node: &Node,
    phase: watch::Receiver<Phase>,
) -> io::Result<JoinHandle<()>> {
    let listener = TcpListener::bind(address).await?;
    let balancer = Balancer::new(&settings.node, &settings.zone, random_seed());
    let started = node.clock.instant(0);
    let snapshots = node.snapshots.clone();
    let exchange = Exchange::new(started, random_seed(), snapshots.clone(), Rc::new(RefCell::new(balancer)));
    let batch = StoreEndpoints::new(Rc::new(node.network.clone()), snapshots, random_seed());
    let front = Front::new(front_settings(settings), exchange, Rc::new(batch));
    Ok(tokio::task::spawn_local(front.run(listener, phase)))
}

fn front_settings(settings: &Settings) -> FrontSettings {
    let descriptors = settings.limits.max_fds.unwrap_or(DEFAULT_DESCRIPTORS);
    let connections = usize::try_from(descriptors.saturating_sub(OTHER_DESCRIPTORS)).unwrap_or(usize::MAX);
    let memory_mb = settings.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
    let body_bytes = memory_mb.saturating_mul(1024 * 1024) / BODIES_PART_OF_MEMORY;
    FrontSettings {
        grace: settings.bounds.grace,
        max_connections: connections.max(LEAST_CONNECTIONS),
        body_bytes: usize::try_from(body_bytes).unwrap_or(usize::MAX),
    }
}
