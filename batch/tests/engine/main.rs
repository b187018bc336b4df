//! One rule at a time, on a few stores that are wired without delay.

mod acceptance;
mod catch_up;
mod cluster;
mod link_ceiling;
mod overload;
mod reading;
mod replication;
mod runs;
mod window;
