use super::*;

const LEASE: Micros = 1_000_000;

fn request(name: u32, epoch: u64, peer_sets: &PeerConfiguration) -> VoteRequest {
    VoteRequest {
        holder: LeaseHolder {
            name,
            incarnation: 1,
        },
        epoch,
        lease: LEASE,
        peer_sets: peer_sets.report(),
    }
}

#[test]
fn a_started_voter_rejects_requests_until_the_longest_lease_has_expired() {
    let mut peer_sets = PeerConfiguration::new(vec![1, 2, 3]);
    let mut voter = LeaseVoter::new(5, LEASE);
    let requested = request(1, 1, &peer_sets);
    let end = 5 + longer(LEASE);
    assert_eq!(
        voter.vote(end - 1, &requested, &mut peer_sets),
        Err(VoteRejection::QuietPeriod(1))
    );
    voter.observe_lease(3 * LEASE);
    assert!(matches!(
        voter.vote(end, &requested, &mut peer_sets),
        Err(VoteRejection::QuietPeriod(_))
    ));
    assert_eq!(
        voter.vote(5 + longer(3 * LEASE), &requested, &mut peer_sets),
        Ok(())
    );
}

#[test]
fn a_vote_excludes_other_holders_and_an_epoch_has_one_holder() {
    let mut peer_sets = PeerConfiguration::new(vec![1, 2, 3]);
    let mut voter = LeaseVoter::new(0, LEASE);
    let now = longer(LEASE);
    assert_eq!(
        voter.vote(now, &request(2, 7, &peer_sets), &mut peer_sets),
        Ok(())
    );
    let until = now + longer(LEASE);
    let other = request(1, 9, &peer_sets);
    assert!(matches!(
        voter.vote(until - 1, &other, &mut peer_sets),
        Err(VoteRejection::VotedForOther(..))
    ));
    // A rejected request does not raise the highest epoch: the leader's renewals would fail.
    assert_eq!(voter.highest_epoch(), 7);
    for name in [1, 3] {
        let again = voter.vote(until, &request(name, 7, &peer_sets), &mut peer_sets);
        assert_eq!(again, Err(VoteRejection::EpochOutdated(7)), "n{name}");
    }
    assert_eq!(voter.vote(until, &other, &mut peer_sets), Ok(()));
    // Another incarnation of the same peer is another holder.
    let mut other_incarnation = request(1, 10, &peer_sets);
    other_incarnation.holder.incarnation = 2;
    assert!(matches!(
        voter.vote(until + 1, &other_incarnation, &mut peer_sets),
        Err(VoteRejection::VotedForOther(..))
    ));
    voter.release(other_incarnation.holder, 10);
    assert!(
        voter.current_vote(until + 1).is_some(),
        "another incarnation cannot release the vote"
    );
    voter.release(other.holder, 8);
    assert!(
        voter.current_vote(until + 1).is_some(),
        "a release of an earlier epoch keeps the vote"
    );
    voter.release(other.holder, 9);
    assert_eq!(
        voter.vote(until + 1, &other_incarnation, &mut peer_sets),
        Ok(())
    );
    let beyond = request(1, MAX_EPOCH + 1, &peer_sets);
    voter.release(other_incarnation.holder, 10);
    assert_eq!(
        voter.vote(until + 1, &beyond, &mut peer_sets),
        Err(VoteRejection::EpochOutdated(10))
    );
}

#[test]
fn a_restarted_voter_begins_a_new_quiet_period() {
    let mut peer_sets = PeerConfiguration::new(vec![1, 2, 3]);
    let mut voter = LeaseVoter::new(0, LEASE);
    let now = 10 * LEASE;
    voter.observe_lease(2 * LEASE);
    voter.restart(now);
    let rejection = voter.vote(
        now + longer(2 * LEASE) - 1,
        &request(1, 1, &peer_sets),
        &mut peer_sets,
    );
    assert_eq!(rejection, Err(VoteRejection::QuietPeriod(1)));
}
