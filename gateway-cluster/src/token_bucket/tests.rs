use super::*;

#[test]
fn a_bucket_allows_a_burst_of_its_capacity_and_then_its_rate() {
    let mut bucket = TokenBucket::full(5_000_000, 14.0, 8.0);
    let mut taken = 0;
    for now in (5_000_000..15_000_000).step_by(10_000) {
        bucket.fill(now);
        while bucket.has(1.0, 0.0) {
            bucket.take(1.0);
            taken += 1;
        }
    }
    assert_eq!(taken, 14 + 79, "the capacity and the refill of 9.99 s");
    bucket.fill(1_000_000_000);
    assert_eq!(bucket.level(), 14.0, "the level is capped at the capacity");
    bucket.take(4.0);
    bucket.fill(0);
    assert_eq!(bucket.level(), 10.0, "a time in the past adds no tokens");
    assert!(
        bucket.has(3.0, 0.5) && !bucket.has(3.1, 0.5),
        "half of the capacity is reserved"
    );
    bucket.take(11.0);
    assert_eq!(bucket.level(), 0.0);
}
