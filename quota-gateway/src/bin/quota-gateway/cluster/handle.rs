//! The handle of this gateway's cluster node, shared by the driver task, the operators' calls, the connection pool and
//! the reload of the configuration. All of them run on one thread.

use crate::clients::phase::PhaseControl;
use crate::cluster::answers::DatagramCounts;
use crate::cluster::error::ClusterError;
use crate::cluster::log_events;
use crate::cluster::peer_addresses::PeerAddresses;
use crate::cluster::settings::ClusterSettings;
use gateway_cluster::leadership::election::LeaderElection;
use gateway_cluster::membership::PartitionSide;
use gateway_cluster::node::ClusterNode;
use gateway_cluster::peers::{peer_id_of, PeerId};
use gateway_cluster::protocol::{Micros, Transmit};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// On which side of a network partition this gateway is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PartitionStatus {
    /// Number of changes of the side, from 1 on; 0 while the node is not running.
    pub(crate) version: u64,
    /// The side, by the peers that this gateway holds for alive.
    pub(crate) side: PartitionSide,
}

/// This gateway's membership in the cluster.
pub(crate) struct Cluster {
    pub(super) settings: RefCell<ClusterSettings>,
    pub(super) peer_addresses: RefCell<PeerAddresses>,
    /// `None` until the UDP port is open.
    pub(super) node: RefCell<Option<ClusterNode>>,
    /// Datagrams that the node emitted; the driver sends them before it waits again.
    pub(super) outbox: RefCell<Vec<Transmit>>,
    pub(super) received: Cell<DatagramCounts>,
    pub(super) partition_status: watch::Sender<PartitionStatus>,
    pub(super) seed: u64,
    /// Origin of the node's clock.
    pub(super) started_at: Instant,
    /// Wakes the driver after a change from outside: a replaced peer set, a proposed shard map or the shutdown.
    pub(super) wakeup: Notify,
    pub(super) is_leaving: Cell<bool>,
}

impl Cluster {
    /// Starts the driver task. It runs until this process shuts down, and pauses while a successor has taken over.
    pub(crate) fn start(
        settings: ClusterSettings,
        seed: u64,
        phase_control: &Rc<PhaseControl>,
    ) -> Rc<Cluster> {
        let cluster = Rc::new(Cluster {
            settings: RefCell::new(settings),
            peer_addresses: RefCell::default(),
            node: RefCell::default(),
            outbox: RefCell::default(),
            received: Cell::default(),
            partition_status: watch::Sender::new(PartitionStatus {
                version: 0,
                side: PartitionSide::Alone,
            }),
            seed,
            started_at: Instant::now(),
            wakeup: Notify::new(),
            is_leaving: Cell::new(false),
        });
        spawn_local(cluster.clone().run(phase_control.watch()));
        cluster
    }

    /// Follows the side of a network partition that this gateway is on.
    #[allow(
        dead_code,
        reason = "the interface for consumers of the side: limits without a registry, replicas"
    )]
    pub(crate) fn partition_status(&self) -> watch::Receiver<PartitionStatus> {
        self.partition_status.subscribe()
    }

    /// Takes over the peers and the proposed shard map of a reloaded configuration. All other settings, this gateway's
    /// name and port among them, stay as they were at the start.
    pub(crate) fn replace_settings(&self, settings: ClusterSettings) {
        self.maybe_propose_shard_map(&settings);
        self.maybe_replace_peers(settings.peers);
    }

    fn maybe_propose_shard_map(&self, settings: &ClusterSettings) {
        let proposal = settings
            .shards
            .as_ref()
            .and_then(|shards| shards.proposal.clone());
        let Some((expected_version, ranges)) = proposal else {
            return;
        };
        self.with_node(|node, now, _| {
            if let Some(shard_map) = node.shard_map_mut() {
                shard_map.propose(now, expected_version, ranges);
            }
        });
        self.wakeup.notify_one();
    }

    fn maybe_replace_peers(&self, peers: BTreeMap<String, SocketAddrV4>) {
        let former = self.settings.borrow().peers.clone();
        if peers == former {
            return;
        }
        let added = peers.keys().filter(|name| !former.contains_key(*name));
        let removed = former.keys().filter(|name| !peers.contains_key(*name));
        log_events::log_peer_set_replaced(peers.len() + 1, added.count(), removed.count());
        self.settings.borrow_mut().peers = peers;
        self.update_peer_addresses();
        let names = self.settings.borrow().names();
        let replaced = self.with_node(|node, now, outbox| node.set_peers(now, names, outbox));
        // The peers were validated with the settings. If the node rejects them all the same, its former set stays.
        if let Some(Err(problem)) = replaced {
            log_events::log_peer_set_rejected(&ClusterError::PeerSetRejected(problem.to_string()));
        }
        self.wakeup.notify_one();
    }

    /// Announces the shutdown of this gateway to its peers, and ends the driver task.
    pub(crate) fn leave(&self) {
        self.is_leaving.set(true);
        self.wakeup.notify_one();
    }

    /// Whether sessions are classified.
    pub(crate) fn has_sessions(&self) -> bool {
        self.settings.borrow().sessions.is_some()
    }

    /// Time since the start of this handle, in microseconds: the node's clock.
    pub(super) fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// Runs an action on the node with the present time and the outbox; `None` while the node is not running.
    pub(super) fn with_node<T>(
        &self,
        action: impl FnOnce(&mut ClusterNode, Micros, &mut Vec<Transmit>) -> T,
    ) -> Option<T> {
        let now = self.now();
        let mut node = self.node.borrow_mut();
        node.as_mut()
            .map(|node| action(node, now, &mut self.outbox.borrow_mut()))
    }

    /// Takes the addresses of the configured peers. Former peers to which the election is still bound keep theirs.
    pub(super) fn update_peer_addresses(&self) {
        let node = self.node.borrow();
        let bound = node
            .as_ref()
            .and_then(ClusterNode::election)
            .map_or_else(Vec::new, LeaderElection::names);
        self.peer_addresses
            .borrow_mut()
            .update(&self.settings.borrow().peers, &bound);
    }

    /// The name of a gateway, this one included. A gateway that another peer announced and that is not in this peer set
    /// is shown by its peer ID.
    pub(super) fn name_of(&self, id: PeerId) -> String {
        if let Some(name) = self.peer_addresses.borrow().name(id) {
            return name.to_string();
        }
        let settings = self.settings.borrow();
        if id == peer_id_of(&settings.name) {
            return settings.name.clone();
        }
        format!("{id:08x}")
    }
}
