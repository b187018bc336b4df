//! Tests of reading batch jobs and writing results as JSON.

use super::*;
use proptest::prelude::*;
use serde_json::json;

fn job_with(change: impl Fn(&mut serde_json::Value)) -> Result<Vec<SubmittedItem>, DocumentError> {
    let mut item = json!({"id": "i1", "path": "/p/1", "headers": {"Model": "m"}, "body": "q83v", "tokens": 940});
    change(&mut item);
    read(json!({ "requests": [item] }).to_string().as_bytes())
}

#[test]
fn a_batch_job_is_read() {
    insta::assert_debug_snapshot!(job_with(|_| ()), @r#"
    Ok(
        [
            SubmittedItem {
                id: "i1",
                path: "/p/1",
                headers: [
                    (
                        "Model",
                        "m",
                    ),
                ],
                body: [
                    171,
                    205,
                    239,
                ],
                tokens: 940,
            },
        ],
    )
    "#);
}

#[test]
fn unknown_fields_are_ignored() {
    assert!(job_with(|item| item["later"] = json!([1])).is_ok());
}

#[test]
fn an_item_that_cannot_be_sent_to_a_backend_is_rejected() {
    assert_eq!(
        job_with(|item| item["id"] = json!("")),
        Err(DocumentError::Id(0))
    );
    assert_eq!(
        job_with(|item| item["id"] = json!("a b")),
        Err(DocumentError::Id(0))
    );
    assert_eq!(
        job_with(|item| item["path"] = json!("p")),
        Err(DocumentError::Path(0))
    );
    assert_eq!(
        job_with(|item| item["path"] = json!("/a b")),
        Err(DocumentError::Path(0))
    );
    assert_eq!(
        job_with(|item| item["body"] = json!("!")),
        Err(DocumentError::Body(0))
    );
    assert_eq!(
        job_with(|item| item["headers"] = json!({"A": "b\r\nC: d"})),
        Err(DocumentError::Header(0, "A".to_string()))
    );
    assert!(matches!(
        job_with(|item| item["tokens"] = json!(-1)),
        Err(DocumentError::Json(_))
    ));
    assert!(matches!(
        read(b"{\"requests\":[{\"id\":\"x\""),
        Err(DocumentError::Json(_))
    ));
    assert_eq!(read(b"{\"requests\":[]}"), Err(DocumentError::Empty));
}

#[test]
fn two_items_with_the_same_id_are_rejected() {
    let item = json!({"id": "i1", "path": "/p", "body": "", "tokens": 1});
    let body = json!({ "requests": [item, item] }).to_string();
    assert_eq!(read(body.as_bytes()), Err(DocumentError::Id(1)));
}

#[test]
fn more_than_the_maximum_number_of_items_is_rejected() {
    let items = |count: usize| {
        let items: Vec<_> = (0..count)
            .map(|n| json!({"id": n.to_string(), "path": "/p"}))
            .collect();
        read(json!({ "requests": items }).to_string().as_bytes()).map(|items| items.len())
    };
    assert_eq!(items(MAX_ITEMS), Ok(MAX_ITEMS));
    assert_eq!(
        items(MAX_ITEMS + 1),
        Err(DocumentError::TooManyItems(MAX_ITEMS + 1))
    );
}

#[test]
fn results_have_the_documented_format() {
    let answer = ReadResponse {
        total: 40,
        next_token: 14,
        results: vec![
            ReadResult {
                id: "i1",
                state: ResultState::Completed,
                text: "one\ntwo \"2\"",
            },
            ReadResult {
                id: "i2",
                state: ResultState::DeadLetter,
                text: "",
            },
        ],
    };
    insta::assert_snapshot!(
        String::from_utf8(answer.to_json()).expect("text"),
        @r#"{"total":40,"next-token":14,"results":[{"id":"i1","state":"completed","text":"one\ntwo \"2\""},{"id":"i2","state":"dead_letter","text":""}]}"#
    );
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = read(&bytes);
    }

    #[test]
    fn a_damaged_batch_job_never_panics(at in 0usize..200, byte in any::<u8>(), cut in 0usize..200) {
        let item = json!({"id": "i1", "path": "/p/1", "headers": {"Model": "m"}, "body": "q83v", "tokens": 9});
        let mut bytes = json!({ "requests": [item] }).to_string().into_bytes();
        let at = at % bytes.len();
        bytes[at] = byte;
        bytes.truncate(cut.max(1));
        let _ = read(&bytes);
    }

    #[test]
    fn submitted_values_are_kept(body in proptest::collection::vec(any::<u8>(), 0..300), tokens in any::<u64>()) {
        let item = json!({"id": "i1", "path": "/p", "body": BASE64_STANDARD.encode(&body), "tokens": tokens});
        let items = read(json!({ "requests": [item] }).to_string().as_bytes()).expect("valid");
        prop_assert_eq!(&items[0].body, &body);
        prop_assert_eq!(items[0].tokens, tokens);
    }
}
