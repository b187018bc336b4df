//! One rule at a time, on a few stores that are wired without delay.

mod acceptance;
mod cluster;
mod link_ceiling;
mod overload;
mod reading;
mod replication;
mod runs;
mod window;
