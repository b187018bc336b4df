//! The driver task of the cluster node: it owns the UDP socket and the timer, hands received datagrams and time-outs to
//! the state machines of `gateway-cluster`, sends what they emit, and logs what changed.
//!
//! The port is opened again after a failure. While a successor process has taken over, the port is closed and the node
//! keeps its state; if the successor ends, this process resumes with it.

use crate::clients::phase::Phase;
use crate::cluster::answers::DatagramCounts;
use crate::cluster::error::ClusterError;
use crate::cluster::handle::{Cluster, PartitionStatus};
use crate::cluster::log_events;
use crate::cluster::settings::ShardSettings;
use gateway_cluster::leadership::election::{ElectionEvent, LeaderElection};
use gateway_cluster::membership::{MembershipSettings, PartitionSide};
use gateway_cluster::node::{ClusterNode, ClusterNodeSettings};
use gateway_cluster::protocol::{Micros, Transmit};
use gateway_cluster::sessions::classifier::ClassifierSettings;
use gateway_cluster::shards::node::{ShardMapNode, ShardMapSettings};
use gateway_cluster::token_bucket::TokenBucket;
use gateway_cluster::wire::{HEADER_BYTES, MAX_DATAGRAM_BYTES};
use std::io;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until};

/// Time between two attempts to open the port, which another program may hold or the process that this one replaces.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Datagrams that may be received at once (token bucket). Further ones stay in the socket's buffer and are lost where
/// that is full, so that no peer can keep this process from its clients.
const RECEIVE_BURST: f64 = 400.0;
/// Datagrams that may be received in a second in the long run.
const RECEIVE_RATE_PER_S: f64 = 1000.0;
/// How long receiving pauses once the token bucket is empty.
const RECEIVE_PAUSE: Duration = Duration::from_millis(20);
/// One byte more than the longest valid datagram: a longer one is truncated to it and dropped for its length.
const RECEIVE_BUFFER_BYTES: usize = MAX_DATAGRAM_BYTES + 1;

/// Why the driver stopped serving a socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SocketExit {
    /// The gateway shuts down, or its node could not be created: the driver ends.
    Finished,
    /// The socket failed, or a successor process has taken over: the driver opens the port again when it may.
    Reopen,
}

impl Cluster {
    /// Opens the port, again after each failure, and serves it until the shutdown.
    pub(super) async fn run(self: Rc<Self>, mut phase: watch::Receiver<Phase>) {
        let mut failure_logged = false;
        loop {
            if *phase.borrow_and_update() == Phase::HandedOver {
                // The successor is the member under this name. If it ends, this process resumes with the node's state.
                if phase.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let listen = self.settings.borrow().listen;
            match UdpSocket::bind(listen).await {
                Ok(socket) => {
                    if failure_logged {
                        log_events::log_port_opened(listen);
                        failure_logged = false;
                    }
                    match self.serve_socket(&socket, &mut phase).await {
                        SocketExit::Finished => return,
                        SocketExit::Reopen => {}
                    }
                }
                Err(error) => {
                    if !std::mem::replace(&mut failure_logged, true) {
                        let cause = error.to_string();
                        let error = ClusterError::Bind { listen, error };
                        log_events::log_port_failed(listen, &cause, &error);
                    }
                    sleep(BIND_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Drives the node on this socket until the shutdown, a failure of the socket or a takeover.
    async fn serve_socket(
        &self,
        socket: &UdpSocket,
        phase: &mut watch::Receiver<Phase>,
    ) -> SocketExit {
        if self.node.borrow().is_none() {
            if let Err(error) = self.start_node() {
                log_events::log_node_not_started(&error);
                return SocketExit::Finished;
            }
        }
        self.with_node(|node, now, _| node.resume(now));
        self.send_outbox(socket);
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        let mut receive_budget = TokenBucket::full(self.now(), RECEIVE_BURST, RECEIVE_RATE_PER_S);
        loop {
            let Some(wakeup) = self.node.borrow().as_ref().map(ClusterNode::next_wakeup) else {
                return SocketExit::Finished;
            };
            let wakeup = self.started_at + Duration::from_micros(wakeup);
            tokio::select! {
                biased;
                _ = phase.changed() => {
                    if *phase.borrow_and_update() == Phase::HandedOver {
                        self.with_node(ClusterNode::hand_over);
                        self.send_outbox(socket);
                        return SocketExit::Reopen;
                    }
                }
                () = self.wakeup.notified() => {
                    if self.is_leaving.get() {
                        self.with_node(ClusterNode::leave);
                        self.send_outbox(socket);
                        return SocketExit::Finished;
                    }
                }
                () = sleep_until(wakeup) => {
                    self.with_node(ClusterNode::on_timer);
                }
                received = socket.recv_from(&mut buffer) => match received {
                    Ok((length, _)) => {
                        self.on_datagram(&buffer[..length], &mut receive_budget).await;
                    }
                    // ICMP "port unreachable" for a datagram sent earlier: that peer is not running.
                    Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                    Err(error) => {
                        let cause = error.to_string();
                        log_events::log_socket_failed(&cause, &ClusterError::Socket(error));
                        sleep(BIND_RETRY_DELAY).await;
                        return SocketExit::Reopen;
                    }
                },
            }
            self.send_outbox(socket);
            self.publish_changes();
        }
    }

    /// Counts a datagram and hands it to the node. It pauses if the receive budget is used up.
    async fn on_datagram(&self, datagram: &[u8], receive_budget: &mut TokenBucket) {
        receive_budget.fill(self.now());
        receive_budget.take(1.0);
        let counts = self.received.get();
        self.received.set(DatagramCounts {
            messages: counts.messages + 1,
            bytes: counts.bytes + (datagram.len() + HEADER_BYTES) as u64,
        });
        self.with_node(|node, now, outbox| node.on_datagram(now, datagram, outbox));
        if !receive_budget.has(1.0, 0.0) {
            sleep(RECEIVE_PAUSE).await;
        }
    }

    /// Creates the node of this incarnation.
    ///
    /// # Errors
    /// [`ClusterError::NodeNotStarted`] if the node rejects its settings.
    fn start_node(&self) -> Result<(), ClusterError> {
        let since_unix_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let unix_ms = since_unix_epoch.as_millis() as u64;
        let node = ClusterNode::new(
            self.now(),
            self.node_settings(unix_ms),
            self.seed ^ unix_ms,
            &mut self.outbox.borrow_mut(),
        )
        .map_err(|problem| ClusterError::NodeNotStarted(problem.to_string()))?;
        *self.node.borrow_mut() = Some(node);
        self.update_peer_addresses();
        Ok(())
    }

    /// The node's settings. The wall-clock time in milliseconds orders incarnations of one name.
    fn node_settings(&self, unix_ms: u64) -> ClusterNodeSettings {
        let settings = self.settings.borrow();
        let view = MembershipSettings {
            peers: settings.names(),
            name: settings.name.clone(),
            unix_ms,
            probe: settings.probe_period.as_micros() as Micros,
        };
        let shards = settings
            .shards
            .clone()
            .map(|ShardSettings { count, proposal }| ShardMapSettings { count, proposal });
        ClusterNodeSettings {
            view,
            lease: settings.lease.map(|lease| lease.as_micros() as Micros),
            shards,
            sessions: settings.sessions.map(|_| ClassifierSettings::default()),
        }
    }

    /// Sends what the node emitted. A datagram that the socket cannot take now is lost, as it may be on the network.
    fn send_outbox(&self, socket: &UdpSocket) {
        let peer_addresses = self.peer_addresses.borrow();
        for Transmit { to, bytes } in self.outbox.borrow_mut().drain(..) {
            if let Some(address) = peer_addresses.address(to) {
                let _ = socket.try_send_to(&bytes, address.into());
            }
        }
    }

    /// Logs the events of the state machines and publishes the partition side.
    fn publish_changes(&self) {
        let mut node = self.node.borrow_mut();
        let Some(node) = node.as_mut() else { return };
        while let Some(event) = node.election_mut().and_then(LeaderElection::next_event) {
            self.log_election_event(event);
        }
        while let Some(event) = node.shard_map_mut().and_then(ShardMapNode::next_event) {
            log_events::log_shard_map_event(&event);
        }
        let membership = node.membership_mut();
        while let Some(change) = membership.next_change() {
            log_events::log_member_state_changed(change);
        }
        if membership.take_superseded() {
            log_events::log_incarnation_superseded();
        }
        self.publish_partition_side(membership.side());
    }

    fn publish_partition_side(&self, side: PartitionSide) {
        self.partition_status.send_if_modified(|status| {
            let changed = status.version == 0 || status.side != side;
            if changed {
                *status = PartitionStatus {
                    version: status.version + 1,
                    side,
                };
            }
            changed
        });
    }

    fn log_election_event(&self, event: ElectionEvent) {
        match event {
            ElectionEvent::Won(epoch) => {
                log_events::log_leader_elected(&self.settings.borrow().name, epoch);
            }
            ElectionEvent::Lost(epoch) => log_events::log_leadership_lost(epoch),
            ElectionEvent::Released(epoch) => log_events::log_leadership_released(epoch),
            ElectionEvent::Leader(leader, epoch) => {
                log_events::log_leader_elected(&self.name_of(leader), epoch);
            }
            ElectionEvent::ActRejected(from, why) => {
                let name = self.name_of(from);
                let error = ClusterError::LeaderRequestRejected { name, why };
                log_events::log_leader_request_rejected(&error);
            }
            ElectionEvent::LeaseDiffers(peer, theirs_ms) => {
                let error = ClusterError::LeaseMismatch {
                    name: self.name_of(peer),
                    theirs_ms,
                    own_ms: self.own_lease_ms(),
                };
                log_events::log_lease_mismatch(&error);
            }
            ElectionEvent::PeerSetsDiffer(peer) => {
                let name = self.name_of(peer);
                log_events::log_peer_set_mismatch(&ClusterError::PeerSetMismatch { name });
            }
        }
    }

    fn own_lease_ms(&self) -> u64 {
        let lease = self.settings.borrow().lease;
        lease.map_or(0, |lease| lease.as_millis() as u64)
    }
}
