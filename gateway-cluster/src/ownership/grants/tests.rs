use super::*;

const LEASE: Micros = 1_000_000;

fn asks(name: u32, epoch: u64, rosters: &Rosters) -> Question {
    Question {
        holder: Holder { name, life: 1 },
        epoch,
        lease: LEASE,
        rosters: rosters.told(),
    }
}

#[test]
fn a_door_that_starts_grants_nothing_until_the_longest_lease_is_over() {
    let mut rosters = Rosters::new(vec![1, 2, 3]);
    let mut granter = Granter::new(5, LEASE);
    let asked = asks(1, 1, &rosters);
    let end = 5 + longer(LEASE);
    assert_eq!(
        granter.grant(end - 1, &asked, &mut rosters),
        Err(Refusal::Quiet(1))
    );
    granter.hear_lease(3 * LEASE);
    assert!(matches!(
        granter.grant(end, &asked, &mut rosters),
        Err(Refusal::Quiet(_))
    ));
    assert_eq!(
        granter.grant(5 + longer(3 * LEASE), &asked, &mut rosters),
        Ok(())
    );
}

#[test]
fn nobody_else_is_granted_to_while_a_grant_stands_and_no_term_is_given_twice() {
    let mut rosters = Rosters::new(vec![1, 2, 3]);
    let mut granter = Granter::new(0, LEASE);
    let now = longer(LEASE);
    assert_eq!(
        granter.grant(now, &asks(2, 7, &rosters), &mut rosters),
        Ok(())
    );
    let until = now + longer(LEASE);
    let other = asks(1, 9, &rosters);
    assert!(matches!(
        granter.grant(until - 1, &other, &mut rosters),
        Err(Refusal::Held(..))
    ));
    // It is nobody's business to raise the term while another holds: its renewals would fail.
    assert_eq!(granter.highest(), 7);
    for name in [1, 3] {
        let again = granter.grant(until, &asks(name, 7, &rosters), &mut rosters);
        assert_eq!(again, Err(Refusal::Behind(7)), "n{name}");
    }
    assert_eq!(granter.grant(until, &other, &mut rosters), Ok(()));
    // Another life of the same name is another holder.
    let mut twin = asks(1, 10, &rosters);
    twin.holder.life = 2;
    assert!(matches!(
        granter.grant(until + 1, &twin, &mut rosters),
        Err(Refusal::Held(..))
    ));
    granter.release(twin.holder, 10);
    assert!(
        granter.granted(until + 1).is_some(),
        "it is not that one's to give back"
    );
    granter.release(other.holder, 8);
    assert!(
        granter.granted(until + 1).is_some(),
        "that was an earlier term"
    );
    granter.release(other.holder, 9);
    assert_eq!(granter.grant(until + 1, &twin, &mut rosters), Ok(()));
    let beyond = asks(1, MOST_EPOCH + 1, &rosters);
    granter.release(twin.holder, 10);
    assert_eq!(
        granter.grant(until + 1, &beyond, &mut rosters),
        Err(Refusal::Behind(10))
    );
}

#[test]
fn a_door_that_another_process_stood_in_for_begins_anew() {
    let mut rosters = Rosters::new(vec![1, 2, 3]);
    let mut granter = Granter::new(0, LEASE);
    let now = 10 * LEASE;
    granter.hear_lease(2 * LEASE);
    granter.begin_anew(now);
    let quiet = granter.grant(
        now + longer(2 * LEASE) - 1,
        &asks(1, 1, &rosters),
        &mut rosters,
    );
    assert_eq!(quiet, Err(Refusal::Quiet(1)));
}
