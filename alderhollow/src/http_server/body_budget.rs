//! The memory that the buffered bodies of all requests share.
//!
//! Requests hold their bodies until they end. A route whose backends are silent, or whose requests wait for capacity or
//! for a version of the weights, would thus take the memory of all others. So each route holds at most a multiple of what
//! is free (a dynamic threshold): alone it may use most of the budget, and the more is used, the less each may take.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A route with several requests holds at most this multiple of the free bytes.
const MAX_MULTIPLE_OF_FREE: usize = 4;

/// A budget in bytes.
#[derive(Debug)]
pub(super) struct BodyBudget {
    free: Cell<usize>,
    /// The bytes that requests of each route hold.
    held: RefCell<BTreeMap<String, usize>>,
}

impl BodyBudget {
    /// A budget of `bytes`.
    pub(super) fn new(bytes: usize) -> Rc<BodyBudget> {
        Rc::new(BodyBudget {
            free: Cell::new(bytes),
            held: RefCell::default(),
        })
    }

    /// An empty reservation for a request of a route.
    pub(super) fn reservation(self: &Rc<Self>, route: &str) -> BodyReservation {
        BodyReservation {
            budget: self.clone(),
            route: route.to_string(),
            bytes: 0,
        }
    }

    /// Takes bytes for a route, for a request that already holds `own` bytes. Returns whether it may have them. A route's
    /// only request may have all that is free, so that every body that fits the budget is taken at some time.
    fn take(&self, route: &str, own: usize, bytes: usize) -> bool {
        let Some(free) = self.free.get().checked_sub(bytes) else {
            return false;
        };
        let mut held = self.held.borrow_mut();
        let held_before = held.get(route).copied().unwrap_or(0);
        let held_after = held_before + bytes;
        let is_only_request = held_before == own;
        if !is_only_request && held_after > free.saturating_mul(MAX_MULTIPLE_OF_FREE) {
            return false;
        }
        self.free.set(free);
        held.insert(route.to_string(), held_after);
        true
    }

    fn give_back(&self, route: &str, bytes: usize) {
        self.free.set(self.free.get() + bytes);
        let mut held = self.held.borrow_mut();
        let Some(held_bytes) = held.get_mut(route) else {
            return;
        };
        *held_bytes = held_bytes.saturating_sub(bytes);
        if *held_bytes == 0 {
            held.remove(route);
        }
    }
}

/// The part of the budget that one request holds, released on drop.
#[derive(Debug)]
pub(super) struct BodyReservation {
    budget: Rc<BodyBudget>,
    route: String,
    bytes: usize,
}

impl BodyReservation {
    /// The reserved bytes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves further bytes. Returns whether the route may have them.
    pub(super) fn reserve(&mut self, bytes: usize) -> bool {
        let is_taken = self.budget.take(&self.route, self.bytes, bytes);
        if is_taken {
            self.bytes += bytes;
        }
        is_taken
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.give_back(&self.route, self.bytes);
    }
}

#[cfg(test)]
mod tests;
