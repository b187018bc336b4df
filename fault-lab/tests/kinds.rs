//! An emulated backend that holds state in its connections, over real sockets and without a front door.

use fault_lab::backend::{Backend, Site};
use fault_lab::ground::Ground;
use fault_lab::http::{open, Body};
use fault_lab::kinds::State;
use fault_lab::model::Meter;
use fault_lab::record::{Event, Ran, Recorder};
use fault_lab::scenario::Scenario;
use hyper::client::conn::http1::SendRequest;
use hyper::Request;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

/// Nothing here takes that long unless it fails.
const PATIENCE: Duration = Duration::from_secs(20);

/// A request: its connection, plan and customer, and what becomes of the customer's state.
type Step = (usize, &'static str, u64, Option<State>);

/// Sends these one after the other, and holds each answer against what becomes of its state.
async fn follow(on: &mut [SendRequest<Body>], steps: &[Step], wanted: &mut Vec<(String, State)>) {
    for (connection, plan, customer, state) in steps {
        let id = format!("{:016x}", 100 * customer + wanted.len() as u64);
        let request = Request::get("/balance-read")
            .header("host", "backend.local")
            .header("x-request-id", &id)
            .header("x-class", "balance-read")
            .header("plan", *plan)
            .header("cookie", format!("client={customer:016x}"))
            .body(Body::default())
            .expect("a request");
        let answer = timeout(PATIENCE, on[*connection].send_request(request))
            .await
            .expect("it takes too long");
        let want = if state.is_some_and(State::is_lost) {
            500
        } else {
            200
        };
        assert_eq!(
            answer.expect("an answer").status().as_u16(),
            want,
            "{plan} of {customer}: {state:?}"
        );
        wanted.extend(state.map(|state| (id, state)));
    }
}

#[tokio::test]
async fn state_that_is_lost_fails_the_request_and_only_the_record_says_why() {
    use State::{Closed, Elsewhere, First, Kept, OtherDoor, Shared};
    let scenario = Scenario::shipped("sessions")
        .expect("it ships")
        .expect("it makes sense");
    let facts = scenario.facts(1);
    let ground = Arc::new(Ground::claim(facts.doors).expect("a ground"));
    let (recorder, entries) = Recorder::channel();
    let meter = Mutex::new(Meter::new(1000.0, 400.0));
    let site = Arc::new(Site {
        facts,
        meter,
        recorder,
        ground: ground.clone(),
    });
    let listener = TcpListener::bind(SocketAddr::new(ground.own(), 0))
        .await
        .expect("a port");
    let place = listener.local_addr().expect("an address");
    let serving = tokio::spawn(Backend::new(0, scenario.machine(), 1, site).run(listener));
    let mut on = Vec::new();
    for door in [0, 0, 1] {
        on.push(
            open(Some(ground.door(door)), place)
                .await
                .expect("it comes up"),
        );
    }
    let mut wanted = Vec::new();
    let steps = [
        (0, "lone", 7, Some(First)),
        (0, "lone", 7, Some(Kept)),
        (1, "single", 8, None),
        (0, "lone", 7, Some(Kept)),
        (0, "single", 8, None),
        (0, "lone", 7, Some(Shared)),
        (1, "lone", 7, Some(Elsewhere)),
        (2, "lone", 7, Some(OtherDoor)),
        (0, "session", 9, Some(First)),
        (2, "session", 9, Some(First)),
        (0, "session", 9, Some(Kept)),
        (0, "transaction", 10, Some(First)),
    ];
    follow(&mut on, &steps, &mut wanted).await;
    // Its state for a run is over by then, however late this wakes.
    sleep(Duration::from_millis(700)).await;
    follow(&mut on, &[(1, "transaction", 10, Some(First))], &mut wanted).await;
    let mut events: Vec<Event> = entries.try_iter().map(|entry| entry.event).collect();
    let before = events.len();
    drop(on.remove(0));
    // The backend learns of it a moment later: the next count of the connections that stand tells.
    let counted = async {
        while !events[before..]
            .iter()
            .any(|event| matches!(event, Event::Connections { open: 2, .. }))
        {
            sleep(Duration::from_millis(20)).await;
            events.extend(entries.try_iter().map(|entry| entry.event));
        }
    };
    timeout(PATIENCE, counted)
        .await
        .expect("a connection that was closed is not counted");
    follow(&mut on, &[(0, "session", 9, Some(Closed))], &mut wanted).await;
    serving.abort();

    events.extend(entries.try_iter().map(|entry| entry.event));
    let mut states = Vec::new();
    for event in &events {
        if let Event::State { id, state, .. } = event {
            states.push((id.clone(), *state));
        }
    }
    assert_eq!(states, wanted);
    let badly = events
        .iter()
        .filter(|event| {
            matches!(
                event,
                Event::Done {
                    ran: Ran::Badly,
                    ..
                }
            )
        })
        .count();
    assert_eq!(
        badly,
        states.iter().filter(|(_, state)| state.is_lost()).count()
    );
}
