use super::*;

#[test]
fn a_second_incarnation_gets_a_lease_once_the_first_one_expired_or_was_released() {
    let mut leases = GrantedLeases::new(0, 100);
    assert!(
        !leases.may_grant(50, 7, 1),
        "nobody knows what an earlier owner gave"
    );
    leases.record_prior_lease(7, 1);
    assert!(leases.may_grant(50, 7, 1) && !leases.may_grant(50, 7, 2));
    leases.grant(7, 1, 300);
    assert!(!leases.may_grant(299, 7, 2) && leases.may_grant(300, 7, 2));
    leases.acknowledge(7, 2, 9);
    assert!(
        !leases.is_free(299, 7, 9),
        "what the second has taken over says nothing of the first"
    );
    leases.release(150, 7, 1);
    assert!(
        leases.may_grant(150, 7, 2) && !leases.may_grant(150, 7, 1) && leases.is_free(150, 7, 9)
    );
}

#[test]
fn an_outdated_lease_is_rejected_and_free_ranges_stay_free() {
    let (mut local, token) = (LocalShards::default(), |epoch, version| FencingToken {
        epoch,
        version,
    });
    let blocked_ranges = |blocked: bool| RangeSet::of(1, |_| blocked);
    assert!(local.accept_lease(0, token(2, 5), MapHash(5), blocked_ranges(false), 100));
    assert!(!local.accept_lease(0, token(2, 4), MapHash(4), blocked_ranges(false), 200));
    assert!(!local.accept_lease(0, token(1, 9), MapHash(9), blocked_ranges(false), 200));
    // A later leader does not know that the range is free; this gateway does, as long as it has its lease.
    assert!(local.accept_lease(50, token(3, 5), MapHash(5), blocked_ranges(true), 120));
    assert!(
        local
            .lease(119)
            .is_some_and(|lease| lease.blocked.is_empty())
            && local.lease(120).is_none()
    );
    assert!(local.accept_lease(130, token(3, 5), MapHash(5), blocked_ranges(true), 200));
    assert!(local
        .lease(130)
        .is_some_and(|lease| lease.blocked.contains(0)));
}
