//! Model check of the leader election: candidates, voters that stall and restart without state, datagrams that are lost,
//! duplicated and delayed, and changes of the peer set. The model runs the functions that safety rests on: `LeaseVoter`,
//! `CollectedVotes` and `PeerConfiguration`.
//!
//! Simplifications against `LeaderElection`, each of which allows more orders of events:
//! * a candidate may request votes without a majority of promises;
//! * gateways do not learn epochs from datagram headers, do not step down for a later epoch and do not wait for the
//!   membership: all of these only add rejections;
//! * a sent message stays in flight, so that it may arrive never, late and repeatedly.
//!
//! The receiver's check of an act (`LeaderElection::admit`) and the lease proof (`LeaderElection::lease_proof`) are restated here,
//! because `LeaderElection` holds a random generator and is too large for a model state.
//!
//! Clocks: each gateway's clock starts at its own zero. The first gateway's clock is slow by 1% and all others are fast by
//! 1%, the assumed maximum. The lease is two ticks of the slow clock, and a voter with a fast clock waits two ticks too: no
//! slack could hide a fault.

use gateway_cluster::leadership::configuration::{ConfigurationReport, PeerConfiguration};
use gateway_cluster::leadership::election::{ElectionSettings, LeaderElection};
use gateway_cluster::leadership::voter::{LeaseVoter, VoteRequest};
use gateway_cluster::leadership::votes::CollectedVotes;
use gateway_cluster::leadership::wire::{self, Datagram};
use gateway_cluster::leadership::{longer, shorter, LeaseHolder};
use gateway_cluster::peers::PeerId;
use gateway_cluster::protocol::Micros;
use gateway_cluster::protocol::Transmit;
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Debug, Formatter};
use std::sync::Arc;
use std::time::Instant;

/// Advance of a slow and of a fast clock in one tick of the model.
const SLOW: Micros = 990_000;
const FAST: Micros = 1_010_000;
/// A little less than two ticks of the slow clock, so that a vote lasts for two ticks of the fast one.
const LEASE: Micros = 2 * SLOW - 1000;
/// First tick of the model: all gateways started at 0 and their quiet period is over.
const BEGIN: u8 = 3;

type Names = &'static [PeerId];

/// A rule that is disabled, to prove that the model finds the violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    /// The lease counts from the answer instead of the request.
    RequestTime,
    /// A restarted voter votes at once.
    QuietPeriod,
    /// The receiver of an act does not check its epoch.
    Epoch,
    /// The receiver does not check the deadline.
    Deadline,
    /// The receiver checks neither.
    FencingToken,
    /// During a change only the new peer set needs a majority.
    JointConfiguration,
    /// A voter forgets the configuration change under which it voted.
    ObservedChanges,
    /// Each answer counts, also several of one voter.
    DistinctVoters,
    /// Two processes of one name are the same lease holder.
    Incarnations,
    /// A late release frees the vote of a later epoch too.
    ReleasedEpoch,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Act {
    epoch: u64,
    to_incarnation: u64,
    until: Micros,
    /// For the properties only: the tick at which the checked lease ends.
    over: u8,
}

/// A [`ConfigurationReport`] with an order, so that messages can be stored in a set.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct OrderedReport(ConfigurationReport);

impl Debug for OrderedReport {
    fn fmt(&self, to: &mut Formatter<'_>) -> std::fmt::Result {
        let ConfigurationReport {
            previous,
            completed_changes,
            ..
        } = self.0;
        write!(
            to,
            "{}{completed_changes} changes",
            if previous.is_some() {
                "two peer sets, "
            } else {
                ""
            }
        )
    }
}

impl Ord for OrderedReport {
    fn cmp(&self, other: &Self) -> Ordering {
        let key = |report: ConfigurationReport| {
            (
                report.current,
                report.previous,
                report.retired,
                report.completed_changes,
                report.in_use,
            )
        };
        key(self.0).cmp(&key(other.0))
    }
}

impl PartialOrd for OrderedReport {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum MessageKind {
    Prepare {
        epoch: u64,
    },
    RequestVote {
        number: u8,
        epoch: u64,
    },
    Vote {
        number: u8,
        to_incarnation: u64,
        tick: Micros,
    },
    Release {
        epoch: u64,
    },
    Act(Act),
}

/// A message between two processes, given by their indexes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Message {
    from: usize,
    to: usize,
    incarnation: u64,
    peer_sets: OrderedReport,
    kind: MessageKind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    Idle,
    Preparing(u64),
    CollectingVotes(u64),
    Leading(u64),
    /// It released leadership and takes no part.
    Left,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct GatewayState {
    incarnation: u64,
    voter: LeaseVoter,
    peer_sets: PeerConfiguration,
    votes: CollectedVotes,
    /// Number of answers, for the proof that each voter counts once.
    answers: usize,
    until: Micros,
    stage: Stage,
    number: u8,
    /// Pending requests by receiver and number, with the time of the request.
    pending_requests: BTreeMap<(usize, u8), Micros>,
    /// The highest epoch that it requested, or the one from its wall clock.
    highest_epoch: u64,
    /// Incarnation and clock of each other process, and the time of its last message.
    peer_clocks: BTreeMap<usize, (u64, Micros, Micros)>,
    latest_epoch: (u64, Option<PeerId>),
    /// It has checked its lease and is about to act.
    checked: Option<(usize, Act)>,
}

/// For the properties only: an epoch with a leader, and the voters that elected it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct HeldEpoch {
    epoch: u64,
    holder: LeaseHolder,
    voters: BTreeSet<(usize, u64)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    tick: u8,
    gateways: Vec<Arc<GatewayState>>,
    in_flight: BTreeSet<Message>,
    held_epochs: Vec<HeldEpoch>,
    restarts: u8,
    acts: u8,
    /// Acts that were carried out, rejected, effective after their lease, and effective after a later epoch was known.
    accepted: bool,
    refused: bool,
    acted_late: bool,
    acted_with_outdated_epoch: bool,
    /// An act took effect while another process was the leader.
    acted_under_other_leader: bool,
}

impl State {
    fn gateway(&mut self, process: usize) -> &mut GatewayState {
        Arc::make_mut(&mut self.gateways[process])
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    /// A gateway starts to request promises.
    StartCampaign(usize),
    /// It requests votes.
    RequestVotes(usize),
    /// A leader or a candidate repeats its requests.
    RepeatRequests(usize),
    AbandonCampaign(usize),
    Leave(usize),
    Restart(usize),
    /// Its configuration changes to the new peer set.
    ChangePeerSet(usize),
    /// A leader checks its lease; it acts at any later time.
    CheckLease(usize, usize),
    Act(usize),
    Deliver(Message),
}

/// A fixed first step, before all orders are explored.
#[derive(Debug, Clone, Copy)]
enum Opening {
    Step(Step),
    /// Delivers a request from the first process to the second, or a vote.
    DeliverRequest(usize, usize),
    DeliverVote(usize, usize),
}

/// The first gateway is elected with the vote of the third.
const LEADER_ELECTED: &[Opening] = &[
    Opening::Step(Step::StartCampaign(0)),
    Opening::DeliverRequest(0, 2),
    Opening::DeliverVote(2, 0),
];

const LEADER_AFTER_PROMISES: &[Opening] = &[
    Opening::Step(Step::StartCampaign(0)),
    Opening::Step(Step::RequestVotes(0)),
    Opening::DeliverRequest(0, 2),
    Opening::DeliverVote(2, 0),
];

/// A cluster and the bounds of the exploration.
#[derive(Debug, Clone, Copy)]
struct Cluster {
    /// The name of each process.
    processes: Names,
    peer_sets: [Names; 2],
    /// Processes that are configured with the new peer set from the start.
    fresh: &'static [usize],
    /// Processes whose configuration changes while they run.
    reconfigured: &'static [usize],
    opening: &'static [Opening],
    candidates: &'static [usize],
    /// First epoch of each process, from its wall clock, which may be wrong.
    clocks: &'static [u64],
    /// Maximum tick, maximum epoch, and maximum number of requests of one process.
    ticks: u8,
    epochs: u64,
    requests: u8,
    restarts: u8,
    acts: u8,
    /// Whether a candidate requests promises before votes.
    prepares: bool,
    abandons: bool,
    leaves: bool,
    /// A configuration may change back to the old peer set.
    back: bool,
    /// Whether properties are checked that the rules do not guarantee.
    strict: bool,
    without: Without,
}

const THREE: Cluster = Cluster {
    processes: &[0, 1, 2],
    peer_sets: [&[0, 1, 2], &[0, 1, 2]],
    fresh: &[],
    reconfigured: &[],
    opening: &[],
    candidates: &[0, 1],
    clocks: &[0, 1, 0],
    ticks: 4,
    epochs: 3,
    requests: 2,
    restarts: 0,
    acts: 0,
    prepares: false,
    abandons: false,
    leaves: false,
    back: false,
    strict: false,
    without: Without::Nothing,
};

fn clock(process: usize, tick: u8) -> Micros {
    let rate = if process == 0 { SLOW } else { FAST };
    (process as Micros + 1) * 1_000_000_000 + rate * Micros::from(tick)
}

/// The tick at which a process's clock reaches this time.
fn tick_of(process: usize, at: Micros) -> u8 {
    (0..=u8::MAX)
        .find(|tick| clock(process, *tick) >= at)
        .unwrap_or(u8::MAX)
}

impl Cluster {
    fn holder(&self, process: usize, incarnation: u64) -> LeaseHolder {
        let incarnation = if self.without == Without::Incarnations {
            0
        } else {
            100 * process as u64 + incarnation
        };
        LeaseHolder {
            name: self.processes[process],
            incarnation,
        }
    }

    fn started_gateway(
        &self,
        process: usize,
        tick: u8,
        incarnation: u64,
        names: Names,
    ) -> GatewayState {
        let born = if self.without == Without::QuietPeriod {
            0
        } else {
            tick
        };
        GatewayState {
            incarnation,
            voter: LeaseVoter::new(clock(process, born), LEASE),
            peer_sets: PeerConfiguration::new(names.to_vec()),
            votes: CollectedVotes::default(),
            answers: 0,
            until: 0,
            stage: Stage::Idle,
            number: 0,
            pending_requests: BTreeMap::new(),
            highest_epoch: self.clocks[process],
            peer_clocks: BTreeMap::new(),
            latest_epoch: (0, None),
            checked: None,
        }
    }

    fn vote_request(&self, process: usize, gateway: &GatewayState, epoch: u64) -> VoteRequest {
        let holder = self.holder(process, gateway.incarnation);
        VoteRequest {
            holder,
            epoch,
            lease: LEASE,
            peer_sets: gateway.peer_sets.report(),
        }
    }

    /// The end of the lease, by the rules or with one of them disabled.
    fn until(&self, gateway: &GatewayState) -> Micros {
        let votes = &gateway.votes;
        match self.without {
            Without::JointConfiguration => {
                let now = gateway
                    .peer_sets
                    .required()
                    .last()
                    .and_then(|bound| bound.names.clone());
                votes.valid_until(&PeerConfiguration::new(now.unwrap_or_default()))
            }
            Without::DistinctVoters if gateway.answers > gateway.peer_sets.names().len() / 2 => {
                let has = gateway
                    .peer_sets
                    .names()
                    .into_iter()
                    .find(|name| votes.contains(*name));
                has.map_or(0, |name| {
                    votes.valid_until(&PeerConfiguration::new(vec![name]))
                })
            }
            _ => votes.valid_until(&gateway.peer_sets),
        }
    }

    fn send(&self, state: &mut State, from: usize, to: usize, kind: MessageKind) {
        let gateway = &state.gateways[from];
        let peer_sets = OrderedReport(gateway.peer_sets.report());
        state.in_flight.insert(Message {
            from,
            to,
            incarnation: gateway.incarnation,
            peer_sets,
            kind,
        });
    }

    /// All processes of other names in any of its peer sets.
    fn others(&self, gateway: &GatewayState, process: usize) -> Vec<usize> {
        let names = gateway.peer_sets.names();
        let other = |to: &usize| {
            names.contains(&self.processes[*to]) && self.processes[*to] != self.processes[process]
        };
        (0..self.processes.len()).filter(other).collect()
    }

    fn send_prepares_or_requests(&self, state: &mut State, process: usize, epoch: u64) {
        let now = clock(process, state.tick);
        let others = self.others(&state.gateways[process], process);
        let gateway = state.gateway(process);
        gateway.number += 1;
        let number = gateway.number;
        gateway
            .pending_requests
            .extend(others.iter().map(|to| ((*to, number), now)));
        for to in others {
            self.send(
                state,
                process,
                to,
                MessageKind::RequestVote { number, epoch },
            );
        }
    }

    fn request_votes(&self, state: &mut State, process: usize) {
        let Stage::Preparing(epoch) = state.gateways[process].stage else {
            return;
        };
        state.gateway(process).stage = Stage::CollectingVotes(epoch);
        self.send_prepares_or_requests(state, process, epoch);
        self.vote_for_itself(state, process, epoch);
        self.check_majority(state, process);
    }

    fn vote_for_itself(&self, state: &mut State, process: usize, epoch: u64) {
        let now = clock(process, state.tick);
        let gateway = state.gateway(process);
        let request = self.vote_request(process, gateway, epoch);
        if gateway
            .voter
            .vote(now, &request, &mut gateway.peer_sets)
            .is_ok()
        {
            gateway.votes.add(request.holder.name, now, LEASE);
            if matches!(gateway.stage, Stage::CollectingVotes(_)) {
                gateway.answers += 1;
            }
        }
    }

    /// Elects the candidate if a majority of each peer set has voted for it.
    fn check_majority(&self, state: &mut State, process: usize) {
        let now = clock(process, state.tick);
        let incarnation_of: Vec<u64> = state
            .gateways
            .iter()
            .map(|gateway| gateway.incarnation)
            .collect();
        let gateway = state.gateway(process);
        let (Stage::CollectingVotes(epoch) | Stage::Leading(epoch)) = gateway.stage else {
            return;
        };
        let until = self.until(gateway);
        if now >= until {
            return;
        }
        gateway.until = gateway.until.max(until);
        gateway.peer_sets.on_elected();
        if matches!(gateway.stage, Stage::CollectingVotes(_)) {
            gateway.stage = Stage::Leading(epoch);
            gateway.latest_epoch = (epoch, Some(self.processes[process]));
            let voters =
                (0..incarnation_of.len()).filter(|by| gateway.votes.contains(self.processes[*by]));
            let voters = voters.map(|by| (by, incarnation_of[by])).collect();
            let holder = LeaseHolder {
                incarnation: gateway.incarnation,
                name: process as PeerId,
            };
            state.held_epochs.push(HeldEpoch {
                epoch,
                holder,
                voters,
            });
        }
    }

    /// Votes for another configuration do not count for the new one.
    fn on_configuration_change(
        &self,
        state: &mut State,
        process: usize,
        before: ConfigurationReport,
    ) {
        let gateway = state.gateway(process);
        let after = gateway.peer_sets.report();
        let same = (before.current, before.previous) == (after.current, after.previous);
        if same || before.current == after.current && after.previous.is_none() {
            return;
        }
        match gateway.stage {
            Stage::Preparing(_) | Stage::CollectingVotes(_) => {
                self.abandon_campaign(state, process);
            }
            Stage::Leading(_) => {
                gateway.votes = CollectedVotes::default();
                gateway.pending_requests.clear();
            }
            Stage::Idle | Stage::Left => {}
        }
    }

    fn abandon_campaign(&self, state: &mut State, process: usize) {
        if let Stage::CollectingVotes(epoch) = state.gateways[process].stage {
            for to in self.others(&state.gateways[process], process) {
                if state.gateways[process].votes.contains(self.processes[to]) {
                    self.send(state, process, to, MessageKind::Release { epoch });
                }
            }
            let holder = self.holder(process, state.gateways[process].incarnation);
            state.gateway(process).voter.release(holder, epoch);
        }
        let gateway = state.gateway(process);
        (gateway.stage, gateway.until, gateway.votes, gateway.answers) =
            (Stage::Idle, 0, CollectedVotes::default(), 0);
        gateway.pending_requests.clear();
    }

    fn deliver(&self, state: &mut State, message: Message) {
        let Message {
            from,
            to,
            incarnation,
            peer_sets,
            kind,
        } = message;
        if state.gateways[to].stage == Stage::Left {
            return;
        }
        let before = state.gateways[to].peer_sets.report();
        if self.without != Without::JointConfiguration {
            state.gateway(to).peer_sets.on_report(peer_sets.0);
        }
        self.on_configuration_change(state, to, before);
        let holder = self.holder(from, incarnation);
        let request = |epoch| VoteRequest {
            holder,
            epoch,
            lease: LEASE,
            peer_sets: peer_sets.0,
        };
        match kind {
            MessageKind::Prepare { epoch } => {
                let now = clock(to, state.tick);
                let gateway = state.gateway(to);
                let _ = gateway
                    .voter
                    .promise(now, &request(epoch), &gateway.peer_sets);
            }
            MessageKind::RequestVote { number, epoch } => {
                self.deliver_vote_request(state, message, number, request(epoch));
            }
            MessageKind::Vote {
                number,
                to_incarnation,
                tick,
            } => self.deliver_vote(state, message, number, to_incarnation, tick),
            MessageKind::Release { epoch } => {
                let frees_any = self.without == Without::ReleasedEpoch;
                let epoch = if frees_any { u64::MAX } else { epoch };
                state.gateway(to).voter.release(holder, epoch);
            }
            MessageKind::Act(act) => self.deliver_act(state, message, act),
        }
    }

    fn deliver_vote_request(
        &self,
        state: &mut State,
        message: Message,
        number: u8,
        request: VoteRequest,
    ) {
        let now = clock(message.to, state.tick);
        let gateway = state.gateway(message.to);
        let mut peer_sets = gateway.peer_sets.clone();
        let is_accepted = gateway.voter.vote(now, &request, &mut peer_sets).is_ok();
        if self.without != Without::ObservedChanges {
            gateway.peer_sets = peer_sets;
        }
        if is_accepted {
            let vote = MessageKind::Vote {
                number,
                to_incarnation: message.incarnation,
                tick: now,
            };
            self.send(state, message.to, message.from, vote);
        }
    }

    fn deliver_vote(
        &self,
        state: &mut State,
        message: Message,
        number: u8,
        to_incarnation: u64,
        tick: Micros,
    ) {
        let Message {
            from,
            to,
            incarnation,
            ..
        } = message;
        let now = clock(to, state.tick);
        let gateway = state.gateway(to);
        let is_open = matches!(gateway.stage, Stage::CollectingVotes(_) | Stage::Leading(_));
        let requested_at = if self.without == Without::DistinctVoters {
            gateway.pending_requests.get(&(from, number)).copied()
        } else {
            gateway.pending_requests.remove(&(from, number))
        };
        let (true, true, Some(requested_at)) =
            (is_open, to_incarnation == gateway.incarnation, requested_at)
        else {
            return;
        };
        let lease_start = if self.without == Without::RequestTime {
            now
        } else {
            requested_at
        };
        if self.acts > 0 {
            let known = gateway.peer_clocks.entry(from).or_default();
            if known.0 != incarnation || tick >= known.1 {
                *known = (incarnation, tick, now);
            }
        }
        gateway.votes.add(self.processes[from], lease_start, LEASE);
        gateway.answers += usize::from(self.without == Without::DistinctVoters);
        if let Stage::Leading(epoch) = gateway.stage {
            let held = state
                .held_epochs
                .iter_mut()
                .find(|held| held.epoch == epoch && held.holder.name == to as PeerId);
            if let Some(held) = held {
                held.voters.insert((from, incarnation));
            }
            self.vote_for_itself(state, to, epoch);
        }
        self.check_majority(state, to);
    }

    /// The check of `LeaderElection::admit`, and the effect of an admitted act.
    fn deliver_act(&self, state: &mut State, message: Message, act: Act) {
        let Message { from, to, .. } = message;
        let now = clock(to, state.tick);
        let gateway = state.gateway(to);
        let (known_epoch, known_leader) = gateway.latest_epoch;
        let name = self.processes[from];
        let checks_epoch = !matches!(self.without, Without::Epoch | Without::FencingToken);
        let checks_deadline = !matches!(self.without, Without::Deadline | Without::FencingToken);
        let is_outdated = act.epoch < known_epoch
            || act.epoch == known_epoch && known_leader.is_some_and(|leader| leader != name);
        if act.to_incarnation != gateway.incarnation
            || checks_epoch && is_outdated
            || checks_deadline && now >= act.until
        {
            state.refused = true;
            return;
        }
        state.accepted = true;
        state.acted_with_outdated_epoch |= is_outdated;
        state.acted_under_other_leader |= self.leaders(state).iter().any(|leader| *leader != from);
        state.acted_late |= state.tick >= act.over;
        let gateway = state.gateway(to);
        gateway.latest_epoch = gateway.latest_epoch.max((act.epoch, Some(name)));
    }

    /// Starts a campaign; `None` if the process may not.
    fn start_campaign(&self, next: &mut State, process: usize) -> Option<()> {
        let now = clock(process, next.tick);
        let gateway = next.gateway(process);
        let epoch = gateway
            .highest_epoch
            .max(gateway.voter.highest_epoch())
            .max(gateway.latest_epoch.0)
            + 1;
        if epoch > self.epochs {
            return None;
        }
        let request = self.vote_request(process, gateway, epoch);
        let promise = gateway.voter.promise(now, &request, &gateway.peer_sets);
        promise.ok()?;
        (gateway.stage, gateway.until, gateway.votes, gateway.answers) =
            (Stage::Preparing(epoch), 0, CollectedVotes::default(), 0);
        (gateway.highest_epoch, gateway.pending_requests) = (epoch, BTreeMap::new());
        if self.prepares {
            for to in self.others(&next.gateways[process], process) {
                self.send(next, process, to, MessageKind::Prepare { epoch });
            }
        } else {
            self.request_votes(next, process);
        }
        Some(())
    }

    /// A leader releases its lease and takes no further part; `None` for any other process.
    fn leave(&self, next: &mut State, process: usize) -> Option<()> {
        let Stage::Leading(epoch) = next.gateways[process].stage else {
            return None;
        };
        for to in self.others(&next.gateways[process], process) {
            self.send(next, process, to, MessageKind::Release { epoch });
        }
        let gateway = next.gateway(process);
        (gateway.stage, gateway.until) = (Stage::Left, 0);
        gateway.pending_requests.clear();
        Some(())
    }

    /// Restarts a process without state, with the peer set that it is configured with now.
    fn restart(&self, next: &mut State, process: usize) {
        let old_peer_set = PeerConfiguration::new(self.peer_sets[0].to_vec());
        let gateway = &next.gateways[process];
        let is_changed = self.reconfigured.contains(&process)
            && gateway.peer_sets.report().current != old_peer_set.report().current;
        let names = self.peer_sets[usize::from(is_changed || self.fresh.contains(&process))];
        let incarnation = gateway.incarnation + 1;
        let started = self.started_gateway(process, next.tick, incarnation, names);
        next.gateways[process] = Arc::new(started);
        next.restarts += 1;
    }

    /// Changes the configured peer set to the new one, or back; `None` if it may not change back.
    fn change_peer_set(&self, next: &mut State, process: usize) -> Option<()> {
        let [old, new] = self.peer_sets;
        let before = next.gateways[process].peer_sets.report();
        let gateway = next.gateway(process);
        gateway.peer_sets.set(new.to_vec());
        if gateway.peer_sets.report().current == before.current {
            if !self.back {
                return None;
            }
            gateway.peer_sets.set(old.to_vec());
        }
        if self.without == Without::JointConfiguration {
            gateway.peer_sets = PeerConfiguration::new(new.to_vec());
        }
        self.on_configuration_change(next, process, before);
        Some(())
    }

    /// A leader checks its lease and computes the proof of `LeaderElection::lease_proof`; `None` if it is not a leader or has
    /// never received a message from the receiver.
    fn check_lease(&self, next: &mut State, process: usize, to: usize) -> Option<()> {
        let gateway = next.gateway(process);
        let Stage::Leading(epoch) = gateway.stage else {
            return None;
        };
        let (to_incarnation, tick, received_at) = *gateway.peer_clocks.get(&to)?;
        let until = tick + shorter(gateway.until.saturating_sub(received_at));
        let act = Act {
            epoch,
            to_incarnation,
            until,
            over: tick_of(process, gateway.until),
        };
        gateway.checked = Some((to, act));
        next.acts += 1;
        Some(())
    }

    /// Drops messages that cannot change the state any more: answers to requests that are not pending, and requests below
    /// the promised epoch, which any voter that does not restart rejects.
    fn drop_ineffective_messages(&self, next: &mut State) {
        let no_more_restarts = next.restarts == self.restarts;
        let State {
            gateways,
            in_flight,
            ..
        } = next;
        in_flight.retain(|message| match message.kind {
            MessageKind::Vote {
                number,
                to_incarnation,
                ..
            } => {
                let candidate = &gateways[message.to];
                let request = (message.from, number);
                candidate.incarnation == to_incarnation
                    && candidate.pending_requests.contains_key(&request)
            }
            MessageKind::Prepare { epoch } | MessageKind::RequestVote { epoch, .. } => {
                let voter = &gateways[message.to].voter;
                !(no_more_restarts && voter.highest_epoch() > epoch)
            }
            _ => true,
        });
    }

    fn apply_opening(&self, state: &State, opening: Opening) -> State {
        let comes = |from: usize, to: usize, is: fn(MessageKind) -> bool| {
            let fits = |m: &&Message| (m.from, m.to) == (from, to) && is(m.kind);
            Step::Deliver(
                *state
                    .in_flight
                    .iter()
                    .rev()
                    .find(fits)
                    .expect("such a message"),
            )
        };
        let step = match opening {
            Opening::Step(step) => step,
            Opening::DeliverRequest(from, to) => comes(from, to, |kind| {
                matches!(kind, MessageKind::RequestVote { .. })
            }),
            Opening::DeliverVote(from, to) => {
                comes(from, to, |kind| matches!(kind, MessageKind::Vote { .. }))
            }
        };
        self.next_state(state, step)
            .expect("a step that changes something")
    }

    /// Processes that consider themselves leader at this moment.
    fn leaders(&self, state: &State) -> Vec<usize> {
        let holds = |process: &usize| {
            let gateway = &state.gateways[*process];
            matches!(gateway.stage, Stage::Leading(_))
                && clock(*process, state.tick) < gateway.until
        };
        (0..state.gateways.len()).filter(holds).collect()
    }
}

impl Model for Cluster {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let names = |process: usize| self.peer_sets[usize::from(self.fresh.contains(&process))];
        let gateways = (0..self.processes.len())
            .map(|process| Arc::new(self.started_gateway(process, 0, 1, names(process))));
        let state = State {
            tick: BEGIN,
            gateways: gateways.collect(),
            in_flight: BTreeSet::new(),
            held_epochs: Vec::new(),
            restarts: 0,
            acts: 0,
            accepted: false,
            refused: false,
            acted_late: false,
            acted_with_outdated_epoch: false,
            acted_under_other_leader: false,
        };
        let opened = self
            .opening
            .iter()
            .fold(state, |state, opening| self.apply_opening(&state, *opening));
        vec![opened]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.tick < BEGIN + self.ticks {
            steps.push(Step::Tick);
        }
        for (n, gateway) in state.gateways.iter().enumerate() {
            let over = clock(n, state.tick) >= gateway.until;
            match gateway.stage {
                Stage::Idle if self.candidates.contains(&n) => steps.push(Step::StartCampaign(n)),
                Stage::Leading(_) if over && self.candidates.contains(&n) => {
                    steps.push(Step::StartCampaign(n));
                }
                Stage::Preparing(_) => steps.push(Step::RequestVotes(n)),
                _ => {}
            }
            if matches!(gateway.stage, Stage::Leading(_)) && gateway.number < self.requests {
                steps.push(Step::RepeatRequests(n));
            }
            if self.abandons && matches!(gateway.stage, Stage::CollectingVotes(_)) {
                steps.push(Step::AbandonCampaign(n));
            }
            if matches!(gateway.stage, Stage::Leading(_)) && !over {
                if self.leaves {
                    steps.push(Step::Leave(n));
                }
                if state.acts < self.acts && gateway.checked.is_none() {
                    steps.extend(
                        gateway
                            .peer_clocks
                            .keys()
                            .map(|to| Step::CheckLease(n, *to)),
                    );
                }
            }
            if gateway.checked.is_some() {
                steps.push(Step::Act(n));
            }
            if state.restarts < self.restarts {
                steps.push(Step::Restart(n));
            }
            if self.reconfigured.contains(&n) {
                steps.push(Step::ChangePeerSet(n));
            }
        }
        steps.extend(state.in_flight.iter().copied().map(Step::Deliver));
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        let mut next = state.clone();
        match step {
            Step::Tick => next.tick += 1,
            Step::StartCampaign(n) => self.start_campaign(&mut next, n)?,
            Step::RequestVotes(n) => self.request_votes(&mut next, n),
            Step::RepeatRequests(n) => {
                let (Stage::CollectingVotes(epoch) | Stage::Leading(epoch)) =
                    state.gateways[n].stage
                else {
                    return None;
                };
                self.send_prepares_or_requests(&mut next, n, epoch);
            }
            Step::AbandonCampaign(n) => self.abandon_campaign(&mut next, n),
            Step::Leave(n) => self.leave(&mut next, n)?,
            Step::Restart(n) => self.restart(&mut next, n),
            Step::ChangePeerSet(n) => self.change_peer_set(&mut next, n)?,
            Step::CheckLease(n, to) => self.check_lease(&mut next, n, to)?,
            Step::Act(n) => {
                let (to, act) = next.gateway(n).checked.take()?;
                self.send(&mut next, n, to, MessageKind::Act(act));
            }
            Step::Deliver(message) => self.deliver(&mut next, message),
        }
        self.drop_ineffective_messages(&mut next);
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let mut properties = vec![
            Property::always(ONE_LEADER, |cluster: &Cluster, state: &State| {
                cluster.leaders(state).len() < 2
            }),
            Property::always(ACTS_IN_TIME, |_: &Cluster, state: &State| !state.acted_late),
            Property::always(ACTS_IN_EPOCH_ORDER, |_: &Cluster, state: &State| {
                !state.acted_with_outdated_epoch
            }),
            Property::always(ONE_VOTE_PER_EPOCH, |_: &Cluster, state: &State| {
                pairs(state)
                    .all(|(one, other)| one.epoch != other.epoch || !share_a_voter(one, other))
            }),
            Property::always(EPOCHS_GROW, |_: &Cluster, state: &State| {
                pairs(state)
                    .all(|(one, other)| one.epoch < other.epoch || !share_a_voter(one, other))
            }),
            Property::sometimes(SECOND_LEADER_REACHED, |cluster: &Cluster, state: &State| {
                let second = state.held_epochs.len() > 1
                    && state.held_epochs[0].holder.name != state.held_epochs[1].holder.name;
                second && !cluster.leaders(state).is_empty()
            }),
            Property::sometimes(ACT_REACHED, |cluster: &Cluster, state: &State| {
                cluster.acts == 0 || state.accepted
            }),
            Property::sometimes(REJECTION_REACHED, |cluster: &Cluster, state: &State| {
                cluster.acts == 0 || state.refused
            }),
            Property::sometimes(CHANGE_REACHED, |cluster: &Cluster, state: &State| {
                let over = |gateway: &Arc<GatewayState>| {
                    !gateway.peer_sets.is_changing() && gateway.peer_sets.report().retired.is_some()
                };
                cluster.reconfigured.is_empty() || state.gateways.iter().any(over)
            }),
        ];
        if self.strict {
            properties.push(Property::always(
                EPOCHS_UNIQUE,
                |_: &Cluster, state: &State| {
                    pairs(state).all(|(one, other)| one.epoch != other.epoch)
                },
            ));
            properties.push(Property::always(
                ACTS_UNDER_ONE_LEADER,
                |_: &Cluster, state: &State| !state.acted_under_other_leader,
            ));
        }
        properties
    }
}

const ONE_LEADER: &str = "there is at most one leader at any time";
const ACTS_IN_TIME: &str = "no act takes effect after its lease";
const ACTS_IN_EPOCH_ORDER: &str = "no act takes effect after its receiver knows a later epoch";
const ONE_VOTE_PER_EPOCH: &str = "no running voter votes for two candidates in one epoch";
const EPOCHS_GROW: &str = "epochs grow from leader to leader";
/// The rules do not guarantee these two; see the last tests.
const EPOCHS_UNIQUE: &str = "no epoch has two leaders";
const ACTS_UNDER_ONE_LEADER: &str = "no act takes effect under another leader";
const SECOND_LEADER_REACHED: &str = "a second leader follows the first";
const ACT_REACHED: &str = "an act is carried out";
const REJECTION_REACHED: &str = "an act is rejected";
const CHANGE_REACHED: &str = "a change of the peer set is complete";

/// All pairs of an earlier and a later epoch.
fn pairs(state: &State) -> impl Iterator<Item = (&HeldEpoch, &HeldEpoch)> {
    let later = |n: usize| state.held_epochs[n + 1..].iter();
    state
        .held_epochs
        .iter()
        .enumerate()
        .flat_map(move |(n, one)| later(n).map(move |other| (one, other)))
}

/// Whether one incarnation of a process voted in both epochs.
fn share_a_voter(one: &HeldEpoch, other: &HeldEpoch) -> bool {
    !one.voters.is_disjoint(&other.voters)
}

fn check(
    what: &str,
    cluster: Cluster,
    depth: usize,
    until: HasDiscoveries,
) -> impl Checker<Cluster> {
    // With one thread the search is breadth-first and complete up to its depth. Several checks run in parallel tests.
    let began = Instant::now();
    let builder = cluster
        .checker()
        .threads(1)
        .target_max_depth(depth + 2)
        .finish_when(until);
    let checker = builder.spawn_bfs().join();
    let (states, unique) = (checker.state_count(), checker.unique_state_count());
    // If the states end before the depth is reached, the exploration is complete within the bounds.
    let all = if checker.max_depth() <= depth {
        "complete"
    } else {
        "bounded"
    };
    let (steps, took) = (depth.min(checker.max_depth()), began.elapsed());
    println!("{what}: {steps} steps ({all}), {states} states, {unique} unique, {took:.1?}");
    checker
}

/// Asserts that no order of up to `depth` steps violates a safety property, and that the relevant states are reached.
fn assert_safe(what: &str, cluster: Cluster, depth: usize, least: usize) {
    let checker = check(what, cluster, depth, HasDiscoveries::AnyFailures);
    for rule in [
        ONE_LEADER,
        ACTS_IN_TIME,
        ACTS_IN_EPOCH_ORDER,
        ONE_VOTE_PER_EPOCH,
        EPOCHS_GROW,
    ] {
        if let Some(path) = checker.discovery(rule) {
            panic!("{rule}: {:#?}", path.into_actions());
        }
    }
    checker.assert_properties();
    assert!(
        checker.unique_state_count() > least,
        "{} states",
        checker.unique_state_count()
    );
}

/// Asserts that the model finds a violation of a property: with a rule disabled, or where the rules do not guarantee it.
fn assert_violated(rule: &'static str, cluster: Cluster, depth: usize) {
    let what = format!("without {:?}", cluster.without);
    let checker = check(&what, cluster, depth, HasDiscoveries::AnyOf([rule].into()));
    let path = checker
        .discovery(rule)
        .expect("a counter-example")
        .into_actions();
    println!("  {rule}, in {} steps: {path:?}", path.len());
}

const CALM: Cluster = Cluster {
    ticks: 2,
    epochs: 2,
    requests: 1,
    ..THREE
};

#[test]
fn two_candidates_are_never_leaders_at_the_same_time() {
    assert_safe("two candidates", Cluster { ticks: 3, ..THREE }, 12, 50_000);
    let promises = Cluster {
        prepares: true,
        epochs: 4,
        ticks: 4,
        clocks: &[0, 1, 1],
        ..CALM
    };
    assert_safe(
        "with promises",
        Cluster {
            opening: LEADER_AFTER_PROMISES,
            ..promises
        },
        10,
        1_000,
    );
}

#[test]
fn restarted_voters_never_vote_for_a_second_leader() {
    assert_safe(
        "restarts",
        Cluster {
            restarts: 2,
            ticks: 4,
            opening: LEADER_ELECTED,
            ..CALM
        },
        10,
        50_000,
    );
}

#[test]
fn late_acts_and_acts_of_an_older_epoch_have_no_effect() {
    assert_safe(
        "acts",
        Cluster {
            acts: 2,
            opening: LEADER_ELECTED,
            ..WITH_ACTS
        },
        10,
        1_000,
    );
}

#[test]
fn a_change_of_the_peer_set_never_allows_two_leaders() {
    assert_safe("a change", CHANGING_PEER_SET, 10, 50_000);
    assert_safe(
        "taken back",
        Cluster {
            back: true,
            reconfigured: &[0, 1],
            ..CHANGING_PEER_SET
        },
        9,
        10_000,
    );
    assert_safe(
        "after a change",
        Cluster {
            opening: PEER_SET_CHANGED,
            ticks: 3,
            requests: 2,
            ..CHANGING_PEER_SET
        },
        8,
        1_000,
    );
}

#[test]
fn two_processes_of_one_name_are_never_leaders_at_the_same_time() {
    assert_safe(
        "twins",
        Cluster {
            ticks: 3,
            epochs: 3,
            opening: LEADER_WITH_THREE_VOTES,
            ..TWO_PROCESSES_OF_ONE_NAME
        },
        9,
        1_000,
    );
}

#[test]
fn a_release_frees_only_the_released_vote() {
    assert_safe(
        "given up",
        Cluster {
            leaves: true,
            ..ABANDONING
        },
        9,
        10_000,
    );
    assert_safe(
        "given up late",
        Cluster {
            opening: VOTE_TOO_LATE,
            leaves: true,
            ticks: 4,
            epochs: 4,
            ..ABANDONING
        },
        10,
        1_000,
    );
}

#[test]
fn the_model_rejects_a_lease_that_counts_from_the_answer() {
    assert_violated(
        ONE_LEADER,
        Cluster {
            without: Without::RequestTime,
            ..CALM
        },
        10,
    );
}

#[test]
fn the_model_rejects_a_voter_without_a_quiet_period_after_start() {
    assert_violated(
        ONE_LEADER,
        Cluster {
            without: Without::QuietPeriod,
            restarts: 1,
            ..CALM
        },
        7,
    );
}

const WITH_ACTS: Cluster = Cluster {
    acts: 1,
    leaves: true,
    ..CALM
};

#[test]
fn the_model_rejects_a_receiver_that_does_not_check_the_epoch() {
    assert_violated(
        ACTS_IN_EPOCH_ORDER,
        Cluster {
            without: Without::Epoch,
            ticks: 0,
            ..WITH_ACTS
        },
        11,
    );
}

#[test]
fn the_model_rejects_a_receiver_that_does_not_check_the_deadline() {
    assert_violated(
        ACTS_IN_TIME,
        Cluster {
            without: Without::Deadline,
            ..WITH_ACTS
        },
        8,
    );
}

#[test]
fn the_model_rejects_a_receiver_that_checks_neither_epoch_nor_deadline() {
    assert_violated(
        ACTS_IN_TIME,
        Cluster {
            without: Without::FencingToken,
            ..WITH_ACTS
        },
        8,
    );
    assert_violated(
        ACTS_IN_EPOCH_ORDER,
        Cluster {
            without: Without::FencingToken,
            ticks: 0,
            ..WITH_ACTS
        },
        11,
    );
}

/// One of three gateways is replaced: majorities of the old and the new peer set need not intersect.
const CHANGING_PEER_SET: Cluster = Cluster {
    processes: &[0, 1, 2, 3],
    peer_sets: [&[0, 1, 2], &[0, 1, 3]],
    fresh: &[3],
    reconfigured: &[0, 1, 2],
    clocks: &[1, 0, 0, 0],
    ..CALM
};

/// The second gateway is elected by a majority of both peer sets, which completes the change.
const PEER_SET_CHANGED: &[Opening] = &[
    Opening::Step(Step::ChangePeerSet(1)),
    Opening::Step(Step::StartCampaign(1)),
    Opening::DeliverRequest(1, 2),
    Opening::DeliverRequest(1, 3),
    Opening::DeliverVote(2, 1),
    Opening::DeliverVote(3, 1),
];

#[test]
fn the_model_rejects_majorities_without_a_joint_configuration() {
    assert_violated(
        ONE_LEADER,
        Cluster {
            without: Without::JointConfiguration,
            ..CHANGING_PEER_SET
        },
        7,
    );
}

#[test]
fn the_model_rejects_a_voter_that_forgets_a_configuration_change() {
    let opening = PEER_SET_CHANGED;
    assert_violated(
        ONE_LEADER,
        Cluster {
            without: Without::ObservedChanges,
            reconfigured: &[1],
            opening,
            requests: 2,
            ..CHANGING_PEER_SET
        },
        8,
    );
}

const FOUR: Cluster = Cluster {
    processes: &[0, 1, 2, 3],
    peer_sets: [&[0, 1, 2, 3], &[0, 1, 2, 3]],
    clocks: &[0, 1, 0, 0],
    ticks: 0,
    ..CALM
};

#[test]
fn the_model_rejects_counting_a_voter_more_than_once() {
    assert_violated(
        ONE_LEADER,
        Cluster {
            without: Without::DistinctVoters,
            ..FOUR
        },
        10,
    );
}

/// The first gateway is elected with the votes of two others.
const LEADER_WITH_THREE_VOTES: &[Opening] = &[
    Opening::Step(Step::StartCampaign(0)),
    Opening::DeliverRequest(0, 2),
    Opening::DeliverRequest(0, 3),
    Opening::DeliverVote(2, 0),
    Opening::DeliverVote(3, 0),
];

/// The first name has two processes.
const TWO_PROCESSES_OF_ONE_NAME: Cluster = Cluster {
    processes: &[0, 1, 2, 3, 0],
    clocks: &[0, 0, 0, 0, 1],
    candidates: &[0, 4],
    ..FOUR
};

#[test]
fn the_model_rejects_two_processes_of_one_name_as_one_lease_holder() {
    assert_violated(
        ONE_LEADER,
        Cluster {
            without: Without::Incarnations,
            ..TWO_PROCESSES_OF_ONE_NAME
        },
        10,
    );
}

const ABANDONING: Cluster = Cluster {
    abandons: true,
    epochs: 3,
    requests: 2,
    clocks: &[0, 2, 0],
    ..CALM
};

/// The first gateway receives its vote too late.
const VOTE_TOO_LATE: &[Opening] = &[
    Opening::Step(Step::StartCampaign(0)),
    Opening::DeliverRequest(0, 2),
    Opening::Step(Step::Tick),
    Opening::Step(Step::Tick),
    Opening::DeliverVote(2, 0),
];

#[test]
fn the_model_rejects_a_late_release_that_frees_a_later_epoch() {
    assert_violated(
        ONE_LEADER,
        Cluster {
            without: Without::ReleasedEpoch,
            opening: VOTE_TOO_LATE,
            ..ABANDONING
        },
        8,
    );
}

/// The next datagrams of this kind that timers of an election send.
fn next_datagrams(
    election: &mut LeaderElection,
    now: &mut Micros,
    is: fn(&wire::Kind) -> bool,
) -> Vec<Transmit> {
    for _ in 0..100 {
        let mut sends = Vec::new();
        *now = election.next_wakeup().max(*now);
        election.on_timer(*now, &mut sends);
        sends.retain(|send| {
            Datagram::decode(&send.bytes).is_some_and(|datagram| is(&datagram.kind))
        });
        if !sends.is_empty() {
            return sends;
        }
    }
    panic!("nothing of that kind was sent");
}

/// Delivers a candidate's datagrams and all answers between it and these peers; other datagrams are lost.
fn exchange_datagrams(
    elections: &mut [LeaderElection],
    candidate: PeerId,
    with: &[PeerId],
    first: Vec<Transmit>,
    now: Micros,
) {
    let mut in_flight: Vec<(PeerId, Transmit)> =
        first.into_iter().map(|send| (candidate, send)).collect();
    while !in_flight.is_empty() {
        for (from, send) in std::mem::take(&mut in_flight) {
            let (to, mut sends) = (send.to, Vec::new());
            if (from == candidate && with.contains(&to))
                || (to == candidate && with.contains(&from))
            {
                elections[to as usize].on_datagram(now, &send.bytes, &mut sends);
            }
            in_flight.extend(sends.into_iter().map(|send| (to, send)));
        }
    }
}

#[test]
fn a_late_release_of_an_earlier_epoch_does_not_free_a_later_one() {
    let settings = |name| ElectionSettings {
        names: vec![0, 1, 2, 3, 4],
        name,
        lease: 3_000_000,
        unix_ms: 1,
    };
    let mut elections: Vec<LeaderElection> = (0..5)
        .map(|name| LeaderElection::new(0, settings(name), u64::from(name)))
        .collect();
    let mut now = 4_000_000;
    let prepares = |kind: &wire::Kind| matches!(kind, wire::Kind::Prepare { .. });
    let releases = |kind: &wire::Kind| matches!(kind, wire::Kind::Release { .. });
    let asks = |kind: &wire::Kind| matches!(kind, wire::Kind::Ask { .. });

    // All promise, and all votes but one are lost.
    let first = next_datagrams(&mut elections[0], &mut now, prepares);
    let mut answers = Vec::new();
    for send in &first {
        elections[send.to as usize].on_datagram(now, &send.bytes, &mut answers);
    }
    let mut requests = Vec::new();
    for answer in answers {
        elections[0].on_datagram(now, &answer.bytes, &mut requests);
    }
    requests.extend(next_datagrams(&mut elections[0], &mut now, asks));
    exchange_datagrams(&mut elections, 0, &[1], requests, now);
    let late = next_datagrams(&mut elections[0], &mut now, releases);
    // It campaigns again, and three of five vote for it.
    let second = next_datagrams(&mut elections[0], &mut now, prepares);
    exchange_datagrams(&mut elections, 0, &[1, 2], second, now);
    assert!(elections[0].epoch(now).is_some());
    // The release of the earlier epoch arrives only now, and another candidate campaigns.
    elections[1].on_datagram(now, &late[0].bytes, &mut Vec::new());
    now += 10_000;
    let third = next_datagrams(&mut elections[3], &mut now, prepares);
    exchange_datagrams(&mut elections, 3, &[1, 4], third, now);
    let leaders: Vec<usize> = (0..5)
        .filter(|name| elections[*name].epoch(now).is_some())
        .collect();
    assert_eq!(leaders, [0], "at {now}");
}

#[test]
fn a_voter_with_a_fast_clock_outwaits_the_lease_of_a_leader_with_a_slow_clock() {
    for lease in [500_000, LEASE, 3_000_000, 60_000_000] {
        let on_fast = (lease as f64 * FAST as f64 / SLOW as f64).ceil() as Micros;
        assert!(
            longer(lease) >= on_fast,
            "{lease}: {} is sooner than {on_fast}",
            longer(lease)
        );
    }
}

// Orders of events against which the rules do not protect: operators have to exclude them, see `docs/ownership.md`.

#[test]
fn a_gateway_restarted_with_an_outdated_peer_set_may_elect_a_second_leader() {
    const OPENING: &[Opening] = &[
        Opening::Step(Step::ChangePeerSet(1)),
        Opening::Step(Step::StartCampaign(1)),
        Opening::DeliverRequest(1, 2),
        Opening::DeliverRequest(1, 3),
        Opening::DeliverVote(2, 1),
        Opening::DeliverVote(3, 1),
        Opening::Step(Step::Restart(2)),
    ];
    assert_violated(
        ONE_LEADER,
        Cluster {
            reconfigured: &[1],
            restarts: 1,
            opening: OPENING,
            requests: 2,
            ..CHANGING_PEER_SET
        },
        8,
    );
}

#[test]
fn a_majority_of_new_peers_that_all_start_at_once_may_elect_a_second_leader() {
    const OPENING: &[Opening] = &[
        Opening::Step(Step::StartCampaign(0)),
        Opening::DeliverRequest(0, 2),
        Opening::DeliverVote(2, 0),
        Opening::Step(Step::ChangePeerSet(1)),
        Opening::Step(Step::Restart(1)),
    ];
    let cluster = Cluster {
        reconfigured: &[1],
        restarts: 1,
        opening: OPENING,
        requests: 2,
        ..CHANGING_PEER_SET
    };
    assert_violated(
        ONE_LEADER,
        Cluster {
            clocks: &[0, 0, 0, 1],
            candidates: &[3],
            ..cluster
        },
        8,
    );
}

#[test]
fn an_epoch_may_be_used_twice_after_a_restart_with_the_clock_set_back() {
    let cluster = Cluster {
        restarts: 1,
        opening: LEADER_ELECTED,
        clocks: &[0, 0, 0],
        strict: true,
        ..CALM
    };
    assert_violated(EPOCHS_UNIQUE, cluster, 6);
}

#[test]
fn an_act_sent_before_a_release_may_take_effect_under_the_next_leader() {
    assert_violated(
        ACTS_UNDER_ONE_LEADER,
        Cluster {
            ticks: 0,
            strict: true,
            ..WITH_ACTS
        },
        11,
    );
}
