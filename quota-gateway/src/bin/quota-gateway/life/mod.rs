//! One process's life: what it is told at the start, its timers, and how it takes over from another.

pub(crate) mod alarms;
pub(crate) mod config;
pub(crate) mod handover;
pub(crate) mod reload;
