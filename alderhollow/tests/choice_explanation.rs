//! `status --choice`: the explanation matches the actual selection and does not affect it.

mod balance_support;

use alderhollow::balance::{Explanation, Prompt, Verdict};
use alderhollow::placement::ledger::Ledger;
use alderhollow::placement::message::{
    AttemptId, Demand, End, Event, PlaceRequest, Placement, Report,
};
use alderhollow::status::message::{ChoiceReport, Request};
use alderhollow_model::backend::BackendState;
use alderhollow_model::identity::Incarnation;
use balance_support::{selection_request, Tables, ENGINES, PLAIN, ZONES};
use proptest::prelude::*;

const SENDER: Incarnation = Incarnation(1);
const SECOND_SENDER: Incarnation = Incarnation(2);
/// The random component of the cost: the selected backend may cost up to this much more than the cheapest.
const NOISE_MS: f64 = 0.5;

fn tables(backends: usize) -> Tables {
    Tables::new(ENGINES, backends * ZONES.len(), 4)
}

fn ledger(tables: &Tables) -> Ledger {
    let mut ledger = Ledger::new("placer", ZONES[0], 7);
    ledger.update(0.0, &tables.snapshot(0.0));
    ledger
}

fn demand(tokens_in: u32, priority: u32) -> Demand {
    let prompt = Prompt {
        parts: Vec::new(),
        tokens_in,
        tokens_out: 300,
    };
    let demand = Demand::of(&selection_request(ENGINES, Some(&prompt)), Vec::new())
        .expect("it has a prompt");
    Demand { priority, ..demand }
}

fn place(ledger: &mut Ledger, now: f64, number: u64, demand: &Demand) -> Placement {
    place_for(SENDER, ledger, now, number, demand)
}

fn place_for(
    sender: Incarnation,
    ledger: &mut Ledger,
    now: f64,
    number: u64,
    demand: &Demand,
) -> Placement {
    let attempt = AttemptId { sender, number };
    ledger.place(
        now,
        &PlaceRequest {
            attempt,
            demand: demand.clone(),
        },
    )
}

fn explain(ledger: &mut Ledger, now: f64, demand: &Demand) -> Explanation {
    ledger.explain(now, demand).expect("the zone has backends")
}

#[test]
fn interference_with_a_running_stream_is_the_decisive_component() {
    let mut ledger = ledger(&tables(2));
    let Placement::At {
        backend: with_stream,
        ..
    } = place(&mut ledger, 0.0, 1, &demand(100, 0))
    else {
        panic!("no backend");
    };
    ledger.apply_report(
        20.0,
        &Report::Events {
            sender: SENDER,
            events: vec![Event::ResponseStarted(1)],
        },
    );
    let explanation = explain(&mut ledger, 30.0, &demand(80_000, 0));
    let chosen = explanation.chosen().expect("a backend is eligible");
    assert_ne!(chosen.backend, with_stream);
    assert_eq!(explanation.decisive_component(), Some("disturbance"));
}

#[test]
fn every_backend_is_listed_with_its_verdict() {
    let mut tables = tables(4);
    let ids: Vec<String> = tables
        .backends
        .iter()
        .filter(|b| b.zone == ZONES[0])
        .map(|b| b.id.clone())
        .collect();
    let draining = tables
        .backends
        .iter_mut()
        .find(|backend| backend.id == ids[0])
        .expect("it is listed");
    draining.state = BackendState::Draining;
    let mut ledger = ledger(&tables);
    let only = |id: &String| {
        ids.iter()
            .filter(|other| *other != id)
            .cloned()
            .collect::<Vec<_>>()
    };
    // The second backend refuses a connection of two senders, and the third is filled with batch items.
    let at_second = Demand {
        excluded_backends: only(&ids[1]),
        ..demand(100, 0)
    };
    for sender in [SENDER, SECOND_SENDER] {
        assert!(matches!(
            place_for(sender, &mut ledger, 0.0, 1, &at_second),
            Placement::At { .. }
        ));
        let refused = Event::Ended(1, End::NoConnection);
        ledger.apply_report(
            1.0,
            &Report::Events {
                sender,
                events: vec![refused],
            },
        );
    }
    let at_third = Demand {
        excluded_backends: only(&ids[2]),
        ..demand(10, 2)
    };
    (10..100).for_each(|number| drop(place(&mut ledger, 2.0, number, &at_third)));
    let explanation = explain(&mut ledger, 3.0, &demand(10, 2));
    let verdict = |id: &String| {
        let candidate = explanation
            .candidates
            .iter()
            .find(|candidate| candidate.backend == *id);
        candidate.expect("each backend is listed").verdict
    };
    assert_eq!(explanation.candidates.len(), ids.len());
    assert_eq!(verdict(&ids[0]), Verdict::Withdrawn);
    assert!(
        matches!(verdict(&ids[1]), Verdict::Unhealthy { .. }),
        "{:?}",
        verdict(&ids[1])
    );
    assert!(
        matches!(verdict(&ids[2]), Verdict::Full { .. }),
        "{:?}",
        verdict(&ids[2])
    );
    assert_eq!(verdict(&ids[3]), Verdict::Open);
    assert_eq!(
        explanation.chosen().map(|chosen| &chosen.backend),
        Some(&ids[3])
    );
}

#[test]
fn a_service_without_backends_has_no_explanation() {
    let mut ledger = ledger(&tables(1));
    assert_eq!(
        ledger.explain(
            0.0,
            &Demand {
                service: "nobody".to_string(),
                ..demand(10, 0)
            }
        ),
        None
    );
}

#[test]
fn a_sender_explains_plain_services_by_its_in_flight_load() {
    let mut balancer = Tables::new(PLAIN, 2, 1).balancer("node-0", ZONES[0], 0.0);
    let busy = balancer
        .choose(0.0, &selection_request(PLAIN, None))
        .expect("one is open")
        .backend
        .id
        .clone();
    let explanation = balancer
        .explain(1.0, &selection_request(PLAIN, None))
        .expect("it has backends");
    let cost_at = |is_busy: bool| {
        let found = explanation
            .candidates
            .iter()
            .find(|candidate| (candidate.backend == busy) == is_busy);
        found.expect("both backends are listed").cost.queue_ms
    };
    assert!(cost_at(true) > cost_at(false), "{explanation:?}");
}

#[test]
fn the_text_contains_the_choice_and_all_cost_components() {
    let mut ledger = ledger(&tables(2));
    place(&mut ledger, 0.0, 1, &demand(100, 0));
    ledger.apply_report(
        20.0,
        &Report::Events {
            sender: SENDER,
            events: vec![Event::ResponseStarted(1)],
        },
    );
    let as_placer = ledger.explain(30.0, &demand(80_000, 0));
    insta::assert_snapshot!(ChoiceReport {
        as_placer,
        as_sender: None
    });
}

#[test]
fn request_and_response_round_trip() {
    let request = Request::Choice(demand(5, 2));
    let decoded: Request =
        minicbor::decode(&minicbor::to_vec(&request).expect("encoding succeeds"))
            .expect("decoding succeeds");
    assert_eq!(decoded, request);
    let mut ledger = ledger(&tables(3));
    let report = ChoiceReport {
        as_placer: ledger.explain(0.0, &demand(5, 2)),
        as_sender: None,
    };
    let decoded: ChoiceReport =
        minicbor::decode(&minicbor::to_vec(&report).expect("encoding succeeds"))
            .expect("decoding succeeds");
    assert_eq!(decoded, report);
}

/// Steps at a placer: the tokens of a prompt, its priority, and whether the attempt ends immediately.
fn steps() -> impl Strategy<Value = Vec<(u32, u32, bool)>> {
    prop::collection::vec((1u32..40_000, 0u32..3, any::<bool>()), 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    /// For any load, the explained backend is the selected one, up to the random component of the cost, and explaining
    /// does not affect later selections.
    #[test]
    fn the_explanation_matches_the_selection(steps in steps()) {
        let tables = tables(5);
        let (mut explained, mut unexplained) = (ledger(&tables), ledger(&tables));
        for (number, (tokens, priority, ends)) in steps.into_iter().enumerate() {
            let (now, number) = (number as f64 * 7.0, number as u64 + 1);
            let demand = demand(tokens, priority);
            let explanation = explain(&mut explained, now, &demand);
            let placed = place(&mut explained, now, number, &demand);
            prop_assert_eq!(&placed, &place(&mut unexplained, now, number, &demand));
            match placed {
                Placement::At { backend, .. } => {
                    let best = explanation.chosen().expect("a backend is eligible").cost.total();
                    let taken = explanation.candidates.iter().find(|candidate| candidate.backend == backend);
                    let taken = taken.expect("it is a candidate");
                    prop_assert!(taken.verdict == Verdict::Open);
                    prop_assert!(taken.cost.total() <= best + NOISE_MS, "{:?}", taken);
                }
                _ => prop_assert!(explanation.chosen().is_none(), "{:?}", explanation),
            }
            if ends {
                let report = Report::Events { sender: SENDER, events: vec![Event::Ended(number, End::Served)] };
                explained.apply_report(now + 5.0, &report);
                unexplained.apply_report(now + 5.0, &report);
            }
        }
    }

    /// Arbitrary bytes are decoded or rejected without a panic.
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = minicbor::decode::<Request>(&bytes);
        let _ = minicbor::decode::<ChoiceReport>(&bytes);
    }
}
