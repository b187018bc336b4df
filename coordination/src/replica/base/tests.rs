//! Choice of the base record from given promises.

use super::*;
use crate::replica::interface::Member;

fn record(number: Epoch, follows: Epoch, replicas: &[MemberId]) -> EpochRecord {
    let member = |id| Member {
        id,
        node: format!("node-{id}"),
        zone: String::new(),
        contact: Vec::new(),
    };
    EpochRecord {
        number,
        primary: 1,
        replicas: replicas.to_vec(),
        witnesses: (1..=3).map(member).collect(),
        former_witnesses: Vec::new(),
        follows,
        lineage: Vec::new(),
    }
}

fn promise(record: &EpochRecord, state_record: &EpochRecord, version: Version) -> Promise {
    Promise {
        number: 100,
        record: Some(record.clone()),
        state_record: Some(state_record.clone()),
        version,
        state: None,
    }
}

#[test]
fn the_base_is_the_newest_version_of_the_newest_record() {
    let newest = record(5, 4, &[1, 2, 3]);
    let promises = [
        (1, promise(&newest, &newest, 7)),
        (2, promise(&newest, &newest, 8)),
    ]
    .into();
    let base = choose_base(&promises).expect("a base");
    assert_eq!(
        (base.record, base.version, base.state_holders),
        (newest, 8, vec![2])
    );
}

#[test]
fn promises_of_a_minority_determine_no_base() {
    let newest = record(5, 4, &[1, 2, 3]);
    assert_eq!(
        choose_base(&[(1, promise(&newest, &newest, 7))].into()),
        None
    );
}

#[test]
fn a_record_that_may_be_active_is_not_skipped() {
    let (old, newest) = (record(4, 0, &[1, 2, 3]), record(5, 4, &[1]));
    let promises = [(2, promise(&newest, &old, 7)), (3, promise(&old, &old, 7))].into();
    assert_eq!(choose_base(&promises), None);
}

#[test]
fn a_record_that_one_of_its_replicas_has_not_accepted_is_skipped() {
    let (old, newest) = (record(4, 0, &[1, 2, 3]), record(5, 4, &[1, 3]));
    let promises = [(2, promise(&newest, &old, 7)), (3, promise(&old, &old, 7))].into();
    assert_eq!(
        choose_base(&promises).map(|base| base.record.number),
        Some(4)
    );
}

#[test]
fn the_base_of_a_skipped_record_is_not_skipped() {
    // Members 1 and 2 have committed in epoch 5. Member 2 then accepted record 6 as a witness without the state; member
    // 3 has neither record.
    let (old, active, newest) = (
        record(4, 0, &[1, 2, 3]),
        record(5, 4, &[1, 2]),
        record(6, 5, &[1, 3]),
    );
    let promises = [
        (2, promise(&newest, &active, 9)),
        (3, promise(&old, &old, 7)),
    ]
    .into();
    let base = choose_base(&promises).expect("a base");
    assert_eq!((base.record.number, base.version), (5, 9));

    // If member 2 does not report its state, no base is determined.
    let mut witness = promise(&newest, &old, 7);
    witness.state_record = None;
    assert_eq!(
        choose_base(&[(2, witness), (3, promise(&old, &old, 7))].into()),
        None
    );
}

#[test]
fn the_promise_of_a_member_without_a_record_counts_for_the_quorum() {
    let newest = record(1, 0, &[1, 2]);
    let without_record = Promise {
        number: 100,
        record: None,
        state_record: None,
        version: 0,
        state: None,
    };
    let promises = [(2, promise(&newest, &newest, 3)), (3, without_record)].into();
    assert_eq!(choose_base(&promises).map(|base| base.version), Some(3));
}
