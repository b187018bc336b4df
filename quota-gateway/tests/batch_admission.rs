//! The coin of batch admission, against an oracle and a fluid model of the offered load.

use proptest::prelude::*;
use quota_gateway::batch_admission::{
    BatchAdmission, BatchAdmissionOptions, BatchDecision, MeterReading,
};

const TENANT: &str = "route";
const QUOTA: u64 = 1000;
const PERIOD_MS: f64 = 100.0;

/// The reading of a period that ends at its number times its length.
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

fn coin() -> BatchAdmission {
    BatchAdmission::new(BatchAdmissionOptions::default())
}

#[test]
fn the_chance_starts_at_one_and_all_are_passed_on_without_a_reading() {
    let mut coin = coin();
    assert_eq!(coin.admission_probability(TENANT), 1.0);
    assert_eq!(
        coin.decide(0.0, TENANT, 10 * QUOTA, QUOTA, 1.0),
        BatchDecision::Forward
    );
}

#[test]
fn a_period_is_used_once() {
    let mut coin = coin();
    coin.read(100.0, TENANT, reading(1, QUOTA, QUOTA));
    assert_eq!(coin.admission_probability(TENANT), 0.5);
    coin.read(110.0, TENANT, reading(1, QUOTA, 9 * QUOTA));
    coin.read(120.0, TENANT, reading(0, 0, 0));
    assert_eq!(coin.admission_probability(TENANT), 0.5);
}

#[test]
fn a_reading_at_or_below_the_quota_brings_the_chance_back() {
    let mut coin = coin();
    coin.read(100.0, TENANT, reading(1, QUOTA, 3 * QUOTA));
    assert_eq!(coin.admission_probability(TENANT), 0.25);
    coin.read(200.0, TENANT, reading(2, QUOTA / 10, 0));
    assert_eq!(coin.admission_probability(TENANT), 1.0);
}

#[test]
fn the_chance_that_held_during_the_period_counts() {
    let mut coin = coin();
    coin.read(100.0, TENANT, reading(1, QUOTA, QUOTA));
    // Half of the second period ran at 1 and half at 0.5, where the reading of the first came late.
    let mut late = self::coin();
    late.read(150.0, TENANT, reading(1, QUOTA, QUOTA));
    coin.read(200.0, TENANT, reading(2, QUOTA, QUOTA));
    late.read(200.0, TENANT, reading(2, QUOTA, QUOTA));
    assert!((coin.admission_probability(TENANT) - 0.25).abs() < 1e-9);
    assert!((late.admission_probability(TENANT) - 0.375).abs() < 1e-9);
}

#[test]
fn the_chance_keeps_to_the_floor() {
    let mut coin = coin();
    for period in 1..20 {
        coin.read(
            period as f64 * PERIOD_MS,
            TENANT,
            reading(period, QUOTA, 100 * QUOTA),
        );
    }
    assert_eq!(
        coin.admission_probability(TENANT),
        BatchAdmissionOptions::default().min_probability
    );
}

#[test]
fn without_a_limit_nothing_is_refused() {
    let mut coin = coin();
    coin.read(
        100.0,
        TENANT,
        MeterReading {
            quota: 0,
            ..reading(1, QUOTA, QUOTA)
        },
    );
    assert_eq!(coin.admission_probability(TENANT), 1.0);
    assert_eq!(
        coin.decide(100.0, TENANT, u64::MAX, 0, 1.0),
        BatchDecision::Forward
    );
}

#[test]
fn idle_tenants_are_forgotten() {
    let mut coin = coin();
    let idle = BatchAdmissionOptions::default().idle_timeout;
    coin.read(0.0, TENANT, reading(1, QUOTA, QUOTA));
    coin.decide(idle / 2.0, "another", 1, QUOTA, 0.0);
    assert_eq!(coin.tenant_count(), 2);
    coin.decide(idle * 1.3, "another", 1, QUOTA, 0.0);
    assert_eq!(
        (coin.tenant_count(), coin.admission_probability(TENANT)),
        (1, 1.0)
    );
}

#[test]
fn tenants_do_not_touch_each_other() {
    let mut coin = coin();
    coin.read(100.0, TENANT, reading(1, QUOTA, 9 * QUOTA));
    assert_eq!(coin.admission_probability("another"), 1.0);
    assert_eq!(
        coin.decide(100.0, "another", 2 * QUOTA, QUOTA, 1.0),
        BatchDecision::Forward
    );
}

/// What the coin should hold after some readings that each come as their period ends, by the formula alone.
fn chance_by_formula(readings: &[MeterReading], floor: f64) -> f64 {
    let mut chance = 1.0;
    for reading in readings {
        let used = (reading.waiting + reading.beyond) as f64 / reading.quota as f64;
        chance = if used == 0.0 {
            1.0
        } else {
            f64::min(1.0, chance / used).max(floor)
        };
    }
    chance
}

proptest! {
    #[test]
    fn the_chance_follows_the_formula(
        loads in prop::collection::vec((0u64..3 * QUOTA, 0u64..3 * QUOTA), 1..30),
    ) {
        let mut coin = coin();
        let readings: Vec<MeterReading> = loads
            .iter()
            .enumerate()
            .map(|(index, (waiting, beyond))| reading(index as u64 + 1, *waiting, *beyond))
            .collect();
        for reading in &readings {
            coin.read(reading.ended, TENANT, *reading);
        }
        let expected = chance_by_formula(&readings, BatchAdmissionOptions::default().min_probability);
        prop_assert!((coin.admission_probability(TENANT) - expected).abs() < 1e-9);
    }

    #[test]
    fn a_job_is_refused_only_if_a_fresh_reading_shows_that_it_does_not_fit(
        steps in prop::collection::vec(
            (0.0f64..400.0, any::<bool>(), 0u64..2 * QUOTA, 0u64..2 * QUOTA, 0.0f64..1.0), 1..60,
        ),
    ) {
        let mut coin = coin();
        let options = BatchAdmissionOptions::default();
        let (mut now, mut period) = (0.0, 0);
        let mut newest: Option<MeterReading> = None;
        for (pause, is_reading, tokens, beyond, draw) in steps {
            now += pause;
            if is_reading {
                period += 1;
                let told = MeterReading { began: now - PERIOD_MS, ended: now, ..reading(period, tokens, beyond) };
                coin.read(now, TENANT, told);
                newest = Some(told);
                continue;
            }
            let chance = coin.admission_probability(TENANT);
            let decision = coin.decide(now, TENANT, tokens, QUOTA, draw);
            let no_room = newest.is_some_and(|told| {
                now - told.ended <= options.max_reading_age && told.waiting + tokens > QUOTA
            });
            let expected =
                if no_room && draw >= chance { BatchDecision::Refuse } else { BatchDecision::Forward };
            prop_assert_eq!(decision, expected);
        }
    }

    #[test]
    fn under_a_steady_load_what_passes_the_coin_comes_to_the_quota(offered in 0.1f64..15.0) {
        let mut coin = coin();
        let mut passed = 0.0;
        for period in 1..20u64 {
            passed = coin.admission_probability(TENANT) * offered * QUOTA as f64;
            let waiting = passed.min(QUOTA as f64);
            let beyond = passed - waiting;
            coin.read(period as f64 * PERIOD_MS, TENANT, reading(period, waiting as u64, beyond as u64));
        }
        let wanted = (offered * QUOTA as f64).min(QUOTA as f64);
        prop_assert!((passed - wanted).abs() <= 0.01 * QUOTA as f64, "{} of {}", passed, wanted);
    }
}
