use super::*;
use crate::peers::MAX_PEERS;
use proptest::prelude::*;

const NOW: Incarnation = 1_700_000_000_000 << 16;

fn summary() -> ViewSummary {
    let mut summary = ViewSummary::all_alive(MAX_PEERS);
    [0, 7, 8, 999]
        .iter()
        .for_each(|index| summary.set(*index, PeerSummary::Dead));
    summary
}

fn datagram(updates: usize, kind: MessageKind) -> Datagram {
    let summary = (kind == MessageKind::SyncRequest).then(summary);
    let status = |n: usize| {
        [
            UpdateStatus::Alive,
            UpdateStatus::Suspect(3),
            UpdateStatus::Dead,
            UpdateStatus::Left,
        ][n % 4]
    };
    let update = |n: usize| Update {
        peer: n as u32,
        incarnation: NOW - 1_000_000_000 * n as u64,
        status: status(n),
    };
    let updates = (0..updates).map(update).collect();
    let (peer_set_digest, by_index) = (u32::MAX, true);
    Datagram {
        peer_set_digest,
        from: 7,
        incarnation: NOW,
        view_digest: 9,
        kind,
        summary,
        by_index,
        updates,
    }
}

#[test]
fn marks_are_set_and_read_and_what_is_beyond_them_is_none() {
    let mut summary = summary();
    summary.set(5000, PeerSummary::Dead);
    summary.set(6, PeerSummary::IncarnationRaised);
    summary.set(8, PeerSummary::Suspect);
    let set: Vec<_> = (0..5000)
        .filter(|index| summary.get(*index) != PeerSummary::Alive)
        .collect();
    assert_eq!(set, [0, 6, 7, 8, 999]);
    assert_eq!(
        (summary.get(6), summary.get(8)),
        (PeerSummary::IncarnationRaised, PeerSummary::Suspect)
    );
    assert_eq!(
        (
            summary.count_dead(1000),
            ViewSummary::all_alive(9).count_dead(9)
        ),
        (3, 0)
    );
}

#[test]
fn what_is_written_is_read_and_what_has_no_room_is_left_out() {
    for kind in [
        MessageKind::Ping(u32::MAX),
        MessageKind::SyncRequest,
        MessageKind::PingRequest(1, u32::MAX),
    ] {
        let (bytes, encoded_updates) = datagram(10, kind.clone()).encode();
        assert_eq!(
            (Datagram::decode(&bytes), encoded_updates),
            (Some(datagram(10, kind.clone())), 10)
        );
        assert_eq!(
            Datagram::decode(&[bytes, vec![0]].concat()),
            None,
            "nothing may follow"
        );
        let (bytes, encoded_updates) = datagram(1000, kind.clone()).encode();
        assert!(
            bytes.len() <= MAX_DATAGRAM_BYTES && bytes.len() > MAX_DATAGRAM_BYTES - 20,
            "{} bytes",
            bytes.len()
        );
        assert_eq!(
            Datagram::decode(&bytes),
            Some(datagram(encoded_updates, kind))
        );
    }
    let far = Update {
        peer: u32::MAX,
        incarnation: u64::MAX,
        status: UpdateStatus::Dead,
    };
    let mut far = Datagram {
        updates: vec![far; 5],
        ..datagram(0, MessageKind::Gossip)
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
        let mut bytes = datagram(10, MessageKind::SyncRequest).encode().0;
        let length = bytes.len();
        bytes[at % length] = to;
        let _ = Datagram::decode(&bytes);
        let _ = Datagram::decode(&bytes[..cut % length]);
    }
}
