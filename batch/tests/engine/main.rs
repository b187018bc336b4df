//! Tests of the engine: one rule at a time, in a small cluster without delay.

mod acceptance;
mod catch_up;
mod cluster;
mod link_ceiling;
mod overload;
mod reading;
mod replication;
mod runs;
mod window;
