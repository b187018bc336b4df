//! Probabilistic batch admission, checked against a reference formula and a fluid model of the offered load.

use proptest::prelude::*;
use quota_gateway::batch_admission::{
    BatchAdmission, BatchAdmissionOptions, BatchDecision, MeterReading,
};

const TENANT: &str = "route";
const QUOTA: u64 = 1000;
const PERIOD_MS: f64 = 100.0;

/// The meter reading of period number `period`, which ends at `period` times `PERIOD_MS`.
fn reading(period: u64, waiting: u64, beyond: u64) -> MeterReading {
    let ended = period as f64 * PERIOD_MS;
    MeterReading {
        period,
        began: ended - PERIOD_MS,
        ended,
        waiting,
        beyond,
        quota: QUOTA,
    }
}

fn admission() -> BatchAdmission {
    BatchAdmission::new(BatchAdmissionOptions::default())
}

#[test]
fn without_a_reading_the_probability_is_one_and_all_jobs_pass() {
    let mut admission = admission();
    assert_eq!(admission.admission_probability(TENANT), 1.0);
    assert_eq!(
        admission.decide(0.0, TENANT, 10 * QUOTA, QUOTA, 1.0),
        BatchDecision::Forward
    );
}

#[test]
fn each_period_is_applied_once() {
    let mut admission = admission();
    admission.read(100.0, TENANT, reading(1, QUOTA, QUOTA));
    assert_eq!(admission.admission_probability(TENANT), 0.5);
    admission.read(110.0, TENANT, reading(1, QUOTA, 9 * QUOTA));
    admission.read(120.0, TENANT, reading(0, 0, 0));
    assert_eq!(admission.admission_probability(TENANT), 0.5);
}

#[test]
fn a_reading_within_the_quota_restores_the_probability() {
    let mut admission = admission();
    admission.read(100.0, TENANT, reading(1, QUOTA, 3 * QUOTA));
    assert_eq!(admission.admission_probability(TENANT), 0.25);
    admission.read(200.0, TENANT, reading(2, QUOTA / 10, 0));
    assert_eq!(admission.admission_probability(TENANT), 1.0);
}

#[test]
fn a_reading_scales_the_mean_probability_of_its_period() {
    let mut admission = admission();
    admission.read(100.0, TENANT, reading(1, QUOTA, QUOTA));
    // With the late reading of the first period, half of the second ran at probability 1 and half at 0.5.
    let mut late_read = self::admission();
    late_read.read(150.0, TENANT, reading(1, QUOTA, QUOTA));
    admission.read(200.0, TENANT, reading(2, QUOTA, QUOTA));
    late_read.read(200.0, TENANT, reading(2, QUOTA, QUOTA));
    assert!((admission.admission_probability(TENANT) - 0.25).abs() < 1e-9);
    assert!((late_read.admission_probability(TENANT) - 0.375).abs() < 1e-9);
}

#[test]
fn the_probability_does_not_fall_below_the_floor() {
    let mut admission = admission();
    for period in 1..20 {
        admission.read(
            period as f64 * PERIOD_MS,
            TENANT,
            reading(period, QUOTA, 100 * QUOTA),
        );
    }
    assert_eq!(
        admission.admission_probability(TENANT),
        BatchAdmissionOptions::default().min_probability
    );
}

#[test]
fn without_a_limit_nothing_is_refused() {
    let mut admission = admission();
    admission.read(
        100.0,
        TENANT,
        MeterReading {
            quota: 0,
            ..reading(1, QUOTA, QUOTA)
        },
    );
    assert_eq!(admission.admission_probability(TENANT), 1.0);
    assert_eq!(
        admission.decide(100.0, TENANT, u64::MAX, 0, 1.0),
        BatchDecision::Forward
    );
}

#[test]
fn idle_tenants_are_forgotten() {
    let mut admission = admission();
    let idle = BatchAdmissionOptions::default().idle_timeout;
    admission.read(0.0, TENANT, reading(1, QUOTA, QUOTA));
    admission.decide(idle / 2.0, "another", 1, QUOTA, 0.0);
    assert_eq!(admission.tenant_count(), 2);
    admission.decide(idle * 1.3, "another", 1, QUOTA, 0.0);
    assert_eq!(
        (
            admission.tenant_count(),
            admission.admission_probability(TENANT)
        ),
        (1, 1.0)
    );
}

#[test]
fn tenants_are_independent() {
    let mut admission = admission();
    admission.read(100.0, TENANT, reading(1, QUOTA, 9 * QUOTA));
    assert_eq!(admission.admission_probability("another"), 1.0);
    assert_eq!(
        admission.decide(100.0, "another", 2 * QUOTA, QUOTA, 1.0),
        BatchDecision::Forward
    );
}

/// The probability that follows by formula from readings that each arrive at the end of their period.
fn expected_probability(readings: &[MeterReading], floor: f64) -> f64 {
    let mut probability = 1.0;
    for reading in readings {
        let used = (reading.waiting + reading.beyond) as f64 / reading.quota as f64;
        probability = if used == 0.0 {
            1.0
        } else {
            f64::min(1.0, probability / used).max(floor)
        };
    }
    probability
}

proptest! {
    #[test]
    fn the_probability_follows_the_formula(
        loads in prop::collection::vec((0u64..3 * QUOTA, 0u64..3 * QUOTA), 1..30),
    ) {
        let mut admission = admission();
        let readings: Vec<MeterReading> = loads
            .iter()
            .enumerate()
            .map(|(index, (waiting, beyond))| reading(index as u64 + 1, *waiting, *beyond))
            .collect();
        for reading in &readings {
            admission.read(reading.ended, TENANT, *reading);
        }
        let expected = expected_probability(&readings, BatchAdmissionOptions::default().min_probability);
        prop_assert!((admission.admission_probability(TENANT) - expected).abs() < 1e-9);
    }

    #[test]
    fn a_job_is_refused_only_if_a_fresh_reading_shows_that_it_does_not_fit(
        steps in prop::collection::vec(
            (0.0f64..400.0, any::<bool>(), 0u64..2 * QUOTA, 0u64..2 * QUOTA, 0.0f64..1.0), 1..60,
        ),
    ) {
        let mut admission = admission();
        let options = BatchAdmissionOptions::default();
        let (mut now, mut period) = (0.0, 0);
        let mut last_reading: Option<MeterReading> = None;
        for (pause, is_reading, tokens, beyond, draw) in steps {
            now += pause;
            if is_reading {
                period += 1;
                let latest = MeterReading { began: now - PERIOD_MS, ended: now, ..reading(period, tokens, beyond) };
                admission.read(now, TENANT, latest);
                last_reading = Some(latest);
                continue;
            }
            let probability = admission.admission_probability(TENANT);
            let decision = admission.decide(now, TENANT, tokens, QUOTA, draw);
            let no_room = last_reading.is_some_and(|latest| {
                now - latest.ended <= options.max_reading_age && latest.waiting + tokens > QUOTA
            });
            let expected =
                if no_room && draw >= probability { BatchDecision::Refuse } else { BatchDecision::Forward };
            prop_assert_eq!(decision, expected);
        }
    }

    #[test]
    fn under_steady_load_the_admitted_work_converges_to_the_quota(offered in 0.1f64..15.0) {
        let mut admission = admission();
        let mut passed = 0.0;
        for period in 1..20u64 {
            passed = admission.admission_probability(TENANT) * offered * QUOTA as f64;
            let waiting = passed.min(QUOTA as f64);
            let beyond = passed - waiting;
            admission.read(period as f64 * PERIOD_MS, TENANT, reading(period, waiting as u64, beyond as u64));
        }
        let expected = (offered * QUOTA as f64).min(QUOTA as f64);
        prop_assert!((passed - expected).abs() <= 0.01 * QUOTA as f64, "{} of {}", passed, expected);
    }
}
