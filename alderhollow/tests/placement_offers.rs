//! The placers that a sender asks for one request, and the offer that it keeps. Runs without real time.

use alderhollow::placement::message::Placement;
use alderhollow::placement::offers::{zones_to_ask, NoOffer, Offers};
use proptest::prelude::*;
use std::collections::BTreeSet;

const OWN: &str = "zone-0";
const OTHER: &str = "zone-1";

fn at(backend: &str, wait_ms: f64) -> Placement {
    Placement::At {
        backend: backend.to_string(),
        wait_ms,
    }
}

#[test]
fn a_good_local_offer_is_sufficient() {
    let mut offers = Offers::new(OWN);
    assert!(!offers.is_sufficient());
    assert_eq!(offers.add(OWN, 1, at("near", 20.0)), None);
    assert!(offers.is_sufficient());
    assert_eq!(offers.best().expect("an offer").backend, "near");
}

#[test]
fn a_remote_offer_must_exceed_the_cross_zone_cost_and_the_worse_offer_is_released() {
    let mut offers = Offers::new(OWN);
    assert_eq!(offers.add(OWN, 1, at("near", 300.0)), None);
    assert!(!offers.is_sufficient());
    let unused = offers
        .add(OTHER, 2, at("a little better", 290.0))
        .expect("it does not exceed the cross-zone cost");
    assert_eq!((unused.zone.as_str(), unused.number), (OTHER, 2));
    let unused = offers
        .add(OTHER, 3, at("free", 0.0))
        .expect("the first one is worse");
    assert_eq!((unused.zone.as_str(), unused.number), (OWN, 1));
    assert!(offers.is_sufficient());
    assert_eq!(offers.best().expect("an offer").number, 3);
}

#[test]
fn without_an_offer_the_earliest_retry_hint_is_returned() {
    let mut offers = Offers::new(OWN);
    offers.add(
        OWN,
        1,
        Placement::Full {
            retry_after_ms: 80.0,
        },
    );
    offers.add(
        OTHER,
        2,
        Placement::Full {
            retry_after_ms: 30.0,
        },
    );
    offers.add(OTHER, 3, Placement::NoneReady);
    assert_eq!(
        offers.best(),
        Err(NoOffer::Full {
            retry_after_ms: 30.0
        })
    );
    let mut offers = Offers::new(OWN);
    offers.add(OWN, 1, Placement::NoneReady);
    assert_eq!(offers.best(), Err(NoOffer::NoAnswer));
}

proptest! {
    #[test]
    fn the_own_zone_is_asked_first_and_no_zone_twice(count in 0_usize..8, own in 0_usize..10, draw in any::<u64>()) {
        let zones: Vec<String> = (0..count).map(|zone| format!("zone-{zone}")).collect();
        let own = format!("zone-{own}");
        let asked = zones_to_ask(zones.clone(), &own, draw);
        let distinct: BTreeSet<&String> = asked.iter().collect();
        prop_assert_eq!(distinct.len(), asked.len());
        prop_assert!(asked.iter().all(|zone| zones.contains(zone)));
        if zones.contains(&own) {
            prop_assert_eq!(asked.first(), Some(&own));
        }
        let others = asked.iter().filter(|zone| **zone != own).count();
        let most = zones.iter().filter(|zone| **zone != own).count().min(2);
        prop_assert_eq!(others, most);
    }
}
