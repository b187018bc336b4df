//! Readings of the meter of queued tokens.

use alderhollow_batch::quota::{Meter, QuotaReading};

#[test]
fn a_period_yields_one_reading_with_all_rejected_tokens() {
    let mut meter = Meter::default();
    assert_eq!(meter.record(1_000, 3, "r", 10, 0), None);
    assert_eq!(meter.record(1_200, 3, "r", 20, 7), None);
    let reading = QuotaReading {
        period: (3 << 32) + 1,
        age_ms: 0,
        length_ms: 600,
        waiting: 30,
        beyond: 12,
    };
    assert_eq!(meter.record(1_600, 3, "r", 30, 5), Some(reading));
    let later = QuotaReading {
        age_ms: 100,
        ..reading
    };
    assert_eq!(meter.record(1_700, 3, "r", 40, 9), Some(later));
    let next = QuotaReading {
        period: (3 << 32) + 2,
        length_ms: 500,
        waiting: 50,
        beyond: 9,
        ..reading
    };
    assert_eq!(meter.record(2_100, 3, "r", 50, 0), Some(next));
}

#[test]
fn numbers_rise_over_epochs() {
    let mut meter = Meter::default();
    meter.record(0, 1, "r", 0, 0);
    let before = meter.record(600, 1, "r", 0, 0).expect("a reading");
    assert_eq!(meter.record(700, 2, "r", 0, 0), None);
    let after = meter.record(1_300, 2, "r", 0, 0).expect("a reading");
    assert!(after.period > before.period);
}
