//! Three stores with one batch group or several, a gateway's batch calls and a backend in one process, over loopback: jobs
//! are kept by all members, run by the primary, and stand at its successor. The disks are in memory.
//!
//! | part | tests |
//! | --- | --- |
//! | `jobs` | one group: jobs, items, ends, losses of power |
//! | `groups` | several groups over the stores |
//! | `quota` | the limit of a route that the groups share |

#[path = "../support/batch_backend.rs"]
mod batch_backend;
#[path = "../support/batch_tables.rs"]
mod batch_tables;
mod groups;
mod jobs;
mod quota;
mod tier;
