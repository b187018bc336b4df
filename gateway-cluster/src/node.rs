//! One gateway's part in the cluster: the view and what rests on it, for one socket. The first byte of a datagram says whose
//! it is; what is understood by nobody is counted by the view and dropped.

use crate::leadership::election::{self, LeaderElection};
use crate::leadership::wire::VERSION as LEADERSHIP;
use crate::membership::{self, DroppedDatagrams, Membership};
use crate::peers::{peer_id_of, PeerId, PeerSetError};
use crate::protocol::{IndexedTransmit, Micros, PeerState, Transmit};
use crate::sessions::classifier::{self, ClusterContext, SessionClassifier};
use crate::sessions::evidence::{ConnectionUse, Outcome};
use crate::sessions::verdicts::ConnectionPolicy;
use crate::sessions::wire::VERSION as SESSIONS;
use crate::sessions::{Backend, Customer};
use crate::shards;
use crate::shards::node::ShardMapNode;
use crate::shards::wire::VERSION as SHARDS;
use crate::shards::{Key, PeerCondition};
use crate::wire::HEADER_BYTES;

/// What a part begins with.
#[derive(Debug, Clone)]
pub struct ClusterNodeSettings {
    /// For the view.
    pub view: membership::MembershipSettings,
    /// The lease of leadership, if there is to be one.
    pub lease: Option<Micros>,
    /// For the shard map, if there is to be one; that needs a lease.
    pub shards: Option<shards::node::ShardMapSettings>,
    /// For the sessions, if they are to be classified; that needs a shard map.
    pub sessions: Option<classifier::ClassifierSettings>,
}

/// One incarnation's part.
#[derive(Debug)]
pub struct ClusterNode {
    view: Membership,
    election: Option<LeaderElection>,
    shard_map: Option<ShardMapNode>,
    sessions: Option<SessionClassifier>,
    ids: Vec<PeerId>,
    /// When the view had changed last as leadership was told of it.
    advised: Option<Micros>,
    /// It goes, or another process has its name.
    out: bool,
    membership_transmits: Vec<IndexedTransmit>,
    election_transmits: Vec<Transmit>,
}

impl ClusterNode {
    /// A new incarnation that knows the peer set and nothing else.
    ///
    /// # Errors
    /// As [`Membership::new`].
    pub fn new(
        now: Micros,
        settings: ClusterNodeSettings,
        seed: u64,
        packets: &mut Vec<Transmit>,
    ) -> Result<ClusterNode, PeerSetError> {
        let ClusterNodeSettings {
            view,
            lease,
            shards,
            sessions,
        } = settings;
        let (name, unix_ms) = (peer_id_of(&view.name), view.unix_ms);
        let shard_map = lease.zip(shards).map(|(lease, settings)| {
            ShardMapNode::new(now, &view.name, lease, settings, seed.rotate_left(16))
        });
        let sessions = sessions.filter(|_| shard_map.is_some()).map(|settings| {
            SessionClassifier::new(now, &view.name, unix_ms, settings, seed.rotate_left(48))
        });
        let mut membership_transmits = Vec::new();
        let view = Membership::new(now, view, seed, &mut membership_transmits)?;
        let ids = ids_of(&view);
        let election = lease.map(|lease| {
            let settings = election::ElectionSettings {
                names: ids.clone(),
                name,
                lease,
                unix_ms,
            };
            LeaderElection::new(now, settings, seed.rotate_left(32))
        });
        let (advised, out, election_transmits) = (None, false, Vec::new());
        let mut stack = ClusterNode {
            view,
            election,
            shard_map,
            sessions,
            ids,
            advised,
            out,
            membership_transmits,
            election_transmits,
        };
        stack.settle(now, packets);
        Ok(stack)
    }

    /// The view.
    pub fn view(&self) -> &Membership {
        &self.view
    }

    /// The view, for what is taken from it.
    pub fn membership_mut(&mut self) -> &mut Membership {
        &mut self.view
    }

    /// Messages and bytes sent, with the headers of IP and UDP.
    pub fn sent(&self) -> (u64, u64) {
        let (messages, bytes) = self.view.sent;
        let election = self
            .election
            .as_ref()
            .map_or((0, 0), |election| election.sent);
        let shard_map = self
            .shard_map
            .as_ref()
            .map_or((0, 0), |shard_map| shard_map.sent);
        let sessions = self
            .sessions
            .as_ref()
            .map_or((0, 0), |sessions| sessions.sent);
        let others = (
            election.0 + shard_map.0 + sessions.0,
            election.1 + shard_map.1 + sessions.1,
        );
        (
            messages + others.0,
            bytes + others.1 + others.0 * HEADER_BYTES as u64,
        )
    }

    /// What was received and dropped, by any layer.
    pub fn dropped(&self) -> DroppedDatagrams {
        let election = self
            .election
            .as_ref()
            .map_or((0, 0), |election| election.dropped);
        let shard_map = self
            .shard_map
            .as_ref()
            .map_or((0, 0), |shard_map| shard_map.dropped);
        let sessions = self
            .sessions
            .as_ref()
            .map_or((0, 0), |sessions| sessions.dropped);
        let DroppedDatagrams {
            malformed,
            unknown,
            stale,
        } = self.view.dropped;
        DroppedDatagrams {
            malformed: malformed + election.0 + shard_map.0 + sessions.0,
            unknown: unknown + election.1 + shard_map.1 + sessions.1,
            stale,
        }
    }

    /// The part in the shard map, if there is one.
    pub fn shard_map(&self) -> Option<&ShardMapNode> {
        self.shard_map.as_ref()
    }

    /// The part in the shard map, for what is taken from it.
    pub fn shard_map_mut(&mut self) -> Option<&mut ShardMapNode> {
        self.shard_map.as_mut()
    }

    /// The part in the sessions, if there is one.
    pub fn sessions(&self) -> Option<&SessionClassifier> {
        self.sessions.as_ref()
    }

    /// A request of a customer has ended, for the sessions.
    pub fn note(
        &mut self,
        now: Micros,
        customer: Customer,
        backend: Backend,
        conn: ConnectionUse,
        outcome: Outcome,
    ) {
        if let Some(sessions) = &mut self.sessions {
            sessions.note(now, customer, backend, conn, outcome);
        }
    }

    /// How a request of a customer is to get its connection.
    pub fn hold(&mut self, now: Micros, customer: Customer) -> ConnectionPolicy {
        match (&mut self.sessions, &self.shard_map) {
            (Some(sessions), Some(shard_map)) => sessions.hold(now, customer, shard_map),
            _ => ConnectionPolicy::Any,
        }
    }

    /// What operators are told of a customer's sessions.
    pub fn session(&self, now: Micros, customer: Customer) -> Option<classifier::ClassifierStatus> {
        let (sessions, shard_map) = self.sessions.as_ref().zip(self.shard_map.as_ref())?;
        Some(sessions.status(now, customer, shard_map))
    }

    /// The keys that this gateway keeps at this moment, from and up to.
    pub fn mine(&self, now: Micros) -> Vec<(Key, Key)> {
        let shard_map = self
            .shard_map
            .as_ref()
            .filter(|_| !self.out && !self.view.is_superseded());
        shard_map.map_or_else(Vec::new, |shard_map| shard_map.mine(now))
    }

    /// The leadership, if there is one.
    pub fn election(&self) -> Option<&LeaderElection> {
        self.election.as_ref()
    }

    /// The leadership, for what is taken from it.
    pub fn election_mut(&mut self) -> Option<&mut LeaderElection> {
        self.election.as_mut()
    }

    /// Takes over another peer set.
    ///
    /// # Errors
    /// As [`Membership::set_peers`]; all stays as it was.
    pub fn set_peers(
        &mut self,
        now: Micros,
        names: Vec<String>,
        packets: &mut Vec<Transmit>,
    ) -> Result<(), PeerSetError> {
        self.view.set_peers(now, names)?;
        self.ids = ids_of(&self.view);
        if let Some(election) = &mut self.election {
            election.set_peers(now, self.ids.clone(), &mut self.election_transmits);
        }
        self.settle(now, packets);
        Ok(())
    }

    /// A datagram has come.
    pub fn on_datagram(&mut self, now: Micros, bytes: &[u8], packets: &mut Vec<Transmit>) {
        match (&mut self.election, bytes.first()) {
            (Some(election), Some(&LEADERSHIP)) => {
                election.on_datagram(now, bytes, &mut self.election_transmits)
            }
            (Some(election), Some(&SHARDS)) => match &mut self.shard_map {
                Some(shard_map) => {
                    shard_map.on_datagram(now, bytes, election, &mut self.election_transmits)
                }
                None => self
                    .view
                    .on_datagram(now, bytes, &mut self.membership_transmits),
            },
            (Some(_), Some(&SESSIONS)) if self.sessions.is_some() => {
                self.in_sessions(|part, around, sends| part.on_datagram(now, bytes, around, sends));
            }
            _ => self
                .view
                .on_datagram(now, bytes, &mut self.membership_transmits),
        }
        self.settle(now, packets);
    }

    /// When [`ClusterNode::on_timer`] is wanted.
    pub fn next_wakeup(&self) -> Micros {
        let election = self
            .election
            .as_ref()
            .map_or(Micros::MAX, LeaderElection::next_wakeup);
        let shard_map = self
            .shard_map
            .as_ref()
            .map_or(Micros::MAX, ShardMapNode::next_wakeup);
        let sessions = self
            .sessions
            .as_ref()
            .map_or(Micros::MAX, SessionClassifier::next_wakeup);
        election
            .min(shard_map)
            .min(sessions)
            .min(self.view.next_wakeup())
    }

    /// Something is due, or past that.
    pub fn on_timer(&mut self, now: Micros, packets: &mut Vec<Transmit>) {
        if now >= self.view.next_wakeup() {
            self.view.on_timer(now, &mut self.membership_transmits);
        }
        if let Some(election) = self
            .election
            .as_mut()
            .filter(|election| now >= election.next_wakeup())
        {
            election.on_timer(now, &mut self.election_transmits);
        }
        self.settle(now, packets);
    }

    /// Gives back what it has, tells others that this gateway goes, and says nothing more.
    pub fn leave(&mut self, now: Micros, packets: &mut Vec<Transmit>) {
        self.go(now);
        self.view.leave(now, &mut self.membership_transmits);
        self.settle(now, packets);
    }

    /// Another process takes this name over: what this one has it gives back, and it says nothing until [`ClusterNode::resume`].
    pub fn hand_over(&mut self, now: Micros, packets: &mut Vec<Transmit>) {
        self.go(now);
        self.settle(now, packets);
    }

    /// Lets go of what is kept, and then of leadership.
    fn go(&mut self, now: Micros) {
        self.out = true;
        self.let_go(now);
    }

    fn let_go(&mut self, now: Micros) {
        let Some(election) = &mut self.election else {
            return;
        };
        if let Some(shard_map) = &mut self.shard_map {
            shard_map.leave(now, election, &mut self.election_transmits);
        }
        election.leave(now, &mut self.election_transmits);
    }

    /// The other process has ended: this one goes on.
    pub fn resume(&mut self, now: Micros) {
        self.out = false;
        if let Some(election) = self
            .election
            .as_mut()
            .filter(|election| election.is_hushed())
        {
            election.resume(now);
        }
    }

    /// Lets the part in the sessions act by what the view and the shard map are now.
    fn in_sessions(
        &mut self,
        act: impl FnOnce(&mut SessionClassifier, &ClusterContext<'_>, &mut Vec<Transmit>),
    ) {
        let Some((part, shard_map)) = self.sessions.as_mut().zip(self.shard_map.as_ref()) else {
            return;
        };
        let around = ClusterContext {
            shard_map,
            names: self.view.names(),
            states: &self.view.states(),
            side: self.view.side(),
            silent: self.out || self.view.is_superseded(),
        };
        act(part, &around, &mut self.election_transmits);
    }

    /// Tells leadership what the view holds, and gathers what both send.
    fn settle(&mut self, now: Micros, packets: &mut Vec<Transmit>) {
        if let Some(election) = &mut self.election {
            let changed = now - self.view.settled(now);
            if self.advised != Some(changed) {
                self.advised = Some(changed);
                let sound = self
                    .ids
                    .iter()
                    .zip(self.view.states())
                    .filter(|(_, state)| *state == PeerState::Alive);
                election.on_membership_change(sound.map(|(id, _)| *id).collect());
                if let Some(shard_map) = &mut self.shard_map {
                    let gateway = |state| {
                        if state == PeerState::Dead {
                            PeerCondition::Dead
                        } else {
                            PeerCondition::Alive
                        }
                    };
                    let states = self.view.states().into_iter().map(gateway);
                    shard_map.on_membership_change(
                        now,
                        self.view.names().iter().cloned().zip(states).collect(),
                    );
                }
            }
        }
        // Of two lives under one name the one that the view silences takes no part here either.
        match (
            self.view.is_superseded(),
            self.election
                .as_ref()
                .is_some_and(LeaderElection::is_hushed),
        ) {
            (true, false) => self.let_go(now),
            (false, true) if !self.out => self.resume(now),
            _ => {}
        }
        if let Some(election) = &mut self.election {
            if let Some(shard_map) = &mut self.shard_map {
                // What leadership has just won or lost counts at once.
                if now >= shard_map.next_wakeup() || election.epoch(now) != shard_map.term() {
                    shard_map.on_timer(now, election, &mut self.election_transmits);
                }
            }
        }
        if self
            .sessions
            .as_ref()
            .is_some_and(|part| now >= part.next_wakeup())
        {
            self.in_sessions(|part, around, sends| part.on_timer(now, around, sends));
        }
        let ids = &self.ids;
        let membership_transmits = self.membership_transmits.drain(..).filter_map(|send| {
            Some(Transmit {
                to: *ids.get(send.to)?,
                bytes: send.bytes,
            })
        });
        packets.extend(membership_transmits);
        packets.append(&mut self.election_transmits);
    }
}

/// The names of a view's peer set as ids, in their order.
fn ids_of(view: &Membership) -> Vec<PeerId> {
    view.names().iter().map(|name| peer_id_of(name)).collect()
}
