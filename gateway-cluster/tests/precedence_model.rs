//! Model check of the precedence of membership updates: one gateway that is killed and restarted, two observers of it, and
//! messages between them that are lost, duplicated and delayed by any time. The model runs the functions that the
//! membership protocol uses (`gateway_cluster::precedence`).

use gateway_cluster::precedence::{
    action_on_self_update, apply_update, precedence_of, started_at_ms, with_next_refutation,
    KnownUpdate, Precedence, SelfUpdateAction,
};
use gateway_cluster::wire::{Incarnation, UpdateStatus};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// Maximum number of processes of the gateway. The wall clock of each may be set back behind the earlier ones.
const MAX_PROCESSES: usize = 3;
/// Maximum number of refutations that are explored.
const MAX_REFUTATIONS: u64 = 3;
/// Maximum number of messages in flight.
const MAX_IN_FLIGHT: usize = 3;

/// The running process of the gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Process {
    own: Incarnation,
    recently_started: bool,
    superseded: bool,
}

/// The state of the gateway at one of the two observers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Observer {
    known: KnownUpdate,
    suspected: bool,
    /// The highest incarnation that it ever knew, to check that the known one never decreases.
    highest: Incarnation,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Recipient {
    Gateway,
    Observer(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Message {
    to: Recipient,
    incarnation: Incarnation,
    /// 0 alive, 1 suspect, 2 dead.
    status: u8,
}

impl Message {
    fn status(self) -> UpdateStatus {
        [
            UpdateStatus::Alive,
            UpdateStatus::Suspect(0),
            UpdateStatus::Dead,
        ][usize::from(self.status)]
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    process: Option<Process>,
    /// Number of processes that were started.
    started: usize,
    observers: [Observer; 2],
    in_flight: BTreeSet<Message>,
    /// The only process was superseded by a verdict.
    superseded_by_verdict: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Action {
    /// A new process starts, with a wall clock ahead of or behind all earlier ones.
    Start {
        back: bool,
    },
    Kill,
    /// The process is no longer recently started.
    Age,
    /// The gateway announces that it is alive.
    Announce(usize),
    /// An observer suspects the gateway, and declares it dead after that.
    Suspect(usize),
    Verdict(usize),
    /// An observer sends its state to the gateway or to the other observer.
    Gossip(usize, Recipient),
    /// An observer adopts from the other one, which was unreachable, that the gateway is alive.
    Vouch(usize),
    /// A message arrives; it may arrive again.
    Deliver(Message),
    Lose(Message),
}

#[derive(Clone, Copy)]
struct Rules {
    /// A wrong rule, to prove that the check can fail: any update of a later process supersedes a gateway.
    superseded_by_verdicts: bool,
    /// A wrong rule: an older process overrides a later one.
    accepts_older: bool,
}

fn incarnation_of(clock: u64) -> Incarnation {
    clock << 16
}

impl Rules {
    fn on_update(&self, observer: &mut Observer, message: Message) {
        let status = message.status();
        let later = matches!(
            precedence_of(observer.known, message.incarnation),
            Precedence::Newer { .. }
        );
        let equal = precedence_of(observer.known, message.incarnation) == Precedence::Equal;
        let before = observer.known;
        observer.known = apply_update(observer.known, message.incarnation, status);
        if self.accepts_older
            && started_at_ms(message.incarnation) < started_at_ms(before.incarnation)
        {
            observer.known = KnownUpdate {
                incarnation: message.incarnation,
                dead: false,
            };
        }
        if later {
            observer.suspected = false;
        }
        if (later || equal) && !observer.known.dead && status != UpdateStatus::Alive {
            // A reported death is a suspicion first, and a verdict only after that.
            observer.suspected = true;
        }
        observer.highest = observer.highest.max(observer.known.incarnation);
    }

    fn on_update_about_self(&self, process: &mut Process, message: Message) {
        let Process {
            own,
            recently_started,
            superseded,
        } = *process;
        let own = action_on_self_update(
            own,
            recently_started,
            superseded,
            message.incarnation,
            message.status(),
        );
        let own = match own {
            SelfUpdateAction::Refute(_)
                if self.superseded_by_verdicts && !process.recently_started =>
            {
                if started_at_ms(message.incarnation) > started_at_ms(process.own) {
                    SelfUpdateAction::Superseded
                } else {
                    own
                }
            }
            own => own,
        };
        match own {
            SelfUpdateAction::Ignore => {}
            SelfUpdateAction::Adopt(incarnation) => process.own = incarnation,
            SelfUpdateAction::Refute(incarnation) => {
                (process.own, process.superseded) = (incarnation, false);
            }
            SelfUpdateAction::Superseded => process.superseded = true,
            SelfUpdateAction::Resume => process.superseded = false,
        }
    }
}

/// Whether the verdict of an observer ends within one exchange without loss: it sends the verdict to the gateway, and the
/// gateway answers.
fn is_refutable(rules: &Rules, process: Process, observer: Observer) -> bool {
    let (mut process, mut observer) = (process, observer);
    let verdict = Message {
        to: Recipient::Gateway,
        incarnation: observer.known.incarnation,
        status: 2,
    };
    rules.on_update_about_self(&mut process, verdict);
    let refutation = Message {
        to: Recipient::Observer(0),
        incarnation: process.own,
        status: 0,
    };
    if !process.superseded {
        rules.on_update(&mut observer, refutation);
    }
    !observer.known.dead
}

impl Model for Rules {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let observer = Observer {
            known: KnownUpdate {
                incarnation: 0,
                dead: false,
            },
            suspected: false,
            highest: 0,
        };
        let (process, in_flight) = (None, BTreeSet::new());
        vec![State {
            process,
            started: 0,
            observers: [observer; 2],
            in_flight,
            superseded_by_verdict: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        match state.process {
            None if state.started < MAX_PROCESSES => {
                actions.extend([Action::Start { back: false }, Action::Start { back: true }]);
            }
            None => {}
            Some(process) => {
                actions.push(Action::Kill);
                if process.recently_started {
                    actions.push(Action::Age);
                }
                if !process.superseded {
                    actions.extend([Action::Announce(0), Action::Announce(1)]);
                }
            }
        }
        for (n, observer) in state.observers.iter().enumerate() {
            if !observer.known.dead && !observer.suspected {
                actions.push(Action::Suspect(n));
            }
            if !observer.known.dead && observer.suspected {
                actions.push(Action::Verdict(n));
            }
            actions.extend([
                Action::Gossip(n, Recipient::Gateway),
                Action::Gossip(n, Recipient::Observer(1 - n)),
            ]);
            let third = state.observers[1 - n];
            if observer.known.dead && !third.known.dead && !third.suspected {
                actions.push(Action::Vouch(n));
            }
        }
        for message in &state.in_flight {
            actions.extend([Action::Deliver(*message), Action::Lose(*message)]);
        }
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        let mut send = None;
        match action {
            Action::Start { back } => {
                // Clocks that were set back are behind all others, each by a different time.
                let clock = if back {
                    10 - state.started as u64
                } else {
                    20 + state.started as u64
                };
                next.started += 1;
                let own = incarnation_of(clock);
                next.process = Some(Process {
                    own,
                    recently_started: true,
                    superseded: false,
                });
            }
            Action::Kill => next.process = None,
            Action::Age => next.process.as_mut()?.recently_started = false,
            Action::Announce(n) => {
                send = Some(Message {
                    to: Recipient::Observer(n),
                    incarnation: state.process?.own,
                    status: 0,
                });
            }
            Action::Suspect(n) => next.observers[n].suspected = true,
            Action::Verdict(n) => {
                (next.observers[n].known.dead, next.observers[n].suspected) = (true, false);
            }
            Action::Gossip(n, to) => {
                let Observer {
                    known, suspected, ..
                } = state.observers[n];
                let status = if known.dead { 2 } else { u8::from(suspected) };
                send = Some(Message {
                    to,
                    incarnation: known.incarnation,
                    status,
                });
            }
            Action::Vouch(n) => {
                let observer = &mut next.observers[n];
                observer.known = KnownUpdate {
                    incarnation: with_next_refutation(observer.known.incarnation),
                    dead: false,
                };
                observer.highest = observer.highest.max(observer.known.incarnation);
            }
            Action::Deliver(message) => match message.to {
                Recipient::Gateway => {
                    if let Some(process) = &mut next.process {
                        self.on_update_about_self(process, message);
                        next.superseded_by_verdict |= process.superseded && message.status != 0;
                    }
                }
                Recipient::Observer(n) => self.on_update(&mut next.observers[n], message),
            },
            Action::Lose(message) => drop(next.in_flight.remove(&message)),
        }
        if let Some(message) = send {
            next.in_flight.insert(message);
        }
        (next != *state).then_some(next)
    }

    fn within_boundary(&self, state: &State) -> bool {
        let incarnations = state
            .observers
            .iter()
            .map(|observer| observer.known.incarnation);
        let own = state.process.map(|process| process.own);
        incarnations
            .chain(own)
            .all(|incarnation| incarnation & 0xffff <= MAX_REFUTATIONS)
            && state.in_flight.len() <= MAX_IN_FLIGHT
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no older incarnation overrides a newer one",
                |_: &Rules, state: &State| {
                    state
                        .observers
                        .iter()
                        .all(|observer| observer.known.incarnation == observer.highest)
                },
            ),
            Property::always(
                "each verdict on a running gateway can be refuted",
                |rules: &Rules, state: &State| {
                    let dead = state
                        .observers
                        .iter()
                        .filter(|observer| observer.known.dead);
                    state.process.is_none_or(|process| {
                        dead.clone()
                            .all(|observer| is_refutable(rules, process, *observer))
                    })
                },
            ),
            Property::always(
                "no verdict supersedes a process",
                |_: &Rules, state: &State| !state.superseded_by_verdict,
            ),
            Property::sometimes(
                "a restarted process whose clock was set back is alive",
                |_: &Rules, state: &State| {
                    let is_alive_everywhere = |process: Process| {
                        let is_alive_here = |observer: &Observer| {
                            !observer.known.dead && observer.known.incarnation == process.own
                        };
                        state.started > 1 && state.observers.iter().all(is_alive_here)
                    };
                    state.process.is_some_and(is_alive_everywhere)
                },
            ),
        ]
    }
}

/// Explores all states that are reachable in this number of steps.
fn check(rules: Rules, depth: usize) -> impl Checker<Rules> {
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    rules
        .checker()
        .threads(threads)
        .target_max_depth(depth)
        .spawn_bfs()
        .join()
}

/// Maximum number of steps.
const DEPTH: usize = 13;

const ACTUAL_RULES: Rules = Rules {
    superseded_by_verdicts: false,
    accepts_older: false,
};

#[test]
fn no_order_of_events_lets_an_older_incarnation_win_or_makes_a_verdict_final() {
    let checker = check(ACTUAL_RULES, DEPTH);
    println!(
        "depth {}, {} states, {} of them unique",
        checker.max_depth(),
        checker.state_count(),
        checker.unique_state_count()
    );
    checker.assert_properties();
    assert!(
        checker.unique_state_count() > 100_000,
        "{} states",
        checker.unique_state_count()
    );
}

#[test]
fn the_model_rejects_a_rule_that_accepts_an_older_incarnation() {
    let checker = check(
        Rules {
            accepts_older: true,
            ..ACTUAL_RULES
        },
        DEPTH,
    );
    assert!(checker
        .discovery("no older incarnation overrides a newer one")
        .is_some());
}

#[test]
fn the_model_rejects_a_rule_that_makes_a_verdict_final() {
    let checker = check(
        Rules {
            superseded_by_verdicts: true,
            ..ACTUAL_RULES
        },
        DEPTH,
    );
    assert!(checker
        .discovery("each verdict on a running gateway can be refuted")
        .is_some());
}
