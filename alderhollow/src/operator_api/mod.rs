//! The operators' calls, served on `listen.control` of gateways.
//!
//! | part | does |
//! | --- | --- |
//! | [`calls`] | the calls and their answers, typed |
//! | [`server`] | HTTP: `dropshot` endpoints that hand each call to the process's own task |
//! | [`service`] | decides each call at the core's primary, or points to it |

pub mod calls;
pub mod server;
pub mod service;
