//! Tests of parsing events that are truncated at any byte.

use super::*;
use proptest::prelude::*;

const STREAM: &str =
    "id: 1\ndata: one\n\nversions: 4\nid: 2\ndata: two\n\n: note\n\nid: 3\ndata: drei \u{e4}\n\n";

fn read(chunks: &[&[u8]]) -> EventReader {
    let mut reader = EventReader::default();
    for chunk in chunks {
        reader.push(chunk).expect("a valid chunk");
    }
    reader
}

#[test]
fn complete_events_are_joined_by_line_feeds() {
    let reader = read(&[STREAM.as_bytes()]);
    assert_eq!(reader.transcript().text, "one\ntwo\ndrei \u{e4}");
    assert_eq!(reader.transcript().last_id, Some(3));
    assert!(reader.is_between_events());
}

#[test]
fn a_stream_interrupted_at_any_byte_resumes_without_loss_or_duplication() {
    for cut in 0..=STREAM.len() {
        let first = read(&[&STREAM.as_bytes()[..cut]]).into_transcript();
        let next_id = first.last_id.unwrap_or(0) + 1;
        let rest = match STREAM.find(&format!("id: {next_id}\n")) {
            Some(start) => &STREAM[start..],
            None => "",
        };
        let mut second = EventReader::after(first);
        second.push(rest.as_bytes()).expect("valid");
        assert_eq!(
            second.transcript().text,
            "one\ntwo\ndrei \u{e4}",
            "cut at {cut}"
        );
        assert_eq!(second.transcript().events, 3, "cut at {cut}");
    }
}

#[test]
fn ids_must_be_present_and_increase() {
    for bad in [
        "id: 2\ndata: a\n\nid: 2\ndata: b\n\n",
        "id: 2\ndata: a\n\nid: 1\ndata: b\n\n",
        "data: a\n\n",
        "id: x\ndata: a\n\n",
    ] {
        assert_eq!(
            EventReader::default().push(bad.as_bytes()),
            Err(EventError::Id),
            "{bad}"
        );
    }
}

#[test]
fn an_event_of_a_run_that_resumes_too_early_is_rejected() {
    let mut reader = EventReader::after(Transcript {
        last_id: Some(4),
        text: "x".into(),
        events: 4,
    });
    assert_eq!(reader.push(b"id: 4\ndata: y\n\n"), Err(EventError::Id));
}

#[test]
fn empty_data_counts_as_an_event() {
    assert_eq!(
        read(&[b"id: 1\ndata:\n\nid: 2\ndata: b\n\n"])
            .transcript()
            .text,
        "\nb"
    );
}

#[test]
fn carriage_returns_end_lines_too() {
    assert_eq!(
        read(&[b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"])
            .transcript()
            .text,
        "a\nb"
    );
}

#[test]
fn an_event_beyond_the_maximum_size_is_rejected() {
    let mut reader = EventReader::default();
    let chunk = vec![b'x'; MAX_EVENT_BYTES / 2];
    assert_eq!(reader.push(&chunk), Ok(()));
    assert_eq!(reader.push(&chunk), Ok(()));
    assert_eq!(reader.push(&chunk), Err(EventError::TooLarge));
}

proptest! {
    #[test]
    fn the_result_does_not_depend_on_chunk_boundaries(
        texts in proptest::collection::vec("[a-z \u{e4}]{0,20}", 1..20),
        cuts in proptest::collection::vec(0usize..400, 0..12),
    ) {
        let mut stream = Vec::new();
        for (index, text) in texts.iter().enumerate() {
            stream.extend_from_slice(format!("id: {}\ndata: {text}\n\n", index + 1).as_bytes());
        }
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut % stream.len()).collect();
        cuts.sort_unstable();
        let mut reader = EventReader::default();
        let mut from = 0;
        for cut in cuts.into_iter().chain([stream.len()]) {
            reader.push(&stream[from..cut]).expect("valid");
            from = cut;
        }
        prop_assert_eq!(&reader.transcript().text, &texts.join("\n"));
        prop_assert_eq!(reader.transcript().last_id, Some(texts.len() as u64));
    }

    #[test]
    fn arbitrary_bytes_never_panic(chunks in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..60), 0..20)) {
        let mut reader = EventReader::default();
        for chunk in chunks {
            if reader.push(&chunk).is_err() {
                break;
            }
        }
    }
}
