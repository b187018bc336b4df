use super::*;

const LEASE: Micros = 1_000_000;

fn asks(name: u32, epoch: u64, peer_sets: &PeerConfiguration) -> VoteRequest {
    VoteRequest {
        holder: LeaseHolder {
            name,
            incarnation: 1,
        },
        epoch,
        lease: LEASE,
        peer_sets: peer_sets.told(),
    }
}

#[test]
fn a_gateway_that_starts_grants_nothing_until_the_longest_lease_is_over() {
    let mut peer_sets = PeerConfiguration::new(vec![1, 2, 3]);
    let mut granter = LeaseVoter::new(5, LEASE);
    let asked = asks(1, 1, &peer_sets);
    let end = 5 + longer(LEASE);
    assert_eq!(
        granter.grant(end - 1, &asked, &mut peer_sets),
        Err(VoteRejection::Quiet(1))
    );
    granter.hear_lease(3 * LEASE);
    assert!(matches!(
        granter.grant(end, &asked, &mut peer_sets),
        Err(VoteRejection::Quiet(_))
    ));
    assert_eq!(
        granter.grant(5 + longer(3 * LEASE), &asked, &mut peer_sets),
        Ok(())
    );
}

#[test]
fn nobody_else_is_granted_to_while_a_grant_stands_and_no_term_is_given_twice() {
    let mut peer_sets = PeerConfiguration::new(vec![1, 2, 3]);
    let mut granter = LeaseVoter::new(0, LEASE);
    let now = longer(LEASE);
    assert_eq!(
        granter.grant(now, &asks(2, 7, &peer_sets), &mut peer_sets),
        Ok(())
    );
    let until = now + longer(LEASE);
    let other = asks(1, 9, &peer_sets);
    assert!(matches!(
        granter.grant(until - 1, &other, &mut peer_sets),
        Err(VoteRejection::Held(..))
    ));
    // It is nobody's business to raise the epoch while another holds: its renewals would fail.
    assert_eq!(granter.highest(), 7);
    for name in [1, 3] {
        let again = granter.grant(until, &asks(name, 7, &peer_sets), &mut peer_sets);
        assert_eq!(again, Err(VoteRejection::Behind(7)), "n{name}");
    }
    assert_eq!(granter.grant(until, &other, &mut peer_sets), Ok(()));
    // Another incarnation of the same name is another holder.
    let mut twin = asks(1, 10, &peer_sets);
    twin.holder.incarnation = 2;
    assert!(matches!(
        granter.grant(until + 1, &twin, &mut peer_sets),
        Err(VoteRejection::Held(..))
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
    assert_eq!(granter.grant(until + 1, &twin, &mut peer_sets), Ok(()));
    let beyond = asks(1, MAX_EPOCH + 1, &peer_sets);
    granter.release(twin.holder, 10);
    assert_eq!(
        granter.grant(until + 1, &beyond, &mut peer_sets),
        Err(VoteRejection::Behind(10))
    );
}

#[test]
fn a_gateway_that_another_process_stood_in_for_begins_anew() {
    let mut peer_sets = PeerConfiguration::new(vec![1, 2, 3]);
    let mut granter = LeaseVoter::new(0, LEASE);
    let now = 10 * LEASE;
    granter.hear_lease(2 * LEASE);
    granter.begin_anew(now);
    let quiet = granter.grant(
        now + longer(2 * LEASE) - 1,
        &asks(1, 1, &peer_sets),
        &mut peer_sets,
    );
    assert_eq!(quiet, Err(VoteRejection::Quiet(1)));
}
