//! Reads the platform's list of backends, in the process that is the core's primary.
//!
//! | part | does |
//! | --- | --- |
//! | [`listing`] | reads a page of the list |
//! | [`platform`] | asks the platform for all pages |
//! | [`changes`] | tells a change from cold times that just count down |
//! | [`reader`] | when to read, and publishing |

pub mod changes;
pub mod listing;
pub mod platform;
pub mod reader;
