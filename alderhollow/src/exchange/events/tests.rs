use super::*;
use proptest::prelude::*;

/// Events of one run with ids `from` to `to`, some with a `versions` line or a comment.
fn run(from: u64, to: u64) -> Vec<u8> {
    let event = |id: u64| match id % 3 {
        0 => format!("versions: {id}\nid: {id}\ndata: a{id}\ndata: b\n\n"),
        1 => format!("id:{id}\r\ndata: a{id}\r\n\r\n"),
        _ => format!(": note\nid: {id}\ndata: a{id}\n\n"),
    };
    (from..=to).map(event).collect::<String>().into_bytes()
}

fn chunks(bytes: &[u8], cuts: &[usize]) -> Vec<Bytes> {
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
    /// Reading a first run up to any byte and a second run after its last complete event gives every byte exactly once.
    #[test]
    fn a_run_interrupted_at_any_byte_resumes_without_loss_or_duplication(
        cut in 0usize..400,
        cuts in proptest::collection::vec(0usize..1000, 0..12),
        last in 1u64..15,
    ) {
        let expected = run(1, last);
        let first = &expected[..cut.min(expected.len())];
        let mut splitter = EventSplitter::after(None);
        let mut forwarded = Vec::new();
        for chunk in chunks(first, &cuts) {
            forwarded.extend_from_slice(&splitter.push(chunk).expect("a valid chunk"));
        }
        splitter.discard_partial();
        let after = splitter.last_id().unwrap_or(0);
        prop_assert_eq!(&forwarded, &run(1, after));
        for chunk in chunks(&run(after + 1, last), &cuts) {
            forwarded.extend_from_slice(&splitter.push(chunk).expect("a valid chunk"));
        }
        forwarded.extend_from_slice(&splitter.finish());
        prop_assert_eq!(forwarded, expected);
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200), cuts in proptest::collection::vec(0usize..200, 0..5)) {
        let mut splitter = EventSplitter::after(Some(1));
        for chunk in chunks(&bytes, &cuts) {
            let _ = splitter.push(chunk);
        }
    }
}

#[test]
fn ids_that_do_not_increase_are_rejected() {
    let mut splitter = EventSplitter::after(Some(3));
    assert_eq!(splitter.push(Bytes::from(run(3, 4))), Err(EventError::Id));
    let mut splitter = EventSplitter::after(Some(3));
    assert_eq!(
        splitter.push(Bytes::from_static(b"id: x\n\n")),
        Err(EventError::Id)
    );
}

#[test]
fn an_event_beyond_the_maximum_size_is_rejected() {
    let mut splitter = EventSplitter::after(None);
    let chunk = Bytes::from(vec![b'x'; MAX_EVENT_BYTES]);
    assert_eq!(splitter.push(chunk.clone()), Ok(Bytes::new()));
    assert_eq!(splitter.push(chunk), Err(EventError::TooLarge));
}
