//! One process's life: what it is told at the start, its timers, and how it takes over from another.

pub mod alarms;
pub mod config;
pub mod handover;
pub mod reload;
