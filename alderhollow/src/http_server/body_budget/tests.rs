//! Tests of the budget for bodies.

use super::{BodyBudget, BodyReservation};
use std::rc::Rc;

const BUDGET: usize = 10_000;

/// Reserves byte by byte until the route gets no more.
fn reserve_all(budget: &Rc<BodyBudget>, route: &str) -> BodyReservation {
    let mut reservation = budget.reservation(route);
    while reservation.reserve(1) {}
    reservation
}

#[test]
fn one_route_may_use_most_of_the_budget_and_the_others_what_is_left() {
    let budget = BodyBudget::new(BUDGET);
    let first = reserve_all(&budget, "first");
    assert!(first.bytes() >= BUDGET * 3 / 4, "{}", first.bytes());
    let second = reserve_all(&budget, "second");
    assert!(second.bytes() >= BUDGET / 10, "{}", second.bytes());
    let third = reserve_all(&budget, "third");
    assert!(third.bytes() >= BUDGET / 50, "{}", third.bytes());
}

#[test]
fn what_a_request_held_is_free_after_it() {
    let budget = BodyBudget::new(BUDGET);
    let first = reserve_all(&budget, "first").bytes();
    let mut reservation = budget.reservation("second");
    assert!(!reservation.reserve(BUDGET));
    drop(reservation);
    assert_eq!(reserve_all(&budget, "first").bytes(), first);
    assert!(budget.held.borrow().is_empty());
    assert_eq!(budget.free.get(), BUDGET);
}
