//! The main loop of a store process.

use super::calls::CallHandler;
use super::journal_queue::JournalQueue;
use super::node::{NodeJournal, NodeParts, ReplicationHandler, StoreNode};
use super::runs::Runs;
use crate::balance::Balancer;
use crate::clock::SteadyClock;
use crate::distribution::client::{PollClient, PollState};
use crate::distribution::directory::Directory;
use crate::distribution::senders::SenderTracker;
use crate::distribution::server::{DistributionHandler, Distributor};
use crate::distribution::signal::ChangeSignal;
use crate::distribution::tables::{ControlDecoder, Tables};
use crate::exchange::Exchange;
use crate::executor::Executor;
use crate::internal::{server, Network, ServiceId, Services};
use crate::settings::Settings;
use alderhollow_batch::engine::Engine;
use alderhollow_batch::records::DecodeError;
use alderhollow_model::identity::{Address, DiskId, LifeId, NodeInfo, Role};
use alderhollow_storage::{FolderDisk, Journal, StorageError, Writer};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Kept of the time between SIGTERM and SIGKILL.
const END_MARGIN: Duration = Duration::from_millis(1_500);
/// Longest wait for another store to take the group over.
const LONGEST_HANDOVER: Duration = Duration::from_millis(4_000);
/// After another store has taken over, calls that are under way get their answers.
const LAST_ANSWERS: Duration = Duration::from_millis(400);
/// How often a leaving store looks whether another has taken over.
const HANDOVER_LOOK: Duration = Duration::from_millis(50);

/// Why a store can't run.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The settings name no folder on a disk.
    #[error("`data-dir` is missing: a store needs a disk")]
    NoDisk,
    /// The folder can't be used.
    #[error("the data folder can't be opened: {0}")]
    Folder(std::io::Error),
    /// The journal can't be read.
    #[error("the journal can't be read: {0}")]
    Journal(#[from] StorageError),
    /// What the journal holds can't be read.
    #[error("the batch jobs on disk can't be read: {0}")]
    Content(#[from] DecodeError),
    /// No thread for the disk.
    #[error("the thread for the disk can't be started: {0}")]
    Thread(std::io::Error),
    /// The tier's own port is taken or not ours.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// The signals can't be followed.
    #[error("signals can't be followed: {0}")]
    Signals(std::io::Error),
}

/// Runs a store until it is told to end. To be run in a `LocalSet`.
pub async fn run(settings: &Settings, decode_control: ControlDecoder, seed: u64) -> Result<(), StoreError> {
    let clock = SteadyClock::start();
    let mut random = oorandom::Rand64::new(u128::from(seed));
    let (engine, disk, journal) = open_disk(settings, clock, random.rand_u64())?;
    let writer = Writer::start(journal).map_err(StoreError::Thread)?;
    let (journal, write_ends) = JournalQueue::new(writer, settings.limits.disk_mb);
    let info = node_info(settings, disk, LifeId(random.rand_u64()));
    let network = Network::new(random.rand_u64());
    let tables = Tables::new(clock, decode_control);
    let snapshots = tables.subscribe();
    let poll = PollState::default();

    let balancer = Rc::new(RefCell::new(Balancer::new(&settings.node, &settings.zone, random.rand_u64())));
    let exchange = Exchange::new(clock.instant(0), random.rand_u64(), snapshots.clone(), balancer);
    let node = Rc::new_cyclic(|node: &Weak<StoreNode>| {
        let node = node.clone();
        exchange.set_permission(Rc::new(move || node.upgrade().is_some_and(|node| node.may_start())));
        let executor = Executor::new(clock, exchange.clone());
        StoreNode::new(NodeParts {
            disk,
            clock,
            engine,
            journal,
            runs: Runs::new(executor),
            network: network.clone(),
            poll: poll.clone(),
            snapshots: snapshots.clone(),
        })
    });

    let directory = Directory::default();
    let internal_port = *settings.internal_ports.start();
    directory
        .set_seeds(settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), internal_port)).collect());
    let distributor = Rc::new(distributor(&info, &directory, snapshots, clock));
    let mut services = Services::default();
    services.register(ServiceId::Distribution, Rc::new(DistributionHandler(distributor.clone())));
    services.register(ServiceId::Batch, Rc::new(CallHandler(node.clone())));
    services.register(ServiceId::Replication, Rc::new(ReplicationHandler(node.clone())));

    let address = info.internal.0;
    let listener =
        TcpListener::bind(address).await.map_err(|source| StoreError::Listen { address, source })?;
    let client = PollClient { node: info, network, directory, distributor, state: poll.clone(), clock };
    log::info!("store {} with disk {disk} on {address}", settings.node);
    let ended = ending(&node, &poll, settings.bounds.grace);
    tokio::select! {
        () = server::serve(listener, services) => Ok(()),
        () = client.run(tables, random.rand_u64()) => Ok(()),
        () = NodeJournal(node.clone()).follow(write_ends) => Ok(()),
        () = node.clone().run() => Ok(()),
        () = exchange.keep_in_order() => Ok(()),
        result = ended => result,
    }
}

/// Reads what the disk holds.
fn open_disk(
    settings: &Settings,
    clock: SteadyClock,
    fresh_identity: u64,
) -> Result<(Engine, DiskId, Journal), StoreError> {
    let folder = settings.data_dir.as_ref().ok_or(StoreError::NoDisk)?;
    let mut disk = FolderDisk::new(folder).map_err(StoreError::Folder)?;
    let (journal, recovered) = Journal::open(&mut disk, fresh_identity)?;
    let id = DiskId(recovered.identity);
    let snapshot = recovered.snapshot.as_deref();
    let mut engine = Engine::restore(id, clock.now_ms(), snapshot, &recovered.records)?;
    let status_ms = u64::try_from(settings.bounds.status.as_millis()).unwrap_or(u64::MAX);
    engine.set_status_ms(status_ms);
    log::info!("disk {id}: {} batch jobs", engine.jobs());
    Ok((engine, id, journal))
}

fn node_info(settings: &Settings, disk: DiskId, life: LifeId) -> NodeInfo {
    let internal = SocketAddr::new(settings.ip, *settings.internal_ports.start());
    NodeInfo {
        node: settings.node.clone(),
        role: Role::Store,
        zone: settings.zone.clone(),
        life,
        disk: Some(disk),
        internal: Address(internal),
        control: None,
    }
}

/// A store answers others' questions for the core's primary, but is never one itself.
fn distributor(
    info: &NodeInfo,
    directory: &Directory,
    snapshots: crate::SnapshotReceiver,
    clock: SteadyClock,
) -> Distributor {
    let (_, backends) = watch::channel(None);
    Distributor {
        node: info.clone(),
        directory: directory.clone(),
        authority: None,
        backends,
        snapshots,
        changes: ChangeSignal::new(),
        clock,
        senders: RefCell::new(SenderTracker::default()),
    }
}

/// Waits for SIGTERM, then until another store has taken the group over.
async fn ending(node: &Rc<StoreNode>, poll: &PollState, grace: Duration) -> Result<(), StoreError> {
    use tokio::signal::unix::{signal, SignalKind};
    let mut terminate = signal(SignalKind::terminate()).map_err(StoreError::Signals)?;
    terminate.recv().await;
    log::info!("told to end");
    poll.leave();
    let until = tokio::time::Instant::now() + grace.saturating_sub(END_MARGIN).min(LONGEST_HANDOVER);
    while node.is_primary() && tokio::time::Instant::now() < until {
        tokio::time::sleep(HANDOVER_LOOK).await;
    }
    tokio::time::sleep(LAST_ANSWERS).await;
    log::info!("ends");
    Ok(())
}
