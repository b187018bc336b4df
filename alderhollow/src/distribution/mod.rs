//! Distribution of the tables (control state, backends, senders) from the core's primary to every process. Each process
//! long-polls the primary with the versions of its tables and receives those that are newer.
//!
//! Invariant: the tables of a process never go back to an older version, and only a primary with a lease answers with tables.
//!
//! May use `internal` (the network), `clock`, `metrics` and the model; it reaches the core member through
//! [`server::Authority`] alone. Used by every process through `node`, and by `core`, `control_plane` and `discovery`.
//!
//! | module | contents |
//! | --- | --- |
//! | [`message`], [`link`] | messages, and the transport that carries them |
//! | [`identify`] | queries a process for its identity |
//! | [`difference`], [`history`] | differences between versions of a table, and the versions that a primary makes them from |
//! | [`directory`] | what a process knows of the core's members and passes on to others |
//! | [`primary_discovery`] | state machine that chooses the process to poll next |
//! | [`client`] | the polls of a process |
//! | [`tables`] | the process's snapshot and its updates |
//! | [`server`] | answers polls while this process has the lease |
//! | [`primary_announcement`], [`pollers`] | the primary announces itself to processes that should poll it and do not |
//! | [`validation_gap`] | what became of the polls since the last validated one; for the log and the metrics |
//! | [`validity`] | whether the tables are recent enough to answer from |
//! | [`signal`] | wakes pending polls on a change |
//! | [`senders`] | the processes that polled within the last seconds |
//! | [`placers`] | assignment of placers to zones |

pub mod client;
pub mod difference;
pub mod directory;
pub mod history;
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
pub mod validation_gap;
pub mod validity;
