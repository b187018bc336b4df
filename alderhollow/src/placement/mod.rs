//! Placement of token requests by a process that knows the in-flight load of all senders.
//!
//! A sender knows only its own attempts. With dozens of senders and dozens of model engines, it would select backends
//! without knowing most of the load, and long prompts would collide with other requests by chance. In each zone one
//! process, the zone's *placer*, selects a backend of its zone for each request, and receives reports on the progress
//! of the attempts. The core's primary appoints the placers (`distribution::placers`).
//!
//! Placements are advisory. The sender checks each one against its own tables (drain, evacuation, rate limits of cold
//! backends) and selects a backend by itself if no placement arrives in time. Two placers for a zone, or none, reduce
//! the quality of the selection but not its correctness.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`message`] | messages between senders and placers |
//! | [`ledger`] | a placer's view of all senders' attempts; no I/O |
//! | [`server`] | serves a ledger on the internal port |
//! | [`offers`] | selects the placers to ask and the best offer; no I/O |
//! | [`reports`] | a sender's reports to the placers; no I/O |
//! | [`client`] | requests placements and sends the reports |

pub mod client;
pub mod ledger;
pub mod message;
pub mod offers;
pub mod reports;
pub mod server;
