//! Tests of the budget for bodies.

use super::{BodyBudget, BodyReservation};
use std::rc::Rc;

const BUDGET: usize = 10_000;

const BODY: usize = 100;

/// Reserves bodies until the route gets no more.
fn reserve_all(budget: &Rc<BodyBudget>, route: &str) -> Vec<BodyReservation> {
    let reserve_body = || {
        let mut reservation = budget.reservation(route);
        reservation.reserve(BODY).then_some(reservation)
    };
    std::iter::from_fn(reserve_body).collect()
}

#[test]
fn one_route_may_use_most_of_the_budget_and_the_others_what_is_left() {
    let budget = BodyBudget::new(BUDGET);
    let first = reserve_all(&budget, "first");
    assert!(first.len() * BODY >= BUDGET * 3 / 4, "{}", first.len());
    let second = reserve_all(&budget, "second");
    assert!(second.len() * BODY >= BUDGET / 10, "{}", second.len());
    let third = reserve_all(&budget, "third");
    assert!(!third.is_empty());
}

/// Guards against a body that fits the budget being refused however often it is sent.
#[test]
fn the_only_request_of_a_route_may_use_the_whole_budget() {
    let budget = BodyBudget::new(BUDGET);
    let mut reservation = budget.reservation("first");
    for _ in 0..BUDGET / BODY {
        assert!(reservation.reserve(BODY));
    }
    assert!(!reservation.reserve(1));
}

#[test]
fn what_a_request_held_is_free_after_it() {
    let budget = BodyBudget::new(BUDGET);
    let first = reserve_all(&budget, "first").len();
    let mut reservation = budget.reservation("second");
    assert!(!reservation.reserve(BUDGET + 1));
    drop(reservation);
    assert_eq!(reserve_all(&budget, "first").len(), first);
    assert!(budget.held.borrow().is_empty());
    assert_eq!(budget.free.get(), BUDGET);
}
