//! Brings the tables to every process: each long-polls the core's primary with the versions that it holds.
//!
//! | part | does |
//! | --- | --- |
//! | [`message`] | what goes over the wire |
//! | [`directory`] | what a process knows of the core's members, and tells others |
//! | [`finder`] | whom to ask next |
//! | [`client`] | the polls of a process |
//! | [`tables`] | swaps the process's snapshot; never back |
//! | [`server`] | answers polls while there is a lease |
//! | [`signal`] | wakes polls that hang |
//! | [`senders`] | which processes polled within the last seconds |

pub mod client;
pub mod directory;
pub mod finder;
pub mod message;
pub mod senders;
pub mod server;
pub mod signal;
pub mod tables;
