//! What faces staff: the calls that they make, the bans, and what the process costs.

pub(crate) mod admin;
pub(crate) mod bans;
pub(crate) mod cost;
pub(crate) mod staff;
