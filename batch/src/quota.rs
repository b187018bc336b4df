//! Distributed quota: the primaries of many groups share one route's limit of queued tokens without ever exceeding it.
//!
//! Each route has a *home group*, determined by the hash of its name ([`home_group`]). The primary of that group is
//! the route's [`Coordinator`]: it knows a count for each group and grants the remaining tokens. The primary of every
//! group (including the home group) has an [`Account`] for each route and never counts more tokens than its account's
//! limit.
//!
//! # Why the sum never exceeds the limit
//!
//! * A report returns all granted but unused tokens: the account's limit falls to `used` when the report is sent. The
//!   account applies only the answer to its newest report, and only once. Therefore a group may count at most what is
//!   reserved for it by the coordinator to which its newest report is addressed.
//! * A new primary may find more queued tokens than its predecessor counted, because uncommitted results are lost, and
//!   other groups may have been granted the difference. Therefore a new account's limit is 0 until its coordinator has
//!   answered, and the granted limit is below the group's use while all groups together use more than the route's
//!   limit.
//! * A report names the incarnation (epoch and session) of the coordinator to which it is addressed, and the address
//!   of an account never decreases. A coordinator counts a group only by reports addressed to itself. Therefore, once
//!   a coordinator has counted a group, that group's account uses no answer of an earlier coordinator, even if that
//!   one still answers.
//! * A coordinator grants nothing before it has counted all groups, and does not count a primary that had been
//!   replaced before the coordinator started ([`Coordinator::new`] takes the groups' epochs). A later primary of a
//!   group has read the coordinator's epoch together with its own, so it does not report to an earlier coordinator.
//!
//! This does not depend on clocks: leases only bound how long a replaced primary considers itself the primary.
//!
//! # Obligations of the caller
//!
//! * The epochs passed to [`Coordinator::new`] and [`Account::new`] come from one state of the core that was read
//!   after the start of this process and includes the group's own epoch.
//! * The session increases with each start of the process within an epoch of the group.
//! * After [`Account::next_report`], [`Account::on_grant`] and [`Account::set_max`], the caller passes
//!   [`Account::limit`] to the engine before the engine accepts another job.
pub mod account;
pub mod coordinator;
pub mod message;
pub mod meter;

pub use account::{Account, AccountCounters, QuotaOutcome, ResolvedSubmission, SubmissionId};
pub use coordinator::{Coordinator, CoordinatorCounters};
pub use message::{CoordinatorId, Decision, QuotaGrant, QuotaReading, QuotaReport, ReportId};
pub use meter::Meter;

use std::hash::Hasher;
use twox_hash::XxHash3_64;

/// The group whose primary coordinates a route. The result must be the same in all processes and versions.
pub fn home_group(route: &str, group_count: u32) -> u32 {
    let mut hasher = XxHash3_64::with_seed(0);
    hasher.write(route.as_bytes());
    let rest = hasher.finish() % u64::from(group_count.max(1));
    rest as u32
}
