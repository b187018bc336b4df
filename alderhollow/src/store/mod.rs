//! The role `store`: keeps batch jobs on its disk with the other members of the batch groups that it belongs to and, as
//! the primary of some, serves the gateways' calls and runs the items.
//!
//! | part | does |
//! | --- | --- |
//! | [`activity`] | what the store did lately, for a line in the log |
//! | [`node`] | puts the batch engines on the clock, the network, the disk and the tables |
//! | [`group_engine`] | one group: its engine, waiting calls and meter |
//! | [`replication`] | takes the other stores' messages |
//! | [`routes`] | the batch routes as the engines take them |
//! | [`journal_records`] | records and snapshots of all groups in one journal |
//! | [`journal_queue`] | its writes, in order, and their ends; compaction; a disk that fails |
//! | [`waiting`] | calls that wait for an end or a result |
//! | [`calls`] | serves the gateways' calls |
//! | [`group_quota`] | a group's accounts and coordinator of the routes' shared limits of waiting tokens |
//! | [`quota_exchange`] | carries reports and grants between them over the network |
//! | [`item_starts`] | chooses the items to start, over all led groups |
//! | [`runs`] | starts and cancels runs of items |
//! | [`role`] | the process's main loop |

pub mod activity;
pub mod calls;
pub mod group_engine;
pub mod group_quota;
pub mod item_starts;
pub mod journal_queue;
pub mod journal_records;
pub mod node;
pub mod quota_exchange;
pub mod replication;
pub mod role;
pub mod routes;
pub mod runs;
pub mod waiting;

pub use node::StoreNode;
pub use role::run;
