use super::*;

#[test]
fn of_two_processes_of_one_name_the_second_keeps_once_the_lease_of_the_first_is_over_or_given_back()
{
    let mut ledger = GrantedLeases::new(0, 100);
    assert!(
        !ledger.may_give(50, 7, 1),
        "nobody knows what an earlier owner gave"
    );
    ledger.has_held(7, 1);
    assert!(ledger.may_give(50, 7, 1) && !ledger.may_give(50, 7, 2));
    ledger.give(7, 1, 300);
    assert!(!ledger.may_give(299, 7, 2) && ledger.may_give(300, 7, 2));
    ledger.took(7, 2, 9);
    assert!(
        !ledger.is_free(299, 7, 9),
        "what the second has taken over says nothing of the first"
    );
    ledger.left(150, 7, 1);
    assert!(ledger.may_give(150, 7, 2) && !ledger.may_give(150, 7, 1) && ledger.is_free(150, 7, 9));
}

#[test]
fn a_lease_of_an_older_term_or_version_is_refused_and_what_was_free_stays_so() {
    let (mut hand, fence) = (LocalShards::default(), |epoch, version| FencingToken {
        epoch,
        version,
    });
    let marks = |waits: bool| RangeSet::of(1, |_| waits);
    assert!(hand.keep(0, fence(2, 5), MapHash(5), marks(false), 100));
    assert!(!hand.keep(0, fence(2, 4), MapHash(4), marks(false), 200));
    assert!(!hand.keep(0, fence(1, 9), MapHash(9), marks(false), 200));
    // A later leader does not know that the range is free; this gateway does, as long as it has its lease.
    assert!(hand.keep(50, fence(3, 5), MapHash(5), marks(true), 120));
    assert!(hand.hold(119).is_some_and(|hold| hold.waits.is_empty()) && hand.hold(120).is_none());
    assert!(hand.keep(130, fence(3, 5), MapHash(5), marks(true), 200));
    assert!(hand.hold(130).is_some_and(|hold| hold.waits.has(0)));
}
