//! The tier's own protocol: calls and notices between its processes over TCP, on the first of the internal ports.
//!
//! A process has one [`Network`] for what it sends, and one [`server::serve`] that hands what arrives to the [`Handler`] of
//! its [`ServiceId`]. Payloads are minicbor messages that belong to the services.

pub mod client;
pub mod frame;
mod reconnect;
mod send_queue;
pub mod server;
mod socket;

pub use client::{CallError, Network};
pub use frame::{Refusal, ServiceId};
pub use server::{Handler, Services};
