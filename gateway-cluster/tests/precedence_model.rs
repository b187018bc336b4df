//! A model check of the order of claims: one gateway that is killed and starts anew from nothing, two others that hold
//! views of it, and messages between them that are lost, doubled and late by any time. The model runs the very
//! functions that the view goes by (`gateway_cluster::rules`).

use gateway_cluster::precedence::{
    action_on_self_update, apply_update, precedence_of, started_at_ms, with_next_refutation,
    KnownUpdate, Precedence, SelfUpdateAction,
};
use gateway_cluster::wire::{Incarnation, UpdateStatus};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// Lives that the gateway may have, by their wall clock: the second may be set back behind the first.
const LIVES: usize = 3;
/// Refutations that are told apart: what would go beyond is not followed.
const REFUTED: u64 = 3;
/// Messages under way at a time.
const UNDER_WAY: usize = 3;

/// The process of the gateway, if one runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Process {
    own: Incarnation,
    recently_started: bool,
    superseded: bool,
}

/// What one of the two others holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Other {
    known: KnownUpdate,
    doubted: bool,
    /// The highest incarnation that it ever held, to see that it goes back never.
    highest: Incarnation,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum To {
    Door,
    Other(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Message {
    to: To,
    incarnation: Incarnation,
    /// 0 alive, 1 doubted, 2 dead.
    claim: u8,
}

impl Message {
    fn claim(self) -> UpdateStatus {
        [
            UpdateStatus::Alive,
            UpdateStatus::Suspect(0),
            UpdateStatus::Dead,
        ][usize::from(self.claim)]
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PeerState {
    process: Option<Process>,
    /// Lives that were begun, and the wall clock of the highest.
    begun: usize,
    others: [Other; 2],
    under_way: BTreeSet<Message>,
    /// A process fell silent though it was the only one.
    wronged: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Act {
    /// A new life, its wall clock ahead of all before it or behind them.
    Start {
        back: bool,
    },
    Kill,
    /// The gateway is no more young.
    Age,
    /// The gateway says that it lives.
    Speak(usize),
    /// One of the others doubts it, or holds it for gone after that.
    Doubt(usize),
    Verdict(usize),
    /// One of the others tells the gateway, or the other one, what it holds.
    Tell(usize, To),
    /// It believes the other one, which was out of reach, that the gateway lives.
    Believe(usize),
    /// A message comes; it may come again.
    Deliver(Message),
    Lose(Message),
}

#[derive(Clone, Copy)]
struct Order {
    /// For the proof that the check can fail: claims of a higher life silence a gateway whatever they say.
    silenced_by_verdicts: bool,
    /// For the same: an older life is taken for a later one.
    takes_older: bool,
}

fn incarnation_of(clock: u64) -> Incarnation {
    clock << 16
}

impl Order {
    fn hear(&self, other: &mut Other, message: Message) {
        let claim = message.claim();
        let later = matches!(
            precedence_of(other.known, message.incarnation),
            Precedence::Newer { .. }
        );
        let equal = precedence_of(other.known, message.incarnation) == Precedence::Equal;
        let before = other.known;
        other.known = apply_update(other.known, message.incarnation, claim);
        if self.takes_older
            && started_at_ms(message.incarnation) < started_at_ms(before.incarnation)
        {
            other.known = KnownUpdate {
                incarnation: message.incarnation,
                dead: false,
            };
        }
        if later {
            other.doubted = false;
        }
        if (later || equal) && !other.known.dead && claim != UpdateStatus::Alive {
            // A claim of a death is a doubt here, and a verdict only after that.
            other.doubted = true;
        }
        other.highest = other.highest.max(other.known.incarnation);
    }

    fn hear_of_self(&self, process: &mut Process, message: Message) {
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
            message.claim(),
        );
        let own = match own {
            SelfUpdateAction::Refute(_)
                if self.silenced_by_verdicts && !process.recently_started =>
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
                (process.own, process.superseded) = (incarnation, false)
            }
            SelfUpdateAction::Superseded => process.superseded = true,
            SelfUpdateAction::Resume => process.superseded = false,
        }
    }
}

/// Whether a verdict that this one holds of the gateway ends within one exchange, where nothing is lost: it tells the gateway
/// what it holds, and the gateway speaks.
fn is_refutable(order: &Order, process: Process, other: Other) -> bool {
    let (mut process, mut other) = (process, other);
    let told = Message {
        to: To::Door,
        incarnation: other.known.incarnation,
        claim: 2,
    };
    order.hear_of_self(&mut process, told);
    let spoken = Message {
        to: To::Other(0),
        incarnation: process.own,
        claim: 0,
    };
    if !process.superseded {
        order.hear(&mut other, spoken);
    }
    !other.known.dead
}

impl Model for Order {
    type State = PeerState;
    type Action = Act;

    fn init_states(&self) -> Vec<PeerState> {
        let other = Other {
            known: KnownUpdate {
                incarnation: 0,
                dead: false,
            },
            doubted: false,
            highest: 0,
        };
        let (process, under_way) = (None, BTreeSet::new());
        vec![PeerState {
            process,
            begun: 0,
            others: [other; 2],
            under_way,
            wronged: false,
        }]
    }

    fn actions(&self, state: &PeerState, acts: &mut Vec<Act>) {
        match state.process {
            None if state.begun < LIVES => {
                acts.extend([Act::Start { back: false }, Act::Start { back: true }]);
            }
            None => {}
            Some(process) => {
                acts.push(Act::Kill);
                if process.recently_started {
                    acts.push(Act::Age);
                }
                if !process.superseded {
                    acts.extend([Act::Speak(0), Act::Speak(1)]);
                }
            }
        }
        for (n, other) in state.others.iter().enumerate() {
            if !other.known.dead && !other.doubted {
                acts.push(Act::Doubt(n));
            }
            if !other.known.dead && other.doubted {
                acts.push(Act::Verdict(n));
            }
            acts.extend([Act::Tell(n, To::Door), Act::Tell(n, To::Other(1 - n))]);
            let word = state.others[1 - n];
            if other.known.dead && !word.known.dead && !word.doubted {
                acts.push(Act::Believe(n));
            }
        }
        for message in &state.under_way {
            acts.extend([Act::Deliver(*message), Act::Lose(*message)]);
        }
    }

    fn next_state(&self, state: &PeerState, act: Act) -> Option<PeerState> {
        let mut next = state.clone();
        let mut send = None;
        match act {
            Act::Start { back } => {
                // Clocks of lives that were set back are behind all others, each by a different time.
                let clock = if back {
                    10 - state.begun as u64
                } else {
                    20 + state.begun as u64
                };
                next.begun += 1;
                let own = incarnation_of(clock);
                next.process = Some(Process {
                    own,
                    recently_started: true,
                    superseded: false,
                });
            }
            Act::Kill => next.process = None,
            Act::Age => next.process.as_mut()?.recently_started = false,
            Act::Speak(n) => {
                send = Some(Message {
                    to: To::Other(n),
                    incarnation: state.process?.own,
                    claim: 0,
                });
            }
            Act::Doubt(n) => next.others[n].doubted = true,
            Act::Verdict(n) => {
                (next.others[n].known.dead, next.others[n].doubted) = (true, false);
            }
            Act::Tell(n, to) => {
                let Other { known, doubted, .. } = state.others[n];
                let claim = if known.dead { 2 } else { u8::from(doubted) };
                send = Some(Message {
                    to,
                    incarnation: known.incarnation,
                    claim,
                });
            }
            Act::Believe(n) => {
                let other = &mut next.others[n];
                other.known = KnownUpdate {
                    incarnation: with_next_refutation(other.known.incarnation),
                    dead: false,
                };
                other.highest = other.highest.max(other.known.incarnation);
            }
            Act::Deliver(message) => match message.to {
                To::Door => {
                    if let Some(process) = &mut next.process {
                        self.hear_of_self(process, message);
                        next.wronged |= process.superseded && message.claim != 0;
                    }
                }
                To::Other(n) => self.hear(&mut next.others[n], message),
            },
            Act::Lose(message) => drop(next.under_way.remove(&message)),
        }
        if let Some(message) = send {
            next.under_way.insert(message);
        }
        (next != *state).then_some(next)
    }

    fn within_boundary(&self, state: &PeerState) -> bool {
        let incarnations = state.others.iter().map(|other| other.known.incarnation);
        let own = state.process.map(|process| process.own);
        incarnations
            .chain(own)
            .all(|incarnation| incarnation & 0xffff <= REFUTED)
            && state.under_way.len() <= UNDER_WAY
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no older incarnation goes before a newer one",
                |_: &Order, state: &PeerState| {
                    state
                        .others
                        .iter()
                        .all(|other| other.known.incarnation == other.highest)
                },
            ),
            Property::always(
                "each verdict on a door that lives can be refuted",
                |order: &Order, state: &PeerState| {
                    let dead = state.others.iter().filter(|other| other.known.dead);
                    state.process.is_none_or(|process| {
                        dead.clone()
                            .all(|other| is_refutable(order, process, *other))
                    })
                },
            ),
            Property::always(
                "a verdict silences no process",
                |_: &Order, state: &PeerState| !state.wronged,
            ),
            Property::sometimes(
                "a new life whose clock was set back is held for alive",
                |_: &Order, state: &PeerState| {
                    let wins = |process: Process| {
                        let lives = |other: &Other| {
                            !other.known.dead && other.known.incarnation == process.own
                        };
                        state.begun > 1 && state.others.iter().all(lives)
                    };
                    state.process.is_some_and(wins)
                },
            ),
        ]
    }
}

/// The states that can be reached in so many steps, all of them.
fn check(order: Order, depth: usize) -> impl Checker<Order> {
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    order
        .checker()
        .threads(threads)
        .target_max_depth(depth)
        .spawn_bfs()
        .join()
}

/// Steps from the beginning.
const DEPTH: usize = 13;

const AS_IT_IS: Order = Order {
    silenced_by_verdicts: false,
    takes_older: false,
};

#[test]
fn no_order_of_events_lets_an_older_life_win_or_makes_a_verdict_final() {
    let checker = check(AS_IT_IS, DEPTH);
    println!(
        "depth {}, {} states, {} of them unlike",
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
fn the_check_finds_a_rule_that_lets_an_older_life_win() {
    let checker = check(
        Order {
            takes_older: true,
            ..AS_IT_IS
        },
        DEPTH,
    );
    assert!(checker
        .discovery("no older incarnation goes before a newer one")
        .is_some());
}

#[test]
fn the_check_finds_a_rule_by_which_a_verdict_is_final() {
    let checker = check(
        Order {
            silenced_by_verdicts: true,
            ..AS_IT_IS
        },
        DEPTH,
    );
    assert!(checker
        .discovery("each verdict on a door that lives can be refuted")
        .is_some());
}
