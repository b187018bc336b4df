use super::*;
use crate::scenario::Scenario;
use State::{Closed, Elsewhere, First, Kept, OtherDoor, Shared};

const A: u64 = 7;
const B: u64 = 8;

/// What happens at a backend: connections are numbered as they come up.
#[derive(Clone)]
enum Step {
    Open(usize),
    Close(Connection),
    /// At this time, on this connection, from this customer: what becomes of its state.
    Runs(Millis, Connection, u64, Option<State>),
    /// The same by a customer who needs none.
    Other(Millis, Connection, u64),
    Forget,
}
use Step::{Close, Forget, Open, Other, Runs};

fn follow(kind: Kind, per_door: bool, steps: &[Step], name: &str) {
    let need = Need {
        kind,
        run_gap_ms: 100.0,
        per_door,
    };
    let mut book = Book::default();
    for (at, step) in steps.iter().enumerate() {
        match *step {
            Open(door) => drop(book.opened(door)),
            Close(connection) => book.closed(connection),
            Runs(now, on, customer, state) => {
                assert_eq!(
                    book.runs(now, on, customer, need),
                    state,
                    "{name}, step {at}"
                );
            }
            Other(now, on, customer) => {
                let need = Need {
                    kind: Kind::Statement,
                    ..need
                };
                assert_eq!(
                    book.runs(now, on, customer, need),
                    None,
                    "{name}, step {at}"
                );
            }
            Forget => book.forget(),
        }
    }
}

#[test]
fn state_is_kept_on_its_own_connection_and_lost_otherwise() {
    let (transaction, session) = (Kind::Transaction, Kind::Session);
    for kind in [transaction, session] {
        let begun = |more: Vec<Step>| {
            [
                vec![Open(0), Open(0), Open(1), Runs(0.0, 1, A, Some(First))],
                more,
            ]
            .concat()
        };
        for (name, more) in [
            (
                "the same again",
                vec![Runs(50.0, 1, A, Some(Kept)), Runs(100.0, 1, A, Some(Kept))],
            ),
            (
                "another connection",
                vec![
                    Runs(50.0, 2, A, Some(Elsewhere)),
                    Runs(60.0, 2, A, Some(Kept)),
                ],
            ),
            (
                "back again",
                vec![
                    Runs(50.0, 2, A, Some(Elsewhere)),
                    Runs(60.0, 1, A, Some(Elsewhere)),
                ],
            ),
            (
                "another door",
                vec![
                    Runs(50.0, 3, A, Some(OtherDoor)),
                    Runs(60.0, 3, A, Some(Kept)),
                ],
            ),
            (
                "another's use",
                vec![
                    Other(10.0, 1, B),
                    Runs(50.0, 1, A, Some(Shared)),
                    Runs(60.0, 1, A, Some(Kept)),
                ],
            ),
            (
                "another bound one's use",
                vec![
                    Runs(10.0, 1, B, Some(First)),
                    Runs(50.0, 1, A, Some(Shared)),
                ],
            ),
            (
                "another's use elsewhere",
                vec![Other(10.0, 2, B), Runs(50.0, 1, A, Some(Kept))],
            ),
            (
                "closed",
                vec![
                    Close(1),
                    Runs(50.0, 2, A, Some(Closed)),
                    Runs(60.0, 2, A, Some(Kept)),
                ],
            ),
            (
                "a backend that starts anew",
                vec![Close(1), Forget, Runs(50.0, 2, A, Some(First))],
            ),
            ("no such connection", vec![Close(1), Runs(50.0, 1, A, None)]),
        ] {
            follow(kind, false, &begun(more), &format!("{kind:?}: {name}"));
        }
    }
}

#[test]
fn state_for_a_run_is_over_after_the_gap_and_that_for_good_is_not() {
    let steps = |late| {
        [
            Open(0),
            Open(0),
            Runs(0.0, 1, A, Some(First)),
            Runs(100.1, 2, A, Some(late)),
        ]
    };
    follow(
        Kind::Transaction,
        false,
        &steps(First),
        "a new run needs nothing",
    );
    follow(
        Kind::Session,
        false,
        &steps(Elsewhere),
        "a session has no end",
    );
    let steps = [
        Open(0),
        Runs(0.0, 1, A, Some(First)),
        Runs(90.0, 1, A, Some(Kept)),
        Runs(180.0, 1, A, Some(Kept)),
    ];
    follow(
        Kind::Transaction,
        false,
        &steps,
        "each request makes the run last on",
    );
    follow(
        Kind::Statement,
        false,
        &[
            Open(0),
            Open(0),
            Runs(0.0, 1, A, None),
            Runs(1.0, 2, A, None),
        ],
        "needs none",
    );
}

#[test]
fn each_front_door_may_have_state_of_its_own() {
    let steps = [
        Open(0),
        Open(1),
        Runs(0.0, 1, A, Some(First)),
        Runs(10.0, 2, A, Some(First)),
        Runs(20.0, 1, A, Some(Kept)),
        Runs(30.0, 2, A, Some(Kept)),
        Other(40.0, 2, B),
        Runs(50.0, 1, A, Some(Kept)),
        Runs(60.0, 2, A, Some(Shared)),
    ];
    follow(Kind::Session, true, &steps, "per door");
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "not split by step yet: docs/ROADMAP.md, Readable code"
)]
fn figures_tell_breaks_by_cause_and_what_connections_of_their_own_would_leave() {
    let scenario = Scenario::shipped("sessions")
        .expect("it ships")
        .expect("it makes sense");
    let facts = scenario.facts(1);
    let plan = facts
        .plans
        .iter()
        .position(|plan| plan.name == "lone")
        .expect("a plan of a session");
    let mut entries = Vec::new();
    let mut tell = |ms: u64, event| {
        entries.push(Entry {
            us: ms * 1000,
            event,
        });
    };
    tell(
        900,
        Event::Connections {
            backend: 0,
            open: 99,
        },
    );
    // Each request: front door, state, and how it ended for its client.
    for (n, (door, state, ending)) in [
        (0, First, Ending::Served),
        (0, Kept, Ending::Served),
        (0, Shared, Ending::Failed),
        (1, OtherDoor, Ending::Failed),
        (1, Elsewhere, Ending::Served),
        (1, Kept, Ending::Failed),
        (1, Kept, Ending::Refused),
        (0, First, Ending::Served),
    ]
    .into_iter()
    .enumerate()
    {
        let (id, at) = (format!("{n}"), 1000 + n as u64);
        if n == 7 {
            tell(
                at,
                Event::Backend {
                    backend: 0,
                    state: "restart".into(),
                },
            );
        }
        let (customer, class) = (A, 0);
        tell(
            at,
            Event::Sent {
                id: id.clone(),
                customer,
                plan,
                class,
                units: 1,
                door,
                due: 0,
                retry: false,
            },
        );
        tell(
            at,
            Event::State {
                id: id.clone(),
                backend: 0,
                door,
                customer,
                plan,
                connection: 1,
                state,
            },
        );
        tell(
            at,
            Event::Ended {
                id,
                door,
                ending,
                status: 0,
            },
        );
    }
    for (ms, backend, open) in [(2000, 0, 4), (2003, 1, 6), (3001, 0, 8), (3002, 1, 12)] {
        tell(ms, Event::Connections { backend, open });
    }
    let found = bound(&facts, &entries).expect("somebody is bound");
    let Fared {
        requests,
        refused,
        failed,
        failed_by_break,
        needed,
        breaks,
        ..
    } = found.plans[plan];
    assert_eq!(
        (requests, refused, failed, failed_by_break, needed, breaks),
        (8, 1, 3, 2, 6, 3)
    );
    let causes: Vec<(State, usize)> = found.plans[plan].by_cause.clone().into_iter().collect();
    assert_eq!(causes, [(Shared, 1), (Elsewhere, 1), (OtherDoor, 1)]);
    let Fared {
        breaks_if_private,
        private_connections,
        ..
    } = found.plans[plan];
    assert_eq!(
        (breaks_if_private, private_connections),
        (1, 2),
        "only that of the other door is left"
    );
    assert_eq!((found.connections_mean, found.connections_most), (15.0, 20));
    let none = Scenario::shipped("calm")
        .expect("it ships")
        .expect("it makes sense")
        .facts(1);
    assert_eq!(bound(&none, &entries), None, "nobody is bound there");
}
