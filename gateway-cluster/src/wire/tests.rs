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
fn a_summary_stores_the_state_of_each_peer_and_ignores_indexes_outside_the_set() {
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
fn datagrams_round_trip_and_updates_that_do_not_fit_are_left_out() {
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
            "a trailing byte is rejected"
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
    fn random_bytes_never_panic_and_decode_to_bounded_datagrams(mut bytes in proptest::collection::vec(any::<u8>(), 0..1500)) {
        if let Some(first) = bytes.first_mut() {
            *first = VERSION;
        }
        if let Some(read) = Datagram::decode(&bytes) {
            prop_assert!(read.updates.len() * 4 <= MAX_DATAGRAM_BYTES);
        }
    }

    #[test]
    fn decoding_a_corrupted_or_truncated_datagram_never_panics(position in 0usize..200, value in any::<u8>(), length_limit in 0usize..200) {
        let mut bytes = datagram(10, MessageKind::SyncRequest).encode().0;
        let length = bytes.len();
        bytes[position % length] = value;
        let _ = Datagram::decode(&bytes);
        let _ = Datagram::decode(&bytes[..length_limit % length]);
    }
}
