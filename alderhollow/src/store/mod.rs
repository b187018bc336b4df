//! The role `store`: keeps batch jobs on its disk with the other members of its group and, as the group's primary, serves
//! the doors' calls and runs the items.
//!
//! | part | does |
//! | --- | --- |
//! | [`activity`] | what the store did lately, for a line in the log |
//! | [`node`] | puts the batch engine on the clock, the network and the tables |
//! | [`journal_queue`] | its writes, in order, and their ends; compaction; a disk that fails |
//! | [`waiting`] | calls that wait for an end or a result |
//! | [`calls`] | serves the doors' calls |
//! | [`runs`] | starts and cancels runs of items |
//! | [`role`] | the process's main loop |

pub mod activity;
pub mod calls;
pub mod journal_queue;
pub mod node;
pub mod role;
pub mod runs;
pub mod waiting;

pub use node::StoreNode;
pub use role::run;
