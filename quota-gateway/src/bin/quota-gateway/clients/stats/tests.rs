use super::*;
use http_body_util::{BodyExt, Full};

fn figures(stats: &Rc<Stats>) -> Value {
    serde_json::from_str(&stats.line(&["a".into()], 3, 1)).expect("JSON")
}

#[tokio::test]
async fn each_request_counts_once_and_leaves_nothing_in_flight() {
    let stats = Stats::new(1);
    for fate in [Fate::Served, Fate::Refused, Fate::Failed] {
        let mut entry = stats.enter(0);
        entry.taken();
        entry.taken();
        assert_eq!(figures(&stats)["in_flight"], 1);
        assert_eq!(
            stats.requests(),
            1 + fate as u64,
            "one in hand counts as well"
        );
        let body = Answered::new(Full::new(Bytes::from_static(b"answer")), Some(entry), fate);
        body.collect().await.expect("a body");
    }
    // Its client left before the answer's end.
    let mut entry = stats.enter(0);
    entry.taken();
    drop(Answered::new(
        Full::new(Bytes::from_static(b"answer")),
        Some(entry),
        Fate::Served,
    ));
    // One that never came whole.
    drop(stats.enter(0));
    let figures = figures(&stats);
    assert_eq!(figures["served"]["a"], 1);
    assert_eq!(figures["refused"]["a"], 1);
    assert_eq!(figures["failed"]["a"], 3);
    assert_eq!((&figures["in_flight"], stats.requests()), (&json!(0), 5));
    assert_eq!(
        (&figures["backends_known"], &figures["backends_excluded"]),
        (&json!(3), &json!(1))
    );
}
