//! What must always hold. A violation is a fault of the program: it is counted and logged, and the process goes on; in
//! builds with debug assertions it panics, so that no test passes over it.

use crate::metrics;
use crate::metrics::family::{label, Label};
use std::sync::atomic::{AtomicBool, Ordering};

/// Violations of one invariant that are logged; further ones are only counted.
const MOST_LOGGED: u64 = 5;

static TOLERATED: AtomicBool = AtomicBool::new(false);

label! {
    /// What must always hold.
    Invariant named "invariant" {
        /// A batch job that is accepted leaves its route's count of waiting tokens within the route's limit.
        QuotaAtAcceptance => "quota_at_acceptance",
        /// The epoch of the batch group that a store acts on never falls within the store's incarnation.
        GroupEpochRises => "group_epoch_rises",
        /// What a route's coordinator has given out to all groups together stays within the route's limit.
        QuotaGrantsWithinLimit => "quota_grants_within_limit",
        /// What a group counts on a route after an acceptance stays within what its coordinator has given to it.
        QuotaUseWithinGrant => "quota_use_within_grant",
        /// A store keeps a batch job only in the group that the hash of the job's id names.
        JobInItsGroup => "job_in_its_group",
    }
}

/// Checks that an invariant holds; `details` says what was found if it doesn't.
pub fn check(invariant: Invariant, holds: bool, details: impl FnOnce() -> String) {
    if holds {
        return;
    }
    let violations = metrics::get().invariants.violated(invariant);
    let details = details();
    if violations <= MOST_LOGGED {
        log::error!("the invariant {} is violated: {details}", invariant.value());
    }
    if cfg!(debug_assertions) && !TOLERATED.load(Ordering::Relaxed) {
        panic!("the invariant {} is violated: {details}", invariant.value());
    }
}

/// Has violations counted and logged only, also in builds with debug assertions: for tests of the counting itself.
pub fn tolerate_violations() {
    TOLERATED.store(true, Ordering::Relaxed);
}
