use super::*;

#[test]
fn a_lease_ends_with_the_last_grant_that_a_majority_needs() {
    let mut peer_sets = PeerConfiguration::new(vec![1, 2, 3, 4, 5]);
    let mut lease = CollectedVotes::default();
    for (name, asked) in [(1, 10), (2, 30), (9, 99)] {
        lease.granted(name, asked, 100);
    }
    assert_eq!(
        lease.until(&peer_sets),
        0,
        "a name outside counts for nothing"
    );
    lease.granted(3, 20, 100);
    assert_eq!(lease.until(&peer_sets), 110);
    lease.granted(4, 25, 100);
    assert_eq!(lease.until(&peer_sets), 120);
    // A late answer to an earlier question takes nothing away.
    lease.granted(3, 5, 100);
    assert_eq!(
        (lease.until(&peer_sets), lease.has(4), lease.has(5)),
        (120, true, false)
    );
    // While a peer set changes, both have to be won.
    peer_sets.set(vec![1, 2, 7, 8, 9]);
    assert_eq!(lease.until(&peer_sets), 110);
    peer_sets.set(vec![1, 6, 7, 8, 9]);
    assert_eq!(lease.until(&peer_sets), 0);
}
