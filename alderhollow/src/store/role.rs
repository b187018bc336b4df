//! The main loop of a store process.

use super::calls::CallHandler;
use super::journal_queue::JournalQueue;
use super::journal_records::restore_engines;
use super::node::{NodeJournal, NodeParts, StoreNode};
use super::replication::ReplicationHandler;
use super::runs::Runs;
use crate::distribution::client::PollState;
use crate::executor::Executor;
use crate::internal::{ServiceId, Services};
use crate::node::{node_info, random_seed, Node};
use crate::role::RoleError;
use crate::settings::{reload, Settings};
use crate::status::server::{ProcessStatus, StatusHandler};
use crate::termination::terminated;
use alderhollow_batch::engine::Engine;
use alderhollow_model::identity::{DiskId, Role};
use alderhollow_model::snapshot::GroupId;
use alderhollow_storage::{FolderDisk, Journal, Writer};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// Part of the grace period between SIGTERM and SIGKILL that is reserved for the steps after the handover.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(1_500);
/// Maximum wait for other stores to take over the groups.
const MAX_HANDOVER_WAIT: Duration = Duration::from_millis(4_000);
/// Time after the handover in which pending calls are still answered.
const DRAIN_TIME: Duration = Duration::from_millis(400);
/// Interval at which a leaving store checks whether it still leads a group.
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a store until SIGTERM. Must be called within a `LocalSet`.
///
/// # Errors
/// The data folder cannot be opened or read, or the internal port cannot be listened on.
pub async fn run(settings: Settings) -> Result<(), RoleError> {
    let hangups = reload::hangups()?;
    let shared = Node::new(&settings);
    let (engines, disk, journal) = open_disk(&settings, &shared)?;
    let (journal, write_completions) =
        JournalQueue::new(Writer::start(journal)?, settings.limits.disk_mb);
    let exchange = shared.begin_exchanges(&settings);
    let executor = Executor::new(shared.clock, exchange.clone());
    let parts = NodeParts {
        disk,
        clock: shared.clock,
        engines,
        status_retention: settings.bounds.status,
        journal,
        runs: Runs::new(executor),
        network: shared.network.clone(),
        poll: shared.poll_state.clone(),
        snapshots: shared.snapshots.clone(),
    };
    let node = Rc::new(StoreNode::new(parts));

    let mut services = Services::default();
    services.register(ServiceId::Batch, Rc::new(CallHandler(node.clone())));
    services.register(
        ServiceId::Replication,
        Rc::new(ReplicationHandler(node.clone())),
    );
    // A store reads no list of backends, as it is never the core's primary.
    let (_, backends) = watch::channel(None);
    let info = node_info(&settings, Role::Store, Some(disk));
    log::info!(
        "store {} in zone {} with disk {disk}",
        settings.node,
        settings.zone
    );
    let status = ProcessStatus {
        node: info.clone(),
        shared: shared.clone(),
        core: None,
        store: Some(node.clone()),
    };
    services.register(ServiceId::Status, Rc::new(StatusHandler(status)));
    shared.join(info, None, backends, services).await?;
    tokio::select! {
        () = NodeJournal(node.clone()).process_completions(write_completions) => Ok(()),
        () = node.clone().run() => Ok(()),
        () = exchange.run_maintenance() => Ok(()),
        () = reload::follow(shared.clone(), Role::Store, hangups) => Ok(()),
        result = shut_down_on_sigterm(&node, &shared.poll_state, settings.bounds.grace) => Ok(result?),
    }
}

/// The engines restored from a disk, the disk's id, and its journal.
type OpenedDisk = (BTreeMap<GroupId, Engine>, DiskId, Journal);

/// Opens the journal and restores the engines.
fn open_disk(settings: &Settings, shared: &Node) -> Result<OpenedDisk, RoleError> {
    let folder = settings.data_dir.as_ref().ok_or(RoleError::NoDisk)?;
    let folder_error = |source| RoleError::Folder {
        path: folder.clone(),
        source,
    };
    let mut disk = FolderDisk::new(folder).map_err(folder_error)?;
    let (journal, recovered) = Journal::open(&mut disk, random_seed())?;
    let id = DiskId(recovered.identity);
    let now_ms = shared.clock.now_ms();
    let engines = restore_engines(
        id,
        now_ms,
        recovered.snapshot.as_deref(),
        &recovered.records,
    )?;
    let jobs: usize = engines.values().map(Engine::jobs).sum();
    log::info!("disk {id}: {jobs} batch jobs in {} groups", engines.len());
    Ok((engines, id, journal))
}

/// Waits for SIGTERM, hands over the groups that this store leads and drains pending calls, within the grace period.
async fn shut_down_on_sigterm(
    node: &Rc<StoreNode>,
    poll: &PollState,
    grace: Duration,
) -> io::Result<()> {
    terminated().await?;
    log::info!("told to end");
    poll.leave();
    let deadline =
        tokio::time::Instant::now() + grace.saturating_sub(SHUTDOWN_MARGIN).min(MAX_HANDOVER_WAIT);
    while node.is_primary() && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(HANDOVER_POLL_INTERVAL).await;
    }
    tokio::time::sleep(DRAIN_TIME).await;
    log::info!("shutdown complete");
    Ok(())
}
