//! Data types shared by all parts of the serving tier. They do no I/O and make no decisions.
//!
//! | module | types |
//! | --- | --- |
//! | [`config`] | the operators' configuration: routes, services, limits |
//! | [`backend`] | backends, as listed by the platform |
//! | [`identity`] | the tier's own processes and disks, addresses |
//! | [`snapshot`] | the tables that a process acts on: control state, backends, senders |
//!
//! Types with `#[n(..)]` go over the wire and to disk: the indexes never change.

pub mod backend;
pub mod config;
pub mod identity;
pub mod snapshot;
