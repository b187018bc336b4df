use super::*;
use std::future::Future;
use tokio::time::timeout;

const HEAD: Duration = Duration::from_millis(2600);
const IDLE: Duration = Duration::from_millis(2000);

#[tokio::test(start_paused = true)]
async fn a_pause_is_not_taken_from_the_time_for_the_next_head() {
    let activity = ConnectionActivity::new(Times {
        head: HEAD,
        idle: IDLE,
    });
    let start = Instant::now();
    assert_eq!(activity.overdue().await, Due::Head);
    assert_eq!(start.elapsed(), HEAD);
    let busy = activity.asked();
    tokio::select! {
        _ = activity.overdue() => panic!("a request may take as long as it does"),
        () = sleep(3 * HEAD) => drop(busy),
    }
    sleep(IDLE * 3 / 4).await;
    activity.bytes_came();
    let start = Instant::now();
    assert_eq!(activity.overdue().await, Due::Head);
    assert_eq!(start.elapsed(), HEAD);
    drop(activity.asked());
    assert_eq!(activity.overdue().await, Due::Idle);
    let busy = activity.asked();
    let mut looks = 0;
    let mut overdue = std::pin::pin!(activity.overdue());
    let looking = std::future::poll_fn(|context| {
        looks += 1;
        overdue.as_mut().poll(context)
    });
    assert!(timeout(100 * HEAD, looking).await.is_err());
    assert!(
        looks <= 3,
        "a request that takes long is looked at {looks} times"
    );
    drop(busy);
    assert_eq!(overdue.await, Due::Idle);
    let start = Instant::now();
    activity.bytes_came();
    activity.head_overdue().await;
    assert_eq!(start.elapsed(), HEAD);
}
