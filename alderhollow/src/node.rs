//! What the processes of both roles have in common: their place in the tier, the internal port and the tables.

use crate::balance::{Balancer, ColdBounds};
use crate::clock::SteadyClock;
use crate::control_state::view::decode_view;
use crate::distribution::client::{PollClient, PollState};
use crate::distribution::directory::Directory;
use crate::distribution::primary_announcement::PrimaryAnnouncer;
use crate::distribution::server::{Authority, DistributionHandler, Distributor, PublishedBackends};
use crate::distribution::signal::ChangeSignal;
use crate::distribution::tables::Tables;
use crate::exchange::Exchange;
use crate::internal::{server, Network, ServiceId, Services};
use crate::placement::client::PlacementClient;
use crate::placement::ledger::Ledger;
use crate::placement::server::PlacementServer;
use crate::settings::reload::SeedReader;
use crate::settings::Settings;
use crate::SnapshotReceiver;
use alderhollow_model::identity::{Address, DiskId, Incarnation, NodeInfo, Role};
use alderhollow_model::snapshot::ControlView;
use std::cell::{OnceCell, RefCell};
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
    /// Places requests at the backends of the process's zone, where it is the zone's placer.
    pub placement: Rc<PlacementServer>,
    /// The process's own exchanges with backends, once it has any.
    pub exchange: Rc<OnceCell<Rc<Exchange>>>,
    tables: Rc<RefCell<Option<Tables>>>,
}

impl Node {
    /// The shared parts of a process that begins now.
    pub fn new(settings: &Settings) -> Node {
        let clock = SteadyClock::start();
        let tables = Tables::new(clock, read_view);
        let snapshots = tables.subscribe();
        let ledger = Ledger::new(&settings.node, &settings.zone, random_seed());
        let placement = PlacementServer::new(ledger, snapshots.clone(), clock);
        let directory = Directory::default();
        directory.set_seeds(internal_seeds(settings));
        Node {
            clock,
            network: Network::new(random_seed()),
            directory,
            poll_state: PollState::default(),
            changes: ChangeSignal::new(),
            snapshots,
            placement: Rc::new(placement),
            exchange: Rc::default(),
            tables: Rc::new(RefCell::new(Some(tables))),
        }
    }

    /// The process's exchanges with backends, which it begins hereby. To be called in a `LocalSet`, once.
    pub fn begin_exchanges(&self, settings: &Settings) -> Rc<Exchange> {
        let bounds = &settings.bounds;
        let mut balancer = Balancer::new(&settings.node, &settings.zone, random_seed());
        balancer.set_cold_bounds(ColdBounds {
            over: bounds.cold_over,
            slack: bounds.cold_slack,
        });
        let snapshots = self.snapshots.clone();
        let placers =
            PlacementClient::start(self.network.clone(), snapshots, Incarnation(random_seed()));
        let exchange = Exchange::with_placement(
            self.clock.instant(0),
            random_seed(),
            self.snapshots.clone(),
            Rc::new(RefCell::new(balancer)),
            placers,
            &settings.zone,
        );
        self.exchange.get_or_init(|| exchange).clone()
    }

    /// Serves the internal port and begins to poll for tables. `services` are the role's own, beside the distribution.
    ///
    /// # Errors
    /// The internal port cannot be listened on.
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
            history: RefCell::default(),
        });
        services.register(ServiceId::Placement, self.placement.clone());
        services.register(
            ServiceId::Distribution,
            Rc::new(DistributionHandler(distributor.clone())),
        );
        if distributor.authority.is_some() {
            let seeds = SeedReader::new(self, info.role);
            let introductions = PrimaryAnnouncer {
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
        incarnation: Incarnation(random_seed()),
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
    settings
        .seeds
        .iter()
        .map(|seed| SocketAddr::new(seed.ip(), port))
        .collect()
}

/// A number by chance, from the system's source of randomness.
pub fn random_seed() -> u64 {
    RandomState::new().build_hasher().finish()
}

fn read_view(bytes: &[u8]) -> Option<ControlView> {
    decode_view(bytes)
        .inspect_err(|error| log::error!("the control state can't be read: {error}"))
        .ok()
}
