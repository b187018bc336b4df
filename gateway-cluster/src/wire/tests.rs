use super::*;
use crate::peers::MAX_PEERS;
use proptest::prelude::*;

const NOW: Incarnation = 1_700_000_000_000 << 16;

fn marks() -> ViewSummary {
    let mut marks = ViewSummary::none(MAX_PEERS);
    [0, 7, 8, 999]
        .iter()
        .for_each(|place| marks.set(*place, PeerSummary::Dead));
    marks
}

fn datagram(claims: usize, kind: Kind) -> Datagram {
    let marks = (kind == Kind::Compare).then(marks);
    let claim = |n: usize| {
        [
            UpdateStatus::Alive,
            UpdateStatus::Suspect(3),
            UpdateStatus::Dead,
            UpdateStatus::Left,
        ][n % 4]
    };
    let update = |n: usize| Update {
        who: n as u32,
        incarnation: NOW - 1_000_000_000 * n as u64,
        claim: claim(n),
    };
    let updates = (0..claims).map(update).collect();
    let (peers, by_place) = (u32::MAX, true);
    Datagram {
        peers,
        from: 7,
        incarnation: NOW,
        digest: 9,
        kind,
        marks,
        by_place,
        updates,
    }
}

#[test]
fn marks_are_set_and_read_and_what_is_beyond_them_is_none() {
    let mut marks = marks();
    marks.set(5000, PeerSummary::Dead);
    marks.set(6, PeerSummary::Raised);
    marks.set(8, PeerSummary::Doubted);
    let set: Vec<_> = (0..5000)
        .filter(|place| marks.get(*place) != PeerSummary::Alive)
        .collect();
    assert_eq!(set, [0, 6, 7, 8, 999]);
    assert_eq!(
        (marks.get(6), marks.get(8)),
        (PeerSummary::Raised, PeerSummary::Doubted)
    );
    assert_eq!(
        (marks.count_dead(1000), ViewSummary::none(9).count_dead(9)),
        (3, 0)
    );
}

#[test]
fn what_is_written_is_read_and_what_has_no_room_is_left_out() {
    for kind in [
        Kind::Ping(u32::MAX),
        Kind::Compare,
        Kind::PingFor(1, u32::MAX),
    ] {
        let (bytes, went) = datagram(10, kind.clone()).encode();
        assert_eq!(
            (Datagram::decode(&bytes), went),
            (Some(datagram(10, kind.clone())), 10)
        );
        assert_eq!(
            Datagram::decode(&[bytes, vec![0]].concat()),
            None,
            "nothing may follow"
        );
        let (bytes, went) = datagram(1000, kind.clone()).encode();
        assert!(
            bytes.len() <= MAX_DATAGRAM_BYTES && bytes.len() > MAX_DATAGRAM_BYTES - 20,
            "{} bytes",
            bytes.len()
        );
        assert_eq!(Datagram::decode(&bytes), Some(datagram(went, kind)));
    }
    let far = Update {
        who: u32::MAX,
        incarnation: u64::MAX,
        claim: UpdateStatus::Dead,
    };
    let mut far = Datagram {
        updates: vec![far; 5],
        ..datagram(0, Kind::Gossip)
    };
    for incarnation in [0, u64::MAX] {
        far.incarnation = incarnation;
        assert_eq!(Datagram::decode(&far.encode().0), Some(far.clone()));
    }
}

proptest! {
    #[test]
    fn bytes_that_make_no_sense_are_no_datagram(mut bytes in proptest::collection::vec(any::<u8>(), 0..1500)) {
        if let Some(first) = bytes.first_mut() {
            *first = VERSION;
        }
        if let Some(read) = Datagram::decode(&bytes) {
            prop_assert!(read.updates.len() * 4 <= MAX_DATAGRAM_BYTES);
        }
    }

    #[test]
    fn a_good_one_that_is_changed_at_a_place_ends_nothing(at in 0usize..200, to in any::<u8>(), cut in 0usize..200) {
        let mut bytes = datagram(10, Kind::Compare).encode().0;
        let length = bytes.len();
        bytes[at % length] = to;
        let _ = Datagram::decode(&bytes);
        let _ = Datagram::decode(&bytes[..cut % length]);
    }
}
