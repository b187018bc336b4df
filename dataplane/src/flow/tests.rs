use super::*;
use http_body_util::BodyExt;

#[tokio::test]
async fn a_body_that_is_cut_short_is_seen_to_be() {
    for (length, sent, ended, whole) in [
        (Some(4), 4, false, true),
        (Some(4), 2, true, false),
        (None, 4, true, true),
        (None, 4, false, false),
    ] {
        let (source, flow) = flow(length, Arc::new(Semaphore::new(0)));
        let writing = async {
            source
                .send(Bytes::from(vec![0; sent]))
                .await
                .expect("it is read");
            if ended {
                source.end();
            }
        };
        let ((), read) = tokio::join!(writing, flow.collect());
        assert_eq!(read.is_ok(), whole, "{length:?} {sent} {ended}");
    }
}

#[tokio::test]
async fn what_is_read_ahead_is_bounded_and_its_room_comes_back() {
    let ahead = Arc::new(Semaphore::new(10_000));
    let (source, mut flow) = flow(None, ahead.clone());
    let piece = Bytes::from(vec![0; 5000]);
    for _ in 0..3 {
        source
            .send(piece.clone())
            .await
            .expect("there is room for two, and one of its own");
    }
    tokio::select! {
        biased;
        _ = source.send(piece.clone()) => panic!("the fourth has to wait for the reader"),
        () = tokio::task::yield_now() => {}
    }
    flow.frame().await.expect("a piece").expect("whole");
    source.send(piece).await.expect("there is room again");
    drop((source, flow));
    assert_eq!(ahead.available_permits(), 10_000);
}
