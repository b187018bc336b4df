//! Three stores with one or several batch groups, a gateway's batch calls and a backend in one process, over loopback: jobs
//! are replicated to all members, run by the primary, and still present at its successor. The disks are in memory.
//!
//! | module | tests |
//! | --- | --- |
//! | `jobs` | a single group: jobs, items, deletion, losses of power |
//! | `groups` | several groups spread over the stores |
//! | `quota` | the limit of a route, shared between groups |
//! | `waiting_items` | items that cannot run beside items that can |

#[path = "../support/batch_backend.rs"]
mod batch_backend;
#[path = "../support/batch_tables.rs"]
mod batch_tables;
mod groups;
mod jobs;
mod quota;
mod tier;
mod waiting_items;
