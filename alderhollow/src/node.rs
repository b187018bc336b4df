//! What the processes of both roles have in common: their place in the tier, the internal port and the tables.

use crate::clock::SteadyClock;
use crate::control_state::view::decode_view;
use crate::distribution::client::{PollClient, PollState};
use crate::distribution::directory::Directory;
use crate::distribution::introductions::Introductions;
use crate::distribution::server::{Authority, DistributionHandler, Distributor, PublishedBackends};
use crate::distribution::signal::ChangeSignal;
use crate::distribution::tables::Tables;
use crate::internal::{server, Network, ServiceId, Services};
use crate::placement::client::PlacementClient;
use crate::placement::ledger::Ledger;
use crate::placement::server::PlacementServer;
use crate::settings::reload::SeedReader;
use crate::settings::Settings;
use crate::SnapshotReceiver;
use alderhollow_model::identity::{Address, DiskId, LifeId, NodeInfo, Role};
use alderhollow_model::snapshot::ControlView;
use std::cell::RefCell;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// What the parts of a process share. It does nothing by itself until [`Node::join`].
#[derive(Clone)]
pub struct Node {
    /// The process's clock.
    pub clock: SteadyClock,
    /// Connections to the other processes.
    pub network: Network,
    /// Where the core is.
    pub directory: Directory,
    /// What goes along with the process's polls.
    pub poll_state: PollState,
    /// Wakes polls that others have with this process.
    pub changes: ChangeSignal,
    /// The process's tables.
    pub snapshots: SnapshotReceiver,
    tables: Rc<RefCell<Option<Tables>>>,
}

impl Node {
    /// The shared parts of a process that begins now.
    pub fn new(settings: &Settings) -> Node {
        let clock = SteadyClock::start();
        let tables = Tables::new(clock, read_view);
        let directory = Directory::default();
        directory.set_seeds(internal_seeds(settings));
        Node {
            clock,
            network: Network::new(random_seed()),
            directory,
            poll_state: PollState::default(),
            changes: ChangeSignal::new(),
            snapshots: tables.subscribe(),
            tables: Rc::new(RefCell::new(Some(tables))),
        }
    }

    /// What asks the placers of the zones.
    pub fn placement_client(&self) -> Rc<PlacementClient> {
        PlacementClient::start(self.network.clone(), self.snapshots.clone(), LifeId(random_seed()))
    }

    /// Serves the internal port and begins to poll for tables. `services` are the role's own, beside the distribution.
    pub async fn join(
        &self,
        info: NodeInfo,
        authority: Option<Rc<dyn Authority>>,
        backends: watch::Receiver<Option<PublishedBackends>>,
        mut services: Services,
    ) -> io::Result<()> {
        let listener = TcpListener::bind(info.internal.0).await?;
        let distributor = Rc::new(Distributor {
            node: info.clone(),
            directory: self.directory.clone(),
            authority,
            backends,
            snapshots: self.snapshots.clone(),
            changes: self.changes.clone(),
            clock: self.clock,
            senders: RefCell::default(),
            pollers: RefCell::default(),
        });
        let ledger = Ledger::new(&info.node, &info.zone, random_seed());
        let placement = PlacementServer::new(ledger, self.snapshots.clone(), self.clock);
        services.register(ServiceId::Placement, Rc::new(placement));
        services.register(ServiceId::Distribution, Rc::new(DistributionHandler(distributor.clone())));
        if distributor.authority.is_some() {
            let seeds = SeedReader::new(self, info.role);
            let introductions = Introductions {
                distributor: distributor.clone(),
                link: Rc::new(self.network.clone()),
                read_seeds: Box::new(move || seeds.read()),
            };
            tokio::task::spawn_local(introductions.run());
        }
        tokio::task::spawn_local(server::serve(listener, services));
        let client = PollClient {
            node: info,
            link: Rc::new(self.network.clone()),
            directory: self.directory.clone(),
            distributor,
            state: self.poll_state.clone(),
            clock: self.clock,
        };
        if let Some(tables) = self.tables.borrow_mut().take() {
            tokio::task::spawn_local(client.run(tables, random_seed()));
        }
        Ok(())
    }
}

/// What a process tells the others of itself.
pub fn node_info(settings: &Settings, role: Role, disk: Option<DiskId>) -> NodeInfo {
    NodeInfo {
        node: settings.node.clone(),
        role,
        zone: settings.zone.clone(),
        life: LifeId(random_seed()),
        disk,
        internal: Address(internal_address(settings)),
        control: settings.listen.control.map(Address),
    }
}

/// Where a process takes the tier's own messages.
pub fn internal_address(settings: &Settings) -> SocketAddr {
    SocketAddr::new(settings.ip, *settings.internal_ports.start())
}

/// The seeds' internal addresses: within a deployment, all machines use the same ports.
pub fn internal_seeds(settings: &Settings) -> Vec<SocketAddr> {
    let port = *settings.internal_ports.start();
    settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
}

/// A number by chance, from the system's source of randomness.
pub fn random_seed() -> u64 {
    RandomState::new().build_hasher().finish()
}

fn read_view(bytes: &[u8]) -> Option<ControlView> {
    decode_view(bytes).inspect_err(|error| log::error!("the control state can't be read: {error}")).ok()
}
