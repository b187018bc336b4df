use super::*;
use proptest::prelude::*;

/// A run's events from one id up to another, with a line for the version and a comment.
fn run(from: u64, to: u64) -> Vec<u8> {
    let event = |id: u64| match id % 3 {
        0 => format!("versions: {id}\nid: {id}\ndata: a{id}\ndata: b\n\n"),
        1 => format!("id:{id}\r\ndata: a{id}\r\n\r\n"),
        _ => format!(": note\nid: {id}\ndata: a{id}\n\n"),
    };
    (from..=to).map(event).collect::<String>().into_bytes()
}

fn pieces(bytes: &[u8], cuts: &[usize]) -> Vec<Bytes> {
    let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
    cuts.sort_unstable();
    let ends = cuts.iter().copied().chain([bytes.len()]);
    let starts = [0].into_iter().chain(cuts.iter().copied());
    starts
        .zip(ends)
        .map(|(start, end)| Bytes::copy_from_slice(&bytes[start..end]))
        .collect()
}

proptest! {
    /// The oracle: whoever reads the first run up to any byte and the second behind its last whole event has it all,
    /// each byte once.
    #[test]
    fn a_run_that_is_cut_at_any_byte_goes_on_without_loss_or_doubling(
        cut in 0usize..400,
        cuts in proptest::collection::vec(0usize..1000, 0..12),
        last in 1u64..15,
    ) {
        let whole = run(1, last);
        let first = &whole[..cut.min(whole.len())];
        let mut cutter = EventSplitter::after(None);
        let mut got = Vec::new();
        for piece in pieces(first, &cuts) {
            got.extend_from_slice(&cutter.push(piece).expect("it is in order"));
        }
        cutter.discard_partial();
        let after = cutter.last_id().unwrap_or(0);
        prop_assert_eq!(&got, &run(1, after));
        for piece in pieces(&run(after + 1, last), &cuts) {
            got.extend_from_slice(&cutter.push(piece).expect("it is in order"));
        }
        got.extend_from_slice(&cutter.finish());
        prop_assert_eq!(got, whole);
    }

    #[test]
    fn no_bytes_make_it_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200), cuts in proptest::collection::vec(0usize..200, 0..5)) {
        let mut cutter = EventSplitter::after(Some(1));
        for piece in pieces(&bytes, &cuts) {
            let _ = cutter.push(piece);
        }
    }
}

#[test]
fn a_run_that_begins_anew_is_seen() {
    let mut cutter = EventSplitter::after(Some(3));
    assert_eq!(cutter.push(Bytes::from(run(3, 4))), Err(EventError::Id));
    let mut cutter = EventSplitter::after(Some(3));
    assert_eq!(
        cutter.push(Bytes::from_static(b"id: x\n\n")),
        Err(EventError::Id)
    );
}

#[test]
fn an_event_without_an_end_is_not_held_for_ever() {
    let mut cutter = EventSplitter::after(None);
    let piece = Bytes::from(vec![b'x'; LARGEST_EVENT_BYTES]);
    assert_eq!(cutter.push(piece.clone()), Ok(Bytes::new()));
    assert_eq!(cutter.push(piece), Err(EventError::TooLarge));
}
