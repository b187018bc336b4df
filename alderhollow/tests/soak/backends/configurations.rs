//! Configurations that move a route from one service to the other and back.

use super::backends::OTHER_SERVICE;
use super::record::{Configured, Route};
use super::tier_support::{configuration, SERVICE};
use super::world::World;
use alderhollow_standins::operator::{Operator, Order};
use oorandom::Rand64;
use serde_json::Value;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Version of the configuration that a soak begins with.
pub(crate) const FIRST_VERSION: u64 = 4;
const SHORTEST_PAUSE_MS: u64 = 200;
const LONGEST_PAUSE_MS: u64 = 3_000;
const MOST_CALLS: u32 = 8;
const OK: u16 = 200;

/// The service of [`Route::Switch`] in a version.
fn switch_service(version: u64) -> &'static str {
    if version.is_multiple_of(2) {
        SERVICE
    } else {
        OTHER_SERVICE
    }
}

/// The configuration of one version.
pub(crate) fn soak_configuration(version: u64) -> Vec<u8> {
    let more = [Route::Sale.name(), Route::Switch.name()];
    let mut document: Value = serde_json::from_slice(&configuration(version, &more)).expect("JSON");
    for route in document["routes"].as_array_mut().expect("routes") {
        let name = route["name"].as_str().unwrap_or_default().to_string();
        if name == Route::Sale.name() {
            route["route-type"] = "non_idempotent".into();
            route["resumable"] = false.into();
        }
        if name == Route::Switch.name() {
            route["route-type"] = "idempotent".into();
            route["resumable"] = false.into();
            route["service"] = switch_service(version).into();
        }
    }
    let services = document["services"].as_array_mut().expect("services");
    let mut other = services[0].clone();
    other["name"] = OTHER_SERVICE.into();
    services.push(other);
    document.to_string().into_bytes()
}

/// Changes the configuration every now and then until `end`. An operator sends a change again until it is acknowledged.
pub(crate) async fn change(world: Rc<World>, seed: u64, end: Instant) {
    let mut random = Rand64::new(u128::from(seed) << 8 | 3);
    let operator = Operator {
        max_calls: MOST_CALLS,
        ..Operator::new(world.controls.clone())
    };
    let mut base = FIRST_VERSION;
    loop {
        let pause = random.rand_range(SHORTEST_PAUSE_MS..LONGEST_PAUSE_MS);
        sleep(Duration::from_millis(pause)).await;
        if Instant::now() >= end {
            return;
        }
        let version = base + 1;
        world.record.borrow_mut().configurations.push(Configured {
            version,
            service: switch_service(version),
            acknowledged: None,
        });
        while Instant::now() < end {
            let order = Order::put_config(base, soak_configuration(version));
            let answer = operator.send(&order).await;
            if answer.is_ok_and(|answer| answer.status == OK) {
                acknowledge(&world, version);
                base = version;
                break;
            }
        }
    }
}

fn acknowledge(world: &World, version: u64) {
    let mut record = world.record.borrow_mut();
    let newest = record.configurations.last_mut().expect("it was sent");
    newest.acknowledged = Some(Instant::now());
    record.note(format!("configuration {version} is acknowledged"));
}
