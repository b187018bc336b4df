//! A model check of ownership: gateways that ask for leadership, grant it, stop between any two instructions and start anew
//! from nothing, while what they send is lost, doubled and late by any time, and while the peer set changes. The model
//! runs the very functions that safety rests on: `LeaseVoter`, `CollectedVotes` and `PeerConfiguration`.
//!
//! What is simpler here than in `LeaderElection`, each time towards more orders of events rather than fewer:
//! * a candidate goes on to ask for grants whether or not a majority has promised;
//! * nobody learns of a epoch from the head of a datagram, no gateway steps down for a later epoch, and nobody waits for the
//!   view: all of that only makes gateways refuse more;
//! * what is sent stays under way for good, so that it may come never, late and again.
//!
//! The rule at the receiver of an act (`LeaderElection::admit`) and the stamp that goes with it (`LeaderElection::stamp`) are stated
//! here once more, as an leadership holds a random generator and is too large to be a part of a state.
//!
//! Clocks: each gateway has its own zero. The first gateway's clock is slow by a hundredth and all others are fast by one, the
//! most that is assumed. The lease is two of the slow gateway's ticks, so that what a fast granter waits is two ticks too:
//! there is no slack in which a fault could hide.

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

/// What a slow and a fast clock advance by in a tick of the model.
const SLOW: Micros = 990_000;
const FAST: Micros = 1_010_000;
/// A little less than two ticks of the slow clock, so that a granter's word lasts for two of the fast one.
const LEASE: Micros = 2 * SLOW - 1000;
/// When the model begins: all gateways were started at 0 and are past their quiet time.
const BEGIN: u8 = 3;

type Names = &'static [PeerId];

/// Pieces that are taken out, to see that the check finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    /// The lease counts from the answer.
    QuestionTime,
    /// A gateway that starts anew grants at once.
    Quiet,
    /// The receiver of an act does not look at its epoch.
    Epoch,
    /// Nor at its deadline.
    Deadline,
    /// It looks at neither.
    FencingToken,
    /// While the peer set changes the new one alone is won.
    Joint,
    /// A granter does not remember a change that it granted under.
    Bars,
    /// Each answer counts, however many a name has sent.
    Once,
    /// Two processes of one name are one holder.
    Lives,
    /// What is given back late takes a later epoch's grant with it, as `LeaseVoter::release` does by itself.
    ReleasedTerm,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Act {
    epoch: u64,
    to_incarnation: u64,
    until: Micros,
    /// For the check alone: the tick at which the lease is over that was looked at.
    over: u8,
}

/// ConfigurationReport peer sets with an order, to be kept in a set.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Rostered(ConfigurationReport);

impl Debug for Rostered {
    fn fmt(&self, to: &mut Formatter<'_>) -> std::fmt::Result {
        let ConfigurationReport { base, changes, .. } = self.0;
        write!(
            to,
            "{}{changes} changes",
            if base.is_some() { "two, " } else { "" }
        )
    }
}

impl Ord for Rostered {
    fn cmp(&self, other: &Self) -> Ordering {
        let key = |told: ConfigurationReport| {
            (
                told.now,
                told.base,
                told.retired,
                told.changes,
                told.seasoned,
            )
        };
        key(self.0).cmp(&key(other.0))
    }
}

impl PartialOrd for Rostered {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Kind {
    Prepare {
        epoch: u64,
    },
    Ask {
        number: u8,
        epoch: u64,
    },
    Grant {
        number: u8,
        to_incarnation: u64,
        tick: Micros,
    },
    Release {
        epoch: u64,
    },
    Act(Act),
}

/// Between processes, by their place; the place says the name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Message {
    from: usize,
    to: usize,
    incarnation: u64,
    peer_sets: Rostered,
    kind: Kind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    Idle,
    Preparing(u64),
    Asking(u64),
    Holding(u64),
    /// It has given leadership back and takes no part.
    Hushed,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Door {
    incarnation: u64,
    granter: LeaseVoter,
    peer_sets: PeerConfiguration,
    held: CollectedVotes,
    /// Answers of any one, for the proof that each name counts once.
    answers: usize,
    until: Micros,
    stage: Stage,
    number: u8,
    /// Questions that may still be answered: to whom, its number, and when it was asked.
    asked: BTreeMap<(usize, u8), Micros>,
    /// The highest epoch that it asked for, or that its wall clock begins with.
    hint: u64,
    /// Lives and clocks of others, and when they were heard.
    heard: BTreeMap<usize, (u64, Micros, Micros)>,
    fence: (u64, Option<PeerId>),
    /// It has looked at its lease and is about to act.
    checked: Option<(usize, Act)>,
}

/// For the check alone: a epoch that was held, and by whose grants.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Term {
    epoch: u64,
    holder: LeaseHolder,
    granters: BTreeSet<(usize, u64)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    tick: u8,
    gateways: Vec<Arc<Door>>,
    under_way: BTreeSet<Message>,
    terms: Vec<Term>,
    restarts: u8,
    acts: u8,
    /// An act was carried out; was refused; took effect after its lease; behind a later epoch.
    accepted: bool,
    refused: bool,
    late: bool,
    behind: bool,
    /// One took effect while another one owned.
    given: bool,
}

impl State {
    fn gateway(&mut self, process: usize) -> &mut Door {
        Arc::make_mut(&mut self.gateways[process])
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    /// A gateway begins to ask who would grant.
    Begin(usize),
    /// It asks for grants.
    Ask(usize),
    /// A leader, or one that was not answered, asks anew.
    AskAgain(usize),
    GiveUp(usize),
    Leave(usize),
    Restart(usize),
    /// Its file names the new peer set.
    Set(usize),
    /// A leader looks at its lease before an act; and acts, however much later.
    Check(usize, usize),
    Act(usize),
    Deliver(Message),
}

/// What comes before all that is tried.
#[derive(Debug, Clone, Copy)]
enum Opening {
    Step(Step),
    /// A question of the first comes to the second, or the answer.
    Asked(usize, usize),
    Answered(usize, usize),
}

/// The first gateway owns by the third one's grant.
const OWNED: &[Opening] = &[
    Opening::Step(Step::Begin(0)),
    Opening::Asked(0, 2),
    Opening::Answered(2, 0),
];

const OWNED_BY_PROMISES: &[Opening] = &[
    Opening::Step(Step::Begin(0)),
    Opening::Step(Step::Ask(0)),
    Opening::Asked(0, 2),
    Opening::Answered(2, 0),
];

/// One cluster and the bounds of what is followed.
#[derive(Debug, Clone, Copy)]
struct Fleet {
    /// The name of each process.
    processes: Names,
    peer_sets: [Names; 2],
    /// Processes whose file names the new peer set from the start.
    fresh: &'static [usize],
    /// Processes whose file is changed while they run.
    told: &'static [usize],
    opening: &'static [Opening],
    candidates: &'static [usize],
    /// The epochs that their wall clocks begin with, which may be wrong in any way.
    clocks: &'static [u64],
    /// The last tick, the last epoch, and the most questions of one process.
    ticks: u8,
    epochs: u64,
    questions: u8,
    restarts: u8,
    acts: u8,
    /// Whether who asks for grants asks for promises first.
    prepares: bool,
    gives_up: bool,
    leaves: bool,
    /// A file that names the new peer set may name the old one again.
    back: bool,
    /// Whether more is asked for than the rules promise.
    strict: bool,
    without: Without,
}

const THREE: Fleet = Fleet {
    processes: &[0, 1, 2],
    peer_sets: [&[0, 1, 2], &[0, 1, 2]],
    fresh: &[],
    told: &[],
    opening: &[],
    candidates: &[0, 1],
    clocks: &[0, 1, 0],
    ticks: 4,
    epochs: 3,
    questions: 2,
    restarts: 0,
    acts: 0,
    prepares: false,
    gives_up: false,
    leaves: false,
    back: false,
    strict: false,
    without: Without::Nothing,
};

fn clock(process: usize, tick: u8) -> Micros {
    let rate = if process == 0 { SLOW } else { FAST };
    (process as Micros + 1) * 1_000_000_000 + rate * Micros::from(tick)
}

/// The tick at which a process's clock reaches this.
fn tick_of(process: usize, at: Micros) -> u8 {
    (0..=u8::MAX)
        .find(|tick| clock(process, *tick) >= at)
        .unwrap_or(u8::MAX)
}

impl Fleet {
    fn holder(&self, process: usize, incarnation: u64) -> LeaseHolder {
        let incarnation = if self.without == Without::Lives {
            0
        } else {
            100 * process as u64 + incarnation
        };
        LeaseHolder {
            name: self.processes[process],
            incarnation,
        }
    }

    fn fresh_gateway(&self, process: usize, tick: u8, incarnation: u64, names: Names) -> Door {
        let born = if self.without == Without::Quiet {
            0
        } else {
            tick
        };
        Door {
            incarnation,
            granter: LeaseVoter::new(clock(process, born), LEASE),
            peer_sets: PeerConfiguration::new(names.to_vec()),
            held: CollectedVotes::default(),
            answers: 0,
            until: 0,
            stage: Stage::Idle,
            number: 0,
            asked: BTreeMap::new(),
            hint: self.clocks[process],
            heard: BTreeMap::new(),
            fence: (0, None),
            checked: None,
        }
    }

    fn question(&self, process: usize, gateway: &Door, epoch: u64) -> VoteRequest {
        let holder = self.holder(process, gateway.incarnation);
        VoteRequest {
            holder,
            epoch,
            lease: LEASE,
            peer_sets: gateway.peer_sets.told(),
        }
    }

    /// The end of the lease, by the rules or without one of them.
    fn until(&self, gateway: &Door) -> Micros {
        let held = &gateway.held;
        match self.without {
            Without::Joint => {
                let now = gateway
                    .peer_sets
                    .each()
                    .last()
                    .and_then(|bound| bound.names.clone());
                held.until(&PeerConfiguration::new(now.unwrap_or_default()))
            }
            Without::Once if gateway.answers > gateway.peer_sets.names().len() / 2 => {
                let has = gateway
                    .peer_sets
                    .names()
                    .into_iter()
                    .find(|name| held.has(*name));
                has.map_or(0, |name| held.until(&PeerConfiguration::new(vec![name])))
            }
            _ => held.until(&gateway.peer_sets),
        }
    }

    fn sends(&self, state: &mut State, from: usize, to: usize, kind: Kind) {
        let gateway = &state.gateways[from];
        let peer_sets = Rostered(gateway.peer_sets.told());
        state.under_way.insert(Message {
            from,
            to,
            incarnation: gateway.incarnation,
            peer_sets,
            kind,
        });
    }

    /// All processes of other names in any of its peer sets.
    fn others(&self, gateway: &Door, process: usize) -> Vec<usize> {
        let names = gateway.peer_sets.names();
        let other = |to: &usize| {
            names.contains(&self.processes[*to]) && self.processes[*to] != self.processes[process]
        };
        (0..self.processes.len()).filter(other).collect()
    }

    fn asks(&self, state: &mut State, process: usize, epoch: u64) {
        let now = clock(process, state.tick);
        let others = self.others(&state.gateways[process], process);
        let gateway = state.gateway(process);
        gateway.number += 1;
        let number = gateway.number;
        gateway
            .asked
            .extend(others.iter().map(|to| ((*to, number), now)));
        for to in others {
            self.sends(state, process, to, Kind::Ask { number, epoch });
        }
    }

    fn asks_for_grants(&self, state: &mut State, process: usize) {
        let Stage::Preparing(epoch) = state.gateways[process].stage else {
            return;
        };
        state.gateway(process).stage = Stage::Asking(epoch);
        self.asks(state, process, epoch);
        self.grants_itself(state, process, epoch);
        self.looks_at_lease(state, process);
    }

    fn grants_itself(&self, state: &mut State, process: usize, epoch: u64) {
        let now = clock(process, state.tick);
        let gateway = state.gateway(process);
        let question = self.question(process, gateway, epoch);
        if gateway
            .granter
            .grant(now, &question, &mut gateway.peer_sets)
            .is_ok()
        {
            gateway.held.granted(question.holder.name, now, LEASE);
            if matches!(gateway.stage, Stage::Asking(_)) {
                gateway.answers += 1;
            }
        }
    }

    /// A majority of each peer set has granted, or not yet.
    fn looks_at_lease(&self, state: &mut State, process: usize) {
        let now = clock(process, state.tick);
        let incarnation_of: Vec<u64> = state
            .gateways
            .iter()
            .map(|gateway| gateway.incarnation)
            .collect();
        let gateway = state.gateway(process);
        let (Stage::Asking(epoch) | Stage::Holding(epoch)) = gateway.stage else {
            return;
        };
        let until = self.until(gateway);
        if now >= until {
            return;
        }
        gateway.until = gateway.until.max(until);
        gateway.peer_sets.won();
        if matches!(gateway.stage, Stage::Asking(_)) {
            gateway.stage = Stage::Holding(epoch);
            gateway.fence = (epoch, Some(self.processes[process]));
            let granters =
                (0..incarnation_of.len()).filter(|by| gateway.held.has(self.processes[*by]));
            let granters = granters.map(|by| (by, incarnation_of[by])).collect();
            let holder = LeaseHolder {
                incarnation: gateway.incarnation,
                name: process as PeerId,
            };
            state.terms.push(Term {
                epoch,
                holder,
                granters,
            });
        }
    }

    /// What was granted to one that counted other peer sets says nothing for these.
    fn rebinds(&self, state: &mut State, process: usize, before: ConfigurationReport) {
        let gateway = state.gateway(process);
        let after = gateway.peer_sets.told();
        let same = (before.now, before.base) == (after.now, after.base);
        if same || before.now == after.now && after.base.is_none() {
            return;
        }
        match gateway.stage {
            Stage::Preparing(_) | Stage::Asking(_) => self.gives_up(state, process),
            Stage::Holding(_) => {
                gateway.held = CollectedVotes::default();
                gateway.asked.clear();
            }
            Stage::Idle | Stage::Hushed => {}
        }
    }

    fn gives_up(&self, state: &mut State, process: usize) {
        if let Stage::Asking(epoch) = state.gateways[process].stage {
            for to in self.others(&state.gateways[process], process) {
                if state.gateways[process].held.has(self.processes[to]) {
                    self.sends(state, process, to, Kind::Release { epoch });
                }
            }
            let holder = self.holder(process, state.gateways[process].incarnation);
            state.gateway(process).granter.release(holder, epoch);
        }
        let gateway = state.gateway(process);
        (gateway.stage, gateway.until, gateway.held, gateway.answers) =
            (Stage::Idle, 0, CollectedVotes::default(), 0);
        gateway.asked.clear();
    }

    fn hears(&self, state: &mut State, message: Message) {
        let Message {
            from,
            to,
            incarnation,
            peer_sets,
            kind,
        } = message;
        let now = clock(to, state.tick);
        if state.gateways[to].stage == Stage::Hushed {
            return;
        }
        let before = state.gateways[to].peer_sets.told();
        if self.without != Without::Joint {
            state.gateway(to).peer_sets.hear(peer_sets.0);
        }
        self.rebinds(state, to, before);
        let holder = self.holder(from, incarnation);
        let gateway = state.gateway(to);
        match kind {
            Kind::Prepare { epoch } => {
                let question = VoteRequest {
                    holder,
                    epoch,
                    lease: LEASE,
                    peer_sets: peer_sets.0,
                };
                let _ = gateway.granter.promise(now, &question, &gateway.peer_sets);
            }
            Kind::Ask { number, epoch } => {
                let question = VoteRequest {
                    holder,
                    epoch,
                    lease: LEASE,
                    peer_sets: peer_sets.0,
                };
                let bars = self.without != Without::Bars;
                let mut peer_sets = gateway.peer_sets.clone();
                let granted = gateway
                    .granter
                    .grant(now, &question, &mut peer_sets)
                    .is_ok();
                if bars {
                    gateway.peer_sets = peer_sets;
                }
                if granted {
                    self.sends(
                        state,
                        to,
                        from,
                        Kind::Grant {
                            number,
                            to_incarnation: incarnation,
                            tick: now,
                        },
                    );
                }
            }
            Kind::Grant {
                number,
                to_incarnation,
                tick,
            } => {
                let open = matches!(gateway.stage, Stage::Asking(_) | Stage::Holding(_));
                let question = if self.without == Without::Once {
                    gateway.asked.get(&(from, number)).copied()
                } else {
                    gateway.asked.remove(&(from, number))
                };
                let (true, true, Some(asked)) =
                    (open, to_incarnation == gateway.incarnation, question)
                else {
                    return;
                };
                let asked = if self.without == Without::QuestionTime {
                    now
                } else {
                    asked
                };
                if self.acts > 0 {
                    let known = gateway.heard.entry(from).or_default();
                    if known.0 != incarnation || tick >= known.1 {
                        *known = (incarnation, tick, now);
                    }
                }
                gateway.held.granted(self.processes[from], asked, LEASE);
                gateway.answers += usize::from(self.without == Without::Once);
                if let Stage::Holding(epoch) = gateway.stage {
                    if let Some(term) = state
                        .terms
                        .iter_mut()
                        .find(|t| t.epoch == epoch && t.holder.name == to as PeerId)
                    {
                        term.granters.insert((from, incarnation));
                    }
                    self.grants_itself(state, to, epoch);
                }
                self.looks_at_lease(state, to);
            }
            Kind::Release { epoch } => {
                let whatever = self.without == Without::ReleasedTerm;
                gateway
                    .granter
                    .release(holder, if whatever { u64::MAX } else { epoch });
            }
            Kind::Act(act) => {
                let (known, of) = gateway.fence;
                let name = self.processes[from];
                let looks_at_epoch =
                    !matches!(self.without, Without::Epoch | Without::FencingToken);
                let looks_at_time =
                    !matches!(self.without, Without::Deadline | Without::FencingToken);
                // As `LeaderElection::admit` has it.
                let old =
                    act.epoch < known || act.epoch == known && of.is_some_and(|of| of != name);
                if act.to_incarnation != gateway.incarnation
                    || looks_at_epoch && old
                    || looks_at_time && now >= act.until
                {
                    state.refused = true;
                    return;
                }
                state.accepted = true;
                state.behind |= old;
                state.given |= self.holding(state).iter().any(|holder| *holder != from);
                state.late |= state.tick >= act.over;
                let gateway = state.gateway(to);
                gateway.fence = gateway.fence.max((act.epoch, Some(name)));
            }
        }
    }

    fn opens(&self, state: &State, opening: Opening) -> State {
        let comes = |from: usize, to: usize, is: fn(Kind) -> bool| {
            let fits = |m: &&Message| (m.from, m.to) == (from, to) && is(m.kind);
            Step::Deliver(
                *state
                    .under_way
                    .iter()
                    .rev()
                    .find(fits)
                    .expect("such a message"),
            )
        };
        let step = match opening {
            Opening::Step(step) => step,
            Opening::Asked(from, to) => comes(from, to, |kind| matches!(kind, Kind::Ask { .. })),
            Opening::Answered(from, to) => {
                comes(from, to, |kind| matches!(kind, Kind::Grant { .. }))
            }
        };
        self.next_state(state, step)
            .expect("a step that changes something")
    }

    /// Who holds leadership at this instant, by its own belief.
    fn holding(&self, state: &State) -> Vec<usize> {
        let holds = |process: &usize| {
            let gateway = &state.gateways[*process];
            matches!(gateway.stage, Stage::Holding(_))
                && clock(*process, state.tick) < gateway.until
        };
        (0..state.gateways.len()).filter(holds).collect()
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let names = |process: usize| self.peer_sets[usize::from(self.fresh.contains(&process))];
        let gateways = (0..self.processes.len())
            .map(|process| Arc::new(self.fresh_gateway(process, 0, 1, names(process))));
        let state = State {
            tick: BEGIN,
            gateways: gateways.collect(),
            under_way: BTreeSet::new(),
            terms: Vec::new(),
            restarts: 0,
            acts: 0,
            accepted: false,
            refused: false,
            late: false,
            behind: false,
            given: false,
        };
        let opened = self
            .opening
            .iter()
            .fold(state, |state, opening| self.opens(&state, *opening));
        vec![opened]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.tick < BEGIN + self.ticks {
            steps.push(Step::Tick);
        }
        for (n, gateway) in state.gateways.iter().enumerate() {
            let over = clock(n, state.tick) >= gateway.until;
            match gateway.stage {
                Stage::Idle if self.candidates.contains(&n) => steps.push(Step::Begin(n)),
                Stage::Holding(_) if over && self.candidates.contains(&n) => {
                    steps.push(Step::Begin(n))
                }
                Stage::Preparing(_) => steps.push(Step::Ask(n)),
                _ => {}
            }
            if matches!(gateway.stage, Stage::Holding(_)) && gateway.number < self.questions {
                steps.push(Step::AskAgain(n));
            }
            if self.gives_up && matches!(gateway.stage, Stage::Asking(_)) {
                steps.push(Step::GiveUp(n));
            }
            if matches!(gateway.stage, Stage::Holding(_)) && !over {
                if self.leaves {
                    steps.push(Step::Leave(n));
                }
                if state.acts < self.acts && gateway.checked.is_none() {
                    steps.extend(gateway.heard.keys().map(|to| Step::Check(n, *to)));
                }
            }
            if gateway.checked.is_some() {
                steps.push(Step::Act(n));
            }
            if state.restarts < self.restarts {
                steps.push(Step::Restart(n));
            }
            if self.told.contains(&n) {
                steps.push(Step::Set(n));
            }
        }
        steps.extend(state.under_way.iter().copied().map(Step::Deliver));
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        let mut next = state.clone();
        match step {
            Step::Tick => next.tick += 1,
            Step::Begin(n) => {
                let now = clock(n, state.tick);
                let gateway = next.gateway(n);
                let epoch = gateway
                    .hint
                    .max(gateway.granter.highest())
                    .max(gateway.fence.0)
                    + 1;
                let question = self.question(n, gateway, epoch);
                if epoch > self.epochs
                    || gateway
                        .granter
                        .promise(now, &question, &gateway.peer_sets)
                        .is_err()
                {
                    return None;
                }
                (gateway.stage, gateway.until, gateway.held, gateway.answers) =
                    (Stage::Preparing(epoch), 0, CollectedVotes::default(), 0);
                (gateway.hint, gateway.asked) = (epoch, BTreeMap::new());
                if self.prepares {
                    for to in self.others(&state.gateways[n], n) {
                        self.sends(&mut next, n, to, Kind::Prepare { epoch });
                    }
                } else {
                    self.asks_for_grants(&mut next, n);
                }
            }
            Step::Ask(n) => self.asks_for_grants(&mut next, n),
            Step::AskAgain(n) => {
                let (Stage::Asking(epoch) | Stage::Holding(epoch)) = state.gateways[n].stage else {
                    return None;
                };
                self.asks(&mut next, n, epoch);
            }
            Step::GiveUp(n) => self.gives_up(&mut next, n),
            Step::Leave(n) => {
                let Stage::Holding(epoch) = state.gateways[n].stage else {
                    return None;
                };
                for to in self.others(&state.gateways[n], n) {
                    self.sends(&mut next, n, to, Kind::Release { epoch });
                }
                (next.gateway(n).stage, next.gateway(n).until) = (Stage::Hushed, 0);
                next.gateway(n).asked.clear();
            }
            Step::Restart(n) => {
                let changed = self.told.contains(&n)
                    && state.gateways[n].peer_sets.told().now
                        != PeerConfiguration::new(self.peer_sets[0].to_vec())
                            .told()
                            .now;
                let names = self.peer_sets[usize::from(changed || self.fresh.contains(&n))];
                next.gateways[n] = Arc::new(self.fresh_gateway(
                    n,
                    state.tick,
                    state.gateways[n].incarnation + 1,
                    names,
                ));
                next.restarts += 1;
            }
            Step::Set(n) => {
                let before = state.gateways[n].peer_sets.told();
                next.gateway(n).peer_sets.set(self.peer_sets[1].to_vec());
                if next.gateways[n].peer_sets.told().now == before.now {
                    if !self.back {
                        return None;
                    }
                    next.gateway(n).peer_sets.set(self.peer_sets[0].to_vec());
                }
                if self.without == Without::Joint {
                    next.gateway(n).peer_sets = PeerConfiguration::new(self.peer_sets[1].to_vec());
                }
                self.rebinds(&mut next, n, before);
            }
            Step::Check(n, to) => {
                let gateway = next.gateway(n);
                let Stage::Holding(epoch) = gateway.stage else {
                    return None;
                };
                let (to_incarnation, tick, heard) = *gateway.heard.get(&to)?;
                // As `LeaderElection::stamp` has it.
                let until = tick + shorter(gateway.until.saturating_sub(heard));
                gateway.checked = Some((
                    to,
                    Act {
                        epoch,
                        to_incarnation,
                        until,
                        over: tick_of(n, gateway.until),
                    },
                ));
                next.acts += 1;
            }
            Step::Act(n) => {
                let (to, act) = next.gateway(n).checked.take()?;
                self.sends(&mut next, n, to, Kind::Act(act));
            }
            Step::Deliver(message) => self.hears(&mut next, message),
        }
        // An answer to a question that is not open any more is never looked at, and a question behind what was promised
        // is always refused by a gateway that does not start anew.
        let lasts = next.restarts == self.restarts;
        let State {
            gateways,
            under_way,
            ..
        } = &mut next;
        under_way.retain(|message| match message.kind {
            Kind::Grant {
                number,
                to_incarnation,
                ..
            } => {
                let asker = &gateways[message.to];
                asker.incarnation == to_incarnation
                    && asker.asked.contains_key(&(message.from, number))
            }
            Kind::Prepare { epoch } | Kind::Ask { epoch, .. } => {
                let to = &gateways[message.to];
                !(lasts && to.granter.highest() > epoch)
            }
            _ => true,
        });
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let mut properties = vec![
            Property::always(ONE, |cluster: &Fleet, state: &State| {
                cluster.holding(state).len() < 2
            }),
            Property::always(IN_TIME, |_: &Fleet, state: &State| !state.late),
            Property::always(IN_ORDER, |_: &Fleet, state: &State| !state.behind),
            Property::always(ONE_EACH, |_: &Fleet, state: &State| {
                pairs(state).all(|(one, other)| one.epoch != other.epoch || !shares(one, other))
            }),
            Property::always(GROWS, |_: &Fleet, state: &State| {
                pairs(state).all(|(one, other)| one.epoch < other.epoch || !shares(one, other))
            }),
            Property::sometimes(NEXT, |cluster: &Fleet, state: &State| {
                let second = state.terms.len() > 1
                    && state.terms[0].holder.name != state.terms[1].holder.name;
                second && !cluster.holding(state).is_empty()
            }),
            Property::sometimes(ACTS, |cluster: &Fleet, state: &State| {
                cluster.acts == 0 || state.accepted
            }),
            Property::sometimes(REFUSES, |cluster: &Fleet, state: &State| {
                cluster.acts == 0 || state.refused
            }),
            Property::sometimes(CHANGED, |cluster: &Fleet, state: &State| {
                let over = |gateway: &Arc<Door>| {
                    !gateway.peer_sets.is_changing() && gateway.peer_sets.told().retired.is_some()
                };
                cluster.told.is_empty() || state.gateways.iter().any(over)
            }),
        ];
        if self.strict {
            properties.push(Property::always(UNLIKE, |_: &Fleet, state: &State| {
                pairs(state).all(|(one, other)| one.epoch != other.epoch)
            }));
            properties.push(Property::always(APART, |_: &Fleet, state: &State| {
                !state.given
            }));
        }
        properties
    }
}

const ONE: &str = "no two hold the office at one instant";
const IN_TIME: &str = "no act takes effect after its lease";
const IN_ORDER: &str = "no act takes effect behind a later term that its receiver knows";
const ONE_EACH: &str = "no term is given twice by a door that lives";
const GROWS: &str = "terms grow from holder to holder";
/// These two hold only with more than the rules have: see the last tests.
const UNLIKE: &str = "no two ever hold one term";
const APART: &str = "no act takes effect while another one owns";
const NEXT: &str = "a second owner after the first";
const ACTS: &str = "an act is carried out";
const REFUSES: &str = "an act is refused";
const CHANGED: &str = "a change of the roster is over";

/// Each earlier and later epoch.
fn pairs(state: &State) -> impl Iterator<Item = (&Term, &Term)> {
    let later = |n: usize| state.terms[n + 1..].iter();
    state
        .terms
        .iter()
        .enumerate()
        .flat_map(move |(n, one)| later(n).map(move |other| (one, other)))
}

/// Whether a process granted both and did not start anew between.
fn shares(one: &Term, other: &Term) -> bool {
    !one.granters.is_disjoint(&other.granters)
}

fn check(what: &str, cluster: Fleet, depth: usize, until: HasDiscoveries) -> impl Checker<Fleet> {
    // One thread: only then all orders of so many steps are seen, the shortest first. Several checks go on side by side.
    let began = Instant::now();
    let builder = cluster
        .checker()
        .threads(1)
        .target_max_depth(depth + 2)
        .finish_when(until);
    let checker = builder.spawn_bfs().join();
    let (states, unlike) = (checker.state_count(), checker.unique_state_count());
    // Where the states end before the steps do, all that can be reached within the bounds was seen.
    let all = if checker.max_depth() <= depth {
        "all"
    } else {
        "cut"
    };
    let (steps, took) = (depth.min(checker.max_depth()), began.elapsed());
    println!("{what}: {steps} steps ({all}), {states} states, {unlike} unlike, {took:.1?}");
    checker
}

/// All orders of so many steps keep the rules, and none of what makes that worth something is missing.
fn holds(what: &str, cluster: Fleet, depth: usize, least: usize) {
    let checker = check(what, cluster, depth, HasDiscoveries::AnyFailures);
    for rule in [ONE, IN_TIME, IN_ORDER, ONE_EACH, GROWS] {
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

/// The check finds a way to what a rule forbids: without the piece that it rests on, or beyond what is promised.
fn finds(rule: &'static str, cluster: Fleet, depth: usize) {
    let what = format!("without {:?}", cluster.without);
    let checker = check(&what, cluster, depth, HasDiscoveries::AnyOf([rule].into()));
    let path = checker
        .discovery(rule)
        .expect("a counter-example")
        .into_actions();
    println!("  {rule}, in {} steps: {path:?}", path.len());
}

const CALM: Fleet = Fleet {
    ticks: 2,
    epochs: 2,
    questions: 1,
    ..THREE
};

#[test]
fn two_candidates_never_hold_the_election_at_one_instant() {
    holds("two candidates", Fleet { ticks: 3, ..THREE }, 12, 50_000);
    let promises = Fleet {
        prepares: true,
        epochs: 4,
        ticks: 4,
        clocks: &[0, 1, 1],
        ..CALM
    };
    holds(
        "with promises",
        Fleet {
            opening: OWNED_BY_PROMISES,
            ..promises
        },
        10,
        1_000,
    );
}

#[test]
fn gateways_that_start_from_nothing_grant_nobody_a_second_time() {
    holds(
        "restarts",
        Fleet {
            restarts: 2,
            ticks: 4,
            opening: OWNED,
            ..CALM
        },
        10,
        50_000,
    );
}

#[test]
fn acts_that_come_late_or_behind_a_later_term_change_nothing() {
    holds(
        "acts",
        Fleet {
            acts: 2,
            opening: OWNED,
            ..ACTS_TOO
        },
        10,
        1_000,
    );
}

#[test]
fn a_peers_that_changes_never_has_two_holders() {
    holds("a change", CHANGING, 10, 50_000);
    holds(
        "taken back",
        Fleet {
            back: true,
            told: &[0, 1],
            ..CHANGING
        },
        9,
        10_000,
    );
    holds(
        "after a change",
        Fleet {
            opening: CHANGED_ONCE,
            ticks: 3,
            questions: 2,
            ..CHANGING
        },
        8,
        1_000,
    );
}

#[test]
fn two_processes_of_one_name_never_hold_the_election_at_one_instant() {
    holds(
        "twins",
        Fleet {
            ticks: 3,
            epochs: 3,
            opening: OWNED_BY_THREE,
            ..TWINS
        },
        9,
        1_000,
    );
}

#[test]
fn what_is_given_back_is_free_and_nothing_else_is() {
    holds(
        "given up",
        Fleet {
            leaves: true,
            ..GIVES_UP
        },
        9,
        10_000,
    );
    holds(
        "given up late",
        Fleet {
            opening: TOO_LATE,
            leaves: true,
            ticks: 4,
            epochs: 4,
            ..GIVES_UP
        },
        10,
        1_000,
    );
}

#[test]
fn the_check_finds_a_lease_that_counts_from_the_answer() {
    finds(
        ONE,
        Fleet {
            without: Without::QuestionTime,
            ..CALM
        },
        10,
    );
}

#[test]
fn the_check_finds_a_gateway_that_grants_right_after_its_start() {
    finds(
        ONE,
        Fleet {
            without: Without::Quiet,
            restarts: 1,
            ..CALM
        },
        7,
    );
}

const ACTS_TOO: Fleet = Fleet {
    acts: 1,
    leaves: true,
    ..CALM
};

#[test]
fn the_check_finds_a_receiver_that_looks_at_no_term() {
    finds(
        IN_ORDER,
        Fleet {
            without: Without::Epoch,
            ticks: 0,
            ..ACTS_TOO
        },
        11,
    );
}

#[test]
fn the_check_finds_a_receiver_that_looks_at_no_deadline() {
    finds(
        IN_TIME,
        Fleet {
            without: Without::Deadline,
            ..ACTS_TOO
        },
        8,
    );
}

#[test]
fn the_check_finds_a_receiver_that_looks_at_neither() {
    finds(
        IN_TIME,
        Fleet {
            without: Without::FencingToken,
            ..ACTS_TOO
        },
        8,
    );
    finds(
        IN_ORDER,
        Fleet {
            without: Without::FencingToken,
            ticks: 0,
            ..ACTS_TOO
        },
        11,
    );
}

/// One of three is replaced: majorities of the old and the new peer set need not meet.
const CHANGING: Fleet = Fleet {
    processes: &[0, 1, 2, 3],
    peer_sets: [&[0, 1, 2], &[0, 1, 3]],
    fresh: &[3],
    told: &[0, 1, 2],
    clocks: &[1, 0, 0, 0],
    ..CALM
};

/// The second gateway owns by a majority of both peer sets, and the change is over.
const CHANGED_ONCE: &[Opening] = &[
    Opening::Step(Step::Set(1)),
    Opening::Step(Step::Begin(1)),
    Opening::Asked(1, 2),
    Opening::Asked(1, 3),
    Opening::Answered(2, 1),
    Opening::Answered(3, 1),
];

#[test]
fn the_check_finds_majorities_that_need_not_meet() {
    finds(
        ONE,
        Fleet {
            without: Without::Joint,
            ..CHANGING
        },
        7,
    );
}

#[test]
fn the_check_finds_a_granter_that_forgets_a_change() {
    let opening = CHANGED_ONCE;
    finds(
        ONE,
        Fleet {
            without: Without::Bars,
            told: &[1],
            opening,
            questions: 2,
            ..CHANGING
        },
        8,
    );
}

const FOUR: Fleet = Fleet {
    processes: &[0, 1, 2, 3],
    peer_sets: [&[0, 1, 2, 3], &[0, 1, 2, 3]],
    clocks: &[0, 1, 0, 0],
    ticks: 0,
    ..CALM
};

#[test]
fn the_check_finds_a_name_that_counts_with_each_answer() {
    finds(
        ONE,
        Fleet {
            without: Without::Once,
            ..FOUR
        },
        10,
    );
}

/// The first gateway owns by two others' grants.
const OWNED_BY_THREE: &[Opening] = &[
    Opening::Step(Step::Begin(0)),
    Opening::Asked(0, 2),
    Opening::Asked(0, 3),
    Opening::Answered(2, 0),
    Opening::Answered(3, 0),
];

/// The first name has two processes.
const TWINS: Fleet = Fleet {
    processes: &[0, 1, 2, 3, 0],
    clocks: &[0, 0, 0, 0, 1],
    candidates: &[0, 4],
    ..FOUR
};

#[test]
fn the_check_finds_two_processes_of_one_name_that_are_one_holder() {
    finds(
        ONE,
        Fleet {
            without: Without::Lives,
            ..TWINS
        },
        10,
    );
}

const GIVES_UP: Fleet = Fleet {
    gives_up: true,
    epochs: 3,
    questions: 2,
    clocks: &[0, 2, 0],
    ..CALM
};

/// The first gateway's grant came too late.
const TOO_LATE: &[Opening] = &[
    Opening::Step(Step::Begin(0)),
    Opening::Asked(0, 2),
    Opening::Step(Step::Tick),
    Opening::Step(Step::Tick),
    Opening::Answered(2, 0),
];

#[test]
fn the_check_finds_a_late_release_that_takes_a_later_term_with_it() {
    finds(
        ONE,
        Fleet {
            without: Without::ReleasedTerm,
            opening: TOO_LATE,
            ..GIVES_UP
        },
        8,
    );
}

/// What an leadership sends when it is woken next for one of these.
fn sends(
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

/// The asking gateway's questions and all that follows from them, between it and these alone; the rest is lost.
fn talks(
    election_transmits: &mut [LeaderElection],
    asker: PeerId,
    with: &[PeerId],
    first: Vec<Transmit>,
    now: Micros,
) {
    let mut under_way: Vec<(PeerId, Transmit)> =
        first.into_iter().map(|send| (asker, send)).collect();
    while !under_way.is_empty() {
        for (from, send) in std::mem::take(&mut under_way) {
            let (to, mut sends) = (send.to, Vec::new());
            if (from == asker && with.contains(&to)) || (to == asker && with.contains(&from)) {
                election_transmits[to as usize].on_datagram(now, &send.bytes, &mut sends);
            }
            under_way.extend(sends.into_iter().map(|send| (to, send)));
        }
    }
}

#[test]
fn a_late_release_of_an_earlier_term_does_not_free_a_later_one() {
    let settings = |name| ElectionSettings {
        names: vec![0, 1, 2, 3, 4],
        name,
        lease: 3_000_000,
        unix_ms: 1,
    };
    let mut election_transmits: Vec<LeaderElection> = (0..5)
        .map(|name| LeaderElection::new(0, settings(name), u64::from(name)))
        .collect();
    let mut now = 4_000_000;
    let prepares = |kind: &wire::Kind| matches!(kind, wire::Kind::Prepare { .. });
    let releases = |kind: &wire::Kind| matches!(kind, wire::Kind::Release { .. });
    let asks = |kind: &wire::Kind| matches!(kind, wire::Kind::Ask { .. });

    // All promise, and the grants of all but one are lost.
    let first = sends(&mut election_transmits[0], &mut now, prepares);
    let mut answers = Vec::new();
    for send in &first {
        election_transmits[send.to as usize].on_datagram(now, &send.bytes, &mut answers);
    }
    let mut questions = Vec::new();
    for answer in answers {
        election_transmits[0].on_datagram(now, &answer.bytes, &mut questions);
    }
    questions.extend(sends(&mut election_transmits[0], &mut now, asks));
    talks(&mut election_transmits, 0, &[1], questions, now);
    let late = sends(&mut election_transmits[0], &mut now, releases);
    // It asks once more, and three of five grant.
    let second = sends(&mut election_transmits[0], &mut now, prepares);
    talks(&mut election_transmits, 0, &[1, 2], second, now);
    assert!(election_transmits[0].epoch(now).is_some());
    // What it gave back before that comes only now, and another one asks.
    election_transmits[1].on_datagram(now, &late[0].bytes, &mut Vec::new());
    now += 10_000;
    let third = sends(&mut election_transmits[3], &mut now, prepares);
    talks(&mut election_transmits, 3, &[1, 4], third, now);
    let leaders: Vec<usize> = (0..5)
        .filter(|name| election_transmits[*name].epoch(now).is_some())
        .collect();
    assert_eq!(leaders, [0], "at {now}");
}

#[test]
fn a_granter_with_a_fast_clock_waits_out_the_lease_of_a_holder_with_a_slow_one() {
    for lease in [500_000, LEASE, 3_000_000, 60_000_000] {
        let on_fast = (lease as f64 * FAST as f64 / SLOW as f64).ceil() as Micros;
        assert!(
            longer(lease) >= on_fast,
            "{lease}: {} is sooner than {on_fast}",
            longer(lease)
        );
    }
}

// What the rules do not promise: each of these orders of events is to be kept out by those who run the gateways, or is
// said in the page.

#[test]
fn a_gateway_that_restarts_with_the_peers_of_before_a_change_may_elect_a_second_leader() {
    const OPENING: &[Opening] = &[
        Opening::Step(Step::Set(1)),
        Opening::Step(Step::Begin(1)),
        Opening::Asked(1, 2),
        Opening::Asked(1, 3),
        Opening::Answered(2, 1),
        Opening::Answered(3, 1),
        Opening::Step(Step::Restart(2)),
    ];
    finds(
        ONE,
        Fleet {
            told: &[1],
            restarts: 1,
            opening: OPENING,
            questions: 2,
            ..CHANGING
        },
        8,
    );
}

#[test]
fn a_majority_of_the_new_peers_that_all_start_from_nothing_may_elect_a_second_leader() {
    const OPENING: &[Opening] = &[
        Opening::Step(Step::Begin(0)),
        Opening::Asked(0, 2),
        Opening::Answered(2, 0),
        Opening::Step(Step::Set(1)),
        Opening::Step(Step::Restart(1)),
    ];
    let cluster = Fleet {
        told: &[1],
        restarts: 1,
        opening: OPENING,
        questions: 2,
        ..CHANGING
    };
    finds(
        ONE,
        Fleet {
            clocks: &[0, 0, 0, 1],
            candidates: &[3],
            ..cluster
        },
        8,
    );
}

#[test]
fn a_term_may_be_held_twice_where_the_granter_of_both_forgot_between_and_clocks_were_set_back() {
    let cluster = Fleet {
        restarts: 1,
        opening: OWNED,
        clocks: &[0, 0, 0],
        strict: true,
        ..CALM
    };
    finds(UNLIKE, cluster, 6);
}

#[test]
fn an_act_of_before_the_election_was_given_back_may_take_effect_under_the_next_leader() {
    finds(
        APART,
        Fleet {
            ticks: 0,
            strict: true,
            ..ACTS_TOO
        },
        11,
    );
}
