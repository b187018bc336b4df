//! How the primaries of many groups share one route's limit of waiting tokens, exactly.
//!
//! Each route has a *home group*, by the hash of its name ([`home_group`]). The primary of that group is the route's
//! [`Coordinator`]: it knows a count for each group and gives out what is left. The primary of every group (the home
//! group included) holds an [`Account`] for each route and never counts more tokens than its account's limit.
//!
//! # Why the sum never exceeds the limit
//!
//! * A report returns all that is granted and unused: the account's limit falls to `used` as the report is sent. The
//!   account takes only the answer to its newest report, once. So what a group may count is at most what the coordinator
//!   that its newest report is addressed to keeps for it.
//! * What a successor finds may be more than its predecessor counted (results that were not committed), and others may have
//!   been given the difference. So a new account's limit is 0 until its coordinator has answered, and the answer's limit
//!   is below what the group uses while the groups together use more than there is.
//! * A report names the coordinator's incarnation (epoch and session) that it is addressed to, and an account's address
//!   never falls. A coordinator counts a group only by reports that are addressed to itself. So once it has counted a group,
//!   that account uses no answer of an earlier coordinator, also if the earlier one still answers.
//! * A coordinator gives nothing before it has counted all groups, and counts no primary that had been replaced when the
//!   coordinator began ([`Coordinator::new`] is told the groups' epochs). A primary that takes a group over later has
//!   read the coordinator's epoch with its own, so it asks no earlier coordinator.
//!
//! None of this needs a clock: leases only bound how long a replaced primary believes that it is one.
//!
//! # What the caller owes
//!
//! * The epochs that [`Coordinator::new`] and [`Account::new`] are told come from one state of the core, read after the
//!   start of this process, that contains the own epoch.
//! * Sessions rise with each start of the process within an epoch of the group.
//! * After [`Account::next_report`], [`Account::on_grant`] and [`Account::set_max`] the engine is told
//!   [`Account::limit`] before it takes another job.
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

/// The group whose primary coordinates a route. It is the same in all processes and versions.
pub fn home_group(route: &str, group_count: u32) -> u32 {
    let mut hasher = XxHash3_64::with_seed(0);
    hasher.write(route.as_bytes());
    let rest = hasher.finish() % u64::from(group_count.max(1));
    rest as u32
}
