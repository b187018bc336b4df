use super::*;

fn peers(names: &[&str]) -> Result<PeerSet, PeerSetError> {
    PeerSet::new(names.iter().map(ToString::to_string).collect())
}

#[test]
fn a_peers_is_the_same_in_whatever_order_its_names_are_told() {
    let (one, other) = (peers(&["b", "c", "a"]), peers(&["a", "b", "c"]));
    assert_eq!(one, other);
    let (one, fewer) = (
        one.expect("it is good"),
        peers(&["a", "b"]).expect("it is good"),
    );
    assert_ne!(one.digest(), fewer.digest());
    assert_eq!(
        (one.names().join(""), one.len(), one.is_empty()),
        ("abc".into(), 3, false)
    );
    for (place, name) in ["a", "b", "c"].into_iter().enumerate() {
        assert_eq!(
            (one.place(peer_id_of(name)), one.own_place(name)),
            (Some(place), Ok(place))
        );
        assert_eq!(one.ids()[place], peer_id_of(name));
    }
    assert_eq!(
        (one.place(peer_id_of("d")), one.own_place("d")),
        (None, Err(PeerSetError::Lacks("d".into())))
    );
}

#[test]
fn names_that_cannot_be_told_apart_or_are_too_many_are_no_peers() {
    let twice = PeerSetError::Twice("a".into());
    assert_eq!(peers(&["a", "b", "a"]), Err(twice.clone()));
    let told = "the roster has 'a' twice: take it out once, or give one of the two another name";
    assert_eq!(twice.to_string(), told);
    let same = PeerSetError::SameHash("door-1981559".into(), "door-429420".into());
    assert_eq!(peers(&["door-429420", "door-1981559"]), Err(same));
    let many = |count: usize| PeerSet::new((0..count).map(|name| name.to_string()).collect());
    assert_eq!(many(MAX_PEERS).map(|peers| peers.len()), Ok(MAX_PEERS));
    assert_eq!(many(MAX_PEERS + 1), Err(PeerSetError::TooMany(1001)));
}
