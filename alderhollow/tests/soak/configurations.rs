//! Configurations, and the operator who changes them.

use super::tier_support::configuration;
use super::violation::Violation;
use super::world::World;
use alderhollow_standins::operator::{Operator, Order};
use oorandom::Rand64;
use serde_json::Value;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// `max-attempts` of the batch route.
pub(crate) const MAX_ATTEMPTS: u32 = 3;
/// `max-queued-tokens` of the batch route.
const QUOTA: u64 = 6_000;
/// `QUOTA` times 1 + `quota-over` of the settings.
pub(crate) const QUOTA_LIMIT: u64 = QUOTA + QUOTA / 10;
/// Version of the configuration that a tier starts with.
pub(crate) const FIRST_VERSION: u64 = 4;
const LONGEST_PAUSE_MS: u64 = 2_500;
const MOST_CALLS: u32 = 8;
const OK: u16 = 200;

/// What an operator knows of the configurations.
pub(crate) struct ConfigurationRecord {
    acknowledged: u64,
    sent: BTreeSet<u64>,
}

impl ConfigurationRecord {
    /// The first configuration is acknowledged.
    pub(crate) fn new() -> ConfigurationRecord {
        ConfigurationRecord {
            acknowledged: FIRST_VERSION,
            sent: BTreeSet::from([FIRST_VERSION]),
        }
    }

    /// Number of changes that were sent.
    pub(crate) fn changes(&self) -> usize {
        self.sent.len() - 1
    }

    /// Checks the version that is read back at the end.
    pub(crate) fn check(&self, read: Option<u64>) -> Option<Violation> {
        let is_good = read
            .is_some_and(|version| version >= self.acknowledged && self.sent.contains(&version));
        (!is_good).then_some(Violation::ConfigurationLost {
            acknowledged: self.acknowledged,
            read,
        })
    }
}

/// The configuration of one version: a batch route with a small quota, and other routes that come and go.
pub(crate) fn soak_configuration(version: u64) -> Vec<u8> {
    let more: &[&str] = if version.is_multiple_of(2) {
        &[]
    } else {
        &["later"]
    };
    let mut document: Value = serde_json::from_slice(&configuration(version, more)).expect("JSON");
    for route in document["routes"].as_array_mut().expect("routes") {
        if route["route-type"] == "batch" {
            route["max-queued-tokens"] = QUOTA.into();
            route["max-attempts"] = MAX_ATTEMPTS.into();
        }
    }
    document.to_string().into_bytes()
}

/// Changes the configuration every now and then until `end`.
pub(crate) async fn change(world: Rc<World>, seed: u64, end: Instant) {
    let mut random = Rand64::new(u128::from(seed) << 8 | 0xff);
    let operator = Operator {
        max_calls: MOST_CALLS,
        ..Operator::new(world.controls.clone())
    };
    let mut base = FIRST_VERSION;
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(
            random.rand_range(0..LONGEST_PAUSE_MS),
        ))
        .await;
        let version = base + random.rand_range(1..4);
        world.configurations.borrow_mut().sent.insert(version);
        let answer = operator
            .send(&Order::put_config(base, soak_configuration(version)))
            .await;
        if answer.is_ok_and(|answer| answer.status == OK) {
            world.configurations.borrow_mut().acknowledged = version;
            base = version;
        } else if let Some(version) = read_version(&operator).await {
            base = version;
        }
    }
}

/// Number of the configuration that is read back.
pub(crate) async fn read_version(operator: &Operator) -> Option<u64> {
    let answer = operator.send(&Order::get_config()).await.ok()?;
    let document: Value = serde_json::from_slice(&answer.body).ok()?;
    document["config-version"].as_u64()
}
