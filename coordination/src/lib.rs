//! Coordination protocols of the serving tier, without sockets, clocks or threads.
//!
//! Each protocol is a state machine: its inputs are the time, received messages and finished disk writes, its outputs are
//! messages to send and records to write. The crate `alderhollow` drives them.
//!
//! | module | protocol |
//! | --- | --- |
//! | [`replica`] | primary-backup replication with witnesses and leases, for the control state (the *core*) |
//! | [`monitoring`] | failure detection by peers that probe each other |

pub mod monitoring;
pub mod replica;
