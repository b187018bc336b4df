//! Tests of the pace of checks.

use super::{AwaitedWeights, WeightsChecks, CHECK_INTERVAL_MS, TRIAL_INTERVAL_MS};
use crate::balance::{ExpectedWeights, WeightsVersion};

fn awaited(version: u64) -> AwaitedWeights {
    AwaitedWeights {
        service: "s".to_string(),
        expected: ExpectedWeights {
            model: 1,
            version: WeightsVersion::Number(version),
        },
    }
}

#[test]
fn many_items_are_checked_one_after_another() {
    let mut checks = WeightsChecks::default();
    let due: Vec<u64> = (0..1_000)
        .map(|_| checks.next_check_after_ms(0.0, awaited(1)))
        .collect();
    assert_eq!((due[0], due[1], due[999]), (300, 302, 2_298));
}

/// Guards against one version's many items delaying the first item of another version.
#[test]
fn versions_do_not_delay_each_other() {
    let mut checks = WeightsChecks::default();
    for _ in 0..1_000 {
        checks.next_check_after_ms(0.0, awaited(1));
    }
    assert_eq!(checks.next_check_after_ms(0.0, awaited(2)), 300);
}

#[test]
fn one_item_tries_at_a_time() {
    let mut checks = WeightsChecks::default();
    let tries = (0..1_000).filter(|now| checks.may_try(f64::from(*now), &awaited(1)));
    assert_eq!(tries.count() as f64, 1_000.0 / TRIAL_INTERVAL_MS);
}

#[test]
fn versions_that_nothing_waits_for_are_forgotten() {
    let mut checks = WeightsChecks::default();
    for version in 0..100 {
        checks.next_check_after_ms(0.0, awaited(version));
    }
    checks.next_check_after_ms(3.0 * CHECK_INTERVAL_MS, awaited(0));
    assert_eq!(checks.checks.len(), 1);
}
