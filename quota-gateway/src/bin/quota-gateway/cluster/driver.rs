//! Puts this front door's part in the fleet on a socket: datagrams in and out, its timer, and what staff and the log are
//! told.
//!
//! The crate `fleet` decides; here is only the I/O. Answers go to the address that this front door's own configuration gives
//! for a name, never to where a datagram came from.

use crate::backends::sessions::{Attempt, Hold, Sessions};
use crate::clients::phase::{Phase, PhaseControl};
use crate::cluster::settings::{ClusterSettings, ShardSettings};
use crate::errors::{text, word};
use gateway_cluster::leadership::election::{ElectionEvent, LeaderElection};
use gateway_cluster::leadership::ActRejection;
use gateway_cluster::membership::{
    ChangeReason, DroppedDatagrams, MembershipChange, MembershipSettings, PartitionSide,
};
use gateway_cluster::node::{ClusterNode, ClusterNodeSettings};
use gateway_cluster::peers::{peer_id_of, PeerId};
use gateway_cluster::protocol::{Micros, PeerState, Transmit};
use gateway_cluster::sessions::classifier;
use gateway_cluster::sessions::verdicts::{self, EvidenceSummary};
use gateway_cluster::sessions::Pooling;
use gateway_cluster::shards;
use gateway_cluster::shards::node::ShardMapNode;
use gateway_cluster::shards::wire::FindingReport;
use gateway_cluster::shards::{Key, MapHash, Rule};
use gateway_cluster::token_bucket::TokenBucket;
use gateway_cluster::wire::{HEADER_BYTES, MAX_DATAGRAM_BYTES};
use quota_gateway::CustomerId;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};
use tracing::{info, warn};

/// How long to wait before the port is tried again: it is taken by another program, or by the process that this one
/// takes over from.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Datagrams that are read at once at most, and how many a second in the long run. What is more stays in the socket's
/// buffer, and is lost where that is full: no peer keeps this process from its clients.
const BURST: f64 = 400.0;
const PER_SECOND: f64 = 1000.0;
/// How long reading rests once too much has come.
const REST: Duration = Duration::from_millis(20);
/// A datagram that is longer is cut here, and dropped for its length.
const BUFFER: usize = MAX_DATAGRAM_BYTES + 1;

/// Of which part of the roster this front door can speak, for the parts of the program that go by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartitionStatus {
    /// Counts the changes, from 1 on; 0 while there is no view yet.
    pub version: u64,
    pub side: PartitionSide,
}

/// This front door's part in the fleet.
pub struct Cluster {
    roster: RefCell<ClusterSettings>,
    /// The others' names and addresses, also of those that the roster has no more while somebody is bound by the old one.
    others: RefCell<BTreeMap<PeerId, (String, SocketAddrV4)>>,
    part: RefCell<Option<ClusterNode>>,
    /// What is to be sent, empty between two events.
    packets: RefCell<Vec<Transmit>>,
    received: Cell<DatagramCounts>,
    standing: watch::Sender<PartitionStatus>,
    seed: u64,
    start: Instant,
    /// A roster was replaced, or the end is near: the task is to look.
    poke: tokio::sync::Notify,
    leaving: Cell<bool>,
}

#[derive(Debug, Clone, Copy, Default, Serialize)]
struct DatagramCounts {
    messages: u64,
    bytes: u64,
}

/// What keeps this front door from its part in the fleet, or from saying how it stands.
#[derive(Error, Debug)]
pub enum ClusterError {
    #[error(
        "no view yet: {listen} cannot be opened; end what holds that port, or set fleet.listen to a free one"
    )]
    NoView { listen: SocketAddrV4 },
    #[error("the view cannot be written down: {}; ask again, and compare the versions if that stays so", text(.0))]
    Unwritable(serde_json::Error),
    #[error(
        "cannot hear the other front doors on {listen}: {}; clients are served, and it is tried again; end what holds \
         that port, or correct fleet.listen and start the process again",
        word(.error)
    )]
    Port {
        listen: SocketAddrV4,
        error: io::Error,
    },
    #[error(
        "the socket of the fleet fails: {}; check the network of this machine if it says so again, for it is opened anew",
        text(.0)
    )]
    Socket(io::Error),
    /// What the view has against it, in its own words.
    #[error("the roster of the fleet is not taken over: {}; correct fleet.peers and send SIGHUP", text(.0))]
    RosterRefused(String),
    #[error(
        "front door {name} goes by a lease of {theirs_ms} ms, and this one by {own_ms}: they grant each other nothing; set \
         one fleet.lease_ms at every front door, and start them again"
    )]
    LeaseDiffers {
        name: String,
        theirs_ms: u32,
        own_ms: u64,
    },
    #[error(
        "front door {name} has another roster of the fleet; wait where it is being changed, else set the same names in \
         every file and send SIGHUP"
    )]
    RostersDiffer { name: String },
    #[error("an act of front door {name} on behalf of the fleet is refused: {why}")]
    ActRefused { name: String, why: ActRejection },
    #[error(
        "the shard map here was of another history: version {had} gives way to {taken}; look at the calls shards and owner \
         of every front door, and propose the map anew if it is not the one you want"
    )]
    OtherHistory { had: u64, taken: u64 },
    #[error(
        "'{written}' is no customer's ID, which has 16 hexadecimal digits; send it behind the call's name, as the cookie \
         has it"
    )]
    NoCustomer { written: String },
    #[error("a shard map is refused: {finding}; call shards for all that is wrong with it, and correct fleet.shards.map")]
    MapRefused { finding: String },
    /// As [`ClusterError::RosterRefused`].
    #[error("no part in the fleet: {}; correct name and fleet, and start the process again", text(.0))]
    NoPart(String),
}

/// The answer to the call `fleet`.
#[derive(Serialize)]
struct MembershipLine<'a> {
    name: &'a str,
    incarnation: u64,
    roster: usize,
    alive: Vec<&'a str>,
    suspect: Vec<&'a str>,
    dead: Vec<&'a str>,
    side: &'static str,
    settled_ms: u64,
    digest: String,
    sent: DatagramCounts,
    received: DatagramCounts,
    dropped: DroppedLine,
}

/// The answer to the call `owner`.
#[derive(Serialize)]
struct OwnerLine<'a> {
    name: &'a str,
    owner: Option<String>,
    epoch: u64,
    mine: bool,
    left_ms: u64,
    quiet_ms: u64,
    refused: u64,
}

/// The answer to the call `shards`.
#[derive(Serialize)]
struct ShardsLine {
    version: u64,
    epoch: u64,
    hash: MapHash,
    parent: MapHash,
    ranges: usize,
    kept: BTreeMap<String, usize>,
    mine: Vec<(Key, Key)>,
    next: Option<NextLine>,
    proposal: ProposalLine,
}

/// The answer to the call `session`.
#[derive(Serialize)]
struct SessionLine {
    customer: String,
    #[serde(rename = "keeper")]
    owner: Option<String>,
    pooling: Pooling,
    epoch: u64,
    version: u64,
    age_ms: u64,
    reports: Vec<String>,
    evidence: EvidenceSummary,
}

#[derive(Serialize)]
struct NextLine {
    version: u64,
    waits_for: Vec<String>,
    /// None while a map is being decided, which takes a majority that can be reached.
    at_most_ms: Option<u64>,
}

#[derive(Serialize)]
struct ProposalLine {
    state: &'static str,
    version: u64,
    findings: Vec<FindingLine>,
}

#[derive(Serialize)]
struct FindingLine {
    rule: Rule,
    #[serde(skip_serializing_if = "Option::is_none")]
    from: Option<Key>,
    #[serde(skip_serializing_if = "Option::is_none")]
    to: Option<Key>,
    text: String,
}

impl From<FindingReport> for FindingLine {
    fn from(
        FindingReport {
            rule,
            from,
            to,
            text,
        }: FindingReport,
    ) -> FindingLine {
        FindingLine {
            rule,
            from,
            to,
            text,
        }
    }
}

#[derive(Serialize)]
struct DroppedLine {
    malformed: u64,
    unknown: u64,
    stale: u64,
}

/// A customer's number, as the cookie has it.
fn customer_of(id: &str) -> Result<CustomerId, ClusterError> {
    let digits = id.len() == 16 && id.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = CustomerId::from_str_radix(id, 16).ok().filter(|_| digits);
    number.ok_or_else(|| ClusterError::NoCustomer { written: word(id) })
}

impl Sessions for Cluster {
    fn hold(&self, customer: CustomerId) -> Hold {
        if !self
            .roster
            .borrow()
            .sessions
            .is_some_and(|sessions| sessions.pool)
        {
            return Hold::Any;
        }
        match self.with(|part, now, _| part.hold(now, customer)) {
            Some(verdicts::ConnectionPolicy::Run) => Hold::Run,
            Some(verdicts::ConnectionPolicy::Private) => Hold::Private,
            Some(verdicts::ConnectionPolicy::Any) | None => Hold::Any,
        }
    }

    fn note(
        &self,
        Attempt {
            customer,
            server,
            conn,
            outcome,
        }: Attempt,
    ) {
        self.with(|part, now, _| part.note(now, customer, server, conn, outcome));
    }
}

/// Tells the log what has become of the shard map.
fn log_shard_map_event(note: &shards::node::ShardMapEvent) {
    match note {
        shards::node::ShardMapEvent::InForce(version, hash) => {
            info!(event = "shards", version, %hash, "the shard map of version {version} is in force: {hash}");
        }
        shards::node::ShardMapEvent::Moved(version) => {
            info!(
                event = "shards_moved",
                version, "all keys of version {version} are with their keepers"
            );
        }
        shards::node::ShardMapEvent::OtherHistory(had, taken) => {
            let problem = ClusterError::OtherHistory {
                had: *had,
                taken: *taken,
            };
            warn!(event = "shards_history", "{problem}");
        }
        shards::node::ShardMapEvent::Refused(finding) => {
            let problem = ClusterError::MapRefused {
                finding: text(finding),
            };
            warn!(event = "shards_refused", "{problem}");
        }
    }
}

fn side_word(side: PartitionSide) -> &'static str {
    match side {
        PartitionSide::Whole => "whole",
        PartitionSide::Majority => "majority",
        PartitionSide::Minority => "minority",
        PartitionSide::Alone => "alone",
    }
}

fn state_word(state: PeerState) -> &'static str {
    match state {
        PeerState::Alive => "alive",
        PeerState::Suspect => "suspect",
        PeerState::Dead => "dead",
    }
}

impl Cluster {
    /// Takes part, as long as this process runs and no other has taken over.
    pub fn start(
        roster: ClusterSettings,
        seed: u64,
        phase_control: &Rc<PhaseControl>,
    ) -> Rc<Cluster> {
        let fleet = Rc::new(Cluster {
            roster: RefCell::new(roster),
            others: RefCell::default(),
            part: RefCell::default(),
            packets: RefCell::default(),
            received: Cell::default(),
            standing: watch::Sender::new(PartitionStatus {
                version: 0,
                side: PartitionSide::Alone,
            }),
            seed,
            start: Instant::now(),
            poke: tokio::sync::Notify::new(),
            leaving: Cell::new(false),
        });
        spawn_local(fleet.clone().run(phase_control.watch()));
        fleet
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Follows the side that this front door is on.
    #[allow(
        dead_code,
        reason = "the narrow way for what goes by the side: limits without a registry, replicas"
    )]
    pub fn standing(&self) -> watch::Receiver<PartitionStatus> {
        self.standing.subscribe()
    }

    /// Takes another roster over; a name or a port of this front door's own is not changed by it.
    pub fn replace(&self, roster: ClusterSettings) {
        if let Some((expect, map)) = roster
            .shards
            .as_ref()
            .and_then(|shards| shards.proposal.clone())
        {
            self.with(|part, now, _| {
                if let Some(shard_map) = part.shard_map_mut() {
                    shard_map.propose(now, expect, map);
                }
            });
            self.poke.notify_one();
        }
        let before = self.roster.borrow().peers.clone();
        if roster.peers == before {
            return;
        }
        let added: Vec<&str> = roster
            .peers
            .keys()
            .filter(|name| !before.contains_key(*name))
            .map(String::as_str)
            .collect();
        let removed: Vec<&str> = before
            .keys()
            .filter(|name| !roster.peers.contains_key(*name))
            .map(String::as_str)
            .collect();
        info!(
            event = "roster",
            names = roster.peers.len() + 1,
            added = added.len(),
            removed = removed.len(),
            "the roster of the fleet is taken over: {} names, {} added, {} removed",
            roster.peers.len() + 1,
            added.len(),
            removed.len()
        );
        self.roster.borrow_mut().peers = roster.peers;
        self.resolve_peers();
        let names = self.roster.borrow().names();
        let taken = self.with(|part, now, packets| part.set_peers(now, names, packets));
        // It was checked as it was read; what the view has against it leaves the old one.
        if let Some(Err(problem)) = taken {
            let problem = ClusterError::RosterRefused(problem.to_string());
            warn!(event = "roster_refused", %problem, "{problem}");
        }
        self.poke.notify_one();
    }

    /// Tells the others that this front door goes.
    pub fn leave(&self) {
        self.leaving.set(true);
        self.poke.notify_one();
    }

    /// Keeps the addresses of all names that somebody here is bound by.
    fn resolve_peers(&self) {
        let part = self.part.borrow();
        let bound = part
            .as_ref()
            .and_then(ClusterNode::election)
            .map_or_else(Vec::new, LeaderElection::names);
        let others = &mut *self.others.borrow_mut();
        others.retain(|id, _| bound.contains(id));
        for (name, address) in &self.roster.borrow().peers {
            others.insert(peer_id_of(name), (name.clone(), *address));
        }
    }

    fn name_of(&self, id: PeerId) -> String {
        let known = self.others.borrow().get(&id).map(|(name, _)| name.clone());
        let roster = self.roster.borrow();
        // Only what another door tells of one that this roster does not have yet.
        known
            .or_else(|| (id == peer_id_of(&roster.name)).then(|| roster.name.clone()))
            .unwrap_or_else(|| format!("{id:08x}"))
    }

    /// There is nothing to tell yet, as the port is not open.
    fn no_view(&self) -> ClusterError {
        ClusterError::NoView {
            listen: self.roster.borrow().listen,
        }
    }

    /// The answer to staff who ask who owns; `None` where nobody is to.
    ///
    /// # Errors
    /// As for [`Cluster::line`].
    pub fn leader_line(&self) -> Result<Option<String>, ClusterError> {
        if self.roster.borrow().lease.is_none() {
            return Ok(None);
        }
        let part = self.part.borrow();
        let election = part.as_ref().and_then(ClusterNode::election);
        let election = election.ok_or_else(|| self.no_view())?;
        let told = election.status(self.now());
        let line = OwnerLine {
            name: &self.roster.borrow().name,
            owner: told.leader.map(|owner| self.name_of(owner)),
            epoch: told.epoch,
            mine: told.mine,
            left_ms: told.left / 1000,
            quiet_ms: told.quiet.div_ceil(1000),
            refused: told.refused,
        };
        serde_json::to_string(&line)
            .map(Some)
            .map_err(ClusterError::Unwritable)
    }

    /// The answer to staff who ask for the shard map; `None` where there is to be none.
    ///
    /// # Errors
    /// As for [`Cluster::line`].
    pub fn shards_line(&self) -> Result<Option<String>, ClusterError> {
        if self.roster.borrow().shards.is_none() {
            return Ok(None);
        }
        let part = self.part.borrow();
        let shard_map = part.as_ref().and_then(ClusterNode::shard_map);
        let shard_map = shard_map.ok_or_else(|| self.no_view())?;
        let told = shard_map.status(self.now());
        let next = told.next.map(|next| NextLine {
            version: next.version,
            waits_for: next.waits_for,
            at_most_ms: next.at_most.map(|at_most| at_most.div_ceil(1000)),
        });
        let line = ShardsLine {
            version: told.version,
            epoch: told.epoch,
            hash: told.hash,
            parent: told.parent,
            ranges: told.ranges,
            kept: told.kept,
            mine: told.mine,
            next,
            proposal: ProposalLine {
                state: told.proposal.state.name(),
                version: told.proposal.version,
                findings: told
                    .proposal
                    .findings
                    .into_iter()
                    .map(FindingLine::from)
                    .collect(),
            },
        };
        serde_json::to_string(&line)
            .map(Some)
            .map_err(ClusterError::Unwritable)
    }

    /// Whether sessions are classified.
    pub fn has_sessions(&self) -> bool {
        self.roster.borrow().sessions.is_some()
    }

    /// The answer to staff who ask for a customer's sessions; `None` where they are not classified.
    ///
    /// # Errors
    /// As for [`Cluster::line`], and where that is no customer's ID.
    pub fn session_line(&self, id: &str) -> Result<Option<String>, ClusterError> {
        if !self.has_sessions() {
            return Ok(None);
        }
        let customer = customer_of(id)?;
        let part = self.part.borrow();
        let told = part
            .as_ref()
            .and_then(|part| part.session(self.now(), customer));
        let told = told.ok_or_else(|| self.no_view())?;
        let line = SessionLine {
            customer: format!("{customer:016x}"),
            owner: told.owner,
            pooling: told.pooling,
            epoch: told.fence.epoch,
            version: told.fence.version,
            age_ms: told.age / 1000,
            reports: told.reports,
            evidence: told.evidence,
        };
        serde_json::to_string(&line)
            .map(Some)
            .map_err(ClusterError::Unwritable)
    }

    /// The answer to staff who ask for the view.
    ///
    /// # Errors
    /// There is none yet, as the port is not open.
    pub fn line(&self) -> Result<String, ClusterError> {
        let part = self.part.borrow();
        let part = part.as_ref().ok_or_else(|| self.no_view())?;
        let view = part.view();
        let (messages, bytes) = part.sent();
        let states = view.states();
        let of = |wanted: PeerState| {
            let names = view.names().iter().zip(&states);
            names
                .filter(|(_, state)| **state == wanted)
                .map(|(name, _)| name.as_str())
                .collect()
        };
        let DroppedDatagrams {
            malformed,
            unknown,
            stale,
        } = part.dropped();
        let line = MembershipLine {
            name: &self.roster.borrow().name,
            incarnation: view.incarnation(),
            roster: states.len(),
            alive: of(PeerState::Alive),
            suspect: of(PeerState::Suspect),
            dead: of(PeerState::Dead),
            side: side_word(view.side()),
            settled_ms: view.settled(self.now()) / 1000,
            digest: format!("{:016x}", view.digest()),
            sent: DatagramCounts { messages, bytes },
            received: self.received.get(),
            dropped: DroppedLine {
                malformed,
                unknown,
                stale,
            },
        };
        serde_json::to_string(&line).map_err(ClusterError::Unwritable)
    }

    async fn run(self: Rc<Self>, mut phase: watch::Receiver<Phase>) {
        let mut told = false;
        loop {
            if *phase.borrow_and_update() == Phase::HandedOver {
                // The name is the other process's; if that ends, this one goes on with what it held.
                if phase.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let listen = self.roster.borrow().listen;
            match UdpSocket::bind(listen).await {
                Ok(socket) => {
                    if told {
                        info!(event = "fleet_open", %listen, "the port of the fleet, {listen}, is open now");
                        told = false;
                    }
                    if self.take_part(&socket, &mut phase).await {
                        return;
                    }
                }
                Err(error) => {
                    if !std::mem::replace(&mut told, true) {
                        let cause = error.to_string();
                        let problem = ClusterError::Port { listen, error };
                        warn!(event = "fleet_port", %listen, error = cause, "{problem}");
                    }
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Takes part on this socket until another process takes over, or, which is told by true, until the end.
    async fn take_part(&self, socket: &UdpSocket, phase: &mut watch::Receiver<Phase>) -> bool {
        if self.part.borrow().is_none() && !self.start_node() {
            return true;
        }
        self.with(|part, now, _| part.resume(now));
        self.send(socket);
        let mut buffer = [0; BUFFER];
        let mut reading = TokenBucket::full(self.now(), BURST, PER_SECOND);
        loop {
            let Some(due) = self.part.borrow().as_ref().map(ClusterNode::next_wakeup) else {
                return true;
            };
            let due = self.start + Duration::from_micros(due);
            tokio::select! {
                biased;
                _ = phase.changed() => {
                    if *phase.borrow_and_update() == Phase::HandedOver {
                        self.with(|part, now, packets| part.hand_over(now, packets));
                        self.send(socket);
                        return false;
                    }
                }
                () = self.poke.notified() => {
                    if self.leaving.get() {
                        self.with(|part, now, packets| part.leave(now, packets));
                        self.send(socket);
                        return true;
                    }
                }
                () = sleep_until(due) => {
                    self.with(|part, now, packets| part.on_timer(now, packets));
                }
                received = socket.recv_from(&mut buffer) => match received {
                    Ok((length, _)) => {
                        reading.fill(self.now());
                        reading.take(1.0);
                        let counted = self.received.get();
                        self.received.set(DatagramCounts {
                            messages: counted.messages + 1,
                            bytes: counted.bytes + (length + HEADER_BYTES) as u64,
                        });
                        self.with(|part, now, packets| part.on_datagram(now, &buffer[..length], packets));
                        if !reading.has(1.0, 0.0) {
                            sleep(REST).await;
                        }
                    }
                    // An answer of the system to something that was sent: its receiver is not there.
                    Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                    Err(error) => {
                        let cause = error.to_string();
                        let problem = ClusterError::Socket(error);
                        warn!(event = "fleet_socket", error = cause, "{problem}");
                        sleep(RETRY_PAUSE).await;
                        return false;
                    }
                },
            }
            self.send(socket);
            self.tell();
        }
    }

    fn start_node(&self) -> bool {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let unix_ms = unix.as_millis() as u64;
        let settings =
            {
                let roster = self.roster.borrow();
                let probe = roster.probe.as_micros() as Micros;
                let view = MembershipSettings {
                    peers: roster.names(),
                    name: roster.name.clone(),
                    unix_ms,
                    probe,
                };
                let shards = roster.shards.clone();
                let shards = shards.map(|ShardSettings { count, proposal }| {
                    shards::node::ShardMapSettings { count, proposal }
                });
                let sessions = roster
                    .sessions
                    .map(|_| classifier::ClassifierSettings::default());
                let lease = roster.lease.map(|lease| lease.as_micros() as Micros);
                ClusterNodeSettings {
                    view,
                    lease,
                    shards,
                    sessions,
                }
            };
        let part = ClusterNode::new(
            self.now(),
            settings,
            self.seed ^ unix_ms,
            &mut self.packets.borrow_mut(),
        );
        match part {
            Ok(part) => {
                *self.part.borrow_mut() = Some(part);
                self.resolve_peers();
                true
            }
            Err(problem) => {
                let problem = ClusterError::NoPart(problem.to_string());
                warn!(event = "no_fleet", %problem, "{problem}");
                false
            }
        }
    }

    fn with<T>(
        &self,
        act: impl FnOnce(&mut ClusterNode, Micros, &mut Vec<Transmit>) -> T,
    ) -> Option<T> {
        let now = self.now();
        let mut part = self.part.borrow_mut();
        part.as_mut()
            .map(|part| act(part, now, &mut self.packets.borrow_mut()))
    }

    fn send(&self, socket: &UdpSocket) {
        let others = self.others.borrow();
        for Transmit { to, bytes } in self.packets.borrow_mut().drain(..) {
            if let Some((_, address)) = others.get(&to) {
                // What cannot be sent now is lost, as it may be on its way.
                let _ = socket.try_send_to(&bytes, (*address).into());
            }
        }
    }

    /// Tells the log what has become of the office.
    fn log_election_event(&self, note: ElectionEvent) {
        match note {
            ElectionEvent::Won(epoch) => info!(
                event = "owner",
                epoch, "this front door owns, in term {epoch}"
            ),
            ElectionEvent::Lost(epoch) => {
                info!(
                    event = "owner_lost",
                    epoch, "this front door owns no more: term {epoch} is over"
                )
            }
            ElectionEvent::Released(epoch) => {
                info!(
                    event = "owner_released",
                    epoch, "this front door gave term {epoch} back"
                )
            }
            ElectionEvent::Leader(owner, epoch) => {
                let name = self.name_of(owner);
                info!(
                    event = "owner",
                    name, epoch, "front door {name} owns, in term {epoch}"
                );
            }
            ElectionEvent::ActRejected(from, why) => {
                let problem = ClusterError::ActRefused {
                    name: self.name_of(from),
                    why,
                };
                warn!(event = "act_refused", "{problem}");
            }
            ElectionEvent::LeaseDiffers(of, theirs_ms) => {
                let own_ms = self
                    .roster
                    .borrow()
                    .lease
                    .map_or(0, |lease| lease.as_millis() as u64);
                let problem = ClusterError::LeaseDiffers {
                    name: self.name_of(of),
                    theirs_ms,
                    own_ms,
                };
                warn!(event = "lease_differs", "{problem}");
            }
            ElectionEvent::PeerSetsDiffer(of) => {
                let problem = ClusterError::RostersDiffer {
                    name: self.name_of(of),
                };
                warn!(event = "rosters_differ", "{problem}");
            }
        }
    }

    /// Tells the log what has changed, and the program the side that this front door is on.
    fn tell(&self) {
        let mut part = self.part.borrow_mut();
        let Some(part) = part.as_mut() else { return };
        while let Some(note) = part.election_mut().and_then(LeaderElection::next_event) {
            self.log_election_event(note);
        }
        while let Some(note) = part.shard_map_mut().and_then(ShardMapNode::next_event) {
            log_shard_map_event(&note);
        }
        let view = part.membership_mut();
        while let Some(MembershipChange {
            name,
            from,
            to,
            why,
        }) = view.next_change()
        {
            let (from, to) = (state_word(from), state_word(to));
            let why = match why {
                ChangeReason::NoAnswer => "no answer".into(),
                ChangeReason::ToldBy(who) => format!("told by {who}"),
                ChangeReason::NotRefuted => "the doubt was not refuted".into(),
                ChangeReason::Returned => "returned".into(),
                ChangeReason::Left => "it said that it goes".into(),
            };
            info!(
                event = "fleet",
                name, from, to, why, "front door {name}: {from}, now {to}: {why}"
            );
        }
        if view.take_superseded() {
            warn!(
                event = "fleet_superseded",
                "another process has this front door's name in the fleet, and was started later: this one is silent there"
            );
        }
        let side = view.side();
        self.standing.send_if_modified(|standing| {
            let changed = standing.version == 0 || standing.side != side;
            if changed {
                *standing = PartitionStatus {
                    version: standing.version + 1,
                    side,
                };
            }
            changed
        });
    }
}

#[cfg(test)]
mod tests;
