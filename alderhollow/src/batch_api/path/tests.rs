//! Tests of parsing paths of batch calls.

use super::*;
use proptest::prelude::*;

#[test]
fn a_job_path_is_parsed_with_and_without_a_position() {
    assert_eq!(
        read("/alderhollow/lots/ab1", None),
        Ok(Target::Job {
            job: "ab1".into(),
            after: 0
        })
    );
    assert_eq!(
        read("/alderhollow/lots/ab1", Some("x=1&after=12")),
        Ok(Target::Job {
            job: "ab1".into(),
            after: 12
        })
    );
}

#[test]
fn an_item_needs_both_ids() {
    let item = Target::Item {
        job: "j".into(),
        item: "i/".replace('/', "1"),
    };
    assert_eq!(read("/alderhollow/items/j", Some("id=i1")), Ok(item));
    assert_eq!(read("/alderhollow/items/j", None), Err(PathError::Id));
    assert_eq!(
        read("/alderhollow/items/", Some("id=i1")),
        Err(PathError::Id)
    );
}

#[test]
fn percent_encoding_is_decoded_and_malformed_encoding_rejected() {
    assert_eq!(
        read("/alderhollow/lots/a%2Db", None),
        Ok(Target::Job {
            job: "a-b".into(),
            after: 0
        })
    );
    for bad in [
        "/alderhollow/lots/%",
        "/alderhollow/lots/%4",
        "/alderhollow/lots/%zz",
        "/alderhollow/lots/%ff",
    ] {
        assert_eq!(read(bad, None), Err(PathError::Id), "{bad}");
    }
    assert_eq!(
        read("/alderhollow/lots/a", Some("after=-1")),
        Err(PathError::After)
    );
    assert_eq!(read("/else", None), Err(PathError::Unknown));
}

proptest! {
    #[test]
    fn arbitrary_text_never_panics(path in ".*", query in ".*") {
        let _ = read(&path, Some(&query));
        let _ = read(&format!("{JOBS_PREFIX}{path}"), Some(&query));
        let _ = read(&format!("{ITEMS_PREFIX}{path}"), Some(&query));
    }
}
