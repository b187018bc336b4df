//! Differences between versions of a table lead to the same table as the table itself, whoever holds what.

use alderhollow::clock::SteadyClock;
use alderhollow::distribution::difference::{
    control_digest, BackendsDifference, ControlDifference, DifferenceError, SendersDifference,
};
use alderhollow::distribution::history::TableHistory;
use alderhollow::distribution::message::{
    Differences, EncodedControl, HeldTables, Stamp, StampedSenders, Update,
};
use alderhollow::distribution::tables::{Tables, TablesError};
use alderhollow_model::backend::{Backend, BackendList, BackendState};
use alderhollow_model::identity::Address;
use alderhollow_model::snapshot::{ControlView, Senders};
use proptest::prelude::*;
use std::rc::Rc;

fn backend(number: u8, port: u16, is_draining: bool, cold_remaining_ms: u64) -> Backend {
    Backend {
        id: format!("i-{number:03}"),
        service: "model".into(),
        address: Address(([127, 0, 0, 1], port).into()),
        zone: "east".into(),
        slots: 4,
        state: if is_draining {
            BackendState::Draining
        } else {
            BackendState::Ready
        },
        cold_remaining_ms,
    }
}

fn any_list(sequence: u64) -> impl Strategy<Value = BackendList> {
    let entry = (1u16..4, any::<bool>(), prop_oneof![Just(0), 1u64..3_000]);
    prop::collection::btree_map(0u8..20, entry, 0..20).prop_map(move |entries| BackendList {
        epoch: 3,
        sequence,
        backends: entries
            .into_iter()
            .map(|(number, (port, is_draining, cold))| backend(number, port, is_draining, cold))
            .collect(),
    })
}

fn any_senders(sequence: u64) -> impl Strategy<Value = StampedSenders> {
    prop::collection::btree_set("[a-f]{1,2}", 0..12).prop_map(move |nodes| StampedSenders {
        stamp: Stamp { epoch: 3, sequence },
        senders: Senders {
            nodes: nodes.into_iter().collect(),
            placers: Vec::new(),
        },
    })
}

fn control(version: u64, bytes: Vec<u8>) -> EncodedControl {
    EncodedControl {
        version,
        bytes: bytes.into(),
    }
}

proptest! {
    #[test]
    fn a_difference_of_lists_leads_to_the_newer_list(old in any_list(1), new in any_list(2)) {
        let difference = BackendsDifference::between(&old, &new);
        prop_assert_eq!(difference.apply(&old), Ok(new));
    }

    #[test]
    fn a_difference_of_senders_leads_to_the_newer_senders(old in any_senders(1), new in any_senders(2)) {
        let difference = SendersDifference::between(&old, &new);
        prop_assert_eq!(difference.apply(old.stamp, &old.senders), Ok(new));
    }

    #[test]
    fn a_difference_of_control_states_leads_to_the_newer_bytes(
        old in prop::collection::vec(any::<u8>(), 0..2_000),
        kept in 0usize..2_000,
        added in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        let mut next = old[..kept.min(old.len())].to_vec();
        next.extend(added);
        let (old, next) = (control(4, old), control(5, next));
        for base in [None, Some(&old)] {
            let difference = ControlDifference::between(base, &next);
            prop_assert_eq!(difference.apply(&old), Ok(next.clone()));
        }
    }

    #[test]
    fn damaged_differences_never_panic(
        block in prop::collection::vec(any::<u8>(), 0..300),
        length in any::<u32>(),
    ) {
        let difference = ControlDifference { base: 4, version: 5, length, block: block.into() };
        let _ = difference.apply(&control(4, vec![7; 100]));
    }
}

#[test]
fn a_difference_of_one_change_is_small() {
    let backends = (0..200).map(|number| backend(number, 80, false, 0));
    let old = BackendList {
        epoch: 3,
        sequence: 1,
        backends: backends.collect(),
    };
    let mut new = old.clone();
    new.sequence = 2;
    new.backends[7].state = BackendState::Draining;
    let difference = BackendsDifference::between(&old, &new);
    assert_eq!(difference.changed, [backend(7, 80, true, 0)]);
    let numbers: Vec<u8> = (0..4_000u32).flat_map(u32::to_be_bytes).collect();
    let mut changed = numbers.clone();
    changed[8_000] ^= 1;
    let difference = ControlDifference::between(Some(&control(4, numbers)), &control(5, changed));
    assert!(difference.block.len() < 200, "{}", difference.block.len());
}

#[test]
fn a_difference_to_another_table_is_rejected() {
    let old = BackendList {
        epoch: 3,
        sequence: 1,
        backends: vec![backend(1, 80, false, 0)],
    };
    let other = BackendList {
        sequence: 2,
        ..old.clone()
    };
    let difference = BackendsDifference::between(&old, &other);
    assert_eq!(difference.apply(&other), Err(DifferenceError::OtherBase));
    let difference =
        ControlDifference::between(Some(&control(4, vec![1])), &control(5, vec![1, 2]));
    assert_eq!(
        difference.apply(&control(3, vec![1])),
        Err(DifferenceError::OtherBase)
    );
}

#[test]
fn a_control_state_that_was_encoded_otherwise_is_no_dictionary() {
    let mut history = TableHistory::default();
    history.record_control(control(4, vec![1; 50]));
    history.record_control(control(5, vec![2; 50]));
    let base_for = |history: &mut TableHistory, bytes: &[u8]| {
        let held = HeldTables {
            control_digest: control_digest(bytes),
        };
        history.control_difference(4, held).expect("one").base
    };
    assert_eq!(base_for(&mut history, &[1; 50]), 4);
    assert_eq!(base_for(&mut history, &[3; 50]), 0);
}

#[test]
fn a_history_keeps_the_lists_of_the_last_changes_alone() {
    let mut history = TableHistory::default();
    let list = |sequence| BackendList {
        epoch: 3,
        sequence,
        backends: Vec::new(),
    };
    for sequence in 1..=30 {
        history.record_backends(&Rc::new(list(sequence)));
    }
    let difference = |sequence| {
        let base = Stamp { epoch: 3, sequence };
        history.backends_difference(base, &list(30))
    };
    assert!(difference(28).is_some());
    assert!(difference(2).is_none());
}

fn any_view(_: &[u8]) -> Option<ControlView> {
    Some(ControlView::default())
}

fn update(differences: Differences) -> Update {
    Update {
        differences: Some(Box::new(differences)),
        ..Update::default()
    }
}

#[test]
fn tables_follow_differences_and_stay_when_one_does_not_fit() {
    let mut tables = Tables::new(SteadyClock::start(), any_view);
    let first = control(4, vec![1; 50]);
    let second = control(6, vec![2; 60]);
    let from_nothing = Differences {
        control: Some(ControlDifference::between(None, &first)),
        ..Differences::default()
    };
    assert_eq!(tables.apply(update(from_nothing)), Ok(true));
    assert_eq!(tables.held().control_digest, control_digest(&[1; 50]));
    let to_second = Differences {
        control: Some(ControlDifference::between(Some(&first), &second)),
        ..Differences::default()
    };
    assert_eq!(tables.apply(update(to_second.clone())), Ok(true));
    assert_eq!(tables.versions().control, 6);
    assert_eq!(tables.apply(update(to_second)), Ok(false), "an old answer");
    let misfit = Differences {
        control: Some(ControlDifference::between(
            Some(&first),
            &control(7, vec![]),
        )),
        ..Differences::default()
    };
    let error = TablesError::Difference(DifferenceError::OtherBase);
    assert_eq!(tables.apply(update(misfit)), Err(error));
    assert_eq!(tables.versions().control, 6);
}
