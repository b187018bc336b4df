//! Brings the tables to every process: each long-polls the core's primary with the versions that it holds.
//!
//! | part | does |
//! | --- | --- |
//! | [`message`], [`link`] | what goes over the wire, and how |
//! | [`directory`] | what a process knows of the core's members, and tells others |
//! | [`primary_discovery`] | whom to ask next |
//! | [`client`] | the polls of a process |
//! | [`tables`] | swaps the process's snapshot; never back |
//! | [`server`] | answers polls while there is a lease |
//! | [`primary_announcement`], [`pollers`] | the primary makes itself known to processes that do not poll it |
//! | [`validity`] | whether the tables may still be taken for the newest |
//! | [`signal`] | wakes polls that hang |
//! | [`senders`] | which processes polled within the last seconds |
//! | [`placers`] | who places requests in which zone |

pub mod client;
pub mod directory;
pub mod identify;
pub mod link;
pub mod message;
pub mod placers;
pub mod pollers;
pub mod primary_announcement;
pub mod primary_discovery;
pub mod senders;
pub mod server;
pub mod signal;
pub mod tables;
pub mod validity;
