//! Tests of the distributed quota: one rule at a time, and a seeded simulation.

mod account;
mod coordinator;
mod meter;
mod simulation;
