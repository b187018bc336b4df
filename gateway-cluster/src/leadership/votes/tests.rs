use super::*;

#[test]
fn the_lease_ends_with_the_last_vote_that_a_majority_needs() {
    let mut peer_sets = PeerConfiguration::new(vec![1, 2, 3, 4, 5]);
    let mut votes = CollectedVotes::default();
    for (name, requested_at) in [(1, 10), (2, 30), (9, 99)] {
        votes.add(name, requested_at, 100);
    }
    assert_eq!(
        votes.valid_until(&peer_sets),
        0,
        "a vote from outside the peer set does not count"
    );
    votes.add(3, 20, 100);
    assert_eq!(votes.valid_until(&peer_sets), 110);
    votes.add(4, 25, 100);
    assert_eq!(votes.valid_until(&peer_sets), 120);
    // A late vote for an earlier request does not shorten the lease.
    votes.add(3, 5, 100);
    assert_eq!(
        (
            votes.valid_until(&peer_sets),
            votes.contains(4),
            votes.contains(5)
        ),
        (120, true, false)
    );
    // During a change both peer sets need a majority.
    peer_sets.set(vec![1, 2, 7, 8, 9]);
    assert_eq!(votes.valid_until(&peer_sets), 110);
    peer_sets.set(vec![1, 6, 7, 8, 9]);
    assert_eq!(votes.valid_until(&peer_sets), 0);
}
