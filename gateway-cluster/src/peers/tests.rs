use super::*;

fn peers(names: &[&str]) -> Result<PeerSet, PeerSetError> {
    PeerSet::new(names.iter().map(ToString::to_string).collect())
}

#[test]
fn a_peer_set_does_not_depend_on_the_order_of_its_names() {
    let (one, other) = (peers(&["b", "c", "a"]), peers(&["a", "b", "c"]));
    assert_eq!(one, other);
    let (one, fewer) = (
        one.expect("the peer set is valid"),
        peers(&["a", "b"]).expect("the peer set is valid"),
    );
    assert_ne!(one.digest(), fewer.digest());
    assert_eq!(
        (one.names().join(""), one.len(), one.is_empty()),
        ("abc".into(), 3, false)
    );
    for (index, name) in ["a", "b", "c"].into_iter().enumerate() {
        assert_eq!(
            (one.index_of(peer_id_of(name)), one.own_index(name)),
            (Some(index), Ok(index))
        );
        assert_eq!(one.ids()[index], peer_id_of(name));
    }
    assert_eq!(
        (one.index_of(peer_id_of("d")), one.own_index("d")),
        (None, Err(PeerSetError::MissingOwnName("d".into())))
    );
}

#[test]
fn duplicate_names_hash_collisions_and_too_many_names_are_rejected() {
    let duplicate = PeerSetError::Duplicate("a".into());
    assert_eq!(peers(&["a", "b", "a"]), Err(duplicate.clone()));
    let message = "the peer set has 'a' twice: remove one, or rename one of the two gateways";
    assert_eq!(duplicate.to_string(), message);
    let collision = PeerSetError::HashCollision("door-1981559".into(), "door-429420".into());
    assert_eq!(peers(&["door-429420", "door-1981559"]), Err(collision));
    let many = |count: usize| PeerSet::new((0..count).map(|name| name.to_string()).collect());
    assert_eq!(many(MAX_PEERS).map(|peers| peers.len()), Ok(MAX_PEERS));
    assert_eq!(many(MAX_PEERS + 1), Err(PeerSetError::TooMany(1001)));
}
