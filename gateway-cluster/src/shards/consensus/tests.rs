use super::*;

#[test]
fn a_restarted_acceptor_accepts_once_it_knows_the_decided_map() {
    let (one, two) = (
        Ballot {
            epoch: 1,
            attempt: 0,
        },
        Ballot {
            epoch: 2,
            attempt: 0,
        },
    );
    let map = |version| MapId {
        epoch: 1,
        version,
        hash: MapHash(version),
    };
    let mut acceptor = Acceptor::default();
    assert!(
        !acceptor.accept(one, map(6), false),
        "it may have accepted another"
    );
    acceptor.on_decided(1, map(5), false);
    assert!(
        !acceptor.accept(one, map(6), false),
        "something else is being decided"
    );
    acceptor.on_decided(1, map(5), true);
    assert!(acceptor.accept(one, map(6), false) && !acceptor.accept(one, map(5), false));
    assert_eq!(
        acceptor.promise(two).and_then(|report| report.accepted),
        Some(AcceptedMap {
            ballot: one,
            map: map(6)
        })
    );
    assert!(!acceptor.accept(one, map(6), false) && acceptor.promise(one).is_none());
}
