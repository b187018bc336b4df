//! What faces staff: the calls that they make, the bans, and what the process costs.

pub mod admin;
pub mod bans;
pub mod cost;
pub mod staff;
