//! The shared count of waiting tokens: rules one at a time, and a seeded simulation.

mod account;
mod coordinator;
mod meter;
mod simulation;
