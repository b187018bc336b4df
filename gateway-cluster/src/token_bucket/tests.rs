use super::*;

#[test]
fn a_bucket_gives_its_size_at_once_and_then_its_rate() {
    let mut bucket = TokenBucket::full(5_000_000, 14.0, 8.0);
    let mut taken = 0;
    for now in (5_000_000..15_000_000).step_by(10_000) {
        bucket.fill(now);
        while bucket.has(1.0, 0.0) {
            bucket.take(1.0);
            taken += 1;
        }
    }
    assert_eq!(taken, 14 + 79, "its size, and what came in 9.99 s");
    bucket.fill(1_000_000_000);
    assert_eq!(bucket.level(), 14.0, "it holds no more than its size");
    bucket.take(4.0);
    bucket.fill(0);
    assert_eq!(bucket.level(), 10.0, "a time that lies back adds nothing");
    assert!(
        bucket.has(3.0, 0.5) && !bucket.has(3.1, 0.5),
        "half of it is kept"
    );
    bucket.take(11.0);
    assert_eq!(bucket.level(), 0.0);
}
