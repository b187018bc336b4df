//! Placement of requests for tokens, with sight of what all senders have under way.
//!
//! A sender alone knows only its own attempts: with dozens of senders before dozens of model engines it chooses blind, and
//! long prompts meet other requests by chance. In each zone one process, the zone's *placer*, is asked which of the zone's
//! backends takes a request, and is told what becomes of it. The core's primary names the placers (`distribution::placers`).
//!
//! It is advice. The sender holds each answer against its own tables (drain, evacuation, allowance of cold backends) and
//! chooses for itself where no answer comes in time. Two placers at once, or none, cost quality and break nothing.
//!
//! | part | does |
//! | --- | --- |
//! | [`message`] | what senders and placers say to each other |
//! | [`ledger`] | a placer's view of all senders' attempts; no I/O |
//! | [`server`] | serves a ledger on the internal port |
//! | [`offers`] | which placers are asked, and which offer is kept; no I/O |
//! | [`reports`] | what a sender tells each placer of its attempts; no I/O |
//! | [`client`] | asks placers, and carries the reports |

pub mod client;
pub mod ledger;
pub mod message;
pub mod offers;
pub mod reports;
pub mod server;
