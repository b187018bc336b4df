//! Backend discovery: the process that is the core's primary reads the platform's list of backends and publishes it for the
//! distribution.
//!
//! May use `distribution` (whether this process has the lease, and where lists are published), `clock` and the model. Started
//! by `control_plane`.
//!
//! | module | contents |
//! | --- | --- |
//! | [`listing`] | parses a page of the list |
//! | [`platform`] | HTTP client of the platform: requests all pages |
//! | [`changes`] | assigns versions to lists, and detects whether a list changed |
//! | [`reader`] | the read loop, with its intervals and retries |

pub mod changes;
pub mod listing;
pub mod platform;
pub mod reader;
