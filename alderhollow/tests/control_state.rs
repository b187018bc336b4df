//! The control state machine: retried, concurrent and invalid requests, evacuations, decommissioning, snapshots.

mod control;

use alderhollow::control_state::accepted_requests::{AcceptedRequests, MAX_ACCEPTED_REQUESTS};
use alderhollow::control_state::codec::CodecError;
use alderhollow::control_state::command::Command;
use alderhollow::control_state::request::{ConfigOrder, Order, Refusal, Request};
use alderhollow::control_state::stores::RetirementState;
use alderhollow::control_state::view::{decode_view, encode_view};
use alderhollow::control_state::ControlState;
use alderhollow_coordination::replica::interface::StateMachine;
use alderhollow_model::identity::DiskId;
use alderhollow_model::snapshot::{BatchGroup, GroupMember};
use control::{command_of, context, document, patch, put, route, store, submit, Outcome};
use proptest::prelude::*;
use serde_json::{json, Value};

fn founded() -> ControlState {
    let mut state = ControlState::default();
    assert_eq!(
        submit(&mut state, &put(0, &document(5, 0)), &context()),
        Outcome::Committed
    );
    state
}

fn statuses(state: &mut ControlState, orders: &[Order]) -> Vec<u16> {
    orders
        .iter()
        .map(|order| submit(state, order, &context()).status())
        .collect()
}

#[test]
fn the_first_configuration_is_stored_byte_for_byte() {
    let text = b"{ \"services\" : [], \"x\":1.50, \"routes\":[],\n \"config-version\":3}".to_vec();
    let order = Order::PutConfig(ConfigOrder {
        if_match: Some("0".to_string()),
        body: text.clone(),
    });
    let mut state = ControlState::default();
    assert_eq!(submit(&mut state, &order, &context()), Outcome::Committed);
    let stored = state.document().expect("a document");
    assert_eq!(stored.text().as_slice(), text.as_slice());
    assert_eq!(state.config_version(), 3);
    assert_eq!(
        state.view().config.as_deref(),
        Some(stored.config().as_ref())
    );
}

#[test]
fn a_retried_configuration_is_acknowledged_after_any_number_of_later_ones() {
    let mut state = founded();
    let first = put(5, &document(7, 1));
    assert_eq!(submit(&mut state, &first, &context()), Outcome::Committed);
    assert_eq!(submit(&mut state, &first, &context()), Outcome::AlreadyDone);
    for version in 8..40 {
        let order = put(version - 1, &document(version, version));
        assert_eq!(submit(&mut state, &order, &context()), Outcome::Committed);
    }
    let before = state.clone();
    assert_eq!(submit(&mut state, &first, &context()), Outcome::AlreadyDone);
    assert_eq!(
        submit(&mut state, &put(0, &document(5, 0)), &context()),
        Outcome::AlreadyDone
    );
    assert_eq!(state, before, "a retry changes nothing");
}

#[test]
fn a_retried_patch_is_acknowledged() {
    let mut state = founded();
    let change = patch(
        5,
        &json!({"config-version": 6, "upsert": {"routes": [route("second", "/second/", 1)]}}),
    );
    assert_eq!(submit(&mut state, &change, &context()), Outcome::Committed);
    assert_eq!(
        submit(&mut state, &change, &context()),
        Outcome::AlreadyDone
    );
    let text = state.document().expect("a document").text().clone();
    let process_views: Value = serde_json::from_slice(&text).expect("JSON");
    assert_eq!(
        process_views["routes"],
        json!([
            route("first", "/first/", 1000),
            route("second", "/second/", 1)
        ])
    );
    assert_eq!(process_views["services"], document(5, 0)["services"]);
    assert_eq!(process_views["config-version"], json!(6));
}

#[test]
fn requests_with_the_same_version_are_distinguished_by_content() {
    let mut state = founded();
    let one = put(5, &document(8, 1));
    let other = put(5, &document(8, 2));
    let third = patch(
        5,
        &json!({"config-version": 8, "delete": {"routes": ["first"]}}),
    );
    assert_eq!(
        statuses(&mut state, &[one.clone(), other.clone(), third.clone()]),
        [200, 412, 412]
    );
    assert_eq!(statuses(&mut state, &[other, one, third]), [412, 200, 412]);
    assert_eq!(
        state.document().expect("a document").config().routes[0].timeout_ms,
        Some(1001)
    );
}

#[test]
fn the_same_document_on_a_later_version_is_rejected_as_a_new_request() {
    let mut state = founded();
    assert_eq!(
        statuses(
            &mut state,
            &[put(5, &document(5, 0)), put(5, &document(4, 0))]
        ),
        [400, 400]
    );
    assert_eq!(
        submit(&mut state, &put(5, &document(9, 0)), &context()),
        Outcome::Committed
    );
    assert_eq!(
        statuses(
            &mut state,
            &[put(9, &document(9, 0)), put(9, &document(5, 0))]
        ),
        [400, 400]
    );
}

#[test]
fn a_stale_if_match_is_rejected_with_the_current_version() {
    let mut state = founded();
    let refused = submit(&mut state, &put(4, &document(9, 0)), &context());
    assert_eq!(
        refused,
        Outcome::Refused(Refusal::VersionMismatch { current: 5 })
    );
    assert_eq!(
        statuses(
            &mut state,
            &[put(6, &document(9, 0)), put(0, &document(9, 0))]
        ),
        [412, 412]
    );
}

#[test]
fn invalid_requests_are_rejected_and_change_nothing() {
    let mut state = founded();
    let before = state.clone();
    let mut unknown_service = document(9, 0);
    unknown_service["routes"][0]["service"] = json!("nobody");
    let mut same_place = document(9, 0);
    same_place["routes"]
        .as_array_mut()
        .expect("list")
        .push(route("second", "/first/", 1));
    let mut no_weight = document(9, 0);
    no_weight["routes"][0]["traffic-split"] = json!([{"service": "llm", "weight": 0}]);
    let mut no_timeout = document(9, 0);
    no_timeout["routes"][0]["timeout-ms"] = json!(0);
    let text = document(9, 0).to_string();
    let body = |if_match: Option<&str>, body: &str| {
        Order::PutConfig(ConfigOrder {
            if_match: if_match.map(str::to_string),
            body: body.into(),
        })
    };
    let orders = [
        put(5, &unknown_service),
        put(5, &same_place),
        put(5, &no_weight),
        put(5, &no_timeout),
        put(5, &document(5, 9)),
        put(5, &document(4, 9)),
        body(Some("5"), &text[..text.len() / 2]),
        body(Some("5"), ""),
        body(None, &text),
        body(Some("*"), &text),
        body(Some("five"), &text),
        patch(
            5,
            &json!({"config-version": 9, "delete": {"services": ["llm"]}}),
        ),
        patch(
            5,
            &json!({"config-version": 5, "delete": {"routes": ["first"]}}),
        ),
        patch(5, &json!({"delete": {"routes": ["first"]}})),
        patch(5, &json!([])),
    ];
    assert_eq!(statuses(&mut state, &orders), [400; 15]);
    assert_eq!(state, before);
}

#[test]
fn if_match_may_be_quoted() {
    let mut state = founded();
    let body = document(6, 0).to_string().into_bytes();
    let order = Order::PutConfig(ConfigOrder {
        if_match: Some(" \"5\" ".to_string()),
        body,
    });
    assert_eq!(submit(&mut state, &order, &context()), Outcome::Committed);
}

#[test]
fn a_command_whose_base_version_was_replaced_has_no_effect() {
    let mut state = founded();
    let request = |order| Request::Order {
        order,
        context: context(),
    };
    let one = command_of(&state, &request(put(5, &document(8, 1)))).expect("a command");
    let other = command_of(&state, &request(put(5, &document(8, 2)))).expect("a command");
    assert!(state.apply_command(one));
    let before = state.clone();
    assert!(!state.apply_command(other), "its base version was replaced");
    assert_eq!(state, before);
}

#[test]
fn evacuations_and_their_cancellations_are_idempotent() {
    let mut state = founded();
    let evacuate = |zone: &str| Order::Evacuate {
        zone: zone.to_string(),
    };
    let take_back = |zone: &str| Order::CancelEvacuation {
        zone: zone.to_string(),
    };
    let orders = [
        evacuate("north"),
        evacuate("north"),
        evacuate("nowhere"),
        take_back("south"),
    ];
    assert_eq!(statuses(&mut state, &orders), [200, 200, 404, 200]);
    assert!(state.view().evacuated.contains("north"));
    assert_eq!(
        submit(&mut state, &take_back("north"), &context()),
        Outcome::Committed
    );
    assert_eq!(
        submit(&mut state, &take_back("north"), &context()),
        Outcome::AlreadyDone
    );
    assert_eq!(
        submit(&mut state, &take_back("nowhere"), &context()).status(),
        404
    );
    assert!(state.view().evacuated.is_empty());
    assert_eq!(
        submit(&mut state, &evacuate("north"), &context()),
        Outcome::Committed
    );
}

fn member(node: &str, disk: u64) -> GroupMember {
    GroupMember {
        disk: DiskId(disk),
        node: store(node, "north", disk),
    }
}

fn group(epoch: u64, disks: &[u64]) -> BatchGroup {
    let members: Vec<_> = disks
        .iter()
        .map(|disk| member(&format!("s{disk}"), *disk))
        .collect();
    BatchGroup {
        epoch,
        primary: members[0].disk,
        members,
        learners: Vec::new(),
    }
}

fn with_stores(disks: &[u64]) -> ControlState {
    let mut state = founded();
    for disk in disks {
        assert!(state.apply_command(Command::RegisterStore(store(
            &format!("s{disk}"),
            "north",
            *disk
        ))));
    }
    state
}

fn retire(node: &str) -> Order {
    Order::Retire {
        node: node.to_string(),
    }
}

#[test]
fn a_retirement_completes_once_the_group_without_the_store_is_active() {
    let mut state = with_stores(&[1, 2, 3]);
    assert!(state.apply_command(Command::SetGroup {
        previous_epoch: 0,
        group: group(1, &[1, 2, 3])
    }));
    assert!(state.apply_command(Command::GroupActive { epoch: 1 }));
    assert_eq!(submit(&mut state, &retire("s9"), &context()).status(), 404);
    assert_eq!(
        submit(&mut state, &retire("s3"), &context()),
        Outcome::Committed
    );
    assert_eq!(
        submit(&mut state, &retire("s3"), &context()),
        Outcome::AlreadyDone
    );
    assert_eq!(
        submit(&mut state, &retire("s2"), &context()).status(),
        409,
        "two must remain"
    );
    assert_eq!(state.retirement("s3"), Some(RetirementState::InProgress));
    assert!(state.apply_command(Command::SetGroup {
        previous_epoch: 1,
        group: group(2, &[1, 2])
    }));
    assert_eq!(state.retirement("s3"), Some(RetirementState::InProgress));
    assert!(state.apply_command(Command::GroupActive { epoch: 2 }));
    assert_eq!(state.retirement("s3"), Some(RetirementState::Completed));
    assert_eq!(
        submit(&mut state, &retire("s3"), &context()),
        Outcome::AlreadyDone
    );
    assert_eq!(state.retirement("s1"), None);
}

#[test]
fn a_store_outside_all_groups_is_decommissioned_at_once() {
    let mut state = with_stores(&[1, 2, 3]);
    assert!(state.apply_command(Command::SetGroup {
        previous_epoch: 0,
        group: group(1, &[1, 2])
    }));
    assert!(state.apply_command(Command::GroupActive { epoch: 1 }));
    assert_eq!(
        submit(&mut state, &retire("s3"), &context()),
        Outcome::Committed
    );
    assert_eq!(state.retirement("s3"), Some(RetirementState::Completed));
}

#[test]
fn a_store_that_is_gone_does_not_count_as_remaining() {
    let mut state = with_stores(&[1, 2, 3]);
    let mut context = context();
    context.gone_stores.insert("s1".to_string());
    assert_eq!(submit(&mut state, &retire("s3"), &context).status(), 409);
}

#[test]
fn a_replaced_disk_is_never_registered_again() {
    let mut state = with_stores(&[1, 2, 3]);
    let new_disk = store("s3", "north", 33);
    assert!(state.apply_command(Command::RegisterStore(new_disk.clone())));
    assert!(state.stores().has_disk(DiskId(33)) && !state.stores().has_disk(DiskId(3)));
    assert!(
        !state.apply_command(Command::RegisterStore(store("s3", "north", 3))),
        "a replaced disk is rejected"
    );
    assert!(
        !state.apply_command(Command::RegisterStore(new_disk)),
        "nothing changed"
    );
}

#[test]
fn a_new_epoch_requires_the_current_epoch_and_a_complete_primary() {
    let mut state = with_stores(&[1, 2, 3]);
    assert!(state.apply_command(Command::SetGroup {
        previous_epoch: 0,
        group: group(1, &[1, 2])
    }));
    assert!(!state.apply_command(Command::SetGroup {
        previous_epoch: 0,
        group: group(2, &[1, 2])
    }));
    assert!(state.apply_command(Command::SetGroup {
        previous_epoch: 1,
        group: group(2, &[1, 2, 3])
    }));
    assert!(!state.apply_command(Command::SetGroup {
        previous_epoch: 2,
        group: group(3, &[3, 1])
    }));
    assert!(!state.apply_command(Command::GroupActive { epoch: 1 }));
    assert!(state.apply_command(Command::GroupActive { epoch: 2 }));
    assert!(state.apply_command(Command::SetGroup {
        previous_epoch: 2,
        group: group(3, &[3, 1])
    }));
}

#[test]
fn only_the_newest_accepted_requests_are_remembered() {
    let mut accepted = AcceptedRequests::default();
    for order in 0..(MAX_ACCEPTED_REQUESTS as u64 + 10) {
        accepted.add(order);
    }
    assert_eq!(accepted.len(), MAX_ACCEPTED_REQUESTS);
    assert!(!accepted.contains(9) && accepted.contains(10));
}

#[test]
fn changes_outside_the_view_leave_the_view_version() {
    let mut state = with_stores(&[1, 2, 3]);
    assert_eq!(
        (state.version(), state.view_version()),
        (4, 1),
        "stores were registered"
    );
    assert!(state.apply_command(Command::SetGroup {
        previous_epoch: 0,
        group: group(1, &[1, 2, 3])
    }));
    assert_eq!((state.view_version(), state.view().version), (5, 5));
    assert!(state.apply_command(Command::GroupActive { epoch: 1 }));
    assert_eq!(
        submit(&mut state, &retire("s3"), &context()),
        Outcome::Committed
    );
    assert_eq!(
        (state.version(), state.view_version()),
        (7, 5),
        "group active and a retirement"
    );
    assert!(state.apply_command(Command::Evacuate {
        zone: "south".to_string()
    }));
    assert_eq!(state.view_version(), 8);
}

#[test]
fn a_restored_state_uses_its_own_version_as_view_version() {
    let mut state = with_stores(&[1, 2]);
    let read = ControlState::from_snapshot(&state.to_snapshot()).expect("readable");
    assert_eq!((read.version(), read.view_version()), (3, 3));
    assert_eq!((state.version(), state.view_version()), (3, 1));
    assert!(state.apply_command(Command::Evacuate {
        zone: "south".to_string()
    }));
    assert_eq!(
        state.view_version(),
        4,
        "above every version published before"
    );
}

fn full_state() -> ControlState {
    let mut state = with_stores(&[1, 2, 3]);
    assert!(state.apply_command(Command::SetGroup {
        previous_epoch: 0,
        group: group(1, &[1, 2, 3])
    }));
    assert!(state.apply_command(Command::Evacuate {
        zone: "south".to_string()
    }));
    assert_eq!(
        submit(&mut state, &retire("s3"), &context()),
        Outcome::Committed
    );
    state
}

#[test]
fn snapshots_and_views_decode_to_what_was_encoded() {
    let state = full_state();
    assert_eq!(
        ControlState::from_snapshot(&state.to_snapshot()).expect("readable"),
        state
    );
    assert_eq!(
        decode_view(&encode_view(&state.view())).expect("readable"),
        state.view()
    );
    let empty = ControlState::default();
    assert_eq!(
        ControlState::from_snapshot(&empty.to_snapshot()).expect("readable"),
        empty
    );
}

#[test]
fn a_snapshot_of_a_later_format_is_rejected_and_leaves_the_state() {
    let mut bytes = full_state().to_snapshot();
    bytes[0] = 200;
    assert!(matches!(
        ControlState::from_snapshot(&bytes),
        Err(CodecError::UnknownFormat(200))
    ));
    let mut state = founded();
    let before = state.clone();
    state.restore(&bytes);
    assert_eq!(state, before);
}

/// The bytes of format 1 as stored on disk. A change of them requires a new format version, and a decoder of this one.
#[test]
fn the_bytes_of_format_1_are_unchanged() {
    let hex: String = full_state()
        .to_snapshot()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    insta::assert_snapshot!(hex);
}

proptest! {
    #[test]
    fn damaged_bytes_never_panic(at in any::<prop::sample::Index>(), byte in any::<u8>(), cut in any::<prop::sample::Index>()) {
        let state = full_state();
        for bytes in [state.to_snapshot(), encode_view(&state.view())] {
            let mut damaged = bytes.clone();
            damaged[at.index(bytes.len())] = byte;
            let _ = ControlState::from_snapshot(&damaged);
            let _ = decode_view(&damaged);
            damaged.truncate(cut.index(bytes.len()));
            let _ = ControlState::from_snapshot(&damaged);
            let _ = decode_view(&damaged);
        }
    }

    /// Each process has the last view that it received; primaries change, and some restore their state from a snapshot.
    #[test]
    fn processes_have_the_newest_view_across_primary_changes_and_restores(steps in prop::collection::vec(0_u8..8, 1..60)) {
        let mut primaries = [ControlState::default(), ControlState::default(), ControlState::default()];
        let mut leader = 0;
        let mut process_views = [ControlState::default().view(), ControlState::default().view()];
        for (at, step) in steps.into_iter().enumerate() {
            let zone = "south".to_string();
            match step {
                0 => primaries.iter_mut().for_each(|state| { state.apply_command(Command::Evacuate { zone: zone.clone() }); }),
                1 => primaries.iter_mut().for_each(|state| { state.apply_command(Command::CancelEvacuation { zone: zone.clone() }); }),
                2 | 3 => {
                    let come = store(&format!("s{at}"), "north", at as u64);
                    primaries.iter_mut().for_each(|state| { state.apply_command(Command::RegisterStore(come.clone())); });
                }
                4 => leader = (leader + 1) % primaries.len(),
                5 => {
                    let bytes = primaries[leader].to_snapshot();
                    primaries[(leader + 1) % 3].restore(&bytes);
                }
                // One of the processes polls, the other one lags behind.
                _ => {
                    let newest = primaries[leader].view();
                    let process = &mut process_views[usize::from(step == 6)];
                    if newest.version > process.version {
                        *process = newest.clone();
                    }
                    prop_assert_eq!(&process.evacuated, &newest.evacuated);
                }
            }
        }
    }

    #[test]
    fn arbitrary_bytes_are_decided_and_applied_without_panic(mut bytes in prop::collection::vec(any::<u8>(), 0..100)) {
        let mut state = founded();
        let before = state.clone();
        for _ in 0..2 {
            let _ = state.decide(&bytes);
            state.apply(&bytes);
            state.restore(&bytes);
            if let Some(first) = bytes.first_mut() {
                *first = 1;
            }
        }
        prop_assert!(state.version() >= before.version());
    }
}
