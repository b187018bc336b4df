//! The `store` role: replicates batch jobs to disk together with the other members of its batch groups. For the groups
//! of which it is the primary, a store also serves the gateways' calls and runs the items.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`activity`] | recent activity, as metrics and a periodic log line |
//! | [`node`] | connects the batch engines to the clock, the network, the disk and the tables |
//! | [`group_engine`] | one batch group: its engine, waiting calls and meter |
//! | [`replication`] | receives replication messages from other stores |
//! | [`routes`] | converts the configured batch routes for the engines |
//! | [`journal_records`] | format of the journal that all groups share |
//! | [`journal_queue`] | queue of journal writes; compaction and recovery from disk failures |
//! | [`waiting`] | calls that wait for an operation's outcome or a result |
//! | [`calls`] | handles the gateways' calls |
//! | [`group_quota`] | a group's quota accounts and coordinator for the limits of waiting tokens shared between groups |
//! | [`quota_exchange`] | exchanges quota reports and grants between stores |
//! | [`item_starts`] | chooses the next items to run across all groups led by this store |
//! | [`runs`] | starts and cancels item runs |
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
